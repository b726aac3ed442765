/* Tests of authenticated datagrams and of the protection from replays. */
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
open_once(datagram_guard_t *guard, const char *shared_key, buf_t *datagram)
{
	datagram_key_t key;
	str_t payload;

	datagram_key_init(&key, str_of(shared_key));
	return (datagram_open(&key, guard, str_buf(datagram), &payload));
}

/* Guards against a datagram that is changed on its way. */
static void
test_payload_arrives_unchanged(void)
{
	datagram_guard_t *guard = datagram_guard_new();
	datagram_key_t key;
	buf_t datagram = seal("secret", 7, 1);
	str_t payload;

	datagram_key_init(&key, STR("secret"));
	CU_ASSERT(datagram.len == DATAGRAM_HEADER_SIZE + 7);
	CU_ASSERT(datagram_open(&key, guard, str_buf(&datagram), &payload) ==
		  DATAGRAM_VALID);
	CU_ASSERT(str_equal(payload, STR("payload")));
	buf_free(&datagram);
	datagram_guard_delete(guard);
}

/* Guards against forged datagrams: another key, or any byte changed. */
static void
test_forged_datagrams_are_dropped(void)
{
	datagram_guard_t *guard = datagram_guard_new();
	buf_t datagram = seal("other", 7, 1);

	CU_ASSERT(open_once(guard, "secret", &datagram) == DATAGRAM_WRONG_KEY);
	buf_free(&datagram);
	datagram = seal("secret", 7, 1);
	for (size_t i = 0; i < datagram.len; i++) {
		datagram.data[i] ^= 0x10;
		CU_ASSERT(
		    open_once(guard, "secret", &datagram) != DATAGRAM_VALID);
		datagram.data[i] ^= 0x10;
	}
	/* The forgeries must not have used up the counter. */
	CU_ASSERT(open_once(guard, "secret", &datagram) == DATAGRAM_VALID);
	buf_free(&datagram);
	datagram_guard_delete(guard);
}

/* Guards against replays, and against drops of merely reordered datagrams. */
static void
test_replays_are_dropped(void)
{
	datagram_guard_t *guard = datagram_guard_new();
	buf_t datagram = seal("secret", 7, 100);

	CU_ASSERT(open_once(guard, "secret", &datagram) == DATAGRAM_VALID);
	CU_ASSERT(open_once(guard, "secret", &datagram) == DATAGRAM_REPLAYED);
	CU_ASSERT(datagram_guard_accept(guard, 7, 102));
	CU_ASSERT(datagram_guard_accept(guard, 7, 101));
	CU_ASSERT_FALSE(datagram_guard_accept(guard, 7, 101));
	CU_ASSERT_FALSE(datagram_guard_accept(guard, 7, 102));
	CU_ASSERT(datagram_guard_accept(guard, 7, 102 + 1000));
	CU_ASSERT_FALSE(datagram_guard_accept(guard, 7, 103));
	CU_ASSERT(datagram_guard_accept(guard, 7, 102 + 1000 - 63));
	CU_ASSERT_FALSE(datagram_guard_accept(guard, 7, 102 + 1000 - 64));
	/* Another process has counters of its own. */
	CU_ASSERT(datagram_guard_accept(guard, 8, 1));
	buf_free(&datagram);
	datagram_guard_delete(guard);
}

/* Guards against an attacker or churn that fills the memory. */
static void
test_guard_is_bounded(void)
{
	datagram_guard_t *guard = datagram_guard_new();

	for (uint64_t instance = 1; instance <= 10000; instance++) {
		CU_ASSERT(datagram_guard_accept(guard, instance, 5));
		/* A sender in use must not be the one that makes room. */
		CU_ASSERT(instance == 1 ||
			  datagram_guard_accept(guard, 1, 5 + instance));
	}
	CU_ASSERT_FALSE(datagram_guard_accept(guard, 1, 5));
	CU_ASSERT_FALSE(datagram_guard_accept(guard, 10000, 5));
	datagram_guard_delete(guard);
}

/* Guards against reads outside of short and random datagrams. */
static void
test_malformed_datagrams_are_dropped(void)
{
	datagram_guard_t *guard = datagram_guard_new();
	rng_t rng = rng_seeded(20261204);

	for (int i = 0; i < 10000; i++) {
		buf_t datagram = {0};
		size_t len = rng_below(&rng, i % 2 == 0 ? 64 : 1300);

		/* Half of them begin like a datagram. */
		if (i % 4 < 2)
			buf_append_char(&datagram, 1);
		while (datagram.len < len)
			buf_append_char(&datagram, (char)rng_next(&rng));
		CU_ASSERT(
		    open_once(guard, "secret", &datagram) != DATAGRAM_VALID);
		buf_free(&datagram);
	}
	datagram_guard_delete(guard);
}

static const suite_test_t tests[] = {
    {"payload arrives unchanged", test_payload_arrives_unchanged},
    {"forged datagrams are dropped", test_forged_datagrams_are_dropped},
    {"replays are dropped", test_replays_are_dropped},
    {"guard is bounded", test_guard_is_bounded},
    {"malformed datagrams are dropped", test_malformed_datagrams_are_dropped},
};

SUITE_MAIN("datagram", tests)
