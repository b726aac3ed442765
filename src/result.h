/* Result codes, shared by functions, internal messages and HTTP responses. */
#ifndef DAISYPIER_RESULT_H
#define DAISYPIER_RESULT_H

#include <stddef.h>

#include "str.h"

/* What an error response tells the caller about its request. */
typedef enum outcome_t {
	OUTCOME_NOT_RUN, /* certain: it did not start and will not start */
	OUTCOME_UNKNOWN, /* it may have run or may still run */
	OUTCOME_FAILED,	 /* permanent: it ran, or was validated, and failed */
} outcome_t;

/*
 * One line per code: name, number, HTTP status, default outcome, text.
 * Functions return 0 or the negated number. Numbers are never reused.
 */
#define RESULT_TABLE(X)                                                        \
	X(BAD_REQUEST, 1, 400, NOT_RUN, "the request is malformed")            \
	X(UNAUTHORIZED, 2, 401, NOT_RUN, "the token is missing or unknown")    \
	X(FORBIDDEN, 3, 403, NOT_RUN, "the token does not permit this")        \
	X(NOT_FOUND, 4, 404, NOT_RUN, "no such object")                        \
	X(METHOD_NOT_ALLOWED, 5, 405, NOT_RUN, "method not allowed here")      \
	X(TOO_LARGE, 6, 413, NOT_RUN, "the request exceeds a size limit")      \
	X(CONFLICT, 7, 409, NOT_RUN,                                           \
	    "the idempotency key was used with other content")                 \
	X(UNKNOWN_MODEL, 8, 404, NOT_RUN, "no such model or service")          \
	X(EXPIRED, 9, 408, NOT_RUN, "the latest start time has passed")        \
	X(LIMITED, 10, 429, NOT_RUN, "the organisation is over its limit")     \
	X(OVERLOADED, 11, 503, NOT_RUN, "no capacity in time")                 \
	X(NOT_READY, 12, 503, NOT_RUN, "this host is not ready")               \
	X(STOPPING, 13, 503, NOT_RUN, "this host is stopping")                 \
	X(NO_ENDPOINT, 14, 503, NOT_RUN, "no endpoint is available")           \
	X(LOG_UNAVAILABLE, 15, 503, NOT_RUN,                                   \
	    "the log service is unavailable; nothing was recorded")            \
	X(LOG_UNCERTAIN, 16, 503, UNKNOWN,                                     \
	    "the log service did not answer; resend with the same key")        \
	X(LOG_EXPIRED, 17, 410, FAILED, "the log no longer has these records") \
	X(NO_ROUTE, 18, 404, NOT_RUN, "no route for this host and path")       \
	X(NOT_OWNER, 20, 503, NOT_RUN, "this host does not own the shard")     \
	X(OWNER_UNREACHABLE, 21, 503, UNKNOWN,                                 \
	    "the owner did not answer; resend with the same key")              \
	X(IN_PROGRESS, 22, 409, UNKNOWN,                                       \
	    "a request with this key is in progress elsewhere")                \
	X(RESULT_LOST, 23, 502, UNKNOWN,                                       \
	    "a request with this key started and its outcome is not known")    \
	X(TIMEOUT, 30, 504, UNKNOWN, "the deadline passed")                    \
	X(ENDPOINT_UNREACHABLE, 31, 502, NOT_RUN,                              \
	    "no connection to the endpoint")                                   \
	X(ENDPOINT_FAILED, 32, 502, UNKNOWN, "the endpoint failed")            \
	X(ENDPOINT_REFUSED, 33, 422, FAILED,                                   \
	    "the endpoint refused the request for good")                       \
	X(ENDPOINT_SILENT, 34, 504, UNKNOWN, "the endpoint went silent")       \
	X(BROKEN_ANSWER, 35, 502, UNKNOWN,                                     \
	    "the answer broke off or did not match")                           \
	X(PEER_UNREACHABLE, 36, 502, UNKNOWN, "the other host is unreachable") \
	X(QUARANTINED, 37, 503, NOT_RUN,                                       \
	    "endpoints crash on a part of the prompt; it is held back")        \
	X(KEYS_STALE, 38, 503, NOT_RUN,                                        \
	    "this host cannot tell at the moment whether keys are valid")      \
	X(CONFIG_UNREADABLE, 39, 503, NOT_RUN,                                 \
	    "this host cannot read a part of the configuration")               \
	X(CANCELLED, 40, 409, FAILED, "it was cancelled")                      \
	X(INVALID_CONFIG, 50, 422, FAILED, "the configuration has faults")     \
	X(SUPERSEDED, 51, 409, FAILED, "the configuration changed meanwhile")  \
	X(INTERNAL, 99, 500, UNKNOWN, "internal error")

enum {
#define RESULT_ENUM(name, number, status, outcome, text) RESULT_##name = number,
	RESULT_TABLE(RESULT_ENUM)
#undef RESULT_ENUM
};

typedef struct result_info_t {
	const char *name;
	const char *text;
	int number;
	int http_status;
	outcome_t outcome;
} result_info_t;

const result_info_t *result_info(int rc);
const result_info_t *result_table(size_t *count);
const char *result_name(int rc);
const char *result_text(int rc);
int result_http_status(int rc);
outcome_t result_outcome(int rc);
const char *outcome_name(outcome_t outcome);
void result_write_reference(buf_t *out);

#endif
