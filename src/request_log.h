/* Ring buffer of the latest requests of this host, indexed by request id. */
#ifndef DAISYPIER_REQUEST_LOG_H
#define DAISYPIER_REQUEST_LOG_H

#include "str.h"

/* Capacity in requests; an entry takes about 240 bytes. */
#define REQUEST_LOG_SIZE 20000

typedef struct request_log_t request_log_t;

typedef struct request_entry_t {
	char id[65];
	char org[64];
	char endpoint[64];
	double time; /* of arrival, in seconds since the epoch */
	uint64_t config_version;
	char outcome[16]; /* "running" until the request ends */
} request_entry_t;

request_log_t *request_log_new(void);
void request_log_delete(request_log_t *log);
uint64_t request_log_add(request_log_t *log, const request_entry_t *entry);
void request_log_update(request_log_t *log, uint64_t number,
    const char *endpoint, const char *outcome);
const request_entry_t *request_log_find(const request_log_t *log, str_t id);

#endif
