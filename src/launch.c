#include <errno.h>
#include <limits.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "proc.h"

#define LAUNCH_EXIT_START 3
#define LAUNCH_SELF	  "/proc/self/exe"
#define LAUNCH_SUFFIX	  "-main"

static int launch_find(char *path, size_t size);

/*
 * Main function of the program magnoliad: blocks the signals that the daemon
 * handles and runs magnoliad-main, from its own directory, in this process.
 * The dynamic linker takes several milliseconds to load the daemon's libraries,
 * during which such a signal would end the process.  Blocked signals, and those
 * that have arrived, stay so over execv().
 */
int main(int argc, char **argv)
{
	char path[PATH_MAX];

	(void)argc;
	proc_block_signals(NULL);
	proc_open_std();
	if (launch_find(path, sizeof(path)) == 0)
		execv(path, argv);
	fprintf(stderr, "magnoliad: %s: %s\n", path, strerror(errno));
	return LAUNCH_EXIT_START;
}

/* Finds the daemon's program.  Returns -1 with the reason in errno. */
static int launch_find(char *path, size_t size)
{
	ssize_t max = (ssize_t)(size - sizeof(LAUNCH_SUFFIX));
	ssize_t len = readlink(LAUNCH_SELF, path, (size_t)max);

	if (len >= 0 && len < max) {
		memcpy(path + len, LAUNCH_SUFFIX, sizeof(LAUNCH_SUFFIX));
		return 0;
	}
	if (len >= 0)
		errno = ENAMETOOLONG;
	snprintf(path, size, "%s", LAUNCH_SELF);
	return -1;
}
