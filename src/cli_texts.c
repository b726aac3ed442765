/* The files of a configuration on the command line and their differences. */
#include "cli_texts.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "file.h"
#include "ini_text.h"

/* The settled lines of a text: "[section] key = value", sorted. */
typedef struct lines_t {
	char section[256];
	char **items;
	size_t count;
} lines_t;

static int
load_file(const char *path, buf_t *text)
{
	int rc = file_read(path, text);

	if (rc != 0)
		fprintf(stderr, "%s: %s\n", path, strerror(-rc));
	return (rc);
}

/* Splits SITE=FILE, or takes the site from a name like overlay-SITE.ini. */
static char *
site_of(const char *argument, const char **path)
{
	const char *equals = strchr(argument, '=');
	const char *slash = strrchr(argument, '/');
	str_t name = str_of(slash != NULL ? slash + 1 : argument);
	str_t prefix = STR("overlay-");
	str_t suffix = STR(".ini");

	if (equals != NULL) {
		*path = equals + 1;
		return (
		    str_dup((str_t){argument, (size_t)(equals - argument)}));
	}
	*path = argument;
	if (name.len <= prefix.len + suffix.len ||
	    !str_has_prefix(name, prefix) ||
	    strcmp(name.data + name.len - suffix.len, suffix.data) != 0)
		return (NULL);
	return (str_dup((str_t){
	    name.data + prefix.len, name.len - prefix.len - suffix.len}));
}

/* Reads all files. Returns 0, or an exit code after a message. */
int
cli_texts_load(cli_texts_t *texts, const char *base,
    const char *const *overlays, size_t count)
{
	*texts = (cli_texts_t){.base_path = base};
	if (count > CLI_MAX_OVERLAYS) {
		fprintf(stderr, "at most %d overlays\n", CLI_MAX_OVERLAYS);
		return (CLI_USAGE);
	}
	if (load_file(base, &texts->base) != 0)
		return (CLI_FAILED);
	for (size_t i = 0; i < count; i++) {
		char *site = site_of(overlays[i], &texts->overlays[i].path);

		if (site == NULL) {
			fprintf(stderr,
			    "%s: expected overlay-SITE.ini or SITE=FILE\n",
			    overlays[i]);
			return (CLI_USAGE);
		}
		texts->overlays[i].site = site;
		texts->count++;
		if (load_file(
			texts->overlays[i].path, &texts->overlays[i].text) != 0)
			return (CLI_FAILED);
	}
	return (0);
}

/* Frees all texts. */
void
cli_texts_free(cli_texts_t *texts)
{
	buf_free(&texts->base);
	for (size_t i = 0; i < texts->count; i++) {
		free(texts->overlays[i].site);
		buf_free(&texts->overlays[i].text);
	}
}

/* Returns the path of the file that a fault names. */
static const char *
path_of(const cli_texts_t *texts, const char *file)
{
	const char *prefix = "overlay-";

	if (strcmp(file, "base") == 0)
		return (texts->base_path);
	for (size_t i = 0; i < texts->count; i++)
		if (strncmp(file, prefix, strlen(prefix)) == 0 &&
		    strcmp(file + strlen(prefix), texts->overlays[i].site) == 0)
			return (texts->overlays[i].path);
	return (file);
}

/* Checks the files and prints all faults; returns the exit code. */
int
cli_texts_check(const cli_texts_t *texts)
{
	config_site_t sites[CLI_MAX_OVERLAYS];
	config_texts_t views = {str_buf(&texts->base), sites, texts->count};
	config_faults_t faults;
	int rc;

	for (size_t i = 0; i < texts->count; i++)
		sites[i] = (config_site_t){
		    str_of(texts->overlays[i].site),
		    str_buf(&texts->overlays[i].text),
		};
	rc = config_texts_check(&views, NULL, &faults);
	for (size_t i = 0; i < faults.count; i++)
		printf("%s:%u: %s\n", path_of(texts, faults.items[i].file),
		    faults.items[i].line, faults.items[i].text);
	if (faults.count > 0)
		printf("%zu faults\n", faults.count);
	config_faults_free(&faults);
	return (rc == 0 ? CLI_OK : CLI_FAILED);
}

/* Prints the faults of an answer. */
void
cli_texts_print_faults(const cli_texts_t *texts, const json_t *faults)
{
	size_t i;
	const json_t *fault;

	json_array_foreach(faults, i, fault)
	{
		const char *file =
		    json_string_value(json_object_get(fault, "file"));
		const char *text =
		    json_string_value(json_object_get(fault, "text"));

		printf("%s:%d: %s\n",
		    path_of(texts, file != NULL ? file : "base"),
		    (int)json_integer_value(json_object_get(fault, "line")),
		    text != NULL ? text : "");
	}
}

/* Returns {"base": TEXT, "overlays": {SITE: TEXT}}, or NULL without UTF-8. */
json_t *
cli_texts_json(const cli_texts_t *texts)
{
	json_t *overlays = json_object();
	json_t *base = json_stringn(
	    texts->base.data != NULL ? texts->base.data : "", texts->base.len);
	int rc = base != NULL ? 0 : -1;

	for (size_t i = 0; i < texts->count; i++) {
		const buf_t *text = &texts->overlays[i].text;

		rc |= json_object_set_new(overlays, texts->overlays[i].site,
		    json_stringn(
			text->data != NULL ? text->data : "", text->len));
	}
	if (rc == 0)
		return (
		    json_pack("{s:o,s:o}", "base", base, "overlays", overlays));
	fputs("the files are not in UTF-8\n", stderr);
	json_decref(base);
	json_decref(overlays);
	return (NULL);
}

static void
lines_add(lines_t *lines, const char *text)
{
	lines->items = xrealloc(
	    lines->items, (lines->count + 1) * sizeof(lines->items[0]));
	lines->items[lines->count++] = xstrdup(text);
}

static void
on_section(void *ctx, unsigned line, str_t name)
{
	lines_t *lines = ctx;

	(void)line;
	snprintf(lines->section, sizeof(lines->section), "[" STR_FMT "]",
	    STR_ARG(name));
	lines_add(lines, lines->section);
}

static void
on_key(void *ctx, unsigned line, str_t key, str_t value)
{
	lines_t *lines = ctx;
	buf_t text = {0};

	(void)line;
	buf_printf(&text, "%s " STR_FMT " = " STR_FMT, lines->section,
	    STR_ARG(key), STR_ARG(value));
	lines_add(lines, text.data);
	buf_free(&text);
}

static void
on_fault(void *ctx, unsigned line, const char *text)
{
	(void)ctx;
	(void)line;
	(void)text;
}

static int
line_compare(const void *a, const void *b)
{
	return (strcmp(*(char *const *)a, *(char *const *)b));
}

static void
lines_read(lines_t *lines, str_t text)
{
	*lines = (lines_t){0};
	ini_text_read(text, &(ini_events_t){
				.on_section = on_section,
				.on_key = on_key,
				.on_fault = on_fault,
				.ctx = lines,
			    });
	if (lines->count > 1)
		qsort(lines->items, lines->count, sizeof(lines->items[0]),
		    line_compare);
}

static void
lines_free(lines_t *lines)
{
	for (size_t i = 0; i < lines->count; i++)
		free(lines->items[i]);
	free(lines->items);
}

/* Prints what differs, whatever the order; returns the number of lines. */
size_t
cli_texts_diff(str_t before, str_t after, const char *title)
{
	lines_t old;
	lines_t new;
	size_t i = 0;
	size_t k = 0;
	size_t differences = 0;

	lines_read(&old, before);
	lines_read(&new, after);
	while (i < old.count || k < new.count) {
		int order = i == old.count ? 1
			    : k == new.count
				? -1
				: strcmp(old.items[i], new.items[k]);

		if (order != 0 && differences++ == 0)
			printf("%s:\n", title);
		if (order < 0)
			printf("- %s\n", old.items[i]);
		else if (order > 0)
			printf("+ %s\n", new.items[k]);
		i += order <= 0;
		k += order >= 0;
	}
	lines_free(&old);
	lines_free(&new);
	return (differences);
}
