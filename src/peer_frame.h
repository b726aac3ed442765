/* Frames of the protocol between hosts: length, keyed hash, payload. */
#ifndef DAISYPIER_PEER_FRAME_H
#define DAISYPIER_PEER_FRAME_H

#include <sodium.h>

#include "str.h"

#define PEER_NONCE_SIZE 24
#define PEER_FRAME_MAX	(8U << 20)

/* State of one connection's authentication. */
typedef struct peer_session_t {
	uint8_t own_nonce[PEER_NONCE_SIZE];
	uint8_t key[crypto_generichash_KEYBYTES];
	uint64_t sent;	   /* frames sent */
	uint64_t received; /* frames received */
	bool initiator;
	bool ready; /* the other side's nonce has arrived */
} peer_session_t;

void peer_session_init(peer_session_t *session, bool initiator);
void peer_session_accept(
    peer_session_t *session, str_t shared_key, const uint8_t *other_nonce);
void peer_frame_encode(peer_session_t *session, str_t payload, buf_t *out);
int peer_frame_decode(
    peer_session_t *session, str_t input, str_t *payload, size_t *consumed);

#endif
