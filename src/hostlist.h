/*
 * Polls the platform's list of live and leaving hosts. The list may be out of
 * date or wrong.
 */
#ifndef DAISYPIER_HOSTLIST_H
#define DAISYPIER_HOSTLIST_H

#include <ev.h>

#include "httpc.h"
#include "membership.h"

typedef struct hostlist_t hostlist_t;

/* A host or an endpoint; the list owns the strings. */
typedef struct hostlist_entry_t {
	const char *name;
	const char *address; /* "IP" or "IP:PORT" */
	const char *zone;
	bool leaving;
} hostlist_entry_t;

typedef struct hostlist_params_t {
	httpc_t *httpc;
	const char *base_url; /* platform API, "http://IP:PORT" */
	double period_s;      /* polling interval; 0 selects 2 */
	double timeout_s;     /* limit for one poll; 0 selects 5 */
	/* Receives unknown host addresses as seeds; may be NULL. */
	membership_t *membership;
	void (*on_change)(void *ctx); /* may be NULL */
	void *ctx;
} hostlist_params_t;

hostlist_t *hostlist_new(struct ev_loop *loop, const hostlist_params_t *params);
void hostlist_delete(hostlist_t *list);
size_t hostlist_entries(const hostlist_t *list, const hostlist_entry_t **out);
bool hostlist_is_leaving(const hostlist_t *list, str_t name_or_address);
double hostlist_age_s(const hostlist_t *list);

#endif
