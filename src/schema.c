/* Reads INI texts as sections and keys of a schema and merges layers. */
#include "schema.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ini_text.h"
#include "name.h"

#define MAX_NAME (NAME_SIZE - 1)

typedef struct schema_reader_t {
	schema_doc_t *doc;
	const char *file;
	unsigned layer;
	bool in_section; /* false also inside a section that is not known */
	bool skipping;	 /* keys of an unknown section are not reported */
	config_faults_t *faults;
} schema_reader_t;

/* Returns whether s may name a section, a zone or a model. */
bool
schema_is_name(str_t s)
{
	if (s.data == NULL || s.len == 0 || s.len > MAX_NAME)
		return (false);
	for (size_t i = 0; i < s.len; i++) {
		char c = s.data[i];

		if ((c < 'a' || c > 'z') && (c < 'A' || c > 'Z') &&
		    (c < '0' || c > '9') && strchr("._-", c) == NULL)
			return (false);
	}
	return (true);
}

static const schema_section_t *
find_section(const schema_doc_t *doc, str_t name)
{
	for (size_t i = 0; i < doc->section_count; i++)
		if (str_equal(str_of(doc->sections[i].name), name))
			return (&doc->sections[i]);
	return (NULL);
}

static size_t
find_key(const schema_section_t *section, str_t name)
{
	size_t i = 0;

	while (i < section->count &&
	       !str_equal(str_of(section->keys[i].name), name))
		i++;
	return (i);
}

/* Returns what the text states for a key; its text is NULL when nothing. */
const schema_value_t *
schema_value(const schema_object_t *object, const char *key)
{
	size_t i = find_key(object->section, str_of(key));

	return (&object->values[i]);
}

/* Adds a fault at a key's line, or at the section's when it is not stated. */
void
schema_fault(config_faults_t *faults, const schema_object_t *object,
    const char *key, const char *fmt, ...)
{
	const char *file = object->file;
	unsigned line = object->line;
	char text[256];
	va_list args;

	if (key != NULL && schema_value(object, key)->text != NULL) {
		file = schema_value(object, key)->file;
		line = schema_value(object, key)->line;
	}
	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	config_faults_add(faults, file, line, "%s", text);
}

static void
add_object(schema_reader_t *reader, const schema_section_t *section, str_t name,
    unsigned line)
{
	schema_doc_t *doc = reader->doc;
	schema_object_t *object;

	if (doc->count == doc->cap) {
		doc->cap = doc->cap > 0 ? doc->cap * 2 : 16;
		doc->objects =
		    xrealloc(doc->objects, doc->cap * sizeof(doc->objects[0]));
	}
	object = &doc->objects[doc->count++];
	*object = (schema_object_t){
	    .section = section,
	    .name = str_dup(name),
	    .file = reader->file,
	    .line = line,
	    .layer = reader->layer,
	    .values = xcalloc(section->count, sizeof(object->values[0])),
	};
	reader->in_section = true;
}

static void
on_section(void *ctx, unsigned line, str_t header)
{
	schema_reader_t *reader = ctx;
	str_t rest = header;
	str_t kind = {0};
	const schema_section_t *section;

	reader->in_section = false;
	reader->skipping = true;
	str_split(&rest, ' ', &kind);
	rest = rest.data != NULL ? str_trim(rest) : rest;
	section = find_section(reader->doc, kind);
	if (section == NULL)
		config_faults_add(reader->faults, reader->file, line,
		    "unknown section [" STR_FMT "]", STR_ARG(header));
	else if (section->named && rest.len == 0)
		config_faults_add(reader->faults, reader->file, line,
		    "section [%s] needs a name", section->name);
	else if (section->named && !schema_is_name(rest))
		config_faults_add(reader->faults, reader->file, line,
		    "'" STR_FMT "' is not a name: 1 to %d letters, digits, "
		    "dots, dashes and underscores",
		    STR_ARG(rest), MAX_NAME);
	else if (!section->named && rest.len > 0)
		config_faults_add(reader->faults, reader->file, line,
		    "section [%s] takes no name", section->name);
	else
		add_object(reader, section, rest, line);
}

static void
on_remove(
    schema_reader_t *reader, schema_object_t *object, unsigned line, str_t word)
{
	if (reader->layer == 0 || !object->section->named)
		config_faults_add(reader->faults, reader->file, line,
		    "remove is for named sections of an overlay");
	else if (!str_equal(word, STR("yes")))
		config_faults_add(reader->faults, reader->file, line,
		    "remove takes only the value yes");
	else if (object->remove_line != 0)
		config_faults_add(reader->faults, reader->file, line,
		    "duplicate key 'remove'");
	else
		object->remove_line = line;
}

static void
on_key(void *ctx, unsigned line, str_t key, str_t text)
{
	schema_reader_t *reader = ctx;
	schema_object_t *object;
	schema_value_t *value;
	size_t i;

	if (!reader->in_section) {
		if (!reader->skipping)
			config_faults_add(reader->faults, reader->file, line,
			    "key '" STR_FMT "' is outside any section",
			    STR_ARG(key));
		return;
	}
	object = &reader->doc->objects[reader->doc->count - 1];
	if (str_equal(key, STR("remove"))) {
		on_remove(reader, object, line, text);
		return;
	}
	i = find_key(object->section, key);
	if (i == object->section->count) {
		config_faults_add(reader->faults, reader->file, line,
		    "unknown key '" STR_FMT "' in section [%s]", STR_ARG(key),
		    object->section->name);
		return;
	}
	value = &object->values[i];
	if (value->text != NULL) {
		config_faults_add(reader->faults, reader->file, line,
		    "duplicate key '" STR_FMT "', first in line %u",
		    STR_ARG(key), value->line);
		return;
	}
	value->text = str_dup(text);
	value->file = reader->file;
	value->line = line;
}

static void
on_fault(void *ctx, unsigned line, const char *text)
{
	schema_reader_t *reader = ctx;

	config_faults_add(reader->faults, reader->file, line, "%s", text);
}

/* Reads one layer of a document; file must outlive the document. */
void
schema_read(schema_doc_t *doc, str_t text, const char *file, unsigned layer,
    config_faults_t *faults)
{
	schema_reader_t reader = {
	    .doc = doc,
	    .file = file,
	    .layer = layer,
	    .faults = faults,
	};

	ini_text_read(text, &(ini_events_t){
				.on_section = on_section,
				.on_key = on_key,
				.on_fault = on_fault,
				.ctx = &reader,
			    });
}

static int
object_compare(const void *a, const void *b)
{
	const schema_object_t *x = a;
	const schema_object_t *y = b;
	int order;

	if (x->section != y->section)
		return (x->section < y->section ? -1 : 1);
	order = strcmp(x->name, y->name);
	if (order != 0)
		return (order);
	if (x->layer != y->layer)
		return (x->layer < y->layer ? -1 : 1);
	return ((x->line > y->line) - (x->line < y->line));
}

static void
object_free(schema_object_t *object)
{
	for (size_t i = 0; i < object->section->count; i++)
		free(object->values[i].text);
	free(object->values);
	free(object->name);
}

static bool
object_states_values(const schema_object_t *object)
{
	for (size_t i = 0; i < object->section->count; i++)
		if (object->values[i].text != NULL)
			return (true);
	return (false);
}

/* Lets the values of over replace those of object. */
static void
object_override(schema_object_t *object, schema_object_t *over)
{
	for (size_t i = 0; i < object->section->count; i++) {
		if (over->values[i].text == NULL)
			continue;
		free(object->values[i].text);
		object->values[i] = over->values[i];
		over->values[i].text = NULL;
	}
}

static void
check_remove(const schema_object_t *object, bool in_base, config_faults_t *out)
{
	if (object->remove_line == 0)
		return;
	if (!in_base)
		config_faults_add(out, object->file, object->remove_line,
		    "[%s %s] is not in the base", object->section->name,
		    object->name);
	if (object_states_values(object))
		config_faults_add(out, object->file, object->remove_line,
		    "[%s %s] is removed and also states values",
		    object->section->name, object->name);
}

/*
 * Sorts the objects by section and name and merges the overlay into the base.
 * Reports sections that occur twice in one layer.
 */
void
schema_merge(schema_doc_t *doc, config_faults_t *faults)
{
	schema_object_t *objects = doc->objects;
	size_t kept = 0;

	if (doc->count == 0)
		return;
	qsort(objects, doc->count, sizeof(objects[0]), object_compare);
	for (size_t i = 0; i < doc->count;) {
		schema_object_t first = objects[i];
		bool removed = first.remove_line != 0;

		check_remove(&first, false, faults);
		for (i++; i < doc->count; i++) {
			schema_object_t *next = &objects[i];

			if (next->section != first.section ||
			    strcmp(next->name, first.name) != 0)
				break;
			if (next->layer == objects[i - 1].layer)
				config_faults_add(faults, next->file,
				    next->line, "duplicate section [%s%s%s]",
				    first.section->name,
				    first.section->named ? " " : "",
				    first.name);
			else
				check_remove(next, first.layer == 0, faults);
			removed = removed || next->remove_line != 0;
			object_override(&first, next);
			object_free(next);
		}
		if (removed)
			object_free(&first);
		else
			objects[kept++] = first;
	}
	doc->count = kept;
}

/* Frees all objects of a document. */
void
schema_doc_free(schema_doc_t *doc)
{
	for (size_t i = 0; i < doc->count; i++)
		object_free(&doc->objects[i]);
	free(doc->objects);
	doc->objects = NULL;
	doc->count = 0;
	doc->cap = 0;
}
