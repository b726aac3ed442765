/* Unit tests for the check whether a response belongs to a request. */
#include "suite.h"

#include "response_check.h"

/* A whole and signed answer to request "r". */
static const response_head_t sound = {
    .status = 200, .request_id = "r", .signature = "s", .reused = true};

static response_fault_t
fault(response_head_t head)
{
	return (response_head_fault(&head, "r"));
}

/* Guards against an answer that reaches the caller of another request. */
static void
test_id_of_another_request(void)
{
	static const int statuses[] = {200, 204, 404, 421, 422, 500, 503};

	for (unsigned i = 0; i < sizeof(statuses) / sizeof(statuses[0]); i++) {
		response_head_t head = sound;

		head.status = statuses[i];
		CU_ASSERT(fault(head) == RESPONSE_SOUND);
		head.request_id = "q";
		CU_ASSERT(fault(head) == RESPONSE_OTHER_REQUEST);
		head.not_run = true;
		CU_ASSERT(fault(head) == RESPONSE_OTHER_REQUEST);
	}
}

/* Guards against a success that nobody signed. */
static void
test_unsigned_success(void)
{
	response_head_t head = sound;

	head.signature = NULL;
	CU_ASSERT(fault(head) == RESPONSE_UNSIGNED);
	head.signature = "";
	CU_ASSERT(fault(head) == RESPONSE_UNSIGNED);
	head = sound;
	head.request_id = NULL;
	head.reused = false;
	CU_ASSERT(fault(head) == RESPONSE_UNSIGNED);
	head = sound;
	head.encoding = "gzip";
	CU_ASSERT(fault(head) == RESPONSE_ENCODED);
}

/*
 * Guards against an earlier refusal or failure that is taken for that of this
 * request. The first response on a connection can be no earlier one.
 */
static void
test_responses_without_id(void)
{
	static const int statuses[] = {400, 404, 421, 422, 500, 503};

	for (unsigned i = 0; i < sizeof(statuses) / sizeof(statuses[0]); i++) {
		response_head_t head = {.status = statuses[i]};

		CU_ASSERT(fault(head) == RESPONSE_SOUND);
		head.reused = true;
		CU_ASSERT(fault(head) == RESPONSE_UNIDENTIFIED);
		head.not_run = true;
		CU_ASSERT(fault(head) == RESPONSE_UNIDENTIFIED);
	}
}

static void
test_names(void)
{
	for (int i = 0; i < RESPONSE_FAULTS; i++)
		CU_ASSERT(response_fault_name((response_fault_t)i) != NULL);
}

static const suite_test_t tests[] = {
    {"id of another request", test_id_of_another_request},
    {"unsigned success", test_unsigned_success},
    {"responses without id", test_responses_without_id},
    {"every fault has a name", test_names},
};

SUITE_MAIN("response_check", tests)
