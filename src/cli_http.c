/* Options and requests that the operators' commands share. */
#include "cli.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "file.h"
#include "http_head.h"

#define TIMEOUT_S	  30L
#define CONNECT_TIMEOUT_S 5L
#define MAX_ERRORS	  20

/* Makes the options that reach a host; the table of argtable frees them. */
void
cli_server_init(cli_server_t *server)
{
	server->url = arg_str0("s", "server", "URL",
	    "address of a host, http://IP:PORT; default: DAISYPIER_SERVER");
	server->token_file = arg_file0(NULL, "token-file", "FILE",
	    "file with the bearer token; default: DAISYPIER_TOKEN");
	server->help = arg_lit0("h", "help", "print this help");
	server->end = arg_end(MAX_ERRORS);
}

/*
 * Parses a command's options. Returns a negative number to go on, or the exit
 * code.
 */
int
cli_parse(const char *name, const char *summary, int argc, char **argv,
    void **table, size_t count, const cli_server_t *server)
{
	int errors;

	if (arg_nullcheck(table) != 0) {
		fputs("out of memory\n", stderr);
		return (CLI_FAILED);
	}
	errors = arg_parse(argc, argv, table);
	(void)count;
	if (server->help->count > 0) {
		printf("usage: daisypier %s", name);
		arg_print_syntax(stdout, table, "\n");
		printf("%s\n\n", summary);
		arg_print_glossary(stdout, table, "  %-28s %s\n");
		return (CLI_OK);
	}
	if (errors > 0) {
		char program[64];

		snprintf(program, sizeof(program), "daisypier %s", name);
		arg_print_errors(stderr, server->end, program);
		return (CLI_USAGE);
	}
	return (-1);
}

static size_t
on_body(char *data, size_t size, size_t count, void *ctx)
{
	buf_append(ctx, (str_t){data, size * count});
	return (size * count);
}

/*
 * Hosts state the length of each answer or send it in chunks, so that libcurl
 * reports one that is cut. It takes an answer without either, also one that
 * ends within its head, for whole when the connection ends.
 */
static bool
is_framed(CURL *curl)
{
	struct curl_header *header;

	return (curl_easy_header(curl, "Content-Length", 0, CURLH_HEADER, -1,
		    &header) == CURLHE_OK ||
		curl_easy_header(curl, "Transfer-Encoding", 0, CURLH_HEADER, -1,
		    &header) == CURLHE_OK);
}

/* Notes where the head of the final answer ends. */
static size_t
on_header(char *data, size_t size, size_t count, void *ctx)
{
	bool *complete = ctx;
	str_t line = {data, size * count};

	*complete = http_head_line_ends_head(line);
	return (line.len);
}

/* Returns the Authorization header, or an empty one without a token. */
static int
load_token(const cli_server_t *server, buf_t *header)
{
	const char *variable = getenv("DAISYPIER_TOKEN");
	buf_t token = {0};
	int rc = 0;

	if (server->token_file->count > 0)
		rc = file_read(server->token_file->filename[0], &token);
	else if (variable != NULL)
		buf_append(&token, str_of(variable));
	if (rc != 0)
		fprintf(stderr, "%s: %s\n", server->token_file->filename[0],
		    strerror(-rc));
	else if (token.len > 0)
		buf_printf(header, "Authorization: Bearer " STR_FMT,
		    STR_ARG(str_trim(str_buf(&token))));
	buf_free(&token);
	return (rc);
}

static void
perform(const char *url, const char *method, const char *header, str_t body,
    cli_answer_t *answer)
{
	CURL *curl = curl_easy_init();
	struct curl_slist *headers = NULL;
	bool complete = false;
	long status = 0;
	CURLcode rc;

	if (header != NULL)
		headers = curl_slist_append(headers, header);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	if (strcmp(method, "POST") == 0) {
		curl_easy_setopt(
		    curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)body.len);
		curl_easy_setopt(
		    curl, CURLOPT_POSTFIELDS, body.len > 0 ? body.data : "");
	}
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, &answer->body);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, &complete);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT, TIMEOUT_S);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT, CONNECT_TIMEOUT_S);
	curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
	rc = curl_easy_perform(curl);
	if (rc == CURLE_OK && (!complete || !is_framed(curl)))
		rc = CURLE_PARTIAL_FILE;
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	answer->status = rc == CURLE_OK ? (int)status : 0;
	snprintf(answer->error, sizeof(answer->error), "%s",
	    rc == CURLE_OK ? "" : curl_easy_strerror(rc));
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
}

/*
 * Makes one request. Returns a negative number when there is an answer, or the
 * exit code after a message.
 */
int
cli_ask(const cli_server_t *server, const char *method, const char *path,
    str_t body, cli_answer_t *answer)
{
	const char *base = server->url->count > 0 ? server->url->sval[0]
						  : getenv("DAISYPIER_SERVER");
	buf_t header = {0};
	buf_t url = {0};

	*answer = (cli_answer_t){0};
	if (base == NULL) {
		fputs("no host: state --server or DAISYPIER_SERVER\n", stderr);
		return (CLI_USAGE);
	}
	if (load_token(server, &header) != 0)
		return (CLI_FAILED);
	buf_printf(&url, "%s%s", base, path);
	perform(url.data, method, header.data, body, answer);
	buf_free(&header);
	if (answer->status == 0)
		fprintf(stderr, "%s: %s\n", url.data, answer->error);
	buf_free(&url);
	if (answer->status == 0) {
		cli_answer_free(answer);
		return (CLI_FAILED);
	}
	answer->json =
	    json_loadb(answer->body.data != NULL ? answer->body.data : "",
		answer->body.len, 0, NULL);
	return (-1);
}

/* Prints an answer and frees it; returns the exit code. */
int
cli_report(cli_answer_t *answer)
{
	bool ok = answer->status >= 200 && answer->status < 300;
	json_t *error = json_object_get(answer->json, "error");
	const char *message =
	    json_string_value(json_object_get(error, "message"));

	if (message != NULL)
		fprintf(stderr, "%d: %s\n", answer->status, message);
	else if (answer->body.len > 0)
		printf("%s\n", answer->body.data);
	cli_answer_free(answer);
	return (ok ? CLI_OK : CLI_FAILED);
}

/* Frees an answer. */
void
cli_answer_free(cli_answer_t *answer)
{
	json_decref(answer->json);
	buf_free(&answer->body);
	answer->json = NULL;
}

/* Appends s with all but plain characters escaped for a URL. */
void
cli_escape(str_t s, buf_t *out)
{
	for (size_t i = 0; i < s.len; i++) {
		unsigned char c = (unsigned char)s.data[i];

		if ((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
		    (c >= '0' && c <= '9') || strchr("-._~", c) != NULL)
			buf_append_char(out, (char)c);
		else
			buf_printf(out, "%%%02X", c);
	}
}
