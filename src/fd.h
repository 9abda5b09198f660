#ifndef FD_H
#define FD_H

/* Number of file descriptors that the daemon needs, and the limit on it. */

#include <stdint.h>

enum fd_err {
	FD_OK = 0,
	FD_E_HARD_LIMIT = -1, /* the hard limit is lower than needed */
	FD_E_SYSTEM = -2,     /* the limit can't be read or raised */
};

uint64_t fd_needed(uint32_t threads);
int fd_new_soft_limit(uint32_t threads, uint64_t soft, uint64_t hard,
		      uint64_t *new_soft);
int fd_reserve(uint32_t threads);

#endif /* FD_H */
