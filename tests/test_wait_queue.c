/* Tests of the order of waiting requests, and of the load that it is for. */
#include "suite.h"

#include <math.h>
#include <stdio.h>

#include "admission.h"
#include "wait_queue.h"

/* Guards against a slot for a request that can wait while another cannot. */
static void
test_order(void)
{
	wait_queue_t queue;
	wait_link_t a = {.start_by = 12};
	wait_link_t b = {.start_by = 11};
	wait_link_t any = {.start_by = INFINITY};
	wait_link_t late = {.start_by = 9};

	wait_queue_init(&queue);
	wait_queue_add(&queue, &late, 10);
	wait_queue_add(&queue, &any, 10);
	wait_queue_add(&queue, &a, 10);
	wait_queue_add(&queue, &b, 10);
	CU_ASSERT(queue.count == 4);
	CU_ASSERT(wait_queue_first(&queue) == &b);
	CU_ASSERT(wait_queue_next(&b) == &a);
	CU_ASSERT(wait_queue_next(&a) == &any);
	CU_ASSERT(wait_queue_next(&any) == &late);
	CU_ASSERT(wait_queue_last(&queue) == &late);
	wait_queue_remove(&queue, &a);
	CU_ASSERT(queue.count == 3 && wait_queue_next(&b) == &any);
}

/* Guards against late requests that overtake each other or come back. */
static void
test_late_ones_keep_their_order(void)
{
	wait_queue_t queue;
	wait_link_t a = {.start_by = 11};
	wait_link_t b = {.start_by = 12};
	wait_link_t c = {.start_by = 20};
	wait_link_t d = {.start_by = 19};

	wait_queue_init(&queue);
	wait_queue_add(&queue, &a, 10);
	wait_queue_add(&queue, &b, 10);
	wait_queue_add(&queue, &c, 10);
	wait_queue_age(&queue, 13);
	wait_queue_add(&queue, &d, 13);
	CU_ASSERT(wait_queue_first(&queue) == &d);
	CU_ASSERT(wait_queue_next(&d) == &c);
	CU_ASSERT(wait_queue_next(&c) == &a);
	CU_ASSERT(wait_queue_next(&a) == &b);
}

/* Guards against another order than that of arrival where nothing is stated. */
static void
test_arrival_order_by_default(void)
{
	wait_queue_t queue;
	wait_link_t links[5];

	wait_queue_init(&queue);
	for (int i = 0; i < 5; i++) {
		links[i].start_by = INFINITY;
		wait_queue_add(&queue, &links[i], i);
	}
	for (int i = 0; i < 4; i++)
		CU_ASSERT(wait_queue_next(&links[i]) == &links[i + 1]);
}

/* Load in steps: 2.4 s above what the slots serve, then 3.6 s below it. */
enum {
	REPLAY_SLOTS = 32,
	REPLAY_MAX = 4000,
};
#define REPLAY_RUN_S	0.7
#define REPLAY_TARGET_S 0.25
#define REPLAY_PERIOD_S 6.0
#define REPLAY_HIGH_S	2.4
#define REPLAY_HIGH_RPS 75.0
#define REPLAY_LOW_RPS	15.0
#define REPLAY_STEP_S	0.002
#define REPLAY_S	36.0

typedef struct replay_t {
	admission_t *a;
	double arrived[REPLAY_MAX];
	double ends[REPLAY_MAX]; /* 0: no slot yet */
	double due;		 /* arrivals that have not been asked for */
	unsigned asked;
	unsigned on_time;
	unsigned served;
} replay_t;

static void
replay_take(replay_t *r, double now)
{
	admission_action_t action;

	while (admission_next(r->a, &action)) {
		if (action.kind != ADMISSION_GRANT)
			continue;
		r->ends[action.id] = now + REPLAY_RUN_S;
		r->served++;
		r->on_time += now - r->arrived[action.id] <= REPLAY_TARGET_S;
	}
}

static void
replay_arrivals(replay_t *r, double begin, double now, bool stated)
{
	double phase = fmod(now - begin, REPLAY_PERIOD_S);
	double rate = phase < REPLAY_HIGH_S ? REPLAY_HIGH_RPS : REPLAY_LOW_RPS;

	r->due += rate * REPLAY_STEP_S;
	for (; r->due >= 1 && r->asked < REPLAY_MAX - 1; r->due--) {
		r->arrived[++r->asked] = now;
		admission_ask(r->a,
		    &(admission_ask_t){
			.id = r->asked,
			.holder = "h1",
			.org = "acme",
			.weight = 1,
			.class = GRANT_ONLINE,
			.deadline = now + 5,
			.start_by = stated ? now + REPLAY_TARGET_S : 0,
		    },
		    now);
	}
}

static replay_t
replay(bool stated)
{
	static const admission_settings_t settings = {.queue_limit = 1000};
	admission_endpoint_t endpoint = {.name = "e0",
	    .address = "127.0.0.1:1",
	    .zone = "east",
	    .slots = REPLAY_SLOTS};
	replay_t r = {.a = admission_new(3)};
	double begin = 1000;

	admission_configure(r.a, &settings, &endpoint, 1, begin);
	for (double now = begin; now < begin + REPLAY_S; now += REPLAY_STEP_S) {
		replay_arrivals(&r, begin, now, stated);
		replay_take(&r, now);
		for (unsigned i = 1; i <= r.asked; i++) {
			if (r.ends[i] <= 0 || r.ends[i] > now)
				continue;
			r.ends[i] = 0;
			admission_release(r.a, "h1", i, NULL, now);
		}
		replay_take(&r, now);
	}
	admission_delete(r.a);
	return (r);
}

/*
 * Guards against steps of load that make every request late: in the order of
 * arrival each one waits as long as the whole backlog.
 */
static void
test_steps_of_load(void)
{
	replay_t by_arrival = replay(false);
	replay_t by_start = replay(true);

	printf("%u asked; on time %u by arrival, %u by latest start; served "
	       "%u and %u\n",
	    by_start.asked, by_arrival.on_time, by_start.on_time,
	    by_arrival.served, by_start.served);
	CU_ASSERT(by_arrival.asked == by_start.asked);
	/* No slot is idle for the order's sake. */
	CU_ASSERT(by_start.served + REPLAY_SLOTS >= by_arrival.served);
	CU_ASSERT(by_start.on_time >= by_arrival.on_time * 1.25);
}

static const suite_test_t tests[] = {
    {"order", test_order},
    {"late ones keep their order", test_late_ones_keep_their_order},
    {"arrival order by default", test_arrival_order_by_default},
    {"steps of load", test_steps_of_load},
};

SUITE_MAIN("wait_queue", tests)
