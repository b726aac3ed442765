/* A config whose new service has a long name. */
#include <stdlib.h>
#include <string.h>

#include "lib.h"

#define SERVERS		2
#define GATEWAYS	3
#define CALLERS		6
#define CALL_GAP_S	0.05
#define CALM_S		4.0
#define FINISH_S	18.0
#define READ_S		5.0 /* after that, the job is read again and again */
#define JOB		"7c41e09b52d6a3f8"
#define READ_GAP_S	0.2
#define ITEMS		10
#define RESTART_DELAY_S 0.5
/* The rule's bounds: machines, and ends of the processes of each. */
#define MACHINES_BROKEN 2
#define ENDS_BROKEN	3
#define SHORT_NAME	"tally-lm-green"
#define LONG_NAME                                          \
	"tally-reading-language-service-for-the-midlands-" \
	"trent-bank-and-lakeside-green"

typedef struct tally_t {
	unsigned whole;
	unsigned cut;
	unsigned unanswered;
} tally_t;

static server_t servers[SERVERS];
static tally_t tallies[2]; /* before and after the config */
static volatile unsigned phase;
static volatile bool over;
static item_t items[ITEMS];
static unsigned reads;
static unsigned reads_answered;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void
plan(server_t *s, const message_t *m, plan_t *out)
{
	(void)s;
	(void)m;
	*out = (plan_t){.status = 200,
	    .events = 31,
	    .interval_s = 0.0202,
	    .event_bytes = 70};
}

/* Writes a config with one more service, which no route uses yet. */
static void
put_config(unsigned version, const char *new_service)
{
	bytes_t text = {0};

	bytes_printf(&text,
	    "{\"version\":%u,\"routes\":["
	    "{\"name\":\"r-stream\",\"host\":\"" HOST_NAME
	    "\",\"path-prefix\":\"/lohu930/\",\"type\":\"stream\","
	    "\"timeout-ms\":5000,\"target-latency-ms\":300,\"priority\":0,"
	    "\"service\":\"m\",\"max-attempts\":1,\"sticky\":true,"
	    "\"resumable\":false,\"gap-aim-ms\":500},"
	    "{\"name\":\"r-batch\",\"host\":\"" HOST_NAME
	    "\",\"path-prefix\":\"/pule252/\",\"type\":\"batch\","
	    "\"timeout-ms\":15000,\"target-latency-ms\":500,\"priority\":2,"
	    "\"service\":\"m\",\"max-attempts\":3,\"sticky\":true,"
	    "\"resumable\":true,\"gap-aim-ms\":500,"
	    "\"completion-window-ms\":18000,\"retention-s\":60}],"
	    "\"services\":[",
	    version);
	for (unsigned i = 0; i < (new_service != NULL ? 2 : 1); i++)
		bytes_printf(&text,
		    "%s{\"name\":\"%s\",\"health-path\":\"/health\","
		    "\"max-connections\":250,\"protocol\":\"h1\","
		    "\"tls\":false,\"engine\":{\"slots\":8,"
		    "\"kv-capacity\":134354,\"models\":[{\"name\":\"m\"}]}}",
		    i > 0 ? "," : "", i == 0 ? "m" : new_service);
	bytes_printf(&text,
	    "],\"limits\":{\"max-header-bytes\":16384,"
	    "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
	    "\"idle-timeout-ms\":15000}}");
	store_put("keyed.op", 0, "config", text.data);
	record("operator: version %u is confirmed%s%s", version,
	    new_service != NULL ? ", new service " : "",
	    new_service != NULL ? new_service : "");
	bytes_free(&text);
}

static void *
call(void *arg)
{
	unsigned caller = *(unsigned *)arg;

	for (unsigned i = 0; !over; i++) {
		unsigned begun = phase;
		bytes_t text = {0};
		message_t answer;

		bytes_printf(&text,
		    "POST /lohu930/2f HTTP/1.1\r\nHost: " HOST_NAME
		    "\r\nX-Daisypier-Request-Id: 9c4%05x%08x\r\n"
		    "X-Daisypier-Model: m\r\n"
		    "X-Daisypier-Token-Usage: 450,248\r\n"
		    "X-Daisypier-Prompt-Prefix: 5c1e07a2:100,%x%07x:350\r\n"
		    "X-Daisypier-Deadline-Ms: 5000\r\n"
		    "Content-Length: 2\r\n\r\n{}",
		    caller, i, 8 + caller, i);
		http_call(
		    gateways[i % GATEWAYS].ip, front_port, &text, 5.5, &answer);
		pthread_mutex_lock(&lock);
		if (answer.status == 200 && answer.complete)
			tallies[begun].whole++;
		else if (answer.status == 200)
			tallies[begun].cut++;
		else
			tallies[begun].unanswered++;
		pthread_mutex_unlock(&lock);
		message_free(&answer);
		bytes_free(&text);
		sleep_s(CALL_GAP_S);
	}
	return (NULL);
}

/* Returns how many results of the job are listed; -1: it can't be read. */
static int
read_job(unsigned gateway)
{
	message_t answer;
	int listed = -1;

	if (job_read(JOB, gateway, &answer)) {
		listed = 0;
		for (unsigned i = 0; i < ITEMS; i++)
			listed += job_item_state(&answer, items[i].id) == 'd';
	}
	message_free(&answer);
	return (listed);
}

static void *
read_again(void *arg)
{
	(void)arg;
	while (!over) {
		int listed = read_job(reads % GATEWAYS);

		reads++;
		reads_answered += listed >= 0;
		if (reads < 4 || listed >= 0)
			record("job %s is read again: %d results", JOB, listed);
		sleep_s(READ_GAP_S);
	}
	return (NULL);
}

/* Restarts processes that end, as the platform does, and counts the ends. */
static void
watch(double seconds, unsigned ends[GATEWAYS])
{
	double until = now() + seconds;
	double restart_at[GATEWAYS] = {0};

	while (now() < until) {
		for (unsigned i = 0; i < GATEWAYS; i++) {
			gateway_t *g = &gateways[i];

			if (g->pid == 0 && now() >= restart_at[i]) {
				gateway_spawn(g);
			} else if (g->pid != 0 && gateway_wait_end(g, 0)) {
				ends[i]++;
				restart_at[i] = now() + RESTART_DELAY_S;
			}
		}
		sleep_s(0.02);
	}
}

int
main(int argc, char **argv)
{
	pthread_t threads[CALLERS];
	unsigned callers[CALLERS];
	unsigned ends[GATEWAYS] = {0};
	unsigned machines = 0;
	pthread_t reader;

	case_start(argc, argv);
	store_start();
	put_config(7, NULL);
	for (unsigned i = 0; i < SERVERS; i++) {
		snprintf(servers[i].ip, sizeof(servers[i].ip), "127.0.0.%u",
		    101 + i);
		servers[i].plan = plan;
		server_start(&servers[i]);
	}
	gateways_start(GATEWAYS);
	gateways_wait_ready(15);
	sleep_s(3);
	for (unsigned i = 0; i < ITEMS; i++) {
		items[i] = (item_t){.headers = "", .tokens = 498};
		snprintf(items[i].id, sizeof(items[i].id), "%08x14da6f38",
		    0x20000000 + i * 40503);
	}
	job_submit(JOB, items, ITEMS);
	for (unsigned i = 0; i < CALLERS; i++) {
		callers[i] = i;
		pthread_create(&threads[i], NULL, call, &callers[i]);
	}
	watch(CALM_S, ends);
	record("job %s is read: %d results", JOB, read_job(0));

	phase = 1;
	put_config(9, trouble() ? LONG_NAME : SHORT_NAME);
	watch(FINISH_S, ends);
	pthread_create(&reader, NULL, read_again, NULL);
	watch(READ_S, ends);
	over = true;
	pthread_join(reader, NULL);
	for (unsigned i = 0; i < CALLERS; i++)
		pthread_join(threads[i], NULL);

	for (unsigned i = 0; i < 2; i++)
		record("requests %s the config: %u whole, %u cut off, %u "
		       "without an answer",
		    i == 0 ? "before" : "after", tallies[i].whole,
		    tallies[i].cut, tallies[i].unanswered);
	for (unsigned i = 0; i < GATEWAYS; i++) {
		record("gateway %s ended by itself %u times", gateways[i].name,
		    ends[i]);
		machines += ends[i] >= ENDS_BROKEN;
	}
	record("job %s was read %u times at the end, with %u answers", JOB,
	    reads, reads_answered);
	if (reads == 0)
		cannot_run("the job was not read");
	finish(reads_answered == 0 || machines >= MACHINES_BROKEN);
}
