/* Follows the configuration in the log, puts it in force and renews it. */
#include "config_store.h"

#include <stdlib.h>
#include <string.h>

#include "config_store_impl.h"
#include "counter.h"
#include "logger.h"
#include "placement.h"
#include "result.h"

/* Hosts that poll the log: one may die and one may be cut off. */
#define POLLERS 3
/* Records of one read; at full scale one has about 300 KB. */
#define READ_MAX 16
/* A fresh reader scans this many records back from the end at first. */
#define TAIL_RECORDS 512
/* A renewal is due after this many records, so that a tail scan finds one. */
#define RENEW_RECORDS 256
#define RETRY_S	      5.0
/* Poll period while a change waits to be read back, in seconds. */
#define PENDING_PERIOD 0.2
/* Retention while no configuration is in force, in seconds. */
#define DEFAULT_RETENTION 86400

/*
 * A renewal is due at this share of the retention, so that one that fails can
 * be repeated before a third has passed. The other pollers step in later.
 */
static const double renew_share[POLLERS] = {0.25, 0.28, 0.31};

/* Returns the wall clock time in seconds. */
double
config_store_wall(const config_store_t *store)
{
	return (
	    store->params.wall != NULL ? store->params.wall() : clock_wall());
}

/* Registers an operation of the log client. */
config_op_t *
config_op_new(config_store_t *store, config_pending_t *pending)
{
	config_op_t *op = xcalloc(1, sizeof(*op));

	op->store = store;
	op->pending = pending;
	LIST_INSERT_HEAD(&store->ops, op, entry);
	return (op);
}

/* Ends an operation; returns its store, or NULL when that was deleted. */
config_store_t *
config_op_end(config_op_t *op)
{
	config_store_t *store = op->store;

	if (store != NULL)
		LIST_REMOVE(op, entry);
	free(op);
	return (store);
}

/* Puts the newest texts in force; invalid ones leave the old version. */
static void
put_in_force(config_store_t *store)
{
	const config_record_t *record = &store->newest.record;
	str_t overlay =
	    config_texts_overlay(&record->texts, str_of(store->site));
	fleet_config_t *config;
	config_faults_t faults;
	buf_t text = {0};

	if (config_parse(record->texts.base, overlay, &config, &faults) != 0) {
		config_faults_render(&faults, &text);
		LOG_ERROR("config_invalid", "version=%llu faults=%s",
		    (unsigned long long)store->newest_version, text.data);
		buf_free(&text);
		config_faults_free(&faults);
		return;
	}
	config_faults_free(&faults);
	config_unref(store->current);
	store->current = config;
	store->version = store->newest_version;
	LOG_INFO("config_in_force", "version=%llu by=" STR_FMT,
	    (unsigned long long)store->version, STR_ARG(record->author));
	membership_set_config_version(store->params.membership, store->version);
	for (size_t i = 0; i < store->watcher_count; i++)
		store->watchers[i].on_change(store->watchers[i].ctx);
}

/* Keeps the texts of a version when it is higher than all before. */
void
config_store_hold(config_store_t *store, uint64_t version, uint64_t covered,
    const config_record_t *from)
{
	config_record_t record = *from;
	buf_t bytes = {0};
	config_decoded_t decoded;

	/* This is the one place that keeps a host from going back. */
	if (version <= store->newest_version)
		return;
	/* When the last renewal was written is not known from a change. */
	if (record.kind == CONFIG_CHANGE)
		record.written = 0;
	record.kind = CONFIG_RENEW;
	record.version = version;
	record.covered = covered;
	config_record_encode(&record, &bytes);
	if (config_record_decode(&decoded, str_buf(&bytes)) != 0) {
		buf_free(&bytes);
		return;
	}
	if (store->newest_version > 0) {
		config_decoded_free(&store->newest);
		buf_free(&store->newest_bytes);
	}
	store->newest = decoded;
	store->newest_bytes = bytes;
	store->newest_version = version;
	put_in_force(store);
}

/* Describes the state as a RENEW record; the strings belong to the store. */
config_record_t
config_store_renewal(const config_store_t *store)
{
	config_record_t record = {.kind = CONFIG_RENEW};

	if (store->newest_version > 0)
		record = store->newest.record;
	if (store->chain.known && store->chain.version == record.version) {
		record.covered = store->chain.next - 1;
		record.voids = store->chain.voids;
		record.void_count = store->chain.void_count;
		record.written = store->chain.renewed_written;
	}
	return (record);
}

/* Returns this host's rank among the pollers, or POLLERS. */
static size_t
poller_rank(const config_store_t *store)
{
	const member_t *members;
	size_t count = membership_members(store->params.membership, &members);
	const member_t *self = membership_self(store->params.membership);
	const member_t *chosen[POLLERS];
	str_t key = STR(CONFIG_STREAM);
	size_t found = placement_rank(members, count, key, chosen, POLLERS);
	member_t *copies = NULL;
	size_t rank = POLLERS;

	/* Before the first version nobody is ready, and yet hosts must poll. */
	if (found < POLLERS) {
		copies = xmemdup(members, count * sizeof(members[0]));
		for (size_t i = 0; i < count; i++)
			copies[i].ready = true;
		found = placement_rank(copies, count, key, chosen, POLLERS);
	}
	for (size_t i = 0; i < found; i++)
		if (strcmp(chosen[i]->name, self->name) == 0)
			rank = i;
	free(copies);
	return (rank);
}

static void
on_renewed(void *ctx, int rc, uint64_t offset)
{
	config_store_t *store = config_op_end(ctx);

	if (store == NULL)
		return;
	store->renewing = false;
	if (rc != 0)
		return;
	store->renewed = offset;
	store->renew_at = 0;
	config_store_poll(store);
}

/* Repeats the version in effect before its record expires. */
static void
renew(config_store_t *store, size_t rank)
{
	const config_chain_t *chain = &store->chain;
	double retention = store->current != NULL
			       ? store->current->fleet.retention_s
			       : DEFAULT_RETENTION;
	double now = clock_monotonic();
	double wall = config_store_wall(store);
	config_record_t record;
	buf_t bytes = {0};

	if (rank >= POLLERS || store->renewing || now < store->renew_at ||
	    !chain->known || chain->next <= 1 ||
	    chain->next <= store->renewed ||
	    chain->version != store->newest_version ||
	    store->version != store->newest_version)
		return;
	if (wall - chain->renewed_written < retention * renew_share[rank] &&
	    chain->next - chain->renewed_covered < RENEW_RECORDS)
		return;
	record = config_store_renewal(store);
	record.written = wall;
	config_record_encode(&record, &bytes);
	store->renewing = true;
	store->renew_at =
	    now + (retention / 30 < RETRY_S ? retention / 30 : RETRY_S);
	counter_add(store->appends, 1);
	logclient_append(store->params.log, STR(CONFIG_STREAM), str_buf(&bytes),
	    on_renewed, config_op_new(store, NULL));
	buf_free(&bytes);
}

static void
apply_records(config_store_t *store, const log_read_t *read)
{
	for (size_t i = 0; i < read->count; i++) {
		const log_record_t *record = &read->records[i];
		config_decoded_t decoded;

		if (config_record_decode(&decoded, record->data) != 0) {
			config_chain_skip(&store->chain, record->offset);
			continue;
		}
		if (config_chain_apply(&store->chain, record->offset,
			&decoded.record) == CONFIG_EFFECTIVE)
			config_store_hold(store, record->offset, record->offset,
			    &decoded.record);
		config_decoded_free(&decoded);
	}
}

/* Takes the texts of the version that a fresh scan found. */
static void
on_texts(void *ctx, const log_read_t *read)
{
	config_store_t *store = config_op_end(ctx);
	config_chain_t *chain;
	config_decoded_t decoded;

	if (store == NULL)
		return;
	store->reading = false;
	chain = &store->chain;
	if (read->rc != 0 || read->count == 0)
		return;
	if (read->records[0].offset != chain->text_at ||
	    config_record_decode(&decoded, read->records[0].data) != 0) {
		/* It expired meanwhile; a newer renewal must exist. */
		config_chain_restart(chain, 1);
		store->scan_end = 0;
		return;
	}
	config_store_hold(
	    store, chain->version, chain->next - 1, &decoded.record);
	config_decoded_free(&decoded);
	config_store_poll(store);
}

/* Reads the record that holds the texts; returns whether that is needed. */
static bool
read_texts(config_store_t *store)
{
	if (store->chain.version <= store->newest_version)
		return (false);
	store->reading = true;
	counter_add(store->reads, 1);
	logclient_read(store->params.log, STR(CONFIG_STREAM),
	    store->chain.text_at, 1, on_texts, config_op_new(store, NULL));
	return (true);
}

/* Everything up to the end was read. */
static void
end_of_stream(config_store_t *store)
{
	config_chain_t *chain = &store->chain;

	if (!chain->known && !config_chain_resolve(chain)) {
		if (store->tail_scan) {
			config_chain_restart(chain, 1);
			store->scan_end = 0;
			store->full_scan = true;
			config_store_poll(store);
		}
		return;
	}
	store->full_scan = false;
	if (read_texts(store))
		return;
	store->confirmed = true;
	config_pending_step(store, true);
}

/* Where the scan of a fresh reader begins; returns whether it has moved. */
static bool
place_scan(config_store_t *store, const log_read_t *read)
{
	config_chain_t *chain = &store->chain;
	uint64_t from = read->first;

	store->tail_scan = false;
	if (!store->full_scan && read->next > read->first + TAIL_RECORDS) {
		from = read->next - TAIL_RECORDS;
		store->tail_scan = true;
	}
	store->scan_end = read->next;
	if (from <= chain->next)
		return (false);
	config_chain_restart(chain, from);
	return (true);
}

static void
on_read(void *ctx, const log_read_t *read)
{
	config_store_t *store = config_op_end(ctx);
	config_chain_t *chain;

	if (store == NULL)
		return;
	chain = &store->chain;
	store->reading = false;
	if (read->rc != 0) {
		config_pending_read_failed(store);
		return;
	}
	store->log_first = read->first;
	if (!chain->known && store->scan_end == 0 && place_scan(store, read)) {
		config_store_poll(store);
		return;
	}
	if (read->first > chain->next) {
		/* Records expired before they were read. */
		LOG_WARN("config_gap", "next=%llu first=%llu",
		    (unsigned long long)chain->next,
		    (unsigned long long)read->first);
		config_chain_restart(chain, read->first);
		store->scan_end = 0;
		config_store_poll(store);
		return;
	}
	apply_records(store, read);
	if (chain->next >= read->next)
		end_of_stream(store);
	else if (read->count > 0)
		config_store_poll(store);
}

/*
 * Skips what the newest texts cover, unless a change or a history needs these
 * records or records after them have expired.
 */
static void
adopt_newest(config_store_t *store)
{
	const config_record_t *newest = &store->newest.record;
	config_chain_t *chain = &store->chain;

	if (store->newest_version == 0 || store->full_scan ||
	    config_pending_contiguous(store))
		return;
	if (chain->known ? newest->covered < chain->next
			 : newest->covered + 1 < store->log_first)
		return;
	config_chain_adopt(chain, newest);
	store->scan_end = 0;
}

/* Reads on from where the chain ends, unless a read is in progress. */
void
config_store_poll(config_store_t *store)
{
	config_chain_t *chain = &store->chain;

	if (store->reading)
		return;
	if (store->want_history) {
		store->want_history = false;
		store->full_scan = true;
		store->scan_end = 0;
		config_chain_restart(chain, 1);
	}
	adopt_newest(store);
	if (chain->next == 0)
		config_chain_restart(chain, 1);
	store->reading = true;
	store->passes++;
	counter_add(store->reads, 1);
	logclient_read(store->params.log, STR(CONFIG_STREAM), chain->next,
	    READ_MAX, on_read, config_op_new(store, NULL));
}

/* Looks for newer versions; daisypierd calls it when the table changes. */
void
config_store_members_changed(config_store_t *store)
{
	config_fetch_start(store);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	config_store_t *store = timer->data;
	size_t rank = poller_rank(store);
	bool pending = !LIST_EMPTY(&store->pending);

	(void)events;
	config_fetch_start(store);
	config_pending_step(store, false);
	if (rank < POLLERS || pending)
		config_store_poll(store);
	renew(store, rank);
	timer->repeat = pending && PENDING_PERIOD < store->params.period
			    ? PENDING_PERIOD
			    : store->params.period;
	ev_timer_again(loop, timer);
}

/* Starts to follow the configuration. */
config_store_t *
config_store_new(const config_store_params_t *params)
{
	config_store_t *store = xcalloc(1, sizeof(*store));

	store->params = *params;
	if (store->params.period <= 0)
		store->params.period = 1;
	store->site = xstrdup(params->site);
	store->params.site = store->site;
	store->rng = rng_seeded(random_u64());
	store->reads = counter_get("daisypier_config_reads_total",
	    "Reads of the configuration's stream");
	store->appends = counter_get("daisypier_config_appends_total",
	    "Appends to the configuration's stream");
	store->fetches = counter_get("daisypier_config_fetches_total",
	    "Questions to other hosts for a configuration");
	config_fetch_init(store);
	/* The first look is due at once: a start should not cost a period. */
	ev_timer_init(&store->timer, on_timer, 0, store->params.period);
	store->timer.data = store;
	ev_timer_start(params->loop, &store->timer);
	return (store);
}

/* Stops; open changes are answered with CONFIG_UNKNOWN. */
void
config_store_delete(config_store_t *store)
{
	config_op_t *op;

	ev_timer_stop(store->params.loop, &store->timer);
	peer_set_handler(store->params.peer, PEER_CONFIG_GET, NULL, NULL);
	if (store->fetch != NULL)
		peer_call_cancel(store->fetch);
	while ((op = LIST_FIRST(&store->ops)) != NULL) {
		LIST_REMOVE(op, entry);
		op->store = NULL;
	}
	config_pending_delete_all(store);
	config_chain_free(&store->chain);
	if (store->newest_version > 0) {
		config_decoded_free(&store->newest);
		buf_free(&store->newest_bytes);
	}
	config_unref(store->current);
	free(store->site);
	free(store);
}

/* Returns the configuration in force, or NULL before the first one. */
fleet_config_t *
config_store_current(const config_store_t *store)
{
	return (store->current);
}

/* Returns the version in force; 0 before the first one. */
uint64_t
config_store_version(const config_store_t *store)
{
	return (store->version);
}

/* Returns whether a version is in force that was the fleet's newest once. */
bool
config_store_ready(const config_store_t *store)
{
	return (store->current != NULL && store->confirmed);
}

/* Returns the newest version with its texts, or NULL before the first one. */
const config_record_t *
config_store_newest(const config_store_t *store)
{
	return (store->newest_version > 0 ? &store->newest.record : NULL);
}

/* Calls on_change after each change of the configuration in force. */
void
config_store_on_change(
    config_store_t *store, void (*on_change)(void *ctx), void *ctx)
{
	size_t max = sizeof(store->watchers) / sizeof(store->watchers[0]);

	if (store->watcher_count == max)
		abort();
	store->watchers[store->watcher_count].on_change = on_change;
	store->watchers[store->watcher_count++].ctx = ctx;
}
