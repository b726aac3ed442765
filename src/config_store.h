/* Which configuration is in force: versions from the log and from peers. */
#ifndef DAISYPIER_CONFIG_STORE_H
#define DAISYPIER_CONFIG_STORE_H

#include <ev.h>

#include "config_chain.h"
#include "logclient.h"
#include "membership.h"
#include "peer.h"

typedef struct config_store_t config_store_t;

typedef struct config_store_params_t {
	struct ev_loop *loop;
	logclient_t *log;
	peer_t *peer;
	membership_t *membership;
	const char *site;     /* selects the overlay */
	double period;	      /* seconds between two polls; 0: 1 */
	double (*wall)(void); /* NULL: clock_wall() */
} config_store_params_t;

/* What became of a change. */
typedef enum config_outcome_t {
	CONFIG_ACCEPTED,     /* it is the version in `version` */
	CONFIG_LOST,	     /* superseded by `by`, who made `version` */
	CONFIG_FAILED,	     /* ruled out by a VOID that precedes it */
	CONFIG_UNKNOWN,	     /* not settled yet; `token` identifies it */
	CONFIG_INVALID,	     /* the texts have faults; nothing was appended */
	CONFIG_NOT_RECORDED, /* the log refused it or was not reached */
} config_outcome_t;

/* Lives until the callback returns. */
typedef struct config_result_t {
	config_outcome_t outcome;
	uint64_t version;
	const char *by; /* "" when it is not known any more */
	char token[CONFIG_TOKEN_HEX];
	const config_faults_t *faults;
} config_result_t;

typedef void (*config_apply_cb_t)(void *ctx, const config_result_t *result);

typedef struct config_change_t {
	uint64_t made_from; /* version that the operator changed */
	const char *author;
	config_texts_t texts;
	double timeout; /* seconds until the answer is CONFIG_UNKNOWN; 0: 10 */
} config_change_t;

config_store_t *config_store_new(const config_store_params_t *params);
void config_store_delete(config_store_t *store);
void config_store_members_changed(config_store_t *store);

fleet_config_t *config_store_current(const config_store_t *store);
uint64_t config_store_version(const config_store_t *store);
bool config_store_ready(const config_store_t *store);
const config_record_t *config_store_newest(const config_store_t *store);
void config_store_on_change(
    config_store_t *store, void (*on_change)(void *ctx), void *ctx);

void config_store_apply(config_store_t *store, const config_change_t *change,
    config_apply_cb_t on_done, void *ctx);
void config_store_settle(config_store_t *store, const config_token_t *token,
    double timeout, config_apply_cb_t on_done, void *ctx);
/* cb gets NULL when the log could not be read in time. */
typedef void (*config_history_cb_t)(void *ctx, const config_chain_t *chain);
void config_store_history(config_store_t *store, double timeout,
    config_history_cb_t on_done, void *ctx);

#endif
