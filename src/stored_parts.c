/*
 * Which suspected parts a host has to write to the store, or to remove.
 *
 * Load pattern: within a second or two, several endpoints crash on a part, and
 * all hosts hear of each crash and of the hold within some tens of
 * milliseconds. The part is tried again at growing intervals, and is released
 * by an answer. Of hundreds of hosts only a few write it.
 */
#include "stored_parts.h"

#include <string.h>

#include "placement.h"

/* Hosts that judge by themselves differ by less in the start of a hold. */
#define SAME_HOLD_S 2.0

static stored_part_t *
stored_find(stored_parts_t *stored, uint64_t part)
{
	for (size_t i = 0; i < stored->count; i++)
		if (stored->parts[i].part == part)
			return (&stored->parts[i]);
	return (NULL);
}

static bool
is_suspect(const stored_parts_view_t *view, uint64_t part)
{
	for (size_t i = 0; i < view->suspect_count; i++)
		if (view->suspects[i]->part == part)
			return (true);
	return (false);
}

/* Returns whether this host is one of those that write a part. */
static bool
is_writer(const stored_parts_view_t *view, uint64_t part)
{
	const member_t *writers[STORED_PARTS_WRITERS];
	size_t count = placement_rank(view->members, view->member_count,
	    (str_t){(const char *)&part, sizeof(part)}, writers,
	    STORED_PARTS_WRITERS);

	for (size_t i = 0; i < count; i++)
		if (strcmp(writers[i]->name, view->host) == 0)
			return (true);
	return (false);
}

/* Returns whether the store has the hold with all its trials and crashes. */
static bool
is_current(const stored_part_t *known, const quarantine_record_t *record)
{
	return (known != NULL && known->trials >= record->trials &&
		known->crashes >= record->crash_count &&
		record->held_since <= known->held_since + SAME_HOLD_S);
}

/* Notes what the store has of a part. A full table ignores further parts. */
void
stored_parts_put(
    stored_parts_t *stored, const quarantine_record_t *record, bool mine)
{
	stored_part_t *known = stored_find(stored, record->part);

	if (known == NULL && stored->count == STORED_PARTS_MAX)
		return;
	if (known == NULL)
		known = &stored->parts[stored->count++];
	*known = (stored_part_t){
	    .part = record->part,
	    .held_since = record->held_since,
	    .trials = record->trials,
	    .crashes = record->crash_count,
	    .mine = mine,
	};
}

/* Notes that the store does not have a part any more. */
void
stored_parts_drop(stored_parts_t *stored, uint64_t part)
{
	stored_part_t *known = stored_find(stored, part);

	if (known != NULL)
		*known = stored->parts[--stored->count];
}

/*
 * Forgets what others write. Called from time to time: the plan then looks
 * again whether this host has to take their place.
 */
void
stored_parts_forget_others(stored_parts_t *stored)
{
	for (size_t i = stored->count; i > 0; i--)
		if (!stored->parts[i - 1].mine)
			stored->parts[i - 1] = stored->parts[--stored->count];
}

/* Plans the removal of parts that are no suspects any more. */
static size_t
plan_removals(stored_parts_t *stored, const stored_parts_view_t *view,
    stored_parts_step_t *steps, size_t max)
{
	size_t count = 0;

	for (size_t i = stored->count; i > 0 && count < max; i--) {
		const stored_part_t *known = &stored->parts[i - 1];

		if (is_suspect(view, known->part))
			continue;
		if (known->mine)
			steps[count++] =
			    (stored_parts_step_t){.part = known->part};
		else
			stored_parts_drop(stored, known->part);
	}
	return (count);
}

/* Plans the writing of suspects that are new, or of which there is news. */
static size_t
plan_writes(stored_parts_t *stored, const stored_parts_view_t *view,
    stored_parts_step_t *steps, size_t max)
{
	size_t room = STORED_PARTS_MAX - stored->count;
	size_t count = 0;

	for (size_t i = 0; i < view->suspect_count && count < max; i++) {
		const quarantine_record_t *record = view->suspects[i];
		const stored_part_t *known = stored_find(stored, record->part);

		/* What could not be noted would be written again and again. */
		if (is_current(known, record) || (known == NULL && room == 0))
			continue;
		room -= known == NULL;
		if (is_writer(view, record->part))
			steps[count++] = (stored_parts_step_t){
			    .part = record->part, .record = record};
		else
			stored_parts_put(stored, record, false);
	}
	return (count);
}

/*
 * Writes up to max steps that this host has to take, and returns their number.
 * What others have to do is noted as done. Removals come first: they make room.
 */
size_t
stored_parts_plan(stored_parts_t *stored, const stored_parts_view_t *view,
    stored_parts_step_t *steps, size_t max)
{
	size_t count = plan_removals(stored, view, steps, max);

	return (count + plan_writes(stored, view, steps + count, max - count));
}
