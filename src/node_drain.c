/* A planned stop: no new callers, work handed over, every request answered. */
#include "clock.h"
#include "logger.h"
#include "node_state.h"

/* Callers that asked just before the stop may connect a little later. */
#define ENTRIES_MARGIN_S 1.0
/*
 * Shards that cannot be handed over while the log service is out are left to
 * the next owners, which claim them once this host has left.
 */
#define HAND_OVER_LIMIT_S 15.0

static void
on_handed_over(void *ctx)
{
	node_t *node = ctx;

	node->handed_over = true;
}

/* Returns whether nothing that a caller waits for is left on this host. */
static bool
node_idle(const node_t *node)
{
	return (httpd_open_requests(node->callers) == 0 &&
		(node->grants == NULL || grants_open_count(node->grants) == 0));
}

/*
 * Moves a planned stop on: accept while callers may still hold this host's
 * address, then hand over the shards, then wait for the last request.
 */
void
node_drain_step(node_t *node)
{
	double now = clock_monotonic();

	if (!node->handing_over && now >= node->stop_accepting_at) {
		node->handing_over = true;
		httpd_set_closing(node->callers);
		if (node->owner != NULL)
			shard_owner_hand_over(
			    node->owner, on_handed_over, node);
		else
			node->handed_over = true;
		LOG_INFO("drain_hand_over", "open_requests=%zu",
		    httpd_open_requests(node->callers));
	}
	if (node->handing_over && !node->handed_over &&
	    now >= node->stop_accepting_at + HAND_OVER_LIMIT_S) {
		node->handed_over = true;
		LOG_WARN("drain_hand_over_abandoned", "host=%s",
		    node->settings->name);
	}
	if (!node->handed_over || !node_idle(node)) {
		if (node->cut_off_at == 0 || now < node->cut_off_at)
			return;
		LOG_WARN("drain_cut_off", "open_requests=%zu",
		    httpd_open_requests(node->callers));
	}
	httpd_stop_accepting(node->callers);
	node->stopped = true;
	membership_net_stop(node->membership);
	ev_timer_stop(node->loop, &node->refresh);
	LOG_INFO("drain_done", "host=%s", node->settings->name);
	node->on_stopped(node->on_stopped_ctx);
}

/* Begins a planned stop; a second call has no effect. */
void
node_drain(node_t *node, void (*on_stopped)(void *ctx), void *ctx)
{
	const fleet_config_t *config = config_store_current(node->config);
	double keep = config != NULL ? config->fleet.entries_keep_s : 0;
	double now = clock_monotonic();

	if (node->draining)
		return;
	node->draining = true;
	node->on_stopped = on_stopped;
	node->on_stopped_ctx = ctx;
	node->stop_accepting_at =
	    node->serving ? now + keep + ENTRIES_MARGIN_S : now;
	if (node->settings->stop_timeout_s > 0)
		node->cut_off_at = now + node->settings->stop_timeout_s;
	membership_set_leaving(node_members(node), true);
	audit_write(node->audit, &(audit_entry_t){
				     .actor = str_of(node->settings->name),
				     .action = STR("drain_begin"),
				     .subject = str_of(node->settings->name),
				     .outcome = STR("accepted"),
				 });
	LOG_INFO("drain_begin", "host=%s accept_s=%g", node->settings->name,
	    node->stop_accepting_at - now);
}
