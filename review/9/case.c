/*
 * Case 9: a version of the config takes a key away and adds a tenant with a
 * name of 64 bytes or more. Without the trouble the name is a bit shorter.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../common-2/rig.h"

#define HOSTS	   3
#define REVOKE_S   5.0
#define APPLY_S	   3.0
#define WATCH_S	   20.0
#define INTERVAL_S 0.5

#define ALPHA(keys)                                                           \
	"{\"name\":\"alpha\",\"api-keys\":[" keys "],\"rate-per-s\":50,"      \
	"\"burst\":50}"
#define KEPT  "\"key-that-stays\""
#define TAKEN "\"key-taken-away\""
/* 69 and 60 bytes. */
#define LONG_NAME                                                             \
	"luftvagt-franchise-hovedstaden-skoler-og-daginstitutioner-nordvest-07"
#define SHORT_NAME                                                            \
	"luftvagt-franchise-hovedstaden-skoler-og-daginstitutioner-07"
#define NEW_TENANT(name)                                                      \
	",{\"name\":\"" name "\",\"api-keys\":[\"key-of-the-new\"],"          \
	"\"rate-per-s\":50,\"burst\":50}"

/* Sends a request with a key; returns the status, or 0 without an answer. */
static int
ask(unsigned host, const char *id, const char *key)
{
	char id_line[96];
	char key_line[96];
	const char *const headers[] = {"Host: calls.example", id_line, key_line,
	    "X-Daisypier-Model: m", "X-Daisypier-Token-Usage: 350,80",
	    "X-Daisypier-Prompt-Prefix: 5c1e07a2:100,e4402b7d:250",
	    "X-Daisypier-Deadline-Ms: 5000", NULL};
	rig_message_t response;
	int status = 0;

	snprintf(id_line, sizeof(id_line), "X-Daisypier-Request-Id: %s", id);
	snprintf(key_line, sizeof(key_line), "Authorization: Bearer %s", key);
	if (rig_call(rig_host_address[host], "POST", "/ask/1", headers,
		"prompt", 6, &response))
		status = response.status;
	rig_message_free(&response);
	return (status);
}

/* Returns whether a server ran a request. */
static bool
ran(const char *id)
{
	rig_run_t *runs;
	size_t count = rig_runs(&runs);
	bool found = false;

	for (size_t i = 0; i < count; i++)
		found |= strcmp(runs[i].id, id) == 0;
	free(runs);
	return (found);
}

int
main(void)
{
	double confirmed;
	unsigned late_runs = 0;
	unsigned sent_late = 0;
	unsigned refused_new = 0;
	unsigned number = 0;

	rig_start(&(rig_params_t){
	    .hosts = HOSTS,
	    .servers = 3,
	    .event_us = 2000,
	    .tenants = "[" ALPHA(KEPT "," TAKEN) "]",
	    .settings = "revoke_ms = 5000\nquota_window_s = 5\n"
			"quota_overshoot = 0.1\nquota_slack = 20\n"
			"fair_scheduling = yes\n",
	});
	for (unsigned host = 0; host < HOSTS; host++) {
		char id[32];

		snprintf(id, sizeof(id), "before-%u", host);
		if (ask(host, id, "key-taken-away") != 200 || !ran(id))
			rig_fail("host %u does not serve the key", host);
	}
	rig_configure(8, rig_is_quiet() ? "[" ALPHA(KEPT)
					      NEW_TENANT(SHORT_NAME) "]"
					: "[" ALPHA(KEPT)
					      NEW_TENANT(LONG_NAME) "]");
	confirmed = rig_now();
	rig_record("operator: version 8 without key-taken-away is confirmed");
	while (rig_now() < confirmed + WATCH_S) {
		for (unsigned host = 0; host < HOSTS; host++) {
			double sent = rig_now() - confirmed;
			char id[32];
			int status;

			snprintf(id, sizeof(id), "r%04u", number++);
			status = ask(host, id, "key-taken-away");
			sent_late += sent > REVOKE_S;
			rig_record("client: %s with key-taken-away at host %u, "
				   "sent %.3f s after the confirmation: %d%s",
			    id, host + 1, sent, status,
			    ran(id) ? ", and ran" : "");
			if (sent > REVOKE_S && ran(id))
				late_runs++;
			snprintf(id, sizeof(id), "r%04u", number++);
			sent = rig_now() - confirmed;
			status = ask(host, id, "key-of-the-new");
			refused_new += sent > APPLY_S && status == 401;
		}
		rig_sleep(INTERVAL_S);
	}
	rig_record("CONFIG: %u of %u requests that were sent later than "
		   "revoke-ms with the key that was taken away have run",
	    late_runs, sent_late);
	rig_record("besides, %u requests of the new tenant later than "
		   "config-apply-ms got 401",
	    refused_new);
	rig_stop();
	return (late_runs > 0 ? 1 : 0);
}
