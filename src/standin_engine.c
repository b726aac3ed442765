/* Stand-in for a model engine: its HTTP interface; see design section 7.4. */
#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "standin_orders.h"
#include "standin_sequences.h"
#include "standin_server.h"
#include "standin_tokens.h"

#define MAX_BODY	   (4U << 20)
#define DEFAULT_MAX_TOKENS 16
#define MAX_MODELS	   64
/* First bytes of an exported KV cache. */
#define KV_MAGIC "KV1\n"

typedef struct engine_t {
	struct ev_loop *loop;
	standin_cache_t *cache;
	standin_sequences_t *sequences;
	standin_orders_t *orders;
	unsigned slots;
	unsigned fail_every; /* of the completions */
	int fail_status;
	unsigned completions;
	standin_sequences_load_t sampled; /* at the last sample */
	standin_sequences_load_t shown;	  /* one sample older */
	bool lags;
	ev_timer sample;
} engine_t;

static void
reply_error(http_request_t *request, int status, const char *reason)
{
	standin_reply_json(
	    request, status, json_pack("{s:s}", "error", reason));
}

static void
reply_rc(http_request_t *request, int rc, int status)
{
	if (rc == 0)
		standin_reply_json(
		    request, status, json_pack("{s:b}", "ok", 1));
	else if (rc == -ENOENT)
		reply_error(request, 404, "unknown request_id");
	else if (rc == -EEXIST)
		reply_error(request, 409, "the request_id is in use");
	else if (rc == -ESTALE)
		reply_error(request, 409, "the fencing number is too low");
	else
		reply_error(request, 400, "malformed request");
}

/* Returns the request's body as a JSON object, or NULL after a 400. */
static json_t *
request_json(http_request_t *request)
{
	str_t body = http_request_body(request);
	json_t *root =
	    json_loadb(body.data != NULL ? body.data : "", body.len, 0, NULL);

	if (json_is_object(root))
		return (root);
	json_decref(root);
	reply_error(request, 400, "the body is not a JSON object");
	return (NULL);
}

/* Reads a number that is not negative; the fallback for anything else. */
static unsigned
json_unsigned(const json_t *object, const char *name, unsigned fallback)
{
	const json_t *value = json_object_get(object, name);

	if (!json_is_integer(value) || json_integer_value(value) < 0)
		return (fallback);
	return ((unsigned)json_integer_value(value));
}

static void
start_generation(engine_t *engine, http_request_t *request, const json_t *body)
{
	const json_t *text = json_object_get(body, "prompt");
	const char *model = json_string_value(json_object_get(body, "model"));
	standin_sequence_params_t params = {
	    .id = json_string_value(json_object_get(body, "request_id")),
	    .prompt = {json_string_value(text), json_string_length(text)},
	    .max_tokens = json_unsigned(body, "max_tokens", DEFAULT_MAX_TOKENS),
	    .start_index = json_unsigned(body, "start_index", 0),
	    .stream = json_is_true(json_object_get(body, "stream")),
	};
	char id[32]; /* for requests without one, such as daisyload's */
	int rc;

	engine->completions++;
	if (engine->fail_every > 0 &&
	    engine->completions % engine->fail_every == 0) {
		reply_error(request, engine->fail_status, "injected fault");
		return;
	}
	if (params.id == NULL) {
		snprintf(id, sizeof(id), "unnamed-%u", engine->completions);
		params.id = id;
	}
	if (model == NULL || !json_is_string(text)) {
		reply_rc(request, -EINVAL, 0);
		return;
	}
	if (!standin_orders_has_model(engine->orders, model)) {
		reply_error(request, 404, "the model is not loaded");
		return;
	}
	if (standin_prompt_refused(params.prompt)) {
		reply_error(
		    request, 422, "the model can never process this prompt");
		return;
	}
	rc = standin_sequences_start(engine->sequences, &params, request);
	if (rc != 0)
		reply_rc(request, rc, 0);
}

static void
handle_completions(engine_t *engine, http_request_t *request)
{
	json_t *body = request_json(request);

	if (body == NULL)
		return;
	start_generation(engine, request, body);
	json_decref(body);
}

static void
handle_cancel(engine_t *engine, http_request_t *request)
{
	json_t *body = request_json(request);
	const char *id;

	if (body == NULL)
		return;
	id = json_string_value(json_object_get(body, "request_id"));
	reply_rc(request,
	    id != NULL ? standin_sequences_cancel(engine->sequences, id)
		       : -EINVAL,
	    200);
	json_decref(body);
}

static void
handle_resume(engine_t *engine, http_request_t *request)
{
	json_t *body = request_json(request);
	const char *id;
	int rc = -EINVAL;

	if (body == NULL)
		return;
	id = json_string_value(json_object_get(body, "request_id"));
	if (id != NULL)
		rc = standin_sequences_resume(engine->sequences, id,
		    json_unsigned(body, "from", 0), request);
	if (rc != 0)
		reply_rc(request, rc, 0);
	json_decref(body);
}

static void
handle_load(engine_t *engine, http_request_t *request)
{
	standin_sequences_load_t load =
	    engine->lags ? engine->shown
			 : standin_sequences_load(engine->sequences);

	standin_reply_json(request, 200,
	    json_pack("{s:i,s:i,s:i}", "running", (int)load.running, "waiting",
		(int)load.waiting, "slots", (int)engine->slots));
}

static void
handle_cache_events(engine_t *engine, http_request_t *request)
{
	double from = standin_query_number(request, "from", 1);

	standin_reply_json(request, 200,
	    standin_cache_events(engine->cache, from > 0 ? (uint64_t)from : 0,
		ev_now(engine->loop)));
}

static void
handle_state(engine_t *engine, http_request_t *request)
{
	standin_reply_json(request, 200, standin_orders_state(engine->orders));
}

static void
handle_orders(engine_t *engine, http_request_t *request)
{
	json_t *order = request_json(request);

	if (order == NULL)
		return;
	reply_rc(request, standin_orders_apply(engine->orders, order), 202);
	json_decref(order);
}

static void
handle_stats(engine_t *engine, http_request_t *request)
{
	standin_reply_json(
	    request, 200, standin_sequences_stats(engine->sequences));
}

static void
handle_executions(engine_t *engine, http_request_t *request)
{
	standin_reply_json(
	    request, 200, standin_sequences_executions(engine->sequences));
}

static void
handle_order_history(engine_t *engine, http_request_t *request)
{
	standin_reply_json(request, 200,
	    json_pack(
		"{s:o}", "orders", standin_orders_history(engine->orders)));
}

/* Fails every so many completions with a status: ?status=N&every=N. */
static void
handle_fail(engine_t *engine, http_request_t *request)
{
	engine->fail_status = (int)standin_query_number(request, "status", 500);
	engine->fail_every =
	    (unsigned)standin_query_number(request, "every", 0);
	reply_rc(request, 0, 200);
}

/* Injects a fault into event streams: ?mode=NAME&every=N. */
static void
handle_fault(engine_t *engine, http_request_t *request)
{
	static const char *const names[] = {
	    [STANDIN_FAULT_NONE] = "none",
	    [STANDIN_FAULT_FOREIGN] = "foreign",
	    [STANDIN_FAULT_DUPLICATE] = "duplicate",
	    [STANDIN_FAULT_SKIP] = "skip",
	    [STANDIN_FAULT_BREAK] = "break",
	    [STANDIN_FAULT_STALL] = "stall",
	};
	const char *mode = http_request_query(request, "mode");

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (mode == NULL || strcmp(names[i], mode) != 0)
			continue;
		standin_sequences_inject(engine->sequences, (standin_fault_t)i,
		    (unsigned)standin_query_number(request, "every", 1));
		reply_rc(request, 0, 200);
		return;
	}
	reply_rc(request, -EINVAL, 0);
}

/* Exports the cache of a generation, or imports one: /v1/kv/ID. */
static void
handle_kv(engine_t *engine, http_request_t *request)
{
	const char *id = http_request_path(request) + strlen("/v1/kv/");
	str_t body = http_request_body(request);
	str_t magic = STR(KV_MAGIC);
	str_t prompt;
	buf_t blob = {0};

	if (strcmp(http_request_method(request), "PUT") == 0) {
		if (!str_has_prefix(body, magic)) {
			reply_rc(request, -EINVAL, 0);
			return;
		}
		standin_cache_insert(engine->cache,
		    (str_t){body.data + magic.len, body.len - magic.len},
		    ev_now(engine->loop));
		reply_rc(request, 0, 200);
		return;
	}
	if (standin_sequences_prompt(engine->sequences, id, &prompt) != 0) {
		reply_rc(request, -ENOENT, 0);
		return;
	}
	buf_append(&blob, magic);
	buf_append(&blob, prompt);
	http_request_reply(
	    request, 200, "application/octet-stream", str_buf(&blob));
	buf_free(&blob);
}

static const struct {
	const char *method;
	const char *path;
	void (*handle)(engine_t *engine, http_request_t *request);
} routes[] = {
    {"POST", "/v1/completions", handle_completions},
    {"POST", "/v1/cancel", handle_cancel},
    {"POST", "/v1/resume", handle_resume},
    {"GET", "/v1/load", handle_load},
    {"GET", "/v1/cache_events", handle_cache_events},
    {"GET", "/v1/state", handle_state},
    {"POST", "/v1/orders", handle_orders},
    {"GET", "/admin/stats", handle_stats},
    {"GET", "/admin/executions", handle_executions},
    {"GET", "/admin/orders", handle_order_history},
    {"POST", "/admin/fail", handle_fail},
    {"POST", "/admin/fault", handle_fault},
};

static void
on_request(void *ctx, http_request_t *request)
{
	engine_t *engine = ctx;

	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		if (standin_is(request, routes[i].method, routes[i].path)) {
			routes[i].handle(engine, request);
			return;
		}
	}
	if (str_has_prefix(str_of(http_request_path(request)), STR("/v1/kv/")))
		handle_kv(engine, request);
	else
		reply_error(request, 404, "no such path");
}

static void
on_sample(struct ev_loop *loop, ev_timer *timer, int events)
{
	engine_t *engine = timer->data;

	(void)loop;
	(void)events;
	engine->shown = engine->sampled;
	engine->sampled = standin_sequences_load(engine->sequences);
}

typedef struct options_t {
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_str *address;
	struct arg_int *port;
	struct arg_int *slots;
	struct arg_dbl *token_ms;
	struct arg_dbl *slowdown;
	struct arg_dbl *prefill_ms;
	struct arg_int *cache_entries;
	struct arg_str *fencing;
	struct arg_dbl *load_lag_ms;
	struct arg_dbl *load_ms;
	struct arg_str *model;
	struct arg_end *end;
} options_t;

static void
options_init(options_t *options)
{
	*options = (options_t){
	    .help = arg_lit0(NULL, "help", "print this help"),
	    .version = arg_lit0(NULL, "version", "print the version"),
	    .address = arg_str0(NULL, "address", "IP", "address to listen on"),
	    .port = arg_int0(NULL, "port", "N", "0: the kernel chooses"),
	    .slots = arg_int0(NULL, "slots", "N", "requests at a time"),
	    .token_ms = arg_dbl0(NULL, "token-ms", "MS", "time per token"),
	    .slowdown = arg_dbl0(NULL, "batch-slowdown", "PERCENT",
		"time per token added for each other running request"),
	    .prefill_ms = arg_dbl0(NULL, "prefill-ms", "MS",
		"time to the first token when nothing is cached"),
	    .cache_entries = arg_int0(
		NULL, "cache-entries", "N", "prompt blocks of 32 bytes kept"),
	    .fencing = arg_str0(NULL, "fencing", "checked|ignored",
		"treatment of old fencing numbers"),
	    .load_lag_ms = arg_dbl0(NULL, "load-lag-ms", "MS",
		"age of load reports and cache events"),
	    .load_ms = arg_dbl0(NULL, "load-ms", "MS", "time to load a model"),
	    .model = arg_strn(NULL, "model", "NAME[@VERSION]", 0, MAX_MODELS,
		"model that is loaded at the start"),
	    .end = arg_end(20),
	};
	options->address->sval[0] = "127.0.0.1";
	/* argtable leaves the value of an option that is not given undefined.
	 */
	options->port->ival[0] = 0;
	options->slowdown->dval[0] = 0;
	options->slots->ival[0] = 8;
	options->token_ms->dval[0] = 5;
	options->prefill_ms->dval[0] = 20;
	options->cache_entries->ival[0] = 1024;
	options->fencing->sval[0] = "checked";
	options->load_lag_ms->dval[0] = 200;
	options->load_ms->dval[0] = 100;
}

/* Creates the engine's parts as the options say. */
static void
engine_init(engine_t *engine, const options_t *options)
{
	double lag = options->load_lag_ms->dval[0] / 1000;

	engine->loop = ev_default_loop(0);
	engine->slots = (unsigned)options->slots->ival[0];
	engine->cache =
	    standin_cache_new((size_t)options->cache_entries->ival[0], lag);
	engine->sequences = standin_sequences_new(
	    engine->loop, &(standin_sequences_params_t){
			      .slots = engine->slots,
			      .token = options->token_ms->dval[0] / 1000,
			      .slowdown = options->slowdown->dval[0] / 100,
			      .prefill = options->prefill_ms->dval[0] / 1000,
			      .cache = engine->cache,
			  });
	engine->orders = standin_orders_new(engine->loop,
	    strcmp(options->fencing->sval[0], "ignored") != 0,
	    options->load_ms->dval[0] / 1000);
	for (int i = 0; i < options->model->count; i++) {
		str_t rest = str_of(options->model->sval[i]);
		str_t name = {0};
		char model[128];

		str_split(&rest, '@', &name);
		str_copy(model, sizeof(model), name);
		standin_orders_add_model(
		    engine->orders, model, rest.data != NULL ? rest.data : "1");
	}
	engine->lags = lag > 0;
	ev_timer_init(&engine->sample, on_sample, lag, lag);
	engine->sample.data = engine;
	if (engine->lags)
		ev_timer_start(engine->loop, &engine->sample);
}

int
main(int argc, char **argv)
{
	static engine_t engine;
	options_t options;
	int rc;

	options_init(&options);
	rc = standin_options_parse(
	    "standin-engine", argc, argv, (void **)&options);
	if (rc >= 0)
		return (rc);
	engine_init(&engine, &options);
	rc = standin_serve(engine.loop, &(standin_params_t){
					    .name = "standin-engine",
					    .address = options.address->sval[0],
					    .port = options.port->ival[0],
					    .max_body = MAX_BODY,
					    .handler = on_request,
					    .ctx = &engine,
					});
	arg_freetable((void **)&options, sizeof(options) / sizeof(void *));
	return (rc);
}
