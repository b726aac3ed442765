/* Remembers the last requests of this host, to find one by its id. */
#include "request_log.h"

#include <stdlib.h>

#define BUCKETS 32768
#define NONE	UINT32_MAX

struct request_log_t {
	uint64_t added;
	request_entry_t entries[REQUEST_LOG_SIZE];
	uint32_t next[REQUEST_LOG_SIZE]; /* in the same bucket, older */
	uint32_t buckets[BUCKETS];
};

static uint32_t *
bucket_of(request_log_t *log, str_t id)
{
	return (&log->buckets[str_hash(id, 0) % BUCKETS]);
}

/* Makes an empty log. */
request_log_t *
request_log_new(void)
{
	request_log_t *log = xcalloc(1, sizeof(*log));

	for (size_t i = 0; i < BUCKETS; i++)
		log->buckets[i] = NONE;
	return (log);
}

/* Frees a log. */
void
request_log_delete(request_log_t *log)
{
	free(log);
}

static void
forget(request_log_t *log, uint32_t slot)
{
	uint32_t *link = bucket_of(log, str_of(log->entries[slot].id));

	while (*link != NONE && *link != slot)
		link = &log->next[*link];
	if (*link == slot)
		*link = log->next[slot];
}

/* Adds a request in place of the oldest one; returns its number. */
uint64_t
request_log_add(request_log_t *log, const request_entry_t *entry)
{
	uint64_t number = log->added++;
	uint32_t slot = (uint32_t)(number % REQUEST_LOG_SIZE);
	uint32_t *bucket;

	if (number >= REQUEST_LOG_SIZE)
		forget(log, slot);
	log->entries[slot] = *entry;
	bucket = bucket_of(log, str_of(entry->id));
	log->next[slot] = *bucket;
	*bucket = slot;
	return (number);
}

/* Changes a request's endpoint and outcome, unless it is forgotten; NULL keeps
 * a value. */
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

/* Returns the newest request with that id, or NULL. */
const request_entry_t *
request_log_find(const request_log_t *log, str_t id)
{
	uint32_t slot = log->buckets[str_hash(id, 0) % BUCKETS];

	while (slot != NONE && !str_equal(str_of(log->entries[slot].id), id))
		slot = log->next[slot];
	return (slot != NONE ? &log->entries[slot] : NULL);
}
