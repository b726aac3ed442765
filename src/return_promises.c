/*
 * Ledger of the times at which refused callers were told to return.
 *
 * Load pattern: demand above the capacity for seconds. Callers who are refused
 * with the same time return together and find no room again. Here the expected
 * capacity is promised to one caller after the other, and what was promised is
 * not available to others.
 *
 * A host does not know its callers. One that returns is recognised by its
 * organisation, by the time and, if it lowers its time limit by the time that
 * has passed, by its deadline, which is then the one of its first try.
 */
#include "return_promises.h"

#include <math.h>
#include <stdlib.h>

#include "name.h"

/* Clocks and the rounding of Retry-After let a caller return this early. */
#define EARLY_S 0.1
/* A promise expires when its caller has not returned after this time. */
#define LATE_S 0.3
/* Deadlines are equal if they differ by less; the rest is network delay. */
#define DEADLINE_TOLERANCE_S 0.05
/*
 * While returns are recognised by deadlines, a request with another deadline is
 * not taken for one.
 */
#define RECOGNITION_S 10.0
/* Callers return no earlier than that. */
#define MIN_RETURN_S 0.2

struct return_promise_t {
	char org[NAME_SIZE];
	unsigned priority;
	double due;
	double caller_deadline;
	bool taken; /* by a request with another deadline */
	TAILQ_ENTRY(return_promise_t) link;
};

void
return_promises_init(return_promises_t *promises)
{
	*promises = (return_promises_t){.recognised_at = -INFINITY};
	TAILQ_INIT(&promises->open);
}

static void
promise_take(return_promises_t *promises, return_promise_t *promise)
{
	if (!promise->taken)
		promises->open_count--;
	promise->taken = true;
}

static void
promise_remove(return_promises_t *promises, return_promise_t *promise)
{
	promise_take(promises, promise);
	TAILQ_REMOVE(&promises->open, promise, link);
	free(promise);
}

/* Forgets all promises and refusals and frees their memory. */
void
return_promises_clear(return_promises_t *promises)
{
	free(promises->refusals);
	promises->refusals = NULL;
	while (!TAILQ_EMPTY(&promises->open))
		promise_remove(promises, TAILQ_FIRST(&promises->open));
}

/* Returns the next time that can be promised, at the earliest the given one. */
double
return_promises_offer(
    const return_promises_t *promises, unsigned priority, double earliest)
{
	return (fmax(
	    earliest, promises->next_due[priority % RETURN_PROMISE_SERIES]));
}

/*
 * Adds a promise. The next one of its priority is due spacing seconds later:
 * the time in which the capacity left for promises serves one request.
 */
void
return_promises_add(return_promises_t *promises, str_t org, unsigned priority,
    double due, double spacing, double caller_deadline)
{
	return_promise_t *promise = xcalloc(1, sizeof(*promise));
	return_promise_t *previous =
	    TAILQ_LAST(&promises->open, return_promise_list_t);

	str_copy(promise->org, sizeof(promise->org), org);
	promise->priority = priority;
	promise->due = due;
	promise->caller_deadline = caller_deadline;
	promises->next_due[priority % RETURN_PROMISE_SERIES] = due + spacing;
	while (previous != NULL && previous->due > due)
		previous = TAILQ_PREV(previous, return_promise_list_t, link);
	if (previous != NULL)
		TAILQ_INSERT_AFTER(&promises->open, previous, promise, link);
	else
		TAILQ_INSERT_HEAD(&promises->open, promise, link);
	promises->open_count++;
}

/*
 * Takes a promise for a request that arrives; returns false if there is none
 * for it. One with the deadline of the request is preferred, even if a request
 * that could not be told from a return has taken it. Otherwise it is the oldest
 * of the organisation, unless other callers were recognised by their deadlines
 * a short time ago.
 */
bool
return_promises_redeem(
    return_promises_t *promises, str_t org, double caller_deadline, double now)
{
	return_promise_t *promise;
	return_promise_t *oldest = NULL;

	return_promises_expire(promises, now);
	TAILQ_FOREACH (promise, &promises->open, link) {
		if (promise->due > now + EARLY_S)
			break;
		if (!str_equal(str_of(promise->org), org))
			continue;
		if (fabs(promise->caller_deadline - caller_deadline) <
		    DEADLINE_TOLERANCE_S) {
			promises->recognised_at = now;
			promise_remove(promises, promise);
			return (true);
		}
		if (oldest == NULL && !promise->taken)
			oldest = promise;
	}
	if (oldest == NULL || now - promises->recognised_at < RECOGNITION_S)
		return (false);
	promise_take(promises, oldest);
	return (true);
}

/* Returns the key of a refusal, for deadlines that differ by little. */
static uint64_t
refusal_key(str_t org, uint64_t kind, long long slot)
{
	return (str_hash(org, kind ^ str_hash(STR("slot"), (uint64_t)slot)));
}

/*
 * Remembers a refusal without a promise until its caller's deadline, which must
 * be known. Where refusals are so many that one is overwritten, its caller
 * counts as a new one. kind is anything that both attempts of a caller have in
 * common: it tells callers apart whose time limits differ.
 */
void
return_promises_note_refusal(return_promises_t *promises, str_t org,
    uint64_t kind, double caller_deadline, double now)
{
	uint64_t key = refusal_key(org, kind,
	    (long long)floor(caller_deadline / DEADLINE_TOLERANCE_S));
	return_refusal_t *refusal;

	if (promises->refusals == NULL)
		promises->refusals =
		    xcalloc(RETURN_REFUSALS, sizeof(*promises->refusals));
	refusal = &promises->refusals[key % RETURN_REFUSALS];
	/* The oldest of equal ones is known for the longest time. */
	if (refusal->key == key)
		return;
	*refusal = (return_refusal_t){.key = key, .at = now};
}

/*
 * Returns whether a request is probably the second try of a caller that was
 * refused without a promise. The deadlines of callers that come for the first
 * time are later than those of the refusals of MIN_RETURN_S ago.
 */
bool
return_promises_was_refused(const return_promises_t *promises, str_t org,
    uint64_t kind, double caller_deadline, double now)
{
	long long slot =
	    (long long)floor(caller_deadline / DEADLINE_TOLERANCE_S);

	if (promises->refusals == NULL)
		return (false);
	/* On its way it may have got a little later. */
	for (int i = -1; i <= 0; i++) {
		uint64_t key = refusal_key(org, kind, slot + i);
		const return_refusal_t *refusal =
		    &promises->refusals[key % RETURN_REFUSALS];

		if (refusal->key == key && now - refusal->at >= MIN_RETURN_S)
			return (true);
	}
	return (false);
}

/* Removes and counts the promises whose callers have not returned. */
void
return_promises_expire(return_promises_t *promises, double now)
{
	return_promise_t *promise;

	while ((promise = TAILQ_FIRST(&promises->open)) != NULL &&
	       promise->due + LATE_S < now) {
		promises->expired += !promise->taken;
		promise_remove(promises, promise);
	}
}

/*
 * Returns how many callers of the given priority or a more urgent one were told
 * to return until then and are still expected.
 */
size_t
return_promises_due(
    const return_promises_t *promises, unsigned priority, double until)
{
	const return_promise_t *promise;
	size_t count = 0;

	TAILQ_FOREACH (promise, &promises->open, link) {
		if (promise->due > until)
			break;
		count += !promise->taken && promise->priority <= priority;
	}
	return (count);
}
