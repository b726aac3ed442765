/* Runs the real programs in tests: processes, HTTP and files. */
#ifndef DAISYPIER_TESTS_HARNESS_H
#define DAISYPIER_TESTS_HARNESS_H

#include <sys/types.h>

#include "str.h"

typedef struct harness_process_t harness_process_t;

harness_process_t *harness_start(const char *program, const char *const *args);
harness_process_t *harness_start_within(
    const char *program, const char *const *args, double timeout);
const char *harness_address(const harness_process_t *process);
uint16_t harness_port(const harness_process_t *process);
pid_t harness_pid(const harness_process_t *process);
void harness_drain(const harness_process_t *process, const char *path);
void harness_signal(harness_process_t *process, int number);
void harness_stop(harness_process_t *process);
void harness_continue(harness_process_t *process);
void harness_kill(harness_process_t *process);
int harness_wait_exit(harness_process_t *process, double timeout);
int harness_run(const char *program, const char *const *args, double timeout,
    buf_t *output);

typedef struct harness_request_t {
	const char *method; /* NULL: "GET" */
	const char *url;
	const char *const *headers; /* "Name: value", NULL at the end */
	str_t body;
	double timeout; /* seconds; 0: 10 */
} harness_request_t;

typedef struct harness_response_t {
	int error;     /* 0, or a CURLcode when the answer is not whole */
	int status;    /* 0 when there was none */
	buf_t headers; /* raw lines */
	buf_t body;
} harness_response_t;

int harness_http(
    const harness_request_t *request, harness_response_t *response);
char *harness_header(const harness_response_t *response, const char *name);
void harness_response_free(harness_response_t *response);
int harness_get(buf_t *body, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
int harness_post(buf_t *body, str_t content, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

bool harness_wait(bool (*condition)(void *ctx), void *ctx, double timeout);
void harness_sleep(double seconds);

const char *harness_folder(void);
const char *harness_write_file(
    const char *name, const char *text, char *path, size_t size);

#endif
