/* Reads a shard's stream into its state, from the start or a snapshot. */
#include "shard_reader.h"

#include <stdlib.h>

#include "result.h"
#include "shard_snapshot.h"

/*
 * Records of one read. Their number follows the size of the last answer, so
 * that one answer neither takes many milliseconds nor carries next to nothing.
 */
#define READ_RECORDS_MIN 1U
#define READ_RECORDS_MAX 64U
#define READ_BYTES_LOW	 (256U << 10)
#define READ_BYTES_HIGH	 (2U << 20)
/* Passes begun again because records expired meanwhile, in one sync. */
#define MAX_RESTARTS 3

typedef enum reader_phase_t {
	PHASE_FRESH,  /* nothing read yet */
	PHASE_SCAN,   /* first pass: looks for a snapshot */
	PHASE_LOAD,   /* second pass: loads the snapshot */
	PHASE_FOLLOW, /* applies records without a gap */
} reader_phase_t;

struct shard_reader_t {
	logclient_t *log;
	char *stream;
	shard_t *shard;
	reader_phase_t phase;
	bool has_state; /* follows and has reached the end once */
	bool reading;	/* a read of the log is open */
	bool deleted;
	uint64_t from;
	unsigned records; /* of the next read */
	uint64_t end;	  /* offset of the newest record when the sync began */
	bool end_known;
	unsigned restarts;
	snapshot_scan_t scan;
	snapshot_load_t load;
	shard_reader_cb_t on_done;
	void *ctx;
};

static void reader_read(shard_reader_t *reader);

static void
reader_finish(shard_reader_t *reader, int rc)
{
	shard_reader_cb_t on_done = reader->on_done;

	reader->on_done = NULL;
	if (rc == 0)
		reader->has_state = true;
	on_done(reader->ctx, rc);
}

static void
reader_scan_from(shard_reader_t *reader, uint64_t first)
{
	reader->phase = PHASE_SCAN;
	reader->from = first;
	reader->scan = (snapshot_scan_t){0};
}

/* Records expired under this reader: looks for a snapshot again. */
static bool
reader_restart(shard_reader_t *reader, uint64_t first)
{
	if (reader->restarts++ >= MAX_RESTARTS)
		return (false);
	reader_scan_from(reader, first);
	return (true);
}

/* Chooses a snapshot after the first pass; returns the result code. */
static int
reader_scan_done(shard_reader_t *reader, uint64_t first)
{
	shard_mark_t chosen;

	if (!snapshot_choose(&reader->scan, first, &chosen))
		return (-RESULT_RESULT_LOST);
	snapshot_load_start(&reader->load, reader->shard, &chosen);
	reader->phase = PHASE_LOAD;
	reader->from = chosen.begin;
	return (0);
}

static void
reader_take(shard_reader_t *reader, const log_record_t *record)
{
	if (reader->phase == PHASE_SCAN)
		snapshot_scan(&reader->scan, record->offset, record->data);
	else if (reader->phase == PHASE_LOAD)
		snapshot_load(
		    &reader->load, reader->shard, record->offset, record->data);
	else
		shard_apply(reader->shard, record->offset, record->data);
	reader->from = record->offset + 1;
}

/*
 * Handles records that expired before they were read. Returns false when the
 * sync ended.
 */
static bool
reader_check_gap(shard_reader_t *reader, const log_read_t *read)
{
	if (read->first <= reader->from)
		return (true);
	if (reader->phase == PHASE_FRESH) {
		reader_scan_from(reader, read->first);
		return (true);
	}
	if (reader->has_state) {
		reader_finish(reader, -RESULT_SUPERSEDED);
		return (false);
	}
	if (reader_restart(reader, read->first))
		return (true);
	reader_finish(reader, -RESULT_LOG_UNAVAILABLE);
	return (false);
}

/* Moves to the next phase or ends the sync when the current one is done. */
static void
reader_advance(shard_reader_t *reader, uint64_t first)
{
	int rc;

	if (reader->phase == PHASE_LOAD && reader->load.complete) {
		reader->phase = PHASE_FOLLOW;
		reader->from = reader->shard->applied + 1;
	}
	if (reader->from <= reader->end) {
		reader_read(reader);
		return;
	}
	if (reader->phase == PHASE_SCAN) {
		rc = reader_scan_done(reader, first);
		if (rc == 0)
			reader_read(reader);
		else
			reader_finish(reader, rc);
		return;
	}
	/* The snapshot's records expired while they were loaded. */
	if (reader->phase == PHASE_LOAD) {
		if (reader_restart(reader, first))
			reader_read(reader);
		else
			reader_finish(reader, -RESULT_LOG_UNAVAILABLE);
		return;
	}
	reader_finish(reader, 0);
}

static void
reader_adapt(shard_reader_t *reader, const log_read_t *read)
{
	size_t bytes = 0;

	for (size_t i = 0; i < read->count; i++)
		bytes += read->records[i].data.len;
	if (bytes > READ_BYTES_HIGH && reader->records > READ_RECORDS_MIN)
		reader->records /= 2;
	else if (bytes < READ_BYTES_LOW && reader->records < READ_RECORDS_MAX)
		reader->records *= 2;
}

static void
on_read(void *ctx, const log_read_t *read)
{
	shard_reader_t *reader = ctx;

	reader->reading = false;
	if (reader->deleted) {
		free(reader->stream);
		free(reader);
		return;
	}
	if (read->rc != 0) {
		reader_finish(reader, -RESULT_LOG_UNAVAILABLE);
		return;
	}
	reader_adapt(reader, read);
	if (!reader->end_known) {
		reader->end = read->next - 1;
		reader->end_known = true;
	}
	if (!reader_check_gap(reader, read))
		return;
	if (reader->phase == PHASE_FRESH)
		reader->phase = PHASE_FOLLOW;
	for (size_t i = 0; i < read->count; i++)
		if (read->records[i].offset >= reader->from)
			reader_take(reader, &read->records[i]);
	/* An answer without the records it promises would be asked for ever. */
	if (read->count == 0 && reader->from < read->next) {
		reader_finish(reader, -RESULT_LOG_UNAVAILABLE);
		return;
	}
	reader_advance(reader, read->first);
}

static void
reader_read(shard_reader_t *reader)
{
	reader->reading = true;
	logclient_read(reader->log, str_of(reader->stream), reader->from,
	    reader->records, on_read, reader);
}

/* Makes a reader that has read nothing; the state must be empty. */
shard_reader_t *
shard_reader_new(logclient_t *log, const char *stream, shard_t *shard)
{
	shard_reader_t *reader = xcalloc(1, sizeof(*reader));

	reader->log = log;
	reader->stream = xstrdup(stream);
	reader->shard = shard;
	reader->records = READ_RECORDS_MIN;
	return (reader);
}

/* Frees the reader; the callback of an open sync does not run. */
void
shard_reader_delete(shard_reader_t *reader)
{
	reader->deleted = true;
	if (reader->reading)
		return;
	free(reader->stream);
	free(reader);
}

/* Returns whether a sync is open. */
bool
shard_reader_busy(const shard_reader_t *reader)
{
	return (reader->on_done != NULL);
}

/* Returns whether the state is that of the stream at some past time. */
bool
shard_reader_has_state(const shard_reader_t *reader)
{
	return (reader->has_state);
}

/* Empties the state; the next sync recovers it. No sync may be open. */
void
shard_reader_reset(shard_reader_t *reader)
{
	shard_observer_t observer = reader->shard->observer;

	shard_reset(reader->shard);
	reader->shard->observer = observer;
	reader->phase = PHASE_FRESH;
	reader->has_state = false;
}

/*
 * Applies all records up to the end of the stream as it is at some time after
 * this call; on_done runs exactly once, later. No other sync may be open.
 */
void
shard_reader_sync(shard_reader_t *reader, shard_reader_cb_t on_done, void *ctx)
{
	/* An interrupted recovery begins again. */
	if (!reader->has_state)
		shard_reader_reset(reader);
	reader->on_done = on_done;
	reader->ctx = ctx;
	reader->end_known = false;
	reader->restarts = 0;
	reader->from = reader->shard->applied + 1;
	reader_read(reader);
}
