/* Authentication of UDP datagrams between hosts and protection from replays. */
#ifndef DAISYPIER_DATAGRAM_H
#define DAISYPIER_DATAGRAM_H

#include "str.h"

/* version, instance, counter, tag */
#define DATAGRAM_HEADER_SIZE (1 + 8 + 8 + 16)

typedef struct datagram_key_t {
	uint8_t bytes[32];
} datagram_key_t;

/* Why a datagram was dropped. */
typedef enum datagram_verdict_t {
	DATAGRAM_VALID,
	DATAGRAM_MALFORMED,
	DATAGRAM_WRONG_KEY,
	DATAGRAM_REPLAYED, /* the sender's counter was seen or is too old */
} datagram_verdict_t;

typedef struct datagram_guard_t datagram_guard_t;

void datagram_key_init(datagram_key_t *key, str_t shared_key);
void datagram_seal(const datagram_key_t *key, uint64_t instance,
    uint64_t counter, str_t payload, buf_t *out);
datagram_verdict_t datagram_open(const datagram_key_t *key,
    datagram_guard_t *guard, str_t datagram, str_t *payload);

datagram_guard_t *datagram_guard_new(void);
void datagram_guard_delete(datagram_guard_t *guard);
bool datagram_guard_accept(
    datagram_guard_t *guard, uint64_t instance, uint64_t counter);

#endif
