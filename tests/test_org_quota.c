/* Tests of the token buckets of organisations, in virtual time. */
#include "suite.h"

#include <math.h>
#include <stdlib.h>

#include "clock.h"
#include "org_share.h"

#define ORG	 STR("acme")
#define MAX_RUNS 40000
/* Sum of the rounding errors of a test. */
#define EPSILON 1e-4

/* Requests that ran, in order of time, and the limit that holds for them. */
typedef struct runs_t {
	org_limit_t limit;
	size_t count;
	double at[MAX_RUNS];
} runs_t;

static runs_t runs;

static void
runs_start(double requests_per_s, double burst)
{
	runs = (runs_t){.limit = {requests_per_s, burst}};
}

static void
runs_add(double now)
{
	if (runs.count < MAX_RUNS)
		runs.at[runs.count++] = now;
}

static int
compare_times(const void *a, const void *b)
{
	double first = *(const double *)a;
	double second = *(const double *)b;

	return ((first > second) - (first < second));
}

/*
 * Returns by how many requests the worst of all sliding windows exceeds
 * rate * length + burst; at most 0 if none does.
 */
static double
runs_excess(void)
{
	double lowest = INFINITY;
	double excess = -INFINITY;

	for (size_t i = 0; i < runs.count; i++) {
		double due = runs.limit.requests_per_s * runs.at[i];

		lowest = fmin(lowest, (double)i - due);
		excess = fmax(
		    excess, (double)i + 1 - due - lowest - runs.limit.burst);
	}
	return (excess);
}

/* Takes a token at random times; returns how many requests were refused. */
static unsigned
send(org_quota_t *quota, rng_t *rng, double from, double to, double rate)
{
	unsigned refused = 0;
	double retry_after;

	for (double now = from - log(1 - rng_uniform(rng)) / rate; now < to;
	     now -= log(1 - rng_uniform(rng)) / rate) {
		if (org_quota_take(
			quota, ORG, &runs.limit, 0, now, &retry_after))
			runs_add(now);
		else
			refused++;
	}
	return (refused);
}

/*
 * Guards against a window with more requests than the limit, and against
 * refusals of an organisation that sends its usual 1/1.6 of it.
 */
static void
test_sliding_windows(void)
{
	static const double rates[] = {342, 65, 5};
	rng_t rng = rng_seeded(1);

	for (size_t i = 0; i < 3; i++) {
		double rate = rates[i];
		org_quota_t *quota = org_quota_new(1000);
		unsigned refused;

		runs_start(rate, rate);
		refused = send(quota, &rng, 1010, 1020, rate / 1.6);
		CU_ASSERT(refused == 0);
		refused = send(quota, &rng, 1020, 1030, rate * 7.5);
		CU_ASSERT(refused > rate * 50);
		/* The whole limit is used, not less. */
		CU_ASSERT(
		    (double)runs.count > rate * 10 / 1.6 * 0.7 + rate * 10);
		CU_ASSERT(runs_excess() < EPSILON);
		org_quota_delete(quota);
	}
}

/* Guards against a full burst for each restart of all hosts. */
static void
test_restarts_grant_no_burst(void)
{
	rng_t rng = rng_seeded(2);

	runs_start(50, 50);
	for (unsigned i = 0; i < 10; i++) {
		double start = 1000 + i * 3.0;
		org_quota_t *quota = org_quota_new(start);

		send(quota, &rng, start, start + 3, 400);
		org_quota_delete(quota);
	}
	CU_ASSERT(runs.count > 1300);
	CU_ASSERT(runs_excess() < EPSILON);
}

/*
 * Guards against refusals after a restart of all hosts, where the operator
 * tolerates more, and against more than that.
 */
static void
test_restart_within_tolerance(void)
{
	static const double rates[] = {342, 65, 5};
	static const org_tolerance_t tolerance = {
	    .window_s = 5, .overshoot = 0.1, .slack = 20};
	rng_t rng = rng_seeded(9);

	for (size_t i = 0; i < 3; i++) {
		double rate = rates[i];
		double tolerated = tolerance.overshoot * rate * 6 + 20;
		org_quota_t *before = org_quota_new(0);
		org_quota_t *after = org_quota_new(1003);

		runs_start(rate, rate);
		org_quota_set_tolerance(after, &tolerance);
		send(before, &rng, 1000, 1002, rate * 7.5);
		/* The first requests after the restart are served. */
		CU_ASSERT(send(after, &rng, 1003, 1003.1, rate / 1.6) <= 1);
		send(after, &rng, 1003.1, 1010, rate * 7.5);
		CU_ASSERT(runs_excess() <= tolerated / 2 + EPSILON);
		org_quota_delete(before);
		org_quota_delete(after);
	}
}

/* Guards against a second burst of an organisation that appears seldom. */
static void
test_occasional_organisation(void)
{
	org_quota_t *quota = org_quota_new(1000);
	rng_t rng = rng_seeded(3);

	runs_start(5, 5);
	for (unsigned i = 0; i < 20; i++) {
		double start = 1100 + i * 70.0;

		org_quota_evict_idle(quota, start);
		send(quota, &rng, start, start + 0.5, 400);
	}
	CU_ASSERT(runs.count >= 20 * 5);
	CU_ASSERT(runs_excess() < EPSILON);
	org_quota_delete(quota);
}

/*
 * Requests wait for up to longest_wait seconds; half of them are refused then
 * and return their token. Returns how many ran.
 */
static size_t
run_with_returns(double longest_wait)
{
	org_quota_t *quota = org_quota_new(0);
	rng_t rng = rng_seeded(4);
	double waiting[4096];
	size_t count = 0;
	double retry_after;

	runs_start(50, 50);
	for (double now = 20; now < 60; now += 0.002) {
		while (count > 0 && (waiting[0] < now - longest_wait ||
					rng_uniform(&rng) < 0.05)) {
			size_t i = waiting[0] < now - longest_wait
				       ? 0
				       : rng_below(&rng, count);
			double taken_at = waiting[i];

			memmove(&waiting[i], &waiting[i + 1],
			    (--count - i) * sizeof(waiting[0]));
			if (rng_uniform(&rng) < 0.5)
				org_quota_give_back(quota, ORG, taken_at);
			else
				runs_add(taken_at);
		}
		if (org_quota_take(
			quota, ORG, &runs.limit, 0, now, &retry_after))
			waiting[count++] = now;
	}
	while (count > 0)
		runs_add(waiting[--count]);
	qsort(runs.at, runs.count, sizeof(runs.at[0]), compare_times);
	org_quota_delete(quota);
	return (runs.count);
}

/*
 * Guards against returned tokens that are lost, and against those that are
 * returned late: their bucket was full since, so that they would allow more
 * than the burst.
 */
static void
test_returned_tokens(void)
{
	CU_ASSERT(run_with_returns(0.2) > 50 * 40 * 0.95);
	CU_ASSERT(runs_excess() < EPSILON);
	CU_ASSERT(run_with_returns(5) > 50 * 40 / 2);
	CU_ASSERT(runs_excess() < EPSILON);
}

/* Passes on what a host gave or used to another one, as hosts do. */
typedef struct passed_uses_t {
	org_quota_t *to;
	double now;
	org_use_t kind;
} passed_uses_t;

static void
pass_use(void *ctx, str_t org, const unsigned counts[ORG_SLOTS])
{
	const passed_uses_t *uses = ctx;

	org_quota_add_use(
	    uses->to, org, &runs.limit, uses->kind, counts, uses->now);
}

static void
add_returned(void *ctx, str_t org, const unsigned counts[ORG_SLOTS])
{
	org_quota_add_returned(ctx, org, counts, org_slot_at(100.6), 100.6);
}

/*
 * Guards against a deputy that counts tokens as used which were returned to the
 * admitting host, and against one that counts a repeated message twice.
 */
static void
test_returned_tokens_at_the_deputy(void)
{
	org_quota_t *quota = org_quota_new(98.5);
	org_quota_t *deputy = org_quota_new(98.5);
	org_limit_t limit = {10, 20};
	double retry_after;

	runs_start(10, 20);
	for (unsigned i = 0; i < 12; i++)
		org_quota_take(quota, ORG, &limit, 0, 100, &retry_after);
	org_quota_each_given(quota, 0, 100.3, pass_use,
	    &(passed_uses_t){deputy, 100.3, ORG_USE_ELSEWHERE});
	CU_ASSERT_DOUBLE_EQUAL(org_quota_tokens(deputy, ORG), 6, 1e-6);
	for (unsigned i = 0; i < 5; i++)
		org_quota_give_back(quota, ORG, 100);
	for (unsigned i = 0; i < 2; i++)
		org_quota_each_returned(quota, 0, 100.6, add_returned, deputy);
	CU_ASSERT_DOUBLE_EQUAL(org_quota_tokens(deputy, ORG), 14, 1e-6);
	/* Nothing new is told again. */
	org_quota_each_returned(
	    quota, org_quota_last_return(quota), 100.6, add_returned, NULL);
	org_quota_delete(quota);
	org_quota_delete(deputy);
}

/* Guards against a changed limit that applies late or allows a burst. */
static void
test_changed_limits(void)
{
	org_quota_t *quota = org_quota_new(0);
	rng_t rng = rng_seeded(5);
	size_t before;

	runs_start(100, 100);
	send(quota, &rng, 20, 30, 600);
	CU_ASSERT(runs_excess() < EPSILON);
	/* Lowered: the tokens above the new burst are gone. */
	runs_start(10, 10);
	send(quota, &rng, 35, 45, 600);
	CU_ASSERT(runs.count <= 110 && runs.count >= 108);
	CU_ASSERT(runs_excess() < EPSILON);
	/* Raised: the bucket fills at the new rate, from where it was. */
	runs_start(100, 200);
	send(quota, &rng, 45, 46, 2000);
	before = runs.count;
	CU_ASSERT(before <= 101 && before >= 95);
	send(quota, &rng, 50, 50.01, 100000);
	CU_ASSERT(runs.count - before <= 201 && runs.count - before >= 195);
	CU_ASSERT(runs_excess() < EPSILON);
	org_quota_delete(quota);
}

/*
 * Guards against a crowd that returns at the same time: callers that are
 * refused one after the other get successive times, and find tokens then.
 */
static void
test_retry_times_are_successive(void)
{
	org_quota_t *quota = org_quota_new(0);
	org_limit_t limit = {10, 5};
	double times[20];
	double retry_after;

	for (unsigned i = 0; i < 5; i++)
		CU_ASSERT(
		    org_quota_take(quota, ORG, &limit, 0, 100, &retry_after));
	for (unsigned i = 0; i < 20; i++) {
		CU_ASSERT(
		    !org_quota_take(quota, ORG, &limit, 0, 100, &times[i]));
		CU_ASSERT_DOUBLE_EQUAL(times[i], 0.1 * (i + 1), 1e-6);
	}
	for (unsigned i = 0; i < 20; i++)
		CU_ASSERT(org_quota_take(
		    quota, ORG, &limit, 0, 100 + times[i], &retry_after));
	/* Times beyond the patience of callers do not pile up. */
	for (unsigned i = 0; i < 1000; i++)
		org_quota_take(quota, ORG, &limit, 0, 102, &retry_after);
	CU_ASSERT(retry_after <= 5 + 1e-6);
	org_quota_delete(quota);
}

/*
 * Guards against a crowd of patient callers that all return after 5 s: with
 * known deadlines, times are successive up to these, and each finds a token
 * then. A caller that cannot be served in time takes no time from the others,
 * and is told when its next request can be.
 */
static void
test_retry_times_up_to_the_deadline(void)
{
	org_quota_t *quota = org_quota_new(0);
	org_limit_t limit = {10, 5};
	double times[200];
	double retry_after;

	for (unsigned i = 0; i < 5; i++)
		CU_ASSERT(
		    org_quota_take(quota, ORG, &limit, 0, 100, &retry_after));
	for (unsigned i = 0; i < 200; i++) {
		CU_ASSERT(
		    !org_quota_take(quota, ORG, &limit, 130, 100, &times[i]));
		CU_ASSERT_DOUBLE_EQUAL(times[i], 0.1 * (i + 1), 1e-6);
	}
	for (unsigned i = 0; i < 100; i++) {
		/* In 2 s there is no time left that nobody was told. */
		CU_ASSERT(!org_quota_take(
		    quota, ORG, &limit, 102, 100, &retry_after));
		CU_ASSERT_DOUBLE_EQUAL(retry_after, 20.1, 1e-6);
		/* Without a deadline, 5 s is the latest. */
		org_quota_take(quota, ORG, &limit, 0, 100, &retry_after);
		CU_ASSERT_DOUBLE_EQUAL(retry_after, 5, 1e-6);
	}
	/* Nor does a deadline of a day delay the others without a bound. */
	for (unsigned i = 0; i < 1000; i++)
		org_quota_take(quota, ORG, &limit, 1e5, 100, &retry_after);
	CU_ASSERT(retry_after <= 60.1 + 1e-6);
	for (unsigned i = 0; i < 200; i++)
		CU_ASSERT(org_quota_take(
		    quota, ORG, &limit, 130, 100 + times[i], &retry_after));
	org_quota_delete(quota);
}

/*
 * Guards against a second burst from a new admitting host, whether all requests
 * came through one host or through many, and against refusals by it of an
 * organisation within its limit.
 */
static void
test_takeover_with_history(void)
{
	static const double loads[] = {0.6, 7.5, 7.5};

	for (size_t i = 0; i < 3; i++) {
		rng_t rng = rng_seeded(6);
		org_quota_t *before = org_quota_new(0);
		org_quota_t *after = org_quota_new(0);
		org_history_t *users[3];
		double rate = 60 * loads[i];
		unsigned refused;
		size_t first;

		runs_start(60, 60);
		for (size_t u = 0; u < 3; u++)
			users[u] = org_history_new();
		send(before, &rng, 100, 112, rate);
		for (size_t k = 0; k < runs.count; k++)
			org_history_add(users[i == 2 ? 0 : rng_below(&rng, 3)],
			    ORG, runs.at[k]);
		for (size_t u = 0; u < 3; u++)
			org_history_each(users[u], 112.01, pass_use,
			    &(passed_uses_t){after, 112.1, ORG_USE_REPORTED});
		first = runs.count;
		refused = send(after, &rng, 112.1, 122, rate);
		CU_ASSERT(runs_excess() < EPSILON);
		CU_ASSERT(i == 0 ? refused == 0
				 : (double)(runs.count - first) > 0.95 * 594);
		for (size_t u = 0; u < 3; u++)
			org_history_delete(users[u]);
		org_quota_delete(before);
		org_quota_delete(after);
	}
}

/* Guards against uses that count twice, if two hosts report the same ones. */
static void
test_reports_of_the_same_uses(void)
{
	org_quota_t *quota = org_quota_new(0);
	org_limit_t limit = {10, 20};
	unsigned counts[ORG_SLOTS] = {[1] = 12};
	double retry_after;

	org_quota_add_use(quota, ORG, &limit, ORG_USE_ELSEWHERE, counts, 100);
	org_quota_add_use(quota, ORG, &limit, ORG_USE_REPORTED, counts, 100);
	CU_ASSERT_DOUBLE_EQUAL(org_quota_tokens(quota, ORG), 8, 0.01);
	CU_ASSERT(org_quota_take(quota, ORG, &limit, 0, 100, &retry_after));
	/* After a while the bucket is full whatever was reported. */
	org_quota_take(quota, ORG, &limit, 0, 104, &retry_after);
	CU_ASSERT_DOUBLE_EQUAL(org_quota_tokens(quota, ORG), 19, 0.01);
	org_quota_delete(quota);
}

/*
 * Guards against twice the limit while two hosts admit for a moment: they tell
 * each other what they gave, and make up for it.
 */
static void
test_two_admitting_hosts(void)
{
	org_quota_t *quotas[2] = {org_quota_new(0), org_quota_new(0)};
	rng_t rng = rng_seeded(7);
	int64_t told[2] = {0, 0};
	double retry_after;

	runs_start(60, 60);
	for (double now = 100; now < 120; now += 0.002) {
		/* The second host admits from 105 to 108 as well. */
		for (size_t i = 0; i < (now > 105 && now < 108 ? 2 : 1); i++)
			if (org_quota_take(quotas[i], ORG, &runs.limit, 0, now,
				&retry_after))
				runs_add(now);
		for (size_t i = 0; i < 2; i++) {
			if (org_slot_at(now) - 1 <= told[i] ||
			    rng_uniform(&rng) < 0.9)
				continue;
			org_quota_each_given(quotas[i], told[i], now, pass_use,
			    &(passed_uses_t){
				quotas[1 - i], now, ORG_USE_ELSEWHERE});
			told[i] = org_slot_at(now) - 1;
		}
	}
	/* What they give before they are told: a slot and the interval. */
	CU_ASSERT(runs_excess() < 60 * 0.5);
	CU_ASSERT((double)runs.count > 60 * 20 * 0.95);
	org_quota_delete(quotas[0]);
	org_quota_delete(quotas[1]);
}

/*
 * Guards against a full bucket of a host that stood still while its deputy
 * gave the tokens.
 */
static void
test_pause_adds_no_tokens(void)
{
	org_quota_t *quota = org_quota_new(0);
	org_limit_t limit = {10, 20};
	unsigned counts[ORG_SLOTS] = {[2] = 3, 2, 2, 3, 2, 2, 3, 2, 2, 2};
	double retry_after;

	while (org_quota_take(quota, ORG, &limit, 0, 100, &retry_after))
		;
	org_quota_skip_pause(quota, 104);
	CU_ASSERT(!org_quota_take(quota, ORG, &limit, 0, 104, &retry_after));
	CU_ASSERT(org_quota_take(quota, ORG, &limit, 0, 104.2, &retry_after));
	org_quota_delete(quota);
	/* Nor does it lose those for what the deputy gave within the limit. */
	quota = org_quota_new(0);
	org_quota_take(quota, ORG, &limit, 0, 100, &retry_after);
	org_quota_skip_pause(quota, 104);
	org_quota_add_use(quota, ORG, &limit, ORG_USE_ELSEWHERE, counts, 104);
	CU_ASSERT(org_quota_tokens(quota, ORG) > 2);
	org_quota_delete(quota);
}

/* Guards against the full limit of a host that does not hear from others. */
static void
test_share_lowers_the_limit(void)
{
	org_quota_t *quota = org_quota_new(0);
	rng_t rng = rng_seeded(8);
	size_t before;

	runs_start(100, 100);
	org_quota_set_share(quota, 0.25);
	send(quota, &rng, 100, 110, 600);
	CU_ASSERT(runs.count <= 276 && runs.count >= 270);
	org_quota_set_share(quota, 1);
	before = runs.count;
	send(quota, &rng, 110, 120, 600);
	CU_ASSERT(runs.count - before <= 1001 && runs.count - before >= 980);
	CU_ASSERT(runs_excess() < EPSILON);
	org_quota_delete(quota);
}

/*
 * Guards against more than the limit in sum, or nothing at all, when all hosts
 * are cut off and a share is a small fraction of a token.
 */
static void
test_shares_of_hosts_alone(void)
{
	static const double rates[] = {5, 342};
	enum { HOSTS = 83 };

	for (size_t i = 0; i < 2; i++) {
		org_limit_t limit = {rates[i], rates[i]};
		org_share_t *shares[HOSTS];
		double taken = 0;
		double due = rates[i] * 21;

		for (uint64_t h = 0; h < HOSTS; h++)
			shares[h] = org_share_new(0, h + 1);
		for (double now = 100; now < 120; now += 0.02)
			for (size_t h = 0; h < HOSTS; h++)
				taken += org_share_take(
				    shares[h], ORG, &limit, HOSTS, now);
		/* Four times the standard deviation. */
		CU_ASSERT(fabs(taken - due) < 4 * sqrt(due));
		for (size_t h = 0; h < HOSTS; h++)
			org_share_delete(shares[h]);
	}
}

/* Guards against organisations that use each other's tokens. */
static void
test_organisations_are_separate(void)
{
	org_quota_t *quota = org_quota_new(0);
	org_limit_t limit = {10, 10};
	double retry_after;

	while (org_quota_take(quota, ORG, &limit, 0, 100, &retry_after))
		;
	CU_ASSERT(
	    org_quota_take(quota, STR("other"), &limit, 0, 100, &retry_after));
	CU_ASSERT(org_quota_count(quota) == 2);
	org_quota_evict_idle(quota, 200);
	CU_ASSERT(org_quota_count(quota) == 0);
	org_quota_delete(quota);
}

static const suite_test_t tests[] = {
    {"sliding windows", test_sliding_windows},
    {"restarts grant no burst", test_restarts_grant_no_burst},
    {"restart within tolerance", test_restart_within_tolerance},
    {"occasional organisation", test_occasional_organisation},
    {"returned tokens", test_returned_tokens},
    {"returned tokens at the deputy", test_returned_tokens_at_the_deputy},
    {"changed limits", test_changed_limits},
    {"retry times are successive", test_retry_times_are_successive},
    {"retry times up to the deadline", test_retry_times_up_to_the_deadline},
    {"takeover with history", test_takeover_with_history},
    {"reports of the same uses", test_reports_of_the_same_uses},
    {"two admitting hosts", test_two_admitting_hosts},
    {"pause adds no tokens", test_pause_adds_no_tokens},
    {"share lowers the limit", test_share_lowers_the_limit},
    {"shares of hosts alone", test_shares_of_hosts_alone},
    {"organisations are separate", test_organisations_are_separate},
};

SUITE_MAIN("org_quota", tests)
