/* Tests of who has a place for its connection and who gives way. */
#include "suite.h"

#include <stdio.h>

#include "clock.h"
#include "place_table.h"

#define LIMIT  960U
#define CROWD  6000U
#define SPREAD 200U /* addresses of a crowd */

typedef struct client_t {
	place_t place;
	bool crowd;
	bool open;
} client_t;

static client_t clients[CROWD + LIMIT];
static unsigned client_count;

static client_t *
client_open(place_table_t *table, const char *address, bool crowd, double now)
{
	client_t *client = &clients[client_count++];

	*client = (client_t){.crowd = crowd, .open = true};
	client->place.ctx = client;
	place_enter(table, &client->place, address, now);
	return (client);
}

static void
client_close(place_table_t *table, client_t *client)
{
	place_leave(table, &client->place);
	client->open = false;
}

/* Closes connections as a server does after it has accepted one. */
static void
make_room(place_table_t *table, const client_t *accepted, double now)
{
	while (place_table_is_short(table)) {
		place_t *place = place_table_waiting(table, &accepted->place);

		if (place == NULL)
			place = place_table_stalled(table, now);
		if (place == NULL)
			return;
		place_set_state(table, place, PLACE_LEAVING, now);
		client_close(table, place->ctx);
	}
}

static void
close_all(place_table_t *table)
{
	for (unsigned i = 0; i < client_count; i++)
		if (clients[i].open)
			client_close(table, &clients[i]);
	client_count = 0;
	place_table_delete(table);
}

/*
 * Replays the crowd: every ordinary client between its connections must get a
 * place and keep it until its request has begun, and idle connections of
 * ordinary clients must outlive those of the address that holds most.
 */
static void
replay(unsigned addresses)
{
	place_table_t *table = place_table_new(LIMIT);
	rng_t rng = rng_seeded(6);
	client_t *kept = client_open(table, "10.1.0.1", false, 0);
	client_t *arriving = NULL;
	unsigned served = 0;
	unsigned lost = 0;
	unsigned most = 0;
	unsigned held = 0;

	kept->place.served = true;
	for (unsigned i = 0; i < CROWD; i++) {
		double now = 1 + i * 0.001;
		char address[32];
		client_t *accepted;

		snprintf(address, sizeof(address), "10.0.0.%u",
		    (unsigned)rng_below(&rng, addresses));
		accepted = client_open(table, address, true, now);
		make_room(table, accepted, now);
		/* The head of an ordinary client takes 20 ms to arrive. */
		if (i % 100 == 0) {
			arriving = client_open(table, "10.1.0.2", false, now);
			make_room(table, arriving, now);
		}
		if (i % 100 != 20)
			continue;
		lost += !arriving->open;
		if (!arriving->open)
			continue;
		served += place_may_begin(table, &arriving->place);
		place_set_state(table, &arriving->place, PLACE_BUSY, now);
		client_close(table, arriving);
	}
	for (unsigned i = 0; i < client_count; i++)
		held += clients[i].open;
	most = place_table_capacity(table);
	CU_ASSERT(served == CROWD / 100);
	CU_ASSERT(lost == 0);
	CU_ASSERT(held == most);
	CU_ASSERT(kept->open);
	close_all(table);
}

static void
test_crowd_of_one_address(void)
{
	replay(1);
}

static void
test_crowd_of_many_addresses(void)
{
	replay(SPREAD);
}

/* The longest silent connection must go first, also if it is the oldest. */
static void
test_longest_silent(void)
{
	place_table_t *table = place_table_new(LIMIT);
	client_t *first = client_open(table, "a", true, 0);
	client_t *second = client_open(table, "a", true, 1);
	client_t *third = client_open(table, "a", true, 2);

	CU_ASSERT(place_table_waiting(table, NULL) == &first->place);
	CU_ASSERT(place_table_waiting(table, &first->place) == &second->place);
	place_heard(table, &first->place, 1.5);
	CU_ASSERT(place_table_waiting(table, NULL) == &second->place);
	place_set_state(table, &second->place, PLACE_BUSY, 3);
	CU_ASSERT(place_table_waiting(table, NULL) == &first->place);
	place_set_state(table, &second->place, PLACE_WAITING, 4);
	place_heard(table, &first->place, 5);
	CU_ASSERT(place_table_waiting(table, NULL) == &third->place);
	/* An address with more places gives way before a longer silence. */
	(void)client_open(table, "b", true, 0);
	CU_ASSERT(place_table_waiting(table, NULL) == &third->place);
	close_all(table);
}

/*
 * With places left, a connection idle for 12 s must stay; with few left, it
 * must stay too, and those without any request go after 5 s.
 */
static void
test_idle_connections_stay(void)
{
	place_table_t *table = place_table_new(LIMIT);
	unsigned few = LIMIT / 2;

	for (unsigned i = 0; i < few; i++)
		client_open(table, "a", false, 0)->place.served = true;
	CU_ASSERT(!place_table_is_short(table));
	CU_ASSERT(place_table_idle(table, 12) == NULL);
	CU_ASSERT(place_table_idle(table, 60) == NULL);
	for (unsigned i = few; i < LIMIT / 5 * 4; i++)
		(void)client_open(table, "a", false, 1);
	CU_ASSERT(!place_table_is_short(table));
	CU_ASSERT(place_table_idle(table, 5.5) == NULL);
	CU_ASSERT(place_table_idle(table, 12) == &clients[few].place);
	for (unsigned i = few; i < LIMIT / 5 * 4; i++)
		clients[i].place.served = true;
	CU_ASSERT(place_table_idle(table, 12) == NULL);
	CU_ASSERT(place_table_idle(table, 15) == &clients[0].place);
	close_all(table);
}

/*
 * Requests of one address must leave places to others, and a body that makes
 * no progress must give way when nobody waits.
 */
static void
test_requests_of_one_address(void)
{
	place_table_t *table = place_table_new(LIMIT);
	unsigned capacity = place_table_capacity(table);
	unsigned begun = 0;
	client_t *other;

	for (unsigned i = 0; i < capacity; i++) {
		client_t *client = client_open(table, "a", true, 0);

		if (!place_may_begin(table, &client->place))
			continue;
		place_set_state(table, &client->place, PLACE_READING, 0);
		begun++;
	}
	CU_ASSERT(begun == (capacity * 3 + 3) / 4);
	other = client_open(table, "b", false, 1);
	make_room(table, other, 1);
	CU_ASSERT(other->open);
	CU_ASSERT(place_may_begin(table, &other->place));
	CU_ASSERT(!place_table_is_short(table));
	CU_ASSERT(place_table_stalled(table, 2) == NULL);
	CU_ASSERT(place_table_stalled(table, 2.5) == &clients[0].place);
	place_heard(table, &clients[0].place, 2.5);
	CU_ASSERT(place_table_stalled(table, 2.5) == &clients[1].place);
	close_all(table);
}

/* Begins requests until one is refused; returns how many did. */
static unsigned
begin_requests(place_table_t *table, const char *address, const char *org)
{
	unsigned begun = 0;

	for (;;) {
		client_t *client = client_open(table, address, true, 0);

		make_room(table, client, 0);
		if (!place_may_begin(table, &client->place))
			return (begun);
		place_set_state(table, &client->place, PLACE_BUSY, 0);
		if (!place_begin_for(table, &client->place, str_of(org))) {
			client_close(table, client);
			return (begun);
		}
		begun++;
	}
}

/*
 * Several addresses, or an organisation with many, must not take all places:
 * each next one gets some, and an end of requests gives them back.
 */
static void
test_requests_of_organisations(void)
{
	place_table_t *table = place_table_new(LIMIT);
	unsigned capacity = place_table_capacity(table);
	unsigned first = begin_requests(table, "a", "greedy");
	unsigned second = begin_requests(table, "b", "other");
	unsigned third = begin_requests(table, "c", "third");

	CU_ASSERT(first == capacity * 3 / 4);
	CU_ASSERT(second >= capacity / 8);
	CU_ASSERT(third >= capacity / 64);
	CU_ASSERT(first + second + third < capacity);
	/* Another address of an organisation with its share gets nothing. */
	CU_ASSERT(begin_requests(table, "d", "greedy") == 0);
	CU_ASSERT(begin_requests(table, "d", "fourth") > 0);
	close_all(table);
	table = place_table_new(LIMIT);
	CU_ASSERT(begin_requests(table, "e", "greedy") == first);
	for (unsigned i = 0; i < client_count; i++)
		if (clients[i].open)
			place_set_state(
			    table, &clients[i].place, PLACE_WAITING, 1);
	CU_ASSERT(begin_requests(table, "f", "greedy") == first);
	close_all(table);
}

static const suite_test_t tests[] = {
    {"requests of organisations", test_requests_of_organisations},
    {"crowd of one address", test_crowd_of_one_address},
    {"crowd of many addresses", test_crowd_of_many_addresses},
    {"the longest silent connection", test_longest_silent},
    {"idle connections stay", test_idle_connections_stay},
    {"requests of one address", test_requests_of_one_address},
};

SUITE_MAIN("place_table", tests)
