/* Tests of calls to the owner of a shard, from it and from other hosts. */
#include "suite.h"

#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "harness_cluster.h"
#include "result.h"

#define PENDING 12345
#define ORG	"org"

/* What the callback of one call got. */
typedef struct answer_t {
	int rc;
	unsigned calls;
	durable_job_t job;
	durable_permit_t permit;
	char body[64];
	uint32_t next;
	size_t count;
	uint32_t last_index;
	uint32_t succeeded;
} answer_t;

static bool
is_answered(void *ctx)
{
	return (((answer_t *)ctx)->calls > 0);
}

static void
on_job(void *ctx, int rc, const durable_job_t *job)
{
	answer_t *answer = ctx;

	answer->calls++;
	answer->rc = rc;
	if (job != NULL)
		answer->job = *job;
}

static void
on_page(void *ctx, int rc, const durable_page_t *page)
{
	answer_t *answer = ctx;

	answer->calls++;
	answer->rc = rc;
	if (page == NULL)
		return;
	answer->next = page->next;
	answer->count = page->count;
	for (size_t i = 0; i < page->count; i++) {
		answer->last_index = page->items[i].index;
		if (page->items[i].state == ITEM_SUCCEEDED) {
			answer->succeeded++;
			str_copy(answer->body, sizeof(answer->body),
			    page->items[i].result);
		}
	}
}

static void
on_permit(void *ctx, int rc, const durable_permit_t *permit)
{
	answer_t *answer = ctx;

	answer->calls++;
	answer->rc = rc;
	answer->permit = *permit;
	str_copy(answer->body, sizeof(answer->body), permit->body);
}

static void
on_done(void *ctx, int rc)
{
	answer_t *answer = ctx;

	answer->calls++;
	answer->rc = rc;
}

static answer_t
wait_for(cluster_t *cluster, answer_t *answer)
{
	CU_ASSERT(cluster_wait(cluster, is_answered, answer, 15));
	CU_ASSERT(answer->calls == 1);
	return (*answer);
}

static answer_t
submit(cluster_t *cluster, size_t host, const char *key, str_t lines,
    uint32_t count)
{
	answer_t answer = {.rc = PENDING};

	durable_job_submit(cluster->hosts[host].durable,
	    &(durable_submit_t){
		.org = ORG,
		.key = key,
		.lines = lines,
		.count = count,
		.parameters = STR("due_s=0"),
	    },
	    3.0, on_job, &answer);
	return (wait_for(cluster, &answer));
}

static answer_t
get(cluster_t *cluster, size_t host, const char *id)
{
	answer_t answer = {.rc = PENDING};

	durable_job_get(
	    cluster->hosts[host].durable, ORG, id, 5.0, on_job, &answer);
	return (wait_for(cluster, &answer));
}

static answer_t
cancel(cluster_t *cluster, size_t host, const char *org, const char *id)
{
	answer_t answer = {.rc = PENDING};

	durable_job_cancel(
	    cluster->hosts[host].durable, org, id, 5.0, on_job, &answer);
	return (wait_for(cluster, &answer));
}

static answer_t
results(cluster_t *cluster, size_t host, const char *id, uint32_t from,
    uint32_t max)
{
	answer_t answer = {.rc = PENDING};

	durable_job_results(cluster->hosts[host].durable, ORG, id, from, max,
	    5.0, on_page, &answer);
	return (wait_for(cluster, &answer));
}

static answer_t
intent(cluster_t *cluster, size_t host, const char *key, double start_in)
{
	answer_t answer = {.rc = PENDING};

	durable_intent(cluster->hosts[host].durable,
	    &(durable_intent_t){
		.org = ORG,
		.key = key,
		.request = "same-request-id",
		.start_before = (uint64_t)(clock_wall() + start_in),
	    },
	    2.0, on_permit, &answer);
	return (wait_for(cluster, &answer));
}

static answer_t
outcome(cluster_t *cluster, size_t host, const char *key, uint64_t attempt,
    const char *body)
{
	answer_t answer = {.rc = PENDING};

	durable_outcome(cluster->hosts[host].durable, ORG, key, attempt, 201,
	    str_of(body), 3.0, on_done, &answer);
	return (wait_for(cluster, &answer));
}

static answer_t
void_attempt(cluster_t *cluster, size_t host, const char *key, uint64_t attempt)
{
	answer_t answer = {.rc = PENDING};

	durable_void(cluster->hosts[host].durable, ORG, key, attempt, 3.0,
	    on_done, &answer);
	return (wait_for(cluster, &answer));
}

#define SMALL_JOB "{\"a\":1}\n{\"a\":2,\"no_repeat\":true}"

static str_t
small_job(void)
{
	return (STR(SMALL_JOB));
}

/*
 * Guards against a resent job that is accepted twice and against a key that
 * stands for two contents, on every host.
 */
static void
test_submit_from_any_host(void)
{
	cluster_t cluster;

	cluster_init(&cluster, 1);
	cluster_wait_owned(&cluster);
	for (size_t i = 0; i < CLUSTER_HOSTS; i++) {
		answer_t answer = submit(&cluster, i, "key", small_job(), 2);

		CU_ASSERT(answer.rc == 0);
		CU_ASSERT(answer.job.existed == (i > 0));
		CU_ASSERT(answer.job.item_count == 2);
		CU_ASSERT(answer.job.counts[ITEM_PENDING] == 2);
		answer = submit(&cluster, i, "key", STR("{\"a\":3}"), 1);
		CU_ASSERT(answer.rc == -RESULT_CONFLICT);
		answer = submit(&cluster, i, "short", small_job(), 3);
		CU_ASSERT(answer.rc == -RESULT_BAD_REQUEST);
	}
	cluster_free(&cluster);
}

/* Guards against one organisation that reads or cancels another one's job. */
static void
test_status_results_and_cancel(void)
{
	cluster_t cluster;
	answer_t answer;
	char id[SHARD_ID_SIZE];
	cluster_host_t *owner;
	unsigned shard;
	shard_job_t *job;

	cluster_init(&cluster, 2);
	cluster_wait_owned(&cluster);
	answer = submit(&cluster, 0, "key", small_job(), 2);
	durable_job_id(STR(ORG), STR("key"), id);
	CU_ASSERT(strcmp(answer.job.id, id) == 0);
	owner = &cluster.hosts[cluster_owner_of(&cluster, id)];
	shard = shard_owner_shard_of(owner->owner, id);
	job = shard_find_job(shard_owner_state(owner->owner, shard), id);
	CU_ASSERT(job->items[1].no_repeat && !job->items[0].no_repeat);
	shard_owner_complete_item(
	    owner->owner, shard, job, 0, ITEM_SUCCEEDED, 1, STR("{}"));
	for (size_t i = 0; i < CLUSTER_HOSTS; i++) {
		CU_ASSERT(
		    cancel(&cluster, i, "other", id).rc == -RESULT_NOT_FOUND);
		CU_ASSERT(get(&cluster, i, "0123").rc == -RESULT_NOT_FOUND);
		answer = get(&cluster, i, id);
		CU_ASSERT(answer.rc == 0);
		CU_ASSERT(!answer.job.cancelled);
	}
	answer = cancel(&cluster, 1, ORG, id);
	CU_ASSERT(answer.rc == 0 && answer.job.cancelled);
	CU_ASSERT(answer.job.counts[ITEM_SUCCEEDED] == 1);
	CU_ASSERT(answer.job.counts[ITEM_CANCELLED] == 1);
	answer = results(&cluster, 2, id, 0, 10);
	CU_ASSERT(answer.rc == 0 && answer.count == 2);
	CU_ASSERT(answer.succeeded == 1 && strcmp(answer.body, "{}") == 0);
	answer = results(&cluster, 2, id, 1, 10);
	CU_ASSERT(answer.count == 1 && answer.last_index == 1);
	answer = results(&cluster, 2, id, 99, 10);
	CU_ASSERT(answer.rc == 0 && answer.count == 0);
	cluster_free(&cluster);
}

/* Guards against a large job that no message can carry. */
static void
test_large_job(void)
{
	cluster_t cluster;
	buf_t lines = {0};
	uint32_t count = 60000;
	char id[SHARD_ID_SIZE];
	answer_t answer;
	size_t other;
	uint64_t appends;

	cluster_init(&cluster, 3);
	cluster_wait_owned(&cluster);
	for (uint32_t i = 0; i < count; i++)
		buf_printf(&lines,
		    "{\"model\":\"m\",\"prompt\":\"a prompt of some length "
		    "%u\",\"max_tokens\":16}\n",
		    i);
	durable_job_id(STR(ORG), STR("large"), id);
	other = cluster_other_than(&cluster, cluster_owner_of(&cluster, id));
	appends = log_memory_appends(cluster.log);
	answer = submit(&cluster, other, "large", str_buf(&lines), count);
	printf("\n  %u items, %zu bytes from another host: %llu appends\n",
	    count, lines.len,
	    (unsigned long long)(log_memory_appends(cluster.log) - appends));
	CU_ASSERT(answer.rc == 0 && answer.job.item_count == count);
	CU_ASSERT(get(&cluster, other, id).job.counts[ITEM_PENDING] == count);
	answer = submit(&cluster, other, "large", str_buf(&lines), count);
	CU_ASSERT(answer.rc == 0 && answer.job.existed);
	answer = results(&cluster, other, id, 100, 100000);
	CU_ASSERT(answer.rc == 0 && answer.count == 10000);
	CU_ASSERT(answer.next == 10100 && answer.last_index == 10099);
	buf_free(&lines);
	cluster_free(&cluster);
}

/* Guards against parts of two uploads that mix. */
static void
test_two_hosts_upload_one_job(void)
{
	cluster_t cluster;
	buf_t lines = {0};
	uint32_t count = 60000;
	char id[SHARD_ID_SIZE];
	char line[80];
	answer_t answers[CLUSTER_HOSTS] = {0};
	const cluster_host_t *owner;
	const shard_job_t *job;
	uint32_t wrong = 0;

	cluster_init(&cluster, 12);
	cluster_wait_owned(&cluster);
	for (uint32_t i = 0; i < count; i++)
		buf_printf(
		    &lines, "{\"a line of some length, number\":%u}\n", i);
	durable_job_id(STR(ORG), STR("large"), id);
	/* Opens the links, so that the parts arrive in turn. */
	for (size_t i = 0; i < CLUSTER_HOSTS; i++)
		CU_ASSERT(get(&cluster, i, id).rc == -RESULT_NOT_FOUND);
	for (size_t i = 0; i < CLUSTER_HOSTS; i++) {
		if (i == cluster_owner_of(&cluster, id)) {
			answers[i].calls = 1;
			continue;
		}
		durable_job_submit(cluster.hosts[i].durable,
		    &(durable_submit_t){
			.org = ORG,
			.key = "large",
			.lines = str_buf(&lines),
			.count = count,
		    },
		    5.0, on_job, &answers[i]);
	}
	for (size_t i = 0; i < CLUSTER_HOSTS; i++) {
		CU_ASSERT(cluster_wait(&cluster, is_answered, &answers[i], 15));
		CU_ASSERT(answers[i].rc == 0 && answers[i].calls == 1);
	}
	owner = &cluster.hosts[cluster_owner_of(&cluster, id)];
	job = shard_find_job(shard_owner_state(owner->owner,
				 shard_owner_shard_of(owner->owner, id)),
	    id);
	CU_ASSERT_FATAL(job != NULL && job->item_count == count);
	for (uint32_t i = 0; i < count; i++) {
		snprintf(line, sizeof(line),
		    "{\"a line of some length, number\":%u}", i);
		wrong += !str_equal(job->items[i].input, str_of(line));
	}
	CU_ASSERT(wrong == 0);
	buf_free(&lines);
	cluster_free(&cluster);
}

/* Guards against a wrong "not run" and against a job that is lost by it. */
static void
test_outage_is_told_truthfully(void)
{
	cluster_t cluster;
	char id[SHARD_ID_SIZE];
	answer_t answer;
	size_t other;

	cluster_init(&cluster, 4);
	cluster_wait_owned(&cluster);
	durable_job_id(STR(ORG), STR("key"), id);
	other = cluster_other_than(&cluster, cluster_owner_of(&cluster, id));
	log_memory_set_faults(cluster.log, &(log_faults_t){.outage = true});
	answer = submit(&cluster, other, "key", small_job(), 2);
	CU_ASSERT(answer.rc == -RESULT_LOG_UNAVAILABLE);
	CU_ASSERT(result_outcome(answer.rc) == OUTCOME_NOT_RUN);
	/* An append without an answer may take effect after the outage. */
	log_memory_set_faults(
	    cluster.log, &(log_faults_t){.late_percent = 100});
	answer = submit(&cluster, other, "key", small_job(), 2);
	CU_ASSERT(result_outcome(answer.rc) == OUTCOME_UNKNOWN);
	log_memory_set_faults(cluster.log, &(log_faults_t){0});
	log_memory_apply_late(cluster.log, 1);
	answer = submit(&cluster, other, "key", small_job(), 2);
	CU_ASSERT(answer.rc == 0);
	answer = submit(&cluster, other, "key", small_job(), 2);
	CU_ASSERT(answer.rc == 0 && answer.job.existed);
	cluster_free(&cluster);
}

/* Guards against a slow commit that costs the link and all its calls. */
static void
test_slow_owner_keeps_its_link(void)
{
	cluster_t cluster;
	char id[SHARD_ID_SIZE];
	answer_t answer;
	counter_t *dropped =
	    counter_get("daisypier_peer_links_dropped_total", "");
	double before;
	size_t other;

	cluster_init(&cluster, 13);
	cluster_wait_owned(&cluster);
	durable_job_id(STR(ORG), STR("key"), id);
	other = cluster_other_than(&cluster, cluster_owner_of(&cluster, id));
	CU_ASSERT(get(&cluster, other, id).rc == -RESULT_NOT_FOUND);
	before = counter_value(dropped);
	cluster.log_frozen = true;
	answer = submit(&cluster, other, "key", small_job(), 2);
	CU_ASSERT(answer.rc == -RESULT_OWNER_UNREACHABLE);
	CU_ASSERT(counter_value(dropped) == before);
	cluster.log_frozen = false;
	CU_ASSERT(submit(&cluster, other, "key", small_job(), 2).rc == 0);
	cluster_free(&cluster);
}

/* Guards against an acknowledged job that is lost with its owner. */
static void
test_owner_dies(void)
{
	cluster_t cluster;
	char id[SHARD_ID_SIZE];
	answer_t answer = {.rc = PENDING};
	size_t owner;
	size_t other;

	cluster_init(&cluster, 5);
	cluster_wait_owned(&cluster);
	durable_job_id(STR(ORG), STR("first"), id);
	owner = cluster_owner_of(&cluster, id);
	other = cluster_other_than(&cluster, owner);
	CU_ASSERT(submit(&cluster, other, "first", small_job(), 2).rc == 0);
	/* The same key again is on its way when the owner dies. */
	cluster.log_frozen = true;
	durable_job_get(
	    cluster.hosts[other].durable, ORG, id, 15.0, on_job, &answer);
	ev_run(cluster.loop, EVRUN_ONCE);
	cluster_kill(&cluster, owner);
	cluster.log_frozen = false;
	CU_ASSERT(wait_for(&cluster, &answer).rc == 0);
	CU_ASSERT(answer.job.item_count == 2);
	CU_ASSERT(cluster_owner_of(&cluster, id) != owner);
	CU_ASSERT(submit(&cluster, other, "first", small_job(), 2).job.existed);
	cluster_free(&cluster);
}

/* Guards against "not run" when the owner died with the job in hand. */
static void
test_owner_dies_in_mid_submit(void)
{
	cluster_t cluster;
	char id[SHARD_ID_SIZE];
	answer_t answer = {.rc = PENDING};
	size_t owner;
	size_t other;

	cluster_init(&cluster, 6);
	cluster_wait_owned(&cluster);
	durable_job_id(STR(ORG), STR("key"), id);
	owner = cluster_owner_of(&cluster, id);
	other = cluster_other_than(&cluster, owner);
	log_memory_set_faults(
	    cluster.log, &(log_faults_t){.late_percent = 100});
	durable_job_submit(cluster.hosts[other].durable,
	    &(durable_submit_t){
		.org = ORG,
		.key = "key",
		.lines = small_job(),
		.count = 2,
	    },
	    1.0, on_job, &answer);
	for (int i = 0; i < 100 && log_memory_late_count(cluster.log) == 0; i++)
		ev_run(cluster.loop, EVRUN_ONCE);
	CU_ASSERT(log_memory_late_count(cluster.log) > 0);
	cluster_kill(&cluster, owner);
	wait_for(&cluster, &answer);
	CU_ASSERT(result_outcome(answer.rc) == OUTCOME_UNKNOWN);
	log_memory_set_faults(cluster.log, &(log_faults_t){0});
	cluster_free(&cluster);
}

/* Guards against "unknown" when nothing can have happened. */
static void
test_no_owner_is_not_run(void)
{
	cluster_t cluster;
	answer_t answer;

	cluster_init(&cluster, 7);
	for (size_t i = 0; i < CLUSTER_HOSTS; i++)
		cluster.members[i].ready = false;
	answer = submit(&cluster, 0, "key", small_job(), 2);
	CU_ASSERT(answer.rc == -RESULT_NOT_READY);
	CU_ASSERT(result_outcome(answer.rc) == OUTCOME_NOT_RUN);
	cluster_free(&cluster);
}

/*
 * Guards against two runs of a non-repeatable request, also when a caller sends
 * it with one request id to two hosts.
 */
static void
test_one_run_for_a_key(void)
{
	cluster_t cluster;
	answer_t first;
	answer_t answer;

	cluster_init(&cluster, 8);
	cluster_wait_owned(&cluster);
	first = intent(&cluster, 0, "key", 30);
	CU_ASSERT(first.rc == 0 && first.permit.run);
	for (size_t i = 0; i < CLUSTER_HOSTS; i++) {
		answer = intent(&cluster, i, "key", 30);
		CU_ASSERT(answer.rc == -RESULT_IN_PROGRESS);
		CU_ASSERT_FALSE(answer.permit.run);
	}
	answer = outcome(&cluster, 1, "key", first.permit.attempt + 1, "bad");
	CU_ASSERT(answer.rc == -RESULT_CONFLICT);
	answer = outcome(&cluster, 0, "key", first.permit.attempt, "done");
	CU_ASSERT(answer.rc == 0);
	for (size_t i = 0; i < CLUSTER_HOSTS; i++) {
		answer = intent(&cluster, i, "key", -5);
		CU_ASSERT(answer.rc == 0);
		CU_ASSERT_FALSE(answer.permit.run);
		CU_ASSERT(answer.permit.status == 201);
		CU_ASSERT(strcmp(answer.body, "done") == 0);
	}
	answer = intent(&cluster, 1, "late", -5);
	CU_ASSERT(answer.rc == -RESULT_EXPIRED);
	cluster_free(&cluster);
}

/* Guards against a second run after the host of the first one was lost. */
static void
test_lost_run_stays_unknown(void)
{
	cluster_t cluster;
	answer_t answer;
	char id[SHARD_ID_SIZE];
	size_t runner;
	size_t other;

	cluster_init(&cluster, 9);
	cluster_wait_owned(&cluster);
	durable_job_id(STR(ORG), STR("key"), id);
	runner = cluster_owner_of(&cluster, id);
	other = cluster_other_than(&cluster, runner);
	CU_ASSERT(intent(&cluster, runner, "key", 30).permit.run);
	cluster_kill(&cluster, runner);
	cluster_wait_owned(&cluster);
	answer = intent(&cluster, other, "key", 30);
	CU_ASSERT(answer.rc == -RESULT_RESULT_LOST);
	CU_ASSERT(result_outcome(answer.rc) == OUTCOME_UNKNOWN);
	cluster_free(&cluster);
}

/* Guards against "not run" while an intent may still take effect. */
static void
test_void_settles_an_intent(void)
{
	cluster_t cluster;
	answer_t first;
	answer_t answer;

	cluster_init(&cluster, 10);
	cluster_wait_owned(&cluster);
	log_memory_set_faults(
	    cluster.log, &(log_faults_t){.late_percent = 100});
	first = intent(&cluster, 0, "key", 30);
	CU_ASSERT(result_outcome(first.rc) == OUTCOME_UNKNOWN);
	CU_ASSERT_FALSE(first.permit.run);
	log_memory_set_faults(cluster.log, &(log_faults_t){0});
	answer = void_attempt(&cluster, 0, "key", first.permit.attempt);
	CU_ASSERT(answer.rc == 0);
	log_memory_apply_late(cluster.log, 100);
	answer = intent(&cluster, 1, "key", 30);
	CU_ASSERT(answer.rc == 0 && answer.permit.run);
	/* What ran cannot be voided. */
	CU_ASSERT(
	    outcome(&cluster, 1, "key", answer.permit.attempt, "x").rc == 0);
	CU_ASSERT(void_attempt(&cluster, 1, "key", answer.permit.attempt).rc ==
		  -RESULT_CONFLICT);
	cluster_free(&cluster);
}

/* Guards against callbacks that are lost when a host stops. */
static void
test_stop_answers_open_calls(void)
{
	cluster_t cluster;
	answer_t answers[4] = {0};

	cluster_init(&cluster, 11);
	cluster_wait_owned(&cluster);
	cluster.log_frozen = true;
	for (size_t i = 0; i < 4; i++) {
		char key[8];

		snprintf(key, sizeof(key), "k%u", (unsigned)i % 10);
		durable_job_submit(cluster.hosts[0].durable,
		    &(durable_submit_t){
			.org = ORG,
			.key = key,
			.lines = small_job(),
			.count = 2,
		    },
		    10.0, on_job, &answers[i]);
	}
	for (int i = 0; i < 20; i++)
		ev_run(cluster.loop, EVRUN_ONCE);
	cluster_kill(&cluster, 0);
	for (size_t i = 0; i < 4; i++) {
		CU_ASSERT(answers[i].calls == 1);
		CU_ASSERT(answers[i].rc != 0);
	}
	cluster.log_frozen = false;
	cluster_free(&cluster);
}

static const suite_test_t tests[] = {
    {"submit from any host", test_submit_from_any_host},
    {"status, results and cancel", test_status_results_and_cancel},
    {"large job", test_large_job},
    {"two hosts upload one job", test_two_hosts_upload_one_job},
    {"outage is told truthfully", test_outage_is_told_truthfully},
    {"slow owner keeps its link", test_slow_owner_keeps_its_link},
    {"owner dies", test_owner_dies},
    {"owner dies in mid-submit", test_owner_dies_in_mid_submit},
    {"no owner is not run", test_no_owner_is_not_run},
    {"one run for a key", test_one_run_for_a_key},
    {"lost run stays unknown", test_lost_run_stays_unknown},
    {"void settles an intent", test_void_settles_an_intent},
    {"stop answers open calls", test_stop_answers_open_calls},
};

SUITE_MAIN("durable", tests)
