/* Replay tests of the decision whether a host may accept keys. */
#include "suite.h"

#include "key_freshness.h"

#define LIMIT 5.0
/* Waits and times of reads as in gateway_store.c and follower.c. */
#define READ_WAIT 1.0
#define STEP	  0.01

/* A period in which reads of a host do not complete. */
typedef struct replay_t {
	double fails_from;
	double fails_until;
	bool frozen;	   /* the host does nothing at all in this period */
	double relayed_at; /* reads go through another host; 0: never */
} replay_t;

typedef struct outcome_t {
	double last_unsafe; /* longest time after a revocation it missed */
	double aging_at;    /* first time; 0: never */
	double stale_at;
	double current_again_at; /* after it was stale; 0: never */
} outcome_t;

static bool
reads_fail(const replay_t *replay, double now)
{
	if (replay->relayed_at > 0 && now >= replay->relayed_at)
		return (false);
	return (now >= replay->fails_from && now < replay->fails_until);
}

/*
 * Replays 30 s of a host that reads in turn: each read takes READ_WAIT, or 10
 * ms after a failure, and returns all that was confirmed before its start.
 */
static outcome_t
replay_run(const replay_t *replay)
{
	outcome_t out = {0};
	double synced_at = 0;
	double read_started = 0.001;
	double read_wait = STEP;

	for (double now = 0.001; now < 30; now += STEP) {
		key_state_t state;

		if (replay->frozen && now >= replay->fails_from &&
		    now < replay->fails_until)
			continue;
		state = key_freshness_state(LIMIT, synced_at, now);
		/* A key revoked just after the start of the read is unknown. */
		if (state != KEYS_STALE && now - synced_at > out.last_unsafe)
			out.last_unsafe = now - synced_at;
		if (synced_at > 0 && state == KEYS_AGING && out.aging_at <= 0)
			out.aging_at = now;
		if (synced_at > 0 && state == KEYS_STALE && out.stale_at <= 0)
			out.stale_at = now;
		if (out.stale_at > 0 && state == KEYS_CURRENT &&
		    out.current_again_at <= 0)
			out.current_again_at = now;
		if (reads_fail(replay, now)) {
			read_started = now;
			read_wait = STEP;
		} else if (now - read_started >= read_wait) {
			synced_at = read_started;
			read_started = now;
			read_wait = READ_WAIT;
		}
	}
	return (out);
}

/* Guards against a host that withdraws while nothing is wrong. */
static void
test_calm(void)
{
	outcome_t out = replay_run(&(replay_t){.fails_from = 100});

	CU_ASSERT(out.aging_at <= 0 && out.stale_at <= 0);
	CU_ASSERT(out.last_unsafe < 0.6 * LIMIT);
}

/*
 * The store is silent for 7 s: keys must be refused in time, readiness must be
 * withdrawn earlier, and both must end with the outage.
 */
static void
test_store_silent(void)
{
	outcome_t out =
	    replay_run(&(replay_t){.fails_from = 10, .fails_until = 17});

	CU_ASSERT(out.last_unsafe < LIMIT);
	CU_ASSERT(out.aging_at > 10 && out.aging_at < out.stale_at - 1.5);
	CU_ASSERT(out.stale_at > 12.5 && out.stale_at < 15);
	CU_ASSERT(out.current_again_at >= 17 && out.current_again_at < 17.1);
}

/* A host that was frozen must know it before it accepts a key. */
static void
test_freeze(void)
{
	outcome_t out = replay_run(
	    &(replay_t){.fails_from = 10, .fails_until = 16, .frozen = true});

	CU_ASSERT(out.last_unsafe < LIMIT);
	CU_ASSERT(out.stale_at >= 16 && out.stale_at < 16.1);
	/* A freeze that is shorter than the limit refuses nothing. */
	out = replay_run(
	    &(replay_t){.fails_from = 10, .fails_until = 12.5, .frozen = true});
	CU_ASSERT(out.stale_at <= 0 && out.last_unsafe < LIMIT);
}

/* The store refuses a host for 9 s; reads through others keep it current. */
static void
test_relayed_reads(void)
{
	outcome_t out = replay_run(&(replay_t){
	    .fails_from = 10,
	    .fails_until = 19,
	    .relayed_at = 10.5,
	});

	CU_ASSERT(out.aging_at <= 0 && out.stale_at <= 0);
}

/* Guards against keys accepted before the first complete read. */
static void
test_start(void)
{
	CU_ASSERT(key_freshness_state(LIMIT, 0, 1) == KEYS_STALE);
	CU_ASSERT(key_freshness_state(LIMIT, 0, 1e9) == KEYS_STALE);
	CU_ASSERT(key_freshness_state(0, 0, 1e9) == KEYS_CURRENT);
	CU_ASSERT(key_freshness_state(LIMIT, 10, 10) == KEYS_CURRENT);
	CU_ASSERT(key_freshness_state(LIMIT, 10, 13.01) == KEYS_AGING);
	CU_ASSERT(key_freshness_state(LIMIT, 10, 14.89) == KEYS_AGING);
	CU_ASSERT(key_freshness_state(LIMIT, 10, 14.91) == KEYS_STALE);
}

static const suite_test_t tests[] = {
    {"calm", test_calm},
    {"store silent", test_store_silent},
    {"freeze", test_freeze},
    {"relayed reads", test_relayed_reads},
    {"start", test_start},
};

SUITE_MAIN("key_freshness", tests)
