/* Table of known members, sorted by name, and precedence of updates. */
#include "member_table.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Transmissions of one update per doubling of the number of members. */
#define TRANSMITS_PER_DOUBLING 4

/* Frees the entries and leaves an empty, usable table. */
void
member_table_free(member_table_t *table)
{
	free(table->members);
	free(table->meta);
	*table = (member_table_t){0};
}

/* Returns the index of the first member whose name is not less than name. */
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

/* Returns the index of the member with that name, or MEMBER_NONE. */
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

/* Inserts a member, whose name must not be in the table. Returns its index. */
size_t
member_table_add(member_table_t *table, const member_t *member, double now)
{
	size_t index = lower_bound(table, str_of(member->name));
	size_t tail_count = table->count - index;

	if (table->count == table->cap) {
		table->cap = table->cap > 0 ? table->cap * 2 : 16;
		table->members = xrealloc(
		    table->members, table->cap * sizeof(*table->members));
		table->meta =
		    xrealloc(table->meta, table->cap * sizeof(*table->meta));
	}
	memmove(table->members + index + 1, table->members + index,
	    tail_count * sizeof(*table->members));
	memmove(table->meta + index + 1, table->meta + index,
	    tail_count * sizeof(*table->meta));
	table->members[index] = *member;
	table->meta[index] = (member_meta_t){
	    .since = now,
	    .bucket = (unsigned)(str_hash(str_of(member->name), 0) %
				 MEMBER_DIGEST_BUCKETS),
	};
	table->count++;
	return (index);
}

void
member_table_remove(member_table_t *table, size_t index)
{
	size_t tail_count = table->count - index - 1;

	memmove(table->members + index, table->members + index + 1,
	    tail_count * sizeof(*table->members));
	memmove(table->meta + index, table->meta + index + 1,
	    tail_count * sizeof(*table->meta));
	table->count--;
}

/* Returns the number of members that are alive or suspected. */
size_t
member_table_living(const member_table_t *table)
{
	size_t living = 0;

	for (size_t i = 0; i < table->count; i++)
		living += member_is_living(&table->members[i]);
	return (living);
}

/*
 * Returns whether an update takes precedence over the known record of the same
 * name. The greater incarnation wins. At equal incarnations of one instance the
 * state further from alive wins. Between two instances all hosts must decide
 * alike, so the greater instance number wins; the other instance raises its
 * incarnation when it receives the record.
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

/* Queues a member's record for transmission with the next datagrams. */
void
member_table_queue_update(member_table_t *table, size_t index)
{
	double doublings = ceil(log2((double)table->count + 1));

	table->meta[index].transmits_left =
	    TRANSMITS_PER_DOUBLING * (unsigned)doublings;
}

/*
 * Writes the indexes of up to max queued records, those with the most remaining
 * transmissions first. Returns the number of indexes.
 */
size_t
member_table_select_queued(
    const member_table_t *table, rng_t *rng, size_t *out, size_t max)
{
	size_t count = 0;
	size_t start = rng_below(rng, table->count);

	for (size_t i = 0; i < table->count && max > 0; i++) {
		size_t index = (start + i) % table->count;
		unsigned left = table->meta[index].transmits_left;
		size_t position;

		if (left == 0)
			continue;
		if (count == max &&
		    left <= table->meta[out[max - 1]].transmits_left)
			continue;
		position = count < max ? count++ : max - 1;
		while (position > 0 &&
		       table->meta[out[position - 1]].transmits_left < left) {
			out[position] = out[position - 1];
			position--;
		}
		out[position] = index;
	}
	return (count);
}

/*
 * Computes one hash per bucket. Only living members count, since hosts remove
 * dead ones at different times. The hash excludes the configuration version,
 * which changes without a new incarnation, and suspicions, which are refuted or
 * confirmed before tables are compared again.
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
