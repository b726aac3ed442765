/* Tests of the state of a shard: which records count and what they do. */
#include "suite.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "require.h"
#include "shard.h"
#include "shard_entry.h"
#include "shard_snapshot.h"

#define JOB_ID "job"

typedef struct shard_test_t {
	shard_t shard;
	uint64_t offset;
	uint64_t epoch;
	uint64_t seq;
	buf_t entries;
	size_t count;
} shard_test_t;

static void
setup(shard_test_t *test)
{
	*test = (shard_test_t){0};
	shard_init(&test->shard);
}

static void
teardown(shard_test_t *test)
{
	shard_reset(&test->shard);
	buf_free(&test->entries);
}

static uint64_t
claim(shard_test_t *test, const char *name)
{
	buf_t record = {0};

	shard_encode_claim(
	    &record, &(shard_writer_t){.name = name, .instance = 1}, 5);
	shard_apply(&test->shard, ++test->offset, str_buf(&record));
	buf_free(&record);
	test->epoch = test->offset;
	test->seq = 0;
	return (test->epoch);
}

static shard_effect_t
batch(shard_test_t *test, uint64_t epoch, uint64_t seq)
{
	buf_t record = {0};
	shard_effect_t effect;

	shard_encode_batch(&record,
	    &(shard_writer_t){
		.name = "a", .instance = 1, .epoch = epoch, .seq = seq},
	    test->count, str_buf(&test->entries));
	effect = shard_apply(&test->shard, ++test->offset, str_buf(&record));
	buf_free(&record);
	return (effect);
}

static shard_effect_t
commit(shard_test_t *test)
{
	shard_effect_t effect = batch(test, test->epoch, ++test->seq);

	buf_clear(&test->entries);
	test->count = 0;
	return (effect);
}

static void
add_job(shard_test_t *test, const char *id, uint64_t upload, uint32_t count)
{
	shard_job_t job = {.item_count = count, .upload = upload, .due = 99};

	str_copy(job.id, sizeof(job.id), str_of(id));
	str_copy(job.org, sizeof(job.org), STR("org"));
	shard_entry_job(&test->entries, &job);
	for (uint32_t i = 0; i < count; i++) {
		shard_item_line_t line = {STR("{\"n\":1}"), i % 2 == 1};

		shard_entry_items(&test->entries, &job, i, &line, 1);
	}
	shard_entry_sealed(&test->entries, &job);
	test->count += 2 + count;
}

static void
done(shard_test_t *test, uint32_t item, item_state_t state, const char *result)
{
	shard_entry_done(
	    &test->entries, JOB_ID, item, state, 1, str_of(result), 50);
	test->count++;
}

static const shard_job_t *
job_of(const shard_test_t *test)
{
	return (shard_find_job(&test->shard, JOB_ID));
}

/* Guards against a job that exists before all its items do. */
static void
test_job_exists_when_sealed(void)
{
	shard_test_t test;
	shard_job_t job = {.id = JOB_ID, .item_count = 2, .upload = 7};
	shard_item_line_t line = {STR("{}"), false};

	setup(&test);
	claim(&test, "a");
	shard_entry_job(&test.entries, &job);
	shard_entry_items(&test.entries, &job, 0, &line, 1);
	shard_entry_sealed(&test.entries, &job);
	test.count = 3;
	commit(&test);
	REQUIRE(job_of(&test) != NULL);
	CU_ASSERT_FALSE(job_of(&test)->sealed);
	/* Items of an upload that was given up must not complete another. */
	job.upload = 8;
	shard_entry_items(&test.entries, &job, 1, &line, 1);
	job.upload = 7;
	shard_entry_sealed(&test.entries, &job);
	test.count = 2;
	commit(&test);
	CU_ASSERT_FALSE(job_of(&test)->sealed);
	add_job(&test, JOB_ID, 9, 3);
	commit(&test);
	REQUIRE(job_of(&test) != NULL);
	CU_ASSERT(job_of(&test)->sealed);
	CU_ASSERT(job_of(&test)->item_count == 3);
	CU_ASSERT(job_of(&test)->items[1].no_repeat);
	/* An accepted job is not replaced. */
	add_job(&test, JOB_ID, 10, 5);
	commit(&test);
	CU_ASSERT(job_of(&test)->item_count == 3);
	teardown(&test);
}

/* Guards against a resent batch that counts twice and against a lost one. */
static void
test_batch_counts_once(void)
{
	shard_test_t test;

	setup(&test);
	claim(&test, "a");
	add_job(&test, JOB_ID, 1, 2);
	CU_ASSERT(batch(&test, test.epoch, 1) == SHARD_CHANGED);
	CU_ASSERT(batch(&test, test.epoch, 1) == SHARD_IGNORED);
	CU_ASSERT(batch(&test, test.epoch, 3) == SHARD_IGNORED);
	buf_clear(&test.entries);
	test.count = 0;
	done(&test, 0, ITEM_SUCCEEDED, "one");
	CU_ASSERT(batch(&test, test.epoch, 2) == SHARD_CHANGED);
	CU_ASSERT(test.shard.ineffective == 2);
	CU_ASSERT(job_of(&test)->finished == 1);
	teardown(&test);
}

/* Guards against a deposed owner whose batches still count. */
static void
test_deposed_owner_is_ignored(void)
{
	shard_test_t test;
	uint64_t old;

	setup(&test);
	old = claim(&test, "a");
	add_job(&test, JOB_ID, 1, 2);
	commit(&test);
	claim(&test, "b");
	done(&test, 0, ITEM_SUCCEEDED, "old");
	CU_ASSERT(batch(&test, old, 2) == SHARD_IGNORED);
	CU_ASSERT(batch(&test, old, 1) == SHARD_IGNORED);
	CU_ASSERT(job_of(&test)->finished == 0);
	CU_ASSERT(commit(&test) == SHARD_CHANGED);
	CU_ASSERT(job_of(&test)->finished == 1);
	CU_ASSERT(shard_owned_by(&test.shard, STR("b"), 1));
	CU_ASSERT_FALSE(shard_owned_by(&test.shard, STR("b"), 2));
	teardown(&test);
}

/* Guards against two completions of one item. */
static void
test_done_counts_once(void)
{
	shard_test_t test;

	setup(&test);
	claim(&test, "a");
	add_job(&test, JOB_ID, 1, 2);
	done(&test, 0, ITEM_SUCCEEDED, "first");
	done(&test, 0, ITEM_FAILED, "second");
	commit(&test);
	CU_ASSERT(job_of(&test)->finished == 1);
	CU_ASSERT(job_of(&test)->items[0].state == ITEM_SUCCEEDED);
	CU_ASSERT(str_equal(job_of(&test)->items[0].result, STR("first")));
	done(&test, 1, ITEM_FAILED, "");
	commit(&test);
	CU_ASSERT(job_of(&test)->finished_at == 50);
	teardown(&test);
}

/* Guards against work after a cancel and against results lost by one. */
static void
test_cancel_order(void)
{
	shard_test_t test;

	setup(&test);
	claim(&test, "a");
	add_job(&test, JOB_ID, 1, 4);
	done(&test, 0, ITEM_SUCCEEDED, "kept");
	shard_entry_start(&test.entries, JOB_ID, 1);
	shard_entry_cancel(&test.entries, JOB_ID, 60);
	shard_entry_start(&test.entries, JOB_ID, 3);
	test.count += 3;
	done(&test, 2, ITEM_SUCCEEDED, "late");
	commit(&test);
	CU_ASSERT(job_of(&test)->cancelled);
	CU_ASSERT(str_equal(job_of(&test)->items[0].result, STR("kept")));
	CU_ASSERT(job_of(&test)->items[1].state == ITEM_UNKNOWN);
	CU_ASSERT(job_of(&test)->items[2].state == ITEM_CANCELLED);
	CU_ASSERT(job_of(&test)->items[3].state == ITEM_CANCELLED);
	CU_ASSERT(job_of(&test)->finished == 4);
	CU_ASSERT(job_of(&test)->finished_at == 60);
	teardown(&test);
}

static void
intent(shard_test_t *test, uint64_t attempt)
{
	shard_entry_intent(&test->entries, &(shard_intent_t){.id = "key",
					       .org = "org",
					       .attempt = attempt,
					       .host = "h",
					       .request = "r"});
	test->count++;
}

static void
void_attempt(shard_test_t *test, uint64_t attempt)
{
	shard_entry_void(&test->entries, "key", "org", attempt, 1);
	test->count++;
}

/* Guards against two attempts that may both run a non-repeatable request. */
static void
test_one_intent_may_run(void)
{
	shard_test_t test;
	const shard_key_t *key;

	setup(&test);
	claim(&test, "a");
	intent(&test, 1);
	intent(&test, 2);
	commit(&test);
	key = shard_find_key(&test.shard, "key");
	REQUIRE(key != NULL);
	CU_ASSERT(key->intent && key->attempt == 1);
	/* Another attempt cannot record the outcome. */
	shard_entry_outcome(&test.entries, "key", 2, 200, STR("other"));
	shard_entry_outcome(&test.entries, "key", 1, 201, STR("own"));
	shard_entry_outcome(&test.entries, "key", 1, 500, STR("again"));
	test.count = 3;
	commit(&test);
	CU_ASSERT(key->has_outcome && key->status == 201);
	CU_ASSERT(str_equal(key->body, STR("own")));
	/* What ran is not ruled out any more. */
	void_attempt(&test, 1);
	commit(&test);
	CU_ASSERT(key->intent);
	teardown(&test);
}

/* Guards against "not run" for an attempt whose intent lands afterwards. */
static void
test_void_rules_a_late_intent_out(void)
{
	shard_test_t test;
	const shard_key_t *key;

	setup(&test);
	claim(&test, "a");
	void_attempt(&test, 1);
	intent(&test, 1);
	commit(&test);
	key = shard_find_key(&test.shard, "key");
	REQUIRE(key != NULL);
	CU_ASSERT_FALSE(key->intent);
	intent(&test, 2);
	commit(&test);
	CU_ASSERT(key->intent && key->attempt == 2);
	void_attempt(&test, 2);
	intent(&test, 3);
	commit(&test);
	CU_ASSERT(key->intent && key->attempt == 3);
	teardown(&test);
}

/* Guards against records that crash a reader or that stop the stream. */
static void
test_malformed_records_are_ignored(void)
{
	shard_test_t test;
	uint64_t state = 11;

	setup(&test);
	claim(&test, "a");
	add_job(&test, JOB_ID, 1, 2);
	for (int i = 0; i < 2000; i++) {
		buf_t record = {0};
		size_t at;

		shard_encode_batch(&record,
		    &(shard_writer_t){.name = "a",
			.instance = 1,
			.epoch = test.shard.epoch,
			.seq = test.shard.seq + 1},
		    test.count, str_buf(&test.entries));
		state = state * 6364136223846793005U + 1442695040888963407U;
		at = (size_t)(state >> 33) % record.len;
		record.data[at] ^= (char)(1U << (i % 8));
		if (i % 3 == 0)
			record.len = at;
		shard_apply(&test.shard, ++test.offset, str_buf(&record));
		buf_free(&record);
	}
	CU_ASSERT(test.shard.applied == test.offset);
	teardown(&test);
}

static void
make_varied_state(shard_test_t *test)
{
	claim(test, "a");
	add_job(test, "other", 3, 30);
	add_job(test, JOB_ID, 1, 4);
	done(test, 0, ITEM_SUCCEEDED, "kept");
	shard_entry_start(&test->entries, JOB_ID, 1);
	test->count++;
	intent(test, 4);
	void_attempt(test, 9);
	shard_entry_outcome(&test->entries, "key", 4, 200, STR("out"));
	test->count++;
	commit(test);
}

/* Writes a snapshot of the state; returns how many records it has. */
static size_t
write_snapshot(shard_test_t *test, buf_t *records, size_t max, uint64_t id)
{
	shard_writer_t writer = {.name = "a",
	    .instance = 1,
	    .epoch = test->shard.epoch,
	    .seq = test->shard.seq};
	snapshot_cursor_t cursor = {0};
	uint64_t covered = test->shard.applied;
	size_t n = 0;
	size_t count = 1;

	while (count > 0 && n < max) {
		buf_t entries = {0};
		shard_kind_t kind = SHARD_SNAP_CHUNK;

		if (n == 0)
			snapshot_begin_entry(&entries, &test->shard, 77);
		else
			count = snapshot_next(&test->shard, &cursor, &entries);
		if (n == 0)
			kind = SHARD_SNAP_BEGIN;
		else if (count == 0)
			kind = SHARD_SNAP_END;
		records[n] = (buf_t){0};
		shard_encode_snapshot(&records[n], &writer, kind, id, covered,
		    n, count, str_buf(&entries));
		buf_free(&entries);
		n++;
	}
	return (n);
}

/* Guards against state that a snapshot does not carry. */
static void
test_snapshot_round_trip(void)
{
	shard_test_t test;
	shard_t copy;
	buf_t records[16];
	snapshot_scan_t scan = {0};
	snapshot_load_t load;
	shard_mark_t chosen;
	const shard_job_t *job;
	const shard_key_t *key;
	size_t count;

	setup(&test);
	make_varied_state(&test);
	count = write_snapshot(&test, records, 16, 5);
	REQUIRE(count >= 3 && count < 16);
	for (size_t i = 0; i < count; i++)
		snapshot_scan(&scan, test.offset + 1 + i, str_buf(&records[i]));
	CU_ASSERT_FALSE(snapshot_choose(&scan, test.offset + 2, &chosen));
	CU_ASSERT_FATAL(snapshot_choose(&scan, test.offset + 1, &chosen));
	shard_init(&copy);
	snapshot_load_start(&load, &copy, &chosen);
	for (size_t i = 0; i < count; i++)
		snapshot_load(
		    &load, &copy, test.offset + 1 + i, str_buf(&records[i]));
	CU_ASSERT(load.complete);
	CU_ASSERT(copy.applied == test.offset && copy.seq == test.shard.seq);
	CU_ASSERT(copy.epoch == 1 && strcmp(copy.owner, "a") == 0);
	CU_ASSERT(copy.snapshot.time == 77);
	job = shard_find_job(&copy, JOB_ID);
	REQUIRE(job != NULL);
	CU_ASSERT(job->sealed && job->due == 99 && job->finished == 1);
	CU_ASSERT(job->counts[ITEM_STARTED] == 1);
	CU_ASSERT(job->counts[ITEM_PENDING] == 2);
	CU_ASSERT(str_equal(job->items[0].result, STR("kept")));
	CU_ASSERT(str_equal(job->items[2].input, STR("{\"n\":1}")));
	CU_ASSERT(job->items[3].no_repeat && !job->items[2].no_repeat);
	key = shard_find_key(&copy, "key");
	REQUIRE(key != NULL);
	CU_ASSERT(key->intent && key->attempt == 4 && key->status == 200);
	CU_ASSERT(str_equal(key->body, STR("out")));
	CU_ASSERT(shard_key_is_voided(key, 9));
	for (size_t i = 0; i < count; i++)
		buf_free(&records[i]);
	shard_reset(&copy);
	teardown(&test);
}

/*
 * Guards against the wrong snapshot: an incomplete one, one of a deposed owner,
 * and an older one that lands after a newer one of the same owner.
 */
static void
test_snapshot_choice(void)
{
	shard_test_t test;
	buf_t older[16];
	buf_t newer[16];
	snapshot_scan_t scan = {0};
	shard_mark_t chosen;
	size_t older_count;
	size_t newer_count;
	uint64_t at = 100;

	setup(&test);
	make_varied_state(&test);
	older_count = write_snapshot(&test, older, 16, 5);
	done(&test, 2, ITEM_SUCCEEDED, "more");
	commit(&test);
	newer_count = write_snapshot(&test, newer, 16, 6);
	snapshot_scan(&scan, at++, str_buf(&older[0]));
	for (size_t i = 0; i < newer_count; i++)
		snapshot_scan(&scan, at++, str_buf(&newer[i]));
	for (size_t i = 0; i < older_count; i++)
		snapshot_scan(&scan, at++, str_buf(&older[i]));
	CU_ASSERT(scan.best.id == 6 && scan.best.covered == test.offset);
	/* Without its last record it does not count. */
	scan = (snapshot_scan_t){0};
	for (size_t i = 0; i + 1 < newer_count; i++)
		snapshot_scan(&scan, 50 + i, str_buf(&newer[i]));
	CU_ASSERT_FALSE(snapshot_choose(&scan, 1, &chosen));
	/* Nor when the newest claim before it is another one. */
	scan = (snapshot_scan_t){.newest_claim = 40};
	for (size_t i = 0; i < newer_count; i++)
		snapshot_scan(&scan, 50 + i, str_buf(&newer[i]));
	CU_ASSERT_FALSE(snapshot_choose(&scan, 1, &chosen));
	for (size_t i = 0; i < older_count; i++)
		buf_free(&older[i]);
	for (size_t i = 0; i < newer_count; i++)
		buf_free(&newer[i]);
	teardown(&test);
}

#define MANY_ITEMS 180000U

/* Guards against memory and log bytes that a large job multiplies. */
static void
test_large_job_is_bounded(void)
{
	shard_test_t test;
	shard_job_t job = {.id = JOB_ID, .item_count = MANY_ITEMS, .upload = 1};
	shard_item_line_t line = {
	    STR("{\"model\":\"tally-lm\",\"prompt\":\"Summarise record "
		"000000 in one sentence.\",\"max_tokens\":32}"),
	    false};
	shard_item_line_t lines[1000];
	struct mallinfo2 before;
	struct mallinfo2 after;
	size_t log_bytes = 0;
	size_t chunk_max = 0;
	snapshot_cursor_t cursor = {0};
	buf_t entries = {0};

	setup(&test);
	claim(&test, "a");
	before = mallinfo2();
	shard_entry_job(&test.entries, &job);
	test.count = 1;
	commit(&test);
	for (size_t i = 0; i < 1000; i++)
		lines[i] = line;
	for (uint32_t i = 0; i < MANY_ITEMS; i += 1000) {
		shard_entry_items(&test.entries, &job, i, lines, 1000);
		test.count = 1;
		log_bytes += test.entries.len;
		commit(&test);
	}
	shard_entry_sealed(&test.entries, &job);
	test.count = 1;
	commit(&test);
	after = mallinfo2();
	REQUIRE(job_of(&test) != NULL);
	CU_ASSERT(job_of(&test)->sealed);
	printf("\n  input %zu bytes an item; memory %.1f, log %.1f bytes an "
	       "item (memory 0 under a sanitizer); 100,000 items: %.1f MB\n",
	    line.line.len,
	    (double)(after.uordblks - before.uordblks + after.hblkhd -
		     before.hblkhd) /
		MANY_ITEMS,
	    (double)log_bytes / MANY_ITEMS,
	    (double)(after.uordblks - before.uordblks + after.hblkhd -
		     before.hblkhd) /
		MANY_ITEMS / 10);
	CU_ASSERT(sizeof(shard_item_t) <= 40);
	CU_ASSERT(
	    after.uordblks + after.hblkhd - before.uordblks - before.hblkhd <
	    (size_t)MANY_ITEMS * (line.line.len + 64));
	CU_ASSERT(log_bytes < (size_t)MANY_ITEMS * (line.line.len + 8));
	while (snapshot_next(&test.shard, &cursor, &entries) > 0) {
		if (entries.len > chunk_max)
			chunk_max = entries.len;
		buf_clear(&entries);
	}
	CU_ASSERT(chunk_max <= SHARD_CHUNK_MAX);
	CU_ASSERT(chunk_max > SHARD_CHUNK_MAX / 2);
	buf_free(&entries);
	teardown(&test);
}

static const suite_test_t tests[] = {
    {"job exists when sealed", test_job_exists_when_sealed},
    {"batch counts once", test_batch_counts_once},
    {"deposed owner is ignored", test_deposed_owner_is_ignored},
    {"done counts once", test_done_counts_once},
    {"cancel order", test_cancel_order},
    {"one intent may run", test_one_intent_may_run},
    {"void rules a late intent out", test_void_rules_a_late_intent_out},
    {"malformed records are ignored", test_malformed_records_are_ignored},
    {"snapshot round trip", test_snapshot_round_trip},
    {"snapshot choice", test_snapshot_choice},
    {"large job is bounded", test_large_job_is_bounded},
};

SUITE_MAIN("shard", tests)
