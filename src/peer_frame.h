/* Frames of the protocol between hosts: length, authentication tag, payload. */
#ifndef DAISYPIER_PEER_FRAME_H
#define DAISYPIER_PEER_FRAME_H

#include <sodium.h>

#include "str.h"

#define PEER_NONCE_SIZE	       24
#define PEER_PAYLOAD_MAX_BYTES (8U << 20)

/* Authentication state of one connection. */
typedef struct peer_session_t {
	uint8_t own_nonce[PEER_NONCE_SIZE];
	uint8_t key[crypto_generichash_KEYBYTES];
	uint64_t frames_sent;
	uint64_t frames_received;
	bool initiator;
	bool has_key; /* the remote nonce has arrived */
} peer_session_t;

void peer_session_init(peer_session_t *session, bool initiator);
void peer_session_derive_key(
    peer_session_t *session, str_t shared_key, const uint8_t *remote_nonce);
void peer_frame_encode(peer_session_t *session, str_t payload, buf_t *out);
int peer_frame_decode(
    peer_session_t *session, str_t input, str_t *payload, size_t *consumed);

#endif
