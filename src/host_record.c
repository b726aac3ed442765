/*
 * Decides when a host writes its record, by which new hosts discover it.
 *
 * Load: all hosts start at the same moment, as after a loss of power. Each
 * record that is written ends the waiting reads of all hosts. When every host
 * wrote its record at its start, 100 hosts read the records 2,880 times within
 * two seconds; at 910 hosts the store would refuse most of these reads, and
 * those of the configuration and endpoints with them. Records outlive a crash,
 * so most hosts of such a start have nothing to write.
 */
#include "host_record.h"

/* Takes notice that all records of hosts will be read, from the first one on.
 */
void
host_record_begin_load(host_record_t *record)
{
	record->loaded = false;
	record->listed = false;
	record->known_end = 0;
}

/* Takes notice that all records of hosts have been read. */
void
host_record_end_load(host_record_t *record)
{
	record->loaded = true;
}

/*
 * Takes notice of a record with the address of this host, or of its removal, at
 * an offset of the log. One of another name is replaced at the end of a load
 * only: two hosts at one address must not replace each other's record in turn.
 */
void
host_record_seen(
    host_record_t *record, uint64_t offset, bool removed, bool is_own_name)
{
	if (offset < record->known_end)
		return;
	record->known_end = offset + 1;
	record->listed = !removed && (is_own_name || record->loaded);
}

/* Takes notice that the store has confirmed the record; end is the offset after
 * it. A later removal may have been read before the confirmation arrived. */
void
host_record_written(host_record_t *record, uint64_t end)
{
	if (end <= record->known_end)
		return;
	record->known_end = end;
	record->listed = true;
}

/* Returns whether the record has to be written. */
bool
host_record_is_due(const host_record_t *record)
{
	return (record->loaded && !record->listed && !record->leaving);
}
