/* Which way a call to the store takes: decisions without input or output. */
#ifndef DAISYPIER_STORE_PATH_H
#define DAISYPIER_STORE_PATH_H

#include <stdbool.h>

typedef enum store_way_t {
	STORE_WAY_DIRECT,
	STORE_WAY_PEER, /* through another host */
} store_way_t;

typedef struct store_path_t {
	unsigned failures;	/* direct ones in a row */
	unsigned peer_failures; /* in a row */
	bool out_of_contact;
	double probe_at;	    /* when to try the direct way again */
	double peers_useless_until; /* they cannot reach the store either */
} store_path_t;

store_way_t store_path_choose(const store_path_t *path, double now);
bool store_path_report_direct(store_path_t *path, bool answered, double now);
void store_path_report_peer(store_path_t *path, bool answered, double now);
bool store_path_probe_due(const store_path_t *path, double now);
void store_path_probed(store_path_t *path, double now);

#endif
