/* Process tests: gateway hosts with endpoints that send invalid responses. */
#include "suite.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "harness_hostile_fleet.h"

#define CALLERS 12
/* A caller must get a failure at most this long after its timeout. */
#define RESPONSE_SLACK_S 0.7
/* Concurrent endless responses, and the memory that a host may use for them. */
#define ENDLESS_CALLERS HOSTILE_MAX_CALLERS
#define MAX_GROWTH_KB	(64 * 1024)
/* Memory for all responses that are kept until they are whole. */
#define MAX_KEPT_KB (64 * 1024)
/* More than the headers and the 64 events that a request may have. */
#define MAX_BROKEN_OFF_BYTES (64U << 10)

/*
 * A caller must get its complete response or a failure, but neither 503 nor
 * 429: these state that the request did not run.
 */
static void
check_caller(const hostile_caller_t *caller)
{
	const gateways_stream_t *s = &caller->result;

	CU_ASSERT(!(s->whole && s->status == 200) || s->right);
	CU_ASSERT(!(s->whole && (s->status == 503 || s->status == 429)));
	CU_ASSERT(
	    caller->seconds < HOSTILE_CALLER_TIMEOUT_S + RESPONSE_SLACK_S);
	/* Resumable streams must be completed by another endpoint in time. */
	if (strcmp(caller->prefix, GATEWAYS_RESUME) == 0)
		CU_ASSERT(s->right);
}

static void
check_mode(unsigned number, hostile_mode_t mode, bool slow)
{
	hostile_caller_t callers[CALLERS] = {{0}};
	hostile_entry_t entry;
	hostile_t *hostile = hostile_register(&entry, number, mode, slow);
	char name[32];

	snprintf(name, sizeof(name), "m%u", number);
	hostile_call_all(callers, CALLERS, name);
	CU_ASSERT(hostile_answers(hostile) > 0);
	for (unsigned i = 0; i < CALLERS; i++)
		check_caller(&callers[i]);
	hostile_stop(&entry);
}

/*
 * When an endpoint sends bytes without end, callers must not wait forever, get
 * an invalid response or be told that their request did not run.
 */
static void
test_endless_answers(void)
{
	hostile_start_fleet(1);
	for (unsigned mode = 0; mode < HOSTILE_ENDLESS; mode++) {
		check_mode(2 * mode, (hostile_mode_t)mode, false);
		check_mode(2 * mode + 1, (hostile_mode_t)mode, true);
	}
	gateways_end(&hostile_fleet);
}

/* Returns the peak resident memory of a process in kB, or 0 if unknown. */
static long
peak_memory_kb(const harness_process_t *process)
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

/* Sends a request to host 0 and returns the socket without reading from it. */
static int
call_without_reading(unsigned number)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
	    .sin_port = htons(hostile_fleet.callers_port)};
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

/* Reads from a socket until the peer closes it; returns the bytes read. */
static size_t
read_to_end(int fd)
{
	struct timeval timeout = {.tv_sec = (time_t)HOSTILE_CALLER_TIMEOUT_S};
	char buffer[4096];
	size_t total = 0;
	ssize_t n;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	while (total <= MAX_BROKEN_OFF_BYTES &&
	       (n = recv(fd, buffer, sizeof(buffer), 0)) > 0)
		total += (size_t)n;
	return (total);
}

/*
 * A stream with more events than its request may have tokens must be broken
 * off, rather than passed on until the caller leaves.
 */
static void
test_endless_events_are_broken_off(void)
{
	hostile_entry_t entry;
	hostile_t *hostile;

	hostile_start_fleet(1);
	hostile = hostile_register(&entry, 0, HOSTILE_ENDLESS, false);
	for (unsigned i = 0; i < CALLERS; i++) {
		int fd = call_without_reading(i);

		CU_ASSERT(read_to_end(fd) <= MAX_BROKEN_OFF_BYTES);
		close(fd);
	}
	CU_ASSERT(hostile_answers(hostile) > 0);
	hostile_stop(&entry);
	gateways_end(&hostile_fleet);
}

/*
 * Many concurrent endless responses must not exhaust the memory of a host,
 * whether or not the callers read them.
 */
static void
test_endless_answers_bounded_in_memory(void)
{
	static const hostile_mode_t modes[] = {HOSTILE_HEADERS, HOSTILE_EVENT,
	    HOSTILE_FAILURE_BODY, HOSTILE_ENDLESS};

	/* Freed memory in the sanitizer's quarantine would count as used. */
	setenv("ASAN_OPTIONS", "quarantine_size_mb=1", 1);
	for (unsigned i = 0; i < sizeof(modes) / sizeof(modes[0]); i++) {
		hostile_caller_t callers[ENDLESS_CALLERS] = {{0}};
		int unread[ENDLESS_CALLERS];
		hostile_entry_t entry;
		hostile_t *hostile;
		long before;

		hostile_start_fleet(1);
		hostile = hostile_register(&entry, i, modes[i], false);
		before = peak_memory_kb(hostile_fleet.hosts[0]);
		if (modes[i] == HOSTILE_ENDLESS) {
			for (unsigned k = 0; k < ENDLESS_CALLERS; k++)
				unread[k] = call_without_reading(k);
			harness_sleep(HOSTILE_CALLER_TIMEOUT_S);
			for (unsigned k = 0; k < ENDLESS_CALLERS; k++)
				close(unread[k]);
		} else {
			hostile_call_all(callers, ENDLESS_CALLERS, "many");
		}
		CU_ASSERT(hostile_answers(hostile) > 0);
		CU_ASSERT(before > 0);
		CU_ASSERT(peak_memory_kb(hostile_fleet.hosts[0]) - before <
			  MAX_GROWTH_KB);
		hostile_stop(&entry);
		gateways_end(&hostile_fleet);
	}
	unsetenv("ASAN_OPTIONS");
}

/*
 * The same for responses that are kept until they are whole: those of a route
 * that is no stream. The bound is what all of them together may take, and what
 * is allowed for streams.
 */
static void
test_endless_bodies_bounded_in_memory(void)
{
	hostile_caller_t callers[ENDLESS_CALLERS] = {{0}};
	pthread_t threads[ENDLESS_CALLERS];
	hostile_entry_t entry;
	hostile_t *hostile;
	long before;

	setenv("ASAN_OPTIONS", "quarantine_size_mb=1", 1);
	hostile_start_fleet(1);
	gateways_configure(&hostile_fleet,
	    ",{\"name\":\"plain\",\"path-prefix\":\"/plain/\",\"host\":"
	    "\"" GATEWAYS_HOST "\",\"service\":\"m\",\"type\":\"safe\","
	    "\"timeout-ms\":5000,\"target-latency-ms\":300,\"priority\":0,"
	    "\"max-attempts\":1}");
	hostile = hostile_register(&entry, 0, HOSTILE_BODY, false);
	before = peak_memory_kb(hostile_fleet.hosts[0]);
	for (unsigned i = 0; i < ENDLESS_CALLERS; i++) {
		callers[i].prefix = "/plain/";
		snprintf(callers[i].id, sizeof(callers[i].id), "body-%u", i);
		pthread_create(&threads[i], NULL, hostile_call, &callers[i]);
	}
	for (unsigned i = 0; i < ENDLESS_CALLERS; i++)
		pthread_join(threads[i], NULL);
	printf("[grown by %ld kB] ",
	    peak_memory_kb(hostile_fleet.hosts[0]) - before);
	CU_ASSERT(hostile_answers(hostile) > 0);
	CU_ASSERT(before > 0);
	CU_ASSERT(peak_memory_kb(hostile_fleet.hosts[0]) - before <
		  MAX_KEPT_KB + MAX_GROWTH_KB);
	hostile_stop(&entry);
	gateways_end(&hostile_fleet);
	unsetenv("ASAN_OPTIONS");
}

/*
 * An item must leave an endpoint that sends bytes but never finishes, and a
 * truncated output must not be recorded as a complete one.
 */
static void
test_items_leave_endless_answers(void)
{
	static const hostile_mode_t modes[] = {
	    HOSTILE_COMMENTS, HOSTILE_HEADERS, HOSTILE_ENDLESS};

	for (unsigned i = 0; i < sizeof(modes) / sizeof(modes[0]); i++) {
		hostile_entry_t entry;
		hostile_t *hostile;
		char job[16];

		hostile_start_fleet(1);
		hostile = hostile_register(
		    &entry, i, modes[i], modes[i] != HOSTILE_ENDLESS);
		snprintf(job, sizeof(job), "job-e%u", i);
		CU_ASSERT(
		    gateways_submit(&hostile_fleet, 0, job, 8, 12) == 202);
		CU_ASSERT(gateways_wait_job(&hostile_fleet, job, 8, 12, 40));
		CU_ASSERT(hostile_answers(hostile) > 0);
		hostile_stop(&entry);
		gateways_end(&hostile_fleet);
	}
}

/*
 * A response must not reach the caller of another request when an endpoint
 * sends a second copy of it on a reused or idle connection.
 */
static void
test_second_copies(void)
{
	static const hostile_mode_t modes[] = {
	    HOSTILE_SECOND_COPY, HOSTILE_LATE_COPY};

	for (unsigned i = 0; i < sizeof(modes) / sizeof(modes[0]); i++) {
		hostile_entry_t entry;
		hostile_t *hostile;
		unsigned right = 0;

		hostile_start_fleet(1);
		hostile = hostile_register(&entry, i, modes[i], false);
		for (unsigned k = 0; k < 40; k++) {
			hostile_caller_t caller = {
			    .prefix =
				k % 2 == 0 ? GATEWAYS_ONCE : GATEWAYS_RESUME};

			snprintf(caller.id, sizeof(caller.id), "c%u-%u", i, k);
			hostile_call(&caller);
			check_caller(&caller);
			right += caller.result.right;
			harness_sleep(k % 4 == 0 ? 2 * 0.02 : 0);
		}
		CU_ASSERT(right >= 20);
		CU_ASSERT(hostile_copies(hostile) > 0);
		hostile_stop(&entry);
		gateways_end(&hostile_fleet);
	}
}

/*
 * A refusal that an endpoint sends once more on a kept connection must not be
 * taken for the response to the next request: the caller would be told that a
 * request did not run, or another endpoint would run it, too.
 */
static void
test_old_refusals(void)
{
	for (unsigned mode = HOSTILE_OLD_REFUSAL_WITHOUT_ID;
	     mode <= HOSTILE_OLD_REFUSAL_OF_RETRY; mode++) {
		hostile_entry_t entry;
		hostile_t *hostile;
		unsigned run = 0;

		hostile_start_fleet(1);
		hostile = hostile_register(&entry,
		    mode - HOSTILE_OLD_REFUSAL_WITHOUT_ID, (hostile_mode_t)mode,
		    false);
		/* Without another endpoint, a refused request comes again. */
		if (mode == HOSTILE_OLD_REFUSAL_OF_RETRY)
			harness_kill(hostile_fleet.engines[0]);
		gateways_configure(&hostile_fleet,
		    ",{\"name\":\"twice\",\"host\":\"" GATEWAYS_HOST
		    "\",\"path-prefix\":\"/twice/\",\"type\":\"stream\","
		    "\"service\":\"m\",\"max-attempts\":3,\"resumable\":"
		    "false,\"timeout-ms\":5000}");
		harness_sleep(2);
		for (unsigned i = 0; i < 40; i++) {
			hostile_caller_t caller = {.prefix = "/twice/"};
			const gateways_stream_t *s = &caller.result;
			bool ran;

			snprintf(
			    caller.id, sizeof(caller.id), "r%u-%u", mode, i);
			hostile_call(&caller);
			ran = hostile_has_run(hostile, caller.id);
			run += ran;
			CU_ASSERT(
			    !ran || (s->status != 503 && s->status != 429));
			if (mode != HOSTILE_OLD_REFUSAL_OF_RETRY)
				CU_ASSERT(!ran || gateways_runs(
						      &hostile_fleet, caller.id)
							  .runs == 0);
		}
		CU_ASSERT(run > 0);
		if (mode != HOSTILE_OLD_REFUSAL_OF_RETRY)
			CU_ASSERT(hostile_copies(hostile) > 0);
		hostile_stop(&entry);
		gateways_end(&hostile_fleet);
	}
}

/*
 * When a stream has begun and the next endpoint answers with an error, the
 * caller must not find the error's text in its stream, nor a stream that ends
 * as if it were complete.
 */
static void
test_errors_after_broken_streams(void)
{
	static const hostile_mode_t modes[] = {
	    HOSTILE_ERROR_500, HOSTILE_ERROR_404, HOSTILE_ERROR_TEXT};

	for (unsigned i = 0; i < sizeof(modes) / sizeof(modes[0]); i++) {
		hostile_entry_t first;
		hostile_entry_t second;
		hostile_t *breaks;
		hostile_t *fails;
		unsigned begun = 0;

		hostile_start_fleet(1);
		breaks = hostile_register(&first, 0, HOSTILE_BREAK, false);
		fails = hostile_register(&second, 1, modes[i], false);
		harness_kill(hostile_fleet.engines[0]);
		for (unsigned k = 0; k < 30; k++) {
			hostile_caller_t caller = {.prefix = GATEWAYS_RESUME};
			const gateways_stream_t *s = &caller.result;

			snprintf(caller.id, sizeof(caller.id), "e%u-%u", i, k);
			hostile_call(&caller);
			begun += s->has_events;
			CU_ASSERT(!s->has_events || s->begins_right);
			CU_ASSERT(!s->has_events || !s->whole);
			harness_sleep(0.1);
		}
		CU_ASSERT(hostile_answers(breaks) > 0);
		CU_ASSERT(hostile_answers(fails) > 0);
		CU_ASSERT(begun > 0);
		hostile_stop(&first);
		hostile_stop(&second);
		gateways_end(&hostile_fleet);
	}
}

/*
 * A response without a length ends with its connection. One that ends inside an
 * event or without any event was broken off, and so was one whose head stops;
 * the rest has to come from another endpoint.
 */
static void
test_responses_without_length(void)
{
	static const hostile_mode_t modes[] = {HOSTILE_TORN_END,
	    HOSTILE_EMPTY_END, HOSTILE_HEAD_WITHOUT_END, HOSTILE_TORN_HEAD};

	for (unsigned i = 0; i < sizeof(modes) / sizeof(modes[0]); i++) {
		hostile_entry_t entry;
		hostile_t *hostile;

		hostile_start_fleet(1);
		hostile = hostile_register(&entry, i, modes[i], false);
		for (unsigned k = 0; k < 20; k++) {
			hostile_caller_t caller = {
			    .prefix =
				k % 2 == 0 ? GATEWAYS_ONCE : GATEWAYS_RESUME};

			snprintf(caller.id, sizeof(caller.id), "n%u-%u", i, k);
			hostile_call(&caller);
			check_caller(&caller);
			CU_ASSERT(caller.result.status != 200 ||
				  caller.result.begins_right);
		}
		CU_ASSERT(hostile_answers(hostile) > 0);
		hostile_stop(&entry);
		gateways_end(&hostile_fleet);
	}
}

/*
 * A valid stream with long pauses must not be cut off when the route permits
 * two endpoints and both are slow.
 */
static void
test_slow_streams_are_not_cut(void)
{
	gateways_stream_t s;

	gateways_start(&hostile_fleet, &(gateways_params_t){.event_ms = 1300});
	gateways_configure(&hostile_fleet,
	    ",{\"name\":\"slow\",\"host\":\"" GATEWAYS_HOST
	    "\",\"path-prefix\":\"/slow/\",\"type\":\"stream\",\"service\":"
	    "\"m\",\"max-attempts\":2,\"resumable\":true,\"gap-aim-ms\":500,"
	    "\"timeout-ms\":20000}");
	harness_sleep(2);
	s = gateways_stream(&hostile_fleet, 0, "/slow/", "slow-1", 6, 15);
	CU_ASSERT(s.right);
	gateways_end(&hostile_fleet);
}

/*
 * An endpoint that has left must not be used again after the hosts restart,
 * even if the store has lost its history. The endpoint keeps running, so that a
 * request sent to it is detected.
 */
static void
test_left_endpoint_stays_out(void)
{
	static const char *const faults[] = {"", "forget=1"};

	for (unsigned i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		hostile_entry_t entry;
		hostile_t *departed;
		hostile_caller_t callers[CALLERS] = {{0}};
		unsigned before;

		hostile_start_fleet(2);
		departed =
		    hostile_register(&entry, i, HOSTILE_SECOND_COPY, false);
		hostile_call_all(callers, CALLERS, "before");
		before = hostile_answers(departed);
		CU_ASSERT(before > 0);
		hostile_unregister(&entry);
		harness_sleep(1);
		gateways_store_faults(&hostile_fleet, faults[i]);
		for (unsigned k = 0; k < 2; k++) {
			harness_kill(hostile_fleet.hosts[k]);
			gateways_start_host(&hostile_fleet, k);
		}
		for (unsigned k = 0; k < 2; k++)
			CU_ASSERT(gateways_wait_ready(&hostile_fleet, k));
		hostile_call_all(callers, CALLERS, "after");
		CU_ASSERT(hostile_answers(departed) == before);
		for (unsigned k = 0; k < CALLERS; k++)
			CU_ASSERT(callers[k].result.right);
		hostile_end(departed);
		gateways_end(&hostile_fleet);
	}
}

static const suite_test_t tests[] = {
    {"a left endpoint stays out", test_left_endpoint_stays_out},
    {"endless answers", test_endless_answers},
    {"endless events are broken off", test_endless_events_are_broken_off},
    {"endless answers are bounded in memory",
	test_endless_answers_bounded_in_memory},
    {"endless bodies are bounded in memory",
	test_endless_bodies_bounded_in_memory},
    {"items leave endless answers", test_items_leave_endless_answers},
    {"second copies of answers", test_second_copies},
    {"old refusals", test_old_refusals},
    {"errors after broken streams", test_errors_after_broken_streams},
    {"responses without length", test_responses_without_length},
    {"slow streams are not cut", test_slow_streams_are_not_cut},
};

SUITE_MAIN("fail_hostile", tests)
