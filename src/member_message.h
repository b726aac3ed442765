/* Encoding and decoding of membership messages. */
#ifndef DAISYPIER_MEMBER_MESSAGE_H
#define DAISYPIER_MEMBER_MESSAGE_H

#include "member_table.h"

/* Bytes; the rest of the datagram is for the header of datagram.h. */
#define MEMBER_MESSAGE_MAX (MEMBERSHIP_MAX_DATAGRAM - 40)

typedef enum member_message_type_t {
	MEMBER_PING = 1,
	MEMBER_PING_REQ = 2, /* the receiver is to probe the target */
	MEMBER_ACK = 3,
	MEMBER_NACK = 4, /* target unknown or silent */
	MEMBER_SYNC = 5, /* digest or records of the member table */
} member_message_type_t;

typedef struct member_message_t {
	member_message_type_t type;
	uint32_t seq;
	char target[64]; /* member that is probed or answered; may be empty */
	bool has_digest;
	bool is_answer; /* the digest is the reply to one */
	uint32_t digest[MEMBER_DIGEST_BUCKETS];
	member_t updates[MEMBERSHIP_MAX_UPDATES]; /* sender's first */
	size_t update_count;
} member_message_t;

size_t member_message_encode(const member_message_t *message, buf_t *out);
int member_message_decode(str_t datagram, member_message_t *out);

#endif
