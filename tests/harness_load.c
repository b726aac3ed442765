/* Callers in processes of their own, while a test breaks something. */
#include "harness_load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <jansson.h>
#include <signal.h>

#include "clock.h"
#include "standin_tokens.h"

#define MAX_CALLERS 64

struct load_t {
	unsigned callers;
	pid_t pids[MAX_CALLERS];
	int pipes[MAX_CALLERS];
};

/* A caller's present answer of GET /v1/entries. */
typedef struct caller_t {
	const hosts_t *hosts;
	unsigned number;
	char address[64];
	double keep_until;
} caller_t;

/* Asks one host after the other which address to use. */
static void
ask_entries(caller_t *caller)
{
	buf_t text = {0};
	json_t *object;
	json_t *entries;
	json_t *entry;

	for (unsigned i = 0; i < caller->hosts->params.hosts; i++) {
		unsigned host =
		    (caller->number + i) % caller->hosts->params.hosts;

		buf_clear(&text);
		if (harness_get(&text, "%s",
			hosts_url(caller->hosts, host, "/v1/entries")) != 200)
			continue;
		object = json_loadb(text.data, text.len, 0, NULL);
		entries = json_object_get(object, "entries");
		/* Callers that ask the same host use all of its entries. */
		entry = json_array_get(
		    entries, caller->number / caller->hosts->params.hosts %
				 (json_array_size(entries) +
				     (json_array_size(entries) == 0)));
		str_copy(caller->address, sizeof(caller->address),
		    str_of(
			json_string_value(json_object_get(entry, "address"))));
		caller->keep_until =
		    clock_monotonic() + (double)json_integer_value(
					    json_object_get(object, "keep_s"));
		json_decref(object);
		if (caller->address[0] != '\0')
			break;
	}
	buf_free(&text);
}

static bool
answer_is_right(str_t answer, const char *prompt, unsigned max_tokens)
{
	json_t *object =
	    json_loadb(answer.len > 0 ? answer.data : "", answer.len, 0, NULL);
	const char *text = json_string_value(json_object_get(
	    json_array_get(json_object_get(object, "choices"), 0), "text"));
	buf_t expected = {0};
	bool right;

	standin_answer(str_of(prompt), max_tokens, &expected);
	right = text != NULL && str_equal(str_of(text), str_buf(&expected));
	buf_free(&expected);
	json_decref(object);
	return (right);
}

static void
count_answer(load_result_t *result, const harness_response_t *response,
    const char *prompt, unsigned max_tokens, double seconds)
{
	bool refused = response->status == 503 || response->status == 429;

	if (response->error == 0 && response->status == 200) {
		if (answer_is_right(
			str_buf(&response->body), prompt, max_tokens))
			result->whole++;
		else
			result->wrong++;
		if (seconds > result->slowest)
			result->slowest = seconds;
		result->times[seconds < LOAD_TIMES * LOAD_TIME_S
				  ? (unsigned)(seconds / LOAD_TIME_S)
				  : LOAD_TIMES - 1]++;
		return;
	}
	if (response->error == 0 && refused &&
	    strstr(response->body.data, "\"not_run\"") != NULL)
		result->refused++;
	else
		result->failed++;
	fprintf(stderr,
	    "caller: error=%d status=%d after %.2f s: " STR_FMT "\n",
	    response->error, response->status, seconds,
	    STR_ARG(str_buf(&response->body)));
}

/* Whether the caller's entry host is the one that the test kills. */
static bool
entry_is_broken(const caller_t *caller, const load_params_t *params)
{
	size_t len = params->broken != NULL ? strlen(params->broken) : 0;

	return (len > 0 && strncmp(caller->address, params->broken, len) == 0 &&
		caller->address[len] == ':');
}

static void
call_once(caller_t *caller, unsigned turn, const load_params_t *params,
    load_result_t *result)
{
	unsigned max_tokens = params->max_tokens;
	unsigned failed = result->failed;
	const char *headers[] = {"Authorization: Bearer " HOSTS_TOKEN, NULL};
	harness_response_t response = {0};
	double started = clock_monotonic();
	char url[128];
	char prompt[64];
	char body[256];

	snprintf(url, sizeof(url), "http://%s/v1/completions", caller->address);
	snprintf(
	    prompt, sizeof(prompt), "caller %u turn %u", caller->number, turn);
	snprintf(body, sizeof(body),
	    "{\"model\":\"" HOSTS_MODEL "\",\"prompt\":\"%s\",\"max_tokens\":"
	    "%u}",
	    prompt, max_tokens);
	harness_http(
	    &(harness_request_t){
		.method = "POST",
		.url = url,
		.headers = headers,
		.body = str_of(body),
		.timeout = 30,
	    },
	    &response);
	count_answer(
	    result, &response, prompt, max_tokens, clock_monotonic() - started);
	if (result->failed > failed && entry_is_broken(caller, params)) {
		result->failed--;
		result->lost++;
	}
	harness_response_free(&response);
}

static void
caller_run(const hosts_t *hosts, unsigned number, const load_params_t *params,
    int output)
{
	caller_t caller = {.hosts = hosts, .number = number};
	load_result_t result = {0};
	double end = clock_monotonic() + params->duration;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	for (unsigned turn = 0; clock_monotonic() < end; turn++) {
		if (clock_monotonic() >= caller.keep_until)
			ask_entries(&caller);
		call_once(&caller, turn, params, &result);
		harness_sleep(params->pause);
	}
	if (write(output, &result, sizeof(result)) != sizeof(result))
		_exit(1);
	_exit(0);
}

/* Starts callers that ask for an address, keep it as told and send requests. */
load_t *
load_start(const hosts_t *hosts, const load_params_t *params)
{
	load_t *load = xcalloc(1, sizeof(*load));

	load->callers = params->callers;
	for (unsigned i = 0; i < load->callers; i++) {
		int fds[2];

		if (pipe(fds) != 0)
			abort();
		load->pids[i] = fork();
		if (load->pids[i] == 0)
			caller_run(hosts, i, params, fds[1]);
		close(fds[1]);
		load->pipes[i] = fds[0];
	}
	return (load);
}

/* Waits for all callers and returns what they saw. */
load_result_t
load_finish(load_t *load)
{
	load_result_t sum = {0};

	for (unsigned i = 0; i < load->callers; i++) {
		load_result_t one = {0};

		if (read(load->pipes[i], &one, sizeof(one)) != sizeof(one))
			one.failed = 1;
		close(load->pipes[i]);
		waitpid(load->pids[i], NULL, 0);
		sum.whole += one.whole;
		sum.refused += one.refused;
		sum.failed += one.failed;
		sum.wrong += one.wrong;
		sum.lost += one.lost;
		for (unsigned k = 0; k < LOAD_TIMES; k++)
			sum.times[k] += one.times[k];
		if (one.slowest > sum.slowest)
			sum.slowest = one.slowest;
	}
	free(load);
	return (sum);
}

/* Returns the 99th percentile of the times, in seconds: the end of its bin. */
double
load_p99(const load_result_t *result)
{
	unsigned total = 0;
	unsigned seen = 0;
	unsigned bin = 0;

	for (unsigned i = 0; i < LOAD_TIMES; i++)
		total += result->times[i];
	for (; bin < LOAD_TIMES - 1; bin++) {
		seen += result->times[bin];
		if (seen * 100ULL >= total * 99ULL)
			break;
	}
	return ((bin + 1) * LOAD_TIME_S);
}
