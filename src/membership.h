/* The table of hosts and the decisions of the failure detector. */
#ifndef DAISYPIER_MEMBERSHIP_H
#define DAISYPIER_MEMBERSHIP_H

#include "str.h"

typedef enum member_state_t {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_DEAD,
	MEMBER_LEFT, /* stopped as planned */
} member_state_t;

typedef struct member_t {
	char name[64];
	char address[48]; /* IP number without a port */
	char zone[64];
	char site[64];
	uint64_t instance; /* random number of one process start */
	uint32_t incarnation;
	member_state_t state;
	bool ready;
	bool leaving;
	uint64_t config_version;
} member_t;

typedef struct membership_t membership_t;

size_t membership_members(const membership_t *m, const member_t **out);
const member_t *membership_self(const membership_t *m);
const member_t *membership_find(const membership_t *m, str_t name);
bool member_is_living(const member_t *member);
size_t membership_living(const membership_t *m);
void membership_set_ready(membership_t *m, bool ready);
void membership_set_leaving(membership_t *m, bool leaving);
void membership_set_config_version(membership_t *m, uint64_t version);
void membership_on_change(
    membership_t *m, void (*on_change)(void *ctx), void *ctx);

#endif
