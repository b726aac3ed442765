/*
 * Whether a gateway host may accept API keys at the moment, and what it does
 * with requests if not, or if it can't read all of the configuration. Also
 * registers the metrics of organisations and keys.
 */
#include "gateway_state.h"

#include "clock.h"
#include "logger.h"
#include "result.h"

#define CHECK_INTERVAL_S 0.1
/* Name of the counter of one outcome. */
#define IDENTIFIED_METRIC(outcome) \
	"daisypier_requests_identified_total{outcome=\"" outcome "\"}"
/*
 * After a freeze or a reload the configuration is read again within
 * milliseconds, so that requests need not be refused.
 */
#define MAX_HOLD_S 0.5

/*
 * Returns when the version in force was last known to be the newest, monotonic;
 * 0: never. A newer one that cannot be read may have taken keys away.
 */
static double
config_known_at(const gateway_t *gateway)
{
	return (gateway->config_unreadable
		    ? gateway->config_known_at
		    : follower_synced_at(gateway->config_follower));
}

/* Notes whether the newest version in the store cannot be read. */
void
gateway_set_config_unreadable(gateway_t *gateway, bool unreadable)
{
	if (unreadable && !gateway->config_unreadable)
		gateway->config_known_at =
		    follower_synced_at(gateway->config_follower);
	gateway->config_unreadable = unreadable;
	gauge_set(gateway->unreadable_config, unreadable);
}

static key_state_t
key_state_as_of(const gateway_t *gateway, double known_at)
{
	if (gateway->table == NULL || !gateway->table->has_orgs)
		return (KEYS_CURRENT);
	return (key_freshness_state(gateway->params.settings->revoke_ms / 1e3,
	    known_at, clock_monotonic()));
}

/*
 * Returns whether this host may accept keys now; always KEYS_CURRENT without
 * organisations. Reads the clock, so that a host that was frozen knows at once.
 */
key_state_t
gateway_key_state(const gateway_t *gateway)
{
	return (key_state_as_of(gateway, config_known_at(gateway)));
}

/*
 * Returns whether callers should use other hosts because this one does not hear
 * of changes. A version that it cannot read is no such reason: it still serves
 * what needs no key, and other hosts of its build cannot read it either.
 */
bool
gateway_lacks_contact(const gateway_t *gateway)
{
	return (
	    key_state_as_of(gateway,
		follower_synced_at(gateway->config_follower)) != KEYS_CURRENT);
}

/* Refuses a request that a part of the configuration decides on. */
void
gateway_refuse_unreadable(gateway_t *gateway, http_request_t *request)
{
	counter_add(gateway->unreadable_requests, 1);
	gateway_refuse_request(gateway, request, -RESULT_CONFIG_UNREADABLE);
}

/* Logs a change of the state; readiness follows the state by itself. */
static void
update_key_state(gateway_t *gateway)
{
	key_state_t state = gateway_key_state(gateway);
	double synced_at = config_known_at(gateway);

	gauge_set(gateway->key_age,
	    synced_at > 0 ? clock_monotonic() - synced_at : 0);
	if (state == gateway->key_state)
		return;
	LOG_INFO("key_state_changed",
	    "state=%s before=%s age_ms=%.0f unreadable=%d",
	    key_state_name(state), key_state_name(gateway->key_state),
	    synced_at > 0 ? (clock_monotonic() - synced_at) * 1e3 : -1.0,
	    gateway->config_unreadable);
	gateway->key_state = state;
	if (gateway->membership != NULL)
		membership_set_keys_stale(
		    gateway_members(gateway), state != KEYS_CURRENT);
}

static void
on_check_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	update_key_state(timer->data);
}

/*
 * Holds or refuses a request that needs a key if this host can't tell whether
 * keys are valid. Returns false if the request may be handled.
 */
bool
gateway_withhold_request(
    gateway_t *gateway, http_request_t *request, double arrived)
{
	if (gateway_key_state(gateway) != KEYS_STALE)
		return (false);
	update_key_state(gateway);
	counter_add(gateway->stale_key_requests, 1);
	/* A read brings nothing new if the newest version is unreadable. */
	if (gateway->config_unreadable)
		gateway_refuse_unreadable(gateway, request);
	else if (follower_connected(gateway->config_follower))
		gateway_queue_request(
		    gateway, request, arrived, MAX_HOLD_S, -RESULT_KEYS_STALE);
	else
		gateway_refuse_request(gateway, request, -RESULT_KEYS_STALE);
	return (true);
}

/* Dispatches the requests that waited for a read of the configuration. */
void
gateway_on_config_synced(gateway_t *gateway)
{
	update_key_state(gateway);
	if (gateway->waiting_count > 0 && gateway->ready &&
	    gateway->key_state != KEYS_STALE)
		gateway_dispatch_waiting(gateway);
}

/* Registers the metrics of organisations and keys. */
void
gateway_init_key_counters(gateway_t *gateway)
{
	static const char *const names[ORG_ACCESS_COUNT] = {
	    [ORG_ACCESS_OPEN] = IDENTIFIED_METRIC("open"),
	    [ORG_ACCESS_IDENTIFIED] = IDENTIFIED_METRIC("identified"),
	    [ORG_ACCESS_NO_KEY] = IDENTIFIED_METRIC("no_key"),
	    [ORG_ACCESS_UNKNOWN_KEY] = IDENTIFIED_METRIC("unknown_key"),
	    [ORG_ACCESS_UNREADABLE] = IDENTIFIED_METRIC("unreadable"),
	};

	for (size_t i = 0; i < ORG_ACCESS_COUNT; i++)
		gateway->identified_requests[i] = counter_get(names[i],
		    "Requests by whether their key names an organisation");
	gateway->unreadable_config = gauge_get("daisypier_config_unreadable",
	    "1 while the newest version of the configuration cannot be read");
	gateway->unreadable_entries = gauge_get(
	    "daisypier_config_entries_unreadable",
	    "Faults of entries of the version in force that cannot be read");
	gateway->unreadable_requests =
	    counter_get("daisypier_requests_config_unreadable_total",
		"Requests that were refused because a part of the "
		"configuration cannot be read");
	gateway->orgs = gauge_get("daisypier_organisations",
	    "Organisations in the configuration in force");
	gateway->org_keys = gauge_get("daisypier_organisation_keys",
	    "Keys of organisations in the configuration in force");
}

/* Starts to watch the age of the configuration. */
int
gateway_start_keys(void *ctx)
{
	gateway_t *gateway = ctx;

	gateway->stale_key_requests =
	    counter_get("daisypier_requests_stale_keys_total",
		"Requests that were held or refused because this host could "
		"not tell whether keys are valid");
	gateway->key_age = gauge_get("daisypier_key_age_seconds",
	    "Time since the start of the last read that reached the end of the "
	    "configuration's log");
	ev_timer_init(&gateway->key_timer, on_check_timer, CHECK_INTERVAL_S,
	    CHECK_INTERVAL_S);
	gateway->key_timer.data = gateway;
	ev_timer_start(gateway->params.loop, &gateway->key_timer);
	return (0);
}

void
gateway_stop_keys(void *ctx)
{
	gateway_t *gateway = ctx;

	ev_timer_stop(gateway->params.loop, &gateway->key_timer);
}
