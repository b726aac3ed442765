/* Tests of recovery: what a fresh reader makes of a stream. */
#include "suite.h"

#include <stdio.h>
#include <string.h>

#include "logclient_memory.h"
#include "require.h"
#include "result.h"
#include "shard_entry.h"
#include "shard_reader.h"
#include "shard_snapshot.h"

#define STREAM	"shard-0"
#define PENDING 12345

/* A writer that is always right, and a reader under test. */
typedef struct reader_test_t {
	log_memory_t *log;
	logclient_t *client;
	shard_t writer; /* the state after all records */
	shard_t state;
	shard_reader_t *reader;
	uint64_t upload;
	int rc;
} reader_test_t;

static void
write_record(reader_test_t *test, buf_t *record)
{
	uint64_t offset =
	    log_memory_append(test->log, STR(STREAM), str_buf(record));

	shard_apply(&test->writer, offset, str_buf(record));
	buf_free(record);
}

static void
write_claim(reader_test_t *test, const char *name)
{
	buf_t record = {0};

	shard_encode_claim(
	    &record, &(shard_writer_t){.name = name, .instance = 1}, 1);
	write_record(test, &record);
}

static shard_writer_t
writer_of(const reader_test_t *test)
{
	return ((shard_writer_t){
	    .name = test->writer.owner,
	    .instance = 1,
	    .epoch = test->writer.epoch,
	    .seq = test->writer.seq,
	});
}

static void
write_job(reader_test_t *test, const char *id)
{
	shard_writer_t writer = writer_of(test);
	shard_job_t job = {.item_count = 1, .upload = ++test->upload};
	shard_item_line_t line = {STR("{}"), false};
	buf_t entries = {0};
	buf_t record = {0};

	writer.seq++;
	str_copy(job.id, sizeof(job.id), str_of(id));
	shard_entry_job(&entries, &job);
	shard_entry_items(&entries, &job, 0, &line, 1);
	shard_entry_sealed(&entries, &job);
	shard_encode_batch(&record, &writer, 3, str_buf(&entries));
	write_record(test, &record);
	buf_free(&entries);
}

static void
write_jobs(reader_test_t *test, unsigned first, unsigned count)
{
	char id[16];

	for (unsigned i = first; i < first + count; i++) {
		snprintf(id, sizeof(id), "j%u", i);
		write_job(test, id);
	}
}

/* Writes the records of a snapshot from index from up to before to. */
static void
write_snapshot(reader_test_t *test, const shard_t *state, uint64_t id,
    uint64_t from, uint64_t to)
{
	shard_writer_t writer = {.name = state->owner,
	    .instance = 1,
	    .epoch = state->epoch,
	    .seq = state->seq};
	snapshot_cursor_t cursor = {0};
	uint64_t covered = state->applied;
	size_t count = 1;

	for (uint64_t i = 0; count > 0 && i < to; i++) {
		shard_kind_t kind = SHARD_SNAP_BEGIN;
		buf_t entries = {0};
		buf_t record = {0};

		if (i == 0) {
			snapshot_begin_entry(&entries, state, 1);
		} else {
			count = snapshot_next(state, &cursor, &entries);
			kind = count > 0 ? SHARD_SNAP_CHUNK : SHARD_SNAP_END;
		}
		shard_encode_snapshot(&record, &writer, kind, id, covered, i,
		    count, str_buf(&entries));
		buf_free(&entries);
		if (i >= from)
			log_memory_append(
			    test->log, STR(STREAM), str_buf(&record));
		buf_free(&record);
	}
}

/* Copies the state as it is now, by reading the whole stream. */
static void
copy_state(const reader_test_t *test, shard_t *out)
{
	uint64_t next = log_memory_next(test->log, STR(STREAM));

	shard_init(out);
	for (uint64_t i = 1; i < next; i++)
		shard_apply(
		    out, i, log_memory_record(test->log, STR(STREAM), i));
}

static void
setup(reader_test_t *test, uint64_t seed)
{
	*test = (reader_test_t){.log = log_memory_new(seed)};
	test->client = log_memory_client(test->log);
	shard_init(&test->writer);
	shard_init(&test->state);
	test->reader = shard_reader_new(test->client, STREAM, &test->state);
}

static void
teardown(reader_test_t *test)
{
	shard_reader_delete(test->reader);
	logclient_delete(test->client);
	shard_reset(&test->writer);
	shard_reset(&test->state);
	log_memory_delete(test->log);
}

static void
on_sync(void *ctx, int rc)
{
	reader_test_t *test = ctx;

	CU_ASSERT(test->rc == PENDING);
	test->rc = rc;
}

static int
sync_all(reader_test_t *test)
{
	test->rc = PENDING;
	shard_reader_sync(test->reader, on_sync, test);
	log_memory_run(test->log);
	return (test->rc);
}

/* Guards against a reader that ends before the stream does. */
static void
test_reads_to_the_end(void)
{
	reader_test_t test;

	setup(&test, 1);
	CU_ASSERT(sync_all(&test) == 0);
	CU_ASSERT(test.state.applied == 0);
	write_claim(&test, "a");
	write_jobs(&test, 0, 100);
	CU_ASSERT(sync_all(&test) == 0);
	CU_ASSERT(test.state.job_count == 100);
	write_jobs(&test, 100, 50);
	CU_ASSERT(sync_all(&test) == 0);
	CU_ASSERT(test.state.job_count == 150);
	CU_ASSERT(test.state.applied == test.writer.applied);
	teardown(&test);
}

/* Guards against a sync that chases a stream which always grows. */
static void
test_ends_where_the_stream_ended(void)
{
	reader_test_t test;
	unsigned steps = 0;

	setup(&test, 2);
	write_claim(&test, "a");
	write_jobs(&test, 0, 40);
	test.rc = PENDING;
	shard_reader_sync(test.reader, on_sync, &test);
	while (test.rc == PENDING && steps < 100) {
		write_jobs(&test, 1000 + steps * 20, 20);
		log_memory_step(test.log);
		steps++;
	}
	CU_ASSERT(test.rc == 0);
	CU_ASSERT(test.state.applied >= 41);
	CU_ASSERT(steps < 20);
	teardown(&test);
}

/* Guards against a snapshot that hides or repeats records after it. */
static void
test_recovers_from_snapshot(void)
{
	reader_test_t test;
	shard_t covered;

	setup(&test, 3);
	write_claim(&test, "a");
	write_jobs(&test, 0, 50);
	copy_state(&test, &covered);
	write_snapshot(&test, &covered, 5, 0, 100);
	test.writer.applied = log_memory_next(test.log, STR(STREAM)) - 1;
	write_jobs(&test, 50, 20);
	write_claim(&test, "b");
	write_jobs(&test, 70, 10);
	log_memory_expire(test.log, STR(STREAM), covered.applied + 1);
	CU_ASSERT(sync_all(&test) == 0);
	CU_ASSERT(test.state.job_count == 80);
	CU_ASSERT(test.state.epoch == test.writer.epoch);
	CU_ASSERT(test.state.seq == test.writer.seq);
	CU_ASSERT(test.state.applied == test.writer.applied);
	shard_reset(&covered);
	teardown(&test);
}

/*
 * Guards against a state with a hole: a record between the covered offset and
 * the oldest retained one has expired.
 */
static void
test_refuses_snapshot_with_a_hole(void)
{
	reader_test_t test;
	shard_t covered;

	setup(&test, 4);
	write_claim(&test, "a");
	write_jobs(&test, 0, 50);
	copy_state(&test, &covered);
	/* These records are not in the snapshot and expire before it. */
	write_jobs(&test, 50, 5);
	write_snapshot(&test, &covered, 5, 0, 100);
	log_memory_expire(test.log, STR(STREAM), covered.applied + 2);
	CU_ASSERT(sync_all(&test) == -RESULT_RESULT_LOST);
	CU_ASSERT_FALSE(shard_reader_has_state(test.reader));
	shard_reset(&covered);
	teardown(&test);
}

/* Guards against an empty state when everything has expired. */
static void
test_refuses_an_expired_stream(void)
{
	reader_test_t test;

	setup(&test, 5);
	write_claim(&test, "a");
	write_jobs(&test, 0, 3);
	log_memory_expire(test.log, STR(STREAM), 5);
	CU_ASSERT(sync_all(&test) == -RESULT_RESULT_LOST);
	teardown(&test);
}

/*
 * Guards against a choice by position: copies of an older snapshot of the same
 * owner land after a newer one.
 */
static void
test_own_snapshot_lands_late(void)
{
	reader_test_t test;
	shard_t older;
	shard_t newer;

	setup(&test, 6);
	write_claim(&test, "a");
	write_jobs(&test, 0, 20);
	copy_state(&test, &older);
	write_snapshot(&test, &older, 5, 0, 2);
	test.writer.applied = log_memory_next(test.log, STR(STREAM)) - 1;
	write_jobs(&test, 20, 20);
	copy_state(&test, &newer);
	write_snapshot(&test, &newer, 6, 0, 100);
	write_snapshot(&test, &older, 5, 0, 100);
	test.writer.applied = log_memory_next(test.log, STR(STREAM)) - 1;
	write_jobs(&test, 40, 20);
	/* Both snapshots are whole, but records between them have expired. */
	log_memory_expire(test.log, STR(STREAM), newer.applied + 1);
	CU_ASSERT(sync_all(&test) == 0);
	CU_ASSERT(test.state.job_count == 60);
	CU_ASSERT(test.state.snapshot.id == 6);
	CU_ASSERT(test.state.seq == test.writer.seq);
	shard_reset(&older);
	shard_reset(&newer);
	teardown(&test);
}

/* Guards against a gap when records expire while a reader is paused. */
static void
test_expiry_under_a_reader(void)
{
	reader_test_t test;
	shard_t covered;

	setup(&test, 7);
	write_claim(&test, "a");
	write_jobs(&test, 0, 10);
	CU_ASSERT(sync_all(&test) == 0);
	write_jobs(&test, 10, 10);
	copy_state(&test, &covered);
	write_snapshot(&test, &covered, 5, 0, 100);
	log_memory_expire(test.log, STR(STREAM), covered.applied + 1);
	CU_ASSERT(sync_all(&test) == -RESULT_SUPERSEDED);
	shard_reader_reset(test.reader);
	CU_ASSERT(sync_all(&test) == 0);
	CU_ASSERT(test.state.job_count == 20);
	shard_reset(&covered);
	teardown(&test);
}

/* Guards against a half-loaded state when records expire during recovery. */
static void
test_expiry_during_recovery(void)
{
	for (uint64_t seed = 0; seed < 40; seed++) {
		reader_test_t test;
		shard_t covered;
		shard_t second;

		setup(&test, 100 + seed);
		write_claim(&test, "a");
		write_jobs(&test, 0, 30);
		copy_state(&test, &covered);
		write_snapshot(&test, &covered, 5, 0, 100);
		test.writer.applied =
		    log_memory_next(test.log, STR(STREAM)) - 1;
		write_jobs(&test, 30, 60);
		copy_state(&test, &second);
		write_snapshot(&test, &second, 6, 0, 100);
		test.writer.applied =
		    log_memory_next(test.log, STR(STREAM)) - 1;
		write_jobs(&test, 90, 10);
		log_memory_expire(test.log, STR(STREAM), covered.applied + 1);
		test.rc = PENDING;
		shard_reader_sync(test.reader, on_sync, &test);
		for (uint64_t i = 0; i < seed; i++)
			log_memory_step(test.log);
		log_memory_expire(test.log, STR(STREAM), second.applied + 1);
		log_memory_run(test.log);
		if (test.rc == -RESULT_SUPERSEDED ||
		    test.rc == -RESULT_LOG_UNAVAILABLE) {
			shard_reader_reset(test.reader);
			CU_ASSERT(sync_all(&test) == 0);
		}
		CU_ASSERT(test.rc == 0);
		CU_ASSERT(test.state.job_count == 100);
		shard_reset(&covered);
		shard_reset(&second);
		teardown(&test);
	}
}

static const suite_test_t tests[] = {
    {"reads to the end", test_reads_to_the_end},
    {"ends where the stream ended", test_ends_where_the_stream_ended},
    {"recovers from snapshot", test_recovers_from_snapshot},
    {"refuses snapshot with a hole", test_refuses_snapshot_with_a_hole},
    {"refuses an expired stream", test_refuses_an_expired_stream},
    {"own snapshot lands late", test_own_snapshot_lands_late},
    {"expiry under a reader", test_expiry_under_a_reader},
    {"expiry during recovery", test_expiry_during_recovery},
};

SUITE_MAIN("shard reader", tests)
