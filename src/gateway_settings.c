/* The local settings of a gateway host, from an INI file. */
#include "gateway_settings.h"

#include <stdlib.h>
#include <string.h>

#include "file.h"
#include "result.h"
#include "schema.h"

/* Shorter secrets could be guessed from one recorded frame. */
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
    TEXT(name, SCHEMA_NAME, NULL, NULL, "Name of this host, unique"),
    TEXT(address, SCHEMA_IP, NULL, NULL,
	"IPv4 number for other hosts and metrics"),
    TEXT(zone, SCHEMA_NAME, NULL, NULL, "Its availability zone"),
    TEXT(site, SCHEMA_NAME, NULL, NULL, "Its site"),
    TEXT(store, SCHEMA_URL, NULL, NULL, "The store that keeps what must last"),
    TEXT(callers, SCHEMA_ADDRESS, NULL, NULL, "Where callers connect"),
    TEXT(readiness, SCHEMA_ADDRESS, NULL, NULL,
	"Where the platform asks whether this host is ready"),
    TEXT(directory, SCHEMA_ADDRESS, NULL, NULL,
	"Where callers ask for the addresses of hosts"),
    NUMBER(peer_port, SCHEMA_UINT, NULL, NULL, 1, 65535,
	"Port for other hosts, TCP and UDP; the same on all hosts"),
    NUMBER(metrics_port, SCHEMA_UINT, NULL, "0", 0, 65535,
	"Port of the metrics; 0: none"),
    NUMBER(processor_share, SCHEMA_NUMBER, "cores", "0", 0, 1024,
	"Processor that this host may use; hosts with more do the work for "
	"all others; 0: not stated"),
    TEXT(key, SCHEMA_TEXT, NULL, NULL,
	"Secret that all hosts share; at least 16 bytes"),
    NUMBER(period_ms, SCHEMA_UINT, "ms", "500", 10, 60000,
	"Period of membership probes"),
    NUMBER(keep_s, SCHEMA_NUMBER, "s", "2", 0.1, 3600,
	"How long callers may keep the list of hosts"),
    NUMBER(results_keep_s, SCHEMA_NUMBER, "s", "180", 0, 1e9,
	"How long after its submission a finished job is kept; 0: for ever"),
    NUMBER(stop_s, SCHEMA_NUMBER, "s", "8", 1, 86400,
	"Time after which a planned stop cuts requests off"),
    NUMBER(max_body_bytes, SCHEMA_UINT, NULL, "16777216", 1024, 1e9,
	"Largest body of a request"),
    {.name = "log_level",
	.type = SCHEMA_CHOICE,
	.initial = "info",
	.choices = "error|warn|info|debug",
	.offset = offsetof(gateway_settings_t, log_level_name),
	.description = "Least severe level that is logged"},
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
fill(const schema_object_t *object, gateway_settings_t *settings,
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
 * Parses settings; file names the text in faults. Returns 0 with *out, or
 * -RESULT_INVALID_CONFIG with all faults, which the caller frees either way.
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
		fill(&doc.objects[0], settings, faults);
	schema_doc_free(&doc);
	if (faults->count > 0) {
		config_faults_sort(faults);
		gateway_settings_delete(settings);
		return (-RESULT_INVALID_CONFIG);
	}
	*out = settings;
	return (0);
}

/* Like gateway_settings_parse() for a file; one that is unreadable is a fault
 * in line 0. */
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

/* Frees the settings; NULL is ignored. */
void
gateway_settings_delete(gateway_settings_t *settings)
{
	if (settings == NULL)
		return;
	schema_release(&sections[0], settings);
	free(settings);
}

/* Appends the reference of all settings as Markdown. */
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
