/* Jobs of many items, and their results. */
#ifndef DAISYPIER_JOB_H
#define DAISYPIER_JOB_H

#include "str.h"

/* Buffer size of the identifier of a request, job or item, with its NUL. */
#define JOB_ID_SIZE 96
/*
 * Buffer size of the key of a job, with its NUL: its identifier and, before it,
 * the organisation that owns the job, if any.
 */
#define JOB_KEY_SIZE (JOB_ID_SIZE + 17)

typedef struct job_header_t {
	str_t name;
	str_t value;
} job_header_t;

/* One request of a job; the job owns all strings. */
typedef struct job_item_t {
	str_t id;
	str_t target;
	job_header_t *headers;
	size_t header_count;
	str_t body;
	unsigned tokens; /* upper bound of prompt and output together */
} job_item_t;

/* Part of an item that cannot be sent to an endpoint as it is. */
typedef enum job_item_field_t {
	JOB_ITEM_NO_FIELD, /* all can be sent */
	JOB_ITEM_ID,
	JOB_ITEM_TARGET,
	JOB_ITEM_HEADER_NAME,
	JOB_ITEM_HEADER_VALUE,
} job_item_field_t;

typedef struct job_item_fault_t {
	job_item_field_t field;
	size_t header; /* index, if it is a header's name or value */
} job_item_fault_t;

/* A job as its caller submitted it. */
typedef struct job_t {
	str_t id;  /* its key, see job_key() */
	str_t org; /* organisation that owns it; empty: none */
	str_t host;
	str_t target;	  /* path to which it was submitted */
	double submitted; /* wall clock seconds */
	job_item_t *items;
	size_t item_count;
	/* Allocations behind the strings of the job and its items. */
	char **strings;
	size_t string_count;
} job_t;

typedef enum job_outcome_t {
	JOB_ITEM_DONE,
	JOB_ITEM_DEAD, /* failed permanently */
} job_outcome_t;

/* One entry of a job's list of results. */
typedef struct job_result_t {
	str_t item;
	job_outcome_t outcome;
	str_t output;
} job_result_t;

/* A range of a job's list of results. */
typedef struct job_results_t {
	size_t total;  /* number of items of the job */
	uint64_t next; /* position after the last result in this range */
	const job_result_t *results;
	size_t count;
} job_results_t;

void job_key(char out[JOB_KEY_SIZE], str_t org, str_t id);
str_t job_copy_str(job_t *job, str_t s);
job_item_fault_t job_item_check(const job_item_t *item);
const char *job_item_field_name(job_item_field_t field);
void job_pack(const job_t *job, buf_t *out);
int job_unpack(str_t data, job_t *out);
void job_free(job_t *job);

#endif
