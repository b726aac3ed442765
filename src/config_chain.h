/* Decides which records of the stream "config" are effective. */
#ifndef DAISYPIER_CONFIG_CHAIN_H
#define DAISYPIER_CONFIG_CHAIN_H

#include "config_record.h"

typedef enum config_verdict_t {
	CONFIG_PENDING,	   /* depends on records that were not read */
	CONFIG_EFFECTIVE,  /* its offset is a version */
	CONFIG_SUPERSEDED, /* another change was effective before it */
	CONFIG_VOIDED,	   /* ruled out by a VOID before it */
	CONFIG_NO_CHANGE,  /* RENEW or VOID */
} config_verdict_t;

/* What the chain keeps of one record. */
typedef struct config_entry_t {
	uint64_t offset;
	config_kind_t kind;
	config_verdict_t verdict;
	config_token_t token;
	uint64_t parent;
	uint64_t version; /* in effect after this record; RENEW: repeated */
	uint64_t covered; /* RENEW */
	double written;
	char author[64];
	config_token_t *voids; /* RENEW; only while the chain is unknown */
	size_t void_count;
} config_entry_t;

/*
 * The order of changes as far as it was read. All hosts that read the same
 * records decide alike, whichever record they begin with.
 */
typedef struct config_chain_t {
	bool known;	    /* whether the version in effect is known */
	uint64_t version;   /* in effect; 0: none yet */
	uint64_t next;	    /* offset to read next */
	uint64_t scan_from; /* entries hold all records from here on */
	uint64_t text_at;   /* record that holds the texts of the version */
	/*
	 * The newest renewal, or the first record when there is none. A change
	 * is no substitute: it counts only for who knows its parent.
	 */
	uint64_t renewed_covered;
	double renewed_written;
	config_entry_t *entries;
	size_t count;
	size_t cap;
	config_token_t *voids; /* VOIDs since the version took effect */
	size_t void_count;
} config_chain_t;

void config_chain_free(config_chain_t *chain);
void config_chain_restart(config_chain_t *chain, uint64_t from);
void config_chain_adopt(config_chain_t *chain, const config_record_t *renewal);
config_verdict_t config_chain_apply(
    config_chain_t *chain, uint64_t offset, const config_record_t *record);
void config_chain_skip(config_chain_t *chain, uint64_t offset);
bool config_chain_resolve(config_chain_t *chain);
const config_entry_t *config_chain_find(
    const config_chain_t *chain, const config_token_t *token);
bool config_chain_has_void(
    const config_chain_t *chain, const config_token_t *token);
const config_entry_t *config_chain_winner(
    const config_chain_t *chain, uint64_t parent);

#endif
