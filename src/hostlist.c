/*
 * Polls the platform's list of live and leaving hosts. The list may be out of
 * date or wrong.
 */
#include "hostlist.h"

#include <arpa/inet.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "clock.h"
#include "counter.h"
#include "logger.h"

#define DEFAULT_PERIOD_S  2.0
#define DEFAULT_TIMEOUT_S 5.0
/* About 20 times the size of a list of 910 hosts and 4,600 endpoints. */
#define MAX_BODY_BYTES (8U << 20)
/* Bound the work per poll; each poll starts at a random entry. */
#define MAX_SEED_CANDIDATES_PER_POLL 64
#define MAX_SEEDS_PER_POLL	     8

struct hostlist_t {
	struct ev_loop *loop;
	hostlist_params_t params;
	char *url;
	http_call_t *call; /* NULL if no poll is in progress */
	ev_timer timer;
	rng_t rng;
	json_t *root; /* owns the strings of the entries */
	hostlist_entry_t *entries;
	size_t count;
	const char **leaving_keys; /* names and addresses, sorted by strcmp() */
	size_t leaving_key_count;
	uint64_t body_hash; /* of the last accepted response */
	double updated_at;  /* 0 before the first valid response */
	bool failing;
	counter_t *polls;
	counter_t *failures;
};

static int
compare_strings(const void *a, const void *b)
{
	return (strcmp(*(const char *const *)a, *(const char *const *)b));
}

static bool
is_leaving_key(const hostlist_t *list, str_t key)
{
	char text[256];
	const char *wanted = text;

	if (key.len >= sizeof(text) || list->leaving_key_count == 0)
		return (false);
	str_copy(text, sizeof(text), key);
	return (bsearch(&wanted, list->leaving_keys, list->leaving_key_count,
		    sizeof(*list->leaving_keys), compare_strings) != NULL);
}

/*
 * Returns whether the platform lists a host or endpoint as leaving. Looks it up
 * by name or address; an address with a port also matches an entry without one.
 */
bool
hostlist_is_leaving(const hostlist_t *list, str_t name_or_address)
{
	const char *colon;

	if (name_or_address.len == 0)
		return (false);
	if (is_leaving_key(list, name_or_address))
		return (true);
	colon = memrchr(name_or_address.data, ':', name_or_address.len);
	if (colon == NULL)
		return (false);
	return (
	    is_leaving_key(list, (str_t){name_or_address.data,
				     (size_t)(colon - name_or_address.data)}));
}

/*
 * Returns the entries of the last valid response. They stay valid until control
 * returns to the event loop.
 */
size_t
hostlist_entries(const hostlist_t *list, const hostlist_entry_t **out)
{
	*out = list->entries;
	return (list->count);
}

/* Returns the seconds since the last valid response, INFINITY before it. */
double
hostlist_age_s(const hostlist_t *list)
{
	if (list->updated_at == 0)
		return (INFINITY);
	return (clock_monotonic() - list->updated_at);
}

static bool
is_ip(const char *text)
{
	uint8_t parsed[sizeof(struct in6_addr)];

	return (inet_pton(AF_INET, text, parsed) == 1 ||
		inet_pton(AF_INET6, text, parsed) == 1);
}

static bool
is_living_address(const member_t *members, size_t count, const char *address)
{
	for (size_t i = 0; i < count; i++)
		if (member_is_living(&members[i]) &&
		    strcmp(members[i].address, address) == 0)
			return (true);
	return (false);
}

/*
 * Adds listed host addresses that no living member uses as membership seeds.
 * Addresses with a port belong to endpoints and are skipped.
 */
static void
add_seeds(hostlist_t *list)
{
	const member_t *members;
	size_t member_count;
	size_t start = rng_below(&list->rng, list->count);
	size_t added = 0;

	if (list->params.membership == NULL)
		return;
	member_count = membership_members(list->params.membership, &members);
	for (size_t i = 0;
	     i < list->count && i < MAX_SEED_CANDIDATES_PER_POLL &&
	     added < MAX_SEEDS_PER_POLL;
	     i++) {
		const hostlist_entry_t *entry =
		    &list->entries[(start + i) % list->count];

		if (entry->leaving || !is_ip(entry->address) ||
		    is_living_address(members, member_count, entry->address))
			continue;
		membership_add_seed(list->params.membership, entry->address);
		added++;
	}
}

static const char *
string_member(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return (text != NULL ? text : "");
}

/* Replaces the entries; skips those that have neither a name nor an address. */
static void
replace_entries(hostlist_t *list, json_t *root, const json_t *hosts)
{
	size_t total = json_array_size(hosts);

	json_decref(list->root);
	free(list->entries);
	free(list->leaving_keys);
	list->root = root;
	list->entries = xcalloc(total, sizeof(*list->entries));
	list->leaving_keys = xcalloc(2 * total, sizeof(*list->leaving_keys));
	list->count = 0;
	list->leaving_key_count = 0;
	for (size_t i = 0; i < total; i++) {
		const json_t *host = json_array_get(hosts, i);
		hostlist_entry_t entry = {
		    .name = string_member(host, "name"),
		    .address = string_member(host, "address"),
		    .zone = string_member(host, "zone"),
		    .leaving =
			strcmp(string_member(host, "state"), "leaving") == 0,
		};

		if (entry.name[0] == '\0' && entry.address[0] == '\0')
			continue;
		list->entries[list->count++] = entry;
		if (!entry.leaving)
			continue;
		list->leaving_keys[list->leaving_key_count++] = entry.name;
		list->leaving_keys[list->leaving_key_count++] = entry.address;
	}
	qsort(list->leaving_keys, list->leaving_key_count,
	    sizeof(*list->leaving_keys), compare_strings);
}

/*
 * Updates the list from a response body. Returns false and changes nothing if
 * the body is not a valid list.
 */
static bool
update_from_body(hostlist_t *list, str_t body)
{
	uint64_t hash = str_hash(body, 0);
	json_t *root;
	json_t *hosts;

	if (list->root != NULL && hash == list->body_hash)
		return (true);
	root = json_loadb(body.data, body.len, 0, NULL);
	hosts = json_object_get(root, "hosts");
	if (!json_is_array(hosts)) {
		json_decref(root);
		return (false);
	}
	replace_entries(list, root, hosts);
	list->body_hash = hash;
	if (list->params.on_change != NULL)
		list->params.on_change(list->params.ctx);
	return (true);
}

static void
on_done(void *ctx, const http_result_t *result)
{
	hostlist_t *list = ctx;
	bool valid;

	list->call = NULL;
	counter_add(list->polls, 1);
	valid = result->rc == 0 && result->status == 200 &&
		update_from_body(list, result->body);
	if (valid) {
		list->updated_at = clock_monotonic();
		add_seeds(list);
	} else {
		counter_add(list->failures, 1);
	}
	if (valid == list->failing)
		LOG_INFO("host_list", "available=%d rc=%d status=%d", valid,
		    result->rc, result->status);
	list->failing = !valid;
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	hostlist_t *list = timer->data;
	http_call_params_t params = {
	    .method = "GET",
	    .url = list->url,
	    .timeout = list->params.timeout_s,
	    .max_body = MAX_BODY_BYTES,
	    .on_done = on_done,
	    .ctx = list,
	};

	(void)loop;
	(void)events;
	/* At most one poll is in progress, also when the platform is slow. */
	if (list->call == NULL)
		list->call = http_call_start(list->params.httpc, &params);
}

/* Starts polling; the first poll is sent at once. */
hostlist_t *
hostlist_new(struct ev_loop *loop, const hostlist_params_t *params)
{
	hostlist_t *list = xcalloc(1, sizeof(*list));
	buf_t url = {0};

	list->loop = loop;
	list->params = *params;
	if (list->params.period_s <= 0)
		list->params.period_s = DEFAULT_PERIOD_S;
	if (list->params.timeout_s <= 0)
		list->params.timeout_s = DEFAULT_TIMEOUT_S;
	list->params.base_url = NULL; /* the caller may free it */
	buf_printf(&url, "%s/v1/hosts", params->base_url);
	list->url = url.data;
	list->rng = rng_seeded(random_u64());
	list->polls = counter_get("daisypier_host_list_polls_total",
	    "Polls of the platform's host list that ended");
	list->failures = counter_get("daisypier_host_list_poll_failures_total",
	    "Polls that brought no valid list");
	ev_timer_init(&list->timer, on_timer, 0, list->params.period_s);
	list->timer.data = list;
	ev_timer_start(loop, &list->timer);
	return (list);
}

/* Stops polling and frees the list. */
void
hostlist_delete(hostlist_t *list)
{
	if (list->call != NULL)
		http_call_cancel(list->call);
	ev_timer_stop(list->loop, &list->timer);
	json_decref(list->root);
	free(list->entries);
	free(list->leaving_keys);
	free(list->url);
	free(list);
}
