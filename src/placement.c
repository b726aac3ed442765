/* Chooses the host that should act for a key, by rendezvous hashing. */
#include "placement.h"

#include <math.h>

/*
 * Weight of hosts in the preferred zone against 1 for all others. With four
 * zones of equal size the preferred one gets 4 of 7 keys, and keys still spread
 * when it has few hosts.
 */
#define ZONE_WEIGHT 4.0

/*
 * Hosts with less than this share of the largest one's processor do no work for
 * the others: a burst of requests for one pool fills a small host alone.
 */
#define OWNER_MIN_SHARE 0.5

static bool
is_eligible(const member_t *member)
{
	return (member_is_living(member) && member->ready && !member->leaving);
}

/* Processor that an owner needs while the present hosts are there. */
static double
owner_millicores(const member_t *members, size_t count)
{
	uint32_t most = 0;

	for (size_t i = 0; i < count; i++)
		if (is_eligible(&members[i]) && members[i].millicores > most)
			most = members[i].millicores;
	return (most * OWNER_MIN_SHARE);
}

/*
 * The score depends on the name only, so that a restarted host gets its keys
 * back and two hosts with the same table choose alike. Without a zone the hash
 * gives the same order as the weighted score.
 */
static double
score(const member_t *member, uint64_t key_hash, const char *zone)
{
	uint64_t hash = str_hash(str_of(member->name), key_hash) >> 11;
	double uniform = ((double)hash + 0.5) / 9007199254740992.0;
	bool preferred;

	if (zone == NULL)
		return (uniform);
	preferred = str_equal(str_of(member->zone), str_of(zone));
	return ((preferred ? ZONE_WEIGHT : 1.0) / -log(uniform));
}

/* Returns the eligible host with enough processor that scores highest. */
static const member_t *
pick_among(const member_t *members, size_t count, str_t key, const char *zone,
    double millicores)
{
	uint64_t key_hash = str_hash(key, 0);
	const member_t *best = NULL;
	double best_score = 0;

	for (size_t i = 0; i < count; i++) {
		double own;

		if (!is_eligible(&members[i]) ||
		    members[i].millicores < millicores)
			continue;
		own = score(&members[i], key_hash, zone);
		if (best == NULL || own > best_score) {
			best = &members[i];
			best_score = own;
		}
	}
	return (best);
}

/*
 * Returns the host for a key among the living, ready and not leaving ones, or
 * NULL when there is none. Hosts in zone are preferred by weight; zone may be
 * NULL.
 */
const member_t *
placement_pick(
    const member_t *members, size_t count, str_t key, const char *zone)
{
	return (pick_among(members, count, key, zone, 0));
}

/*
 * Returns the host that does the work of a key for all hosts, such as admission
 * to a pool: like placement_pick(), but one of those with the most processor.
 */
const member_t *
placement_owner(const member_t *members, size_t count, str_t key)
{
	return (pick_among(
	    members, count, key, NULL, owner_millicores(members, count)));
}

/*
 * Writes the first max hosts for a key in their order, the one of
 * placement_pick() without a zone first. Returns how many were written.
 */
size_t
placement_rank(const member_t *members, size_t count, str_t key,
    const member_t **out, size_t max)
{
	uint64_t key_hash = str_hash(key, 0);
	size_t found = 0;

	for (size_t i = 0; i < count && max > 0; i++) {
		size_t at;
		double own;

		if (!is_eligible(&members[i]))
			continue;
		own = score(&members[i], key_hash, NULL);
		if (found == max && own <= score(out[max - 1], key_hash, NULL))
			continue;
		at = found < max ? found++ : max - 1;
		while (at > 0 && score(out[at - 1], key_hash, NULL) < own) {
			out[at] = out[at - 1];
			at--;
		}
		out[at] = &members[i];
	}
	return (found);
}
