/* Requests with keys of organisations to a fleet of gateway hosts. */
#ifndef DAISYPIER_TESTS_HARNESS_KEYS_H
#define DAISYPIER_TESTS_HARNESS_KEYS_H

#include "harness_gateways.h"

/*
 * Long enough that a host under a busy machine stays current, short enough that
 * the tests wait for seconds only.
 */
#define REVOKE_MS 2500
#define REVOKE_S  (REVOKE_MS / 1e3)
/* Limit for changes that normally take some tens of milliseconds. */
#define CHANGE_TIMEOUT_S 10.0

#define ACME_KEY  "k-acme"
#define ACME_KEY2 "k acme \xc3\xa9 2"
#define BOLT_KEY  "k-bolt"
#define BOLT_NAME "B\xc3\xb6lt tech"
#define ACME                                                             \
	"{\"name\":\"acme\",\"api-keys\":[\"" ACME_KEY "\",\"" ACME_KEY2 \
	"\"],\"priority\":3}"
#define BOLT		  "{\"name\":\"" BOLT_NAME "\",\"api-keys\":[\"" BOLT_KEY "\"]}"
#define ACME_WITHOUT_KEYS "{\"name\":\"acme\",\"api-keys\":[]}"
#define EXTRA_ROUTES                                                        \
	",{\"name\":\"open\",\"host\":\"" GATEWAYS_HOST                     \
	"\",\"path-prefix\":\"/open/\",\"type\":\"stream\",\"service\":"    \
	"\"m\",\"max-attempts\":1,\"timeout-ms\":5000,\"public\":true},"    \
	"{\"name\":\"open-jobs\",\"host\":\"" GATEWAYS_HOST                 \
	"\",\"path-prefix\":\"/open-jobs/\",\"type\":\"batch\",\"service\"" \
	":\"m\",\"max-attempts\":1,\"timeout-ms\":5000,\"public\":true,"    \
	"\"completion-window-ms\":18000,\"retention-s\":60}"

/* A request of four events; headers are optional and end with NULL. */
typedef struct keys_ask_t {
	unsigned host;
	const char *method; /* NULL: POST */
	const char *path;
	const char *id;
	const char *headers[4];
	const char *body; /* NULL: "prompt" */
	double timeout;	  /* seconds; 0: 5 */
} keys_ask_t;

void keys_start(gateways_t *fleet, unsigned hosts, unsigned revoke_ms);
int keys_ask(gateways_t *fleet, const keys_ask_t *params);
int keys_ask_with(
    gateways_t *fleet, unsigned host, const char *key, const char *id);
int keys_readiness(const gateways_t *fleet, unsigned host);
/* last_ok_at, if not NULL, gets the start of the last request that ran. */
bool keys_wait_status(gateways_t *fleet, unsigned host, const char *key,
    int status, double *last_ok_at);
bool keys_wait_readiness(gateways_t *fleet, unsigned host, int status);

#endif
