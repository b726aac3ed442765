/* Requests that a gateway takes late in its planned stop and cuts off. */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "lib.h"

#define SERVERS	   2
#define GRACE_S	   8.0
#define EXCUSED_S  3.0 /* requests sent later than this have no excuse */
#define KEEP_TIMES 3.0 /* some clients keep an answer three times as long */
#define DEADLINE_S 5.0
/* A sound stream: 60 events, 65 ms apart. */
#define EVENTS	  60
#define EVENT_S	  0.065
#define REQUESTS  6
#define FIRST_S	  4.2 /* after the signal */
#define BETWEEN_S 0.25

typedef struct request_t {
	char id[32];
	double sent_at;
	double ended_at;
	bool at_server;
	message_t answer;
	pthread_t thread;
} request_t;

static server_t servers[SERVERS];
static request_t requests[REQUESTS];
static char target_ip[32];
static unsigned target_port;

static request_t *
find(const char *id)
{
	for (size_t i = 0; i < REQUESTS; i++)
		if (strcmp(requests[i].id, id) == 0)
			return (&requests[i]);
	return (NULL);
}

static void
plan(server_t *s, const message_t *m, plan_t *out)
{
	const char *id = message_header(m, "X-Daisypier-Request-Id");
	request_t *r = find(id);

	*out = (plan_t){.status = 200,
	    .events = EVENTS,
	    .interval_s = EVENT_S,
	    .event_bytes = 70};
	if (r != NULL)
		r->at_server = true;
	record("server %s runs request %s, deadline %s ms", s->id, id,
	    message_header(m, "X-Daisypier-Deadline-Ms"));
}

static void
ended(server_t *s, const message_t *m, bool whole)
{
	record("server %s has ended request %s: %s", s->id,
	    message_header(m, "X-Daisypier-Request-Id"),
	    whole ? "whole" : "its channel was closed");
}

static void *
send_one(void *arg)
{
	request_t *r = arg;
	bytes_t text = {0};

	bytes_printf(&text,
	    "POST /lohu930/2f HTTP/1.1\r\nHost: " HOST_NAME
	    "\r\nX-Daisypier-Request-Id: %s\r\nX-Daisypier-Model: m\r\n"
	    "X-Daisypier-Token-Usage: 450,480\r\n"
	    "X-Daisypier-Prompt-Prefix: 5c1e07a2:100,91bd3f06:100,%.8s:250\r\n"
	    "X-Daisypier-Deadline-Ms: %.0f\r\nContent-Length: 2\r\n\r\n{}",
	    r->id, r->id, DEADLINE_S * 1e3);
	r->sent_at = now();
	record(
	    "client sends request %s to %s:%u", r->id, target_ip, target_port);
	http_call(target_ip, target_port, &text, DEADLINE_S + 1, &r->answer);
	r->ended_at = now();
	record("client: request %s has ended after %.3f s, status %d, "
	       "complete=%d, "
	       "%zu bytes",
	    r->id, r->ended_at - r->sent_at, r->answer.status,
	    r->answer.complete, r->answer.body.len);
	bytes_free(&text);
	return (NULL);
}

/* Asks a directory for the addresses; returns how long they may be used. */
static double
resolve(void)
{
	bytes_t text = {0};
	message_t answer;
	const char *at;
	double ttl = 0;

	bytes_printf(&text,
	    "GET /-/resolve?name=" HOST_NAME
	    "&region=midlands&zone=trent-bank HTTP/1.1\r\nHost: x\r\n\r\n");
	http_call(gateways[1].ip, directory_port, &text, 1, &answer);
	record("directory answers %d %s", answer.status,
	    answer.body.data != NULL ? answer.body.data : "");
	at = answer.body.data != NULL ? strstr(answer.body.data, gateways[0].ip)
				      : NULL;
	if (answer.status != 200 || at == NULL ||
	    sscanf(at, "%31[0-9.]:%u", target_ip, &target_port) != 2)
		cannot_run("the directory does not name the first gateway");
	at = strstr(answer.body.data, "\"ttl-s\":");
	if (at != NULL)
		ttl = strtod(at + 8, NULL);
	message_free(&answer);
	bytes_free(&text);
	return (ttl < 5 ? ttl : 5);
}

int
main(int argc, char **argv)
{
	unsigned lost = 0;
	double resolved_at;
	double signalled_at;
	double keep_s;

	case_start(argc, argv);
	store_start();
	config_put(3);
	for (unsigned i = 0; i < SERVERS; i++) {
		snprintf(servers[i].ip, sizeof(servers[i].ip), "127.0.0.%u",
		    101 + i);
		servers[i].plan = plan;
		servers[i].ended = ended;
		server_start(&servers[i]);
	}
	gateways_start(3);
	gateways_wait_ready(15);
	sleep_s(4);

	keep_s = resolve() * KEEP_TIMES;
	resolved_at = now();
	signalled_at = now();
	if (trouble())
		gateway_signal(&gateways[0], SIGTERM);
	for (size_t i = 0; i < REQUESTS; i++) {
		request_t *r = &requests[i];
		double at = signalled_at + FIRST_S + BETWEEN_S * (double)i;

		snprintf(r->id, sizeof(r->id), "9c41d07be2a35f%02zx", i);
		sleep_s(at - now());
		if (now() > resolved_at + keep_s)
			cannot_run("the directory's answer is too old");
		pthread_create(&r->thread, NULL, send_one, r);
	}
	if (trouble()) {
		if (!gateway_wait_end(
			&gateways[0], signalled_at + GRACE_S - now())) {
			gateway_signal(&gateways[0], SIGKILL);
			gateway_wait_end(&gateways[0], 5);
		}
		record("the gateway ended %.3f s after the signal",
		    now() - signalled_at);
	}
	for (size_t i = 0; i < REQUESTS; i++) {
		request_t *r = &requests[i];
		bool cut;

		pthread_join(r->thread, NULL);
		cut = !r->answer.complete && r->at_server &&
		      r->sent_at > signalled_at + EXCUSED_S &&
		      r->ended_at < r->sent_at + DEADLINE_S;
		record("request %s, sent %.2f s after the signal: status %d, "
		       "complete=%d, at a server=%d%s",
		    r->id, r->sent_at - signalled_at, r->answer.status,
		    r->answer.complete, r->at_server, cut ? ", CUT OFF" : "");
		lost += cut;
		message_free(&r->answer);
	}
	record("%u of %d requests were cut off", lost, REQUESTS);
	finish(lost > 0);
}
