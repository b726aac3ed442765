/* Process tests: callers beyond the capacity, and an endpoint without answers.
 */
#include "suite.h"

#include <arpa/inet.h>
#include <math.h>
#include <pthread.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "harness_gateways.h"

#define HOSTS	     2
#define CALLERS	     48
#define EVENTS	     8
#define EVENT_MS     100
#define TIME_LIMIT_S 5.0
#define OVERLOAD_S   5.0

static gateways_t fleet;

/* One that sends requests one after the other, and returns once if refused. */
typedef struct scarce_caller_t {
	unsigned number;
	double until;
	unsigned served;
	unsigned wrong; /* no whole right answer and no refusal */
	unsigned refused;
	unsigned without_time; /* refusals without Retry-After */
	unsigned told;
	unsigned told_refused; /* refused again though they came as told */
	double longest_refusal;
} scarce_caller_t;

/* Sends one request; returns the seconds after which to return, or negative. */
static double
caller_send(scarce_caller_t *c, const char *id, double limit)
{
	double started = clock_monotonic();
	gateways_stream_t result = gateways_stream(
	    &fleet, c->number % HOSTS, GATEWAYS_ONCE, id, EVENTS, limit);

	if (result.status != 503) {
		c->served += result.right;
		c->wrong += !result.right;
		return (-1);
	}
	c->refused++;
	c->without_time += result.retry_after < 0;
	c->longest_refusal =
	    fmax(c->longest_refusal, clock_monotonic() - started);
	return (fmax(0, result.retry_after));
}

static void *
caller_run(void *ctx)
{
	scarce_caller_t *c = ctx;

	for (unsigned i = 0; clock_monotonic() < c->until; i++) {
		double deadline = clock_monotonic() + TIME_LIMIT_S;
		char id[48];
		double after;
		double third;

		snprintf(id, sizeof(id), "c%u-%u", c->number, i);
		after = caller_send(c, id, TIME_LIMIT_S);
		if (after < 0)
			continue;
		third = (deadline - clock_monotonic()) / 3;
		c->told += after <= third;
		harness_sleep(fmin(after, third));
		snprintf(id, sizeof(id), "c%u-%u-again", c->number, i);
		if (caller_send(c, id, deadline - clock_monotonic()) >= 0)
			c->told_refused += after <= third;
	}
	return (NULL);
}

/* Runs all callers at once and adds up what they saw. */
static scarce_caller_t
callers_run(void)
{
	static scarce_caller_t callers[CALLERS];
	pthread_t threads[CALLERS];
	scarce_caller_t sum = {0};

	for (unsigned i = 0; i < CALLERS; i++) {
		callers[i] = (scarce_caller_t){
		    .number = i, .until = clock_monotonic() + OVERLOAD_S};
		pthread_create(&threads[i], NULL, caller_run, &callers[i]);
	}
	for (unsigned i = 0; i < CALLERS; i++) {
		pthread_join(threads[i], NULL);
		sum.served += callers[i].served;
		sum.wrong += callers[i].wrong;
		sum.refused += callers[i].refused;
		sum.without_time += callers[i].without_time;
		sum.told += callers[i].told;
		sum.told_refused += callers[i].told_refused;
		sum.longest_refusal =
		    fmax(sum.longest_refusal, callers[i].longest_refusal);
	}
	return (sum);
}

/*
 * Six times as many callers as slots must be told early, not after 3 s, and one
 * that returns as told must find a slot.
 */
static void
test_more_callers_than_slots(void)
{
	scarce_caller_t sum;

	gateways_start(&fleet,
	    &(gateways_params_t){.hosts = HOSTS,
		.engines = 1,
		.event_ms = EVENT_MS,
		.settings = "fair_scheduling = yes\nmeasured_speed = yes\n"
			    "return_restarts_target = yes\n"});
	for (unsigned i = 0; i < 4; i++) {
		char id[32];

		snprintf(id, sizeof(id), "first-%u", i);
		CU_ASSERT(gateways_stream(
		    &fleet, i % HOSTS, GATEWAYS_ONCE, id, EVENTS, TIME_LIMIT_S)
			      .right);
	}
	sum = callers_run();
	printf(
	    "[%u served, %u refused, longest after %.2f s; %u told, of these "
	    "%u refused again] ",
	    sum.served, sum.refused, sum.longest_refusal, sum.told,
	    sum.told_refused);
	CU_ASSERT(sum.wrong == 0);
	CU_ASSERT(sum.served > 20);
	CU_ASSERT(sum.refused > CALLERS);
	CU_ASSERT(sum.without_time == 0);
	CU_ASSERT(sum.longest_refusal < 2);
	CU_ASSERT(sum.told > 5);
	CU_ASSERT(sum.told_refused * 5 <= sum.told);
	gateways_end(&fleet);
}

/* An endpoint that accepts connections and never answers. */
typedef struct mute_endpoint_t {
	int fd;
	char address[64];
	volatile bool stop;
	pthread_t thread;
} mute_endpoint_t;

/* Keeps the entry of the endpoint, which expires unless renewed. */
static void *
renew_entry(void *ctx)
{
	mute_endpoint_t *mute = ctx;

	while (!mute->stop) {
		gateways_register(&fleet, "mute", mute->address, 8);
		harness_sleep(0.3);
	}
	return (NULL);
}

static void
mute_start(mute_endpoint_t *mute)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t size = sizeof(address);

	*mute = (mute_endpoint_t){.fd = socket(AF_INET, SOCK_STREAM, 0)};
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_FATAL(mute->fd >= 0);
	CU_ASSERT_FATAL(bind(mute->fd, (struct sockaddr *)&address, size) == 0);
	CU_ASSERT_FATAL(listen(mute->fd, 64) == 0);
	CU_ASSERT_FATAL(
	    getsockname(mute->fd, (struct sockaddr *)&address, &size) == 0);
	snprintf(mute->address, sizeof(mute->address), "127.0.0.1:%u",
	    ntohs(address.sin_port));
	pthread_create(&mute->thread, NULL, renew_entry, mute);
}

static void
mute_stop(mute_endpoint_t *mute)
{
	mute->stop = true;
	pthread_join(mute->thread, NULL);
	close(mute->fd);
}

/*
 * An endpoint that gives no answer until the callers' deadlines must not get
 * one request after the other: the first three show that it is silent.
 */
static void
test_endpoint_without_answer(void)
{
	mute_endpoint_t mute;
	unsigned failed = 0;

	gateways_start(&fleet,
	    &(gateways_params_t){.hosts = 1,
		.engines = 1,
		.settings = "fair_scheduling = yes\nmeasured_speed = yes\n"});
	mute_start(&mute);
	for (unsigned i = 0; i < 24; i++) {
		char id[32];

		snprintf(id, sizeof(id), "mute-%u", i);
		failed += !gateways_stream_prompt(
		    &fleet, 0, GATEWAYS_ONCE, id, "", 1, 1.7)
			       .right;
		harness_sleep(0.02);
	}
	printf("[%u of 24 without an answer] ", failed);
	CU_ASSERT(failed > 0 && failed <= 5);
	mute_stop(&mute);
	gateways_end(&fleet);
}

static const suite_test_t tests[] = {
    {"more callers than slots", test_more_callers_than_slots},
    {"endpoint without answer", test_endpoint_without_answer},
};

SUITE_MAIN("fail_scarcity", tests)
