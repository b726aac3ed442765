/* An item that failed once and whose failure a server sends once more, late. */
#include <stdlib.h>
#include <string.h>

#include "lib.h"

#define SERVERS	     2
#define MAX_ATTEMPTS 2
#define ROUNDS	     30
#define COPIES_SHARE 0.03 /* of a server's answers, at most */
/* Sound streams before each job, so that few answers come twice. */
#define STREAMS	 70
#define SETTLE_S 1.0

typedef struct job_state_t {
	char job[32];
	char item[32];
	unsigned runs;
	unsigned failures; /* own answers of 500, without second copies */
	unsigned whole;
} job_state_t;

static server_t servers[SERVERS];
static job_state_t jobs[ROUNDS];
/* Of the first server, the only one that sends second copies. */
static unsigned answers;
static unsigned copies;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static job_state_t *
job_of_item(const char *item)
{
	for (size_t i = 0; i < ROUNDS; i++)
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
	    .events = 10,
	    .interval_s = 0.002,
	    .event_bytes = 70};
	pthread_mutex_lock(&lock);
	answers += s == &servers[0];
	if (job != NULL && job->runs++ == 0) {
		out->status = 500;
		out->extra = trouble() && s == &servers[0] &&
			     copies + 1 <= answers * COPIES_SHARE;
		job->failures++;
		copies += out->extra;
	}
	pthread_mutex_unlock(&lock);
	if (job != NULL)
		record("server %s runs item %s and answers %d%s", s->id, id,
		    out->status, out->extra ? ", later once more" : "");
}

static void
ended(server_t *s, const message_t *m, bool whole)
{
	const char *id = message_header(m, "X-Daisypier-Request-Id");
	job_state_t *job = job_of_item(id);

	if (job == NULL)
		return;
	pthread_mutex_lock(&lock);
	job->whole += whole && job->runs > 1;
	pthread_mutex_unlock(&lock);
	record("server %s has ended item %s, whole=%d", s->id, id, whole);
}

static void
send_stream(unsigned number)
{
	bytes_t text = {0};
	message_t answer;

	bytes_printf(&text,
	    "POST /lohu930/2f HTTP/1.1\r\nHost: " HOST_NAME
	    "\r\nX-Daisypier-Request-Id: 9c41d07b%08x\r\n"
	    "X-Daisypier-Model: m\r\nX-Daisypier-Token-Usage: 450,80\r\n"
	    "X-Daisypier-Prompt-Prefix: 5c1e07a2:100,91bd3f06:100,%x:250\r\n"
	    "X-Daisypier-Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\n{}",
	    number, 0x40000000 + number);
	http_call(
	    gateways[number % gateway_count].ip, front_port, &text, 5, &answer);
	if (answer.status != 200 || !answer.complete)
		record("stream %u: status %d, complete=%d", number,
		    answer.status, answer.complete);
	message_free(&answer);
	bytes_free(&text);
}

int
main(int argc, char **argv)
{
	unsigned dead = 0;
	unsigned sent = 0;

	case_start(argc, argv);
	for (unsigned i = 0; i < ROUNDS; i++) {
		snprintf(jobs[i].job, sizeof(jobs[i].job), "%08x52d6a3f8",
		    0x10000000 + i * 40503);
		snprintf(jobs[i].item, sizeof(jobs[i].item), "%08x14da6f38",
		    0x20000000 + i * 40503);
	}
	store_start();
	config_put(MAX_ATTEMPTS);
	for (unsigned i = 0; i < SERVERS; i++) {
		snprintf(servers[i].ip, sizeof(servers[i].ip), "127.0.0.%u",
		    101 + i);
		servers[i].plan = plan;
		servers[i].ended = ended;
		server_start(&servers[i]);
	}
	gateways_start(3);
	gateways_wait_ready(15);
	sleep_s(3);

	for (unsigned i = 0; i < ROUNDS; i++) {
		item_t item = {.headers = "", .tokens = 410};

		for (unsigned k = 0; k < STREAMS; k++)
			send_stream(sent++);
		memcpy(item.id, jobs[i].item, sizeof(item.id));
		job_submit(jobs[i].job, &item, 1);
		sleep_s(SETTLE_S);
	}
	sleep_s(3);
	record("%u answers of server %s, %u of them came once more", answers,
	    servers[0].id, copies);
	for (unsigned i = 0; i < ROUNDS; i++) {
		char state = '-';
		bool early;

		for (unsigned g = 0; g < gateway_count && state == '-'; g++) {
			message_t answer;

			if (job_read(jobs[i].job, g, &answer))
				state = job_item_state(&answer, jobs[i].item);
			message_free(&answer);
		}
		early = state == 'x' && jobs[i].failures < MAX_ATTEMPTS;
		record("item %s: state %c, %u runs, %u own answers of 500, %u "
		       "whole outputs%s",
		    jobs[i].item, state, jobs[i].runs, jobs[i].failures,
		    jobs[i].whole, early ? ", GIVEN UP TOO EARLY" : "");
		dead += early;
	}
	record("%u of %d items were given up too early", dead, ROUNDS);
	finish(dead > 0);
}
