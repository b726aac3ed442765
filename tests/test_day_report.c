/* Tests of the split of a day's lost worth by cause. */
#include "suite.h"

#include <math.h>

#include "day_report.h"
#include "result.h"

/* A day whose hosts all go down at second 5.6 and whose store is away at 9.5.
 */
static const char report_text[] =
    "{\"G\":0.6,\"all\":{\"n\":1010,\"not_owed\":10,\"refused\":20,"
    "\"failed\":30},"
    "\"parts\":[[\"whole day\",0.4,0.9],[\"worst windows\",0.15,0.3],"
    "[\"worst class\",0.1,0.8],[\"nines\",0.35,0.4]],"
    "\"prices\":[[\"machine-seconds\",600,0.02],[\"calls\",1,0.01]],"
    "\"events\":[{\"kind\":\"closing (kill_all)\",\"at_s\":5.6,\"to_s\":10},"
    "{\"kind\":\"platform_down (busy)\",\"at_s\":9.5,\"to_s\":9.9},"
    "{\"kind\":\"platform_down (nodes busy)\",\"at_s\":0,\"to_s\":1}],"
    "\"windows\":["
    "{\"name\":\"0\",\"n\":200,\"late\":5,\"failed\":4,\"refused\":6,"
    "\"worth\":0.9},"
    "{\"name\":\"4\",\"n\":200,\"late\":7,\"failed\":26,\"refused\":0,"
    "\"worth\":0.5},"
    "{\"name\":\"9\",\"n\":200,\"late\":9,\"failed\":0,\"refused\":14,"
    "\"worth\":0.7},"
    "{\"name\":\"12\",\"n\":400,\"late\":0,\"failed\":0,\"refused\":0,"
    "\"worth\":1}]}";

/* An outage of a part of the hosts must not excuse a loss. */
static void
test_losses_by_cause(void)
{
	day_report_t report;
	day_bound_t bound;

	CU_ASSERT_FATAL(day_report_read(str_of(report_text), &report) == 0);
	CU_ASSERT(report.window_count == 4);
	CU_ASSERT(report.owed == 1000 && report.unserved == 50);
	CU_ASSERT(!report.windows[0].no_store && !report.windows[0].no_host);
	CU_ASSERT(report.windows[1].no_host && !report.windows[1].no_store);
	CU_ASSERT(report.windows[2].no_store && !report.windows[2].no_host);
	day_report_bound(&report, &bound);
	CU_ASSERT(bound.no_host_unserved == 26 && bound.no_host_late == 7);
	CU_ASSERT(bound.no_store_unserved == 14 && bound.no_store_late == 9);
	CU_ASSERT(bound.other_unserved == 10 && bound.other_late == 5);
}

/* The bound must keep the losses in marked windows and no others. */
static void
test_bound(void)
{
	day_report_t report;
	day_bound_t bound;

	CU_ASSERT_FATAL(day_report_read(str_of(report_text), &report) == 0);
	day_report_bound(&report, &bound);
	/* Lost: 20 in the first window, 100 and 60 in the marked ones. */
	CU_ASSERT_DOUBLE_EQUAL(
	    bound.values[DAY_WHOLE], 1 - 0.1 * 160 / 180, 1e-9);
	CU_ASSERT_DOUBLE_EQUAL(bound.values[DAY_WORST_WINDOWS], 0.6, 1e-9);
	CU_ASSERT_DOUBLE_EQUAL(bound.values[DAY_NINES], -log10(0.04) / 3, 1e-9);
	CU_ASSERT(bound.worth > report.worth && bound.worth < 1);
}

/* A file that is no report must be rejected. */
static void
test_not_a_report(void)
{
	day_report_t report;

	CU_ASSERT(day_report_read(STR("[]"), &report) == -RESULT_BAD_REQUEST);
	CU_ASSERT(day_report_read(STR("no"), &report) == -RESULT_BAD_REQUEST);
	CU_ASSERT(day_report_read(STR("{\"all\":{}}"), &report) ==
		  -RESULT_BAD_REQUEST);
}

static const suite_test_t tests[] = {
    {"losses by cause", test_losses_by_cause},
    {"bound", test_bound},
    {"not a report", test_not_a_report},
};

SUITE_MAIN("day_report", tests)
