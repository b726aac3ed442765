/* The local settings of one host, from an INI file. */
#include "settings.h"

#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "file.h"
#include "result.h"
#include "schema.h"

/* Shorter secrets could be guessed from one recorded frame. */
#define MIN_KEY_BYTES 16

#define STRING(key_, member_, type_, initial_, choices_, text)                 \
	{                                                                      \
		.name = (key_), .type = (type_), .initial = (initial_),        \
		.choices = (choices_),                                         \
		.offset = offsetof(settings_t, member_), .description = (text) \
	}
#define UINT(member, unit_, initial_, min_, max_, text)                       \
	{                                                                     \
		.name = #member, .type = SCHEMA_UINT, .unit = (unit_),        \
		.initial = (initial_), .min = (min_), .max = (max_),          \
		.offset = offsetof(settings_t, member), .description = (text) \
	}

static const schema_key_t host_keys[] = {
    STRING("name", name, SCHEMA_NAME, NULL, NULL,
	"Name of this host, unique in the fleet"),
    STRING(
	"address", address, SCHEMA_IP, NULL, NULL, "IPv4 number of this host"),
    STRING("zone", zone, SCHEMA_NAME, NULL, NULL, "Its availability zone"),
    STRING("site", site, SCHEMA_NAME, NULL, NULL,
	"Its site; selects the overlay of the configuration"),
    UINT(http_port, NULL, "8080", 1, 65535, "Port for callers"),
    UINT(peer_port, NULL, "7400", 1, 65535,
	"Port for other hosts, TCP and UDP; the same on all hosts"),
    UINT(operator_port, NULL, "8081", 1, 65535, "Port for operators"),
    STRING("operator_address", operator_address, SCHEMA_IP, "", NULL,
	"IPv4 number for operators; empty: the same as address"),
    STRING("platform", platform, SCHEMA_URL, NULL, NULL,
	"The log service and the host list"),
    STRING("key", key_text, SCHEMA_TEXT, "", NULL,
	"Secret that all hosts share; at least 16 bytes; exactly one of key "
	"and key_file is stated"),
    STRING("key_file", key_file, SCHEMA_TEXT, "", NULL,
	"File that holds the secret"),
    STRING("seeds", seeds, SCHEMA_IP_LIST, "", NULL,
	"Hosts to contact first, besides those of the host list"),
    STRING("log_level", log_level_name, SCHEMA_CHOICE, "info",
	"error|warn|info|debug", "Least severe level that is logged"),
    STRING("admission", admission_name, SCHEMA_CHOICE, "pool",
	"pool|two_choices",
	"One admitting host for each pool, or two random choices by each host "
	"for comparison"),
    UINT(period_ms, "ms", "1000", 10, 60000, "Period of membership probes"),
    STRING("operator_token_hash", operator_token_hash, SCHEMA_HASH, "", NULL,
	"Hash of a token that operators may use while the configuration names "
	"no operator"),
    UINT(stop_timeout_s, "s", "0", 0, 86400,
	"Time after which a planned stop cuts requests off; 0: no limit"),
};

static const schema_section_t sections[] = {
    {
	.name = "host",
	.description = "This host.",
	.keys = host_keys,
	.count = sizeof(host_keys) / sizeof(host_keys[0]),
    },
};

/* Takes the secret from the text or from its file. */
static void
load_key(const schema_object_t *object, settings_t *settings,
    config_faults_t *faults)
{
	bool has_text = schema_value(object, "key")->text != NULL;
	bool has_file = schema_value(object, "key_file")->text != NULL;
	int rc;

	if (has_text == has_file) {
		schema_fault(faults, object, has_file ? "key_file" : NULL,
		    "exactly one of key and key_file is needed");
		return;
	}
	if (has_text) {
		buf_append(&settings->key, str_of(settings->key_text));
	} else if (settings->key_file != NULL) {
		rc = file_read(settings->key_file, &settings->key);
		if (rc != 0) {
			schema_fault(faults, object, "key_file",
			    "key_file = %s: %s", settings->key_file,
			    strerror(-rc));
			return;
		}
		settings->key.len = str_trim(str_buf(&settings->key)).len;
	}
	if (settings->key.len < MIN_KEY_BYTES)
		schema_fault(faults, object, has_file ? "key_file" : "key",
		    "the key has fewer than %d bytes", MIN_KEY_BYTES);
}

static void
check_ports(const schema_object_t *object, const settings_t *settings,
    config_faults_t *faults)
{
	bool same_address =
	    strcmp(settings->address != NULL ? settings->address : "",
		settings->operator_address) == 0;

	if (settings->http_port == settings->peer_port)
		schema_fault(
		    faults, object, "peer_port", "peer_port is also http_port");
	if (same_address && settings->operator_port == settings->http_port)
		schema_fault(faults, object, "operator_port",
		    "operator_port is also http_port");
	if (same_address && settings->operator_port == settings->peer_port)
		schema_fault(faults, object, "operator_port",
		    "operator_port is also peer_port");
}

static void
fill(const schema_object_t *object, settings_t *settings,
    config_faults_t *faults)
{
	schema_fill(object, settings, faults);
	if (settings->operator_address == NULL ||
	    settings->operator_address[0] == '\0') {
		free(settings->operator_address);
		settings->operator_address =
		    xstrdup(settings->address != NULL ? settings->address : "");
	}
	if (settings->log_level_name != NULL)
		logger_level_parse(
		    settings->log_level_name, &settings->log_level);
	if (settings->admission_name != NULL &&
	    strcmp(settings->admission_name, "two_choices") == 0)
		settings->admission = SETTINGS_ADMISSION_TWO_CHOICES;
	load_key(object, settings, faults);
	check_ports(object, settings, faults);
}

/*
 * Parses settings; file names the text in faults. Returns 0 with *out, or
 * -RESULT_INVALID_CONFIG with all faults, which the caller frees either way.
 */
int
settings_parse(
    str_t text, const char *file, settings_t **out, config_faults_t *faults)
{
	schema_doc_t doc = {
	    .sections = sections,
	    .section_count = sizeof(sections) / sizeof(sections[0]),
	};
	settings_t *settings = xcalloc(1, sizeof(*settings));

	*out = NULL;
	*faults = (config_faults_t){0};
	schema_read(&doc, text, file, 0, faults);
	schema_merge(&doc, faults);
	if (doc.count == 0)
		config_faults_add(faults, file, 1, "section [host] is missing");
	else
		fill(&doc.objects[0], settings, faults);
	schema_doc_free(&doc);
	if (faults->count > 0) {
		config_faults_sort(faults);
		settings_delete(settings);
		return (-RESULT_INVALID_CONFIG);
	}
	*out = settings;
	return (0);
}

/* Like settings_parse() for a file; an unreadable file is a fault in line 0. */
int
settings_load(const char *path, settings_t **out, config_faults_t *faults)
{
	buf_t text = {0};
	int rc = config_faults_read_file(faults, path, &text);

	*out = NULL;
	if (rc == 0)
		rc = settings_parse(str_buf(&text), path, out, faults);
	buf_free(&text);
	return (rc);
}

/* Frees the settings and erases the key. */
void
settings_delete(settings_t *settings)
{
	if (settings->key.cap > 0)
		sodium_memzero(settings->key.data, settings->key.cap);
	buf_free(&settings->key);
	schema_release(&sections[0], settings);
	free(settings);
}

/* Appends the reference of all settings as Markdown. */
void
settings_describe(buf_t *out)
{
	buf_append(
	    out, STR("# Settings of a host\n\n"
		     "Generated from the table in `src/settings.c`; a test "
		     "compares this page with it.\n\n"
		     "The file is in INI syntax; see "
		     "[CONFIGURATION.md](CONFIGURATION.md) for the rules.\n"));
	schema_describe(sections, sizeof(sections) / sizeof(sections[0]), out);
}
