/* Keys of the records in which jobs are stored. */
#ifndef DAISYPIER_JOB_RECORD_KEY_H
#define DAISYPIER_JOB_RECORD_KEY_H

#include "str.h"

/*
 * A key is one character for the kind of record and the job's id, followed by
 * "/<index>" for chunks and results, and "/<position>/<index>" for the pieces
 * of a result's output. Accepting the same job again overwrites its records, so
 * acceptance needs no coordination between hosts.
 */
typedef enum job_record_kind_t {
	JOB_RECORD_JOB = 'J',
	JOB_RECORD_CHUNK = 'P',
	JOB_RECORD_RESULT = 'R',
	JOB_RECORD_PIECE = 'O',
	JOB_RECORD_END = 'E',
} job_record_kind_t;

/* Highest valid index in a key, and the most chunks of a job. */
#define JOB_RECORD_MAX_INDEX 100000

typedef struct job_record_key_t {
	char kind;
	str_t job;
	uint64_t position; /* of a result or of the one with this piece */
	uint64_t index;	   /* of a chunk or piece */
} job_record_key_t;

bool job_record_key_parse(str_t text, job_record_key_t *out);
void job_record_key_print(const job_record_key_t *key, buf_t *out);

#endif
