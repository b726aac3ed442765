/*
 * Processor time of one admission decision in a large pool, whose slots are
 * shared by online requests in steps and by batch.
 */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "admission.h"
#include "clock.h"

#define ZONES	  6
#define ENDPOINTS 204
#define SLOTS	  7
#define HOSTS	  295
#define ROUNDS	  20
/* Online requests of one step, which arrive while batch fills the pool. */
#define STEP 1000

static double
processor_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return ((double)t.tv_sec + (double)t.tv_nsec / 1e9);
}

static void
configure(admission_t *a)
{
	static char names[ENDPOINTS][32];
	static char zones[ZONES][16];
	admission_endpoint_t endpoints[ENDPOINTS];

	for (size_t i = 0; i < ZONES; i++)
		snprintf(zones[i], sizeof(zones[i]), "zone-%zu", i);
	for (size_t i = 0; i < ENDPOINTS; i++) {
		snprintf(names[i], sizeof(names[i]), "endpoint-%zu", i);
		endpoints[i] = (admission_endpoint_t){
		    .name = names[i],
		    .address = "127.0.0.1:1",
		    .zone = zones[i % ZONES],
		    .slots = SLOTS,
		};
	}
	admission_configure(a,
	    &(admission_settings_t){.queue_limit = 4096, .revoke_timeout = 1},
	    endpoints, ENDPOINTS, 0);
}

static void
ask(admission_t *a, uint64_t id, grant_class_t class, double now)
{
	char holder[32];
	char zone[16];

	snprintf(holder, sizeof(holder), "host-%u", (unsigned)(id % HOSTS));
	snprintf(zone, sizeof(zone), "zone-%u", (unsigned)(id % ZONES));
	admission_request(a,
	    &(admission_request_t){
		.id = id,
		.holder = holder,
		.zone = zone,
		.class = class,
		.org = class == GRANT_ONLINE ? "online" : "batch",
		.weight = 1,
		.prefix_hash = class == GRANT_ONLINE ? id * 31 : 0,
		.deadline = now + 3,
		.start_by =
		    now +
		    (class == GRANT_ONLINE ? 0.25 : 5 + (double)(id % 97) / 10),
		.avoid = "",
	    },
	    now);
}

static void
release(admission_t *a, uint64_t id, double now)
{
	char holder[32];

	snprintf(holder, sizeof(holder), "host-%u", (unsigned)(id % HOSTS));
	admission_release(
	    a, holder, id, &(grant_report_t){.first_token_seconds = 0.03}, now);
}

/* Takes in what was decided; revoked batch is given back at once. */
static size_t
drain(admission_t *a, uint64_t *granted, double now)
{
	admission_action_t action;
	size_t decisions = 0;

	while (admission_next_action(a, &action)) {
		decisions++;
		if (action.kind == ADMISSION_REVOKE)
			release(a, action.id, now);
		else if (action.kind == ADMISSION_GRANT && granted != NULL)
			*granted = action.id;
	}
	return (decisions);
}

int
main(void)
{
	admission_t *a = admission_new(1);
	uint64_t id = 1;
	double now = 0;
	double used = 0;
	size_t operations = 0;

	configure(a);
	for (int round = 0; round < ROUNDS; round++) {
		uint64_t first;
		double began;

		for (size_t i = 0; i < ENDPOINTS * SLOTS; i++, id++)
			ask(a, id, GRANT_BATCH, now);
		drain(a, NULL, now);
		first = id;
		began = processor_s();
		for (size_t i = 0; i < STEP; i++, id++) {
			now += 0.0005;
			ask(a, id, GRANT_ONLINE, now);
			drain(a, NULL, now);
		}
		for (size_t i = 0; i < STEP; i++) {
			now += 0.0005;
			release(a, first + i, now);
			drain(a, NULL, now);
		}
		used += processor_s() - began;
		operations += 2 * STEP;
	}
	printf("%d endpoints, %d slots: %.1f us of processor for an ask or a "
	       "release\n",
	    ENDPOINTS, ENDPOINTS * SLOTS, used / (double)operations * 1e6);
	admission_delete(a);
	return (0);
}
