/* Load pattern and replay of the parts that hosts keep in the store. */
#include "suite.h"

#include <stdio.h>
#include <string.h>

#include "quarantine_wire.h"
#include "stored_parts.h"

#define HOSTS 100
#define PARTS 3
#define STEPS 16

/* Hosts that all know the same parts, and what the store has of them. */
typedef struct replay_t {
	member_t members[HOSTS];
	stored_parts_t hosts[HOSTS];
	bool ended[HOSTS];
	quarantine_record_t records[PARTS];
	bool in_store[PARTS];
	unsigned writes; /* of parts, by all hosts */
	unsigned removals;
} replay_t;

static void
replay_start(replay_t *r)
{
	*r = (replay_t){0};
	for (unsigned i = 0; i < HOSTS; i++) {
		snprintf(r->members[i].name, sizeof(r->members[i].name),
		    "host-%u", i);
		r->members[i].state = MEMBER_ALIVE;
		r->members[i].ready = true;
	}
	for (unsigned i = 0; i < PARTS; i++) {
		r->records[i].part = 0x1000 + i;
		r->records[i].held_since = 100;
		r->records[i].crash_count = 4;
	}
}

/* Each living host plans and carries out its steps; count parts are suspect. */
static void
replay_step(replay_t *r, size_t count)
{
	const quarantine_record_t *suspects[PARTS];
	stored_parts_step_t steps[STEPS];

	for (size_t i = 0; i < count; i++)
		suspects[i] = &r->records[i];
	for (unsigned host = 0; host < HOSTS; host++) {
		size_t step_count;

		if (r->ended[host])
			continue;
		step_count = stored_parts_plan(&r->hosts[host],
		    &(stored_parts_view_t){
			.host = r->members[host].name,
			.members = r->members,
			.member_count = HOSTS,
			.suspects = suspects,
			.suspect_count = count,
		    },
		    steps, STEPS);
		for (size_t i = 0; i < step_count; i++) {
			bool removed = steps[i].record == NULL;

			r->in_store[steps[i].part - 0x1000] = !removed;
			r->writes += !removed;
			r->removals += removed;
			if (removed)
				stored_parts_drop(
				    &r->hosts[host], steps[i].part);
			else
				stored_parts_put(
				    &r->hosts[host], steps[i].record, true);
		}
	}
}

/*
 * Guards against a write of each host for each part and each crash, and against
 * parts that stay in the store when an answer has released them.
 */
static void
test_few_hosts_write(void)
{
	static replay_t r;

	replay_start(&r);
	replay_step(&r, PARTS);
	CU_ASSERT(r.writes == STORED_PARTS_WRITERS * PARTS);
	CU_ASSERT(r.in_store[0] && r.in_store[1] && r.in_store[2]);
	/* Nothing has changed. */
	replay_step(&r, PARTS);
	CU_ASSERT(r.writes == STORED_PARTS_WRITERS * PARTS);
	r.records[0].trials++;
	r.records[1].crash_count++;
	replay_step(&r, PARTS);
	CU_ASSERT(r.writes == STORED_PARTS_WRITERS * (PARTS + 2));
	replay_step(&r, 1);
	CU_ASSERT(r.removals == STORED_PARTS_WRITERS * (PARTS - 1));
	CU_ASSERT(r.in_store[0] && !r.in_store[1] && !r.in_store[2]);
}

/*
 * Guards against a part that nobody removes because both hosts that have
 * written it have ended.
 */
static void
test_writers_end(void)
{
	static replay_t r;

	replay_start(&r);
	replay_step(&r, 1);
	for (unsigned i = 0; i < HOSTS; i++)
		if (r.hosts[i].count > 0 && r.hosts[i].parts[0].mine) {
			r.ended[i] = true;
			r.members[i].state = MEMBER_DEAD;
		}
	CU_ASSERT(r.writes == STORED_PARTS_WRITERS);
	replay_step(&r, 1);
	CU_ASSERT(r.writes == STORED_PARTS_WRITERS);
	for (unsigned i = 0; i < HOSTS; i++)
		stored_parts_forget_others(&r.hosts[i]);
	replay_step(&r, 1);
	CU_ASSERT(r.writes == 2 * STORED_PARTS_WRITERS);
	replay_step(&r, 0);
	CU_ASSERT(r.removals == STORED_PARTS_WRITERS);
	CU_ASSERT(!r.in_store[0]);
}

/*
 * Guards against more parts than the table takes, and against a part without
 * room that is written again and again.
 */
static void
test_table_is_bounded(void)
{
	const quarantine_record_t fresh = {.part = 4 * STORED_PARTS_MAX};
	const quarantine_record_t *suspects[] = {&fresh};
	const member_t self = {.name = "self", .state = MEMBER_ALIVE};
	const stored_parts_view_t view = {
	    .host = "self",
	    .members = &self,
	    .member_count = 1,
	    .suspects = suspects,
	    .suspect_count = 1,
	};
	stored_parts_step_t steps[STEPS];
	stored_parts_t stored = {0};

	for (unsigned i = 0; i < 2 * STORED_PARTS_MAX; i++)
		stored_parts_put(
		    &stored, &(quarantine_record_t){.part = i}, true);
	CU_ASSERT(stored.count == STORED_PARTS_MAX);
	/* All are to be removed; the fresh one has to wait. */
	CU_ASSERT(stored_parts_plan(&stored, &view, steps, STEPS) == STEPS);
	for (size_t i = 0; i < STEPS; i++)
		CU_ASSERT(steps[i].record == NULL);
	stored_parts_drop(&stored, 0);
	stored_parts_drop(&stored, 2 * STORED_PARTS_MAX);
	CU_ASSERT(stored.count == STORED_PARTS_MAX - 1);
}

/*
 * Guards against times that are lost on the way through the store, whose reader
 * has another clock, and against unreadable records.
 */
static void
test_stored_record(void)
{
	quarantine_record_t record = {
	    .part = 0xdead,
	    .held_since = 90,
	    .trial_at = 95,
	    .trials = 2,
	    .crash_count = 1,
	    .crashes = {{.endpoint = 7, .at = 89.5}},
	};
	quarantine_record_t read;
	buf_t data = {0};

	quarantine_pack_stored(&data, &record, 100, 5000);
	/* Ten seconds later, on a clock that began anew. */
	CU_ASSERT(quarantine_read_stored(str_buf(&data), 50, 5010, &read));
	CU_ASSERT(read.part == 0xdead && read.trials == 2);
	CU_ASSERT_DOUBLE_EQUAL(read.held_since, 30, 0.01);
	CU_ASSERT_DOUBLE_EQUAL(read.trial_at, 35, 0.01);
	CU_ASSERT_DOUBLE_EQUAL(read.crashes[0].at, 29.5, 0.01);
	CU_ASSERT(quarantine_record_is_held(&read));
	/* The writer's wall clock is ahead. */
	CU_ASSERT(quarantine_read_stored(str_buf(&data), 50, 4000, &read));
	CU_ASSERT_DOUBLE_EQUAL(read.held_since, 40, 0.01);
	/* The hold is older than the reader's clock. */
	CU_ASSERT(quarantine_read_stored(str_buf(&data), 3, 5010, &read));
	CU_ASSERT(quarantine_record_is_held(&read));
	for (size_t len = 0; len < data.len; len++)
		CU_ASSERT(!quarantine_read_stored(
		    (str_t){data.data, len}, 50, 5010, &read));
	buf_free(&data);
}

static const suite_test_t tests[] = {
    {"few hosts write", test_few_hosts_write},
    {"writers end", test_writers_end},
    {"table is bounded", test_table_is_bounded},
    {"stored record", test_stored_record},
};

SUITE_MAIN("stored_parts", tests)
