/* A store in memory with faults on request, on the loop of a test. */
#include "harness_store.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "clock.h"
#include "result.h"

#define ANSWER_S    0.001
#define MAX_RECORDS 4096
/* Rows in one page of the newest records, few so that tests see pages. */
#define PAGE 3

typedef struct row_t {
	char *key;
	char *value; /* NULL: removed */
	size_t len;
} row_t;

typedef struct log_t {
	char topic[64];
	unsigned partition;
	row_t rows[MAX_RECORDS];
	size_t count;
	size_t first;
	LIST_ENTRY(log_t) entry;
} log_t;

struct store_call_t {
	harness_store_t *store;
	log_t *log;
	store_append_cb_t on_append;
	store_read_cb_t on_read;
	void *ctx;
	bool newest;
	bool silent;
	uint64_t from;
	char after[256];
	int rc;
	uint64_t end;
	double until;
	ev_timer timer;
	LIST_ENTRY(store_call_t) entry;
};

/* An append that takes effect after its caller gave up. */
typedef struct late_append_t {
	harness_store_t *store;
	log_t *log;
	uint64_t at;
	row_t rows[64];
	size_t count;
	ev_timer timer;
	LIST_ENTRY(late_append_t) entry;
} late_append_t;

struct harness_store_t {
	store_t store;
	struct ev_loop *loop;
	harness_store_faults_t faults;
	unsigned appends;
	LIST_HEAD(, log_t) logs;
	LIST_HEAD(, store_call_t) calls;
	LIST_HEAD(, late_append_t) lates;
};

static log_t *
log_get(harness_store_t *store, const char *topic, unsigned partition)
{
	log_t *log;

	LIST_FOREACH (log, &store->logs, entry)
		if (strcmp(log->topic, topic) == 0 &&
		    log->partition == partition)
			return (log);
	log = xcalloc(1, sizeof(*log));
	str_copy(log->topic, sizeof(log->topic), str_of(topic));
	log->partition = partition;
	LIST_INSERT_HEAD(&store->logs, log, entry);
	return (log);
}

static row_t
row_of(const store_record_t *record)
{
	row_t row = {.key = str_dup(record->key)};

	if (!record->removed) {
		row.value = str_dup(record->value);
		row.len = record->value.len;
	}
	return (row);
}

static void
log_add(log_t *log, row_t row)
{
	if (log->count < MAX_RECORDS)
		log->rows[log->count++] = row;
}

static void
call_free(store_call_t *call)
{
	ev_timer_stop(call->store->loop, &call->timer);
	LIST_REMOVE(call, entry);
	free(call);
}

static store_record_t
record_of(const log_t *log, size_t offset)
{
	const row_t *row = &log->rows[offset];

	return ((store_record_t){
	    .key = str_of(row->key),
	    .value = {row->value, row->len},
	    .removed = row->value == NULL,
	    .offset = offset,
	});
}

static bool
is_newest(const log_t *log, size_t offset)
{
	for (size_t i = offset + 1; i < log->count; i++)
		if (strcmp(log->rows[i].key, log->rows[offset].key) == 0)
			return (false);
	return (log->rows[offset].value != NULL);
}

static int
compare_records(const void *a, const void *b)
{
	return (str_compare(((const store_record_t *)a)->key,
	    ((const store_record_t *)b)->key));
}

static void
answer_newest(store_call_t *call, store_read_t *read, store_record_t *records)
{
	const log_t *log = call->log;

	for (size_t i = 0; i < log->count; i++)
		if (is_newest(log, i) &&
		    strcmp(log->rows[i].key, call->after) > 0)
			records[read->count++] = record_of(log, i);
	qsort(records, read->count, sizeof(*records), compare_records);
	read->more = read->count > PAGE;
	if (read->more)
		read->count = PAGE;
}

static void
answer_read(store_call_t *call, store_read_t *read, store_record_t *records)
{
	const log_t *log = call->log;

	if (call->from < log->first) {
		read->rc = -RESULT_LOG_EXPIRED;
		return;
	}
	for (size_t i = call->from; i < log->count; i++)
		records[read->count++] = record_of(log, i);
}

static void
on_answer(struct ev_loop *loop, ev_timer *timer, int events)
{
	store_call_t *call = timer->data;
	store_append_cb_t on_append = call->on_append;
	store_read_cb_t on_read = call->on_read;
	void *ctx = call->ctx;
	int rc = call->rc;
	uint64_t end = call->end;
	store_record_t *records;
	store_read_t read = {.rc = rc, .end = call->log->count};

	(void)events;
	if (on_append != NULL) {
		call_free(call);
		on_append(ctx, rc, end);
		return;
	}
	if (rc == 0 && !call->newest && call->from >= call->log->count &&
	    call->from >= call->log->first && clock_monotonic() < call->until) {
		ev_timer_set(timer, ANSWER_S, 0);
		ev_timer_start(loop, timer);
		return;
	}
	records = xcalloc(MAX_RECORDS, sizeof(*records));
	if (rc == 0 && call->newest)
		answer_newest(call, &read, records);
	else if (rc == 0)
		answer_read(call, &read, records);
	read.records = records;
	call_free(call);
	on_read(ctx, &read);
	free(records);
}

static store_call_t *
call_new(store_t *base, const char *topic, unsigned partition, double timeout,
    void *ctx)
{
	harness_store_t *store = (harness_store_t *)base;
	store_call_t *call = xcalloc(1, sizeof(*call));

	call->store = store;
	call->log = log_get(store, topic, partition);
	call->ctx = ctx;
	if (store->faults.outage || store->faults.silent)
		call->rc = -RESULT_LOG_UNAVAILABLE;
	ev_timer_init(&call->timer, on_answer,
	    store->faults.silent ? timeout : ANSWER_S, 0);
	call->timer.data = call;
	ev_timer_start(store->loop, &call->timer);
	LIST_INSERT_HEAD(&store->calls, call, entry);
	return (call);
}

static void
late_free(late_append_t *late)
{
	ev_timer_stop(late->store->loop, &late->timer);
	for (size_t i = 0; i < late->count; i++) {
		free(late->rows[i].key);
		free(late->rows[i].value);
	}
	LIST_REMOVE(late, entry);
	free(late);
}

static void
on_late(struct ev_loop *loop, ev_timer *timer, int events)
{
	late_append_t *late = timer->data;

	(void)loop;
	(void)events;
	if (late->at == STORE_ANY_END || late->at == late->log->count) {
		for (size_t i = 0; i < late->count; i++)
			log_add(late->log, late->rows[i]);
		late->count = 0;
	}
	late_free(late);
}

static void
append_late(harness_store_t *store, log_t *log, const store_append_t *params)
{
	late_append_t *late = xcalloc(1, sizeof(*late));

	late->store = store;
	late->log = log;
	late->at = params->expected_end;
	for (size_t i = 0; i < params->count && i < 64; i++)
		late->rows[late->count++] = row_of(&params->records[i]);
	ev_timer_init(&late->timer, on_late, store->faults.late, 0);
	late->timer.data = late;
	ev_timer_start(store->loop, &late->timer);
	LIST_INSERT_HEAD(&store->lates, late, entry);
}

static store_call_t *
store_append(store_t *base, const store_append_t *params)
{
	harness_store_t *store = (harness_store_t *)base;
	store_call_t *call = call_new(base, params->topic, params->partition,
	    params->timeout, params->ctx);
	log_t *log = call->log;

	store->appends++;
	call->on_append = params->on_done;
	call->end = log->count;
	if (call->rc != 0) {
		if (store->faults.silent)
			call->rc = -RESULT_LOG_UNCERTAIN;
		return (call);
	}
	if (store->faults.refuse > 0) {
		store->faults.refuse--;
		call->rc = -RESULT_LOG_UNAVAILABLE;
		return (call);
	}
	if (params->expected_end != STORE_ANY_END &&
	    params->expected_end != log->count) {
		call->rc = -RESULT_CONFLICT;
		return (call);
	}
	if (store->faults.lose > 0) {
		store->faults.lose--;
		call->rc = -RESULT_LOG_UNCERTAIN;
		ev_timer_stop(store->loop, &call->timer);
		ev_timer_set(&call->timer, params->timeout, 0);
		ev_timer_start(store->loop, &call->timer);
		if (store->faults.late > 0) {
			append_late(store, log, params);
			return (call);
		}
	}
	for (size_t i = 0; i < params->count; i++)
		log_add(log, row_of(&params->records[i]));
	call->end = log->count;
	return (call);
}

static store_call_t *
store_read(store_t *base, const store_query_t *params)
{
	store_call_t *call = call_new(base, params->topic, params->partition,
	    params->timeout, params->ctx);

	call->on_read = params->on_done;
	call->from = params->from;
	call->until = clock_monotonic() + params->wait;
	return (call);
}

static store_call_t *
store_newest(store_t *base, const store_query_t *params)
{
	store_call_t *call = call_new(base, params->topic, params->partition,
	    params->timeout, params->ctx);

	call->on_read = params->on_done;
	call->newest = true;
	str_copy(call->after, sizeof(call->after),
	    params->after.len > 0 ? params->after : str_of(""));
	return (call);
}

static void
store_cancel(store_t *base, store_call_t *call)
{
	(void)base;
	call_free(call);
}

static const store_class_t harness_store_class = {
    .append = store_append,
    .read = store_read,
    .newest = store_newest,
    .cancel = store_cancel,
};

/* Makes an empty store. */
harness_store_t *
harness_store_new(struct ev_loop *loop)
{
	harness_store_t *store = xcalloc(1, sizeof(*store));

	store->store.class = &harness_store_class;
	store->loop = loop;
	LIST_INIT(&store->logs);
	LIST_INIT(&store->calls);
	LIST_INIT(&store->lates);
	return (store);
}

/* Frees the store; open calls are dropped. */
void
harness_store_delete(harness_store_t *store)
{
	log_t *log;

	while (!LIST_EMPTY(&store->calls))
		call_free(LIST_FIRST(&store->calls));
	while (!LIST_EMPTY(&store->lates))
		late_free(LIST_FIRST(&store->lates));
	while ((log = LIST_FIRST(&store->logs)) != NULL) {
		for (size_t i = 0; i < log->count; i++) {
			free(log->rows[i].key);
			free(log->rows[i].value);
		}
		LIST_REMOVE(log, entry);
		free(log);
	}
	free(store);
}

/* Returns the interface that the program uses. */
store_t *
harness_store_client(harness_store_t *store)
{
	return (&store->store);
}

/* Returns the faults, which the test may change at any time. */
harness_store_faults_t *
harness_store_faults(harness_store_t *store)
{
	return (&store->faults);
}

/* Adds a record; a NULL value removes the key. */
void
harness_store_put(harness_store_t *store, const char *topic, unsigned partition,
    const char *key, const char *value)
{
	row_t row = {
	    .key = xstrdup(key),
	    .value = value != NULL ? xstrdup(value) : NULL,
	    .len = value != NULL ? strlen(value) : 0,
	};

	log_add(log_get(store, topic, partition), row);
}

/* Forgets the history: only the newest record of each key can be had. */
void
harness_store_expire(
    harness_store_t *store, const char *topic, unsigned partition)
{
	log_t *log = log_get(store, topic, partition);

	log->first = log->count;
}

/* Counts the keys that begin with a prefix and have a value. */
size_t
harness_store_count(harness_store_t *store, const char *topic,
    unsigned partition, const char *prefix)
{
	const log_t *log = log_get(store, topic, partition);
	size_t count = 0;

	for (size_t i = 0; i < log->count; i++)
		count += is_newest(log, i) &&
			 strncmp(log->rows[i].key, prefix, strlen(prefix)) == 0;
	return (count);
}

/* Returns the offset after the newest record. */
uint64_t
harness_store_end(harness_store_t *store, const char *topic, unsigned partition)
{
	return (log_get(store, topic, partition)->count);
}

/* Returns how many appends were asked for. */
unsigned
harness_store_appends(const harness_store_t *store)
{
	return (store->appends);
}

static void
on_step(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ONE);
}

/* Runs the loop until the condition holds; false after the time is over. */
bool
harness_loop_until(struct ev_loop *loop, bool (*condition)(void *ctx),
    void *ctx, double seconds)
{
	double end = clock_monotonic() + seconds;
	ev_timer step;

	while (!condition(ctx)) {
		if (clock_monotonic() > end)
			return (false);
		ev_timer_init(&step, on_step, 0.005, 0);
		ev_timer_start(loop, &step);
		ev_run(loop, 0);
		ev_timer_stop(loop, &step);
	}
	return (true);
}

/* Runs the loop for a time. */
void
harness_loop_for(struct ev_loop *loop, double seconds)
{
	ev_timer timer;

	ev_timer_init(&timer, on_step, seconds, 0);
	ev_timer_start(loop, &timer);
	ev_run(loop, 0);
	ev_timer_stop(loop, &timer);
}
