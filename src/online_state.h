/* State of an online request, shared by the source files of online.h. */
#ifndef DAISYPIER_ONLINE_STATE_H
#define DAISYPIER_ONLINE_STATE_H

#include <sys/queue.h>

#include "counter.h"
#include "generation.h"
#include "online.h"
#include "result.h"
#include "retry_budget.h"

typedef struct online_request_t online_request_t;

/* What differs between text generation and calls of plain services. */
typedef struct online_kind_t {
	endpoint_kind_t endpoints;
	/* Starts an attempt on r->endpoint; it ends in online_attempt_end(). */
	void (*start)(online_request_t *r);
	void (*cancel)(online_request_t *r);
	/* Appends the whole response's body. */
	void (*render)(const online_request_t *r, buf_t *out);
	/* Answers the caller with the whole response. */
	void (*answer)(online_request_t *r);
	/* Answers the caller with a response recorded before. */
	void (*replay)(online_request_t *r, int status, str_t body);
} online_kind_t;

struct online_t {
	online_params_t params;
	char host[64];
	request_log_t *log;
	retry_budget_t retries;
	size_t open;
	LIST_HEAD(, online_request_t) requests;
	counter_t *received;
	counter_t *succeeded;
	counter_t *failed;
	counter_t *gone;
	counter_t *continued;
	histogram_t *first_token;
	histogram_t *token_gap;
};

struct online_request_t {
	online_t *online;
	const online_kind_t *kind;
	http_request_t *http; /* NULL after the answer or a lost caller */
	uint64_t log_number;
	char id[65];
	char org[64];
	char pool[64];
	double started;
	double deadline;
	uint64_t prefix_hash;
	/* Text generation. */
	buf_t prompt;
	unsigned max_tokens;
	bool chat;
	bool stream;
	bool streaming; /* the answer has begun */
	buf_t text;
	unsigned next_index;
	char finish_reason[32];
	double last_token;
	generation_t *generation;
	/* Calls of plain services. */
	buf_t body;
	http_call_t *call;
	int status;
	/* Attempts. */
	grant_t *grant;
	grant_endpoint_t endpoint; /* of the last attempt */
	unsigned attempts;
	double attempt_started;
	double attempt_first_token; /* seconds; 0: none */
	bool sent; /* an endpoint may have got a byte of any attempt */
	/* Requests that must not be repeated. */
	bool repeatable;
	char *key;
	double start_before; /* wall clock seconds */
	uint64_t content_hash;
	bool intended;	   /* the log permits it to run */
	bool durable_call; /* a durable call is on its way */
	bool ended;	   /* the outcome is known */
	int rc;
	double retry_after;
	char detail[512];
	LIST_ENTRY(online_request_t) entry;
};

extern const online_kind_t online_text;
extern const online_kind_t online_call;

/* online_run.c */
void online_run(online_request_t *r);
void online_attempt_end(
    online_request_t *r, int rc, bool sent, const char *detail);
void online_fail(
    online_request_t *r, int rc, double retry_after, const char *detail);
void online_abandon(online_request_t *r);
void online_request_free(online_request_t *r);
const config_fleet_t *online_settings(const online_t *online);

/* online_answer.c */
void online_answer_headers(const online_request_t *r);
void online_answer_json(online_request_t *r, int status, str_t body);
void online_answer_error(online_request_t *r, outcome_t outcome);
void online_answer_done(online_request_t *r);

/* online_text.c and online_call.c */
int online_text_parse(online_request_t *r, str_t body, const char **detail);
int online_call_parse(online_request_t *r, str_t body, const char **detail);

#endif
