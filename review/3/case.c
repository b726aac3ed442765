/* A batch job whose item carries a second request in the value of a header. */
#include <stdlib.h>
#include <string.h>

#include "lib.h"

#define SERVERS	      2
#define SMUGGLED      "deadbeef00000001"
#define JOB_ID	      "7c41e09b52d6a3f8"
#define ITEM_ID	      "e5b2907c14da6f38"
#define SETTLE_S      10.0
#define SMUGGLED_PATH "/lohu930/nobody-sent-this"

static server_t servers[SERVERS];
static bool unasked;

static void
plan(server_t *s, const message_t *m, plan_t *out)
{
	const char *id = message_header(m, "X-Daisypier-Request-Id");
	const char *usage = message_header(m, "X-Daisypier-Token-Usage");

	*out = (plan_t){.status = 200,
	    .events = 20,
	    .interval_s = 0.0202,
	    .event_bytes = 70};
	record("server %s runs %s %s, request id %s, usage %s, body of %zu "
	       "bytes",
	    s->id, m->method, m->target, id, usage != NULL ? usage : "-",
	    m->body.len);
	if (strcmp(id, ITEM_ID) != 0)
		unasked = true;
}

int
main(int argc, char **argv)
{
	item_t item = {.id = ITEM_ID, .headers = "", .tokens = 410};
	message_t answer;
	char state = '-';

	case_start(argc, argv);
	store_start();
	config_put(3);
	for (unsigned i = 0; i < SERVERS; i++) {
		snprintf(servers[i].ip, sizeof(servers[i].ip), "127.0.0.%u",
		    101 + i);
		servers[i].plan = plan;
		server_start(&servers[i]);
	}
	gateways_start(3);
	gateways_wait_ready(15);
	sleep_s(3);

	/* The value is one string of the job's JSON text. */
	item.headers =
	    trouble() ? ",\"X-Note\":\"a\\r\\nX-Daisypier-Request-Id: " ITEM_ID
			"\\r\\nContent-Length: 0\\r\\n\\r\\n"
			"POST " SMUGGLED_PATH " HTTP/1.1\\r\\n"
			"X-Daisypier-Request-Id: " SMUGGLED "\\r\\nX-Rest: b\""
		      : ",\"X-Note\":\"a b\"";
	job_submit(JOB_ID, &item, 1);
	sleep_s(SETTLE_S);
	for (unsigned g = 0; g < gateway_count && state == '-'; g++) {
		if (job_read(JOB_ID, g, &answer))
			state = job_item_state(&answer, ITEM_ID);
		message_free(&answer);
	}
	record("item %s: state %c", ITEM_ID, state);
	record(unasked ? "a server ran a request that no client sent"
		       : "servers ran only what the client sent");
	if (!unasked && state != 'd')
		cannot_run("the item is not done");
	finish(unasked);
}
