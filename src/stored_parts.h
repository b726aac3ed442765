/* Which suspected parts a host has to write to the store. No I/O. */
#ifndef DAISYPIER_STORED_PARTS_H
#define DAISYPIER_STORED_PARTS_H

#include "membership.h"
#include "quarantine_record.h"

/* Suspected parts that are kept in the store. */
#define STORED_PARTS_MAX 64
/* Hosts that write a part, so that it is written if one of them ends. */
#define STORED_PARTS_WRITERS 2

/* What the store has of a part, as far as this host knows. */
typedef struct stored_part_t {
	uint64_t part;
	double held_since;
	unsigned trials;
	size_t crashes;
	bool mine; /* this host has to remove it */
} stored_part_t;

typedef struct stored_parts_t {
	size_t count;
	stored_part_t parts[STORED_PARTS_MAX];
} stored_parts_t;

typedef struct stored_parts_view_t {
	const char *host; /* name of this host */
	const member_t *members;
	size_t member_count;
	const quarantine_record_t *const *suspects;
	size_t suspect_count;
} stored_parts_view_t;

/* A part to write, or to remove if record is NULL. */
typedef struct stored_parts_step_t {
	uint64_t part;
	const quarantine_record_t *record;
} stored_parts_step_t;

size_t stored_parts_plan(stored_parts_t *stored,
    const stored_parts_view_t *view, stored_parts_step_t *steps, size_t max);
void stored_parts_put(
    stored_parts_t *stored, const quarantine_record_t *record, bool mine);
void stored_parts_drop(stored_parts_t *stored, uint64_t part);
void stored_parts_forget_others(stored_parts_t *stored);

#endif
