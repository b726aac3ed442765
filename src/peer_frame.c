/* Frames of the protocol between hosts: length, keyed hash, payload. */
#include "peer_frame.h"

#include <string.h>

#include "result.h"

#define LENGTH_SIZE 4
#define TAG_SIZE    16

/*
 * The hash covers the direction and the frame's number, so that a recorded
 * frame can neither be sent again nor be reflected to its sender.
 */
static void
frame_tag(const peer_session_t *session, bool from_initiator, uint64_t number,
    str_t payload, uint8_t tag[TAG_SIZE])
{
	crypto_generichash_state state;
	uint8_t head[9];

	head[0] = from_initiator ? 1 : 0;
	memcpy(head + 1, &number, sizeof(number));
	crypto_generichash_init(
	    &state, session->key, sizeof(session->key), TAG_SIZE);
	crypto_generichash_update(&state, head, sizeof(head));
	crypto_generichash_update(
	    &state, (const uint8_t *)payload.data, payload.len);
	crypto_generichash_final(&state, tag, TAG_SIZE);
}

/* Prepares a connection's session with a nonce of its own. */
void
peer_session_init(peer_session_t *session, bool initiator)
{
	*session = (peer_session_t){.initiator = initiator};
	randombytes_buf(session->own_nonce, PEER_NONCE_SIZE);
}

/* Derives the session's key from the shared one and the two nonces. */
void
peer_session_accept(
    peer_session_t *session, str_t shared_key, const uint8_t *other_nonce)
{
	crypto_generichash_state state;
	const uint8_t *first =
	    session->initiator ? session->own_nonce : other_nonce;
	const uint8_t *second =
	    session->initiator ? other_nonce : session->own_nonce;

	crypto_generichash_init(&state, NULL, 0, sizeof(session->key));
	crypto_generichash_update(
	    &state, (const uint8_t *)shared_key.data, shared_key.len);
	crypto_generichash_update(&state, first, PEER_NONCE_SIZE);
	crypto_generichash_update(&state, second, PEER_NONCE_SIZE);
	crypto_generichash_final(&state, session->key, sizeof(session->key));
	session->ready = true;
}

/* Appends the frame of a payload of at most PEER_FRAME_MAX bytes. */
void
peer_frame_encode(peer_session_t *session, str_t payload, buf_t *out)
{
	uint8_t tag[TAG_SIZE];
	uint32_t length = (uint32_t)payload.len;
	char head[LENGTH_SIZE] = {(char)(length >> 24), (char)(length >> 16),
	    (char)(length >> 8), (char)length};

	frame_tag(session, session->initiator, session->sent++, payload, tag);
	buf_append(out, (str_t){head, sizeof(head)});
	buf_append(out, (str_t){(const char *)tag, sizeof(tag)});
	buf_append(out, payload);
}

/*
 * Takes one frame from the input. Returns 0 and the bytes consumed, which are 0
 * while the frame is incomplete, or -RESULT_BAD_REQUEST for an overlong one and
 * -RESULT_UNAUTHORIZED for a wrong hash.
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
	if (length > PEER_FRAME_MAX)
		return (-RESULT_BAD_REQUEST);
	if (input.len < LENGTH_SIZE + TAG_SIZE + length)
		return (0);
	*payload = (str_t){input.data + LENGTH_SIZE + TAG_SIZE, length};
	frame_tag(
	    session, !session->initiator, session->received++, *payload, tag);
	if (sodium_memcmp(tag, in + LENGTH_SIZE, TAG_SIZE) != 0)
		return (-RESULT_UNAUTHORIZED);
	*consumed = LENGTH_SIZE + TAG_SIZE + length;
	return (0);
}
