#ifndef PROC_H
#define PROC_H

/* What a process sets up before it does anything else. */

#include <signal.h>

void proc_open_std(void);
void proc_block_signals(sigset_t *signals);
void proc_unblock_signals(void);
int proc_unshare(int fd);

#endif /* PROC_H */
