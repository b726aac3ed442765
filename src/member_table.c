/* The known hosts in order of name, and which update replaces which. */
#include "member_table.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Datagrams that carry one update, for each doubling of the fleet. */
#define SENDS_PER_DOUBLING 4

/* Releases the table's memory; the table is empty and usable again. */
void
member_table_free(member_table_t *table)
{
	free(table->members);
	free(table->meta);
	*table = (member_table_t){0};
}

/* Returns the first index whose name is not less than the given one. */
static size_t
lower_bound(const member_table_t *table, str_t name)
{
	size_t low = 0;
	size_t high = table->count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;
		str_t other = str_of(table->members[middle].name);

		if (str_compare(other, name) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return (low);
}

/* Returns the index of a name, or MEMBER_NONE. */
size_t
member_table_find(const member_table_t *table, str_t name)
{
	size_t index = lower_bound(table, name);

	if (index < table->count &&
	    str_equal(str_of(table->members[index].name), name))
		return (index);
	return (MEMBER_NONE);
}

/* Returns the index of a living member with that address, or MEMBER_NONE. */
size_t
member_table_find_address(const member_table_t *table, str_t address)
{
	for (size_t i = 0; i < table->count; i++)
		if (member_is_living(&table->members[i]) &&
		    str_equal(str_of(table->members[i].address), address))
			return (i);
	return (MEMBER_NONE);
}

/* Adds a member whose name is not in the table yet. Returns its index. */
size_t
member_table_add(member_table_t *table, const member_t *member, double now)
{
	size_t index = lower_bound(table, str_of(member->name));
	size_t after = table->count - index;

	if (table->count == table->cap) {
		table->cap = table->cap > 0 ? table->cap * 2 : 16;
		table->members = xrealloc(
		    table->members, table->cap * sizeof(*table->members));
		table->meta =
		    xrealloc(table->meta, table->cap * sizeof(*table->meta));
	}
	memmove(table->members + index + 1, table->members + index,
	    after * sizeof(*table->members));
	memmove(table->meta + index + 1, table->meta + index,
	    after * sizeof(*table->meta));
	table->members[index] = *member;
	table->meta[index] = (member_meta_t){
	    .since = now,
	    .bucket = (unsigned)(str_hash(str_of(member->name), 0) %
				 MEMBER_DIGEST_BUCKETS),
	};
	table->count++;
	return (index);
}

/* Removes a member. */
void
member_table_remove(member_table_t *table, size_t index)
{
	size_t after = table->count - index - 1;

	memmove(table->members + index, table->members + index + 1,
	    after * sizeof(*table->members));
	memmove(table->meta + index, table->meta + index + 1,
	    after * sizeof(*table->meta));
	table->count--;
}

/* Returns how many members are alive or suspected. */
size_t
member_table_living(const member_table_t *table)
{
	size_t living = 0;

	for (size_t i = 0; i < table->count; i++)
		living += member_is_living(&table->members[i]);
	return (living);
}

/*
 * Returns whether an update replaces what is known of the same name. The
 * incarnation decides. With equal incarnations the state that is further from
 * alive wins for one instance; between two instances every host must choose
 * alike, and the one that loses raises its incarnation when it hears of it.
 */
bool
member_supersedes(const member_t *update, const member_t *known)
{
	if (update->incarnation != known->incarnation)
		return (update->incarnation > known->incarnation);
	if (update->instance != known->instance)
		return (update->instance > known->instance);
	return (update->state > known->state);
}

/* Lets the next datagrams carry a member's record. */
void
member_table_queue(member_table_t *table, size_t index)
{
	double doublings = ceil(log2((double)table->count + 1));

	table->meta[index].sends_left =
	    SENDS_PER_DOUBLING * (unsigned)doublings;
}

/*
 * Writes the indexes of up to max queued records, those sent least often first.
 * Returns how many were written.
 */
size_t
member_table_pick_queued(
    const member_table_t *table, rng_t *rng, size_t *out, size_t max)
{
	size_t count = 0;
	size_t start = rng_below(rng, table->count);

	for (size_t i = 0; i < table->count && max > 0; i++) {
		size_t index = (start + i) % table->count;
		unsigned left = table->meta[index].sends_left;
		size_t at;

		if (left == 0)
			continue;
		if (count == max &&
		    left <= table->meta[out[max - 1]].sends_left)
			continue;
		at = count < max ? count++ : max - 1;
		while (at > 0 && table->meta[out[at - 1]].sends_left < left) {
			out[at] = out[at - 1];
			at--;
		}
		out[at] = index;
	}
	return (count);
}

/*
 * Computes one hash for each group of names, over the living members only:
 * hosts forget dead members at different times. The configuration version is
 * left out because it changes without a new incarnation, and a suspicion is
 * left out because it is refuted or confirmed before tables are compared again.
 */
void
member_table_digest(
    const member_table_t *table, uint32_t digest[MEMBER_DIGEST_BUCKETS])
{
	memset(digest, 0, MEMBER_DIGEST_BUCKETS * sizeof(*digest));
	for (size_t i = 0; i < table->count; i++) {
		const member_t *member = &table->members[i];
		uint64_t hash;

		if (!member_is_living(member))
			continue;
		hash = str_hash(str_of(member->name),
		    member->instance ^ (uint64_t)member->incarnation << 32);
		digest[table->meta[i].bucket] ^= (uint32_t)hash;
	}
}
