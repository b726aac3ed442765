/*
 * Tests of endpoints that only some holders can reach, and of endpoints that
 * have just joined, in virtual time.
 */
#include "suite.h"

#include <stdio.h>

#include "admission.h"
#include "path_failures.h"
#include "result.h"

#define ENDPOINTS 4
#define SLOTS	  8

typedef struct fixture_t {
	admission_t *a;
	double now;
	uint64_t last_id;
	admission_action_t last;
} fixture_t;

static const char *const names[] = {"e0", "e1", "e2", "e3"};

static void
configure(fixture_t *t, size_t count)
{
	admission_settings_t settings = {.queue_limit = 100,
	    .revoke_timeout = 0.5,
	    .fair_scheduling = true,
	    .measured_speed = true};
	admission_endpoint_t list[ENDPOINTS] = {0};

	for (size_t i = 0; i < count; i++)
		list[i] = (admission_endpoint_t){.name = names[i],
		    .address = "127.0.0.1:1",
		    .zone = "east",
		    .slots = SLOTS};
	admission_configure(t->a, &settings, list, count, t->now);
}

static fixture_t
setup(size_t count)
{
	fixture_t t = {.a = admission_new(3), .now = 100};

	configure(&t, count);
	return (t);
}

/* Returns the name of the granted endpoint; "": the request waits. */
static const char *
ask(fixture_t *t, const char *holder)
{
	admission_request_t request = {.id = ++t->last_id,
	    .holder = holder,
	    .org = "acme",
	    .weight = 1,
	    .deadline = t->now + 10};

	t->last = (admission_action_t){0};
	admission_request(t->a, &request, t->now);
	while (admission_next_action(t->a, &t->last))
		continue;
	return (t->last.endpoint.name);
}

static void
end(fixture_t *t, const char *holder, uint64_t id, int rc)
{
	grant_report_t report = {.rc = rc};
	admission_action_t action;

	if (rc == 0)
		report = (grant_report_t){.first_token_seconds = 0.1,
		    .run_seconds = 0.5,
		    .events = 20};
	admission_release(t->a, holder, id, &report, t->now);
	while (admission_next_action(t->a, &action))
		continue;
}

/* Returns whether one of a few requests of the holder runs on the endpoint. */
static bool
is_answered(fixture_t *t, const char *holder, const char *endpoint)
{
	bool found = false;

	for (unsigned i = 0; i < 60 && !found; i++) {
		found = strcmp(ask(t, holder), endpoint) == 0;
		end(t, holder, t->last_id, 0);
	}
	return (found);
}

/*
 * Guards against a host that tries an endpoint again and again that it is cut
 * off from, and against its failures taking the endpoint from the others.
 */
static void
test_cut_off_holder(void)
{
	fixture_t t = setup(ENDPOINTS);
	unsigned failed = 0;

	CU_ASSERT(is_answered(&t, "whole", "e1"));
	for (unsigned i = 0; i < 300; i++) {
		bool cut = strcmp(ask(&t, "cut"), "e1") == 0;

		failed += cut;
		end(&t, "cut", t.last_id,
		    cut ? -RESULT_ENDPOINT_UNREACHABLE : 0);
		CU_ASSERT(is_answered(&t, "whole", "e1"));
		admission_tick(t.a, t.now += 0.05);
	}
	/* 15 s: at once, then after 4 and 8 s more. */
	CU_ASSERT(failed >= 2 && failed <= 3);
	admission_delete(t.a);
}

/* Guards against a crashed endpoint that every holder has to find out. */
static void
test_crash_is_seen_by_all(void)
{
	fixture_t t = setup(ENDPOINTS);
	unsigned failed = 0;
	char holder[16];

	for (unsigned i = 0; i < 40; i++) {
		bool crashed;

		snprintf(holder, sizeof(holder), "h%u", i);
		crashed = strcmp(ask(&t, holder), "e1") == 0;
		failed += crashed;
		end(&t, holder, t.last_id,
		    crashed ? -RESULT_ENDPOINT_UNREACHABLE : 0);
	}
	CU_ASSERT(failed > 0 && failed <= 3);
	admission_delete(t.a);
}

/* Guards against a holder that gets nothing because it reached none. */
static void
test_all_cut_off(void)
{
	fixture_t t = setup(1);

	CU_ASSERT(strcmp(ask(&t, "cut"), "e0") == 0);
	end(&t, "cut", t.last_id, -RESULT_ENDPOINT_SILENT);
	CU_ASSERT(strcmp(ask(&t, "cut"), "e0") == 0);
	admission_delete(t.a);
}

/* Guards against memory that grows with the endpoints that fail. */
static void
test_bounded(void)
{
	path_failures_t failures = {0};

	for (uint64_t i = 1; i <= 2 * PATH_FAILURES_MAX; i++)
		CU_ASSERT(path_failures_add(&failures, i, (double)i) > 0);
	CU_ASSERT(!path_failures_known(&failures, 1, 65));
	CU_ASSERT(path_failures_avoid(&failures, 64, 65));
	CU_ASSERT(path_failures_add(&failures, 64, 65) == 0);
	CU_ASSERT(!path_failures_any(&failures, 100));
}

/*
 * Guards against a new endpoint that gets as many requests as it has slots in
 * one moment, and against one that is spared while no other has room.
 */
static void
test_slow_start(void)
{
	fixture_t t = setup(3);
	uint64_t ids[SLOTS];
	size_t n = 0;
	unsigned total = 3 * SLOTS;

	for (unsigned i = 0; i < total / 2; i++)
		ask(&t, "h");
	configure(&t, 4);
	for (unsigned i = 0; i < 6; i++)
		if (strcmp(ask(&t, "h"), "e3") == 0 && n < SLOTS)
			ids[n++] = t.last_id;
	CU_ASSERT_FATAL(n == 2);
	CU_ASSERT(admission_in_use(t.a, "e3") == 2);
	for (size_t i = 0; i < n; i++)
		end(&t, "h", ids[i], 0);
	for (unsigned i = 0; i < 6; i++)
		ask(&t, "h");
	CU_ASSERT(admission_in_use(t.a, "e3") == 4);
	for (unsigned i = 0; i < 16; i++)
		ask(&t, "h");
	CU_ASSERT(admission_in_use(t.a, "e3") > 4);
	admission_delete(t.a);
}

static const suite_test_t tests[] = {
    {"cut off holder", test_cut_off_holder},
    {"crash is seen by all", test_crash_is_seen_by_all},
    {"all cut off", test_all_cut_off},
    {"bounded", test_bounded},
    {"slow start", test_slow_start},
};

SUITE_MAIN("path failures", tests)
