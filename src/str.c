/* Length-counted strings, growable buffers and aborting allocation. */
#include "str.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <xxhash.h>

/* Smallest capacity of a buffer that holds anything, in bytes. */
#define BUF_MIN_CAP 64

static void *
check_alloc(void *ptr)
{
	if (ptr == NULL) {
		fputs("out of memory\n", stderr);
		abort();
	}
	return (ptr);
}

/* Allocates size bytes; aborts when memory is exhausted. */
void *
xmalloc(size_t size)
{
	return (check_alloc(malloc(size > 0 ? size : 1)));
}

/* Allocates count zeroed elements; aborts when memory is exhausted. */
void *
xcalloc(size_t count, size_t size)
{
	if (count == 0 || size == 0)
		count = size = 1;
	return (check_alloc(calloc(count, size)));
}

/* Resizes an allocation; aborts when memory is exhausted. */
void *
xrealloc(void *ptr, size_t size)
{
	return (check_alloc(realloc(ptr, size > 0 ? size : 1)));
}

/* Copies a NUL-terminated string; the caller frees the copy. */
char *
xstrdup(const char *s)
{
	return (check_alloc(strdup(s)));
}

/* Copies len bytes; the caller frees the copy. */
void *
xmemdup(const void *data, size_t len)
{
	void *copy = xmalloc(len);

	if (len > 0)
		memcpy(copy, data, len);
	return (copy);
}

/* Returns a view of a NUL-terminated string; NULL gives an empty view. */
str_t
str_of(const char *s)
{
	return ((str_t){.data = s, .len = s != NULL ? strlen(s) : 0});
}

/* Returns a view of a buffer's content, valid until the buffer changes. */
str_t
str_buf(const buf_t *buf)
{
	return ((str_t){.data = buf->data, .len = buf->len});
}

/* Returns whether two strings hold the same bytes. */
bool
str_equal(str_t a, str_t b)
{
	return (a.len == b.len &&
		(a.len == 0 || memcmp(a.data, b.data, a.len) == 0));
}

/* Returns whether two strings are equal except for the case of ASCII letters.
 */
bool
str_equal_nocase(str_t a, str_t b)
{
	return (a.len == b.len &&
		(a.len == 0 || strncasecmp(a.data, b.data, a.len) == 0));
}

/* Orders two strings by bytes: negative, zero or positive like memcmp. */
int
str_compare(str_t a, str_t b)
{
	size_t common = a.len < b.len ? a.len : b.len;
	int order = common > 0 ? memcmp(a.data, b.data, common) : 0;

	if (order != 0)
		return (order);
	return ((a.len > b.len) - (a.len < b.len));
}

/* Returns whether s begins with prefix. */
bool
str_has_prefix(str_t s, str_t prefix)
{
	if (s.len < prefix.len)
		return (false);
	return (str_equal((str_t){.data = s.data, .len = prefix.len}, prefix));
}

/*
 * Takes the part of *rest before the next separator into *part and moves *rest
 * behind it. Returns false when *rest is exhausted.
 */
bool
str_split(str_t *rest, char separator, str_t *part)
{
	const char *end;

	if (rest->data == NULL)
		return (false);
	end = rest->len > 0 ? memchr(rest->data, separator, rest->len) : NULL;
	if (end == NULL) {
		*part = *rest;
		*rest = (str_t){0};
		return (true);
	}
	part->data = rest->data;
	part->len = (size_t)(end - rest->data);
	rest->data = end + 1;
	rest->len -= part->len + 1;
	return (true);
}

/* Returns s without leading and trailing white space. */
str_t
str_trim(str_t s)
{
	while (s.len > 0 && strchr(" \t\r\n", s.data[0]) != NULL) {
		s.data++;
		s.len--;
	}
	while (s.len > 0 && strchr(" \t\r\n", s.data[s.len - 1]) != NULL)
		s.len--;
	return (s);
}

/* Returns a NUL-terminated copy that the caller frees. */
char *
str_dup(str_t s)
{
	char *copy = xmalloc(s.len + 1);

	if (s.len > 0)
		memcpy(copy, s.data, s.len);
	copy[s.len] = '\0';
	return (copy);
}

/* Copies s into an array of size bytes, truncated and NUL-terminated. */
void
str_copy(char *dst, size_t size, str_t s)
{
	size_t n = s.len < size - 1 ? s.len : size - 1;

	if (n > 0)
		memmove(dst, s.data, n);
	dst[n] = '\0';
}

/* Returns a 64-bit hash that is the same on every host. */
uint64_t
str_hash(str_t s, uint64_t seed)
{
	return (XXH64(s.len > 0 ? s.data : "", s.len, seed));
}

/* Parses a decimal number. Returns 0, or -EINVAL for anything else. */
int
str_to_u64(str_t s, uint64_t *out)
{
	uint64_t value = 0;

	if (s.len == 0 || s.len > 20)
		return (-EINVAL);
	for (size_t i = 0; i < s.len; i++) {
		if (s.data[i] < '0' || s.data[i] > '9')
			return (-EINVAL);
		if (__builtin_mul_overflow(value, 10, &value) ||
		    __builtin_add_overflow(
			value, (uint64_t)(s.data[i] - '0'), &value))
			return (-EINVAL);
	}
	*out = value;
	return (0);
}

/* Makes room for extra more bytes and a terminating NUL. */
void
buf_reserve(buf_t *buf, size_t extra)
{
	size_t need = buf->len + extra + 1;
	size_t cap = buf->cap > 0 ? buf->cap : BUF_MIN_CAP;

	if (need <= buf->cap)
		return;
	while (cap < need)
		cap *= 2;
	buf->data = xrealloc(buf->data, cap);
	buf->cap = cap;
}

/* Appends a string. */
void
buf_append(buf_t *buf, str_t s)
{
	buf_reserve(buf, s.len);
	if (s.len > 0)
		memcpy(buf->data + buf->len, s.data, s.len);
	buf->len += s.len;
	buf->data[buf->len] = '\0';
}

/* Appends one byte. */
void
buf_append_char(buf_t *buf, char c)
{
	buf_append(buf, (str_t){.data = &c, .len = 1});
}

/* Appends formatted text. */
void
buf_printf(buf_t *buf, const char *fmt, ...)
{
	va_list args;
	int n;

	va_start(args, fmt);
	n = vsnprintf(NULL, 0, fmt, args);
	va_end(args);
	if (n < 0)
		return;
	buf_reserve(buf, (size_t)n);
	va_start(args, fmt);
	vsnprintf(buf->data + buf->len, (size_t)n + 1, fmt, args);
	va_end(args);
	buf->len += (size_t)n;
}

/* Removes the first n bytes. */
void
buf_consume(buf_t *buf, size_t n)
{
	if (n == 0)
		return;
	buf->len -= n;
	memmove(buf->data, buf->data + n, buf->len);
	buf->data[buf->len] = '\0';
}

/* Empties the buffer and keeps its memory. */
void
buf_clear(buf_t *buf)
{
	buf->len = 0;
	if (buf->data != NULL)
		buf->data[0] = '\0';
}

/* Releases the memory; the buffer is empty and usable again. */
void
buf_free(buf_t *buf)
{
	free(buf->data);
	*buf = (buf_t){0};
}
