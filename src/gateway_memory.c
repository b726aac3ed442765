/* Memory and descriptors of a gateway host: limits, gauges and log lines. */
#include <stdio.h>
#include <sys/resource.h>

#include "clock.h"
#include "gateway_state.h"
#include "logger.h"

#define BYTES_PER_MB	  1048576U
#define REPORT_INTERVAL_S 0.5
/* Average of a connection's buffers; libmicrohttpd has up to 32 KB for each. */
#define CONNECTION_BYTES 16384U
#define MAX_CONNECTIONS	 4096U
/* Parts of the descriptors that each use may have at most. */
#define CALLER_DIVISOR	  2
#define DIRECTORY_DIVISOR 8
#define PLATFORM_DIVISOR  32 /* readiness, metrics */
#define NEW_PEER_DIVISOR  16
#define IDLE_CALL_DIVISOR 8
#define MIN_CONNECTIONS	  8U

static unsigned
descriptors(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
	    limit.rlim_cur > MAX_CONNECTIONS * CALLER_DIVISOR)
		return (MAX_CONNECTIONS * CALLER_DIVISOR);
	return ((unsigned)limit.rlim_cur);
}

static unsigned
part_of_descriptors(unsigned divisor)
{
	unsigned part = descriptors() / divisor;

	return (part > MIN_CONNECTIONS ? part : MIN_CONNECTIONS);
}

/* Returns the limit of callers' connections; 0: the server's default. */
unsigned
gateway_caller_connections(const gateway_t *gateway)
{
	unsigned by_descriptors = part_of_descriptors(CALLER_DIVISOR);
	unsigned by_memory;

	if (gateway->memory == NULL)
		return (0);
	by_memory = (unsigned)(memory_account_limit(
				   gateway->memory, MEMORY_CONNECTIONS) /
			       CONNECTION_BYTES);
	return (by_descriptors < by_memory ? by_descriptors : by_memory);
}

/* Returns the limit of connections to the directory; 0: the default. */
unsigned
gateway_directory_connections(const gateway_t *gateway)
{
	return (gateway->memory != NULL ? part_of_descriptors(DIRECTORY_DIVISOR)
					: 0);
}

/* Returns the limit of connections for readiness or metrics; 0: the default. */
unsigned
gateway_platform_connections(const gateway_t *gateway)
{
	return (gateway->memory != NULL ? part_of_descriptors(PLATFORM_DIVISOR)
					: 0);
}

/* Returns the limit of links that are not authenticated; 0: none. */
unsigned
gateway_new_peer_links(const gateway_t *gateway)
{
	return (gateway->memory != NULL ? part_of_descriptors(NEW_PEER_DIVISOR)
					: 0);
}

static void
on_report(struct ev_loop *loop, ev_timer *timer, int events)
{
	gateway_t *gateway = timer->data;
	memory_account_t *memory = gateway->memory;
	double now = clock_monotonic();
	uint64_t refusals;

	(void)loop;
	(void)events;
	for (int i = 0; i < MEMORY_BUDGETS; i++) {
		memory_budget_t budget = (memory_budget_t)i;
		size_t used = budget == MEMORY_RESPONSES
				  ? httpc_kept_bytes(gateway->params.httpc)
				  : memory_account_used(memory, budget);

		if (budget == MEMORY_CONNECTIONS)
			used = httpd_connections(gateway->caller_server) *
			       CONNECTION_BYTES;
		gauge_set(gateway->memory_gauges[i], (double)used);
		if (memory_account_should_log(memory, budget, now, &refusals))
			LOG_WARN("memory_refused",
			    "budget=%s refusals=%llu used=%zu limit=%zu",
			    memory_budget_name(budget),
			    (unsigned long long)refusals, used,
			    memory_account_limit(memory, budget));
	}
}

/* Divides the memory of the settings, if they state any. */
void
gateway_memory_init(gateway_t *gateway)
{
	unsigned mb = gateway->params.settings->memory_mb;
	char name[96];

	if (mb == 0)
		return;
	gateway->memory = memory_account_new((size_t)mb * BYTES_PER_MB);
	for (int i = 0; i < MEMORY_BUDGETS; i++) {
		memory_budget_t budget = (memory_budget_t)i;

		snprintf(name, sizeof(name),
		    "daisypier_memory_limit_bytes{budget=\"%s\"}",
		    memory_budget_name(budget));
		gauge_set(gauge_get(name, "Size of a memory budget"),
		    (double)memory_account_limit(gateway->memory, budget));
		snprintf(name, sizeof(name),
		    "daisypier_memory_used_bytes{budget=\"%s\"}",
		    memory_budget_name(budget));
		gateway->memory_gauges[i] =
		    gauge_get(name, "Memory in use of a budget");
	}
	httpc_set_limits(gateway->params.httpc,
	    memory_account_limit(gateway->memory, MEMORY_RESPONSES),
	    part_of_descriptors(IDLE_CALL_DIVISOR));
	ev_timer_init(&gateway->memory_timer, on_report, REPORT_INTERVAL_S,
	    REPORT_INTERVAL_S);
	gateway->memory_timer.data = gateway;
	ev_timer_start(gateway->params.loop, &gateway->memory_timer);
	LOG_INFO("memory_divided",
	    "memory_mb=%u descriptors=%u caller_connections=%u max_body=%zu",
	    mb, descriptors(), gateway_caller_connections(gateway),
	    memory_account_max_body(gateway->memory));
}

/* Ends the reports and frees the account. */
void
gateway_memory_stop(gateway_t *gateway)
{
	if (gateway->memory == NULL)
		return;
	ev_timer_stop(gateway->params.loop, &gateway->memory_timer);
	memory_account_delete(gateway->memory);
}
