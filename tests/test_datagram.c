/* Tests of datagram authentication and replay protection. */
#include "suite.h"

#include <string.h>

#include "clock.h"
#include "datagram.h"

static buf_t
seal(const char *shared_key, uint64_t instance, uint64_t counter)
{
	datagram_key_t key;
	buf_t out = {0};

	datagram_key_init(&key, str_of(shared_key));
	datagram_seal(&key, instance, counter, STR("payload"), &out);
	return (out);
}

static datagram_verdict_t
open_once(replay_filter_t *filter, const char *shared_key, buf_t *datagram)
{
	datagram_key_t key;
	str_t payload;

	datagram_key_init(&key, str_of(shared_key));
	return (datagram_open(&key, filter, str_buf(datagram), &payload));
}

/* Guards against a payload that is altered by sealing and opening. */
static void
test_payload_arrives_unchanged(void)
{
	replay_filter_t *filter = replay_filter_new();
	datagram_key_t key;
	buf_t datagram = seal("secret", 7, 1);
	str_t payload;

	datagram_key_init(&key, STR("secret"));
	CU_ASSERT(datagram.len == DATAGRAM_HEADER_SIZE + 7);
	CU_ASSERT(datagram_open(&key, filter, str_buf(&datagram), &payload) ==
		  DATAGRAM_VALID);
	CU_ASSERT(str_equal(payload, STR("payload")));
	buf_free(&datagram);
	replay_filter_delete(filter);
}

/* Guards against forged datagrams: another key, or any byte changed. */
static void
test_forged_datagrams_are_dropped(void)
{
	replay_filter_t *filter = replay_filter_new();
	buf_t datagram = seal("other", 7, 1);

	CU_ASSERT(open_once(filter, "secret", &datagram) == DATAGRAM_WRONG_KEY);
	buf_free(&datagram);
	datagram = seal("secret", 7, 1);
	for (size_t i = 0; i < datagram.len; i++) {
		datagram.data[i] ^= 0x10;
		CU_ASSERT(
		    open_once(filter, "secret", &datagram) != DATAGRAM_VALID);
		datagram.data[i] ^= 0x10;
	}
	/* The forged datagrams must not have consumed the counter. */
	CU_ASSERT(open_once(filter, "secret", &datagram) == DATAGRAM_VALID);
	buf_free(&datagram);
	replay_filter_delete(filter);
}

/* Guards against accepted replays and against drops of reordered datagrams. */
static void
test_replays_are_dropped(void)
{
	replay_filter_t *filter = replay_filter_new();
	buf_t datagram = seal("secret", 7, 100);

	CU_ASSERT(open_once(filter, "secret", &datagram) == DATAGRAM_VALID);
	CU_ASSERT(open_once(filter, "secret", &datagram) == DATAGRAM_REPLAYED);
	CU_ASSERT(replay_filter_accept(filter, 7, 102));
	CU_ASSERT(replay_filter_accept(filter, 7, 101));
	CU_ASSERT_FALSE(replay_filter_accept(filter, 7, 101));
	CU_ASSERT_FALSE(replay_filter_accept(filter, 7, 102));
	CU_ASSERT(replay_filter_accept(filter, 7, 102 + 1000));
	CU_ASSERT_FALSE(replay_filter_accept(filter, 7, 103));
	CU_ASSERT(replay_filter_accept(filter, 7, 102 + 1000 - 63));
	CU_ASSERT_FALSE(replay_filter_accept(filter, 7, 102 + 1000 - 64));
	/* Counters are per sender instance. */
	CU_ASSERT(replay_filter_accept(filter, 8, 1));
	buf_free(&datagram);
	replay_filter_delete(filter);
}

/* Guards against unbounded memory use through attacks or host churn. */
static void
test_replay_filter_is_bounded(void)
{
	replay_filter_t *filter = replay_filter_new();

	for (uint64_t instance = 1; instance <= 10000; instance++) {
		CU_ASSERT(replay_filter_accept(filter, instance, 5));
		/* An active sender must not be evicted. */
		CU_ASSERT(instance == 1 ||
			  replay_filter_accept(filter, 1, 5 + instance));
	}
	CU_ASSERT_FALSE(replay_filter_accept(filter, 1, 5));
	CU_ASSERT_FALSE(replay_filter_accept(filter, 10000, 5));
	replay_filter_delete(filter);
}

/* Guards against out-of-bounds reads of short and random datagrams. */
static void
test_malformed_datagrams_are_dropped(void)
{
	replay_filter_t *filter = replay_filter_new();
	rng_t rng = rng_seeded(20261204);

	for (int i = 0; i < 10000; i++) {
		buf_t datagram = {0};
		size_t len = rng_below(&rng, i % 2 == 0 ? 64 : 1300);

		/* Half of them begin with the valid version byte. */
		if (i % 4 < 2)
			buf_append_char(&datagram, 1);
		while (datagram.len < len)
			buf_append_char(&datagram, (char)rng_next(&rng));
		CU_ASSERT(
		    open_once(filter, "secret", &datagram) != DATAGRAM_VALID);
		buf_free(&datagram);
	}
	replay_filter_delete(filter);
}

static const suite_test_t tests[] = {
    {"payload arrives unchanged", test_payload_arrives_unchanged},
    {"forged datagrams are dropped", test_forged_datagrams_are_dropped},
    {"replays are dropped", test_replays_are_dropped},
    {"replay filter is bounded", test_replay_filter_is_bounded},
    {"malformed datagrams are dropped", test_malformed_datagrams_are_dropped},
};

SUITE_MAIN("datagram", tests)
