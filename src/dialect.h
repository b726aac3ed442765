/*
 * Protocol adapter: header names, topics and body formats that callers,
 * endpoints and the platform use.
 */
#ifndef DAISYPIER_DIALECT_H
#define DAISYPIER_DIALECT_H

#include "endpoint_set.h"
#include "httpd.h"
#include "job.h"
#include "prompt_chain.h"
#include "prompt_parts.h"
#include "routing_table.h"

/* Metadata of a request, read from its headers. */
typedef struct request_info_t {
	char id[JOB_ID_SIZE];  /* of this attempt of the caller */
	bool id_too_long;      /* id is only its beginning */
	double caller_timeout; /* seconds; 0: not specified */
	unsigned prompt_tokens;
	unsigned output_tokens; /* maximum */
	uint64_t prefix_hash;	/* of the shared prompt prefix; 0: none */
	prompt_chain_t chain;	/* all parts of the prompt with tokens */
	bool resumes;		/* continues an interrupted response */
	uint64_t last_event;	/* received by the caller, if resumes */
} request_info_t;

/* Operation that a caller requests on an accepted job. */
typedef enum job_call_kind_t {
	JOB_CALL_NONE, /* the path belongs to no job operation */
	JOB_CALL_RESULTS,
	JOB_CALL_ITEM,
	JOB_CALL_END,
	JOB_CALL_MALFORMED,
} job_call_kind_t;

typedef struct job_call_t {
	job_call_kind_t kind;
	char job[JOB_KEY_SIZE];
	char item[JOB_ID_SIZE];
	uint64_t position; /* of the first result to return */
	double wait;	   /* seconds to wait for a result */
} job_call_t;

typedef struct dialect_t {
	const char *request_id_header;
	const char *caller_timeout_header; /* milliseconds */
	const char *endpoint_id_header;
	const char *not_run_header;
	const char *leaving_header;   /* "1": the endpoint will end soon */
	const char *signature_header; /* on complete endpoint responses */
	const char *resume_header;    /* number of the last event received */
	const char *prompt_header;    /* parts of the prompt */
	const char *key_header;	      /* with the caller's key */
	const char *org_header;	      /* the caller's organisation */
	const char *config_topic;
	const char *config_key;
	const char *endpoints_topic;
	const char *hosts_topic; /* internal to this program */
	const char *jobs_topic;	 /* internal to this program */
	const char *parts_topic; /* internal to this program */
	const char *entries_zone_argument;

	void (*read_request)(
	    const http_request_t *request, request_info_t *out);
	/* Reads the parts of a request's prompt, which the caller frees. */
	void (*read_parts)(const http_request_t *request, prompt_parts_t *out);
	/* Reads the shared ones from the value of prompt_header. */
	void (*read_prompt)(str_t value, prompt_parts_t *out);
	void (*read_job_call)(const http_request_t *request, job_call_t *out);
	/* Returns the caller's key; empty if the request has none. */
	str_t (*read_key)(const http_request_t *request);
	/* Returns 0, or -RESULT_BAD_REQUEST and the faulty field in fault. */
	int (*read_job)(str_t body, job_t *out, buf_t *fault);
	/*
	 * Returns 0 even if single entries cannot be read, see routing_table_t;
	 * -RESULT_BAD_REQUEST and the reason in fault if the whole text cannot.
	 */
	int (*read_routes)(str_t text, routing_table_t **out, buf_t *fault);
	int (*read_endpoint)(str_t id, str_t text, endpoint_entry_t *out);
	/*
	 * Returns the digits of an entry's sequence in the text of one that
	 * read_endpoint accepts; empty if there are none.
	 */
	str_t (*find_entry_counter)(str_t text);
	void (*write_results)(buf_t *out, const job_results_t *results);
	void (*write_entries)(buf_t *out, const char *const *addresses,
	    size_t count, double keep_s);
} dialect_t;

bool dialect_identifies_org(const dialect_t *dialect, const char *header);

#endif
