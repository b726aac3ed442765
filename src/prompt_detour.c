/*
 * What requests have paid for going to where parts of their prompt are.
 *
 * Load: many or all requests share a long part. Reading it once more costs one
 * request more than it gains, but spares all later ones a crowded endpoint or
 * another zone.
 */
#include "prompt_detour.h"

#include <math.h>

/* Costs fall to 1/e in this time, in which a part may be evicted. */
#define DECAY_S 10.0

/*
 * Adds what a request pays for the detour to an endpoint that caches the parts
 * with the given hash, in seconds. Returns false if all requests have paid as
 * much as reading the parts costs elsewhere; this one should read them then,
 * and the sum begins anew. Without knowing how many requests follow, this costs
 * at most twice the best choice.
 */
bool
prompt_detour_pays(prompt_detour_t *detour, uint32_t hash, double cost,
    double reading, double now)
{
	prompt_detour_entry_t *entry =
	    &detour->entries[hash % PROMPT_DETOUR_ENTRIES];
	double sum = cost;

	if (entry->hash == hash)
		sum += entry->cost *
		       exp(-fmax(0, now - entry->updated_at) / DECAY_S);
	*entry = (prompt_detour_entry_t){
	    .hash = hash,
	    .cost = sum >= reading ? 0 : (float)sum,
	    .updated_at = now,
	};
	return (sum < reading);
}
