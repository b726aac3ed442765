/* A small deployment: its configuration, its servers and its jobs. */
#include "site.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BEAT_INTERVAL_S 1.2
#define FIRST_START_MS	1700000000000ULL
#define SLOTS		8
#define RETRY_DELAY_S	0.3
#define CALL_TIMEOUT_S	5.0
#define MAX_READS	400

static const char config[] =
    "{\"version\":7,\"routes\":["
    "{\"name\":\"r-checks\",\"host\":\"" SITE_HOST
    "\",\"path-prefix\":\"" SITE_STREAM_PATH
    "\",\"type\":\"stream\",\"timeout-ms\":5000,"
    "\"target-latency-ms\":300,\"priority\":0,\"service\":\"" SITE_SERVICE
    "\",\"max-attempts\":1,\"sticky\":true,\"resumable\":false,"
    "\"gap-aim-ms\":500},"
    "{\"name\":\"r-orders\",\"host\":\"" SITE_HOST
    "\",\"path-prefix\":\"" SITE_UNSAFE_PATH
    "\",\"type\":\"unsafe\",\"timeout-ms\":5000,"
    "\"target-latency-ms\":300,\"priority\":0,\"service\":\"" SITE_SERVICE
    "\",\"max-attempts\":2},"
    "{\"name\":\"r-sheets\",\"host\":\"" SITE_HOST
    "\",\"path-prefix\":\"" SITE_BATCH_PATH
    "\",\"type\":\"batch\",\"timeout-ms\":15000,"
    "\"target-latency-ms\":500,\"completion-window-ms\":18000,"
    "\"retention-s\":60,\"priority\":2,\"service\":\"" SITE_SERVICE
    "\",\"max-attempts\":3,\"sticky\":true,\"resumable\":true,"
    "\"gap-aim-ms\":500}],"
    "\"services\":[{\"name\":\"" SITE_SERVICE
    "\",\"health-path\":\"/health\",\"max-connections\":250,"
    "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":8,"
    "\"kv-capacity\":134354,\"models\":[{\"name\":\"m\"}]}}],"
    "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
    "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";

void
site_event_data(
    const site_t *site, const char *id, unsigned event, bytes_t *out)
{
	size_t start = out->len;

	bytes_printf(out, "%s.%u", id, event);
	while (out->len - start < site->event_bytes)
		bytes_add(out, "x", 1);
}

static void
note_run(site_t *site, model_server_t *server, int change, bool whole)
{
	pthread_mutex_lock(&site->lock);
	server->running += (unsigned)change;
	site->runs_begun += change > 0;
	site->runs_whole += whole;
	site->last_run_at = now_s();
	pthread_mutex_unlock(&site->lock);
}

static bool
send_chunk(conn_t *conn, const bytes_t *data)
{
	bytes_t out = {0};
	bool ok;

	bytes_printf(&out, "%zx\r\n", data->len);
	bytes_add(&out, data->data, data->len);
	bytes_printf(&out, "\r\n");
	ok = conn_send(conn, out.data, out.len);
	bytes_free(&out);
	return (ok);
}

bool
site_send_stream_head(
    const model_server_t *server, conn_t *conn, const char *id)
{
	bytes_t head = {0};
	bool ok;

	bytes_printf(&head,
	    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	    "Transfer-Encoding: chunked\r\nX-Daisypier-Request-Id: %s\r\n"
	    "X-Daisypier-Response-Signature: 3e1b.%s\r\n"
	    "X-Daisypier-Weight-Versions: 1\r\n%s\r\n",
	    id, id, server->leaving ? "Server-Leaving: 1\r\n" : "");
	ok = conn_send(conn, head.data, head.len);
	bytes_free(&head);
	return (ok);
}

bool
site_send_event(conn_t *conn, unsigned event, const bytes_t *data)
{
	bytes_t text = {0};
	bool ok;

	bytes_printf(&text, "id: %u\ndata: ", event);
	bytes_add(&text, data->data, data->len);
	bytes_printf(&text, "\n\n");
	ok = send_chunk(conn, &text);
	bytes_free(&text);
	return (ok);
}

bool
site_send_stream_end(conn_t *conn)
{
	return (conn_send(conn, "0\r\n\r\n", 5));
}

/* Streams the events after the last one that the sender has. */
static bool
stream_events(model_server_t *server, conn_t *conn, const char *id,
    unsigned first, unsigned end)
{
	bool ok = site_send_stream_head(server, conn, id);

	for (unsigned i = first; ok && i < end; i++) {
		bytes_t data = {0};

		sleep_s(server->site->step_s);
		site_event_data(server->site, id, i, &data);
		ok = site_send_event(conn, i, &data);
		bytes_free(&data);
	}
	return (ok && site_send_stream_end(conn));
}

static bool
on_request(void *ctx, conn_t *conn, message_t *request)
{
	model_server_t *server = ctx;
	char target[64];
	char id[128];
	char text[128];
	unsigned prompt = 0;
	unsigned events = 0;
	unsigned first = 0;
	bool ok;

	if (strcmp(request->target, "/health") == 0) {
		snprintf(text, sizeof(text), "X-Daisypier-Instance-Id: %s\r\n",
		    server->id);
		return (conn_reply(conn, 200, text, "", 0));
	}
	if (message_header(request, "X-Daisypier-Target-Instance", target,
		sizeof(target)) &&
	    strcmp(target, server->id) != 0) {
		snprintf(text, sizeof(text), "X-Daisypier-Instance-Id: %s\r\n",
		    server->id);
		return (conn_reply(conn, 421, text, "", 0));
	}
	if (!message_header(request, "X-Daisypier-Request-Id", id, sizeof(id)))
		return (conn_reply(
		    conn, 400, "X-Daisypier-Not-Executed: 1\r\n", "", 0));
	(void)message_header(
	    request, "X-Daisypier-Token-Usage", text, sizeof(text));
	(void)sscanf(text, "%u,%u", &prompt, &events);
	if (message_header(request, "Last-Event-Id", text, sizeof(text)))
		first = (unsigned)atoi(text) + 1;
	note_run(server->site, server, 1, false);
	ok = server->site->fault != NULL &&
	     server->site->fault(
		 server->site->fault_ctx, server, conn, request, id, events);
	if (!ok)
		ok = stream_events(server, conn, id, first, events);
	note_run(server->site, server, -1, ok);
	return (ok);
}

void
site_write_entry(model_server_t *server, const char *state, unsigned seq)
{
	char text[512];

	snprintf(text, sizeof(text),
	    "{\"service\":\"" SITE_SERVICE
	    "\",\"address\":\"%s\",\"zone\":\"trent-bank\","
	    "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
	    "\"warmup-left-ms\":0,\"stage\":\"both\",\"models\":[{"
	    "\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
	    "\"seq\":%u,\"born\":%llu}",
	    server->server->address, SLOTS, state, seq,
	    FIRST_START_MS + 1000ULL * server->starts);
	store_put(server->site->store, "keyed.servers", server->id, text);
}

static void *
beat_thread(void *ctx)
{
	site_t *site = ctx;

	for (;;) {
		for (size_t i = 0; i < site->server_count; i++) {
			model_server_t *server = &site->servers[i];

			if (!server->own_entry)
				site_write_entry(
				    server, "ready", ++server->seq);
		}
		sleep_s(BEAT_INTERVAL_S);
	}
	return (NULL);
}

void
site_start(site_t *site, const rig_t *rig, size_t servers)
{
	pthread_t thread;

	pthread_mutex_init(&site->lock, NULL);
	site->server_count = servers;
	site->last_run_at = now_s();
	for (size_t i = 0; i < servers; i++) {
		model_server_t *server = &site->servers[i];
		char ip[32];

		rig_ip(rig, 100 + (unsigned)i, ip);
		server->site = site;
		snprintf(server->id, sizeof(server->id), "i-%08zx", i + 1);
		server->server = server_start(ip, on_request, server);
	}
	store_put(site->store, "keyed.op", "config", config);
	if (pthread_create(&thread, NULL, beat_thread, site) != 0)
		exit(COULD_NOT_RUN);
	pthread_detach(thread);
}

unsigned
site_running(site_t *site)
{
	unsigned running = 0;

	pthread_mutex_lock(&site->lock);
	for (size_t i = 0; i < site->server_count; i++)
		running += site->servers[i].running;
	pthread_mutex_unlock(&site->lock);
	return (running);
}

double
site_idle_s(site_t *site)
{
	double idle;

	pthread_mutex_lock(&site->lock);
	idle = now_s() - site->last_run_at;
	pthread_mutex_unlock(&site->lock);
	return (site_running(site) > 0 ? 0 : idle);
}

bool
site_ordinary_request(const host_t *host, unsigned number)
{
	message_t answer;
	char headers[512];
	bool ok;

	snprintf(headers, sizeof(headers),
	    "Host: " SITE_HOST "\r\nX-Daisypier-Request-Id: 9c41d%05x\r\n"
	    "X-Daisypier-Model: m\r\nX-Daisypier-Token-Usage: 450,31\r\n"
	    "X-Daisypier-Prompt-Prefix: 5c1e07a2:100,91bd3f06:100,e44%05x:250"
	    "\r\nX-Daisypier-Deadline-Ms: 5000\r\n",
	    number, number);
	call_make(&(call_t){.address = host->callers,
		      .method = "POST",
		      .target = SITE_STREAM_PATH "2f",
		      .headers = headers,
		      .body = "hello",
		      .len = 5,
		      .timeout = CALL_TIMEOUT_S},
	    &answer);
	ok = answer.status == 200;
	message_free(&answer);
	return (ok);
}

void
job_add_item(bytes_t *out, const char *id, unsigned events)
{
	bytes_printf(out,
	    "%s{\"id\":\"%s\",\"path\":\"" SITE_BATCH_PATH "3/91c4\","
	    "\"headers\":{\"X-Daisypier-Model\":\"m\","
	    "\"X-Daisypier-Token-Usage\":\"350,%u\","
	    "\"X-Daisypier-Prompt-Prefix\":\"9c2e41:100,%s:250\"},"
	    "\"body\":\"q83vEjRWeJA=\",\"tokens\":%u}",
	    out->len > 0 ? "," : "", id, events, id, 350 + events);
}

int
job_submit(host_t *const *to, size_t count, const char *id, const bytes_t *body,
    unsigned attempts)
{
	bytes_t text = {0};
	char headers[256];
	int status = 0;

	bytes_printf(&text, "{\"items\":[%s]}", body->data);
	snprintf(headers, sizeof(headers),
	    "Host: " SITE_HOST "\r\nX-Daisypier-Request-Id: %s\r\n"
	    "Content-Type: application/json\r\n",
	    id);
	for (unsigned i = 0; i < attempts && status != 202; i++) {
		message_t answer;

		if (i > 0)
			sleep_s(RETRY_DELAY_S);
		call_make(&(call_t){.address = to[i % count]->callers,
			      .method = "POST",
			      .target = SITE_BATCH_PATH "7c41e0",
			      .headers = headers,
			      .body = text.data,
			      .len = text.len,
			      .timeout = CALL_TIMEOUT_S},
		    &answer);
		status = answer.status;
		message_free(&answer);
	}
	bytes_free(&text);
	return (status);
}

/* Returns the number after a name in a JSON text, or -1. */
static int
json_number(const bytes_t *text, const char *name)
{
	const char *at = text->data != NULL ? strstr(text->data, name) : NULL;

	return (at != NULL ? atoi(at + strlen(name)) : -1);
}

int
job_read(const host_t *host, const char *id, bytes_t *results)
{
	int position = 0;
	unsigned failures = 0;

	for (unsigned i = 0; i < MAX_READS; i++) {
		char target[256];
		message_t answer;
		int next;

		snprintf(target, sizeof(target), "/-/lots/%s?after=%d", id,
		    position);
		call_make(&(call_t){.address = host->callers,
			      .method = "GET",
			      .target = target,
			      .headers = "Host: " SITE_HOST "\r\n",
			      .timeout = CALL_TIMEOUT_S},
		    &answer);
		next = answer.status == 200
			   ? json_number(&answer.body, "\"next-token\":")
			   : -1;
		if (next > position && results != NULL)
			bytes_add(results, answer.body.data, answer.body.len);
		message_free(&answer);
		if (next == position)
			return (position);
		if (next < 0 && ++failures > 10)
			return (-1);
		if (next < 0)
			sleep_s(RETRY_DELAY_S);
		else
			position = next;
	}
	return (-1);
}
