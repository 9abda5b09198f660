#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <sys/stat.h>
#include <unistd.h>

#include "proc.h"

#define PROC_PATH_MAX 64

static void proc_handled_signals(sigset_t *signals);

/*
 * Opens /dev/null in place of each standard descriptor that is closed.  The
 * next socket would get its number otherwise, and what is written to standard
 * output or error would be sent to a caller.
 */
void proc_open_std(void)
{
	int fd;

	do {
		fd = open("/dev/null", O_RDWR);
	} while (fd >= 0 && fd <= STDERR_FILENO);
	if (fd > STDERR_FILENO)
		close(fd);
}

/*
 * Blocks the signals that a daemon handles, SIGHUP, SIGINT and SIGTERM, until
 * it can.  Each would end the process otherwise, as a signal may arrive as soon
 * as the program runs.  Ignores SIGPIPE, and SIGXFSZ, which a log that has
 * reached the limit on file sizes raises: both are errors of a write.  Returns
 * the blocked signals in signals unless it is NULL.
 */
void proc_block_signals(sigset_t *signals)
{
	sigset_t handled;

	proc_handled_signals(&handled);
	sigprocmask(SIG_BLOCK, &handled, NULL);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGXFSZ, SIG_IGN);
	if (signals)
		*signals = handled;
}

/*
 * Delivers the blocked signals, those that have arrived by now as well.  The
 * mask is inherited from the parent process, which may have blocked some.
 */
void proc_unblock_signals(void)
{
	sigset_t handled;

	proc_handled_signals(&handled);
	sigprocmask(SIG_UNBLOCK, &handled, NULL);
}

/*
 * Opens the pipe or terminal of a descriptor once more in its place, as one
 * that does not block.  The flags of the former are shared with others: the
 * shell, a second writer, and the process after this one.  Files never block,
 * and are written to at the offset that is shared.  Returns -1 if that fails,
 * as for a socket or a pipe whose reader is gone.
 */
int proc_unshare(int fd)
{
	char path[PROC_PATH_MAX];
	struct stat status;
	int own;
	int rc;

	if (fstat(fd, &status))
		return -1;
	if (S_ISREG(status.st_mode))
		return 0;
	snprintf(path, sizeof(path), "/proc/self/fd/%d", fd);
	own = open(path, O_WRONLY | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);
	if (own < 0)
		return -1;
	rc = dup2(own, fd) < 0 ? -1 : 0;
	close(own);
	return rc;
}

static void proc_handled_signals(sigset_t *signals)
{
	sigemptyset(signals);
	sigaddset(signals, SIGHUP);
	sigaddset(signals, SIGINT);
	sigaddset(signals, SIGTERM);
}
