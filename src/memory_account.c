/* Divides the memory of a host among named budgets. */
#include "memory_account.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ADDRESS_BUCKETS 256
#define MAX_ADDRESS	64
/* Largest part of the bodies being read that one address may hold. */
#define ADDRESS_SHARE 0.75
/*
 * Bodies of one client may be this many times what is free: 3/4 of the budget
 * if no other has any, 3/7 beside an equal one, so that some is always left.
 */
#define KEPT_PER_FREE 3
/* A body is kept once here and once more in a transfer to an endpoint. */
#define BODY_COPIES 2
/* After this time without progress, a holder loses its room to any other. */
#define YIELD_AFTER_S 2.0
/* Bounds the search among holders without a stalled one. */
#define MAX_CANDIDATES 64
#define LOG_INTERVAL_S 1.0

TAILQ_HEAD(holder_list_t, memory_holder_t);

struct memory_share_t {
	char address[MAX_ADDRESS];
	size_t held; /* of bodies being read */
	size_t kept; /* of bodies of open requests */
	unsigned holders;
	LIST_ENTRY(memory_share_t) entry;
};

typedef struct budget_t {
	size_t limit;
	size_t used;
	uint64_t refusals; /* since the last log line */
	double logged_at;
} budget_t;

struct memory_account_t {
	budget_t budgets[MEMORY_BUDGETS];
	/* Bodies being read; the one without progress for longest is first. */
	struct holder_list_t holders;
	LIST_HEAD(, memory_share_t) shares[ADDRESS_BUCKETS];
};

/*
 * The rest is for the program itself: 11 MB of 120 without any load.
 */
static const struct {
	const char *name;
	double part;
} budget_table[MEMORY_BUDGETS] = {
    [MEMORY_READING] = {"reading", 0.16},
    [MEMORY_BODIES] = {"bodies", 0.20},
    [MEMORY_UNREAD] = {"unread", 0.10},
    [MEMORY_RESPONSES] = {"responses", 0.12},
    [MEMORY_JOBS] = {"jobs", 0.15},
    [MEMORY_PEERS] = {"peers", 0.08},
    [MEMORY_CONNECTIONS] = {"connections", 0.125},
};

/* Divides a number of bytes. */
memory_account_t *
memory_account_new(size_t bytes)
{
	memory_account_t *account = xcalloc(1, sizeof(*account));

	TAILQ_INIT(&account->holders);
	for (size_t i = 0; i < MEMORY_BUDGETS; i++)
		account->budgets[i].limit =
		    (size_t)((double)bytes * budget_table[i].part);
	return (account);
}

/* NULL is allowed. All holders must have ended. */
void
memory_account_delete(memory_account_t *account)
{
	free(account);
}

const char *
memory_budget_name(memory_budget_t budget)
{
	return (budget_table[budget].name);
}

/* Returns the size of a budget in bytes. */
size_t
memory_account_limit(const memory_account_t *account, memory_budget_t budget)
{
	return (account->budgets[budget].limit);
}

/* Returns the bytes in use, which may exceed the limit by forced charges. */
size_t
memory_account_used(const memory_account_t *account, memory_budget_t budget)
{
	return (account->budgets[budget].used);
}

static size_t
address_limit(const memory_account_t *account)
{
	return ((size_t)((double)account->budgets[MEMORY_READING].limit *
			 ADDRESS_SHARE));
}

/*
 * Returns the size of the largest body that a client gets served if it is
 * alone. Larger ones never fit.
 */
size_t
memory_account_max_body(const memory_account_t *account)
{
	size_t kept = account->budgets[MEMORY_BODIES].limit / BODY_COPIES;
	/* While it is read, a body has room for a fifth more than it needs. */
	size_t read = address_limit(account) / 5 * 4;

	return (kept < read ? kept : read);
}

/* Reserves bytes if there is room. Returns whether there was. */
bool
memory_account_reserve(
    memory_account_t *account, memory_budget_t budget, size_t bytes)
{
	budget_t *b = &account->budgets[budget];

	if (b->used > b->limit || bytes > b->limit - b->used)
		return (false);
	b->used += bytes;
	return (true);
}

/* Counts bytes that are held in any case. */
void
memory_account_charge(
    memory_account_t *account, memory_budget_t budget, size_t bytes)
{
	account->budgets[budget].used += bytes;
}

/* Returns reserved or charged bytes. */
void
memory_account_release(
    memory_account_t *account, memory_budget_t budget, size_t bytes)
{
	account->budgets[budget].used -= bytes;
}

bool
memory_account_is_full(const memory_account_t *account, memory_budget_t budget)
{
	const budget_t *b = &account->budgets[budget];

	return (b->used >= b->limit);
}

static memory_share_t *
share_ref(memory_account_t *account, const char *address)
{
	size_t bucket = str_hash(str_of(address), 0) % ADDRESS_BUCKETS;
	memory_share_t *share;

	LIST_FOREACH (share, &account->shares[bucket], entry)
		if (strcmp(share->address, address) == 0)
			break;
	if (share == NULL) {
		share = xcalloc(1, sizeof(*share));
		str_copy(
		    share->address, sizeof(share->address), str_of(address));
		LIST_INSERT_HEAD(&account->shares[bucket], share, entry);
	}
	share->holders++;
	return (share);
}

static void
share_unref(memory_share_t *share)
{
	if (--share->holders > 0)
		return;
	LIST_REMOVE(share, entry);
	free(share);
}

/* Begins a body from an address, of which remaining bytes are to come. */
void
memory_holder_begin(memory_account_t *account, memory_holder_t *holder,
    const char *address, size_t remaining, double now)
{
	holder->account = account;
	holder->share = share_ref(account, address);
	holder->held = 0;
	holder->remaining = remaining;
	holder->progress_at = now;
	TAILQ_INSERT_TAIL(&account->holders, holder, entry);
}

static bool
share_has_room(
    const memory_account_t *account, const memory_share_t *share, size_t bytes)
{
	return (share->held + bytes <= address_limit(account));
}

/*
 * Reserves further bytes. Returns false if the budget or the share of the
 * address has no room; see memory_account_victim().
 */
bool
memory_holder_grow(memory_holder_t *holder, size_t bytes)
{
	if (!share_has_room(holder->account, holder->share, bytes) ||
	    !memory_account_reserve(holder->account, MEMORY_READING, bytes))
		return (false);
	holder->held += bytes;
	holder->share->held += bytes;
	return (true);
}

/* Notes that bytes have arrived and how many are still to come. */
void
memory_holder_progress(memory_holder_t *holder, size_t remaining, double now)
{
	struct holder_list_t *holders = &holder->account->holders;

	holder->remaining = remaining;
	holder->progress_at = now;
	TAILQ_REMOVE(holders, holder, entry);
	TAILQ_INSERT_TAIL(holders, holder, entry);
}

/* Returns all that a holder has; it may have ended before. */
void
memory_holder_end(memory_holder_t *holder)
{
	memory_account_t *account = holder->account;

	if (account == NULL)
		return;
	memory_account_release(account, MEMORY_READING, holder->held);
	holder->share->held -= holder->held;
	share_unref(holder->share);
	TAILQ_REMOVE(&account->holders, holder, entry);
	holder->account = NULL;
	holder->held = 0;
}

/*
 * Returns who loses its room to a holder that wants some bytes: whoever made no
 * progress for longest, if that is over YIELD_AFTER_S; otherwise whoever has
 * most bytes to come, if these are more than the holder's own. If its address
 * has used up its share, only holders of that address are considered. Returns
 * NULL if the holder itself has to go.
 */
memory_holder_t *
memory_account_victim(const memory_holder_t *wanting, size_t bytes, double now)
{
	const memory_account_t *account = wanting->account;
	bool same_address = !share_has_room(account, wanting->share, bytes);
	memory_holder_t *victim = NULL;
	memory_holder_t *holder;
	unsigned candidates = 0;

	TAILQ_FOREACH (holder, &account->holders, entry) {
		if (candidates++ == MAX_CANDIDATES)
			break;
		if (holder == wanting || holder->held == 0 ||
		    (same_address && holder->share != wanting->share))
			continue;
		if (now - holder->progress_at > YIELD_AFTER_S)
			return (holder);
		if (holder->remaining > wanting->remaining &&
		    (victim == NULL || holder->remaining > victim->remaining))
			victim = holder;
	}
	return (victim);
}

/* Returns a holder without progress for some seconds, or NULL. */
memory_holder_t *
memory_account_stalled(
    const memory_account_t *account, double now, double seconds)
{
	memory_holder_t *holder = TAILQ_FIRST(&account->holders);

	if (holder == NULL || now - holder->progress_at < seconds)
		return (NULL);
	return (holder);
}

/*
 * Returns whether a share may keep further bytes beside those that are used. A
 * single body may take all, since the largest one needs more than a share.
 */
static bool
share_may_keep(const memory_account_t *account, const memory_share_t *share,
    size_t bytes, size_t used)
{
	size_t limit = account->budgets[MEMORY_BODIES].limit;

	return (
	    share->kept == 0 ||
	    (used + bytes <= limit &&
		share->kept + bytes <= KEPT_PER_FREE * (limit - used - bytes)));
}

/*
 * Keeps a complete body. Returns false if the budget or the share of its
 * address has no room.
 */
bool
memory_keep(memory_account_t *account, memory_kept_t *kept, const char *address,
    size_t bytes)
{
	memory_share_t *share = share_ref(account, address);

	if (!share_may_keep(
		account, share, bytes, account->budgets[MEMORY_BODIES].used) ||
	    !memory_account_reserve(account, MEMORY_BODIES, bytes)) {
		share_unref(share);
		return (false);
	}
	share->kept += bytes;
	*kept = (memory_kept_t){
	    .account = account, .address = share, .bytes = bytes};
	return (true);
}

/*
 * Counts a kept body as that of an organisation. Returns false if its share has
 * no room; the body is kept until memory_keep_end().
 */
bool
memory_keep_for(memory_kept_t *kept, str_t org)
{
	memory_account_t *account = kept->account;
	char name[MAX_ADDRESS];
	memory_share_t *share;

	if (account == NULL || kept->org != NULL)
		return (true);
	/* Names may be long, and look like addresses. */
	snprintf(name, sizeof(name), "org %016llx",
	    (unsigned long long)str_hash(org, 0));
	share = share_ref(account, name);
	if (!share_may_keep(account, share, kept->bytes,
		account->budgets[MEMORY_BODIES].used - kept->bytes)) {
		share_unref(share);
		return (false);
	}
	share->kept += kept->bytes;
	kept->org = share;
	return (true);
}

/* Returns what is kept; it may have ended before. */
void
memory_keep_end(memory_kept_t *kept)
{
	if (kept->account == NULL)
		return;
	memory_account_release(kept->account, MEMORY_BODIES, kept->bytes);
	kept->address->kept -= kept->bytes;
	share_unref(kept->address);
	if (kept->org != NULL) {
		kept->org->kept -= kept->bytes;
		share_unref(kept->org);
	}
	*kept = (memory_kept_t){0};
}

/* Counts a refusal for the next log line of the budget. */
void
memory_account_refused(memory_account_t *account, memory_budget_t budget)
{
	account->budgets[budget].refusals++;
}

/*
 * Returns whether refusals are to be logged now, which is once in a second for
 * each budget, and their number since the last line.
 */
bool
memory_account_should_log(memory_account_t *account, memory_budget_t budget,
    double now, uint64_t *refusals)
{
	budget_t *b = &account->budgets[budget];

	*refusals = b->refusals;
	if (b->refusals == 0 || now - b->logged_at < LOG_INTERVAL_S)
		return (false);
	b->refusals = 0;
	b->logged_at = now;
	return (true);
}
