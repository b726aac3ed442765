/* Several hosts with configuration stores on one loop. */
#include "harness_config.h"

#include <stdio.h>
#include <string.h>

#include <CUnit/CUnit.h>

#include "require.h"

#define PERIOD 0.05

double config_test_wall_offset;

double
config_test_wall(void)
{
	return (clock_wall() + config_test_wall_offset);
}

static void
send_datagram(void *ctx, const char *address, str_t datagram)
{
	config_test_host_t *from = ctx;
	config_test_t *fleet = from->fleet;

	for (size_t i = 0; i < fleet->count; i++) {
		config_test_host_t *to = &fleet->hosts[i];

		if (to->membership != NULL && !to->cut_off && !from->cut_off &&
		    strcmp(to->address, address) == 0)
			membership_receive(to->membership, clock_monotonic(),
			    from->address, datagram);
	}
}

static void
on_change(void *ctx)
{
	config_test_host_t *host = ctx;
	uint64_t version = config_store_version(host->store);

	if (version <= host->seen)
		host->reverts++;
	host->seen = version;
}

static void
on_step(struct ev_loop *loop, ev_timer *timer, int events)
{
	config_test_t *fleet = timer->data;

	(void)events;
	for (int i = 0; i < 8; i++)
		log_memory_step(fleet->log);
	for (size_t i = 0; i < fleet->count; i++) {
		config_test_host_t *host = &fleet->hosts[i];

		if (host->membership == NULL)
			continue;
		membership_tick(host->membership, clock_monotonic());
		membership_set_ready(
		    host->membership, config_store_ready(host->store));
	}
	fleet->held = fleet->condition != NULL && fleet->condition(fleet);
	if (fleet->held || clock_monotonic() >= fleet->deadline)
		ev_break(loop, EVBREAK_ONE);
}

/* Runs the loop until a condition holds; returns whether it did in time. */
bool
config_test_run(
    config_test_t *fleet, bool (*condition)(config_test_t *), double seconds)
{
	fleet->condition = condition;
	fleet->deadline = clock_monotonic() + seconds;
	fleet->held = false;
	ev_run(fleet->loop, 0);
	return (fleet->held);
}

void
config_test_host_start(config_test_t *fleet, size_t index)
{
	config_test_host_t *host = &fleet->hosts[index];
	peer_params_t peer = {
	    .address = host->address,
	    .port = fleet->port,
	    .key = STR("0123456789abcdef"),
	};

	host->fleet = fleet;
	snprintf(host->name, sizeof(host->name), "host-%zu", index);
	snprintf(host->address, sizeof(host->address), "127.0.0.%u",
	    (unsigned)(40 + index));
	REQUIRE(peer_new(fleet->loop, &peer, &host->peer) == 0);
	fleet->port = peer_port(host->peer);
	host->starts++;
	host->membership = membership_new(
	    &(membership_params_t){
		.name = host->name,
		.address = host->address,
		.zone = "lakeside",
		.site = "one",
		.instance = random_u64() | 1,
		.incarnation = host->starts * 1000,
		.period = 0.1,
		.random_seed = index + 1,
		.send = send_datagram,
		.send_ctx = host,
	    },
	    clock_monotonic());
	for (size_t i = 0; i < fleet->count; i++)
		if (i != index && fleet->hosts[i].address[0] != '\0')
			membership_add_seed(
			    host->membership, fleet->hosts[i].address);
	host->log = log_memory_client(fleet->log);
	host->store = config_store_new(&(config_store_params_t){
	    .loop = fleet->loop,
	    .log = host->log,
	    .peer = host->peer,
	    .membership = host->membership,
	    .site = "one",
	    .period = PERIOD,
	    .wall = config_test_wall,
	});
	host->seen = 0;
	config_store_on_change(host->store, on_change, host);
}

void
config_test_host_stop(config_test_host_t *host)
{
	config_store_delete(host->store);
	logclient_delete(host->log);
	membership_delete(host->membership);
	peer_delete(host->peer);
	host->store = NULL;
	host->membership = NULL;
}

void
config_test_start(config_test_t *fleet, size_t count, uint64_t seed)
{
	*fleet = (config_test_t){.count = count};
	fleet->loop = ev_loop_new(0);
	fleet->log = log_memory_new(seed);
	fleet->rng = rng_seeded(seed);
	for (size_t i = 0; i < count; i++)
		config_test_host_start(fleet, i);
	ev_timer_init(&fleet->timer, on_step, 0, 0.002);
	fleet->timer.data = fleet;
	ev_timer_start(fleet->loop, &fleet->timer);
}

void
config_test_stop(config_test_t *fleet)
{
	for (size_t i = 0; i < fleet->count; i++) {
		CU_ASSERT(fleet->hosts[i].reverts == 0);
		if (fleet->hosts[i].store != NULL)
			config_test_host_stop(&fleet->hosts[i]);
	}
	ev_timer_stop(fleet->loop, &fleet->timer);
	log_memory_run(fleet->log);
	log_memory_delete(fleet->log);
	ev_loop_destroy(fleet->loop);
}

uint64_t
config_test_newest_version(const config_test_t *fleet)
{
	uint64_t newest = 0;

	for (size_t i = 0; i < fleet->count; i++) {
		const config_store_t *store = fleet->hosts[i].store;

		if (store != NULL && config_store_version(store) > newest)
			newest = config_store_version(store);
	}
	return (newest);
}

bool
config_test_has_newest(config_test_t *fleet)
{
	uint64_t newest = config_test_newest_version(fleet);

	for (size_t i = 0; i < fleet->count; i++) {
		const config_store_t *store = fleet->hosts[i].store;

		if (store != NULL && !fleet->hosts[i].cut_off &&
		    (config_store_version(store) != newest ||
			!config_store_ready(store)))
			return (false);
	}
	return (newest > 0);
}

bool
config_test_is_joined(config_test_t *fleet)
{
	for (size_t i = 0; i < fleet->count; i++)
		if (membership_living(fleet->hosts[i].membership) !=
		    fleet->count)
			return (false);
	return (true);
}
