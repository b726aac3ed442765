/*
 * Case 8: a tenant hands in a batch job with an item that has a line end in the
 * value of one of its headers, and a request of another tenant behind it.
 * Without the trouble the value is an ordinary one.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../common-2/rig.h"

#define WAIT_S 12.0

#define TENANTS                                                               \
	"[{\"name\":\"alpha\",\"api-keys\":[\"key-of-alpha\"],"               \
	"\"rate-per-s\":50,\"burst\":50},"                                    \
	"{\"name\":\"beta\",\"api-keys\":[\"key-of-beta\"],"                  \
	"\"rate-per-s\":50,\"burst\":50}]"

/* A header value that holds the rest of one request and all of another. */
#define SMUGGLING                                                             \
	"1\\r\\nContent-Length: 0\\r\\n\\r\\n"                                \
	"POST /ask/smuggled HTTP/1.1\\r\\nHost: calls.example\\r\\n"          \
	"X-Daisypier-Request-Id: nobody-sent-this\\r\\n"                      \
	"X-Daisypier-Model: m\\r\\nX-Daisypier-Token-Usage: 350,80\\r\\n"     \
	"X-Daisypier-Tenant: beta\\r\\nX-Rest: 1"

int
main(void)
{
	static const char *const headers[] = {"Host: calls.example",
	    "X-Daisypier-Request-Id: job-of-alpha",
	    "Authorization: Bearer key-of-alpha",
	    "Content-Type: application/json", NULL};
	rig_message_t response;
	rig_run_t *runs;
	size_t count;
	unsigned foreign = 0;
	unsigned expected = 0;
	char body[2048];

	rig_start(&(rig_params_t){
	    .hosts = 3,
	    .servers = 3,
	    .event_us = 2000,
	    .tenants = TENANTS,
	    .settings = "revoke_ms = 5000\nquota_window_s = 5\n"
			"quota_overshoot = 0.1\nquota_slack = 20\n"
			"fair_scheduling = yes\n",
	});
	snprintf(body, sizeof(body),
	    "{\"items\":[{\"id\":\"item-of-alpha\",\"path\":\"/jobs/0/1\","
	    "\"headers\":{\"X-Daisypier-Model\":\"m\","
	    "\"X-Daisypier-Token-Usage\":\"350,160\",\"X-Note\":\"%s\"},"
	    "\"body\":\"q83vEjRWeJA=\",\"tokens\":510}]}",
	    rig_is_quiet() ? "1" : SMUGGLING);
	if (!rig_call(rig_host_address[0], "POST", "/jobs/job-of-alpha",
		headers, body, 4, &response))
		rig_fail("the job got no answer");
	rig_record("client: the only call of this case, a job of alpha with "
		   "the item item-of-alpha: %d",
	    response.status);
	/* A system that refuses such a job keeps the rule. */
	if (response.status != 202 && rig_is_quiet())
		rig_fail("the ordinary job was not accepted");
	rig_message_free(&response);
	rig_sleep(WAIT_S);
	count = rig_runs(&runs);
	for (size_t i = 0; i < count; i++) {
		bool own = strcmp(runs[i].id, "item-of-alpha") == 0;

		expected += own;
		if (own && strcmp(runs[i].tenant, "alpha") == 0)
			continue;
		foreign++;
		rig_record("UNASKED: server %s ran request=%s target=%s for "
			   "tenant=%s",
		    runs[i].server, runs[i].id, runs[i].target,
		    runs[i].tenant);
	}
	rig_record("%zu runs, %u of the item that was sent, %u that nobody "
		   "sent or of another tenant",
	    count, expected, foreign);
	free(runs);
	rig_stop();
	if (rig_is_quiet() && expected == 0)
		return (2);
	return (foreign > 0 ? 1 : 0);
}
