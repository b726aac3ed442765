/* Retry policy of batch items. */
#include "batch_item.h"

#include "result.h"

/* Bounds of the exponential backoff between attempts, in seconds. */
#define RETRY_DELAY_MIN_S 0.05
#define RETRY_DELAY_MAX_S 5.0
/*
 * Attempts, counted against the item or not, after which it fails. Without this
 * limit an item that crashes every endpoint would be retried forever.
 */
#define MAX_TOTAL_ATTEMPTS 24

static double
retry_delay(unsigned total_attempts)
{
	double delay = RETRY_DELAY_MIN_S;

	while (total_attempts-- > 0 && delay < RETRY_DELAY_MAX_S)
		delay *= 2;
	return (delay < RETRY_DELAY_MAX_S ? delay : RETRY_DELAY_MAX_S);
}

/*
 * Decides whether an item is retried after an attempt. A refusal by the
 * endpoint is final. Any other failure counts against the item only if the
 * request was sent and the endpoint has not failed for other items as well.
 */
item_decision_t
item_decide_retry(const item_attempt_t *attempt)
{
	item_decision_t decision = {
	    .state = ITEM_PENDING,
	    .counted_attempts = attempt->counted_attempts,
	    .delay = retry_delay(attempt->total_attempts),
	};

	if (attempt->rc == 0) {
		decision.state = ITEM_SUCCEEDED;
		decision.counted_attempts++;
		return (decision);
	}
	if (attempt->rc == -RESULT_ENDPOINT_REFUSED) {
		decision.state = ITEM_FAILED;
		decision.counted_attempts++;
		return (decision);
	}
	if (attempt->sent && attempt->no_repeat) {
		decision.state = ITEM_UNKNOWN;
		decision.counted_attempts++;
		return (decision);
	}
	if (attempt->sent && !attempt->endpoint_suspect)
		decision.counted_attempts++;
	if (decision.counted_attempts >= attempt->max_attempts ||
	    (attempt->sent &&
		attempt->total_attempts + 1 >= MAX_TOTAL_ATTEMPTS))
		decision.state = ITEM_FAILED;
	return (decision);
}
