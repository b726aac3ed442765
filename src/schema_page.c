/* Writes a schema's sections and keys as Markdown tables. */
#include "schema.h"

#include <string.h>

static const char *
type_name(const schema_key_t *key)
{
	switch (key->type) {
	case SCHEMA_UINT:
		return ("whole number");
	case SCHEMA_NUMBER:
		return ("number");
	case SCHEMA_BOOL:
	case SCHEMA_CHOICE:
		return ("choice");
	case SCHEMA_NAME:
		return ("name");
	case SCHEMA_LIST:
		return ("names, separated by commas");
	case SCHEMA_IP:
		return ("IPv4 number");
	case SCHEMA_IP_LIST:
		return ("IPv4 numbers, separated by commas");
	case SCHEMA_ADDRESS:
		return ("IPv4 number and port");
	case SCHEMA_HASH:
		return ("64 hexadecimal digits");
	case SCHEMA_URL:
		return ("http://IP:PORT");
	case SCHEMA_TEXT:
		break;
	}
	return ("text");
}

static void
describe_range(const schema_key_t *key, buf_t *out)
{
	if (key->choices != NULL) {
		str_t rest = str_of(key->choices);
		str_t word;
		const char *separator = "";

		while (str_split(&rest, '|', &word)) {
			buf_printf(
			    out, "%s`" STR_FMT "`", separator, STR_ARG(word));
			separator = ", ";
		}
	} else if (key->type == SCHEMA_UINT || key->type == SCHEMA_NUMBER) {
		buf_printf(out, "%.0f to %.0f", key->min, key->max);
	}
}

static void
describe_key(const schema_key_t *key, buf_t *out)
{
	buf_printf(out, "| `%s` | %s | %s | ", key->name, type_name(key),
	    key->unit != NULL ? key->unit : "");
	if (key->initial == NULL)
		buf_printf(out, "required");
	else if (key->initial[0] == '\0')
		buf_printf(out, "empty");
	else
		buf_printf(out, "%s", key->initial);
	buf_printf(out, " | ");
	describe_range(key, out);
	buf_printf(out, " | %s |\n", key->description);
}

/* Appends one table for each section. */
void
schema_describe(const schema_section_t *sections, size_t count, buf_t *out)
{
	for (size_t i = 0; i < count; i++) {
		const schema_section_t *section = &sections[i];

		buf_printf(out, "\n## [%s%s]\n\n%s\n\n", section->name,
		    section->named ? " NAME" : "", section->description);
		buf_printf(out,
		    "| key | type | unit | default | range | meaning |\n"
		    "| --- | --- | --- | --- | --- | --- |\n");
		for (size_t k = 0; k < section->count; k++)
			describe_key(&section->keys[k], out);
	}
}
