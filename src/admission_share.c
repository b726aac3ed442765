/*
 * Shares of organisations and zones, and the guard against starvation.
 *
 * Load pattern: lasting overload, in which the order by priority and weight
 * would leave some organisations or zones nothing.
 */
#include "admission_state.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define MOVING_RATE_S 1.0
/* Hosts of more zones are not guarded against starvation. */
#define MAX_ZONES 16

/* Returns the events per second. */
double
moving_rate_at(const moving_rate_t *rate, double now)
{
	return (rate->rate > 0
		    ? rate->rate * exp((rate->updated_at - now) / MOVING_RATE_S)
		    : 0);
}

/* Notes one event. */
void
moving_rate_add(moving_rate_t *rate, double now)
{
	rate->rate = moving_rate_at(rate, now) + 1 / MOVING_RATE_S;
	rate->updated_at = now;
}

/* Returns whether a request had a slot before and failed there. */
bool
slot_grant_admitted_before(const slot_grant_t *grant)
{
	return (grant->avoid[0] != '\0');
}

/* Returns the zone of a request; NULL if it is unknown. */
static slot_zone_t *
zone_find_or_create(admission_t *a, const char *name)
{
	slot_zone_t *zone;
	unsigned count = 0;

	LIST_FOREACH (zone, &a->zones, entry) {
		if (strcmp(zone->name, name) == 0)
			return (zone);
		count++;
	}
	if (name[0] == '\0' || count >= MAX_ZONES)
		return (NULL);
	zone = xcalloc(1, sizeof(*zone));
	str_copy(zone->name, sizeof(zone->name), str_of(name));
	LIST_INSERT_HEAD(&a->zones, zone, entry);
	return (zone);
}

/* Counts an online request that is within its limits. */
void
admission_fair_demand(admission_t *a, const slot_grant_t *grant, double now)
{
	slot_org_t *org = grant->org;
	slot_zone_t *zone = zone_find_or_create(a, grant->zone);

	org->priority = grant->priority;
	/* Promises are counted by themselves. */
	if (!grant->is_return && !grant->gives_way)
		moving_rate_add(&org->arrivals, now);
	/* One that returns was counted before. */
	if (grant->is_return)
		return;
	served_share_add_demand(&a->share, now);
	served_share_add_demand(&org->share, now);
	if (zone != NULL)
		served_share_add_demand(&zone->share, now);
}

/* Counts an online request that gets a slot. */
void
admission_fair_served(admission_t *a, const slot_grant_t *grant, double now)
{
	slot_zone_t *zone;

	if (!a->settings.by_priority || grant->class != GRANT_ONLINE ||
	    slot_grant_admitted_before(grant))
		return;
	zone = zone_find_or_create(a, grant->zone);
	served_share_add_served(&a->share, now);
	served_share_add_served(&grant->org->share, now);
	if (zone != NULL)
		served_share_add_served(&zone->share, now);
}

/* Returns how many slots the group of a request lacks; 0: not starved. */
unsigned
slot_grant_starvation(admission_t *a, const slot_grant_t *grant, double now)
{
	slot_zone_t *zone = zone_find_or_create(a, grant->zone);
	unsigned org_lacks =
	    served_share_deficit(&grant->org->share, &a->share, now);
	unsigned zone_lacks =
	    zone != NULL ? served_share_deficit(&zone->share, &a->share, now)
			 : 0;

	return (org_lacks > zone_lacks ? org_lacks : zone_lacks);
}

/* Returns the first request of a queue that can be on time, or NULL. */
static slot_grant_t *
first_on_time(const admission_t *a, const wait_queue_t *queue,
    const slot_zone_t *zone, double now)
{
	wait_entry_t *entry;

	for (entry = wait_queue_first(queue); entry != NULL;
	     entry = wait_queue_next(entry)) {
		slot_grant_t *grant = slot_grant_of_wait_entry(entry);

		if (!entry->late &&
		    !slot_holder_is_silent(a, grant->holder, now) &&
		    (zone == NULL || strcmp(grant->zone, zone->name) == 0))
			return (grant);
	}
	return (NULL);
}

/*
 * Returns the request to serve next so that its organisation or zone is not
 * starved, or NULL. Of several the one whose group was served the least.
 */
slot_grant_t *
admission_fair_starved(admission_t *a, double now)
{
	slot_grant_t *best = NULL;
	double best_fraction = INFINITY;
	slot_org_t *org;
	slot_zone_t *zone;

	LIST_FOREACH (org, &a->orgs, entry) {
		double fraction;
		slot_grant_t *grant;

		if (org->queue[GRANT_ONLINE].count == 0 ||
		    served_share_deficit(&org->share, &a->share, now) == 0)
			continue;
		fraction = served_share_fraction(&org->share, now);
		grant =
		    fraction < best_fraction
			? first_on_time(a, &org->queue[GRANT_ONLINE], NULL, now)
			: NULL;
		if (grant != NULL) {
			best = grant;
			best_fraction = fraction;
		}
	}
	LIST_FOREACH (zone, &a->zones, entry) {
		double fraction = served_share_fraction(&zone->share, now);

		if (fraction >= best_fraction ||
		    served_share_deficit(&zone->share, &a->share, now) == 0)
			continue;
		LIST_FOREACH (org, &a->orgs, entry) {
			slot_grant_t *grant = first_on_time(
			    a, &org->queue[GRANT_ONLINE], zone, now);

			if (grant != NULL) {
				best = grant;
				best_fraction = fraction;
				break;
			}
		}
	}
	return (best);
}

/* Counts a request that was served out of order. */
void
admission_fair_served_starved(admission_t *a, double now)
{
	admission_count(a, FAIR_STARVED);
	moving_rate_add(&a->starved_grants, now);
}
