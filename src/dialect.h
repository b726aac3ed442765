/* How callers, endpoints and the platform spell things: one per protocol. */
#ifndef DAISYPIER_DIALECT_H
#define DAISYPIER_DIALECT_H

#include "endpoint_set.h"
#include "httpd.h"
#include "job.h"
#include "routing_table.h"

/* What a request states beyond its method, target and body. */
typedef struct request_info_t {
	char id[JOB_ID_SIZE]; /* of this try of the caller */
	double patience;      /* seconds the caller waits; 0: not stated */
	unsigned prompt_tokens;
	unsigned output_tokens; /* at most */
	uint64_t prefix_hash;	/* of the shared parts of the prompt; 0: none */
	bool resumes;		/* an earlier answer that broke off */
	uint64_t last_event;	/* that the caller has, when it resumes */
} request_info_t;

/* What callers ask of a job that was accepted. */
typedef enum job_call_kind_t {
	JOB_CALL_NONE, /* the request is none of these */
	JOB_CALL_RESULTS,
	JOB_CALL_ITEM,
	JOB_CALL_END,
	JOB_CALL_MALFORMED,
} job_call_kind_t;

typedef struct job_call_t {
	job_call_kind_t kind;
	char job[JOB_ID_SIZE];
	char item[JOB_ID_SIZE];
	uint64_t position; /* of the first result */
	double wait;	   /* seconds until a result must exist */
} job_call_t;

/* Names of headers and topics, formats of bodies. */
typedef struct dialect_t {
	const char *request_id_header;
	const char *patience_header; /* milliseconds */
	const char *endpoint_id_header;
	const char *not_run_header;
	const char *signature_header; /* a complete answer of an endpoint */
	const char *resume_header;    /* number of the last event */
	const char *config_topic;
	const char *config_key;
	const char *endpoints_topic;
	const char *hosts_topic; /* of this program's own */
	const char *jobs_topic;	 /* of this program's own */
	const char *entries_zone_argument;

	void (*read_request)(
	    const http_request_t *request, request_info_t *out);
	void (*read_job_call)(const http_request_t *request, job_call_t *out);
	/* Returns 0 or -RESULT_BAD_REQUEST. */
	int (*read_job)(str_t body, job_t *out);
	int (*read_routes)(str_t text, routing_table_t **out);
	int (*read_endpoint)(str_t id, str_t text, endpoint_entry_t *out);
	void (*write_results)(buf_t *out, const job_results_t *results);
	void (*write_entries)(buf_t *out, const char *const *addresses,
	    size_t count, double keep_s);
} dialect_t;

#endif
