/*
 * Chooses the path of a call to the store.
 *
 * Some hosts may be unable to reach the store, because it rejects them or the
 * network between is down, while other hosts still can. Such a host has its
 * calls relayed by another host and probes the direct path once a second. If
 * the other hosts cannot reach the store either, there is an outage, and calls
 * take the direct path for a second, since relaying gains nothing.
 */
#include "store_path.h"

/* Consecutive unanswered direct calls before calls are relayed. */
#define FAILURES_TO_DISCONNECT 2
/* Consecutive unanswered relayed calls before relaying is suspended. */
#define PEER_FAILURES_TO_SKIP 3
#define PROBE_INTERVAL_S      1.0
#define SKIP_PEERS_S	      1.0

/* Returns the path for a call that starts now. */
store_path_kind_t
store_path_choose(const store_path_t *path, double now)
{
	return (path->disconnected && now >= path->skip_peers_until
		    ? STORE_PATH_PEER
		    : STORE_PATH_DIRECT);
}

/*
 * Records whether the store answered a direct call; a rejection does not count
 * as an answer. Returns whether this changed the disconnected state.
 */
bool
store_path_report_direct(store_path_t *path, bool responded, double now)
{
	bool was_disconnected = path->disconnected;

	if (responded) {
		path->direct_failures = 0;
		path->disconnected = false;
	} else if (++path->direct_failures >= FAILURES_TO_DISCONNECT &&
		   !was_disconnected) {
		path->disconnected = true;
		path->next_probe_at = now + PROBE_INTERVAL_S;
		path->peer_failures = 0;
		path->skip_peers_until = 0;
	}
	return (path->disconnected != was_disconnected);
}

/* Records whether the store answered a call that another host relayed. */
void
store_path_report_peer(store_path_t *path, bool responded, double now)
{
	if (responded) {
		path->peer_failures = 0;
		return;
	}
	if (++path->peer_failures < PEER_FAILURES_TO_SKIP)
		return;
	path->peer_failures = 0;
	path->skip_peers_until = now + SKIP_PEERS_S;
}

/* Returns whether the direct path should be probed now. */
bool
store_path_probe_due(const store_path_t *path, double now)
{
	return (path->disconnected && now >= path->next_probe_at);
}

/* Records that a probe of the direct path was started. */
void
store_path_probe_started(store_path_t *path, double now)
{
	path->next_probe_at = now + PROBE_INTERVAL_S;
}
