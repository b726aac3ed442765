/* The decisions of the failure detector: SWIM without sockets and clocks. */
#include "membership.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "membership_state.h"

/* Suspicion lasts this many periods more than log2 of the fleet's size. */
#define SUSPICION_PERIODS 3.0
#define SYNC_PERIODS	  10.0
/* A longer gap between two calls is a pause; 1.05 periods are normal. */
#define PAUSE_PERIODS 1.25
/* More differing groups than this and the next exchange follows at once. */
#define SYNC_BEHIND_BUCKETS 8
#define FORGET_S	    3600.0
/* Addresses that a host without a living peer contacts in each period. */
#define LONE_CONTACTS 3
/* Addresses whose tables are asked for as soon as they are known. */
#define CONTACTS_AT_ONCE 4
/* Time to collect news before they are passed on, as a share of the period. */
#define PUSH_DELAY 0.2
/* Members that hear of news or of a change of the own record at once. */
#define ANNOUNCE_CONTACTS 2
/* Members that hear of a planned stop directly. */
#define LEAVE_CONTACTS 8

/* Returns this host's own record, for changes. */
member_t *
membership_own(const membership_t *m)
{
	size_t index = member_table_find(&m->table, str_of(m->self));

	return (&m->table.members[index]);
}

/*
 * Queues a member's record and has it passed on soon. News that waited for the
 * next probes took more than 20 s to reach 910 simulated hosts.
 */
static void
spread(membership_t *m, size_t index, double now)
{
	member_table_queue_update(&m->table, index);
	m->changed = true;
	if (isinf(m->push_at))
		m->push_at = now + PUSH_DELAY * m->period;
}

/* Changes what is known of a member and lets others know. */
void
membership_set_state(
    membership_t *m, size_t index, member_state_t state, double now)
{
	m->table.members[index].state = state;
	m->table.meta[index].since = now;
	spread(m, index, now);
}

/* Returns whether a member counts as living: alive or suspected. */
bool
member_is_living(const member_t *member)
{
	return (
	    member->state == MEMBER_ALIVE || member->state == MEMBER_SUSPECT);
}

/* Returns the table and its number of members, self included. */
size_t
membership_members(const membership_t *m, const member_t **out)
{
	*out = m->table.members;
	return (m->table.count);
}

/* Returns this host's own record. */
const member_t *
membership_self(const membership_t *m)
{
	return (membership_own(m));
}

/* Returns the member of that name, or NULL. */
const member_t *
membership_find(const membership_t *m, str_t name)
{
	size_t index = member_table_find(&m->table, name);

	return (index != MEMBER_NONE ? &m->table.members[index] : NULL);
}

/* Returns how many members are living, self included. */
size_t
membership_living(const membership_t *m)
{
	return (member_table_living(&m->table));
}

/*
 * Returns the living member with the newest configuration version; self when
 * nobody has a newer one.
 */
const member_t *
membership_newest_config(const membership_t *m)
{
	const member_t *newest = membership_own(m);

	for (size_t i = 0; i < m->table.count; i++) {
		const member_t *member = &m->table.members[i];

		if (member_is_living(member) &&
		    member->config_version > newest->config_version)
			newest = member;
	}
	return (newest);
}

/* Returns the time in seconds from a suspicion to a declaration of death. */
double
membership_suspicion_s(const membership_t *m)
{
	double living = (double)member_table_living(&m->table);

	return (m->period * (SUSPICION_PERIODS + log2(living)));
}

/* Returns the numbers of events since the start. */
membership_stats_t
membership_stats(const membership_t *m)
{
	return (m->stats);
}

/* Calls on_change after each change of the table, once for a datagram. */
void
membership_on_change(membership_t *m, void (*on_change)(void *ctx), void *ctx)
{
	m->on_change = on_change;
	m->on_change_ctx = ctx;
}

/* A change made by on_change itself causes another call, not a nested one. */
static void
notify(membership_t *m)
{
	if (m->notifying || m->on_change == NULL)
		return;
	m->notifying = true;
	while (m->changed) {
		m->changed = false;
		m->on_change(m->on_change_ctx);
	}
	m->notifying = false;
}

/*
 * Sends the own record and queued ones to a few members at once; each of them
 * passes news on or, for a configuration version, does the same when it has
 * adopted the version.
 */
static void
announce(membership_t *m, int contacts)
{
	for (int i = 0; i < contacts; i++) {
		size_t index = membership_random_member(m, true, NULL);
		member_t peer;

		if (index == MEMBER_NONE)
			return;
		peer = m->table.members[index];
		membership_send(m, peer.address, MEMBER_SYNC, 0, "", &peer);
	}
}

static void
raise_incarnation(membership_t *m, uint32_t above)
{
	size_t index = member_table_find(&m->table, str_of(m->self));
	member_t *self = &m->table.members[index];

	if (self->incarnation < above)
		self->incarnation = above;
	self->incarnation++;
	m->changed = true;
}

/* Announces whether this host accepts work. */
void
membership_set_ready(membership_t *m, bool ready)
{
	if (m->left || membership_own(m)->ready == ready)
		return;
	membership_own(m)->ready = ready;
	raise_incarnation(m, 0);
	announce(m, ANNOUNCE_CONTACTS);
	notify(m);
}

/* Announces that this host is about to stop. */
void
membership_set_leaving(membership_t *m, bool leaving)
{
	if (m->left || membership_own(m)->leaving == leaving)
		return;
	membership_own(m)->leaving = leaving;
	raise_incarnation(m, 0);
	announce(m, ANNOUNCE_CONTACTS);
	notify(m);
}

/*
 * Announces the configuration version in force. It spreads with every datagram
 * and needs no new incarnation: with one, each change of the configuration
 * would queue an update for each host of the fleet.
 */
void
membership_set_config_version(membership_t *m, uint64_t version)
{
	if (m->left || version <= membership_own(m)->config_version)
		return;
	membership_own(m)->config_version = version;
	m->changed = true;
	announce(m, ANNOUNCE_CONTACTS);
	notify(m);
}

/* Adds an address to contact; the oldest of too many is replaced. */
void
membership_add_seed(membership_t *m, const char *address)
{
	if (strcmp(address, membership_own(m)->address) == 0)
		return;
	for (size_t i = 0; i < m->seed_count; i++)
		if (strcmp(m->seeds[i], address) == 0)
			return;
	str_copy(m->seeds[m->next_seed], sizeof(m->seeds[0]), str_of(address));
	m->next_seed = (m->next_seed + 1) % MEMBERSHIP_MAX_SEEDS;
	if (m->seed_count < MEMBERSHIP_MAX_SEEDS)
		m->seed_count++;
}

/*
 * Asks an address for its table at once, for the first few addresses only: a
 * host that joins learns what others have seen.
 */
void
membership_contact(membership_t *m, const char *address)
{
	if (m->contacted_at_once++ < CONTACTS_AT_ONCE)
		membership_send_digest(m, address, false, NULL);
}

/*
 * Tells a host of this one, and learns of it from the answer. Hosts that start
 * together would need seconds of gossip to know each other, and until then each
 * part of the fleet would choose owners of its own.
 */
void
membership_introduce(membership_t *m, const char *address, const char *name)
{
	if (!m->left && strcmp(name, m->self) != 0)
		membership_send_own_record(m, address, name);
}

static void
sync_with_member(membership_t *m, bool living)
{
	size_t index = membership_random_member(m, living, NULL);
	member_t peer;

	if (index == MEMBER_NONE)
		return;
	peer = m->table.members[index];
	m->stats.syncs++;
	membership_send_digest(m, peer.address, false, &peer);
}

/* Contacts one random seed that is not a living member's address. */
static void
sync_with_seed(membership_t *m)
{
	size_t index = rng_below(&m->rng, m->seed_count);

	if (m->seed_count == 0 || member_table_find_address(&m->table,
				      str_of(m->seeds[index])) != MEMBER_NONE)
		return;
	m->stats.syncs++;
	membership_send_digest(m, m->seeds[index], false, NULL);
}

/*
 * Handles a record that somebody holds of this host. A suspicion, a death or a
 * predecessor that is not older must be refuted.
 */
static void
hear_of_self(membership_t *m, const member_t *update)
{
	const member_t *self = membership_own(m);
	bool own = update->instance == self->instance;

	if (m->left || update->incarnation < self->incarnation)
		return;
	if (own && update->incarnation == self->incarnation &&
	    update->state == MEMBER_ALIVE)
		return;
	m->stats.refutations++;
	raise_incarnation(m, update->incarnation);
}

static void
hear_of_known(membership_t *m, size_t index, const member_t *update, double now)
{
	member_t *known = &m->table.members[index];
	uint64_t version = known->config_version;
	bool same = update->instance == known->instance;

	if (member_supersedes(update, known)) {
		*known = *update;
		if (same && known->config_version < version)
			known->config_version = version;
		m->table.meta[index].since = now;
		spread(m, index, now);
	} else if (same && update->config_version > version) {
		known->config_version = update->config_version;
		m->changed = true;
	}
}

/* Takes one record into the table. */
static void
hear(membership_t *m, const member_t *update, double now)
{
	size_t index = member_table_find(&m->table, str_of(update->name));

	if (strcmp(update->name, m->self) == 0) {
		hear_of_self(m, update);
	} else if (index != MEMBER_NONE) {
		hear_of_known(m, index, update, now);
	} else if (member_is_living(update)) {
		/*
		 * Unknown dead members are not added: hosts would remind each
		 * other of them for ever.
		 */
		index = member_table_add(&m->table, update, now);
		spread(m, index, now);
	}
}

/*
 * Notices by the own clock that this host stood still. Answers that came
 * meanwhile were missed, so the running probe proves nothing and suspicions get
 * the lost time back. After a stop as long as a suspicion the others may have
 * declared this host dead: it announces itself and compares tables first.
 */
static void
check_own_pause(membership_t *m, double now)
{
	double gap = now - m->last_time;

	m->last_time = now;
	if (gap <= PAUSE_PERIODS * m->period)
		return;
	m->probe.active = false;
	for (size_t i = 0; i < m->table.count; i++)
		if (m->table.members[i].state == MEMBER_SUSPECT)
			m->table.meta[i].since += gap;
	if (gap <= membership_suspicion_s(m))
		return;
	m->stats.wakeups++;
	raise_incarnation(m, 0);
	for (int i = 0; i < MEMBERSHIP_PROBE_RELAYS; i++)
		sync_with_member(m, true);
}

/* Declares members dead whose suspicion was not refuted; forgets old ones. */
static void
expire(membership_t *m, double now)
{
	double suspicion = membership_suspicion_s(m);

	for (size_t i = m->table.count; i-- > 0;) {
		const member_t *member = &m->table.members[i];
		double age = now - m->table.meta[i].since;

		if (strcmp(member->name, m->self) == 0)
			continue;
		if (member->state == MEMBER_SUSPECT && age > suspicion) {
			m->stats.deaths++;
			membership_set_state(m, i, MEMBER_DEAD, now);
		} else if (!member_is_living(member) && age > FORGET_S) {
			member_table_remove(&m->table, i);
			m->changed = true;
		}
	}
}

static void
sync_tables(membership_t *m, double now)
{
	bool alone = member_table_living(&m->table) == 1;

	if (now < m->next_sync && !alone)
		return;
	m->next_sync = now + SYNC_PERIODS * m->period;
	for (int i = 0; i < (alone ? LONE_CONTACTS : 1); i++) {
		sync_with_member(m, true);
		sync_with_member(m, false);
		sync_with_seed(m);
	}
}

/*
 * Does what is due at a time. Returns the time of the next call, which may
 * come earlier.
 */
double
membership_tick(membership_t *m, double now)
{
	if (m->left)
		return (now + m->period);
	check_own_pause(m, now);
	membership_probe_continue(m, now);
	if (now >= m->push_at) {
		m->push_at = INFINITY;
		announce(m, ANNOUNCE_CONTACTS);
	}
	if (now >= m->next_probe) {
		membership_probe_finish(m, now);
		expire(m, now);
		sync_tables(m, now);
		membership_probe_start(m, now);
		/* Jitter keeps hosts that started together apart. */
		m->next_probe =
		    now + m->period * (0.95 + 0.1 * rng_uniform(&m->rng));
	}
	notify(m);
	return (membership_next(m));
}

/*
 * Returns the time of the next call of membership_tick(). A datagram can bring
 * it forward.
 */
double
membership_next(const membership_t *m)
{
	return (fmin(membership_probe_next(m), m->push_at));
}

static void
on_digest(membership_t *m, double now, const char *from,
    const member_message_t *message)
{
	uint32_t own[MEMBER_DIGEST_BUCKETS];
	bool wanted[MEMBER_DIGEST_BUCKETS];
	size_t differing = 0;

	member_table_digest(&m->table, own);
	for (size_t i = 0; i < MEMBER_DIGEST_BUCKETS; i++) {
		wanted[i] = own[i] != message->digest[i];
		differing += wanted[i];
	}
	if (!message->is_answer)
		membership_send_digest(m, from, true, &message->updates[0]);
	else if (differing > SYNC_BEHIND_BUCKETS)
		m->next_sync = now + m->period;
	if (differing > 0)
		membership_send_records(m, from, wanted);
}

/* Handles one authenticated datagram from an address. */
void
membership_receive(
    membership_t *m, double now, const char *from, str_t datagram)
{
	member_message_t message;

	if (m->left)
		return;
	check_own_pause(m, now);
	if (member_message_decode(datagram, &message) != 0) {
		m->stats.malformed++;
		return;
	}
	for (size_t i = 0; i < message.update_count; i++)
		hear(m, &message.updates[i], now);
	if (message.type == MEMBER_PING) {
		/* An address may have passed to a host of another name. */
		if (strcmp(message.target, m->self) == 0)
			membership_send(m, from, MEMBER_ACK, message.seq,
			    m->self, &message.updates[0]);
	} else if (message.type == MEMBER_PING_REQ) {
		membership_on_ping_req(m, now, from, &message);
	} else if (message.type == MEMBER_ACK) {
		membership_on_ack(m, &message);
	} else if (message.type == MEMBER_NACK) {
		m->probe.nacks += message.seq == m->probe.seq;
	} else if (message.has_digest) {
		on_digest(m, now, from, &message);
	}
	notify(m);
}

/* Announces a planned stop; the state machine does nothing afterwards. */
void
membership_leave(membership_t *m)
{
	if (m->left)
		return;
	membership_own(m)->state = MEMBER_LEFT;
	raise_incarnation(m, 0);
	m->left = true;
	announce(m, LEAVE_CONTACTS);
	notify(m);
}

/* Makes a state machine whose table holds this host only. */
membership_t *
membership_new(const membership_params_t *params, double now)
{
	membership_t *m = xcalloc(1, sizeof(*m));
	member_t self = {
	    .instance = params->instance,
	    .incarnation = params->incarnation,
	};

	str_copy(self.name, sizeof(self.name), str_of(params->name));
	str_copy(self.address, sizeof(self.address), str_of(params->address));
	str_copy(self.zone, sizeof(self.zone), str_of(params->zone));
	str_copy(self.site, sizeof(self.site), str_of(params->site));
	self.millicores = params->millicores;
	memcpy(m->self, self.name, sizeof(m->self));
	m->rng = rng_seeded(params->random_seed);
	m->period = params->period > 0 ? params->period : 1.0;
	m->last_time = now;
	m->next_probe = now;
	m->push_at = INFINITY;
	m->send = params->send;
	m->send_ctx = params->send_ctx;
	member_table_add(&m->table, &self, now);
	return (m);
}

/* Frees the state machine. */
void
membership_delete(membership_t *m)
{
	member_table_free(&m->table);
	free(m);
}

/*
 * Returns whether other hosts answer this one: the last probe was answered, and
 * at least half of the others that did not stop as planned are alive and not
 * suspected. Without other hosts it returns true.
 */
bool
membership_in_contact(const membership_t *m)
{
	const member_t *members;
	size_t count = membership_members(m, &members);
	size_t known = 0;
	size_t alive = 0;

	for (size_t i = 0; i < count; i++) {
		if (members[i].state == MEMBER_LEFT ||
		    strcmp(members[i].name, m->self) == 0)
			continue;
		known++;
		alive += members[i].state == MEMBER_ALIVE;
	}
	return (m->unanswered_probes == 0 && alive * 2 >= known);
}
