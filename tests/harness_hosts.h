/* A whole system of real processes: platform, endpoints, proxies and hosts. */
#ifndef DAISYPIER_TESTS_HARNESS_HOSTS_H
#define DAISYPIER_TESTS_HARNESS_HOSTS_H

#include "harness.h"

#define HOSTS_MAX	  16
#define HOSTS_ENGINES_MAX 16
#define HOSTS_TOKEN	  "harbour-token"
#define HOSTS_OTHER_TOKEN "orchard-token"
#define HOSTS_MODEL	  "tally-lm"

typedef struct hosts_params_t {
	unsigned hosts;	   /* 0: 3 */
	unsigned engines;  /* 0: 3 */
	unsigned slots;	   /* of each engine; 0: 8 */
	unsigned token_ms; /* 0: 5 */
	/* A proxy before each engine, whose faults hosts_fault() sets. */
	bool proxy;
	bool service;	       /* one plain service named "ledger" */
	unsigned service_ms;   /* time of one call */
	unsigned period_ms;    /* of membership probes; 0: 200 */
	const char *fleet;     /* lines for section [fleet], or NULL */
	const char *admission; /* NULL: pool */
	const char *const *platform_args; /* further options, or NULL */
	const char *const *engine_args;	  /* further options, or NULL */
} hosts_params_t;

typedef struct hosts_t {
	hosts_params_t params;
	uint16_t http_port;
	uint16_t peer_port;
	uint16_t operator_port;
	uint16_t endpoint_port;
	harness_process_t *platform;
	harness_process_t *engines[HOSTS_ENGINES_MAX];
	harness_process_t *service;
	harness_process_t *proxy;
	char proxy_control[64];
	harness_process_t *hosts[HOSTS_MAX];
} hosts_t;

void hosts_start(hosts_t *hosts, const hosts_params_t *params);
void hosts_end(hosts_t *hosts);
void hosts_start_host(hosts_t *hosts, unsigned index);
void hosts_wait_ready(hosts_t *hosts, unsigned index);
void hosts_start_engine(hosts_t *hosts, unsigned index);

const char *hosts_url(const hosts_t *hosts, unsigned index, const char *path);
unsigned hosts_owner_of(const hosts_t *hosts, const char *job);
unsigned hosts_admitting(const hosts_t *hosts);
unsigned hosts_engines_sum(const hosts_t *hosts, const char *name);
void hosts_platform(const hosts_t *hosts, const char *query);
void hosts_fault(const hosts_t *hosts, unsigned engine, const char *query);
double hosts_metric(const hosts_t *hosts, unsigned index, const char *name);

int hosts_post(const hosts_t *hosts, unsigned index, const char *path,
    const char *const *headers, str_t body, double timeout, buf_t *answer);
int hosts_submit(const hosts_t *hosts, unsigned index, const char *key,
    str_t lines, char id[64]);
bool hosts_submit_anywhere(const hosts_t *hosts, const char *key, str_t lines,
    double timeout, char id[64]);
int hosts_job_count(const hosts_t *hosts, const char *id, const char *state);
bool hosts_wait_progress(
    const hosts_t *hosts, const char *id, int at_least, double timeout);
unsigned hosts_engine_count(
    const hosts_t *hosts, unsigned engine, const char *name);
bool hosts_wait_job(const hosts_t *hosts, const char *id, double timeout);
void hosts_job_lines(
    buf_t *lines, const char *name, unsigned count, unsigned max_tokens);
bool hosts_check_results(const hosts_t *hosts, const char *id, const char *name,
    unsigned count, unsigned max_tokens);

#endif
