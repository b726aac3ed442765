/* TCP and UDP proxy that injects faults on command. */
#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "standin_server.h"
#include "standin_tcp.h"
#include "standin_udp.h"

#define MAX_FORWARDS 256
#define MAX_BODY     4096

/* Exactly one of the two is set. */
typedef struct forward_t {
	tcp_forward_t *tcp;
	udp_forward_t *udp;
} forward_t;

typedef struct proxy_t {
	struct ev_loop *loop;
	forward_t forwards[2 * MAX_FORWARDS]; /* TCP first, in option order */
	size_t count;
} proxy_t;

static int
forward_set_fault(forward_t *forward, link_fault_t fault)
{
	if (forward->tcp != NULL)
		return (tcp_forward_set_fault(forward->tcp, fault));
	udp_forward_set_fault(forward->udp, fault);
	return (0);
}

/*
 * Handles /fault?forward=INDEX&mode=NAME; without an index it is for all. With
 * &from=IP only connections from there have the fault.
 */
static void
handle_fault(proxy_t *proxy, http_request_t *request)
{
	double index = standin_query_number(request, "forward", -1);
	link_fault_t fault = {
	    .only_open = standin_query_number(request, "only_open", 0) != 0,
	    .delay = standin_query_number(request, "ms", 0) / 1000,
	};
	size_t first = index < 0 ? 0 : (size_t)index;
	size_t last = index < 0 ? proxy->count : first + 1;
	const char *from = http_request_query(request, "from");
	int rc = 0;

	if (link_mode_parse(http_request_query(request, "mode"), &fault.mode) !=
		0 ||
	    (from != NULL && inet_pton(AF_INET, from, &fault.from) != 1) ||
	    last > proxy->count) {
		http_request_reply(request, 400, "text/plain",
		    STR("unknown mode or forward\n"));
		return;
	}
	for (size_t i = first; i < last && rc == 0; i++)
		rc = forward_set_fault(&proxy->forwards[i], fault);
	standin_reply_json(request, rc == 0 ? 200 : 500,
	    json_pack("{s:b,s:s}", "ok", rc == 0, "error", strerror(-rc)));
}

static json_t *
forward_describe(const forward_t *forward)
{
	bool tcp = forward->tcp != NULL;
	forward_stats_t stats = tcp ? tcp_forward_stats(forward->tcp)
				    : udp_forward_stats(forward->udp);
	link_mode_t mode = tcp ? tcp_forward_mode(forward->tcp)
			       : udp_forward_mode(forward->udp);

	return (json_pack("{s:s,s:i,s:s,s:i,s:I,s:I,s:I,s:I}", "protocol",
	    tcp ? "tcp" : "udp", "port",
	    tcp ? tcp_forward_port(forward->tcp)
		: udp_forward_port(forward->udp),
	    "mode", link_mode_name(mode), "open", (int)stats.open, "accepted",
	    (json_int_t)stats.accepted, "bytes_up", (json_int_t)stats.bytes_up,
	    "bytes_down", (json_int_t)stats.bytes_down, "dropped",
	    (json_int_t)stats.dropped));
}

static void
on_request(void *ctx, http_request_t *request)
{
	proxy_t *proxy = ctx;
	json_t *list;

	if (standin_is(request, "POST", "/fault")) {
		handle_fault(proxy, request);
		return;
	}
	if (!standin_is(request, "GET", "/forwards")) {
		http_request_reply(
		    request, 404, "text/plain", STR("no such path\n"));
		return;
	}
	list = json_array();
	for (size_t i = 0; i < proxy->count; i++)
		json_array_append_new(
		    list, forward_describe(&proxy->forwards[i]));
	standin_reply_json(request, 200, json_pack("{s:o}", "forwards", list));
}

/* Starts one forward. Returns 0, or the program's exit code after a message. */
static int
proxy_add(proxy_t *proxy, const char *text, bool tcp)
{
	forward_t *forward = &proxy->forwards[proxy->count];
	forward_params_t params;
	int rc = forward_params_parse(text, &params);

	if (rc != 0) {
		fprintf(
		    stderr, "faultproxy: '%s' is not IP:PORT=IP:PORT\n", text);
		return (2);
	}
	rc = tcp ? tcp_forward_new(proxy->loop, &params, &forward->tcp)
		 : udp_forward_new(proxy->loop, &params, &forward->udp);
	if (rc != 0) {
		fprintf(stderr, "faultproxy: cannot listen for %s: %s\n", text,
		    strerror(-rc));
		return (1);
	}
	proxy->count++;
	return (0);
}

static void
proxy_delete_forwards(proxy_t *proxy)
{
	for (size_t i = 0; i < proxy->count; i++) {
		if (proxy->forwards[i].tcp != NULL)
			tcp_forward_delete(proxy->forwards[i].tcp);
		else
			udp_forward_delete(proxy->forwards[i].udp);
	}
	proxy->count = 0;
}

/* Serves the control port "IP:PORT" until the program is ended. */
static int
proxy_serve(proxy_t *proxy, const char *control)
{
	str_t port = str_of(control);
	str_t host = {0};
	char address[64];
	uint64_t number = 0;

	str_split(&port, ':', &host);
	str_copy(address, sizeof(address), host);
	if (str_to_u64(port, &number) != 0 || number > UINT16_MAX) {
		fprintf(stderr, "faultproxy: '%s' is not IP:PORT\n", control);
		return (2);
	}
	return (standin_serve(proxy->loop, &(standin_params_t){
					       .name = "faultproxy",
					       .address = address,
					       .port = (int)number,
					       .max_body = MAX_BODY,
					       .handler = on_request,
					       .ctx = proxy,
					   }));
}

int
main(int argc, char **argv)
{
	static proxy_t proxy;
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_lit *version = arg_lit0(NULL, "version", "print version");
	struct arg_str *tcp = arg_strn(NULL, "forward", "IP:PORT=IP:PORT", 0,
	    MAX_FORWARDS, "TCP: listen on the first, connect to the second");
	struct arg_str *udp = arg_strn(NULL, "forward-udp", "IP:PORT=IP:PORT",
	    0, MAX_FORWARDS, "the same for UDP");
	struct arg_str *control =
	    arg_str0(NULL, "control", "IP:PORT", "address of the control port");
	struct arg_end *end = arg_end(20);
	void *table[] = {help, version, tcp, udp, control, end};
	int rc;

	control->sval[0] = "127.0.0.1:0";
	rc = standin_options_parse("faultproxy", argc, argv, table);
	if (rc >= 0)
		return (rc);
	rc = 0;
	proxy.loop = ev_default_loop(0);
	for (int i = 0; i < tcp->count && rc == 0; i++)
		rc = proxy_add(&proxy, tcp->sval[i], true);
	for (int i = 0; i < udp->count && rc == 0; i++)
		rc = proxy_add(&proxy, udp->sval[i], false);
	if (rc == 0)
		rc = proxy_serve(&proxy, control->sval[0]);
	proxy_delete_forwards(&proxy);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return (rc);
}
