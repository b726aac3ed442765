/* A fleet of gateway hosts with stand-ins of the users' store and engines. */
#ifndef DAISYPIER_TESTS_HARNESS_GATEWAYS_H
#define DAISYPIER_TESTS_HARNESS_GATEWAYS_H

#include "harness.h"

#define GATEWAYS_MAX_HOSTS   8
#define GATEWAYS_MAX_ENGINES 8
/* Tokens of each event of an engine. */
#define GATEWAYS_EVENT_TOKENS 8
/* Host name of the routes of the fleet's configuration. */
#define GATEWAYS_HOST	     "calls.example"
#define GATEWAYS_HOST_HEADER "Host: calls.example"
/* Prefixes of its routes. */
#define GATEWAYS_ONCE	"/once/"   /* streams that run at most once */
#define GATEWAYS_RESUME "/resume/" /* streams that may be resumed */
#define GATEWAYS_JOBS	"/jobs/"   /* jobs */
#define GATEWAYS_IDLE	"/idle/"   /* jobs of the service without engines */
/* A service that has no engines unless a test starts one. */
#define GATEWAYS_IDLE_SERVICE "idle"

typedef struct gateways_params_t {
	unsigned hosts;	      /* 0: 3 */
	unsigned engines;     /* 0: 2 */
	unsigned slots;	      /* of an engine; 0: 8 */
	unsigned event_ms;    /* between events; 0: 10 */
	const char *settings; /* more lines of the hosts' settings; or NULL */
	const char *service;  /* of the engines; NULL: "m" */
	const char *engine_prefix; /* of the engines' ids; NULL: "e" */
	bool fair_scheduling;
	bool idle_service; /* configures GATEWAYS_IDLE_SERVICE as well */
	/* Hosts reach the store and the engines through a fault proxy. */
	bool proxied;
	const char *logs;    /* folder for the hosts' logs; NULL: dropped */
	const char *journal; /* file that gets a line for each run or NULL */
	const char *org_journal; /* the same with organisations */
	/* Engines crash when they answer a prompt with this part, in hex. */
	const char *crash_part;
	const char *crash_prompt; /* the same with this whole prompt */
	bool crash_early;	  /* before the first byte of the response */
	/* List of organisations of the configuration, JSON; NULL: none. */
	const char *tenants;
	const char *key; /* of all requests of callers; NULL: none */
	unsigned revoke_ms;
	double configure_timeout;   /* of gateways_configure(); 0: default */
	unsigned descriptors;	    /* limit of each host; 0: inherited */
	const uint16_t *peer_ports; /* of each host; NULL: the same for all */
} gateways_params_t;

typedef struct gateways_t {
	gateways_params_t params;
	harness_process_t *store;
	harness_process_t *proxy; /* NULL unless proxied */
	harness_process_t *hosts[GATEWAYS_MAX_HOSTS];
	harness_process_t *engines[GATEWAYS_MAX_ENGINES];
	unsigned engine_starts[GATEWAYS_MAX_ENGINES];
	double engine_ended_at[GATEWAYS_MAX_ENGINES]; /* 0: it runs */
	uint16_t engine_port;
	uint16_t proxy_port;
	uint16_t callers_port;
	uint16_t readiness_port;
	uint16_t directory_port;
	uint16_t peer_port;
	uint64_t config_version;
} gateways_t;

void gateways_start(gateways_t *fleet, const gateways_params_t *params);
void gateways_end(gateways_t *fleet);
void gateways_start_host(gateways_t *fleet, unsigned host);
void gateways_start_engine(gateways_t *fleet, unsigned engine);
bool gateways_wait_ready(gateways_t *fleet, unsigned host);
/* Returns whether the store has confirmed the configuration. */
bool gateways_configure(gateways_t *fleet, const char *extra_routes);
/* Writes a record of the store; an empty value removes the key. */
void gateways_record(
    gateways_t *fleet, const char *topic, const char *key, const char *value);
/* Registers an engine that is no process of the fleet, or removes it. */
void gateways_register(
    gateways_t *fleet, const char *id, const char *address, unsigned slots);
void gateways_unregister(gateways_t *fleet, const char *id);
void gateways_store_faults(gateways_t *fleet, const char *query);
/* Forward 0 of the proxy is the store, forward N + 1 engine N. */
void gateways_proxy_fault(gateways_t *fleet, const char *query);
void gateways_engine_faults(
    gateways_t *fleet, unsigned engine, const char *query);
/* What the running engines did for one request. */
typedef struct gateways_runs_t {
	unsigned runs;
	unsigned complete;
	unsigned resumed; /* runs that went on after an event */
	bool working;
	unsigned keys;	    /* headers with a key that reached an engine */
	unsigned org_names; /* headers with the name of an organisation */
	char org[512];	    /* the last of these names */
} gateways_runs_t;

/* Writes the header with the fleet's key; returns NULL without a key. */
const char *gateways_key_header(
    const gateways_t *fleet, char *out, size_t size);
gateways_runs_t gateways_runs(gateways_t *fleet, const char *id);
void gateways_caller_url(
    const gateways_t *fleet, unsigned host, char *out, size_t size);

/* One stream; events is how many it should have. */
typedef struct gateways_stream_t {
	int status;	    /* 0: none */
	bool whole;	    /* the answer ended as complete */
	bool right;	    /* all events in order, none missing */
	bool begins_right;  /* the body is empty or the start of a right one */
	bool has_events;    /* the body begins with an event */
	bool is_signed;	    /* an endpoint's signature for this request */
	int engine;	    /* that signed it; -1: none */
	double retry_after; /* seconds; negative: none */
} gateways_stream_t;

gateways_stream_t gateways_stream(gateways_t *fleet, unsigned host,
    const char *prefix, const char *id, unsigned events, double timeout);
gateways_stream_t gateways_stream_prompt(gateways_t *fleet, unsigned host,
    const char *prefix, const char *id, const char *prompt, unsigned events,
    double timeout);
/* Starts the engines again that ended at least delay seconds ago. */
void gateways_restart_engines(gateways_t *fleet, double delay);
int gateways_submit(gateways_t *fleet, unsigned host, const char *job,
    unsigned items, unsigned events);
int gateways_submit_to(gateways_t *fleet, unsigned host, const char *prefix,
    const char *job, unsigned items, unsigned events);
int gateways_submit_prompt(gateways_t *fleet, unsigned host, const char *job,
    unsigned items, unsigned events, const char *prompt);
int gateways_results(gateways_t *fleet, unsigned host, const char *job,
    unsigned after, buf_t *body);
bool gateways_wait_job(gateways_t *fleet, const char *job, unsigned items,
    unsigned events, double timeout);
bool gateways_wait_padded_job(gateways_t *fleet, const char *job,
    unsigned items, unsigned events, unsigned padding, double timeout);

#endif
