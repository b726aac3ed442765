/* Writes the audit trail to the stream "audit" and reads it back. */
#ifndef DAISYPIER_AUDIT_H
#define DAISYPIER_AUDIT_H

#include <ev.h>

#include "audit_batch.h"
#include "logclient.h"
#include "membership.h"

typedef struct audit_t audit_t;

typedef struct audit_params_t {
	struct ev_loop *loop;
	logclient_t *log;
	const membership_t *membership;
	double min_period; /* seconds between appends; 0: 2 */
} audit_params_t;

/* entries live until the callback returns; oldest first. */
typedef void (*audit_query_cb_t)(
    void *ctx, int rc, const audit_entry_t *entries, size_t count);

audit_t *audit_new(const audit_params_t *params);
void audit_delete(audit_t *audit);
void audit_write(audit_t *audit, const audit_entry_t *entry);
void audit_query(audit_t *audit, const audit_filter_t *filter, size_t max,
    audit_query_cb_t on_done, void *ctx);
double audit_period(size_t hosts, double min_period);

#endif
