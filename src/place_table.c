/* Divides a server's places for connections among its clients. */
#include "place_table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ADDRESS_BUCKETS 256
#define MAX_ADDRESS	64
/*
 * Part of the limit that stays free for connections that are accepted before
 * the server has released those that were closed for them.
 */
#define TURNOVER_DIVISOR 16
#define MIN_TURNOVER	 1U
/*
 * Requests of one address, or of one organisation, may hold this many times the
 * places that are free of requests: 3/4 of all if no other has any, 3/7 beside
 * an equal one, so that some are always left.
 */
#define REQUESTS_PER_FREE 3U
/*
 * When most places are in use, connections without a request are closed: after
 * the published idle time-out, or that of a head if there was no request yet.
 */
#define SCARCE_SHARE	    0.75
#define SCARCE_IDLE_S	    15.0
#define SCARCE_FIRST_IDLE_S 5.0
/* A body without progress for this long loses its place to any other client. */
#define YIELD_AFTER_S 2.0
/* Addresses with equally many places of which the longest silent one is sought.
 */
#define MAX_TIED_ADDRESSES 16

TAILQ_HEAD(place_list_t, place_t);
TAILQ_HEAD(share_list_t, place_share_t);

struct place_share_t {
	char address[MAX_ADDRESS];
	unsigned places;
	unsigned requests; /* reading or busy */
	unsigned waiting_count;
	struct place_list_t waiting; /* the longest silent one is first */
	LIST_ENTRY(place_share_t) entry;
	TAILQ_ENTRY(place_share_t) rank_entry;
};

struct place_table_t {
	unsigned limit;
	unsigned capacity; /* the limit without those for turnover */
	unsigned count;	   /* without those that leave */
	unsigned requests; /* reading or busy */
	/* The longest silent one is first. */
	struct place_list_t waiting;
	struct place_list_t reading;
	LIST_HEAD(, place_share_t) shares[ADDRESS_BUCKETS];
	unsigned top; /* no address has more waiting places than this */
	/* Addresses by their number of waiting places, limit + 1 lists. */
	struct share_list_t *ranks;
};

/* limit is the number of connections that the server accepts at most. */
place_table_t *
place_table_new(unsigned limit)
{
	place_table_t *table = xcalloc(1, sizeof(*table));
	unsigned turnover = limit / TURNOVER_DIVISOR;

	if (turnover < MIN_TURNOVER)
		turnover = MIN_TURNOVER;
	table->limit = limit;
	table->capacity = limit > turnover ? limit - turnover : 1;
	TAILQ_INIT(&table->waiting);
	TAILQ_INIT(&table->reading);
	table->ranks = xcalloc(limit + 1, sizeof(*table->ranks));
	for (unsigned i = 0; i <= limit; i++)
		TAILQ_INIT(&table->ranks[i]);
	return (table);
}

/* NULL is allowed. All places must have been left. */
void
place_table_delete(place_table_t *table)
{
	if (table == NULL)
		return;
	free(table->ranks);
	free(table);
}

/* Returns how many connections may hold a place at a time. */
unsigned
place_table_capacity(const place_table_t *table)
{
	return (table->capacity);
}

static place_share_t *
share_ref(place_table_t *table, const char *address)
{
	size_t bucket = str_hash(str_of(address), 0) % ADDRESS_BUCKETS;
	place_share_t *share;

	LIST_FOREACH (share, &table->shares[bucket], entry)
		if (strcmp(share->address, address) == 0)
			break;
	if (share == NULL) {
		share = xcalloc(1, sizeof(*share));
		str_copy(
		    share->address, sizeof(share->address), str_of(address));
		TAILQ_INIT(&share->waiting);
		LIST_INSERT_HEAD(&table->shares[bucket], share, entry);
		TAILQ_INSERT_TAIL(&table->ranks[0], share, rank_entry);
	}
	share->places++;
	return (share);
}

static void
share_unref(place_table_t *table, place_share_t *share)
{
	if (--share->places > 0)
		return;
	TAILQ_REMOVE(&table->ranks[share->waiting_count], share, rank_entry);
	LIST_REMOVE(share, entry);
	free(share);
}

/* Moves an address to the end of those with a number of waiting places. */
static void
share_set_rank(place_table_t *table, place_share_t *share, unsigned waiting)
{
	TAILQ_REMOVE(&table->ranks[share->waiting_count], share, rank_entry);
	share->waiting_count = waiting;
	TAILQ_INSERT_TAIL(&table->ranks[waiting], share, rank_entry);
	if (waiting > table->top)
		table->top = waiting;
	while (table->top > 0 && TAILQ_EMPTY(&table->ranks[table->top]))
		table->top--;
}

/* Inserts a place into both of its lists, which are in order of silence. */
static void
waiting_insert(place_table_t *table, place_t *place)
{
	struct place_list_t *own = &place->share->waiting;
	place_t *before = TAILQ_LAST(&table->waiting, place_list_t);

	while (before != NULL && before->silent_since > place->silent_since)
		before = TAILQ_PREV(before, place_list_t, entry);
	if (before != NULL)
		TAILQ_INSERT_AFTER(&table->waiting, before, place, entry);
	else
		TAILQ_INSERT_HEAD(&table->waiting, place, entry);
	before = TAILQ_LAST(own, place_list_t);
	while (before != NULL && before->silent_since > place->silent_since)
		before = TAILQ_PREV(before, place_list_t, share_entry);
	if (before != NULL)
		TAILQ_INSERT_AFTER(own, before, place, share_entry);
	else
		TAILQ_INSERT_HEAD(own, place, share_entry);
}

static void
waiting_remove(place_table_t *table, place_t *place)
{
	TAILQ_REMOVE(&table->waiting, place, entry);
	TAILQ_REMOVE(&place->share->waiting, place, share_entry);
}

static void
state_begin(place_table_t *table, place_t *place, place_state_t state)
{
	place_share_t *share = place->share;

	place->state = state;
	table->count += state != PLACE_LEAVING;
	if (state == PLACE_READING || state == PLACE_BUSY) {
		share->requests++;
		table->requests++;
	}
	if (state == PLACE_WAITING) {
		waiting_insert(table, place);
		share_set_rank(table, share, share->waiting_count + 1);
	} else if (state == PLACE_READING) {
		TAILQ_INSERT_TAIL(&table->reading, place, entry);
	}
}

static void
state_end(place_table_t *table, place_t *place)
{
	place_share_t *share = place->share;
	place_state_t state = place->state;

	table->count -= state != PLACE_LEAVING;
	if (state == PLACE_READING || state == PLACE_BUSY) {
		share->requests--;
		table->requests--;
	}
	if (place->org != NULL) {
		place->org->requests--;
		share_unref(table, place->org);
		place->org = NULL;
	}
	if (state == PLACE_WAITING) {
		waiting_remove(table, place);
		share_set_rank(table, share, share->waiting_count - 1);
	} else if (state == PLACE_READING) {
		TAILQ_REMOVE(&table->reading, place, entry);
	}
}

/* A connection from an address was accepted; there are at most limit. */
void
place_enter(
    place_table_t *table, place_t *place, const char *address, double now)
{
	place->share = share_ref(table, address);
	place->silent_since = now;
	state_begin(table, place, PLACE_WAITING);
}

/* A connection has ended. */
void
place_leave(place_table_t *table, place_t *place)
{
	state_end(table, place);
	share_unref(table, place->share);
}

/* Notes a new state; one that leaves stays so. */
void
place_set_state(
    place_table_t *table, place_t *place, place_state_t state, double now)
{
	if (place->state == PLACE_LEAVING)
		return;
	state_end(table, place);
	place->silent_since = now;
	state_begin(table, place, state);
}

/* Notes when the last byte of a client arrived. */
void
place_heard(place_table_t *table, place_t *place, double at)
{
	if (at < place->silent_since)
		return;
	if (place->state == PLACE_WAITING) {
		waiting_remove(table, place);
		place->silent_since = at;
		waiting_insert(table, place);
		share_set_rank(
		    table, place->share, place->share->waiting_count);
	} else if (place->state == PLACE_READING) {
		TAILQ_REMOVE(&table->reading, place, entry);
		place->silent_since = at;
		TAILQ_INSERT_TAIL(&table->reading, place, entry);
	}
}

/* Returns whether somebody has to give way. */
bool
place_table_is_short(const place_table_t *table)
{
	return (table->count > table->capacity);
}

static bool
share_may_begin(
    const place_table_t *table, const place_share_t *share, unsigned requests)
{
	return (
	    requests < table->capacity &&
	    share->requests < REQUESTS_PER_FREE * (table->capacity - requests));
}

/* Returns whether the address of a waiting place may begin a request. */
bool
place_may_begin(const place_table_t *table, const place_t *place)
{
	return (share_may_begin(table, place->share, table->requests));
}

/*
 * Notes that the request of a busy place is that of an organisation. Returns
 * false if the organisation has its share; the request must then be refused.
 */
bool
place_begin_for(place_table_t *table, place_t *place, str_t org)
{
	char name[MAX_ADDRESS];
	place_share_t *share;

	if (place->state != PLACE_BUSY || place->org != NULL)
		return (true);
	/* Names may be long, and look like addresses. */
	snprintf(name, sizeof(name), "org %016llx",
	    (unsigned long long)str_hash(org, 0));
	share = share_ref(table, name);
	if (!share_may_begin(table, share, table->requests - 1)) {
		share_unref(table, share);
		return (false);
	}
	share->requests++;
	place->org = share;
	return (true);
}

/*
 * Returns the waiting place that gives way first, other than except: of the
 * address that has most of them, the one that was silent for longest; NULL if
 * there is none.
 */
place_t *
place_table_waiting(const place_table_t *table, const place_t *except)
{
	place_t *found = NULL;
	place_share_t *share;

	for (unsigned rank = table->top; rank > 0 && found == NULL; rank--) {
		unsigned tied = 0;

		TAILQ_FOREACH (share, &table->ranks[rank], rank_entry) {
			place_t *place = TAILQ_FIRST(&share->waiting);

			if (place == except)
				place = TAILQ_NEXT(place, share_entry);
			if (place == NULL)
				continue;
			if (found == NULL ||
			    place->silent_since < found->silent_since)
				found = place;
			if (++tied == MAX_TIED_ADDRESSES)
				break;
		}
	}
	return (found);
}

/* Returns the body that gives way if nobody waits, or NULL. */
place_t *
place_table_stalled(const place_table_t *table, double now)
{
	place_t *place = TAILQ_FIRST(&table->reading);

	return (place != NULL && now - place->silent_since > YIELD_AFTER_S
		    ? place
		    : NULL);
}

/* Returns a place that was waiting for too long while places are scarce. */
place_t *
place_table_idle(const place_table_t *table, double now)
{
	place_t *place;

	if (table->count < table->capacity * SCARCE_SHARE)
		return (NULL);
	TAILQ_FOREACH (place, &table->waiting, entry) {
		double idle_s = now - place->silent_since;

		if (idle_s < SCARCE_FIRST_IDLE_S)
			break;
		if (!place->served || idle_s >= SCARCE_IDLE_S)
			return (place);
	}
	return (NULL);
}
