/* Assigns keys to hosts by rendezvous (highest random weight) hashing. */
#include "placement.h"

#include <math.h>

/*
 * Weight of hosts in the preferred zone; all others have weight 1. With four
 * zones of equal size the preferred zone receives 4 of 7 keys, and a preferred
 * zone with few hosts does not receive nearly all of them.
 */
#define ZONE_WEIGHT 4.0

/*
 * A host owns keys only if it has at least this fraction of the CPU of the
 * largest host. An owner serves all hosts, and a burst of requests for a single
 * pool saturates a small host.
 */
#define OWNER_MIN_CPU_RATIO 0.5

static bool
is_eligible(const member_t *member)
{
	return (member_is_living(member) && member->ready && !member->leaving);
}

/* Returns the least CPU that an owner must have among the eligible hosts. */
static double
owner_min_millicores(const member_t *members, size_t count)
{
	uint32_t largest = 0;

	for (size_t i = 0; i < count; i++)
		if (is_eligible(&members[i]) && members[i].millicores > largest)
			largest = members[i].millicores;
	return (largest * OWNER_MIN_CPU_RATIO);
}

/*
 * The score depends on the name only, so that a restarted host gets its keys
 * back and hosts with the same member table make the same choice. Without a
 * zone all weights are equal and the hash alone gives the order.
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

/* Returns the highest-scoring eligible host that has at least min_millicores.
 */
static const member_t *
pick_highest_scoring(const member_t *members, size_t count, str_t key,
    const char *zone, double min_millicores)
{
	uint64_t key_hash = str_hash(key, 0);
	const member_t *best = NULL;
	double best_score = 0;

	for (size_t i = 0; i < count; i++) {
		double candidate_score;

		if (!is_eligible(&members[i]) ||
		    members[i].millicores < min_millicores)
			continue;
		candidate_score = score(&members[i], key_hash, zone);
		if (best == NULL || candidate_score > best_score) {
			best = &members[i];
			best_score = candidate_score;
		}
	}
	return (best);
}

/*
 * Returns the host for a key among those that are alive, ready and not leaving,
 * or NULL if there is none. Hosts in zone are preferred by weight; zone may be
 * NULL.
 */
const member_t *
placement_pick(
    const member_t *members, size_t count, str_t key, const char *zone)
{
	return (pick_highest_scoring(members, count, key, zone, 0));
}

/*
 * Returns the host that serves a key on behalf of all hosts, such as the
 * admitting host of a pool. It is chosen as in placement_pick(), but hosts with
 * little CPU are left out.
 */
const member_t *
placement_owner(const member_t *members, size_t count, str_t key)
{
	return (pick_highest_scoring(
	    members, count, key, NULL, owner_min_millicores(members, count)));
}

/*
 * Writes up to max hosts with enough CPU in descending order of their score for
 * the key. Returns how many were written.
 */
static size_t
rank_hosts(const member_t *members, size_t count, str_t key,
    double min_millicores, const member_t **out, size_t max)
{
	uint64_t key_hash = str_hash(key, 0);
	size_t ranked_count = 0;

	for (size_t i = 0; i < count && max > 0; i++) {
		size_t pos;
		double candidate_score;

		if (!is_eligible(&members[i]) ||
		    members[i].millicores < min_millicores)
			continue;
		candidate_score = score(&members[i], key_hash, NULL);
		if (ranked_count == max &&
		    candidate_score <= score(out[max - 1], key_hash, NULL))
			continue;
		pos = ranked_count < max ? ranked_count++ : max - 1;
		while (pos > 0 &&
		       score(out[pos - 1], key_hash, NULL) < candidate_score) {
			out[pos] = out[pos - 1];
			pos--;
		}
		out[pos] = &members[i];
	}
	return (ranked_count);
}

/*
 * Writes up to max hosts in descending order of their score for the key and
 * returns how many were written. The first one is the result of
 * placement_pick() without a zone.
 */
size_t
placement_rank(const member_t *members, size_t count, str_t key,
    const member_t **out, size_t max)
{
	return (rank_hosts(members, count, key, 0, out, max));
}

/*
 * The same for the hosts that serve a key on behalf of all hosts: the first one
 * is the result of placement_owner(), the others take over in this order.
 */
size_t
placement_rank_owners(const member_t *members, size_t count, str_t key,
    const member_t **out, size_t max)
{
	return (rank_hosts(members, count, key,
	    owner_min_millicores(members, count), out, max));
}
