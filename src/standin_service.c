/* Stand-in for a plain service: counts executions by request key. */
#include <stdlib.h>

#include "standin_server.h"

#define MAX_BODY (4U << 20)

typedef struct service_t {
	struct ev_loop *loop;
	double work;	    /* seconds */
	json_t *executions; /* key: count */
} service_t;

/* The execution counts on arrival; the answer takes the work time. */
static void
handle_call(service_t *service, http_request_t *request)
{
	const char *key = http_request_header(request, "X-Request-Key");
	str_t body = http_request_body(request);
	json_t *echo = json_loadb(body.data != NULL ? body.data : "", body.len,
	    JSON_DECODE_ANY, NULL);
	json_t *answer;
	json_int_t count;
	char *text;

	if (key == NULL || echo == NULL) {
		json_decref(echo);
		http_request_reply(request, 400, "text/plain",
		    STR("X-Request-Key and a JSON body are required\n"));
		return;
	}
	count =
	    json_integer_value(json_object_get(service->executions, key)) + 1;
	json_object_set_new(service->executions, key, json_integer(count));
	answer = json_pack(
	    "{s:s,s:o,s:I}", "key", key, "request", echo, "execution", count);
	text = json_dumps(answer, JSON_COMPACT);
	standin_reply_later(service->loop, request, service->work, 200,
	    "application/json", str_of(text));
	free(text);
	json_decref(answer);
}

static void
on_request(void *ctx, http_request_t *request)
{
	service_t *service = ctx;

	if (standin_is(request, "POST", "/call"))
		handle_call(service, request);
	else if (standin_is(request, "GET", "/admin/executions"))
		standin_reply_json(
		    request, 200, json_incref(service->executions));
	else
		http_request_reply(
		    request, 404, "text/plain", STR("no such path\n"));
}

int
main(int argc, char **argv)
{
	static service_t service;
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_lit *version = arg_lit0(NULL, "version", "print version");
	struct arg_str *address =
	    arg_str0(NULL, "address", "IP", "address to listen on");
	struct arg_int *port =
	    arg_int0(NULL, "port", "N", "port; 0: the kernel chooses");
	struct arg_dbl *work =
	    arg_dbl0(NULL, "work-ms", "MS", "time that a call takes");
	struct arg_end *end = arg_end(20);
	void *table[] = {help, version, address, port, work, end};
	int rc;

	address->sval[0] = "127.0.0.1";
	/* argtable leaves the value of an option that is not given undefined.
	 */
	port->ival[0] = 0;
	work->dval[0] = 0;
	rc = standin_options_parse("standin-service", argc, argv, table);
	if (rc >= 0)
		return (rc);
	service.loop = ev_default_loop(0);
	service.work = work->dval[0] / 1000;
	service.executions = json_object();
	rc = standin_serve(service.loop, &(standin_params_t){
					     .name = "standin-service",
					     .address = address->sval[0],
					     .port = port->ival[0],
					     .max_body = MAX_BODY,
					     .handler = on_request,
					     .ctx = &service,
					 });
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return (rc);
}
