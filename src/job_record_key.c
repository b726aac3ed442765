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

/*
 * Parses a key; the job's id refers to it. Returns false when the key is
 * malformed.
 */
bool
job_record_key_parse(str_t key, job_record_key_t *out)
{
	str_t rest = key;
	bool valid = true;

	*out = (job_record_key_t){0};
	if (key.len < 2)
		return (false);
	out->kind = key.data[0];
	if (out->kind == JOB_RECORD_CHUNK || out->kind == JOB_RECORD_PIECE)
		valid = take_index(&rest, &out->index);
	if (out->kind == JOB_RECORD_RESULT || out->kind == JOB_RECORD_PIECE)
		valid = valid && take_index(&rest, &out->position);
	if (!valid || rest.len < 2 || rest.len > JOB_KEY_SIZE)
		return (false);
	out->job = (str_t){rest.data + 1, rest.len - 1};
	return (true);
}
