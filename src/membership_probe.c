/* Probes of the failure detector: direct ones and those through helpers. */
#include <math.h>
#include <string.h>

#include "membership_state.h"

/* Answer time before helpers are asked, as a share of the period. */
#define PROBE_TIMEOUT 0.3
/* Answer time that a helper waits, as a share of the period. */
#define RELAY_TIMEOUT 0.4

static void
ask_helpers(membership_t *m)
{
	probe_t *probe = &m->probe;

	probe->indirect = true;
	for (int i = 0; i < MEMBERSHIP_HELPERS; i++) {
		size_t index = membership_random_member(m, true, probe->target);
		member_t helper;

		if (index == MEMBER_NONE)
			return;
		helper = m->table.members[index];
		probe->helpers++;
		membership_send(m, helper.address, MEMBER_PING_REQ, probe->seq,
		    probe->target, &helper);
	}
}

/*
 * Judges the probe of the period that ends. When no helper reacted either, the
 * own connection is the likelier cause, so the first such probe in a row is
 * not held against the target.
 */
void
membership_probe_finish(membership_t *m, double now)
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
	membership_set_state(m, index, MEMBER_SUSPECT, now);
}

/* Probes one random living member. */
void
membership_probe_start(membership_t *m, double now)
{
	size_t index = membership_random_member(m, true, NULL);
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
	membership_send(
	    m, target.address, MEMBER_PING, m->probe.seq, target.name, &target);
}

static void
expire_relays(membership_t *m, double now)
{
	for (size_t i = 0; i < MEMBERSHIP_RELAYS; i++) {
		relay_t *relay = &m->relays[i];

		if (!relay->active || now < relay->deadline)
			continue;
		relay->active = false;
		membership_send(m, relay->origin, MEMBER_NACK,
		    relay->origin_seq, relay->target, NULL);
	}
}

/* Probes a target for somebody else. */
void
membership_on_ping_req(membership_t *m, double now, const char *from,
    const member_message_t *message)
{
	size_t index = member_table_find(&m->table, str_of(message->target));
	relay_t *relay = &m->relays[m->next_relay];
	member_t target;

	if (index == MEMBER_NONE) {
		membership_send(m, from, MEMBER_NACK, message->seq,
		    message->target, &message->updates[0]);
		return;
	}
	target = m->table.members[index];
	m->next_relay = (m->next_relay + 1) % MEMBERSHIP_RELAYS;
	*relay = (relay_t){
	    .active = true,
	    .seq = ++m->seq,
	    .origin_seq = message->seq,
	    .deadline = now + RELAY_TIMEOUT * m->period,
	};
	str_copy(relay->origin, sizeof(relay->origin), str_of(from));
	str_copy(relay->target, sizeof(relay->target), str_of(target.name));
	membership_send(
	    m, target.address, MEMBER_PING, relay->seq, target.name, &target);
}

/* Ends the own probe or passes the answer on. */
void
membership_on_ack(membership_t *m, const member_message_t *message)
{
	str_t target = str_of(message->target);

	if (m->probe.active && message->seq == m->probe.seq &&
	    str_equal(target, str_of(m->probe.target))) {
		m->probe.answered = true;
		return;
	}
	for (size_t i = 0; i < MEMBERSHIP_RELAYS; i++) {
		relay_t *relay = &m->relays[i];

		if (!relay->active || message->seq != relay->seq ||
		    !str_equal(target, str_of(relay->target)))
			continue;
		relay->active = false;
		membership_send(m, relay->origin, MEMBER_ACK, relay->origin_seq,
		    relay->target, NULL);
	}
}

/* Asks helpers and answers for targets when their time has come. */
void
membership_probe_continue(membership_t *m, double now)
{
	expire_relays(m, now);
	if (m->probe.active && !m->probe.answered && !m->probe.indirect &&
	    now >= m->probe.started + PROBE_TIMEOUT * m->period)
		ask_helpers(m);
}

/* Returns the time at which a probe has to be started or continued. */
double
membership_probe_next(const membership_t *m)
{
	double next = m->next_probe;

	if (m->probe.active && !m->probe.answered && !m->probe.indirect)
		next = fmin(next, m->probe.started + PROBE_TIMEOUT * m->period);
	for (size_t i = 0; i < MEMBERSHIP_RELAYS; i++)
		if (m->relays[i].active)
			next = fmin(next, m->relays[i].deadline);
	return (next);
}
