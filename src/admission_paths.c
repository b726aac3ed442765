/*
 * Outcomes of runs by holder: what they show of the endpoint, and what only of
 * the path between holder and endpoint.
 *
 * Load: endpoints are cut off from some hosts only, for seconds.
 */
#include "admission_state.h"

#include <stdlib.h>

#include "logger.h"
#include "result.h"

/* An endpoint that answered another holder in this time is alive. */
#define ANSWERED_LATELY_S 5.0

static bool
is_path_failure(int rc)
{
	return (rc == -RESULT_ENDPOINT_UNREACHABLE ||
		rc == -RESULT_ENDPOINT_SILENT);
}

/* Records that a holder could not reach an endpoint. */
static void
holder_add_failure(
    slot_holder_t *holder, const slot_endpoint_t *endpoint, int rc, double now)
{
	double seconds;

	if (holder->path_failures == NULL)
		holder->path_failures =
		    xcalloc(1, sizeof(*holder->path_failures));
	seconds = path_failures_add(holder->path_failures, endpoint->hash, now);
	if (seconds > 0)
		LOG_INFO("path_avoided",
		    "host=%s endpoint=%s cause=%s for_s=%.0f", holder->name,
		    endpoint->id.name, result_name(rc), seconds);
}

static bool
answered_other_lately(
    const slot_holder_t *holder, const slot_endpoint_t *endpoint, double now)
{
	return (endpoint->answered_at > 0 &&
		endpoint->answered_holder != holder->hash &&
		now - endpoint->answered_at < ANSWERED_LATELY_S);
}

/*
 * Returns whether a failure says nothing new about the endpoint: the holder
 * failed there before, and others have had answers. A first failure counts, so
 * that an endpoint that has crashed is ejected when a few holders notice.
 */
static bool
is_known_failure(
    const slot_holder_t *holder, const slot_endpoint_t *endpoint, double now)
{
	return (
	    holder->path_failures != NULL &&
	    path_failures_known(holder->path_failures, endpoint->hash, now) &&
	    answered_other_lately(holder, endpoint, now));
}

/*
 * Applies an outcome to the endpoint. If a connection failed, nothing was lost,
 * and an endpoint that answers others is not suspect to all for it.
 */
static void
endpoint_apply(admission_t *a, slot_endpoint_t *endpoint,
    const slot_holder_t *holder, const grant_report_t *report, double now)
{
	double suspect_until = endpoint->ejector.suspect_until;
	bool keep = a->settings.measured_speed &&
		    report->rc == -RESULT_ENDPOINT_UNREACHABLE &&
		    answered_other_lately(holder, endpoint, now);

	slot_endpoint_handle_report(a, endpoint, report, now);
	if (!keep)
		return;
	endpoint->ejector.suspect_until = suspect_until;
	slot_endpoint_refresh_capacity(a, endpoint, now);
}

/* Applies the outcome of a grant's run to its endpoint and its holder. */
void
slot_grant_handle_report(admission_t *a, const slot_grant_t *grant,
    const grant_report_t *report, double now)
{
	slot_holder_t *holder = grant->holder;
	slot_endpoint_t *endpoint = grant->endpoint;
	bool known = false;

	if (a->settings.measured_speed && is_path_failure(report->rc)) {
		known = is_known_failure(holder, endpoint, now);
		holder_add_failure(holder, endpoint, report->rc, now);
	} else if (report->rc == 0) {
		endpoint->answered_at = now;
		endpoint->answered_holder = holder->hash;
		if (holder->path_failures != NULL)
			path_failures_remove(
			    holder->path_failures, endpoint->hash);
	}
	slot_grant_add_run(a, grant, report, now);
	if (!known)
		endpoint_apply(a, endpoint, holder, report, now);
}

/* Returns the endpoints that the holder could not reach; NULL: none. */
const path_failures_t *
slot_holder_path_failures(slot_holder_t *holder, double now)
{
	if (holder->path_failures != NULL &&
	    !path_failures_any(holder->path_failures, now)) {
		free(holder->path_failures);
		holder->path_failures = NULL;
	}
	return (holder->path_failures);
}
