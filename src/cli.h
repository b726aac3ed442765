/* Parts of the operators' command line. */
#ifndef DAISYPIER_CLI_H
#define DAISYPIER_CLI_H

#include <argtable2.h>
#include <jansson.h>

#include "str.h"

/* Exit codes of all programs. */
enum {
	CLI_OK = 0,
	CLI_FAILED = 1,
	CLI_USAGE = 2,
};

typedef struct cli_command_t {
	const char *name; /* one or two words */
	const char *summary;
	int (*run)(int argc, char **argv);
} cli_command_t;

/* Options that reach a host. */
typedef struct cli_server_t {
	struct arg_str *url;
	struct arg_file *token_file;
	struct arg_lit *help;
	struct arg_end *end;
} cli_server_t;

/* One answer; status 0 means that there was none. */
typedef struct cli_answer_t {
	int status;
	char error[128];
	buf_t body;
	json_t *json; /* NULL when the body is no JSON */
} cli_answer_t;

void cli_server_init(cli_server_t *server);
int cli_parse(const char *name, const char *summary, int argc, char **argv,
    void **table, size_t count, const cli_server_t *server);
int cli_ask(const cli_server_t *server, const char *method, const char *path,
    str_t body, cli_answer_t *answer);
int cli_report(cli_answer_t *answer);
void cli_answer_free(cli_answer_t *answer);
void cli_escape(str_t s, buf_t *out);

extern const cli_command_t cli_config_commands[];
extern const size_t cli_config_command_count;
extern const cli_command_t cli_fleet_commands[];
extern const size_t cli_fleet_command_count;

#endif
