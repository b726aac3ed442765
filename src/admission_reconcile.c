/* Reconciles the pool with the holders' reports of their grants. */
#include "admission_state.h"

/*
 * A report may have been written before its holder received a grant, so a grant
 * younger than this is not reclaimed if the report lacks it.
 */
#define REPORT_GRACE_S 2.0

/*
 * Adds a grant that this host did not issue: another admitting host did, or the
 * holder used its allowance.
 */
static void
insert_unknown_grant(admission_t *a, slot_holder_t *holder,
    const admission_held_grant_t *held_grant, double now)
{
	slot_endpoint_t *endpoint = slot_endpoint_find(a, held_grant->endpoint);
	slot_grant_t *grant;

	if (endpoint == NULL)
		return;
	grant = slot_grant_new(a, held_grant->id, holder,
	    slot_org_find_or_create(a, held_grant->org, now),
	    held_grant->class);
	grant->state = SLOT_HELD;
	slot_endpoint_hold(a, grant, endpoint, now);
	grant->wait.start_by = now + held_grant->slack;
	grant->listed = true;
	grant->org->held[grant->class]++;
	a->held[grant->class]++;
	if (grant->class == GRANT_BATCH)
		slot_batch_held_insert(a, grant);
}

/* Deletes grants and requests that the holder's report does not list. */
static void
reclaim_unlisted(admission_t *a, slot_holder_t *holder, double now)
{
	slot_grant_t *grant = LIST_FIRST(&holder->grants);

	while (grant != NULL) {
		slot_grant_t *next = LIST_NEXT(grant, holder_entry);

		if (!grant->listed && now - grant->since >= REPORT_GRACE_S) {
			a->counters.reclaimed++;
			slot_grant_delete(a, grant);
		}
		grant = next;
	}
}

/*
 * Processes a holder's list of all its grants in the pool. Unknown grants are
 * added, those not listed are reclaimed, and an answer that the holder did not
 * receive is repeated. Stores the ids of unknown waiting requests in unknown,
 * which has room for count, and returns their number; the holder must send
 * these requests again.
 */
size_t
admission_reconcile(admission_t *a, const char *holder_name,
    const admission_held_grant_t *held_grants, size_t count, uint64_t *unknown,
    double now)
{
	slot_holder_t *holder = slot_holder_find_or_create(a, holder_name);
	size_t unknown_count = 0;
	slot_grant_t *grant;

	holder->reported_at = now;
	holder->heard_at = now;
	LIST_FOREACH (grant, &holder->grants, holder_entry)
		grant->listed = false;
	for (size_t i = 0; i < count; i++) {
		grant = slot_grant_find(a, holder_name, held_grants[i].id);
		if (grant != NULL)
			grant->listed = true;
		if (grant == NULL && held_grants[i].waiting)
			unknown[unknown_count++] = held_grants[i].id;
		else if (grant == NULL)
			insert_unknown_grant(a, holder, &held_grants[i], now);
		else if (held_grants[i].waiting && grant->state == SLOT_HELD)
			admission_queue_action(a, ADMISSION_GRANT, grant, 0, 0);
	}
	reclaim_unlisted(a, holder, now);
	admission_schedule(a, now);
	return (unknown_count);
}
