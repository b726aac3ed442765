/* Reads whole files. */
#include "file.h"

#include <errno.h>
#include <fcntl.h>
#include <unistd.h>

#define PIECE 65536

/*
 * Appends a file's content; "-" is standard input. Returns 0 or the negative
 * error number of the call that failed.
 */
int
file_read(const char *path, buf_t *out)
{
	bool is_stdin = str_equal(str_of(path), STR("-"));
	int fd = is_stdin ? STDIN_FILENO : open(path, O_RDONLY | O_CLOEXEC);
	int rc = 0;

	if (fd < 0)
		return (-errno);
	for (;;) {
		ssize_t n;

		buf_reserve(out, PIECE);
		n = read(fd, out->data + out->len, PIECE);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			rc = -errno;
		if (n <= 0)
			break;
		out->len += (size_t)n;
	}
	out->data[out->len] = '\0';
	if (!is_stdin)
		close(fd);
	return (rc);
}
