/* Records of the audit trail and their encoding in batches. */
#ifndef DAISYPIER_AUDIT_BATCH_H
#define DAISYPIER_AUDIT_BATCH_H

#include "str.h"

/* Who did what to what, and with which outcome. Strings may be empty. */
typedef struct audit_entry_t {
	double time; /* wall clock seconds */
	str_t host;
	str_t actor;   /* operator or organisation */
	str_t action;  /* for example "config_apply" */
	str_t subject; /* what it was done to */
	uint64_t from_version;
	uint64_t to_version;
	str_t outcome;
	str_t detail;
	str_t request_id;
} audit_entry_t;

/* A query; empty strings and zero times match everything. */
typedef struct audit_filter_t {
	double from; /* wall clock seconds, included */
	double to;   /* excluded; 0: no limit */
	str_t subject;
	str_t request_id;
} audit_filter_t;

typedef void (*audit_entry_cb_t)(void *ctx, const audit_entry_t *entry);

void audit_entry_encode(const audit_entry_t *entry, buf_t *out);
void audit_batch_encode(
    uint64_t writer, uint64_t seq, str_t entries, size_t count, buf_t *out);
int audit_batch_decode(str_t data, uint64_t *writer, uint64_t *seq,
    audit_entry_cb_t on_entry, void *ctx);
bool audit_filter_match(
    const audit_filter_t *filter, const audit_entry_t *entry);

#endif
