/* Loss of power of all gateway hosts at the same moment. */
#include "suite.h"

#include <jansson.h>

#include "clock.h"
#include "harness_gateways.h"

#define HOSTS 8
/* Longest wait of a read of the records of hosts, and delay between two. */
#define READ_WAIT_S  5.0
#define READ_DELAY_S 0.5

typedef struct counts_t {
	unsigned reads;
	unsigned appends;
} counts_t;

/* Returns how often the records of hosts were read and written so far. */
static counts_t
host_record_calls(gateways_t *fleet)
{
	buf_t body = {0};
	json_t *root;
	counts_t counts;

	harness_get(
	    &body, "http://%s/admin/stats", harness_address(fleet->store));
	root = json_loadb(body.data, body.len, 0, NULL);
	counts = (counts_t){
	    .reads = (unsigned)json_integer_value(json_object_get(
		json_object_get(root, "topic-reads"), "keyed.hosts")),
	    .appends = (unsigned)json_integer_value(json_object_get(
		json_object_get(root, "topic-appends"), "keyed.hosts")),
	};
	json_decref(root);
	buf_free(&body);
	return (counts);
}

/*
 * After all hosts lost power, the number of calls to the store must not grow
 * with the square of the number of hosts: the store refuses calls above its
 * limit, and no host becomes ready while its reads are refused. Each host wrote
 * its record at its start, and each record ended the waiting reads of all
 * hosts: 100 hosts read 2,880 times, 8 hosts 80 times.
 */
static void
test_all_hosts_start_again(void)
{
	gateways_t fleet;
	counts_t before;
	counts_t after;
	double begin = clock_monotonic();
	double elapsed;

	gateways_start(&fleet, &(gateways_params_t){.hosts = HOSTS});
	elapsed = clock_monotonic() - begin;
	before = host_record_calls(&fleet);
	CU_ASSERT(before.appends == HOSTS);
	/* A load and a first read; others follow a record or a whole wait. */
	CU_ASSERT(before.reads <= HOSTS * (3 + elapsed / READ_DELAY_S));
	for (unsigned i = 0; i < HOSTS; i++)
		harness_kill(fleet.hosts[i]);
	before = host_record_calls(&fleet);
	begin = clock_monotonic();
	for (unsigned i = 0; i < HOSTS; i++)
		gateways_start_host(&fleet, i);
	for (unsigned i = 0; i < HOSTS; i++)
		CU_ASSERT(gateways_wait_ready(&fleet, i));
	for (unsigned i = 0; i < HOSTS; i++) {
		char id[16] = {'p', (char)('0' + i), '\0'};

		CU_ASSERT(gateways_stream(&fleet, i, GATEWAYS_RESUME, id, 3, 5)
			      .right);
	}
	elapsed = clock_monotonic() - begin;
	after = host_record_calls(&fleet);
	CU_ASSERT(after.appends == before.appends);
	CU_ASSERT(
	    after.reads - before.reads <= HOSTS * (3 + elapsed / READ_WAIT_S));
	gateways_end(&fleet);
}

static const suite_test_t tests[] = {
    {"all hosts start again", test_all_hosts_start_again},
};

SUITE_MAIN("fail_power", tests)
