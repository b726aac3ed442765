/* The texts of one configuration version: a base and the sites' overlays. */
#ifndef DAISYPIER_CONFIG_SITES_H
#define DAISYPIER_CONFIG_SITES_H

#include "config.h"

/* The overlay of one site; views of memory that somebody else owns. */
typedef struct config_site_t {
	str_t site;
	str_t text;
} config_site_t;

typedef struct config_texts_t {
	str_t base;
	const config_site_t *sites;
	size_t site_count;
} config_texts_t;

str_t config_texts_overlay(const config_texts_t *texts, str_t site);
int config_texts_check(const config_texts_t *texts,
    const fleet_config_t *in_force, config_faults_t *faults);

#endif
