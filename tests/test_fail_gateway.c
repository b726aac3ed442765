/* Failure tests of gateway host processes with a stand-in store and engines. */
#include "suite.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>

#include "clock.h"
#include "harness_gateways.h"

/* The stated time after which calm hosts are in touch with the store again. */
#define CONTACT_S 3.0

static gateways_t fleet;

/* Guards against streams that are altered, truncated or mixed up. */
static void
test_streams_complete(void)
{
	char id[32];

	gateways_start(&fleet, &(gateways_params_t){0});
	for (unsigned i = 0; i < 20; i++) {
		gateways_stream_t s;

		snprintf(id, sizeof(id), "a%u", i);
		s = gateways_stream(&fleet, i % 3,
		    i % 2 == 0 ? GATEWAYS_ONCE : GATEWAYS_RESUME, id, 12, 5);
		CU_ASSERT(s.status == 200 && s.whole && s.right);
	}
	gateways_end(&fleet);
}

/*
 * Guards against a second run of an at-most-once stream, and against a
 * resumable stream that ends early or has a gap when its engine fails.
 */
static void
test_engines_fail_in_stream(void)
{
	unsigned resumed = 0;
	char id[32];

	gateways_start(&fleet, &(gateways_params_t){0});
	for (unsigned i = 0; i < 2; i++)
		gateways_engine_faults(&fleet, i, "break=0.5");
	for (unsigned i = 0; i < 30; i++) {
		gateways_stream_t s;

		snprintf(id, sizeof(id), "b%u", i);
		s = gateways_stream(&fleet, i % 3, GATEWAYS_RESUME, id, 12, 5);
		CU_ASSERT(!(s.whole && s.status == 200) || s.right);
		resumed += s.right && gateways_runs(&fleet, id).runs > 1;
		snprintf(id, sizeof(id), "c%u", i);
		s = gateways_stream(&fleet, i % 3, GATEWAYS_ONCE, id, 12, 5);
		CU_ASSERT(!(s.whole && s.status == 200) || s.right);
		CU_ASSERT(gateways_runs(&fleet, id).runs <= 1);
		CU_ASSERT((s.status != 503 && s.status != 429) ||
			  gateways_runs(&fleet, id).runs == 0);
	}
	CU_ASSERT(resumed >= 5);
	gateways_end(&fleet);
}

/* Guards against lost or duplicate items when the owner of a job crashes. */
static void
test_job_survives_host_crashes(void)
{
	gateways_start(&fleet, &(gateways_params_t){.event_ms = 20});
	CU_ASSERT(gateways_submit(&fleet, 0, "job-k", 24, 30) == 202);
	harness_sleep(0.5);
	for (unsigned i = 0; i < 3; i++) {
		harness_kill(fleet.hosts[i]);
		fleet.hosts[i] = NULL;
		harness_sleep(0.3);
		gateways_start_host(&fleet, i);
	}
	CU_ASSERT(gateways_wait_job(&fleet, "job-k", 24, 30, 60));
	gateways_end(&fleet);
}

/* Guards against lost or duplicate jobs when store responses are lost. */
static void
test_job_with_lost_responses(void)
{
	int status;

	gateways_start(&fleet, &(gateways_params_t){0});
	gateways_store_faults(&fleet, "lose=0.4&late=2");
	status = gateways_submit(&fleet, 0, "job-l", 10, 12);
	CU_ASSERT(status == 202 || status == 504);
	if (status != 202)
		CU_ASSERT(gateways_submit(&fleet, 1, "job-l", 10, 12) != 0);
	harness_sleep(2);
	gateways_store_faults(&fleet, "");
	CU_ASSERT(gateways_submit(&fleet, 2, "job-l", 10, 12) == 202);
	CU_ASSERT(gateways_wait_job(&fleet, "job-l", 10, 12, 60));
	gateways_end(&fleet);
}

/*
 * Guards against a job accepted without confirmation by the store, against
 * online requests that depend on the store, and against 404 for a job from a
 * host that cannot know whether it exists.
 */
static void
test_store_outage(void)
{
	gateways_stream_t s;
	buf_t body = {0};
	double end;
	int status;

	gateways_start(&fleet, &(gateways_params_t){0});
	gateways_store_faults(&fleet, "silent=1");
	CU_ASSERT(gateways_submit(&fleet, 0, "job-o", 3, 4) != 202);
	harness_sleep(1.5);
	s = gateways_stream(&fleet, 1, GATEWAYS_ONCE, "o1", 8, 5);
	CU_ASSERT(s.right);
	CU_ASSERT(gateways_results(&fleet, 1, "job-none", 0, &body) == 503);
	gateways_store_faults(&fleet, "busy=1");
	harness_sleep(1.5);
	CU_ASSERT(gateways_submit(&fleet, 1, "job-p", 3, 4) == 503);
	gateways_store_faults(&fleet, "");
	CU_ASSERT(gateways_wait_ready(&fleet, 0));
	/* Until it is sure again, the host must say that it is not. */
	end = clock_monotonic() + CONTACT_S;
	while ((status = gateways_results(&fleet, 1, "job-none", 0, &body)) ==
		   503 &&
	       clock_monotonic() < end)
		harness_sleep(0.1);
	CU_ASSERT(status == 404);
	CU_ASSERT(gateways_submit(&fleet, 2, "job-o", 3, 4) == 202);
	CU_ASSERT(gateways_wait_job(&fleet, "job-o", 3, 4, 30));
	buf_free(&body);
	gateways_end(&fleet);
}

/* Polls for up to 5 s until a host serves a route that was just added. */
static bool
wait_for_new_route(unsigned host, const char *id)
{
	double end = clock_monotonic() + 5;
	bool right = false;

	while (!right && clock_monotonic() < end) {
		right = gateways_stream(&fleet, host, "/new/", id, 5, 5).right;
		harness_sleep(0.1);
	}
	return (right);
}

/*
 * Guards against refused jobs, an outdated configuration and results that are
 * not stored at a host that the store rejects or ignores while it serves the
 * other hosts (wrexfield-tally trouble-1).
 */
static void
test_store_rejects_one_host(void)
{
	static const char *const modes[] = {
	    "busy=1&host=127.0.0.21", "silent=1&host=127.0.0.21"};

	for (unsigned i = 0; i < 2; i++) {
		char job[16];

		gateways_start(&fleet, &(gateways_params_t){0});
		gateways_store_faults(&fleet, modes[i]);
		harness_sleep(3);
		snprintf(job, sizeof(job), "job-r%u", i);
		CU_ASSERT(gateways_submit(&fleet, 0, job, 3, 4) == 202);
		CU_ASSERT(gateways_wait_job(&fleet, job, 3, 4, 20));
		gateways_configure(&fleet,
		    ",{\"name\":\"new\",\"host\":\"" GATEWAYS_HOST
		    "\",\"path-prefix\":\"/new/\",\"type\":\"stream\","
		    "\"service\":\"m\",\"max-attempts\":1,"
		    "\"timeout-ms\":5000}");
		CU_ASSERT(wait_for_new_route(0, "r1"));
		gateways_end(&fleet);
	}
}

static void *
run_stream(void *ctx)
{
	*(gateways_stream_t *)ctx =
	    gateways_stream(&fleet, 0, GATEWAYS_ONCE, "w1", 8, 5);
	return (NULL);
}

/*
 * Guards against callers that exhaust their retries at hosts that start while
 * the store is unavailable (kovac-polnilnica-grown trouble-1: 588 of 16,103
 * requests refused).
 */
static void
test_requests_wait_for_start(void)
{
	gateways_stream_t waited = {0};
	gateways_stream_t refused;
	pthread_t thread;

	gateways_start(&fleet, &(gateways_params_t){.hosts = 1});
	harness_kill(fleet.hosts[0]);
	gateways_store_faults(&fleet, "busy=1");
	gateways_start_host(&fleet, 0);
	harness_sleep(0.5);
	refused = gateways_stream(&fleet, 0, GATEWAYS_ONCE, "w0", 8, 1);
	CU_ASSERT(refused.status == 503 && refused.retry_after >= 0);
	pthread_create(&thread, NULL, run_stream, &waited);
	harness_sleep(0.7);
	gateways_store_faults(&fleet, "");
	pthread_join(thread, NULL);
	CU_ASSERT(waited.right);
	CU_ASSERT(gateways_runs(&fleet, "w0").runs == 0);
	gateways_end(&fleet);
}

/* Guards against a host that gets no updates after the history expired. */
static void
test_expired_history(void)
{
	gateways_stream_t s;

	gateways_start(&fleet, &(gateways_params_t){0});
	gateways_store_faults(&fleet, "silent=1");
	harness_sleep(0.3);
	gateways_store_faults(&fleet, "forget=1");
	gateways_configure(&fleet,
	    ",{\"name\":\"new\",\"host\":\"" GATEWAYS_HOST
	    "\",\"path-prefix\":\"/new/\",\"type\":\"stream\",\"service\":"
	    "\"m\",\"max-attempts\":1,\"timeout-ms\":5000}");
	harness_sleep(2);
	for (unsigned i = 0; i < 3; i++) {
		char id[16];

		snprintf(id, sizeof(id), "f%u", i);
		s = gateways_stream(&fleet, i, "/new/", id, 5, 5);
		CU_ASSERT(s.right);
	}
	gateways_end(&fleet);
}

/* Guards against an engine that keeps working after the caller disconnects. */
static void
test_caller_disconnects(void)
{
	gateways_runs_t runs;

	gateways_start(&fleet, &(gateways_params_t){.event_ms = 100});
	gateways_stream(&fleet, 0, GATEWAYS_ONCE, "g1", 100, 0.4);
	harness_sleep(0.5);
	runs = gateways_runs(&fleet, "g1");
	CU_ASSERT(runs.runs == 1);
	CU_ASSERT(!runs.working);
	gateways_end(&fleet);
}

/*
 * Guards against an at-most-once request that is sent on a connection that died
 * while idle (soak seed 7). Only the request's timeout would reveal it, and a
 * retry is not allowed.
 */
static void
test_dead_idle_connections(void)
{
	gateways_stream_t s;

	gateways_start(&fleet,
	    &(gateways_params_t){.hosts = 1, .engines = 1, .proxied = true});
	s = gateways_stream(&fleet, 0, GATEWAYS_ONCE, "i1", 8, 5);
	CU_ASSERT(s.right);
	gateways_proxy_fault(&fleet, "forward=1&mode=freeze&only_open=1");
	harness_sleep(3.5);
	s = gateways_stream(&fleet, 0, GATEWAYS_ONCE, "i2", 8, 5);
	CU_ASSERT(s.right);
	gateways_end(&fleet);
}

/* A thread that sends requests during a graceful shutdown. */
typedef struct caller_thread_t {
	unsigned index;
	unsigned failed;
	unsigned served;
	volatile bool stop;
} caller_thread_t;

static void *
run_caller(void *ctx)
{
	caller_thread_t *thread = ctx;
	char id[32];

	for (unsigned i = 0; !thread->stop; i++) {
		/* Like a caller with a current host list: avoids host 0. */
		unsigned host = thread->index == 0 ? 0 : 1 + i % 2;
		gateways_stream_t s;

		snprintf(id, sizeof(id), "s%u-%u", thread->index, i);
		s = gateways_stream(&fleet, host, GATEWAYS_ONCE, id, 20, 5);
		thread->served += s.right;
		if (thread->index == 0)
			break;
		thread->failed += !s.right;
	}
	return (NULL);
}

/* Guards against requests aborted by a graceful shutdown. */
static void
test_graceful_shutdown(void)
{
	caller_thread_t callers[3] = {{.index = 0}, {.index = 1}, {.index = 2}};
	pthread_t threads[3];

	gateways_start(&fleet, &(gateways_params_t){.event_ms = 50});
	for (unsigned i = 0; i < 3; i++)
		pthread_create(&threads[i], NULL, run_caller, &callers[i]);
	harness_sleep(0.4);
	harness_signal(fleet.hosts[0], SIGTERM);
	CU_ASSERT(harness_wait_exit(fleet.hosts[0], 8) == 0);
	fleet.hosts[0] = NULL;
	harness_sleep(1);
	for (unsigned i = 0; i < 3; i++)
		callers[i].stop = true;
	for (unsigned i = 0; i < 3; i++)
		pthread_join(threads[i], NULL);
	CU_ASSERT(callers[0].served == 1);
	CU_ASSERT(callers[1].failed == 0 && callers[1].served > 0);
	CU_ASSERT(callers[2].failed == 0 && callers[2].served > 0);
	gateways_end(&fleet);
}

typedef struct single_call_t {
	const char *id;
	gateways_stream_t result;
} single_call_t;

static void *
run_single_call(void *ctx)
{
	single_call_t *call = ctx;

	call->result =
	    gateways_stream(&fleet, 0, GATEWAYS_ONCE, call->id, 80, 10);
	return (NULL);
}

/*
 * Guards against a request that waits for a slot until the process exit aborts
 * it (hunt of kovac-polnilnica, mix, seed 626509912156). It must be refused
 * before that.
 */
static void
test_shutdown_refuses_queue(void)
{
	single_call_t running = {.id = "q1"};
	single_call_t waiting = {.id = "q2"};
	pthread_t threads[2];

	gateways_start(
	    &fleet, &(gateways_params_t){
			.hosts = 1, .engines = 1, .slots = 1, .event_ms = 100});
	pthread_create(&threads[0], NULL, run_single_call, &running);
	harness_sleep(0.3);
	harness_signal(fleet.hosts[0], SIGTERM);
	/* Like a caller with an outdated host list. */
	harness_sleep(1.2);
	pthread_create(&threads[1], NULL, run_single_call, &waiting);
	for (unsigned i = 0; i < 2; i++)
		pthread_join(threads[i], NULL);
	CU_ASSERT(waiting.result.whole);
	CU_ASSERT(waiting.result.status == 503);
	CU_ASSERT(waiting.result.retry_after >= 0);
	CU_ASSERT(gateways_runs(&fleet, "q2").runs == 0);
	fleet.hosts[0] = NULL;
	gateways_end(&fleet);
}

/* Sends a stream to the stopping host and, if that refuses it, to another. */
static void
check_late_stream(const char *id, unsigned events, double timeout, bool refused)
{
	gateways_stream_t s =
	    gateways_stream(&fleet, 0, GATEWAYS_ONCE, id, events, timeout);

	CU_ASSERT(s.whole);
	if (!refused) {
		CU_ASSERT(s.right);
		return;
	}
	CU_ASSERT(s.status == 503);
	CU_ASSERT(s.retry_after >= 0);
	CU_ASSERT(gateways_runs(&fleet, id).runs == 0);
	s = gateways_stream(&fleet, 1, GATEWAYS_ONCE, id, events, timeout);
	CU_ASSERT(s.right);
}

/*
 * Guards against a request that arrives late in a graceful shutdown, is sent to
 * an endpoint and is cut off by the exit in the middle of its stream.
 */
static void
test_shutdown_refuses_what_it_would_cut_off(void)
{
	gateways_start(&fleet, &(gateways_params_t){.event_ms = 40});
	harness_signal(fleet.hosts[0], SIGTERM);
	/* Like a caller with an outdated host list. */
	harness_sleep(1.2);
	check_late_stream("l-short", 10, 1.5, false);
	check_late_stream("l-long", 60, 5, true);
	CU_ASSERT(harness_wait_exit(fleet.hosts[0], 8) == 0);
	fleet.hosts[0] = NULL;
	gateways_end(&fleet);
}

/*
 * Guards against a job that is submitted late in a graceful shutdown while the
 * store does not answer, and whose client gets no answer before the exit.
 */
static void
test_shutdown_answers_job_calls(void)
{
	int status;

	gateways_start(&fleet, &(gateways_params_t){0});
	harness_signal(fleet.hosts[0], SIGTERM);
	harness_sleep(1.2);
	gateways_store_faults(&fleet, "silent=1");
	status = gateways_submit(&fleet, 0, "job-l", 3, 4);
	CU_ASSERT(status == 503 || status == 504);
	CU_ASSERT(harness_wait_exit(fleet.hosts[0], 8) == 0);
	fleet.hosts[0] = NULL;
	gateways_end(&fleet);
}

/*
 * Guards against items that restart from the first event when the owner of
 * their job shuts down, as they do without the handover.
 */
static void
test_shutdown_hands_items_over(void)
{
	unsigned resumed = 0;
	unsigned complete = 0;
	char id[32];

	gateways_start(&fleet, &(gateways_params_t){.event_ms = 40});
	CU_ASSERT(gateways_submit(&fleet, 0, "job-h", 8, 100) == 202);
	for (unsigned i = 0; i < 3; i++) {
		harness_sleep(0.5);
		harness_signal(fleet.hosts[i], SIGTERM);
		CU_ASSERT(harness_wait_exit(fleet.hosts[i], 8) == 0);
		gateways_start_host(&fleet, i);
		CU_ASSERT(gateways_wait_ready(&fleet, i));
	}
	CU_ASSERT(gateways_wait_job(&fleet, "job-h", 8, 100, 60));
	for (unsigned i = 0; i < 8; i++) {
		snprintf(id, sizeof(id), "job-h-%u", i);
		resumed += gateways_runs(&fleet, id).resumed;
		complete += gateways_runs(&fleet, id).complete;
	}
	CU_ASSERT(resumed >= 8);
	CU_ASSERT(complete == 8);
	gateways_end(&fleet);
}

static unsigned
runs_of_job(const char *job, unsigned items)
{
	unsigned runs = 0;
	char id[32];

	for (unsigned i = 0; i < items; i++) {
		snprintf(id, sizeof(id), "%s-%u", job, i);
		runs += gateways_runs(&fleet, id).runs;
	}
	return (runs);
}

/*
 * Guards against running items that are restarted on another host although
 * their own was unresponsive for less than the failure timeout.
 */
static void
test_unresponsive_hosts_keep_items(void)
{
	gateways_start(&fleet, &(gateways_params_t){.event_ms = 25});
	CU_ASSERT(gateways_submit(&fleet, 0, "job-s", 8, 100) == 202);
	harness_sleep(1);
	for (unsigned i = 0; i < 3; i++) {
		harness_stop(fleet.hosts[i]);
		harness_sleep(0.4);
		harness_continue(fleet.hosts[i]);
	}
	CU_ASSERT(gateways_wait_job(&fleet, "job-s", 8, 100, 30));
	CU_ASSERT(runs_of_job("job-s", 8) == 8);
	gateways_end(&fleet);
}

static void
record_nested_entry(gateways_t *gateways, const char *key, size_t depth)
{
	buf_t text = {0};

	for (size_t i = 0; i < depth; i++)
		buf_append(&text, STR("{\"service\":["));
	for (size_t i = 0; i < depth; i++)
		buf_append(&text, STR("]}"));
	gateways_record(gateways, "keyed.servers", key, text.data);
	buf_free(&text);
}

/*
 * Entries of another writer must neither end a host nor keep it from following
 * the endpoints, whether it reads them as news or when it starts.
 */
static void
test_odd_endpoint_entries(void)
{
	gateways_stream_t s;

	gateways_start(&fleet, &(gateways_params_t){.engines = 1});
	record_nested_entry(&fleet, "odd-1", 1000);
	record_nested_entry(&fleet, "odd-2", 15000);
	gateways_record(&fleet, "keyed.servers", "odd-3",
	    "{\"service\":\"m\",\"address\":\"127.0.0.9:4294967376\","
	    "\"zone\":\"east\",\"slots\":8,\"state\":\"ready\"}");
	gateways_record(&fleet, "keyed.servers", "odd-4",
	    "{\"service\":\"m\",\"address\":\"127.0.0.9:9\","
	    "\"zone\":\"east\",\"slots\":4000000000,\"state\":\"ready\"}");
	gateways_record(&fleet, "keyed.servers", "odd-5",
	    "{\"service\":\"m\",\"address\":\"127.0.0.9:9\","
	    "\"zone\":\"east\",\"slots\":1e999,\"state\":\"ready\"}");
	harness_kill(fleet.hosts[2]);
	gateways_start_host(&fleet, 2);
	CU_ASSERT(gateways_wait_ready(&fleet, 2));
	/* Only hosts that still follow the entries find the next start. */
	harness_kill(fleet.engines[0]);
	gateways_start_engine(&fleet, 0);
	harness_sleep(3);
	for (unsigned i = 0; i < 3; i++) {
		char id[32];

		CU_ASSERT(harness_wait_exit(fleet.hosts[i], 0) < 0);
		snprintf(id, sizeof(id), "odd%u", i);
		s = gateways_stream(&fleet, i, GATEWAYS_ONCE, id, 8, 5);
		CU_ASSERT(s.right);
	}
	gateways_end(&fleet);
}

static const suite_test_t tests[] = {
    {"odd endpoint entries", test_odd_endpoint_entries},
    {"unresponsive hosts keep their items", test_unresponsive_hosts_keep_items},
    {"streams are complete", test_streams_complete},
    {"engines fail in a stream", test_engines_fail_in_stream},
    {"job survives host crashes", test_job_survives_host_crashes},
    {"job with lost store responses", test_job_with_lost_responses},
    {"store outage", test_store_outage},
    {"store rejects one host", test_store_rejects_one_host},
    {"requests wait for a starting host", test_requests_wait_for_start},
    {"expired history", test_expired_history},
    {"caller disconnects", test_caller_disconnects},
    {"dead idle connections", test_dead_idle_connections},
    {"graceful shutdown", test_graceful_shutdown},
    {"shutdown refuses queued requests", test_shutdown_refuses_queue},
    {"shutdown refuses what it would cut off",
	test_shutdown_refuses_what_it_would_cut_off},
    {"shutdown answers job calls", test_shutdown_answers_job_calls},
    {"shutdown hands items over", test_shutdown_hands_items_over},
};

SUITE_MAIN("fail_gateway", tests)
