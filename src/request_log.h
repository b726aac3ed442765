/* Remembers the last requests of this host, to find one by its id. */
#ifndef DAISYPIER_REQUEST_LOG_H
#define DAISYPIER_REQUEST_LOG_H

#include "str.h"

/* Requests remembered; 240 bytes each. */
#define REQUEST_LOG_SIZE 20000

typedef struct request_log_t request_log_t;

typedef struct request_entry_t {
	char id[65];
	char org[64];
	char endpoint[64];
	double time; /* wall clock seconds of its arrival */
	uint64_t config_version;
	char outcome[16]; /* "running" until it ended */
} request_entry_t;

request_log_t *request_log_new(void);
void request_log_delete(request_log_t *log);
uint64_t request_log_add(request_log_t *log, const request_entry_t *entry);
void request_log_update(request_log_t *log, uint64_t number,
    const char *endpoint, const char *outcome);
const request_entry_t *request_log_find(const request_log_t *log, str_t id);

#endif
