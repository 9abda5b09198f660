#include <sys/resource.h>

#include "fd.h"

/*
 * A thread at work holds its caller's connection, one to an endpoint, and the
 * pair by which it is woken.
 */
#define FD_A_THREAD 4
/* Listeners, peers, the platform's service, orders, probes, logs. */
#define FD_OTHERS 256

/* Returns how many descriptors a number of threads may come to hold. */
uint64_t fd_needed(uint32_t threads)
{
	return (uint64_t)threads * FD_A_THREAD + FD_OTHERS;
}

/*
 * Says what the soft limit should become: at least what is needed, never
 * lower than it is.  Returns 0, or FD_E_HARD_LIMIT if the hard limit forbids
 * it.
 */
int fd_new_soft_limit(uint32_t threads, uint64_t soft, uint64_t hard,
		      uint64_t *want)
{
	uint64_t needed = fd_needed(threads);

	*want = soft > needed ? soft : needed;
	return *want > hard ? FD_E_HARD_LIMIT : FD_OK;
}

/*
 * Makes sure that the process may open what its threads need.  Many systems
 * start with a soft limit of 1,024, which the threads of the default setting
 * exceed while they are idle; callers would then connect and get no answer.
 * Returns 0 or a negative enum fd_err.
 */
int fd_reserve(uint32_t threads)
{
	struct rlimit limit;
	uint64_t want;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return FD_E_SYSTEM;
	if (fd_new_soft_limit(threads, limit.rlim_cur, limit.rlim_max, &want))
		return FD_E_HARD_LIMIT;
	if (want == limit.rlim_cur)
		return FD_OK;
	limit.rlim_cur = want;
	return setrlimit(RLIMIT_NOFILE, &limit) ? FD_E_SYSTEM : FD_OK;
}
