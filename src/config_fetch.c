/* Exchanges configuration versions with other hosts: CONFIG_GET. */
#include <stdlib.h>
#include <string.h>

#include "config_store_impl.h"
#include "counter.h"
#include "result.h"

#define FETCH_TIMEOUT_S 5.0

/* Packs a name and a hash for each text that this host has; base is "". */
static void
pack_have(msgpack_packer *packer, const config_store_t *store)
{
	const config_texts_t *texts = &store->newest.record.texts;

	if (store->newest_version == 0) {
		msgpack_pack_array(packer, 0);
		return;
	}
	msgpack_pack_array(packer, 2 * (texts->site_count + 1));
	wire_pack_str(packer, (str_t){0});
	msgpack_pack_uint64(packer, str_hash(texts->base, 0));
	for (size_t i = 0; i < texts->site_count; i++) {
		wire_pack_str(packer, texts->sites[i].site);
		msgpack_pack_uint64(packer, str_hash(texts->sites[i].text, 0));
	}
}

/* Returns whether the asking host has a text already. */
static bool
has_text(wire_reader_t have, str_t site, str_t text)
{
	while (have.left >= 2 && !have.fault) {
		bool named = str_equal(wire_read_str(&have), site);

		if (wire_read_u64(&have) == str_hash(text, 0) && named)
			return (true);
	}
	return (false);
}

/* Returns this host's text for one that the other host left out. */
static str_t
own_text(const config_store_t *store, str_t site)
{
	const config_texts_t *texts = &store->newest.record.texts;

	return (
	    site.len == 0 ? texts->base : config_texts_overlay(texts, site));
}

/* Puts this host's own texts where the other host left them out. */
static void
take_fetched(
    config_store_t *store, const config_record_t *fetched, wire_reader_t same)
{
	config_record_t record = *fetched;
	config_site_t *sites =
	    xcalloc(record.texts.site_count, sizeof(sites[0]));

	for (size_t i = 0; i < record.texts.site_count; i++)
		sites[i] = record.texts.sites[i];
	while (same.left > 0 && !same.fault) {
		str_t site = wire_read_str(&same);
		str_t text = own_text(store, site);

		if (site.len == 0)
			record.texts.base = text;
		for (size_t i = 0; i < record.texts.site_count; i++)
			if (site.len > 0 && str_equal(sites[i].site, site))
				sites[i].text = text;
	}
	record.texts.sites = sites;
	config_store_hold(store, record.version, record.covered, &record);
	free(sites);
}

/* Takes [confirmed, RENEW record or empty, [left out text, ...]]. */
static void
on_fetched(void *ctx, const peer_reply_t *reply)
{
	config_store_t *store = ctx;
	wire_reader_t reader = wire_reader(reply->body);
	bool confirmed = wire_read_bool(&reader);
	str_t bytes = wire_read_str(&reader);
	wire_reader_t same = wire_read_array(&reader);
	config_decoded_t decoded;

	store->fetch = NULL;
	/* What was left out refers to the texts at the time of the question. */
	if (reply->rc != 0 || reader.fault ||
	    store->fetch_have != store->newest_version)
		return;
	if (bytes.len > 0 && config_record_decode(&decoded, bytes) == 0) {
		if (decoded.record.kind == CONFIG_RENEW)
			take_fetched(store, &decoded.record, same);
		config_decoded_free(&decoded);
	}
	if (confirmed)
		store->confirmed = true;
}

/* Returns a living member other than self, ready ones first, or NULL. */
static const member_t *
random_member(config_store_t *store)
{
	const member_t *members;
	size_t count = membership_members(store->params.membership, &members);
	const member_t *self = membership_self(store->params.membership);
	const member_t *chosen = NULL;
	uint64_t seen = 0;

	for (size_t i = 0; i < count; i++) {
		const member_t *member = &members[i];

		if (!member_is_living(member) ||
		    strcmp(member->name, self->name) == 0)
			continue;
		if (chosen != NULL && chosen->ready && !member->ready)
			continue;
		if (chosen != NULL && member->ready && !chosen->ready)
			seen = 0;
		if (rng_below(&store->rng, ++seen) == 0)
			chosen = member;
	}
	return (chosen);
}

/*
 * Returns one of the living members with the newest version, or NULL when none
 * is newer than the own one. The choice is random: all hosts would ask the same
 * one otherwise.
 */
static const member_t *
newer_member(config_store_t *store)
{
	const member_t *members;
	size_t count = membership_members(store->params.membership, &members);
	const member_t *chosen = NULL;
	uint64_t newest = store->newest_version;
	uint64_t seen = 0;

	for (size_t i = 0; i < count; i++) {
		const member_t *member = &members[i];

		if (!member_is_living(member) ||
		    member->config_version <= store->newest_version ||
		    member->config_version < newest)
			continue;
		if (member->config_version > newest)
			seen = 0;
		newest = member->config_version;
		if (rng_below(&store->rng, ++seen) == 0)
			chosen = member;
	}
	return (chosen);
}

/*
 * Asks another host for a version that is newer than the own one. At full scale
 * all texts have 300 KB and change every 8 s, so that only the changed ones are
 * sent.
 */
void
config_fetch_start(config_store_t *store)
{
	const member_t *target;
	buf_t body = {0};
	msgpack_packer packer;

	if (store->fetch != NULL)
		return;
	target = newer_member(store);
	if (target == NULL && !store->confirmed)
		target = random_member(store);
	if (target == NULL)
		return;
	wire_packer_init(&packer, &body);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_uint64(&packer, store->newest_version);
	pack_have(&packer, store);
	counter_add(store->fetches, 1);
	store->fetch_have = store->newest_version;
	store->fetch =
	    peer_call(store->params.peer, target->address, PEER_CONFIG_GET,
		str_buf(&body), FETCH_TIMEOUT_S, on_fetched, store);
	buf_free(&body);
}

/* Packs the state without the texts that the other host has. */
static void
pack_state(
    const config_store_t *store, wire_reader_t have, msgpack_packer *packer)
{
	config_record_t record = config_store_renewal(store);
	size_t count = record.texts.site_count;
	config_site_t *sites = xcalloc(count, sizeof(sites[0]));
	str_t *same = xcalloc(count + 1, sizeof(same[0]));
	size_t same_count = 0;
	buf_t bytes = {0};

	if (has_text(have, (str_t){0}, record.texts.base)) {
		same[same_count++] = (str_t){0};
		record.texts.base = (str_t){0};
	}
	for (size_t i = 0; i < count; i++) {
		sites[i] = record.texts.sites[i];
		if (!has_text(have, sites[i].site, sites[i].text))
			continue;
		same[same_count++] = sites[i].site;
		sites[i].text = (str_t){0};
	}
	record.texts.sites = sites;
	config_record_encode(&record, &bytes);
	wire_pack_bin(packer, str_buf(&bytes));
	msgpack_pack_array(packer, same_count);
	for (size_t i = 0; i < same_count; i++)
		wire_pack_str(packer, same[i]);
	buf_free(&bytes);
	free(same);
	free(sites);
}

/* Answers [have version, [name, hash, ...]]. */
static void
on_config_get(void *ctx, peer_request_t *request, const msgpack_object *body)
{
	config_store_t *store = ctx;
	wire_reader_t reader = wire_reader(body);
	uint64_t have = wire_read_u64(&reader);
	wire_reader_t texts = wire_read_array(&reader);
	buf_t reply = {0};
	msgpack_packer packer;

	if (reader.fault) {
		peer_request_reply(request, -RESULT_BAD_REQUEST, (str_t){0});
		return;
	}
	wire_packer_init(&packer, &reply);
	msgpack_pack_array(&packer, 3);
	wire_pack_bool(&packer, store->confirmed);
	if (store->newest_version > have) {
		pack_state(store, texts, &packer);
	} else {
		wire_pack_bin(&packer, (str_t){0});
		msgpack_pack_array(&packer, 0);
	}
	peer_request_reply(request, 0, str_buf(&reply));
	buf_free(&reply);
}

/* Answers the questions of other hosts. */
void
config_fetch_init(config_store_t *store)
{
	peer_set_handler(
	    store->params.peer, PEER_CONFIG_GET, on_config_get, store);
}
