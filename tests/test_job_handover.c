/* Tests of the message that hands unfinished items to the next owner. */
#include "suite.h"

#include "job_handover.h"

typedef struct seen_t {
	unsigned count;
	item_progress_t last;
	char output[16];
} seen_t;

static void
on_progress(void *ctx, const item_progress_t *progress)
{
	seen_t *seen = ctx;

	seen->count++;
	seen->last = *progress;
	str_copy(seen->output, sizeof(seen->output), progress->output);
}

static int
read_message(str_t data, unsigned *partition, seen_t *seen)
{
	wire_message_t message;
	int rc = wire_message_decode(&message, data);

	if (rc != 0)
		return (rc);
	rc = job_handover_read(
	    wire_message_root(&message), partition, on_progress, seen);
	wire_message_free(&message);
	return (rc);
}

/* Guards against progress that arrives changed. */
static void
test_progress_arrives(void)
{
	job_handover_t handover = {.partition = 9};
	seen_t seen = {0};
	buf_t message = {0};
	unsigned partition = 0;

	job_handover_add(&handover, &(item_progress_t){.job = STR("j"),
					.item = STR("i1"),
					.stage = ITEM_STAGE_FINISHED,
					.outcome = JOB_ITEM_DEAD});
	job_handover_add(&handover, &(item_progress_t){.job = STR("j"),
					.item = STR("i2"),
					.output = STR("a\nb"),
					.events = 2,
					.numbered = true,
					.last_id = 1,
					.failures = 3,
					.run_time = 0.5});
	job_handover_pack(&handover, &message);
	CU_ASSERT(read_message(str_buf(&message), &partition, &seen) == 0);
	CU_ASSERT(partition == 9 && seen.count == 2);
	CU_ASSERT(seen.last.events == 2 && seen.last.numbered);
	CU_ASSERT(seen.last.last_id == 1 && seen.last.failures == 3);
	CU_ASSERT(seen.last.stage == ITEM_STAGE_BEGUN);
	CU_ASSERT_STRING_EQUAL(seen.output, "a\nb");
	job_handover_free(&handover);
	buf_free(&message);
}

/* Guards against a crash or invented items from a message that is cut. */
static void
test_cut_message(void)
{
	job_handover_t handover = {.partition = 1};
	buf_t message = {0};

	job_handover_add(
	    &handover, &(item_progress_t){.job = STR("j"), .item = STR("i")});
	job_handover_pack(&handover, &message);
	for (size_t len = 0; len < message.len; len++) {
		seen_t seen = {0};
		unsigned partition;

		CU_ASSERT(read_message((str_t){message.data, len}, &partition,
			      &seen) != 0);
		CU_ASSERT(seen.count == 0);
	}
	job_handover_free(&handover);
	buf_free(&message);
}

static const suite_test_t tests[] = {
    {"progress arrives", test_progress_arrives},
    {"a cut message", test_cut_message},
};

SUITE_MAIN("job_handover", tests)
