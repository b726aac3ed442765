/* What the load tool sends, from an INI file. */
#include "load_scenario.h"

#include <errno.h>
#include <math.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "ini_text.h"

typedef enum section_t {
	SECTION_NONE,
	SECTION_LOAD,
	SECTION_BATCH,
	SECTION_BURST,
} section_t;

typedef struct parser_t {
	load_scenario_t *scenario;
	section_t section;
	buf_t *fault; /* the first fault found */
} parser_t;

#define IN_SCENARIO(field) offsetof(load_scenario_t, field)
#define IN_BURST(field)	   offsetof(load_burst_t, field)

/* The numeric keys with their places and defaults. */
static const struct {
	section_t section;
	const char *key;
	size_t offset;
	double fallback;
} numbers[] = {
    {SECTION_LOAD, "discover", IN_SCENARIO(discover), 0},
    {SECTION_LOAD, "rate", IN_SCENARIO(rate), 10},
    {SECTION_LOAD, "duration_s", IN_SCENARIO(duration), 10},
    {SECTION_LOAD, "warmup_s", IN_SCENARIO(warmup), 0},
    {SECTION_LOAD, "deadline_ms", IN_SCENARIO(deadline_ms), 30000},
    {SECTION_LOAD, "max_tokens", IN_SCENARIO(max_tokens), 16},
    {SECTION_LOAD, "prefix_groups", IN_SCENARIO(prefix_groups), 0},
    {SECTION_LOAD, "prefix_bytes", IN_SCENARIO(prefix_bytes), 256},
    {SECTION_LOAD, "seed", IN_SCENARIO(seed), 1},
    {SECTION_LOAD, "max_open", IN_SCENARIO(max_open), 4000},
    {SECTION_BATCH, "items", IN_SCENARIO(batch_items), 0},
    {SECTION_BATCH, "max_tokens", IN_SCENARIO(batch_max_tokens), 16},
    {SECTION_BATCH, "start_s", IN_SCENARIO(batch_start), 0},
    {SECTION_BATCH, "due_s", IN_SCENARIO(batch_due), 3600},
    {SECTION_BATCH, "refused_every", IN_SCENARIO(batch_refused_every), 0},
    {SECTION_BATCH, "wait_s", IN_SCENARIO(batch_wait), 60},
    {SECTION_BURST, "factor", IN_BURST(factor), 1},
    {SECTION_BURST, "start_s", IN_BURST(start), 0},
    {SECTION_BURST, "length_s", IN_BURST(length), 0},
};

#define NUMBER_COUNT (sizeof(numbers) / sizeof(numbers[0]))

static double *
number_place(load_scenario_t *scenario, size_t i)
{
	char *base = (char *)scenario;

	if (numbers[i].section == SECTION_BURST)
		base = (char *)&scenario->bursts[scenario->burst_count - 1];
	return ((double *)(void *)(base + numbers[i].offset));
}

static void
parser_fault(parser_t *parser, unsigned line, const char *text, str_t subject)
{
	if (parser->fault->len == 0)
		buf_printf(parser->fault, "line %u: %s \"" STR_FMT "\"", line,
		    text, STR_ARG(subject));
}

static void
set_defaults(load_scenario_t *scenario, bool burst)
{
	for (size_t i = 0; i < NUMBER_COUNT; i++)
		if ((numbers[i].section == SECTION_BURST) == burst)
			*number_place(scenario, i) = numbers[i].fallback;
}

static void
on_section(void *ctx, unsigned line, str_t name)
{
	parser_t *parser = ctx;
	load_scenario_t *scenario = parser->scenario;

	parser->section = SECTION_NONE;
	if (str_equal(name, STR("load"))) {
		parser->section = SECTION_LOAD;
	} else if (str_equal(name, STR("batch"))) {
		parser->section = SECTION_BATCH;
	} else if (str_has_prefix(name, STR("burst")) &&
		   scenario->burst_count < LOAD_MAX_BURSTS) {
		parser->section = SECTION_BURST;
		scenario->burst_count++;
		set_defaults(scenario, true);
	} else {
		parser_fault(parser, line, "unexpected section", name);
	}
}

static void
add_entries(parser_t *parser, unsigned line, str_t list)
{
	load_scenario_t *scenario = parser->scenario;
	str_t part;

	while (str_split(&list, ',', &part)) {
		if (scenario->entry_count == LOAD_MAX_ENTRIES)
			parser_fault(parser, line, "too many entries at", part);
		else
			scenario->entries[scenario->entry_count++] =
			    str_dup(str_trim(part));
	}
}

static void
set_text(char **place, str_t value)
{
	free(*place);
	*place = str_dup(value);
}

static void
set_number(parser_t *parser, unsigned line, str_t key, str_t value)
{
	char *text = str_dup(value);
	char *end;
	double number = strtod(text, &end);
	bool valid = end != text && *end == '\0' && number >= 0;

	free(text);
	if (!valid) {
		parser_fault(parser, line, "not a number:", value);
		return;
	}
	for (size_t i = 0; i < NUMBER_COUNT; i++) {
		if (numbers[i].section != parser->section ||
		    !str_equal(str_of(numbers[i].key), key))
			continue;
		*number_place(parser->scenario, i) = number;
		return;
	}
	parser_fault(parser, line, "unknown key", key);
}

static void
on_key(void *ctx, unsigned line, str_t key, str_t value)
{
	parser_t *parser = ctx;
	bool load = parser->section == SECTION_LOAD;

	if (load && str_equal(key, STR("entries")))
		add_entries(parser, line, value);
	else if (load && str_equal(key, STR("token")))
		set_text(&parser->scenario->token, value);
	else if (load && str_equal(key, STR("model")))
		set_text(&parser->scenario->model, value);
	else if (parser->section == SECTION_BATCH &&
		 str_equal(key, STR("token")))
		set_text(&parser->scenario->batch_token, value);
	else
		set_number(parser, line, key, value);
}

static void
on_fault(void *ctx, unsigned line, const char *text)
{
	parser_fault(ctx, line, text, STR(""));
}

/*
 * Parses a scenario. Returns 0, or -EINVAL with the first fault described.
 * Either way load_scenario_free() is needed.
 */
int
load_scenario_parse(str_t text, load_scenario_t *out, buf_t *fault)
{
	parser_t parser = {.scenario = out, .fault = fault};

	*out = (load_scenario_t){
	    .token = xstrdup(""),
	    .model = xstrdup(""),
	    .batch_token = xstrdup(""),
	};
	set_defaults(out, false);
	ini_text_read(text, &(ini_events_t){
				.on_section = on_section,
				.on_key = on_key,
				.on_fault = on_fault,
				.ctx = &parser,
			    });
	if (fault->len == 0 && out->entry_count == 0)
		buf_append(fault, STR("the scenario has no entries"));
	if (fault->len == 0 && out->model[0] == '\0')
		buf_append(fault, STR("the scenario has no model"));
	return (fault->len > 0 ? -EINVAL : 0);
}

/* Releases a scenario's memory. */
void
load_scenario_free(load_scenario_t *scenario)
{
	for (size_t i = 0; i < scenario->entry_count; i++)
		free(scenario->entries[i]);
	free(scenario->token);
	free(scenario->model);
	free(scenario->batch_token);
	*scenario = (load_scenario_t){0};
}

/*
 * Appends the prompt of request or item number n; kind tells the two apart.
 * Prompts of one prefix group begin with the same bytes.
 */
void
load_prompt(
    const load_scenario_t *scenario, const char *kind, unsigned n, buf_t *out)
{
	unsigned groups = (unsigned)scenario->prefix_groups;
	rng_t rng = rng_seeded((uint64_t)scenario->seed + n);
	size_t start = out->len;

	if (groups > 0) {
		uint64_t group = rng_below(&rng, groups);

		while (out->len - start < (size_t)scenario->prefix_bytes)
			buf_printf(out, "group %llu of the prompts. ",
			    (unsigned long long)group);
	}
	buf_printf(out, "%s %u of run %llu", kind, n,
	    (unsigned long long)scenario->seed);
}

/* Returns the arrivals of a scenario from its start. */
load_arrivals_t
load_arrivals(const load_scenario_t *scenario)
{
	return ((load_arrivals_t){
	    .scenario = scenario,
	    .rng = rng_seeded((uint64_t)scenario->seed),
	});
}

/* Returns the rate at a time, and until when it stays the same. */
static double
rate_at(const load_scenario_t *scenario, double time, double *until)
{
	double rate = scenario->rate;

	*until = INFINITY;
	for (size_t i = 0; i < scenario->burst_count; i++) {
		const load_burst_t *burst = &scenario->bursts[i];
		double end = burst->start + burst->length;

		if (time < burst->start) {
			*until = fmin(*until, burst->start);
		} else if (time < end) {
			rate *= burst->factor;
			*until = fmin(*until, end);
		}
	}
	return (rate);
}

/*
 * Returns the next arrival in seconds from the start, or a negative number
 * when the scenario's duration is over. Arrivals are a Poisson process whose
 * rate follows the bursts.
 */
double
load_arrivals_next(load_arrivals_t *arrivals)
{
	const load_scenario_t *scenario = arrivals->scenario;
	double need = -log(1 - rng_uniform(&arrivals->rng));

	while (arrivals->time < scenario->duration) {
		double until;
		double rate = rate_at(scenario, arrivals->time, &until);

		until = fmin(until, scenario->duration);
		if (need <= rate * (until - arrivals->time)) {
			arrivals->time += need / rate;
			return (arrivals->time);
		}
		need -= rate * (until - arrivals->time);
		arrivals->time = until;
	}
	return (-1);
}
