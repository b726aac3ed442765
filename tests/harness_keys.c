/* Requests with keys of organisations to a fleet of gateway hosts. */
#include "harness_keys.h"

#include <stdio.h>
#include <string.h>

#include "clock.h"

static int
ask_body(gateways_t *fleet, const keys_ask_t *ask, buf_t *body)
{
	harness_response_t response;
	const char *headers[12] = {GATEWAYS_HOST_HEADER,
	    "Expect:", "X-Daisypier-Token-Usage: 100,32",
	    "X-Daisypier-Prompt-Prefix: 1:100",
	    "X-Daisypier-Deadline-Ms: 5000"};
	char base[64];
	char url[200];
	char id[160];
	size_t count = 5;
	int status;

	gateways_caller_url(fleet, ask->host, base, sizeof(base));
	snprintf(url, sizeof(url), "%s%s", base, ask->path);
	snprintf(id, sizeof(id), "X-Daisypier-Request-Id: %s", ask->id);
	if (ask->id != NULL)
		headers[count++] = id;
	for (size_t i = 0; i < 4 && ask->headers[i] != NULL; i++)
		headers[count++] = ask->headers[i];
	harness_http(
	    &(harness_request_t){
		.method = ask->method != NULL ? ask->method : "POST",
		.url = url,
		.headers = headers,
		.body = str_of(ask->body != NULL ? ask->body : "prompt"),
		.timeout = ask->timeout > 0 ? ask->timeout : 5,
	    },
	    &response);
	status = response.error == 0 ? response.status : 0;
	if (body != NULL)
		buf_append(body, str_buf(&response.body));
	harness_response_free(&response);
	return (status);
}

/* Sends a request to a host; returns the status, 0 without a whole answer. */
int
keys_ask(gateways_t *fleet, const keys_ask_t *params)
{
	return (ask_body(fleet, params, NULL));
}

/* Sends a stream with a key to a host; returns the status. */
int
keys_ask_with(gateways_t *fleet, unsigned host, const char *key, const char *id)
{
	char header[160];

	snprintf(header, sizeof(header), "Authorization: Bearer %s", key);
	return (keys_ask(fleet, &(keys_ask_t){.host = host,
				    .path = GATEWAYS_ONCE,
				    .id = id,
				    .headers = {header}}));
}

/* Returns the status of a host's readiness check. */
int
keys_readiness(const gateways_t *fleet, unsigned host)
{
	return (harness_get(NULL, "http://127.0.0.%u:%u/-/ready", 21 + host,
	    fleet->readiness_port));
}

/* Starts a fleet whose configuration holds both organisations. */
void
keys_start(gateways_t *fleet, unsigned hosts, unsigned revoke_ms)
{
	gateways_start(fleet, &(gateways_params_t){
				  .hosts = hosts,
				  .tenants = "[" ACME "," BOLT "]",
				  .revoke_ms = revoke_ms,
			      });
}

/* A condition on the status of requests with a key. */
typedef struct status_wait_t {
	gateways_t *fleet;
	unsigned host;
	const char *key;
	int status;
	unsigned requests; /* sent */
	double last_ok_at; /* start of the last request that ran */
} status_wait_t;

static bool
has_status(void *ctx)
{
	status_wait_t *wait = ctx;
	double started = clock_monotonic();
	char id[48];
	int status;

	snprintf(id, sizeof(id), "w%u-%.0f-%u", wait->host, started * 1e3,
	    wait->requests++);
	status = keys_ask_with(wait->fleet, wait->host, wait->key, id);
	if (gateways_runs(wait->fleet, id).runs > 0)
		wait->last_ok_at = started;
	return (status == wait->status);
}

/* Waits until requests with a key get a status. */
bool
keys_wait_status(gateways_t *fleet, unsigned host, const char *key, int status,
    double *last_ok_at)
{
	status_wait_t wait = {
	    .fleet = fleet, .host = host, .key = key, .status = status};
	bool reached = harness_wait(has_status, &wait, CHANGE_TIMEOUT_S);

	if (last_ok_at != NULL)
		*last_ok_at = wait.last_ok_at;
	return (reached);
}

typedef struct ready_status_t {
	const gateways_t *fleet;
	unsigned host;
	int status;
} ready_status_t;

static bool
has_readiness(void *ctx)
{
	const ready_status_t *wait = ctx;

	return (keys_readiness(wait->fleet, wait->host) == wait->status);
}

/* Waits until the readiness check of a host has a status. */
bool
keys_wait_readiness(gateways_t *fleet, unsigned host, int status)
{
	ready_status_t wait = {fleet, host, status};

	return (harness_wait(has_readiness, &wait, CHANGE_TIMEOUT_S));
}
