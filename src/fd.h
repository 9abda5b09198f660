#ifndef FD_H
#define FD_H

/* File descriptors that the daemon needs, and the limit on them. */

#include <stdint.h>

enum fd_err {
	FD_OK = 0,
	FD_E_HARD_LIMIT = -1, /* the hard limit lies below what is needed */
	FD_E_SYSTEM = -2,     /* the limit can't be read or raised */
};

uint64_t fd_needed(uint32_t threads);
int fd_new_soft_limit(uint32_t threads, uint64_t soft, uint64_t hard,
		      uint64_t *want);
int fd_reserve(uint32_t threads);

#endif /* FD_H */
