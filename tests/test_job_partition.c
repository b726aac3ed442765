/* Tests of an owned partition: reads, concurrent owners, removal of jobs. */
#include "suite.h"

#include <stdlib.h>

#include "clock.h"
#include "harness_store.h"
#include "job_partition.h"
#include "job_records.h"
#include "job_results.h"
#include "result.h"

#define TOPIC "keyed.j"

/*
 * The routing table is empty, so each item fails after a few seconds. That
 * produces results without an engine.
 */
typedef struct fixture_t {
	struct ev_loop *loop;
	harness_store_t *store;
	routing_table_t *routes;
	job_partition_t *owners[2];
} fixture_t;

static routing_table_t *
routes_of(void *ctx)
{
	return (((fixture_t *)ctx)->routes);
}

static job_partition_t *
partition_start(fixture_t *f, double keep)
{
	return (job_partition_new(&(job_partition_params_t){
	    .loop = f->loop,
	    .store = harness_store_client(f->store),
	    .topic = TOPIC,
	    .keep = keep,
	    .runner = {.loop = f->loop, .routes = routes_of, .ctx = f},
	}));
}

static void
start(fixture_t *f)
{
	*f = (fixture_t){.loop = ev_loop_new(EVFLAG_AUTO)};
	f->store = harness_store_new(f->loop);
	f->routes = routing_table_new(0, 0);
}

static void
stop(fixture_t *f)
{
	for (size_t i = 0; i < 2; i++)
		if (f->owners[i] != NULL)
			job_partition_delete(f->owners[i]);
	harness_store_delete(f->store);
	routing_table_unref(f->routes);
	ev_loop_destroy(f->loop);
}

static void
on_stored(void *ctx, int rc, uint64_t end)
{
	(void)end;
	*(int *)ctx = rc;
}

static void
accept_job(fixture_t *f, size_t items)
{
	store_t *store = harness_store_client(f->store);
	job_records_t records = {0};
	job_t job = {0};
	int rc = 1;

	job.id = job_copy_str(&job, STR("job"));
	job.host = job_copy_str(&job, STR("a.example"));
	job.target = job_copy_str(&job, STR("/x/"));
	job.submitted = clock_wall();
	job.items = xcalloc(items + 1, sizeof(*job.items));
	for (size_t i = 0; i < items; i++) {
		char id[2] = {(char)('a' + (char)i), '\0'};
		job_item_t *item = &job.items[job.item_count++];

		item->id = job_copy_str(&job, str_of(id));
		item->target = job_copy_str(&job, STR("/x/1"));
		item->body = job_copy_str(&job, STR("body"));
		item->headers = xcalloc(1, sizeof(*item->headers));
	}
	job_records_accept(&records, &job);
	store->class->append(store, &(store_append_t){
					.topic = TOPIC,
					.records = records.records,
					.count = records.count,
					.expected_end = STORE_ANY_END,
					.timeout = 1,
					.on_done = on_stored,
					.ctx = &rc,
				    });
	harness_loop_for(f->loop, 0.02);
	CU_ASSERT(rc == 0);
	job_records_free(&records);
	job_free(&job);
}

typedef struct answer_t {
	bool done;
	int rc;
	buf_t body;
	double elapsed;
} answer_t;

static void
on_read(void *ctx, int rc, str_t body)
{
	answer_t *answer = ctx;

	answer->done = true;
	answer->rc = rc;
	answer->elapsed = clock_monotonic() - answer->elapsed;
	if (body.len > 0)
		buf_append(&answer->body, body);
}

static bool
is_done(void *ctx)
{
	return (((answer_t *)ctx)->done);
}

static answer_t
read_partition(fixture_t *f, job_partition_t *owner, const job_call_t *call)
{
	answer_t answer = {.elapsed = clock_monotonic()};

	job_partition_read(owner, call, on_read, &answer);
	CU_ASSERT(harness_loop_until(f->loop, is_done, &answer, 5));
	return (answer);
}

static bool
all_listed(void *ctx)
{
	return (
	    harness_store_count(((fixture_t *)ctx)->store, TOPIC, 0, "R") >= 6);
}

/*
 * Guards against a position that is assigned twice when two hosts believe that
 * they own the partition. With unconditional appends both would write position
 * 0.
 */
static void
test_two_owners_assign_each_position_once(void)
{
	fixture_t f;
	bool seen[6] = {false};

	start(&f);
	f.owners[0] = partition_start(&f, 0);
	f.owners[1] = partition_start(&f, 0);
	harness_loop_for(f.loop, 0.1);
	accept_job(&f, 6);
	harness_store_faults(f.store)->lose = 1;
	CU_ASSERT(harness_loop_until(f.loop, all_listed, &f, 10));
	harness_loop_for(f.loop, 0.5);
	for (size_t i = 0; i < 2; i++) {
		answer_t a = read_partition(&f, f.owners[i],
		    &(job_call_t){.kind = JOB_CALL_RESULTS, .job = "job"});
		job_results_message_t m;

		CU_ASSERT(a.rc == 0);
		CU_ASSERT_FATAL(job_results_unpack(str_buf(&a.body), &m) == 0);
		CU_ASSERT(m.results.total == 6 && m.results.count == 6);
		for (size_t k = 0; k < m.results.count; k++) {
			size_t item = (size_t)(m.items[k].item.data[0] - 'a');

			CU_ASSERT(i == 1 || !seen[item]);
			seen[item] = true;
		}
		job_results_free(&m);
		buf_free(&a.body);
	}
	CU_ASSERT(harness_store_count(f.store, TOPIC, 0, "R") == 6);
	stop(&f);
}

/*
 * Guards against a "not found" or an empty list of results from a host that has
 * lost contact to the store, whose state may be stale.
 */
static void
test_stale_owner_reports_nothing_missing(void)
{
	fixture_t f;
	answer_t a;
	const job_call_t unknown = {.kind = JOB_CALL_RESULTS, .job = "none"};
	const job_call_t known = {
	    .kind = JOB_CALL_RESULTS, .job = "job", .wait = 0.1};

	start(&f);
	f.owners[0] = partition_start(&f, 0);
	accept_job(&f, 2);
	harness_loop_for(f.loop, 0.7);
	a = read_partition(&f, f.owners[0], &unknown);
	CU_ASSERT(a.rc == -RESULT_NOT_FOUND);
	a = read_partition(&f, f.owners[0], &known);
	CU_ASSERT(a.rc == 0);
	buf_free(&a.body);
	harness_store_faults(f.store)->silent = true;
	harness_loop_for(f.loop, 1.2);
	a = read_partition(&f, f.owners[0], &unknown);
	CU_ASSERT(a.rc == -RESULT_NOT_OWNER);
	a = read_partition(&f, f.owners[0], &known);
	CU_ASSERT(a.rc == -RESULT_NOT_OWNER);
	/* An item's body does not change and stays readable. */
	a = read_partition(&f, f.owners[0],
	    &(job_call_t){.kind = JOB_CALL_ITEM, .job = "job", .item = "a"});
	CU_ASSERT(a.rc == 0 && str_equal(str_buf(&a.body), STR("body")));
	buf_free(&a.body);
	stop(&f);
}

/* Guards against a waiting read that misses the result and times out. */
static void
test_read_waits_for_a_result(void)
{
	fixture_t f;
	answer_t a;

	start(&f);
	f.owners[0] = partition_start(&f, 0);
	accept_job(&f, 1);
	harness_loop_for(f.loop, 0.1);
	a = read_partition(&f, f.owners[0],
	    &(job_call_t){.kind = JOB_CALL_RESULTS, .job = "job", .wait = 4.5});
	CU_ASSERT(a.rc == 0);
	CU_ASSERT(a.elapsed > 2 && a.elapsed < 4.2);
	buf_free(&a.body);
	stop(&f);
}

static bool
is_empty(void *ctx)
{
	return (
	    harness_store_count(((fixture_t *)ctx)->store, TOPIC, 0, "") == 0);
}

/* Guards against finished jobs that are never removed from the store. */
static void
test_finished_job_is_removed(void)
{
	fixture_t f;

	start(&f);
	f.owners[0] = partition_start(&f, 1);
	accept_job(&f, 2);
	CU_ASSERT(harness_loop_until(f.loop, is_empty, &f, 15));
	stop(&f);
}

static const suite_test_t tests[] = {
    {"two owners assign each position once",
	test_two_owners_assign_each_position_once},
    {"a stale owner reports nothing missing",
	test_stale_owner_reports_nothing_missing},
    {"a read waits for a result", test_read_waits_for_a_result},
    {"a finished job is removed", test_finished_job_is_removed},
};

SUITE_MAIN("job_partition", tests)
