/* Tests of RPC between hosts and its authentication. */
#include "suite.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "counter.h"
#include "peer.h"
#include "result.h"

typedef struct exchange_t {
	struct ev_loop *loop;
	int replies;
	int rc;
	uint64_t value;
} exchange_t;

static void
on_double_request(
    void *ctx, peer_request_t *request, const msgpack_object *body)
{
	buf_t reply = {0};
	msgpack_packer packer;

	(void)ctx;
	wire_packer_init(&packer, &reply);
	msgpack_pack_uint64(&packer, body->via.u64 * 2);
	peer_request_reply(request, 0, str_buf(&reply));
	buf_free(&reply);
}

static void
on_reply(void *ctx, const peer_reply_t *reply)
{
	exchange_t *exchange = ctx;

	exchange->replies++;
	exchange->rc = reply->rc;
	if (reply->body != NULL)
		exchange->value = reply->body->via.u64;
	ev_break(exchange->loop, EVBREAK_ONE);
}

static void
call_and_wait(peer_t *from, const char *to, uint64_t n, exchange_t *exchange)
{
	buf_t body = {0};
	msgpack_packer packer;

	wire_packer_init(&packer, &body);
	msgpack_pack_uint64(&packer, n);
	peer_call(
	    from, to, PEER_JOB_GET, str_buf(&body), 5.0, on_reply, exchange);
	buf_free(&body);
	ev_run(exchange->loop, 0);
}

static peer_t *
start_peer(struct ev_loop *loop, const char *address, uint16_t port, str_t key)
{
	peer_params_t params = {.address = address, .port = port, .key = key};
	peer_t *peer = NULL;

	CU_ASSERT(peer_new(loop, &params, &peer) == 0);
	return (peer);
}

/* Each call must get its own reply, exactly once. */
static void
test_call_and_reply(void)
{
	exchange_t exchange = {.loop = ev_loop_new(0)};
	peer_t *a = start_peer(exchange.loop, "127.0.0.2", 0, STR("secret"));
	peer_t *b =
	    start_peer(exchange.loop, "127.0.0.3", peer_port(a), STR("secret"));

	peer_set_handler(b, PEER_JOB_GET, on_double_request, NULL);
	for (uint64_t n = 1; n <= 100; n++) {
		call_and_wait(a, "127.0.0.3", n, &exchange);
		CU_ASSERT(exchange.rc == 0);
		CU_ASSERT(exchange.value == n * 2);
	}
	CU_ASSERT(exchange.replies == 100);
	peer_delete(a);
	peer_delete(b);
	ev_loop_destroy(exchange.loop);
}

/* A host with a different key must not get replies to its calls. */
static void
test_wrong_key_is_rejected(void)
{
	exchange_t exchange = {.loop = ev_loop_new(0)};
	peer_t *a = start_peer(exchange.loop, "127.0.0.2", 0, STR("secret"));
	peer_t *b =
	    start_peer(exchange.loop, "127.0.0.3", peer_port(a), STR("other"));
	double before =
	    counter_value(counter_get("daisypier_peer_rejected_total", ""));

	peer_set_handler(b, PEER_JOB_GET, on_double_request, NULL);
	call_and_wait(a, "127.0.0.3", 1, &exchange);
	CU_ASSERT(exchange.rc == -RESULT_PEER_UNREACHABLE);
	CU_ASSERT(exchange.value == 0);
	CU_ASSERT(counter_value(counter_get(
		      "daisypier_peer_rejected_total", "")) > before);
	peer_delete(a);
	peer_delete(b);
	ev_loop_destroy(exchange.loop);
}

/* A call must fail, not hang, if nothing listens or the address is invalid. */
static void
test_unreachable_host_is_reported(void)
{
	exchange_t exchange = {.loop = ev_loop_new(0)};
	peer_t *a = start_peer(exchange.loop, "127.0.0.2", 0, STR("secret"));

	call_and_wait(a, "127.0.0.4", 1, &exchange);
	CU_ASSERT(exchange.rc == -RESULT_PEER_UNREACHABLE);
	call_and_wait(a, "not an address", 1, &exchange);
	CU_ASSERT(exchange.rc == -RESULT_PEER_UNREACHABLE);
	CU_ASSERT(exchange.replies == 2);
	peer_delete(a);
	ev_loop_destroy(exchange.loop);
}

/* Requests that are kept, to be answered late. */
typedef struct late_t {
	peer_request_t *requests[4];
	unsigned count;
} late_t;

static void
on_late_request(void *ctx, peer_request_t *request, const msgpack_object *body)
{
	late_t *late = ctx;

	(void)body;
	late->requests[late->count++] = request;
}

static void
reply_number(peer_request_t *request, uint64_t n)
{
	buf_t reply = {0};
	msgpack_packer packer;

	wire_packer_init(&packer, &reply);
	msgpack_pack_uint64(&packer, n);
	peer_request_reply(request, 0, str_buf(&reply));
	buf_free(&reply);
}

/* Guards against a reply after its call's timeout that another call gets. */
static void
test_late_reply(void)
{
	exchange_t exchange = {.loop = ev_loop_new(0)};
	exchange_t late_exchange = {.loop = exchange.loop};
	late_t late = {0};
	peer_t *a = start_peer(exchange.loop, "127.0.0.2", 0, STR("secret"));
	peer_t *b =
	    start_peer(exchange.loop, "127.0.0.3", peer_port(a), STR("secret"));

	peer_set_handler(b, PEER_JOB_READ, on_late_request, &late);
	peer_set_handler(b, PEER_JOB_GET, on_double_request, NULL);
	peer_call(a, "127.0.0.3", PEER_JOB_READ, (str_t){0}, 0.2, on_reply,
	    &late_exchange);
	/* The link is not silent, so that the timeout leaves it open. */
	call_and_wait(a, "127.0.0.3", 1, &exchange);
	ev_run(exchange.loop, 0);
	CU_ASSERT(late_exchange.rc == -RESULT_TIMEOUT && late.count == 1);
	peer_call(a, "127.0.0.3", PEER_JOB_READ, (str_t){0}, 5.0, on_reply,
	    &late_exchange);
	while (late.count < 2)
		ev_run(exchange.loop, EVRUN_ONCE);
	reply_number(late.requests[0], 1001);
	call_and_wait(a, "127.0.0.3", 2, &exchange);
	CU_ASSERT(exchange.rc == 0 && exchange.value == 4);
	CU_ASSERT(late_exchange.replies == 1);
	reply_number(late.requests[1], 1002);
	ev_run(exchange.loop, 0);
	CU_ASSERT(late_exchange.replies == 2 && late_exchange.rc == 0);
	CU_ASSERT(late_exchange.value == 1002);
	peer_delete(a);
	peer_delete(b);
	ev_loop_destroy(exchange.loop);
}

/*
 * Guards against a reply to a host's former life, which numbered its calls from
 * 1 as well.
 */
static void
test_reply_to_a_former_life(void)
{
	exchange_t exchange = {.loop = ev_loop_new(0)};
	exchange_t former = {.loop = exchange.loop};
	late_t late = {0};
	peer_t *a = start_peer(exchange.loop, "127.0.0.2", 0, STR("secret"));
	uint16_t port = peer_port(a);
	peer_t *b = start_peer(exchange.loop, "127.0.0.3", port, STR("secret"));

	peer_set_handler(b, PEER_JOB_READ, on_late_request, &late);
	peer_call(
	    a, "127.0.0.3", PEER_JOB_READ, (str_t){0}, 5.0, on_reply, &former);
	while (late.count < 1)
		ev_run(exchange.loop, EVRUN_ONCE);
	peer_delete(a);
	CU_ASSERT(former.rc == -RESULT_PEER_UNREACHABLE);
	a = start_peer(exchange.loop, "127.0.0.2", port, STR("secret"));
	peer_call(a, "127.0.0.3", PEER_JOB_READ, (str_t){0}, 5.0, on_reply,
	    &exchange);
	while (late.count < 2)
		ev_run(exchange.loop, EVRUN_ONCE);
	reply_number(late.requests[0], 1001);
	reply_number(late.requests[1], 1002);
	ev_run(exchange.loop, 0);
	CU_ASSERT(exchange.replies == 1 && exchange.rc == 0);
	CU_ASSERT(exchange.value == 1002 && former.replies == 1);
	peer_delete(a);
	peer_delete(b);
	ev_loop_destroy(exchange.loop);
}

typedef struct canceller_t {
	exchange_t exchange;
	peer_call_t *other;
} canceller_t;

static void
on_reply_cancel_other(void *ctx, const peer_reply_t *reply)
{
	canceller_t *canceller = ctx;

	if (canceller->other != NULL)
		peer_call_cancel(canceller->other);
	canceller->other = NULL;
	on_reply(&canceller->exchange, reply);
}

/*
 * Guards against a call that ends twice: the first that times out on a silent
 * link ends the others, and one of these cancels the first.
 */
static void
test_cancel_while_a_link_is_dropped(void)
{
	canceller_t canceller = {.exchange = {.loop = ev_loop_new(0)}};
	struct ev_loop *loop = canceller.exchange.loop;
	exchange_t first = {.loop = loop};
	late_t late = {0};
	peer_t *a = start_peer(loop, "127.0.0.2", 0, STR("secret"));
	peer_t *b = start_peer(loop, "127.0.0.3", peer_port(a), STR("secret"));

	peer_set_handler(b, PEER_JOB_READ, on_late_request, &late);
	peer_set_handler(b, PEER_JOB_GET, on_double_request, NULL);
	call_and_wait(a, "127.0.0.3", 1, &first);
	canceller.other = peer_call(
	    a, "127.0.0.3", PEER_JOB_READ, (str_t){0}, 0.1, on_reply, &first);
	peer_call(a, "127.0.0.3", PEER_JOB_READ, (str_t){0}, 5.0,
	    on_reply_cancel_other, &canceller);
	ev_run(loop, 0);
	CU_ASSERT(canceller.exchange.replies == 1);
	CU_ASSERT(canceller.exchange.rc == -RESULT_PEER_UNREACHABLE);
	CU_ASSERT(first.replies == 1);
	peer_delete(a);
	peer_delete(b);
	for (unsigned i = 0; i < late.count; i++)
		peer_request_reply(late.requests[i], 0, (str_t){0});
	ev_loop_destroy(loop);
}

#define SILENT_HOSTS   8
#define ACCOUNT_BYTES  (64U << 20)
#define MESSAGE_BYTES  100000U
#define MIN_LINK_BYTES 4096U

static int
open_silent_host(unsigned number, uint16_t port)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons(port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address.sin_addr.s_addr = htonl(0x7f0000f0U + number);
	CU_ASSERT(bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0);
	CU_ASSERT(listen(fd, 8) == 0);
	return (fd);
}

/*
 * Hosts that read nothing must not use up memory with output that waits for
 * them, all together, nor keep messages from other hosts.
 */
static void
test_output_of_all_links_is_bounded(void)
{
	static char zeros[MESSAGE_BYTES];
	struct ev_loop *loop = ev_loop_new(0);
	memory_account_t *account = memory_account_new(ACCOUNT_BYTES);
	size_t limit = memory_account_limit(account, MEMORY_PEERS);
	exchange_t exchange = {.loop = loop};
	peer_t *b = start_peer(loop, "127.0.0.3", 0, STR("secret"));
	peer_t *a = NULL;
	buf_t body = {0};
	msgpack_packer packer;
	int fds[SILENT_HOSTS];

	CU_ASSERT(peer_new(loop,
		      &(peer_params_t){.address = "127.0.0.2",
			  .port = peer_port(b),
			  .key = STR("secret"),
			  .account = account},
		      &a) == 0);
	peer_set_handler(b, PEER_JOB_GET, on_double_request, NULL);
	wire_packer_init(&packer, &body);
	msgpack_pack_bin(&packer, sizeof(zeros));
	msgpack_pack_bin_body(&packer, zeros, sizeof(zeros));
	for (unsigned i = 0; i < SILENT_HOSTS; i++) {
		char address[32];

		fds[i] = open_silent_host(i, peer_port(b));
		snprintf(address, sizeof(address), "127.0.0.%u", 240 + i);
		for (unsigned n = 0; n < 2 * limit / MESSAGE_BYTES; n++)
			peer_send(
			    a, address, PEER_GRANT_REPORT, str_buf(&body));
		/* One host must not take what others need. */
		if (i == 0)
			CU_ASSERT(peer_queued_bytes(a) <=
				  limit / 2 + 2 * MESSAGE_BYTES);
	}
	CU_ASSERT(peer_queued_bytes(a) >= limit / 2);
	CU_ASSERT(peer_queued_bytes(a) <=
		  limit + 2 * MESSAGE_BYTES + SILENT_HOSTS * MIN_LINK_BYTES);
	call_and_wait(a, "127.0.0.3", 21, &exchange);
	CU_ASSERT(exchange.rc == 0);
	CU_ASSERT(exchange.value == 42);
	for (unsigned i = 0; i < SILENT_HOSTS; i++)
		close(fds[i]);
	buf_free(&body);
	peer_delete(a);
	peer_delete(b);
	memory_account_delete(account);
	ev_loop_destroy(loop);
}

static const suite_test_t tests[] = {
    {"output of all links is bounded", test_output_of_all_links_is_bounded},
    {"call and reply", test_call_and_reply},
    {"wrong key is rejected", test_wrong_key_is_rejected},
    {"unreachable host is reported", test_unreachable_host_is_reported},
    {"late reply", test_late_reply},
    {"reply to a former life", test_reply_to_a_former_life},
    {"cancel while a link is dropped", test_cancel_while_a_link_is_dropped},
};

SUITE_MAIN("peer", tests)
