/* Turns the values of a schema's keys into members of a struct. */
#include "schema.h"

#include <arpa/inet.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Longest number with its unit, in bytes. */
#define MAX_NUMBER 63

typedef struct value_t {
	const schema_key_t *key;
	str_t text;
	char *member;
	char fault[160]; /* empty: none */
} value_t;

static void
value_fault(value_t *value, const char *expected)
{
	snprintf(value->fault, sizeof(value->fault), "%s = %.40s: expected %s",
	    value->key->name, value->text.data, expected);
}

/* Returns the index of the value among the key's choices, or -1. */
static int
choice_index(const char *choices, str_t text)
{
	str_t rest = str_of(choices);
	str_t word;

	for (int i = 0; str_split(&rest, '|', &word); i++)
		if (str_equal(word, text))
			return (i);
	return (-1);
}

static bool
is_ip(str_t s)
{
	char text[INET_ADDRSTRLEN];
	struct in_addr address;

	if (s.len == 0 || s.len >= sizeof(text))
		return (false);
	str_copy(text, sizeof(text), s);
	return (inet_pton(AF_INET, text, &address) == 1);
}

static bool
is_address(str_t s)
{
	const char *colon = s.len > 0 ? memchr(s.data, ':', s.len) : NULL;
	uint64_t port = 0;
	str_t ip;

	if (colon == NULL)
		return (false);
	ip = (str_t){s.data, (size_t)(colon - s.data)};
	if (str_to_u64((str_t){colon + 1, s.len - ip.len - 1}, &port) != 0)
		return (false);
	return (is_ip(ip) && port >= 1 && port <= 65535);
}

static bool
is_hash(str_t s)
{
	if (s.len != 64)
		return (false);
	for (size_t i = 0; i < s.len; i++)
		if (strchr("0123456789abcdef", s.data[i]) == NULL)
			return (false);
	return (true);
}

static bool
is_list(str_t s, bool (*is_item)(str_t))
{
	str_t rest = s;
	str_t item;

	if (s.len == 0)
		return (true);
	while (str_split(&rest, ',', &item))
		if (!is_item(str_trim(item)))
			return (false);
	return (true);
}

static bool
is_url(str_t s)
{
	str_t scheme = STR("http://");

	if (!str_has_prefix(s, scheme))
		return (false);
	return (is_address((str_t){s.data + scheme.len, s.len - scheme.len}));
}

static bool
is_printable(str_t s)
{
	for (size_t i = 0; i < s.len; i++)
		if ((unsigned char)s.data[i] < ' ')
			return (false);
	return (true);
}

static void
parse_text(value_t *value)
{
	str_t s = value->text;
	bool empty_ok =
	    value->key->initial != NULL && value->key->initial[0] == '\0';
	const char *expected = NULL;

	switch (value->key->type) {
	case SCHEMA_NAME:
		if (!schema_is_name(s))
			expected = "a name";
		break;
	case SCHEMA_LIST:
		if (!is_list(s, schema_is_name))
			expected = "names separated by commas";
		break;
	case SCHEMA_IP:
		if (!is_ip(s))
			expected = "an IPv4 number";
		break;
	case SCHEMA_IP_LIST:
		if (!is_list(s, is_ip))
			expected = "IPv4 numbers separated by commas";
		break;
	case SCHEMA_ADDRESS:
		if (!is_address(s))
			expected = "IP:PORT";
		break;
	case SCHEMA_HASH:
		if (!is_hash(s))
			expected = "64 hexadecimal digits";
		break;
	case SCHEMA_URL:
		if (!is_url(s))
			expected = "http://IP:PORT";
		break;
	case SCHEMA_CHOICE:
		if (choice_index(value->key->choices, s) < 0)
			expected = value->key->choices;
		break;
	default:
		if (!is_printable(s) || (s.len == 0 && !empty_ok))
			expected = "text";
		break;
	}
	if (expected != NULL && !(s.len == 0 && empty_ok))
		value_fault(value, expected);
	else
		*(char **)value->member = str_dup(s);
}

static void
parse_number(value_t *value)
{
	const schema_key_t *key = value->key;
	char text[MAX_NUMBER + 1];
	char *end;
	double number;
	str_t unit;

	str_copy(text, sizeof(text), value->text);
	/* Only decimal digits: strtod() also takes "inf", "nan" and hex. */
	if (value->text.len > MAX_NUMBER || text[0] < '0' || text[0] > '9' ||
	    text[1] == 'x' || text[1] == 'X') {
		value_fault(value, "a number");
		return;
	}
	number = strtod(text, &end);
	unit = str_trim(str_of(end));
	if (unit.len > 0 && !str_equal(unit, str_of(key->unit))) {
		snprintf(value->fault, sizeof(value->fault), "%s = %.40s: %s%s",
		    key->name, text,
		    key->unit != NULL ? "the unit is " : "it takes no unit",
		    key->unit != NULL ? key->unit : "");
		return;
	}
	if (key->type == SCHEMA_UINT && number != floor(number)) {
		value_fault(value, "a whole number");
		return;
	}
	if (number < key->min || number > key->max) {
		snprintf(value->fault, sizeof(value->fault),
		    "%s = %.40s: must be from %.0f to %.0f", key->name, text,
		    key->min, key->max);
		return;
	}
	if (key->type == SCHEMA_UINT)
		*(unsigned *)(void *)value->member = (unsigned)number;
	else
		*(double *)(void *)value->member = number;
}

static void
parse_bool(value_t *value)
{
	int index = choice_index(value->key->choices, value->text);

	if (index < 0)
		value_fault(value, value->key->choices);
	else
		*(bool *)value->member = index == 1;
}

/*
 * Fills the section's struct from an object: stated values, otherwise defaults.
 * out must be zeroed; members whose value has a fault stay zero.
 */
void
schema_fill(const schema_object_t *object, void *out, config_faults_t *faults)
{
	const schema_section_t *section = object->section;

	if (section->named)
		*(char **)(void *)((char *)out + section->name_offset) =
		    xstrdup(object->name);
	for (size_t i = 0; i < section->count; i++) {
		const schema_key_t *key = &section->keys[i];
		const char *stated = object->values[i].text;
		value_t value = {
		    .key = key,
		    .text = str_of(stated != NULL ? stated : key->initial),
		    .member = (char *)out + key->offset,
		};

		if (value.text.data == NULL) {
			schema_fault(faults, object, NULL,
			    "section [%s%s%s] needs the key '%s'",
			    section->name, section->named ? " " : "",
			    object->name, key->name);
			continue;
		}
		if (key->type == SCHEMA_UINT || key->type == SCHEMA_NUMBER)
			parse_number(&value);
		else if (key->type == SCHEMA_BOOL)
			parse_bool(&value);
		else
			parse_text(&value);
		if (value.fault[0] != '\0')
			schema_fault(
			    faults, object, key->name, "%s", value.fault);
	}
}

/* Frees the strings that schema_fill() allocated. */
void
schema_release(const schema_section_t *section, void *out)
{
	if (section->named)
		free(*(char **)(void *)((char *)out + section->name_offset));
	for (size_t i = 0; i < section->count; i++) {
		const schema_key_t *key = &section->keys[i];

		if (key->type != SCHEMA_UINT && key->type != SCHEMA_NUMBER &&
		    key->type != SCHEMA_BOOL)
			free(*(char **)(void *)((char *)out + key->offset));
	}
}
