/* Structured log lines through log4c. */
#include "logger.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <log4c.h>

/* Longest log line in bytes; longer ones are truncated. */
#define LINE_SIZE 1024

static log4c_category_t *category;

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

/* Writes a line as it is; log4c's own types put their name before it. */
static int
line_append(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	(void)appender;
	fputs(event->evt_rendered_msg, stderr);
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
