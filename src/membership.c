/*
 * Failure detector and gossip protocol after SWIM. The caller supplies time and
 * transport.
 */
#include "membership.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "membership_state.h"

/* A suspicion lasts this many periods plus log2 of the number of members. */
#define SUSPICION_BASE_PERIODS 3.0
#define SYNC_INTERVAL_PERIODS  10.0
/* A longer gap between calls is a pause; up to 1.05 periods are normal. */
#define PAUSE_THRESHOLD_PERIODS 1.25
/* If more buckets differ, the next exchange follows after one period. */
#define RESYNC_THRESHOLD_BUCKETS 8
/* Time until a dead or left member is removed from the table. */
#define DEAD_RETENTION_S 3600.0
/* Rounds of table exchanges per period while no other member is living. */
#define ISOLATED_SYNCS 3
/* Addresses whose tables a starting host requests at once. */
#define MAX_INITIAL_SYNCS 4
/* Delay before queued updates are sent, to collect several of them. */
#define GOSSIP_DELAY_PERIODS 0.2
/* Random members that get queued updates in one gossip round. */
#define GOSSIP_FANOUT 2
/* Random members that are notified directly of a planned stop. */
#define LEAVE_FANOUT 8
/* Members to exchange tables with after a long pause of this host. */
#define POST_PAUSE_SYNCS 3

/* Returns this host's record for modification. */
member_t *
membership_mutable_self(const membership_t *m)
{
	size_t index = member_table_find(&m->table, str_of(m->self));

	return (&m->table.members[index]);
}

/*
 * Queues a member's record and schedules a gossip round. Updates that were sent
 * with probes only took more than 20 s to reach 910 simulated hosts.
 */
static void
queue_update(membership_t *m, size_t index, double now)
{
	member_table_queue_update(&m->table, index);
	m->changed = true;
	if (isinf(m->gossip_at))
		m->gossip_at = now + GOSSIP_DELAY_PERIODS * m->period;
}

/* Changes the state of a member and queues its record for the others. */
void
membership_set_state(
    membership_t *m, size_t index, member_state_t state, double now)
{
	m->table.members[index].state = state;
	m->table.meta[index].since = now;
	queue_update(m, index, now);
}

/* Returns whether a member is living, that is alive or suspected. */
bool
member_is_living(const member_t *member)
{
	return (
	    member->state == MEMBER_ALIVE || member->state == MEMBER_SUSPECT);
}

/* Sets out to the members, self included, and returns their number. */
size_t
membership_members(const membership_t *m, const member_t **out)
{
	*out = m->table.members;
	return (m->table.count);
}

const member_t *
membership_self(const membership_t *m)
{
	return (membership_mutable_self(m));
}

/* Returns the member with that name, or NULL. */
const member_t *
membership_find(const membership_t *m, str_t name)
{
	size_t index = member_table_find(&m->table, name);

	return (index != MEMBER_NONE ? &m->table.members[index] : NULL);
}

/* Returns the number of living members, self included. */
size_t
membership_living(const membership_t *m)
{
	return (member_table_living(&m->table));
}

/*
 * Returns the living member with the newest configuration version, or self if
 * no member has a newer one.
 */
const member_t *
membership_newest_config(const membership_t *m)
{
	const member_t *newest = membership_mutable_self(m);

	for (size_t i = 0; i < m->table.count; i++) {
		const member_t *member = &m->table.members[i];

		if (member_is_living(member) &&
		    member->config_version > newest->config_version)
			newest = member;
	}
	return (newest);
}

/* Returns the seconds after which a suspected member is declared dead. */
double
membership_suspicion_s(const membership_t *m)
{
	double living = (double)member_table_living(&m->table);

	return (m->period * (SUSPICION_BASE_PERIODS + log2(living)));
}

membership_stats_t
membership_stats(const membership_t *m)
{
	return (m->stats);
}

/* Sets a callback for changes of the table, at most one call per datagram. */
void
membership_on_change(membership_t *m, void (*on_change)(void *ctx), void *ctx)
{
	m->on_change = on_change;
	m->on_change_ctx = ctx;
}

/* Calls on_change again, not nested, if the callback itself makes changes. */
static void
notify_change(membership_t *m)
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
 * Sends this host's record and queued updates to random members. Each receiver
 * gossips new updates further; a new configuration version is announced by each
 * host that adopts it.
 */
static void
gossip(membership_t *m, int fanout)
{
	for (int i = 0; i < fanout; i++) {
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

/* Sets and announces whether this host accepts work. */
void
membership_set_ready(membership_t *m, bool ready)
{
	if (m->left || membership_mutable_self(m)->ready == ready)
		return;
	membership_mutable_self(m)->ready = ready;
	raise_incarnation(m, 0);
	gossip(m, GOSSIP_FANOUT);
	notify_change(m);
}

/* Sets and announces whether callers should not send keys to this host. */
void
membership_set_keys_stale(membership_t *m, bool stale)
{
	if (m->left || membership_mutable_self(m)->keys_stale == stale)
		return;
	membership_mutable_self(m)->keys_stale = stale;
	raise_incarnation(m, 0);
	gossip(m, GOSSIP_FANOUT);
	notify_change(m);
}

/* Sets and announces whether this host is about to stop. */
void
membership_set_leaving(membership_t *m, bool leaving)
{
	if (m->left || membership_mutable_self(m)->leaving == leaving)
		return;
	membership_mutable_self(m)->leaving = leaving;
	raise_incarnation(m, 0);
	gossip(m, GOSSIP_FANOUT);
	notify_change(m);
}

/*
 * Announces the configuration version in force. Every datagram carries the
 * newest version, so the incarnation is not raised: that would queue an update
 * for each host of the fleet on each change of the configuration.
 */
void
membership_set_config_version(membership_t *m, uint64_t version)
{
	if (m->left || version <= membership_mutable_self(m)->config_version)
		return;
	membership_mutable_self(m)->config_version = version;
	m->changed = true;
	gossip(m, GOSSIP_FANOUT);
	notify_change(m);
}

/* Adds a seed address; replaces the oldest one if the list is full. */
void
membership_add_seed(membership_t *m, const char *address)
{
	if (strcmp(address, membership_mutable_self(m)->address) == 0)
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
 * Starts a table exchange with an address at once, so that a joining host gets
 * the members that others know. Does so for the first MAX_INITIAL_SYNCS
 * addresses only.
 */
void
membership_request_sync(membership_t *m, const char *address)
{
	if (m->initial_syncs++ < MAX_INITIAL_SYNCS)
		membership_send_digest(m, address, false, NULL);
}

/*
 * Sends this host's record to another host, whose ack carries its own. Hosts
 * that start together would otherwise need seconds of gossip to know each
 * other, and each part of the fleet would choose different owners meanwhile.
 */
void
membership_announce_to(membership_t *m, const char *address, const char *name)
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

/* Contacts a random seed unless a living member has its address. */
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
 * Handles a received record of this host. A suspicion, a death or a record of a
 * predecessor whose incarnation is not older is refuted.
 */
static void
apply_update_of_self(membership_t *m, const member_t *update)
{
	const member_t *self = membership_mutable_self(m);
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
apply_update_of_known(
    membership_t *m, size_t index, const member_t *update, double now)
{
	member_t *known = &m->table.members[index];
	uint64_t version = known->config_version;
	bool same = update->instance == known->instance;

	if (member_supersedes(update, known)) {
		*known = *update;
		if (same && known->config_version < version)
			known->config_version = version;
		m->table.meta[index].since = now;
		queue_update(m, index, now);
	} else if (same && update->config_version > version) {
		known->config_version = update->config_version;
		m->changed = true;
	}
}

/* Applies a received record to the table. */
static void
apply_update(membership_t *m, const member_t *update, double now)
{
	size_t index = member_table_find(&m->table, str_of(update->name));

	if (strcmp(update->name, m->self) == 0) {
		apply_update_of_self(m, update);
	} else if (index != MEMBER_NONE) {
		apply_update_of_known(m, index, update, now);
	} else if (member_is_living(update)) {
		/*
		 * Unknown dead members are not added: otherwise hosts would
		 * exchange their records forever.
		 */
		index = member_table_add(&m->table, update, now);
		queue_update(m, index, now);
	}
}

/*
 * Detects a pause of this process from the gap since the last call. Acks may
 * have been missed, so the current probe is dropped and suspicions are extended
 * by the gap. After a pause longer than a suspicion the others may have
 * declared this host dead, so it raises its incarnation and exchanges tables
 * first.
 */
static void
detect_own_pause(membership_t *m, double now)
{
	double gap = now - m->last_run_at;

	m->last_run_at = now;
	if (gap <= PAUSE_THRESHOLD_PERIODS * m->period)
		return;
	m->probe.active = false;
	for (size_t i = 0; i < m->table.count; i++)
		if (m->table.members[i].state == MEMBER_SUSPECT)
			m->table.meta[i].since += gap;
	if (gap <= membership_suspicion_s(m))
		return;
	m->stats.wakeups++;
	raise_incarnation(m, 0);
	for (int i = 0; i < POST_PAUSE_SYNCS; i++)
		sync_with_member(m, true);
}

/* Declares members dead whose suspicion expired; removes old dead members. */
static void
expire_members(membership_t *m, double now)
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
		} else if (!member_is_living(member) &&
			   age > DEAD_RETENTION_S) {
			member_table_remove(&m->table, i);
			m->changed = true;
		}
	}
}

static void
sync_tables(membership_t *m, double now)
{
	bool isolated = member_table_living(&m->table) == 1;

	if (now < m->next_sync_at && !isolated)
		return;
	m->next_sync_at = now + SYNC_INTERVAL_PERIODS * m->period;
	for (int i = 0; i < (isolated ? ISOLATED_SYNCS : 1); i++) {
		sync_with_member(m, true);
		sync_with_member(m, false);
		sync_with_seed(m);
	}
}

/*
 * Runs all actions that are due. Returns the time by which to call it again; an
 * earlier call is allowed.
 */
double
membership_tick(membership_t *m, double now)
{
	if (m->left)
		return (now + m->period);
	detect_own_pause(m, now);
	membership_probe_continue(m, now);
	if (now >= m->gossip_at) {
		m->gossip_at = INFINITY;
		gossip(m, GOSSIP_FANOUT);
	}
	if (now >= m->next_probe_at) {
		membership_probe_finish(m, now);
		expire_members(m, now);
		sync_tables(m, now);
		membership_probe_start(m, now);
		/* Jitter desynchronises hosts that started together. */
		m->next_probe_at =
		    now + m->period * (0.95 + 0.1 * rng_uniform(&m->rng));
	}
	notify_change(m);
	return (membership_next(m));
}

/*
 * Returns the time of the next call of membership_tick(). A received datagram
 * can move it to an earlier time.
 */
double
membership_next(const membership_t *m)
{
	return (fmin(membership_probe_next(m), m->gossip_at));
}

static void
on_digest(membership_t *m, double now, const char *from,
    const member_message_t *message)
{
	uint32_t own[MEMBER_DIGEST_BUCKETS];
	bool differs[MEMBER_DIGEST_BUCKETS];
	size_t differing = 0;

	member_table_digest(&m->table, own);
	for (size_t i = 0; i < MEMBER_DIGEST_BUCKETS; i++) {
		differs[i] = own[i] != message->digest[i];
		differing += differs[i];
	}
	if (!message->is_answer)
		membership_send_digest(m, from, true, &message->updates[0]);
	else if (differing > RESYNC_THRESHOLD_BUCKETS)
		m->next_sync_at = now + m->period;
	if (differing > 0)
		membership_send_records(m, from, differs);
}

/* Handles the payload of an authenticated datagram. */
void
membership_receive(
    membership_t *m, double now, const char *from, str_t datagram)
{
	member_message_t message;

	if (m->left)
		return;
	detect_own_pause(m, now);
	if (member_message_decode(datagram, &message) != 0) {
		m->stats.malformed++;
		return;
	}
	for (size_t i = 0; i < message.update_count; i++)
		apply_update(m, &message.updates[i], now);
	if (message.type == MEMBER_PING) {
		/* The address may belong to a host of another name now. */
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
	notify_change(m);
}

/* Announces a planned stop; the failure detector is inactive afterwards. */
void
membership_leave(membership_t *m)
{
	if (m->left)
		return;
	membership_mutable_self(m)->state = MEMBER_LEFT;
	raise_incarnation(m, 0);
	m->left = true;
	gossip(m, LEAVE_FANOUT);
	notify_change(m);
}

/* Creates a failure detector whose table holds this host only. */
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
	m->last_run_at = now;
	m->next_probe_at = now;
	m->gossip_at = INFINITY;
	m->send = params->send;
	m->send_ctx = params->send_ctx;
	member_table_add(&m->table, &self, now);
	return (m);
}

void
membership_delete(membership_t *m)
{
	member_table_free(&m->table);
	free(m);
}

/*
 * Returns whether this host is connected to the fleet: since the last ack no
 * probe was left without a reply by its target and all relays, and at least
 * half of the other members that have not left are alive and not suspected.
 * Returns true if there are no other members.
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
