/* What a host may use of an endpoint without asking the admitting host. */
#include "allowance.h"

#include <string.h>

/* More hosts than this never share one endpoint, whatever its slots. */
#define MAX_SHARING 256

/* Forgets all results; call it when the member table changed. */
void
allowance_clear(allowance_t *allowance)
{
	memset(allowance, 0, sizeof(*allowance));
}

static unsigned
allowance_compute(const member_t *members, size_t count, const char *host,
    const char *endpoint, unsigned slots)
{
	const member_t *ranked[MAX_SHARING];
	size_t living = 0;
	size_t n;

	for (size_t i = 0; i < count; i++)
		living += member_is_living(&members[i]);
	n = placement_rank(members, count, str_of(endpoint), ranked,
	    slots < MAX_SHARING ? slots : MAX_SHARING);
	for (size_t i = 0; i < n; i++)
		if (strcmp(ranked[i]->name, host) == 0)
			return (slots > living && living > 0
				    ? slots / (unsigned)living
				    : 1);
	return (0);
}

/*
 * Returns how many requests a host may run on an endpoint by itself. Only the
 * hosts that rank first for the endpoint, as many as it has slots, may run any;
 * all hosts together therefore stay within the slots.
 */
unsigned
allowance_get(allowance_t *allowance, const member_t *members, size_t count,
    const char *host, const char *endpoint, unsigned slots)
{
	uint64_t key = str_hash(str_of(endpoint), str_hash(str_of(host), 1));
	size_t i = key % ALLOWANCE_CACHE_SIZE;

	if (allowance->cache[i].key != key ||
	    allowance->cache[i].slots != slots) {
		allowance->cache[i].key = key;
		allowance->cache[i].slots = slots;
		allowance->cache[i].value =
		    allowance_compute(members, count, host, endpoint, slots);
	}
	return (allowance->cache[i].value);
}
