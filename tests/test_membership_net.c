/* Tests of the failure detector on real sockets. */
#include "suite.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "counter.h"
#include "datagram.h"
#include "member_message.h"
#include "membership_net.h"

#define HOSTS	  3
#define PERIOD_MS 50

typedef struct fleet_t {
	struct ev_loop *loop;
	membership_net_t *nets[HOSTS];
	uint16_t port;
	int changes;
} fleet_t;

static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ONE);
}

static void
run_for(struct ev_loop *loop, double seconds)
{
	ev_timer timer;

	ev_timer_init(&timer, on_timeout, seconds, 0);
	ev_timer_start(loop, &timer);
	ev_run(loop, 0);
	ev_timer_stop(loop, &timer);
}

static void
on_change(void *ctx)
{
	fleet_t *fleet = ctx;

	fleet->changes++;
}

static membership_net_t *
start(fleet_t *fleet, int index, const char *key)
{
	static const char *const seeds[] = {"127.0.9.1", NULL};
	char name[32];
	char address[32];
	membership_net_params_t params = {
	    .name = name,
	    .address = address,
	    .port = fleet->port,
	    .zone = "lakeside",
	    .site = "one",
	    .key = str_of(key),
	    .seeds = seeds,
	    .period_ms = PERIOD_MS,
	};
	membership_net_t *net = NULL;

	snprintf(name, sizeof(name), "host-%d", index);
	snprintf(address, sizeof(address), "127.0.9.%d", index + 1);
	CU_ASSERT_FATAL(membership_net_new(fleet->loop, &params, &net) == 0);
	fleet->port = membership_net_port(net);
	return (net);
}

static void
setup(fleet_t *fleet)
{
	*fleet = (fleet_t){.loop = ev_loop_new(0)};
	for (int i = 0; i < HOSTS; i++)
		fleet->nets[i] = start(fleet, i, "secret");
	membership_on_change(
	    membership_net_table(fleet->nets[0]), on_change, fleet);
}

static void
teardown(fleet_t *fleet)
{
	for (int i = 0; i < HOSTS; i++)
		if (fleet->nets[i] != NULL)
			membership_net_delete(fleet->nets[i]);
	ev_loop_destroy(fleet->loop);
}

static member_state_t
state_seen(fleet_t *fleet, int viewer, const char *name)
{
	const member_t *member = membership_find(
	    membership_net_table(fleet->nets[viewer]), str_of(name));

	return (member != NULL ? member->state : MEMBER_LEFT);
}

/* Runs until the viewer sees the state. Returns false after 10 s. */
static bool
wait_for(fleet_t *fleet, int viewer, const char *name, member_state_t state)
{
	double end = clock_monotonic() + 10;

	while (clock_monotonic() < end) {
		if (membership_find(membership_net_table(fleet->nets[viewer]),
			str_of(name)) != NULL &&
		    state_seen(fleet, viewer, name) == state)
			return (true);
		run_for(fleet->loop, 0.01);
	}
	return (false);
}

static double
dropped(const char *cause)
{
	char name[128];

	snprintf(name, sizeof(name),
	    "daisypier_membership_dropped_datagrams_total{cause=\"%s\"}",
	    cause);
	return (counter_value(counter_get(name, "")));
}

/* Guards against a failure detector that works only in simulations. */
static void
test_crash_replacement_and_planned_stop(void)
{
	fleet_t fleet;

	setup(&fleet);
	CU_ASSERT(wait_for(&fleet, 2, "host-1", MEMBER_ALIVE));
	CU_ASSERT(wait_for(&fleet, 0, "host-2", MEMBER_ALIVE));
	CU_ASSERT(wait_for(&fleet, 0, "host-1", MEMBER_ALIVE));
	CU_ASSERT(fleet.changes > 0);
	CU_ASSERT(membership_net_listening(fleet.nets[0]));
	/* A crash. */
	membership_net_delete(fleet.nets[2]);
	fleet.nets[2] = NULL;
	CU_ASSERT(wait_for(&fleet, 0, "host-2", MEMBER_DEAD));
	CU_ASSERT(state_seen(&fleet, 0, "host-1") != MEMBER_DEAD);
	/* A replacement of the same name. */
	fleet.nets[2] = start(&fleet, 2, "secret");
	CU_ASSERT(wait_for(&fleet, 0, "host-2", MEMBER_ALIVE));
	/* A planned stop. */
	membership_net_stop(fleet.nets[1]);
	CU_ASSERT(!membership_net_listening(fleet.nets[1]));
	CU_ASSERT(wait_for(&fleet, 0, "host-1", MEMBER_LEFT));
	CU_ASSERT(wait_for(&fleet, 2, "host-1", MEMBER_LEFT));
	teardown(&fleet);
}

/* Guards against a host with a different key that is added to the table. */
static void
test_wrong_key_is_dropped_and_counted(void)
{
	fleet_t fleet;
	double before = dropped("wrong_key");
	membership_net_t *foreign;

	setup(&fleet);
	foreign = start(&fleet, HOSTS, "another secret");
	run_for(fleet.loop, 0.5);
	CU_ASSERT(dropped("wrong_key") > before);
	CU_ASSERT(membership_find(membership_net_table(fleet.nets[0]),
		      STR("host-3")) == NULL);
	CU_ASSERT(membership_living(membership_net_table(foreign)) == 1);
	membership_net_delete(foreign);
	teardown(&fleet);
}

static void
send_raw(fleet_t *fleet, str_t datagram)
{
	int fd = socket(AF_INET, SOCK_DGRAM, 0);
	struct sockaddr_in to = {
	    .sin_family = AF_INET, .sin_port = htons(fleet->port)};

	inet_pton(AF_INET, "127.0.9.1", &to.sin_addr);
	CU_ASSERT(
	    sendto(fd, datagram.data, datagram.len, 0, (struct sockaddr *)&to,
		sizeof(to)) == (ssize_t)datagram.len);
	close(fd);
	run_for(fleet->loop, 0.02);
}

/*
 * Guards against replayed and malformed datagrams that change the table or are
 * not counted.
 */
static void
test_replayed_and_malformed_are_dropped(void)
{
	fleet_t fleet;
	datagram_key_t key;
	buf_t body = {0};
	buf_t datagram = {0};
	double replayed = dropped("old_counter");
	double malformed = dropped("malformed");
	char large[MEMBERSHIP_MAX_DATAGRAM + 100] = {1};
	member_message_t message = {.type = MEMBER_SYNC, .update_count = 1};

	setup(&fleet);
	datagram_key_init(&key, STR("secret"));
	message.updates[0] =
	    *membership_self(membership_net_table(fleet.nets[0]));
	str_copy(message.updates[0].name, 64, STR("recorded"));
	member_message_encode(&message, &body);
	datagram_seal(&key, 4711, 1, str_buf(&body), &datagram);
	send_raw(&fleet, str_buf(&datagram));
	CU_ASSERT(membership_find(membership_net_table(fleet.nets[0]),
		      STR("recorded")) != NULL);
	CU_ASSERT(dropped("old_counter") == replayed);
	send_raw(&fleet, str_buf(&datagram));
	CU_ASSERT(dropped("old_counter") == replayed + 1);
	send_raw(&fleet, STR("x"));
	send_raw(&fleet, (str_t){large, sizeof(large)});
	buf_clear(&datagram);
	datagram_seal(&key, 4711, 2, STR("not msgpack"), &datagram);
	send_raw(&fleet, str_buf(&datagram));
	CU_ASSERT(dropped("malformed") == malformed + 3);
	buf_free(&body);
	buf_free(&datagram);
	teardown(&fleet);
}

/* Guards against a failed start that returns no error. */
static void
test_bad_address_is_an_error(void)
{
	struct ev_loop *loop = ev_loop_new(0);
	membership_net_params_t params = {.name = "host",
	    .address = "not an address",
	    .zone = "z",
	    .site = "s",
	    .key = STR("secret")};
	membership_net_t *net = NULL;

	CU_ASSERT(membership_net_new(loop, &params, &net) < 0);
	/* An address that this machine does not have. */
	params.address = "192.0.2.1";
	CU_ASSERT(membership_net_new(loop, &params, &net) < 0);
	CU_ASSERT(net == NULL);
	ev_loop_destroy(loop);
}

static const suite_test_t tests[] = {
    {"crash, replacement and planned stop",
	test_crash_replacement_and_planned_stop},
    {"wrong key is dropped and counted", test_wrong_key_is_dropped_and_counted},
    {"replayed and malformed are dropped",
	test_replayed_and_malformed_are_dropped},
    {"bad address is an error", test_bad_address_is_an_error},
};

SUITE_MAIN("membership_net", tests)
