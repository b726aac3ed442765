/* The operators' command line. */
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "cli.h"

static void
print_commands(FILE *out, const cli_command_t *commands, size_t count)
{
	for (size_t i = 0; i < count; i++)
		fprintf(
		    out, "  %-18s %s\n", commands[i].name, commands[i].summary);
}

static void
print_help(FILE *out)
{
	fputs("usage: daisypier COMMAND [OPTION...]\n\n", out);
	print_commands(out, cli_config_commands, cli_config_command_count);
	print_commands(out, cli_fleet_commands, cli_fleet_command_count);
	fputs("\ndaisypier COMMAND --help describes a command. The exit code "
	      "is 0 on success,\n1 on failure and 2 on a usage error.\n",
	    out);
}

/* Returns how many words of the command line name the command, or 0. */
static int
match(const cli_command_t *command, int argc, char **argv)
{
	str_t rest = str_of(command->name);
	str_t word;
	int words = 0;

	while (str_split(&rest, ' ', &word)) {
		words++;
		if (argc <= words || !str_equal(str_of(argv[words]), word))
			return (0);
	}
	return (words);
}

static const cli_command_t *
find(const cli_command_t *commands, size_t count, int argc, char **argv,
    int *words)
{
	for (size_t i = 0; i < count; i++) {
		*words = match(&commands[i], argc, argv);
		if (*words > 0)
			return (&commands[i]);
	}
	return (NULL);
}

int
main(int argc, char **argv)
{
	const cli_command_t *command;
	int words = 0;
	int rc;

	if (argc > 1 && strcmp(argv[1], "--help") == 0) {
		print_help(stdout);
		return (CLI_OK);
	}
	if (argc > 1 && strcmp(argv[1], "--version") == 0) {
		printf("daisypier %s\n", DAISYPIER_VERSION);
		return (CLI_OK);
	}
	command = find(
	    cli_config_commands, cli_config_command_count, argc, argv, &words);
	if (command == NULL)
		command = find(cli_fleet_commands, cli_fleet_command_count,
		    argc, argv, &words);
	if (command == NULL) {
		print_help(stderr);
		return (CLI_USAGE);
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	rc = command->run(argc - words, argv + words);
	curl_global_cleanup();
	return (rc);
}
