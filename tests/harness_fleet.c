/* Several shard owners over a log in memory, in simulated time. */
#include "harness_fleet.h"

#include <stdio.h>
#include <string.h>

#include "placement.h"

static size_t
host_members(void *ctx, const member_t **out)
{
	fleet_host_t *host = ctx;

	*out = host->members;
	return (host->fleet->host_count);
}

static const config_fleet_t *
host_settings(void *ctx)
{
	return (&((fleet_host_t *)ctx)->fleet->settings);
}

static double
host_now(void *ctx)
{
	return (((fleet_host_t *)ctx)->fleet->now);
}

static void
host_offer(void *ctx, const member_t *to, unsigned shard, bool query)
{
	fleet_host_t *host = ctx;
	fleet_t *fleet = host->fleet;

	if (fleet->offer_count ==
	    sizeof(fleet->offers) / sizeof(*fleet->offers))
		return;
	for (size_t i = 0; i < fleet->host_count; i++) {
		if (strcmp(fleet->hosts[i].name, to->name) != 0)
			continue;
		fleet->offers[fleet->offer_count++] = (fleet_offer_t){
		    .from = (size_t)(host - fleet->hosts),
		    .from_instance = host->instance,
		    .to = i,
		    .to_instance = to->instance,
		    .shard = shard,
		    .query = query,
		};
	}
}

static void
host_lost(void *ctx, unsigned shard)
{
	(void)shard;
	((fleet_host_t *)ctx)->lost++;
}

/* Makes a fleet whose hosts are all started and know each other. */
void
fleet_init(fleet_t *fleet, uint64_t seed, size_t hosts, unsigned shards)
{
	*fleet = (fleet_t){
	    .now = 1000,
	    .rng = rng_seeded(seed),
	    .log = log_memory_new(seed),
	    .shards = shards,
	    .host_count = hosts,
	    .settings =
		{
		    .shards = shards,
		    .append_budget = 200,
		    .retention_s = 86400,
		    .owner_check_ms = 2000,
		    .move_hold_s = 3,
		    .accept_timeout_ms = 10000,
		    .results_keep_s = 604800,
		    .key_lifetime_s = 86400,
		},
	};
	for (size_t i = 0; i < hosts; i++) {
		fleet->hosts[i].fleet = fleet;
		snprintf(fleet->hosts[i].name, sizeof(fleet->hosts[i].name),
		    "host-%zu", i);
	}
	for (size_t i = 0; i < hosts; i++)
		fleet_start(fleet, i);
	fleet_see_truth(fleet);
}

/* Starts a host's process; other hosts do not see it by themselves. */
void
fleet_start(fleet_t *fleet, size_t host)
{
	fleet_host_t *h = &fleet->hosts[host];

	h->instance = ++fleet->next_instance;
	h->up = true;
	h->frozen = false;
	h->handed_over = false;
	h->client = log_memory_client(fleet->log);
	h->owner = shard_owner_new(&(shard_owner_params_t){
	    .log = h->client,
	    .name = h->name,
	    .instance = h->instance,
	    .shards = fleet->shards,
	    .seed = rng_next(&fleet->rng),
	    .members = host_members,
	    .settings = host_settings,
	    .offer = host_offer,
	    .monotonic = host_now,
	    .wall = host_now,
	    .ctx = h,
	});
	shard_owner_set_events(
	    h->owner, &(shard_events_t){.on_shard_lost = host_lost, .ctx = h});
	for (size_t i = 0; i < fleet->host_count; i++)
		fleet_see(fleet, host, i, fleet->hosts[i].up);
}

/* Ends a process without a word; its open appends may still take effect. */
void
fleet_kill(fleet_t *fleet, size_t host)
{
	fleet_host_t *h = &fleet->hosts[host];

	if (!h->up)
		return;
	h->up = false;
	shard_owner_delete(h->owner);
	logclient_delete(h->client);
	h->owner = NULL;
	h->client = NULL;
}

/* Ends all processes and frees the log. */
void
fleet_free(fleet_t *fleet)
{
	for (size_t i = 0; i < fleet->host_count; i++)
		fleet_kill(fleet, i);
	log_memory_delete(fleet->log);
}

/* Stops a process for a while; time passes for all others. */
void
fleet_freeze(fleet_t *fleet, size_t host, bool frozen)
{
	if (!fleet->hosts[host].up)
		return;
	fleet->hosts[host].frozen = frozen;
	log_memory_pause(fleet->hosts[host].client, frozen);
}

/* Sets what one host believes about another. */
void
fleet_see(fleet_t *fleet, size_t viewer, size_t host, bool alive)
{
	const fleet_host_t *h = &fleet->hosts[host];
	member_t *member = &fleet->hosts[viewer].members[host];

	*member = (member_t){
	    .instance = h->instance,
	    .state = alive ? MEMBER_ALIVE : MEMBER_DEAD,
	    .ready = true,
	};
	str_copy(member->name, sizeof(member->name), str_of(h->name));
}

/* Lets every host see which hosts run and are not frozen. */
void
fleet_see_truth(fleet_t *fleet)
{
	for (size_t i = 0; i < fleet->host_count; i++)
		for (size_t j = 0; j < fleet->host_count; j++)
			fleet_see(fleet, i, j,
			    fleet->hosts[j].up &&
				(i == j || !fleet->hosts[j].frozen));
}

static void
deliver_offers(fleet_t *fleet)
{
	fleet_offer_t offers[64];
	size_t count = fleet->offer_count;

	memcpy(offers, fleet->offers, sizeof(offers));
	fleet->offer_count = 0;
	for (size_t i = 0; i < count; i++) {
		const fleet_offer_t *offer = &offers[i];
		fleet_host_t *to = &fleet->hosts[offer->to];

		if (!to->up || to->frozen || to->instance != offer->to_instance)
			continue;
		if (offer->query)
			shard_owner_queried(to->owner, offer->shard);
		else
			shard_owner_offered(to->owner, offer->shard,
			    fleet->hosts[offer->from].name,
			    offer->from_instance);
	}
}

static void
fleet_step(fleet_t *fleet)
{
	fleet->now += FLEET_STEP_S;
	for (size_t i = 0; i < fleet->host_count; i++)
		if (fleet->hosts[i].up && !fleet->hosts[i].frozen)
			shard_owner_tick(fleet->hosts[i].owner);
	deliver_offers(fleet);
	if (fleet->log_steps == 0) {
		log_memory_run(fleet->log);
	} else {
		for (unsigned i = 0; i < fleet->log_steps; i++)
			log_memory_step(fleet->log);
	}
	if (fleet->on_step != NULL)
		fleet->on_step(fleet);
}

/* Lets simulated time pass. */
void
fleet_run(fleet_t *fleet, double seconds)
{
	double end = fleet->now + seconds;

	while (fleet->now < end)
		fleet_step(fleet);
}

/* Lets time pass until a condition holds; returns whether it did. */
bool
fleet_run_until(
    fleet_t *fleet, bool (*condition)(fleet_t *fleet), double seconds)
{
	double end = fleet->now + seconds;

	while (!condition(fleet)) {
		if (fleet->now >= end)
			return (false);
		fleet_step(fleet);
	}
	return (true);
}

/* Returns a host that owns a shard, or FLEET_HOSTS. */
size_t
fleet_owner_of(const fleet_t *fleet, unsigned shard)
{
	for (size_t i = 0; i < fleet->host_count; i++)
		if (fleet->hosts[i].up && !fleet->hosts[i].frozen &&
		    shard_owner_owns(fleet->hosts[i].owner, shard))
			return (i);
	return (FLEET_HOSTS);
}

/* Returns how many hosts believe that they own a shard. */
size_t
fleet_owners(const fleet_t *fleet, unsigned shard)
{
	size_t count = 0;

	for (size_t i = 0; i < fleet->host_count; i++)
		count += fleet->hosts[i].up &&
			 shard_owner_owns(fleet->hosts[i].owner, shard);
	return (count);
}

/* Returns the host that placement names when all hosts live. */
size_t
fleet_placed(const fleet_t *fleet, unsigned shard)
{
	const member_t *members = fleet->hosts[0].members;
	char key[24];
	const member_t *pick;

	snprintf(key, sizeof(key), "shard-%u", shard);
	pick = placement_pick(members, fleet->host_count, str_of(key), NULL);
	return (pick != NULL ? (size_t)(pick - members) : FLEET_HOSTS);
}

/* Applies all records of a shard, expired ones too, to an empty state. */
void
fleet_audit(const fleet_t *fleet, unsigned shard, shard_t *out)
{
	char name[24];
	uint64_t next;

	snprintf(name, sizeof(name), "shard-%u", shard);
	shard_init(out);
	next = log_memory_next(fleet->log, str_of(name));
	for (uint64_t i = 1; i < next; i++)
		shard_apply(
		    out, i, log_memory_record(fleet->log, str_of(name), i));
}

/* Packs a whole job; returns the number of entries. */
size_t
fleet_encode_job(buf_t *out, const char *id, uint64_t upload, uint32_t items,
    uint32_t no_repeat_every)
{
	shard_job_t job = {.item_count = items, .upload = upload};
	size_t count = 2;

	str_copy(job.id, sizeof(job.id), str_of(id));
	str_copy(job.org, sizeof(job.org), STR("org"));
	shard_entry_job(out, &job);
	for (uint32_t i = 0; i < items; i++) {
		shard_item_line_t line = {
		    .line = STR("{\"model\":\"m\",\"prompt\":\"p\"}"),
		    .no_repeat =
			no_repeat_every > 0 && i % no_repeat_every == 0,
		};

		shard_entry_items(out, &job, i, &line, 1);
		count++;
	}
	shard_entry_sealed(out, &job);
	return (count);
}

/* Commits a job on a host that owns the shard. */
shard_change_t *
fleet_submit(fleet_t *fleet, size_t host, unsigned shard, const char *id,
    uint32_t items, shard_commit_cb_t on_commit, void *ctx)
{
	buf_t entries = {0};
	size_t count =
	    fleet_encode_job(&entries, id, rng_next(&fleet->rng), items, 3);
	shard_change_t *change = shard_owner_commit(fleet->hosts[host].owner,
	    shard, str_buf(&entries), count, true, on_commit, ctx);

	buf_free(&entries);
	return (change);
}
