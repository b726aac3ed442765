/* Local settings of a gateway host, read from an INI file. */
#ifndef DAISYPIER_GATEWAY_SETTINGS_H
#define DAISYPIER_GATEWAY_SETTINGS_H

#include "config_fault.h"
#include "logger.h"

/* Section [gateway]. */
typedef struct gateway_settings_t {
	char *name;
	char *address; /* IPv4 address for peer traffic and metrics */
	char *zone;
	char *site;
	char *store; /* URL */
	/* Listening addresses, "IP:PORT". */
	char *callers;
	char *readiness;
	char *directory;
	unsigned peer_port; /* TCP and UDP, the same on all hosts */
	unsigned metrics_port;
	double processor_share; /* cores to use; 0: unspecified */
	char *key;		/* secret shared by all hosts */
	unsigned period_ms;	/* interval of membership probes */
	double keep_s;		/* TTL of the host list at callers */
	double results_keep_s;	/* since submission of a job; 0: unlimited */
	double stop_s;		/* time limit of a graceful shutdown */
	unsigned revoke_ms;   /* until a revoked key is refused; 0: no limit */
	bool fair_scheduling; /* see admission_settings_t */
	bool return_restarts_target; /* see admission_settings_t */
	bool measured_speed;	     /* likewise */
	bool prompt_cache;	     /* likewise */
	double prompt_cache_tokens;
	/* Tolerance of the limits of organisations. */
	double quota_window_s;
	double quota_overshoot;
	double quota_slack;
	unsigned memory_mb; /* memory of this process; 0: unlimited */
	unsigned max_body_bytes;
	char *log_level_name;
	log_level_t log_level;
} gateway_settings_t;

int gateway_settings_parse(str_t text, const char *file,
    gateway_settings_t **out, config_faults_t *faults);
int gateway_settings_load(
    const char *path, gateway_settings_t **out, config_faults_t *faults);
void gateway_settings_delete(gateway_settings_t *settings);
void gateway_settings_describe(buf_t *out);

#endif
