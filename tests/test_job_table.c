/* Tests of the job table: order of records, repeated records, removal. */
#include "suite.h"

#include <stdlib.h>
#include <string.h>

#include "job_records.h"

#define BODY_SIZE 150000
#define MAX_BYTES 1000000 /* of an append */

typedef struct changes_t {
	unsigned count[JOB_CHANGE_MALFORMED + 1];
} changes_t;

static void
on_change(void *ctx, stored_job_t *job, job_change_t change)
{
	(void)job;
	((changes_t *)ctx)->count[change]++;
}

static job_t
make_job(size_t items)
{
	job_t job = {0};
	char *body = xmalloc(BODY_SIZE);

	memset(body, 'b', BODY_SIZE);
	job.id = job_copy_str(&job, STR("job1"));
	job.host = job_copy_str(&job, STR("a.example"));
	job.target = job_copy_str(&job, STR("/x/job1"));
	job.submitted = 1000.5;
	job.items = xcalloc(items + 1, sizeof(*job.items));
	for (size_t i = 0; i < items; i++) {
		char id[2] = {(char)('a' + (char)i), '\0'};
		job_item_t *item = &job.items[job.item_count++];

		item->id = job_copy_str(&job, str_of(id));
		item->target = job_copy_str(&job, STR("/x/1"));
		item->body = job_copy_str(&job, (str_t){body, BODY_SIZE});
		item->headers = xcalloc(1, sizeof(*item->headers));
		item->headers[item->header_count++] =
		    (job_header_t){job_copy_str(&job, STR("Model")),
			job_copy_str(&job, STR("m"))};
	}
	free(body);
	return (job);
}

static void
apply_all(job_table_t *table, const job_records_t *records, bool reversed)
{
	for (size_t i = 0; i < records->count; i++)
		job_table_apply(table,
		    &records->records[reversed ? records->count - 1 - i : i]);
}

/* Guards against loss or truncation of a job of several chunks. */
static void
test_chunks_in_any_order(void)
{
	for (int reversed = 0; reversed < 2; reversed++) {
		changes_t changes = {0};
		job_table_t *table = job_table_new(on_change, &changes);
		job_t job = make_job(5);
		job_records_t records = {0};
		const stored_job_t *stored;

		job_records_accept(&records, &job);
		CU_ASSERT(records.count >= 4);
		for (size_t i = 0; i < records.count; i++)
			CU_ASSERT(records.records[i].value.len < 262144);
		apply_all(table, &records, reversed);
		apply_all(table, &records, reversed);
		CU_ASSERT(changes.count[JOB_CHANGE_ACCEPTED] == 1);
		stored = job_table_find(table, STR("job1"));
		CU_ASSERT_PTR_NOT_NULL_FATAL(stored);
		if (stored == NULL)
			abort(); /* tells the analyzer that this does not return
				  */
		CU_ASSERT(stored->job.item_count == 5);
		CU_ASSERT(stored->job.submitted == 1000.5);
		CU_ASSERT(
		    str_equal(stored->job.items[4].body, job.items[4].body));
		CU_ASSERT(
		    str_equal(stored->job.items[2].headers[0].value, STR("m")));
		job_records_free(&records);
		job_free(&job);
		job_table_delete(table);
	}
}

static void
apply_result(job_table_t *table, const char *item, uint64_t position)
{
	stored_job_t job = {.id = "job1"};
	job_records_t records = {0};

	job_records_result(&records, &job, position,
	    &(job_result_t){.item = str_of(item), .output = STR("text")},
	    MAX_BYTES);
	apply_all(table, &records, false);
	job_records_free(&records);
}

/*
 * Guards against a result that is listed before all earlier positions are
 * filled, and against a position whose result changes.
 */
static void
test_positions_are_contiguous(void)
{
	changes_t changes = {0};
	job_table_t *table = job_table_new(on_change, &changes);
	stored_job_t *job;

	apply_result(table, "b", 1);
	job = job_table_find(table, STR("job1"));
	CU_ASSERT_PTR_NOT_NULL_FATAL(job);
	if (job == NULL)
		abort(); /* the analyzer misses the longjmp() above */
	CU_ASSERT(job->listed == 0);
	apply_result(table, "a", 0);
	CU_ASSERT(job->listed == 2);
	apply_result(table, "c", 1);
	CU_ASSERT(str_equal(job->results[1].item, STR("b")));
	CU_ASSERT(stored_job_has_result(job, STR("a")));
	CU_ASSERT(!stored_job_has_result(job, STR("c")));
	job_table_delete(table);
}

#define OUTPUT_SIZE	 650000
#define MAX_RECORD_BYTES 262144

static buf_t
make_output(char text)
{
	buf_t output = {0};

	for (size_t i = 0; i < OUTPUT_SIZE; i++)
		buf_append_char(&output, (char)(text + (char)(i % 7)));
	return (output);
}

/* Adds the records of item a's result; returns whether no more are needed. */
static bool
add_long_result(const job_table_t *table, str_t output, job_records_t *records)
{
	const stored_job_t none = {.id = "job1"};
	const stored_job_t *job = job_table_find(table, STR("job1"));

	return (job_records_result(records, job != NULL ? job : &none, 0,
	    &(job_result_t){.item = STR("a"), .output = output}, MAX_BYTES));
}

/* Appends of one owner until the result is stored; returns their number. */
static unsigned
store_long_result(job_table_t *table, str_t output)
{
	unsigned appends = 0;
	bool whole = false;

	while (!whole && appends < 10) {
		job_records_t records = {0};

		whole = add_long_result(table, output, &records);
		CU_ASSERT(records.bytes <= MAX_BYTES);
		for (size_t i = 0; i < records.count; i++)
			CU_ASSERT(records.records[i].key.len +
				      records.records[i].value.len <
				  MAX_RECORD_BYTES);
		apply_all(table, &records, false);
		job_records_free(&records);
		appends++;
	}
	return (appends);
}

static bool
lists_output(const job_table_t *table, str_t output)
{
	const stored_job_t *job = job_table_find(table, STR("job1"));

	return (job != NULL && job->listed == 1 &&
		str_equal(job->results[0].item, STR("a")) &&
		str_equal(job->results[0].output, output));
}

/*
 * Guards against an output that fits no record of the store, and against one
 * that is listed without one of its pieces.
 */
static void
test_long_output(void)
{
	changes_t changes = {0};
	job_table_t *table = job_table_new(on_change, &changes);
	buf_t output = make_output('a');
	const stored_job_t *job;

	CU_ASSERT(store_long_result(table, str_buf(&output)) == 2);
	CU_ASSERT(lists_output(table, str_buf(&output)));
	CU_ASSERT(changes.count[JOB_CHANGE_LISTED] == 1);
	job = job_table_find(table, STR("job1"));
	CU_ASSERT(job != NULL && job->bytes == OUTPUT_SIZE + 1);
	buf_free(&output);
	job_table_delete(table);
}

/*
 * Guards against a result that depends on the order in which its records are
 * read, as in a reload by keys.
 */
static void
test_pieces_in_any_order(void)
{
	buf_t output = make_output('a');
	const stored_job_t none = {.id = "job1"};

	for (int reversed = 0; reversed < 2; reversed++) {
		changes_t changes = {0};
		job_table_t *table = job_table_new(on_change, &changes);
		job_records_t records = {0};

		CU_ASSERT(job_records_result(&records, &none, 0,
		    &(job_result_t){
			.item = STR("a"), .output = str_buf(&output)},
		    10 * (size_t)OUTPUT_SIZE));
		CU_ASSERT(records.count == 5);
		for (size_t i = 0; i < records.count; i++) {
			CU_ASSERT(!lists_output(table, str_buf(&output)));
			job_table_apply(
			    table, &records.records[reversed ? 4 - i : i]);
		}
		CU_ASSERT(lists_output(table, str_buf(&output)));
		apply_all(table, &records, reversed);
		CU_ASSERT(lists_output(table, str_buf(&output)));
		CU_ASSERT(changes.count[JOB_CHANGE_LISTED] == 1);
		CU_ASSERT(changes.count[JOB_CHANGE_MALFORMED] == 0);
		job_records_free(&records);
		job_table_delete(table);
	}
	buf_free(&output);
}

/*
 * Guards against an output made of two runs, after an owner ended between its
 * appends and the next one has another output.
 */
static void
test_pieces_of_two_runs(void)
{
	changes_t changes = {0};
	job_table_t *table = job_table_new(on_change, &changes);
	buf_t first = make_output('a');
	buf_t second = make_output('m');
	job_records_t records = {0};

	CU_ASSERT(!add_long_result(table, str_buf(&first), &records));
	apply_all(table, &records, false);
	CU_ASSERT(store_long_result(table, str_buf(&second)) == 2);
	CU_ASSERT(lists_output(table, str_buf(&second)));
	job_records_free(&records);
	buf_free(&first);
	buf_free(&second);
	job_table_delete(table);
}

/*
 * Guards against an output made of two runs at a host that read the first
 * owner's piece and then the second owner's result, in a reload by keys.
 */
static void
test_piece_that_is_replaced_later(void)
{
	changes_t changes = {0};
	job_table_t *table = job_table_new(on_change, &changes);
	buf_t first = make_output('a');
	buf_t second = make_output('m');
	job_records_t old = {0};
	job_records_t new = {0};
	const stored_job_t none = {.id = "job1"};

	CU_ASSERT(!add_long_result(table, str_buf(&first), &old));
	job_records_result(&new, &none, 0,
	    &(job_result_t){.item = STR("a"), .output = str_buf(&second)},
	    10 * (size_t)OUTPUT_SIZE);
	job_table_apply(table, &old.records[0]);
	for (size_t i = 1; i < new.count; i++)
		job_table_apply(table, &new.records[i]);
	CU_ASSERT(changes.count[JOB_CHANGE_LISTED] == 0);
	apply_all(table, &new, false);
	CU_ASSERT(lists_output(table, str_buf(&second)));
	job_records_free(&old);
	job_records_free(&new);
	buf_free(&first);
	buf_free(&second);
	job_table_delete(table);
}

/* Guards against pieces that stay in the store when their job is removed. */
static void
test_removal_of_pieces(void)
{
	changes_t changes = {0};
	job_table_t *table = job_table_new(on_change, &changes);
	buf_t output = make_output('a');
	job_records_t removal = {0};
	unsigned pieces = 0;

	store_long_result(table, str_buf(&output));
	job_records_remove(&removal, job_table_find(table, STR("job1")));
	for (size_t i = 0; i < removal.count; i++)
		pieces += removal.records[i].key.data[0] == 'O';
	CU_ASSERT(pieces == 4);
	job_records_free(&removal);
	buf_free(&output);
	job_table_delete(table);
}

/* Guards against jobs that are never removed, or survive a reload. */
static void
test_removal(void)
{
	changes_t changes = {0};
	job_table_t *table = job_table_new(on_change, &changes);
	job_t job = make_job(2);
	job_records_t records = {0};
	job_records_t removal = {0};

	job_records_accept(&records, &job);
	apply_all(table, &records, false);
	apply_result(table, "a", 0);
	job_records_remove(&removal, job_table_find(table, STR("job1")));
	for (size_t i = 0; i < removal.count; i++)
		CU_ASSERT(removal.records[i].removed);
	apply_all(table, &removal, false);
	CU_ASSERT_PTR_NULL(job_table_find(table, STR("job1")));
	CU_ASSERT(changes.count[JOB_CHANGE_REMOVED] == 1);
	apply_all(table, &records, false);
	job_table_begin_reload(table);
	job_table_end_reload(table);
	CU_ASSERT(job_table_count(table) == 0);
	job_records_free(&records);
	job_records_free(&removal);
	job_free(&job);
	job_table_delete(table);
}

/* Guards against crashes and bogus jobs from malformed records. */
static void
test_unreadable_records(void)
{
	static const struct {
		const char *key;
		const char *value;
	} bad[] = {
	    {"", "x"},
	    {"J", "x"},
	    {"Jjob", "not msgpack"},
	    {"Rjob/", "x"},
	    {"Rjob/99999999999", "x"},
	    {"Rjob/1", "\x93\x01"},
	    {"Xjob", "x"},
	    {"Pjob/abc", "x"},
	    {"Ojob/1", "x"},
	    {"Ojob/1/abc", "x"},
	    {"Rjob/2", "\x93\xa1\x61\x00\x02"},
	    {"Rjob/3", "\x94\xa1\x61\x00\x00\x02"},
	};
	changes_t changes = {0};
	job_table_t *table = job_table_new(on_change, &changes);

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		job_table_apply(
		    table, &(store_record_t){.key = str_of(bad[i].key),
			       .value = str_of(bad[i].value)});
	CU_ASSERT(changes.count[JOB_CHANGE_ACCEPTED] == 0);
	CU_ASSERT(changes.count[JOB_CHANGE_LISTED] == 0);
	job_table_delete(table);
}

/* Guards against an end that is reported twice or lost. */
static void
test_end(void)
{
	changes_t changes = {0};
	job_table_t *table = job_table_new(on_change, &changes);
	job_records_t records = {0};

	job_records_end(&records, STR("job1"));
	apply_all(table, &records, false);
	apply_all(table, &records, false);
	CU_ASSERT(changes.count[JOB_CHANGE_ENDED] == 1);
	CU_ASSERT(job_table_find(table, STR("job1"))->ended);
	job_records_free(&records);
	job_table_delete(table);
}

/*
 * Guards against two organisations that share a job because of its ID, and
 * against other keys on deployments without organisations.
 */
static void
test_job_keys(void)
{
	char long_id[JOB_ID_SIZE];
	char a[JOB_KEY_SIZE];
	char b[JOB_KEY_SIZE];

	job_key(a, (str_t){0}, STR("job1"));
	CU_ASSERT_STRING_EQUAL(a, "job1");
	job_key(a, STR("acme"), STR("job1"));
	job_key(b, STR("bolt"), STR("job1"));
	CU_ASSERT(strcmp(a, b) != 0 && strcmp(a, "job1") != 0);
	job_key(b, STR("acme"), STR("job1"));
	CU_ASSERT_STRING_EQUAL(a, b);
	/* Keys are never cut, which would merge two jobs. */
	memset(long_id, 'x', sizeof(long_id) - 1);
	long_id[sizeof(long_id) - 1] = '\0';
	job_key(a, STR("acme"), str_of(long_id));
	CU_ASSERT(strlen(a) == JOB_KEY_SIZE - 1);
}

/*
 * Guards against records that an earlier version wrote and this one can't read,
 * and against another format on deployments without organisations.
 */
static void
test_records_of_earlier_versions(void)
{
	static const char old[] = "\x96\x01\xa4job1\xa1h\xa2/t"
				  "\xcb\x3f\xf0\0\0\0\0\0\0\x90";
	str_t bytes = {old, sizeof(old) - 1};
	buf_t packed = {0};
	job_t job;

	CU_ASSERT_FATAL(job_unpack(bytes, &job) == 0);
	CU_ASSERT(str_equal(job.id, STR("job1")) && job.org.len == 0);
	CU_ASSERT(str_equal(job.target, STR("/t")) && job.submitted == 1);
	job_pack(&job, &packed);
	CU_ASSERT(str_equal(str_buf(&packed), bytes));
	buf_clear(&packed);
	job.org = job_copy_str(&job, STR("acme"));
	job_pack(&job, &packed);
	job_free(&job);
	CU_ASSERT_FATAL(job_unpack(str_buf(&packed), &job) == 0);
	CU_ASSERT(str_equal(job.org, STR("acme")));
	job_free(&job);
	buf_free(&packed);
}

static const suite_test_t tests[] = {
    {"chunks in any order", test_chunks_in_any_order},
    {"positions are contiguous", test_positions_are_contiguous},
    {"long output", test_long_output},
    {"pieces in any order", test_pieces_in_any_order},
    {"pieces of two runs", test_pieces_of_two_runs},
    {"a piece that is replaced later", test_piece_that_is_replaced_later},
    {"removal of pieces", test_removal_of_pieces},
    {"removal", test_removal},
    {"unreadable records", test_unreadable_records},
    {"end", test_end},
    {"job keys", test_job_keys},
    {"records of earlier versions", test_records_of_earlier_versions},
};

SUITE_MAIN("job_table", tests)
