/* The routes in force: which requests go to which pool and how. */
#ifndef DAISYPIER_ROUTING_TABLE_H
#define DAISYPIER_ROUTING_TABLE_H

#include "str.h"

typedef enum request_kind_t {
	REQUEST_SAFE,	/* may run more than once */
	REQUEST_UNSAFE, /* runs at most once */
	REQUEST_STREAM, /* unsafe unless the route is resumable */
	REQUEST_BATCH,	/* a job of many items that run later */
} request_kind_t;

/* A pool that gets a share of a route's requests. */
typedef struct route_share_t {
	char *pool;
	unsigned weight;
} route_share_t;

typedef struct request_route_t {
	char *name;
	char *host;
	char *prefix; /* begins and ends with a slash */
	request_kind_t kind;
	bool resumable;
	bool has_prompt;   /* its requests state the parts of a prompt */
	unsigned priority; /* 0 is the most urgent */
	unsigned max_attempts;
	double timeout;	       /* seconds that a request may be kept waiting */
	double target_latency; /* seconds to the answer or the first event */
	double target_gap;     /* seconds between two events */
	double completion_window; /* seconds, of a job */
	double retention;	  /* seconds, of a job's items */
	route_share_t *shares;
	size_t share_count;
} request_route_t;

/* A pool of endpoints that serve the same requests. */
typedef struct route_pool_t {
	char *name;
	unsigned slots; /* of one endpoint, when its own entry names none */
	uint64_t memory_tokens; /* of one endpoint; 0: not known */
	unsigned max_connections;
} route_pool_t;

/* Immutable; shared by reference counts. */
typedef struct routing_table_t {
	unsigned refs;
	uint64_t version;
	request_route_t *routes;
	size_t route_count;
	route_pool_t *pools;
	size_t pool_count;
} routing_table_t;

routing_table_t *routing_table_new(size_t routes, size_t pools);
routing_table_t *routing_table_ref(routing_table_t *table);
void routing_table_unref(routing_table_t *table);
const request_route_t *routing_table_match(
    const routing_table_t *table, str_t host, str_t target);
const request_route_t *routing_table_find(
    const routing_table_t *table, str_t name);
const char *request_route_pool(const request_route_t *route, uint64_t hash);
bool request_route_repeatable(const request_route_t *route);

#endif
