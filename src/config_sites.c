/* The texts of one configuration version: a base and the sites' overlays. */
#include "config_sites.h"

#include <stdio.h>
#include <string.h>

#include "result.h"
#include "schema.h"

/* Longest text of all parts together; a peer frame holds at most 8 MiB. */
#define MAX_TEXT_BYTES (4U << 20)

/* Returns a site's overlay; empty when the site has none. */
str_t
config_texts_overlay(const config_texts_t *texts, str_t site)
{
	for (size_t i = 0; i < texts->site_count; i++)
		if (str_equal(texts->sites[i].site, site))
			return (texts->sites[i].text);
	return ((str_t){0});
}

static bool
has_fault(const config_faults_t *faults, const config_fault_t *fault)
{
	for (size_t i = 0; i < faults->count; i++)
		if (faults->items[i].line == fault->line &&
		    strcmp(faults->items[i].file, fault->file) == 0 &&
		    strcmp(faults->items[i].text, fault->text) == 0)
			return (true);
	return (false);
}

/* Adds the faults of one site that are not listed yet. */
static void
add_faults(config_faults_t *all, const config_faults_t *more, str_t site)
{
	char overlay[80];

	snprintf(overlay, sizeof(overlay), "overlay-" STR_FMT, STR_ARG(site));
	for (size_t i = 0; i < more->count; i++) {
		config_fault_t fault = more->items[i];

		if (strcmp(fault.file, "overlay") == 0)
			fault.file = overlay;
		if (!has_fault(all, &fault))
			config_faults_add(
			    all, fault.file, fault.line, "%s", fault.text);
	}
}

static void
check_site(const config_texts_t *texts, const config_site_t *site,
    const fleet_config_t *in_force, config_faults_t *faults)
{
	fleet_config_t *config = NULL;
	config_faults_t found;

	config_parse(texts->base, site->text, &config, &found);
	if (config != NULL && in_force != NULL &&
	    config->fleet.shards != in_force->fleet.shards)
		config_faults_add(&found, "base", 1,
		    "shards = %u: is %u in force and fixed for the lifetime "
		    "of the streams",
		    config->fleet.shards, in_force->fleet.shards);
	add_faults(faults, &found, site->site);
	config_faults_free(&found);
	config_unref(config);
}

static void
check_size(const config_texts_t *texts, config_faults_t *faults)
{
	size_t size = texts->base.len;

	for (size_t i = 0; i < texts->site_count; i++)
		size += texts->sites[i].text.len;
	if (size > MAX_TEXT_BYTES)
		config_faults_add(faults, "base", 1,
		    "the texts have %zu bytes together; %u are allowed", size,
		    MAX_TEXT_BYTES);
}

static void
check_site_names(const config_texts_t *texts, config_faults_t *faults)
{
	for (size_t i = 0; i < texts->site_count; i++) {
		str_t site = texts->sites[i].site;

		if (!schema_is_name(site))
			config_faults_add(faults, "overlay", 1,
			    "'%.*s' is not a name of a site",
			    (int)(site.len < 64 ? site.len : 64), site.data);
		for (size_t k = 0; k < i; k++)
			if (str_equal(site, texts->sites[k].site))
				config_faults_add(faults, "overlay", 1,
				    "site '" STR_FMT "' has two overlays",
				    STR_ARG(site));
	}
}

/*
 * Checks the base alone, which sites without an overlay use, and with each
 * overlay; overlays are named "overlay-SITE" in the faults. in_force may be
 * NULL. Returns 0, or -RESULT_INVALID_CONFIG with all faults, which the caller
 * frees either way.
 */
int
config_texts_check(const config_texts_t *texts, const fleet_config_t *in_force,
    config_faults_t *faults)
{
	*faults = (config_faults_t){0};
	check_site_names(texts, faults);
	check_size(texts, faults);
	if (faults->count > 0)
		return (-RESULT_INVALID_CONFIG);
	check_site(texts, &(config_site_t){0}, in_force, faults);
	for (size_t i = 0; i < texts->site_count; i++)
		check_site(texts, &texts->sites[i], in_force, faults);
	config_faults_sort(faults);
	return (faults->count > 0 ? -RESULT_INVALID_CONFIG : 0);
}
