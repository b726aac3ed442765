/* Routing table: maps requests to pools and states how they are handled. */
#ifndef DAISYPIER_ROUTING_TABLE_H
#define DAISYPIER_ROUTING_TABLE_H

#include "key_index.h"
#include "name.h"

typedef enum request_kind_t {
	REQUEST_SAFE,	/* repeatable: may run more than once */
	REQUEST_UNSAFE, /* non-repeatable: runs at most once */
	REQUEST_STREAM, /* non-repeatable unless the route is resumable */
	REQUEST_BATCH,	/* job whose items run in the background */
} request_kind_t;

/* A pool and its weight in the distribution of a route's requests. */
typedef struct route_share_t {
	char *pool;
	unsigned weight;
} route_share_t;

typedef struct request_route_t {
	char *name;
	char *host;
	char *prefix; /* of the target, byte by byte; begins with a slash */
	request_kind_t kind;
	bool resumable;
	bool has_prompt;   /* requests contain the parts of a prompt */
	bool is_public;	   /* requests need no key */
	bool unreadable;   /* only host and prefix are known; has no pool */
	unsigned priority; /* 0 is the most urgent */
	unsigned max_attempts;
	double timeout;		  /* seconds until a request must be answered */
	double target_latency;	  /* seconds to the response or first event */
	double target_gap;	  /* seconds between two events */
	double event_patience;	  /* callers leave after it without an event */
	double completion_window; /* seconds in which a job should finish */
	double retention;	  /* seconds that a job's items are kept */
	route_share_t *shares;
	size_t share_count;
} request_route_t;

/* A pool: the endpoints that serve the same requests. */
typedef struct route_pool_t {
	char *name;
	unsigned slots; /* per endpoint, unless its own entry states them */
	uint64_t memory_tokens; /* KV cache of one endpoint; 0: unknown */
	unsigned max_connections;
} route_pool_t;

/* An organisation: a customer whose requests carry one of its keys. */
typedef struct org_t {
	char *name;	    /* as endpoints get it, of any length */
	char id[NAME_SIZE]; /* its name among hosts, see name_shorten() */
	bool has_priority;  /* then it takes precedence over the route's */
	unsigned priority;
	double requests_per_s; /* over all hosts; 0: unlimited */
	double burst;	       /* requests, in addition to the rate */
} org_t;

/* Immutable once published; shared by reference counting. */
typedef struct routing_table_t {
	unsigned refs;
	uint64_t version;
	request_route_t *routes;
	size_t route_count;
	route_pool_t *pools;
	size_t pool_count;
	bool has_orgs; /* requests need a key, unless their route is public */
	org_t *orgs;
	size_t org_count;
	key_index_t *keys; /* indices of orgs; NULL without orgs */
	/*
	 * What could not be read, one text for each entry or field. Requests
	 * that may be meant by it are refused as not run, because only the
	 * entry says whether they are allowed.
	 */
	char **faults;
	size_t fault_count;
	bool lacks_routes; /* there are routes without a known host or prefix */
	bool lacks_keys;   /* there are keys that could not be read */
} routing_table_t;

routing_table_t *routing_table_new(size_t routes, size_t pools);
routing_table_t *routing_table_ref(routing_table_t *table);
void routing_table_unref(routing_table_t *table);
void routing_table_add_fault(routing_table_t *table, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void routing_table_drop_route(routing_table_t *table);
bool routing_table_replaces(
    const routing_table_t *table, const routing_table_t *in_force);
const request_route_t *routing_table_match(
    const routing_table_t *table, str_t host, str_t target);
const request_route_t *routing_table_find(
    const routing_table_t *table, str_t name);
const route_pool_t *routing_table_pool(
    const routing_table_t *table, str_t name);
void org_set_name(org_t *org, str_t name);
const org_t *routing_table_org(const routing_table_t *table, str_t name);
const char *request_route_select_pool(
    const request_route_t *route, uint64_t hash);
bool request_route_repeatable(const request_route_t *route);
void request_route_describe(const request_route_t *route, buf_t *out);

#endif
