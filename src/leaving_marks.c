/*
 * Endpoints that said in a response that they leave.
 *
 * An endpoint that leaves ends and does not return as the same start, so its
 * notice is newer than any entry of that start. An entry of a newer start ends
 * it. Entries that do not state their start are of a newer one if they say
 * ready after an entry was removed or said draining.
 */
#include "leaving_marks.h"

#include <stdlib.h>
#include <sys/queue.h>

#include "logger.h"
#include "name.h"

/* More marks than endpoints that leave within hours; the oldest is dropped. */
#define MAX_MARKS 4096
#define BUCKETS	  256

typedef struct mark_t {
	char endpoint[ENDPOINT_NAME_SIZE];
	uint64_t started_ms; /* of the start that leaves; 0: unknown */
	bool entry_ended;    /* removed or draining since the mark was set */
	LIST_ENTRY(mark_t) bucket_link;
	TAILQ_ENTRY(mark_t) age_link;
} mark_t;

struct leaving_marks_t {
	size_t count;
	LIST_HEAD(, mark_t) buckets[BUCKETS];
	TAILQ_HEAD(, mark_t) by_age; /* oldest first */
};

leaving_marks_t *
leaving_marks_new(void)
{
	leaving_marks_t *marks = xcalloc(1, sizeof(*marks));

	TAILQ_INIT(&marks->by_age);
	return (marks);
}

static void
mark_free(leaving_marks_t *marks, mark_t *mark)
{
	LIST_REMOVE(mark, bucket_link);
	TAILQ_REMOVE(&marks->by_age, mark, age_link);
	marks->count--;
	free(mark);
}

void
leaving_marks_delete(leaving_marks_t *marks)
{
	while (!TAILQ_EMPTY(&marks->by_age))
		mark_free(marks, TAILQ_FIRST(&marks->by_age));
	free(marks);
}

static size_t
bucket_of(str_t endpoint)
{
	return (str_hash(endpoint, 0) % BUCKETS);
}

static mark_t *
mark_find(const leaving_marks_t *marks, str_t endpoint)
{
	mark_t *mark;

	LIST_FOREACH (mark, &marks->buckets[bucket_of(endpoint)], bucket_link)
		if (str_equal(str_of(mark->endpoint), endpoint))
			return (mark);
	return (NULL);
}

/*
 * Marks an endpoint's start as leaving; started_ms is 0 if it is unknown.
 * Returns false if that was known.
 */
bool
leaving_marks_add(leaving_marks_t *marks, str_t endpoint, uint64_t started_ms)
{
	mark_t *mark = mark_find(marks, endpoint);

	if (mark != NULL && mark->started_ms >= started_ms)
		return (false);
	if (mark != NULL) {
		mark->started_ms = started_ms;
		mark->entry_ended = false;
		return (true);
	}
	if (marks->count >= MAX_MARKS) {
		LOG_WARN("leaving_mark_dropped", "endpoint=%s",
		    TAILQ_FIRST(&marks->by_age)->endpoint);
		mark_free(marks, TAILQ_FIRST(&marks->by_age));
	}
	mark = xcalloc(1, sizeof(*mark));
	str_copy(mark->endpoint, sizeof(mark->endpoint), endpoint);
	mark->started_ms = started_ms;
	LIST_INSERT_HEAD(
	    &marks->buckets[bucket_of(endpoint)], mark, bucket_link);
	TAILQ_INSERT_TAIL(&marks->by_age, mark, age_link);
	marks->count++;
	return (true);
}

/* Returns whether an endpoint said that it leaves. */
bool
leaving_marks_has(const leaving_marks_t *marks, str_t endpoint)
{
	return (marks->count > 0 && mark_find(marks, endpoint) != NULL);
}

/*
 * Takes notice of an endpoint's entry; started_ms is 0 if the entry does not
 * state it. Returns whether it ends the endpoint's mark.
 */
bool
leaving_marks_entry_written(
    leaving_marks_t *marks, str_t endpoint, uint64_t started_ms, bool draining)
{
	mark_t *mark = marks->count > 0 ? mark_find(marks, endpoint) : NULL;
	bool is_newer;

	if (mark == NULL)
		return (false);
	if (draining) {
		mark->entry_ended = true;
		return (false);
	}
	is_newer = started_ms > 0 && mark->started_ms > 0
		       ? started_ms > mark->started_ms
		       : mark->entry_ended;
	if (is_newer)
		mark_free(marks, mark);
	return (is_newer);
}

/* Forgets the notice of an endpoint, if there is one. */
void
leaving_marks_remove(leaving_marks_t *marks, str_t endpoint)
{
	mark_t *mark = mark_find(marks, endpoint);

	if (mark != NULL)
		mark_free(marks, mark);
}

/* Takes notice that an endpoint's entry was removed. */
void
leaving_marks_entry_removed(leaving_marks_t *marks, str_t endpoint)
{
	mark_t *mark = marks->count > 0 ? mark_find(marks, endpoint) : NULL;

	if (mark != NULL)
		mark->entry_ended = true;
}

/* Calls back for each marked endpoint whose entry still says that it is ready.
 */
void
leaving_marks_each(
    const leaving_marks_t *marks, leaving_mark_cb_t callback, void *ctx)
{
	const mark_t *mark;

	TAILQ_FOREACH (mark, &marks->by_age, age_link)
		if (!mark->entry_ended)
			callback(ctx, mark->endpoint, mark->started_ms);
}

size_t
leaving_marks_count(const leaving_marks_t *marks)
{
	return (marks->count);
}
