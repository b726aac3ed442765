/* Gauges of the pools that this host admits for. */
#include "grants_state.h"

#include <stdio.h>

#define INTERVAL_S 0.5

/* Sets name{pool="..."}. */
static void
set_pool_gauge(
    const grants_pool_t *pool, const char *name, const char *help, double value)
{
	char label[NAME_SIZE];
	char metric[NAME_SIZE + 96];

	str_copy(label, sizeof(label), str_of(pool->name));
	for (char *c = label; *c != '\0'; c++)
		if (*c == '"' || *c == '\\' || *c == '\n')
			*c = '_';
	snprintf(metric, sizeof(metric), "%s{pool=\"%s\"}", name, label);
	gauge_set(gauge_get(metric, help), value);
}

/* Updates the gauges of the pool; they are 0 where another host admits. */
void
pool_update_gauges(grants_pool_t *pool, double now)
{
	admission_stats_t stats = {0};

	if (!pool->grants->params.measured_speed ||
	    now < pool->next_gauge_update)
		return;
	pool->next_gauge_update = now + INTERVAL_S;
	if (pool->is_admitting)
		admission_stats(pool->admission, now, &stats);
	set_pool_gauge(pool, "daisypier_grants_slowest_event_seconds",
	    "Seconds per event of the pool's slowest endpoint with one run",
	    stats.slowest_event_seconds);
	set_pool_gauge(pool, "daisypier_grants_mean_event_seconds",
	    "Mean seconds per event of the pool's runs, as with one run each",
	    stats.mean_event_seconds);
	set_pool_gauge(pool, "daisypier_grants_slow_endpoints",
	    "Endpoints of the pool that count as slow", stats.slow_endpoints);
}
