/* A fleet of gateway hosts with faulty servers among its endpoints. */
#include "harness_hostile_fleet.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <CUnit/Basic.h>

#include "clock.h"

#define HOSTILE_SLOTS		 64
#define HEARTBEAT_S		 0.3
#define ENDPOINT_KNOWN_TIMEOUT_S 20

gateways_t hostile_fleet;

/* Makes one call to host 0; ctx is a hostile_caller_t. */
void *
hostile_call(void *ctx)
{
	hostile_caller_t *caller = ctx;
	double started_at = clock_monotonic();

	caller->result = gateways_stream(&hostile_fleet, 0, caller->prefix,
	    caller->id, 8, HOSTILE_CALLER_TIMEOUT_S);
	caller->seconds = clock_monotonic() - started_at;
	return (NULL);
}

/*
 * Makes count concurrent calls and waits for all responses. Callers without a
 * prefix get streams, of which every other one may be resumed.
 */
void
hostile_call_all(hostile_caller_t *callers, unsigned count, const char *name)
{
	pthread_t threads[HOSTILE_MAX_CALLERS];

	for (unsigned i = 0; i < count; i++) {
		if (callers[i].prefix == NULL)
			callers[i].prefix =
			    i % 2 == 0 ? GATEWAYS_ONCE : GATEWAYS_RESUME;
		snprintf(
		    callers[i].id, sizeof(callers[i].id), "%s-%u", name, i);
		pthread_create(&threads[i], NULL, hostile_call, &callers[i]);
	}
	for (unsigned i = 0; i < count; i++)
		pthread_join(threads[i], NULL);
}

static void *
renew_entry(void *ctx)
{
	hostile_entry_t *entry = ctx;

	while (!entry->stop) {
		gateways_register(
		    &hostile_fleet, entry->id, entry->address, HOSTILE_SLOTS);
		harness_sleep(HEARTBEAT_S);
	}
	return (NULL);
}

static void
log_path(unsigned host, char *out, size_t size)
{
	snprintf(out, size, "%s/host-%u.log", harness_folder(), host);
}

/* Starts a hostile_fleet with one engine and new logs. */
void
hostile_start_fleet(unsigned hosts)
{
	hostile_start_fleet_with(hosts, NULL);
}

/* The same with more lines in the settings of the hosts. */
void
hostile_start_fleet_with(unsigned hosts, const char *host_settings)
{
	char path[512];

	for (unsigned i = 0; i < hosts; i++) {
		log_path(i, path, sizeof(path));
		(void)unlink(path);
	}
	gateways_start(&hostile_fleet, &(gateways_params_t){
					   .hosts = hosts,
					   .engines = 1,
					   .logs = harness_folder(),
					   .settings = host_settings,
				       });
}

/* Whether the log of a host shows that it uses the endpoint. */
static bool
host_knows_endpoint(unsigned host, const char *endpoint)
{
	char path[512];
	char line[1024];
	char event[64];
	bool found = false;
	FILE *log;

	log_path(host, path, sizeof(path));
	snprintf(event, sizeof(event), "endpoint_added endpoint=%s ", endpoint);
	log = fopen(path, "r");
	while (log != NULL && fgets(line, sizeof(line), log) != NULL)
		found = found || strstr(line, event) != NULL;
	if (log != NULL)
		fclose(log);
	return (found);
}

static bool
is_endpoint_known(void *ctx)
{
	const hostile_entry_t *entry = ctx;

	for (unsigned i = 0; i < hostile_fleet.params.hosts; i++)
		if (!host_knows_endpoint(i, entry->id))
			return (false);
	return (true);
}

/* Starts a faulty server and writes its entry in the pool of the engine. */
hostile_t *
hostile_enter(
    hostile_entry_t *entry, unsigned number, hostile_mode_t mode, bool slow)
{
	char ip[32];

	*entry = (hostile_entry_t){0};
	snprintf(ip, sizeof(ip), "127.0.0.%u", 141 + number);
	snprintf(entry->id, sizeof(entry->id), "h%u", number);
	snprintf(entry->address, sizeof(entry->address), "%s:%u", ip,
	    hostile_fleet.engine_port);
	entry->server =
	    hostile_start(ip, hostile_fleet.engine_port, mode, slow);
	CU_ASSERT_FATAL(entry->server != NULL);
	pthread_create(&entry->thread, NULL, renew_entry, entry);
	return (entry->server);
}

/* Waits until all hosts use a server that was entered. */
void
hostile_wait_known(hostile_entry_t *entry)
{
	CU_ASSERT(
	    harness_wait(is_endpoint_known, entry, ENDPOINT_KNOWN_TIMEOUT_S));
}

/* Starts a faulty server and waits until all hosts use it. */
hostile_t *
hostile_register(
    hostile_entry_t *entry, unsigned number, hostile_mode_t mode, bool slow)
{
	hostile_t *hostile = hostile_enter(entry, number, mode, slow);

	hostile_wait_known(entry);
	return (hostile);
}

/* Removes the entry; the server keeps running. */
void
hostile_unregister(hostile_entry_t *entry)
{
	entry->stop = true;
	pthread_join(entry->thread, NULL);
	gateways_unregister(&hostile_fleet, entry->id);
}

void
hostile_stop(hostile_entry_t *entry)
{
	hostile_unregister(entry);
	hostile_end(entry->server);
	harness_sleep(0.7);
}
