/* Composes and sends the datagrams of the failure detector. */
#include <stdlib.h>
#include <string.h>

#include "membership_state.h"

/* Bounds the bytes of one exchange; the next one sends what is missing. */
#define SYNC_MAX_DATAGRAMS 16

/*
 * Fills the records that every datagram carries: the own one, the one of the
 * newest configuration's holder, and the receiver's own when it may have to
 * refute it.
 */
static void
fill_updates(membership_t *m, member_message_t *message, const member_t *claim)
{
	const member_t *self = membership_own(m);
	const member_t *newest = membership_newest_config(m);
	const member_t *known = NULL;

	message->updates[message->update_count++] = *self;
	if (newest != self)
		message->updates[message->update_count++] = *newest;
	if (claim != NULL)
		known = membership_find(m, str_of(claim->name));
	if (known != NULL && known != self && known != newest &&
	    (known->state != MEMBER_ALIVE ||
		known->incarnation != claim->incarnation ||
		known->instance != claim->instance))
		message->updates[message->update_count++] = *known;
}

static void
transmit(membership_t *m, const char *address, const buf_t *datagram)
{
	m->send(m->send_ctx, address, str_buf(datagram));
}

/*
 * Sends a datagram with as many queued updates as fit. claim is what the
 * receiver last said of itself or what the table holds, or NULL when unknown.
 */
static void
send_message(membership_t *m, const char *address, member_message_t *message,
    const member_t *claim)
{
	size_t queued[MEMBERSHIP_MAX_UPDATES];
	size_t fixed;
	size_t picked;
	size_t packed;
	buf_t datagram = {0};

	fill_updates(m, message, claim);
	fixed = message->update_count;
	picked = member_table_select_queued(
	    &m->table, &m->rng, queued, MEMBERSHIP_MAX_UPDATES - fixed);
	for (size_t i = 0; i < picked; i++)
		message->updates[message->update_count++] =
		    m->table.members[queued[i]];
	packed = member_message_encode(message, &datagram);
	for (size_t i = 0; fixed + i < packed; i++)
		m->table.meta[queued[i]].transmits_left--;
	transmit(m, address, &datagram);
	buf_free(&datagram);
}

/* Sends a datagram without a digest; see send_message(). */
void
membership_send(membership_t *m, const char *address,
    member_message_type_t type, uint32_t seq, const char *target,
    const member_t *claim)
{
	member_message_t message = {.type = type, .seq = seq};

	str_copy(message.target, sizeof(message.target), str_of(target));
	send_message(m, address, &message, claim);
}

/* Sends the own record alone; the target answers with its own. */
void
membership_send_own(membership_t *m, const char *address, const char *target)
{
	member_message_t message = {.type = MEMBER_PING, .seq = ++m->seq};
	buf_t datagram = {0};

	str_copy(message.target, sizeof(message.target), str_of(target));
	message.updates[message.update_count++] = *membership_own(m);
	member_message_encode(&message, &datagram);
	transmit(m, address, &datagram);
	buf_free(&datagram);
}

/* Sends one hash for each group of names. */
void
membership_send_digest(
    membership_t *m, const char *address, bool is_answer, const member_t *claim)
{
	member_message_t message = {
	    .type = MEMBER_SYNC,
	    .has_digest = true,
	    .is_answer = is_answer,
	};

	member_table_digest(&m->table, message.digest);
	send_message(m, address, &message, claim);
}

/*
 * Writes the indexes of the marked groups' members, one group after the other
 * from a random one on. Returns how many were written.
 */
static size_t
list_records(
    membership_t *m, const bool wanted[MEMBER_DIGEST_BUCKETS], size_t *out)
{
	size_t start = rng_below(&m->rng, MEMBER_DIGEST_BUCKETS);
	size_t count = 0;

	for (size_t i = 0; i < MEMBER_DIGEST_BUCKETS; i++) {
		size_t bucket = (start + i) % MEMBER_DIGEST_BUCKETS;

		if (!wanted[bucket])
			continue;
		for (size_t j = 0; j < m->table.count; j++)
			if (m->table.meta[j].bucket == bucket)
				out[count++] = j;
	}
	return (count);
}

/*
 * Sends the records of the marked groups in a bounded number of datagrams.
 * Whole groups go first to last, so that those that were sent compare as equal
 * the next time.
 */
void
membership_send_records(membership_t *m, const char *address,
    const bool wanted[MEMBER_DIGEST_BUCKETS])
{
	size_t *order = xcalloc(m->table.count, sizeof(*order));
	size_t count = list_records(m, wanted, order);
	size_t next = 0;

	for (int i = 0; i < SYNC_MAX_DATAGRAMS && next < count; i++) {
		member_message_t message = {.type = MEMBER_SYNC};
		buf_t datagram = {0};
		size_t at = next;

		message.updates[message.update_count++] = *membership_own(m);
		while (
		    at < count && message.update_count < MEMBERSHIP_MAX_UPDATES)
			message.updates[message.update_count++] =
			    m->table.members[order[at++]];
		next += member_message_encode(&message, &datagram) - 1;
		transmit(m, address, &datagram);
		buf_free(&datagram);
	}
	free(order);
}

/*
 * Returns the index of a random other member in one of two states, or
 * MEMBER_NONE when there is none.
 */
size_t
membership_random(membership_t *m, bool living, const char *except)
{
	size_t start = rng_below(&m->rng, m->table.count);

	/* A few independent draws first, then a scan that finds any. */
	for (size_t i = 0; i < m->table.count + 8; i++) {
		size_t index = i < 8 ? rng_below(&m->rng, m->table.count)
				     : (start + i) % m->table.count;
		const member_t *member = &m->table.members[index];
		bool fits = living ? member_is_living(member)
				   : member->state == MEMBER_DEAD;

		if (fits && strcmp(member->name, m->self) != 0 &&
		    (except == NULL || strcmp(member->name, except) != 0))
			return (index);
	}
	return (MEMBER_NONE);
}
