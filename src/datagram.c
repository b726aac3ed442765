/* Authentication of UDP datagrams between hosts and protection from replays. */
#include "datagram.h"

#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#define DATAGRAM_VERSION 1
#define TAG_SIZE	 16
#define TAG_OFFSET	 (DATAGRAM_HEADER_SIZE - TAG_SIZE)
/* Datagrams may overtake each other by fewer than this many. */
#define WINDOW 64
/*
 * Senders remembered; the one unheard for the longest time makes room. A day at
 * full scale brings about 2,700 process starts, and a replayed datagram of a
 * forgotten sender carries an incarnation that has long been superseded.
 */
#define GUARD_SENDERS 4096

/* What was received from one process. */
typedef struct sender_t {
	uint64_t instance;
	uint64_t highest;
	uint64_t seen; /* bit N: highest - N was received */
	uint64_t used; /* order of use */
} sender_t;

struct datagram_guard_t {
	sender_t *senders;
	size_t count;
	size_t cap;
	uint64_t clock;
};

/* Derives the key of datagrams, which no other kind of message uses. */
void
datagram_key_init(datagram_key_t *key, str_t shared_key)
{
	static const char purpose[] = "daisypier membership datagram";
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, sizeof(key->bytes));
	crypto_generichash_update(
	    &state, (const uint8_t *)purpose, sizeof(purpose));
	crypto_generichash_update(
	    &state, (const uint8_t *)shared_key.data, shared_key.len);
	crypto_generichash_final(&state, key->bytes, sizeof(key->bytes));
}

static void
put_u64(uint8_t *out, uint64_t value)
{
	for (int i = 7; i >= 0; i--) {
		out[i] = (uint8_t)value;
		value >>= 8;
	}
}

static uint64_t
get_u64(const uint8_t *in)
{
	uint64_t value = 0;

	for (int i = 0; i < 8; i++)
		value = value << 8 | in[i];
	return (value);
}

static void
compute_tag(const datagram_key_t *key, const uint8_t head[TAG_OFFSET],
    str_t payload, uint8_t tag[TAG_SIZE])
{
	crypto_generichash_state state;

	crypto_generichash_init(
	    &state, key->bytes, sizeof(key->bytes), TAG_SIZE);
	crypto_generichash_update(&state, head, TAG_OFFSET);
	crypto_generichash_update(
	    &state, (const uint8_t *)payload.data, payload.len);
	crypto_generichash_final(&state, tag, TAG_SIZE);
}

/*
 * Appends an authenticated datagram. The counter must be greater than in all
 * earlier datagrams of this instance.
 */
void
datagram_seal(const datagram_key_t *key, uint64_t instance, uint64_t counter,
    str_t payload, buf_t *out)
{
	uint8_t header[DATAGRAM_HEADER_SIZE] = {DATAGRAM_VERSION};

	put_u64(header + 1, instance);
	put_u64(header + 9, counter);
	compute_tag(key, header, payload, header + TAG_OFFSET);
	buf_append(out, (str_t){(const char *)header, sizeof(header)});
	buf_append(out, payload);
}

/*
 * Checks a datagram and gives a view of its payload. The guard learns only from
 * datagrams whose key is right.
 */
datagram_verdict_t
datagram_open(const datagram_key_t *key, datagram_guard_t *guard,
    str_t datagram, str_t *payload)
{
	const uint8_t *in = (const uint8_t *)datagram.data;
	uint8_t tag[TAG_SIZE];

	if (datagram.len < DATAGRAM_HEADER_SIZE || in[0] != DATAGRAM_VERSION)
		return (DATAGRAM_MALFORMED);
	*payload = (str_t){
	    datagram.data + DATAGRAM_HEADER_SIZE,
	    datagram.len - DATAGRAM_HEADER_SIZE,
	};
	compute_tag(key, in, *payload, tag);
	if (sodium_memcmp(tag, in + TAG_OFFSET, TAG_SIZE) != 0)
		return (DATAGRAM_WRONG_KEY);
	if (!datagram_guard_accept(guard, get_u64(in + 1), get_u64(in + 9)))
		return (DATAGRAM_REPLAYED);
	return (DATAGRAM_VALID);
}

/* Makes a guard that has seen nothing. */
datagram_guard_t *
datagram_guard_new(void)
{
	return (xcalloc(1, sizeof(datagram_guard_t)));
}

/* Frees a guard. */
void
datagram_guard_delete(datagram_guard_t *guard)
{
	free(guard->senders);
	free(guard);
}

/* Returns the place for a new sender. */
static sender_t *
guard_place(datagram_guard_t *guard)
{
	sender_t *oldest;

	if (guard->count < GUARD_SENDERS) {
		if (guard->count == guard->cap) {
			guard->cap = guard->cap > 0 ? guard->cap * 2 : 64;
			guard->senders = xrealloc(guard->senders,
			    guard->cap * sizeof(*guard->senders));
		}
		return (&guard->senders[guard->count++]);
	}
	oldest = &guard->senders[0];
	for (size_t i = 1; i < guard->count; i++)
		if (guard->senders[i].used < oldest->used)
			oldest = &guard->senders[i];
	return (oldest);
}

/*
 * Returns whether a counter of an instance is new, and remembers it. Counters
 * below the window count as seen.
 */
bool
datagram_guard_accept(
    datagram_guard_t *guard, uint64_t instance, uint64_t counter)
{
	sender_t *sender = NULL;
	uint64_t age;

	for (size_t i = 0; i < guard->count && sender == NULL; i++)
		if (guard->senders[i].instance == instance)
			sender = &guard->senders[i];
	if (sender == NULL) {
		sender = guard_place(guard);
		*sender = (sender_t){.instance = instance, .highest = counter};
	}
	sender->used = ++guard->clock;
	if (counter > sender->highest) {
		uint64_t ahead = counter - sender->highest;

		sender->seen = ahead < WINDOW ? sender->seen << ahead : 0;
		sender->highest = counter;
	}
	age = sender->highest - counter;
	if (age >= WINDOW || (sender->seen >> age & 1) != 0)
		return (false);
	sender->seen |= UINT64_C(1) << age;
	return (true);
}
