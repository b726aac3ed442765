/* Internal types shared by the source files that implement online.h. */
#ifndef DAISYPIER_ONLINE_STATE_H
#define DAISYPIER_ONLINE_STATE_H

#include <sys/queue.h>

#include "counter.h"
#include "generation.h"
#include "online.h"
#include "result.h"
#include "retry_budget.h"

typedef struct online_request_t online_request_t;

/* Operations of a request type: text generation or service call. */
typedef struct online_ops_t {
	endpoint_kind_t endpoint_kind;
	/* Starts an attempt on r->endpoint; it ends in online_attempt_end(). */
	void (*start)(online_request_t *r);
	void (*cancel)(online_request_t *r);
	/* Appends the complete response body to out. */
	void (*append_response)(const online_request_t *r, buf_t *out);
	/* Sends the complete response to the caller. */
	void (*send_response)(online_request_t *r);
	/* Sends a previously recorded response to the caller. */
	void (*replay_response)(online_request_t *r, int status, str_t body);
} online_ops_t;

struct online_t {
	online_params_t params;
	char host[64];
	request_log_t *log;
	retry_budget_t retries;
	size_t open_requests;
	LIST_HEAD(, online_request_t) requests;
	counter_t *received;
	counter_t *succeeded;
	counter_t *failed;
	counter_t *callers_disconnected;
	counter_t *failovers;
	histogram_t *first_token;
	histogram_t *token_gap;
};

struct online_request_t {
	online_t *online;
	const online_ops_t *ops;
	http_request_t *http; /* NULL once answered or disconnected */
	uint64_t log_number;
	char id[65];
	char org[64];
	char pool[64];
	double started_at;
	double deadline;
	uint64_t prefix_hash;
	/* Text generation. */
	buf_t prompt;
	unsigned max_tokens;
	bool chat;
	bool stream;
	bool streaming; /* response headers were sent */
	buf_t response; /* generated text or the body of a service response */
	unsigned next_index;
	char finish_reason[32];
	double last_token_at;
	generation_t *generation;
	/* Service calls. */
	buf_t body;
	http_call_t *call;
	int status;
	/* Attempts. */
	grant_t *grant;
	grant_endpoint_t endpoint; /* of the last attempt */
	unsigned attempts;
	double attempt_started_at;
	double first_token_delay; /* of the last attempt, in seconds; 0: none */
	bool sent; /* an endpoint may have received part of an attempt */
	/* Non-repeatable requests. */
	bool repeatable;
	char *idempotency_key;
	double start_before; /* wall-clock seconds */
	uint64_t content_hash;
	bool intent_accepted; /* the durable log permits execution */
	bool durable_call_pending;
	bool outcome_known;
	int rc;
	double retry_after;
	char detail[512];
	LIST_ENTRY(online_request_t) entry;
};

extern const online_ops_t online_text_ops;
extern const online_ops_t online_call_ops;

/* online_run.c */
void online_run(online_request_t *r);
void online_attempt_end(
    online_request_t *r, int rc, bool sent, const char *detail);
void online_fail(
    online_request_t *r, int rc, double retry_after, const char *detail);
void online_caller_disconnected(online_request_t *r);
void online_request_free(online_request_t *r);
const config_fleet_t *online_settings(const online_t *online);

/* online_response.c */
void online_response_set_headers(const online_request_t *r);
void online_response_send_json(online_request_t *r, int status, str_t body);
void online_response_send_error(online_request_t *r, outcome_t outcome);
void online_response_done(online_request_t *r);

/* online_text.c and online_call.c */
int online_text_parse(online_request_t *r, str_t body, const char **detail);
int online_call_parse(online_request_t *r, str_t body, const char **detail);

#endif
