/* Ring buffer of the latest requests of this host, indexed by request id. */
#include "request_log.h"

#include <stdlib.h>

#define BUCKET_COUNT 32768
#define NO_SLOT	     UINT32_MAX

struct request_log_t {
	uint64_t added; /* requests added since the start */
	request_entry_t entries[REQUEST_LOG_SIZE];
	uint32_t next[REQUEST_LOG_SIZE]; /* older entry of the same bucket, or
					    NO_SLOT */
	uint32_t buckets[BUCKET_COUNT];
};

static uint32_t *
bucket_of(request_log_t *log, str_t id)
{
	return (&log->buckets[str_hash(id, 0) % BUCKET_COUNT]);
}

request_log_t *
request_log_new(void)
{
	request_log_t *log = xcalloc(1, sizeof(*log));

	for (size_t i = 0; i < BUCKET_COUNT; i++)
		log->buckets[i] = NO_SLOT;
	return (log);
}

void
request_log_delete(request_log_t *log)
{
	free(log);
}

/* Unlinks an entry from its hash bucket. */
static void
unlink_entry(request_log_t *log, uint32_t slot)
{
	uint32_t *link = bucket_of(log, str_of(log->entries[slot].id));

	while (*link != NO_SLOT && *link != slot)
		link = &log->next[*link];
	if (*link == slot)
		*link = log->next[slot];
}

/*
 * Adds a request, overwriting the oldest entry if the log is full. Returns the
 * number by which request_log_update() refers to it.
 */
uint64_t
request_log_add(request_log_t *log, const request_entry_t *entry)
{
	uint64_t number = log->added++;
	uint32_t slot = (uint32_t)(number % REQUEST_LOG_SIZE);
	uint32_t *bucket;

	if (number >= REQUEST_LOG_SIZE)
		unlink_entry(log, slot);
	log->entries[slot] = *entry;
	bucket = bucket_of(log, str_of(entry->id));
	log->next[slot] = *bucket;
	*bucket = slot;
	return (number);
}

/*
 * Sets the endpoint and outcome of a request; NULL leaves a value unchanged.
 * Does nothing if the entry has been overwritten.
 */
void
request_log_update(request_log_t *log, uint64_t number, const char *endpoint,
    const char *outcome)
{
	request_entry_t *entry = &log->entries[number % REQUEST_LOG_SIZE];

	if (number >= log->added || log->added - number > REQUEST_LOG_SIZE)
		return;
	if (endpoint != NULL)
		str_copy(
		    entry->endpoint, sizeof(entry->endpoint), str_of(endpoint));
	if (outcome != NULL)
		str_copy(
		    entry->outcome, sizeof(entry->outcome), str_of(outcome));
}

/* Returns the latest request with that id, or NULL. */
const request_entry_t *
request_log_find(const request_log_t *log, str_t id)
{
	uint32_t slot = log->buckets[str_hash(id, 0) % BUCKET_COUNT];

	while (slot != NO_SLOT && !str_equal(str_of(log->entries[slot].id), id))
		slot = log->next[slot];
	return (slot != NO_SLOT ? &log->entries[slot] : NULL);
}
