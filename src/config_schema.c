/* The sections and keys of the fleet's configuration. */
#include "config_schema.h"

#include "config.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

#define UINT(struct_, member, unit_, initial_, min_, max_, text)           \
	{                                                                  \
		.name = #member, .type = SCHEMA_UINT, .unit = (unit_),     \
		.initial = (initial_), .min = (min_), .max = (max_),       \
		.offset = offsetof(struct_, member), .description = (text) \
	}
#define FLEET(member, unit_, initial_, min_, max_, text) \
	UINT(config_fleet_t, member, unit_, initial_, min_, max_, text)
#define STRING(struct_, member, type_, initial_, choices_, text)            \
	{                                                                   \
		.name = #member, .type = (type_), .initial = (initial_),    \
		.choices = (choices_), .offset = offsetof(struct_, member), \
		.description = (text)                                       \
	}

static const schema_key_t fleet_keys[] = {
    FLEET(shards, NULL, "64", 1, 4096,
	"Partitions of the durable state; fixed for the lifetime of the "
	"streams"),
    FLEET(append_budget, "/s", "200", 1, 10000,
	"Appends that the owners of all shards together may make"),
    FLEET(retention_s, "s", "86400", 30, 31536000,
	"Time after which the log service drops a record"),
    FLEET(owner_check_ms, "ms", "2000", 200, 60000,
	"Age at which an owner's last read no longer permits new work"),
    FLEET(move_hold_s, "s", "3", 0, 3600,
	"Time for which placement must prefer another host before an owner "
	"offers it the shard"),
    FLEET(accept_timeout_ms, "ms", "10000", 100, 600000,
	"Time in which the submission of a job is answered"),
    FLEET(results_keep_s, "s", "604800", 1, 31536000,
	"Time for which the results of a finished job stay readable"),
    FLEET(key_lifetime_s, "s", "86400", 60, 31536000,
	"Time for which the idempotency key of a non-repeatable request is "
	"kept"),
    FLEET(entries_keep_s, "s", "10", 1, 3600,
	"Time for which callers may cache the list of entry addresses"),
    FLEET(request_max_s, "s", "600", 1, 86400,
	"Longest deadline of an online request"),
    FLEET(silence_ms, "ms", "1000", 50, 600000,
	"Time without a token after which a connection is abandoned"),
    FLEET(first_token_silence_ms, "ms", "3000", 50, 600000,
	"The same before the first token"),
    FLEET(grant_timeout_ms, "ms", "150", 10, 10000,
	"Time without an answer after which the local allowance is used"),
    FLEET(revoke_timeout_ms, "ms", "500", 50, 60000,
	"Time after which a revoked slot is reassigned regardless"),
    FLEET(retry_percent, "%", "10", 0, 100,
	"Retries that a host may make, as a share of its recent requests"),
    FLEET(retry_min_per_s, "/s", "3", 0, 1000,
	"Retries that a host may make besides"),
    FLEET(item_tries, NULL, "3", 1, 100,
	"Attempts at a batch item before it has failed"),
    FLEET(max_item_bytes, "bytes", "65536", 64, 1048576,
	"Size of one batch item"),
    FLEET(max_job_items, NULL, "200000", 1, 10000000, "Items in one job"),
    FLEET(max_body_bytes, "bytes", "67108864", 1024, 1073741824,
	"Size of the body of one request"),
    FLEET(weight_loads_per_minute, "/min", "6", 1, 100000,
	"Loads of model weights that the whole fleet may start"),
    FLEET(order_lease_ms, "ms", "5000", 100, 600000,
	"Time after an owner's read in which it may send orders to endpoints "
	"that ignore fencing"),
    FLEET(clock_error_ms, "ms", "500", 0, 60000,
	"Largest difference between the clocks of two hosts"),
};

static const schema_key_t pool_keys[] = {
    UINT(config_pool_t, online_reserve, "slots", "1", 0, 1000000,
	"Slots of the pool that batch leaves free for online requests"),
    UINT(config_pool_t, queue_limit, "requests", "1000", 0, 1000000,
	"Online requests that may wait for a slot"),
};

static const schema_key_t endpoint_keys[] = {
    STRING(config_endpoint_keys_t, address, SCHEMA_ADDRESS, NULL, NULL,
	"Where the endpoint listens"),
    STRING(config_endpoint_keys_t, zone, SCHEMA_NAME, NULL, NULL,
	"Its availability zone"),
    STRING(config_endpoint_keys_t, model, SCHEMA_NAME, "", NULL,
	"The model that it serves; exactly one of model and service is "
	"stated"),
    STRING(config_endpoint_keys_t, service, SCHEMA_NAME, "", NULL,
	"The plain service that it offers"),
    UINT(config_endpoint_keys_t, slots, "slots", "8", 1, 10000,
	"Requests at a time"),
    {.name = "fencing",
	.type = SCHEMA_BOOL,
	.initial = "checked",
	.choices = "ignored|checked",
	.offset = offsetof(config_endpoint_keys_t, fencing),
	.description = "Whether it refuses orders with an old fencing number"},
    STRING(config_endpoint_keys_t, version, SCHEMA_TEXT, "", NULL,
	"Wanted version of the model; empty: any"),
    STRING(config_endpoint_keys_t, role, SCHEMA_CHOICE, "any",
	"any|prefill|decode", "Wanted role"),
    STRING(config_endpoint_keys_t, adapters, SCHEMA_LIST, "", NULL,
	"Wanted adapters"),
};

static const schema_key_t org_keys[] = {
    STRING(config_org_t, token_hash, SCHEMA_HASH, NULL, NULL,
	"Hash of its token, from `daisypier token hash`"),
    UINT(config_org_t, weight, NULL, "1", 1, 1000,
	"Share of capacity relative to other organisations"),
    {.name = "requests_per_s",
	.type = SCHEMA_NUMBER,
	.unit = "/s",
	.initial = "0",
	.min = 0,
	.max = 1000000,
	.offset = offsetof(config_org_t, requests_per_s),
	.description = "Online requests in each pool; 0: unlimited"},
    UINT(config_org_t, concurrency, "requests", "0", 0, 1000000,
	"Requests at a time in each pool; 0: unlimited"),
};

static const schema_key_t operator_keys[] = {
    STRING(config_operator_t, token_hash, SCHEMA_HASH, NULL, NULL,
	"Hash of the operator's token, from `daisypier token hash`"),
};

const schema_section_t config_schema_sections[CONFIG_SECTION_COUNT] = {
    [CONFIG_FLEET] =
	{
	    .name = "fleet",
	    .description = "Settings of the whole fleet.",
	    .keys = fleet_keys,
	    .count = COUNT(fleet_keys),
	},
    [CONFIG_MODEL] =
	{
	    .name = "model",
	    .named = true,
	    .description = "A pool of model engines that serve one model.",
	    .keys = pool_keys,
	    .count = COUNT(pool_keys),
	    .name_offset = offsetof(config_pool_t, name),
	},
    [CONFIG_SERVICE] =
	{
	    .name = "service",
	    .named = true,
	    .description = "A pool of servers that offer one plain service.",
	    .keys = pool_keys,
	    .count = COUNT(pool_keys),
	    .name_offset = offsetof(config_pool_t, name),
	},
    [CONFIG_ENDPOINT] =
	{
	    .name = "endpoint",
	    .named = true,
	    .description = "One server behind the system.",
	    .keys = endpoint_keys,
	    .count = COUNT(endpoint_keys),
	    .name_offset = offsetof(config_endpoint_keys_t, name),
	},
    [CONFIG_ORGANISATION] =
	{
	    .name = "organisation",
	    .named = true,
	    .description = "A customer.",
	    .keys = org_keys,
	    .count = COUNT(org_keys),
	    .name_offset = offsetof(config_org_t, name),
	},
    [CONFIG_OPERATOR] =
	{
	    .name = "operator",
	    .named = true,
	    .description = "Somebody who may change the configuration.",
	    .keys = operator_keys,
	    .count = COUNT(operator_keys),
	    .name_offset = offsetof(config_operator_t, name),
	},
};
