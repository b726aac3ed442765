/* Unit tests for splitting event streams into complete events. */
#include "suite.h"

#include <string.h>

#include "event_relay.h"

typedef struct delivered_t {
	buf_t raw;
	buf_t data;
	unsigned count;
} delivered_t;

static bool
on_event(void *ctx, const relay_event_t *event)
{
	delivered_t *delivered = ctx;

	buf_append(&delivered->raw, event->raw);
	relay_event_data(event, &delivered->data);
	delivered->count++;
	return (true);
}

static bool
feed(event_relay_t *relay, const char *text, delivered_t *delivered)
{
	return (event_relay_feed(relay, str_of(text), on_event, delivered));
}

static void
delivered_free(delivered_t *delivered)
{
	buf_free(&delivered->raw);
	buf_free(&delivered->data);
	*delivered = (delivered_t){0};
}

/* No part of an event may be delivered before the event is complete. */
static void
test_only_complete_events_are_delivered(void)
{
	static const char text[] = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
	event_relay_t relay = {0};
	delivered_t delivered = {0};

	for (size_t i = 0; text[i] != '\0'; i++) {
		char byte[2] = {text[i], '\0'};

		CU_ASSERT(feed(&relay, byte, &delivered));
	}
	CU_ASSERT(delivered.count == 2);
	CU_ASSERT(str_equal(str_buf(&delivered.raw), str_of(text)));
	CU_ASSERT(str_equal(str_buf(&delivered.data), STR("ab")));
	CU_ASSERT(relay.last_id == 2);
	CU_ASSERT(!event_relay_has_partial(&relay));
	CU_ASSERT(feed(&relay, "id: 3\nda", &delivered));
	CU_ASSERT(event_relay_has_partial(&relay));
	CU_ASSERT(delivered.count == 2);
	delivered_free(&delivered);
	event_relay_free(&relay);
}

/* A stream with a gap, a repeated id or ids of another run must be rejected. */
static void
test_id_must_be_next(void)
{
	static const char *const bad[] = {
	    "id: 1\ndata: x\n\n", "id: 2\ndata: x\n\n", "id: 4\ndata: x\n\n"};

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		event_relay_t relay = {.has_last_id = true, .last_id = 2};
		delivered_t delivered = {0};

		CU_ASSERT(!feed(&relay, bad[i], &delivered));
		CU_ASSERT(delivered.count == 0);
		delivered_free(&delivered);
		event_relay_free(&relay);
	}
}

/*
 * When a stream resumes on another endpoint, the partial event of the failed
 * endpoint must not precede the events of the new one.
 */
static void
test_resume_discards_the_partial_event(void)
{
	event_relay_t relay = {0};
	delivered_t delivered = {0};

	CU_ASSERT(feed(&relay, "id: 0\ndata: a\n\nid: 1\ndata: b", &delivered));
	event_relay_discard_pending(&relay);
	CU_ASSERT(feed(&relay, "id: 1\ndata: b\n\n", &delivered));
	CU_ASSERT(delivered.count == 2);
	CU_ASSERT(str_equal(str_buf(&delivered.raw),
	    STR("id: 0\ndata: a\n\nid: 1\ndata: b\n\n")));
	delivered_free(&delivered);
	event_relay_free(&relay);
}

/*
 * An event without an id belongs to no place of a stream: in an item's output
 * and in a stream that another endpoint continues it must be rejected.
 */
static void
test_events_without_id(void)
{
	event_relay_t relay = {.reject_text = true};
	delivered_t delivered = {0};

	CU_ASSERT(!feed(&relay, "data: a\n\n", &delivered));
	CU_ASSERT(delivered.count == 0);
	event_relay_free(&relay);
	relay = (event_relay_t){
	    .reject_text = true, .has_last_id = true, .last_id = 2};
	CU_ASSERT(!feed(&relay, "data: a\n\nid: 3\ndata: b\n\n", &delivered));
	CU_ASSERT(delivered.count == 0);
	event_relay_free(&relay);
	/* Passed on, but another run can't go on from there. */
	relay = (event_relay_t){0};
	CU_ASSERT(feed(&relay, "data: a\n\n", &delivered));
	CU_ASSERT(delivered.count == 1);
	event_relay_discard_pending(&relay);
	CU_ASSERT(!feed(&relay, "id: 0\ndata: a\n\n", &delivered));
	CU_ASSERT(delivered.count == 1);
	event_relay_free(&relay);
	delivered_free(&delivered);
}

/* An event that never ends must not take unbounded memory. */
static void
test_event_size_is_bounded(void)
{
	event_relay_t relay = {0};
	delivered_t delivered = {0};
	char block[4096];
	bool ok = true;

	memset(block, 'x', sizeof(block));
	for (size_t i = 0; ok && i <= EVENT_RELAY_MAX_EVENT_BYTES / 4096; i++)
		ok = event_relay_feed(&relay, (str_t){block, sizeof(block)},
		    on_event, &delivered);
	CU_ASSERT(!ok);
	event_relay_free(&relay);
}

/* All data lines must be kept, and no other field may get into the data. */
static void
test_data_lines_are_joined(void)
{
	event_relay_t relay = {0};
	delivered_t delivered = {0};

	CU_ASSERT(feed(&relay,
	    ": note\nevent: token\nid: 7\ndata: a\ndata:b\nweight: 3\n\n",
	    &delivered));
	CU_ASSERT(str_equal(str_buf(&delivered.data), STR("a\nb")));
	delivered_free(&delivered);
	event_relay_free(&relay);
}

/*
 * A comment must not count as progress, and must not reach the caller if
 * another endpoint resumes the stream.
 */
static void
test_empty_events_are_held_back(void)
{
	event_relay_t relay = {0};
	delivered_t delivered = {0};

	CU_ASSERT(feed(&relay, ": a\n\n\n: b\n\n", &delivered));
	CU_ASSERT(delivered.count == 0);
	CU_ASSERT(!event_relay_has_partial(&relay));
	CU_ASSERT(
	    str_equal(event_relay_trailing(&relay), STR(": a\n\n\n: b\n\n")));
	CU_ASSERT(feed(&relay, "id: 0\ndata: x\n\n", &delivered));
	CU_ASSERT(delivered.count == 1);
	CU_ASSERT(str_equal(str_buf(&delivered.raw),
	    STR(": a\n\n\n: b\n\nid: 0\ndata: x\n\n")));
	CU_ASSERT(str_equal(str_buf(&delivered.data), STR("x")));
	CU_ASSERT(event_relay_trailing(&relay).len == 0);
	CU_ASSERT(feed(&relay, ": c\n\nid: 1", &delivered));
	CU_ASSERT(event_relay_has_partial(&relay));
	event_relay_discard_pending(&relay);
	CU_ASSERT(event_relay_trailing(&relay).len == 0);
	delivered_free(&delivered);
	event_relay_free(&relay);
}

/* Comments without an event must not take unbounded memory. */
static void
test_empty_events_are_bounded(void)
{
	event_relay_t relay = {0};
	delivered_t delivered = {0};
	bool ok = true;

	for (size_t i = 0; ok && i <= EVENT_RELAY_MAX_EVENT_BYTES / 4; i++)
		ok = feed(&relay, ": x\n\n", &delivered);
	CU_ASSERT(!ok);
	CU_ASSERT(delivered.count == 0);
	event_relay_free(&relay);
}

/*
 * Text between the events of a continued stream must be rejected: it is the
 * error of an endpoint that cannot continue it. Comments and retry fields are
 * not text.
 */
static void
test_text_is_rejected(void)
{
	event_relay_t relay = {.reject_text = true};
	delivered_t delivered = {0};

	CU_ASSERT(
	    feed(&relay, ": x\n\nretry: 1\n\nid: 1\ndata: a\n\n", &delivered));
	CU_ASSERT(feed(&relay, "x-version: 4\nid: 2\ndata: b\n\n", &delivered));
	CU_ASSERT(delivered.count == 2);
	CU_ASSERT_FALSE(feed(&relay, "Error: none\n\nid: 3\n\n", &delivered));
	CU_ASSERT(delivered.count == 2);
	event_relay_discard_pending(&relay);
	relay.reject_text = false;
	CU_ASSERT(feed(&relay, "Error: none\n\n", &delivered));
	delivered_free(&delivered);
	event_relay_free(&relay);
}

static const suite_test_t tests[] = {
    {"empty events are held back", test_empty_events_are_held_back},
    {"empty events are bounded", test_empty_events_are_bounded},
    {"only complete events are delivered",
	test_only_complete_events_are_delivered},
    {"the id must be the next one", test_id_must_be_next},
    {"resuming discards the partial event",
	test_resume_discards_the_partial_event},
    {"events without id", test_events_without_id},
    {"the size of an event is bounded", test_event_size_is_bounded},
    {"lines of data are joined", test_data_lines_are_joined},
    {"text is rejected", test_text_is_rejected},
};

SUITE_MAIN("event_relay", tests)
