/* Questions about the names of a protocol adapter. */
#include "dialect.h"

#include <strings.h>

/*
 * Returns whether a header tells who the caller is: it carries the key or the
 * name of the organisation. Such headers of callers are not passed on.
 */
bool
dialect_identifies_org(const dialect_t *dialect, const char *header)
{
	return (strcasecmp(header, dialect->key_header) == 0 ||
		strcasecmp(header, dialect->org_header) == 0);
}
