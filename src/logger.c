/* Structured log lines through log4c. */
#include "logger.h"

#include <errno.h>
#include <fcntl.h>
#include <math.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <log4c.h>

#include "clock.h"

/* Longest log line in bytes; longer ones are truncated. */
#define LINE_SIZE 1024
/* Bytes a second that a process may write for long, and at once. */
#define BYTES_PER_S 100000.0
#define BURST_BYTES 500000.0
/* Share of the burst that is kept for warnings and errors. */
#define KEPT_FOR_WARNINGS 0.3

static log4c_category_t *category;

/* What may be written now, and what was not. */
static struct {
	int fd;
	double tokens; /* bytes */
	double updated;
	uint64_t dropped; /* lines since the last one that says so */
	uint64_t dropped_total;
} output = {.fd = STDERR_FILENO, .tokens = BURST_BYTES};

static const struct {
	const char *name;
	int priority;
} levels[] = {
    [LOG_LEVEL_ERROR] = {"error", LOG4C_PRIORITY_ERROR},
    [LOG_LEVEL_WARN] = {"warn", LOG4C_PRIORITY_WARN},
    [LOG_LEVEL_INFO] = {"info", LOG4C_PRIORITY_INFO},
    [LOG_LEVEL_DEBUG] = {"debug", LOG4C_PRIORITY_DEBUG},
};

/* Formats one event as "time level name event key=value ...". */
static const char *
line_format(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
	static char line[LINE_SIZE];
	struct tm utc;
	time_t seconds = event->evt_timestamp.tv_sec;
	char stamp[32];

	(void)layout;
	gmtime_r(&seconds, &utc);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &utc);
	snprintf(line, sizeof(line), "%s.%03ldZ %s %s %s\n", stamp,
	    (long)event->evt_timestamp.tv_usec / 1000,
	    log4c_priority_to_string(event->evt_priority), event->evt_category,
	    event->evt_msg);
	return (line);
}

static const log4c_layout_type_t line_layout = {
    .name = "daisypier_line",
    .format = line_format,
};

/* Whether a line fits the budget; warnings may use all of it. */
static bool
budget_take(size_t bytes, int priority)
{
	double now = clock_monotonic();
	double keep = priority <= LOG4C_PRIORITY_WARN
			  ? 0
			  : BURST_BYTES * KEPT_FOR_WARNINGS;

	output.tokens = fmin(
	    BURST_BYTES, output.tokens + (now - output.updated) * BYTES_PER_S);
	output.updated = now;
	if (output.tokens - (double)bytes < keep)
		return (false);
	output.tokens -= (double)bytes;
	return (true);
}

static bool
write_line(const char *line, size_t len)
{
	return (write(output.fd, line, len) == (ssize_t)len);
}

static void
report_dropped(void)
{
	char line[160];
	int len = snprintf(line, sizeof(line),
	    "log_lines_dropped count=%llu total=%llu\n",
	    (unsigned long long)output.dropped,
	    (unsigned long long)output.dropped_total);

	if (write_line(line, (size_t)len))
		output.dropped = 0;
}

/* Writes a line as it is; log4c's own types put their name before it. */
static int
line_append(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	const char *line = event->evt_rendered_msg;
	size_t len = strlen(line);

	(void)appender;
	if (!budget_take(len, event->evt_priority) || !write_line(line, len)) {
		output.dropped++;
		output.dropped_total++;
	} else if (output.dropped > 0) {
		report_dropped();
	}
	return (0);
}

static const log4c_appender_type_t line_appender = {
    .name = "daisypier_line_appender",
    .append = line_append,
};

/*
 * Opens the log on standard error under a name that appears in each line.
 * Returns 0, or -EIO when log4c does not start.
 */
int
logger_init(const char *name, log_level_t level)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	if (log4c_init() != 0)
		return (-EIO);
	log4c_layout_type_set(&line_layout);
	layout = log4c_layout_get("daisypier_line_layout");
	log4c_layout_set_type(layout, &line_layout);
	log4c_appender_type_set(&line_appender);
	appender = log4c_appender_get("daisypier_stderr");
	log4c_appender_set_type(appender, &line_appender);
	log4c_appender_set_layout(appender, layout);
	category = log4c_category_get(name);
	log4c_category_set_appender(category, appender);
	log4c_category_set_additivity(category, 0);
	log4c_category_set_priority(category, levels[level].priority);
	return (0);
}

/* Chooses where lines go; standard error is the default. */
void
logger_set_output(log_output_t where)
{
	int flags;

	if (where == LOG_OUTPUT_STDERR) {
		output.fd = STDERR_FILENO;
		return;
	}
	output.fd = STDOUT_FILENO;
	flags = fcntl(output.fd, F_GETFL);
	/* Without the flag a reader that stopped would stop this process. */
	if (flags >= 0 && fcntl(output.fd, F_SETFL, flags | O_NONBLOCK) != 0)
		LOG_WARN("log_may_block", "cause=\"%s\"", strerror(errno));
}

/* Changes the least severe level that is logged. */
void
logger_set_level(log_level_t level)
{
	if (category != NULL)
		log4c_category_set_priority(category, levels[level].priority);
}

/* Parses a level's name. Returns 0, or -EINVAL when it is not one. */
int
logger_level_parse(const char *text, log_level_t *out)
{
	for (size_t i = 0; i < sizeof(levels) / sizeof(levels[0]); i++) {
		if (strcmp(levels[i].name, text) == 0) {
			*out = (log_level_t)i;
			return (0);
		}
	}
	return (-EINVAL);
}

/* Closes the log; later lines are dropped. */
void
logger_close(void)
{
	if (category != NULL)
		log4c_fini();
	category = NULL;
}

/* Writes one line; does nothing before logger_init(). */
void
log_write(log_level_t level, const char *event, const char *fmt, ...)
{
	char pairs[LINE_SIZE];
	va_list args;

	if (category == NULL || !log4c_category_is_priority_enabled(
				    category, levels[level].priority))
		return;
	va_start(args, fmt);
	vsnprintf(pairs, sizeof(pairs), fmt, args);
	va_end(args);
	log4c_category_log(
	    category, levels[level].priority, "%s %s", event, pairs);
}
