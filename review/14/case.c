/*
 * Case 14: a server runs a request and fails with a 503 that does not say that
 * it has not run. The client gets it as the promise that it has not run.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "site.h"

#define MEMORY_MB    290
#define HOSTS	     2
#define SERVERS	     6
#define STEP_S	     0.00253
#define EVENT_BYTES  70
#define RECORD_BYTES 262144
#define CALL_BYTES   2097152
#define REQUESTS     200
#define FAILED_SHARE 5 /* every fifth run of one server fails */
#define WORK_S	     0.02
#define MAX_RUNS     4096

/* The runs that servers have begun, by the request's id. */
static struct {
	char id[32];
} runs[MAX_RUNS];
static unsigned run_count;
static unsigned runs_of_faulty;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* Runs a request; one server fails some of them. */
static bool
answer_order(void *ctx, model_server_t *server, conn_t *conn,
    const message_t *request, const char *id, unsigned events)
{
	bool is_faulty = strcmp(server->id, "i-00000001") == 0;
	bool fails;
	char headers[256];

	(void)ctx;
	(void)events;
	if (strncmp(request->target, SITE_UNSAFE_PATH,
		strlen(SITE_UNSAFE_PATH)) != 0)
		return (false);
	pthread_mutex_lock(&lock);
	snprintf(runs[run_count].id, sizeof(runs[0].id), "%s", id);
	run_count += run_count + 1 < MAX_RUNS;
	runs_of_faulty += is_faulty;
	fails = trouble() && is_faulty && runs_of_faulty % FAILED_SHARE == 0;
	pthread_mutex_unlock(&lock);
	sleep_s(WORK_S);
	if (fails) {
		record("server %s runs %s and fails: 503", server->id, id);
		snprintf(headers, sizeof(headers),
		    "X-Daisypier-Request-Id: %s\r\n", id);
		return (conn_reply(conn, 503, headers, "failed", 6));
	}
	snprintf(headers, sizeof(headers),
	    "X-Daisypier-Request-Id: %s\r\n"
	    "X-Daisypier-Response-Signature: 3e1b.%s\r\n",
	    id, id);
	return (conn_reply(conn, 200, headers, "done", 4));
}

static bool
has_run(const char *id)
{
	bool found = false;

	pthread_mutex_lock(&lock);
	for (unsigned i = 0; i < run_count; i++)
		found |= strcmp(runs[i].id, id) == 0;
	pthread_mutex_unlock(&lock);
	return (found);
}

/* Sends an order; returns whether it was refused though it has run. */
static bool
order_is_refused_falsely(const host_t *host, unsigned number, unsigned *done)
{
	message_t answer;
	char headers[256];
	char id[32];
	int status;

	snprintf(id, sizeof(id), "9c41d07be2%06x", number);
	snprintf(headers, sizeof(headers),
	    "Host: " SITE_HOST "\r\nX-Daisypier-Request-Id: %s\r\n"
	    "X-Daisypier-Deadline-Ms: 5000\r\n",
	    id);
	call_make(&(call_t){.address = host->callers,
		      .method = "POST",
		      .target = SITE_UNSAFE_PATH "2f",
		      .headers = headers,
		      .body = "order",
		      .len = 5,
		      .timeout = 5},
	    &answer);
	status = answer.status;
	message_free(&answer);
	*done += status == 200;
	if ((status != 503 && status != 429 && status != 408 &&
		status != 421) ||
	    !has_run(id))
		return (false);
	record("request %s is answered %d, and has run", id, status);
	return (true);
}

int
main(void)
{
	static rig_t rig;
	static site_t site;
	static host_t hosts[HOSTS];
	const store_options_t options = {RECORD_BYTES, CALL_BYTES};
	unsigned refused_falsely = 0;
	unsigned done = 0;
	char ip[32];
	int result;

	record_open(getenv("RECORD"));
	rig_init(&rig);
	rig_ip(&rig, 1, ip);
	site.store = store_start(ip, &options);
	site.step_s = STEP_S;
	site.event_bytes = EVENT_BYTES;
	site.fault = answer_order;
	snprintf(rig.store, sizeof(rig.store), "%s", store_address(site.store));
	site_start(&site, &rig, SERVERS);
	for (unsigned i = 0; i < HOSTS; i++) {
		host_prepare(&rig, &hosts[i], 11 + i, "trent-bank", MEMORY_MB);
		host_start(&hosts[i]);
	}
	for (unsigned i = 0; i < HOSTS; i++)
		if (!host_wait_ready(&hosts[i], 10)) {
			record("a host is not ready");
			rig_end(&rig);
			return (COULD_NOT_RUN);
		}
	sleep_s(3);
	for (unsigned i = 0; i < REQUESTS; i++)
		refused_falsely +=
		    order_is_refused_falsely(&hosts[i % HOSTS], i, &done);
	record("%u requests, %u done, %u runs; %u refused that have run",
	    REQUESTS, done, run_count, refused_falsely);
	result = done == 0	       ? COULD_NOT_RUN
		 : refused_falsely > 0 ? RULE_BROKEN
				       : RULE_HELD;
	record("result %d", result);
	rig_end(&rig);
	return (result);
}
