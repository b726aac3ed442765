/* Local settings of a gateway host, read from an INI file. */
#include "gateway_settings.h"

#include <stdlib.h>
#include <string.h>

#include "file.h"
#include "result.h"
#include "schema.h"

/* Shorter keys could be found by brute force from one recorded frame. */
#define MIN_KEY_BYTES 16

#define TEXT(member, type_, initial_, choices_, text)                    \
	{                                                                \
		.name = #member, .type = (type_), .initial = (initial_), \
		.choices = (choices_),                                   \
		.offset = offsetof(gateway_settings_t, member),          \
		.description = (text)                                    \
	}
#define NUMBER(member, type_, unit_, initial_, min_, max_, text)     \
	{                                                            \
		.name = #member, .type = (type_), .unit = (unit_),   \
		.initial = (initial_), .min = (min_), .max = (max_), \
		.offset = offsetof(gateway_settings_t, member),      \
		.description = (text)                                \
	}

static const schema_key_t gateway_keys[] = {
    TEXT(name, SCHEMA_NAME, NULL, NULL, "Unique name of this host"),
    TEXT(address, SCHEMA_IP, NULL, NULL,
	"IPv4 address for peer traffic and metrics"),
    TEXT(zone, SCHEMA_NAME, NULL, NULL, "Availability zone of this host"),
    TEXT(site, SCHEMA_NAME, NULL, NULL, "Site of this host"),
    TEXT(
	store, SCHEMA_URL, NULL, NULL, "URL of the store for persistent state"),
    TEXT(callers, SCHEMA_ADDRESS, NULL, NULL, "Listening address for callers"),
    TEXT(readiness, SCHEMA_ADDRESS, NULL, NULL,
	"Listening address for readiness checks of the platform"),
    TEXT(directory, SCHEMA_ADDRESS, NULL, NULL,
	"Listening address of the directory, where callers get the host list"),
    NUMBER(peer_port, SCHEMA_UINT, NULL, NULL, 1, 65535,
	"Port for peer traffic, TCP and UDP; the same on all hosts"),
    NUMBER(metrics_port, SCHEMA_UINT, NULL, "0", 0, 65535,
	"Port of the metrics; 0: disabled"),
    NUMBER(processor_share, SCHEMA_NUMBER, "cores", "0", 0, 1024,
	"Processor cores that this host may use; hosts with more cores do the "
	"shared work of all hosts; 0: unspecified"),
    TEXT(key, SCHEMA_TEXT, NULL, NULL,
	"Secret shared by all hosts; at least 16 bytes"),
    NUMBER(period_ms, SCHEMA_UINT, "ms", "500", 10, 60000,
	"Interval of membership probes"),
    NUMBER(keep_s, SCHEMA_NUMBER, "s", "2", 0.1, 3600,
	"How long callers may cache the host list"),
    NUMBER(results_keep_s, SCHEMA_NUMBER, "s", "180", 0, 1e9,
	"Retention of a finished job, counted from its submission; 0: "
	"unlimited"),
    NUMBER(stop_s, SCHEMA_NUMBER, "s", "8", 1, 86400,
	"Time limit of a graceful shutdown; requests still open are then "
	"aborted"),
    NUMBER(revoke_ms, SCHEMA_UINT, "ms", "0", 0, 3600000,
	"Time after which a revoked key is refused on every host; a host that "
	"cannot read the configuration refuses all keys by then; 0: no limit"),
    {.name = "fair_scheduling",
	.type = SCHEMA_BOOL,
	.initial = "no",
	.choices = "no|yes",
	.offset = offsetof(gateway_settings_t, fair_scheduling),
	.description = "Serve by priority and fair shares when slots are "
		       "scarce, and refuse early what cannot be served"},
    {.name = "return_restarts_target",
	.type = SCHEMA_BOOL,
	.initial = "no",
	.choices = "no|yes",
	.offset = offsetof(gateway_settings_t, return_restarts_target),
	.description = "With `fair_scheduling`: callers that return as told "
		       "count their target from the return, so slots are "
		       "kept for them while others wait"},
    {.name = "measured_speed",
	.type = SCHEMA_BOOL,
	.initial = "no",
	.choices = "no|yes",
	.offset = offsetof(gateway_settings_t, measured_speed),
	.description = "Place requests by the endpoints' measured speed, fill "
		       "new endpoints slowly, and avoid endpoints that only "
		       "this host cannot reach"},
    {.name = "prompt_cache",
	.type = SCHEMA_BOOL,
	.initial = "no",
	.choices = "no|yes",
	.offset = offsetof(gateway_settings_t, prompt_cache),
	.description = "Place requests by the parts of their prompt that "
		       "endpoints are expected to cache"},
    NUMBER(prompt_cache_tokens, SCHEMA_NUMBER, "tokens", "100000", 1, 1e8,
	"Tokens of prompts that an endpoint is expected to cache beside the "
	"requests that it runs"),
    NUMBER(quota_window_s, SCHEMA_NUMBER, "s", "5", 0, 3600,
	"Length of the windows in which limits of organisations are judged"),
    NUMBER(quota_overshoot, SCHEMA_NUMBER, NULL, "0", 0, 1,
	"Fraction of the limit of a window that is tolerated beyond it while "
	"hosts cannot know what was used, as after a restart of all"),
    NUMBER(quota_slack, SCHEMA_NUMBER, "requests", "0", 0, 1e6,
	"Requests in a window that are tolerated besides"),
    NUMBER(memory_mb, SCHEMA_UINT, "MB", "0", 0, 1048576,
	"Memory of this process; bodies and responses that it holds are "
	"bounded by it; 0: unlimited"),
    NUMBER(max_body_bytes, SCHEMA_UINT, NULL, "16777216", 1024, 1e9,
	"Maximum size of a request body"),
    {.name = "log_level",
	.type = SCHEMA_CHOICE,
	.initial = "info",
	.choices = "error|warn|info|debug",
	.offset = offsetof(gateway_settings_t, log_level_name),
	.description = "Minimum severity that is logged"},
};

static const schema_section_t sections[] = {
    {
	.name = "gateway",
	.description = "This host.",
	.keys = gateway_keys,
	.count = sizeof(gateway_keys) / sizeof(gateway_keys[0]),
    },
};

static void
fill_settings(const schema_object_t *object, gateway_settings_t *settings,
    config_faults_t *faults)
{
	schema_fill(object, settings, faults);
	if (settings->key != NULL && strlen(settings->key) < MIN_KEY_BYTES)
		schema_fault(faults, object, "key",
		    "the key has fewer than %d bytes", MIN_KEY_BYTES);
	if (settings->log_level_name != NULL)
		logger_level_parse(
		    settings->log_level_name, &settings->log_level);
}

/*
 * Parses settings; file is the name used in error messages. Returns 0 and sets
 * *out, or returns -RESULT_INVALID_CONFIG. The caller frees faults either way.
 */
int
gateway_settings_parse(str_t text, const char *file, gateway_settings_t **out,
    config_faults_t *faults)
{
	schema_doc_t doc = {
	    .sections = sections,
	    .section_count = sizeof(sections) / sizeof(sections[0]),
	};
	gateway_settings_t *settings = xcalloc(1, sizeof(*settings));

	*out = NULL;
	*faults = (config_faults_t){0};
	schema_read(&doc, text, file, 0, faults);
	schema_merge(&doc, faults);
	if (doc.count == 0)
		config_faults_add(
		    faults, file, 1, "section [gateway] is missing");
	else
		fill_settings(&doc.objects[0], settings, faults);
	schema_doc_free(&doc);
	if (faults->count > 0) {
		config_faults_sort(faults);
		gateway_settings_delete(settings);
		return (-RESULT_INVALID_CONFIG);
	}
	*out = settings;
	return (0);
}

/*
 * Reads and parses a settings file. An unreadable file is reported as a fault
 * on line 0.
 */
int
gateway_settings_load(
    const char *path, gateway_settings_t **out, config_faults_t *faults)
{
	buf_t text = {0};
	int rc = config_faults_read_file(faults, path, &text);

	*out = NULL;
	if (rc == 0)
		rc = gateway_settings_parse(str_buf(&text), path, out, faults);
	buf_free(&text);
	return (rc);
}

/* NULL is allowed. */
void
gateway_settings_delete(gateway_settings_t *settings)
{
	if (settings == NULL)
		return;
	schema_release(&sections[0], settings);
	free(settings);
}

/* Appends the reference page of all settings in Markdown. */
void
gateway_settings_describe(buf_t *out)
{
	buf_append(out,
	    STR("# Settings of a gateway host\n\n"
		"Generated from the table in `src/gateway_settings.c`; a test "
		"compares this page with it.\n\n"
		"The file is in INI syntax; see "
		"[CONFIGURATION.md](CONFIGURATION.md) for the rules.\n"));
	schema_describe(sections, sizeof(sections) / sizeof(sections[0]), out);
}
