/*
 * Checks that the head of a caller's request can be sent on. The HTTP server
 * accepts blanks in names and targets, which an endpoint may read otherwise
 * than this host does: "Content-Length : 5" is no length here.
 */
#include "request_check.h"

#include "http_syntax.h"
#include "result.h"

/* Appends the first fault of the headers. */
static void
check_header(void *ctx, const char *name, const char *value)
{
	buf_t *fault = ctx;

	if (fault->len > 0)
		return;
	/* Such a name may not be printable. */
	if (!http_is_token(str_of(name)))
		buf_printf(fault, "the name of a header is no token");
	else if (!http_is_field_value(str_of(value)))
		buf_printf(fault, "header %.64s has a control character", name);
}

/*
 * Returns 0, or -RESULT_BAD_REQUEST if a part of the head would be read as
 * something else; then fault says which part.
 */
int
request_check(const http_request_t *request, buf_t *fault)
{
	if (!http_is_token(str_of(http_request_method(request))))
		buf_printf(fault, "the method is no token");
	else if (!http_is_target(str_of(http_request_target(request))))
		buf_printf(
		    fault, "the target has a blank or a control character");
	else
		http_request_each_header(request, check_header, fault);
	return (fault->len > 0 ? -RESULT_BAD_REQUEST : 0);
}
