/* Jobs of one service beside those of another that has lost its only server. */
#include <stdlib.h>
#include <string.h>

#include "lib.h"

#define FINISH_S	18.0
#define CALM_S		5.0
#define FINISHED_CALM_S 3.0
#define SERVERS		6 /* of service "m"; service "n" has one */
#define SHORT_JOBS	96
#define OTHER_JOB	"7c41e09b52d6a3f8"
#define OTHER_ITEMS	20
#define EVENT_S		0.0202
/* After the loss, so that the lost server's entry has expired. */
#define ENTRY_EXPIRED_S 5.0

typedef struct job_state_t {
	char job[32];
	char item[32];
	double last_run_at; /* a server had it */
	bool running;
	bool whole;
} job_state_t;

static server_t servers[SERVERS];
static server_t only_server = {.service = "n"};
static job_state_t jobs[SHORT_JOBS];
static double last_finish;
static unsigned other_runs;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static job_state_t *
job_of_item(const char *item)
{
	for (size_t i = 0; i < SHORT_JOBS; i++)
		if (strcmp(jobs[i].item, item) == 0)
			return (&jobs[i]);
	return (NULL);
}

static void
plan(server_t *s, const message_t *m, plan_t *out)
{
	const char *id = message_header(m, "X-Daisypier-Request-Id");
	job_state_t *job = job_of_item(id);

	*out = (plan_t){.status = 200,
	    .events = 20,
	    .interval_s = EVENT_S,
	    .event_bytes = 70};
	record("server %s runs item %s", s->id, id);
	pthread_mutex_lock(&lock);
	other_runs += job == NULL;
	if (job != NULL) {
		job->running = true;
		job->last_run_at = now();
	}
	pthread_mutex_unlock(&lock);
}

static void
ended(server_t *s, const message_t *m, bool whole)
{
	const char *id = message_header(m, "X-Daisypier-Request-Id");
	job_state_t *job = job_of_item(id);

	record("server %s has ended item %s, whole=%d", s->id, id, whole);
	pthread_mutex_lock(&lock);
	if (whole)
		last_finish = now();
	if (job != NULL) {
		job->running = false;
		job->last_run_at = now();
		job->whole |= whole;
	}
	pthread_mutex_unlock(&lock);
}

static void
put_config(void)
{
	bytes_t text = {0};

	bytes_printf(&text, "{\"version\":7,\"routes\":[");
	for (unsigned i = 0; i < 2; i++)
		bytes_printf(&text,
		    "%s{\"name\":\"r-%u\",\"host\":\"" HOST_NAME
		    "\",\"path-prefix\":\"%s\",\"type\":\"batch\","
		    "\"timeout-ms\":15000,\"target-latency-ms\":500,"
		    "\"priority\":2,\"service\":\"%s\",\"max-attempts\":3,"
		    "\"sticky\":true,\"resumable\":true,\"gap-aim-ms\":500,"
		    "\"completion-window-ms\":18000,\"retention-s\":60}",
		    i > 0 ? "," : "", i, i == 0 ? "/pule252/" : "/tova81/",
		    i == 0 ? "m" : "n");
	bytes_printf(&text, "],\"services\":[");
	for (unsigned i = 0; i < 2; i++)
		bytes_printf(&text,
		    "%s{\"name\":\"%s\",\"health-path\":\"/health\","
		    "\"max-connections\":250,\"protocol\":\"h1\","
		    "\"tls\":false,\"engine\":{\"slots\":8,"
		    "\"kv-capacity\":134354,\"models\":[{\"name\":\"m\"}]}}",
		    i > 0 ? "," : "", i == 0 ? "m" : "n");
	bytes_printf(&text,
	    "],\"limits\":{\"max-header-bytes\":16384,"
	    "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
	    "\"idle-timeout-ms\":15000}}");
	store_put("keyed.op", 0, "config", text.data);
	bytes_free(&text);
}

static void
submit_other(void)
{
	item_t items[OTHER_ITEMS];

	for (unsigned i = 0; i < OTHER_ITEMS; i++) {
		items[i] = (item_t){.headers = "", .tokens = 410};
		snprintf(items[i].id, sizeof(items[i].id), "%08x19ce7a40",
		    0x30000000 + i * 40503);
	}
	job_submit_to("/tova81/", OTHER_JOB, items, OTHER_ITEMS);
}

static void
submit_short(size_t i)
{
	item_t item = {.headers = "", .tokens = 410};

	memcpy(item.id, jobs[i].item, sizeof(item.id));
	job_submit(jobs[i].job, &item, 1);
}

/* Returns the item's state at the first gateway that lists it. */
static char
listed(const job_state_t *job)
{
	char state = '-';

	for (unsigned g = 0; g < gateway_count && state == '-'; g++) {
		message_t answer;

		if (job_read(job->job, g, &answer))
			state = job_item_state(&answer, job->item);
		message_free(&answer);
	}
	return (state);
}

int
main(int argc, char **argv)
{
	unsigned lost = 0;

	case_start(argc, argv);
	for (unsigned i = 0; i < SHORT_JOBS; i++) {
		snprintf(jobs[i].job, sizeof(jobs[i].job), "%08x52d6a3f8",
		    0x10000000 + (i + 1) * 40503);
		snprintf(jobs[i].item, sizeof(jobs[i].item), "%08x14da6f38",
		    0x20000000 + (i + 1) * 40503);
	}
	store_start();
	put_config();
	for (unsigned i = 0; i <= SERVERS; i++) {
		server_t *s = i < SERVERS ? &servers[i] : &only_server;

		snprintf(s->ip, sizeof(s->ip), "127.0.0.%u", 101 + i);
		s->plan = plan;
		s->ended = ended;
		server_start(s);
	}
	gateways_start(3);
	gateways_wait_ready(15);
	sleep_s(3);

	if (trouble()) {
		record("server %s of service n is lost", only_server.id);
		server_lose(&only_server);
	}
	sleep_s(ENTRY_EXPIRED_S);
	submit_other();
	sleep_s(0.5);
	for (size_t i = 0; i < SHORT_JOBS; i++) {
		submit_short(i);
		sleep_s(0.02);
	}
	record("traffic has ended");
	sleep_s(FINISH_S);

	record("last run of any item ended %.1f s ago; items of service n ran "
	       "%u times",
	    now() - last_finish, other_runs);
	for (size_t i = 0; i < SHORT_JOBS; i++) {
		char state = listed(&jobs[i]);
		bool calm;

		pthread_mutex_lock(&lock);
		calm = !jobs[i].running &&
		       (jobs[i].last_run_at <= 0 ||
			   now() - jobs[i].last_run_at > CALM_S) &&
		       now() - last_finish > FINISHED_CALM_S;
		if (state != 'd')
			record("job %s item %s of service m: state %c, %s, "
			       "excused=%d",
			    jobs[i].job, jobs[i].item, state,
			    jobs[i].last_run_at > 0 ? "a server had it"
						    : "no server had it",
			    !calm);
		pthread_mutex_unlock(&lock);
		lost += state == '-' && calm;
	}
	record("%u of %d items of service m are not listed", lost, SHORT_JOBS);
	finish(lost > 0);
}
