/* Replay of starts of many hosts: who writes its record. */
#include "suite.h"

#include "host_record.h"

#define HOSTS 910

/* Loads the records of all hosts at a host that starts. */
static host_record_t
start(bool listed, bool is_own_name)
{
	host_record_t record = {0};

	if (listed)
		host_record_seen(&record, 7, false, is_own_name);
	host_record_end_load(&record);
	return (record);
}

/*
 * After a loss of power of all hosts their records are still in the store. Each
 * one that is written ends the waiting reads of all hosts: 910 hosts would read
 * 828,100 times.
 */
static void
test_all_hosts_start_again(void)
{
	unsigned written = 0;

	for (unsigned i = 0; i < HOSTS; i++) {
		host_record_t record = start(true, true);

		written += host_record_is_due(&record);
	}
	CU_ASSERT(written == 0);
}

/* A host without a record, or with one of another name, must be discovered. */
static void
test_new_hosts_write_once(void)
{
	host_record_t record = {0};

	CU_ASSERT(!host_record_is_due(&record)); /* not known yet */
	record = start(false, false);
	CU_ASSERT(host_record_is_due(&record));
	host_record_written(&record, 9);
	CU_ASSERT(!host_record_is_due(&record));
	host_record_seen(&record, 8, false, true);
	CU_ASSERT(!host_record_is_due(&record));
	record = start(true, false);
	CU_ASSERT(host_record_is_due(&record));
	/* Two hosts at one address must not write in turn for ever. */
	host_record_written(&record, 9);
	host_record_seen(&record, 9, false, false);
	CU_ASSERT(!host_record_is_due(&record));
}

/*
 * The removal by a predecessor that was stopped can take effect after this host
 * started; without another write no new host would find it.
 */
static void
test_late_removal(void)
{
	host_record_t record = start(true, true);

	host_record_seen(&record, 8, true, false);
	CU_ASSERT(host_record_is_due(&record));
	/* The write at 9 is followed by another removal, read before the
	 * confirmation arrives. */
	host_record_seen(&record, 9, false, true);
	host_record_seen(&record, 10, true, false);
	host_record_written(&record, 10);
	CU_ASSERT(host_record_is_due(&record));
	host_record_written(&record, 12);
	/* An older removal is read after the confirmation. */
	host_record_seen(&record, 10, true, false);
	CU_ASSERT(!host_record_is_due(&record));
	record.leaving = true;
	host_record_seen(&record, 12, true, false);
	CU_ASSERT(!host_record_is_due(&record));
}

/* Records that are missing after a reload of the log must be written again. */
static void
test_lost_records(void)
{
	host_record_t record = start(true, true);

	host_record_begin_load(&record);
	CU_ASSERT(!host_record_is_due(&record));
	host_record_end_load(&record);
	CU_ASSERT(host_record_is_due(&record));
	/* The partition began again: offsets start at 0. */
	host_record_written(&record, 1);
	CU_ASSERT(!host_record_is_due(&record));
}

static const suite_test_t tests[] = {
    {"all hosts start again", test_all_hosts_start_again},
    {"new hosts write once", test_new_hosts_write_once},
    {"late removal", test_late_removal},
    {"lost records", test_lost_records},
};

SUITE_MAIN("host_record", tests)
