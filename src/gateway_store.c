/* Replicates routes and endpoints from the store to a gateway host. */
#include "gateway_state.h"

#include <math.h>
#include <string.h>

#include "clock.h"
#include "logger.h"
#include "result.h"

/*
 * Maximum time that a long-polling read of the configuration is held open.
 * Short, so that a dead connection is detected soon.
 */
#define CONFIG_READ_WAIT_S 1.0
/*
 * Longest wait as a part of the limit for revocations. While nothing is wrong,
 * the last complete read is up to two waits old; with 0.2, that is 0.4 of the
 * limit, and readiness is withdrawn at 0.6.
 */
#define CONFIG_READ_WAIT_SHARE 0.2
/* Age at the start of a read, in waits, that is only reached by failures. */
#define CONFIG_PROMPT_AFTER_WAITS 1.5
/*
 * Endpoint records are polled, because endpoints write so often that a
 * long-polling read would return at once.
 */
#define ENDPOINTS_POLL_INTERVAL_S 0.45
/* Faults of one version that are logged; all are counted. */
#define MAX_LOGGED_FAULTS 20

/* Rebuilds the configuration for admission from routes and endpoints. */
void
gateway_update_fleet_config(gateway_t *gateway)
{
	fleet_config_t *previous = gateway->fleet_config;

	gateway->fleet_config_outdated = false;
	if (gateway->table == NULL)
		return;
	counter_add(gateway->fleet_config_builds, 1);
	gateway->fleet_config =
	    endpoint_set_to_config(gateway->endpoints, gateway->table);
	config_unref(previous);
	if (gateway->grants != NULL)
		grants_fleet_changed(gateway->grants);
	gateway_update_ready(gateway);
}

static uint64_t
version_in_force(const gateway_t *gateway)
{
	return (gateway->table != NULL ? gateway->table->version : 0);
}

/*
 * Notes that the newest version cannot be read. The one in force goes on, but
 * it is known to be the newest only as of the last read before this one.
 */
static void
config_reject(
    gateway_t *gateway, const store_record_t *record, const buf_t *fault)
{
	counter_add(gateway->rejected_configs, 1);
	LOG_ERROR("config_rejected",
	    "offset=%llu bytes=%zu in_force=%llu fault=" STR_FMT,
	    (unsigned long long)record->offset, record->value.len,
	    (unsigned long long)version_in_force(gateway),
	    STR_ARG(str_buf(fault)));
	gateway_set_config_unreadable(gateway, true);
	if (gateway->table == NULL)
		gateway_refuse_waiting(gateway, -RESULT_CONFIG_UNREADABLE);
}

/* Logs what of a version cannot be read, and counts it in the metrics. */
static void
config_report_faults(gateway_t *gateway, const routing_table_t *table)
{
	gauge_set(gateway->unreadable_entries, (double)table->fault_count);
	for (size_t i = 0; i < table->fault_count && i < MAX_LOGGED_FAULTS; i++)
		LOG_ERROR("config_entry_unreadable",
		    "version=%llu number=%zu of=%zu fault=%s",
		    (unsigned long long)table->version, i + 1,
		    table->fault_count, table->faults[i]);
}

static void
on_config_record(void *ctx, const store_record_t *record)
{
	gateway_t *gateway = ctx;
	const dialect_t *dialect = gateway->params.dialect;
	routing_table_t *table;
	buf_t fault = {0};
	uint64_t previous_version = version_in_force(gateway);

	if (record->removed ||
	    !str_equal(record->key, str_of(dialect->config_key)))
		return;
	if (dialect->read_routes(record->value, &table, &fault) != 0) {
		config_reject(gateway, record, &fault);
		buf_free(&fault);
		return;
	}
	/* An older version says nothing about one that could not be read. */
	if (table->version >= previous_version)
		gateway_set_config_unreadable(gateway, false);
	if (!routing_table_replaces(table, gateway->table)) {
		routing_table_unref(table);
		return;
	}
	config_report_faults(gateway, table);
	LOG_INFO("config_in_force",
	    "version=%llu before=%llu routes=%zu pools=%zu orgs=%zu keys=%zu "
	    "offset=%llu",
	    (unsigned long long)table->version,
	    (unsigned long long)previous_version, table->route_count,
	    table->pool_count, table->org_count,
	    table->keys != NULL ? key_index_count(table->keys) : 0,
	    (unsigned long long)record->offset);
	gauge_set(gateway->orgs, (double)table->org_count);
	gauge_set(gateway->org_keys,
	    table->keys != NULL ? (double)key_index_count(table->keys) : 0);
	routing_table_unref(gateway->table);
	gateway->table = table;
	if (gateway->membership != NULL)
		membership_set_config_version(
		    gateway_members(gateway), table->version);
	gateway_update_fleet_config(gateway);
}

static void
on_config_contact(void *ctx, bool in_contact)
{
	const gateway_t *gateway = ctx;

	if (in_contact)
		LOG_INFO("store_regained", "follower=config version=%llu",
		    gateway->table != NULL
			? (unsigned long long)gateway->table->version
			: 0ULL);
	else
		LOG_WARN("store_lost", "follower=config version=%llu",
		    gateway->table != NULL
			? (unsigned long long)gateway->table->version
			: 0ULL);
}

static void
on_config_synced(void *ctx)
{
	gateway_on_config_synced(ctx);
}

static const follower_events_t config_events = {
    .on_record = on_config_record,
    .on_synced = on_config_synced,
    .on_connection_change = on_config_contact,
};

/* Starts to follow the configuration in the store. */
int
gateway_start_config(void *ctx)
{
	gateway_t *gateway = ctx;
	double revoke_limit = gateway->params.settings->revoke_ms / 1e3;
	double wait = CONFIG_READ_WAIT_S;

	if (revoke_limit > 0)
		wait = fmin(wait, revoke_limit * CONFIG_READ_WAIT_SHARE);
	gateway->config_follower = follower_new(&(follower_params_t){
	    .loop = gateway->params.loop,
	    .store = gateway->store,
	    .topic = gateway->params.dialect->config_topic,
	    .wait = wait,
	    .prompt_after =
		revoke_limit > 0 ? wait * CONFIG_PROMPT_AFTER_WAITS : 0,
	    .events = &config_events,
	    .ctx = gateway,
	});
	return (0);
}

void
gateway_stop_config(void *ctx)
{
	gateway_t *gateway = ctx;

	follower_delete(gateway->config_follower);
	gateway->config_follower = NULL;
}

static void
on_endpoints_reload(void *ctx)
{
	endpoint_set_begin_reload(((gateway_t *)ctx)->endpoints);
}

/* Notes what an entry has changed, or that it was a late one. */
static void
endpoint_was_put(
    gateway_t *gateway, const store_record_t *record, endpoint_put_t result)
{
	if (result == ENDPOINT_CHANGED)
		gateway->fleet_config_outdated = true;
	if (result != ENDPOINT_LATE)
		return;
	counter_add(gateway->late_entries, 1);
	LOG_INFO("endpoint_entry_late", "endpoint=" STR_FMT " offset=%llu",
	    STR_ARG(record->key), (unsigned long long)record->offset);
	gateway_on_late_entry(gateway, record->key);
}

static void
on_endpoint_record(void *ctx, const store_record_t *record)
{
	gateway_t *gateway = ctx;
	const dialect_t *dialect = gateway->params.dialect;
	endpoint_set_t *endpoints = gateway->endpoints;
	double now = clock_monotonic();
	endpoint_entry_t entry;
	endpoint_put_t result;

	if (record->removed) {
		endpoint_set_remove(endpoints, record->key, now);
		return;
	}
	if (endpoint_set_repeat(
		endpoints, record->key, record->value, &result)) {
		endpoint_was_put(gateway, record, result);
		return;
	}
	if (dialect->read_endpoint(record->key, record->value, &entry) != 0) {
		LOG_WARN("endpoint_entry_unreadable",
		    "endpoint=" STR_FMT " offset=%llu bytes=%zu",
		    STR_ARG(record->key), (unsigned long long)record->offset,
		    record->value.len);
		endpoint_set_remove(endpoints, record->key, now);
		return;
	}
	result = endpoint_set_put(endpoints, &entry, now);
	endpoint_was_put(gateway, record, result);
	if (result != ENDPOINT_LATE)
		endpoint_set_keep_text(endpoints, record->key, record->value,
		    dialect->find_entry_counter(record->value));
}

/*
 * Applies the changes of all entries of one read together. Each application
 * builds a configuration with all endpoints: one for each of 1,100 new entries
 * took 2.6 billion instructions.
 */
static void
on_endpoints_delivered(void *ctx)
{
	gateway_t *gateway = ctx;

	if (gateway->fleet_config_outdated &&
	    follower_loaded(gateway->endpoint_follower))
		gateway_update_fleet_config(gateway);
}

static void
on_endpoints_loaded(void *ctx)
{
	gateway_t *gateway = ctx;
	double now = clock_monotonic();

	endpoint_set_end_reload(gateway->endpoints, now);
	endpoint_set_tick(gateway->endpoints, now);
	LOG_INFO("endpoints_loaded", "count=%zu",
	    endpoint_set_count(gateway->endpoints));
	gateway_update_fleet_config(gateway);
}

static void
on_endpoints_synced(void *ctx)
{
	gateway_t *gateway = ctx;

	if (endpoint_set_tick(gateway->endpoints, clock_monotonic()))
		gateway_update_fleet_config(gateway);
}

static void
on_endpoints_contact(void *ctx, bool in_contact)
{
	gateway_t *gateway = ctx;

	endpoint_set_set_connected(
	    gateway->endpoints, in_contact, clock_monotonic());
	LOG_INFO(in_contact ? "store_regained" : "store_lost",
	    "follower=endpoints count=%zu",
	    endpoint_set_count(gateway->endpoints));
}

static const follower_events_t endpoint_events = {
    .on_reload = on_endpoints_reload,
    .on_record = on_endpoint_record,
    .on_delivered = on_endpoints_delivered,
    .on_loaded = on_endpoints_loaded,
    .on_synced = on_endpoints_synced,
    .on_connection_change = on_endpoints_contact,
};

/* Starts to follow the endpoint records in the store. */
int
gateway_start_endpoints(void *ctx)
{
	gateway_t *gateway = ctx;

	gateway->fleet_config_builds =
	    counter_get("daisypier_fleet_config_builds_total",
		"Configurations built from routes and endpoints");
	gateway->late_entries =
	    counter_get("daisypier_endpoint_entries_late_total",
		"Entries of endpoints that were written behind newer ones");
	gateway->endpoints = endpoint_set_new();
	gateway->endpoint_follower = follower_new(&(follower_params_t){
	    .loop = gateway->params.loop,
	    .store = gateway->store,
	    .topic = gateway->params.dialect->endpoints_topic,
	    .read_delay = ENDPOINTS_POLL_INTERVAL_S,
	    .events = &endpoint_events,
	    .ctx = gateway,
	});
	return (0);
}

void
gateway_stop_endpoints(void *ctx)
{
	gateway_t *gateway = ctx;

	follower_delete(gateway->endpoint_follower);
	gateway->endpoint_follower = NULL;
	endpoint_set_delete(gateway->endpoints);
	gateway->endpoints = NULL;
}
