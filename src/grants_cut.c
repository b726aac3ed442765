/*
 * What the admitting host and its deputy tell each other once in a slot, and
 * how they divide the limits while they or other hosts do not reach each other.
 */
#include "grants_wire.h"

#include <stdlib.h>
#include <string.h>

#include "logger.h"
#include "result.h"

/*
 * An answer that takes longer is missing. It is more than the delays of a busy
 * host, which must not look like a cut.
 */
#define ANSWER_TIMEOUT_S 0.5
/* Of a ping on behalf of another host, which waits ANSWER_TIMEOUT_S. */
#define PING_TIMEOUT_S 0.25
/* Between polls of the hosts, during a cut. */
#define POLL_INTERVAL_S 1.0
/* A host that asked the deputy counts as cut off for this time. */
#define ASKING_S 2.0
/* Least time between two log lines on the share during a cut. */
#define LOG_INTERVAL_S 1.0

/* A host that is asked which side it is on. */
struct grants_poll_t {
	grants_t *grants;
	peer_call_t *call;
};

/* A host that asked whether this one reaches a third one. */
struct grants_asked_poll_t {
	peer_request_t *request;
	peer_call_t *call;
	LIST_ENTRY(grants_asked_poll_t) entry;
};

static const member_t *
find_member(const grants_t *grants, const char *name)
{
	for (size_t i = 0; i < grants->member_count; i++)
		if (strcmp(grants->members[i].name, name) == 0)
			return (&grants->members[i]);
	return (NULL);
}

/* Returns whether this host admits in its own view. */
static bool
grants_admits(const grants_t *grants)
{
	return (strcmp(grants->quota.admitting, grants->host) == 0);
}

/* Returns the other one of the admitting host and its deputy, or NULL. */
static const member_t *
other_host(const grants_t *grants)
{
	const grants_quota_t *quota = &grants->quota;

	if (grants_admits(grants))
		return (find_member(grants, quota->deputy));
	if (strcmp(quota->deputy, grants->host) == 0)
		return (find_member(grants, quota->admitting));
	return (NULL);
}

/* Counts the hosts that ask this one although it does not admit. */
static size_t
count_asking(const grants_t *grants, double now)
{
	const grants_cut_t *cut = &grants->quota.cut;
	const grants_host_t *host;
	/* The admitting host does not count a deputy that it does not reach. */
	size_t count =
	    cut->state.lost ||
	    (cut->own_asked_at > 0 && now - cut->own_asked_at <= ASKING_S);

	for (size_t i = 0; i < GRANTS_HOST_BUCKETS; i++)
		LIST_FOREACH (host, &grants->hosts[i], entry)
			count += host->asked_deputy_at > 0 &&
				 now - host->asked_deputy_at <= ASKING_S;
	return (count);
}

/* Applies what this host sees of its site to its buckets. */
static void
update_share(grants_t *grants, double now)
{
	grants_quota_t *quota = &grants->quota;
	const member_t *admitting = find_member(grants, quota->admitting);
	const member_t *other = other_host(grants);
	org_cut_view_t view = {
	    .deputy = !grants_admits(grants),
	    .hosts = quota->host_count,
	};
	double share;

	if (other == NULL)
		other = admitting;
	view.suspected = other == NULL || other->state != MEMBER_ALIVE;
	for (size_t i = 0; i < grants->member_count; i++)
		view.alive += grants->members[i].state == MEMBER_ALIVE;
	if (view.deputy)
		view.asking = count_asking(grants, now);
	share = org_cut_share(&quota->cut.state, &view);
	org_quota_set_cut_share(quota->buckets, share, now);
	if (share == quota->cut.share)
		return;
	if (quota->cut.share >= 1)
		counter_add(quota->cut.cuts, 1);
	gauge_set(quota->cut.share_gauge, share);
	/* Hosts that begin or cease to ask change it often. */
	if (share < 1 && quota->cut.share < 1 &&
	    now - quota->cut.logged_at < LOG_INTERVAL_S) {
		quota->cut.share = share;
		return;
	}
	quota->cut.share = share;
	quota->cut.logged_at = now;
	LOG_INFO("quota_cut",
	    "share=%.3f other=%s lost=%d suspected=%d side=%zu asking=%zu "
	    "hosts=%zu",
	    share, other != NULL ? other->name : "", quota->cut.state.lost,
	    view.suspected, quota->cut.state.side, view.asking, view.hosts);
}

static void
poll_stop(grants_cut_t *cut)
{
	for (size_t i = 0; i < cut->poll_count; i++)
		if (cut->polls[i].call != NULL)
			peer_call_cancel(cut->polls[i].call);
	free(cut->polls);
	cut->polls = NULL;
	cut->poll_count = 0;
	cut->poll_open = 0;
}

static void
on_poll_reply(void *ctx, const peer_reply_t *reply)
{
	grants_poll_t *poll = ctx;
	grants_t *grants = poll->grants;
	grants_cut_t *cut = &grants->quota.cut;
	wire_reader_t answer;

	poll->call = NULL;
	if (reply->rc == 0 && grants_admits(grants)) {
		cut->poll_answers++;
	} else if (reply->rc == 0) {
		answer = wire_reader(reply->body);
		cut->poll_answers += !wire_read_bool(&answer) && !answer.fault;
	}
	if (--cut->poll_open > 0 || !cut->state.lost)
		return;
	/* This host is on its own side. */
	org_cut_polled(&cut->state, cut->poll_answers + 1);
}

/*
 * Asks all hosts but the lost one which side they are on: the admitting host,
 * whether it reaches them; the deputy, whether they reach the admitting host.
 */
static void
poll_hosts(grants_t *grants, const member_t *lost, double now)
{
	grants_cut_t *cut = &grants->quota.cut;
	peer_type_t type = grants_admits(grants) ? PEER_PING : PEER_QUOTA_POLL;
	msgpack_packer packer;
	buf_t body = {0};

	if (cut->poll_open > 0 || now < cut->next_poll)
		return;
	cut->next_poll = now + POLL_INTERVAL_S;
	poll_stop(cut);
	cut->polls = xcalloc(grants->member_count, sizeof(*cut->polls));
	cut->poll_answers = 0;
	wire_packer_init(&packer, &body);
	msgpack_pack_array(&packer, 1);
	wire_pack_str(&packer, str_of(lost->name));
	for (size_t i = 0; i < grants->member_count; i++) {
		const member_t *member = &grants->members[i];
		grants_poll_t *poll = &cut->polls[cut->poll_count];

		if (member == lost || !member_is_living(member) ||
		    strcmp(member->name, grants->host) == 0)
			continue;
		poll->grants = grants;
		poll->call =
		    peer_call(grants->params.peer, member->address, type,
			str_buf(&body), ANSWER_TIMEOUT_S, on_poll_reply, poll);
		cut->poll_count++;
	}
	buf_free(&body);
	cut->poll_open = cut->poll_count;
	if (cut->poll_open == 0)
		org_cut_polled(&cut->state, 1);
}

static void
poll_answer(grants_asked_poll_t *asked, bool reached)
{
	msgpack_packer packer;
	buf_t body = {0};

	wire_packer_init(&packer, &body);
	msgpack_pack_array(&packer, 1);
	wire_pack_bool(&packer, reached);
	peer_request_reply(asked->request, 0, str_buf(&body));
	buf_free(&body);
	LIST_REMOVE(asked, entry);
	free(asked);
}

static void
on_ping_reply(void *ctx, const peer_reply_t *reply)
{
	poll_answer(ctx, reply->rc == 0);
}

/* Another host asks whether this one reaches the host that it has lost. */
static void
on_peer_poll(void *ctx, peer_request_t *request, const msgpack_object *body)
{
	grants_t *grants = ctx;
	wire_reader_t reader = wire_reader(body);
	char name[NAME_SIZE];
	const member_t *member;
	grants_asked_poll_t *asked;

	str_copy(name, sizeof(name), wire_read_str(&reader));
	member = find_member(grants, name);
	if (reader.fault || member == NULL) {
		peer_request_reply(request, -RESULT_BAD_REQUEST, (str_t){0});
		return;
	}
	asked = xcalloc(1, sizeof(*asked));
	asked->request = request;
	LIST_INSERT_HEAD(&grants->quota.cut.asked, asked, entry);
	asked->call = peer_call(grants->params.peer, member->address, PEER_PING,
	    (str_t){0}, PING_TIMEOUT_S, on_ping_reply, asked);
}

static void
on_told(void *ctx, const peer_reply_t *reply)
{
	grants_t *grants = ctx;
	grants_cut_t *cut = &grants->quota.cut;
	double now = clock_monotonic();

	cut->tell_call = NULL;
	if (reply->rc != 0) {
		org_cut_missed(&cut->state, reply->refused, now);
	} else {
		cut->told_slot = cut->telling_slot;
		cut->told_return = cut->telling_return;
		org_cut_answered(&cut->state);
	}
	update_share(grants, now);
}

/*
 * Tells the other host which tokens this one gave, and which were returned,
 * since the last message that was answered.
 */
static void
tell_uses(grants_t *grants, const member_t *other, double now)
{
	grants_quota_t *quota = &grants->quota;
	grants_cut_t *cut = &quota->cut;
	buf_t uses_list = {0};
	buf_t returned_list = {0};
	grants_packed_uses_t uses = {.out = &uses_list};
	grants_packed_uses_t returned = {.out = &returned_list};
	buf_t body = {0};

	if (strcmp(cut->told, other->name) != 0) {
		str_copy(cut->told, sizeof(cut->told), str_of(other->name));
		cut->told_slot = org_slot_at(now) - ORG_SLOTS;
		cut->told_return = 0;
	}
	cut->telling_slot = org_slot_at(now) - 1;
	cut->telling_return = org_quota_last_return(quota->buckets);
	org_quota_each_given(
	    quota->buckets, cut->told_slot, now, grants_pack_use_cb, &uses);
	org_quota_each_returned(quota->buckets, cut->told_return, now,
	    grants_pack_use_cb, &returned);
	grants_pack_told(&body, grants->host, &uses, org_slot_at(now),
	    cut->stream, &returned);
	cut->tell_call = peer_call(grants->params.peer, other->address,
	    PEER_QUOTA_USES, str_buf(&body), ANSWER_TIMEOUT_S, on_told, grants);
	buf_free(&uses_list);
	buf_free(&returned_list);
	buf_free(&body);
}

/*
 * Tells the other host once in a slot what this one gave, if it keeps buckets;
 * an empty message shows that they reach each other.
 */
void
grants_cut_tick(grants_t *grants, double now)
{
	grants_cut_t *cut = &grants->quota.cut;
	const member_t *other = other_host(grants);

	org_cut_check(&cut->state, now);
	if (other != NULL && cut->tell_call == NULL &&
	    org_slot_at(now) > cut->last_tell_slot) {
		cut->last_tell_slot = org_slot_at(now);
		tell_uses(grants, other, now);
	}
	if (other != NULL && cut->state.lost)
		poll_hosts(grants, other, now);
	update_share(grants, now);
}

/* A host asks this one, which does not admit in its own view. */
void
grants_cut_asked(grants_t *grants, grants_host_t *host, double now)
{
	if (host != NULL)
		host->asked_deputy_at = now;
	else
		grants->quota.cut.own_asked_at = now;
	update_share(grants, now);
}

/*
 * Another host told what it gave. Returns the number of the newest slot that is
 * already known, in that host's numbers.
 */
int64_t
grants_cut_heard(grants_t *grants, const grants_message_t *m, double now)
{
	grants_cut_t *cut = &grants->quota.cut;
	const member_t *other = other_host(grants);
	int64_t known;

	if (other == NULL || !str_equal(str_of(other->name), m->holder))
		return (INT64_MIN);
	if (!str_equal(str_of(cut->heard), m->holder) ||
	    cut->heard_stream != m->stream) {
		str_copy(cut->heard, sizeof(cut->heard), m->holder);
		cut->heard_stream = m->stream;
		cut->heard_slot = INT64_MIN;
		org_quota_forget_returned(grants->quota.buckets);
	}
	known = cut->heard_slot;
	cut->heard_slot = m->slot - 1;
	org_cut_heard(&cut->state, now);
	return (known);
}

/* Forgets what is known of the other host, because it or the role changed. */
void
grants_cut_reset(grants_t *grants, double now)
{
	grants_cut_t *cut = &grants->quota.cut;

	if (cut->tell_call != NULL)
		peer_call_cancel(cut->tell_call);
	cut->tell_call = NULL;
	poll_stop(cut);
	cut->next_poll = 0;
	org_cut_reset(&cut->state);
	update_share(grants, now);
}

/* Forgets also what was told and asked, because there are no limits. */
void
grants_cut_forget(grants_t *grants, double now)
{
	grants_cut_t *cut = &grants->quota.cut;
	grants_host_t *host;

	cut->told[0] = '\0';
	cut->heard[0] = '\0';
	cut->last_tell_slot = 0;
	cut->own_asked_at = 0;
	for (size_t i = 0; i < GRANTS_HOST_BUCKETS; i++)
		LIST_FOREACH (host, &grants->hosts[i], entry)
			host->asked_deputy_at = 0;
	grants_cut_reset(grants, now);
}

void
grants_cut_start(grants_t *grants)
{
	grants_cut_t *cut = &grants->quota.cut;

	cut->stream = rng_next(&grants->rng);
	cut->share = 1;
	cut->cuts = counter_get("daisypier_quota_cuts_total",
	    "Times that this host began to give only a share of the limits, "
	    "because hosts do not reach each other");
	cut->share_gauge = gauge_get("daisypier_quota_cut_share",
	    "Share of the limits that this host gives while hosts do not reach "
	    "each other");
	gauge_set(cut->share_gauge, 1);
	LIST_INIT(&cut->asked);
	peer_set_handler(
	    grants->params.peer, PEER_QUOTA_POLL, on_peer_poll, grants);
}

void
grants_cut_stop(grants_t *grants)
{
	grants_cut_t *cut = &grants->quota.cut;
	grants_asked_poll_t *asked;

	peer_set_handler(grants->params.peer, PEER_QUOTA_POLL, NULL, NULL);
	if (cut->tell_call != NULL)
		peer_call_cancel(cut->tell_call);
	cut->tell_call = NULL;
	poll_stop(cut);
	while ((asked = LIST_FIRST(&cut->asked)) != NULL) {
		peer_call_cancel(asked->call);
		poll_answer(asked, false);
	}
}
