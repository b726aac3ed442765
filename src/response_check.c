/* Decides whether an endpoint's response belongs to a request. No I/O. */
#include "response_check.h"

#include <stddef.h>
#include <string.h>

/* Returns whether a response states that its request did not run. */
bool
response_is_refusal(const response_head_t *head)
{
	return (head->status == STATUS_MISDIRECTED_REQUEST || head->not_run);
}

/*
 * Returns whether a status promises a caller that its request has not run and
 * never will. An endpoint's response with it that is no refusal does not say
 * so, and can't be passed on.
 */
bool
response_status_promises_not_run(int status)
{
	return (status == STATUS_REQUEST_TIMEOUT ||
		status == STATUS_MISDIRECTED_REQUEST ||
		status == STATUS_TOO_MANY_REQUESTS ||
		status == STATUS_SERVICE_UNAVAILABLE);
}

static response_fault_t
success_fault(const response_head_t *head)
{
	if (head->request_id == NULL || head->signature == NULL ||
	    head->signature[0] == '\0')
		return (RESPONSE_UNSIGNED);
	return (head->encoding == NULL ? RESPONSE_SOUND : RESPONSE_ENCODED);
}

/*
 * Returns why a response with this head cannot be that of a request, or
 * RESPONSE_SOUND. Without an id it may be one that the endpoint sends once
 * more, or late, on a kept connection.
 */
response_fault_t
response_head_fault(const response_head_t *head, const char *request_id)
{
	bool success = head->status >= 200 && head->status < 300;

	if (head->request_id != NULL &&
	    strcmp(head->request_id, request_id) != 0)
		return (RESPONSE_OTHER_REQUEST);
	if (head->request_id == NULL && head->reused)
		return (RESPONSE_UNIDENTIFIED);
	if (success && !response_is_refusal(head))
		return (success_fault(head));
	return (RESPONSE_SOUND);
}

/* Returns the name of a fault in logs and metrics. */
const char *
response_fault_name(response_fault_t fault)
{
	static const char *const names[RESPONSE_FAULTS] = {
	    [RESPONSE_SOUND] = "none",
	    [RESPONSE_OTHER_REQUEST] = "other_request",
	    [RESPONSE_UNIDENTIFIED] = "unidentified",
	    [RESPONSE_UNSIGNED] = "unsigned",
	    [RESPONSE_ENCODED] = "encoded",
	    [RESPONSE_HEAD_BROKEN] = "head_broken",
	    [RESPONSE_HEAD_INVALID] = "head_invalid",
	    [RESPONSE_EMPTY] = "empty",
	};

	return (names[fault]);
}
