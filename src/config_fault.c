/* Faults of a configuration text, each with its file and line. */
#include "config_fault.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "file.h"
#include "result.h"

/* Adds a fault; the text is formatted like printf. */
void
config_faults_add(config_faults_t *faults, const char *file, unsigned line,
    const char *fmt, ...)
{
	config_fault_t *fault;
	char text[256];
	va_list args;

	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	faults->items = xrealloc(
	    faults->items, (faults->count + 1) * sizeof(faults->items[0]));
	fault = &faults->items[faults->count++];
	fault->file = xstrdup(file);
	fault->line = line;
	fault->text = xstrdup(text);
}

static int
fault_compare(const void *a, const void *b)
{
	const config_fault_t *x = a;
	const config_fault_t *y = b;
	int order = strcmp(x->file, y->file);

	if (order != 0)
		return (order);
	if (x->line != y->line)
		return (x->line < y->line ? -1 : 1);
	return (strcmp(x->text, y->text));
}

/* Orders the faults by file and line. */
void
config_faults_sort(config_faults_t *faults)
{
	if (faults->count > 1)
		qsort(faults->items, faults->count, sizeof(faults->items[0]),
		    fault_compare);
}

/* Frees all faults; the list is empty and usable again. */
void
config_faults_free(config_faults_t *faults)
{
	for (size_t i = 0; i < faults->count; i++) {
		free(faults->items[i].file);
		free(faults->items[i].text);
	}
	free(faults->items);
	*faults = (config_faults_t){0};
}

/* Appends one line "FILE:LINE: TEXT" for each fault. */
void
config_faults_render(const config_faults_t *faults, buf_t *out)
{
	for (size_t i = 0; i < faults->count; i++)
		buf_printf(out, "%s:%u: %s\n", faults->items[i].file,
		    faults->items[i].line, faults->items[i].text);
}

/*
 * Reads a whole file for a parser that reports faults. One that cannot be read
 * is a fault in line 0. Returns 0 or -RESULT_INVALID_CONFIG.
 */
int
config_faults_read_file(config_faults_t *faults, const char *path, buf_t *text)
{
	int rc = file_read(path, text);

	*faults = (config_faults_t){0};
	if (rc == 0)
		return (0);
	config_faults_add(faults, path, 0, "%s", strerror(-rc));
	return (-RESULT_INVALID_CONFIG);
}
