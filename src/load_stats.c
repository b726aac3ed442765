/* What the load tool measured, and its reports. */
#include "load_stats.h"

#include <errno.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

/* Longest run that is recorded second by second. */
#define MAX_SECONDS 86400

/* Makes empty measures; the first warmup seconds are left out. */
load_stats_t *
load_stats_new(double warmup)
{
	load_stats_t *stats = xcalloc(1, sizeof(*stats));

	stats->warmup = warmup;
	stats->first_token = histogram_new();
	stats->between = histogram_new();
	stats->total = histogram_new();
	stats->batch_state = "none";
	return (stats);
}

/* Frees all measures. */
void
load_stats_delete(load_stats_t *stats)
{
	for (size_t i = 0; i < stats->second_count; i++)
		histogram_delete(stats->seconds[i].first_token);
	histogram_delete(stats->first_token);
	histogram_delete(stats->between);
	histogram_delete(stats->total);
	free(stats->seconds);
	free(stats);
}

/* Returns the second that a time from the start falls into. */
load_second_t *
load_stats_second(load_stats_t *stats, double time)
{
	size_t index = (size_t)fmin(fmax(time, 0), MAX_SECONDS);

	while (stats->second_count <= index) {
		stats->seconds = xrealloc(stats->seconds,
		    (stats->second_count + 1) * sizeof(*stats->seconds));
		stats->seconds[stats->second_count++] =
		    (load_second_t){.first_token = histogram_new()};
	}
	return (&stats->seconds[index]);
}

/* Counts a failure by its name. */
void
load_stats_failure(load_stats_t *stats, const char *name)
{
	load_failure_t *failure = stats->failures;
	load_failure_t *end = failure + stats->failure_count;

	while (failure < end && strcmp(failure->name, name) != 0)
		failure++;
	if (failure == end) {
		if (stats->failure_count == LOAD_MAX_FAILURES)
			return;
		stats->failure_count++;
		str_copy(failure->name, sizeof(failure->name), str_of(name));
		failure->count = 0;
	}
	failure->count++;
}

static double
batch_rate(const load_stats_t *stats)
{
	double length = stats->batch_last - stats->batch_first;

	return (length > 0 ? (double)stats->batch_done / length : 0);
}

static void
print_times(const char *name, const histogram_t *histogram)
{
	printf("%-22s %9llu %9.1f %9.1f %9.1f %9.1f\n", name,
	    (unsigned long long)histogram_count(histogram),
	    histogram_quantile(histogram, 0.5) * 1000,
	    histogram_quantile(histogram, 0.95) * 1000,
	    histogram_quantile(histogram, 0.99) * 1000,
	    histogram_max(histogram) * 1000);
}

/* Prints the measures as a table on standard output. */
void
load_stats_print(const load_stats_t *stats)
{
	printf("%-22s %9s %9s %9s %9s %9s\n", "times in ms", "count", "p50",
	    "p95", "p99", "max");
	print_times("first token", stats->first_token);
	print_times("between tokens", stats->between);
	print_times("whole answer", stats->total);
	printf("\n%-22s %9llu\n%-22s %9llu\n%-22s %9llu\n%-22s %9llu\n",
	    "requests", (unsigned long long)stats->arrived, "complete",
	    (unsigned long long)stats->completed, "wrong content",
	    (unsigned long long)stats->wrong, "failed",
	    (unsigned long long)stats->failed);
	for (size_t i = 0; i < stats->failure_count; i++)
		printf("  %-20s %9llu\n", stats->failures[i].name,
		    (unsigned long long)stats->failures[i].count);
	if (stats->batch_items == 0)
		return;
	printf("\n%-22s %9s\n%-22s %9llu\n%-22s %9llu\n%-22s %9.1f\n",
	    "batch job", stats->batch_state, "items",
	    (unsigned long long)stats->batch_items, "items done",
	    (unsigned long long)stats->batch_done, "items done a second",
	    batch_rate(stats));
	printf("%-22s %9llu\n%-22s %9llu\n%-22s %9llu\n%-22s %9llu\n",
	    "results read", (unsigned long long)stats->batch_results,
	    "wrong content", (unsigned long long)stats->batch_wrong,
	    "not succeeded", (unsigned long long)stats->batch_lost,
	    "duplicates", (unsigned long long)stats->batch_duplicates);
}

static json_t *
times_json(const histogram_t *histogram)
{
	return (json_pack("{s:I,s:f,s:f,s:f,s:f,s:f}", "count",
	    (json_int_t)histogram_count(histogram), "mean",
	    histogram_mean(histogram), "p50",
	    histogram_quantile(histogram, 0.5), "p95",
	    histogram_quantile(histogram, 0.95), "p99",
	    histogram_quantile(histogram, 0.99), "max",
	    histogram_max(histogram)));
}

static json_t *
batch_json(const load_stats_t *stats)
{
	return (json_pack("{s:s,s:I,s:I,s:f,s:I,s:I,s:I,s:I}", "state",
	    stats->batch_state, "items", (json_int_t)stats->batch_items, "done",
	    (json_int_t)stats->batch_done, "done_per_s", batch_rate(stats),
	    "results", (json_int_t)stats->batch_results, "wrong",
	    (json_int_t)stats->batch_wrong, "not_succeeded",
	    (json_int_t)stats->batch_lost, "duplicates",
	    (json_int_t)stats->batch_duplicates));
}

/* Writes the measures, times in seconds. Returns 0 or -EIO. */
int
load_stats_write_json(const load_stats_t *stats, const char *path)
{
	json_t *failures = json_object();
	json_t *root;
	int rc;

	for (size_t i = 0; i < stats->failure_count; i++)
		json_object_set_new(failures, stats->failures[i].name,
		    json_integer((json_int_t)stats->failures[i].count));
	root = json_pack("{s:o,s:o,s:o,s:I,s:I,s:I,s:I,s:I,s:o,s:o}",
	    "first_token_s", times_json(stats->first_token), "between_tokens_s",
	    times_json(stats->between), "whole_answer_s",
	    times_json(stats->total), "requests", (json_int_t)stats->arrived,
	    "complete", (json_int_t)stats->completed, "wrong",
	    (json_int_t)stats->wrong, "failed", (json_int_t)stats->failed,
	    "tokens", (json_int_t)stats->tokens, "failures", failures, "batch",
	    batch_json(stats));
	rc = json_dump_file(root, path, JSON_INDENT(2));
	json_decref(root);
	return (rc == 0 ? 0 : -EIO);
}

static int
write_data(const load_stats_t *stats, const char *path)
{
	FILE *file = fopen(path, "w");

	if (file == NULL)
		return (-EIO);
	fputs("# second arrived complete failed batch_done "
	      "first_token_p50_ms first_token_p95_ms\n",
	    file);
	for (size_t i = 0; i < stats->second_count; i++) {
		const load_second_t *second = &stats->seconds[i];

		fprintf(file, "%zu %u %u %u %u %.3f %.3f\n", i, second->arrived,
		    second->completed, second->failed, second->batch_done,
		    histogram_quantile(second->first_token, 0.5) * 1000,
		    histogram_quantile(second->first_token, 0.95) * 1000);
	}
	return (fclose(file) == 0 ? 0 : -EIO);
}

/*
 * Writes PNG_PATH.gp and PNG_PATH.dat; "gnuplot PNG_PATH.gp" makes the PNG
 * file. Returns 0 or -EIO.
 */
int
load_stats_write_plot(const load_stats_t *stats, const char *png_path)
{
	char data[512];
	char script[512];
	FILE *file;

	if (snprintf(data, sizeof(data), "%s.dat", png_path) >=
		(int)sizeof(data) ||
	    snprintf(script, sizeof(script), "%s.gp", png_path) >=
		(int)sizeof(script) ||
	    write_data(stats, data) != 0 || (file = fopen(script, "w")) == NULL)
		return (-EIO);
	fprintf(file,
	    "set terminal png size 1000,700\n"
	    "set output '%s'\n"
	    "set multiplot layout 2,1\n"
	    "set xlabel 'seconds'\n"
	    "set yrange [0:*]\n"
	    "set ylabel 'a second'\n"
	    "plot '%s' using 1:2 with lines title 'requests arrived', \\\n"
	    "     '' using 1:3 with lines title 'complete', \\\n"
	    "     '' using 1:4 with lines title 'failed', \\\n"
	    "     '' using 1:5 with lines title 'batch items done'\n"
	    "set ylabel 'first token, ms'\n"
	    "plot '%s' using 1:6 with lines title 'p50', \\\n"
	    "     '' using 1:7 with lines title 'p95'\n"
	    "unset multiplot\n",
	    png_path, data, data);
	return (fclose(file) == 0 ? 0 : -EIO);
}
