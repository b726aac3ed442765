/* Structured log lines through log4c. */
#ifndef DAISYPIER_LOGGER_H
#define DAISYPIER_LOGGER_H

typedef enum log_level_t {
	LOG_LEVEL_ERROR,
	LOG_LEVEL_WARN,
	LOG_LEVEL_INFO,
	LOG_LEVEL_DEBUG,
} log_level_t;

/* Where lines go, and how many. */
typedef enum log_output_t {
	LOG_OUTPUT_STDERR,
	/* Never blocks: lines that the reader does not take are dropped. */
	LOG_OUTPUT_STDOUT,
} log_output_t;

int logger_init(const char *name, log_level_t level);
void logger_set_output(log_output_t output);
void logger_set_level(log_level_t level);
int logger_level_parse(const char *text, log_level_t *out);
void logger_close(void);

/*
 * One line for one state change: an event name and key=value pairs, such as
 * LOG_INFO("shard_claimed", "shard=%u epoch=%llu", shard, epoch).
 */
void log_write(log_level_t level, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

#define LOG_ERROR(event, ...) log_write(LOG_LEVEL_ERROR, event, __VA_ARGS__)
#define LOG_WARN(event, ...)  log_write(LOG_LEVEL_WARN, event, __VA_ARGS__)
#define LOG_INFO(event, ...)  log_write(LOG_LEVEL_INFO, event, __VA_ARGS__)
#define LOG_DEBUG(event, ...) log_write(LOG_LEVEL_DEBUG, event, __VA_ARGS__)

#endif
