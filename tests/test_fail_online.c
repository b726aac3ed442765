/*
 * Failures under which each caller gets the whole answer to its own request and
 * a request marked as not to be repeated runs at most once, with real
 * processes.
 */
#include "suite.h"

#include <signal.h>
#include <stdio.h>
#include <sys/wait.h>
#include <unistd.h>

#include <jansson.h>

#include "clock.h"
#include "harness_hosts.h"
#include "standin_tokens.h"

#define MAX_TOKENS 60

static hosts_t hosts;

/* Runs in a child process: one streamed completion; exit code 0 when whole. */
typedef struct stream_t {
	char prompt[64];
	buf_t answer;
	int status;
} stream_t;

static bool
stream_is_whole(const stream_t *stream)
{
	buf_t expected = {0};
	buf_t text = {0};
	str_t rest = str_buf(&stream->answer);
	str_t line;
	bool done = false;
	bool whole;

	while (str_split(&rest, '\n', &line)) {
		json_t *object;
		const char *piece;

		if (str_equal(line, STR("data: [DONE]")))
			done = true;
		if (done || !str_has_prefix(line, STR("data: {")))
			continue;
		object = json_loadb(line.data + 6, line.len - 6, 0, NULL);
		piece = json_string_value(json_object_get(
		    json_array_get(json_object_get(object, "choices"), 0),
		    "text"));
		buf_append(&text, str_of(piece));
		json_decref(object);
	}
	standin_answer(str_of(stream->prompt), MAX_TOKENS, &expected);
	whole = done && str_equal(str_buf(&text), str_buf(&expected));
	buf_free(&expected);
	buf_free(&text);
	return (whole);
}

static void
run_stream(unsigned host, const char *prompt, stream_t *stream)
{
	char body[256];

	*stream = (stream_t){0};
	snprintf(stream->prompt, sizeof(stream->prompt), "%s", prompt);
	snprintf(body, sizeof(body),
	    "{\"model\":\"" HOSTS_MODEL "\",\"prompt\":\"%s\",\"max_tokens\":"
	    "%d,\"stream\":true}",
	    prompt, MAX_TOKENS);
	stream->status = hosts_post(&hosts, host, "/v1/completions", NULL,
	    str_of(body), 30, &stream->answer);
}

/* A fault that strikes while the test waits for an answer. */
typedef struct strike_t {
	double delay;
	void (*run)(void);
} strike_t;

static pid_t
strike_later(const strike_t *strike)
{
	pid_t pid = fork();

	if (pid == 0) {
		harness_sleep(strike->delay);
		strike->run();
		_exit(0);
	}
	return (pid);
}

static void
silence_all(void)
{
	for (unsigned i = 0; i < hosts.params.engines; i++)
		hosts_fault(&hosts, i, "mode=freeze&only_open=1");
}

static void
cut_all(void)
{
	for (unsigned i = 0; i < hosts.params.engines; i++)
		hosts_fault(&hosts, i, "mode=cut");
}

static void
kill_busy_engine(void)
{
	for (unsigned i = 0; i < hosts.params.engines; i++)
		if (hosts_engine_count(&hosts, i, "running") > 0)
			kill(harness_pid(hosts.engines[i]), SIGKILL);
}

static void
check_stream_through(void (*run)(void), const char *prompt)
{
	stream_t stream;
	strike_t strike = {.delay = 0.4, .run = run};
	pid_t pid = strike_later(&strike);
	double started = clock_monotonic();

	run_stream(0, prompt, &stream);
	CU_ASSERT(stream.status == 200);
	CU_ASSERT(stream_is_whole(&stream));
	/* The fault did strike while tokens were on their way. */
	CU_ASSERT(
	    hosts_metric(&hosts, 0, "daisypier_streams_resumed_total") +
		hosts_metric(&hosts, 0, "daisypier_online_continued_total") >
	    0);
	/* 60 tokens take 1.2 s; a silent connection is given up after 1 s. */
	CU_ASSERT(clock_monotonic() - started < 6);
	buf_free(&stream.answer);
	waitpid(pid, NULL, 0);
}

/* Guards against an answer that never ends when its connection goes silent. */
static void
test_connection_goes_silent(void)
{
	hosts_start(&hosts, &(hosts_params_t){.token_ms = 20, .proxy = true});
	check_stream_through(silence_all, "silent connection");
	hosts_end(&hosts);
}

/* Guards against a cut answer that looks complete or repeats tokens. */
static void
test_connection_is_cut(void)
{
	hosts_start(&hosts, &(hosts_params_t){.token_ms = 20, .proxy = true});
	check_stream_through(cut_all, "cut connection");
	hosts_end(&hosts);
}

/* Guards against an answer that is lost with its engine. */
static void
test_engine_killed(void)
{
	hosts_start(&hosts, &(hosts_params_t){.token_ms = 20});
	check_stream_through(kill_busy_engine, "killed engine");
	hosts_end(&hosts);
}

static const suite_test_t tests[] = {
    {"connection goes silent", test_connection_goes_silent},
    {"connection is cut", test_connection_is_cut},
    {"engine killed", test_engine_killed},
};

SUITE_MAIN("fail_online", tests)
