/*
 * Endpoints that one holder could not reach a short time ago.
 *
 * Load: an endpoint is cut off from some hosts only. It answers the others, so
 * that it is not ejected, or it is ejected although they could use it.
 */
#include "path_failures.h"

#include <math.h>

#define FIRST_AVOID_S 4.0
/* Each further failure doubles the time; a trial costs a repeated request. */
#define MAX_AVOID_S 32.0
/* A failure is forgotten this long after the holder may try again. */
#define MEMORY_S 10.0

static bool
is_remembered(const path_failure_t *failure, double now)
{
	return (
	    failure->endpoint != 0 && now < failure->avoid_until + MEMORY_S);
}

static path_failure_t *
failure_find(path_failures_t *failures, uint64_t endpoint)
{
	for (size_t i = 0; i < PATH_FAILURES_MAX; i++)
		if (failures->entries[i].endpoint == endpoint)
			return (&failures->entries[i]);
	return (NULL);
}

/* Returns an entry for a new failure, in place of the oldest if need be. */
static path_failure_t *
failure_slot(path_failures_t *failures)
{
	path_failure_t *oldest = &failures->entries[0];

	for (size_t i = 0; i < PATH_FAILURES_MAX; i++) {
		path_failure_t *failure = &failures->entries[i];

		if (failure->endpoint == 0)
			return (failure);
		if (failure->avoid_until < oldest->avoid_until)
			oldest = failure;
	}
	return (oldest);
}

/*
 * Records that the holder could not reach an endpoint. Failures of requests
 * that were sent before the first one was known do not lengthen the time.
 * Returns for how many seconds to avoid the endpoint, 0 if that was known.
 */
double
path_failures_add(path_failures_t *failures, uint64_t endpoint, double now)
{
	path_failure_t *failure = failure_find(failures, endpoint);

	if (failure != NULL && now < failure->avoid_until)
		return (0);
	if (failure == NULL || !is_remembered(failure, now)) {
		if (failure == NULL)
			failure = failure_slot(failures);
		*failure = (path_failure_t){.endpoint = endpoint};
	}
	failure->seconds = failure->seconds > 0
			       ? fmin(failure->seconds * 2, MAX_AVOID_S)
			       : FIRST_AVOID_S;
	failure->avoid_until = now + failure->seconds;
	return (failure->seconds);
}

/* Forgets an endpoint that has answered the holder. */
void
path_failures_remove(path_failures_t *failures, uint64_t endpoint)
{
	path_failure_t *failure = failure_find(failures, endpoint);

	if (failure != NULL)
		*failure = (path_failure_t){0};
}

/* Returns whether the holder's requests must be kept from the endpoint. */
bool
path_failures_avoid(
    const path_failures_t *failures, uint64_t endpoint, double now)
{
	for (size_t i = 0; i < PATH_FAILURES_MAX; i++)
		if (failures->entries[i].endpoint == endpoint)
			return (now < failures->entries[i].avoid_until);
	return (false);
}

/* Returns whether the holder failed there and has had no answer since. */
bool
path_failures_known(
    const path_failures_t *failures, uint64_t endpoint, double now)
{
	for (size_t i = 0; i < PATH_FAILURES_MAX; i++)
		if (failures->entries[i].endpoint == endpoint)
			return (is_remembered(&failures->entries[i], now));
	return (false);
}

/* Returns whether any failure is remembered. */
bool
path_failures_any(const path_failures_t *failures, double now)
{
	for (size_t i = 0; i < PATH_FAILURES_MAX; i++)
		if (is_remembered(&failures->entries[i], now))
			return (true);
	return (false);
}
