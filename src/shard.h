/* The state of one shard and how each effective record changes it. */
#ifndef DAISYPIER_SHARD_H
#define DAISYPIER_SHARD_H

#include <sys/queue.h>

#include "str.h"
#include "wire.h"

/* Room for the identifier of a job or key, terminated by NUL. */
#define SHARD_ID_SIZE	64
#define SHARD_HASH_SIZE 16

typedef enum item_state_t {
	ITEM_PENDING,
	ITEM_STARTED, /* non-repeatable and dispatched: START is in the log */
	ITEM_SUCCEEDED,
	ITEM_FAILED,
	ITEM_UNKNOWN, /* non-repeatable, its host was lost in mid-call */
	ITEM_CANCELLED,
	ITEM_STATE_COUNT,
} item_state_t;

typedef struct shard_item_t {
	str_t input; /* the item's JSON line; empty once the item ended */
	str_t result;
	uint8_t state; /* item_state_t */
	uint8_t tries;
	bool no_repeat;
	bool running; /* START was acknowledged in this process */
} shard_item_t;

typedef struct shard_block_t shard_block_t;

typedef struct shard_job_t {
	char id[SHARD_ID_SIZE];
	char org[64];
	uint64_t due; /* wall clock seconds */
	bool sealed;  /* all items are there: the job is accepted */
	bool cancelled;
	shard_item_t *items;
	uint32_t item_count;
	uint32_t finished;    /* items in an end state */
	void *batch;	      /* the batch module's own data */
	uint64_t created;     /* wall clock seconds */
	uint64_t finished_at; /* wall clock seconds; 0: not finished */
	uint8_t content[SHARD_HASH_SIZE];
	uint64_t upload;   /* number of the upload whose items are taken */
	uint32_t loaded;   /* items that arrived */
	uint32_t item_cap; /* items there is memory for */
	uint32_t counts[ITEM_STATE_COUNT];
	shard_block_t *blocks; /* memory of inputs, in order of items */
	size_t block_count;
	TAILQ_ENTRY(shard_job_t) entry;
} shard_job_t;

/* A request that must not be repeated, by its idempotency key. */
typedef struct shard_key_t {
	char id[SHARD_ID_SIZE];
	char org[64];
	bool intent;	  /* somebody may run it or has run it */
	uint64_t attempt; /* random number of the run that is allowed */
	char host[64];
	uint64_t instance;
	char request[64];
	uint64_t start_before; /* wall clock seconds */
	uint64_t created;      /* wall clock seconds */
	bool has_outcome;
	int status; /* HTTP status of the recorded response */
	str_t body;
	uint64_t *voided; /* attempts that were ruled out */
	size_t voided_count;
	TAILQ_ENTRY(shard_key_t) entry;
} shard_key_t;

TAILQ_HEAD(shard_jobs_t, shard_job_t);
TAILQ_HEAD(shard_keys_t, shard_key_t);

/* Learns about changes while records are applied. */
typedef struct shard_observer_t {
	void (*on_sealed)(void *ctx, shard_job_t *job);
	void (*on_cancelled)(void *ctx, shard_job_t *job);
	void (*on_forget)(void *ctx, shard_job_t *job);
	void (*on_batch)(void *ctx, uint64_t epoch, uint64_t seq);
	void *ctx;
} shard_observer_t;

/* A snapshot that is being read or that is complete. */
typedef struct shard_mark_t {
	uint64_t id; /* 0: none */
	uint64_t epoch;
	uint64_t begin; /* offset of its first record */
	uint64_t end;	/* offset of its last record */
	uint64_t covered;
	uint64_t time; /* wall clock seconds */
	uint64_t next_index;
} shard_mark_t;

typedef struct shard_t {
	uint64_t applied; /* offset of the last record that was looked at */
	uint64_t epoch;	  /* offset of the newest claim; 0: none */
	char owner[64];
	uint64_t instance;
	uint64_t seq; /* of the last effective batch of the epoch */
	struct shard_jobs_t jobs;
	struct shard_keys_t keys;
	void *job_tree;
	void *key_tree;
	size_t job_count;
	size_t key_count;
	shard_observer_t observer;
	shard_mark_t open_snapshot;
	shard_mark_t snapshot; /* newest complete one */
	uint64_t tail_records; /* since the newest complete snapshot */
	uint64_t tail_bytes;
	uint64_t ineffective; /* batches ignored */
} shard_t;

typedef enum shard_kind_t {
	SHARD_CLAIM = 1,
	SHARD_BATCH = 2,
	SHARD_SNAP_BEGIN = 3,
	SHARD_SNAP_CHUNK = 4,
	SHARD_SNAP_END = 5,
} shard_kind_t;

/* One decoded record; views live as long as the decoded message. */
typedef struct shard_record_t {
	shard_kind_t kind;
	uint64_t epoch;
	str_t owner;
	uint64_t instance;
	uint64_t seq;
	const msgpack_object *body;
	/* Of snapshot records: */
	uint64_t snapshot;
	uint64_t covered;
	uint64_t last_seq;
	uint64_t index;
	const msgpack_object *entries;
} shard_record_t;

typedef enum shard_effect_t {
	SHARD_IGNORED, /* not effective, or malformed */
	SHARD_CLAIMED,
	SHARD_CHANGED,
	SHARD_NOTED, /* part of a snapshot */
} shard_effect_t;

void shard_init(shard_t *shard);
void shard_reset(shard_t *shard);
shard_effect_t shard_apply(shard_t *shard, uint64_t offset, str_t data);
void shard_apply_entry(shard_t *shard, const msgpack_object *entry);
bool shard_owned_by(const shard_t *shard, str_t name, uint64_t instance);

shard_job_t *shard_find_job(const shard_t *shard, const char *id);
shard_key_t *shard_find_key(const shard_t *shard, const char *id);
shard_job_t *shard_add_job(shard_t *shard, const char *id);
shard_key_t *shard_add_key(shard_t *shard, const char *id);
void shard_remove_job(shard_t *shard, shard_job_t *job);
void shard_remove_key(shard_t *shard, shard_key_t *key);

bool shard_job_set_count(shard_job_t *job, uint64_t count);
void shard_job_add_block(
    shard_job_t *job, uint32_t first, const str_t *inputs, uint32_t count);
void shard_job_end_item(shard_job_t *job, uint32_t item, item_state_t state,
    unsigned tries, str_t result, uint64_t now);
bool shard_key_is_voided(const shard_key_t *key, uint64_t attempt);
void shard_key_add_voided(shard_key_t *key, uint64_t attempt);
bool item_is_finished(unsigned state);

#endif
