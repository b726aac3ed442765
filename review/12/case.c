/*
 * Case 12: a server spoils one byte of one event of an item. The result is
 * stored, but reads leave it out and go on behind its position.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "site.h"

#define MEMORY_MB     290
#define SERVERS	      6
#define STEP_S	      0.00253
#define EVENT_BYTES   70
#define EVENTS	      100
#define RECORD_BYTES  262144
#define CALL_BYTES    2097152
#define JOBS	      20
#define ITEMS	      10
#define SPOILED_RUN   50     /* of all runs, one */
#define SPOILED_BYTE  '\xff' /* stands in no UTF-8 text */
#define FINISH_S      18.0
#define CALM_S	      5.0
#define MAX_RUNNING_S 60.0

static unsigned run_count;

/* Spoils a byte in the middle of one answer. */
static bool
spoil_answer(void *ctx, model_server_t *server, conn_t *conn,
    const message_t *request, const char *id, unsigned events)
{
	bool ok;

	(void)ctx;
	(void)request;
	if (!trouble() ||
	    __atomic_add_fetch(&run_count, 1, __ATOMIC_SEQ_CST) != SPOILED_RUN)
		return (false);
	record("server %s spoils a byte of item %s", server->id, id);
	ok = site_send_stream_head(server, conn, id);
	for (unsigned i = 0; ok && i < events; i++) {
		bytes_t data = {0};

		sleep_s(server->site->step_s);
		site_event_data(server->site, id, i, &data);
		if (i == events / 2)
			data.data[data.len / 2] = SPOILED_BYTE;
		ok = site_send_event(conn, i, &data);
		bytes_free(&data);
	}
	return (ok && site_send_stream_end(conn));
}

static void
item_id(unsigned job, unsigned item, char out[32])
{
	snprintf(out, 32, "e5b29%03x%03x", job, item);
}

static bool
submit_jobs(host_t *host)
{
	for (unsigned job = 0; job < JOBS; job++) {
		bytes_t items = {0};
		char id[32];
		int status;

		snprintf(id, sizeof(id), "7c41e%03x", job);
		for (unsigned item = 0; item < ITEMS; item++) {
			char name[32];

			item_id(job, item, name);
			job_add_item(&items, name, EVENTS);
		}
		status = job_submit(&host, 1, id, &items, 5);
		record("job %s, %u items: %d", id, ITEMS, status);
		bytes_free(&items);
		if (status != 202)
			return (false);
	}
	return (true);
}

/* Reads all results and returns the items that are in none. */
static unsigned
count_missing(host_t *host)
{
	unsigned missing = 0;

	for (unsigned job = 0; job < JOBS; job++) {
		bytes_t results = {0};
		char id[32];
		int end;

		snprintf(id, sizeof(id), "7c41e%03x", job);
		end = job_read(host, id, &results);
		if (end < 0)
			exit(COULD_NOT_RUN);
		for (unsigned item = 0; item < ITEMS; item++) {
			char name[32];
			char text[64];

			item_id(job, item, name);
			snprintf(text, sizeof(text), "\"id\":\"%s\"", name);
			if (results.data != NULL &&
			    strstr(results.data, text) != NULL)
				continue;
			missing++;
			record("job %s: reads end at next-token %d of %u, item "
			       "%s is in none of them",
			    id, end, ITEMS, name);
		}
		bytes_free(&results);
	}
	return (missing);
}

int
main(void)
{
	static rig_t rig;
	static site_t site;
	static host_t host;
	const store_options_t options = {RECORD_BYTES, CALL_BYTES};
	unsigned missing;
	double until;
	char ip[32];
	int result = COULD_NOT_RUN;

	record_open(getenv("RECORD"));
	rig_init(&rig);
	rig_ip(&rig, 1, ip);
	site.store = store_start(ip, &options);
	site.step_s = STEP_S;
	site.event_bytes = EVENT_BYTES;
	site.fault = spoil_answer;
	snprintf(rig.store, sizeof(rig.store), "%s", store_address(site.store));
	site_start(&site, &rig, SERVERS);
	host_prepare(&rig, &host, 11, "trent-bank", MEMORY_MB);
	host_start(&host);
	if (!host_wait_ready(&host, 10) || !submit_jobs(&host)) {
		record("the host is not ready, or a job was not accepted");
		rig_end(&rig);
		return (result);
	}
	until = now_s() + MAX_RUNNING_S;
	sleep_s(FINISH_S);
	while (site_idle_s(&site) < CALM_S && now_s() < until)
		sleep_s(0.1);
	record(
	    "runs: %u begun, %u whole; the servers have been idle for %.1f s",
	    site.runs_begun, site.runs_whole, site_idle_s(&site));
	missing = count_missing(&host);
	if (site_idle_s(&site) >= CALM_S)
		result = missing > 0 ? RULE_BROKEN : RULE_HELD;
	record("items not listed: %u; result %d", missing, result);
	rig_end(&rig);
	return (result);
}
