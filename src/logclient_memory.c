/* In-memory log with fault injection, which a test runs step by step. */
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

/* A pending call, which is applied in one step and completed in a later one. */
typedef struct memory_call_t {
	logclient_t *client;
	memory_stream_t *stream;
	buf_t record;
	uint64_t from;
	size_t max;
	log_append_cb_t on_append;
	log_read_cb_t on_read;
	void *ctx;
	bool applied;
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
	bool paused; /* calls are applied but not completed */
} memory_client_t;

struct log_memory_t {
	rng_t rng;
	log_faults_t faults;
	LIST_HEAD(, memory_stream_t) streams;
	struct memory_calls_t calls;
	size_t call_count;
	struct memory_calls_t late_appends;
	size_t late_count;
	uint64_t appends;
	uint64_t bytes;
};

static memory_stream_t *
stream_find_or_add(log_memory_t *log, str_t name)
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
random_chance(log_memory_t *log, unsigned percent)
{
	return (percent > 0 && rng_below(&log->rng, 100) < percent);
}

/* Keeps a copy of the append, to be applied later. */
static void
schedule_late_append(log_memory_t *log, const memory_call_t *call)
{
	memory_call_t *copy = xcalloc(1, sizeof(*copy));

	copy->stream = call->stream;
	buf_append(&copy->record, str_buf(&call->record));
	TAILQ_INSERT_TAIL(&log->late_appends, copy, entry);
	log->late_count++;
}

static void
apply_append(log_memory_t *log, memory_call_t *call)
{
	const log_faults_t *faults = &log->faults;
	bool lost;

	if (faults->outage || random_chance(log, faults->refuse_percent)) {
		call->rc = -RESULT_LOG_UNAVAILABLE;
		return;
	}
	log->appends++;
	lost = faults->lose_every > 0 && log->appends % faults->lose_every == 0;
	lost = random_chance(log, faults->lose_percent) || lost;
	if (lost)
		call->rc = -RESULT_LOG_UNCERTAIN;
	if (!lost && random_chance(log, faults->late_percent)) {
		call->rc = -RESULT_LOG_UNCERTAIN;
		schedule_late_append(log, call);
	} else if (!lost && random_chance(log, faults->drop_percent)) {
		call->rc = -RESULT_LOG_UNCERTAIN;
	} else {
		call->offset =
		    stream_append(log, call->stream, str_buf(&call->record));
	}
}

static void
apply_read(log_memory_t *log, memory_call_t *call)
{
	call->rc = log->faults.outage ? -RESULT_LOG_UNAVAILABLE : 0;
	call->first = call->stream->first;
	call->next = call->stream->count + 1;
	if (call->from < call->first)
		call->from = call->first;
}

static void
complete_read(const memory_call_t *call)
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
complete_call(log_memory_t *log, memory_call_t *call)
{
	TAILQ_REMOVE(&log->calls, call, entry);
	log->call_count--;
	if (call->on_append != NULL)
		call->on_append(
		    call->ctx, call->rc, call->rc == 0 ? call->offset : 0);
	else
		complete_read(call);
	call_free(call);
}

static bool
call_can_proceed(const memory_call_t *call)
{
	return (
	    !call->applied || !((const memory_client_t *)call->client)->paused);
}

/* Picks a random pending call; NULL if none can proceed. */
static memory_call_t *
pick_call(log_memory_t *log)
{
	uint64_t skip = rng_below(&log->rng, log->call_count);
	memory_call_t *call = TAILQ_FIRST(&log->calls);

	while (skip-- > 0)
		call = TAILQ_NEXT(call, entry);
	for (size_t i = 0; i < log->call_count; i++) {
		if (call_can_proceed(call))
			return (call);
		call = TAILQ_NEXT(call, entry);
		if (call == NULL)
			call = TAILQ_FIRST(&log->calls);
	}
	return (NULL);
}

/*
 * Applies or completes one randomly picked call. Returns false if no call can
 * proceed.
 */
bool
log_memory_step(log_memory_t *log)
{
	memory_call_t *call = pick_call(log);

	if (call == NULL)
		return (false);
	if (call->applied) {
		complete_call(log, call);
		return (true);
	}
	call->applied = true;
	if (call->on_append != NULL)
		apply_append(log, call);
	else
		apply_read(log, call);
	return (true);
}

/* Runs until no call can proceed. */
void
log_memory_run(log_memory_t *log)
{
	while (log_memory_step(log))
		;
}

/* Applies up to max late appends; returns their number. */
size_t
log_memory_apply_late(log_memory_t *log, size_t max)
{
	size_t applied_count = 0;

	while (applied_count < max && !TAILQ_EMPTY(&log->late_appends)) {
		memory_call_t *call = TAILQ_FIRST(&log->late_appends);

		TAILQ_REMOVE(&log->late_appends, call, entry);
		log->late_count--;
		stream_append(log, call->stream, str_buf(&call->record));
		call_free(call);
		applied_count++;
	}
	return (applied_count);
}

/* Returns the number of late appends that are not applied yet. */
size_t
log_memory_late_count(const log_memory_t *log)
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
	call->stream = stream_find_or_add(log, stream);
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
	call->stream = stream_find_or_add(log, stream);
	call->from = from;
	call->max = max;
	call->on_read = on_done;
	call->ctx = ctx;
	TAILQ_INSERT_TAIL(&log->calls, call, entry);
	log->call_count++;
}

/*
 * An append that is not applied yet may be applied after its client is deleted,
 * like a request that is in transit to a real service.
 */
static void
memory_delete(logclient_t *client)
{
	log_memory_t *log = ((memory_client_t *)client)->log;
	memory_call_t *call = TAILQ_FIRST(&log->calls);

	while (call != NULL) {
		memory_call_t *next = TAILQ_NEXT(call, entry);

		if (call->client == client) {
			if (call->on_append != NULL && !call->applied &&
			    random_chance(log, 50))
				schedule_late_append(log, call);
			call->rc = call->on_append != NULL
				       ? -RESULT_LOG_UNCERTAIN
				       : -RESULT_LOG_UNAVAILABLE;
			complete_call(log, call);
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

/* Creates an empty log. The same seed and calls give the same run. */
log_memory_t *
log_memory_new(uint64_t seed)
{
	log_memory_t *log = xcalloc(1, sizeof(*log));

	log->rng = rng_seeded(seed);
	LIST_INIT(&log->streams);
	TAILQ_INIT(&log->calls);
	TAILQ_INIT(&log->late_appends);
	return (log);
}

/* Its clients must have been deleted. */
void
log_memory_delete(log_memory_t *log)
{
	memory_call_t *call;
	memory_stream_t *stream;

	while ((call = TAILQ_FIRST(&log->late_appends)) != NULL) {
		TAILQ_REMOVE(&log->late_appends, call, entry);
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

/* Creates a client of the log, one per simulated host. */
logclient_t *
log_memory_client(log_memory_t *log)
{
	memory_client_t *client = xcalloc(1, sizeof(*client));

	client->base.class = &memory_class;
	client->log = log;
	return (&client->base);
}

/* Withholds responses from a client, as if its process were stopped. */
void
log_memory_pause(logclient_t *client, bool paused)
{
	((memory_client_t *)client)->paused = paused;
}

/* Sets the faults for all calls that are applied from now on. */
void
log_memory_set_faults(log_memory_t *log, const log_faults_t *faults)
{
	log->faults = *faults;
}

/* Appends a record immediately and without faults; returns its offset. */
uint64_t
log_memory_append(log_memory_t *log, str_t stream, str_t record)
{
	return (stream_append(log, stream_find_or_add(log, stream), record));
}

/* Expires all records before an offset. */
void
log_memory_expire(log_memory_t *log, str_t stream, uint64_t first)
{
	memory_stream_t *s = stream_find_or_add(log, stream);

	if (first > s->first)
		s->first = first;
}

/* Returns the offset after the last record. */
uint64_t
log_memory_next(log_memory_t *log, str_t stream)
{
	return (stream_find_or_add(log, stream)->count + 1);
}

/* Returns the record at an offset, even if it has expired. */
str_t
log_memory_record(log_memory_t *log, str_t stream, uint64_t offset)
{
	return (str_buf(&stream_find_or_add(log, stream)->records[offset - 1]));
}

/* Returns the number of accepted appends, including lost and late ones. */
uint64_t
log_memory_appends(const log_memory_t *log)
{
	return (log->appends);
}

/* Returns the total size of all records that were applied. */
uint64_t
log_memory_bytes(const log_memory_t *log)
{
	return (log->bytes);
}
