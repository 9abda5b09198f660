#ifndef FD_H
#define FD_H

/* Number of file descriptors that the daemon needs, and the limit on it. */

#include <stdbool.h>
#include <stdint.h>

enum fd_err {
	FD_OK = 0,
	FD_E_HARD_LIMIT = -1, /* the hard limit is lower than needed */
	FD_E_SYSTEM = -2,     /* the limit can't be read or raised */
};

/* What of a router's limit each kind of connections may use. */
struct fd_shares {
	int callers;   /* connections of callers */
	int forwarded; /* connections of peers that forward requests */
	int sent;      /* connections to workers, peers and the store */
};

uint64_t fd_needed(uint32_t threads);
int fd_new_soft_limit(uint32_t threads, uint64_t soft, uint64_t hard,
		      uint64_t *new_soft);
int fd_reserve(uint32_t threads);
uint64_t fd_allowed(uint64_t wanted, uint64_t soft, uint64_t hard,
		    uint64_t *new_soft);
int fd_allow(uint64_t wanted, uint64_t *in_force);
struct fd_shares fd_share(uint64_t limit, int callers, int forwarded, int sent);
bool fd_is_missing(int error);

#endif /* FD_H */
