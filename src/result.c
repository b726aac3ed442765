/* Result codes, shared by functions, internal messages and HTTP responses. */
#include "result.h"

static const result_info_t table[] = {
#define RESULT_INFO(code, code_number, status, code_outcome, code_text) \
	{                                                               \
	    .name = #code,                                              \
	    .text = (code_text),                                        \
	    .number = (code_number),                                    \
	    .http_status = (status),                                    \
	    .outcome = OUTCOME_##code_outcome,                          \
	},
    RESULT_TABLE(RESULT_INFO)
#undef RESULT_INFO
};

#define TABLE_COUNT (sizeof(table) / sizeof(table[0]))

/* Returns the whole table, sorted by number. */
const result_info_t *
result_table(size_t *count)
{
	*count = TABLE_COUNT;
	return (table);
}

/*
 * Returns the table entry of a negative return value. Unknown values map to
 * INTERNAL, so that every error response is complete.
 */
const result_info_t *
result_info(int rc)
{
	for (size_t i = 0; i < TABLE_COUNT; i++)
		if (table[i].number == -rc)
			return (&table[i]);
	return (&table[TABLE_COUNT - 1]);
}

/* Returns the name of a negative return value, or "OK" for 0. */
const char *
result_name(int rc)
{
	return (rc == 0 ? "OK" : result_info(rc)->name);
}

/* Returns the message of a negative return value. */
const char *
result_text(int rc)
{
	return (rc == 0 ? "success" : result_info(rc)->text);
}

/* Returns the HTTP status of a negative return value, or 200 for 0. */
int
result_http_status(int rc)
{
	return (rc == 0 ? 200 : result_info(rc)->http_status);
}

/* Returns the default outcome of a negative return value. */
outcome_t
result_outcome(int rc)
{
	return (result_info(rc)->outcome);
}

/* Returns the name of an outcome in error responses. */
const char *
outcome_name(outcome_t outcome)
{
	switch (outcome) {
	case OUTCOME_NOT_RUN:
		return ("not_run");
	case OUTCOME_UNKNOWN:
		return ("unknown");
	case OUTCOME_FAILED:
		break;
	}
	return ("failed");
}

/*
 * Writes the content of docs/ERRORS.md. A test compares the page with it, so
 * that the page cannot differ from the table.
 */
void
result_write_reference(buf_t *out)
{
	buf_append(out,
	    STR("# Result codes\n\n"
		"Functions return 0 or the negated number. Every error "
		"response "
		"is JSON:\n\n"
		"    {\"error\": {\"code\": 11, \"name\": \"OVERLOADED\", "
		"\"message\": \"no capacity in time\",\n"
		"               \"outcome\": \"not_run\"}}\n\n"
		"The outcome says what the caller may conclude. `not_run`: the "
		"request certainly did\nnot start and will not start. "
		"`unknown`: it "
		"may have run or may still run; resend it with\nthe same "
		"idempotency key. `failed`: the failure is permanent. The "
		"table gives the default\noutcome of a code; a response may "
		"state a more precise one.\n\n"
		"| code | name | HTTP status | outcome | meaning |\n"
		"| --- | --- | --- | --- | --- |\n"));
	for (size_t i = 0; i < TABLE_COUNT; i++)
		buf_printf(out, "| %d | %s | %d | `%s` | %s |\n",
		    table[i].number, table[i].name, table[i].http_status,
		    outcome_name(table[i].outcome), table[i].text);
}
