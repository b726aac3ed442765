/* Discovery of gateway hosts through their records in the store. */
#include <stdlib.h>

#include "clock.h"
#include "gateway_state.h"
#include "logger.h"
#include "result.h"

/* Maximum time that a long-polling read of the host records is held open. */
#define HOSTS_READ_WAIT_S 5.0
/*
 * Delay between two reads of the host records, which collects those of hosts
 * that start together. Without it, each record ended the waiting reads of all
 * hosts: the reads grew with the square of the number of hosts.
 */
#define HOSTS_READ_DELAY_S     0.5
#define ANNOUNCE_RETRY_DELAY_S 0.5
#define ANNOUNCE_TIMEOUT_S     2.0
/* How long a host introduces itself to listed hosts after it became ready. */
#define INTRODUCE_DURATION_S 3.0
/* Interval of introductions to hosts that are not known as living. */
#define INTRODUCE_INTERVAL_S 0.4
/*
 * Maximum time that a ready host waits for the others' answers before it lists
 * hosts to callers: two lost introductions, and no longer than a caller waits
 * for a host list before it asks another host.
 */
#define HEARING_DURATION_S 1.0

/* A host with a record in the store; it may have stopped since. */
struct listed_host_t {
	char address[48];
	char name[64];
	LIST_ENTRY(listed_host_t) entry;
};

static listed_host_t *
listed_host_find(const gateway_t *gateway, str_t address)
{
	listed_host_t *host;

	LIST_FOREACH (host, &gateway->listed_hosts, entry)
		if (str_equal(str_of(host->address), address))
			return (host);
	return (NULL);
}

static listed_host_t *
listed_host_add(gateway_t *gateway, const store_record_t *record)
{
	listed_host_t *host = xcalloc(1, sizeof(*host));

	str_copy(host->address, sizeof(host->address), record->key);
	str_copy(host->name, sizeof(host->name), record->value);
	LIST_INSERT_HEAD(&gateway->listed_hosts, host, entry);
	return (host);
}

static void
listed_host_delete(listed_host_t *host)
{
	LIST_REMOVE(host, entry);
	free(host);
}

static void write_due_record(gateway_t *gateway);

static void
on_announce_done(void *ctx, int rc, uint64_t end)
{
	gateway_t *gateway = ctx;

	gateway->announce_call = NULL;
	if (rc == 0) {
		host_record_written(&gateway->own_record, end);
		write_due_record(gateway);
		return;
	}
	LOG_WARN("host_not_announced", "cause=%s", result_name(rc));
	ev_timer_set(&gateway->announce_timer, ANNOUNCE_RETRY_DELAY_S, 0);
	ev_timer_start(gateway->params.loop, &gateway->announce_timer);
}

/* Writes or removes this host's record, by which new hosts discover it. */
static void
write_host_record(gateway_t *gateway, bool removed)
{
	const gateway_settings_t *settings = gateway->params.settings;
	store_t *store = gateway->store;
	store_record_t record = {
	    .key = str_of(settings->address),
	    .value = str_of(settings->name),
	    .removed = removed,
	};

	if (gateway->announce_call != NULL)
		store->class->cancel(store, gateway->announce_call);
	gateway->announce_call = store->class->append(
	    store, &(store_append_t){
		       .topic = gateway->params.dialect->hosts_topic,
		       .records = &record,
		       .count = 1,
		       .expected_end = STORE_ANY_END,
		       .timeout = ANNOUNCE_TIMEOUT_S,
		       .on_done = on_announce_done,
		       .ctx = gateway,
		   });
}

/* Writes this host's record if it has to be in the store and is not. */
static void
write_due_record(gateway_t *gateway)
{
	if (gateway->announce_call == NULL &&
	    host_record_is_due(&gateway->own_record))
		write_host_record(gateway, false);
}

static void
on_own_record(gateway_t *gateway, const store_record_t *record)
{
	const gateway_settings_t *settings = gateway->params.settings;

	host_record_seen(&gateway->own_record, record->offset, record->removed,
	    str_equal(record->value, str_of(settings->name)));
	write_due_record(gateway);
}

static void
on_hosts_reload(void *ctx)
{
	host_record_begin_load(&((gateway_t *)ctx)->own_record);
}

static void
on_hosts_loaded(void *ctx)
{
	gateway_t *gateway = ctx;

	host_record_end_load(&gateway->own_record);
	write_due_record(gateway);
}

static void
on_host_record(void *ctx, const store_record_t *record)
{
	gateway_t *gateway = ctx;
	listed_host_t *host;

	if (str_equal(record->key, str_of(gateway->params.settings->address))) {
		on_own_record(gateway, record);
		return;
	}
	host = listed_host_find(gateway, record->key);
	if (host != NULL)
		listed_host_delete(host);
	if (record->removed)
		return;
	host = listed_host_add(gateway, record);
	membership_add_seed(gateway_members(gateway), host->address);
	membership_request_sync(gateway_members(gateway), host->address);
	if (ev_is_active(&gateway->introduce_timer))
		membership_announce_to(
		    gateway_members(gateway), host->address, host->name);
}

/* Introduces this host to listed hosts that are not known as living. */
static void
on_introduce_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	gateway_t *gateway = timer->data;
	membership_t *members = gateway_members(gateway);
	const listed_host_t *host;

	(void)events;
	LIST_FOREACH (host, &gateway->listed_hosts, entry) {
		const member_t *known =
		    membership_find(members, str_of(host->name));

		if (known == NULL || !member_is_living(known))
			membership_announce_to(
			    members, host->address, host->name);
	}
	if (clock_monotonic() - gateway->ready_since >= INTRODUCE_DURATION_S)
		ev_timer_stop(loop, timer);
}

/* Introduces this host to all listed hosts, and repeats that for a while. */
void
gateway_introduce_to_hosts(gateway_t *gateway)
{
	const listed_host_t *host;

	LIST_FOREACH (host, &gateway->listed_hosts, entry)
		membership_announce_to(
		    gateway_members(gateway), host->address, host->name);
	gateway->introduce_timer.repeat = INTRODUCE_INTERVAL_S;
	ev_timer_again(gateway->params.loop, &gateway->introduce_timer);
}

/*
 * Returns whether this host knows enough of the others to list them for
 * callers: it has become ready, and has heard of each host that has a record or
 * has waited long enough. Callers close their connections to hosts that a list
 * leaves out, so a host that has just started must not list itself alone.
 */
bool
gateway_can_list_hosts(const gateway_t *gateway)
{
	const listed_host_t *host;

	if (gateway->ready_since == 0)
		return (false);
	if (gateway->host_follower == NULL ||
	    clock_monotonic() >= gateway->ready_since + HEARING_DURATION_S)
		return (true);
	if (!follower_loaded(gateway->host_follower))
		return (false);
	LIST_FOREACH (host, &gateway->listed_hosts, entry)
		if (membership_find(
			gateway_members(gateway), str_of(host->name)) == NULL)
			return (false);
	return (true);
}

static const follower_events_t host_events = {
    .on_reload = on_hosts_reload,
    .on_record = on_host_record,
    .on_loaded = on_hosts_loaded,
};

static void
on_announce_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	gateway_t *gateway = timer->data;

	(void)loop;
	(void)events;
	if (gateway->own_record.leaving)
		write_host_record(gateway, true);
	else
		write_due_record(gateway);
}

/* Removes this host's record at a graceful shutdown. */
void
gateway_remove_host_record(gateway_t *gateway)
{
	gateway->own_record.leaving = true;
	write_host_record(gateway, true);
}

/* Starts to follow the records of hosts; writes that of this one if missing. */
int
gateway_start_hosts(void *ctx)
{
	gateway_t *gateway = ctx;

	LIST_INIT(&gateway->listed_hosts);
	ev_timer_init(&gateway->announce_timer, on_announce_timer, 0, 0);
	gateway->announce_timer.data = gateway;
	ev_init(&gateway->introduce_timer, on_introduce_timer);
	gateway->introduce_timer.data = gateway;
	gateway->own_record = (host_record_t){.leaving = gateway->draining};
	gateway->host_follower = follower_new(&(follower_params_t){
	    .loop = gateway->params.loop,
	    .store = gateway->store,
	    .topic = gateway->params.dialect->hosts_topic,
	    .wait = HOSTS_READ_WAIT_S,
	    .read_delay = HOSTS_READ_DELAY_S,
	    .events = &host_events,
	    .ctx = gateway,
	});
	return (0);
}

/* Stops following the records of other hosts. */
void
gateway_stop_hosts(void *ctx)
{
	gateway_t *gateway = ctx;
	store_t *store = gateway->store;

	ev_timer_stop(gateway->params.loop, &gateway->announce_timer);
	ev_timer_stop(gateway->params.loop, &gateway->introduce_timer);
	if (gateway->announce_call != NULL)
		store->class->cancel(store, gateway->announce_call);
	gateway->announce_call = NULL;
	follower_delete(gateway->host_follower);
	gateway->host_follower = NULL;
	while (!LIST_EMPTY(&gateway->listed_hosts))
		listed_host_delete(LIST_FIRST(&gateway->listed_hosts));
}
