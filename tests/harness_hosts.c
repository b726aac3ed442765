/* A whole system of real processes: platform, endpoints, proxies and hosts. */
#include "harness_hosts.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <sodium.h>

#include "clock.h"
#include "config_record.h"
#include "harness_port.h"
#include "placement.h"
#include "standin_tokens.h"

#define MAX_ARGS	24
#define READY_TIMEOUT_S 60.0
#define HOST_BASE	11  /* host N is 127.0.0.(11 + N) */
#define ENGINE_BASE	101 /* engine N is 127.0.0.(101 + N) */
#define PROXY_BASE	131 /* proxy of engine N is 127.0.0.(131 + N) */
#define SERVICE_ADDRESS "127.0.0.151"

static const char *const zones[] = {
    "trent-bank", "lakeside", "canal-walk", "market-sq"};

static const char *
zone_of(unsigned index)
{
	return (zones[index % (sizeof(zones) / sizeof(zones[0]))]);
}

/* Ports that are the same on all addresses, as in a fleet of real hosts. */
static void
choose_ports(hosts_t *hosts)
{
	static char text[254][16];
	const char *addresses[254];
	size_t count = 0;

	for (unsigned i = HOST_BASE; i < 160; i++) {
		snprintf(text[count], sizeof(text[count]), "127.0.0.%u", i);
		addresses[count] = text[count];
		count++;
	}
	hosts->http_port = harness_port_reserve(addresses, count);
	hosts->peer_port = harness_port_reserve(addresses, count);
	hosts->operator_port = harness_port_reserve(addresses, count);
	hosts->endpoint_port = harness_port_reserve(addresses, count);
}

static void
args_extend(const char **args, size_t *n, const char *const *more)
{
	for (size_t i = 0; more != NULL && more[i] != NULL; i++)
		args[(*n)++] = more[i];
	args[*n] = NULL;
}

/* Starts one engine; also after a kill, at the same address. */
void
hosts_start_engine(hosts_t *hosts, unsigned index)
{
	const char *args[MAX_ARGS];
	char address[32];
	char port[16];
	char slots[16];
	char token_ms[16];
	size_t n = 0;

	snprintf(address, sizeof(address), "127.0.0.%u", ENGINE_BASE + index);
	snprintf(port, sizeof(port), "%u", hosts->endpoint_port);
	snprintf(slots, sizeof(slots), "%u", hosts->params.slots);
	snprintf(token_ms, sizeof(token_ms), "%u", hosts->params.token_ms);
	args[n++] = "--address";
	args[n++] = address;
	args[n++] = "--port";
	args[n++] = port;
	args[n++] = "--slots";
	args[n++] = slots;
	args[n++] = "--token-ms";
	args[n++] = token_ms;
	args[n++] = "--model";
	args[n++] = HOSTS_MODEL;
	args_extend(args, &n, hosts->params.engine_args);
	hosts->engines[index] = harness_start("standin-engine", args);
}

static void
start_endpoints(hosts_t *hosts)
{
	char port[16];
	char work[16];
	const char *service[] = {"--address", SERVICE_ADDRESS, "--port", port,
	    "--work-ms", work, NULL};

	for (unsigned i = 0; i < hosts->params.engines; i++)
		hosts_start_engine(hosts, i);
	snprintf(port, sizeof(port), "%u", hosts->endpoint_port);
	snprintf(work, sizeof(work), "%u", hosts->params.service_ms);
	if (hosts->params.service)
		hosts->service = harness_start("standin-service", service);
}

static void
start_proxy(hosts_t *hosts)
{
	static char forwards[HOSTS_ENGINES_MAX][64];
	const char *args[MAX_ARGS * 2];
	size_t n = 0;

	for (unsigned i = 0; i < hosts->params.engines; i++) {
		snprintf(forwards[i], sizeof(forwards[i]),
		    "127.0.0.%u:%u=127.0.0.%u:%u", PROXY_BASE + i,
		    hosts->endpoint_port, ENGINE_BASE + i,
		    hosts->endpoint_port);
		args[n++] = "--forward";
		args[n++] = forwards[i];
	}
	args[n] = NULL;
	hosts->proxy = harness_start("faultproxy", args);
	snprintf(hosts->proxy_control, sizeof(hosts->proxy_control), "%s",
	    harness_address(hosts->proxy));
}

static void
token_line(buf_t *out, const char *name, const char *token)
{
	char hash[65];

	config_token_hash(str_of(token), hash);
	buf_printf(out, "[organisation %s]\ntoken_hash = %s\nweight = 1\n",
	    name, hash);
}

/* Appends the first configuration as the platform's operators would. */
static void
put_config(hosts_t *hosts)
{
	buf_t base = {0};
	buf_t record = {0};

	buf_printf(&base, "[fleet]\n%s\n[model " HOSTS_MODEL "]\n",
	    hosts->params.fleet != NULL ? hosts->params.fleet : "");
	for (unsigned i = 0; i < hosts->params.engines; i++)
		buf_printf(&base,
		    "[endpoint engine-%u]\naddress = 127.0.0.%u:%u\nzone = "
		    "%s\nmodel = " HOSTS_MODEL "\nslots = %u\n",
		    i, (hosts->params.proxy ? PROXY_BASE : ENGINE_BASE) + i,
		    hosts->endpoint_port, zone_of(i), hosts->params.slots);
	if (hosts->params.service)
		buf_printf(&base,
		    "[service ledger]\n[endpoint ledger-0]\naddress "
		    "= " SERVICE_ADDRESS ":%u\nzone = %s\nservice = ledger\n"
		    "slots = 32\n",
		    hosts->endpoint_port, zone_of(0));
	token_line(&base, "harbour", HOSTS_TOKEN);
	token_line(&base, "orchard", HOSTS_OTHER_TOKEN);
	config_record_encode(
	    &(config_record_t){
		.kind = CONFIG_CHANGE,
		.token = config_token_new(clock_wall()),
		.author = STR("test"),
		.time = clock_wall(),
		.texts = {.base = str_buf(&base)},
	    },
	    &record);
	if (harness_post(NULL, str_buf(&record),
		"http://%s/v1/streams/config/records",
		harness_address(hosts->platform)) != 200)
		abort();
	buf_free(&base);
	buf_free(&record);
}

/* Starts one host; also after a kill, as a new process of the same name. */
void
hosts_start_host(hosts_t *hosts, unsigned index)
{
	buf_t text = {0};
	char name[32];
	char path[512];
	const char *args[] = {"--settings", path, NULL};

	buf_printf(&text,
	    "[host]\nname = host-%u\naddress = 127.0.0.%u\nzone = %s\n"
	    "site = site-one\nhttp_port = %u\npeer_port = %u\n"
	    "operator_port = %u\nplatform = http://%s\n"
	    "key = 0123456789abcdef0123456789abcdef\nperiod_ms = %u\n"
	    "admission = %s\nseeds = ",
	    index, HOST_BASE + index, zone_of(index), hosts->http_port,
	    hosts->peer_port, hosts->operator_port,
	    harness_address(hosts->platform), hosts->params.period_ms,
	    hosts->params.admission != NULL ? hosts->params.admission : "pool");
	for (unsigned i = 0; i < hosts->params.hosts; i++)
		buf_printf(
		    &text, "%s127.0.0.%u", i > 0 ? "," : "", HOST_BASE + i);
	buf_append_char(&text, '\n');
	snprintf(name, sizeof(name), "host-%u.ini", index);
	harness_write_file(name, text.data, path, sizeof(path));
	buf_free(&text);
	hosts->hosts[index] = harness_start("daisypierd", args);
}

typedef struct ready_wait_t {
	const hosts_t *hosts;
	unsigned index;
} ready_wait_t;

static bool
host_is_ready(void *ctx)
{
	const ready_wait_t *wait = ctx;

	return (harness_get(NULL, "%s",
		    hosts_url(wait->hosts, wait->index, "/healthz")) == 200);
}

/* Every shard must have an owner before a test breaks something. */
static bool
shards_are_owned(void *ctx)
{
	const hosts_t *hosts = ctx;
	double owned = 0;

	for (unsigned i = 0; i < hosts->params.hosts; i++)
		owned += hosts_metric(hosts, i, "daisypier_shards_owned");
	return (owned >= 64);
}

/* Waits until a host sends callers to itself; aborts after a minute. */
void
hosts_wait_ready(hosts_t *hosts, unsigned index)
{
	ready_wait_t wait = {.hosts = hosts, .index = index};

	if (!harness_wait(host_is_ready, &wait, READY_TIMEOUT_S)) {
		fprintf(stderr, "host-%u did not become ready\n", index);
		abort();
	}
}

/* Starts everything and waits until all hosts are ready. */
void
hosts_start(hosts_t *hosts, const hosts_params_t *params)
{
	if (sodium_init() < 0)
		abort();
	*hosts = (hosts_t){.params = *params};
	hosts->params.hosts = params->hosts > 0 ? params->hosts : 3;
	hosts->params.engines = params->engines > 0 ? params->engines : 3;
	hosts->params.slots = params->slots > 0 ? params->slots : 8;
	hosts->params.token_ms = params->token_ms > 0 ? params->token_ms : 5;
	hosts->params.period_ms =
	    params->period_ms > 0 ? params->period_ms : 200;
	choose_ports(hosts);
	hosts->platform =
	    harness_start("standin-platform", params->platform_args);
	start_endpoints(hosts);
	if (params->proxy)
		start_proxy(hosts);
	put_config(hosts);
	for (unsigned i = 0; i < hosts->params.hosts; i++)
		hosts_start_host(hosts, i);
	for (unsigned i = 0; i < hosts->params.hosts; i++)
		hosts_wait_ready(hosts, i);
	if (!harness_wait(shards_are_owned, hosts, READY_TIMEOUT_S)) {
		fprintf(stderr, "not every shard has an owner\n");
		abort();
	}
}

/* Kills everything that still runs. */
void
hosts_end(hosts_t *hosts)
{
	for (unsigned i = 0; i < hosts->params.hosts; i++)
		harness_kill(hosts->hosts[i]);
	for (unsigned i = 0; i < hosts->params.engines; i++)
		harness_kill(hosts->engines[i]);
	if (hosts->service != NULL)
		harness_kill(hosts->service);
	if (hosts->proxy != NULL)
		harness_kill(hosts->proxy);
	harness_kill(hosts->platform);
}

/* Returns a host's URL of a path, valid until the eighth call after it. */
const char *
hosts_url(const hosts_t *hosts, unsigned index, const char *path)
{
	static char urls[8][256];
	static unsigned next;
	char *url = urls[next++ % 8];

	snprintf(url, sizeof(urls[0]), "http://127.0.0.%u:%u%s",
	    HOST_BASE + index, hosts->http_port, path);
	return (url);
}

static unsigned
host_placed(const hosts_t *hosts, str_t key)
{
	member_t members[HOSTS_MAX] = {0};
	const member_t *picked;

	for (unsigned i = 0; i < hosts->params.hosts; i++) {
		snprintf(
		    members[i].name, sizeof(members[i].name), "host-%u", i);
		snprintf(members[i].address, sizeof(members[i].address),
		    "127.0.0.%u", HOST_BASE + i);
		members[i].ready = true;
	}
	picked = placement_pick(members, hosts->params.hosts, key, NULL);
	return ((unsigned)(picked - members));
}

/* Returns which host owns a job's shard while all hosts are ready. */
unsigned
hosts_owner_of(const hosts_t *hosts, const char *job)
{
	char key[32];

	snprintf(key, sizeof(key), "shard-%u",
	    (unsigned)(str_hash(str_of(job), 0) % 64));
	return (host_placed(hosts, str_of(key)));
}

/* Returns which host admits to the pool while all hosts are ready. */
unsigned
hosts_admitting(const hosts_t *hosts)
{
	return (host_placed(hosts, STR(HOSTS_MODEL)));
}

/* Returns the sum of a number of GET /admin/stats over all engines. */
unsigned
hosts_engines_sum(const hosts_t *hosts, const char *name)
{
	unsigned sum = 0;

	for (unsigned i = 0; i < hosts->params.engines; i++) {
		buf_t stats = {0};
		json_t *object = NULL;

		if (harness_get(&stats, "http://%s/admin/stats",
			harness_address(hosts->engines[i])) == 200)
			object = json_loadb(stats.data, stats.len, 0, NULL);
		if (!json_is_integer(json_object_get(object, name))) {
			fprintf(stderr, "engine-%u tells no %s\n", i, name);
			abort();
		}
		sum +=
		    (unsigned)json_integer_value(json_object_get(object, name));
		json_decref(object);
		buf_free(&stats);
	}
	return (sum);
}

/* Sets a fault of the platform: a path below /admin. */
void
hosts_platform(const hosts_t *hosts, const char *query)
{
	if (harness_post(NULL, (str_t){0}, "http://%s/admin/%s",
		harness_address(hosts->platform), query) != 200) {
		fprintf(stderr, "platform refuses %s\n", query);
		abort();
	}
}

/* Sets a fault between the hosts and one engine. */
void
hosts_fault(const hosts_t *hosts, unsigned engine, const char *query)
{
	if (harness_post(NULL, (str_t){0}, "http://%s/fault?forward=%u&%s",
		hosts->proxy_control, engine, query) != 200) {
		fprintf(stderr, "proxy refuses %s\n", query);
		abort();
	}
}

/* Returns the value of a host's metric; 0 when it cannot be had. */
double
hosts_metric(const hosts_t *hosts, unsigned index, const char *name)
{
	buf_t text = {0};
	str_t rest;
	str_t line;
	double value = 0;

	if (harness_get(&text, "%s", hosts_url(hosts, index, "/metrics")) ==
	    200) {
		rest = str_buf(&text);
		while (str_split(&rest, '\n', &line))
			if (str_has_prefix(line, str_of(name)) &&
			    line.data[strlen(name)] == ' ')
				value = strtod(line.data + strlen(name), NULL);
	}
	buf_free(&text);
	return (value);
}

/* Sends a request of organisation harbour; returns the status, 0 for none. */
int
hosts_post(const hosts_t *hosts, unsigned index, const char *path,
    const char *const *headers, str_t body, double timeout, buf_t *answer)
{
	const char *all[MAX_ARGS] = {"Authorization: Bearer " HOSTS_TOKEN};
	size_t n = 1;
	harness_response_t response = {0};
	int status;

	args_extend(all, &n, headers);
	harness_http(
	    &(harness_request_t){
		.method = "POST",
		.url = hosts_url(hosts, index, path),
		.headers = all,
		.body = body,
		.timeout = timeout,
	    },
	    &response);
	status = response.error == 0 ? response.status : 0;
	if (answer != NULL) {
		buf_clear(answer);
		buf_append(answer, str_buf(&response.body));
	}
	harness_response_free(&response);
	return (status);
}

/* Submits a job to one host; returns the status and, on success, its id. */
int
hosts_submit(const hosts_t *hosts, unsigned index, const char *key, str_t lines,
    char id[64])
{
	char header[128];
	const char *headers[] = {header, NULL};
	buf_t answer = {0};
	json_t *object;
	int status;

	snprintf(header, sizeof(header), "Idempotency-Key: %s", key);
	status =
	    hosts_post(hosts, index, "/v1/jobs", headers, lines, 15, &answer);
	if (status == 200 || status == 201) {
		object = json_loadb(answer.data, answer.len, 0, NULL);
		str_copy(id, 64,
		    str_of(json_string_value(json_object_get(object, "id"))));
		json_decref(object);
	}
	buf_free(&answer);
	return (status);
}

/* Resends a job to one host after the other until it is acknowledged. */
bool
hosts_submit_anywhere(const hosts_t *hosts, const char *key, str_t lines,
    double timeout, char id[64])
{
	double end = clock_monotonic() + timeout;

	for (unsigned i = 0; clock_monotonic() < end; i++) {
		int status = hosts_submit(
		    hosts, i % hosts->params.hosts, key, lines, id);

		if (status == 200 || status == 201)
			return (true);
		harness_sleep(0.1);
	}
	return (false);
}

static int
get_job(const hosts_t *hosts, const char *id, const char *suffix, buf_t *out)
{
	const char *headers[] = {"Authorization: Bearer " HOSTS_TOKEN, NULL};
	char path[160];
	int status = 0;

	snprintf(path, sizeof(path), "/v1/jobs/%s%s", id, suffix);
	for (unsigned i = 0; i < hosts->params.hosts && status != 200; i++) {
		harness_response_t response = {0};

		harness_http(
		    &(harness_request_t){
			.url = hosts_url(hosts, i, path),
			.headers = headers,
			.timeout = 5,
		    },
		    &response);
		status = response.error == 0 ? response.status : 0;
		buf_clear(out);
		buf_append(out, str_buf(&response.body));
		harness_response_free(&response);
	}
	return (status);
}

/* Returns how many items are in a state; -1 when no host answers. */
int
hosts_job_count(const hosts_t *hosts, const char *id, const char *state)
{
	buf_t answer = {0};
	int count = -1;

	if (get_job(hosts, id, "", &answer) == 200) {
		json_t *object = json_loadb(answer.data, answer.len, 0, NULL);

		count = (int)json_integer_value(
		    json_object_get(json_object_get(object, "counts"), state));
		json_decref(object);
	}
	buf_free(&answer);
	return (count);
}

typedef struct job_wait_t {
	const hosts_t *hosts;
	const char *id;
	int at_least;
} job_wait_t;

static bool
job_has_progress(void *ctx)
{
	const job_wait_t *wait = ctx;

	return (hosts_job_count(wait->hosts, wait->id, "succeeded") >=
		wait->at_least);
}

/* Waits until a number of items succeeded. */
bool
hosts_wait_progress(
    const hosts_t *hosts, const char *id, int at_least, double timeout)
{
	job_wait_t wait = {.hosts = hosts, .id = id, .at_least = at_least};

	return (harness_wait(job_has_progress, &wait, timeout));
}

/* Returns a number of an engine's statistics; 0 when it does not answer. */
unsigned
hosts_engine_count(const hosts_t *hosts, unsigned engine, const char *name)
{
	buf_t stats = {0};
	json_t *object;
	unsigned count;

	harness_get(&stats, "http://%s/admin/stats",
	    harness_address(hosts->engines[engine]));
	object =
	    json_loadb(stats.len > 0 ? stats.data : "", stats.len, 0, NULL);
	count = (unsigned)json_integer_value(json_object_get(object, name));
	json_decref(object);
	buf_free(&stats);
	return (count);
}

static bool
job_is_finished(void *ctx)
{
	const job_wait_t *wait = ctx;
	buf_t answer = {0};
	bool finished = get_job(wait->hosts, wait->id, "", &answer) == 200 &&
			strstr(answer.data, "\"state\":\"finished\"") != NULL;

	buf_free(&answer);
	return (finished);
}

/* Waits until every item of a job has an end state. */
bool
hosts_wait_job(const hosts_t *hosts, const char *id, double timeout)
{
	job_wait_t wait = {.hosts = hosts, .id = id};

	return (harness_wait(job_is_finished, &wait, timeout));
}

/* Appends item lines whose prompts are "NAME INDEX". */
void
hosts_job_lines(
    buf_t *lines, const char *name, unsigned count, unsigned max_tokens)
{
	for (unsigned i = 0; i < count; i++)
		buf_printf(lines,
		    "{\"model\":\"" HOSTS_MODEL "\",\"prompt\":\"%s %u\","
		    "\"max_tokens\":%u}\n",
		    name, i, max_tokens);
}

static bool
result_is_right(str_t line, const char *name, unsigned max_tokens, bool *seen,
    unsigned count)
{
	json_t *object = json_loadb(line.data, line.len, 0, NULL);
	json_t *result = json_object_get(object, "result");
	unsigned index =
	    (unsigned)json_integer_value(json_object_get(object, "index"));
	const char *state = json_string_value(json_object_get(object, "state"));
	const char *text = json_string_value(json_object_get(result, "text"));
	char prompt[128];
	buf_t expected = {0};
	bool right = false;

	snprintf(prompt, sizeof(prompt), "%s %u", name, index);
	if (index < count && !seen[index] && state != NULL) {
		seen[index] = true;
		if (standin_prompt_refused(str_of(prompt))) {
			right = strcmp(state, "failed") == 0;
		} else {
			standin_answer(str_of(prompt), max_tokens, &expected);
			right = strcmp(state, "succeeded") == 0 &&
				text != NULL &&
				str_equal(str_of(text), str_buf(&expected));
		}
	}
	if (!right)
		fprintf(stderr, "wrong result: " STR_FMT "\n", STR_ARG(line));
	buf_free(&expected);
	json_decref(object);
	return (right);
}

/*
 * Whether the results hold each item of hosts_job_lines() exactly once with the
 * whole text that the engines give.
 */
bool
hosts_check_results(const hosts_t *hosts, const char *id, const char *name,
    unsigned count, unsigned max_tokens)
{
	buf_t answer = {0};
	bool *seen = xcalloc(count, sizeof(*seen));
	bool right = true;
	unsigned found = 0;

	while (right && found < count) {
		char suffix[64];
		unsigned before = found;
		str_t rest;
		str_t line;

		snprintf(suffix, sizeof(suffix), "/results?from=%u", found);
		if (get_job(hosts, id, suffix, &answer) != 200)
			break;
		rest = str_buf(&answer);
		while (right && str_split(&rest, '\n', &line)) {
			if (line.len == 0)
				continue;
			right = result_is_right(
			    line, name, max_tokens, seen, count);
			found++;
		}
		if (found == before)
			break;
	}
	if (found != count)
		fprintf(stderr, "%u of %u results\n", found, count);
	free(seen);
	buf_free(&answer);
	return (right && found == count);
}
