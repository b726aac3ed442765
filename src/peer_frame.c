/* Frames of the protocol between hosts: length, authentication tag, payload. */
#include "peer_frame.h"

#include <string.h>

#include "result.h"

#define LENGTH_SIZE 4
#define TAG_SIZE    16

/*
 * The tag covers the direction and the sequence number of the frame, which
 * prevents replay and reflection of recorded frames.
 */
static void
compute_frame_tag(const peer_session_t *session, bool from_initiator,
    uint64_t number, str_t payload, uint8_t tag[TAG_SIZE])
{
	crypto_generichash_state state;
	uint8_t header[9];

	header[0] = from_initiator ? 1 : 0;
	memcpy(header + 1, &number, sizeof(number));
	crypto_generichash_init(
	    &state, session->key, sizeof(session->key), TAG_SIZE);
	crypto_generichash_update(&state, header, sizeof(header));
	crypto_generichash_update(
	    &state, (const uint8_t *)payload.data, payload.len);
	crypto_generichash_final(&state, tag, TAG_SIZE);
}

/* Initialises a session with a random nonce. */
void
peer_session_init(peer_session_t *session, bool initiator)
{
	*session = (peer_session_t){.initiator = initiator};
	randombytes_buf(session->own_nonce, PEER_NONCE_SIZE);
}

/* Derives the session key from the shared key and the nonces of both sides. */
void
peer_session_derive_key(
    peer_session_t *session, str_t shared_key, const uint8_t *remote_nonce)
{
	crypto_generichash_state state;
	const uint8_t *first =
	    session->initiator ? session->own_nonce : remote_nonce;
	const uint8_t *second =
	    session->initiator ? remote_nonce : session->own_nonce;

	crypto_generichash_init(&state, NULL, 0, sizeof(session->key));
	crypto_generichash_update(
	    &state, (const uint8_t *)shared_key.data, shared_key.len);
	crypto_generichash_update(&state, first, PEER_NONCE_SIZE);
	crypto_generichash_update(&state, second, PEER_NONCE_SIZE);
	crypto_generichash_final(&state, session->key, sizeof(session->key));
	session->has_key = true;
}

/* Appends a frame; the payload has at most PEER_PAYLOAD_MAX_BYTES. */
void
peer_frame_encode(peer_session_t *session, str_t payload, buf_t *out)
{
	uint8_t tag[TAG_SIZE];
	uint32_t length = (uint32_t)payload.len;
	char header[LENGTH_SIZE] = {(char)(length >> 24), (char)(length >> 16),
	    (char)(length >> 8), (char)length};

	compute_frame_tag(
	    session, session->initiator, session->frames_sent++, payload, tag);
	buf_append(out, (str_t){header, sizeof(header)});
	buf_append(out, (str_t){(const char *)tag, sizeof(tag)});
	buf_append(out, payload);
}

/*
 * Decodes the first frame of the input. Returns 0 and sets consumed to the size
 * of the frame, or to 0 if the frame is incomplete. Returns -RESULT_BAD_REQUEST
 * if the payload is too long and -RESULT_UNAUTHORIZED if the tag is wrong.
 */
int
peer_frame_decode(
    peer_session_t *session, str_t input, str_t *payload, size_t *consumed)
{
	const uint8_t *in = (const uint8_t *)input.data;
	uint8_t tag[TAG_SIZE];
	size_t length;

	*consumed = 0;
	if (input.len < LENGTH_SIZE + TAG_SIZE)
		return (0);
	length = (size_t)in[0] << 24 | (size_t)in[1] << 16 |
		 (size_t)in[2] << 8 | (size_t)in[3];
	if (length > PEER_PAYLOAD_MAX_BYTES)
		return (-RESULT_BAD_REQUEST);
	if (input.len < LENGTH_SIZE + TAG_SIZE + length)
		return (0);
	*payload = (str_t){input.data + LENGTH_SIZE + TAG_SIZE, length};
	compute_frame_tag(session, !session->initiator,
	    session->frames_received++, *payload, tag);
	if (sodium_memcmp(tag, in + LENGTH_SIZE, TAG_SIZE) != 0)
		return (-RESULT_UNAUTHORIZED);
	*consumed = LENGTH_SIZE + TAG_SIZE + length;
	return (0);
}
