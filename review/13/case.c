/*
 * Case 13: a client posts bodies of small empty objects to a batch route.
 * Parsing one of them takes 80 times its size.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "site.h"

#define MEMORY_MB    290
#define HOSTS	     2
#define SERVERS	     4
#define STEP_S	     0.00253
#define EVENT_BYTES  70
#define RECORD_BYTES 262144
#define CALL_BYTES   2097152
#define BODY_BYTES   4194304 /* max-body-bytes of the configuration */
#define BODIES	     3	     /* to each host */
#define ORDINARY     5
/* The rule: so many ends of each of so many machines. */
#define FAULT_ENDS  3
#define FAULT_HOSTS 2

/* Makes a body of nearly the given size: empty objects, or one long text. */
static void
make_body(bytes_t *out, bool objects)
{
	bytes_printf(out, "{\"items\":[%s", objects ? "{}" : "\"");
	while (out->len + 8 < BODY_BYTES)
		bytes_add(out, objects ? ",{}" : "abc", 3);
	bytes_printf(out, objects ? "]}" : "\"]}");
}

static int
post_body(const host_t *host, const bytes_t *body)
{
	message_t answer;
	int status;

	call_make(&(call_t){.address = host->callers,
		      .method = "POST",
		      .target = SITE_BATCH_PATH "7c41e0",
		      .headers = "Host: " SITE_HOST "\r\n"
				 "X-Daisypier-Request-Id: 7c41e09b52d6a3f8\r\n"
				 "Content-Type: application/json\r\n",
		      .body = body->data,
		      .len = body->len,
		      .timeout = 20},
	    &answer);
	status = answer.status;
	message_free(&answer);
	return (status);
}

static void
ask_ordinary(const host_t *host, unsigned number)
{
	unsigned answered = 0;

	for (unsigned i = 0; i < ORDINARY; i++)
		answered += site_ordinary_request(host, number * ORDINARY + i);
	record("%s: %u of %u ordinary requests answered, peak %lu kB",
	    host->name, answered, ORDINARY, host_peak_kb(host));
}

int
main(void)
{
	static rig_t rig;
	static site_t site;
	static host_t hosts[HOSTS];
	const store_options_t options = {RECORD_BYTES, CALL_BYTES};
	unsigned faulty = 0;
	bytes_t body = {0};
	char ip[32];
	int result;

	record_open(getenv("RECORD"));
	rig_init(&rig);
	rig_ip(&rig, 1, ip);
	site.store = store_start(ip, &options);
	site.step_s = STEP_S;
	site.event_bytes = EVENT_BYTES;
	snprintf(rig.store, sizeof(rig.store), "%s", store_address(site.store));
	site_start(&site, &rig, SERVERS);
	for (unsigned i = 0; i < HOSTS; i++) {
		host_prepare(&rig, &hosts[i], 11 + i, "trent-bank", MEMORY_MB);
		host_start(&hosts[i]);
	}
	for (unsigned i = 0; i < HOSTS; i++) {
		if (!host_wait_ready(&hosts[i], 10)) {
			record("a host is not ready");
			rig_end(&rig);
			return (COULD_NOT_RUN);
		}
		host_enforce_memory(&hosts[i]);
	}
	sleep_s(3);
	make_body(&body, trouble());
	for (unsigned k = 0; k < BODIES; k++) {
		for (unsigned i = 0; i < HOSTS; i++) {
			ask_ordinary(&hosts[i], 10 * k + i);
			record("%s: one body of %zu bytes: %d", hosts[i].name,
			    body.len, post_body(&hosts[i], &body));
		}
		sleep_s(1);
		for (unsigned i = 0; i < HOSTS; i++)
			(void)host_wait_ready(&hosts[i], 10);
	}
	for (unsigned i = 0; i < HOSTS; i++) {
		ask_ordinary(&hosts[i], 100 + i);
		record("%s: ended by memory %u times", hosts[i].name,
		    hosts[i].ends_by_memory);
		faulty += hosts[i].ends_by_memory >= FAULT_ENDS;
	}
	result = faulty >= FAULT_HOSTS ? RULE_BROKEN : RULE_HELD;
	record("result %d", result);
	rig_end(&rig);
	return (result);
}
