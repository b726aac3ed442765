/* Authentication and replay protection of UDP datagrams between hosts. */
#include "datagram.h"

#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#define DATAGRAM_VERSION 1
#define TAG_SIZE	 16
#define TAG_OFFSET	 (DATAGRAM_HEADER_SIZE - TAG_SIZE)
/* Datagrams may be reordered by fewer positions than this. */
#define REPLAY_WINDOW 64
/*
 * Limit of remembered senders; the least recently used one is evicted. A fleet
 * at full scale has about 2,700 process starts a day, and a replayed datagram
 * of an evicted sender carries an incarnation that has long been superseded.
 */
#define MAX_SENDERS 4096

/* Counters received from one process. */
typedef struct sender_t {
	uint64_t instance;
	uint64_t highest;
	uint64_t seen;	    /* bit N is set if highest - N was received */
	uint64_t last_used; /* value of accept_calls */
} sender_t;

struct replay_filter_t {
	sender_t *senders;
	size_t count;
	size_t cap;
	uint64_t accept_calls;
};

/*
 * Derives the datagram key from the shared key. The context string separates it
 * from the keys of other message types.
 */
void
datagram_key_init(datagram_key_t *key, str_t shared_key)
{
	static const char context[] = "daisypier membership datagram";
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, sizeof(key->bytes));
	crypto_generichash_update(
	    &state, (const uint8_t *)context, sizeof(context));
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
compute_tag(const datagram_key_t *key, const uint8_t header[TAG_OFFSET],
    str_t payload, uint8_t tag[TAG_SIZE])
{
	crypto_generichash_state state;

	crypto_generichash_init(
	    &state, key->bytes, sizeof(key->bytes), TAG_SIZE);
	crypto_generichash_update(&state, header, TAG_OFFSET);
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
 * Checks a datagram and sets payload to a view into it. Only datagrams with a
 * valid tag change the replay filter.
 */
datagram_verdict_t
datagram_open(const datagram_key_t *key, replay_filter_t *filter,
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
	if (!replay_filter_accept(filter, get_u64(in + 1), get_u64(in + 9)))
		return (DATAGRAM_REPLAYED);
	return (DATAGRAM_VALID);
}

replay_filter_t *
replay_filter_new(void)
{
	return (xcalloc(1, sizeof(replay_filter_t)));
}

void
replay_filter_delete(replay_filter_t *filter)
{
	free(filter->senders);
	free(filter);
}

/* Returns the slot for a new sender, evicting the least recently used one. */
static sender_t *
replay_filter_add_sender(replay_filter_t *filter)
{
	sender_t *oldest;

	if (filter->count < MAX_SENDERS) {
		if (filter->count == filter->cap) {
			filter->cap = filter->cap > 0 ? filter->cap * 2 : 64;
			filter->senders = xrealloc(filter->senders,
			    filter->cap * sizeof(*filter->senders));
		}
		return (&filter->senders[filter->count++]);
	}
	oldest = &filter->senders[0];
	for (size_t i = 1; i < filter->count; i++)
		if (filter->senders[i].last_used < oldest->last_used)
			oldest = &filter->senders[i];
	return (oldest);
}

/*
 * Records a counter of a sender. Returns false if it was received before or is
 * older than the window.
 */
bool
replay_filter_accept(
    replay_filter_t *filter, uint64_t instance, uint64_t counter)
{
	sender_t *sender = NULL;
	uint64_t age;

	for (size_t i = 0; i < filter->count && sender == NULL; i++)
		if (filter->senders[i].instance == instance)
			sender = &filter->senders[i];
	if (sender == NULL) {
		sender = replay_filter_add_sender(filter);
		*sender = (sender_t){.instance = instance, .highest = counter};
	}
	sender->last_used = ++filter->accept_calls;
	if (counter > sender->highest) {
		uint64_t advance = counter - sender->highest;

		sender->seen =
		    advance < REPLAY_WINDOW ? sender->seen << advance : 0;
		sender->highest = counter;
	}
	age = sender->highest - counter;
	if (age >= REPLAY_WINDOW || (sender->seen >> age & 1) != 0)
		return (false);
	sender->seen |= UINT64_C(1) << age;
	return (true);
}
