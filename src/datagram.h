/* Authentication and replay protection of UDP datagrams between hosts. */
#ifndef DAISYPIER_DATAGRAM_H
#define DAISYPIER_DATAGRAM_H

#include "str.h"

/* Version, sender instance, counter and authentication tag. */
#define DATAGRAM_HEADER_SIZE (1 + 8 + 8 + 16)

typedef struct datagram_key_t {
	uint8_t bytes[32];
} datagram_key_t;

/* Result of the checks of a datagram; all but VALID mean that it is dropped. */
typedef enum datagram_verdict_t {
	DATAGRAM_VALID,
	DATAGRAM_MALFORMED,
	DATAGRAM_WRONG_KEY,
	DATAGRAM_REPLAYED, /* counter already seen or too old */
} datagram_verdict_t;

/* Remembers the counters received from each sender. */
typedef struct replay_filter_t replay_filter_t;

void datagram_key_init(datagram_key_t *key, str_t shared_key);
void datagram_seal(const datagram_key_t *key, uint64_t instance,
    uint64_t counter, str_t payload, buf_t *out);
datagram_verdict_t datagram_open(const datagram_key_t *key,
    replay_filter_t *filter, str_t datagram, str_t *payload);

replay_filter_t *replay_filter_new(void);
void replay_filter_delete(replay_filter_t *filter);
bool replay_filter_accept(
    replay_filter_t *filter, uint64_t instance, uint64_t counter);

#endif
