/* A crowd of clients that send large, slow or endless requests. */
#include "harness_crowd.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"

/* A crowd that cannot send anything for this long has sent what it can. */
#define STALL_S 1.5
/* No crowd sends for longer. */
#define MAX_SEND_S	  15.0
#define SAMPLE_INTERVAL_S 0.05
/* Time for the host to read what its sockets hold. */
#define SETTLE_S 0.3

typedef struct client_t {
	int fd; /* -1: closed by the host */
	size_t sent;
} client_t;

struct crowd_t {
	crowd_params_t params;
	client_t *clients;
	crowd_result_t result;
	double sampled_at;
};

/* Returns the peak resident memory of a process in kB; 0: it has ended. */
static long
peak_memory_kb(pid_t pid)
{
	char path[64];
	char line[256];
	long peak = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", pid);
	file = fopen(path, "r");
	if (file == NULL)
		return (0);
	while (fgets(line, sizeof(line), file) != NULL)
		if (strncmp(line, "VmHWM:", 6) == 0)
			peak = strtol(line + 6, NULL, 10);
	fclose(file);
	return (peak);
}

static unsigned
open_descriptors(pid_t pid)
{
	char path[64];
	unsigned count = 0;
	DIR *folder;

	snprintf(path, sizeof(path), "/proc/%d/fd", pid);
	folder = opendir(path);
	if (folder == NULL)
		return (0);
	while (readdir(folder) != NULL)
		count++;
	closedir(folder);
	return (count - 2); /* "." and ".." */
}

static void
sample(crowd_t *crowd)
{
	pid_t pid = harness_pid(crowd->params.host);
	long memory = peak_memory_kb(pid);
	unsigned descriptors = open_descriptors(pid);

	if (memory > crowd->result.memory_kb)
		crowd->result.memory_kb = memory;
	if (descriptors > crowd->result.descriptors)
		crowd->result.descriptors = descriptors;
	crowd->sampled_at = clock_monotonic();
}

static void
client_close(client_t *client)
{
	if (client->fd >= 0)
		close(client->fd);
	client->fd = -1;
}

static size_t
total_bytes(const crowd_params_t *params)
{
	return (params->head.len + params->block_bytes);
}

/* Returns the part of what a client sends that starts at an offset. */
static str_t
next_part(const crowd_params_t *params, size_t sent)
{
	size_t left = total_bytes(params) - sent;
	str_t part;

	if (sent < params->head.len)
		return (
		    (str_t){params->head.data + sent, params->head.len - sent});
	part.data =
	    params->block.data + (sent - params->head.len) % params->block.len;
	part.len =
	    params->block.len - (sent - params->head.len) % params->block.len;
	if (part.len > left)
		part.len = left;
	return (part);
}

/* Sends what the socket takes; returns whether that was anything. */
static bool
client_send(crowd_t *crowd, client_t *client)
{
	size_t before = client->sent;

	while (client->sent < total_bytes(&crowd->params)) {
		str_t part = next_part(&crowd->params, client->sent);
		ssize_t n = send(client->fd, part.data, part.len,
		    MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n < 0 && (errno == EAGAIN || errno == EINPROGRESS))
			break;
		if (n < 0) {
			client_close(client);
			break;
		}
		client->sent += (size_t)n;
	}
	crowd->result.bytes_sent += client->sent - before;
	return (client->sent > before);
}

/* Drops what the host answers. */
static void
client_read(client_t *client)
{
	char buffer[16384];
	ssize_t n = recv(client->fd, buffer, sizeof(buffer), MSG_DONTWAIT);

	if (n == 0 || (n < 0 && errno != EAGAIN))
		client_close(client);
}

/* Serves all sockets once; returns whether any client could send. */
static bool
crowd_poll(crowd_t *crowd)
{
	const crowd_params_t *params = &crowd->params;
	struct pollfd *items = xcalloc(params->clients, sizeof(*items));
	bool progress = false;

	for (unsigned i = 0; i < params->clients; i++) {
		const client_t *client = &crowd->clients[i];

		items[i].fd = client->fd;
		items[i].events = POLLIN;
		if (client->sent < total_bytes(params))
			items[i].events |= POLLOUT;
	}
	poll(items, params->clients, 20);
	for (unsigned i = 0; i < params->clients; i++) {
		client_t *client = &crowd->clients[i];

		if (client->fd >= 0 && (items[i].revents & POLLOUT))
			progress |= client_send(crowd, client);
		if (client->fd >= 0 &&
		    (items[i].revents & (POLLIN | POLLHUP | POLLERR)))
			client_read(client);
	}
	free(items);
	if (clock_monotonic() - crowd->sampled_at > SAMPLE_INTERVAL_S)
		sample(crowd);
	return (progress);
}

static bool
crowd_has_sent(const crowd_t *crowd)
{
	for (unsigned i = 0; i < crowd->params.clients; i++)
		if (crowd->clients[i].fd >= 0 &&
		    crowd->clients[i].sent < total_bytes(&crowd->params))
			return (false);
	return (true);
}

static int
client_connect(const crowd_params_t *params)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons(params->port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	inet_pton(AF_INET, params->ip, &address.sin_addr);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return (-1);
	}
	return (fd);
}

/* Connects all clients and lets them send; they stay connected. */
crowd_t *
crowd_start(const crowd_params_t *params)
{
	crowd_t *crowd = xcalloc(1, sizeof(*crowd));
	double started_at = clock_monotonic();
	double progress_at = started_at;
	double sent_at;

	crowd->params = *params;
	crowd->clients = xcalloc(params->clients, sizeof(*crowd->clients));
	for (unsigned i = 0; i < params->clients; i++)
		crowd->clients[i].fd = client_connect(params);
	while (!crowd_has_sent(crowd) &&
	       clock_monotonic() - started_at < MAX_SEND_S &&
	       clock_monotonic() - progress_at < STALL_S)
		if (crowd_poll(crowd))
			progress_at = clock_monotonic();
	sent_at = clock_monotonic();
	while (clock_monotonic() - sent_at < SETTLE_S) {
		crowd_poll(crowd);
		harness_sleep(0.01);
	}
	sample(crowd);
	return (crowd);
}

/* Closes all connections and frees the crowd. */
crowd_result_t
crowd_end(crowd_t *crowd)
{
	crowd_result_t result;

	sample(crowd);
	result = crowd->result;
	for (unsigned i = 0; i < crowd->params.clients; i++)
		client_close(&crowd->clients[i]);
	free(crowd->clients);
	free(crowd);
	return (result);
}
