/*
 * Decides which of an endpoint's entries is its newest statement.
 *
 * The newest record of a key need not be what its writer said last: a write
 * that got no answer may be carried out seconds later, behind others and behind
 * the removal of the key. An endpoint's statements are ordered by its start and
 * then by their count.
 *
 * Load pattern: endpoints write an entry about every second; one that changes
 * nothing need not make a record. Some writes come late while the store has
 * trouble. Endpoints leave, and start again under their id.
 */
#include "entry_order.h"

/* Returns whether an entry is older than the newest one that is known. */
static bool
is_older(const entry_order_t *order, const entry_stamp_t *stamp)
{
	const entry_stamp_t *newest = &order->newest;

	if (!order->known || !stamp->has_sequence || !newest->has_sequence)
		return (false);
	/* A start that is not stated may be a new one, which counts anew. */
	if (stamp->started_ms == 0 || newest->started_ms == 0)
		return (false);
	if (stamp->started_ms != newest->started_ms)
		return (stamp->started_ms < newest->started_ms);
	/* A reload repeats an entry, but not one that was removed. */
	return (stamp->sequence < newest->sequence ||
		(order->removed && stamp->sequence == newest->sequence));
}

/*
 * Returns whether an entry is the endpoint's newest statement as far as it is
 * known; all earlier ones are then superseded.
 */
bool
entry_order_accept(entry_order_t *order, const entry_stamp_t *stamp)
{
	if (is_older(order, stamp))
		return (false);
	entry_order_restart(order, stamp);
	return (true);
}

/* Records that the endpoint's entry was removed. */
void
entry_order_removed(entry_order_t *order)
{
	order->removed = true;
}

/* Makes an entry the newest one, whatever is known of others. */
void
entry_order_restart(entry_order_t *order, const entry_stamp_t *stamp)
{
	*order = (entry_order_t){.known = true, .newest = *stamp};
}
