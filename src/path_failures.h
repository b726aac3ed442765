/* Endpoints that one holder could not reach a short time ago. */
#ifndef DAISYPIER_PATH_FAILURES_H
#define DAISYPIER_PATH_FAILURES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PATH_FAILURES_MAX 32

typedef struct path_failure_t {
	uint64_t endpoint; /* hash of its name; 0: unused */
	double avoid_until;
	double seconds; /* between failure and avoid_until */
} path_failure_t;

typedef struct path_failures_t {
	path_failure_t entries[PATH_FAILURES_MAX];
} path_failures_t;

double path_failures_add(
    path_failures_t *failures, uint64_t endpoint, double now);
void path_failures_remove(path_failures_t *failures, uint64_t endpoint);
bool path_failures_avoid(
    const path_failures_t *failures, uint64_t endpoint, double now);
bool path_failures_known(
    const path_failures_t *failures, uint64_t endpoint, double now);
bool path_failures_any(const path_failures_t *failures, double now);

#endif
