/* Gateway hosts before endpoints whose bytes are no answer. */
#include "suite.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "harness_gateways.h"
#include "harness_hostile.h"

#define HOSTILE_SLOTS 64
#define HEARTBEAT_S   0.3
#define CALLERS	      12
#define PATIENCE_S    2.5
/* A caller hears of a failure at the latest this long after its time. */
#define ANSWER_SLACK_S 0.7
/* Answers without end at one moment, and the memory they may take. */
#define ENDLESS_CALLERS 64
#define MAX_GROWTH_KB	(64 * 1024)

static gateways_t fleet;

typedef struct caller_t {
	const char *prefix;
	char id[32];
	double seconds;
	gateways_stream_t result;
} caller_t;

static void *
call_once(void *ctx)
{
	caller_t *caller = ctx;
	double began = clock_monotonic();

	caller->result = gateways_stream(
	    &fleet, 0, caller->prefix, caller->id, 8, PATIENCE_S);
	caller->seconds = clock_monotonic() - began;
	return (NULL);
}

/* Calls several times at once and waits for all answers. */
static void
call_together(caller_t *callers, unsigned count, const char *name)
{
	pthread_t threads[ENDLESS_CALLERS];

	for (unsigned i = 0; i < count; i++) {
		callers[i].prefix =
		    i % 2 == 0 ? GATEWAYS_ONCE : GATEWAYS_RESUME;
		snprintf(
		    callers[i].id, sizeof(callers[i].id), "%s-%u", name, i);
		pthread_create(&threads[i], NULL, call_once, &callers[i]);
	}
	for (unsigned i = 0; i < count; i++)
		pthread_join(threads[i], NULL);
}

/* The entry of a server in trouble lapses unless it is written again. */
typedef struct heartbeat_t {
	char id[16];
	char address[64];
	hostile_t *server;
	volatile bool stop;
	pthread_t thread;
} heartbeat_t;

static void *
write_entries(void *ctx)
{
	heartbeat_t *heartbeat = ctx;

	while (!heartbeat->stop) {
		gateways_register(
		    &fleet, heartbeat->id, heartbeat->address, HOSTILE_SLOTS);
		harness_sleep(HEARTBEAT_S);
	}
	return (NULL);
}

/* Puts a server in trouble beside the engine and returns it. */
static hostile_t *
hostile_join(
    heartbeat_t *heartbeat, unsigned number, hostile_mode_t mode, bool slow)
{
	char ip[32];

	*heartbeat = (heartbeat_t){0};
	snprintf(ip, sizeof(ip), "127.0.0.%u", 141 + number);
	snprintf(heartbeat->id, sizeof(heartbeat->id), "h%u", number);
	snprintf(heartbeat->address, sizeof(heartbeat->address), "%s:%u", ip,
	    fleet.engine_port);
	heartbeat->server = hostile_start(ip, fleet.engine_port, mode, slow);
	CU_ASSERT_FATAL(heartbeat->server != NULL);
	pthread_create(&heartbeat->thread, NULL, write_entries, heartbeat);
	harness_sleep(1.2);
	return (heartbeat->server);
}

/* Removes the entry; the server still answers. */
static void
hostile_unregister(heartbeat_t *heartbeat)
{
	heartbeat->stop = true;
	pthread_join(heartbeat->thread, NULL);
	gateways_unregister(&fleet, heartbeat->id);
}

static void
hostile_leave(heartbeat_t *heartbeat)
{
	hostile_unregister(heartbeat);
	hostile_end(heartbeat->server);
	harness_sleep(0.7);
}

/* What a caller may see: its whole answer, or a failure that promises nothing.
 */
static void
check_caller(const caller_t *caller)
{
	const gateways_stream_t *s = &caller->result;

	CU_ASSERT(!(s->whole && s->status == 200) || s->right);
	CU_ASSERT(!(s->whole && (s->status == 503 || s->status == 429)));
	CU_ASSERT(caller->seconds < PATIENCE_S + ANSWER_SLACK_S);
	/* What may go on elsewhere does, and is served in its time. */
	if (strcmp(caller->prefix, GATEWAYS_RESUME) == 0)
		CU_ASSERT(s->right);
}

static void
check_mode(unsigned number, hostile_mode_t mode, bool slow)
{
	caller_t callers[CALLERS] = {{0}};
	heartbeat_t heartbeat;
	hostile_t *hostile = hostile_join(&heartbeat, number, mode, slow);
	char name[32];

	snprintf(name, sizeof(name), "m%u", number);
	call_together(callers, CALLERS, name);
	CU_ASSERT(hostile_answers(hostile) > 0);
	for (unsigned i = 0; i < CALLERS; i++)
		check_caller(&callers[i]);
	hostile_leave(&heartbeat);
}

/*
 * Guards against callers that wait for ever, get rubbish as an answer or are
 * told that nothing ran, when an endpoint sends bytes without end.
 */
static void
test_endless_answers(void)
{
	gateways_start(&fleet, &(gateways_params_t){.hosts = 1, .engines = 1});
	for (unsigned mode = 0; mode < HOSTILE_ENDLESS; mode++) {
		check_mode(2 * mode, (hostile_mode_t)mode, false);
		check_mode(2 * mode + 1, (hostile_mode_t)mode, true);
	}
	gateways_end(&fleet);
}

/* Returns the most memory that a process has had, in kB. */
static long
peak_kb(const harness_process_t *process)
{
	char path[64];
	char line[256];
	long peak = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", harness_pid(process));
	file = fopen(path, "r");
	if (file == NULL)
		return (0);
	while (fgets(line, sizeof(line), file) != NULL)
		if (strncmp(line, "VmHWM:", 6) == 0)
			peak = strtol(line + 6, NULL, 10);
	fclose(file);
	return (peak);
}

/* Sends a request to host 0 whose answer is never read. */
static int
call_without_reading(unsigned number)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons(fleet.callers_port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	buf_t request = {0};

	inet_pton(AF_INET, "127.0.0.21", &address.sin_addr);
	CU_ASSERT_FATAL(
	    connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0);
	buf_printf(&request,
	    "POST /once/u%u HTTP/1.1\r\n" GATEWAYS_HOST_HEADER "\r\n"
	    "X-Daisypier-Request-Id: u%u\r\n"
	    "X-Daisypier-Token-Usage: 100,64\r\nContent-Length: 0\r\n\r\n",
	    number, number);
	CU_ASSERT(send(fd, request.data, request.len, MSG_NOSIGNAL) ==
		  (ssize_t)request.len);
	buf_free(&request);
	return (fd);
}

/*
 * Guards against a host that runs out of memory when many endless answers come
 * at once, for callers that read and for callers that do not.
 */
static void
test_endless_answers_bounded_in_memory(void)
{
	static const hostile_mode_t modes[] = {HOSTILE_HEADERS, HOSTILE_EVENT,
	    HOSTILE_FAILURE_BODY, HOSTILE_ENDLESS};

	/* Freed memory that the sanitizer keeps is not in use. */
	setenv("ASAN_OPTIONS", "quarantine_size_mb=1", 1);
	for (unsigned i = 0; i < sizeof(modes) / sizeof(modes[0]); i++) {
		caller_t callers[ENDLESS_CALLERS] = {{0}};
		int unread[ENDLESS_CALLERS];
		heartbeat_t heartbeat;
		hostile_t *hostile;
		long before;

		gateways_start(
		    &fleet, &(gateways_params_t){.hosts = 1, .engines = 1});
		hostile = hostile_join(&heartbeat, i, modes[i], false);
		before = peak_kb(fleet.hosts[0]);
		if (modes[i] == HOSTILE_ENDLESS) {
			for (unsigned k = 0; k < ENDLESS_CALLERS; k++)
				unread[k] = call_without_reading(k);
			harness_sleep(PATIENCE_S);
			for (unsigned k = 0; k < ENDLESS_CALLERS; k++)
				close(unread[k]);
		} else {
			call_together(callers, ENDLESS_CALLERS, "many");
		}
		CU_ASSERT(hostile_answers(hostile) > 0);
		CU_ASSERT(before > 0);
		CU_ASSERT(peak_kb(fleet.hosts[0]) - before < MAX_GROWTH_KB);
		hostile_leave(&heartbeat);
		gateways_end(&fleet);
	}
	unsetenv("ASAN_OPTIONS");
}

/*
 * Guards against an item that stays for ever at an endpoint that sends bytes
 * now and then, and against a cut output that is taken for the whole one.
 */
static void
test_items_leave_endless_answers(void)
{
	static const hostile_mode_t modes[] = {
	    HOSTILE_COMMENTS, HOSTILE_HEADERS, HOSTILE_ENDLESS};

	for (unsigned i = 0; i < sizeof(modes) / sizeof(modes[0]); i++) {
		heartbeat_t heartbeat;
		hostile_t *hostile;
		char job[16];

		gateways_start(
		    &fleet, &(gateways_params_t){.hosts = 1, .engines = 1});
		hostile = hostile_join(
		    &heartbeat, i, modes[i], modes[i] != HOSTILE_ENDLESS);
		snprintf(job, sizeof(job), "job-e%u", i);
		CU_ASSERT(gateways_submit(&fleet, 0, job, 8, 12) == 202);
		CU_ASSERT(gateways_wait_job(&fleet, job, 8, 12, 40));
		CU_ASSERT(hostile_answers(hostile) > 0);
		hostile_leave(&heartbeat);
		gateways_end(&fleet);
	}
}

/*
 * Guards against an answer that reaches the next caller: an endpoint sends a
 * copy of an answer late, on a connection that is in use again or idle.
 */
static void
test_second_copies(void)
{
	static const hostile_mode_t modes[] = {
	    HOSTILE_SECOND_COPY, HOSTILE_LATE_COPY};

	for (unsigned i = 0; i < sizeof(modes) / sizeof(modes[0]); i++) {
		heartbeat_t heartbeat;
		hostile_t *hostile;
		unsigned right = 0;

		gateways_start(
		    &fleet, &(gateways_params_t){.hosts = 1, .engines = 1});
		hostile = hostile_join(&heartbeat, i, modes[i], false);
		for (unsigned k = 0; k < 40; k++) {
			caller_t caller = {.prefix = k % 2 == 0
							 ? GATEWAYS_ONCE
							 : GATEWAYS_RESUME};

			snprintf(caller.id, sizeof(caller.id), "c%u-%u", i, k);
			call_once(&caller);
			check_caller(&caller);
			right += caller.result.right;
			harness_sleep(k % 4 == 0 ? 2 * 0.02 : 0);
		}
		CU_ASSERT(right >= 20);
		CU_ASSERT(hostile_copies(hostile) > 0);
		hostile_leave(&heartbeat);
		gateways_end(&fleet);
	}
}

/*
 * Guards against a sound stream that is cut because each of its pauses is long:
 * the route permits two endpoints, and both are slow.
 */
static void
test_slow_streams_are_not_cut(void)
{
	gateways_stream_t s;

	gateways_start(&fleet, &(gateways_params_t){.event_ms = 1300});
	gateways_configure(&fleet,
	    ",{\"name\":\"slow\",\"host\":\"" GATEWAYS_HOST
	    "\",\"path-prefix\":\"/slow/\",\"type\":\"stream\",\"service\":"
	    "\"m\",\"max-attempts\":2,\"resumable\":true,\"gap-aim-ms\":500,"
	    "\"timeout-ms\":20000}");
	harness_sleep(2);
	s = gateways_stream(&fleet, 0, "/slow/", "slow-1", 6, 15);
	CU_ASSERT(s.right);
	gateways_end(&fleet);
}

/*
 * Guards against an endpoint that has left and is in use again after its hosts
 * restarted, also while the store has lost its history. The
 * endpoint still answers, and would be found by a request.
 */
static void
test_left_endpoint_stays_out(void)
{
	static const char *const faults[] = {"", "forget=1"};

	for (unsigned i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		heartbeat_t heartbeat;
		hostile_t *left;
		caller_t callers[CALLERS] = {{0}};
		unsigned before;

		gateways_start(
		    &fleet, &(gateways_params_t){.hosts = 2, .engines = 1});
		left = hostile_join(&heartbeat, i, HOSTILE_SECOND_COPY, false);
		call_together(callers, CALLERS, "before");
		before = hostile_answers(left);
		CU_ASSERT(before > 0);
		hostile_unregister(&heartbeat);
		harness_sleep(1);
		gateways_store_faults(&fleet, faults[i]);
		for (unsigned k = 0; k < 2; k++) {
			harness_kill(fleet.hosts[k]);
			gateways_start_host(&fleet, k);
		}
		for (unsigned k = 0; k < 2; k++)
			CU_ASSERT(gateways_wait_ready(&fleet, k));
		call_together(callers, CALLERS, "after");
		CU_ASSERT(hostile_answers(left) == before);
		for (unsigned k = 0; k < CALLERS; k++)
			CU_ASSERT(callers[k].result.right);
		hostile_end(left);
		gateways_end(&fleet);
	}
}

static const suite_test_t tests[] = {
    {"a left endpoint stays out", test_left_endpoint_stays_out},
    {"endless answers", test_endless_answers},
    {"endless answers are bounded in memory",
	test_endless_answers_bounded_in_memory},
    {"items leave endless answers", test_items_leave_endless_answers},
    {"second copies of answers", test_second_copies},
    {"slow streams are not cut", test_slow_streams_are_not_cut},
};

SUITE_MAIN("fail_hostile", tests)
