/*
 * Cost of prompts with many parts on one host: reading and checking a request,
 * a crash with all its parts, the report on it, and the memory of a million
 * distinct parts. Argument: seed.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "clock.h"
#include "platform_dialect.h"
#include "quarantine_wire.h"

#define REQUESTS       200
#define CRASHES	       50
#define DISTINCT_PARTS 1000000

/* A prompt header whose parts but the first are the request's own. */
static void
write_prompt(rng_t *rng, size_t parts, buf_t *out)
{
	buf_clear(out);
	buf_append(out, STR("1:1"));
	for (size_t i = 1; i < parts; i++)
		buf_printf(out, ",%llx:1", (unsigned long long)rng_next(rng));
	buf_append(out, STR(",own:1"));
}

static double
processor_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return ((double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3);
}

static void
read_parts(rng_t *rng, size_t count, prompt_parts_t *out)
{
	buf_t prompt = {0};

	write_prompt(rng, count, &prompt);
	platform_read_prompt(str_buf(&prompt), out);
	prompt_parts_set_request(out, STR("/"), str_buf(&prompt), STR(""));
	buf_free(&prompt);
}

/* Makes a held part, so that requests are compared with it. */
static quarantine_t *
make_quarantine(void)
{
	quarantine_t *q = quarantine_new(0);
	prompt_parts_t harmful = {0};

	prompt_parts_add(&harmful, 7);
	prompt_parts_seal(&harmful);
	for (unsigned i = 0; i < 4; i++)
		quarantine_add_crash(q, &harmful, i, 100 + i);
	quarantine_judge(q, 104);
	prompt_parts_free(&harmful);
	return (q);
}

/* Prints the processor time of a sound request: read, admitted, answered. */
static void
measure_requests(rng_t *rng, size_t count)
{
	quarantine_t *q = make_quarantine();
	buf_t prompts[REQUESTS] = {{0}};
	part_hold_t hold;
	double spent;

	for (size_t i = 0; i < REQUESTS; i++)
		write_prompt(rng, count, &prompts[i]);
	spent = processor_us();
	for (size_t i = 0; i < REQUESTS; i++) {
		prompt_parts_t parts;

		platform_read_prompt(str_buf(&prompts[i]), &parts);
		prompt_parts_set_request(
		    &parts, STR("/"), str_buf(&prompts[i]), STR(""));
		if (quarantine_admits(q, &parts, 110, &hold))
			(void)quarantine_begin(q, &parts, 110);
		quarantine_add_answer(q, &parts, 110);
		prompt_parts_free(&parts);
	}
	spent = processor_us() - spent;
	printf("parts %5zu  head bytes %6zu  request %8.2f us", count,
	    prompts[0].len, spent / REQUESTS);
	for (size_t i = 0; i < REQUESTS; i++)
		buf_free(&prompts[i]);
	quarantine_delete(q);
}

/* Prints the processor time of a crash, and the bytes of its report. */
static void
measure_crashes(rng_t *rng, size_t count)
{
	quarantine_t *q = quarantine_new(0);
	prompt_parts_t parts[CRASHES];
	double spent;
	size_t bytes = 0;

	for (size_t i = 0; i < CRASHES; i++)
		read_parts(rng, count, &parts[i]);
	spent = processor_us();
	for (size_t i = 0; i < CRASHES; i++) {
		quarantine_report_t report;
		buf_t body = {0};

		quarantine_add_crash(q, &parts[i], i, 100 + (double)i);
		if (quarantine_take_report(q, &report))
			quarantine_pack_report(&body, &report, 200);
		quarantine_judge(q, 100.5 + (double)i);
		bytes = body.len;
		buf_free(&body);
		quarantine_report_free(&report);
	}
	spent = processor_us() - spent;
	printf("  crash %8.1f us  report %6zu bytes\n", spent / CRASHES, bytes);
	for (size_t i = 0; i < CRASHES; i++)
		prompt_parts_free(&parts[i]);
	quarantine_delete(q);
}

/* Prints what is kept of crashes of requests with a million distinct parts. */
static void
measure_distinct(rng_t *rng, size_t count)
{
	size_t before = mallinfo2().uordblks;
	quarantine_t *q = quarantine_new(0);
	double spent = processor_us();
	quarantine_stats_t stats;

	for (size_t i = 0; i < DISTINCT_PARTS / count; i++) {
		prompt_parts_t parts = {0};

		read_parts(rng, count, &parts);
		quarantine_add_crash(q, &parts, i, 100 + (double)i);
		quarantine_judge(q, 100.5 + (double)i);
		prompt_parts_free(&parts);
	}
	spent = processor_us() - spent;
	stats = quarantine_stats(q);
	printf("%d distinct parts, %zu a crash: %zu records, %llu dropped, "
	       "%zu bytes, %.2f us a part\n",
	    DISTINCT_PARTS, count, stats.records,
	    (unsigned long long)stats.dropped, mallinfo2().uordblks - before,
	    spent / DISTINCT_PARTS);
	quarantine_delete(q);
}

int
main(int argc, char **argv)
{
	static const size_t counts[] = {3, 42, 400, 1000, 4000};
	rng_t rng = rng_seeded(argc > 1 ? strtoull(argv[1], NULL, 10) : 1);

	for (size_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
		measure_requests(&rng, counts[i]);
		measure_crashes(&rng, counts[i]);
	}
	measure_distinct(&rng, 40);
	measure_distinct(&rng, 4000);
	return (0);
}
