/* Generations of the stand-in engine: slots, queue, token streams. */
#include "standin_sequences.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "standin_server.h"
#include "standin_tokens.h"

/*
 * Seconds for which a generation without a connection goes on, and for which a
 * finished one can still be resumed.
 */
#define DETACHED_S 5.0

typedef enum sequence_state_t {
	SEQUENCE_WAITING,
	SEQUENCE_RUNNING,
	SEQUENCE_FINISHED,
} sequence_state_t;

typedef struct sequence_t {
	standin_sequences_t *owner;
	char *id;
	char *id_json; /* quoted and escaped */
	buf_t prompt;
	unsigned max_tokens;
	unsigned start;
	unsigned next; /* index of the next token to produce */
	unsigned end;  /* index after the last token */
	sequence_state_t state;
	http_request_t *caller; /* NULL: detached */
	bool stream;
	bool muted;    /* the caller gets nothing more */
	unsigned sent; /* index of the next token to send to the caller */
	double due;    /* when the next token is ready */
	ev_timer work;
	ev_timer drop;
	TAILQ_ENTRY(sequence_t) entry;
} sequence_t;

struct standin_sequences_t {
	struct ev_loop *loop;
	standin_sequences_params_t params;
	TAILQ_HEAD(sequence_list_t, sequence_t) waiting, running, finished;
	standin_sequences_load_t load;
	unsigned max_running;
	unsigned max_waiting;
	uint64_t started;
	uint64_t completed;
	uint64_t cancelled;
	uint64_t dropped;
	uint64_t tokens;
	standin_fault_t fault;
	unsigned fault_every;
	uint64_t events;
	json_t *by_request; /* id: {started, finished, cancelled, continued} */
	json_t *by_prompt;  /* the same by the prompt's hash */
};

static void sequences_admit(standin_sequences_t *sequences);

static void
count_in(json_t *counts, const char *key, const char *what)
{
	json_t *entry = json_object_get(counts, key);
	json_int_t value;

	if (entry == NULL) {
		entry = json_object();
		json_object_set_new(counts, key, entry);
	}
	value = json_integer_value(json_object_get(entry, what));
	json_object_set_new(entry, what, json_integer(value + 1));
}

static void
sequence_count(const sequence_t *sequence, const char *what)
{
	char key[STANDIN_PROMPT_KEY_SIZE];

	count_in(sequence->owner->by_request, sequence->id, what);
	count_in(sequence->owner->by_prompt,
	    standin_prompt_key(str_buf(&sequence->prompt), key), what);
}

static struct sequence_list_t *
sequence_list(sequence_t *sequence)
{
	switch (sequence->state) {
	case SEQUENCE_WAITING:
		return (&sequence->owner->waiting);
	case SEQUENCE_RUNNING:
		return (&sequence->owner->running);
	case SEQUENCE_FINISHED:
		break;
	}
	return (&sequence->owner->finished);
}

/* Moves a sequence to the end of another state's list. */
static void
sequence_set_state(sequence_t *sequence, sequence_state_t state)
{
	standin_sequences_t *owner = sequence->owner;

	TAILQ_REMOVE(sequence_list(sequence), sequence, entry);
	owner->load.waiting -= sequence->state == SEQUENCE_WAITING;
	owner->load.running -= sequence->state == SEQUENCE_RUNNING;
	sequence->state = state;
	TAILQ_INSERT_TAIL(sequence_list(sequence), sequence, entry);
	owner->load.running += state == SEQUENCE_RUNNING;
}

/* Closes the connection to the caller, if any, before the answer is whole. */
static void
sequence_abort_caller(sequence_t *sequence)
{
	if (sequence->caller != NULL)
		http_request_stream_abort(sequence->caller);
	sequence->caller = NULL;
}

static void
sequence_delete(sequence_t *sequence)
{
	sequence_abort_caller(sequence);
	sequence_set_state(sequence, SEQUENCE_FINISHED);
	TAILQ_REMOVE(&sequence->owner->finished, sequence, entry);
	ev_timer_stop(sequence->owner->loop, &sequence->work);
	ev_timer_stop(sequence->owner->loop, &sequence->drop);
	free(sequence->id);
	free(sequence->id_json);
	buf_free(&sequence->prompt);
	free(sequence);
}

static void
sequence_start_drop(sequence_t *sequence)
{
	ev_timer_stop(sequence->owner->loop, &sequence->drop);
	ev_timer_set(&sequence->drop, DETACHED_S, 0);
	ev_timer_start(sequence->owner->loop, &sequence->drop);
}

static void
on_drop(struct ev_loop *loop, ev_timer *timer, int events)
{
	sequence_t *sequence = timer->data;
	standin_sequences_t *owner = sequence->owner;

	(void)loop;
	(void)events;
	if (sequence->state != SEQUENCE_FINISHED) {
		owner->dropped++;
		sequence_count(sequence, "dropped");
	}
	sequence_delete(sequence);
	sequences_admit(owner);
}

static void
on_caller_close(void *ctx)
{
	sequence_t *sequence = ctx;

	sequence->caller = NULL;
	sequence_start_drop(sequence);
}

static void
sequence_write_event(sequence_t *sequence, const char *id_json, unsigned index)
{
	char token[STANDIN_TOKEN_SIZE];
	str_t text = standin_token(str_buf(&sequence->prompt), index, token);
	buf_t event = {0};

	buf_printf(&event,
	    "data: {\"id\": %s, \"index\": %u, \"text\": \"" STR_FMT "\"}\n\n",
	    id_json, index, STR_ARG(text));
	http_request_stream_write(sequence->caller, str_buf(&event));
	buf_free(&event);
}

/* Writes an event and the fault that falls on it. */
static void
sequence_write_faulty(sequence_t *sequence, unsigned index)
{
	switch (sequence->owner->fault) {
	case STANDIN_FAULT_FOREIGN:
		sequence_write_event(sequence, "\"another-request\"", index);
		break;
	case STANDIN_FAULT_DUPLICATE:
		sequence_write_event(sequence, sequence->id_json, index);
		break;
	case STANDIN_FAULT_SKIP:
		return;
	case STANDIN_FAULT_BREAK:
		sequence_abort_caller(sequence);
		sequence_start_drop(sequence);
		return;
	case STANDIN_FAULT_STALL:
		sequence->muted = true;
		return;
	case STANDIN_FAULT_NONE:
		break;
	}
	sequence_write_event(sequence, sequence->id_json, index);
}

/* Sends the tokens that were produced and not sent to the caller. */
static void
sequence_flush(sequence_t *sequence)
{
	standin_sequences_t *owner = sequence->owner;

	while (sequence->caller != NULL && sequence->stream &&
	       !sequence->muted && sequence->sent < sequence->next) {
		unsigned index = sequence->sent++;

		owner->events++;
		if (owner->fault_every > 0 &&
		    owner->events % owner->fault_every == 0)
			sequence_write_faulty(sequence, index);
		else
			sequence_write_event(
			    sequence, sequence->id_json, index);
	}
}

/* Sends a whole answer to a caller that did not ask for a stream. */
static void
sequence_reply_whole(sequence_t *sequence, const char *reason)
{
	buf_t text = {0};
	char token[STANDIN_TOKEN_SIZE];

	for (unsigned i = sequence->start; i < sequence->end; i++)
		buf_append(
		    &text, standin_token(str_buf(&sequence->prompt), i, token));
	standin_reply_json(sequence->caller, 200,
	    json_pack("{s:s,s:s%,s:s,s:i}", "id", sequence->id, "text",
		text.len > 0 ? text.data : "", text.len, "finish_reason",
		reason, "tokens", (int)sequence->end));
	buf_free(&text);
}

/*
 * Completes the caller's answer. The finish event counts the tokens of the
 * whole answer, including those before start_index.
 */
static void
sequence_send_finish(sequence_t *sequence)
{
	const char *reason =
	    sequence->end < sequence->max_tokens ? "stop" : "length";
	buf_t event = {0};

	if (sequence->caller == NULL || sequence->muted)
		return;
	if (!sequence->stream) {
		sequence_reply_whole(sequence, reason);
		sequence->caller = NULL;
		return;
	}
	buf_printf(&event,
	    "data: {\"id\": %s, \"finish_reason\": \"%s\", "
	    "\"tokens\": %u}\n\ndata: [DONE]\n\n",
	    sequence->id_json, reason, sequence->end);
	http_request_stream_write(sequence->caller, str_buf(&event));
	http_request_stream_end(sequence->caller);
	sequence->caller = NULL;
	buf_free(&event);
}

static void
sequence_finish(sequence_t *sequence)
{
	standin_sequences_t *owner = sequence->owner;

	owner->completed++;
	sequence_count(sequence, "finished");
	sequence_set_state(sequence, SEQUENCE_FINISHED);
	sequence_send_finish(sequence);
	sequence_start_drop(sequence);
	sequences_admit(owner);
}

/* Schedules the next step; due times do not drift with the loop's delays. */
static void
sequence_schedule(sequence_t *sequence, double seconds)
{
	struct ev_loop *loop = sequence->owner->loop;
	double delay;

	sequence->due += seconds;
	delay = sequence->due - ev_now(loop);
	ev_timer_set(&sequence->work, delay > 0 ? delay : 0, 0);
	ev_timer_start(loop, &sequence->work);
}

/* Produces one token. */
static void
on_work(struct ev_loop *loop, ev_timer *timer, int events)
{
	sequence_t *sequence = timer->data;
	standin_sequences_t *owner = sequence->owner;

	(void)events;
	if (sequence->next == sequence->start)
		standin_cache_insert(owner->params.cache,
		    str_buf(&sequence->prompt), ev_now(loop));
	if (sequence->next < sequence->end) {
		sequence->next++;
		owner->tokens++;
	}
	sequence_flush(sequence);
	if (sequence->next >= sequence->end)
		sequence_finish(sequence);
	else
		sequence_schedule(
		    sequence, owner->params.token *
				  (1 + owner->params.slowdown *
					   (double)(owner->load.running - 1)));
}

/* Gives free slots to waiting sequences in order of arrival. */
static void
sequences_admit(standin_sequences_t *sequences)
{
	sequence_t *sequence;

	while (sequences->load.running < sequences->params.slots &&
	       (sequence = TAILQ_FIRST(&sequences->waiting)) != NULL) {
		sequence_set_state(sequence, SEQUENCE_RUNNING);
		if (sequences->load.running > sequences->max_running)
			sequences->max_running = sequences->load.running;
		sequences->started++;
		sequence_count(sequence, "started");
		if (sequence->start > 0)
			sequence_count(sequence, "continued");
		sequence->due = ev_now(sequences->loop);
		sequence_schedule(
		    sequence, sequences->params.prefill *
				  standin_cache_missing(sequences->params.cache,
				      str_buf(&sequence->prompt)));
	}
}

static sequence_t *
list_find(const struct sequence_list_t *list, const char *id)
{
	sequence_t *sequence;

	TAILQ_FOREACH (sequence, list, entry)
		if (strcmp(sequence->id, id) == 0)
			return (sequence);
	return (NULL);
}

static sequence_t *
sequences_find(const standin_sequences_t *sequences, const char *id)
{
	sequence_t *sequence = list_find(&sequences->running, id);

	if (sequence == NULL)
		sequence = list_find(&sequences->waiting, id);
	if (sequence == NULL)
		sequence = list_find(&sequences->finished, id);
	return (sequence);
}

/* Makes an engine's set of generations, which lives as long as the process. */
standin_sequences_t *
standin_sequences_new(
    struct ev_loop *loop, const standin_sequences_params_t *params)
{
	standin_sequences_t *sequences = xcalloc(1, sizeof(*sequences));

	sequences->loop = loop;
	sequences->params = *params;
	TAILQ_INIT(&sequences->waiting);
	TAILQ_INIT(&sequences->running);
	TAILQ_INIT(&sequences->finished);
	sequences->by_request = json_object();
	sequences->by_prompt = json_object();
	return (sequences);
}

static char *
json_quote(const char *text)
{
	json_t *string = json_string(text);
	char *quoted = json_dumps(string, JSON_ENCODE_ANY);

	json_decref(string);
	return (quoted);
}

/*
 * Queues a generation and answers the request as it proceeds. Returns 0, or
 * -EEXIST when the id is in use; then the request is not answered.
 */
int
standin_sequences_start(standin_sequences_t *sequences,
    const standin_sequence_params_t *params, http_request_t *request)
{
	sequence_t *sequence;

	if (sequences_find(sequences, params->id) != NULL)
		return (-EEXIST);
	sequence = xcalloc(1, sizeof(*sequence));
	sequence->owner = sequences;
	sequence->id = xstrdup(params->id);
	sequence->id_json = json_quote(params->id);
	buf_append(&sequence->prompt, params->prompt);
	sequence->max_tokens = params->max_tokens;
	sequence->start = params->start_index;
	sequence->next = params->start_index;
	sequence->sent = params->start_index;
	sequence->end =
	    standin_answer_tokens(params->prompt, params->max_tokens);
	if (sequence->end < sequence->start)
		sequence->end = sequence->start;
	sequence->stream = params->stream;
	sequence->caller = request;
	ev_timer_init(&sequence->work, on_work, 0, 0);
	ev_timer_init(&sequence->drop, on_drop, 0, 0);
	sequence->work.data = sequence;
	sequence->drop.data = sequence;
	TAILQ_INSERT_TAIL(&sequences->waiting, sequence, entry);
	sequences->load.waiting++;
	http_request_on_close(request, on_caller_close, sequence);
	if (params->stream)
		http_request_stream_begin(request, 200, "text/event-stream");
	sequences_admit(sequences);
	if (sequences->load.waiting > sequences->max_waiting)
		sequences->max_waiting = sequences->load.waiting;
	return (0);
}

/*
 * Continues a generation's stream on another connection from a token on; the
 * connection before is closed. Returns 0, -ENOENT for an unknown id or -EINVAL
 * when the tokens from there on are not part of it.
 */
int
standin_sequences_resume(standin_sequences_t *sequences, const char *id,
    unsigned from, http_request_t *request)
{
	sequence_t *sequence = sequences_find(sequences, id);

	if (sequence == NULL)
		return (-ENOENT);
	if (from < sequence->start || from > sequence->end)
		return (-EINVAL);
	sequence_abort_caller(sequence);
	ev_timer_stop(sequences->loop, &sequence->drop);
	sequence->caller = request;
	sequence->stream = true;
	sequence->muted = false;
	sequence->sent = from;
	http_request_on_close(request, on_caller_close, sequence);
	http_request_stream_begin(request, 200, "text/event-stream");
	sequence_flush(sequence);
	if (sequence->state == SEQUENCE_FINISHED) {
		sequence_send_finish(sequence);
		sequence_start_drop(sequence);
	}
	return (0);
}

/*
 * Ends a generation and frees its slot at once. Returns 0, or -ENOENT when the
 * id is unknown or the generation has finished.
 */
int
standin_sequences_cancel(standin_sequences_t *sequences, const char *id)
{
	sequence_t *sequence = sequences_find(sequences, id);

	if (sequence == NULL || sequence->state == SEQUENCE_FINISHED)
		return (-ENOENT);
	sequences->cancelled++;
	sequence_count(sequence, "cancelled");
	sequence_delete(sequence);
	sequences_admit(sequences);
	return (0);
}

/* Finds the prompt of a generation. Returns 0, or -ENOENT. */
int
standin_sequences_prompt(
    const standin_sequences_t *sequences, const char *id, str_t *prompt)
{
	sequence_t *sequence = sequences_find(sequences, id);

	if (sequence == NULL)
		return (-ENOENT);
	*prompt = str_buf(&sequence->prompt);
	return (0);
}

/* Injects a fault into every so many token events; 0: into none. */
void
standin_sequences_inject(
    standin_sequences_t *sequences, standin_fault_t fault, unsigned every)
{
	sequences->fault = fault;
	sequences->fault_every = every;
	sequences->events = 0;
}

/* Returns the number of running and waiting generations. */
standin_sequences_load_t
standin_sequences_load(const standin_sequences_t *sequences)
{
	return (sequences->load);
}

/* Returns a new JSON object with the engine's totals. */
json_t *
standin_sequences_stats(const standin_sequences_t *sequences)
{
	return (json_pack("{s:i,s:i,s:i,s:i,s:I,s:I,s:I,s:I,s:I,s:I}",
	    "running", (int)sequences->load.running, "waiting",
	    (int)sequences->load.waiting, "max_running",
	    (int)sequences->max_running, "max_waiting",
	    (int)sequences->max_waiting, "started",
	    (json_int_t)sequences->started, "finished",
	    (json_int_t)sequences->completed, "cancelled",
	    (json_int_t)sequences->cancelled, "dropped",
	    (json_int_t)sequences->dropped, "tokens",
	    (json_int_t)sequences->tokens, "cache_hits",
	    (json_int_t)standin_cache_hits(sequences->params.cache)));
}

/* Returns a new JSON object with the counts by request id and by prompt. */
json_t *
standin_sequences_executions(const standin_sequences_t *sequences)
{
	return (json_pack("{s:O,s:O}", "requests", sequences->by_request,
	    "prompts", sequences->by_prompt));
}
