/* Intents of non-repeatable requests, recorded by the shards' owners. */
#include "intent_durable.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "clock.h"
#include "result.h"

/* Outcomes and voids are sent again until the log took them, in seconds. */
#define SETTLE_TIMEOUT_S 600.0
/* Limit for an intent while no configuration is known, in seconds. */
#define DEFAULT_ASK_TIMEOUT_S 10.0
/*
 * A resend may come while the first request is running or its outcome is being
 * recorded; the intent is asked again at this interval, in seconds.
 */
#define ASK_AGAIN_S 0.2
/* Requests remembered between their intent and its outcome. */
#define MAX_OPEN 8192

typedef enum open_state_t {
	OPEN_ASKING,
	OPEN_ANSWERED,
	OPEN_SETTLING,
} open_state_t;

/* One request between its intent and its outcome. */
typedef struct open_intent_t {
	intent_durable_t *intents;
	open_state_t state;
	char *org;
	char *key;
	char *request_id;
	uint64_t attempt;
	uint64_t start_before; /* wall clock seconds */
	double ask_until;      /* monotonic seconds */
	ev_timer again;
	intent_answer_cb_t on_answer;
	intent_done_cb_t on_done;
	void *ctx;
	TAILQ_ENTRY(open_intent_t) entry;
} open_intent_t;

struct intent_durable_t {
	struct ev_loop *loop;
	durable_t *durable;
	const fleet_config_t *(*config)(void *ctx);
	void *config_ctx;
	size_t count;
	TAILQ_HEAD(open_head_t, open_intent_t) open; /* oldest first */
};

static void
open_free(open_intent_t *open)
{
	ev_timer_stop(open->intents->loop, &open->again);
	TAILQ_REMOVE(&open->intents->open, open, entry);
	open->intents->count--;
	free(open->org);
	free(open->key);
	free(open->request_id);
	free(open);
}

/* Forgets the oldest requests that ended without an outcome or a void. */
static void
open_trim(intent_durable_t *intents)
{
	open_intent_t *open = TAILQ_FIRST(&intents->open);

	while (intents->count > MAX_OPEN && open != NULL) {
		open_intent_t *next = TAILQ_NEXT(open, entry);

		if (open->state == OPEN_ANSWERED)
			open_free(open);
		open = next;
	}
}

static open_intent_t *
open_find(intent_durable_t *intents, const intent_t *intent)
{
	open_intent_t *open;

	TAILQ_FOREACH_REVERSE(open, &intents->open, open_head_t, entry)
	if (open->state == OPEN_ANSWERED &&
	    strcmp(open->org, intent->org) == 0 &&
	    strcmp(open->key, intent->key) == 0 &&
	    strcmp(open->request_id, intent->request_id) == 0)
		return (open);
	return (NULL);
}

static void on_permit(void *ctx, int rc, const durable_permit_t *permit);

static void
open_ask(open_intent_t *open)
{
	double left = open->ask_until - clock_monotonic();

	durable_intent(open->intents->durable,
	    &(durable_intent_t){
		.org = open->org,
		.key = open->key,
		.request = open->request_id,
		.start_before = open->start_before,
	    },
	    left > ASK_AGAIN_S ? left : ASK_AGAIN_S, on_permit, open);
}

static void
on_again(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	open_ask(timer->data);
}

static void
on_permit(void *ctx, int rc, const durable_permit_t *permit)
{
	open_intent_t *open = ctx;
	intent_answer_t answer = {.rc = rc};

	if (rc == -RESULT_IN_PROGRESS && clock_monotonic() < open->ask_until) {
		ev_timer_set(&open->again, ASK_AGAIN_S, 0);
		ev_timer_start(open->intents->loop, &open->again);
		return;
	}
	open->state = OPEN_ANSWERED;
	if (permit != NULL) {
		open->attempt = permit->attempt;
		answer.recorded = rc == 0 && !permit->run;
		answer.status = permit->status;
		answer.body = permit->body;
	}
	open->on_answer(open->ctx, &answer);
}

/* Returns the seconds within which an intent must be answered. */
static double
ask_timeout(const intent_durable_t *intents)
{
	const fleet_config_t *config = intents->config(intents->config_ctx);

	return (config != NULL ? config->fleet.accept_timeout_ms / 1000.0
			       : DEFAULT_ASK_TIMEOUT_S);
}

static void
ask(void *ops_ctx, const intent_t *intent, intent_answer_cb_t on_answer,
    void *ctx)
{
	intent_durable_t *intents = ops_ctx;
	open_intent_t *open = xcalloc(1, sizeof(*open));

	open->intents = intents;
	open->org = xstrdup(intent->org);
	open->key = xstrdup(intent->key);
	open->request_id = xstrdup(intent->request_id);
	open->start_before = (uint64_t)intent->start_before;
	open->ask_until = clock_monotonic() + ask_timeout(intents);
	open->on_answer = on_answer;
	open->ctx = ctx;
	ev_timer_init(&open->again, on_again, 0, 0);
	open->again.data = open;
	TAILQ_INSERT_TAIL(&intents->open, open, entry);
	intents->count++;
	open_trim(intents);
	open_ask(open);
}

static void
on_settled(void *ctx, int rc)
{
	open_intent_t *open = ctx;
	intent_done_cb_t on_done = open->on_done;
	void *done_ctx = open->ctx;

	open_free(open);
	on_done(done_ctx, rc);
}

static void
outcome(void *ops_ctx, const intent_t *intent, int status, str_t body,
    intent_done_cb_t on_done, void *ctx)
{
	intent_durable_t *intents = ops_ctx;
	open_intent_t *open = open_find(intents, intent);

	open->state = OPEN_SETTLING;
	open->on_done = on_done;
	open->ctx = ctx;
	durable_outcome(intents->durable, open->org, open->key, open->attempt,
	    status, body, SETTLE_TIMEOUT_S, on_settled, open);
}

static void
withdraw(
    void *ops_ctx, const intent_t *intent, intent_done_cb_t on_done, void *ctx)
{
	intent_durable_t *intents = ops_ctx;
	open_intent_t *open = open_find(intents, intent);

	open->state = OPEN_SETTLING;
	open->on_done = on_done;
	open->ctx = ctx;
	/* A caller waits for the answer to be certain, so the limit is short.
	 */
	durable_void(intents->durable, open->org, open->key, open->attempt,
	    ask_timeout(intents), on_settled, open);
}

const intent_ops_t intent_durable_ops = {
    .ask = ask,
    .outcome = outcome,
    .withdraw = withdraw,
};

/* Connects intents to the durable calls. */
intent_durable_t *
intent_durable_new(struct ev_loop *loop, durable_t *durable,
    const fleet_config_t *(*config)(void *ctx), void *config_ctx)
{
	intent_durable_t *intents = xcalloc(1, sizeof(*intents));

	intents->loop = loop;
	intents->durable = durable;
	intents->config = config;
	intents->config_ctx = config_ctx;
	TAILQ_INIT(&intents->open);
	return (intents);
}

/* Forgets all open requests; durable_delete() must come before it. */
void
intent_durable_delete(intent_durable_t *intents)
{
	open_intent_t *open;

	while ((open = TAILQ_FIRST(&intents->open)) != NULL)
		open_free(open);
	free(intents);
}
