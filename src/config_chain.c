/* Decides which records of the stream "config" are effective. */
#include "config_chain.h"

#include <stdlib.h>
#include <string.h>

/* Entries kept as history once the chain is known. */
#define MAX_HISTORY 4096

static void
drop_entries(config_chain_t *chain, size_t n)
{
	for (size_t i = 0; i < n; i++)
		free(chain->entries[i].voids);
	if (n > 0)
		memmove(chain->entries, chain->entries + n,
		    (chain->count - n) * sizeof(chain->entries[0]));
	chain->count -= n;
}

static void
set_voids(config_chain_t *chain, const config_token_t *voids, size_t count)
{
	free(chain->voids);
	chain->voids = NULL;
	chain->void_count = count;
	if (count > 0)
		chain->voids = xmemdup(voids, count * sizeof(voids[0]));
}

/* Frees the chain's memory. */
void
config_chain_free(config_chain_t *chain)
{
	drop_entries(chain, chain->count);
	free(chain->entries);
	free(chain->voids);
	*chain = (config_chain_t){0};
}

/* Forgets everything; reading begins at an offset. */
void
config_chain_restart(config_chain_t *chain, uint64_t from)
{
	config_chain_free(chain);
	chain->next = from;
	chain->scan_from = from;
}

/* Continues after the offset that a renewal or another host covers. */
void
config_chain_adopt(config_chain_t *chain, const config_record_t *renewal)
{
	config_chain_restart(chain, renewal->covered + 1);
	chain->known = true;
	chain->version = renewal->version;
	chain->text_at = renewal->covered;
	chain->renewed_covered = renewal->covered;
	chain->renewed_written = renewal->written;
	set_voids(chain, renewal->voids, renewal->void_count);
}

/* Returns whether a VOID that still counts names the token. */
static bool
is_void(const config_chain_t *chain, const config_token_t *token)
{
	for (size_t i = 0; i < chain->void_count; i++)
		if (config_token_equal(&chain->voids[i], token))
			return (true);
	return (false);
}

static config_verdict_t
decide_change(config_chain_t *chain, config_entry_t *entry)
{
	if (is_void(chain, &entry->token))
		return (CONFIG_VOIDED);
	if (entry->parent != chain->version)
		return (CONFIG_SUPERSEDED);
	chain->version = entry->offset;
	chain->text_at = entry->offset;
	/*
	 * A VOID rules out a change whose parent was in effect before it; such
	 * a change is ineffective from here on without the VOID.
	 */
	set_voids(chain, NULL, 0);
	return (CONFIG_EFFECTIVE);
}

/* Applies a record to the known state. */
static void
decide(config_chain_t *chain, config_entry_t *entry)
{
	switch (entry->kind) {
	case CONFIG_CHANGE:
		entry->verdict = decide_change(chain, entry);
		entry->version = chain->version;
		if (chain->renewed_written <= 0)
			chain->renewed_written = entry->written;
		break;
	case CONFIG_RENEW:
		/* A reader without a gap needs only its age and place. */
		entry->verdict = CONFIG_NO_CHANGE;
		if (entry->version == chain->version)
			chain->text_at = entry->offset;
		if (entry->covered >= chain->renewed_covered) {
			chain->renewed_covered = entry->covered;
			chain->renewed_written = entry->written;
		}
		break;
	case CONFIG_VOID:
		entry->verdict = CONFIG_NO_CHANGE;
		entry->version = chain->version;
		chain->voids = xrealloc(chain->voids,
		    (chain->void_count + 1) * sizeof(chain->voids[0]));
		chain->voids[chain->void_count++] = entry->token;
		break;
	}
}

static config_entry_t *
add_entry(config_chain_t *chain)
{
	if (chain->known && chain->count >= MAX_HISTORY) {
		drop_entries(chain, MAX_HISTORY / 4);
		chain->scan_from = chain->entries[0].offset;
	}
	if (chain->count == chain->cap) {
		chain->cap = chain->cap > 0 ? chain->cap * 2 : 16;
		chain->entries = xrealloc(
		    chain->entries, chain->cap * sizeof(chain->entries[0]));
	}
	return (&chain->entries[chain->count++]);
}

/*
 * Takes the next record in offset order; a record that was read already is
 * ignored. Until the version in effect is known, its verdict is CONFIG_PENDING.
 */
config_verdict_t
config_chain_apply(
    config_chain_t *chain, uint64_t offset, const config_record_t *record)
{
	config_entry_t *entry;

	if (offset < chain->next)
		return (CONFIG_NO_CHANGE);
	entry = add_entry(chain);
	*entry = (config_entry_t){
	    .offset = offset,
	    .kind = record->kind,
	    .verdict = CONFIG_PENDING,
	    .token = record->token,
	    .parent = record->parent,
	    .version = record->version,
	    .covered = record->covered,
	    .written = record->written,
	};
	str_copy(entry->author, sizeof(entry->author), record->author);
	chain->next = offset + 1;
	if (chain->known) {
		decide(chain, entry);
	} else if (record->void_count > 0) {
		entry->voids = xmemdup(record->voids,
		    record->void_count * sizeof(record->voids[0]));
		entry->void_count = record->void_count;
	}
	return (entry->verdict);
}

/* Passes over a record that cannot be decoded; it is never effective. */
void
config_chain_skip(config_chain_t *chain, uint64_t offset)
{
	if (offset >= chain->next)
		chain->next = offset + 1;
}

/* Returns the renewal that covers most and leaves no gap, or NULL. */
static const config_entry_t *
best_renewal(const config_chain_t *chain)
{
	const config_entry_t *best = NULL;

	for (size_t i = 0; i < chain->count; i++) {
		const config_entry_t *entry = &chain->entries[i];

		if (entry->kind != CONFIG_RENEW ||
		    entry->covered + 1 < chain->scan_from)
			continue;
		if (best == NULL || entry->covered > best->covered)
			best = entry;
	}
	return (best);
}

/*
 * Ends the scan of a fresh reader, which has read everything from scan_from to
 * the end of the stream as of the scan's start. Returns whether the version in
 * effect is known now; it is not when older records exist or existed and no
 * renewal closes the gap.
 */
bool
config_chain_resolve(config_chain_t *chain)
{
	const config_entry_t *base;
	uint64_t covered = 0;

	if (chain->known)
		return (true);
	base = best_renewal(chain);
	if (base == NULL && chain->scan_from > 1)
		return (false);
	chain->known = true;
	chain->version = 0;
	if (base != NULL) {
		covered = base->covered;
		chain->version = base->version;
		chain->text_at = base->offset;
		chain->renewed_covered = base->covered;
		chain->renewed_written = base->written;
		set_voids(chain, base->voids, base->void_count);
	}
	for (size_t i = 0; i < chain->count; i++)
		if (chain->entries[i].offset > covered)
			decide(chain, &chain->entries[i]);
	return (true);
}

/* Returns the change with a token as far as it was read, or NULL. */
const config_entry_t *
config_chain_find(const config_chain_t *chain, const config_token_t *token)
{
	for (size_t i = chain->count; i > 0; i--) {
		const config_entry_t *entry = &chain->entries[i - 1];

		if (entry->kind == CONFIG_CHANGE &&
		    config_token_equal(&entry->token, token))
			return (entry);
	}
	return (NULL);
}

/* Returns whether a VOID for the token was read; it may no longer count. */
bool
config_chain_has_void(const config_chain_t *chain, const config_token_t *token)
{
	for (size_t i = 0; i < chain->count; i++)
		if (chain->entries[i].kind == CONFIG_VOID &&
		    config_token_equal(&chain->entries[i].token, token))
			return (true);
	return (false);
}

/* Returns the change that replaced a version, or NULL when it was not read. */
const config_entry_t *
config_chain_winner(const config_chain_t *chain, uint64_t parent)
{
	for (size_t i = 0; i < chain->count; i++)
		if (chain->entries[i].verdict == CONFIG_EFFECTIVE &&
		    chain->entries[i].parent == parent)
			return (&chain->entries[i]);
	return (NULL);
}
