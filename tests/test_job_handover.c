/* Tests of the message that hands unfinished items to the next owner. */
#include "suite.h"

#include "job_handover.h"

typedef struct received_t {
	unsigned count;
	item_progress_t last;
	char output[16];
} received_t;

static void
on_progress(void *ctx, const item_progress_t *progress)
{
	received_t *received = ctx;

	received->count++;
	received->last = *progress;
	str_copy(received->output, sizeof(received->output), progress->output);
}

static int
unpack(str_t data, unsigned *partition, received_t *received)
{
	wire_message_t message;
	int rc = wire_message_decode(&message, data);

	if (rc != 0)
		return (rc);
	rc = job_handover_unpack(
	    wire_message_root(&message), partition, on_progress, received);
	wire_message_free(&message);
	return (rc);
}

/* Guards against progress that is altered by packing and unpacking. */
static void
test_round_trip(void)
{
	job_handover_t handover = {.partition = 9};
	received_t received = {0};
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
	CU_ASSERT(unpack(str_buf(&message), &partition, &received) == 0);
	CU_ASSERT(partition == 9 && received.count == 2);
	CU_ASSERT(received.last.events == 2 && received.last.numbered);
	CU_ASSERT(received.last.last_id == 1 && received.last.failures == 3);
	CU_ASSERT(received.last.stage == ITEM_STAGE_IN_PROGRESS);
	CU_ASSERT_STRING_EQUAL(received.output, "a\nb");
	job_handover_free(&handover);
	buf_free(&message);
}

/* Guards against a crash or made-up items on a truncated message. */
static void
test_truncated_message(void)
{
	job_handover_t handover = {.partition = 1};
	buf_t message = {0};

	job_handover_add(
	    &handover, &(item_progress_t){.job = STR("j"), .item = STR("i")});
	job_handover_pack(&handover, &message);
	for (size_t len = 0; len < message.len; len++) {
		received_t received = {0};
		unsigned partition;

		CU_ASSERT(unpack((str_t){message.data, len}, &partition,
			      &received) != 0);
		CU_ASSERT(received.count == 0);
	}
	job_handover_free(&handover);
	buf_free(&message);
}

static const suite_test_t tests[] = {
    {"round trip", test_round_trip},
    {"truncated message", test_truncated_message},
};

SUITE_MAIN("job_handover", tests)
