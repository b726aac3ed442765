/*
 * Checks and repairs text that others send, for formats that carry UTF-8.
 *
 * The text is that of an event stream: the data of its events, separated by
 * line feeds. An endpoint may end an event within a character, so that line
 * feeds stand between the bytes of one.
 */
#include "utf8.h"

#include <stddef.h>

#define MAX_CHARACTER_BYTES 4
/* U+FFFD, the replacement character. */
#define REPLACEMENT STR("\xef\xbf\xbd")

/* The range of the byte after a first byte; it excludes overlong forms. */
typedef struct second_byte_t {
	unsigned char first;
	unsigned char min;
	unsigned char max;
} second_byte_t;

/* A reader of text; out is NULL if the text is only checked. */
typedef struct utf8_reader_t {
	buf_t *out;
	bool faulty;
	char bytes[MAX_CHARACTER_BYTES]; /* of the character being read */
	size_t count;			 /* of these bytes */
	size_t length;			 /* bytes of the whole character */
	size_t line_feeds;		 /* between its bytes */
} utf8_reader_t;

/* Returns the length of a character by its first byte; 0: there is none. */
static size_t
character_length(unsigned char first)
{
	if (first < 0x80)
		return (1);
	if (first >= 0xc2 && first < 0xe0)
		return (2);
	if (first >= 0xe0 && first < 0xf0)
		return (3);
	return (first >= 0xf0 && first < 0xf5 ? 4 : 0);
}

static bool
is_second_byte(unsigned char first, unsigned char byte)
{
	static const second_byte_t narrower[] = {
	    {0xe0, 0xa0, 0xbf}, /* overlong below */
	    {0xed, 0x80, 0x9f}, /* surrogates above */
	    {0xf0, 0x90, 0xbf}, /* overlong below */
	    {0xf4, 0x80, 0x8f}, /* beyond the last character above */
	};

	for (size_t i = 0; i < sizeof(narrower) / sizeof(narrower[0]); i++)
		if (narrower[i].first == first)
			return (
			    byte >= narrower[i].min && byte <= narrower[i].max);
	return (byte >= 0x80 && byte <= 0xbf);
}

/* Returns whether a byte continues the character being read. */
static bool
continues_character(const utf8_reader_t *reader, unsigned char byte)
{
	if (reader->count == 1)
		return (is_second_byte((unsigned char)reader->bytes[0], byte));
	return (byte >= 0x80 && byte <= 0xbf);
}

/* Ends a character, whole or not, and what stands between its bytes. */
static void
end_character(utf8_reader_t *reader, str_t character)
{
	if (reader->out != NULL) {
		buf_append(reader->out, character);
		for (size_t i = 0; i < reader->line_feeds; i++)
			buf_append_char(reader->out, '\n');
	}
	reader->count = 0;
	reader->line_feeds = 0;
}

/* Begins a character with a byte. */
static void
begin_character(utf8_reader_t *reader, char byte)
{
	reader->bytes[0] = byte;
	reader->count = 1;
	reader->length = character_length((unsigned char)byte);
	if (reader->length == 1)
		end_character(reader, (str_t){reader->bytes, 1});
	if (reader->length > 0)
		return;
	reader->faulty = true;
	end_character(reader, REPLACEMENT);
}

static void
read_byte(utf8_reader_t *reader, char byte)
{
	if (reader->count > 0 && byte == '\n') {
		reader->line_feeds++;
		return;
	}
	if (reader->count > 0 &&
	    !continues_character(reader, (unsigned char)byte)) {
		reader->faulty = true;
		end_character(reader, REPLACEMENT);
	}
	if (reader->count == 0) {
		begin_character(reader, byte);
		return;
	}
	reader->bytes[reader->count++] = byte;
	if (reader->count == reader->length)
		end_character(reader, (str_t){reader->bytes, reader->length});
}

static void
read_bytes(utf8_reader_t *reader, str_t bytes)
{
	for (size_t i = 0; i < bytes.len; i++)
		read_byte(reader, bytes.data[i]);
}

/*
 * Returns whether bytes are text in UTF-8. A character may have line feeds
 * between its bytes, and the last one may be cut off, as in an output that
 * reached its maximum of tokens.
 */
bool
utf8_is_text(str_t bytes)
{
	utf8_reader_t reader = {0};

	read_bytes(&reader, bytes);
	return (!reader.faulty);
}

/*
 * Appends bytes as text in UTF-8, whatever they are. Text stays as it is, but
 * line feeds between the bytes of a character follow it. What is no character
 * becomes U+FFFD.
 */
void
utf8_append_text(buf_t *out, str_t bytes)
{
	utf8_reader_t reader = {.out = out};

	read_bytes(&reader, bytes);
	if (reader.count > 0)
		end_character(&reader, REPLACEMENT);
}
