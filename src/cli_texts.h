/* The files of a configuration on the command line and their differences. */
#ifndef DAISYPIER_CLI_TEXTS_H
#define DAISYPIER_CLI_TEXTS_H

#include <jansson.h>

#include "config_sites.h"

#define CLI_MAX_OVERLAYS 64

/* A base file and overlays named overlay-SITE.ini or SITE=FILE. */
typedef struct cli_texts_t {
	const char *base_path;
	buf_t base;
	struct {
		const char *path;
		char *site;
		buf_t text;
	} overlays[CLI_MAX_OVERLAYS];
	size_t count;
} cli_texts_t;

int cli_texts_load(cli_texts_t *texts, const char *base,
    const char *const *overlays, size_t count);
void cli_texts_free(cli_texts_t *texts);
int cli_texts_check(const cli_texts_t *texts);
void cli_texts_print_faults(const cli_texts_t *texts, const json_t *faults);
json_t *cli_texts_json(const cli_texts_t *texts);
size_t cli_texts_diff(str_t before, str_t after, const char *title);

#endif
