/* Writes the audit trail to the stream "audit" and reads it back. */
#include "audit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "clock.h"
#include "counter.h"
#include "result.h"

#define AUDIT_STREAM "audit"
#define MIN_PERIOD   2.0
/* All hosts together make at most this many appends a second. */
#define APPENDS_PER_S 50.0
/* What waits for the log is bounded by both, whichever is reached first. */
#define MAX_WAITING	  1000
#define MAX_WAITING_BYTES (512U << 10)
/* Batches that a query reads, from the end of the stream backwards. */
#define QUERY_BATCHES 4000
#define READ_MAX      64
#define MAX_ENTRIES   1000

typedef struct query_t query_t;

/* An operation of the log client, which cannot be cancelled. */
typedef struct audit_op_t {
	audit_t *audit; /* NULL after it was deleted */
	query_t *query;
	LIST_ENTRY(audit_op_t) entry;
} audit_op_t;

struct audit_t {
	audit_params_t params;
	ev_timer timer;
	uint64_t writer;
	uint64_t seq;
	buf_t waiting; /* encoded entries of the next batch */
	size_t waiting_count;
	uint64_t dropped; /* entries since the last batch was sealed */
	buf_t batch;	  /* is being appended; empty: none */
	size_t batch_count;
	bool in_flight;
	LIST_HEAD(, audit_op_t) ops;
	LIST_HEAD(, query_t) queries;
	counter_t *appends;
	counter_t *entries;
	counter_t *drops;
};

/* An entry with memory of its own. */
typedef struct kept_t {
	audit_entry_t entry;
	char *bytes;
} kept_t;

struct query_t {
	audit_t *audit;
	audit_filter_t filter;
	char *subject;
	char *request_id;
	size_t max;
	bool placed;
	uint64_t next;
	struct {
		uint64_t writer;
		uint64_t seq;
	} seen[QUERY_BATCHES];
	size_t seen_count;
	kept_t *kept;
	size_t count;
	audit_query_cb_t on_done;
	void *ctx;
	LIST_ENTRY(query_t) entry;
};

static void query_read(query_t *query);

/*
 * Returns the seconds between two appends of a host. With many hosts it grows,
 * so that the trail takes a bounded part of the log service's appends.
 */
double
audit_period(size_t hosts, double min_period)
{
	double period = (double)hosts / APPENDS_PER_S;

	return (period > min_period ? period : min_period);
}

static audit_op_t *
op_new(audit_t *audit, query_t *query)
{
	audit_op_t *op = xcalloc(1, sizeof(*op));

	op->audit = audit;
	op->query = query;
	LIST_INSERT_HEAD(&audit->ops, op, entry);
	return (op);
}

static audit_t *
op_end(audit_op_t *op)
{
	audit_t *audit = op->audit;

	if (audit != NULL)
		LIST_REMOVE(op, entry);
	free(op);
	return (audit);
}

static void
on_appended(void *ctx, int rc, uint64_t offset)
{
	audit_t *audit = op_end(ctx);

	(void)offset;
	if (audit == NULL)
		return;
	audit->in_flight = false;
	/* Without a definite answer the same batch is appended again. */
	if (rc != 0)
		return;
	counter_add(audit->entries, audit->batch_count);
	buf_free(&audit->batch);
	audit->batch_count = 0;
}

static void
encode(audit_t *audit, const audit_entry_t *entry)
{
	audit_entry_encode(entry, &audit->waiting);
	audit->waiting_count++;
}

/* Makes the waiting entries the next batch. */
static void
seal(audit_t *audit)
{
	char detail[64];

	if (audit->dropped > 0) {
		snprintf(detail, sizeof(detail), "%llu entries were dropped",
		    (unsigned long long)audit->dropped);
		encode(audit,
		    &(audit_entry_t){
			.time = clock_wall(),
			.host = str_of(
			    membership_self(audit->params.membership)->name),
			.action = STR("audit_dropped"),
			.detail = str_of(detail),
		    });
		audit->dropped = 0;
	}
	audit_batch_encode(audit->writer, ++audit->seq,
	    str_buf(&audit->waiting), audit->waiting_count, &audit->batch);
	audit->batch_count = audit->waiting_count;
	buf_clear(&audit->waiting);
	audit->waiting_count = 0;
}

static void
flush(audit_t *audit)
{
	if (audit->in_flight)
		return;
	if (audit->batch_count == 0 && audit->waiting_count > 0)
		seal(audit);
	if (audit->batch_count == 0)
		return;
	audit->in_flight = true;
	counter_add(audit->appends, 1);
	logclient_append(audit->params.log, STR(AUDIT_STREAM),
	    str_buf(&audit->batch), on_appended, op_new(audit, NULL));
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	audit_t *audit = timer->data;

	(void)events;
	flush(audit);
	timer->repeat =
	    audit_period(membership_living(audit->params.membership),
		audit->params.min_period);
	ev_timer_again(loop, timer);
}

/* Starts to write the trail. */
audit_t *
audit_new(const audit_params_t *params)
{
	audit_t *audit = xcalloc(1, sizeof(*audit));

	audit->params = *params;
	if (audit->params.min_period <= 0)
		audit->params.min_period = MIN_PERIOD;
	audit->writer = random_u64();
	audit->appends = counter_get("daisypier_audit_appends_total",
	    "Batches of the audit trail that were sent");
	audit->entries = counter_get("daisypier_audit_entries_total",
	    "Entries of the audit trail that were recorded");
	audit->drops = counter_get("daisypier_audit_dropped_total",
	    "Entries of the audit trail that were dropped");
	ev_timer_init(&audit->timer, on_timer, audit->params.min_period,
	    audit->params.min_period);
	audit->timer.data = audit;
	ev_timer_start(params->loop, &audit->timer);
	return (audit);
}

static void
query_delete(query_t *query)
{
	LIST_REMOVE(query, entry);
	for (size_t i = 0; i < query->count; i++)
		free(query->kept[i].bytes);
	free(query->kept);
	free(query->subject);
	free(query->request_id);
	free(query);
}

/* Adds an entry; its time and host are set when they are empty. */
void
audit_write(audit_t *audit, const audit_entry_t *entry)
{
	audit_entry_t copy = *entry;

	if (audit->waiting_count >= MAX_WAITING ||
	    audit->waiting.len >= MAX_WAITING_BYTES) {
		audit->dropped++;
		counter_add(audit->drops, 1);
		return;
	}
	if (copy.time <= 0)
		copy.time = clock_wall();
	if (copy.host.len == 0)
		copy.host =
		    str_of(membership_self(audit->params.membership)->name);
	encode(audit, &copy);
}

static str_t
keep_str(char **at, str_t s)
{
	str_t kept = {*at, s.len};

	if (s.len > 0)
		memcpy(*at, s.data, s.len);
	*at += s.len;
	return (kept);
}

/* Keeps a copy of a matching entry; the oldest makes room. */
static void
on_entry(void *ctx, const audit_entry_t *entry)
{
	query_t *query = ctx;
	kept_t *kept;
	char *at;

	if (!audit_filter_match(&query->filter, entry))
		return;
	if (query->count == query->max) {
		free(query->kept[0].bytes);
		memmove(query->kept, query->kept + 1,
		    (query->count - 1) * sizeof(query->kept[0]));
		query->count--;
	}
	kept = &query->kept[query->count++];
	kept->entry = *entry;
	kept->bytes =
	    xmalloc(entry->host.len + entry->actor.len + entry->action.len +
		    entry->subject.len + entry->outcome.len +
		    entry->detail.len + entry->request_id.len);
	at = kept->bytes;
	kept->entry.host = keep_str(&at, entry->host);
	kept->entry.actor = keep_str(&at, entry->actor);
	kept->entry.action = keep_str(&at, entry->action);
	kept->entry.subject = keep_str(&at, entry->subject);
	kept->entry.outcome = keep_str(&at, entry->outcome);
	kept->entry.detail = keep_str(&at, entry->detail);
	kept->entry.request_id = keep_str(&at, entry->request_id);
}

static void
query_finish(query_t *query, int rc)
{
	audit_entry_t *entries = xcalloc(query->count, sizeof(entries[0]));

	for (size_t i = 0; i < query->count; i++)
		entries[i] = query->kept[i].entry;
	query->on_done(query->ctx, rc, entries, query->count);
	free(entries);
	query_delete(query);
}

/* Sends what waits and stops; open queries end with -RESULT_STOPPING. */
void
audit_delete(audit_t *audit)
{
	audit_op_t *op;

	flush(audit);
	ev_timer_stop(audit->params.loop, &audit->timer);
	while ((op = LIST_FIRST(&audit->ops)) != NULL) {
		LIST_REMOVE(op, entry);
		op->audit = NULL;
	}
	while (!LIST_EMPTY(&audit->queries))
		query_finish(LIST_FIRST(&audit->queries), -RESULT_STOPPING);
	buf_free(&audit->waiting);
	buf_free(&audit->batch);
	free(audit);
}

/* Returns whether a batch was read before, appended twice. */
static bool
query_seen(query_t *query, uint64_t writer, uint64_t seq)
{
	for (size_t i = 0; i < query->seen_count; i++)
		if (query->seen[i].writer == writer &&
		    query->seen[i].seq == seq)
			return (true);
	if (query->seen_count < QUERY_BATCHES) {
		query->seen[query->seen_count].writer = writer;
		query->seen[query->seen_count++].seq = seq;
	}
	return (false);
}

static void
query_take(query_t *query, const log_read_t *read)
{
	for (size_t i = 0; i < read->count; i++) {
		const log_record_t *record = &read->records[i];
		uint64_t writer;
		uint64_t seq;

		query->next = record->offset + 1;
		if (audit_batch_decode(
			record->data, &writer, &seq, NULL, NULL) != 0 ||
		    query_seen(query, writer, seq))
			continue;
		audit_batch_decode(
		    record->data, &writer, &seq, on_entry, query);
	}
}

static void
on_read(void *ctx, const log_read_t *read)
{
	audit_op_t *op = ctx;
	query_t *query = op->query;

	if (op_end(op) == NULL)
		return;
	if (read->rc != 0) {
		query_finish(query, read->rc);
		return;
	}
	if (!query->placed) {
		query->placed = true;
		query->next =
		    read->next > QUERY_BATCHES ? read->next - QUERY_BATCHES : 1;
		if (query->next < read->first)
			query->next = read->first;
	} else {
		query_take(query, read);
	}
	/* Records may expire between two reads. */
	if (query->next < read->first)
		query->next = read->first;
	if (query->next >= read->next)
		query_finish(query, 0);
	else
		query_read(query);
}

static void
query_read(query_t *query)
{
	audit_t *audit = query->audit;

	logclient_read(audit->params.log, STR(AUDIT_STREAM),
	    query->placed ? query->next : 1, query->placed ? READ_MAX : 1,
	    on_read, op_new(audit, query));
}

/*
 * Reads the newest entries that match, at most max, as the log has them;
 * on_done is called exactly once, later.
 */
void
audit_query(audit_t *audit, const audit_filter_t *filter, size_t max,
    audit_query_cb_t on_done, void *ctx)
{
	query_t *query = xcalloc(1, sizeof(*query));

	query->audit = audit;
	query->subject = str_dup(filter->subject);
	query->request_id = str_dup(filter->request_id);
	query->filter = *filter;
	query->filter.subject = str_of(query->subject);
	query->filter.request_id = str_of(query->request_id);
	query->max = max > 0 && max < MAX_ENTRIES ? max : MAX_ENTRIES;
	query->kept = xcalloc(query->max, sizeof(query->kept[0]));
	query->on_done = on_done;
	query->ctx = ctx;
	LIST_INSERT_HEAD(&audit->queries, query, entry);
	query_read(query);
}
