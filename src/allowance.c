/*
 * Slots of an endpoint that a host may use without coordination, that is, while
 * the pool's admitting host cannot be asked or does not know all grants yet.
 * The hosts that share an endpoint are chosen by rendezvous hashing.
 */
#include "allowance.h"

#include <stdlib.h>
#include <string.h>

/* Upper bound of the hosts that share an endpoint, whatever its slots. */
#define MAX_HOSTS_PER_ENDPOINT 256
/* Direct-mapped: an endpoint replaces another one with the same index. */
#define CACHE_ENTRIES 4096

/* Cache entry: the hosts that share an endpoint, as hashes of their names. */
typedef struct endpoint_hosts_t {
	uint64_t endpoint; /* hash of the name */
	unsigned slots;	   /* 0: empty */
	size_t count;
	uint64_t *hosts;
} endpoint_hosts_t;

struct allowance_t {
	uint64_t *hosts; /* hashes of the names of the eligible hosts */
	size_t count;
	size_t live_count;
	endpoint_hosts_t cache[CACHE_ENTRIES];
};

/* Starts without hosts; allowance_update() sets them. */
allowance_t *
allowance_new(void)
{
	return (xcalloc(1, sizeof(allowance_t)));
}

static void
cache_clear(allowance_t *allowance)
{
	for (size_t i = 0; i < CACHE_ENTRIES; i++) {
		free(allowance->cache[i].hosts);
		allowance->cache[i] = (endpoint_hosts_t){0};
	}
}

void
allowance_delete(allowance_t *allowance)
{
	cache_clear(allowance);
	free(allowance->hosts);
	free(allowance);
}

static uint64_t
name_hash(const char *name)
{
	return (str_hash(str_of(name), 1));
}

/*
 * Updates the hosts from the member table: those that are alive, ready and not
 * leaving are eligible. Keeps the cache if nothing changed.
 */
void
allowance_update(allowance_t *allowance, const member_t *members, size_t count)
{
	uint64_t *hosts = xcalloc(count, sizeof(*hosts));
	size_t live_count = 0;
	size_t n = 0;

	for (size_t i = 0; i < count; i++) {
		const member_t *member = &members[i];

		live_count += member_is_living(member);
		if (member_is_living(member) && member->ready &&
		    !member->leaving)
			hosts[n++] = name_hash(member->name);
	}
	if (live_count == allowance->live_count && n == allowance->count &&
	    (n == 0 ||
		memcmp(hosts, allowance->hosts, n * sizeof(*hosts)) == 0)) {
		free(hosts);
		return;
	}
	cache_clear(allowance);
	free(allowance->hosts);
	allowance->hosts = hosts;
	allowance->count = n;
	allowance->live_count = live_count;
}

/* Finalizer of SplitMix64; makes the ranks of endpoints independent. */
static uint64_t
mix_bits(uint64_t x)
{
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return (x ^ (x >> 31));
}

/* Selects the hosts with the highest scores, at most one for each slot. */
static void
select_hosts(const allowance_t *allowance, endpoint_hosts_t *shared)
{
	size_t max = shared->slots < MAX_HOSTS_PER_ENDPOINT
			 ? shared->slots
			 : MAX_HOSTS_PER_ENDPOINT;
	uint64_t scores[MAX_HOSTS_PER_ENDPOINT] = {0};

	shared->hosts = xcalloc(max, sizeof(*shared->hosts));
	for (size_t i = 0; i < allowance->count; i++) {
		uint64_t score =
		    mix_bits(allowance->hosts[i] ^ shared->endpoint);
		size_t rank = shared->count;

		if (rank == max && score <= scores[max - 1])
			continue;
		if (rank < max)
			shared->count++;
		else
			rank--;
		for (; rank > 0 && scores[rank - 1] < score; rank--) {
			scores[rank] = scores[rank - 1];
			shared->hosts[rank] = shared->hosts[rank - 1];
		}
		scores[rank] = score;
		shared->hosts[rank] = allowance->hosts[i];
	}
}

/* Returns the slots of each host that shares an endpoint; at least 1. */
static unsigned
slots_per_host(const allowance_t *allowance, unsigned slots)
{
	unsigned live_count = (unsigned)allowance->live_count;

	return (live_count > 0 && slots > live_count ? slots / live_count : 1);
}

/*
 * Returns how many requests a host may run on an endpoint without coordination.
 * Only as many hosts as the endpoint has slots may run any, those with the
 * highest scores, so that the sum over all hosts does not exceed the slots.
 */
unsigned
allowance_slots(allowance_t *allowance, const char *host, const char *endpoint,
    unsigned slots)
{
	uint64_t key = name_hash(endpoint);
	uint64_t own = name_hash(host);
	endpoint_hosts_t *shared = &allowance->cache[key % CACHE_ENTRIES];

	if (slots == 0)
		return (0);
	if (shared->endpoint != key || shared->slots != slots) {
		free(shared->hosts);
		*shared = (endpoint_hosts_t){.endpoint = key, .slots = slots};
		select_hosts(allowance, shared);
	}
	for (size_t i = 0; i < shared->count; i++)
		if (shared->hosts[i] == own)
			return (slots_per_host(allowance, slots));
	return (0);
}
