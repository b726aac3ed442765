/* Runs the real programs in tests: processes, HTTP and files. */
#include "harness.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <curl/curl.h>

#include "clock.h"

#define MAX_ARGS	    64
#define READY_TIMEOUT_S	    20.0
#define DEFAULT_HTTP_TIME_S 10.0
#define POLL_INTERVAL_S	    0.01

struct harness_process_t {
	pid_t pid; /* 0: it has ended and was waited for */
	int exit_code;
	int output; /* its standard output, kept open */
	char address[64];
	harness_process_t *next;
};

/* Every process that this test started; freed at exit. */
static harness_process_t *processes;
static char folder[256];

static int
remove_entry(
    const char *path, const struct stat *info, int flag, struct FTW *walk)
{
	(void)info;
	(void)flag;
	(void)walk;
	return (remove(path));
}

/* Ends what the test left behind. */
static void
on_exit_cleanup(void)
{
	while (processes != NULL) {
		harness_process_t *process = processes;

		processes = process->next;
		harness_kill(process);
		close(process->output);
		free(process);
	}
	if (folder[0] != '\0')
		nftw(folder, remove_entry, 8, FTW_DEPTH | FTW_PHYS);
}

static void
cleanup_register(void)
{
	static bool registered;

	if (!registered)
		atexit(on_exit_cleanup);
	registered = true;
}

static void
child_exec(const char *path, const char *const *args, int output, pid_t parent)
{
	const char *argv[MAX_ARGS + 2] = {path};
	size_t count = 0;

	while (args != NULL && args[count] != NULL && count < MAX_ARGS) {
		argv[count + 1] = args[count];
		count++;
	}
	/* The child must not survive a test that is killed. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent)
		_exit(127);
	dup2(output, STDOUT_FILENO);
	execv(path, (char *const *)argv);
	fprintf(stderr, "cannot run %s: %s\n", path, strerror(errno));
	_exit(127);
}

/* Starts a program of the build folder with its output in a pipe. */
static harness_process_t *
process_spawn(const char *program, const char *const *args)
{
	const char *build = getenv("DAISYPIER_BUILD");
	harness_process_t *process = xcalloc(1, sizeof(*process));
	pid_t parent = getpid();
	char path[512];
	int fds[2];

	cleanup_register();
	snprintf(path, sizeof(path), "%s/%s",
	    build != NULL ? build : "build/san", program);
	if (pipe2(fds, O_CLOEXEC) != 0)
		abort();
	process->pid = fork();
	if (process->pid == 0)
		child_exec(path, args, fds[1], parent);
	close(fds[1]);
	process->output = fds[0];
	process->next = processes;
	processes = process;
	return (process);
}

/*
 * Reads output until a newline, the end of output or the deadline. Returns
 * whether a whole line arrived.
 */
static bool
process_read_line(harness_process_t *process, double deadline, buf_t *line)
{
	while (clock_monotonic() < deadline) {
		struct pollfd item = {.fd = process->output, .events = POLLIN};
		char c;

		if (poll(&item, 1, 50) <= 0)
			continue;
		if (read(process->output, &c, 1) != 1)
			return (false);
		if (c == '\n')
			return (true);
		buf_append_char(line, c);
	}
	return (false);
}

/*
 * Starts a program and waits for its ready line, up to timeout seconds.
 * Returns NULL when it did not become ready; then it is killed, and its output
 * so far is printed.
 */
harness_process_t *
harness_start_within(
    const char *program, const char *const *args, double timeout)
{
	harness_process_t *process = process_spawn(program, args);
	double deadline = clock_monotonic() + timeout;
	buf_t line = {0};
	buf_t seen = {0};
	bool ready = false;

	while (!ready && process_read_line(process, deadline, &line)) {
		if (line.len > 0 &&
		    str_has_prefix(str_buf(&line), STR("ready "))) {
			str_copy(process->address, sizeof(process->address),
			    str_of(strrchr(line.data, ' ') + 1));
			ready = true;
		}
		buf_append(&seen, str_buf(&line));
		buf_append_char(&seen, '\n');
		buf_clear(&line);
	}
	if (!ready) {
		fprintf(stderr, "%s did not become ready; its output:\n%.*s",
		    program, (int)seen.len, seen.data);
		harness_kill(process);
	}
	buf_free(&line);
	buf_free(&seen);
	return (ready ? process : NULL);
}

/* Starts a program and waits for its ready line; NULL when there is none. */
harness_process_t *
harness_start(const char *program, const char *const *args)
{
	return (harness_start_within(program, args, READY_TIMEOUT_S));
}

typedef struct drain_t {
	int fd;
	FILE *out;
} drain_t;

static void *
drain_run(void *ctx)
{
	drain_t *drain = ctx;
	char block[4096];
	ssize_t n;

	while ((n = read(drain->fd, block, sizeof(block))) > 0)
		fwrite(block, 1, (size_t)n, drain->out);
	fclose(drain->out);
	close(drain->fd);
	free(drain);
	return (NULL);
}

/* Appends what a process still writes to a file, until the process ends. */
void
harness_drain(const harness_process_t *process, const char *path)
{
	drain_t *drain = xcalloc(1, sizeof(*drain));
	pthread_t thread;

	drain->fd = dup(process->output);
	drain->out = fopen(path, "a");
	if (drain->out == NULL || setvbuf(drain->out, NULL, _IOLBF, 0) != 0 ||
	    pthread_create(&thread, NULL, drain_run, drain) != 0)
		abort();
	pthread_detach(thread);
}

/* Returns "ADDRESS:PORT" of the ready line. */
const char *
harness_address(const harness_process_t *process)
{
	return (process->address);
}

/* Returns the port of the ready line. */
uint16_t
harness_port(const harness_process_t *process)
{
	const char *colon = strrchr(process->address, ':');

	return (colon != NULL ? (uint16_t)strtoul(colon + 1, NULL, 10) : 0);
}

/* Returns the process id; 0 after its end was noticed. */
pid_t
harness_pid(const harness_process_t *process)
{
	return (process->pid);
}

/* Sends a signal to a process that has not ended. */
void
harness_signal(harness_process_t *process, int number)
{
	if (process->pid > 0)
		kill(process->pid, number);
}

/* Pauses a process. */
void
harness_stop(harness_process_t *process)
{
	harness_signal(process, SIGSTOP);
}

/* Resumes a paused process. */
void
harness_continue(harness_process_t *process)
{
	harness_signal(process, SIGCONT);
}

static int
exit_code(int status)
{
	return (
	    WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status));
}

/*
 * Waits up to timeout seconds for a process to end. Returns its exit code, 128
 * plus the signal that ended it, or -ETIMEDOUT.
 */
int
harness_wait_exit(harness_process_t *process, double timeout)
{
	double deadline = clock_monotonic() + timeout;
	int status;

	while (process->pid > 0) {
		if (waitpid(process->pid, &status, WNOHANG) == process->pid) {
			process->pid = 0;
			process->exit_code = exit_code(status);
		} else if (clock_monotonic() >= deadline) {
			return (-ETIMEDOUT);
		} else {
			harness_sleep(POLL_INTERVAL_S);
		}
	}
	return (process->exit_code);
}

/* Kills a process without warning and waits for its end. */
void
harness_kill(harness_process_t *process)
{
	int status = 0;

	if (process->pid <= 0)
		return;
	kill(process->pid, SIGKILL);
	waitpid(process->pid, &status, 0);
	process->pid = 0;
	process->exit_code = exit_code(status);
}

/*
 * Runs a program to its end and appends its standard output to output, which
 * may be NULL. Returns like harness_wait_exit(); after the timeout the program
 * is killed.
 */
int
harness_run(
    const char *program, const char *const *args, double timeout, buf_t *output)
{
	harness_process_t *process = process_spawn(program, args);
	double deadline = clock_monotonic() + timeout;
	char block[4096];
	int rc;

	for (;;) {
		struct pollfd item = {.fd = process->output, .events = POLLIN};
		ssize_t n;

		if (clock_monotonic() >= deadline)
			break;
		if (poll(&item, 1, 50) <= 0)
			continue;
		n = read(process->output, block, sizeof(block));
		if (n <= 0)
			break;
		if (output != NULL)
			buf_append(output, (str_t){block, (size_t)n});
	}
	rc = harness_wait_exit(process, deadline - clock_monotonic());
	harness_kill(process);
	return (rc);
}

static size_t
on_curl_bytes(char *data, size_t size, size_t count, void *ctx)
{
	buf_append(ctx, (str_t){data, size * count});
	return (size * count);
}

/*
 * Performs one request on a connection of its own and waits for its end. The
 * caller frees the response. Returns the status, 0 when there was none.
 */
int
harness_http(const harness_request_t *request, harness_response_t *response)
{
	const char *method = request->method != NULL ? request->method : "GET";
	double timeout =
	    request->timeout > 0 ? request->timeout : DEFAULT_HTTP_TIME_S;
	CURL *curl = curl_easy_init();
	struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
	long status = 0;

	*response = (harness_response_t){0};
	for (size_t i = 0;
	     request->headers != NULL && request->headers[i] != NULL; i++)
		headers = curl_slist_append(headers, request->headers[i]);
	curl_easy_setopt(curl, CURLOPT_URL, request->url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)(timeout * 1000));
	if (request->body.len > 0 || strcmp(method, "POST") == 0) {
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS,
		    request->body.len > 0 ? request->body.data : "");
		curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)request->body.len);
	}
	if (strcmp(method, "HEAD") == 0)
		curl_easy_setopt(curl, CURLOPT_NOBODY, 1L);
	else
		curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_curl_bytes);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, &response->body);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_curl_bytes);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, &response->headers);
	response->error = (int)curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	response->status = (int)status;
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
	return (response->status);
}

/* Returns a copy of a response header's value, or NULL; the caller frees it. */
char *
harness_header(const harness_response_t *response, const char *name)
{
	str_t rest = str_buf(&response->headers);
	size_t len = strlen(name);
	str_t line;

	while (str_split(&rest, '\n', &line))
		if (line.len > len && line.data[len] == ':' &&
		    strncasecmp(line.data, name, len) == 0)
			return (str_dup(str_trim(
			    (str_t){line.data + len + 1, line.len - len - 1})));
	return (NULL);
}

/* Releases a response's memory. */
void
harness_response_free(harness_response_t *response)
{
	buf_free(&response->headers);
	buf_free(&response->body);
}

static int
simple_request(const char *method, str_t content, const char *url, buf_t *body)
{
	harness_request_t request = {
	    .method = method,
	    .url = url,
	    .body = content,
	};
	harness_response_t response;
	int status = harness_http(&request, &response);

	if (response.error != 0)
		status = 0;
	if (body != NULL) {
		buf_clear(body);
		buf_append(body, str_buf(&response.body));
	}
	harness_response_free(&response);
	return (status);
}

/*
 * Gets a URL given as a format. The body replaces the content of body unless
 * that is NULL. Returns the status, 0 when no whole answer arrived.
 */
int
harness_get(buf_t *body, const char *fmt, ...)
{
	char url[1024];
	va_list args;

	va_start(args, fmt);
	vsnprintf(url, sizeof(url), fmt, args);
	va_end(args);
	return (simple_request("GET", (str_t){0}, url, body));
}

/* Posts content to a URL given as a format; otherwise like harness_get(). */
int
harness_post(buf_t *body, str_t content, const char *fmt, ...)
{
	char url[1024];
	va_list args;

	va_start(args, fmt);
	vsnprintf(url, sizeof(url), fmt, args);
	va_end(args);
	return (simple_request("POST", content, url, body));
}

/* Polls a condition. Returns whether it held within timeout seconds. */
bool
harness_wait(bool (*condition)(void *ctx), void *ctx, double timeout)
{
	double deadline = clock_monotonic() + timeout;

	while (!condition(ctx)) {
		if (clock_monotonic() >= deadline)
			return (false);
		harness_sleep(POLL_INTERVAL_S);
	}
	return (true);
}

/* Pauses the test. */
void
harness_sleep(double seconds)
{
	if (seconds > 0)
		usleep((useconds_t)(seconds * 1e6));
}

/* Returns a new folder that is removed at exit; the same one on each call. */
const char *
harness_folder(void)
{
	const char *parent = getenv("TMPDIR");

	if (folder[0] == '\0') {
		cleanup_register();
		snprintf(folder, sizeof(folder), "%s/daisypier-XXXXXX",
		    parent != NULL ? parent : "/tmp");
		if (mkdtemp(folder) == NULL)
			abort();
	}
	return (folder);
}

/* Writes a file in the test's folder. Returns path, filled with its path. */
const char *
harness_write_file(const char *name, const char *text, char *path, size_t size)
{
	FILE *file;

	snprintf(path, size, "%s/%s", harness_folder(), name);
	file = fopen(path, "w");
	if (file == NULL || fputs(text, file) < 0 || fclose(file) != 0)
		abort();
	return (path);
}
