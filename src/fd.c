#include <errno.h>
#include <sys/resource.h>

#include "fd.h"

/*
 * A thread that serves a request uses the caller's connection, one to an
 * endpoint, and the pair of descriptors that wakes it up.
 */
#define FD_PER_THREAD 4
/* For listeners, peers, the platform's service, orders, probes and logs. */
#define FD_OTHER 256

/*
 * A router on a platform needs these for its loop, its listeners, readiness,
 * metrics, the store, probes and its settings file.
 */
#define FD_ROUTER_OTHER 48
#define FD_ROUTER_MIN	16 /* connections, under whatever limit */
#define FD_ROUTER_PEERS 8  /* the same of peers, which also poll */
#define FD_LIMIT_MAX	(1 << 30)

static int fd_larger(int a, int b);

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

/*
 * Computes how many descriptors a process may use that its settings allow so
 * many (0: as many as the soft limit): the soft limit is raised to that, at
 * most to the hard limit, and never lowered.
 */
uint64_t fd_allowed(uint64_t wanted, uint64_t soft, uint64_t hard,
		    uint64_t *new_soft)
{
	uint64_t most = wanted ? wanted : soft;

	*new_soft = soft;
	if (most > soft)
		*new_soft = most < hard ? most : hard;
	return most < *new_soft ? most : *new_soft;
}

/*
 * Raises the soft limit to what the settings allow.  Returns how many
 * descriptors may be used in in_force, and 0 or FD_E_SYSTEM, after which that
 * is at most the soft limit as it was.
 */
int fd_allow(uint64_t wanted, uint64_t *in_force)
{
	struct rlimit limit;
	uint64_t new_soft;

	*in_force = wanted;
	if (getrlimit(RLIMIT_NOFILE, &limit))
		return FD_E_SYSTEM;
	*in_force =
		fd_allowed(wanted, limit.rlim_cur, limit.rlim_max, &new_soft);
	if (new_soft == limit.rlim_cur)
		return FD_OK;
	if (*in_force > limit.rlim_cur)
		*in_force = limit.rlim_cur;
	limit.rlim_cur = new_soft;
	if (setrlimit(RLIMIT_NOFILE, &limit))
		return FD_E_SYSTEM;
	*in_force = wanted < new_soft ? wanted : new_soft;
	return FD_OK;
}

/*
 * Divides a router's limit among its connections, by those that it has now.
 * Callers are accepted while all use three quarters of it, so that requests
 * still reach workers; a caller without a request needs none.  Peers get an
 * eighth, which leaves at least as much to what is sent.
 */
struct fd_shares fd_share(uint64_t limit, int callers, int forwarded, int sent)
{
	int all = (int)(limit < FD_LIMIT_MAX ? limit : FD_LIMIT_MAX) -
		  FD_ROUTER_OTHER;
	struct fd_shares shares;

	all = fd_larger(all, FD_ROUTER_MIN);
	shares.callers = fd_larger(all / 4, all - all / 4 - forwarded - sent);
	shares.forwarded = fd_larger(all / 8, FD_ROUTER_PEERS);
	shares.sent = fd_larger(all / 8, all - callers - forwarded);
	return shares;
}

/* Tells whether a call failed for lack of descriptors or of memory. */
bool fd_is_missing(int error)
{
	return error == EMFILE || error == ENFILE || error == ENOBUFS ||
	       error == ENOMEM;
}

static int fd_larger(int a, int b)
{
	return a > b ? a : b;
}
