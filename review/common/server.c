/* Stand-in of a model server, with its entry in the platform's store. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "lib.h"

#define HEARTBEAT_S  1.2
#define CRASH_DOWN_S 3.0 /* also until the entry of a lost one expires */
#define SLOTS	     8
/* What a server has written of an answer when it crashes. */
#define FIRST_BYTES   "HTTP/1.1 200 OK"
#define FIRST_BYTES_S 0.02

typedef struct served_t {
	server_t *server;
	conn_t conn;
} served_t;

static long long
wall_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return ((long long)t.tv_sec * 1000 + t.tv_nsec / 1000000);
}

static void
put_entry(server_t *s)
{
	static unsigned seq;
	bytes_t text = {0};

	bytes_printf(&text,
	    "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"trent-bank\","
	    "\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\","
	    "\"warmup-left-ms\":0,\"stage\":\"both\",\"models\":[{\"name\":"
	    "\"m\",\"version\":1,\"adapters\":[]}],\"seq\":%u,\"born\":%lld}",
	    s->service != NULL ? s->service : "m", s->ip, s->port, SLOTS, seq++,
	    s->born_ms);
	store_put("keyed.servers", 0, s->id, text.data);
	bytes_free(&text);
}

static void
open_listener(server_t *s)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t size = sizeof(address);
	const int on = 1;

	address.sin_port = htons((uint16_t)s->port);
	inet_pton(AF_INET, s->ip, &address.sin_addr);
	s->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(s->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(s->listener, (struct sockaddr *)&address, size) != 0 ||
	    listen(s->listener, 256) != 0)
		cannot_run("a server cannot listen");
	getsockname(s->listener, (struct sockaddr *)&address, &size);
	s->port = ntohs(address.sin_port);
	s->born_ms = wall_ms();
	snprintf(s->id, sizeof(s->id), "i-%s-%u", strrchr(s->ip, '.') + 1,
	    ++s->starts);
}

/* Ends all connections and the listening socket, as a dead process does. */
static void
crash(server_t *s)
{
	const struct linger hard = {.l_onoff = 1};

	pthread_mutex_lock(&s->lock);
	if (!s->down) {
		s->down = true;
		shutdown(s->listener, SHUT_RDWR);
		for (size_t i = 0; i < s->fd_count; i++) {
			setsockopt(s->fds[i], SOL_SOCKET, SO_LINGER, &hard,
			    sizeof(hard));
			shutdown(s->fds[i], SHUT_RDWR);
		}
	}
	pthread_mutex_unlock(&s->lock);
}

void
server_lose(server_t *s)
{
	s->gone = true;
	crash(s);
}

void
server_event_data(bytes_t *out, const char *id, unsigned event, size_t bytes)
{
	size_t before = out->len;

	bytes_printf(out, "%s.%u.", id, event);
	while (out->len - before < bytes)
		bytes_add(out, "x", 1);
}

static void
send_failure(conn_t *c, const server_t *s, const message_t *m, int status,
    bool ran, bool extra)
{
	const char *id = message_header(m, "X-Daisypier-Request-Id");
	bytes_t out = {0};

	bytes_printf(&out,
	    "HTTP/1.1 %d X\r\nX-Daisypier-Request-Id: %s\r\n"
	    "X-Daisypier-Instance-Id: %s\r\n%s%s%sContent-Length: 0\r\n\r\n",
	    status, id != NULL ? id : "", s->id,
	    ran ? "X-Daisypier-Response-Signature: " : "", ran ? s->id : "",
	    ran ? "\r\n" : "X-Daisypier-Not-Executed: 1\r\n");
	conn_send(c, out.data, out.len);
	if (extra)
		bytes_add(&c->extra, out.data, out.len);
	bytes_free(&out);
}

static bool
send_event(conn_t *c, const char *id, unsigned event, size_t bytes)
{
	bytes_t text = {0};
	bytes_t chunk = {0};
	bool ok;

	bytes_printf(&text, "id: %u\ndata: ", event);
	server_event_data(&text, id, event, bytes);
	bytes_printf(&text, "\n\n");
	bytes_printf(&chunk, "%zx\r\n", text.len);
	bytes_add(&chunk, text.data, text.len);
	bytes_printf(&chunk, "\r\n");
	ok = conn_send(c, chunk.data, chunk.len);
	bytes_free(&text);
	bytes_free(&chunk);
	return (ok);
}

/* Returns whether the whole stream was sent. */
static bool
send_stream(conn_t *c, server_t *s, const message_t *m, const plan_t *plan)
{
	const char *id = message_header(m, "X-Daisypier-Request-Id");
	const char *last = message_header(m, "Last-Event-Id");
	double begun = now();
	unsigned from = last != NULL ? (unsigned)atoi(last) + 1 : 0;

	if (!conn_printf(c,
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		"X-Daisypier-Request-Id: %s\r\n"
		"X-Daisypier-Response-Signature: %s.%s\r\n"
		"Transfer-Encoding: chunked\r\n\r\n",
		id, s->id, id))
		return (false);
	for (unsigned i = from; i < plan->events; i++) {
		double due = begun + plan->interval_s * (i - from + 1);

		if (conn_wait_closed(c, due - now()) ||
		    !send_event(c, id, i, plan->event_bytes))
			return (false);
	}
	return (conn_printf(c, "0\r\n\r\n"));
}

static void
serve_request(conn_t *c, server_t *s, const message_t *m)
{
	const char *id = message_header(m, "X-Daisypier-Request-Id");
	const char *target = message_header(m, "X-Daisypier-Target-Instance");
	plan_t plan = {.status = 200, .events = 1};
	bool whole = true;

	if (c->extra.len > 0) {
		conn_send(c, c->extra.data, c->extra.len);
		bytes_free(&c->extra);
	}
	if (id == NULL) {
		send_failure(c, s, m, 400, false, false);
		return;
	}
	if (target != NULL && strcmp(target, s->id) != 0) {
		send_failure(c, s, m, 421, false, false);
		return;
	}
	s->plan(s, m, &plan);
	if (plan.crash) {
		/* It has begun to write an answer. */
		conn_send(c, FIRST_BYTES, sizeof(FIRST_BYTES) - 1);
		sleep_s(FIRST_BYTES_S);
		crash(s);
		return;
	}
	if (plan.status == 200)
		whole = send_stream(c, s, m, &plan);
	else
		send_failure(c, s, m, plan.status, true, plan.extra);
	if (s->ended != NULL)
		s->ended(s, m, whole);
}

static void *
serve(void *arg)
{
	served_t *served = arg;
	server_t *s = served->server;
	message_t m;

	while (conn_read_request(&served->conn, &m)) {
		serve_request(&served->conn, s, &m);
		message_free(&m);
	}
	message_free(&m);
	pthread_mutex_lock(&s->lock);
	for (size_t i = 0; i < s->fd_count; i++)
		if (s->fds[i] == served->conn.fd)
			s->fds[i] = s->fds[--s->fd_count];
	conn_close(&served->conn);
	pthread_mutex_unlock(&s->lock);
	free(served);
	return (NULL);
}

static void
accept_one(server_t *s)
{
	const int on = 1;
	served_t *served = calloc(1, sizeof(*served));
	pthread_t thread;
	bool taken = false;

	served->server = s;
	served->conn.fd = accept4(s->listener, NULL, NULL, SOCK_CLOEXEC);
	pthread_mutex_lock(&s->lock);
	if (served->conn.fd >= 0 && !s->down &&
	    s->fd_count < sizeof(s->fds) / sizeof(s->fds[0])) {
		s->fds[s->fd_count++] = served->conn.fd;
		taken = true;
	}
	pthread_mutex_unlock(&s->lock);
	if (!taken) {
		if (served->conn.fd >= 0)
			close(served->conn.fd);
		free(served);
		return;
	}
	setsockopt(served->conn.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	pthread_create(&thread, NULL, serve, served);
	pthread_detach(thread);
}

/* Accepts connections; after a crash, starts again with a new id. */
static void *
run(void *arg)
{
	server_t *s = arg;

	for (;;) {
		while (!s->down)
			accept_one(s);
		close(s->listener);
		sleep_s(CRASH_DOWN_S);
		store_put("keyed.servers", 0, s->id, NULL);
		if (s->gone)
			return (NULL);
		open_listener(s);
		pthread_mutex_lock(&s->lock);
		s->down = false;
		pthread_mutex_unlock(&s->lock);
		put_entry(s);
	}
	return (NULL);
}

static void *
beat(void *arg)
{
	server_t *s = arg;

	for (;;) {
		sleep_s(HEARTBEAT_S);
		if (!s->down)
			put_entry(s);
	}
	return (NULL);
}

void
server_start(server_t *s)
{
	pthread_t thread;

	pthread_mutex_init(&s->lock, NULL);
	open_listener(s);
	put_entry(s);
	pthread_create(&thread, NULL, run, s);
	pthread_detach(thread);
	pthread_create(&thread, NULL, beat, s);
	pthread_detach(thread);
}
