/* Exchanges the evidence on crashing parts of prompts between hosts. */
#ifndef DAISYPIER_QUARANTINE_NET_H
#define DAISYPIER_QUARANTINE_NET_H

#include "membership.h"
#include "peer.h"
#include "prompt_parts.h"
#include "quarantine_record.h"

typedef struct quarantine_net_t quarantine_net_t;

typedef struct quarantine_net_params_t {
	struct ev_loop *loop;
	peer_t *peer;
	const char *host; /* name of this host */
	/* Returns all known hosts, including this one. */
	size_t (*members)(void *ctx, const member_t **out);
	/* Returns when an endpoint started, in ms; 0 if that is unknown. */
	uint64_t (*endpoint_started_ms)(void *ctx, const char *endpoint);
	/* A part is held back; requests that wait may have it. */
	void (*on_held)(void *ctx);
	/* The evidence has changed; may be NULL. */
	void (*on_changed)(void *ctx);
	void *ctx;
} quarantine_net_params_t;

quarantine_net_t *quarantine_net_new(const quarantine_net_params_t *params);
void quarantine_net_delete(quarantine_net_t *net);

bool quarantine_net_admits(const quarantine_net_t *net,
    const prompt_parts_t *parts, part_hold_t *hold);
void quarantine_net_begin(quarantine_net_t *net, const prompt_parts_t *parts);
void quarantine_net_disconnected(quarantine_net_t *net,
    const prompt_parts_t *parts, const char *endpoint, const char *address);
void quarantine_net_answered(quarantine_net_t *net, const prompt_parts_t *parts,
    const char *endpoint, double started_at);

void quarantine_net_merge(
    quarantine_net_t *net, const quarantine_record_t *record);
size_t quarantine_net_suspects(const quarantine_net_t *net,
    const quarantine_record_t **records, size_t max);

#endif
