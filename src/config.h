/* The fleet's configuration: one base file and an overlay for each site. */
#ifndef DAISYPIER_CONFIG_H
#define DAISYPIER_CONFIG_H

#include "config_fault.h"

typedef enum endpoint_kind_t {
	ENDPOINT_ENGINE,
	ENDPOINT_SERVICE,
} endpoint_kind_t;

/* Time that an order may take to reach an endpoint, in milliseconds. */
#define CONFIG_ORDER_TIME_MS 1000

/* One server behind the system: section [endpoint NAME]. */
typedef struct config_endpoint_t {
	char *name;
	char *address; /* "IP:PORT" */
	char *zone;
	char *pool; /* name of its model or service */
	endpoint_kind_t kind;
	unsigned slots; /* requests at a time */
	bool fencing;	/* refuses orders with an old fencing number */
	char *version;	/* wanted model version; empty: any */
	char *role;	/* wanted role: "any", "prefill" or "decode" */
	char *adapters; /* wanted adapters, separated by commas */
} config_endpoint_t;

/* All endpoints of one model or service: section [model NAME]/[service NAME].
 */
typedef struct config_pool_t {
	char *name;
	endpoint_kind_t kind;
	unsigned online_reserve; /* slots of the pool that batch leaves free */
	unsigned queue_limit;	 /* online requests that may wait */
	size_t *endpoints;	 /* indexes into fleet_config_t.endpoints */
	size_t endpoint_count;
} config_pool_t;

/* One customer: section [organisation NAME]. */
typedef struct config_org_t {
	char *name;
	char *token_hash; /* hex of the token's 32-byte generic hash */
	unsigned weight;
	double requests_per_s; /* 0: unlimited */
	double burst;	       /* requests; 0: one second of the rate */
	unsigned concurrency;  /* requests at a time in a pool; 0: unlimited */
} config_org_t;

/* Somebody who may change the configuration: section [operator NAME]. */
typedef struct config_operator_t {
	char *name;
	char *token_hash;
} config_operator_t;

/* Scalar settings of section [fleet]; times in the unit of their name. */
typedef struct config_fleet_t {
	unsigned shards;
	unsigned append_budget; /* appends a second, whole fleet */
	unsigned retention_s;	/* of the log service */
	unsigned owner_check_ms;
	unsigned move_hold_s;
	unsigned accept_timeout_ms;
	unsigned results_keep_s;
	unsigned key_lifetime_s;
	unsigned entries_keep_s;
	unsigned request_max_s;
	unsigned silence_ms;
	unsigned first_token_silence_ms;
	unsigned grant_timeout_ms; /* until the local allowance is used */
	unsigned revoke_timeout_ms;
	unsigned retry_percent;
	unsigned retry_min_per_s;
	unsigned item_tries;
	unsigned max_item_bytes;
	unsigned max_job_items;
	unsigned max_body_bytes;
	unsigned weight_loads_per_minute;
	unsigned order_lease_ms;
	unsigned clock_error_ms;
} config_fleet_t;

/* Immutable; shared by reference counts. */
typedef struct fleet_config_t {
	unsigned refs;
	config_fleet_t fleet;
	config_pool_t *pools;
	size_t pool_count;
	config_endpoint_t *endpoints;
	size_t endpoint_count;
	config_org_t *orgs;
	size_t org_count;
	bool has_orgs;	  /* of the gateway: requests belong to organisations */
	bool limits_orgs; /* the rates of orgs hold over all hosts of a site */
	config_operator_t *operators;
	size_t operator_count;
} fleet_config_t;

int config_parse(
    str_t base, str_t overlay, fleet_config_t **out, config_faults_t *faults);

fleet_config_t *config_ref(fleet_config_t *config);
void config_unref(fleet_config_t *config);

const config_pool_t *config_pool(const fleet_config_t *config, str_t name);
const config_endpoint_t *config_endpoint(
    const fleet_config_t *config, str_t name);
const config_org_t *config_org(const fleet_config_t *config, str_t name);
const config_org_t *config_org_of_token(
    const fleet_config_t *config, str_t token);
const config_operator_t *config_operator_of_token(
    const fleet_config_t *config, str_t token);
void config_token_hash(str_t token, char out[65]);

void config_describe(buf_t *out);

#endif
