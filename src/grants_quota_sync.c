/*
 * What hosts tell each other on the tokens of organisations. The host that
 * admits and its deputy tell each other what they gave; all hosts tell a new
 * host that admits what they used.
 */
#include "grants_wire.h"

#include <math.h>
#include <string.h>

#include "logger.h"
#include "placement.h"

#define HISTORY_LOG_INTERVAL_S 1.0

/*
 * Sends a list of uses to a host, unless it is empty, and frees it. reported
 * tells whether they are all that this host used, or what it gave since its
 * last message.
 */
static void
send_uses(grants_t *grants, const char *address, bool reported,
    grants_packed_uses_t *uses)
{
	buf_t body = {0};

	if (uses->count > 0) {
		grants_pack_uses(
		    &body, grants->host, reported, uses->out, uses->count);
		peer_send(grants->params.peer, address, PEER_QUOTA_USES,
		    str_buf(&body));
	}
	buf_free(uses->out);
	buf_free(&body);
}

/* A list of uses that this host adds to its buckets. */
typedef struct added_uses_t {
	grants_t *grants;
	org_use_t kind;
	double now;
	unsigned requests;
} added_uses_t;

/* An org_history_cb_t. */
static void
add_use(void *ctx, str_t org, const unsigned counts[ORG_SLOTS])
{
	added_uses_t *uses = ctx;
	org_limit_t limit;

	if (!grants_org_limit(uses->grants, org, &limit))
		return;
	for (size_t age = 0; age < ORG_SLOTS; age++)
		uses->requests += counts[age];
	org_quota_add_use(uses->grants->quota.buckets, org, &limit, uses->kind,
	    counts, uses->now);
}

/* Adds received uses that are younger than the given age in slots. */
static void
add_received_uses(added_uses_t *uses, wire_reader_t *list, int64_t known_age)
{
	unsigned counts[ORG_SLOTS];
	str_t org;

	while (grants_read_use(list, &org, counts)) {
		for (int64_t age = known_age; age < ORG_SLOTS; age++)
			counts[age] = 0;
		add_use(uses, org, counts);
	}
}

/*
 * Returns whether a host's history must be added to the buckets. One that
 * arrives within the remembered time after another has the same uses again.
 */
static bool
history_is_new(const grants_t *grants, double last_at, double now)
{
	return (last_at <= 0 || last_at < grants->quota.forgot_at ||
		now - last_at > ORG_SLOTS * ORG_SLOT_S);
}

/* Adds this host's own history to its buckets. */
static void
add_own_history(grants_t *grants, double now)
{
	added_uses_t uses = {
	    .grants = grants, .kind = ORG_USE_REPORTED, .now = now};

	if (!history_is_new(grants, grants->quota.own_history_at, now))
		return;
	grants->quota.own_history_at = now;
	org_history_each(grants->quota.own, now, add_use, &uses);
}

/* Adds the history of another host to the buckets. */
void
grants_quota_read_history(
    grants_t *grants, grants_host_t *host, wire_reader_t *list, double now)
{
	added_uses_t uses = {
	    .grants = grants, .kind = ORG_USE_REPORTED, .now = now};

	if (list->left == 0 || !history_is_new(grants, host->history_at, now))
		return;
	host->history_at = now;
	add_received_uses(&uses, list, ORG_SLOTS);
	grants->quota.histories++;
	grants->quota.history_requests += uses.requests;
}

/*
 * Packs what this host used, if the host that admits is new and was not told
 * in the report of another pool. Returns the number of organisations.
 */
size_t
grants_quota_pack_history(
    grants_t *grants, const grants_pool_t *pool, double now, buf_t *out)
{
	grants_packed_uses_t uses = {.out = out};
	grants_quota_t *quota = &grants->quota;

	if (!quota->in_force || !quota->history_owed ||
	    quota->history_pool != NULL)
		return (0);
	org_history_each(quota->own, now, grants_pack_use_cb, &uses);
	if (uses.count > 0)
		quota->history_pool = pool;
	else
		quota->history_owed = false;
	return (uses.count);
}

/* Tells the host that admits which tokens this host used alone. */
static void
tell_used_alone(grants_t *grants, const grants_pool_t *pool, double now)
{
	buf_t list = {0};
	grants_packed_uses_t uses = {.out = &list};

	org_history_each(
	    grants->quota.used_alone, now, grants_pack_use_cb, &uses);
	send_uses(grants, pool->admitting_address, false, &uses);
	org_history_clear(grants->quota.used_alone);
}

/* Handles whether the report of a pool was answered. */
void
grants_quota_reported(
    grants_t *grants, const grants_pool_t *pool, bool accepted, double now)
{
	if (accepted && grants->quota.in_force)
		tell_used_alone(grants, pool, now);
	if (grants->quota.history_pool != pool)
		return;
	grants->quota.history_pool = NULL;
	if (accepted)
		grants->quota.history_owed = false;
}

/* Returns whether a living member has the address of a dead one. */
static bool
was_replaced(const grants_t *grants, const member_t *dead)
{
	for (size_t i = 0; i < grants->member_count; i++)
		if (member_is_living(&grants->members[i]) &&
		    strcmp(grants->members[i].address, dead->address) == 0)
			return (true);
	return (false);
}

static void
set_share(grants_t *grants, double share)
{
	if (share == grants->quota.share)
		return;
	grants->quota.share = share;
	org_quota_set_share(grants->quota.buckets, share);
	gauge_set(grants->quota.share_gauge, share);
	LOG_INFO("quota_share", "share=%.3f", share);
}

/*
 * Counts the hosts of the site, and lowers the limits by the share of those
 * that are dead as this host sees them. Those may be cut off and give tokens by
 * themselves.
 */
static void
count_hosts(grants_t *grants)
{
	size_t living = 0;
	size_t dead = 0;

	for (size_t i = 0; i < grants->member_count; i++) {
		const member_t *member = &grants->members[i];

		if (member_is_living(member))
			living++;
		else if (member->state == MEMBER_DEAD &&
			 !was_replaced(grants, member))
			dead++;
	}
	grants->quota.host_count = living + dead;
	set_share(
	    grants, living > 0 ? (double)living / (double)(living + dead) : 1);
}

/* Begins to admit for the site: other hosts report what they used. */
static void
begin_admitting(grants_t *grants, double now)
{
	add_own_history(grants, now);
	counter_add(grants->quota.rebuilt, 1);
	LOG_INFO("quota_rebuilt", "cause=takeover orgs=%zu",
	    org_quota_count(grants->quota.buckets));
}

static void
admitting_host_changed(grants_t *grants, const char *name, double now)
{
	grants_quota_t *quota = &grants->quota;
	bool was_admitting = strcmp(quota->admitting, grants->host) == 0;

	str_copy(quota->admitting, sizeof(quota->admitting), str_of(name));
	quota->history_owed = true;
	quota->deputy_told_at = 0;
	quota->history_pool = NULL;
	if (was_admitting) {
		org_quota_forget_reported(quota->buckets);
		quota->forgot_at = now;
	}
	if (strcmp(name, grants->host) == 0)
		begin_admitting(grants, now);
}

/* Looks up which hosts keep the buckets, after a change of the members. */
void
grants_quota_refresh(grants_t *grants, double now)
{
	grants_quota_t *quota = &grants->quota;
	const member_t *hosts[2] = {NULL, NULL};
	const char *admitting;
	const char *deputy;
	bool was_in_force = quota->in_force;
	bool changed;
	size_t count;

	quota->in_force = grants_quota_config(grants) != NULL &&
			  grants->params.mode == GRANTS_POOL;
	if (!quota->in_force) {
		if (was_in_force)
			grants_quota_drop(grants, now);
		return;
	}
	count = placement_rank_owners(grants->members, grants->member_count,
	    grants_placement_key(grants, (str_t){0}), hosts, 2);
	admitting = count > 0 ? hosts[0]->name : "";
	deputy = count > 1 ? hosts[1]->name : "";
	changed = strcmp(quota->deputy, deputy) != 0 ||
		  strcmp(quota->admitting, admitting) != 0;
	str_copy(quota->deputy, sizeof(quota->deputy), str_of(deputy));
	str_copy(quota->deputy_address, sizeof(quota->deputy_address),
	    str_of(count > 1 ? hosts[1]->address : ""));
	if (strcmp(quota->admitting, admitting) != 0)
		admitting_host_changed(grants, admitting, now);
	count_hosts(grants);
	if (changed)
		grants_cut_reset(grants, now);
}

/*
 * Tells the deputy what this host used, before the first request to it: it may
 * not know what the host that admits gave last.
 */
void
grants_quota_tell_deputy(grants_t *grants, double now)
{
	grants_quota_t *quota = &grants->quota;
	buf_t list = {0};
	grants_packed_uses_t uses = {.out = &list};

	if (strcmp(quota->deputy, grants->host) == 0) {
		add_own_history(grants, now);
		return;
	}
	if (quota->deputy_told_at > 0 &&
	    now - quota->deputy_told_at <= ORG_SLOTS * ORG_SLOT_S)
		return;
	quota->deputy_told_at = now;
	org_history_each(quota->own, now, grants_pack_use_cb, &uses);
	send_uses(grants, quota->deputy_address, true, &uses);
}

static const member_t *
find_member(const grants_t *grants, const char *name)
{
	for (size_t i = 0; i < grants->member_count; i++)
		if (strcmp(grants->members[i].name, name) == 0)
			return (&grants->members[i]);
	return (NULL);
}

/* Logs how many histories were added, once a second at most. */
static void
log_histories(grants_quota_t *quota, double now)
{
	if (quota->histories == 0 ||
	    now - quota->histories_logged_at < HISTORY_LOG_INTERVAL_S)
		return;
	LOG_INFO("quota_history", "hosts=%u requests=%u", quota->histories,
	    quota->history_requests);
	quota->histories = 0;
	quota->history_requests = 0;
	quota->histories_logged_at = now;
}

void
grants_quota_sync_tick(grants_t *grants, double now)
{
	log_histories(&grants->quota, now);
	if (grants->quota.in_force)
		grants_cut_tick(grants, now);
}

/* Adds what the other host that keeps buckets gave and got back. */
static void
read_told(added_uses_t *uses, grants_message_t *m)
{
	grants_t *grants = uses->grants;
	int64_t known = grants_cut_heard(grants, m, uses->now);
	int64_t known_age =
	    known > m->slot - ORG_SLOTS ? m->slot - known : ORG_SLOTS;
	unsigned counts[ORG_SLOTS];
	str_t org;

	add_received_uses(uses, &m->uses, known_age < 0 ? 0 : known_age);
	while (grants_read_use(&m->returned, &org, counts))
		org_quota_add_returned(
		    grants->quota.buckets, org, counts, m->slot, uses->now);
}

static void
on_peer_uses(void *ctx, peer_request_t *request, const msgpack_object *body)
{
	grants_t *grants = ctx;
	grants_message_t m = {0};
	added_uses_t uses = {
	    .grants = grants,
	    .kind = ORG_USE_ELSEWHERE,
	    .now = clock_monotonic(),
	};

	if (grants_read_uses(body, &m) && m.reported)
		grants_quota_read_history(grants,
		    grants_host_at(
			grants, m.holder, peer_request_address(request)),
		    &m.uses, uses.now);
	else if (m.is_told)
		read_told(&uses, &m);
	else if (m.holder.len > 0)
		add_received_uses(&uses, &m.uses, ORG_SLOTS);
	peer_request_reply(request, 0, (str_t){0});
}

static void
on_peer_return(void *ctx, peer_request_t *request, const msgpack_object *body)
{
	grants_t *grants = ctx;
	double age;
	str_t org;

	if (grants_read_return(body, &org, &age))
		grants_quota_give_back(grants, org, clock_monotonic() - age);
	peer_request_reply(request, 0, (str_t){0});
}

/* Returns a token to the host that gave it; see grants.h. */
void
grants_return_token(grants_t *grants, const char *org, double asked_at)
{
	grants_quota_t *quota = &grants->quota;
	const member_t *giver;
	org_limit_t limit;
	buf_t body = {0};

	if (!quota->in_force || !grants_org_limit(grants, str_of(org), &limit))
		return;
	org_history_remove(quota->own, str_of(org), asked_at);
	giver = find_member(grants,
	    org_history_remove(quota->from_deputy, str_of(org), asked_at)
		? quota->deputy
		: quota->admitting);
	if (giver == NULL)
		return;
	if (strcmp(giver->name, grants->host) == 0) {
		grants_quota_give_back(grants, str_of(org), asked_at);
		return;
	}
	grants_pack_return(&body, org, clock_monotonic() - asked_at);
	peer_send(grants->params.peer, giver->address, PEER_QUOTA_RETURN,
	    str_buf(&body));
	buf_free(&body);
}

void
grants_quota_sync_start(grants_t *grants)
{
	peer_set_handler(
	    grants->params.peer, PEER_QUOTA_RETURN, on_peer_return, grants);
	peer_set_handler(
	    grants->params.peer, PEER_QUOTA_USES, on_peer_uses, grants);
}

void
grants_quota_sync_stop(grants_t *grants)
{
	peer_set_handler(grants->params.peer, PEER_QUOTA_USES, NULL, NULL);
	peer_set_handler(grants->params.peer, PEER_QUOTA_RETURN, NULL, NULL);
}
