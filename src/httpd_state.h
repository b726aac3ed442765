/* Private state of the HTTP server, shared by its source files. */
#ifndef DAISYPIER_HTTPD_STATE_H
#define DAISYPIER_HTTPD_STATE_H

#include <arpa/inet.h>
#include <sys/queue.h>

#include <microhttpd.h>

#include "counter.h"
#include "httpd.h"
#include "place_table.h"

/* A connection of a server with a memory account. */
typedef struct http_connection_t {
	struct MHD_Connection *connection;
	http_request_t *request; /* in progress, or NULL */
	place_t place;
} http_connection_t;

struct httpd_t {
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	httpd_params_t params;
	uint16_t port;
	bool closing;
	bool running; /* inside MHD_run() */
	size_t open;
	LIST_HEAD(, http_request_t) requests;
	ev_io io;
	ev_timer timer;
	ev_timer disconnect_timer;
	/* With a memory account, see httpd_intake.c. */
	size_t max_body; /* that fits into the account */
	unsigned max_connections;
	unsigned connection_count;
	bool was_full; /* a connection ended while all were in use */
	place_table_t *places;
	ev_timer sweep_timer;
	struct {
		counter_t *too_large;
		counter_t *no_room;
		counter_t *no_progress;
		counter_t *unread_cut;
		counter_t *idle_closed;
		counter_t *yielded;
		counter_t *address_share;
		counter_t *org_share;
	} counters;
};

typedef enum stream_state_t {
	STREAM_NONE,
	STREAM_OPEN,
	STREAM_ENDED,
	STREAM_ABORTED,
} stream_state_t;

struct http_request_t {
	httpd_t *httpd;
	struct MHD_Connection *connection;
	char *authority; /* of an absolute target; NULL: none */
	char *target;	 /* path and query as received */
	char *path;	 /* decoded; NULL until all headers have arrived */
	const char *method;
	bool knows_chunks; /* the client's version of HTTP has them */
	char client[INET6_ADDRSTRLEN];
	buf_t body;
	bool too_large;
	bool dispatched; /* the handler has been called */
	bool answered;	 /* the user must not use the request any more */
	bool suspended;
	bool queued; /* the response was passed to libmicrohttpd */
	struct MHD_Response *response;
	int status;
	char **headers; /* alternating names and values */
	size_t header_count;
	buf_t stream;
	stream_state_t stream_state;
	void (*on_close)(void *ctx);
	void *on_close_ctx;
	/* With a memory account, see httpd_intake.c. */
	http_connection_t *http_connection;
	memory_holder_t holder;
	memory_kept_t kept;
	bool refused;	       /* while its body was being read */
	unsigned stuck_sweeps; /* with bytes that are not read */
	size_t ignored;	       /* bytes received after that */
	size_t unread;	       /* bytes counted as not read by the client */
	double started_at;     /* of the request or, with refused, of that */
	double read_at;	       /* last progress of the client's reading */
	buf_t reply;	       /* large reply, passed on in parts */
	size_t reply_offset;
	LIST_ENTRY(http_request_t) entry;
};

/* httpd.c */
void httpd_schedule_run(httpd_t *httpd);
void httpd_request_reset(const http_request_t *request);
enum MHD_Result httpd_request_queue(http_request_t *request);
void httpd_client_address(
    struct MHD_Connection *connection, char *out, size_t size);

/* httpd_places.c */
void httpd_places_init(httpd_t *httpd);
void httpd_places_on_connection(void *ctx, struct MHD_Connection *connection,
    void **slot, enum MHD_ConnectionNotificationCode code);
void httpd_places_request_begin(http_request_t *request);
bool httpd_places_head(http_request_t *request, bool has_body);
void httpd_places_body_bytes(http_request_t *request, double now);
void httpd_places_body_ended(http_request_t *request);
void httpd_places_request_end(http_request_t *request);
void httpd_places_sweep(httpd_t *httpd, double now);
void httpd_connection_cut(struct MHD_Connection *connection);

/* httpd_intake.c */
void httpd_intake_init(httpd_t *httpd);
void httpd_intake_stop(httpd_t *httpd);
void httpd_intake_refuse(http_request_t *request, int rc, const char *detail);
void httpd_intake_request_begin(http_request_t *request);
void httpd_intake_request_end(http_request_t *request);
enum MHD_Result httpd_intake_head(http_request_t *request);
enum MHD_Result httpd_intake_data(
    http_request_t *request, const char *data, size_t size);
bool httpd_intake_complete(http_request_t *request);
void httpd_unread_add(http_request_t *request, size_t bytes);
void httpd_unread_remove(http_request_t *request, size_t bytes);

#endif
