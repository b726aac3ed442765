/* Stand-in for the platform: the log service and the host list. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "standin_server.h"
#include "standin_streams.h"

#define MAX_RECORD    (16U << 20)
#define DEFAULT_RATE  300
#define DEFAULT_READ  1000
#define EXPIRE_TICK_S 0.25

typedef enum outage_t {
	OUTAGE_NONE,
	OUTAGE_REFUSE, /* answer 503 */
	OUTAGE_HANG,   /* never answer */
} outage_t;

typedef struct platform_t {
	struct ev_loop *loop;
	standin_streams_t *streams;
	json_t *hosts; /* visible list, an array */
	double rate;   /* appends a second; 0: unlimited */
	double tokens; /* appends that are permitted now */
	double tokens_at;
	double retention; /* seconds; 0: none */
	outage_t outage;
	double slow; /* seconds added to every answer of the log */
	unsigned lose_every;
	unsigned late_every;
	double late_by;	   /* seconds */
	uint64_t received; /* appends within the rate, in turn */
	uint64_t appends;
	uint64_t reads;
	uint64_t bytes;
	uint64_t refused;
	uint64_t lost;
	uint64_t late;
	ev_timer expire;
} platform_t;

/* Something that takes effect later: an append or a new host list. */
typedef struct deferred_t {
	platform_t *platform;
	ev_timer timer;
	json_t *hosts; /* NULL: an append */
	char *stream;
	buf_t record;
} deferred_t;

static void
deferred_apply(deferred_t *deferred)
{
	platform_t *platform = deferred->platform;

	if (deferred->hosts != NULL) {
		json_decref(platform->hosts);
		platform->hosts = deferred->hosts;
	} else {
		standin_streams_append(platform->streams,
		    str_of(deferred->stream), str_buf(&deferred->record),
		    clock_monotonic());
		platform->appends++;
		platform->bytes += deferred->record.len;
	}
	free(deferred->stream);
	buf_free(&deferred->record);
	free(deferred);
}

static void
on_deferred(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	deferred_apply(timer->data);
}

static deferred_t *
deferred_new(platform_t *platform)
{
	deferred_t *deferred = xcalloc(1, sizeof(*deferred));

	deferred->platform = platform;
	return (deferred);
}

static void
deferred_start(deferred_t *deferred, double delay)
{
	ev_timer_init(&deferred->timer, on_deferred, delay, 0);
	deferred->timer.data = deferred;
	ev_timer_start(deferred->platform->loop, &deferred->timer);
}

/* Takes one append from the rate; the burst is one second's worth. */
static bool
rate_take(platform_t *platform)
{
	double now = clock_monotonic();

	if (platform->rate <= 0)
		return (true);
	platform->tokens = fmin(fmax(platform->rate, 1),
	    platform->tokens + (now - platform->tokens_at) * platform->rate);
	platform->tokens_at = now;
	if (platform->tokens < 1)
		return (false);
	platform->tokens--;
	return (true);
}

/* The append takes effect on arrival; only its answer is slow. */
static void
handle_append(platform_t *platform, http_request_t *request, str_t stream)
{
	str_t record = http_request_body(request);
	buf_t answer = {0};
	uint64_t offset;

	if (!rate_take(platform)) {
		platform->refused++;
		standin_reply_later(platform->loop, request, platform->slow,
		    429, "text/plain", STR("the append rate is exceeded\n"));
		return;
	}
	platform->received++;
	if (platform->late_every > 0 &&
	    platform->received % platform->late_every == 0) {
		deferred_t *deferred = deferred_new(platform);

		platform->late++;
		deferred->stream = str_dup(stream);
		buf_append(&deferred->record, record);
		deferred_start(deferred, platform->late_by);
		http_request_stream_abort(request);
		return;
	}
	offset = standin_streams_append(
	    platform->streams, stream, record, clock_monotonic());
	platform->appends++;
	platform->bytes += record.len;
	if (platform->lose_every > 0 &&
	    platform->received % platform->lose_every == 0) {
		platform->lost++;
		http_request_stream_abort(request);
		return;
	}
	buf_printf(&answer, "{\"offset\": %llu}", (unsigned long long)offset);
	standin_reply_later(platform->loop, request, platform->slow, 200,
	    "application/json", str_buf(&answer));
	buf_free(&answer);
}

/* The answer shows the stream as of the request's arrival. */
static void
handle_read(platform_t *platform, http_request_t *request, str_t stream)
{
	buf_t answer = {0};
	double from = standin_query_number(request, "from", 1);
	double max = standin_query_number(request, "max", DEFAULT_READ);

	platform->reads++;
	standin_streams_read(platform->streams, stream,
	    from > 1 ? (uint64_t)from : 1, max > 0 ? (uint64_t)max : 0,
	    &answer);
	standin_reply_later(platform->loop, request, platform->slow, 200,
	    "application/msgpack", str_buf(&answer));
	buf_free(&answer);
}

/* Handles /v1/streams/S/records. */
static void
handle_stream(platform_t *platform, http_request_t *request)
{
	str_t stream = str_of(http_request_path(request));
	str_t suffix = STR("/records");

	stream.data += strlen("/v1/streams/");
	stream.len -= strlen("/v1/streams/");
	if (stream.len <= suffix.len ||
	    !str_equal(
		(str_t){stream.data + stream.len - suffix.len, suffix.len},
		suffix)) {
		http_request_reply(
		    request, 404, "text/plain", STR("no such path\n"));
		return;
	}
	stream.len -= suffix.len;
	if (platform->outage == OUTAGE_HANG)
		return;
	if (platform->outage == OUTAGE_REFUSE)
		http_request_reply(
		    request, 503, "text/plain", STR("log service outage\n"));
	else if (strcmp(http_request_method(request), "POST") == 0)
		handle_append(platform, request, stream);
	else
		handle_read(platform, request, stream);
}

static void
admin_outage(platform_t *platform, http_request_t *request)
{
	const char *mode = http_request_query(request, "mode");

	if (standin_query_number(request, "on", 1) == 0)
		platform->outage = OUTAGE_NONE;
	else if (mode != NULL && strcmp(mode, "hang") == 0)
		platform->outage = OUTAGE_HANG;
	else
		platform->outage = OUTAGE_REFUSE;
}

static void
admin_slow(platform_t *platform, http_request_t *request)
{
	platform->slow = standin_query_number(request, "ms", 0) / 1000;
}

static void
admin_lose_answers(platform_t *platform, http_request_t *request)
{
	platform->lose_every =
	    (unsigned)standin_query_number(request, "every", 0);
}

static void
admin_late_appends(platform_t *platform, http_request_t *request)
{
	platform->late_every =
	    (unsigned)standin_query_number(request, "every", 0);
	platform->late_by = standin_query_number(request, "ms", 1000) / 1000;
}

static void
admin_retention(platform_t *platform, http_request_t *request)
{
	platform->retention = standin_query_number(request, "s", 0);
}

static void
admin_expire(platform_t *platform, http_request_t *request)
{
	const char *stream = http_request_query(request, "stream");

	standin_streams_expire(platform->streams, str_of(stream),
	    (uint64_t)standin_query_number(request, "before", 0));
}

static void
admin_rate(platform_t *platform, http_request_t *request)
{
	platform->rate = standin_query_number(request, "per_s", 0);
}

static const struct {
	const char *path;
	void (*apply)(platform_t *platform, http_request_t *request);
} controls[] = {
    {"/admin/outage", admin_outage},
    {"/admin/slow", admin_slow},
    {"/admin/lose_answers", admin_lose_answers},
    {"/admin/late_appends", admin_late_appends},
    {"/admin/retention", admin_retention},
    {"/admin/expire", admin_expire},
    {"/admin/rate", admin_rate},
};

/* Takes the new host list: an array, or an object with "hosts". */
static void
handle_hosts(platform_t *platform, http_request_t *request)
{
	str_t body = http_request_body(request);
	json_t *root =
	    json_loadb(body.data != NULL ? body.data : "", body.len, 0, NULL);
	json_t *hosts =
	    json_is_array(root) ? root : json_object_get(root, "hosts");
	double lag = standin_query_number(request, "lag_ms", 0) / 1000;
	deferred_t *deferred;

	if (!json_is_array(hosts)) {
		json_decref(root);
		http_request_reply(request, 400, "text/plain",
		    STR("the body is not a JSON host list\n"));
		return;
	}
	deferred = deferred_new(platform);
	deferred->hosts = json_incref(hosts);
	json_decref(root);
	if (lag > 0)
		deferred_start(deferred, lag);
	else
		deferred_apply(deferred);
	standin_reply_json(request, 200, json_pack("{s:b}", "ok", 1));
}

static void
handle_stats(platform_t *platform, http_request_t *request)
{
	standin_reply_json(request, 200,
	    json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:o}", "appends",
		(json_int_t)platform->appends, "reads",
		(json_int_t)platform->reads, "bytes",
		(json_int_t)platform->bytes, "refused",
		(json_int_t)platform->refused, "lost",
		(json_int_t)platform->lost, "late", (json_int_t)platform->late,
		"streams", standin_streams_stats(platform->streams)));
}

static void
handle_admin(platform_t *platform, http_request_t *request)
{
	const char *path = http_request_path(request);

	if (standin_is(request, "GET", "/admin/stats")) {
		handle_stats(platform, request);
		return;
	}
	if (strcmp(path, "/admin/hosts") == 0) {
		handle_hosts(platform, request);
		return;
	}
	for (size_t i = 0; i < sizeof(controls) / sizeof(controls[0]); i++) {
		if (!standin_is(request, "POST", controls[i].path))
			continue;
		controls[i].apply(platform, request);
		standin_reply_json(request, 200, json_pack("{s:b}", "ok", 1));
		return;
	}
	http_request_reply(request, 404, "text/plain", STR("no such path\n"));
}

static void
on_request(void *ctx, http_request_t *request)
{
	platform_t *platform = ctx;
	str_t path = str_of(http_request_path(request));

	if (str_has_prefix(path, STR("/v1/streams/")))
		handle_stream(platform, request);
	else if (standin_is(request, "GET", "/v1/hosts"))
		standin_reply_json(
		    request, 200, json_pack("{s:O}", "hosts", platform->hosts));
	else if (str_has_prefix(path, STR("/admin/")))
		handle_admin(platform, request);
	else
		http_request_reply(
		    request, 404, "text/plain", STR("no such path\n"));
}

static void
on_expire(struct ev_loop *loop, ev_timer *timer, int events)
{
	platform_t *platform = timer->data;

	(void)loop;
	(void)events;
	if (platform->retention > 0)
		standin_streams_expire_older(
		    platform->streams, clock_monotonic() - platform->retention);
}

int
main(int argc, char **argv)
{
	static platform_t platform;
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_lit *version = arg_lit0(NULL, "version", "print version");
	struct arg_str *address =
	    arg_str0(NULL, "address", "IP", "address to listen on");
	struct arg_int *port =
	    arg_int0(NULL, "port", "N", "port; 0: the kernel chooses");
	struct arg_dbl *rate =
	    arg_dbl0(NULL, "rate", "N", "appends a second; 0: unlimited");
	struct arg_dbl *retention = arg_dbl0(
	    NULL, "retention", "S", "seconds a record is kept; 0: for ever");
	struct arg_end *end = arg_end(20);
	void *table[] = {help, version, address, port, rate, retention, end};
	int rc;

	address->sval[0] = "127.0.0.1";
	/* argtable leaves the value of an option that is not given undefined.
	 */
	port->ival[0] = 0;
	retention->dval[0] = 0;
	rate->dval[0] = DEFAULT_RATE;
	rc = standin_options_parse("standin-platform", argc, argv, table);
	if (rc >= 0)
		return (rc);
	platform.loop = ev_default_loop(0);
	platform.streams = standin_streams_new();
	platform.hosts = json_array();
	platform.rate = rate->dval[0];
	platform.tokens = platform.rate;
	platform.tokens_at = clock_monotonic();
	platform.retention = retention->dval[0];
	ev_timer_init(
	    &platform.expire, on_expire, EXPIRE_TICK_S, EXPIRE_TICK_S);
	platform.expire.data = &platform;
	ev_timer_start(platform.loop, &platform.expire);
	rc = standin_serve(platform.loop, &(standin_params_t){
					      .name = "standin-platform",
					      .address = address->sval[0],
					      .port = port->ival[0],
					      .max_body = MAX_RECORD,
					      .handler = on_request,
					      .ctx = &platform,
					  });
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return (rc);
}
