/*
 * Tests with real processes that callers receive the complete response to their
 * own request despite failures of connections and engines.
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

/* A streamed completion and its response. */
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
send_stream_request(unsigned host, const char *prompt, stream_t *stream)
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

/* A fault injected while the test waits for a response. */
typedef struct delayed_fault_t {
	double delay;
	void (*inject)(void);
} delayed_fault_t;

static pid_t
inject_fault_later(const delayed_fault_t *fault)
{
	pid_t pid = fork();

	if (pid == 0) {
		harness_sleep(fault->delay);
		fault->inject();
		_exit(0);
	}
	return (pid);
}

static void
freeze_connections(void)
{
	for (unsigned i = 0; i < hosts.params.engines; i++)
		hosts_fault(&hosts, i, "mode=freeze&only_open=1");
}

static void
cut_connections(void)
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
check_stream_survives(void (*inject)(void), const char *prompt)
{
	stream_t stream;
	delayed_fault_t fault = {.delay = 0.4, .inject = inject};
	pid_t pid = inject_fault_later(&fault);
	double started_at = clock_monotonic();

	send_stream_request(0, prompt, &stream);
	CU_ASSERT(stream.status == 200);
	CU_ASSERT(stream_is_whole(&stream));
	/* The fault took effect while tokens were being sent. */
	CU_ASSERT(
	    hosts_metric(&hosts, 0, "daisypier_streams_resumed_total") +
		hosts_metric(&hosts, 0, "daisypier_online_continued_total") >
	    0);
	/* 60 tokens take 1.2 s; a silent connection times out after 1 s. */
	CU_ASSERT(clock_monotonic() - started_at < 6);
	buf_free(&stream.answer);
	waitpid(pid, NULL, 0);
}

/* Guards against a response that never ends on a silent connection. */
static void
test_connection_goes_silent(void)
{
	hosts_start(&hosts, &(hosts_params_t){.token_ms = 20, .proxy = true});
	check_stream_survives(freeze_connections, "silent connection");
	hosts_end(&hosts);
}

/*
 * Guards against a truncated response that looks complete and against duplicate
 * tokens.
 */
static void
test_connection_is_cut(void)
{
	hosts_start(&hosts, &(hosts_params_t){.token_ms = 20, .proxy = true});
	check_stream_survives(cut_connections, "cut connection");
	hosts_end(&hosts);
}

/* Guards against a response lost with its engine. */
static void
test_engine_killed(void)
{
	hosts_start(&hosts, &(hosts_params_t){.token_ms = 20});
	check_stream_survives(kill_busy_engine, "killed engine");
	hosts_end(&hosts);
}

static const suite_test_t tests[] = {
    {"connection goes silent", test_connection_goes_silent},
    {"connection is cut", test_connection_is_cut},
    {"engine killed", test_engine_killed},
};

SUITE_MAIN("fail_online", tests)
