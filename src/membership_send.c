/* Composes and sends the datagrams of the failure detector. */
#include <stdlib.h>
#include <string.h>

#include "membership_state.h"

/* Limits the size of one exchange; the next one sends the remaining records. */
#define MAX_DATAGRAMS_PER_SYNC 16

/*
 * Adds the records that every datagram carries: the record of this host, that
 * of the member with the newest configuration, and that of the receiver if the
 * table holds it as not alive or with another incarnation or instance, so that
 * the receiver can refute it.
 */
static void
add_priority_updates(
    membership_t *m, member_message_t *message, const member_t *receiver)
{
	const member_t *self = membership_mutable_self(m);
	const member_t *newest = membership_newest_config(m);
	const member_t *known = NULL;

	message->updates[message->update_count++] = *self;
	if (newest != self)
		message->updates[message->update_count++] = *newest;
	if (receiver != NULL)
		known = membership_find(m, str_of(receiver->name));
	if (known != NULL && known != self && known != newest &&
	    (known->state != MEMBER_ALIVE ||
		known->incarnation != receiver->incarnation ||
		known->instance != receiver->instance))
		message->updates[message->update_count++] = *known;
}

static void
transmit(membership_t *m, const char *address, const buf_t *datagram)
{
	m->send(m->send_ctx, address, str_buf(datagram));
}

/*
 * Sends a message with as many queued updates as fit. receiver is the record of
 * the receiving member, as it last sent it or as the table holds it, or NULL if
 * the member is not known.
 */
static void
send_message(membership_t *m, const char *address, member_message_t *message,
    const member_t *receiver)
{
	size_t queued[MEMBERSHIP_MAX_UPDATES];
	size_t priority_count;
	size_t queued_count;
	size_t packed;
	buf_t datagram = {0};

	add_priority_updates(m, message, receiver);
	priority_count = message->update_count;
	queued_count = member_table_select_queued(&m->table, &m->rng, queued,
	    MEMBERSHIP_MAX_UPDATES - priority_count);
	for (size_t i = 0; i < queued_count; i++)
		message->updates[message->update_count++] =
		    m->table.members[queued[i]];
	packed = member_message_encode(message, &datagram);
	for (size_t i = 0; priority_count + i < packed; i++)
		m->table.meta[queued[i]].transmits_left--;
	transmit(m, address, &datagram);
	buf_free(&datagram);
}

/* Sends a message without a digest; see send_message() for receiver. */
void
membership_send(membership_t *m, const char *address,
    member_message_type_t type, uint32_t seq, const char *target,
    const member_t *receiver)
{
	member_message_t message = {.type = type, .seq = seq};

	str_copy(message.target, sizeof(message.target), str_of(target));
	send_message(m, address, &message, receiver);
}

/* Sends a ping with only the record of this host; the ack has the target's. */
void
membership_send_own_record(
    membership_t *m, const char *address, const char *target)
{
	member_message_t message = {.type = MEMBER_PING, .seq = ++m->seq};
	buf_t datagram = {0};

	str_copy(message.target, sizeof(message.target), str_of(target));
	message.updates[message.update_count++] = *membership_mutable_self(m);
	member_message_encode(&message, &datagram);
	transmit(m, address, &datagram);
	buf_free(&datagram);
}

/* Sends the digest of the table, one hash per bucket. */
void
membership_send_digest(membership_t *m, const char *address, bool is_answer,
    const member_t *receiver)
{
	member_message_t message = {
	    .type = MEMBER_SYNC,
	    .has_digest = true,
	    .is_answer = is_answer,
	};

	member_table_digest(&m->table, message.digest);
	send_message(m, address, &message, receiver);
}

/*
 * Writes the indexes of the members in the selected buckets, bucket by bucket
 * from a random one on. Returns the number of indexes.
 */
static size_t
list_bucket_members(
    membership_t *m, const bool selected[MEMBER_DIGEST_BUCKETS], size_t *out)
{
	size_t start = rng_below(&m->rng, MEMBER_DIGEST_BUCKETS);
	size_t count = 0;

	for (size_t i = 0; i < MEMBER_DIGEST_BUCKETS; i++) {
		size_t bucket = (start + i) % MEMBER_DIGEST_BUCKETS;

		if (!selected[bucket])
			continue;
		for (size_t j = 0; j < m->table.count; j++)
			if (m->table.meta[j].bucket == bucket)
				out[count++] = j;
	}
	return (count);
}

/*
 * Sends the records in the selected buckets in a limited number of datagrams.
 * Records are sent bucket by bucket, so that fully sent buckets compare as
 * equal in the next exchange.
 */
void
membership_send_records(membership_t *m, const char *address,
    const bool selected[MEMBER_DIGEST_BUCKETS])
{
	size_t *indexes = xcalloc(m->table.count, sizeof(*indexes));
	size_t count = list_bucket_members(m, selected, indexes);
	size_t next = 0;

	for (int i = 0; i < MAX_DATAGRAMS_PER_SYNC && next < count; i++) {
		member_message_t message = {.type = MEMBER_SYNC};
		buf_t datagram = {0};
		size_t end = next;

		message.updates[message.update_count++] =
		    *membership_mutable_self(m);
		while (end < count &&
		       message.update_count < MEMBERSHIP_MAX_UPDATES)
			message.updates[message.update_count++] =
			    m->table.members[indexes[end++]];
		next += member_message_encode(&message, &datagram) - 1;
		transmit(m, address, &datagram);
		buf_free(&datagram);
	}
	free(indexes);
}

/*
 * Returns the index of a random member, living or dead as asked, other than
 * this host and the one named except, or MEMBER_NONE if there is none.
 */
size_t
membership_random_member(membership_t *m, bool living, const char *except)
{
	size_t start = rng_below(&m->rng, m->table.count);

	/* Eight random draws first, then a linear scan of the whole table. */
	for (size_t i = 0; i < m->table.count + 8; i++) {
		size_t index = i < 8 ? rng_below(&m->rng, m->table.count)
				     : (start + i) % m->table.count;
		const member_t *member = &m->table.members[index];
		bool eligible = living ? member_is_living(member)
				       : member->state == MEMBER_DEAD;

		if (eligible && strcmp(member->name, m->self) != 0 &&
		    (except == NULL || strcmp(member->name, except) != 0))
			return (index);
	}
	return (MEMBER_NONE);
}
