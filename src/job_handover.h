/* Message in which a partition's owner hands unfinished items to the next. */
#ifndef DAISYPIER_JOB_HANDOVER_H
#define DAISYPIER_JOB_HANDOVER_H

#include "job.h"
#include "wire.h"

typedef enum item_stage_t {
	ITEM_STAGE_IN_PROGRESS, /* resumes after its last event */
	ITEM_STAGE_FINISHED,	/* its result remains to be stored */
} item_stage_t;

/* Progress of one item; the strings belong to its creator. */
typedef struct item_progress_t {
	str_t job;
	str_t item;
	item_stage_t stage;
	job_outcome_t outcome; /* of a finished item */
	str_t output;
	unsigned events;
	bool numbered; /* last_id is known */
	uint64_t last_id;
	unsigned failures;
	double run_time; /* seconds */
} item_progress_t;

typedef void (*item_progress_cb_t)(void *ctx, const item_progress_t *progress);

/* Builder of the message: the unfinished items of one partition. */
typedef struct job_handover_t {
	unsigned partition;
	buf_t items; /* packed */
	size_t count;
} job_handover_t;

void job_handover_add(
    job_handover_t *handover, const item_progress_t *progress);
void job_handover_pack(const job_handover_t *handover, buf_t *out);
void job_handover_free(job_handover_t *handover);
int job_handover_unpack(const msgpack_object *body, unsigned *partition,
    item_progress_cb_t on_progress, void *ctx);

#endif
