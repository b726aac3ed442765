/* The local settings of a gateway host, from an INI file. */
#ifndef DAISYPIER_GATEWAY_SETTINGS_H
#define DAISYPIER_GATEWAY_SETTINGS_H

#include "config_fault.h"
#include "logger.h"

/* Section [gateway]. */
typedef struct gateway_settings_t {
	char *name;
	char *address; /* IPv4 number for other hosts and metrics */
	char *zone;
	char *site;
	char *store;   /* URL */
	char *callers; /* "IP:PORT" of each service below */
	char *readiness;
	char *directory;
	unsigned peer_port; /* other hosts, TCP and UDP */
	unsigned metrics_port;
	double
	    processor_share;   /* cores that this host may use; 0: not stated */
	char *key;	       /* secret that all hosts share */
	unsigned period_ms;    /* of membership probes */
	double keep_s;	       /* how long callers keep the list of hosts */
	double results_keep_s; /* after a job's submission; 0: for ever */
	double stop_s;	       /* until a planned stop must be over */
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
