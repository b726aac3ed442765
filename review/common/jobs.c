/* A client of batch jobs. */
#include <string.h>

#include "lib.h"

void
job_submit(const char *job, const item_t *items, size_t count)
{
	job_submit_to("/pule252/", job, items, count);
}

void
job_submit_to(
    const char *prefix, const char *job, const item_t *items, size_t count)
{
	bytes_t body = {0};
	bytes_t request = {0};

	bytes_printf(&body, "{\"items\":[");
	for (size_t i = 0; i < count; i++)
		bytes_printf(&body,
		    "%s{\"id\":\"%s\",\"path\":\"%s3/%s\",\"headers\":{"
		    "\"X-Daisypier-Model\":\"m\","
		    "\"X-Daisypier-Token-Usage\":\"250,%u\","
		    "\"X-Daisypier-Prompt-Prefix\":\"9c2e41:100,%.6s:150\"%s},"
		    "\"body\":\"q83vEjRWeJA=\",\"tokens\":%u}",
		    i > 0 ? "," : "", items[i].id, prefix, items[i].id,
		    items[i].tokens - 250, items[i].id, items[i].headers,
		    items[i].tokens);
	bytes_printf(&body, "]}");
	bytes_printf(&request,
	    "POST %s%s HTTP/1.1\r\nHost: " HOST_NAME
	    "\r\nX-Daisypier-Request-Id: %s\r\n"
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
	    prefix, job, job, body.len);
	bytes_add(&request, body.data, body.len);
	for (unsigned try = 0;; try++) {
		message_t answer;
		int status;

		http_call(gateways[try % gateway_count].ip, front_port,
		    &request, 5.5, &answer);
		status = answer.status;
		message_free(&answer);
		record("job %s of %zu items: status %d", job, count, status);
		if (status == 202)
			break;
		if (try > 10)
			cannot_run("a job is not accepted");
		sleep_s(0.3);
	}
	bytes_free(&body);
	bytes_free(&request);
}

bool
job_read(const char *job, unsigned gateway, message_t *answer)
{
	bytes_t request = {0};

	bytes_printf(&request,
	    "GET /-/lots/%s?after=0 HTTP/1.1\r\nHost: " HOST_NAME
	    "\r\nX-Daisypier-Request-Id: read-%s\r\n\r\n",
	    job, job);
	http_call(gateways[gateway].ip, front_port, &request, 3, answer);
	bytes_free(&request);
	return (answer->status == 200 && answer->complete);
}

char
job_item_state(const message_t *answer, const char *item)
{
	char text[64];
	const char *at;

	snprintf(text, sizeof(text), "{\"id\":\"%s\",\"state\":\"", item);
	at = answer->body.data != NULL ? strstr(answer->body.data, text) : NULL;
	if (at == NULL)
		return ('-');
	return (at[strlen(text) + 1] == 'o' ? 'd' : 'x');
}
