/*
 * Which way a call to the store takes.
 *
 * It answers a store that turns some hosts away, or a network that cuts them
 * off from it, while it serves the others: a host that gets no answers has its
 * calls made by another host, and tries the direct way once a second. When the
 * other hosts get no answers either, the store is out and the direct way is as
 * good as any.
 */
#include "store_path.h"

/* Direct calls in a row without an answer before other hosts are asked. */
#define FAILURES_OUT_OF_CONTACT 2
/* Calls in a row that other hosts could not make before the store is out. */
#define PEER_FAILURES_USELESS 3
#define PROBE_INTERVAL_S      1.0
#define PEERS_USELESS_S	      1.0

/* Returns the way for a call that begins now. */
store_way_t
store_path_choose(const store_path_t *path, double now)
{
	return (path->out_of_contact && now >= path->peers_useless_until
		    ? STORE_WAY_PEER
		    : STORE_WAY_DIRECT);
}

/*
 * Takes in whether the store answered a direct call, in whatever way but a
 * refusal. Returns whether the contact was lost or regained by that.
 */
bool
store_path_report_direct(store_path_t *path, bool answered, double now)
{
	bool before = path->out_of_contact;

	if (answered) {
		path->failures = 0;
		path->out_of_contact = false;
	} else if (++path->failures >= FAILURES_OUT_OF_CONTACT && !before) {
		path->out_of_contact = true;
		path->probe_at = now + PROBE_INTERVAL_S;
		path->peer_failures = 0;
		path->peers_useless_until = 0;
	}
	return (path->out_of_contact != before);
}

/* Takes in whether another host got an answer for this one. */
void
store_path_report_peer(store_path_t *path, bool answered, double now)
{
	if (answered) {
		path->peer_failures = 0;
		return;
	}
	if (++path->peer_failures < PEER_FAILURES_USELESS)
		return;
	path->peer_failures = 0;
	path->peers_useless_until = now + PEERS_USELESS_S;
}

/* Whether the direct way should be tried now. */
bool
store_path_probe_due(const store_path_t *path, double now)
{
	return (path->out_of_contact && now >= path->probe_at);
}

/* The direct way is being tried. */
void
store_path_probed(store_path_t *path, double now)
{
	path->probe_at = now + PROBE_INTERVAL_S;
}
