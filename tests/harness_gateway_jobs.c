/* Jobs of a fleet of gateway hosts: submits them and reads their results. */
#include "harness_gateways.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "clock.h"

/* Submits a job; returns the status, or 0 if there was no response. */
static int
submit(gateways_t *fleet, unsigned host, const char *prefix, const char *job,
    unsigned items, unsigned events, const char *prompt)
{
	harness_response_t response;
	buf_t body = {0};
	char base[64];
	char url[160];
	char id_header[160];
	char key[160];
	int status;

	gateways_caller_url(fleet, host, base, sizeof(base));
	snprintf(url, sizeof(url), "%s%s%s", base, prefix, job);
	snprintf(
	    id_header, sizeof(id_header), "X-Daisypier-Request-Id: %s", job);
	buf_append(&body, STR("{\"items\":["));
	for (unsigned i = 0; i < items; i++)
		buf_printf(&body,
		    "%s{\"id\":\"%s-%u\",\"path\":\"%s"
		    "%u\",\"headers\":{\"X-Daisypier-Token-Usage\":\"10,%u\","
		    "\"X-Daisypier-Prompt-Prefix\":\"%s\"},"
		    "\"body\":\"cHJvbXB0\",\"tokens\":%u}",
		    i > 0 ? "," : "", job, i, prefix, i,
		    events * GATEWAYS_EVENT_TOKENS, prompt,
		    events * GATEWAYS_EVENT_TOKENS);
	buf_append(&body, STR("]}"));
	harness_http(
	    &(harness_request_t){
		.method = "POST",
		.url = url,
		.headers = (const char *const[]){GATEWAYS_HOST_HEADER,
		    id_header, "Content-Type: application/json", "Expect:",
		    gateways_key_header(fleet, key, sizeof(key)), NULL},
		.body = str_buf(&body),
		.timeout = 5,
	    },
	    &response);
	status = response.error == 0 ? response.status : 0;
	harness_response_free(&response);
	buf_free(&body);
	return (status);
}

/* Submits a job without shared parts; item K has the id JOB-K. */
int
gateways_submit(gateways_t *fleet, unsigned host, const char *job,
    unsigned items, unsigned events)
{
	return (
	    gateways_submit_to(fleet, host, GATEWAYS_JOBS, job, items, events));
}

/* Submits a job under another prefix. */
int
gateways_submit_to(gateways_t *fleet, unsigned host, const char *prefix,
    const char *job, unsigned items, unsigned events)
{
	return (submit(fleet, host, prefix, job, items, events, "1:100"));
}

/* Submits a job whose items have the same prompt. */
int
gateways_submit_prompt(gateways_t *fleet, unsigned host, const char *job,
    unsigned items, unsigned events, const char *prompt)
{
	return (submit(fleet, host, GATEWAYS_JOBS, job, items, events, prompt));
}

/* Reads results from a position on. Returns the status; 0: no answer. */
int
gateways_results(gateways_t *fleet, unsigned host, const char *job,
    unsigned after, buf_t *body)
{
	harness_response_t response;
	char base[64];
	char url[200];
	char key[160];
	int status;

	gateways_caller_url(fleet, host, base, sizeof(base));
	snprintf(url, sizeof(url), "%s/-/lots/%s?after=%u", base, job, after);
	harness_http(
	    &(harness_request_t){
		.url = url,
		.headers = (const char *const[]){GATEWAYS_HOST_HEADER,
		    "X-Daisypier-Wait-Ms: 300",
		    gateways_key_header(fleet, key, sizeof(key)), NULL},
		.timeout = 4,
	    },
	    &response);
	status = response.error == 0 ? response.status : 0;
	if (status == 200)
		buf_append(body, str_buf(&response.body));
	harness_response_free(&response);
	return (status);
}

/* Checks one result's text, whose events were padded with so many bytes. */
static bool
result_is_right(json_t *row, unsigned events, unsigned padding)
{
	const char *id = json_string_value(json_object_get(row, "id"));
	const char *state = json_string_value(json_object_get(row, "state"));
	const char *text = json_string_value(json_object_get(row, "output"));
	buf_t expected = {0};
	bool right;

	if (id == NULL || state == NULL || text == NULL)
		return (false);
	for (unsigned i = 0; i < events; i++) {
		buf_printf(&expected, "%s%s.%u", i > 0 ? "\n" : "", id, i);
		for (unsigned k = 0; k < padding; k++)
			buf_append_char(&expected, 'x');
	}
	right = strcmp(state, "done") == 0 &&
		str_equal(str_of(text), str_buf(&expected));
	buf_free(&expected);
	return (right);
}

/*
 * Reads a job at all hosts in turn until every item has its result. Returns
 * whether each item is listed once with its whole text, and no position ever
 * changed.
 */
bool
gateways_wait_job(gateways_t *fleet, const char *job, unsigned items,
    unsigned events, double timeout)
{
	return (
	    gateways_wait_padded_job(fleet, job, items, events, 0, timeout));
}

/* The same for a job that ran while the engines had the fault "pad". */
bool
gateways_wait_padded_job(gateways_t *fleet, const char *job, unsigned items,
    unsigned events, unsigned padding, double timeout)
{
	double end = clock_monotonic() + timeout;
	char(*seen)[96] = xcalloc(items + 1, sizeof(*seen));
	unsigned known = 0;
	bool right = true;

	for (unsigned turn = 0; right && clock_monotonic() < end; turn++) {
		unsigned host = turn % fleet->params.hosts;
		unsigned after = turn % 3 == 0 ? 0 : known;
		buf_t body = {0};
		json_t *root;
		json_t *rows;
		json_t *row;
		size_t i;

		if (fleet->hosts[host] == NULL ||
		    gateways_results(fleet, host, job, after, &body) != 200) {
			harness_sleep(0.05);
			buf_free(&body);
			continue;
		}
		root = json_loadb(body.data, body.len, 0, NULL);
		rows = json_object_get(root, "results");
		json_array_foreach(rows, i, row)
		{
			const char *id =
			    json_string_value(json_object_get(row, "id"));
			size_t at = after + i;

			right &=
			    result_is_right(row, events, padding) &&
			    at < items &&
			    (seen[at][0] == '\0' || strcmp(seen[at], id) == 0);
			if (!right)
				break;
			str_copy(seen[at], sizeof(seen[at]), str_of(id));
			if (at + 1 > known)
				known = (unsigned)at + 1;
		}
		right &=
		    json_integer_value(json_object_get(root, "total")) == items;
		json_decref(root);
		buf_free(&body);
		if (known == items)
			break;
	}
	for (unsigned i = 0; i < known; i++)
		for (unsigned k = i + 1; k < known; k++)
			right &= strcmp(seen[i], seen[k]) != 0;
	free(seen);
	return (right && known == items);
}
