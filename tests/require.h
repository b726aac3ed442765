/* An assertion that ends the test and that static analysis understands. */
#ifndef DAISYPIER_TESTS_REQUIRE_H
#define DAISYPIER_TESTS_REQUIRE_H

#include <stdbool.h>
#include <stdlib.h>

#include <CUnit/CUnit.h>

/* CU_ASSERT_FATAL() leaves by longjmp(), which the analyzer does not know. */
#define REQUIRE(condition)                \
	do {                              \
		bool held_ = (condition); \
		CU_ASSERT_FATAL(held_);   \
		if (!held_)               \
			abort();          \
	} while (0)

#endif
