/* Builds the fleet's configuration from a base and an overlay text. */
#include "config.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "config_check.h"
#include "config_schema.h"
#include "result.h"

#define HASH_BYTES 32

typedef struct builder_t {
	fleet_config_t *config;
	config_sources_t sources;
	config_faults_t *faults;
} builder_t;

static size_t
count_objects(const schema_doc_t *doc, config_section_t section)
{
	size_t count = 0;

	for (size_t i = 0; i < doc->count; i++)
		if (doc->objects[i].section == &config_schema_sections[section])
			count++;
	return (count);
}

/* Applies the defaults when the text has no section [fleet]. */
static void
fill_default_fleet(config_fleet_t *fleet, config_faults_t *faults)
{
	const schema_section_t *section = &config_schema_sections[CONFIG_FLEET];
	schema_object_t object = {
	    .section = section,
	    .file = "base",
	    .line = 1,
	    .values = xcalloc(section->count, sizeof(schema_value_t)),
	};

	schema_fill(&object, fleet, faults);
	free(object.values);
}

static void
build_endpoint(builder_t *builder, const schema_object_t *object)
{
	size_t index = builder->config->endpoint_count++;
	config_endpoint_keys_t keys = {0};
	bool has_model;
	bool has_service;

	schema_fill(object, &keys, builder->faults);
	has_model = keys.model != NULL && keys.model[0] != '\0';
	has_service = keys.service != NULL && keys.service[0] != '\0';
	if (has_model == has_service && keys.model != NULL &&
	    keys.service != NULL)
		schema_fault(builder->faults, object,
		    has_model ? "service" : NULL,
		    "endpoint '%s' needs exactly one of model and service",
		    object->name);
	builder->config->endpoints[index] = (config_endpoint_t){
	    .name = keys.name,
	    .address = keys.address,
	    .zone = keys.zone,
	    .pool = has_model == has_service ? NULL
		    : has_model		     ? xstrdup(keys.model)
					     : xstrdup(keys.service),
	    .kind = has_service ? ENDPOINT_SERVICE : ENDPOINT_ENGINE,
	    .slots = keys.slots,
	    .fencing = keys.fencing,
	    .version = keys.version,
	    .role = keys.role,
	    .adapters = keys.adapters,
	};
	builder->sources.endpoints[index] = object;
	free(keys.model);
	free(keys.service);
}

static void
build_pool(
    builder_t *builder, const schema_object_t *object, endpoint_kind_t kind)
{
	size_t index = builder->config->pool_count++;

	builder->config->pools[index].kind = kind;
	builder->sources.pools[index] = object;
	schema_fill(object, &builder->config->pools[index], builder->faults);
}

static void
build_object(builder_t *builder, const schema_object_t *object)
{
	fleet_config_t *config = builder->config;
	size_t index;

	switch ((config_section_t)(object->section - config_schema_sections)) {
	case CONFIG_FLEET:
		builder->sources.fleet = object;
		schema_fill(object, &config->fleet, builder->faults);
		break;
	case CONFIG_MODEL:
		build_pool(builder, object, ENDPOINT_ENGINE);
		break;
	case CONFIG_SERVICE:
		build_pool(builder, object, ENDPOINT_SERVICE);
		break;
	case CONFIG_ENDPOINT:
		build_endpoint(builder, object);
		break;
	case CONFIG_ORGANISATION:
		index = config->org_count++;
		builder->sources.orgs[index] = object;
		schema_fill(object, &config->orgs[index], builder->faults);
		break;
	case CONFIG_OPERATOR:
		index = config->operator_count++;
		builder->sources.operators[index] = object;
		schema_fill(object, &config->operators[index], builder->faults);
		break;
	case CONFIG_SECTION_COUNT:
		break;
	}
}

/* Models and services share one sorted array; each kind is sorted already. */
static void
sort_pools(builder_t *builder)
{
	config_pool_t *pools = builder->config->pools;
	const schema_object_t **sources = builder->sources.pools;

	for (size_t i = 1; i < builder->config->pool_count; i++) {
		config_pool_t pool = pools[i];
		const schema_object_t *source = sources[i];
		size_t k = i;

		for (; k > 0 && strcmp(pools[k - 1].name, pool.name) > 0; k--) {
			pools[k] = pools[k - 1];
			sources[k] = sources[k - 1];
		}
		pools[k] = pool;
		sources[k] = source;
	}
}

static int
name_compare(const void *name, const void *element)
{
	/* The name is the first member of all named structs. */
	return (
	    str_compare(*(const str_t *)name, str_of(*(char *const *)element)));
}

static void
link_endpoints(fleet_config_t *config)
{
	for (size_t i = 0; i < config->endpoint_count; i++) {
		const char *name = config->endpoints[i].pool;
		str_t key = str_of(name);
		config_pool_t *pool =
		    name == NULL || config->pool_count == 0
			? NULL
			: bsearch(&key, config->pools, config->pool_count,
			      sizeof(config->pools[0]), name_compare);

		if (pool == NULL)
			continue;
		if (pool->endpoints == NULL)
			pool->endpoints =
			    xcalloc(config->endpoint_count, sizeof(size_t));
		pool->endpoints[pool->endpoint_count++] = i;
	}
}

static fleet_config_t *
build(const schema_doc_t *doc, config_faults_t *faults)
{
	fleet_config_t *config = xcalloc(1, sizeof(*config));
	size_t pools = count_objects(doc, CONFIG_MODEL) +
		       count_objects(doc, CONFIG_SERVICE);
	size_t endpoints = count_objects(doc, CONFIG_ENDPOINT);
	size_t orgs = count_objects(doc, CONFIG_ORGANISATION);
	size_t operators = count_objects(doc, CONFIG_OPERATOR);
	builder_t builder = {
	    .config = config,
	    .sources =
		{
		    .pools = xcalloc(pools, sizeof(void *)),
		    .endpoints = xcalloc(endpoints, sizeof(void *)),
		    .orgs = xcalloc(orgs, sizeof(void *)),
		    .operators = xcalloc(operators, sizeof(void *)),
		},
	    .faults = faults,
	};

	config->refs = 1;
	config->pools = xcalloc(pools, sizeof(config->pools[0]));
	config->endpoints = xcalloc(endpoints, sizeof(config->endpoints[0]));
	config->orgs = xcalloc(orgs, sizeof(config->orgs[0]));
	config->operators = xcalloc(operators, sizeof(config->operators[0]));
	for (size_t i = 0; i < doc->count; i++)
		build_object(&builder, &doc->objects[i]);
	if (builder.sources.fleet == NULL)
		fill_default_fleet(&config->fleet, faults);
	sort_pools(&builder);
	link_endpoints(config);
	config_check(config, &builder.sources, faults);
	free(builder.sources.pools);
	free(builder.sources.endpoints);
	free(builder.sources.orgs);
	free(builder.sources.operators);
	return (config);
}

/*
 * Parses the base text with a site's overlay, which may be empty. Returns 0
 * with a configuration in *out, or -RESULT_INVALID_CONFIG with all faults in
 * *faults, sorted by file and line. The caller frees the faults either way.
 */
int
config_parse(
    str_t base, str_t overlay, fleet_config_t **out, config_faults_t *faults)
{
	schema_doc_t doc = {
	    .sections = config_schema_sections,
	    .section_count = CONFIG_SECTION_COUNT,
	};
	fleet_config_t *config;

	*out = NULL;
	*faults = (config_faults_t){0};
	schema_read(&doc, base, "base", 0, faults);
	schema_read(&doc, overlay, "overlay", 1, faults);
	schema_merge(&doc, faults);
	config = build(&doc, faults);
	schema_doc_free(&doc);
	if (faults->count > 0) {
		config_faults_sort(faults);
		config_unref(config);
		return (-RESULT_INVALID_CONFIG);
	}
	*out = config;
	return (0);
}

/* Adds a reference and returns the configuration. */
fleet_config_t *
config_ref(fleet_config_t *config)
{
	config->refs++;
	return (config);
}

static void
config_delete(fleet_config_t *config)
{
	const schema_section_t *sections = config_schema_sections;

	for (size_t i = 0; i < config->pool_count; i++) {
		free(config->pools[i].endpoints);
		schema_release(&sections[CONFIG_MODEL], &config->pools[i]);
	}
	for (size_t i = 0; i < config->endpoint_count; i++) {
		config_endpoint_t *endpoint = &config->endpoints[i];

		free(endpoint->name);
		free(endpoint->address);
		free(endpoint->zone);
		free(endpoint->pool);
		free(endpoint->version);
		free(endpoint->role);
		free(endpoint->adapters);
	}
	for (size_t i = 0; i < config->org_count; i++)
		schema_release(
		    &sections[CONFIG_ORGANISATION], &config->orgs[i]);
	for (size_t i = 0; i < config->operator_count; i++)
		schema_release(
		    &sections[CONFIG_OPERATOR], &config->operators[i]);
	free(config->pools);
	free(config->endpoints);
	free(config->orgs);
	free(config->operators);
	free(config);
}

/* Drops a reference; the last one frees the configuration. NULL is ignored. */
void
config_unref(fleet_config_t *config)
{
	if (config != NULL && --config->refs == 0)
		config_delete(config);
}

static const void *
find_name(const void *array, size_t count, size_t size, str_t name)
{
	if (count == 0)
		return (NULL);
	return (bsearch(&name, array, count, size, name_compare));
}

/* Returns the pool of a model or service, or NULL. */
const config_pool_t *
config_pool(const fleet_config_t *config, str_t name)
{
	return (find_name(
	    config->pools, config->pool_count, sizeof(config->pools[0]), name));
}

/* Returns an endpoint by name, or NULL. */
const config_endpoint_t *
config_endpoint(const fleet_config_t *config, str_t name)
{
	return (find_name(config->endpoints, config->endpoint_count,
	    sizeof(config->endpoints[0]), name));
}

/* Returns an organisation by name, or NULL. */
const config_org_t *
config_org(const fleet_config_t *config, str_t name)
{
	return (find_name(
	    config->orgs, config->org_count, sizeof(config->orgs[0]), name));
}

/* Writes the hex of a token's 32-byte generic hash. */
void
config_token_hash(str_t token, char out[65])
{
	unsigned char hash[HASH_BYTES];

	crypto_generichash(hash, sizeof(hash),
	    (const unsigned char *)(token.len > 0 ? token.data : ""), token.len,
	    NULL, 0);
	sodium_bin2hex(out, 2 * HASH_BYTES + 1, hash, sizeof(hash));
}

static bool
hash_equal(const char *a, const char *b)
{
	return (sodium_memcmp(a, b, (size_t)2 * HASH_BYTES) == 0);
}

/* Returns the organisation that a bearer token belongs to, or NULL. */
const config_org_t *
config_org_of_token(const fleet_config_t *config, str_t token)
{
	char hash[65];

	config_token_hash(token, hash);
	for (size_t i = 0; i < config->org_count; i++)
		if (hash_equal(config->orgs[i].token_hash, hash))
			return (&config->orgs[i]);
	return (NULL);
}

/* Returns the operator that a bearer token belongs to, or NULL. */
const config_operator_t *
config_operator_of_token(const fleet_config_t *config, str_t token)
{
	char hash[65];

	config_token_hash(token, hash);
	for (size_t i = 0; i < config->operator_count; i++)
		if (hash_equal(config->operators[i].token_hash, hash))
			return (&config->operators[i]);
	return (NULL);
}

/* Appends the reference of all sections and keys as Markdown. */
void
config_describe(buf_t *out)
{
	buf_append(out,
	    STR("# Fleet configuration\n\n"
		"Generated from the table in `src/config_schema.c`; a test "
		"compares this page with it.\n\n"
		"The configuration is a base file and one overlay for each "
		"site, both in INI syntax. An\n"
		"overlay states only differences: its keys replace those of "
		"the base one by one, new\n"
		"sections are added, and `remove = yes` in a named section "
		"removes it. A number may carry\n"
		"the unit of its key, for example `silence_ms = 1000 ms`; any "
		"other unit is a fault. Lines\n"
		"that begin with `;` or `#` are comments, and so is the rest "
		"of a line after ` ;`. A line has\n"
		"at most 190 bytes. Names have 1 to 63 letters, digits, dots, "
		"dashes and underscores.\n"));
	schema_describe(config_schema_sections, CONFIG_SECTION_COUNT, out);
}
