/* Tests the reservation of ports for the processes of tests. */
#include "suite.h"

#include <stdbool.h>
#include <sys/wait.h>
#include <unistd.h>

#include "harness_port.h"

/* Each reservation holds a descriptor; tests may have as few as 1024. */
#define DRAWS 200

static const char *const addresses[] = {"127.0.0.21", "127.0.0.22"};

/* Draws ports and counts those whose mark is set already. */
static unsigned
draw_ports(bool *marks)
{
	unsigned repeated = 0;

	for (unsigned i = 0; i < DRAWS; i++) {
		uint16_t port = harness_port_reserve(addresses, 2);

		CU_ASSERT(port != 0);
		repeated += marks[port];
		marks[port] = true;
	}
	return (repeated);
}

/*
 * Guards against a fleet that can't start since two of its programs were given
 * one port.
 */
static void
test_ports_differ(void)
{
	static bool marks[UINT16_MAX + 1];

	CU_ASSERT(draw_ports(marks) == 0);
}

/*
 * Guards against two tests that run at a time and are given the same port
 * before either of them listens on it.
 */
static void
test_ports_of_processes_differ(void)
{
	static bool marks[UINT16_MAX + 1];
	int status = -1;
	pid_t child;

	CU_ASSERT(draw_ports(marks) == 0);
	child = fork();
	if (child == 0)
		_exit(draw_ports(marks) == 0 ? 0 : 1);
	CU_ASSERT(waitpid(child, &status, 0) == child);
	CU_ASSERT(WIFEXITED(status) && WEXITSTATUS(status) == 0);
}

static const suite_test_t tests[] = {
    {"ports differ", test_ports_differ},
    {"ports of processes differ", test_ports_of_processes_differ},
};

SUITE_MAIN("harness_port", tests)
