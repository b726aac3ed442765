/* Load pattern and replay of the removal of finished jobs. */
#include "suite.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "job_expiry.h"

/* Twice the jobs of the largest installation, in all partitions. */
#define JOBS_PER_S    26.8
#define ITEMS_PER_JOB 200 /* the most that a job may have */
#define KEEP_S	      60.0
/* The partition of the replay gets its share of the jobs. */
#define PARTITION_RATE (JOBS_PER_S / STORE_PARTITIONS)
#define MAX_BYTES      1000000 /* of an append of results */

typedef struct replay_t {
	job_table_t *table;
	double now;
	double next_check;
	unsigned submitted;
	size_t most_bytes; /* of one append */
} replay_t;

static void
on_change(void *ctx, stored_job_t *job, job_change_t change)
{
	(void)ctx;
	(void)job;
	(void)change;
}

static void
apply_all(job_table_t *table, const job_records_t *records)
{
	for (size_t i = 0; i < records->count; i++)
		job_table_apply(table, &records->records[i]);
}

/* Stores a job of this many items with a result for each of the first ones. */
static void
store_job(replay_t *r, size_t items, size_t results)
{
	job_records_t records = {0};
	job_t job = {0};
	char text[32];

	snprintf(text, sizeof(text), "job-%u", r->submitted++);
	job.id = job_copy_str(&job, str_of(text));
	job.host = job_copy_str(&job, STR("a.example"));
	job.target = job_copy_str(&job, STR("/x/"));
	job.submitted = r->now;
	job.items = xcalloc(items, sizeof(*job.items));
	for (size_t i = 0; i < items; i++) {
		job_item_t *item = &job.items[job.item_count++];

		snprintf(text, sizeof(text), "item-%zu", i);
		item->id = job_copy_str(&job, str_of(text));
		item->target = job.target;
		item->headers = xcalloc(1, sizeof(*item->headers));
	}
	job_records_accept(&records, &job);
	apply_all(r->table, &records);
	job_records_free(&records);
	for (size_t i = 0; i < results; i++)
		job_records_result(&records, job_table_find(r->table, job.id),
		    i,
		    &(job_result_t){
			.item = job.items[i].id,
			.outcome = JOB_ITEM_DONE,
			.output = STR("output"),
		    },
		    MAX_BYTES);
	apply_all(r->table, &records);
	job_records_free(&records);
	job_free(&job);
}

/* Removes what is due, as an owner does whose appends all take effect. */
static void
check_expiry(replay_t *r)
{
	job_records_t records = {0};

	r->next_check =
	    r->now +
	    job_expiry_select(&(job_expiry_t){.keep = KEEP_S, .now = r->now},
		r->table, &records);
	if (records.bytes > r->most_bytes)
		r->most_bytes = records.bytes;
	apply_all(r->table, &records);
	job_records_free(&records);
}

/* Lets jobs arrive for a while; removes some if the owner has contact. */
static void
replay(replay_t *r, double seconds, bool removes)
{
	double end = r->now + seconds;

	while (r->now < end) {
		r->now += 1 / PARTITION_RATE;
		store_job(r, ITEMS_PER_JOB, ITEMS_PER_JOB);
		if (removes && r->now >= r->next_check)
			check_expiry(r);
	}
}

/*
 * Guards against finished jobs that pile up: one job was removed in 10 s, a
 * sixteenth of what arrives here.
 */
static void
test_removal_keeps_up(void)
{
	replay_t r = {.table = job_table_new(on_change, NULL), .now = 1000};
	double limit = PARTITION_RATE * (KEEP_S + JOB_EXPIRY_INTERVAL_S) + 1;

	replay(&r, 4 * KEEP_S, true);
	CU_ASSERT((double)job_table_count(r.table) <= ceil(limit));
	/* What an outage of the store leaves behind is gone soon after it. */
	replay(&r, KEEP_S, false);
	CU_ASSERT((double)job_table_count(r.table) > 1.8 * limit);
	replay(&r, KEEP_S / 4, true);
	CU_ASSERT((double)job_table_count(r.table) <= ceil(limit));
	printf(
	    " (%zu jobs, %zu bytes) ", job_table_count(r.table), r.most_bytes);
	job_table_delete(r.table);
}

/* Guards against removals that hold results up: an append stays small. */
static void
test_appends_are_small(void)
{
	replay_t r = {.table = job_table_new(on_change, NULL), .now = 1000};

	replay(&r, 2 * KEEP_S, false);
	r.now += KEEP_S;
	check_expiry(&r);
	CU_ASSERT(r.next_check == r.now + JOB_EXPIRY_BUSY_INTERVAL_S);
	CU_ASSERT(r.most_bytes < 1.1 * JOB_EXPIRY_APPEND_BYTES);
	CU_ASSERT(job_table_count(r.table) < r.submitted);
	job_table_delete(r.table);
}

/* Guards against the removal of jobs whose items or retention are not over. */
static void
test_only_expired_jobs_are_removed(void)
{
	replay_t r = {.table = job_table_new(on_change, NULL), .now = 1000};

	store_job(&r, 2, 1);
	store_job(&r, 2, 2);
	r.now += KEEP_S;
	check_expiry(&r);
	CU_ASSERT(job_table_count(r.table) == 2);
	r.now += 1;
	store_job(&r, 2, 2);
	check_expiry(&r);
	CU_ASSERT(r.next_check == r.now + JOB_EXPIRY_INTERVAL_S);
	CU_ASSERT(job_table_find(r.table, STR("job-0")) != NULL);
	CU_ASSERT(job_table_find(r.table, STR("job-1")) == NULL);
	CU_ASSERT(job_table_find(r.table, STR("job-2")) != NULL);
	job_table_delete(r.table);
}

static const suite_test_t tests[] = {
    {"removal keeps up", test_removal_keeps_up},
    {"appends are small", test_appends_are_small},
    {"only expired jobs are removed", test_only_expired_jobs_are_removed},
};

SUITE_MAIN("job_expiry", tests)
