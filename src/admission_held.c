/* Takes in the holders' own reports of their grants. */
#include "admission_state.h"

/*
 * A report may have been written before its holder got a grant; younger grants
 * than this are not reclaimed when a report lacks them.
 */
#define REPORT_GRACE_S 2.0

/* Takes in a grant that another admitting host, or nobody, issued. */
static void
held_insert(admission_t *a, slot_holder_t *holder,
    const admission_holding_t *holding, double now)
{
	slot_endpoint_t *endpoint = slot_endpoint_find(a, holding->endpoint);
	slot_grant_t *grant;

	if (endpoint == NULL)
		return;
	grant = slot_grant_new(a, holding->id, holder,
	    slot_org_get(a, holding->org, now), holding->class);
	grant->state = SLOT_HELD;
	grant->endpoint = endpoint;
	grant->since = now;
	grant->wait.start_by = now + holding->slack;
	grant->listed = true;
	slot_route_use(a, endpoint, 1);
	grant->org->held[grant->class]++;
	a->held[grant->class]++;
	if (grant->class == GRANT_BATCH)
		slot_batch_insert(a, grant);
}

/* Reclaims what a holder did not list and so no longer has or asks for. */
static void
held_reclaim(admission_t *a, slot_holder_t *holder, double now)
{
	slot_grant_t *grant = LIST_FIRST(&holder->grants);

	while (grant != NULL) {
		slot_grant_t *next = LIST_NEXT(grant, holder_entry);

		if (!grant->listed && now - grant->since >= REPORT_GRACE_S) {
			a->totals.reclaimed++;
			slot_grant_delete(a, grant);
		}
		grant = next;
	}
}

/*
 * Takes in a holder's list of all its grants of the pool. Unknown ones are
 * added, those it lacks are reclaimed, and an answer that it did not get is
 * repeated. Writes the ids of waiting requests that are not known here to
 * unknown, which has room for count, and returns how many those are: the holder
 * must ask for them again.
 */
size_t
admission_held(admission_t *a, const char *holder_name,
    const admission_holding_t *holdings, size_t count, uint64_t *unknown,
    double now)
{
	slot_holder_t *holder = slot_holder_get(a, holder_name);
	size_t unknown_count = 0;
	slot_grant_t *grant;

	holder->reported = now;
	LIST_FOREACH (grant, &holder->grants, holder_entry)
		grant->listed = false;
	for (size_t i = 0; i < count; i++) {
		grant = slot_grant_find(a, holder_name, holdings[i].id);
		if (grant != NULL)
			grant->listed = true;
		if (grant == NULL && holdings[i].waiting)
			unknown[unknown_count++] = holdings[i].id;
		else if (grant == NULL)
			held_insert(a, holder, &holdings[i], now);
		else if (holdings[i].waiting && grant->state == SLOT_HELD)
			admission_emit(a, ADMISSION_GRANT, grant, 0, 0);
	}
	held_reclaim(a, holder, now);
	admission_schedule(a, now);
	return (unknown_count);
}
