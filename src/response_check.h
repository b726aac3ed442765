/* Decides whether an endpoint's response belongs to a request. No I/O. */
#ifndef DAISYPIER_RESPONSE_CHECK_H
#define DAISYPIER_RESPONSE_CHECK_H

#include <stdbool.h>

enum {
	STATUS_REQUEST_TIMEOUT = 408,
	STATUS_MISDIRECTED_REQUEST = 421, /* it was for another endpoint */
	STATUS_TOO_MANY_REQUESTS = 429,
	STATUS_SERVICE_UNAVAILABLE = 503,
};

/* Why a response is not passed on. */
typedef enum response_fault_t {
	RESPONSE_SOUND,
	RESPONSE_OTHER_REQUEST, /* it has the id of another request */
	RESPONSE_UNIDENTIFIED,	/* it may be that of an earlier request */
	RESPONSE_UNSIGNED,	/* a success without signature or id */
	RESPONSE_ENCODED,	/* a success with a content encoding */
	RESPONSE_HEAD_BROKEN,	/* its head has no end */
	RESPONSE_HEAD_INVALID,	/* its head is not that of one response */
	RESPONSE_EMPTY,		/* a whole stream without an event */
	RESPONSE_FAULTS,	/* number of values */
} response_fault_t;

/* What the head of a response says; NULL: the header is absent. */
typedef struct response_head_t {
	int status;
	const char *request_id;
	const char *signature;
	const char *encoding;
	bool not_run; /* the endpoint states that it did not run the request */
	bool reused;  /* the connection has served other requests */
} response_head_t;

response_fault_t response_head_fault(
    const response_head_t *head, const char *request_id);
bool response_is_refusal(const response_head_t *head);
bool response_status_promises_not_run(int status);
const char *response_fault_name(response_fault_t fault);

#endif
