/* The shared parts of a prompt, and the request that it belongs to. */
#ifndef DAISYPIER_PROMPT_PARTS_H
#define DAISYPIER_PROMPT_PARTS_H

#include "str.h"

/*
 * Identifiers of all parts that a prompt may share with other prompts, each
 * once. Its last part belongs to the request alone and is not among them. After
 * them stands the fingerprint of the whole request, which counts as a part that
 * only its repeats share. Initialize with {0}; prompt_parts_free() frees it.
 */
typedef struct prompt_parts_t {
	uint64_t *ids; /* sorted, but for the fingerprint */
	size_t count;
	size_t capacity;
	bool has_request; /* the last one is the fingerprint of the request */
} prompt_parts_t;

/* Why a request may not be sent to an endpoint now. */
typedef struct part_hold_t {
	uint64_t part;	    /* that is held back */
	double retry_after; /* seconds until a request may be tried */
} part_hold_t;

void prompt_parts_add(prompt_parts_t *parts, uint64_t id);
void prompt_parts_seal(prompt_parts_t *parts);
void prompt_parts_set_request(
    prompt_parts_t *parts, str_t target, str_t prompt, str_t body);
void prompt_parts_copy(prompt_parts_t *out, const prompt_parts_t *parts);
void prompt_parts_free(prompt_parts_t *parts);
bool prompt_parts_has(const prompt_parts_t *parts, uint64_t id);
bool prompt_parts_is_request(const prompt_parts_t *parts, size_t i);
void prompt_parts_print(const prompt_parts_t *parts, buf_t *out);

#endif
