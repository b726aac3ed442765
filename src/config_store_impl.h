/* State that the parts of the configuration store share. */
#ifndef DAISYPIER_CONFIG_STORE_IMPL_H
#define DAISYPIER_CONFIG_STORE_IMPL_H

#include <sys/queue.h>

#include "clock.h"
#include "config_store.h"

typedef struct config_pending_t config_pending_t;
typedef struct config_op_t config_op_t;

/* An operation of the log client, which cannot be cancelled. */
struct config_op_t {
	config_store_t *store; /* NULL after the store was deleted */
	config_pending_t *pending;
	LIST_ENTRY(config_op_t) entry;
};

typedef enum config_stage_t {
	CONFIG_STAGE_READ,   /* reads to the end before it appends */
	CONFIG_STAGE_APPEND, /* the append has no answer yet */
	CONFIG_STAGE_WAIT,   /* appended; waits to read it back */
	CONFIG_STAGE_VOID,   /* the answer was lost; a VOID is to settle it */
} config_stage_t;

/* A change or a question about one that is not settled. */
struct config_pending_t {
	config_store_t *store;
	config_stage_t stage;
	bool settling; /* the change was made earlier, perhaps elsewhere */
	config_token_t token;
	uint64_t made_from;
	uint64_t read_from; /* all records from here on were read in order */
	uint64_t pass;	    /* the read that must have ended */
	buf_t record;
	double deadline; /* monotonic: answer by then */
	double expires;	 /* monotonic: give up by then */
	double void_at;	 /* monotonic: earliest time of the next VOID */
	unsigned in_flight;
	config_apply_cb_t on_done; /* NULL once it was called */
	config_history_cb_t on_history;
	void *ctx;
	LIST_ENTRY(config_pending_t) entry;
};

struct config_store_t {
	config_store_params_t params;
	char *site;
	ev_timer timer;
	rng_t rng;

	config_chain_t chain;
	uint64_t scan_end; /* a fresh scan ends here; 0: no scan yet */
	bool tail_scan;	   /* older records than scan_from are kept */
	bool full_scan;	   /* the scan begins at the oldest record */
	bool want_history; /* the next read begins a full scan */
	bool stepping;
	bool reading;
	uint64_t passes;    /* reads to the end that were begun */
	uint64_t log_first; /* oldest offset kept, by the last read */

	/* Newest version whose texts are known; version 0: none. */
	buf_t newest_bytes;
	config_decoded_t newest;
	uint64_t newest_version;
	fleet_config_t *current; /* of the version in force */
	uint64_t version;	 /* in force; behind newest if it is invalid */
	bool confirmed;		 /* the fleet's newest version was known once */

	peer_call_t *fetch;
	uint64_t fetch_have; /* newest version when it was sent */
	bool renewing;
	uint64_t renewed; /* offset of the own newest RENEW */
	double renew_at;  /* monotonic: earliest time of the next RENEW */

	struct {
		void (*on_change)(void *ctx);
		void *ctx;
	} watchers[16];
	size_t watcher_count;
	LIST_HEAD(, config_op_t) ops;
	LIST_HEAD(, config_pending_t) pending;
	struct counter_t *reads;
	struct counter_t *appends;
	struct counter_t *fetches;
};

void config_store_poll(config_store_t *store);
void config_store_hold(config_store_t *store, uint64_t version,
    uint64_t covered, const config_record_t *from);
config_record_t config_store_renewal(const config_store_t *store);
void config_fetch_init(config_store_t *store);
void config_fetch_start(config_store_t *store);
double config_store_wall(const config_store_t *store);
config_op_t *config_op_new(config_store_t *store, config_pending_t *pending);
config_store_t *config_op_end(config_op_t *op);
void config_pending_step(config_store_t *store, bool at_end);
void config_pending_read_failed(config_store_t *store);
void config_pending_delete_all(config_store_t *store);
bool config_pending_contiguous(const config_store_t *store);

#endif
