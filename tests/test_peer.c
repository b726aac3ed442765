/* Tests of RPC between hosts and its authentication. */
#include "suite.h"

#include <arpa/inet.h>
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

static const suite_test_t tests[] = {
    {"call and reply", test_call_and_reply},
    {"wrong key is rejected", test_wrong_key_is_rejected},
    {"unreachable host is reported", test_unreachable_host_is_reported},
};

SUITE_MAIN("peer", tests)
