/*
 * Case 14: a part of a prompt crashes servers, as the users' news page tells.
 * It stands behind more than 32 others, and is never found out.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "site.h"

#define MEMORY_MB     290
#define HOSTS	      2
#define SERVERS	      12
#define STEP_S	      0.005
#define EVENT_BYTES   70
#define RECORD_BYTES  262144
#define CALL_BYTES    2097152
#define PARTS	      40 /* before the one that crashes; PARTS changes it */
#define SOUND_CALLERS 5
#define SOUND_PAUSE_S 0.3
#define BAD_PAUSE_S   0.7
#define RETURN_S      3.0
#define CONTACT_S     3.0 /* contact-ms */
#define MANY_CRASHES  5
#define ALLOWED	      3
#define DURATION_S    40.0
#define BAD_PART      "deadbeef:16,"

static site_t site;
static host_t hosts[HOSTS];
static unsigned part_count = PARTS;
static unsigned crashes;
static unsigned reached;
static unsigned reached_late;
static unsigned asked;
static unsigned answered;
static double fifth_at;
static volatile bool stop;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void *
return_thread(void *ctx)
{
	model_server_t *server = ctx;

	sleep_s(RETURN_S);
	server->starts++;
	server->seq = 0;
	server_return(server->server);
	server->own_entry = false;
	return (NULL);
}

static void
crash(model_server_t *server)
{
	pthread_t thread;

	crashes++;
	if (crashes == MANY_CRASHES)
		fifth_at = now_s();
	server->own_entry = true; /* it writes none */
	server_crash(server->server);
	if (pthread_create(&thread, NULL, return_thread, server) == 0)
		pthread_detach(thread);
}

/* Crashes when it begins to write an answer on the part. */
static bool
crash_on_part(void *ctx, model_server_t *server, conn_t *conn,
    const message_t *request, const char *id, unsigned events)
{
	char prompt[4096];

	(void)ctx;
	(void)events;
	if (!message_header(
		request, "X-Daisypier-Prompt-Prefix", prompt, sizeof(prompt)) ||
	    strstr(prompt, BAD_PART) == NULL || !trouble())
		return (false);
	(void)site_send_stream_head(server, conn, id);
	pthread_mutex_lock(&lock);
	reached++;
	if (fifth_at > 0 && now_s() > fifth_at + CONTACT_S) {
		reached_late++;
		record("request %s reaches server %s, %.1f s after the fifth "
		       "crash",
		    id, server->id, now_s() - fifth_at);
	}
	if (server->server->fd >= 0)
		crash(server);
	pthread_mutex_unlock(&lock);
	return (true);
}

/* No two prompts are alike; they share all parts but the last two. */
static bool
make_request(const char *id, bool bad, unsigned number)
{
	bytes_t headers = {0};
	message_t answer;
	bool ok;

	bytes_printf(&headers,
	    "Host: " SITE_HOST "\r\nX-Daisypier-Request-Id: %s\r\n"
	    "X-Daisypier-Model: m\r\nX-Daisypier-Token-Usage: 950,31\r\n"
	    "X-Daisypier-Deadline-Ms: 5000\r\n"
	    "X-Daisypier-Prompt-Prefix: ",
	    id);
	for (unsigned i = 0; i < part_count; i++)
		bytes_printf(&headers, "a%02x:16,", i);
	bytes_printf(
	    &headers, "%se%05x:250\r\n", bad ? BAD_PART : "cafe:16,", number);
	call_make(&(call_t){.address = hosts[number % HOSTS].callers,
		      .method = "POST",
		      .target = SITE_STREAM_PATH "2f",
		      .headers = headers.data,
		      .body = id,
		      .len = strlen(id),
		      .timeout = 5},
	    &answer);
	ok = answer.status == 200;
	message_free(&answer);
	bytes_free(&headers);
	return (ok);
}

static void *
sound_thread(void *ctx)
{
	unsigned number = (unsigned)(size_t)ctx << 12;

	while (!stop) {
		char id[32];
		bool ok;

		snprintf(id, sizeof(id), "50d%05x", ++number);
		ok = make_request(id, false, number);
		pthread_mutex_lock(&lock);
		asked++;
		answered += ok;
		pthread_mutex_unlock(&lock);
		sleep_s(SOUND_PAUSE_S);
	}
	return (NULL);
}

static void *
bad_thread(void *ctx)
{
	unsigned number = 0xf0000;

	(void)ctx;
	while (!stop) {
		char id[32];

		snprintf(id, sizeof(id), "bad%05x", ++number);
		(void)make_request(id, true, number);
		sleep_s(BAD_PAUSE_S);
	}
	return (NULL);
}

int
main(void)
{
	static rig_t rig;
	const store_options_t options = {RECORD_BYTES, CALL_BYTES};
	pthread_t threads[SOUND_CALLERS + 1];
	char ip[32];
	int result;

	if (getenv("PARTS") != NULL)
		part_count = (unsigned)atoi(getenv("PARTS"));
	record_open(getenv("RECORD"));
	rig_init(&rig);
	rig_ip(&rig, 1, ip);
	site.store = store_start(ip, &options);
	site.step_s = STEP_S;
	site.event_bytes = EVENT_BYTES;
	site.fault = crash_on_part;
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
	for (size_t i = 0; i < SOUND_CALLERS; i++)
		pthread_create(&threads[i], NULL, sound_thread, (void *)i);
	sleep_s(2);
	pthread_create(&threads[SOUND_CALLERS], NULL, bad_thread, NULL);
	sleep_s(DURATION_S);
	stop = true;
	for (size_t i = 0; i <= SOUND_CALLERS; i++)
		pthread_join(threads[i], NULL);
	record("%u parts before it; %u crashes, %u requests with it reached "
	       "servers, %u of them over %.0f s after the fifth crash; %u of "
	       "%u sound requests answered",
	    part_count, crashes, reached, reached_late, CONTACT_S, answered,
	    asked);
	result = answered == 0		  ? COULD_NOT_RUN
		 : reached_late > ALLOWED ? RULE_BROKEN
					  : RULE_HELD;
	record("result %d", result);
	rig_end(&rig);
	return (result);
}
