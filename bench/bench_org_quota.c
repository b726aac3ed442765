/*
 * Processor time and bytes of the limits of organisations on the host that
 * admits: 220 organisations, 910 hosts, 3,667 requests a second in one region.
 */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "admission.h"
#include "clock.h"
#include "grants_wire.h"
#include "org_quota.h"

#define ORGS	  220
#define HOSTS	  910
#define ENDPOINTS 100
#define SLOTS	  8
#define REQUESTS  100000
#define ROUNDS	  9
#define REQUEST_S (1 / 3667.0)

static char org_names[ORGS][32];
static org_quota_t *quota;

static double
processor_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return ((double)t.tv_sec + (double)t.tv_nsec / 1e9);
}

static bool
take(void *ctx, const char *org, double caller_deadline, double now,
    double *retry_after)
{
	static const org_limit_t limit = {27, 27};

	(void)ctx;
	return (org_quota_take(
	    quota, str_of(org), &limit, caller_deadline, now, retry_after));
}

static void
give_back(void *ctx, const char *org, double taken_at)
{
	(void)ctx;
	org_quota_give_back(quota, str_of(org), taken_at);
}

/* Returns the microseconds of a request and its release in the policy. */
static double
measure(bool limited)
{
	static char endpoint_names[ENDPOINTS][32];
	static const admission_limits_t limits = {
	    .take = take, .give_back = give_back};
	admission_endpoint_t endpoints[ENDPOINTS];
	admission_t *a = admission_new(1);
	admission_action_t action;
	double begin;
	double now = 100;

	quota = org_quota_new(0);
	for (size_t i = 0; i < ENDPOINTS; i++) {
		snprintf(endpoint_names[i], sizeof(endpoint_names[i]),
		    "endpoint-%zu", i);
		endpoints[i] = (admission_endpoint_t){
		    .name = endpoint_names[i],
		    .address = "127.0.0.1:1",
		    .zone = "z",
		    .slots = SLOTS,
		};
	}
	admission_configure(a,
	    &(admission_settings_t){.queue_limit = 4096, .revoke_timeout = 1},
	    endpoints, ENDPOINTS, now);
	if (limited)
		admission_set_limits(a, &limits);
	begin = processor_s();
	for (uint64_t id = 1; id <= REQUESTS; id++) {
		char holder[32];

		now += REQUEST_S;
		snprintf(
		    holder, sizeof(holder), "host-%u", (unsigned)(id % HOSTS));
		admission_request(a,
		    &(admission_request_t){
			.id = id,
			.holder = holder,
			.zone = "z",
			.org = org_names[id % ORGS],
			.limited = limited,
			.weight = 1,
			.deadline = now + 5,
		    },
		    now);
		while (admission_next_action(a, &action))
			;
		admission_release(a, holder, id, NULL, now);
	}
	begin = processor_s() - begin;
	admission_delete(a);
	org_quota_delete(quota);
	return (begin / REQUESTS * 1e6);
}

/* Returns the microseconds of a take alone, and of one that is refused. */
static double
measure_take(double rate, unsigned *refused)
{
	org_limit_t limit = {rate, rate};
	double begin = processor_s();
	double now = 100;
	double retry_after;

	quota = org_quota_new(0);
	*refused = 0;
	for (unsigned i = 0; i < REQUESTS * 10; i++)
		*refused += !org_quota_take(quota, str_of(org_names[i % ORGS]),
		    &limit, 0, now += REQUEST_S, &retry_after);
	begin = processor_s() - begin;
	org_quota_delete(quota);
	return (begin / (REQUESTS * 10) * 1e6);
}

/* Returns the microseconds in which a host's use of one organisation is added.
 */
static double
measure_add(void)
{
	org_limit_t limit = {27, 27};
	unsigned counts[ORG_SLOTS] = {[3] = 1};
	double begin = processor_s();

	quota = org_quota_new(0);
	for (unsigned i = 0; i < REQUESTS; i++)
		org_quota_add_use(quota, str_of(org_names[i % ORGS]), &limit,
		    ORG_USE_REPORTED, counts, 100);
	begin = processor_s() - begin;
	org_quota_delete(quota);
	return (begin / REQUESTS * 1e6);
}

static int
compare(const void *a, const void *b)
{
	double first = *(const double *)a;
	double second = *(const double *)b;

	return ((first > second) - (first < second));
}

static double
median(double *values)
{
	qsort(values, ROUNDS, sizeof(*values), compare);
	return (values[ROUNDS / 2]);
}

/* Prints the bytes of one organisation in a message, by slots in use. */
static void
print_bytes(void)
{
	static const size_t slots[] = {1, 4, 40};

	for (size_t i = 0; i < 3; i++) {
		unsigned counts[ORG_SLOTS] = {0};
		buf_t uses = {0};

		for (size_t age = 0; age < slots[i]; age++)
			counts[age] = 4;
		for (size_t org = 0; org < ORGS; org++)
			grants_pack_use(&uses, str_of(org_names[org]), counts);
		printf("%zu slots in use: %.1f bytes an organisation, %zu "
		       "bytes for %d\n",
		    slots[i], (double)uses.len / ORGS, uses.len, ORGS);
		buf_free(&uses);
	}
}

int
main(void)
{
	double without[ROUNDS];
	double with[ROUNDS];
	double given[ROUNDS];
	double over[ROUNDS];
	double added[ROUNDS];
	unsigned refused = 0;
	unsigned over_refused = 0;

	for (size_t i = 0; i < ORGS; i++)
		snprintf(org_names[i], sizeof(org_names[i]), "tenant-%03zu", i);
	for (size_t i = 0; i < ROUNDS; i++) {
		without[i] = measure(false);
		with[i] = measure(true);
		given[i] = measure_take(27, &refused);
		added[i] = measure_add();
		over[i] = measure_take(2.2, &over_refused);
	}
	printf("a request and its release in the policy, medians of %d: %.2f "
	       "us without limits, %.2f us with, ratio %.2f\n",
	    ROUNDS, median(without), median(with),
	    median(with) / median(without));
	printf("a take: %.2f us (%u of %d refused), with most refused %.2f us "
	       "(%u)\n",
	    median(given), refused, REQUESTS * 10, median(over), over_refused);
	printf("an organisation of a report: %.2f us\n", median(added));
	print_bytes();
	return (0);
}
