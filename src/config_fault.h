/* Faults of a configuration text, each with its file and line. */
#ifndef DAISYPIER_CONFIG_FAULT_H
#define DAISYPIER_CONFIG_FAULT_H

#include "str.h"

/* One fault of a configuration text. */
typedef struct config_fault_t {
	char *file; /* "base", "overlay" or the path of a settings file */
	unsigned line;
	char *text;
} config_fault_t;

typedef struct config_faults_t {
	config_fault_t *items;
	size_t count;
} config_faults_t;

void config_faults_add(config_faults_t *faults, const char *file, unsigned line,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));
void config_faults_sort(config_faults_t *faults);
int config_faults_read_file(
    config_faults_t *faults, const char *path, buf_t *text);
void config_faults_free(config_faults_t *faults);
void config_faults_render(const config_faults_t *faults, buf_t *out);

#endif
