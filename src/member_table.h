/* Table of known members, sorted by name, and precedence of updates. */
#ifndef DAISYPIER_MEMBER_TABLE_H
#define DAISYPIER_MEMBER_TABLE_H

#include "clock.h"
#include "membership.h"

/* Hash buckets of names; tables are compared by one hash per bucket. */
#define MEMBER_DIGEST_BUCKETS 64

/* Local data about a member that is not sent to others. */
typedef struct member_meta_t {
	double since; /* time of the last change of state or incarnation */
	unsigned transmits_left; /* remaining transmissions of its record */
	unsigned bucket;	 /* hash bucket of its name */
} member_meta_t;

typedef struct member_table_t {
	member_t *members;
	member_meta_t *meta; /* parallel to members */
	size_t count;
	size_t cap;
} member_table_t;

#define MEMBER_NONE SIZE_MAX

void member_table_free(member_table_t *table);
size_t member_table_find(const member_table_t *table, str_t name);
size_t member_table_find_address(const member_table_t *table, str_t address);
size_t member_table_add(
    member_table_t *table, const member_t *member, double now);
void member_table_remove(member_table_t *table, size_t index);
size_t member_table_living(const member_table_t *table);

bool member_supersedes(const member_t *update, const member_t *known);
void member_table_queue_update(member_table_t *table, size_t index);
size_t member_table_select_queued(
    const member_table_t *table, rng_t *rng, size_t *out, size_t max);
void member_table_digest(
    const member_table_t *table, uint32_t digest[MEMBER_DIGEST_BUCKETS]);

#endif
