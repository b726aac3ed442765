/* A log in memory with faults on request, driven step by step by a test. */
#include "logclient_memory.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "clock.h"
#include "result.h"

typedef struct memory_stream_t {
	char *name;
	buf_t *records; /* record i has offset i + 1 */
	size_t count;
	uint64_t first;
	LIST_ENTRY(memory_stream_t) entry;
} memory_stream_t;

/* One call; it takes effect in one step and is answered in a later one. */
typedef struct memory_call_t {
	logclient_t *client;
	memory_stream_t *stream;
	buf_t record;
	uint64_t from;
	size_t max;
	log_append_cb_t on_append;
	log_read_cb_t on_read;
	void *ctx;
	bool effective;
	int rc;
	uint64_t offset;
	uint64_t first;
	uint64_t next;
	TAILQ_ENTRY(memory_call_t) entry;
} memory_call_t;

TAILQ_HEAD(memory_calls_t, memory_call_t);

typedef struct memory_client_t {
	logclient_t base;
	log_memory_t *log;
	bool paused; /* gets no answers */
} memory_client_t;

struct log_memory_t {
	rng_t rng;
	log_faults_t faults;
	LIST_HEAD(, memory_stream_t) streams;
	struct memory_calls_t calls;
	size_t call_count;
	struct memory_calls_t late;
	size_t late_count;
	uint64_t appends;
	uint64_t bytes;
};

static memory_stream_t *
stream_find(log_memory_t *log, str_t name)
{
	memory_stream_t *stream;

	LIST_FOREACH (stream, &log->streams, entry)
		if (str_equal(str_of(stream->name), name))
			return (stream);
	stream = xcalloc(1, sizeof(*stream));
	stream->name = str_dup(name);
	stream->first = 1;
	LIST_INSERT_HEAD(&log->streams, stream, entry);
	return (stream);
}

static uint64_t
stream_append(log_memory_t *log, memory_stream_t *stream, str_t record)
{
	stream->records = xrealloc(
	    stream->records, (stream->count + 1) * sizeof(*stream->records));
	stream->records[stream->count] = (buf_t){0};
	buf_append(&stream->records[stream->count], record);
	stream->count++;
	log->bytes += record.len;
	return (stream->count);
}

static void
call_free(memory_call_t *call)
{
	buf_free(&call->record);
	free(call);
}

static bool
chance(log_memory_t *log, unsigned percent)
{
	return (percent > 0 && rng_below(&log->rng, 100) < percent);
}

/* Keeps a copy of the record that takes effect at some later time. */
static void
append_late(log_memory_t *log, const memory_call_t *call)
{
	memory_call_t *copy = xcalloc(1, sizeof(*copy));

	copy->stream = call->stream;
	buf_append(&copy->record, str_buf(&call->record));
	TAILQ_INSERT_TAIL(&log->late, copy, entry);
	log->late_count++;
}

static void
append_effect(log_memory_t *log, memory_call_t *call)
{
	const log_faults_t *faults = &log->faults;
	bool lost;

	if (faults->outage || chance(log, faults->refuse_percent)) {
		call->rc = -RESULT_LOG_UNAVAILABLE;
		return;
	}
	log->appends++;
	lost = faults->lose_every > 0 && log->appends % faults->lose_every == 0;
	lost = chance(log, faults->lose_percent) || lost;
	if (lost)
		call->rc = -RESULT_LOG_UNCERTAIN;
	if (!lost && chance(log, faults->late_percent)) {
		call->rc = -RESULT_LOG_UNCERTAIN;
		append_late(log, call);
	} else if (!lost && chance(log, faults->drop_percent)) {
		call->rc = -RESULT_LOG_UNCERTAIN;
	} else {
		call->offset =
		    stream_append(log, call->stream, str_buf(&call->record));
	}
}

static void
read_effect(log_memory_t *log, memory_call_t *call)
{
	call->rc = log->faults.outage ? -RESULT_LOG_UNAVAILABLE : 0;
	call->first = call->stream->first;
	call->next = call->stream->count + 1;
	if (call->from < call->first)
		call->from = call->first;
}

static void
read_answer(const memory_call_t *call)
{
	const memory_stream_t *stream = call->stream;
	log_read_t read = {.rc = call->rc};
	log_record_t *records = NULL;

	if (call->rc == 0) {
		read.first = call->first;
		read.next = call->next;
		if (call->from < call->next)
			read.count = (size_t)(call->next - call->from);
		if (read.count > call->max)
			read.count = call->max;
		records = xcalloc(read.count, sizeof(*records));
		for (size_t i = 0; i < read.count; i++) {
			records[i].offset = call->from + i;
			records[i].data =
			    str_buf(&stream->records[call->from + i - 1]);
		}
		read.records = records;
	}
	call->on_read(call->ctx, &read);
	free(records);
}

static void
call_answer(log_memory_t *log, memory_call_t *call)
{
	TAILQ_REMOVE(&log->calls, call, entry);
	log->call_count--;
	if (call->on_append != NULL)
		call->on_append(
		    call->ctx, call->rc, call->rc == 0 ? call->offset : 0);
	else
		read_answer(call);
	call_free(call);
}

static bool
call_can_step(const memory_call_t *call)
{
	return (!call->effective ||
		!((const memory_client_t *)call->client)->paused);
}

/* Chooses an open call by the seed; NULL when none can go on. */
static memory_call_t *
choose_call(log_memory_t *log)
{
	uint64_t skip = rng_below(&log->rng, log->call_count);
	memory_call_t *call = TAILQ_FIRST(&log->calls);

	while (skip-- > 0)
		call = TAILQ_NEXT(call, entry);
	for (size_t i = 0; i < log->call_count; i++) {
		if (call_can_step(call))
			return (call);
		call = TAILQ_NEXT(call, entry);
		if (call == NULL)
			call = TAILQ_FIRST(&log->calls);
	}
	return (NULL);
}

/*
 * Lets one call, chosen by the seed, take effect or be answered. Returns false
 * when no call can go on.
 */
bool
log_memory_step(log_memory_t *log)
{
	memory_call_t *call = choose_call(log);

	if (call == NULL)
		return (false);
	if (call->effective) {
		call_answer(log, call);
		return (true);
	}
	call->effective = true;
	if (call->on_append != NULL)
		append_effect(log, call);
	else
		read_effect(log, call);
	return (true);
}

/* Steps until no call is open. */
void
log_memory_run(log_memory_t *log)
{
	while (log_memory_step(log))
		;
}

/* Lets up to max late appends take effect; returns how many did. */
size_t
log_memory_land(log_memory_t *log, size_t max)
{
	size_t landed = 0;

	while (landed < max && !TAILQ_EMPTY(&log->late)) {
		memory_call_t *call = TAILQ_FIRST(&log->late);

		TAILQ_REMOVE(&log->late, call, entry);
		log->late_count--;
		stream_append(log, call->stream, str_buf(&call->record));
		call_free(call);
		landed++;
	}
	return (landed);
}

/* Returns how many late appends have not taken effect yet. */
size_t
log_memory_late(const log_memory_t *log)
{
	return (log->late_count);
}

static void
memory_append(logclient_t *client, str_t stream, str_t record,
    log_append_cb_t on_done, void *ctx)
{
	log_memory_t *log = ((memory_client_t *)client)->log;
	memory_call_t *call = xcalloc(1, sizeof(*call));

	call->client = client;
	call->stream = stream_find(log, stream);
	buf_append(&call->record, record);
	call->on_append = on_done;
	call->ctx = ctx;
	TAILQ_INSERT_TAIL(&log->calls, call, entry);
	log->call_count++;
}

static void
memory_read(logclient_t *client, str_t stream, uint64_t from, size_t max,
    log_read_cb_t on_done, void *ctx)
{
	log_memory_t *log = ((memory_client_t *)client)->log;
	memory_call_t *call = xcalloc(1, sizeof(*call));

	call->client = client;
	call->stream = stream_find(log, stream);
	call->from = from;
	call->max = max;
	call->on_read = on_done;
	call->ctx = ctx;
	TAILQ_INSERT_TAIL(&log->calls, call, entry);
	log->call_count++;
}

/*
 * An append that did not take effect yet may do so after its writer is gone, as
 * a request on its way to a real service would.
 */
static void
memory_delete(logclient_t *client)
{
	log_memory_t *log = ((memory_client_t *)client)->log;
	memory_call_t *call = TAILQ_FIRST(&log->calls);

	while (call != NULL) {
		memory_call_t *next = TAILQ_NEXT(call, entry);

		if (call->client == client) {
			if (call->on_append != NULL && !call->effective &&
			    chance(log, 50))
				append_late(log, call);
			call->rc = call->on_append != NULL
				       ? -RESULT_LOG_UNCERTAIN
				       : -RESULT_LOG_UNAVAILABLE;
			call_answer(log, call);
		}
		call = next;
	}
	free(client);
}

static const logclient_class_t memory_class = {
    .append = memory_append,
    .read = memory_read,
    .delete = memory_delete,
};

/* Makes an empty log; equal seeds and calls give equal runs. */
log_memory_t *
log_memory_new(uint64_t seed)
{
	log_memory_t *log = xcalloc(1, sizeof(*log));

	log->rng = rng_seeded(seed);
	LIST_INIT(&log->streams);
	TAILQ_INIT(&log->calls);
	TAILQ_INIT(&log->late);
	return (log);
}

/* Frees the log; its clients must be gone. */
void
log_memory_delete(log_memory_t *log)
{
	memory_call_t *call;
	memory_stream_t *stream;

	while ((call = TAILQ_FIRST(&log->late)) != NULL) {
		TAILQ_REMOVE(&log->late, call, entry);
		call_free(call);
	}
	while ((stream = LIST_FIRST(&log->streams)) != NULL) {
		LIST_REMOVE(stream, entry);
		for (size_t i = 0; i < stream->count; i++)
			buf_free(&stream->records[i]);
		free(stream->records);
		free(stream->name);
		free(stream);
	}
	free(log);
}

/* Makes a client of the log, one for each simulated host. */
logclient_t *
log_memory_client(log_memory_t *log)
{
	memory_client_t *client = xcalloc(1, sizeof(*client));

	client->base.class = &memory_class;
	client->log = log;
	return (&client->base);
}

/* Holds back the answers to a client, as if its process were frozen. */
void
log_memory_pause(logclient_t *client, bool paused)
{
	((memory_client_t *)client)->paused = paused;
}

/* Sets the faults of the calls that take effect from now on. */
void
log_memory_set_faults(log_memory_t *log, const log_faults_t *faults)
{
	log->faults = *faults;
}

/* Appends a record at once and without faults; returns its offset. */
uint64_t
log_memory_append(log_memory_t *log, str_t stream, str_t record)
{
	return (stream_append(log, stream_find(log, stream), record));
}

/* Drops all records before an offset. */
void
log_memory_expire(log_memory_t *log, str_t stream, uint64_t first)
{
	memory_stream_t *s = stream_find(log, stream);

	if (first > s->first)
		s->first = first;
}

/* Returns the offset after the newest record. */
uint64_t
log_memory_next(log_memory_t *log, str_t stream)
{
	return (stream_find(log, stream)->count + 1);
}

/* Returns the record at an offset, also when it expired. */
str_t
log_memory_record(log_memory_t *log, str_t stream, uint64_t offset)
{
	return (str_buf(&stream_find(log, stream)->records[offset - 1]));
}

/* Returns how many appends were accepted, lost and late ones included. */
uint64_t
log_memory_appends(const log_memory_t *log)
{
	return (log->appends);
}

/* Returns the bytes of all records that took effect. */
uint64_t
log_memory_bytes(const log_memory_t *log)
{
	return (log->bytes);
}
