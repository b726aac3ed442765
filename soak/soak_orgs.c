/*
 * Organisations in the fault soak: callers with keys, the removal of a key, and
 * checks of what the engines ran for whom.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "file.h"
#include "soak.h"

/*
 * Long enough that hosts on a busy machine stay current, short enough that a
 * run of 10 s sends requests after it.
 */
#define REVOKE_MS 2500
#define REVOKE_S  (REVOKE_MS / 1e3)
/* The key is removed at this part of the run. */
#define REMOVED_AT 0.4
#define RATE	   20
#define BURST	   20
#define WINDOW_S   5.0
/* What the platform tolerates in one window. */
#define MOST_RUNS ((RATE * WINDOW_S + BURST) * 1.1 + 20)
/* Three senders with this pause ask for several times the rate. */
#define FLOOD_PAUSE_S 0.015
#define CALM_PAUSE_S  0.05
/*
 * The thread that ends the store's faults writes configurations, too: with the
 * default, the removal came after the end of 3 in 10 runs of 10 s.
 */
#define CONFIGURE_TIMEOUT_S 0.5
#define EVENTS		    4
#define TIMEOUT_S	    4.0

#define QUOTED(x) #x
#define TEXT(x)	  QUOTED(x)
#define STEADY \
	"{\"name\":\"steady\",\"api-keys\":[\"k-steady-1\",\"k-steady-2\"]}"
#define LIMITED                                                               \
	"{\"name\":\"limited\",\"api-keys\":[\"k-limited-1\",\"k-limited-2\"" \
	"],\"rate-per-s\":" TEXT(RATE) ",\"burst\":" TEXT(BURST) "}"
#define REMOVED_KEY "k-changing-1"
#define KEPT_KEY    "k-changing-2"
#define BEFORE                                                 \
	"[" STEADY "," LIMITED                                 \
	",{\"name\":\"changing\",\"api-keys\":[\"" REMOVED_KEY \
	"\",\"" KEPT_KEY "\"]}]"
/* Beside the removal: a long name, and an entry that can't be read. */
#define LONG_ORG                                                       \
	"{\"name\":\"an-organisation-with-a-name-that-is-longer-than-" \
	"sixty-three-bytes\",\"api-keys\":[\"k-long\"]}"
#define UNREADABLE_ORG "{\"name\":\"\",\"api-keys\":[\"k-withheld\"]}"
#define AFTER                                                  \
	"[" STEADY "," LIMITED "," LONG_ORG "," UNREADABLE_ORG \
	",{\"name\":\"changing\",\"api-keys\":[\"" KEPT_KEY "\"]}]"

enum { CALLER_REMOVED = 3, CALLER_KEPT = 4 };

/* The callers; their request ids begin with the prefix. */
static const struct {
	const char *key;
	char prefix;
	double pause;
} callers[SOAK_ORG_CALLERS] = {
    {"k-limited-1", 'L', FLOOD_PAUSE_S},
    {"k-limited-1", 'L', FLOOD_PAUSE_S},
    {"k-limited-2", 'L', FLOOD_PAUSE_S},
    [CALLER_REMOVED] = {REMOVED_KEY, 'X', CALM_PAUSE_S},
    [CALLER_KEPT] = {KEPT_KEY, 'K', CALM_PAUSE_S},
};

/* One run of the engines' journal. */
typedef struct org_run_t {
	double at;
	char id[64];
	char org[64];
	unsigned names;
	unsigned keys;
} org_run_t;

/* Sets the organisations of a fleet that is about to start. */
void
soak_orgs_params(soak_t *soak, gateways_params_t *params)
{
	snprintf(soak->org_journal, sizeof(soak->org_journal), "%s/org-runs",
	    harness_folder());
	params->org_journal = soak->org_journal;
	params->tenants = BEFORE;
	params->key = "k-steady-1";
	params->revoke_ms = REVOKE_MS;
	params->configure_timeout = CONFIGURE_TIMEOUT_S;
}

/* Checks a status that a caller of an organisation without limit has got. */
void
soak_orgs_answered(soak_t *soak, const char *id, int status)
{
	if (soak->orgs && status == 429)
		soak_violate(soak, CHECK_NOT_LIMITED, "429", id);
}

static void
remember_sending(soak_t *soak, const char *id)
{
	pthread_mutex_lock(&soak->lock);
	soak->sendings = xrealloc(soak->sendings,
	    (soak->sending_count + 1) * sizeof(*soak->sendings));
	str_copy(soak->sendings[soak->sending_count].id,
	    sizeof(soak->sendings[0].id), str_of(id));
	soak->sendings[soak->sending_count++].at = clock_monotonic();
	pthread_mutex_unlock(&soak->lock);
}

static int
send_once(org_caller_t *caller, unsigned host, const char *id)
{
	soak_t *soak = caller->soak;
	bool limited = callers[caller->index].prefix == 'L';
	bool removable = callers[caller->index].prefix == 'X';
	gateways_stream_t s;

	if (removable)
		remember_sending(soak, id);
	s = gateways_stream(
	    &caller->fleet, host, GATEWAYS_ONCE, id, EVENTS, TIMEOUT_S);
	if (!limited)
		soak_orgs_answered(soak, id, s.status);
	soak_claim(soak, id,
	    s.status == 503 || s.status == 429 || s.status == 401 ? 0 : 1);
	pthread_mutex_lock(&soak->lock);
	soak->org_limited += limited && s.status == 429;
	soak->org_unknown += removable && s.status == 401;
	pthread_mutex_unlock(&soak->lock);
	return (s.status);
}

static void *
run_caller(void *ctx)
{
	org_caller_t *caller = ctx;
	unsigned hosts = caller->fleet.params.hosts;
	char id[32];

	for (unsigned i = 0; !caller->soak->stop; i++) {
		snprintf(id, sizeof(id), "%c%u-%u",
		    callers[caller->index].prefix, caller->index, i);
		send_once(caller, (unsigned)rng_below(&caller->rng, hosts), id);
		harness_sleep(callers[caller->index].pause);
	}
	return (NULL);
}

/* Starts the callers of the organisations. */
void
soak_orgs_start(soak_t *soak)
{
	soak->remove_at =
	    clock_monotonic() + REMOVED_AT * (soak->end - clock_monotonic());
	for (unsigned i = 0; i < SOAK_ORG_CALLERS; i++) {
		org_caller_t *caller = &soak->org_callers[i];

		*caller = (org_caller_t){
		    .soak = soak,
		    .index = i,
		    .rng = rng_seeded(soak->seed * 1000 + i),
		    .fleet = soak->fleet,
		};
		caller->fleet.params.key = callers[i].key;
		pthread_create(&caller->thread, NULL, run_caller, caller);
	}
}

/*
 * Removes the key when it is time; called by the thread that injects faults.
 * Repeats it until the store, which may be at fault, has confirmed it.
 */
void
soak_orgs_step(soak_t *soak)
{
	if (!soak->orgs || soak->removed_at > 0 ||
	    clock_monotonic() < soak->remove_at)
		return;
	soak->fleet.params.tenants = AFTER;
	if (!gateways_configure(&soak->fleet, ""))
		return;
	soak->removed_at = clock_monotonic();
	printf("key removed %.1f s before the end\n",
	    soak->end - soak->removed_at);
}

void
soak_orgs_join(soak_t *soak)
{
	for (unsigned i = 0; i < SOAK_ORG_CALLERS; i++)
		pthread_join(soak->org_callers[i].thread, NULL);
}

/* Once the faults have ended, each host knows which keys are valid. */
void
soak_orgs_check_recovered(soak_t *soak)
{
	char id[32];

	for (unsigned i = 0; i < soak->fleet.params.hosts; i++) {
		snprintf(id, sizeof(id), "X-end-%u", i);
		if (send_once(&soak->org_callers[CALLER_REMOVED], i, id) != 401)
			soak_violate(
			    soak, CHECK_KEY_REMOVED, "not answered 401", id);
		snprintf(id, sizeof(id), "K-end-%u", i);
		if (send_once(&soak->org_callers[CALLER_KEPT], i, id) != 200)
			soak_violate(soak, CHECK_RECOVERED, "not served", id);
	}
}

/* The organisation whose key the request with an id carried. */
static const char *
org_of(const char *id)
{
	return (id[0] == 'L'		       ? "limited"
		: id[0] == 'K' || id[0] == 'X' ? "changing"
					       : "steady");
}

static void
check_removed(soak_t *soak, const org_run_t *run)
{
	for (size_t i = 0; soak->removed_at > 0 && i < soak->sending_count; i++)
		if (strcmp(soak->sendings[i].id, run->id) == 0 &&
		    soak->sendings[i].at > soak->removed_at + REVOKE_S) {
			printf("sent %.3f s after the removal\n",
			    soak->sendings[i].at - soak->removed_at);
			soak_violate(soak, CHECK_KEY_REMOVED,
			    "ran with a removed key", run->id);
		}
}

static void
check_org(soak_t *soak, const org_run_t *run)
{
	if (run->names != 1 || strcmp(run->org, org_of(run->id)) != 0)
		soak_violate(soak, CHECK_ORG_NAME, run->org, run->id);
	if (run->keys > 0)
		soak_violate(soak, CHECK_ORG_NAME, "key at engine", run->id);
}

static int
compare_times(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return ((x > y) - (x < y));
}

/* Checks the runs of the limited organisation in each sliding window. */
static void
check_limit(soak_t *soak, double *times, size_t count)
{
	size_t largest = 0;
	size_t first = 0;
	char what[64];

	if (count > 0)
		qsort(times, count, sizeof(*times), compare_times);
	for (size_t i = 0; i < count; i++) {
		while (times[i] - times[first] > WINDOW_S)
			first++;
		if (i - first + 1 > largest)
			largest = i - first + 1;
	}
	printf("limited: %u refused, %zu ran, at most %zu in %.0f s of %.0f; "
	       "removed key: %zu sent, %u answered 401\n",
	    soak->org_limited, count, largest, WINDOW_S, MOST_RUNS,
	    soak->sending_count, soak->org_unknown);
	snprintf(what, sizeof(what), "%zu runs in a window", largest);
	if ((double)largest > MOST_RUNS)
		soak_violate(soak, CHECK_ORG_LIMIT, what, "limited");
}

/* Checks the engines' journal. */
void
soak_orgs_check(soak_t *soak)
{
	FILE *file = fopen(soak->org_journal, "r");
	double *times = NULL;
	size_t count = 0;
	org_run_t run;
	char line[256];

	if (soak->removed_at <= 0)
		soak_violate(soak, CHECK_KEY_REMOVED,
		    "the store never confirmed the removal", "config");
	if (file == NULL) {
		soak_violate(soak, CHECK_ORG_NAME, "no journal", "engines");
		return;
	}
	while (fgets(line, sizeof(line), file) != NULL) {
		if (sscanf(line, "%lf %63s %63s %u %u", &run.at, run.id,
			run.org, &run.names, &run.keys) != 5) {
			soak_violate(
			    soak, CHECK_ORG_NAME, "unreadable line", line);
			continue;
		}
		check_org(soak, &run);
		check_removed(soak, &run);
		if (run.id[0] != 'L')
			continue;
		times = xrealloc(times, (count + 1) * sizeof(*times));
		times[count++] = run.at;
	}
	(void)fclose(file);
	check_limit(soak, times, count);
	free(times);
}
