/* Tests of the audit trail over a log in memory. */
#include "suite.h"

#include <stdio.h>
#include <string.h>

#include "audit.h"
#include "clock.h"
#include "counter.h"
#include "logclient_memory.h"
#include "require.h"
#include "result.h"

typedef struct trail_t {
	struct ev_loop *loop;
	log_memory_t *log;
	logclient_t *client;
	membership_t *membership;
	audit_t *audit;
	ev_timer timer;
	double deadline;
	unsigned calls;
	int rc;
	size_t count;
	char text[1024]; /* "subject " of each entry */
} trail_t;

static void
send_nothing(void *ctx, const char *address, str_t datagram)
{
	(void)ctx;
	(void)address;
	(void)datagram;
}

static void
on_step(struct ev_loop *loop, ev_timer *timer, int events)
{
	trail_t *trail = timer->data;

	(void)events;
	log_memory_run(trail->log);
	if (clock_monotonic() >= trail->deadline)
		ev_break(loop, EVBREAK_ONE);
}

static void
run(trail_t *trail, double seconds)
{
	trail->deadline = clock_monotonic() + seconds;
	ev_run(trail->loop, 0);
}

static void
start(trail_t *trail, double period)
{
	*trail = (trail_t){.loop = ev_loop_new(0)};
	trail->log = log_memory_new(5);
	trail->client = log_memory_client(trail->log);
	trail->membership = membership_new(
	    &(membership_params_t){
		.name = "h1",
		.address = "127.0.0.1",
		.zone = "lakeside",
		.site = "one",
		.instance = 1,
		.send = send_nothing,
	    },
	    0);
	trail->audit = audit_new(&(audit_params_t){
	    .loop = trail->loop,
	    .log = trail->client,
	    .membership = trail->membership,
	    .min_period = period,
	});
	ev_timer_init(&trail->timer, on_step, 0, 0.002);
	trail->timer.data = trail;
	ev_timer_start(trail->loop, &trail->timer);
}

static void
stop(trail_t *trail)
{
	audit_delete(trail->audit);
	log_memory_run(trail->log);
	logclient_delete(trail->client);
	membership_delete(trail->membership);
	log_memory_delete(trail->log);
	ev_timer_stop(trail->loop, &trail->timer);
	ev_loop_destroy(trail->loop);
}

static void
write_entry(trail_t *trail, double time, const char *subject, const char *id)
{
	audit_write(trail->audit, &(audit_entry_t){
				      .time = time,
				      .actor = STR("ana"),
				      .action = STR("config_apply"),
				      .subject = str_of(subject),
				      .from_version = 3,
				      .to_version = 4,
				      .outcome = STR("accepted"),
				      .request_id = str_of(id),
				  });
}

static void
on_query(void *ctx, int rc, const audit_entry_t *entries, size_t count)
{
	trail_t *trail = ctx;

	trail->calls++;
	trail->rc = rc;
	trail->count = count;
	trail->text[0] = '\0';
	for (size_t i = 0; i < count && i < 20; i++) {
		strncat(trail->text, entries[i].subject.data,
		    entries[i].subject.len);
		strcat(trail->text, " ");
	}
	if (count > 0)
		CU_ASSERT(str_equal(entries[0].host, STR("h1")));
}

static void
query(trail_t *trail, audit_filter_t filter, size_t max)
{
	trail->calls = 0;
	audit_query(trail->audit, &filter, max, on_query, trail);
	run(trail, 0.05);
	CU_ASSERT(trail->calls == 1);
}

/* Guards against entries that are lost or found by the wrong question. */
static void
test_query(void)
{
	trail_t trail;

	start(&trail, 0.02);
	query(&trail, (audit_filter_t){0}, 10);
	CU_ASSERT(trail.rc == 0 && trail.count == 0);
	write_entry(&trail, 100, "a", "r1");
	write_entry(&trail, 200, "b", "r2");
	run(&trail, 0.06);
	write_entry(&trail, 300, "a", "r3");
	run(&trail, 0.06);
	CU_ASSERT(log_memory_appends(trail.log) == 2);
	query(&trail, (audit_filter_t){0}, 10);
	CU_ASSERT_STRING_EQUAL(trail.text, "a b a ");
	query(&trail, (audit_filter_t){0}, 2);
	CU_ASSERT_STRING_EQUAL(trail.text, "b a ");
	query(&trail, (audit_filter_t){.from = 200, .to = 300}, 10);
	CU_ASSERT_STRING_EQUAL(trail.text, "b ");
	query(&trail, (audit_filter_t){.subject = STR("a")}, 10);
	CU_ASSERT(trail.count == 2);
	query(&trail, (audit_filter_t){.request_id = STR("r2")}, 10);
	CU_ASSERT_STRING_EQUAL(trail.text, "b ");
	log_memory_expire(trail.log, STR("audit"), 2);
	query(&trail, (audit_filter_t){0}, 10);
	CU_ASSERT_STRING_EQUAL(trail.text, "a ");
	stop(&trail);
}

/* Guards against entries that count twice when an answer is lost. */
static void
test_lost_answers(void)
{
	trail_t trail;

	start(&trail, 0.02);
	log_memory_set_faults(trail.log, &(log_faults_t){.lose_every = 1});
	write_entry(&trail, 100, "a", "r1");
	run(&trail, 0.1);
	CU_ASSERT(log_memory_appends(trail.log) >= 2);
	log_memory_set_faults(trail.log, &(log_faults_t){0});
	run(&trail, 0.05);
	query(&trail, (audit_filter_t){0}, 10);
	CU_ASSERT_STRING_EQUAL(trail.text, "a ");
	stop(&trail);
}

/* Guards against memory that grows with the length of an outage. */
static void
test_outage_is_bounded(void)
{
	trail_t trail;
	double before =
	    counter_value(counter_get("daisypier_audit_dropped_total", ""));

	start(&trail, 0.02);
	log_memory_set_faults(trail.log, &(log_faults_t){.outage = true});
	for (int i = 0; i < 5000; i++) {
		write_entry(&trail, 100 + i, "a", "r");
		if (i == 500)
			run(&trail, 0.06);
	}
	CU_ASSERT(counter_value(counter_get(
		      "daisypier_audit_dropped_total", "")) > before + 3000);
	query(&trail, (audit_filter_t){0}, 10);
	CU_ASSERT(trail.rc != 0);
	log_memory_set_faults(trail.log, &(log_faults_t){0});
	run(&trail, 0.1);
	query(&trail, (audit_filter_t){.from = clock_wall() - 60}, 10);
	/* The trail itself tells that entries are missing. */
	CU_ASSERT(trail.count == 1);
	stop(&trail);
}

/* Guards against an audit trail that uses up the log's append rate. */
static void
test_period(void)
{
	CU_ASSERT(audit_period(13, 2) == 2);
	CU_ASSERT(audit_period(910, 2) == 910 / 50.0);
}

static const suite_test_t tests[] = {
    {"query", test_query},
    {"lost answers", test_lost_answers},
    {"outage is bounded", test_outage_is_bounded},
    {"period", test_period},
};

SUITE_MAIN("audit", tests)
