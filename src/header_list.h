/* List of HTTP headers for a forwarded message, in the format of libcurl. */
#ifndef DAISYPIER_HEADER_LIST_H
#define DAISYPIER_HEADER_LIST_H

#include "str.h"

/* "Name: value" lines, terminated by NULL, as http_call_params_t takes them. */
typedef struct header_list_t {
	char **lines;
	size_t count;
	bool malformed; /* a header was refused */
} header_list_t;

int header_list_add(header_list_t *list, str_t name, str_t value);
int header_list_set(header_list_t *list, const char *name, str_t value);
void header_list_set_number(
    header_list_t *list, const char *name, uint64_t value);
void header_list_exclude(header_list_t *list, const char *name);
void header_list_copy(header_list_t *list, const header_list_t *from);
bool header_list_has(const header_list_t *list, const char *name);
void header_list_free(header_list_t *list);
bool header_is_hop_by_hop(const char *name);

#endif
