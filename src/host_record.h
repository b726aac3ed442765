/* Decides when a host writes its record, by which new hosts discover it. */
#ifndef DAISYPIER_HOST_RECORD_H
#define DAISYPIER_HOST_RECORD_H

#include <stdbool.h>
#include <stdint.h>

/* All zero: nothing has been read. */
typedef struct host_record_t {
	bool loaded; /* all records of hosts have been read */
	bool listed; /* the record is in the store, as far as this is known */
	uint64_t known_end; /* offset after the newest record that is known */
	bool leaving;	    /* the host stops; its record is to be absent */
} host_record_t;

void host_record_begin_load(host_record_t *record);
void host_record_end_load(host_record_t *record);
void host_record_seen(
    host_record_t *record, uint64_t offset, bool removed, bool is_own_name);
void host_record_written(host_record_t *record, uint64_t end);
bool host_record_is_due(const host_record_t *record);

#endif
