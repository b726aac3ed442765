/* A server on the test's loop that answers requests with given bytes. */
#ifndef DAISYPIER_TESTS_HARNESS_SCRIPT_H
#define DAISYPIER_TESTS_HARNESS_SCRIPT_H

#include <ev.h>

#include "str.h"

#define SCRIPT_MAX_CONNECTIONS 16

/* What is sent when a request has arrived, whatever it asks. */
typedef struct script_answer_t {
	str_t bytes;
	/* Sent instead if the connection has served a request, unless empty. */
	str_t reused;
	bool closes; /* the connection ends with these bytes */
} script_answer_t;

typedef struct script_server_t script_server_t;

typedef struct script_connection_t {
	script_server_t *server;
	int fd;	     /* -1: closed */
	bool served; /* a request before */
	buf_t input;
	ev_io io;
} script_connection_t;

struct script_server_t {
	struct ev_loop *loop;
	int fd;
	uint16_t port;
	const script_answer_t *answers; /* one for each request, in order */
	size_t count;
	size_t requests;    /* that have arrived */
	size_t connections; /* that were accepted */
	ev_io io;
	script_connection_t accepted[SCRIPT_MAX_CONNECTIONS];
};

void script_server_start(script_server_t *server, struct ev_loop *loop,
    const char *address, const script_answer_t *answers, size_t count);
void script_server_end(script_server_t *server);

#endif
