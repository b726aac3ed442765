/*
 * Share of the limits that a host uses alone, while it reaches neither the host
 * that admits nor its deputy. This module does no I/O and reads no clock.
 *
 * Load pattern: a limit of 5 requests per second is shared by up to 910 hosts,
 * so that the share of one is a small fraction of a token. Chance decides
 * whether it is a whole one, so that the sum over all hosts is the limit on
 * average.
 */
#include "org_share.h"

#include <math.h>
#include <stdlib.h>
#include <sys/queue.h>

#include "name.h"

typedef struct share_entry_t {
	char name[NAME_SIZE];
	double tokens; /* a whole number */
	double added_at;
	LIST_ENTRY(share_entry_t) entry;
} share_entry_t;

struct org_share_t {
	double started_at;
	rng_t rng;
	LIST_HEAD(, share_entry_t) entries;
};

/* The share is empty at the start of this host's process. */
org_share_t *
org_share_new(double started_at, uint64_t seed)
{
	org_share_t *share = xcalloc(1, sizeof(*share));

	share->started_at = started_at;
	share->rng = rng_seeded(seed);
	return (share);
}

void
org_share_delete(org_share_t *share)
{
	share_entry_t *entry;

	while ((entry = LIST_FIRST(&share->entries)) != NULL) {
		LIST_REMOVE(entry, entry);
		free(entry);
	}
	free(share);
}

static share_entry_t *
entry_find(const org_share_t *share, str_t org)
{
	share_entry_t *entry;

	LIST_FOREACH (entry, &share->entries, entry)
		if (str_equal(str_of(entry->name), org))
			return (entry);
	return (NULL);
}

/*
 * Takes a token of an organisation's limit, divided by the number of hosts.
 * Returns false if there is none.
 */
bool
org_share_take(org_share_t *share, str_t org, const org_limit_t *limit,
    size_t hosts, double now)
{
	double divisor = hosts > 0 ? (double)hosts : 1;
	double rate = limit->requests_per_s / divisor;
	double burst =
	    fmax(1, limit->burst > 0 ? limit->burst : limit->requests_per_s) /
	    divisor;
	share_entry_t *entry = entry_find(share, org);
	double added;
	double whole;

	if (entry == NULL) {
		entry = xcalloc(1, sizeof(*entry));
		str_copy(entry->name, sizeof(entry->name), org);
		entry->added_at = share->started_at;
		LIST_INSERT_HEAD(&share->entries, entry, entry);
	}
	added = fmin(burst, rate * fmax(0, now - entry->added_at));
	whole = floor(added);
	whole += rng_uniform(&share->rng) < added - whole;
	entry->tokens = fmin(entry->tokens + whole, ceil(burst));
	entry->added_at = now;
	if (entry->tokens < 1)
		return (false);
	entry->tokens -= 1;
	return (true);
}

/* Returns a token that was not used. */
void
org_share_give_back(org_share_t *share, str_t org)
{
	share_entry_t *entry = entry_find(share, org);

	if (entry != NULL)
		entry->tokens += 1;
}
