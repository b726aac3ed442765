/*
 * Keeps the parts of prompts that are held back, or may soon be, in the store.
 * When all hosts end, their memory of the parts ends with them; each host reads
 * the parts before it is ready.
 *
 * A part has one record, under its number: the evidence and the trials, with
 * the time by the writer's wall clock. Times between hosts are ages else, but
 * here the writer may be gone.
 */
#include "quarantine_store.h"

#include <stdio.h>
#include <stdlib.h>

#include "clock.h"
#include "logger.h"
#include "quarantine_wire.h"
#include "result.h"
#include "stored_parts.h"

#define CALL_TIMEOUT_S 1.0
#define RETRY_DELAY_S  0.5
/*
 * A host that can't read the parts is ready after this time all the same; what
 * others hold back reaches it through them.
 */
#define LOAD_PATIENCE_S 3.0
/* Collects the changes of one moment. */
#define WRITE_DELAY_S 0.02
/* Interval at which hosts take the place of writers that have ended. */
#define REVIEW_INTERVAL_S 5.0
#define MAX_STEPS	  16 /* of one append */
#define KEY_SIZE	  17 /* a part's number in hex */

/* A step that is being carried out. */
typedef struct sent_step_t {
	quarantine_record_t record;
	bool removed;
} sent_step_t;

struct quarantine_store_t {
	quarantine_store_params_t params;
	stored_parts_t stored;
	bool loaded;
	double started_at;
	store_call_t *load_call;
	store_call_t *append_call;
	sent_step_t sent[MAX_STEPS];
	size_t sent_count;
	ev_timer load_timer;  /* retries the load, or ends its patience */
	ev_timer write_timer; /* after a change */
	ev_timer review_timer;
};

static void load_next(quarantine_store_t *qs, str_t after);

static void
start_timer(const quarantine_store_t *qs, ev_timer *timer, double seconds)
{
	if (ev_is_active(timer))
		return;
	ev_timer_set(timer, seconds, 0);
	ev_timer_start(qs->params.loop, timer);
}

/* Returns whether the host may be ready: it has the parts, or has waited. */
bool
quarantine_store_is_settled(const quarantine_store_t *qs)
{
	return (qs->loaded ||
		clock_monotonic() >= qs->started_at + LOAD_PATIENCE_S);
}

static void
load_record(quarantine_store_t *qs, const store_record_t *stored)
{
	quarantine_record_t record;

	if (!quarantine_read_stored(
		stored->value, clock_monotonic(), clock_wall(), &record)) {
		LOG_WARN("stored_part_unreadable", "key=" STR_FMT,
		    STR_ARG(stored->key));
		return;
	}
	LOG_INFO("part_loaded", "part=%llx trials=%u held_s=%.1f",
	    (unsigned long long)record.part, record.trials,
	    clock_monotonic() - record.held_since);
	quarantine_net_merge(qs->params.net, &record);
	stored_parts_put(&qs->stored, &record, false);
}

static void
on_loaded_page(void *ctx, const store_read_t *read)
{
	quarantine_store_t *qs = ctx;

	qs->load_call = NULL;
	if (read->rc != 0) {
		LOG_INFO(
		    "stored_parts_not_read", "cause=%s", result_name(read->rc));
		start_timer(qs, &qs->load_timer, RETRY_DELAY_S);
		return;
	}
	for (size_t i = 0; i < read->count; i++)
		load_record(qs, &read->records[i]);
	if (read->more && read->count > 0) {
		load_next(qs, read->records[read->count - 1].key);
		return;
	}
	qs->loaded = true;
	ev_timer_stop(qs->params.loop, &qs->load_timer);
	start_timer(qs, &qs->review_timer, REVIEW_INTERVAL_S);
	qs->params.on_settled(qs->params.ctx);
}

/* Reads the parts behind a key. */
static void
load_next(quarantine_store_t *qs, str_t after)
{
	store_t *store = qs->params.store;

	qs->load_call =
	    store->class->newest(store, &(store_query_t){
					    .topic = qs->params.topic,
					    .after = after,
					    .timeout = CALL_TIMEOUT_S,
					    .on_done = on_loaded_page,
					    .ctx = qs,
					});
}

static void
on_load_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	quarantine_store_t *qs = timer->data;

	(void)loop;
	(void)events;
	if (quarantine_store_is_settled(qs))
		qs->params.on_settled(qs->params.ctx);
	load_next(qs, (str_t){0});
}

static void
on_appended(void *ctx, int rc, uint64_t end)
{
	quarantine_store_t *qs = ctx;

	(void)end;
	qs->append_call = NULL;
	if (rc != 0) {
		LOG_INFO("parts_not_stored", "cause=%s", result_name(rc));
		start_timer(qs, &qs->write_timer, RETRY_DELAY_S);
		return;
	}
	for (size_t i = 0; i < qs->sent_count; i++) {
		const sent_step_t *step = &qs->sent[i];

		if (step->removed)
			stored_parts_drop(&qs->stored, step->record.part);
		else
			stored_parts_put(&qs->stored, &step->record, true);
	}
	/* More may have changed meanwhile. */
	start_timer(qs, &qs->write_timer, WRITE_DELAY_S);
}

/* Carries out the steps of a plan in one append. */
static void
append_steps(
    quarantine_store_t *qs, const stored_parts_step_t *steps, size_t count)
{
	store_t *store = qs->params.store;
	store_record_t records[MAX_STEPS];
	char keys[MAX_STEPS][KEY_SIZE];
	buf_t values[MAX_STEPS] = {{0}};

	for (size_t i = 0; i < count; i++) {
		bool removed = steps[i].record == NULL;

		snprintf(keys[i], KEY_SIZE, "%016llx",
		    (unsigned long long)steps[i].part);
		qs->sent[i] = (sent_step_t){.removed = removed};
		if (removed) {
			qs->sent[i].record.part = steps[i].part;
		} else {
			qs->sent[i].record = *steps[i].record;
			quarantine_pack_stored(&values[i], steps[i].record,
			    clock_monotonic(), clock_wall());
		}
		records[i] = (store_record_t){
		    .key = str_of(keys[i]),
		    .value = str_buf(&values[i]),
		    .removed = removed,
		};
		LOG_INFO(removed ? "part_removed" : "part_stored",
		    "part=%s trials=%u", keys[i], qs->sent[i].record.trials);
	}
	qs->sent_count = count;
	qs->append_call =
	    store->class->append(store, &(store_append_t){
					    .topic = qs->params.topic,
					    .records = records,
					    .count = count,
					    .expected_end = STORE_ANY_END,
					    .timeout = CALL_TIMEOUT_S,
					    .on_done = on_appended,
					    .ctx = qs,
					});
	for (size_t i = 0; i < count; i++)
		buf_free(&values[i]);
}

static void
on_write_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	quarantine_store_t *qs = timer->data;
	const quarantine_record_t *suspects[STORED_PARTS_MAX];
	stored_parts_step_t steps[MAX_STEPS];
	stored_parts_view_t view = {
	    .host = qs->params.host, .suspects = suspects};
	size_t count;

	(void)loop;
	(void)events;
	if (qs->append_call != NULL || !qs->loaded)
		return;
	view.suspect_count =
	    quarantine_net_suspects(qs->params.net, suspects, STORED_PARTS_MAX);
	if (view.suspect_count == 0 && qs->stored.count == 0)
		return;
	view.member_count = qs->params.members(qs->params.ctx, &view.members);
	count = stored_parts_plan(&qs->stored, &view, steps, MAX_STEPS);
	if (count > 0)
		append_steps(qs, steps, count);
}

static void
on_review_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	quarantine_store_t *qs = timer->data;

	(void)loop;
	(void)events;
	stored_parts_forget_others(&qs->stored);
	start_timer(qs, &qs->write_timer, WRITE_DELAY_S);
	start_timer(qs, &qs->review_timer, REVIEW_INTERVAL_S);
}

/* Tells that the evidence has changed; what is new is written soon. */
void
quarantine_store_changed(quarantine_store_t *qs)
{
	const quarantine_record_t *suspect;

	if (qs->stored.count > 0 ||
	    quarantine_net_suspects(qs->params.net, &suspect, 1) > 0)
		start_timer(qs, &qs->write_timer, WRITE_DELAY_S);
}

/* Reads the stored parts, then keeps them as this host knows them. */
quarantine_store_t *
quarantine_store_new(const quarantine_store_params_t *params)
{
	quarantine_store_t *qs = xcalloc(1, sizeof(*qs));

	qs->params = *params;
	qs->started_at = clock_monotonic();
	ev_timer_init(&qs->load_timer, on_load_timer, 0, 0);
	ev_timer_init(&qs->write_timer, on_write_timer, 0, 0);
	ev_timer_init(&qs->review_timer, on_review_timer, 0, 0);
	qs->load_timer.data = qs;
	qs->write_timer.data = qs;
	qs->review_timer.data = qs;
	load_next(qs, (str_t){0});
	return (qs);
}

void
quarantine_store_delete(quarantine_store_t *qs)
{
	store_t *store = qs->params.store;

	if (qs->load_call != NULL)
		store->class->cancel(store, qs->load_call);
	if (qs->append_call != NULL)
		store->class->cancel(store, qs->append_call);
	ev_timer_stop(qs->params.loop, &qs->load_timer);
	ev_timer_stop(qs->params.loop, &qs->write_timer);
	ev_timer_stop(qs->params.loop, &qs->review_timer);
	free(qs);
}
