/* The decision what follows after one try of a batch item. */
#include "batch_item.h"

#include "result.h"

/* Delay before another try: doubles with each from the first to the last. */
#define DELAY_MIN_S 0.05
#define DELAY_MAX_S 5.0
/*
 * Tries of any kind after which an item ends as failed, so that one which
 * brings down every endpoint it meets does not do so for ever.
 */
#define TOTAL_TRIES_MAX 24

static double
retry_delay(unsigned total)
{
	double delay = DELAY_MIN_S;

	while (total-- > 0 && delay < DELAY_MAX_S)
		delay *= 2;
	return (delay < DELAY_MAX_S ? delay : DELAY_MAX_S);
}

/*
 * Tells apart the item's own fault from the endpoint's: a refusal is the item's
 * and final; a failure counts against the item only when it reached the
 * endpoint and the endpoint did not fail for other items as well.
 */
item_verdict_t
item_judge(const item_try_t *attempt)
{
	item_verdict_t verdict = {
	    .state = ITEM_PENDING,
	    .tries = attempt->tries,
	    .delay = retry_delay(attempt->total),
	};

	if (attempt->rc == 0) {
		verdict.state = ITEM_SUCCEEDED;
		verdict.tries++;
		return (verdict);
	}
	if (attempt->rc == -RESULT_ENDPOINT_REFUSED) {
		verdict.state = ITEM_FAILED;
		verdict.tries++;
		return (verdict);
	}
	if (attempt->sent && attempt->no_repeat) {
		verdict.state = ITEM_UNKNOWN;
		verdict.tries++;
		return (verdict);
	}
	if (attempt->sent && !attempt->endpoint_suspect)
		verdict.tries++;
	if (verdict.tries >= attempt->max_tries ||
	    (attempt->sent && attempt->total + 1 >= TOTAL_TRIES_MAX))
		verdict.state = ITEM_FAILED;
	return (verdict);
}
