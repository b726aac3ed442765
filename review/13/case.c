/*
 * Case 13: a server that leaves has said so in its entry; an earlier write of
 * its entry, whose answer was lost, is carried out after that. Hosts take the
 * server for ready again and send it requests.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "site.h"

#define MEMORY_MB    290
#define HOSTS	     2
#define SERVERS	     18
#define LEAVING	     8
#define STEP_S	     0.008
#define EVENT_BYTES  70
#define RECORD_BYTES 262144
#define CALL_BYTES   2097152
#define BEAT_S	     1.2 /* heartbeat-ms */
#define DRAIN_S	     2.0 /* drain-ms */
/*
 * The write is sent with the third beat before the server says that it drains,
 * and is carried out so long after that.
 */
#define LOST_BEFORE_S  3.6
#define LATE_AFTER_S   2.41
#define LEAVES_AFTER_S 4.8
#define FIRST_S	       5.0
#define GAP_S	       3.0
#define CALLERS	       5
#define PAUSE_S	       0.2
#define MAX_RUNS       4096

/* When a server's entry said that it drains; 0: it doesn't. */
static double draining_at[SERVERS];
static unsigned late_runs;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static site_t site;
static host_t hosts[HOSTS];
static volatile bool stop;

/* Notes a run at a server that drains for longer than it has to serve. */
static bool
note_late_run(void *ctx, model_server_t *server, conn_t *conn,
    const message_t *request, const char *id, unsigned events)
{
	double since = draining_at[server - site.servers];
	double late = since > 0 ? now_s() - since : 0;

	(void)ctx;
	(void)conn;
	(void)request;
	(void)events;
	if (late <= DRAIN_S)
		return (false);
	pthread_mutex_lock(&lock);
	late_runs++;
	pthread_mutex_unlock(&lock);
	record("request %s reaches server %s %.2f s after its entry said "
	       "draining",
	    id, server->id, late);
	return (false);
}

static void *
caller_thread(void *ctx)
{
	unsigned caller = (unsigned)(size_t)ctx;
	unsigned number = caller << 12;

	while (!stop) {
		(void)site_ordinary_request(&hosts[number % HOSTS], number);
		number++;
		sleep_s(PAUSE_S);
	}
	return (NULL);
}

/* The beats of a server from three beats before it drains until it leaves. */
static void *
leave_thread(void *ctx)
{
	size_t index = (size_t)ctx;
	model_server_t *server = &site.servers[index];
	double drains_at = now_s() + FIRST_S + GAP_S * (double)index;
	unsigned lost_seq;

	sleep_s(drains_at - LOST_BEFORE_S - now_s());
	/* The first write gets no answer, and isn't carried out yet. */
	server->own_entry = true;
	lost_seq = ++server->seq;
	for (int beat = 1; beat < 3; beat++) {
		sleep_s(BEAT_S);
		site_write_entry(server, "ready", ++server->seq);
	}
	sleep_s(drains_at - now_s());
	site_write_entry(server, "draining", ++server->seq);
	draining_at[index] = now_s();
	server->leaving = true;
	for (int beat = 1; beat < 3; beat++) {
		sleep_s(drains_at + beat * BEAT_S - now_s());
		site_write_entry(server, "draining", ++server->seq);
	}
	sleep_s(drains_at + LATE_AFTER_S - now_s());
	if (trouble()) {
		record("server %s: its write of seq %u is carried out, after "
		       "seq %u",
		    server->id, lost_seq, server->seq);
		site_write_entry(server, "ready", lost_seq);
	}
	sleep_s(drains_at + 3 * BEAT_S - now_s());
	site_write_entry(server, "draining", ++server->seq);
	sleep_s(drains_at + LEAVES_AFTER_S - now_s());
	store_put(site.store, "keyed.servers", server->id, "");
	return (NULL);
}

int
main(void)
{
	static rig_t rig;
	const store_options_t options = {RECORD_BYTES, CALL_BYTES};
	pthread_t leaving[LEAVING];
	pthread_t callers[CALLERS];
	char ip[32];
	int result;

	record_open(getenv("RECORD"));
	rig_init(&rig);
	rig_ip(&rig, 1, ip);
	site.store = store_start(ip, &options);
	site.step_s = STEP_S;
	site.event_bytes = EVENT_BYTES;
	site.fault = note_late_run;
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
	for (size_t i = 0; i < CALLERS; i++)
		pthread_create(&callers[i], NULL, caller_thread, (void *)i);
	for (size_t i = 0; i < LEAVING; i++)
		pthread_create(&leaving[i], NULL, leave_thread, (void *)i);
	for (size_t i = 0; i < LEAVING; i++)
		pthread_join(leaving[i], NULL);
	stop = true;
	for (size_t i = 0; i < CALLERS; i++)
		pthread_join(callers[i], NULL);
	result = late_runs > 0 ? RULE_BROKEN : RULE_HELD;
	if (site.runs_whole == 0)
		result = COULD_NOT_RUN;
	record("%u runs, %u of them later than %.1f s after draining; "
	       "result %d",
	    site.runs_begun, late_runs, DRAIN_S, result);
	rig_end(&rig);
	return (result);
}
