/* A server in trouble: it answers requests with bytes that are no answer. */
#include "harness_hostile.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness.h"

#define MAX_CONNECTIONS 1024
/* Bytes of one write of an endless answer. */
#define BLOCK_SIZE    8192
#define SLOW_BYTE_S   0.05
#define LATE_COPY_S   0.02
#define EARLY_RESET_S 0.05
/* Late stray bytes come less than this after an answer. */
#define LATE_STRAY_MS 60
/* Bytes of a torn head; it ends in the name of its second header. */
#define STRAY_HEAD_BYTES 60
static const char error_text[] = "Error: no such thing\n\nGo away.\n\n";

#define TOKENS_HEADER "X-Daisypier-Token-Usage: "

typedef struct connection_t {
	hostile_t *hostile;
	int fd;
	pthread_t thread;
	char request[8192];
	buf_t answer;	   /* the last one on this connection */
	char refused[128]; /* id of its first request */
} connection_t;

struct hostile_t {
	hostile_mode_t mode;
	bool slow;
	int listener;
	pthread_t thread;
	atomic_bool ended;
	atomic_uint answers;
	atomic_uint copies;
	atomic_uint resumed;
	pthread_mutex_t lock;
	buf_t runs; /* ids of the requests that were run, a line each */
	stray_t stray;
	connection_t connections[MAX_CONNECTIONS];
	unsigned count;
};

/* How each endless answer begins, and what follows again and again. */
static const struct {
	const char *begin;
	const char *repeat;
	bool signed_head; /* begin follows the head of a success */
} endless[HOSTILE_MODES] = {
    [HOSTILE_STATUS_LINE] = {"HTTP/1.1 200 ", "x", false},
    [HOSTILE_INTERIM] = {"", "HTTP/1.1 100 Continue\r\n\r\n", false},
    [HOSTILE_HEADER_LINE] = {"HTTP/1.1 200 OK\r\nA: ", "x", false},
    [HOSTILE_HEADERS] = {"HTTP/1.1 200 OK\r\n", "A: b\r\n", false},
    [HOSTILE_CHUNK_SIZE] = {"Transfer-Encoding: chunked\r\n\r\n1;", "x", true},
    [HOSTILE_EVENT] = {"\r\nid: 0\ndata: ", "x", true},
    [HOSTILE_COMMENTS] = {"\r\n", ": x\n\n", true},
    [HOSTILE_FAILURE_BODY] = {"HTTP/1.1 500 Failed\r\n\r\n", "x", false},
    [HOSTILE_BODY] = {"\r\n", "x", true},
    [HOSTILE_ENDLESS] = {"\r\n", "", true},
};

static bool
send_all(int fd, str_t data)
{
	while (data.len > 0) {
		ssize_t n = send(fd, data.data, data.len, MSG_NOSIGNAL);

		if (n <= 0)
			return (false);
		data.data += n;
		data.len -= (size_t)n;
	}
	return (true);
}

/* Copies what follows a header's name up to the end of its line. */
static void
header_value(const char *request, const char *name, char *out, size_t size)
{
	const char *at = strstr(request, name);
	size_t len;

	out[0] = '\0';
	if (at == NULL)
		return;
	at += strlen(name);
	len = strcspn(at, "\r");
	str_copy(out, size, (str_t){at, len});
}

static void
append_head(const connection_t *connection, buf_t *out)
{
	char id[128];

	header_value(
	    connection->request, "X-Daisypier-Request-Id: ", id, sizeof(id));
	buf_printf(out,
	    "HTTP/1.1 200 OK\r\nX-Daisypier-Request-Id: %s\r\n"
	    "X-Daisypier-Response-Signature: h.%s\r\n"
	    "Content-Type: text/event-stream\r\nX-Empty: \r\n",
	    id, id);
}

/* Sends text again and again until the other end closes. */
static void
send_endless(const connection_t *connection, const char *text)
{
	size_t len = strlen(text);
	buf_t block = {0};

	while (block.len < BLOCK_SIZE)
		buf_append(&block, str_of(text));
	for (size_t i = 0; !connection->hostile->ended; i++) {
		if (!connection->hostile->slow) {
			if (!send_all(connection->fd, str_buf(&block)))
				break;
			continue;
		}
		if (!send_all(connection->fd, (str_t){text + i % len, 1}))
			break;
		harness_sleep(SLOW_BYTE_S);
	}
	buf_free(&block);
}

/* Sends numbered events until the other end closes. */
static void
send_events(const connection_t *connection)
{
	char last[32];
	unsigned long next;
	buf_t event = {0};
	bool sent = true;

	header_value(
	    connection->request, "Last-Event-Id: ", last, sizeof(last));
	next = last[0] != '\0' ? strtoul(last, NULL, 10) + 1 : 0;
	while (sent && !connection->hostile->ended) {
		buf_clear(&event);
		while (event.len < BLOCK_SIZE)
			buf_printf(
			    &event, "id: %lu\ndata: %0200u\n\n", next++, 0U);
		sent = send_all(connection->fd, str_buf(&event));
	}
	buf_free(&event);
}

static void
answer_endless(const connection_t *connection)
{
	hostile_mode_t mode = connection->hostile->mode;
	buf_t begin = {0};

	if (endless[mode].signed_head)
		append_head(connection, &begin);
	buf_append(&begin, str_of(endless[mode].begin));
	if (send_all(connection->fd, str_buf(&begin))) {
		if (mode == HOSTILE_ENDLESS)
			send_events(connection);
		else
			send_endless(connection, endless[mode].repeat);
	}
	buf_free(&begin);
}

/* Makes the right answer to the request of a connection. */
static void
append_answer(const connection_t *connection, buf_t *out)
{
	char id[128];
	char tokens[32];
	char last[32];
	const char *comma;
	unsigned events;
	unsigned next = 0;
	buf_t body = {0};

	header_value(
	    connection->request, "X-Daisypier-Request-Id: ", id, sizeof(id));
	header_value(
	    connection->request, TOKENS_HEADER, tokens, sizeof(tokens));
	header_value(
	    connection->request, "Last-Event-Id: ", last, sizeof(last));
	comma = strchr(tokens, ',');
	events = comma != NULL ? (unsigned)strtoul(comma + 1, NULL, 10) / 8 : 0;
	if (connection->hostile->mode == HOSTILE_STRAY && last[0] != '\0') {
		next = (unsigned)strtoul(last, NULL, 10) + 1;
		connection->hostile->resumed++;
	}
	for (unsigned i = next; i < events; i++)
		buf_printf(&body, "id: %u\ndata: %s.%u\n\n", i, id, i);
	append_head(connection, out);
	buf_printf(out, "Content-Length: %zu\r\n\r\n", body.len);
	buf_append(out, str_buf(&body));
	buf_free(&body);
}

/* Answers a request rightly and sends the copy that the mode asks for. */
static bool
answer_with_copy(connection_t *connection)
{
	hostile_t *hostile = connection->hostile;
	bool open = true;

	if (hostile->mode == HOSTILE_SECOND_COPY &&
	    connection->answer.len > 0) {
		hostile->copies++;
		open = send_all(connection->fd, str_buf(&connection->answer));
	}
	buf_clear(&connection->answer);
	append_answer(connection, &connection->answer);
	open = open && send_all(connection->fd, str_buf(&connection->answer));
	if (open && hostile->mode == HOSTILE_LATE_COPY) {
		harness_sleep(LATE_COPY_S);
		hostile->copies++;
		open = send_all(connection->fd, str_buf(&connection->answer));
	}
	return (open);
}

static void
record_run(hostile_t *hostile, const char *id)
{
	pthread_mutex_lock(&hostile->lock);
	buf_printf(&hostile->runs, "%s\n", id);
	pthread_mutex_unlock(&hostile->lock);
}

static void
append_refusal(buf_t *out, const char *id)
{
	buf_append(out, STR("HTTP/1.1 503 Full\r\n"));
	if (id != NULL)
		buf_printf(out, "X-Daisypier-Request-Id: %s\r\n", id);
	buf_append(out,
	    STR("X-Daisypier-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
}

/* Fails a request's first run; sends that failure again before its answer. */
static bool
answer_after_failure(connection_t *connection)
{
	hostile_t *hostile = connection->hostile;
	char id[128];
	buf_t out = {0};
	bool open;

	header_value(
	    connection->request, "X-Daisypier-Request-Id: ", id, sizeof(id));
	if (!hostile_has_run(hostile, id) ||
	    strcmp(connection->refused, id) == 0) {
		buf_printf(&out,
		    "HTTP/1.1 500 Failed\r\nX-Daisypier-Request-Id: %s\r\n"
		    "X-Daisypier-Response-Signature: h.%s\r\n"
		    "Content-Length: 0\r\n\r\n",
		    id, id);
	}
	if (!hostile_has_run(hostile, id)) {
		record_run(hostile, id);
		str_copy(connection->refused, sizeof(connection->refused),
		    str_of(id));
	} else {
		hostile->copies += out.len > 0;
		append_answer(connection, &out);
	}
	open = send_all(connection->fd, str_buf(&out));
	buf_free(&out);
	return (open);
}

/* Sends a part of the right answer, or an error in its place. */
static bool
answer_in_part(const connection_t *connection)
{
	hostile_mode_t mode = connection->hostile->mode;
	char id[128];
	buf_t out = {0};

	header_value(
	    connection->request, "X-Daisypier-Request-Id: ", id, sizeof(id));
	if (mode == HOSTILE_ERROR_500 || mode == HOSTILE_ERROR_404) {
		buf_printf(&out,
		    "HTTP/1.1 %s Error\r\nX-Daisypier-Request-Id: %s\r\n"
		    "X-Daisypier-Response-Signature: h.%s\r\n"
		    "Content-Length: %zu\r\n\r\n%s",
		    mode == HOSTILE_ERROR_500 ? "500" : "404", id, id,
		    sizeof(error_text) - 1, error_text);
	} else if (mode == HOSTILE_TWO_LENGTHS) {
		append_head(connection, &out);
		buf_append(
		    &out, STR("Content-Length: 9\r\nContent-Length: 3\r\n\r\n"
			      "123456789"));
	} else if (mode == HOSTILE_TWO_HEADS) {
		buf_append(&out, STR("HTTP/1.1 500 Fai"));
		append_answer(connection, &out);
	} else {
		append_head(connection, &out);
		if (mode == HOSTILE_BREAK || mode == HOSTILE_ERROR_TEXT)
			buf_printf(&out, "Content-Length: %zu\r\n",
			    mode == HOSTILE_BREAK ? (size_t)100000
						  : sizeof(error_text) - 1);
		if (mode == HOSTILE_TORN_HEAD)
			buf_append(&out, STR("Content-Le"));
		if (mode != HOSTILE_HEAD_WITHOUT_END &&
		    mode != HOSTILE_TORN_HEAD)
			buf_append(&out, STR("\r\n"));
		if (mode == HOSTILE_ERROR_TEXT)
			buf_append(&out, STR(error_text));
		else if (mode == HOSTILE_BREAK || mode == HOSTILE_TORN_END)
			for (int i = 0; i < 2; i++)
				buf_printf(
				    &out, "id: %d\ndata: %s.%d\n\n", i, id, i);
		if (mode == HOSTILE_TORN_END)
			buf_append(&out, STR("id: 2\nda"));
	}
	(void)send_all(connection->fd, str_buf(&out));
	buf_free(&out);
	return (mode == HOSTILE_TWO_HEADS || mode == HOSTILE_ERROR_500 ||
		mode == HOSTILE_ERROR_404 || mode == HOSTILE_ERROR_TEXT);
}

/* Refuses the first request; sends that refusal again before later answers. */
static bool
answer_with_old_refusal(connection_t *connection)
{
	hostile_t *hostile = connection->hostile;
	hostile_mode_t mode = hostile->mode;
	char id[128];
	buf_t out = {0};
	bool open;

	header_value(
	    connection->request, "X-Daisypier-Request-Id: ", id, sizeof(id));
	if (connection->refused[0] == '\0') {
		str_copy(connection->refused, sizeof(connection->refused),
		    str_of(id));
		append_refusal(&out, id);
	} else {
		if (mode != HOSTILE_OLD_REFUSAL_OF_RETRY ||
		    strcmp(connection->refused, id) == 0) {
			hostile->copies++;
			append_refusal(
			    &out, mode == HOSTILE_OLD_REFUSAL_WITHOUT_ID
				      ? NULL
				      : connection->refused);
		}
		record_run(hostile, id);
		append_answer(connection, &out);
	}
	open = send_all(connection->fd, str_buf(&out));
	buf_free(&out);
	return (open);
}

/* Makes a success without events for the request of a connection. */
static void
append_empty_success(
    const connection_t *connection, const char *framing, buf_t *out)
{
	char id[128];

	header_value(
	    connection->request, "X-Daisypier-Request-Id: ", id, sizeof(id));
	buf_printf(out, "HTTP/1.1 200 OK\r\nX-Daisypier-Request-Id: %s\r\n%s",
	    id, framing);
}

/* Makes stray bytes; previous is an earlier answer on the connection. */
static void
append_stray(const connection_t *connection, stray_kind_t kind, str_t previous,
    buf_t *out)
{
	static const char *const texts[STRAY_KINDS] = {
	    [STRAY_TORN_STATUS] = "HTTP/1.1 500 Fai",
	    [STRAY_TORN_HEADER] = "HTTP/1.1 500 Failed\r\nDate: Sa",
	    [STRAY_TORN_SIGNATURE] =
		"HTTP/1.1 200 OK\r\nX-Daisypier-Response-Signature:",
	    [STRAY_FAILURE] =
		"HTTP/1.1 500 Failed\r\nContent-Length: 4\r\n\r\nfail",
	    [STRAY_REJECTION] =
		"HTTP/1.1 422 Rejected\r\nContent-Length: 0\r\n\r\n",
	    [STRAY_NO_CONTENT] = "HTTP/1.1 204 No Content\r\n\r\n",
	    [STRAY_INTERIM] = "HTTP/1.1 100 Continue\r\n\r\n",
	    [STRAY_BLANK_LINES] = "\r\n\r\n",
	    /* Up to STRAY_COMMENT_BODY these follow the head of a success. */
	    [STRAY_UNSIGNED] = "Content-Length: 0\r\n\r\n",
	    [STRAY_EMPTY_SIGNATURE] = "X-Daisypier-Response-Signature: \r\n"
				      "Content-Length: 0\r\n\r\n",
	    [STRAY_EMPTY] = "X-Daisypier-Response-Signature: h.stray\r\n"
			    "Content-Length: 0\r\n\r\n",
	    [STRAY_EMPTY_CHUNKED] =
		"X-Daisypier-Response-Signature: h.stray\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	    [STRAY_BLANK_BODY] = "X-Daisypier-Response-Signature: h.stray\r\n"
				 "Content-Length: 2\r\n\r\n\n\n",
	    [STRAY_COMMENT_BODY] = "X-Daisypier-Response-Signature: h.stray\r\n"
				   "Content-Length: 5\r\n\r\n: x\n\n",
	};

	if (kind == STRAY_COPY)
		buf_append(out, previous);
	else if (kind == STRAY_TORN_HEAD)
		buf_append(out, (str_t){previous.data, STRAY_HEAD_BYTES});
	else if (kind == STRAY_TORN_BODY)
		buf_append(out, (str_t){previous.data, previous.len - 10});
	else if (kind >= STRAY_UNSIGNED && kind <= STRAY_COMMENT_BODY)
		append_empty_success(connection, texts[kind], out);
	else
		buf_append(out, str_of(texts[kind]));
}

/* Answers a request rightly, with stray bytes before or after the answer. */
static bool
answer_with_stray(connection_t *connection)
{
	hostile_t *hostile = connection->hostile;
	stray_t stray;
	buf_t bytes = {0};
	buf_t answer = {0};
	bool strays;
	bool open = true;

	pthread_mutex_lock(&hostile->lock);
	stray = hostile->stray;
	pthread_mutex_unlock(&hostile->lock);
	append_answer(connection, &answer);
	/* The first request of a connection gets its answer alone. */
	strays = stray.late || connection->answer.len > 0;
	if (strays) {
		append_stray(connection, stray.kind,
		    str_buf(stray.late ? &answer : &connection->answer),
		    &bytes);
		hostile->copies++;
	}
	if (!stray.late && strays)
		open =
		    send_all(connection->fd, str_buf(&bytes)) && !stray.closes;
	open = open && send_all(connection->fd, str_buf(&answer));
	if (stray.late && open) {
		harness_sleep(hostile->answers % LATE_STRAY_MS * 1e-3);
		open =
		    send_all(connection->fd, str_buf(&bytes)) && !stray.closes;
	}
	buf_free(&connection->answer);
	connection->answer = answer;
	buf_free(&bytes);
	return (open);
}

static bool
is_early(hostile_mode_t mode)
{
	return (mode == HOSTILE_EARLY_RESET || mode == HOSTILE_EARLY_CLOSE);
}

/* Sends the first event without a length and ends; see the modes. */
static bool
answer_early(const connection_t *connection)
{
	/* Dissolves the connection with a reset. */
	const struct sockaddr none = {.sa_family = AF_UNSPEC};
	char id[128];
	buf_t out = {0};

	header_value(
	    connection->request, "X-Daisypier-Request-Id: ", id, sizeof(id));
	append_head(connection, &out);
	buf_printf(&out, "\r\nid: 0\ndata: %s.0\n\n", id);
	(void)send_all(connection->fd, str_buf(&out));
	buf_free(&out);
	if (connection->hostile->mode == HOSTILE_EARLY_CLOSE) {
		(void)shutdown(connection->fd, SHUT_WR);
		harness_sleep(EARLY_RESET_S);
	}
	(void)connect(connection->fd, &none, sizeof(none));
	return (false);
}

/* Answers a request rightly but for the status. */
static bool
answer_with_status(const connection_t *connection)
{
	hostile_mode_t mode = connection->hostile->mode;
	const char *status = mode == HOSTILE_STATUS_000	  ? "000"
			     : mode == HOSTILE_STATUS_099 ? "099"
			     : mode == HOSTILE_STATUS_600 ? "600"
							  : "999";
	buf_t out = {0};
	bool open;

	append_answer(connection, &out);
	memcpy(out.data + strlen("HTTP/1.1 "), status, strlen(status));
	open = send_all(connection->fd, str_buf(&out));
	buf_free(&out);
	return (open);
}

/* Reads a request with its body; false when the connection is closed. */
static bool
read_request(connection_t *connection)
{
	char length[16];
	char rest[16384];
	size_t have = 0;
	const char *end = NULL;
	size_t need = sizeof(connection->request) - 1;

	while (have < need) {
		size_t room = sizeof(connection->request) - 1;
		ssize_t n;

		/* What does not fit of a large body is dropped. */
		if (have >= room)
			n = recv(connection->fd, rest, sizeof(rest), 0);
		else
			n = recv(connection->fd, connection->request + have,
			    room - have, 0);
		if (n <= 0)
			return (false);
		have += (size_t)n;
		if (have <= room)
			connection->request[have] = '\0';
		if (end == NULL) {
			end = strstr(connection->request, "\r\n\r\n");
			if (end == NULL)
				continue;
			header_value(connection->request,
			    "Content-Length: ", length, sizeof(length));
			if (is_early(connection->hostile->mode))
				return (true);
			need = (size_t)(end - connection->request) + 4 +
			       strtoul(length, NULL, 10);
		}
	}
	return (true);
}

static void *
serve(void *ctx)
{
	connection_t *connection = ctx;
	hostile_t *hostile = connection->hostile;
	bool open = true;

	while (open && read_request(connection)) {
		hostile->answers++;
		if (hostile->mode < HOSTILE_MODES) {
			answer_endless(connection);
			open = false;
		} else if (hostile->mode == HOSTILE_STRAY) {
			open = answer_with_stray(connection);
		} else if (is_early(hostile->mode)) {
			open = answer_early(connection);
		} else if (hostile->mode >= HOSTILE_STATUS_000) {
			open = answer_with_status(connection);
		} else if (hostile->mode >= HOSTILE_BREAK) {
			open = answer_in_part(connection);
		} else if (hostile->mode == HOSTILE_OLD_FAILURE) {
			open = answer_after_failure(connection);
		} else if (hostile->mode >= HOSTILE_OLD_REFUSAL_WITHOUT_ID) {
			open = answer_with_old_refusal(connection);
		} else {
			open = answer_with_copy(connection);
		}
	}
	shutdown(connection->fd, SHUT_RDWR);
	buf_free(&connection->answer);
	return (NULL);
}

static void *
accept_all(void *ctx)
{
	hostile_t *hostile = ctx;

	while (hostile->count < MAX_CONNECTIONS) {
		connection_t *connection =
		    &hostile->connections[hostile->count];
		int fd = accept(hostile->listener, NULL, NULL);

		if (fd < 0)
			break;
		connection->hostile = hostile;
		connection->fd = fd;
		pthread_create(&connection->thread, NULL, serve, connection);
		hostile->count++;
	}
	return (NULL);
}

/* Begins to answer at an address; NULL when it cannot be bound. */
hostile_t *
hostile_start(const char *ip, uint16_t port, hostile_mode_t mode, bool slow)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons(port)};
	hostile_t *hostile = xcalloc(1, sizeof(*hostile));
	const int on = 1;

	hostile->mode = mode;
	hostile->slow = slow;
	pthread_mutex_init(&hostile->lock, NULL);
	hostile->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(
	    hostile->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	inet_pton(AF_INET, ip, &address.sin_addr);
	if (bind(hostile->listener, (struct sockaddr *)&address,
		sizeof(address)) != 0 ||
	    listen(hostile->listener, MAX_CONNECTIONS) != 0) {
		close(hostile->listener);
		free(hostile);
		return (NULL);
	}
	pthread_create(&hostile->thread, NULL, accept_all, hostile);
	return (hostile);
}

void
hostile_set_stray(hostile_t *hostile, stray_t stray)
{
	pthread_mutex_lock(&hostile->lock);
	hostile->stray = stray;
	pthread_mutex_unlock(&hostile->lock);
}

/* Returns how many requests were read. */
unsigned
hostile_answers(const hostile_t *hostile)
{
	return (hostile->answers);
}

/* Returns how many copies of answers were sent. */
unsigned
hostile_copies(const hostile_t *hostile)
{
	return (hostile->copies);
}

/* Returns how many streams a server in mode HOSTILE_STRAY went on with. */
unsigned
hostile_resumed(const hostile_t *hostile)
{
	return (hostile->resumed);
}

/* Whether a request was run; only refusing modes record it. */
bool
hostile_has_run(hostile_t *hostile, const char *id)
{
	char line[160];
	bool found;

	snprintf(line, sizeof(line), "%s\n", id);
	pthread_mutex_lock(&hostile->lock);
	found =
	    hostile->runs.len > 0 && strstr(hostile->runs.data, line) != NULL;
	pthread_mutex_unlock(&hostile->lock);
	return (found);
}

/* Closes all connections and ends. */
void
hostile_end(hostile_t *hostile)
{
	hostile->ended = true;
	shutdown(hostile->listener, SHUT_RDWR);
	pthread_join(hostile->thread, NULL);
	for (unsigned i = 0; i < hostile->count; i++) {
		shutdown(hostile->connections[i].fd, SHUT_RDWR);
		pthread_join(hostile->connections[i].thread, NULL);
		close(hostile->connections[i].fd);
	}
	close(hostile->listener);
	pthread_mutex_destroy(&hostile->lock);
	buf_free(&hostile->runs);
	free(hostile);
}
