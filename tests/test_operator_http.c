/* Tests of the operators' address on two hosts over a log in memory. */
#include "suite.h"

#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "harness_config.h"
#include "httpc.h"
#include "operator_http.h"
#include "require.h"
#include "result.h"

#define HOSTS 2

typedef struct office_t {
	config_test_t fleet;
	httpc_t *httpc;
	httpd_t *httpd[HOSTS];
	audit_t *audit[HOSTS];
	operator_http_t *operators[HOSTS];
	char bootstrap[65];
	unsigned drains;
	int status;
	json_t *body;
	bool done;
} office_t;

static office_t *office;

static bool
on_where(void *ctx, str_t id, buf_t *json)
{
	(void)ctx;
	if (!str_equal(id, STR("r1")))
		return (false);
	buf_printf(json, "{\"endpoint\": \"e1\"}");
	return (true);
}

static void
on_drain(void *ctx)
{
	(void)ctx;
	office->drains++;
}

static void
office_start(office_t *o)
{
	office = o;
	*o = (office_t){0};
	config_test_start(&o->fleet, HOSTS, 71);
	o->httpc = httpc_new(o->fleet.loop);
	config_token_hash(STR("first-token"), o->bootstrap);
	for (size_t i = 0; i < HOSTS; i++) {
		config_test_host_t *host = &o->fleet.hosts[i];

		o->audit[i] = audit_new(&(audit_params_t){
		    .loop = o->fleet.loop,
		    .log = host->log,
		    .membership = host->membership,
		    .min_period = 0.02,
		});
		o->operators[i] = operator_http_new(&(operator_http_params_t){
		    .store = host->store,
		    .membership = host->membership,
		    .peer = host->peer,
		    .audit = o->audit[i],
		    .bootstrap_hash = o->bootstrap,
		    .where = i == 1 ? on_where : NULL,
		    .drain = on_drain,
		});
		REQUIRE(httpd_new(o->fleet.loop,
			    &(httpd_params_t){
				.address = host->address,
				.max_body = 8 << 20,
				.handler = operator_http_handle,
				.ctx = o->operators[i],
			    },
			    &o->httpd[i]) == 0);
	}
	CU_ASSERT(config_test_run(&o->fleet, config_test_is_joined, 5));
}

static void
office_stop(office_t *o)
{
	for (size_t i = 0; i < HOSTS; i++) {
		httpd_delete(o->httpd[i]);
		operator_http_delete(o->operators[i]);
		audit_delete(o->audit[i]);
	}
	httpc_delete(o->httpc);
	json_decref(o->body);
	config_test_stop(&o->fleet);
}

static void
on_done(void *ctx, const http_result_t *result)
{
	office_t *o = ctx;

	o->done = true;
	o->status = result->rc == 0 ? result->status : 0;
	json_decref(o->body);
	o->body = json_loadb(result->body.data, result->body.len, 0, NULL);
}

static bool
is_done(config_test_t *fleet)
{
	(void)fleet;
	return (office->done);
}

/* Makes one request; returns its status. */
static int
ask(office_t *o, size_t host, const char *method, const char *path,
    const char *token, str_t body)
{
	char url[256];
	char header[128];
	const char *headers[] = {header, NULL};

	snprintf(url, sizeof(url), "http://%s:%u%s",
	    o->fleet.hosts[host].address, httpd_port(o->httpd[host]), path);
	snprintf(header, sizeof(header), "Authorization: Bearer %s", token);
	o->done = false;
	http_call_start(o->httpc, &(http_call_params_t){
				      .method = method,
				      .url = url,
				      .headers = headers,
				      .body = body,
				      .timeout = 10,
				      .on_done = on_done,
				      .ctx = o,
				  });
	REQUIRE(config_test_run(&o->fleet, is_done, 12));
	return (o->status);
}

static const char *
text(const office_t *o, const char *key)
{
	const char *value = json_string_value(json_object_get(o->body, key));

	return (value != NULL ? value : "");
}

static json_int_t
number(const office_t *o, const char *key)
{
	return (json_integer_value(json_object_get(o->body, key)));
}

static int
apply(office_t *o, size_t host, const char *token, json_int_t made_from,
    const char *base)
{
	json_t *change = json_pack("{s:I,s:s,s:{s:s}}", "made_from", made_from,
	    "base", base, "overlays", "one", "[fleet]\nsilence_ms = 800\n");
	char *body = json_dumps(change, 0);
	int status = ask(o, host, "POST", "/op/config", token, str_of(body));

	free(body);
	json_decref(change);
	return (status);
}

static void
with_operator(char *base, size_t size, const char *token, const char *more)
{
	char hash[65];

	config_token_hash(str_of(token), hash);
	snprintf(base, size, "[operator ana]\ntoken_hash = %s\n%s", hash, more);
}

/* Guards against strangers, and against the first token after its time. */
static void
test_tokens(void)
{
	office_t o;
	char base[256];

	office_start(&o);
	CU_ASSERT(ask(&o, 0, "GET", "/op/status", "", (str_t){0}) == 401);
	CU_ASSERT(ask(&o, 0, "GET", "/op/status", "x", (str_t){0}) == 401);
	CU_ASSERT(
	    ask(&o, 0, "GET", "/op/status", "first-token", (str_t){0}) == 200);
	with_operator(base, sizeof(base), "ana-token", "");
	CU_ASSERT(apply(&o, 0, "first-token", 0, base) == 200);
	CU_ASSERT_STRING_EQUAL(text(&o, "outcome"), "accepted");
	CU_ASSERT(config_test_run(&o.fleet, config_test_has_newest, 5));
	CU_ASSERT(
	    ask(&o, 0, "GET", "/op/status", "first-token", (str_t){0}) == 401);
	CU_ASSERT(
	    ask(&o, 1, "GET", "/op/status", "ana-token", (str_t){0}) == 200);
	CU_ASSERT(
	    ask(&o, 1, "POST", "/op/status", "ana-token", (str_t){0}) == 405);
	CU_ASSERT(ask(&o, 1, "GET", "/op/x", "ana-token", (str_t){0}) == 404);
	office_stop(&o);
}

/* Guards against a wrong report of what became of a change. */
static void
test_configuration(void)
{
	office_t o;
	char base[256];
	char token[64];
	json_int_t version;

	office_start(&o);
	with_operator(base, sizeof(base), "ana-token", "");
	CU_ASSERT(apply(&o, 0, "first-token", 0, base) == 200);
	version = number(&o, "version");
	snprintf(token, sizeof(token), "/op/config/settle?token=%s",
	    text(&o, "token"));
	CU_ASSERT(config_test_run(&o.fleet, config_test_has_newest, 5));
	CU_ASSERT(ask(&o, 1, "POST", token, "ana-token", (str_t){0}) == 200);
	CU_ASSERT_STRING_EQUAL(text(&o, "outcome"), "accepted");
	CU_ASSERT(number(&o, "version") == version);
	CU_ASSERT(apply(&o, 1, "ana-token", 0, base) == 409);
	CU_ASSERT_STRING_EQUAL(text(&o, "outcome"), "superseded");
	CU_ASSERT_STRING_EQUAL(text(&o, "by"), "bootstrap");
	with_operator(base, sizeof(base), "ana-token", "[fleet]\nx = 1\n");
	CU_ASSERT(apply(&o, 1, "ana-token", version, base) == 422);
	CU_ASSERT(json_integer_value(json_object_get(
		      json_array_get(json_object_get(o.body, "faults"), 0),
		      "line")) == 4);
	CU_ASSERT(
	    ask(&o, 1, "POST", "/op/config", "ana-token", STR("{}")) == 400);
	CU_ASSERT(
	    ask(&o, 1, "GET", "/op/config", "ana-token", (str_t){0}) == 200);
	CU_ASSERT(number(&o, "version") == version);
	CU_ASSERT_STRING_EQUAL(text(&o, "author"), "bootstrap");
	CU_ASSERT(strstr(text(&o, "base"), "[operator ana]") != NULL);
	CU_ASSERT(ask(&o, 1, "GET", "/op/config/history", "ana-token",
		      (str_t){0}) == 200);
	CU_ASSERT(json_array_size(json_object_get(o.body, "records")) == 1);
	log_memory_set_faults(o.fleet.log, &(log_faults_t){.outage = true});
	with_operator(base, sizeof(base), "ana-token", "");
	CU_ASSERT(apply(&o, 1, "ana-token", version, base) == 503);
	CU_ASSERT_STRING_EQUAL(text(&o, "outcome"), "not_recorded");
	office_stop(&o);
}

/* Guards against a lagging host that is not reported. */
static void
test_status(void)
{
	office_t o;
	char base[256];
	json_t *hosts;

	office_start(&o);
	with_operator(base, sizeof(base), "ana-token", "");
	CU_ASSERT(apply(&o, 0, "first-token", 0, base) == 200);
	CU_ASSERT(config_test_run(&o.fleet, config_test_has_newest, 5));
	config_test_run(&o.fleet, NULL, 0.3);
	CU_ASSERT(
	    ask(&o, 0, "GET", "/op/status", "ana-token", (str_t){0}) == 200);
	CU_ASSERT(json_array_size(json_object_get(o.body, "hosts")) == 2);
	membership_set_config_version(o.fleet.hosts[1].membership, 1000);
	config_test_run(&o.fleet, NULL, 0.5);
	CU_ASSERT(
	    ask(&o, 1, "GET", "/op/status", "ana-token", (str_t){0}) == 503);
	CU_ASSERT(number(&o, "lagging") == 1);
	hosts = json_object_get(o.body, "hosts");
	CU_ASSERT(
	    json_is_true(json_object_get(json_array_get(hosts, 0), "lags")));
	CU_ASSERT(
	    ask(&o, 0, "GET", "/op/members", "ana-token", (str_t){0}) == 200);
	CU_ASSERT(json_array_size(json_object_get(o.body, "members")) == 2);
	office_stop(&o);
}

/* Guards against a request that is found only on the host that is asked. */
static void
test_where_audit_and_drain(void)
{
	office_t o;
	char base[256];

	office_start(&o);
	with_operator(base, sizeof(base), "ana-token", "");
	CU_ASSERT(apply(&o, 0, "first-token", 0, base) == 200);
	CU_ASSERT(config_test_run(&o.fleet, config_test_has_newest, 5));
	CU_ASSERT(ask(&o, 0, "GET", "/op/where?id=r1", "ana-token",
		      (str_t){0}) == 200);
	CU_ASSERT(json_array_size(json_object_get(o.body, "found")) == 1);
	CU_ASSERT_STRING_EQUAL(
	    json_string_value(json_object_get(
		json_array_get(json_object_get(o.body, "found"), 0), "host")),
	    "host-1");
	CU_ASSERT(ask(&o, 0, "GET", "/op/where?id=r2", "ana-token",
		      (str_t){0}) == 404);
	CU_ASSERT(
	    ask(&o, 0, "GET", "/op/where", "ana-token", (str_t){0}) == 400);
	CU_ASSERT(
	    ask(&o, 1, "POST", "/op/drain", "ana-token", (str_t){0}) == 202);
	CU_ASSERT(o.drains == 1);
	config_test_run(&o.fleet, NULL, 0.2);
	CU_ASSERT(
	    ask(&o, 0, "GET", "/op/audit", "ana-token", (str_t){0}) == 200);
	CU_ASSERT(json_array_size(json_object_get(o.body, "entries")) == 2);
	CU_ASSERT(ask(&o, 0, "GET", "/op/audit?subject=host-1", "ana-token",
		      (str_t){0}) == 200);
	CU_ASSERT(json_array_size(json_object_get(o.body, "entries")) == 1);
	office_stop(&o);
}

static const suite_test_t tests[] = {
    {"tokens", test_tokens},
    {"configuration", test_configuration},
    {"status", test_status},
    {"where, audit and drain", test_where_audit_and_drain},
};

SUITE_MAIN("operator_http", tests)
