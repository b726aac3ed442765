/* Names of pools, routes, zones and hosts, as they are stored everywhere. */
#ifndef DAISYPIER_NAME_H
#define DAISYPIER_NAME_H

#include "str.h"

/* Bytes of a name with its NUL. Longer ones are shortened when they are read.
 */
#define NAME_SIZE 64
/*
 * Bytes of an endpoint's name with its NUL. It is sent back to the endpoint and
 * can't be shortened; a key of the store has at most 255 bytes.
 */
#define ENDPOINT_NAME_SIZE 256

bool name_shorten(char out[NAME_SIZE], str_t name);

#endif
