/* The state of one shard: its tables of jobs and keys. */
#include "shard.h"

#include <search.h>
#include <stdlib.h>
#include <string.h>

/* A record that declares more items than this is malformed. */
#define MAX_JOB_ITEMS 4000000U

/* The inputs of consecutive items; freed when all of them ended. */
struct shard_block_t {
	char *data;
	uint32_t first;
	uint32_t count;
	uint32_t unfinished;
};

/* The identifier is the first member of jobs and of keys. */
static int
compare_ids(const void *a, const void *b)
{
	return (strcmp(a, b));
}

static void *
tree_find(void *const *tree, const char *id)
{
	void *const *node = tfind(id, tree, compare_ids);

	return (node != NULL ? *node : NULL);
}

static void
tree_add(void **tree, void *object)
{
	if (tsearch(object, tree, compare_ids) == NULL)
		abort();
}

/* Returns whether an item has ended. */
bool
item_is_finished(unsigned state)
{
	return (state != ITEM_PENDING && state != ITEM_STARTED);
}

/* Makes the state of a stream without records. */
void
shard_init(shard_t *shard)
{
	*shard = (shard_t){0};
	TAILQ_INIT(&shard->jobs);
	TAILQ_INIT(&shard->keys);
}

/* Frees everything; the state is that of a stream without records again. */
void
shard_reset(shard_t *shard)
{
	while (!TAILQ_EMPTY(&shard->jobs))
		shard_remove_job(shard, TAILQ_FIRST(&shard->jobs));
	while (!TAILQ_EMPTY(&shard->keys))
		shard_remove_key(shard, TAILQ_FIRST(&shard->keys));
	shard_init(shard);
}

/* Returns whether the newest claim is that of a process. */
bool
shard_owned_by(const shard_t *shard, str_t name, uint64_t instance)
{
	return (shard->epoch != 0 && shard->instance == instance &&
		str_equal(str_of(shard->owner), name));
}

/* Returns a job, sealed or not, or NULL. */
shard_job_t *
shard_find_job(const shard_t *shard, const char *id)
{
	return (tree_find(&shard->job_tree, id));
}

/* Returns a key, or NULL. */
shard_key_t *
shard_find_key(const shard_t *shard, const char *id)
{
	return (tree_find(&shard->key_tree, id));
}

/* Adds a job without items; the id must be new. */
shard_job_t *
shard_add_job(shard_t *shard, const char *id)
{
	shard_job_t *job = xcalloc(1, sizeof(*job));

	str_copy(job->id, sizeof(job->id), str_of(id));
	tree_add(&shard->job_tree, job);
	TAILQ_INSERT_TAIL(&shard->jobs, job, entry);
	shard->job_count++;
	return (job);
}

/* Adds a key without an intent; the id must be new. */
shard_key_t *
shard_add_key(shard_t *shard, const char *id)
{
	shard_key_t *key = xcalloc(1, sizeof(*key));

	str_copy(key->id, sizeof(key->id), str_of(id));
	tree_add(&shard->key_tree, key);
	TAILQ_INSERT_TAIL(&shard->keys, key, entry);
	shard->key_count++;
	return (key);
}

/* Removes and frees a job. */
void
shard_remove_job(shard_t *shard, shard_job_t *job)
{
	tdelete(job, &shard->job_tree, compare_ids);
	TAILQ_REMOVE(&shard->jobs, job, entry);
	shard->job_count--;
	for (uint32_t i = 0; i < job->item_cap; i++)
		free((void *)job->items[i].result.data);
	for (size_t i = 0; i < job->block_count; i++)
		free(job->blocks[i].data);
	free(job->blocks);
	free(job->items);
	free(job);
}

/* Removes and frees a key. */
void
shard_remove_key(shard_t *shard, shard_key_t *key)
{
	tdelete(key, &shard->key_tree, compare_ids);
	TAILQ_REMOVE(&shard->keys, key, entry);
	shard->key_count--;
	free((void *)key->body.data);
	free(key->voided);
	free(key);
}

/* Sets the number of items; returns false when it is out of range. */
bool
shard_job_set_count(shard_job_t *job, uint64_t count)
{
	if (count == 0 || count > MAX_JOB_ITEMS)
		return (false);
	job->item_count = (uint32_t)count;
	job->counts[ITEM_PENDING] = job->item_count;
	return (true);
}

/* Memory follows the items that arrived, not the number that was declared. */
static void
job_reserve(shard_job_t *job, uint32_t need)
{
	uint32_t cap = job->item_cap;

	if (need <= cap)
		return;
	cap = cap * 2 > need ? cap * 2 : need;
	if (cap > job->item_count)
		cap = job->item_count;
	job->items = xrealloc(job->items, cap * sizeof(*job->items));
	memset(job->items + job->item_cap, 0,
	    (cap - job->item_cap) * sizeof(*job->items));
	job->item_cap = cap;
}

/* Copies the inputs of consecutive items into one block of memory. */
void
shard_job_add_block(
    shard_job_t *job, uint32_t first, const str_t *inputs, uint32_t count)
{
	shard_block_t block = {.first = first, .count = count};
	size_t size = 0;
	char *next;

	for (uint32_t i = 0; i < count; i++)
		size += inputs[i].len;
	job_reserve(job, first + count);
	block.unfinished = count;
	block.data = xmalloc(size);
	next = block.data;
	for (uint32_t i = 0; i < count; i++) {
		if (inputs[i].len > 0)
			memcpy(next, inputs[i].data, inputs[i].len);
		job->items[first + i].input = (str_t){next, inputs[i].len};
		next += inputs[i].len;
	}
	job->blocks = xrealloc(
	    job->blocks, (job->block_count + 1) * sizeof(*job->blocks));
	job->blocks[job->block_count++] = block;
}

static shard_block_t *
job_block(const shard_job_t *job, uint32_t item)
{
	size_t low = 0;
	size_t high = job->block_count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (item < job->blocks[middle].first)
			high = middle;
		else if (item >=
			 job->blocks[middle].first + job->blocks[middle].count)
			low = middle + 1;
		else
			return (&job->blocks[middle]);
	}
	return (NULL);
}

/* Ends an item that has not ended yet; its input is no longer kept. */
void
shard_job_end_item(shard_job_t *job, uint32_t item, item_state_t state,
    unsigned tries, str_t result, uint64_t now)
{
	shard_item_t *it = &job->items[item];
	shard_block_t *block = job_block(job, item);

	job->counts[it->state]--;
	job->counts[state]++;
	it->state = (uint8_t)state;
	it->tries = (uint8_t)(tries < UINT8_MAX ? tries : UINT8_MAX);
	it->input = (str_t){0};
	if (result.len > 0)
		it->result =
		    (str_t){xmemdup(result.data, result.len), result.len};
	if (block != NULL && --block->unfinished == 0) {
		free(block->data);
		block->data = NULL;
	}
	if (++job->finished == job->item_count)
		job->finished_at = now;
}

/* Returns whether an attempt was ruled out. */
bool
shard_key_is_voided(const shard_key_t *key, uint64_t attempt)
{
	for (size_t i = 0; i < key->voided_count; i++)
		if (key->voided[i] == attempt)
			return (true);
	return (false);
}

/* Rules an attempt out. */
void
shard_key_add_voided(shard_key_t *key, uint64_t attempt)
{
	if (shard_key_is_voided(key, attempt))
		return;
	key->voided = xrealloc(
	    key->voided, (key->voided_count + 1) * sizeof(*key->voided));
	key->voided[key->voided_count++] = attempt;
}
