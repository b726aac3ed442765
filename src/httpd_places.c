/* Connections of an HTTP server: who has a place and who gives way. */
#include "httpd_state.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "clock.h"
#include "result.h"

/* Connections that are asked for their last byte until one is closed. */
#define MAX_CANDIDATES 16
/* The system counts silence in steps of a few milliseconds. */
#define SILENCE_STEP_S 0.02
/* A connection that was just accepted is not closed in a sweep. */
#define MIN_SWEEP_SILENCE_S 1.0

static int
connection_fd(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	return (info != NULL ? info->connect_fd : -1);
}

/* libmicrohttpd then finds the connection closed and ends it. */
void
httpd_connection_cut(struct MHD_Connection *connection)
{
	int fd = connection_fd(connection);

	if (fd >= 0)
		(void)shutdown(fd, SHUT_RDWR);
}

/*
 * Returns when the last byte of a client arrived, by the system: libmicrohttpd
 * does not report the bytes of a head.
 */
static double
last_byte_at(struct MHD_Connection *connection, double now)
{
	struct tcp_info info = {0};
	socklen_t size = sizeof(info);
	int fd = connection_fd(connection);
	int unread = 0;

	if (ioctl(fd, FIONREAD, &unread) == 0 && unread > 0)
		return (now);
	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
		return (0);
	return (now - (double)info.tcpi_last_data_recv / 1000);
}

static void
connection_yield(httpd_t *httpd, http_connection_t *c, double now)
{
	counter_add(httpd->counters.yielded, 1);
	memory_account_refused(httpd->params.account, MEMORY_CONNECTIONS);
	if (c->place.state == PLACE_READING && c->request != NULL &&
	    !c->request->refused)
		httpd_intake_refuse(c->request, -RESULT_OVERLOADED,
		    "no bytes while connections are scarce");
	place_set_state(httpd->places, &c->place, PLACE_LEAVING, now);
	httpd_connection_cut(c->connection);
}

/* Returns the connection without a request that gives way, or NULL. */
static place_t *
longest_silent(httpd_t *httpd, const place_t *except, double now)
{
	place_t *place = NULL;

	for (unsigned i = 0; i < MAX_CANDIDATES; i++) {
		const http_connection_t *c;
		double at;

		place = place_table_waiting(httpd->places, except);
		if (place == NULL)
			return (NULL);
		c = place->ctx;
		at = last_byte_at(c->connection, now);
		if (at <= place->silent_since + SILENCE_STEP_S)
			return (place);
		place_heard(httpd->places, place, at);
	}
	return (place);
}

/* Closes connections until there is room for a further one. */
static void
yield_places(httpd_t *httpd, const place_t *except, double now)
{
	while (place_table_is_short(httpd->places)) {
		place_t *place = longest_silent(httpd, except, now);

		if (place == NULL)
			place = place_table_stalled(httpd->places, now);
		if (place == NULL)
			return;
		connection_yield(httpd, place->ctx, now);
	}
}

/* Counts connections and, for an account, gives them places. */
void
httpd_places_on_connection(void *ctx, struct MHD_Connection *connection,
    void **slot, enum MHD_ConnectionNotificationCode code)
{
	httpd_t *httpd = ctx;
	http_connection_t *c = *slot;
	char address[INET6_ADDRSTRLEN];
	double now;

	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		httpd->connection_count++;
	else if (httpd->connection_count-- >= httpd->max_connections)
		httpd->was_full = true;
	if (httpd->places == NULL)
		return;
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		now = clock_monotonic();
		c = xcalloc(1, sizeof(*c));
		c->connection = connection;
		c->place.ctx = c;
		httpd_client_address(connection, address, sizeof(address));
		place_enter(httpd->places, &c->place, address, now);
		*slot = c;
		yield_places(httpd, &c->place, now);
	} else if (c != NULL) {
		place_leave(httpd->places, &c->place);
		free(c);
		*slot = NULL;
	}
}

/* Notes the begin of a request on its connection. */
void
httpd_places_request_begin(http_request_t *request)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    request->connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	http_connection_t *c = info != NULL ? info->socket_context : NULL;

	request->http_connection = c;
	if (c == NULL)
		return;
	c->request = request;
	place_heard(request->httpd->places, &c->place, clock_monotonic());
}

/*
 * Notes that the head of a request is complete. Returns false if the address
 * has its share of the places; the request must then be refused.
 */
bool
httpd_places_head(http_request_t *request, bool has_body)
{
	httpd_t *httpd = request->httpd;
	http_connection_t *c = request->http_connection;
	bool allowed;

	if (c == NULL)
		return (true);
	allowed = place_may_begin(httpd->places, &c->place);
	place_set_state(httpd->places, &c->place,
	    has_body ? PLACE_READING : PLACE_BUSY, clock_monotonic());
	if (allowed)
		return (true);
	counter_add(httpd->counters.address_share, 1);
	memory_account_refused(httpd->params.account, MEMORY_CONNECTIONS);
	return (false);
}

/* Notes bytes of a body. */
void
httpd_places_body_bytes(http_request_t *request, double now)
{
	if (request->http_connection != NULL)
		place_heard(request->httpd->places,
		    &request->http_connection->place, now);
}

/* Notes that a body is complete. */
void
httpd_places_body_ended(http_request_t *request)
{
	if (request->http_connection != NULL)
		place_set_state(request->httpd->places,
		    &request->http_connection->place, PLACE_BUSY,
		    clock_monotonic());
}

/*
 * Counts a request as that of an organisation. Returns false if the places or
 * the memory of open requests are short and the organisation has its share; the
 * request must then be refused. Without an account there is always room.
 */
bool
http_request_begin_for(http_request_t *request, str_t org)
{
	httpd_t *httpd = request->httpd;
	http_connection_t *c = request->http_connection;
	memory_budget_t budget = MEMORY_CONNECTIONS;

	if (c == NULL)
		return (true);
	if (place_begin_for(httpd->places, &c->place, org)) {
		if (memory_keep_for(&request->kept, org))
			return (true);
		budget = MEMORY_BODIES;
	}
	counter_add(httpd->counters.org_share, 1);
	memory_account_refused(httpd->params.account, budget);
	return (false);
}

/* The connection of a request waits for the next one. */
void
httpd_places_request_end(http_request_t *request)
{
	httpd_t *httpd = request->httpd;
	http_connection_t *c = request->http_connection;
	double now = clock_monotonic();

	if (c == NULL)
		return;
	c->request = NULL;
	c->place.served = true;
	place_set_state(httpd->places, &c->place, PLACE_WAITING, now);
	yield_places(httpd, NULL, now);
}

/* Closes connections that were idle for too long while places are scarce. */
void
httpd_places_sweep(httpd_t *httpd, double now)
{
	place_t *place;

	while ((place = place_table_idle(httpd->places, now)) != NULL) {
		http_connection_t *c = place->ctx;

		counter_add(httpd->counters.idle_closed, 1);
		place_set_state(httpd->places, place, PLACE_LEAVING, now);
		httpd_connection_cut(c->connection);
	}
	/* One that was accepted beside requests only has to give way, too. */
	place = place_table_waiting(httpd->places, NULL);
	if (place != NULL && now - place->silent_since > MIN_SWEEP_SILENCE_S)
		yield_places(httpd, NULL, now);
}

/* Prepares the places of a server that has an account. */
void
httpd_places_init(httpd_t *httpd)
{
	httpd->places = place_table_new(httpd->max_connections);
	httpd->counters.idle_closed =
	    counter_get("daisypier_intake_refusals_total{cause=\"idle\"}", "");
	httpd->counters.yielded = counter_get(
	    "daisypier_intake_refusals_total{cause=\"place_yielded\"}", "");
	httpd->counters.address_share = counter_get(
	    "daisypier_intake_refusals_total{cause=\"address_share\"}", "");
	httpd->counters.org_share = counter_get(
	    "daisypier_intake_refusals_total{cause=\"org_share\"}", "");
}
