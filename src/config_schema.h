/* The sections and keys of the fleet's configuration. */
#ifndef DAISYPIER_CONFIG_SCHEMA_H
#define DAISYPIER_CONFIG_SCHEMA_H

#include "schema.h"

/* Indexes into config_schema_sections. */
typedef enum config_section_t {
	CONFIG_FLEET,
	CONFIG_MODEL,
	CONFIG_SERVICE,
	CONFIG_ENDPOINT,
	CONFIG_ORGANISATION,
	CONFIG_OPERATOR,
	CONFIG_SECTION_COUNT,
} config_section_t;

/* What [endpoint NAME] states; its pool follows from model or service. */
typedef struct config_endpoint_keys_t {
	char *name;
	char *address;
	char *zone;
	char *model;
	char *service;
	unsigned slots;
	bool fencing;
	char *version;
	char *role;
	char *adapters;
} config_endpoint_keys_t;

extern const schema_section_t config_schema_sections[CONFIG_SECTION_COUNT];

#endif
