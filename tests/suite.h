/* Runs one CUnit suite and turns its result into an exit code. */
#ifndef DAISYPIER_TESTS_SUITE_H
#define DAISYPIER_TESTS_SUITE_H

#include <string.h>

#include <CUnit/Basic.h>

typedef struct suite_test_t {
	const char *name;
	void (*run)(void);
} suite_test_t;

/*
 * Runs all tests, or only the one named. Returns 0 when every assertion of
 * every test held, 1 otherwise.
 */
static inline int
suite_run(
    const char *name, const suite_test_t *tests, size_t count, const char *only)
{
	unsigned failures;
	CU_pSuite suite;

	if (CU_initialize_registry() != CUE_SUCCESS)
		return (1);
	suite = CU_add_suite(name, NULL, NULL);
	for (size_t i = 0; i < count; i++) {
		if (only != NULL && strcmp(only, tests[i].name) != 0)
			continue;
		CU_add_test(suite, tests[i].name, tests[i].run);
	}
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	if (CU_get_number_of_tests_run() == 0)
		failures = 1;
	CU_cleanup_registry();
	return (failures > 0 ? 1 : 0);
}

/* An argument names the only test to run; no test of that name: exit 1. */
#define SUITE_MAIN(name, tests)                                                \
	int main(int argc, char **argv)                                        \
	{                                                                      \
		return (                                                       \
		    suite_run(name, tests, sizeof(tests) / sizeof((tests)[0]), \
			argc > 1 ? argv[1] : NULL));                           \
	}

#endif
