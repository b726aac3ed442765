/* In-memory log with fault injection, which a test runs step by step. */
#ifndef DAISYPIER_LOGCLIENT_MEMORY_H
#define DAISYPIER_LOGCLIENT_MEMORY_H

#include "logclient.h"

typedef struct log_memory_t log_memory_t;

/* Injected faults; a count or percentage of 0 disables the fault. */
typedef struct log_faults_t {
	bool outage;		 /* appends are rejected, reads fail */
	unsigned lose_every;	 /* every Nth append: applied, response lost */
	unsigned lose_percent;	 /* the same for random appends */
	unsigned late_percent;	 /* response lost, append applied later */
	unsigned drop_percent;	 /* response lost, append never applied */
	unsigned refuse_percent; /* rejected with a definite error */
} log_faults_t;

log_memory_t *log_memory_new(uint64_t seed);
void log_memory_delete(log_memory_t *log);
logclient_t *log_memory_client(log_memory_t *log);
void log_memory_pause(logclient_t *client, bool paused);

void log_memory_set_faults(log_memory_t *log, const log_faults_t *faults);
bool log_memory_step(log_memory_t *log);
void log_memory_run(log_memory_t *log);
size_t log_memory_apply_late(log_memory_t *log, size_t max);
size_t log_memory_late_count(const log_memory_t *log);

uint64_t log_memory_append(log_memory_t *log, str_t stream, str_t record);
void log_memory_expire(log_memory_t *log, str_t stream, uint64_t first);
uint64_t log_memory_next(log_memory_t *log, str_t stream);
str_t log_memory_record(log_memory_t *log, str_t stream, uint64_t offset);
uint64_t log_memory_appends(const log_memory_t *log);
uint64_t log_memory_bytes(const log_memory_t *log);

#endif
