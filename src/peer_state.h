/* State of the RPC between hosts, private to peer.c and peer_link.c. */
#ifndef DAISYPIER_PEER_STATE_H
#define DAISYPIER_PEER_STATE_H

#include <netinet/in.h>
#include <sys/queue.h>

#include "counter.h"
#include "peer.h"
#include "peer_frame.h"

#define PEER_LINK_BUCKETS 256

typedef struct peer_link_t peer_link_t;

LIST_HEAD(call_list_t, peer_call_t);

struct peer_t {
	struct ev_loop *loop;
	char address[INET_ADDRSTRLEN];
	uint16_t port;
	buf_t key;
	int fd;
	ev_io io;
	struct {
		peer_handler_t handler;
		void *ctx;
	} handlers[PEER_TYPE_MAX];
	LIST_HEAD(, peer_link_t) links;
	LIST_HEAD(, peer_link_t) outgoing[PEER_LINK_BUCKETS]; /* by address */
	struct call_list_t failed_calls; /* no link; fail on next loop run */
	uint64_t next_id;
	memory_account_t *account; /* may be NULL */
	size_t max_buffered;	   /* bytes of output of one link */
	size_t max_queued;	   /* of all links together; 0: no limit */
	size_t queued;		   /* bytes of output of all links */
	unsigned max_new_links;	   /* 0: no limit */
	unsigned new_link_count;
	TAILQ_HEAD(, peer_link_t) new_links; /* incoming; oldest first */
	counter_t *bytes_sent;
	counter_t *bytes_received;
	counter_t *frames_sent;
	counter_t *rejected;
	counter_t *links_dropped;
	counter_t *output_refused;
	counter_t *queued_gauge;
};

/* One TCP connection. Calls are sent on outgoing ones, replies on incoming. */
struct peer_link_t {
	peer_t *peer;
	int fd;
	char address[INET_ADDRSTRLEN];
	bool outgoing;
	bool connected;
	bool refused; /* no process listens at the address */
	peer_session_t session;
	buf_t input;
	buf_t output;  /* encoded frames */
	buf_t pending; /* length-prefixed payloads, sent once there is a key */
	size_t queued; /* bytes of both that count in the peer's total */
	double last_received_at;
	bool is_new;	/* incoming, and no frame was authentic so far */
	size_t counted; /* bytes of its input in the account */
	TAILQ_ENTRY(peer_link_t) new_entry;
	ev_io io;
	ev_timer connect_timer;
	ev_timer flush_timer;
	struct call_list_t calls;
	LIST_HEAD(, peer_request_t) requests;
	LIST_ENTRY(peer_link_t) entry;
	LIST_ENTRY(peer_link_t) outgoing_entry;
};

struct peer_call_t {
	peer_t *peer;
	peer_link_t *link; /* NULL if no link could be opened */
	uint64_t id;
	double started_at;
	bool refused;	/* no process listens at the address */
	bool timed_out; /* it ends with its link because of its timeout */
	ev_timer timer;
	peer_reply_cb_t on_reply;
	void *ctx;
	LIST_ENTRY(peer_call_t) entry;
};

struct peer_request_t {
	peer_link_t *link; /* NULL after the link was lost */
	uint64_t id;	   /* 0: one-way message */
	char address[INET_ADDRSTRLEN];
	LIST_ENTRY(peer_request_t) entry;
};

/* peer.c: calls and requests. */
void peer_call_unlink(peer_call_t *call);
void peer_call_finish(peer_call_t *call, const peer_reply_t *reply);
void peer_request_unlink(peer_request_t *request);

/* peer_link.c: connections. */
peer_link_t *peer_link_get(peer_t *peer, const char *address);
bool peer_link_has_room(const peer_link_t *link, size_t bytes);
void peer_link_send(peer_link_t *link, str_t payload);
void peer_link_drop(peer_link_t *link);
void peer_on_connection(struct ev_loop *loop, ev_io *io, int events);

#endif
