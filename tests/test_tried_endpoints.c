/* Unit tests for the endpoints that a request has been sent to. */
#include "suite.h"

#include <stdio.h>

#include "tried_endpoints.h"

static void
test_added_endpoints_are_known(void)
{
	tried_endpoints_t tried = {0};

	CU_ASSERT(!tried_endpoints_has(&tried, "a"));
	tried_endpoints_add(&tried, "a");
	tried_endpoints_add(&tried, "a");
	CU_ASSERT(tried_endpoints_has(&tried, "a"));
	CU_ASSERT(!tried_endpoints_has(&tried, "b"));
	CU_ASSERT(tried.count == 1);
}

/* Guards against an endpoint that is forgotten when the list is full. */
static void
test_full_list_knows_all(void)
{
	tried_endpoints_t tried = {0};
	char name[8];

	for (unsigned i = 0; i < 2 * TRIED_ENDPOINTS_MAX; i++) {
		snprintf(name, sizeof(name), "e%u", i);
		tried_endpoints_add(&tried, name);
		CU_ASSERT(tried_endpoints_has(&tried, name));
	}
	CU_ASSERT(tried.count == TRIED_ENDPOINTS_MAX);
}

/*
 * Guards against a late copy of a failure that counts as a second one, after an
 * item's partition moved to another host and back and its list was lost.
 */
static void
test_unknown_attempts(void)
{
	tried_endpoints_t tried = {0};

	tried_endpoints_add_all(&tried);
	CU_ASSERT(tried_endpoints_has(&tried, "a"));
	tried_endpoints_add(&tried, "a");
	CU_ASSERT(tried_endpoints_has(&tried, "b"));
}

static const suite_test_t tests[] = {
    {"added endpoints are known", test_added_endpoints_are_known},
    {"full list knows all", test_full_list_knows_all},
    {"unknown attempts", test_unknown_attempts},
};

SUITE_MAIN("tried_endpoints", tests)
