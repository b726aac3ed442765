/* What a forward of the fault proxy does to the bytes it carries. */
#include "standin_fault.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>

static const char *const mode_names[LINK_MODE_COUNT] = {
    [LINK_PASS] = "pass",
    [LINK_CUT] = "cut",
    [LINK_FREEZE] = "freeze",
    [LINK_DELAY] = "delay",
    [LINK_DROP_UP] = "drop_up",
    [LINK_DROP_DOWN] = "drop_down",
    [LINK_REFUSE] = "refuse",
};

/* Parses a mode's name. Returns 0, or -EINVAL when it is not one. */
int
link_mode_parse(const char *name, link_mode_t *mode)
{
	for (size_t i = 0; name != NULL && i < LINK_MODE_COUNT; i++) {
		if (strcmp(mode_names[i], name) != 0)
			continue;
		*mode = (link_mode_t)i;
		return (0);
	}
	return (-EINVAL);
}

/* Returns a mode's name. */
const char *
link_mode_name(link_mode_t mode)
{
	return (mode_names[mode]);
}

static int
address_parse(str_t text, struct sockaddr_in *out)
{
	str_t rest = text;
	str_t host;
	char number[INET_ADDRSTRLEN];
	uint64_t port;

	*out = (struct sockaddr_in){.sin_family = AF_INET};
	if (!str_split(&rest, ':', &host) || str_to_u64(rest, &port) != 0 ||
	    port > UINT16_MAX)
		return (-EINVAL);
	str_copy(number, sizeof(number), host);
	if (inet_pton(AF_INET, number, &out->sin_addr) != 1)
		return (-EINVAL);
	out->sin_port = htons((uint16_t)port);
	return (0);
}

/* Parses "IP:PORT=IP:PORT". Returns 0, or -EINVAL for anything else. */
int
forward_params_parse(const char *text, forward_params_t *params)
{
	str_t target = str_of(text);
	str_t listen;

	if (!str_split(&target, '=', &listen) ||
	    address_parse(listen, &params->listen) != 0 ||
	    address_parse(target, &params->target) != 0)
		return (-EINVAL);
	return (0);
}
