/* The local settings of one host, from an INI file. */
#ifndef DAISYPIER_SETTINGS_H
#define DAISYPIER_SETTINGS_H

#include "config_fault.h"
#include "logger.h"

typedef enum settings_admission_t {
	SETTINGS_ADMISSION_POOL,
	SETTINGS_ADMISSION_TWO_CHOICES,
} settings_admission_t;

/* Section [host]. */
typedef struct settings_t {
	char *name;
	char *address; /* IPv4 number of all ports below unless stated */
	char *zone;
	char *site;
	unsigned http_port;	/* callers */
	unsigned peer_port;	/* other hosts, TCP and UDP */
	unsigned operator_port; /* operators */
	char *operator_address;
	char *platform; /* URL of the log service and the host list */
	char *key_text; /* of the file */
	char *key_file;
	buf_t key;   /* the secret of all hosts, from either of the two */
	char *seeds; /* IPv4 numbers separated by commas; may be empty */
	char *log_level_name;
	log_level_t log_level;
	char *admission_name;
	settings_admission_t admission;
	unsigned period_ms;	   /* of membership probes */
	char *operator_token_hash; /* empty: none */
	unsigned stop_timeout_s;   /* 0: no limit */
} settings_t;

int settings_parse(
    str_t text, const char *file, settings_t **out, config_faults_t *faults);
int settings_load(const char *path, settings_t **out, config_faults_t *faults);
void settings_delete(settings_t *settings);
void settings_describe(buf_t *out);

#endif
