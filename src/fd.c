#include <sys/resource.h>

#include "fd.h"

/*
 * A thread that serves a request uses the caller's connection, one to an
 * endpoint, and the pair of descriptors that wakes it up.
 */
#define FD_PER_THREAD 4
/* For listeners, peers, the platform's service, orders, probes and logs. */
#define FD_OTHER 256

/* Returns how many descriptors a daemon with this many threads may need. */
uint64_t fd_needed(uint32_t threads)
{
	return (uint64_t)threads * FD_PER_THREAD + FD_OTHER;
}

/*
 * Computes the new soft limit: at least the number needed, and never lower than
 * the current one.  Returns 0, or FD_E_HARD_LIMIT if it exceeds the hard limit.
 */
int fd_new_soft_limit(uint32_t threads, uint64_t soft, uint64_t hard,
		      uint64_t *new_soft)
{
	uint64_t needed = fd_needed(threads);

	*new_soft = soft > needed ? soft : needed;
	return *new_soft > hard ? FD_E_HARD_LIMIT : FD_OK;
}

/*
 * Raises the soft limit to what the threads need.  Many systems start with a
 * soft limit of 1,024, which the default number of threads exceeds even while
 * idle; callers could then connect but would get no response.  Returns 0 or a
 * negative enum fd_err.
 */
int fd_reserve(uint32_t threads)
{
	struct rlimit limit;
	uint64_t new_soft;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return FD_E_SYSTEM;
	if (fd_new_soft_limit(threads, limit.rlim_cur, limit.rlim_max,
			      &new_soft))
		return FD_E_HARD_LIMIT;
	if (new_soft == limit.rlim_cur)
		return FD_OK;
	limit.rlim_cur = new_soft;
	return setrlimit(RLIMIT_NOFILE, &limit) ? FD_E_SYSTEM : FD_OK;
}
