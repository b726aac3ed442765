/* Direct and indirect probes of the failure detector. */
#include <math.h>
#include <string.h>

#include "membership_state.h"

/* Time without an ack before indirect probes are sent. */
#define PROBE_TIMEOUT_PERIODS 0.3
/* Time that a relay waits for an ack before it sends a nack. */
#define RELAYED_PROBE_TIMEOUT_PERIODS 0.4

static void
send_ping_reqs(membership_t *m)
{
	probe_t *probe = &m->probe;

	probe->indirect = true;
	for (int i = 0; i < MEMBERSHIP_PROBE_RELAYS; i++) {
		size_t index = membership_random_member(m, true, probe->target);
		member_t relay;

		if (index == MEMBER_NONE)
			return;
		relay = m->table.members[index];
		probe->ping_reqs++;
		membership_send(m, relay.address, MEMBER_PING_REQ, probe->seq,
		    probe->target, &relay);
	}
}

/*
 * Evaluates the probe of the period that ends. If more than one relay was asked
 * and none sent a nack, this host's own connection is the more likely cause, so
 * the first such probe in a row raises no suspicion.
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
		m->unanswered_probes = 0;
		return;
	}
	m->stats.probe_failures++;
	if (probe->ping_reqs > 1 && probe->nacks == 0 &&
	    m->unanswered_probes++ == 0)
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
expire_relayed_probes(membership_t *m, double now)
{
	for (size_t i = 0; i < MEMBERSHIP_MAX_RELAYED_PROBES; i++) {
		relayed_probe_t *relayed = &m->relayed_probes[i];

		if (!relayed->active || now < relayed->deadline)
			continue;
		relayed->active = false;
		membership_send(m, relayed->origin, MEMBER_NACK,
		    relayed->origin_seq, relayed->target, NULL);
	}
}

/* Probes a target on behalf of the sender of a PING_REQ. */
void
membership_on_ping_req(membership_t *m, double now, const char *from,
    const member_message_t *message)
{
	size_t index = member_table_find(&m->table, str_of(message->target));
	relayed_probe_t *relayed = &m->relayed_probes[m->next_relayed_probe];
	member_t target;

	if (index == MEMBER_NONE) {
		membership_send(m, from, MEMBER_NACK, message->seq,
		    message->target, &message->updates[0]);
		return;
	}
	target = m->table.members[index];
	m->next_relayed_probe =
	    (m->next_relayed_probe + 1) % MEMBERSHIP_MAX_RELAYED_PROBES;
	*relayed = (relayed_probe_t){
	    .active = true,
	    .seq = ++m->seq,
	    .origin_seq = message->seq,
	    .deadline = now + RELAYED_PROBE_TIMEOUT_PERIODS * m->period,
	};
	str_copy(relayed->origin, sizeof(relayed->origin), str_of(from));
	str_copy(relayed->target, sizeof(relayed->target), str_of(target.name));
	membership_send(
	    m, target.address, MEMBER_PING, relayed->seq, target.name, &target);
}

/* Completes the probe of this host or forwards the ack of a relayed probe. */
void
membership_on_ack(membership_t *m, const member_message_t *message)
{
	str_t target = str_of(message->target);

	if (m->probe.active && message->seq == m->probe.seq &&
	    str_equal(target, str_of(m->probe.target))) {
		m->probe.answered = true;
		return;
	}
	for (size_t i = 0; i < MEMBERSHIP_MAX_RELAYED_PROBES; i++) {
		relayed_probe_t *relayed = &m->relayed_probes[i];

		if (!relayed->active || message->seq != relayed->seq ||
		    !str_equal(target, str_of(relayed->target)))
			continue;
		relayed->active = false;
		membership_send(m, relayed->origin, MEMBER_ACK,
		    relayed->origin_seq, relayed->target, NULL);
	}
}

/* Sends indirect probes and nacks that are due. */
void
membership_probe_continue(membership_t *m, double now)
{
	expire_relayed_probes(m, now);
	if (m->probe.active && !m->probe.answered && !m->probe.indirect &&
	    now >= m->probe.started + PROBE_TIMEOUT_PERIODS * m->period)
		send_ping_reqs(m);
}

/* Returns the time at which the next probe starts or a timeout expires. */
double
membership_probe_next(const membership_t *m)
{
	double next = m->next_probe_at;

	if (m->probe.active && !m->probe.answered && !m->probe.indirect)
		next = fmin(
		    next, m->probe.started + PROBE_TIMEOUT_PERIODS * m->period);
	for (size_t i = 0; i < MEMBERSHIP_MAX_RELAYED_PROBES; i++)
		if (m->relayed_probes[i].active)
			next = fmin(next, m->relayed_probes[i].deadline);
	return (next);
}
