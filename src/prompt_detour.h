/* What requests have paid for going to where parts of their prompt are. */
#ifndef DAISYPIER_PROMPT_DETOUR_H
#define DAISYPIER_PROMPT_DETOUR_H

#include <stdbool.h>
#include <stdint.h>

#define PROMPT_DETOUR_ENTRIES 256

typedef struct prompt_detour_entry_t {
	uint32_t hash;
	float cost; /* seconds, at updated_at */
	double updated_at;
} prompt_detour_entry_t;

/* Parts with the same remainder replace each other. */
typedef struct prompt_detour_t {
	prompt_detour_entry_t entries[PROMPT_DETOUR_ENTRIES];
} prompt_detour_t;

bool prompt_detour_pays(prompt_detour_t *detour, uint32_t hash, double cost,
    double reading, double now);

#endif
