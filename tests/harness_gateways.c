/* A fleet of gateway hosts with stand-ins of the users' store and engines. */
#include "harness_gateways.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include <jansson.h>
#include <sodium.h>

#include "clock.h"
#include "harness_port.h"

#define STORE_ADDRESS	"127.0.0.1"
#define READY_TIMEOUT_S 20

/* Address by which hosts reach the store or an engine through the proxy. */
static void
proxy_address(unsigned forward, char *out, size_t size)
{
	snprintf(out, size, "127.0.0.%u", 221 + forward);
}

static void
host_address(unsigned host, char *out, size_t size)
{
	snprintf(out, size, "127.0.0.%u", 21 + host);
}

static void
engine_address(unsigned engine, char *out, size_t size)
{
	snprintf(out, size, "127.0.0.%u", 121 + engine);
}

static const char *
zone_of(unsigned i)
{
	return (i % 2 == 0 ? "east" : "west");
}

/* Writes "http://IP:PORT" of a host's callers' interface. */
void
gateways_caller_url(
    const gateways_t *fleet, unsigned host, char *out, size_t size)
{
	char ip[32];

	host_address(host, ip, sizeof(ip));
	snprintf(out, size, "http://%s:%u", ip, fleet->callers_port);
}

/* Writes "IP:PORT" by which hosts reach the store. */
static void
store_address(const gateways_t *fleet, char *out, size_t size)
{
	char ip[32];

	proxy_address(0, ip, sizeof(ip));
	if (fleet->proxy != NULL)
		snprintf(out, size, "%s:%u", ip, fleet->proxy_port);
	else
		snprintf(out, size, "%s", harness_address(fleet->store));
}

/* Starts a host that is not running. */
void
gateways_start_host(gateways_t *fleet, unsigned host)
{
	char ip[32];
	char name[32];
	char store[64];
	char path[512];
	char text[1400];
	struct rlimit own;
	struct rlimit limited;

	host_address(host, ip, sizeof(ip));
	store_address(fleet, store, sizeof(store));
	snprintf(name, sizeof(name), "host-%u", host);
	snprintf(text, sizeof(text),
	    "[gateway]\nname = %s\naddress = %s\nzone = %s\nsite = here\n"
	    "store = http://%s\ncallers = %s:%u\nreadiness = %s:%u\n"
	    "directory = %s:%u\npeer_port = %u\nperiod_ms = 200\n"
	    "key = a-key-for-tests-only\nkeep_s = 0.5\nstop_s = 4\n"
	    "revoke_ms = %u\n%s%s",
	    name, ip, zone_of(host), store, ip, fleet->callers_port, ip,
	    fleet->readiness_port, ip, fleet->directory_port,
	    fleet->params.peer_ports != NULL ? fleet->params.peer_ports[host]
					     : fleet->peer_port,
	    fleet->params.revoke_ms,
	    fleet->params.fair_scheduling
		? "fair_scheduling = yes\nmeasured_speed = yes\n"
		: "",
	    fleet->params.settings != NULL ? fleet->params.settings : "");
	harness_write_file(name, text, path, sizeof(path));
	getrlimit(RLIMIT_NOFILE, &own);
	limited = own;
	if (fleet->params.descriptors > 0)
		limited.rlim_cur = fleet->params.descriptors;
	/* The host inherits the limit. */
	setrlimit(RLIMIT_NOFILE, &limited);
	fleet->hosts[host] = harness_start("daisypier-gateway",
	    (const char *const[]){"--settings", path, NULL});
	setrlimit(RLIMIT_NOFILE, &own);
	if (fleet->params.logs != NULL && fleet->hosts[host] != NULL) {
		snprintf(
		    path, sizeof(path), "%s/%s.log", fleet->params.logs, name);
		harness_drain(fleet->hosts[host], path);
	}
}

/* Starts an engine that is not running, under a new id. */
void
gateways_start_engine(gateways_t *fleet, unsigned engine)
{
	char ip[32];
	char id[256];
	char port[16];
	char slots[16];
	char event[16];
	char store[96];
	char proxy[32];
	char advertise[64];
	const char *args[32] = {NULL};
	size_t count = 0;

	engine_address(engine, ip, sizeof(ip));
	proxy_address(engine + 1, proxy, sizeof(proxy));
	snprintf(advertise, sizeof(advertise), "%s:%u",
	    fleet->proxy != NULL ? proxy : ip,
	    fleet->proxy != NULL ? fleet->proxy_port : fleet->engine_port);
	snprintf(id, sizeof(id), "%s%u-%u", fleet->params.engine_prefix, engine,
	    fleet->engine_starts[engine]++);
	snprintf(port, sizeof(port), "%u", fleet->engine_port);
	snprintf(slots, sizeof(slots), "%u", fleet->params.slots);
	snprintf(event, sizeof(event), "%u", fleet->params.event_ms);
	snprintf(
	    store, sizeof(store), "http://%s", harness_address(fleet->store));
	const char *const fixed[] = {"--address", ip, "--port", port, "--store",
	    store, "--service", fleet->params.service, "--zone",
	    zone_of(engine), "--id", id, "--slots", slots, "--event-ms", event,
	    "--advertise", advertise};

	for (; count < sizeof(fixed) / sizeof(fixed[0]); count++)
		args[count] = fixed[count];
	if (fleet->params.journal != NULL) {
		args[count++] = "--journal";
		args[count++] = fleet->params.journal;
	}
	if (fleet->params.org_journal != NULL) {
		args[count++] = "--org-journal";
		args[count++] = fleet->params.org_journal;
	}
	if (fleet->params.crash_part != NULL) {
		args[count++] = "--crash-part";
		args[count++] = fleet->params.crash_part;
	}
	if (fleet->params.crash_prompt != NULL) {
		args[count++] = "--crash-prompt";
		args[count++] = fleet->params.crash_prompt;
	}
	if (fleet->params.crash_early)
		args[count++] = "--crash-early";
	fleet->engines[engine] = harness_start("standin-users-engine", args);
}

/* Starts the engines again that ended at least delay seconds ago. */
void
gateways_restart_engines(gateways_t *fleet, double delay)
{
	double now = clock_monotonic();

	for (unsigned i = 0; i < fleet->params.engines; i++) {
		if (fleet->engines[i] == NULL ||
		    harness_wait_exit(fleet->engines[i], 0) < 0)
			continue;
		if (fleet->engine_ended_at[i] <= 0)
			fleet->engine_ended_at[i] = now;
		if (now - fleet->engine_ended_at[i] < delay)
			continue;
		fleet->engine_ended_at[i] = 0;
		gateways_start_engine(fleet, i);
	}
}

static void
put_record(buf_t *out, const char *key, const char *value)
{
	size_t len = 1 + strlen(key) + strlen(value);

	for (int shift = 24; shift >= 0; shift -= 8)
		buf_append_char(out, (char)(len >> shift));
	buf_append_char(out, (char)strlen(key));
	buf_append(out, str_of(key));
	buf_append(out, str_of(value));
}

/*
 * Writes the next configuration; extra_routes may be empty. Returns whether the
 * store has confirmed it.
 */
bool
gateways_configure(gateways_t *fleet, const char *extra_routes)
{
	static const char idle_service[] =
	    "{\"name\":\"" GATEWAYS_IDLE_SERVICE "\",\"max-connections\":250,"
	    "\"engine\":{\"slots\":8,\"kv-capacity\":100000}},";
	static const char idle_route[] =
	    "{\"name\":\"idle\",\"path-prefix\":\"" GATEWAYS_IDLE "\","
	    "\"host\":\"" GATEWAYS_HOST
	    "\",\"service\":\"" GATEWAYS_IDLE_SERVICE
	    "\",\"type\":\"batch\",\"max-attempts\":3,\"resumable\":true,"
	    "\"timeout-ms\":5000,\"target-latency-ms\":300,\"priority\":0,"
	    "\"completion-window-ms\":18000,\"retention-s\":60},";
	buf_t common = {0};
	buf_t text = {0};
	buf_t body = {0};
	harness_response_t response;
	char url[160];
	bool confirmed;

	fleet->config_version += 3;
	buf_printf(&common,
	    "\"host\":\"" GATEWAYS_HOST "\",\"service\":\"%s\","
	    "\"timeout-ms\":5000,\"target-latency-ms\":300,\"priority\":0,"
	    "\"sticky\":true,\"gap-aim-ms\":500",
	    fleet->params.service);
	buf_printf(&text,
	    "{\"version\":%llu,\"services\":[%s{\"name\":\"%s\","
	    "\"max-connections\":250,\"engine\":{\"slots\":8,"
	    "\"kv-capacity\":100000}}],\"routes\":[%s"
	    "{\"name\":\"once\",\"path-prefix\":\"/once/\",\"type\":\"stream\","
	    "\"max-attempts\":1,\"resumable\":false,%s},"
	    "{\"name\":\"resume\",\"path-prefix\":\"/resume/\","
	    "\"type\":\"stream\",\"max-attempts\":4,\"resumable\":true,%s},"
	    "{\"name\":\"jobs\",\"path-prefix\":\"/jobs/\",\"type\":\"batch\","
	    "\"max-attempts\":3,\"resumable\":true,"
	    "\"completion-window-ms\":18000,\"retention-s\":60,%s}%s]%s%s}",
	    (unsigned long long)fleet->config_version,
	    fleet->params.idle_service ? idle_service : "",
	    fleet->params.service, fleet->params.idle_service ? idle_route : "",
	    common.data, common.data, common.data, extra_routes,
	    fleet->params.tenants != NULL ? ",\"tenants\":" : "",
	    fleet->params.tenants != NULL ? fleet->params.tenants : "");
	put_record(&body, "config", text.data);
	snprintf(url, sizeof(url),
	    "http://%s/-/log-append?topic=keyed.op&part=0",
	    harness_address(fleet->store));
	harness_http(
	    &(harness_request_t){
		.method = "POST",
		.url = url,
		.body = str_buf(&body),
		.timeout = fleet->params.configure_timeout,
	    },
	    &response);
	confirmed = response.error == 0 && response.status == 200;
	harness_response_free(&response);
	buf_free(&common);
	buf_free(&text);
	buf_free(&body);
	return (confirmed);
}

/* Writes a record of the store; an empty value removes the key. */
void
gateways_record(
    gateways_t *fleet, const char *topic, const char *key, const char *value)
{
	buf_t body = {0};

	put_record(&body, key, value);
	harness_post(NULL, str_buf(&body),
	    "http://%s/-/log-append?topic=%s&part=0",
	    harness_address(fleet->store), topic);
	buf_free(&body);
}

/* Writes the entry of an engine that the caller runs itself. */
void
gateways_register(
    gateways_t *fleet, const char *id, const char *address, unsigned slots)
{
	char text[512];

	snprintf(text, sizeof(text),
	    "{\"service\":\"m\",\"address\":\"%s\",\"zone\":\"east\","
	    "\"version\":\"v1\",\"slots\":%u,\"state\":\"ready\","
	    "\"warmup-left-ms\":0,\"seq\":1,\"born\":%llu}",
	    address, slots, (unsigned long long)(clock_wall() * 1e3));
	gateways_record(fleet, "keyed.servers", id, text);
}

/* Removes the entry of an engine. */
void
gateways_unregister(gateways_t *fleet, const char *id)
{
	gateways_record(fleet, "keyed.servers", id, "");
}

/* Sets the faults of the store; an empty query ends them. */
void
gateways_store_faults(gateways_t *fleet, const char *query)
{
	harness_post(NULL, (str_t){0}, "http://%s/admin/faults?%s",
	    harness_address(fleet->store), query);
}

/* Sets a fault of the proxy. */
void
gateways_proxy_fault(gateways_t *fleet, const char *query)
{
	harness_post(NULL, (str_t){0}, "http://%s/fault?%s",
	    harness_address(fleet->proxy), query);
}

/* Sets the faults of an engine; an empty query ends them. */
void
gateways_engine_faults(gateways_t *fleet, unsigned engine, const char *query)
{
	harness_post(NULL, (str_t){0}, "http://%s/admin/faults?%s",
	    harness_address(fleet->engines[engine]), query);
}

static unsigned
field(json_t *row, size_t index)
{
	return ((unsigned)json_integer_value(json_array_get(row, index)));
}

/* Writes the header with the fleet's key; returns NULL without a key. */
const char *
gateways_key_header(const gateways_t *fleet, char *out, size_t size)
{
	if (fleet->params.key == NULL)
		return (NULL);
	snprintf(out, size, "Authorization: Bearer %s", fleet->params.key);
	return (out);
}

/* Returns what the running engines did for a request. */
gateways_runs_t
gateways_runs(gateways_t *fleet, const char *id)
{
	gateways_runs_t total = {0};

	for (unsigned i = 0; i < fleet->params.engines; i++) {
		buf_t body = {0};
		json_t *root;
		json_t *row;

		if (fleet->engines[i] == NULL)
			continue;
		harness_get(&body, "http://%s/admin/runs",
		    harness_address(fleet->engines[i]));
		root = json_loadb(body.data, body.len, 0, NULL);
		row = json_object_get(root, id);
		total.runs += field(row, 0);
		total.complete += field(row, 1);
		total.working |= json_is_true(json_array_get(row, 2));
		total.resumed += field(row, 3);
		total.keys += field(row, 4);
		total.org_names += field(row, 5);
		if (field(row, 5) > 0)
			str_copy(total.org, sizeof(total.org),
			    str_of(json_string_value(json_array_get(row, 6))));
		json_decref(root);
		buf_free(&body);
	}
	return (total);
}

typedef struct ready_wait_t {
	const gateways_t *fleet;
	unsigned host;
} ready_wait_t;

static bool
is_ready(void *ctx)
{
	const ready_wait_t *wait = ctx;
	char ip[32];

	host_address(wait->host, ip, sizeof(ip));
	return (harness_get(NULL, "http://%s:%u/-/ready", ip,
		    wait->fleet->readiness_port) == 200);
}

/* Waits until a host says that it is ready. */
bool
gateways_wait_ready(gateways_t *fleet, unsigned host)
{
	ready_wait_t wait = {fleet, host};

	return (harness_wait(is_ready, &wait, READY_TIMEOUT_S));
}

static void
start_proxy(gateways_t *fleet)
{
	char ips[GATEWAYS_MAX_ENGINES + 1][32];
	const char *addresses[GATEWAYS_MAX_ENGINES + 1];
	char forwards[GATEWAYS_MAX_ENGINES + 1][512];
	const char *args[2 * (GATEWAYS_MAX_ENGINES + 1) + 1] = {NULL};

	for (unsigned i = 0; i <= fleet->params.engines; i++) {
		proxy_address(i, ips[i], sizeof(ips[i]));
		addresses[i] = ips[i];
	}
	fleet->proxy_port =
	    harness_port_reserve(addresses, fleet->params.engines + 1);
	for (unsigned i = 0; i <= fleet->params.engines; i++) {
		char target[64];

		if (i == 0) {
			snprintf(target, sizeof(target), "%s",
			    harness_address(fleet->store));
		} else {
			char ip[32];

			engine_address(i - 1, ip, sizeof(ip));
			snprintf(target, sizeof(target), "%s:%u", ip,
			    fleet->engine_port);
		}
		snprintf(forwards[i], sizeof(forwards[i]), "%s:%u=%s", ips[i],
		    fleet->proxy_port, target);
		args[i * 2] = "--forward";
		args[i * 2 + 1] = forwards[i];
	}
	fleet->proxy = harness_start("faultproxy", args);
}

/* Starts the whole fleet and waits until every host is ready. */
void
gateways_start(gateways_t *fleet, const gateways_params_t *params)
{
	static const char *const host_ips[] = {"127.0.0.21", "127.0.0.22",
	    "127.0.0.23", "127.0.0.24", "127.0.0.25", "127.0.0.26",
	    "127.0.0.27", "127.0.0.28"};
	static const char *const engine_ips[] = {"127.0.0.121", "127.0.0.122",
	    "127.0.0.123", "127.0.0.124", "127.0.0.125", "127.0.0.126",
	    "127.0.0.127", "127.0.0.128"};

	*fleet = (gateways_t){.params = *params};
	if (fleet->params.hosts == 0)
		fleet->params.hosts = 3;
	if (fleet->params.engines == 0)
		fleet->params.engines = 2;
	if (fleet->params.slots == 0)
		fleet->params.slots = 8;
	if (fleet->params.service == NULL)
		fleet->params.service = "m";
	if (fleet->params.engine_prefix == NULL)
		fleet->params.engine_prefix = "e";
	if (fleet->params.event_ms == 0)
		fleet->params.event_ms = 10;
	fleet->callers_port =
	    harness_port_reserve(host_ips, GATEWAYS_MAX_HOSTS);
	fleet->readiness_port =
	    harness_port_reserve(host_ips, GATEWAYS_MAX_HOSTS);
	fleet->directory_port =
	    harness_port_reserve(host_ips, GATEWAYS_MAX_HOSTS);
	fleet->peer_port = harness_port_reserve(host_ips, GATEWAYS_MAX_HOSTS);
	fleet->engine_port =
	    harness_port_reserve(engine_ips, GATEWAYS_MAX_ENGINES);
	fleet->store = harness_start("standin-users-store",
	    (const char *const[]){"--address", STORE_ADDRESS, NULL});
	if (fleet->params.proxied)
		start_proxy(fleet);
	gateways_configure(fleet, "");
	for (unsigned i = 0; i < fleet->params.engines; i++)
		gateways_start_engine(fleet, i);
	for (unsigned i = 0; i < fleet->params.hosts; i++)
		gateways_start_host(fleet, i);
	for (unsigned i = 0; i < fleet->params.hosts; i++)
		gateways_wait_ready(fleet, i);
	/* Engines write their entries after their ready line. */
	harness_sleep(1);
}

static void
stop(harness_process_t **process)
{
	if (*process != NULL)
		harness_kill(*process);
	*process = NULL;
}

/* Kills all processes of the fleet. */
void
gateways_end(gateways_t *fleet)
{
	for (unsigned i = 0; i < fleet->params.hosts; i++)
		stop(&fleet->hosts[i]);
	for (unsigned i = 0; i < fleet->params.engines; i++)
		stop(&fleet->engines[i]);
	stop(&fleet->proxy);
	stop(&fleet->store);
}

/*
 * Returns whether a body holds exactly the events of a request; begins_right is
 * set if it holds the first of their bytes.
 */
static bool
events_are_right(
    str_t body, const char *id, unsigned events, bool *begins_right)
{
	buf_t expected = {0};
	bool right;

	for (unsigned i = 0; i < events; i++)
		buf_printf(&expected, "id: %u\ndata: %s.%u\n\n", i, id, i);
	right = str_equal(body, str_buf(&expected));
	*begins_right = str_has_prefix(str_buf(&expected), body);
	buf_free(&expected);
	return (right);
}

/* Whether a signature is an endpoint's for a request: "ENDPOINT.ID". */
static bool
is_signature(const char *signature, const char *id)
{
	const char *dot = signature != NULL ? strchr(signature, '.') : NULL;

	return (dot != NULL && strcmp(dot + 1, id) == 0);
}

/* Requests a stream without shared parts in its prompt; checks the response. */
gateways_stream_t
gateways_stream(gateways_t *fleet, unsigned host, const char *prefix,
    const char *id, unsigned events, double timeout)
{
	return (gateways_stream_prompt(
	    fleet, host, prefix, id, "1:100", events, timeout));
}

/*
 * Requests a stream from one host and checks the response. prompt lists the
 * parts of its prompt, "HEX:TOKENS,...", of which the last one is its own.
 */
gateways_stream_t
gateways_stream_prompt(gateways_t *fleet, unsigned host, const char *prefix,
    const char *id, const char *prompt, unsigned events, double timeout)
{
	buf_t parts = {0};
	gateways_stream_t result = {.retry_after = -1};
	harness_response_t response;
	char base[64];
	char url[160];
	char id_header[160];
	char tokens[96];
	char patience[96];
	char key[160];
	char *signature;
	char *retry;

	gateways_caller_url(fleet, host, base, sizeof(base));
	snprintf(url, sizeof(url), "%s%s%s", base, prefix, id);
	snprintf(
	    id_header, sizeof(id_header), "X-Daisypier-Request-Id: %s", id);
	snprintf(tokens, sizeof(tokens), "X-Daisypier-Token-Usage: 100,%u",
	    events * GATEWAYS_EVENT_TOKENS);
	snprintf(patience, sizeof(patience), "X-Daisypier-Deadline-Ms: %.0f",
	    timeout * 1000);
	buf_printf(&parts, "X-Daisypier-Prompt-Prefix: %s", prompt);
	harness_http(
	    &(harness_request_t){
		.method = "POST",
		.url = url,
		.headers = (const char *const[]){GATEWAYS_HOST_HEADER,
		    id_header, tokens, patience, parts.data, "Expect:",
		    gateways_key_header(fleet, key, sizeof(key)), NULL},
		.body = STR("prompt"),
		.timeout = timeout,
	    },
	    &response);
	buf_free(&parts);
	result.whole = response.error == 0 && response.status != 0;
	result.status = response.status;
	result.right = events_are_right(str_buf(&response.body), id, events,
			   &result.begins_right) &&
		       response.status == 200;
	result.has_events =
	    str_has_prefix(str_buf(&response.body), STR("id: 0"));
	signature = harness_header(&response, "X-Daisypier-Response-Signature");
	result.is_signed = is_signature(signature, id);
	result.engine = -1;
	if (result.is_signed)
		result.engine =
		    atoi(signature + strlen(fleet->params.engine_prefix));
	free(signature);
	retry = harness_header(&response, "Retry-After");
	if (retry != NULL)
		result.retry_after = strtod(retry, NULL);
	free(retry);
	harness_response_free(&response);
	return (result);
}
