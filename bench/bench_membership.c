/* Measures what the failure detector costs one host and how fast it is. */
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include "clock.h"
#include "counter.h"
#include "membership_net.h"

#define MAX_MEMBERS	  150
#define WARM_UP_S	  12.0
#define MEASURE_S	  10.0
#define DETECTION_LIMIT_S 40.0
/* Bytes of the IP and UDP headers of one datagram. */
#define HEADER_BYTES 28
#define FULL_SCALE   910

/* What one member costs in one second, and how fast the fleet is. */
typedef struct figures_t {
	int members;
	double datagrams;    /* sent by one member in a second */
	double bytes;	     /* sent, with headers */
	double cpu;	     /* share of a core */
	double kib;	     /* memory of one member */
	double detection_s;  /* until all see a crash */
	double false_deaths; /* declared before the crash, all members */
} figures_t;

typedef struct fleet_t {
	struct ev_loop *loop;
	membership_net_t *nets[MAX_MEMBERS];
	int count;
} fleet_t;

static double
cpu_seconds(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (
	    (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
	    (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6);
}

/* Returns the bytes allocated, large blocks included. */
static size_t
memory_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return (info.uordblks + info.hblkhd);
}

static double
total(const char *name)
{
	return (counter_value(counter_get(name, "")));
}

static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ONE);
}

static void
run_for(struct ev_loop *loop, double seconds)
{
	ev_timer timer;

	ev_timer_init(&timer, on_timeout, seconds, 0);
	ev_timer_start(loop, &timer);
	ev_run(loop, 0);
	ev_timer_stop(loop, &timer);
}

static void
fleet_start(fleet_t *fleet, int count)
{
	static const char *const seeds[] = {"127.0.0.1", "127.0.0.2", NULL};
	uint16_t port = 0;

	fleet->loop = ev_loop_new(0);
	fleet->count = count;
	for (int i = 0; i < count; i++) {
		char name[32];
		char address[32];
		membership_net_params_t params = {
		    .name = name,
		    .address = address,
		    .port = port,
		    .zone = "canal-walk",
		    .site = "site-one",
		    .key = STR("benchmark key"),
		    .seeds = seeds,
		};

		snprintf(name, sizeof(name), "entry-host-%03d", i);
		snprintf(address, sizeof(address), "127.0.0.%d", i + 1);
		if (membership_net_new(fleet->loop, &params, &fleet->nets[i]) !=
		    0) {
			fprintf(stderr, "cannot bind %s:%u\n", address, port);
			exit(1);
		}
		port = membership_net_port(fleet->nets[i]);
		membership_set_ready(
		    membership_net_table(fleet->nets[i]), true);
		run_for(fleet->loop, 0.01);
	}
}

static bool
all_know_all(const fleet_t *fleet)
{
	for (int i = 0; i < fleet->count; i++)
		if (membership_living(membership_net_table(fleet->nets[i])) !=
		    (size_t)fleet->count)
			return (false);
	return (true);
}

static bool
all_see_dead(const fleet_t *fleet, const char *name)
{
	for (int i = 0; i < fleet->count; i++) {
		const member_t *member = membership_find(
		    membership_net_table(fleet->nets[i]), str_of(name));

		if (member == NULL || member->state != MEMBER_DEAD)
			return (false);
	}
	return (true);
}

/* Measures real sockets on the loopback range. */
static figures_t
measure_fleet(int count)
{
	static fleet_t fleet;
	size_t memory = memory_bytes();
	figures_t figures = {.members = count, .detection_s = -1};
	char victim[64];
	double datagrams;
	double bytes;
	double cpu;
	double start;

	fleet_start(&fleet, count);
	run_for(fleet.loop, WARM_UP_S);
	if (!all_know_all(&fleet))
		fprintf(
		    stderr, "%d members do not all know each other\n", count);
	figures.kib = (double)(memory_bytes() - memory) / 1024 / count;
	datagrams = total("daisypier_membership_sent_datagrams_total");
	bytes = total("daisypier_membership_sent_bytes_total");
	cpu = cpu_seconds();
	start = clock_monotonic();
	run_for(fleet.loop, MEASURE_S);
	figures.datagrams =
	    total("daisypier_membership_sent_datagrams_total") - datagrams;
	figures.bytes = total("daisypier_membership_sent_bytes_total") - bytes +
			figures.datagrams * HEADER_BYTES;
	figures.cpu = cpu_seconds() - cpu;
	figures.false_deaths = total("daisypier_membership_deaths_total");
	{
		double member_seconds = (clock_monotonic() - start) * count;

		figures.datagrams /= member_seconds;
		figures.bytes /= member_seconds;
		figures.cpu /= member_seconds;
	}
	fleet.count--;
	snprintf(victim, sizeof(victim), "entry-host-%03d", fleet.count);
	membership_net_delete(fleet.nets[fleet.count]);
	start = clock_monotonic();
	while (clock_monotonic() < start + DETECTION_LIMIT_S) {
		run_for(fleet.loop, 0.05);
		if (all_see_dead(&fleet, victim)) {
			figures.detection_s = clock_monotonic() - start;
			break;
		}
	}
	return (figures);
}

static void
print_figures(const char *kind, const figures_t *f)
{
	printf("%-9s %4d members: %5.2f datagrams/s and %6.0f B/s sent, "
	       "%.4f %% of a core, %4.0f KiB each; crash seen by all "
	       "after %.1f s; %.0f false deaths\n",
	    kind, f->members, f->datagrams, f->bytes, f->cpu * 100, f->kib,
	    f->detection_s, f->false_deaths);
	fflush(stdout);
}

/* Runs each size in a process of its own, all at the same time. */
static void
measure_fleets(const int *counts, size_t n, figures_t *out)
{
	int pipes[8][2];

	for (size_t i = 0; i < n; i++) {
		figures_t figures;

		if (pipe(pipes[i]) != 0)
			exit(1);
		if (fork() != 0) {
			close(pipes[i][1]);
			continue;
		}
		figures = measure_fleet(counts[i]);
		if (write(pipes[i][1], &figures, sizeof(figures)) !=
		    sizeof(figures))
			_exit(1);
		_exit(0);
	}
	for (size_t i = 0; i < n; i++) {
		if (read(pipes[i][0], &out[i], sizeof(out[i])) !=
		    sizeof(out[i]))
			exit(1);
		close(pipes[i][0]);
		wait(NULL);
	}
}

/* A datagram on its way in the simulated network. */
typedef struct flight_t {
	int from;
	int to;
	char *data;
	size_t len;
	STAILQ_ENTRY(flight_t) entry;
} flight_t;

STAILQ_HEAD(flights_t, flight_t);

typedef struct simulation_t {
	membership_t *members[FULL_SCALE];
	double next[FULL_SCALE];
	int count;
	double now;
	double datagrams;
	double bytes;
	uint64_t starts;
	struct flights_t flights;
} simulation_t;

typedef struct simulated_host_t {
	simulation_t *simulation;
	int index;
} simulated_host_t;

static simulated_host_t simulated_hosts[FULL_SCALE];

static void
simulated_address(int index, char out[32])
{
	snprintf(out, 32, "10.0.%d.%d", index / 250, index % 250 + 1);
}

static void
on_simulated_send(void *ctx, const char *address, str_t datagram)
{
	simulated_host_t *host = ctx;
	simulation_t *simulation = host->simulation;
	flight_t *flight = xcalloc(1, sizeof(*flight));
	int high = 0;
	int low = 0;

	if (sscanf(address, "10.0.%d.%d", &high, &low) != 2) // NOLINT
		abort();
	flight->from = host->index;
	flight->to = high * 250 + low - 1;
	flight->data = xmemdup(datagram.data, datagram.len);
	flight->len = datagram.len;
	STAILQ_INSERT_TAIL(&simulation->flights, flight, entry);
	simulation->datagrams++;
	/* The authentication takes 33 bytes. */
	simulation->bytes += (double)datagram.len + 33 + HEADER_BYTES;
}

static void
simulation_start(simulation_t *simulation, int index)
{
	char name[32];
	char address[32];
	membership_params_t params = {
	    .name = name,
	    .address = address,
	    .zone = "canal-walk",
	    .site = "site-one",
	    .instance = ++simulation->starts,
	    .incarnation = 1700000000U + (uint32_t)simulation->now,
	    .random_seed = simulation->starts,
	    .send = on_simulated_send,
	    .send_ctx = &simulated_hosts[index],
	};

	snprintf(name, sizeof(name), "entry-host-%03d", index);
	simulated_address(index, address);
	simulated_hosts[index] = (simulated_host_t){simulation, index};
	simulation->members[index] = membership_new(&params, simulation->now);
	simulation->next[index] = simulation->now;
	for (int seed = 0; seed < 3; seed++) {
		simulated_address(seed, address);
		membership_add_seed(simulation->members[index], address);
	}
	membership_set_ready(simulation->members[index], true);
}

static void
simulation_deliver(simulation_t *simulation, flight_t *flight)
{
	membership_t *to = simulation->members[flight->to];
	char from[32];

	simulated_address(flight->from, from);
	if (to != NULL) {
		membership_receive(to, simulation->now, from,
		    (str_t){flight->data, flight->len});
		simulation->next[flight->to] = membership_next(to);
	}
	free(flight->data);
	free(flight);
}

static void
simulation_run(simulation_t *simulation, double seconds)
{
	double end = simulation->now + seconds;

	while (simulation->now < end) {
		struct flights_t due = STAILQ_HEAD_INITIALIZER(due);
		flight_t *flight;

		simulation->now += 0.01;
		STAILQ_CONCAT(&due, &simulation->flights);
		while ((flight = STAILQ_FIRST(&due)) != NULL) {
			STAILQ_REMOVE_HEAD(&due, entry);
			simulation_deliver(simulation, flight);
		}
		for (int i = 0; i < simulation->count; i++)
			if (simulation->members[i] != NULL &&
			    simulation->now >= simulation->next[i])
				simulation->next[i] = membership_tick(
				    simulation->members[i], simulation->now);
	}
}

/* Returns how many members hold the newest version, after they adopted it. */
static int
simulation_adopt(simulation_t *simulation, uint64_t version)
{
	int known = 0;

	for (int i = 0; i < simulation->count; i++) {
		membership_t *m = simulation->members[i];

		if (m == NULL)
			continue;
		membership_set_config_version(
		    m, membership_newest_config(m)->config_version);
		known += membership_self(m)->config_version == version;
	}
	return (known);
}

/* Returns seconds until all members know a new version. */
static double
simulation_spread(simulation_t *simulation, uint64_t version)
{
	double start = simulation->now;

	membership_set_config_version(simulation->members[7], version);
	while (simulation->now < start + 60) {
		simulation_run(simulation, 0.1);
		if (simulation_adopt(simulation, version) == simulation->count)
			return (simulation->now - start);
	}
	return (-1);
}

/* Returns seconds until a restarted host knows all others. */
static double
simulation_join(simulation_t *simulation, int index)
{
	double start = simulation->now;

	membership_leave(simulation->members[index]);
	membership_delete(simulation->members[index]);
	simulation_start(simulation, index);
	while (simulation->now < start + 60) {
		simulation_run(simulation, 0.1);
		if (membership_living(simulation->members[index]) ==
		    (size_t)simulation->count)
			return (simulation->now - start);
	}
	return (-1);
}

static bool
simulation_all_see(
    const simulation_t *simulation, int viewed, member_state_t state)
{
	char name[32];

	snprintf(name, sizeof(name), "entry-host-%03d", viewed);
	for (int i = 0; i < simulation->count; i++) {
		const member_t *member;

		if (i == viewed)
			continue;
		member = membership_find(simulation->members[i], str_of(name));
		if (member == NULL || member->state != state)
			return (false);
	}
	return (true);
}

static double
simulation_detect(simulation_t *simulation, int victim)
{
	double start = simulation->now;

	membership_delete(simulation->members[victim]);
	simulation->members[victim] = NULL;
	while (simulation->now < start + 60) {
		simulation_run(simulation, 0.1);
		if (simulation_all_see(simulation, victim, MEMBER_DEAD))
			return (simulation->now - start);
	}
	return (-1);
}

static double
simulation_deaths(const simulation_t *simulation)
{
	double deaths = 0;

	for (int i = 0; i < simulation->count; i++)
		deaths +=
		    (double)membership_stats(simulation->members[i]).deaths;
	return (deaths);
}

/*
 * Runs the state machines of a fleet in virtual time: the counts are exact, the
 * processor time has no sockets and no authentication in it.
 */
static figures_t
simulate(int count, bool churn, uint64_t seed, double *spread, double *joined)
{
	static simulation_t simulation;
	size_t memory = memory_bytes();
	figures_t figures = {.members = count};
	double cpu;
	double measured;

	simulation = (simulation_t){.count = count, .starts = seed * 1000000};
	STAILQ_INIT(&simulation.flights);
	for (int i = 0; i < count; i++)
		simulation_start(&simulation, i);
	simulation_run(&simulation, 45);
	figures.kib = (double)(memory_bytes() - memory) / 1024 / count;
	simulation.datagrams = 0;
	simulation.bytes = 0;
	cpu = cpu_seconds();
	measured = simulation.now;
	/* 11,000 changes and 1,850 restarts a day: 4 and 1 in 47 s. */
	for (uint64_t i = 0; i < 6; i++) {
		if (churn && i < 4) {
			membership_set_config_version(
			    simulation.members[i], i + 1);
		}
		if (churn && i == 2) {
			membership_leave(simulation.members[count - 2]);
			membership_delete(simulation.members[count - 2]);
			simulation_start(&simulation, count - 2);
		}
		for (int j = 0; j < 10; j++) {
			simulation_run(&simulation, 0.8);
			simulation_adopt(&simulation, 0);
		}
	}
	measured = (simulation.now - measured) * count;
	figures.cpu = (cpu_seconds() - cpu) / measured;
	figures.datagrams = simulation.datagrams / measured;
	figures.bytes = simulation.bytes / measured;
	figures.false_deaths = simulation_deaths(&simulation);
	*spread = simulation_spread(&simulation, 100);
	*joined = simulation_join(&simulation, count - 1);
	figures.detection_s = simulation_detect(&simulation, count - 1);
	return (figures);
}

/* Prints the straight line through the real fleets at full scale. */
static void
print_slope(const figures_t *figures, size_t n)
{
	double mean_x = 0;
	double mean_y = 0;
	double xy = 0;
	double xx = 0;
	double at;

	for (size_t i = 0; i < n; i++) {
		mean_x += figures[i].members / (double)n;
		mean_y += figures[i].cpu / (double)n;
	}
	for (size_t i = 0; i < n; i++) {
		double x = figures[i].members - mean_x;

		xy += x * (figures[i].cpu - mean_y);
		xx += x * x;
	}
	at = mean_y + xy / xx * (FULL_SCALE - mean_x);
	printf("slope: %.6f %% of a core for each 100 members; line at %d "
	       "members: %.3f %% of a core (goal for all control: 1.2 %%)\n",
	    xy / xx * 100 * 100, FULL_SCALE, at * 100);
}

/* Simulates in a process of its own, so that memory is counted afresh. */
static void
print_simulation(int count, bool churn, uint64_t seed)
{
	double spread;
	double joined;
	figures_t figures;

	fflush(stdout);
	if (fork() != 0) {
		wait(NULL);
		return;
	}
	figures = simulate(count, churn, seed, &spread, &joined);
	print_figures(churn ? "sim churn" : "sim", &figures);
	printf("          a configuration version is known to all after "
	       "%.1f s; a restarted host knows all after %.1f s\n",
	    spread, joined);
	fflush(stdout);
	_exit(0);
}

int
main(int argc, char **argv)
{
	static const int counts[] = {3, 13, 50, 150};
	static const int simulated[] = {13, FULL_SCALE};
	uint64_t seed = 1;
	figures_t figures[4];

	if (argc > 1 && str_to_u64(str_of(argv[1]), &seed) != 0) {
		fprintf(stderr, "usage: %s [SEED]\n", argv[0]);
		return (2);
	}
	measure_fleets(counts, 4, figures);
	for (size_t i = 0; i < 4; i++)
		print_figures("UDP", &figures[i]);
	print_slope(figures, 4);
	for (size_t i = 0; i < 2; i++) {
		print_simulation(simulated[i], false, seed);
		print_simulation(simulated[i], true, seed);
	}
	return (0);
}
