/* Chooses the path of a call to the store; pure logic without I/O. */
#ifndef DAISYPIER_STORE_PATH_H
#define DAISYPIER_STORE_PATH_H

#include <stdbool.h>

typedef enum store_path_kind_t {
	STORE_PATH_DIRECT,
	STORE_PATH_PEER, /* relayed by another host */
} store_path_kind_t;

typedef struct store_path_t {
	unsigned direct_failures; /* consecutive */
	unsigned peer_failures;	  /* consecutive */
	bool disconnected;	  /* the store does not answer direct calls */
	double next_probe_at;	  /* when to try the direct path again */
	double skip_peers_until;  /* they cannot reach the store either */
} store_path_t;

store_path_kind_t store_path_choose(const store_path_t *path, double now);
bool store_path_report_direct(store_path_t *path, bool responded, double now);
void store_path_report_peer(store_path_t *path, bool responded, double now);
bool store_path_probe_due(const store_path_t *path, double now);
void store_path_probe_started(store_path_t *path, double now);

#endif
