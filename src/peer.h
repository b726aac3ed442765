/* Authenticated RPC between hosts: msgpack messages in frames over TCP. */
#ifndef DAISYPIER_PEER_H
#define DAISYPIER_PEER_H

#include <ev.h>

#include "memory_account.h"
#include "wire.h"

typedef struct peer_t peer_t;
typedef struct peer_call_t peer_call_t;
typedef struct peer_request_t peer_request_t;

/* Message types. The numbers are part of the protocol; never reuse one. */
typedef enum peer_type_t {
	PEER_REPLY = 1,
	PEER_PING = 2,
	PEER_GRANT_REQUEST = 10,
	PEER_GRANT_RELEASE = 11,
	PEER_GRANT_REVOKE = 12,
	PEER_GRANT_REPORT = 13,
	PEER_GRANT_CHECK = 14,
	PEER_GRANT = 15,
	PEER_ENDPOINT_LEAVING = 16,
	PEER_QUOTA_USES = 17,
	PEER_QUOTA_RETURN = 18,
	PEER_QUOTA_POLL = 19,
	PEER_JOB_SUBMIT = 20,
	PEER_JOB_GET = 21,
	PEER_JOB_RESULTS = 22,
	PEER_JOB_CANCEL = 23,
	PEER_INTENT = 24,
	PEER_OUTCOME = 25,
	PEER_SHARD_OFFER = 26,
	PEER_JOB_READ = 27,
	PEER_JOB_HANDOVER = 28,
	PEER_CONFIG_GET = 30,
	PEER_WHERE = 40,
	PEER_STORE_CALL = 50,
	PEER_QUARANTINE = 55,
	PEER_QUARANTINE_REPORT = 56,
	PEER_TYPE_MAX = 64,
} peer_type_t;

/*
 * The outcome of a call, reported exactly once. rc is 0 or negative: the code
 * that the callee returned, -RESULT_TIMEOUT, or -RESULT_PEER_UNREACHABLE when
 * the connection could not be opened or was lost. sent is set if the callee may
 * have received the call, and refused if no process listens at its address.
 * body is NULL unless the callee replied; it is valid until the callback
 * returns.
 */
typedef struct peer_reply_t {
	int rc;
	bool sent;
	bool refused;
	const msgpack_object *body;
} peer_reply_t;

typedef void (*peer_reply_cb_t)(void *ctx, const peer_reply_t *reply);

/*
 * Handles a call from another host. The handler must call peer_request_reply()
 * exactly once, at once or later; for one-way messages this sends nothing but
 * frees the request. body is valid until the handler returns.
 */
typedef void (*peer_handler_t)(
    void *ctx, peer_request_t *request, const msgpack_object *body);

typedef struct peer_params_t {
	const char *address; /* IP address of this host */
	uint16_t port; /* the same on all hosts; 0: chosen by the kernel */
	str_t key;     /* secret shared by all hosts */
	/*
	 * Counts what links hold that are not authenticated, and bounds the
	 * output of all links; NULL: nothing.
	 */
	memory_account_t *account;
	unsigned max_new_links; /* incoming, not authenticated; 0: no limit */
} peer_params_t;

int peer_new(struct ev_loop *loop, const peer_params_t *params, peer_t **out);
void peer_delete(peer_t *peer);
uint16_t peer_port(const peer_t *peer);
bool peer_is_listening(const peer_t *peer);
size_t peer_queued_bytes(const peer_t *peer);
void peer_set_handler(
    peer_t *peer, peer_type_t type, peer_handler_t handler, void *ctx);

peer_call_t *peer_call(peer_t *peer, const char *address, peer_type_t type,
    str_t body, double timeout, peer_reply_cb_t on_reply, void *ctx);
void peer_call_cancel(peer_call_t *call);
void peer_send(peer_t *peer, const char *address, peer_type_t type, str_t body);

const char *peer_request_address(const peer_request_t *request);
void peer_request_reply(peer_request_t *request, int rc, str_t body);

#endif
