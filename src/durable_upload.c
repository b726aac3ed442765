/* Takes the parts of a job and commits them until the job is sealed. */
#include "durable_upload.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "clock.h"
#include "result.h"
#include "shard_entry.h"

/* Bytes of the lines in one ITEMS entry. */
#define ITEMS_BYTES (128U << 10)
#define SWEEP_S	    5.0
/* An upload without a new part for this long is given up. */
#define IDLE_S 30.0

typedef struct upload_waiter_t {
	durable_request_t *request;
	TAILQ_ENTRY(upload_waiter_t) entry;
} upload_waiter_t;

typedef struct upload_t {
	durable_uploads_t *uploads;
	unsigned shard;
	shard_job_t job; /* only what JOB, ITEMS and SEALED name */
	uint64_t total;
	uint64_t received;
	uint32_t lines;
	buf_t partial; /* bytes after the last whole line */
	crypto_generichash_state hash;
	unsigned open_changes;
	int failed;   /* result code of the first change that failed */
	bool sealing; /* all parts are there: SEALED is queued */
	bool ended;
	double touched;
	TAILQ_HEAD(, upload_waiter_t) waiters;
	TAILQ_ENTRY(upload_t) entry;
} upload_t;

struct durable_uploads_t {
	struct ev_loop *loop;
	shard_owner_t *owner;
	ev_timer sweep;
	TAILQ_HEAD(, upload_t) list;
};

/* Begins a hash that goes on with the lines, in pieces of any size. */
void
durable_content_begin(crypto_generichash_state *state, str_t parameters)
{
	uint64_t len = parameters.len;

	crypto_generichash_init(state, NULL, 0, SHARD_HASH_SIZE);
	crypto_generichash_update(
	    state, (const unsigned char *)&len, sizeof(len));
	crypto_generichash_update(
	    state, (const unsigned char *)parameters.data, parameters.len);
}

/* Hashes lines at once. */
void
durable_content_hash(
    str_t parameters, str_t lines, uint8_t out[SHARD_HASH_SIZE])
{
	crypto_generichash_state state;

	durable_content_begin(&state, parameters);
	crypto_generichash_update(
	    &state, (const unsigned char *)lines.data, lines.len);
	crypto_generichash_final(&state, out, SHARD_HASH_SIZE);
}

static void
upload_free(upload_t *upload)
{
	buf_free(&upload->partial);
	free(upload);
}

/* Ends an upload; it is freed once its changes have ended too. */
static void
upload_end(upload_t *upload, int rc)
{
	shard_owner_t *owner = upload->uploads->owner;
	const shard_t *state = shard_owner_state(owner, upload->shard);
	const shard_job_t *job =
	    state != NULL ? shard_find_job(state, upload->job.id) : NULL;
	upload_waiter_t *waiter;
	bool sealed =
	    job != NULL && job->sealed &&
	    memcmp(job->content, upload->job.content, SHARD_HASH_SIZE) == 0;

	TAILQ_REMOVE(&upload->uploads->list, upload, entry);
	upload->ended = true;
	if (rc == 0 && !sealed)
		rc = -RESULT_LOG_UNCERTAIN;
	if (rc != 0 && job != NULL && !sealed) {
		buf_t entry = {0};

		shard_entry_forget(&entry, ENTRY_FORGET_JOB, upload->job.id);
		shard_owner_commit(owner, upload->shard, str_buf(&entry), 1,
		    false, NULL, NULL);
		buf_free(&entry);
	}
	while ((waiter = TAILQ_FIRST(&upload->waiters)) != NULL) {
		TAILQ_REMOVE(&upload->waiters, waiter, entry);
		if (rc == 0)
			durable_reply_job(
			    waiter->request, job, SUBMIT_ACCEPTED);
		else if (rc == -RESULT_NOT_OWNER)
			durable_request_not_owner(
			    waiter->request, upload->shard);
		else
			durable_request_reply(waiter->request, rc, (str_t){0});
		free(waiter);
	}
	if (upload->open_changes == 0)
		upload_free(upload);
}

static void
on_change(void *ctx, int rc)
{
	upload_t *upload = ctx;

	upload->open_changes--;
	if (rc != 0 && upload->failed == 0)
		upload->failed = rc;
	if (upload->ended) {
		if (upload->open_changes == 0)
			upload_free(upload);
	} else if (upload->open_changes == 0 &&
		   !TAILQ_EMPTY(&upload->waiters)) {
		/* Without a waiter the next part learns of a failure. */
		upload_end(upload, upload->failed);
	}
}

/* Queues one entry; an outage of the log service refuses it. */
static void
upload_commit(upload_t *upload, buf_t *entry)
{
	upload->open_changes++;
	if (shard_owner_commit(upload->uploads->owner, upload->shard,
		str_buf(entry), 1, true, on_change, upload) == NULL) {
		upload->open_changes--;
		if (upload->failed == 0)
			upload->failed = -RESULT_NOT_OWNER;
	}
	buf_free(entry);
}

/* Most lines do not name the flag and need not be parsed. */
static bool
line_no_repeat(str_t line)
{
	json_t *object;
	bool value;

	if (memmem(line.data, line.len, "no_repeat", 9) == NULL &&
	    memmem(line.data, line.len, "\\u", 2) == NULL)
		return (false);
	object = json_loadb(line.data, line.len, 0, NULL);
	value = json_is_true(json_object_get(object, "no_repeat"));
	json_decref(object);
	return (value);
}

static void
upload_items(upload_t *upload, shard_item_line_t *lines, uint32_t count)
{
	buf_t entry = {0};

	if (count == 0)
		return;
	shard_entry_items(&entry, &upload->job, upload->lines, lines, count);
	upload->lines += count;
	upload_commit(upload, &entry);
}

/* Commits all whole lines; at the end also one without a newline. */
static void
upload_take_lines(upload_t *upload, bool end)
{
	str_t rest = str_buf(&upload->partial);
	shard_item_line_t *lines = NULL;
	uint32_t count = 0;
	uint32_t cap = 0;
	size_t bytes = 0;
	size_t used = 0;

	while (rest.len > 0) {
		const char *newline = memchr(rest.data, '\n', rest.len);
		size_t len =
		    newline != NULL ? (size_t)(newline - rest.data) : rest.len;
		str_t line = {rest.data, len};

		if (newline == NULL && !end)
			break;
		used += newline != NULL ? len + 1 : len;
		rest.data += newline != NULL ? len + 1 : len;
		rest.len -= newline != NULL ? len + 1 : len;
		if (bytes + len > ITEMS_BYTES) {
			upload_items(upload, lines, count);
			count = 0;
			bytes = 0;
		}
		if (count == cap) {
			cap = cap > 0 ? cap * 2 : 64;
			lines = xrealloc(lines, cap * sizeof(*lines));
		}
		lines[count++] =
		    (shard_item_line_t){line, line_no_repeat(line)};
		bytes += len;
	}
	upload_items(upload, lines, count);
	free(lines);
	buf_consume(&upload->partial, used);
}

static upload_t *
upload_find(durable_uploads_t *uploads, const char *id)
{
	upload_t *upload;

	TAILQ_FOREACH (upload, &uploads->list, entry)
		if (strcmp(upload->job.id, id) == 0)
			return (upload);
	return (NULL);
}

static upload_t *
upload_new(
    durable_uploads_t *uploads, unsigned shard, const upload_part_t *part)
{
	upload_t *upload = xcalloc(1, sizeof(*upload));
	buf_t entry = {0};

	upload->uploads = uploads;
	upload->shard = shard;
	memcpy(upload->job.id, part->id, sizeof(upload->job.id));
	str_copy(upload->job.org, sizeof(upload->job.org), part->org);
	upload->job.due = part->due;
	upload->job.created = (uint64_t)clock_wall();
	upload->job.item_count = (uint32_t)part->count;
	upload->job.upload = random_u64();
	memcpy(upload->job.content, part->content.data, SHARD_HASH_SIZE);
	upload->total = part->total;
	durable_content_begin(&upload->hash, part->parameters);
	TAILQ_INIT(&upload->waiters);
	TAILQ_INSERT_TAIL(&uploads->list, upload, entry);
	shard_entry_job(&entry, &upload->job);
	upload_commit(upload, &entry);
	return (upload);
}

static void
upload_wait(upload_t *upload, durable_request_t *request)
{
	upload_waiter_t *waiter = xcalloc(1, sizeof(*waiter));

	waiter->request = request;
	TAILQ_INSERT_TAIL(&upload->waiters, waiter, entry);
}

static void
reply_continue(durable_request_t *request, uint64_t offset)
{
	buf_t body = {0};
	msgpack_packer packer;

	wire_packer_init(&packer, &body);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_int(&packer, SUBMIT_CONTINUE);
	msgpack_pack_uint64(&packer, offset);
	durable_request_reply(request, 0, str_buf(&body));
	buf_free(&body);
}

/* All bytes are there: seals the job when they are what was announced. */
static void
upload_seal(upload_t *upload)
{
	uint8_t content[SHARD_HASH_SIZE];
	buf_t entry = {0};

	crypto_generichash_final(&upload->hash, content, SHARD_HASH_SIZE);
	upload_take_lines(upload, true);
	if (upload->lines != upload->job.item_count ||
	    memcmp(content, upload->job.content, SHARD_HASH_SIZE) != 0) {
		upload_end(upload, -RESULT_BAD_REQUEST);
		return;
	}
	upload->sealing = true;
	shard_entry_sealed(&entry, &upload->job);
	upload_commit(upload, &entry);
	if (upload->open_changes == 0)
		upload_end(upload, upload->failed);
}

static void
upload_take(
    upload_t *upload, const upload_part_t *part, durable_request_t *request)
{
	upload->touched = clock_monotonic();
	if (upload->sealing || upload->failed != 0) {
		upload_wait(upload, request);
		if (upload->open_changes == 0)
			upload_end(upload, upload->failed);
		return;
	}
	if (part->offset != upload->received ||
	    part->bytes.len > upload->total - upload->received) {
		reply_continue(request, upload->received);
		return;
	}
	crypto_generichash_update(&upload->hash,
	    (const unsigned char *)part->bytes.data, part->bytes.len);
	upload->received += part->bytes.len;
	buf_append(&upload->partial, part->bytes);
	upload_take_lines(upload, false);
	if (upload->received < upload->total) {
		reply_continue(request, upload->received);
		return;
	}
	upload_wait(upload, request);
	upload_seal(upload);
}

/* Takes one part; the shard is owned and the job is not sealed. */
void
durable_uploads_part(durable_uploads_t *uploads, unsigned shard,
    const upload_part_t *part, durable_request_t *request)
{
	upload_t *upload = upload_find(uploads, part->id);

	if (upload != NULL && memcmp(upload->job.content, part->content.data,
				  SHARD_HASH_SIZE) != 0) {
		durable_request_reply(request, -RESULT_IN_PROGRESS, (str_t){0});
		return;
	}
	if (upload == NULL && part->offset != 0) {
		reply_continue(request, 0);
		return;
	}
	if (upload == NULL)
		upload = upload_new(uploads, shard, part);
	upload_take(upload, part, request);
}

static void
on_sweep(struct ev_loop *loop, ev_timer *timer, int events)
{
	durable_uploads_t *uploads = timer->data;
	double now = clock_monotonic();
	upload_t *upload = TAILQ_FIRST(&uploads->list);

	(void)loop;
	(void)events;
	while (upload != NULL) {
		upload_t *next = TAILQ_NEXT(upload, entry);

		if (!upload->sealing && now - upload->touched > IDLE_S)
			upload_end(upload, -RESULT_TIMEOUT);
		upload = next;
	}
}

/* Makes a table without uploads. */
durable_uploads_t *
durable_uploads_new(struct ev_loop *loop, shard_owner_t *owner)
{
	durable_uploads_t *uploads = xcalloc(1, sizeof(*uploads));

	uploads->loop = loop;
	uploads->owner = owner;
	TAILQ_INIT(&uploads->list);
	ev_timer_init(&uploads->sweep, on_sweep, SWEEP_S, SWEEP_S);
	uploads->sweep.data = uploads;
	ev_timer_start(loop, &uploads->sweep);
	return (uploads);
}

/* Frees the table; the owner and with it all changes are gone already. */
void
durable_uploads_delete(durable_uploads_t *uploads)
{
	upload_t *upload;

	ev_timer_stop(uploads->loop, &uploads->sweep);
	while ((upload = TAILQ_FIRST(&uploads->list)) != NULL) {
		TAILQ_REMOVE(&uploads->list, upload, entry);
		upload_free(upload);
	}
	free(uploads);
}
