/*
 * The target of a request in its two forms: "/path?query" with the host in a
 * header, or "http://host/path?query", which a server must accept as well (RFC
 * 9112, section 3.2.2).
 */
#include "http_target.h"

#include <string.h>
#include <strings.h>

#include "str.h"

#define SCHEME	   "http://"
#define SCHEME_LEN (sizeof(SCHEME) - 1)

/*
 * Sets the target without scheme and host. Returns the host with its port if
 * the target has one, which stands above the header, else NULL. The caller
 * frees both.
 */
char *
http_target_split(const char *target, char **origin)
{
	const char *host = target + SCHEME_LEN;
	buf_t authority = {0};
	buf_t rest = {0};
	size_t len;

	if (strncasecmp(target, SCHEME, SCHEME_LEN) != 0) {
		*origin = xstrdup(target);
		return (NULL);
	}
	len = strcspn(host, "/?#");
	buf_append(&authority, (str_t){host, len});
	if (host[len] != '/')
		buf_append_char(&rest, '/');
	buf_append(&rest, str_of(host + len));
	*origin = rest.data;
	return (authority.data != NULL ? authority.data : xstrdup(""));
}
