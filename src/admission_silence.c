/*
 * Holders that send nothing: frozen, cut off, or not yet known to be dead.
 *
 * Load pattern: some of the hosts freeze for seconds while online requests wait
 * for slots. Until membership declares them dead, slots that they hold or get
 * would be idle, though endpoints end the requests of a frozen host as usual.
 */
#include "admission_state.h"

#include <math.h>

#include "logger.h"

/* A longer pause between ticks shows that this host stood still itself. */
#define MAX_TICK_GAP_S 0.5
/* Online requests of a silent holder have ended after this many mean times. */
#define MEAN_HOLD_TIMES 2.0

/* Returns whether a holder has sent nothing for longer than is usual. */
bool
slot_holder_is_silent(
    const admission_t *a, const slot_holder_t *holder, double now)
{
	double since = fmax(holder->heard_at, a->running_since);

	return (a->settings.silent_after > 0 &&
		now - since > a->settings.silent_after);
}

/* Notices and logs that a holder has fallen silent or is heard again. */
static void
holder_refresh_silence(const admission_t *a, slot_holder_t *holder, double now)
{
	bool silent = slot_holder_is_silent(a, holder, now);

	/* A holder without grants and requests has nothing to send. */
	if (silent == holder->silent || (silent && LIST_EMPTY(&holder->grants)))
		return;
	holder->silent = silent;
	LOG_INFO(silent ? "holder_silent" : "holder_heard",
	    "host=%s heard_s=%.1f", holder->name, now - holder->heard_at);
}

/* Reclaims the online grants of a holder that have probably ended. */
static void
holder_reclaim_ended(admission_t *a, slot_holder_t *holder, double now)
{
	double hold_time =
	    fmax(a->settings.silent_after, MEAN_HOLD_TIMES * a->mean_hold_s);
	slot_grant_t *grant = LIST_FIRST(&holder->grants);

	while (grant != NULL) {
		slot_grant_t *next = LIST_NEXT(grant, holder_entry);

		if (grant->class == GRANT_ONLINE && grant->state == SLOT_HELD &&
		    now - grant->since > hold_time) {
			a->counters.reclaimed++;
			slot_grant_delete(a, grant);
		}
		grant = next;
	}
}

/*
 * Reclaims the slots of silent holders whose requests have probably ended. A
 * holder that is heard again reports those that still run. To be called on each
 * tick.
 */
void
admission_reclaim_silent(admission_t *a, double now)
{
	if (now - a->ticked_at > MAX_TICK_GAP_S)
		a->running_since = now;
	a->ticked_at = now;
	for (size_t i = 0; i < ADMISSION_HOLDER_BUCKETS; i++) {
		slot_holder_t *holder;

		LIST_FOREACH (holder, &a->holders[i], entry) {
			holder_refresh_silence(a, holder, now);
			if (holder->silent)
				holder_reclaim_ended(a, holder, now);
		}
	}
}
