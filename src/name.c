/* Names of pools, routes, zones and hosts, as they are stored everywhere. */
#include "name.h"

#include <stdio.h>

/* A shortened name ends with a dash and the hash of the whole one. */
#define HASH_DIGITS 16
#define KEPT_BYTES  (NAME_SIZE - 1 - 1 - HASH_DIGITS)

static bool
is_utf8_continuation(char c)
{
	return (((unsigned char)c & 0xc0) == 0x80);
}

/*
 * Copies a name. One that is too long keeps its beginning and gets a hash,
 * which is the same on every host, so that different names stay different.
 * Returns whether it was shortened.
 */
bool
name_shorten(char out[NAME_SIZE], str_t name)
{
	size_t kept = KEPT_BYTES;

	str_copy(out, NAME_SIZE, name);
	if (name.len < NAME_SIZE)
		return (false);
	while (kept > 0 && is_utf8_continuation(name.data[kept]))
		kept--;
	snprintf(out + kept, NAME_SIZE - kept, "-%0*llx", HASH_DIGITS,
	    (unsigned long long)str_hash(name, 0));
	return (true);
}
