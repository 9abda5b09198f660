#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include "proc.h"

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

static void proc_handled_signals(sigset_t *signals)
{
	sigemptyset(signals);
	sigaddset(signals, SIGHUP);
	sigaddset(signals, SIGINT);
	sigaddset(signals, SIGTERM);
}
