/* What the owner of a partition tells the next one about unfinished items. */
#ifndef DAISYPIER_JOB_HANDOVER_H
#define DAISYPIER_JOB_HANDOVER_H

#include "job.h"
#include "wire.h"

typedef enum item_stage_t {
	ITEM_STAGE_BEGUN,    /* it goes on after its last event */
	ITEM_STAGE_FINISHED, /* its result only has to be stored */
} item_stage_t;

/* Progress of one item; the strings belong to whoever made it. */
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

/* A message under construction: one partition's unfinished items. */
typedef struct job_handover_t {
	unsigned partition;
	buf_t rows;
	size_t count;
} job_handover_t;

void job_handover_add(
    job_handover_t *handover, const item_progress_t *progress);
void job_handover_pack(const job_handover_t *handover, buf_t *out);
void job_handover_free(job_handover_t *handover);
int job_handover_read(const msgpack_object *body, unsigned *partition,
    item_progress_cb_t on_progress, void *ctx);

#endif
