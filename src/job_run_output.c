/* The output of an item: collects its events and decides what is believed. */
#include "job_run_state.h"

#include "logger.h"
#include "utf8.h"

/* A longer output is considered endless and is discarded. */
#define MAX_OUTPUT_BYTES (8U << 20)

/*
 * Returns whether an output can have no valid end: it is too large, or it has
 * more events than the item may have tokens.
 */
bool
item_output_is_endless(const item_run_t *item)
{
	unsigned tokens = item->item->tokens;

	return (item->output.len > MAX_OUTPUT_BYTES ||
		(tokens > 0 && item->events > tokens));
}

/* Adds an event to the output. Returns false if the output is endless. */
bool
item_add_event(void *ctx, const relay_event_t *event)
{
	item_run_t *item = ctx;

	if (item->events++ > 0)
		buf_append_char(&item->output, '\n');
	relay_event_data(event, &item->output);
	item->tries = 0;
	return (!item_output_is_endless(item));
}

/*
 * Returns whether the output of a run that was whole is that of the item. An
 * output that is no text has been spoiled on its way, unless another endpoint
 * sends the same one.
 */
bool
item_output_is_believed(item_run_t *item)
{
	str_t output = str_buf(&item->output);
	uint64_t endpoint = str_hash(str_of(item->endpoint), 0);
	uint64_t hash;
	bool repeated;

	if (utf8_is_text(output))
		return (true);
	hash = str_hash(output, 0);
	repeated = item->rejected_output == hash &&
		   item->rejected_endpoint != endpoint;
	LOG_WARN("item_output_not_text",
	    "item=" STR_FMT " job=%s endpoint=%s bytes=%zu repeated=%d",
	    STR_ARG(item->item->id), item->run->job->id, item->endpoint,
	    output.len, repeated);
	if (repeated)
		return (true);
	item->rejected_output = hash;
	item->rejected_endpoint = endpoint;
	counter_add(item->run->runner->counters.not_text, 1);
	return (false);
}

/*
 * Returns the endpoint that an item is not to run on again, as long as there
 * are others, or "".
 */
const char *
item_endpoint_to_avoid(const item_run_t *item)
{
	return (item->rejected_output != 0 ? item->endpoint : "");
}

/* Discards output that cannot be valid; the item starts from the beginning. */
void
item_discard_output(item_run_t *item)
{
	buf_free(&item->output);
	item->events = 0;
	item->relay.has_last_id = false;
	item->relay.last_id = 0;
}
