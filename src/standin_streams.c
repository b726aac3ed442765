/* Record streams of the stand-in log service, in memory. */
#include "standin_streams.h"

#include <stdlib.h>
#include <string.h>

#include "wire.h"

/* One answer holds at most this many bytes of records, but at least one. */
#define READ_MAX_BYTES (8U << 20)

typedef struct record_t {
	double time;
	char *data;
	size_t len;
} record_t;

typedef struct stream_t {
	char *name;
	record_t *records; /* of these, head .. head + count - 1 are kept */
	size_t head;
	size_t count;
	size_t cap;
	uint64_t first; /* offset of the oldest record kept */
	uint64_t bytes; /* kept */
	struct stream_t *next;
} stream_t;

struct standin_streams_t {
	stream_t *first;
};

static stream_t *
streams_find(const standin_streams_t *streams, str_t name)
{
	stream_t *stream = streams->first;

	while (stream != NULL && !str_equal(str_of(stream->name), name))
		stream = stream->next;
	return (stream);
}

static stream_t *
streams_get(standin_streams_t *streams, str_t name)
{
	stream_t *stream = streams_find(streams, name);

	if (stream != NULL)
		return (stream);
	stream = xcalloc(1, sizeof(*stream));
	stream->name = str_dup(name);
	stream->first = 1;
	stream->next = streams->first;
	streams->first = stream;
	return (stream);
}

static void
stream_drop_first(stream_t *stream)
{
	record_t *record = &stream->records[stream->head];

	stream->bytes -= record->len;
	free(record->data);
	stream->head++;
	stream->count--;
	stream->first++;
}

/* Makes room for one more record behind the last one. */
static void
stream_reserve(stream_t *stream)
{
	if (stream->head + stream->count < stream->cap)
		return;
	if (stream->head > stream->cap / 2) {
		memmove(stream->records, stream->records + stream->head,
		    stream->count * sizeof(*stream->records));
		stream->head = 0;
		return;
	}
	stream->cap = stream->cap > 0 ? stream->cap * 2 : 64;
	stream->records =
	    xrealloc(stream->records, stream->cap * sizeof(*stream->records));
}

/* Makes an empty set of streams. */
standin_streams_t *
standin_streams_new(void)
{
	return (xcalloc(1, sizeof(standin_streams_t)));
}

/* Frees all streams. */
void
standin_streams_delete(standin_streams_t *streams)
{
	while (streams->first != NULL) {
		stream_t *stream = streams->first;

		streams->first = stream->next;
		while (stream->count > 0)
			stream_drop_first(stream);
		free(stream->records);
		free(stream->name);
		free(stream);
	}
	free(streams);
}

/* Appends a copy of a record; now is in seconds. Returns its offset. */
uint64_t
standin_streams_append(
    standin_streams_t *streams, str_t name, str_t record, double now)
{
	stream_t *stream = streams_get(streams, name);

	stream_reserve(stream);
	stream->records[stream->head + stream->count] = (record_t){
	    .time = now,
	    .data = xmemdup(record.data, record.len),
	    .len = record.len,
	};
	stream->count++;
	stream->bytes += record.len;
	return (stream->first + stream->count - 1);
}

static size_t
read_count(const stream_t *stream, size_t skip, uint64_t max)
{
	size_t count = 0;
	size_t bytes = 0;

	while (skip + count < stream->count && count < max) {
		bytes += stream->records[stream->head + skip + count].len;
		if (count > 0 && bytes > READ_MAX_BYTES)
			break;
		count++;
	}
	return (count);
}

/* Appends the msgpack answer of a read to out; see design section 7.3. */
void
standin_streams_read(standin_streams_t *streams, str_t name, uint64_t from,
    uint64_t max, buf_t *out)
{
	stream_t none = {.first = 1};
	stream_t *stream = streams_find(streams, name);
	msgpack_packer packer;
	size_t skip;
	size_t count;

	if (stream == NULL)
		stream = &none;
	skip = from > stream->first ? (size_t)(from - stream->first) : 0;
	count = read_count(stream, skip, max);
	wire_packer_init(&packer, out);
	msgpack_pack_map(&packer, 3);
	wire_pack_str(&packer, STR("first"));
	msgpack_pack_uint64(&packer, stream->first);
	wire_pack_str(&packer, STR("next"));
	msgpack_pack_uint64(&packer, stream->first + stream->count);
	wire_pack_str(&packer, STR("records"));
	msgpack_pack_array(&packer, count);
	for (size_t i = skip; i < skip + count; i++) {
		const record_t *record = &stream->records[stream->head + i];

		msgpack_pack_array(&packer, 2);
		msgpack_pack_uint64(&packer, stream->first + i);
		wire_pack_bin(&packer, (str_t){record->data, record->len});
	}
}

/* Removes the records of one stream with offsets below before. */
void
standin_streams_expire(standin_streams_t *streams, str_t name, uint64_t before)
{
	stream_t *stream = streams_find(streams, name);

	while (stream != NULL && stream->count > 0 && stream->first < before)
		stream_drop_first(stream);
}

/* Removes the records of all streams that were appended before a time. */
void
standin_streams_expire_older(standin_streams_t *streams, double time)
{
	stream_t *stream;

	for (stream = streams->first; stream != NULL; stream = stream->next)
		while (stream->count > 0 &&
		       stream->records[stream->head].time < time)
			stream_drop_first(stream);
}

/* Returns a new JSON object with the counts of each stream. */
json_t *
standin_streams_stats(const standin_streams_t *streams)
{
	json_t *object = json_object();

	for (stream_t *stream = streams->first; stream != NULL;
	     stream = stream->next) {
		uint64_t next = stream->first + stream->count;

		json_object_set_new(object, stream->name,
		    json_pack("{s:I,s:I,s:I,s:I}", "first",
			(json_int_t)stream->first, "next", (json_int_t)next,
			"records", (json_int_t)stream->count, "bytes",
			(json_int_t)stream->bytes));
	}
	return (object);
}
