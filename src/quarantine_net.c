/*
 * Exchanges the evidence on crashing parts of prompts between hosts.
 *
 * New evidence is sent to a few random hosts at once, which pass on what is new
 * to them, so that all hosts have it after a few hops. At intervals each host
 * also exchanges its records with a random one, for the hosts that were down,
 * cut off or frozen.
 *
 * A crash of a request with many parts is passed on as a report: one time, and
 * the list of the parts. A record for each of them would be five times as long.
 */
#include "quarantine_net.h"

#include <stdlib.h>
#include <string.h>

#include "byte_budget.h"
#include "clock.h"
#include "counter.h"
#include "crash_check.h"
#include "logger.h"
#include "quarantine_wire.h"
#include "result.h"

/* Hosts to which new evidence is sent at once. */
#define FANOUT 6
/* Collects the evidence on one crash, which several requests notice. */
#define FLUSH_DELAY_S	    0.003
#define EXCHANGE_INTERVAL_S 1.0
#define EXCHANGE_TIMEOUT_S  1.0
/*
 * A host that stood still for longer ignores the messages that have waited for
 * it, because the ages in them are no longer right.
 */
#define MAX_STALL_S	  0.5
#define IGNORE_MESSAGES_S 0.2
/*
 * Bounds what this host sends without being asked: a burst, and a rate at
 * which more may follow. Records over the limit wait for the next exchange.
 * Reports over it are not sent: the parts of a crash are then known to fewer
 * hosts, and what repeats among them is still sent as records.
 */
static const byte_budget_params_t record_bytes = {
    .burst = 96 << 10,
    .per_second = 2 << 10,
};
/*
 * Holds, trials and releases have a budget of their own: with that of all
 * records, hosts did not hear of a trial after many crashes, and each made its
 * own. It is enough for some 18 of them at once.
 */
static const byte_budget_params_t urgent_bytes = {
    .burst = 32 << 10,
    .per_second = 512,
};
static const byte_budget_params_t report_bytes = {
    .burst = 512 << 10,
    .per_second = 512,
};
/* Reports that are recognised when they come again from other hosts. */
#define KNOWN_REPORTS 256

struct quarantine_net_t {
	quarantine_net_params_t params;
	quarantine_t *quarantine;
	crash_check_t *crash_check;
	rng_t rng;
	byte_budget_t record_budget;
	byte_budget_t urgent_budget;
	byte_budget_t report_budget;
	/* Hashes of reports; the oldest is replaced. */
	uint64_t known_reports[KNOWN_REPORTS];
	size_t next_report;
	ev_timer flush_timer;
	ev_timer judge_timer;
	ev_timer exchange_timer;
	peer_call_t *exchange_call;
	double exchanged_at;   /* last run of exchange_timer */
	double ignoring_until; /* messages that waited while this host stood */
	counter_t *crashes;
	counter_t *trials;
	counter_t *bytes;
	counter_t *delayed;
	counter_t *unsent_reports;
	counter_t *dropped;
	counter_t *held;
	counter_t *records;
};

static void
timer_start(const quarantine_net_t *net, ev_timer *timer, double seconds)
{
	if (ev_is_active(timer))
		return;
	ev_timer_set(timer, seconds > 0 ? seconds : 0, 0);
	ev_timer_start(net->params.loop, timer);
}

/* Applies what has changed, and schedules its judgement and its sending. */
static void
net_changed(quarantine_net_t *net)
{
	double judge_at = quarantine_next_judgement(net->quarantine);

	if (judge_at > 0) {
		timer_start(
		    net, &net->judge_timer, judge_at - clock_monotonic());
		timer_start(net, &net->flush_timer, FLUSH_DELAY_S);
	}
	if (quarantine_take_newly_held(net->quarantine)) {
		timer_start(net, &net->flush_timer, FLUSH_DELAY_S);
		if (net->params.on_held != NULL)
			net->params.on_held(net->params.ctx);
	}
	if (net->params.on_changed != NULL)
		net->params.on_changed(net->params.ctx);
}

static void
on_judge_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	quarantine_net_t *net = timer->data;
	quarantine_stats_t stats;

	(void)loop;
	(void)events;
	quarantine_judge(net->quarantine, clock_monotonic());
	stats = quarantine_stats(net->quarantine);
	gauge_set(net->held, (double)stats.held);
	gauge_set(net->records, (double)stats.records);
	gauge_set(net->dropped, (double)stats.dropped);
	net_changed(net);
}

/* Chooses up to max random hosts other than this one. Returns their number. */
static size_t
choose_hosts(quarantine_net_t *net, const member_t **out, size_t max)
{
	const member_t *members;
	size_t total = net->params.members(net->params.ctx, &members);
	size_t seen = 0;

	/* Reservoir sampling: each host is chosen with the same probability. */
	for (size_t i = 0; i < total; i++) {
		size_t at;

		if (!member_is_living(&members[i]) ||
		    strcmp(members[i].name, net->params.host) == 0)
			continue;
		at = seen < max ? seen : rng_below(&net->rng, seen + 1);
		if (at < max)
			out[at] = &members[i];
		seen++;
	}
	return (seen < max ? seen : max);
}

/* Records of one message, and the budget that it is taken from. */
typedef struct outgoing_records_t {
	byte_budget_t *budget;
	size_t count;
	const quarantine_record_t *records[QUARANTINE_MAX_MESSAGE_RECORDS];
} outgoing_records_t;

/* Sends records to a few hosts, or leaves them to the next exchange. */
static void
send_records(quarantine_net_t *net, const outgoing_records_t *out)
{
	const member_t *hosts[FANOUT];
	size_t host_count;
	buf_t body = {0};

	if (out->count == 0)
		return;
	host_count = choose_hosts(net, hosts, FANOUT);
	if (host_count == 0)
		return;
	quarantine_pack(
	    &body, false, out->records, out->count, clock_monotonic());
	if (byte_budget_take(
		out->budget, body.len * host_count, clock_monotonic())) {
		counter_add(net->bytes, body.len * host_count);
		for (size_t i = 0; i < host_count; i++)
			peer_send(net->params.peer, hosts[i]->address,
			    PEER_QUARANTINE, str_buf(&body));
	} else {
		counter_add(net->delayed, out->count);
	}
	buf_free(&body);
}

/* Sends what has changed to a few hosts. */
static void
on_flush_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	quarantine_net_t *net = timer->data;
	outgoing_records_t urgent = {.budget = &net->urgent_budget};
	outgoing_records_t others = {.budget = &net->record_budget};
	const quarantine_record_t *record = NULL;
	bool is_urgent;

	(void)loop;
	(void)events;
	while (urgent.count + others.count < QUARANTINE_MAX_MESSAGE_RECORDS) {
		outgoing_records_t *out;

		record = quarantine_next_changed(net->quarantine, &is_urgent);
		if (record == NULL)
			break;
		out = is_urgent ? &urgent : &others;
		out->records[out->count++] = record;
	}
	send_records(net, &urgent);
	send_records(net, &others);
	if (record != NULL)
		timer_start(net, &net->flush_timer, FLUSH_DELAY_S);
}

/* Returns whether received messages may have waited for long. */
static bool
is_stalled(const quarantine_net_t *net)
{
	double now = clock_monotonic();

	return (now < net->ignoring_until ||
		now - net->exchanged_at > EXCHANGE_INTERVAL_S + MAX_STALL_S);
}

/* Returns whether a report is a new one, and remembers it. */
static bool
report_is_new(quarantine_net_t *net, const quarantine_report_t *report)
{
	str_t parts = {(const char *)report->parts,
	    report->count * sizeof(*report->parts)};
	uint64_t hash = str_hash(parts, report->crash.endpoint);

	for (size_t i = 0; i < KNOWN_REPORTS; i++)
		if (net->known_reports[i] == hash)
			return (false);
	net->known_reports[net->next_report] = hash;
	net->next_report = (net->next_report + 1) % KNOWN_REPORTS;
	return (true);
}

/* Sends a report to a few hosts, which pass it on. */
static void
send_report(quarantine_net_t *net, const quarantine_report_t *report)
{
	const member_t *hosts[FANOUT];
	size_t host_count = choose_hosts(net, hosts, FANOUT);
	double now = clock_monotonic();
	buf_t body = {0};

	quarantine_pack_report(&body, report, now);
	for (size_t i = 0; i < host_count; i++) {
		if (!byte_budget_take(&net->report_budget, body.len, now)) {
			counter_add(net->unsent_reports, 1);
			continue;
		}
		counter_add(net->bytes, body.len);
		peer_send(net->params.peer, hosts[i]->address,
		    PEER_QUARANTINE_REPORT, str_buf(&body));
	}
	buf_free(&body);
}

static void
on_peer_report(void *ctx, peer_request_t *request, const msgpack_object *body)
{
	quarantine_net_t *net = ctx;
	double now = clock_monotonic();
	quarantine_report_t report = {0};

	if (!is_stalled(net) && !quarantine_read_report(body, now, &report))
		LOG_WARN("quarantine_message_malformed", "host=%s",
		    peer_request_address(request));
	if (report.count > 0 && report_is_new(net, &report)) {
		if (quarantine_add_report(net->quarantine, &report, now))
			send_report(net, &report);
		net_changed(net);
	}
	quarantine_report_free(&report);
	peer_request_reply(request, 0, (str_t){0});
}

static void
pack_newest(const quarantine_net_t *net, bool wants_reply, buf_t *out)
{
	const quarantine_record_t *records[QUARANTINE_MAX_MESSAGE_RECORDS];
	size_t count = quarantine_newest(
	    net->quarantine, records, QUARANTINE_MAX_MESSAGE_RECORDS);

	quarantine_pack(out, wants_reply, records, count, clock_monotonic());
}

/* Merges a message's records. Returns whether the sender wants a reply. */
static bool
merge_message(
    quarantine_net_t *net, const char *address, const msgpack_object *body)
{
	quarantine_message_t message;
	double now = clock_monotonic();

	if (!quarantine_read(body, now, &message)) {
		LOG_WARN("quarantine_message_malformed", "host=%s", address);
		return (false);
	}
	for (size_t i = 0; i < message.count; i++)
		quarantine_merge(net->quarantine, &message.records[i], now);
	net_changed(net);
	return (message.wants_reply);
}

static void
on_peer_message(void *ctx, peer_request_t *request, const msgpack_object *body)
{
	quarantine_net_t *net = ctx;
	buf_t reply = {0};

	if (!is_stalled(net) &&
	    merge_message(net, peer_request_address(request), body))
		pack_newest(net, false, &reply);
	peer_request_reply(request, 0, str_buf(&reply));
	buf_free(&reply);
}

static void
on_exchange_reply(void *ctx, const peer_reply_t *reply)
{
	quarantine_net_t *net = ctx;

	net->exchange_call = NULL;
	/* Hosts of earlier versions do not know the message. */
	if (reply->rc == 0 && reply->body != NULL && !is_stalled(net))
		(void)merge_message(net, "exchange", reply->body);
}

/* Exchanges the newest records with a random host. */
static void
on_exchange_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	quarantine_net_t *net = timer->data;
	const member_t *host;
	buf_t body = {0};

	(void)loop;
	(void)events;
	if (is_stalled(net))
		net->ignoring_until = clock_monotonic() + IGNORE_MESSAGES_S;
	net->exchanged_at = clock_monotonic();
	if (net->exchange_call != NULL || choose_hosts(net, &host, 1) == 0)
		return;
	pack_newest(net, true, &body);
	counter_add(net->bytes, body.len);
	net->exchange_call =
	    peer_call(net->params.peer, host->address, PEER_QUARANTINE,
		str_buf(&body), EXCHANGE_TIMEOUT_S, on_exchange_reply, net);
	buf_free(&body);
}

/*
 * Returns whether a request with these parts may be sent to an endpoint.
 * Otherwise *hold tells why not.
 */
bool
quarantine_net_admits(
    const quarantine_net_t *net, const prompt_parts_t *parts, part_hold_t *hold)
{
	return (
	    quarantine_admits(net->quarantine, parts, clock_monotonic(), hold));
}

/* Records that a request with these parts is sent to an endpoint. */
void
quarantine_net_begin(quarantine_net_t *net, const prompt_parts_t *parts)
{
	if (!quarantine_begin(net->quarantine, parts, clock_monotonic()))
		return;
	counter_add(net->trials, 1);
	net_changed(net);
}

/* Returns a hash of the start of an endpoint that is in use now. */
static uint64_t
endpoint_hash(const quarantine_net_t *net, const char *endpoint)
{
	return (str_hash(str_of(endpoint),
	    net->params.endpoint_started_ms(net->params.ctx, endpoint)));
}

static void
on_crash(void *ctx, const crash_suspect_t *suspect)
{
	quarantine_net_t *net = ctx;
	quarantine_report_t report;

	counter_add(net->crashes, 1);
	quarantine_add_crash(
	    net->quarantine, &suspect->parts, suspect->endpoint, suspect->at);
	if (quarantine_take_report(net->quarantine, &report)) {
		(void)report_is_new(net, &report);
		send_report(net, &report);
		quarantine_report_free(&report);
	}
	net_changed(net);
}

/*
 * Records that an endpoint, at "IP:PORT", disconnected before it answered a
 * request. It counts as a crash if the endpoint accepts no new connection.
 */
void
quarantine_net_disconnected(quarantine_net_t *net, const prompt_parts_t *parts,
    const char *endpoint, const char *address)
{
	crash_suspect_t suspect = {
	    .parts = *parts, /* a view; it is copied */
	    .endpoint = endpoint_hash(net, endpoint),
	    .at = clock_monotonic(),
	};

	str_copy(suspect.name, sizeof(suspect.name), str_of(endpoint));
	if (parts->count > 0)
		crash_check_add(net->crash_check, &suspect, address);
}

/*
 * Records that an endpoint has begun to answer a request that was sent to it at
 * the given time.
 */
void
quarantine_net_answered(quarantine_net_t *net, const prompt_parts_t *parts,
    const char *endpoint, double started_at)
{
	quarantine_add_answer(net->quarantine, parts, clock_monotonic());
	quarantine_endpoint_answered(
	    net->quarantine, endpoint_hash(net, endpoint), started_at);
	net_changed(net);
}

/* Merges a record that was kept elsewhere. */
void
quarantine_net_merge(quarantine_net_t *net, const quarantine_record_t *record)
{
	quarantine_merge(net->quarantine, record, clock_monotonic());
	net_changed(net);
}

/* Writes up to max records that must outlive the hosts. */
size_t
quarantine_net_suspects(const quarantine_net_t *net,
    const quarantine_record_t **records, size_t max)
{
	return (quarantine_suspects(net->quarantine, records, max));
}

quarantine_net_t *
quarantine_net_new(const quarantine_net_params_t *params)
{
	quarantine_net_t *net = xcalloc(1, sizeof(*net));

	net->params = *params;
	net->rng = rng_seeded(random_u64());
	net->quarantine = quarantine_new(rng_uniform(&net->rng));
	net->crash_check = crash_check_new(params->loop, on_crash, net);
	byte_budget_init(&net->record_budget, &record_bytes, clock_monotonic());
	byte_budget_init(&net->urgent_budget, &urgent_bytes, clock_monotonic());
	byte_budget_init(&net->report_budget, &report_bytes, clock_monotonic());
	net->exchanged_at = clock_monotonic();
	net->crashes = counter_get("daisypier_quarantine_crashes_total",
	    "Requests whose endpoint crashed before an answer");
	net->trials = counter_get("daisypier_quarantine_trials_total",
	    "Requests with a held part that were let through");
	net->bytes = counter_get("daisypier_quarantine_sent_bytes_total",
	    "Bytes of evidence sent to other hosts");
	net->delayed = counter_get("daisypier_quarantine_delayed_total",
	    "Records left to the next exchange, because too much was sent");
	net->unsent_reports =
	    counter_get("daisypier_quarantine_unsent_reports_total",
		"Reports on crashes that were not sent, because too much was");
	net->dropped = gauge_get("daisypier_quarantine_dropped_records",
	    "Records of parts that were dropped for others");
	net->held = gauge_get("daisypier_quarantine_held_parts",
	    "Parts of prompts that are held back");
	net->records = gauge_get(
	    "daisypier_quarantine_parts", "Parts of prompts with evidence");
	ev_timer_init(&net->flush_timer, on_flush_timer, 0, 0);
	ev_timer_init(&net->judge_timer, on_judge_timer, 0, 0);
	ev_timer_init(&net->exchange_timer, on_exchange_timer,
	    rng_uniform(&net->rng) * EXCHANGE_INTERVAL_S, EXCHANGE_INTERVAL_S);
	net->flush_timer.data = net;
	net->judge_timer.data = net;
	net->exchange_timer.data = net;
	ev_timer_start(params->loop, &net->exchange_timer);
	peer_set_handler(params->peer, PEER_QUARANTINE, on_peer_message, net);
	peer_set_handler(
	    params->peer, PEER_QUARANTINE_REPORT, on_peer_report, net);
	return (net);
}

void
quarantine_net_delete(quarantine_net_t *net)
{
	struct ev_loop *loop = net->params.loop;

	peer_set_handler(net->params.peer, PEER_QUARANTINE, NULL, NULL);
	peer_set_handler(net->params.peer, PEER_QUARANTINE_REPORT, NULL, NULL);
	if (net->exchange_call != NULL)
		peer_call_cancel(net->exchange_call);
	ev_timer_stop(loop, &net->flush_timer);
	ev_timer_stop(loop, &net->judge_timer);
	ev_timer_stop(loop, &net->exchange_timer);
	crash_check_delete(net->crash_check);
	quarantine_delete(net->quarantine);
	free(net);
}
