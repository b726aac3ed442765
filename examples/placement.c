/* Prints the host selected for each pool before and after a host failure. */
#include <stdio.h>

#include "member_table.h"
#include "placement.h"

static void
print_selected_host(const member_table_t *table, const char *pool)
{
	const member_t *selected =
	    placement_pick(table->members, table->count, str_of(pool), NULL);

	printf("%s: %s\n", pool, selected != NULL ? selected->name : "no host");
}

int
main(void)
{
	static const char *const names[] = {"host-1", "host-2", "host-3"};
	static const char *const pools[] = {"tally-lm", "ledger"};
	member_table_t table = {0};
	const member_t *selected;

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		member_t member = {
		    .instance = i + 1,
		    .state = MEMBER_ALIVE,
		    .ready = true,
		};

		snprintf(member.name, sizeof(member.name), "%s", names[i]);
		snprintf(
		    member.address, sizeof(member.address), "127.0.0.1%zu", i);
		member_table_add(&table, &member, 0);
	}
	for (size_t i = 0; i < 2; i++)
		print_selected_host(&table, pools[i]);
	selected =
	    placement_pick(table.members, table.count, str_of(pools[0]), NULL);
	printf("%s fails\n", selected->name);
	table.members[member_table_find(&table, str_of(selected->name))].state =
	    MEMBER_DEAD;
	for (size_t i = 0; i < 2; i++)
		print_selected_host(&table, pools[i]);
	member_table_free(&table);
	return (0);
}
