/* What a host may use of an endpoint without asking the admitting host. */
#include "allowance.h"

#include <stdlib.h>
#include <string.h>

/* More hosts than this never share one endpoint, whatever its slots. */
#define MAX_SHARING 256
/* Endpoints whose sharing hosts are remembered; others replace them. */
#define CACHE_SIZE 4096

/* The hosts that share one endpoint, by the hashes of their names. */
typedef struct sharing_t {
	uint64_t endpoint; /* hash of its name */
	unsigned slots;	   /* 0: empty */
	size_t count;
	uint64_t *hosts;
} sharing_t;

struct allowance_t {
	uint64_t *hosts; /* those that may act, by the hashes of their names */
	size_t count;
	size_t living;
	sharing_t cache[CACHE_SIZE];
};

/* Makes allowances for a fleet without hosts. */
allowance_t *
allowance_new(void)
{
	return (xcalloc(1, sizeof(allowance_t)));
}

static void
cache_clear(allowance_t *allowance)
{
	for (size_t i = 0; i < CACHE_SIZE; i++) {
		free(allowance->cache[i].hosts);
		allowance->cache[i] = (sharing_t){0};
	}
}

/* Frees the allowances. */
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

/* Takes over the member table. What was remembered stays if no host changed. */
void
allowance_refresh(allowance_t *allowance, const member_t *members, size_t count)
{
	uint64_t *hosts = xcalloc(count, sizeof(*hosts));
	size_t living = 0;
	size_t n = 0;

	for (size_t i = 0; i < count; i++) {
		const member_t *member = &members[i];

		living += member_is_living(member);
		if (member_is_living(member) && member->ready &&
		    !member->leaving)
			hosts[n++] = name_hash(member->name);
	}
	if (living == allowance->living && n == allowance->count &&
	    (n == 0 ||
		memcmp(hosts, allowance->hosts, n * sizeof(*hosts)) == 0)) {
		free(hosts);
		return;
	}
	cache_clear(allowance);
	free(allowance->hosts);
	allowance->hosts = hosts;
	allowance->count = n;
	allowance->living = living;
}

/* Spreads the bits of a number, so that each endpoint ranks hosts anew. */
static uint64_t
mix(uint64_t x)
{
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return (x ^ (x >> 31));
}

/* Finds the hosts that rank first for an endpoint, as many as it has slots. */
static void
sharing_compute(const allowance_t *allowance, sharing_t *sharing)
{
	size_t max =
	    sharing->slots < MAX_SHARING ? sharing->slots : MAX_SHARING;
	uint64_t scores[MAX_SHARING] = {0};

	sharing->hosts = xcalloc(max, sizeof(*sharing->hosts));
	for (size_t i = 0; i < allowance->count; i++) {
		uint64_t score = mix(allowance->hosts[i] ^ sharing->endpoint);
		size_t at = sharing->count;

		if (at == max && score <= scores[max - 1])
			continue;
		if (at < max)
			sharing->count++;
		else
			at--;
		for (; at > 0 && scores[at - 1] < score; at--) {
			scores[at] = scores[at - 1];
			sharing->hosts[at] = sharing->hosts[at - 1];
		}
		scores[at] = score;
		sharing->hosts[at] = allowance->hosts[i];
	}
}

/* Returns the share of a host that is among those of an endpoint. */
static unsigned
slots_each(const allowance_t *allowance, unsigned slots)
{
	unsigned living = (unsigned)allowance->living;

	return (living > 0 && slots > living ? slots / living : 1);
}

/*
 * Returns how many requests a host may run on an endpoint by itself. Only the
 * hosts that rank first for the endpoint, as many as it has slots, may run any;
 * all hosts together therefore stay within the slots.
 */
unsigned
allowance_get(allowance_t *allowance, const char *host, const char *endpoint,
    unsigned slots)
{
	uint64_t key = name_hash(endpoint);
	uint64_t own = name_hash(host);
	sharing_t *sharing = &allowance->cache[key % CACHE_SIZE];

	if (slots == 0)
		return (0);
	if (sharing->endpoint != key || sharing->slots != slots) {
		free(sharing->hosts);
		*sharing = (sharing_t){.endpoint = key, .slots = slots};
		sharing_compute(allowance, sharing);
	}
	for (size_t i = 0; i < sharing->count; i++)
		if (sharing->hosts[i] == own)
			return (slots_each(allowance, slots));
	return (0);
}
