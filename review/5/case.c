/* All gateways are killed after they have learned which part crashes servers.
 */
#include <stdlib.h>
#include <string.h>

#include "lib.h"

#define SERVERS		6
#define GATEWAYS	3
#define CONTACT_S	3.0
#define CRASHES_LEARNED 5
#define ALLOWED		3 /* requests that may still reach servers */
#define TAINTED		30
#define TAINTED_GAP_S	2.0
#define WARM_S		4.0
/* Sound requests; each lasts for a tenth of a second. */
#define SOUND_EVENTS  8
#define SOUND_EVENT_S 0.0125
#define SOUND_GAP_S   0.03
#define SOUND_THREADS 12
#define TAINTED_PART  "dead0bad"

typedef struct sound_t {
	unsigned sent;
	unsigned whole;
	unsigned cut;
} sound_t;

static server_t servers[SERVERS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static unsigned crashes;
static double fifth_crash_at;
static unsigned reached; /* by requests that count */
static sound_t sound;
static volatile bool ended_sound;

static void
plan(server_t *s, const message_t *m, plan_t *out)
{
	const char *id = message_header(m, "X-Daisypier-Request-Id");
	const char *parts = message_header(m, "X-Daisypier-Prompt-Prefix");
	bool counts;

	*out = (plan_t){.status = 200,
	    .events = SOUND_EVENTS,
	    .interval_s = SOUND_EVENT_S,
	    .event_bytes = 70};
	if (parts == NULL || strstr(parts, TAINTED_PART) == NULL)
		return;
	out->crash = trouble();
	if (!out->crash)
		return;
	pthread_mutex_lock(&lock);
	counts = fifth_crash_at > 0 && now() > fifth_crash_at + CONTACT_S;
	reached += counts;
	if (++crashes == CRASHES_LEARNED)
		fifth_crash_at = now();
	record("tainted request %s reaches server %s, crash %u%s", id, s->id,
	    crashes, counts ? ", COUNTS" : "");
	pthread_mutex_unlock(&lock);
}

static void
send_request(
    unsigned gateway, const char *id, const char *parts, message_t *answer)
{
	bytes_t text = {0};

	bytes_printf(&text,
	    "POST /lohu930/2f HTTP/1.1\r\nHost: " HOST_NAME
	    "\r\nX-Daisypier-Request-Id: %s\r\nX-Daisypier-Model: m\r\n"
	    "X-Daisypier-Token-Usage: 450,248\r\n"
	    "X-Daisypier-Prompt-Prefix: %s\r\n"
	    "X-Daisypier-Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\n{}",
	    id, parts);
	http_call(gateways[gateway].ip, front_port, &text, 5.5, answer);
	bytes_free(&text);
}

static void *
send_sound(void *arg)
{
	unsigned thread = *(unsigned *)arg;

	for (unsigned i = 0; !ended_sound; i++) {
		char id[32];
		char parts[96];
		message_t answer;

		snprintf(id, sizeof(id), "5%07x%08x", thread, i);
		snprintf(parts, sizeof(parts), "5c1e07a2:100,%x:100,%x%07x:250",
		    0x91bd3f00 + i % 20, 8 + thread, i);
		send_request(i % GATEWAYS, id, parts, &answer);
		pthread_mutex_lock(&lock);
		sound.sent++;
		sound.whole += answer.status == 200 && answer.complete;
		sound.cut += answer.status == 200 && !answer.complete;
		pthread_mutex_unlock(&lock);
		message_free(&answer);
		sleep_s(SOUND_GAP_S);
	}
	return (NULL);
}

static void *
send_tainted(void *arg)
{
	unsigned number = (unsigned)(size_t)arg;
	char id[32];
	char parts[96];
	message_t answer;

	snprintf(id, sizeof(id), "7a17ed00%08x", number);
	snprintf(parts, sizeof(parts),
	    "5c1e07a2:100," TAINTED_PART ":100,e%07x:250", number);
	send_request(number % GATEWAYS, id, parts, &answer);
	record("tainted request %s: status %d", id, answer.status);
	message_free(&answer);
	return (NULL);
}

static void
start_tainted(unsigned number)
{
	pthread_t thread;

	pthread_create(&thread, NULL, send_tainted, (void *)(size_t)number);
	pthread_detach(thread);
}

int
main(int argc, char **argv)
{
	unsigned ids[SOUND_THREADS];
	pthread_t threads[SOUND_THREADS];
	double begun;

	case_start(argc, argv);
	store_start();
	config_put(3);
	for (unsigned i = 0; i < SERVERS; i++) {
		snprintf(servers[i].ip, sizeof(servers[i].ip), "127.0.0.%u",
		    101 + i);
		servers[i].plan = plan;
		server_start(&servers[i]);
	}
	gateways_start(GATEWAYS);
	gateways_wait_ready(15);
	for (unsigned i = 0; i < SOUND_THREADS; i++) {
		ids[i] = i;
		pthread_create(&threads[i], NULL, send_sound, &ids[i]);
	}
	sleep_s(WARM_S);

	begun = now();
	for (unsigned i = 0; i < TAINTED; i++) {
		start_tainted(i);
		sleep_s(begun + TAINTED_GAP_S * (i + 1) - now());
	}
	sleep_s(2);
	ended_sound = true;
	for (unsigned i = 0; i < SOUND_THREADS; i++)
		pthread_join(threads[i], NULL);
	record("sound requests: %u sent, %u whole, %u cut off in the answer",
	    sound.sent, sound.whole, sound.cut);
	record("%u tainted requests reached servers from machines in touch, "
	       "later than %.0f s after the fifth crash; %d are allowed",
	    reached, CONTACT_S, ALLOWED);
	finish(reached > ALLOWED);
}
