/* Faults that the soak injects from outside, in a seeded order. */
#include "soak.h"

#include <signal.h>
#include <stdio.h>

#define MAX_FAULTS 24

/* A fault in force; undo ends it. */
typedef struct fault_t {
	void (*undo)(soak_t *soak, unsigned target);
	unsigned target;
	double until;
} fault_t;

typedef struct fault_kind_t {
	const char *name;
	void (*begin)(soak_t *soak, unsigned target);
	void (*undo)(soak_t *soak, unsigned target);
	bool on_host;	/* else on an engine, or on the store */
	double longest; /* seconds */
} fault_kind_t;

/* Kinds of faults. Targets are hosts or engines, as the table says. */

static void
host_kill(soak_t *soak, unsigned target)
{
	harness_kill(soak->fleet.hosts[target]);
	soak->fleet.hosts[target] = NULL;
}

static void
host_restart(soak_t *soak, unsigned target)
{
	gateways_start_host(&soak->fleet, target);
}

static void
host_freeze(soak_t *soak, unsigned target)
{
	harness_stop(soak->fleet.hosts[target]);
}

static void
host_thaw(soak_t *soak, unsigned target)
{
	harness_continue(soak->fleet.hosts[target]);
}

static void
host_stop(soak_t *soak, unsigned target)
{
	harness_signal(soak->fleet.hosts[target], SIGTERM);
}

static void
host_stopped(soak_t *soak, unsigned target)
{
	if (harness_wait_exit(soak->fleet.hosts[target], 8) != 0)
		soak_violate(
		    soak, CHECK_HOSTS_LIVE, "planned stop failed", "host");
	soak->fleet.hosts[target] = NULL;
	gateways_start_host(&soak->fleet, target);
}

static void
host_hangup(soak_t *soak, unsigned target)
{
	harness_signal(soak->fleet.hosts[target], SIGHUP);
}

static void
nothing(soak_t *soak, unsigned target)
{
	(void)soak;
	(void)target;
}

static void
engine_kill(soak_t *soak, unsigned target)
{
	harness_kill(soak->fleet.engines[target]);
	soak->fleet.engines[target] = NULL;
}

static void
engine_restart(soak_t *soak, unsigned target)
{
	gateways_start_engine(&soak->fleet, target);
}

static void
engine_drain(soak_t *soak, unsigned target)
{
	harness_signal(soak->fleet.engines[target], SIGUSR1);
}

static void
engine_drained(soak_t *soak, unsigned target)
{
	harness_wait_exit(soak->fleet.engines[target], 6);
	soak->fleet.engines[target] = NULL;
	gateways_start_engine(&soak->fleet, target);
}

static void
engine_break(soak_t *soak, unsigned target)
{
	gateways_engine_faults(&soak->fleet, target, "break=0.3&lose=0.1");
}

static void
engine_shed(soak_t *soak, unsigned target)
{
	gateways_engine_faults(&soak->fleet, target, "shed=0.5");
}

static void
engine_heal(soak_t *soak, unsigned target)
{
	gateways_engine_faults(&soak->fleet, target, "");
}

static void
link_fault(soak_t *soak, unsigned target, const char *mode)
{
	char query[64];

	snprintf(query, sizeof(query), "forward=%u&mode=%s", target, mode);
	gateways_proxy_fault(&soak->fleet, query);
}

static void
link_freeze(soak_t *soak, unsigned target)
{
	link_fault(soak, target + 1, "freeze&only_open=1");
}

static void
link_cut(soak_t *soak, unsigned target)
{
	link_fault(soak, target + 1, "cut");
}

static void
link_one_way(soak_t *soak, unsigned target)
{
	link_fault(soak, target + 1, "drop_down");
}

static void
link_heal(soak_t *soak, unsigned target)
{
	link_fault(soak, target + 1, "pass");
}

static void
store_busy(soak_t *soak, unsigned target)
{
	(void)target;
	gateways_store_faults(&soak->fleet, "busy=1");
}

static void
store_silent(soak_t *soak, unsigned target)
{
	(void)target;
	gateways_store_faults(&soak->fleet, "silent=1");
}

static void
store_loses(soak_t *soak, unsigned target)
{
	(void)target;
	gateways_store_faults(&soak->fleet, "lose=0.4&late=3");
}

static void
store_forgets(soak_t *soak, unsigned target)
{
	(void)target;
	gateways_store_faults(&soak->fleet, "forget=1");
}

static void
store_refuses_one(soak_t *soak, unsigned target)
{
	char query[64];

	snprintf(query, sizeof(query), "silent=1&host=127.0.0.%u", 21 + target);
	gateways_store_faults(&soak->fleet, query);
}

static void
store_heal(soak_t *soak, unsigned target)
{
	(void)target;
	gateways_store_faults(&soak->fleet, "");
}

static void
store_link_slow(soak_t *soak, unsigned target)
{
	(void)target;
	link_fault(soak, 0, "delay&ms=200");
}

static void
store_link_silent(soak_t *soak, unsigned target)
{
	(void)target;
	link_fault(soak, 0, "freeze&only_open=1");
}

static void
store_link_heal(soak_t *soak, unsigned target)
{
	(void)target;
	link_fault(soak, 0, "pass");
}

static void
configure(soak_t *soak, unsigned target)
{
	(void)target;
	gateways_configure(&soak->fleet, "");
}

static const fault_kind_t kinds[] = {
    {"host killed", host_kill, host_restart, true, 3},
    {"host frozen", host_freeze, host_thaw, true, 4},
    {"host stopped as planned", host_stop, host_stopped, true, 1},
    {"settings reloaded", host_hangup, nothing, true, 0},
    {"engine killed", engine_kill, engine_restart, false, 3},
    {"engine replaced", engine_drain, engine_drained, false, 3},
    {"engine breaks off", engine_break, engine_heal, false, 4},
    {"engine refuses", engine_shed, engine_heal, false, 4},
    {"link to an engine silent", link_freeze, link_heal, false, 3},
    {"link to an engine cut", link_cut, link_heal, false, 3},
    {"link to an engine one way", link_one_way, link_heal, false, 3},
    {"store busy", store_busy, store_heal, false, 4},
    {"store silent", store_silent, store_heal, false, 4},
    {"store loses answers", store_loses, store_heal, false, 5},
    {"store forgets", store_forgets, nothing, false, 0},
    {"store refuses one host", store_refuses_one, store_heal, false, 5},
    {"link to the store slow", store_link_slow, store_link_heal, false, 3},
    {"link to the store silent", store_link_silent, store_link_heal, false, 2},
    {"configuration changes", configure, nothing, false, 0},
};

static bool
target_is_free(const soak_t *soak, const fault_t *faults, size_t count,
    const fault_kind_t *kind, unsigned target)
{
	bool present = kind->on_host ? soak->fleet.hosts[target] != NULL
				     : target >= soak->fleet.params.engines ||
					   soak->fleet.engines[target] != NULL;

	/* One fault at a time on each host and engine; they overlap. */
	for (size_t i = 0; i < count; i++)
		if (faults[i].target == target)
			return (false);
	return (present);
}

static void
end_faults(soak_t *soak, fault_t *faults, size_t *count, double now)
{
	size_t kept = 0;

	for (size_t i = 0; i < *count; i++) {
		if (now >= faults[i].until)
			faults[i].undo(soak, faults[i].target);
		else
			faults[kept++] = faults[i];
	}
	*count = kept;
}

static void
begin_fault(soak_t *soak, fault_t *faults, size_t *count, double now)
{
	const fault_kind_t *kind =
	    &kinds[rng_below(&soak->rng, sizeof(kinds) / sizeof(kinds[0]))];
	unsigned most = kind->on_host ? soak->fleet.params.hosts
				      : soak->fleet.params.engines;
	unsigned target = (unsigned)rng_below(&soak->rng, most);
	double length = kind->longest * rng_uniform(&soak->rng);

	if (*count >= MAX_FAULTS ||
	    !target_is_free(soak, faults, *count, kind, target))
		return;
	printf("fault %s target=%u for_s=%.1f\n", kind->name, target, length);
	kind->begin(soak, target);
	soak->faults++;
	faults[(*count)++] = (fault_t){
	    .undo = kind->undo, .target = target, .until = now + length};
}

/* Starts the engines again that harmful requests ended. */
static void
restart_crashed_engines(soak_t *soak, const fault_t *faults, size_t count)
{
	bool busy[GATEWAYS_MAX_ENGINES] = {false};

	if (soak->fleet.params.crash_part == NULL)
		return;
	/* A fault may end its engine, and starts it again itself. */
	for (size_t i = 0; i < count; i++)
		if (faults[i].target < GATEWAYS_MAX_ENGINES)
			busy[faults[i].target] = true;
	for (unsigned i = 0; i < soak->fleet.params.engines; i++)
		if (!busy[i] && soak->fleet.engines[i] != NULL &&
		    harness_wait_exit(soak->fleet.engines[i], 0) >= 0)
			gateways_start_engine(&soak->fleet, i);
}

/* Injects faults until the end of the soak, and ends them all. */
void
soak_inject_faults(soak_t *soak)
{
	fault_t faults[MAX_FAULTS];
	size_t count = 0;

	while (clock_monotonic() < soak->end) {
		begin_fault(soak, faults, &count, clock_monotonic());
		harness_sleep(0.1 + 0.9 * rng_uniform(&soak->rng));
		end_faults(soak, faults, &count, clock_monotonic());
		restart_crashed_engines(soak, faults, count);
		soak_orgs_step(soak);
	}
	end_faults(soak, faults, &count, 1e18);
	soak_orgs_step(soak);
}

/* Starts all engines again that harmful requests have ended. */
void
soak_restart_engines(soak_t *soak)
{
	restart_crashed_engines(soak, NULL, 0);
}
