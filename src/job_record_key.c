/* Keys of the records in which jobs are stored. */
#include "job_record_key.h"

#include "job.h"

/* Takes "/<index>" off the end. Returns false if there is none. */
static bool
take_index(str_t *rest, uint64_t *index)
{
	size_t slash = rest->len;

	while (slash > 0 && rest->data[slash - 1] != '/')
		slash--;
	if (slash == 0 ||
	    str_to_u64((str_t){rest->data + slash, rest->len - slash}, index) !=
		0 ||
	    *index > JOB_RECORD_MAX_INDEX)
		return (false);
	rest->len = slash - 1;
	return (true);
}

static bool
has_position(char kind)
{
	return (kind == JOB_RECORD_RESULT || kind == JOB_RECORD_PIECE);
}

static bool
has_index(char kind)
{
	return (kind == JOB_RECORD_CHUNK || kind == JOB_RECORD_PIECE);
}

/*
 * Parses a key; the job's id refers to its text. Returns false when the key is
 * malformed.
 */
bool
job_record_key_parse(str_t text, job_record_key_t *out)
{
	str_t rest = text;

	*out = (job_record_key_t){0};
	if (text.len < 2)
		return (false);
	out->kind = text.data[0];
	if (has_index(out->kind) && !take_index(&rest, &out->index))
		return (false);
	if (has_position(out->kind) && !take_index(&rest, &out->position))
		return (false);
	if (rest.len < 2 || rest.len > JOB_KEY_SIZE)
		return (false);
	out->job = (str_t){rest.data + 1, rest.len - 1};
	return (true);
}

/* Appends a key's text. */
void
job_record_key_print(const job_record_key_t *key, buf_t *out)
{
	buf_printf(out, "%c" STR_FMT, key->kind, STR_ARG(key->job));
	if (has_position(key->kind))
		buf_printf(out, "/%llu", (unsigned long long)key->position);
	if (has_index(key->kind))
		buf_printf(out, "/%llu", (unsigned long long)key->index);
}
