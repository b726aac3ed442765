/* Reserves ports for the processes of a test, among all tests of a machine. */
#include "harness_port.h"

#include <arpa/inet.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

#include <sodium.h>

/*
 * Below the range from which the kernel takes ports of outgoing connections
 * (from 32768 on by default), so that no connection takes a reserved port
 * before, or between two runs of, the process that listens there.
 */
#define FIRST_PORT 10000
#define PORTS	   20000

/* Where a reserved port is bound; no program of a test uses this address. */
#define RESERVATION_ADDRESS "127.255.255.254"

/* Returns a socket bound to the port, or -1 if the port is taken there. */
static int
bind_port(const char *address, uint16_t port, int type)
{
	struct sockaddr_in in = {
	    .sin_family = AF_INET,
	    .sin_port = htons(port),
	};
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, address, &in.sin_addr);
	if (fd >= 0 && bind(fd, (struct sockaddr *)&in, sizeof(in)) != 0) {
		close(fd);
		fd = -1;
	}
	return (fd);
}

static bool
port_is_free(const char *address, uint16_t port, int type)
{
	int fd = bind_port(address, port, type);

	if (fd < 0)
		return (false);
	close(fd);
	return (true);
}

static bool
port_is_free_on_all(const char *const *addresses, size_t count, uint16_t port)
{
	for (size_t i = 0; i < count; i++)
		if (!port_is_free(addresses[i], port, SOCK_STREAM) ||
		    !port_is_free(addresses[i], port, SOCK_DGRAM))
			return (false);
	return (true);
}

/*
 * Returns a port that is free for TCP and UDP on all given IP addresses, or 0.
 * No other call returns it, in this process or another, until this process
 * ends: a socket that stays open holds the reservation.
 */
uint16_t
harness_port_reserve(const char *const *addresses, size_t count)
{
	uint32_t first = randombytes_uniform(PORTS);

	for (uint32_t i = 0; i < PORTS; i++) {
		uint16_t port = (uint16_t)(FIRST_PORT + (first + i) % PORTS);
		int reservation =
		    bind_port(RESERVATION_ADDRESS, port, SOCK_STREAM);

		if (reservation < 0)
			continue;
		if (port_is_free_on_all(addresses, count, port))
			return (port);
		close(reservation);
	}
	return (0);
}
