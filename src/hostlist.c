/* The platform's list of live and leaving hosts, which lags and may be wrong.
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
/* About 20 times the list of 910 hosts and 4,600 endpoints. */
#define MAX_BODY (8U << 20)
/* Bounds the work of one poll; later polls look at other entries. */
#define SEED_CANDIDATES 64
#define SEEDS_PER_POLL	8

struct hostlist_t {
	struct ev_loop *loop;
	hostlist_params_t params;
	char *url;
	http_call_t *call; /* NULL: none in progress */
	ev_timer timer;
	rng_t rng;
	json_t *root; /* owns the strings of the entries */
	hostlist_entry_t *entries;
	size_t count;
	const char **leaving; /* names and addresses in order of bytes */
	size_t leaving_count;
	uint64_t hash;	 /* of the answer that was taken last */
	double taken_at; /* 0: never */
	bool failing;
	counter_t *polls;
	counter_t *failures;
};

static int
compare_text(const void *a, const void *b)
{
	return (strcmp(*(const char *const *)a, *(const char *const *)b));
}

static bool
is_leaving_key(const hostlist_t *list, str_t key)
{
	char text[256];
	const char *wanted = text;

	if (key.len >= sizeof(text) || list->leaving_count == 0)
		return (false);
	str_copy(text, sizeof(text), key);
	return (bsearch(&wanted, list->leaving, list->leaving_count,
		    sizeof(*list->leaving), compare_text) != NULL);
}

/*
 * Returns whether the platform lists a host or endpoint as leaving, by its name
 * or by its address. An address with a port also matches an entry without one.
 */
bool
hostlist_leaving(const hostlist_t *list, str_t name_or_address)
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

/* Returns the last good list, valid until control returns to the loop. */
size_t
hostlist_entries(const hostlist_t *list, const hostlist_entry_t **out)
{
	*out = list->entries;
	return (list->count);
}

/* Returns the seconds since the last good answer; infinite before the first. */
double
hostlist_age_s(const hostlist_t *list)
{
	if (list->taken_at == 0)
		return (INFINITY);
	return (clock_monotonic() - list->taken_at);
}

static bool
is_ip(const char *text)
{
	uint8_t parsed[sizeof(struct in6_addr)];

	return (inet_pton(AF_INET, text, parsed) == 1 ||
		inet_pton(AF_INET6, text, parsed) == 1);
}

static bool
is_known(const member_t *members, size_t count, const char *address)
{
	for (size_t i = 0; i < count; i++)
		if (member_is_living(&members[i]) &&
		    strcmp(members[i].address, address) == 0)
			return (true);
	return (false);
}

/*
 * Proposes some live addresses that no living member has. Addresses with a port
 * are those of endpoints.
 */
static void
feed_seeds(hostlist_t *list)
{
	const member_t *members;
	size_t member_count;
	size_t start = rng_below(&list->rng, list->count);
	size_t fed = 0;

	if (list->params.membership == NULL)
		return;
	member_count = membership_members(list->params.membership, &members);
	for (size_t i = 0;
	     i < list->count && i < SEED_CANDIDATES && fed < SEEDS_PER_POLL;
	     i++) {
		const hostlist_entry_t *entry =
		    &list->entries[(start + i) % list->count];

		if (entry->leaving || !is_ip(entry->address) ||
		    is_known(members, member_count, entry->address))
			continue;
		membership_add_seed(list->params.membership, entry->address);
		fed++;
	}
}

static const char *
text_of(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return (text != NULL ? text : "");
}

/* Replaces the list; entries without a name and an address are left out. */
static void
take(hostlist_t *list, json_t *root, const json_t *hosts)
{
	size_t total = json_array_size(hosts);

	json_decref(list->root);
	free(list->entries);
	free(list->leaving);
	list->root = root;
	list->entries = xcalloc(total, sizeof(*list->entries));
	list->leaving = xcalloc(2 * total, sizeof(*list->leaving));
	list->count = 0;
	list->leaving_count = 0;
	for (size_t i = 0; i < total; i++) {
		const json_t *host = json_array_get(hosts, i);
		hostlist_entry_t entry = {
		    .name = text_of(host, "name"),
		    .address = text_of(host, "address"),
		    .zone = text_of(host, "zone"),
		    .leaving = strcmp(text_of(host, "state"), "leaving") == 0,
		};

		if (entry.name[0] == '\0' && entry.address[0] == '\0')
			continue;
		list->entries[list->count++] = entry;
		if (!entry.leaving)
			continue;
		list->leaving[list->leaving_count++] = entry.name;
		list->leaving[list->leaving_count++] = entry.address;
	}
	qsort(list->leaving, list->leaving_count, sizeof(*list->leaving),
	    compare_text);
}

/* Returns whether the answer was a list; an invalid one changes nothing. */
static bool
parse(hostlist_t *list, str_t body)
{
	uint64_t hash = str_hash(body, 0);
	json_t *root;
	json_t *hosts;

	if (list->root != NULL && hash == list->hash)
		return (true);
	root = json_loadb(body.data, body.len, 0, NULL);
	hosts = json_object_get(root, "hosts");
	if (!json_is_array(hosts)) {
		json_decref(root);
		return (false);
	}
	take(list, root, hosts);
	list->hash = hash;
	if (list->params.on_change != NULL)
		list->params.on_change(list->params.ctx);
	return (true);
}

static void
on_done(void *ctx, const http_result_t *result)
{
	hostlist_t *list = ctx;
	bool good;

	list->call = NULL;
	counter_add(list->polls, 1);
	good = result->rc == 0 && result->status == 200 &&
	       parse(list, result->body);
	if (good) {
		list->taken_at = clock_monotonic();
		feed_seeds(list);
	} else {
		counter_add(list->failures, 1);
	}
	if (good == list->failing)
		LOG_INFO("host_list", "available=%d rc=%d status=%d", good,
		    result->rc, result->status);
	list->failing = !good;
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	hostlist_t *list = timer->data;
	http_call_params_t params = {
	    .method = "GET",
	    .url = list->url,
	    .timeout = list->params.timeout_s,
	    .max_body = MAX_BODY,
	    .on_done = on_done,
	    .ctx = list,
	};

	(void)loop;
	(void)events;
	/* A slow platform gets one poll at a time. */
	if (list->call == NULL)
		list->call = http_call_start(list->params.httpc, &params);
}

/* Starts to poll the list. */
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
	list->params.base_url = NULL; /* the caller's string may not last */
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

/* Stops to poll and frees the list. */
void
hostlist_delete(hostlist_t *list)
{
	if (list->call != NULL)
		http_call_cancel(list->call);
	ev_timer_stop(list->loop, &list->timer);
	json_decref(list->root);
	free(list->entries);
	free(list->leaving);
	free(list->url);
	free(list);
}
