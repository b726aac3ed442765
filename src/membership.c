/* The decisions of the failure detector: SWIM without sockets and clocks. */
#include "membership.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "member_message.h"

/* Answer time before helpers are asked, as a share of the period. */
#define PROBE_TIMEOUT 0.3
/* Answer time that a helper waits, as a share of the period. */
#define RELAY_TIMEOUT 0.4
#define HELPERS	      3
#define RELAYS	      32
/* Suspicion lasts this many periods more than log2 of the fleet's size. */
#define SUSPICION_PERIODS 3.0
#define SYNC_PERIODS	  10.0
/* Bounds the bytes of one exchange; the next one sends what is missing. */
#define SYNC_MAX_DATAGRAMS 16
/* More differing groups than this and the next exchange follows at once. */
#define SYNC_BEHIND_BUCKETS 8
#define FORGET_S	    3600.0
#define SEEDS		    64
/* Addresses that a host without a living peer contacts in each period. */
#define LONE_CONTACTS 3
/* Members that hear of a planned stop directly. */
#define LEAVE_CONTACTS 8

/* The probe of the current period. */
typedef struct probe_t {
	bool active;
	bool answered;
	bool indirect; /* helpers have been asked */
	unsigned helpers;
	unsigned nacks;
	uint32_t seq;
	double started;
	char target[64];
	uint64_t instance;
} probe_t;

/* A probe on behalf of another member. */
typedef struct relay_t {
	bool active;
	uint32_t seq;	     /* of the datagram to the target */
	uint32_t origin_seq; /* of the datagram that asked for it */
	double deadline;
	char origin[48];
	char target[64];
} relay_t;

struct membership_t {
	member_table_t table;
	char self[64];
	rng_t rng;
	double period;
	double last_time; /* when the state machine last ran */
	double next_probe;
	double next_sync;
	bool left;
	bool changed;
	unsigned silent_probes; /* in a row, without any helper's answer */
	uint32_t seq;
	probe_t probe;
	relay_t relays[RELAYS];
	size_t next_relay;
	char seeds[SEEDS][48];
	size_t seed_count;
	size_t next_seed;
	membership_send_cb_t send;
	void *send_ctx;
	void (*on_change)(void *ctx);
	void *on_change_ctx;
	membership_stats_t stats;
};

static member_t *
self_of(const membership_t *m)
{
	size_t index = member_table_find(&m->table, str_of(m->self));

	return (&m->table.members[index]);
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
	return (self_of(m));
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
	const member_t *newest = self_of(m);

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

static void
notify(membership_t *m)
{
	if (!m->changed)
		return;
	m->changed = false;
	if (m->on_change != NULL)
		m->on_change(m->on_change_ctx);
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
	if (self_of(m)->ready == ready)
		return;
	self_of(m)->ready = ready;
	raise_incarnation(m, 0);
	notify(m);
}

/* Announces that this host is about to stop. */
void
membership_set_leaving(membership_t *m, bool leaving)
{
	if (self_of(m)->leaving == leaving)
		return;
	self_of(m)->leaving = leaving;
	raise_incarnation(m, 0);
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
	if (version <= self_of(m)->config_version)
		return;
	self_of(m)->config_version = version;
	m->changed = true;
	notify(m);
}

/* Adds an address to contact; the oldest of too many is replaced. */
void
membership_add_seed(membership_t *m, const char *address)
{
	if (strcmp(address, self_of(m)->address) == 0)
		return;
	for (size_t i = 0; i < m->seed_count; i++)
		if (strcmp(m->seeds[i], address) == 0)
			return;
	str_copy(m->seeds[m->next_seed], sizeof(m->seeds[0]), str_of(address));
	m->next_seed = (m->next_seed + 1) % SEEDS;
	if (m->seed_count < SEEDS)
		m->seed_count++;
}

/*
 * Fills the records that every datagram carries: the own one, the one of the
 * newest configuration's holder, and the receiver's own when it may have to
 * refute it.
 */
static void
fill_updates(membership_t *m, member_message_t *message, const member_t *claim)
{
	const member_t *self = self_of(m);
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
	picked = member_table_pick_queued(
	    &m->table, &m->rng, queued, MEMBERSHIP_MAX_UPDATES - fixed);
	for (size_t i = 0; i < picked; i++)
		message->updates[message->update_count++] =
		    m->table.members[queued[i]];
	packed = member_message_encode(message, &datagram);
	for (size_t i = 0; fixed + i < packed; i++)
		m->table.meta[queued[i]].sends_left--;
	transmit(m, address, &datagram);
	buf_free(&datagram);
}

static void
send_simple(membership_t *m, const char *address, member_message_type_t type,
    uint32_t seq, const char *target, const member_t *claim)
{
	member_message_t message = {.type = type, .seq = seq};

	str_copy(message.target, sizeof(message.target), str_of(target));
	send_message(m, address, &message, claim);
}

static void
send_digest(
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

/* Sends the records of the marked groups, in a bounded number of datagrams. */
static void
send_records(membership_t *m, const char *address,
    const bool wanted[MEMBER_DIGEST_BUCKETS])
{
	size_t start = rng_below(&m->rng, m->table.count);
	size_t next = 0;

	for (int i = 0; i < SYNC_MAX_DATAGRAMS && next < m->table.count; i++) {
		member_message_t message = {.type = MEMBER_SYNC};
		size_t positions[MEMBERSHIP_MAX_UPDATES];
		size_t packed;
		buf_t datagram = {0};

		message.updates[message.update_count++] = *self_of(m);
		for (; next < m->table.count &&
		       message.update_count < MEMBERSHIP_MAX_UPDATES;
		     next++) {
			const member_t *member =
			    &m->table.members[(start + next) % m->table.count];

			if (!wanted[member_bucket(member)])
				continue;
			positions[message.update_count] = next;
			message.updates[message.update_count++] = *member;
		}
		if (message.update_count == 1)
			return;
		packed = member_message_encode(&message, &datagram);
		if (packed < message.update_count)
			next = positions[packed];
		transmit(m, address, &datagram);
		buf_free(&datagram);
	}
}

/*
 * Returns the index of a random other member in one of two states, or
 * MEMBER_NONE when there is none.
 */
static size_t
random_member(membership_t *m, bool living, const char *except)
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

static void
sync_with_member(membership_t *m, bool living)
{
	size_t index = random_member(m, living, NULL);
	member_t peer;

	if (index == MEMBER_NONE)
		return;
	peer = m->table.members[index];
	m->stats.syncs++;
	send_digest(m, peer.address, false, &peer);
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
	send_digest(m, m->seeds[index], false, NULL);
}

/*
 * Handles a record that somebody holds of this host. A suspicion, a death or a
 * predecessor that is not older must be refuted.
 */
static void
hear_of_self(membership_t *m, const member_t *update)
{
	const member_t *self = self_of(m);
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
		member_table_queue(&m->table, index);
		m->changed = true;
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
		member_table_queue(&m->table, index);
		m->changed = true;
	}
}

static void
set_state(membership_t *m, size_t index, member_state_t state, double now)
{
	m->table.members[index].state = state;
	m->table.meta[index].since = now;
	member_table_queue(&m->table, index);
	m->changed = true;
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
	if (gap <= m->period)
		return;
	m->probe.active = false;
	for (size_t i = 0; i < m->table.count; i++)
		if (m->table.members[i].state == MEMBER_SUSPECT)
			m->table.meta[i].since += gap;
	if (gap <= membership_suspicion_s(m))
		return;
	m->stats.wakeups++;
	raise_incarnation(m, 0);
	for (int i = 0; i < HELPERS; i++)
		sync_with_member(m, true);
}

static void
ask_helpers(membership_t *m)
{
	probe_t *probe = &m->probe;

	probe->indirect = true;
	for (int i = 0; i < HELPERS; i++) {
		size_t index = random_member(m, true, probe->target);
		member_t helper;

		if (index == MEMBER_NONE)
			return;
		helper = m->table.members[index];
		probe->helpers++;
		send_simple(m, helper.address, MEMBER_PING_REQ, probe->seq,
		    probe->target, &helper);
	}
}

/*
 * Judges the probe of the period that ends. When no helper reacted either, the
 * own connection is the likelier cause, so the first such probe in a row is
 * not held against the target.
 */
static void
finish_probe(membership_t *m, double now)
{
	probe_t *probe = &m->probe;
	size_t index = member_table_find(&m->table, str_of(probe->target));
	member_t *target;

	if (!probe->active)
		return;
	probe->active = false;
	if (probe->answered) {
		m->silent_probes = 0;
		return;
	}
	m->stats.probe_failures++;
	if (probe->helpers > 1 && probe->nacks == 0 && m->silent_probes++ == 0)
		return;
	if (index == MEMBER_NONE)
		return;
	target = &m->table.members[index];
	if (target->state != MEMBER_ALIVE ||
	    target->instance != probe->instance)
		return;
	m->stats.suspicions++;
	set_state(m, index, MEMBER_SUSPECT, now);
}

static void
start_probe(membership_t *m, double now)
{
	size_t index = random_member(m, true, NULL);
	member_t target;

	if (index == MEMBER_NONE)
		return;
	target = m->table.members[index];
	m->stats.probes++;
	m->probe = (probe_t){
	    .active = true,
	    .seq = ++m->seq,
	    .started = now,
	    .instance = target.instance,
	};
	str_copy(m->probe.target, sizeof(m->probe.target), str_of(target.name));
	send_simple(
	    m, target.address, MEMBER_PING, m->probe.seq, target.name, &target);
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
			set_state(m, i, MEMBER_DEAD, now);
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

static double
next_event(const membership_t *m)
{
	double next = m->next_probe;

	if (m->probe.active && !m->probe.answered && !m->probe.indirect)
		next = fmin(next, m->probe.started + PROBE_TIMEOUT * m->period);
	for (size_t i = 0; i < RELAYS; i++)
		if (m->relays[i].active)
			next = fmin(next, m->relays[i].deadline);
	return (next);
}

static void
expire_relays(membership_t *m, double now)
{
	for (size_t i = 0; i < RELAYS; i++) {
		relay_t *relay = &m->relays[i];

		if (!relay->active || now < relay->deadline)
			continue;
		relay->active = false;
		send_simple(m, relay->origin, MEMBER_NACK, relay->origin_seq,
		    relay->target, NULL);
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
	expire_relays(m, now);
	if (m->probe.active && !m->probe.answered && !m->probe.indirect &&
	    now >= m->probe.started + PROBE_TIMEOUT * m->period)
		ask_helpers(m);
	if (now >= m->next_probe) {
		finish_probe(m, now);
		expire(m, now);
		sync_tables(m, now);
		start_probe(m, now);
		/* Jitter keeps hosts that started together apart. */
		m->next_probe =
		    now + m->period * (0.95 + 0.1 * rng_uniform(&m->rng));
	}
	notify(m);
	return (next_event(m));
}

static void
on_ping_req(membership_t *m, double now, const char *from,
    const member_message_t *message)
{
	size_t index = member_table_find(&m->table, str_of(message->target));
	relay_t *relay = &m->relays[m->next_relay];
	member_t target;

	if (index == MEMBER_NONE) {
		send_simple(m, from, MEMBER_NACK, message->seq, message->target,
		    &message->updates[0]);
		return;
	}
	target = m->table.members[index];
	m->next_relay = (m->next_relay + 1) % RELAYS;
	*relay = (relay_t){
	    .active = true,
	    .seq = ++m->seq,
	    .origin_seq = message->seq,
	    .deadline = now + RELAY_TIMEOUT * m->period,
	};
	str_copy(relay->origin, sizeof(relay->origin), str_of(from));
	str_copy(relay->target, sizeof(relay->target), str_of(target.name));
	send_simple(
	    m, target.address, MEMBER_PING, relay->seq, target.name, &target);
}

static void
on_ack(membership_t *m, const member_message_t *message)
{
	str_t target = str_of(message->target);

	if (m->probe.active && message->seq == m->probe.seq &&
	    str_equal(target, str_of(m->probe.target))) {
		m->probe.answered = true;
		return;
	}
	for (size_t i = 0; i < RELAYS; i++) {
		relay_t *relay = &m->relays[i];

		if (!relay->active || message->seq != relay->seq ||
		    !str_equal(target, str_of(relay->target)))
			continue;
		relay->active = false;
		send_simple(m, relay->origin, MEMBER_ACK, relay->origin_seq,
		    relay->target, NULL);
	}
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
		send_digest(m, from, true, &message->updates[0]);
	else if (differing > SYNC_BEHIND_BUCKETS)
		m->next_sync = now + m->period;
	if (differing > 0)
		send_records(m, from, wanted);
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
			send_simple(m, from, MEMBER_ACK, message.seq, m->self,
			    &message.updates[0]);
	} else if (message.type == MEMBER_PING_REQ) {
		on_ping_req(m, now, from, &message);
	} else if (message.type == MEMBER_ACK) {
		on_ack(m, &message);
	} else if (message.type == MEMBER_NACK) {
		m->probe.nacks += message.seq == m->probe.seq;
	} else if (message.has_digest) {
		on_digest(m, now, from, &message);
	}
	notify(m);
}

/* Announces a planned stop; the state machine does nothing afterwards. */
void
membership_leave(membership_t *m, double now)
{
	(void)now;
	if (m->left)
		return;
	self_of(m)->state = MEMBER_LEFT;
	raise_incarnation(m, 0);
	m->left = true;
	for (int i = 0; i < LEAVE_CONTACTS; i++) {
		size_t index = random_member(m, true, NULL);
		member_t peer;

		if (index == MEMBER_NONE)
			break;
		peer = m->table.members[index];
		send_simple(
		    m, peer.address, MEMBER_PING, ++m->seq, peer.name, &peer);
	}
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
	memcpy(m->self, self.name, sizeof(m->self));
	m->rng = rng_seeded(params->random_seed);
	m->period = params->period > 0 ? params->period : 1.0;
	m->last_time = now;
	m->next_probe = now;
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
