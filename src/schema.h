/* Describes sections and keys of INI texts and reads texts accordingly. */
#ifndef DAISYPIER_SCHEMA_H
#define DAISYPIER_SCHEMA_H

#include "config_fault.h"

typedef enum schema_type_t {
	SCHEMA_UINT,	/* unsigned */
	SCHEMA_NUMBER,	/* double */
	SCHEMA_BOOL,	/* bool; choices name its two words, false first */
	SCHEMA_CHOICE,	/* char *, one of choices */
	SCHEMA_TEXT,	/* char * */
	SCHEMA_NAME,	/* char *, letters, digits, dot, dash, underscore */
	SCHEMA_LIST,	/* char *, names separated by commas */
	SCHEMA_IP,	/* char *, IPv4 number */
	SCHEMA_IP_LIST, /* char *, IPv4 numbers separated by commas */
	SCHEMA_ADDRESS, /* char *, IPv4 number and port */
	SCHEMA_HASH,	/* char *, 64 hexadecimal digits */
	SCHEMA_URL,	/* char *, http://IP:PORT */
} schema_type_t;

typedef struct schema_key_t {
	const char *name;
	schema_type_t type;
	const char *unit;    /* NULL: none */
	const char *initial; /* default value; NULL: the key is required */
	double min;
	double max;
	const char *choices;	 /* words separated by | */
	size_t offset;		 /* of the member in the section's struct */
	const char *description; /* one line */
} schema_key_t;

typedef struct schema_section_t {
	const char *name;
	bool named; /* [NAME x] rather than [NAME] */
	const char *description;
	const schema_key_t *keys;
	size_t count;
	size_t name_offset; /* of the member that takes the section's name */
} schema_section_t;

typedef struct schema_value_t {
	char *text; /* NULL: not stated */
	const char *file;
	unsigned line;
} schema_value_t;

/* One section of the text with the values that it states. */
typedef struct schema_object_t {
	const schema_section_t *section;
	char *name;
	const char *file;
	unsigned line;
	unsigned layer;	      /* 0: base, 1: overlay */
	unsigned remove_line; /* 0: no "remove = yes" */
	schema_value_t *values;
} schema_object_t;

typedef struct schema_doc_t {
	const schema_section_t *sections;
	size_t section_count;
	schema_object_t *objects;
	size_t count;
	size_t cap;
} schema_doc_t;

void schema_read(schema_doc_t *doc, str_t text, const char *file,
    unsigned layer, config_faults_t *faults);
void schema_merge(schema_doc_t *doc, config_faults_t *faults);
void schema_doc_free(schema_doc_t *doc);
void schema_fill(
    const schema_object_t *object, void *out, config_faults_t *faults);
void schema_release(const schema_section_t *section, void *out);
const schema_value_t *schema_value(
    const schema_object_t *object, const char *key);
void schema_fault(config_faults_t *faults, const schema_object_t *object,
    const char *key, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));
void schema_describe(
    const schema_section_t *sections, size_t count, buf_t *out);
bool schema_is_name(str_t s);

#endif
