/* Response to GET /v1/entries: the hosts a caller should use, in order. */
#include "entries.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

/*
 * One in this many entries of a limited response is reserved for other zones,
 * so that a caller still has hosts to use when its whole zone fails.
 */
#define OTHER_ZONES_DIVISOR 4

typedef struct candidate_t {
	const member_t *member;
	uint64_t score;
	bool same_zone;
} candidate_t;

static int
compare_candidates(const void *a, const void *b)
{
	const candidate_t *first = a;
	const candidate_t *second = b;

	if (first->same_zone != second->same_zone)
		return (first->same_zone ? -1 : 1);
	if (first->score != second->score)
		return (first->score > second->score ? -1 : 1);
	return (strcmp(first->member->name, second->member->name));
}

static size_t
collect_usable_hosts(const member_t *members, size_t count,
    const entries_params_t *params, candidate_t *out)
{
	uint64_t caller_hash = str_hash(str_of(params->caller), 0);
	str_t zone = str_of(params->zone);
	size_t found = 0;

	for (size_t i = 0; i < count; i++) {
		const member_t *member = &members[i];

		if (!member_is_living(member) || !member->ready ||
		    member->leaving)
			continue;
		out[found++] = (candidate_t){
		    .member = member,
		    .score = str_hash(str_of(member->name), caller_hash),
		    .same_zone =
			zone.len > 0 && str_equal(str_of(member->zone), zone),
		};
	}
	return (found);
}

/*
 * Writes the hosts that are alive, ready and not leaving, in the order in which
 * the caller should try them: its own zone first, then by a hash of the
 * caller's address and the host's name (rendezvous hashing). The order differs
 * between callers, so the callers of a failed host are spread over all others.
 * out must have room for count elements. Returns the number written.
 */
size_t
entries_order(const member_t *members, size_t count,
    const entries_params_t *params, const member_t **out)
{
	candidate_t *candidates = xcalloc(count, sizeof(*candidates));
	size_t found = collect_usable_hosts(members, count, params, candidates);
	size_t same_zone_count = 0;
	size_t same_zone_limit = found;
	size_t max = params->max > 0 ? params->max : found;
	size_t written = 0;

	qsort(candidates, found, sizeof(*candidates), compare_candidates);
	while (same_zone_count < found && candidates[same_zone_count].same_zone)
		same_zone_count++;
	if (found > max) {
		size_t others = max / OTHER_ZONES_DIVISOR;

		if (others > found - same_zone_count)
			others = found - same_zone_count;
		same_zone_limit = max - others;
	}
	for (size_t i = 0; i < found && written < max; i++)
		if (!candidates[i].same_zone || i < same_zone_limit)
			out[written++] = candidates[i].member;
	free(candidates);
	return (written);
}

static json_t *
entry_to_json(const member_t *member, uint16_t port)
{
	buf_t address = {0};
	bool brackets = port != 0 && strchr(member->address, ':') != NULL;
	json_t *entry;

	buf_printf(&address, brackets ? "[%s]" : "%s", member->address);
	if (port != 0)
		buf_printf(&address, ":%u", (unsigned)port);
	entry = json_pack("{s:s, s:s, s:s}", "host", member->name, "address",
	    address.data, "zone", member->zone);
	buf_free(&address);
	return (entry);
}

/* Appends the JSON response. Hosts whose name is not valid UTF-8 are omitted.
 */
void
entries_render(const member_t *members, size_t count,
    const entries_params_t *params, buf_t *out)
{
	const member_t **ordered = xcalloc(count, sizeof(const member_t *));
	size_t found = entries_order(members, count, params, ordered);
	json_t *entries = json_array();
	json_t *root;
	char *text;

	for (size_t i = 0; i < found; i++)
		json_array_append_new(
		    entries, entry_to_json(ordered[i], params->port));
	root = json_pack(
	    "{s:i, s:o}", "keep_s", (int)params->keep_s, "entries", entries);
	text = json_dumps(root, JSON_COMPACT | JSON_PRESERVE_ORDER);
	buf_append(out, str_of(text));
	free(text);
	json_decref(root);
	free(ordered);
}
