/* Tests of the cutting of event streams into whole events. */
#include "suite.h"

#include <string.h>

#include "event_relay.h"

typedef struct seen_t {
	buf_t raw;
	buf_t data;
	unsigned count;
} seen_t;

static bool
on_event(void *ctx, const relay_event_t *event)
{
	seen_t *seen = ctx;

	buf_append(&seen->raw, event->raw);
	relay_event_data(event, &seen->data);
	seen->count++;
	return (true);
}

static bool
feed(event_relay_t *relay, const char *text, seen_t *seen)
{
	return (event_relay_feed(relay, str_of(text), on_event, seen));
}

static void
seen_free(seen_t *seen)
{
	buf_free(&seen->raw);
	buf_free(&seen->data);
	*seen = (seen_t){0};
}

/* Guards against pieces of an event that reach the caller before its end. */
static void
test_only_whole_events_pass(void)
{
	static const char text[] = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
	event_relay_t relay = {0};
	seen_t seen = {0};

	for (size_t i = 0; text[i] != '\0'; i++) {
		char byte[2] = {text[i], '\0'};

		CU_ASSERT(feed(&relay, byte, &seen));
	}
	CU_ASSERT(seen.count == 2);
	CU_ASSERT(str_equal(str_buf(&seen.raw), str_of(text)));
	CU_ASSERT(str_equal(str_buf(&seen.data), STR("ab")));
	CU_ASSERT(relay.last_id == 2);
	CU_ASSERT(!event_relay_partial(&relay));
	CU_ASSERT(feed(&relay, "id: 3\nda", &seen));
	CU_ASSERT(event_relay_partial(&relay));
	CU_ASSERT(seen.count == 2);
	seen_free(&seen);
	event_relay_free(&relay);
}

/* Guards against a gap, a repeat or a foreign run in one stream. */
static void
test_number_must_be_next(void)
{
	static const char *const bad[] = {
	    "id: 1\ndata: x\n\n", "id: 2\ndata: x\n\n", "id: 4\ndata: x\n\n"};

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		event_relay_t relay = {.numbered = true, .last_id = 2};
		seen_t seen = {0};

		CU_ASSERT(!feed(&relay, bad[i], &seen));
		CU_ASSERT(seen.count == 0);
		seen_free(&seen);
		event_relay_free(&relay);
	}
}

/* Guards against half an event of a lost endpoint before the next one's. */
static void
test_resume_drops_the_partial_event(void)
{
	event_relay_t relay = {0};
	seen_t seen = {0};

	CU_ASSERT(feed(&relay, "id: 0\ndata: a\n\nid: 1\ndata: b", &seen));
	event_relay_resume(&relay);
	CU_ASSERT(feed(&relay, "id: 1\ndata: b\n\n", &seen));
	CU_ASSERT(seen.count == 2);
	CU_ASSERT(str_equal(
	    str_buf(&seen.raw), STR("id: 0\ndata: a\n\nid: 1\ndata: b\n\n")));
	seen_free(&seen);
	event_relay_free(&relay);
}

/* Guards against unbounded memory for an event that never ends. */
static void
test_event_is_bounded(void)
{
	event_relay_t relay = {0};
	seen_t seen = {0};
	char block[4096];
	bool ok = true;

	memset(block, 'x', sizeof(block));
	for (size_t i = 0; ok && i <= EVENT_RELAY_MAX_EVENT / 4096; i++)
		ok = event_relay_feed(
		    &relay, (str_t){block, sizeof(block)}, on_event, &seen);
	CU_ASSERT(!ok);
	event_relay_free(&relay);
}

/* Guards against lost lines of data and against other fields in the text. */
static void
test_data_lines_are_joined(void)
{
	event_relay_t relay = {0};
	seen_t seen = {0};

	CU_ASSERT(feed(&relay,
	    ": note\nevent: token\nid: 7\ndata: a\ndata:b\nweight: 3\n\n",
	    &seen));
	CU_ASSERT(str_equal(str_buf(&seen.data), STR("a\nb")));
	seen_free(&seen);
	event_relay_free(&relay);
}

/*
 * Guards against a comment that counts as progress, and against one that a
 * caller gets although another endpoint goes on with the stream.
 */
static void
test_empty_events_wait(void)
{
	event_relay_t relay = {0};
	seen_t seen = {0};

	CU_ASSERT(feed(&relay, ": a\n\n\n: b\n\n", &seen));
	CU_ASSERT(seen.count == 0);
	CU_ASSERT(!event_relay_partial(&relay));
	CU_ASSERT(str_equal(event_relay_rest(&relay), STR(": a\n\n\n: b\n\n")));
	CU_ASSERT(feed(&relay, "id: 0\ndata: x\n\n", &seen));
	CU_ASSERT(seen.count == 1);
	CU_ASSERT(str_equal(
	    str_buf(&seen.raw), STR(": a\n\n\n: b\n\nid: 0\ndata: x\n\n")));
	CU_ASSERT(str_equal(str_buf(&seen.data), STR("x")));
	CU_ASSERT(event_relay_rest(&relay).len == 0);
	CU_ASSERT(feed(&relay, ": c\n\nid: 1", &seen));
	CU_ASSERT(event_relay_partial(&relay));
	event_relay_resume(&relay);
	CU_ASSERT(event_relay_rest(&relay).len == 0);
	seen_free(&seen);
	event_relay_free(&relay);
}

/* Guards against unbounded memory for comments without an event. */
static void
test_empty_events_are_bounded(void)
{
	event_relay_t relay = {0};
	seen_t seen = {0};
	bool ok = true;

	for (size_t i = 0; ok && i <= EVENT_RELAY_MAX_EVENT / 4; i++)
		ok = feed(&relay, ": x\n\n", &seen);
	CU_ASSERT(!ok);
	CU_ASSERT(seen.count == 0);
	event_relay_free(&relay);
}

static const suite_test_t tests[] = {
    {"empty events wait for the next one", test_empty_events_wait},
    {"empty events are bounded", test_empty_events_are_bounded},
    {"only whole events pass", test_only_whole_events_pass},
    {"the number must be the next one", test_number_must_be_next},
    {"resuming drops the partial event", test_resume_drops_the_partial_event},
    {"an event is bounded", test_event_is_bounded},
    {"lines of data are joined", test_data_lines_are_joined},
};

SUITE_MAIN("event_relay", tests)
