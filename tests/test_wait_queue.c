/* Tests of the wait queue and of its effect under load in steps. */
#include "suite.h"

#include <math.h>
#include <stdio.h>

#include "admission.h"
#include "wait_queue.h"

/*
 * The request with the earliest start_by comes first, those without one follow,
 * and late ones come last.
 */
static void
test_order_by_start_by(void)
{
	wait_queue_t queue;
	wait_entry_t a = {.start_by = 12};
	wait_entry_t b = {.start_by = 11};
	wait_entry_t any = {.start_by = INFINITY};
	wait_entry_t late = {.start_by = 9};

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

/*
 * Late requests stay behind the others, also behind those added later, and do
 * not overtake each other.
 */
static void
test_late_requests_come_last(void)
{
	wait_queue_t queue;
	wait_entry_t a = {.start_by = 11};
	wait_entry_t b = {.start_by = 12};
	wait_entry_t c = {.start_by = 20};
	wait_entry_t d = {.start_by = 19};

	wait_queue_init(&queue);
	wait_queue_add(&queue, &a, 10);
	wait_queue_add(&queue, &b, 10);
	wait_queue_add(&queue, &c, 10);
	wait_queue_demote_late(&queue, 13);
	wait_queue_add(&queue, &d, 13);
	CU_ASSERT(wait_queue_first(&queue) == &d);
	CU_ASSERT(wait_queue_next(&d) == &c);
	CU_ASSERT(wait_queue_next(&c) == &a);
	CU_ASSERT(wait_queue_next(&a) == &b);
}

/* Requests without a start_by are served in the order of arrival. */
static void
test_arrival_order_without_start_by(void)
{
	wait_queue_t queue;
	wait_entry_t entries[5];

	wait_queue_init(&queue);
	for (int i = 0; i < 5; i++) {
		entries[i].start_by = INFINITY;
		wait_queue_add(&queue, &entries[i], i);
	}
	for (int i = 0; i < 4; i++)
		CU_ASSERT(wait_queue_next(&entries[i]) == &entries[i + 1]);
}

/*
 * A more urgent request must precede all others, also when it is late, and late
 * ones stay within their priority.
 */
static void
test_priority_precedes_start_by(void)
{
	wait_queue_t queue;
	wait_entry_t urgent = {.start_by = 14};
	wait_entry_t urgent_late = {.start_by = 11};
	wait_entry_t other = {.start_by = 12};
	wait_entry_t other_later = {.start_by = 20};

	wait_queue_init(&queue);
	wait_queue_add_ranked(&queue, &other_later, 1, false, 10);
	wait_queue_add_ranked(&queue, &other, 1, false, 10);
	wait_queue_add_ranked(&queue, &urgent_late, 0, false, 10);
	wait_queue_add_ranked(&queue, &urgent, 0, false, 10);
	CU_ASSERT(wait_queue_first(&queue) == &urgent_late);
	wait_queue_demote_late(&queue, 13);
	CU_ASSERT(queue.count == 4);
	CU_ASSERT(wait_queue_first(&queue) == &urgent);
	CU_ASSERT(wait_queue_next(&urgent) == &urgent_late);
	CU_ASSERT(wait_queue_next(&urgent_late) == &other_later);
	CU_ASSERT(wait_queue_next(&other_later) == &other);
	CU_ASSERT(wait_queue_previous(&other) == &other_later);
}

/*
 * A request whose slot was promised must precede the others of its priority,
 * also when its start_by has passed.
 */
static void
test_first_of_its_priority(void)
{
	wait_queue_t queue;
	wait_entry_t a = {.start_by = 11};
	wait_entry_t promised = {.start_by = 12};
	wait_entry_t urgent = {.start_by = 20};

	wait_queue_init(&queue);
	wait_queue_add_ranked(&queue, &a, 1, false, 10);
	wait_queue_add_ranked(&queue, &promised, 1, true, 10);
	wait_queue_add_ranked(&queue, &urgent, 0, false, 10);
	wait_queue_demote_late(&queue, 13);
	CU_ASSERT(wait_queue_first(&queue) == &urgent);
	CU_ASSERT(wait_queue_next(&urgent) == &promised);
	CU_ASSERT(wait_queue_next(&promised) == &a);
	CU_ASSERT(a.late && !promised.late);
}

/*
 * The simulated load alternates between 2.4 s above the capacity of the slots
 * and 3.6 s below it.
 */
enum {
	SIMULATION_SLOTS = 32,
	SIMULATION_MAX_REQUESTS = 4000,
};
#define REQUEST_DURATION_S    0.7
#define START_TARGET_S	      0.25
#define LOAD_PERIOD_S	      6.0
#define HIGH_LOAD_S	      2.4
#define HIGH_LOAD_RPS	      75.0
#define LOW_LOAD_RPS	      15.0
#define SIMULATION_STEP_S     0.002
#define SIMULATION_DURATION_S 36.0

typedef struct simulation_t {
	admission_t *a;
	double arrived[SIMULATION_MAX_REQUESTS];
	double ends[SIMULATION_MAX_REQUESTS]; /* 0: not running */
	double due_arrivals; /* arrivals not submitted yet; fractional */
	unsigned submitted;
	unsigned on_time;
	unsigned served;
} simulation_t;

static void
simulation_handle_grants(simulation_t *sim, double now)
{
	admission_action_t action;

	while (admission_next_action(sim->a, &action)) {
		if (action.kind != ADMISSION_GRANT)
			continue;
		sim->ends[action.id] = now + REQUEST_DURATION_S;
		sim->served++;
		sim->on_time += now - sim->arrived[action.id] <= START_TARGET_S;
	}
}

static void
simulation_submit_arrivals(
    simulation_t *sim, double begin, double now, bool with_start_by)
{
	double phase = fmod(now - begin, LOAD_PERIOD_S);
	double rate = phase < HIGH_LOAD_S ? HIGH_LOAD_RPS : LOW_LOAD_RPS;

	sim->due_arrivals += rate * SIMULATION_STEP_S;
	for (; sim->due_arrivals >= 1 &&
	       sim->submitted < SIMULATION_MAX_REQUESTS - 1;
	     sim->due_arrivals--) {
		sim->arrived[++sim->submitted] = now;
		admission_request(sim->a,
		    &(admission_request_t){
			.id = sim->submitted,
			.holder = "h1",
			.org = "acme",
			.weight = 1,
			.class = GRANT_ONLINE,
			.deadline = now + 5,
			.start_by = with_start_by ? now + START_TARGET_S : 0,
		    },
		    now);
	}
}

static simulation_t
simulate(bool with_start_by)
{
	static const admission_settings_t settings = {.queue_limit = 1000};
	admission_endpoint_t endpoint = {.name = "e0",
	    .address = "127.0.0.1:1",
	    .zone = "east",
	    .slots = SIMULATION_SLOTS};
	simulation_t sim = {.a = admission_new(3)};
	double begin = 1000;

	admission_configure(sim.a, &settings, &endpoint, 1, begin);
	for (double now = begin; now < begin + SIMULATION_DURATION_S;
	     now += SIMULATION_STEP_S) {
		simulation_submit_arrivals(&sim, begin, now, with_start_by);
		simulation_handle_grants(&sim, now);
		for (unsigned i = 1; i <= sim.submitted; i++) {
			if (sim.ends[i] <= 0 || sim.ends[i] > now)
				continue;
			sim.ends[i] = 0;
			admission_release(sim.a, "h1", i, NULL, now);
		}
		simulation_handle_grants(&sim, now);
	}
	admission_delete(sim.a);
	return (sim);
}

/*
 * A step of load above the capacity makes every request late if they are served
 * in the order of arrival, as each one waits for the whole backlog. Serving by
 * latest start time has to start clearly more requests on time.
 */
static void
test_load_steps(void)
{
	simulation_t by_arrival = simulate(false);
	simulation_t by_start = simulate(true);

	printf("%u submitted; on time %u by arrival, %u by start_by; served "
	       "%u and %u\n",
	    by_start.submitted, by_arrival.on_time, by_start.on_time,
	    by_arrival.served, by_start.served);
	CU_ASSERT(by_arrival.submitted == by_start.submitted);
	/* The order must not leave slots idle. */
	CU_ASSERT(by_start.served + SIMULATION_SLOTS >= by_arrival.served);
	CU_ASSERT(by_start.on_time >= by_arrival.on_time * 1.25);
}

static const suite_test_t tests[] = {
    {"order by start_by", test_order_by_start_by},
    {"late requests come last", test_late_requests_come_last},
    {"arrival order without start_by", test_arrival_order_without_start_by},
    {"priority precedes start_by", test_priority_precedes_start_by},
    {"first of its priority", test_first_of_its_priority},
    {"load steps", test_load_steps},
};

SUITE_MAIN("wait_queue", tests)
