/* Refuses configurations whose single values are valid but contradict. */
#ifndef DAISYPIER_CONFIG_CHECK_H
#define DAISYPIER_CONFIG_CHECK_H

#include "config.h"
#include "schema.h"

/* The objects of a document by the sorted arrays of a configuration. */
typedef struct config_sources_t {
	const schema_object_t *fleet; /* NULL: all defaults */
	const schema_object_t **pools;
	const schema_object_t **endpoints;
	const schema_object_t **orgs;
	const schema_object_t **operators;
} config_sources_t;

void config_check(const fleet_config_t *config, const config_sources_t *sources,
    config_faults_t *faults);

#endif
