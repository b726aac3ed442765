/* What a forward of the fault proxy does to the bytes it carries. */
#ifndef DAISYPIER_STANDIN_FAULT_H
#define DAISYPIER_STANDIN_FAULT_H

#include <ev.h>
#include <netinet/in.h>

#include "str.h"

typedef enum link_mode_t {
	LINK_PASS,
	LINK_CUT,	/* close open connections, then pass */
	LINK_FREEZE,	/* carry nothing, close nothing */
	LINK_DELAY,	/* carry everything later */
	LINK_DROP_UP,	/* carry nothing towards the target */
	LINK_DROP_DOWN, /* carry nothing towards the client */
	LINK_REFUSE,	/* refuse new connections */
	LINK_MODE_COUNT,
} link_mode_t;

typedef struct link_fault_t {
	link_mode_t mode;
	bool only_open; /* only connections that are open now, for good */
	double delay;	/* seconds */
	/*
	 * Only TCP connections from this IP number, in network byte order;
	 * 0: all. Connections cannot be refused or cut by it.
	 */
	uint32_t from;
} link_fault_t;

typedef struct forward_stats_t {
	unsigned open; /* connections, or clients of a UDP forward */
	uint64_t accepted;
	uint64_t bytes_up;
	uint64_t bytes_down;
	uint64_t dropped; /* datagrams */
} forward_stats_t;

typedef struct forward_params_t {
	struct sockaddr_in listen;
	struct sockaddr_in target;
} forward_params_t;

int link_mode_parse(const char *name, link_mode_t *mode);
const char *link_mode_name(link_mode_t mode);
int forward_params_parse(const char *text, forward_params_t *params);

#endif
