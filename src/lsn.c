#include <dirent.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/util.h>

#include "lsn.h"

#define LSN_BACKLOG 1024

static int lsn_bind(int fd, enum lsn_type type, const struct sockaddr *addr,
		    int len);
static bool lsn_listens_at(int fd, const struct sockaddr *addr);
static bool lsn_is_lasting(int error);
static bool lsn_has_no_port(const struct sockaddr_storage *addr);

/*
 * Opens a non-blocking socket at "ip:port" that is closed on exec; one of type
 * LSN_TCP listens.  Returns LSN_OK and the socket, LSN_E_BUSY if another socket
 * has the address, if the machine does not have it yet or if there is no
 * descriptor or memory, and LSN_E_ADDRESS if it can't be used at all.
 */
int lsn_open(const char *address, enum lsn_type type, int *fd)
{
	struct sockaddr_storage addr;
	int len = sizeof(addr);
	int error;

	errno = EINVAL;
	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&addr,
				       &len) ||
	    lsn_has_no_port(&addr))
		return LSN_E_ADDRESS;
	*fd = socket(addr.ss_family,
		     (type == LSN_UDP ? SOCK_DGRAM : SOCK_STREAM) |
			     SOCK_NONBLOCK | SOCK_CLOEXEC,
		     0);
	if (*fd >= 0 &&
	    lsn_bind(*fd, type, (const struct sockaddr *)&addr, len) == 0)
		return LSN_OK;
	error = errno;
	if (*fd >= 0)
		close(*fd);
	*fd = -1;
	errno = error;
	return lsn_is_lasting(error) ? LSN_E_ADDRESS : LSN_E_BUSY;
}

/* Without a port the kernel would choose one that nobody knows. */
static bool lsn_has_no_port(const struct sockaddr_storage *addr)
{
	if (addr->ss_family == AF_INET6)
		return ((const struct sockaddr_in6 *)addr)->sin6_port == 0;
	return ((const struct sockaddr_in *)addr)->sin_port == 0;
}

/* SO_REUSEADDR: connections of an earlier process may still be closing. */
static int lsn_bind(int fd, enum lsn_type type, const struct sockaddr *addr,
		    int len)
{
	int on = 1;

	if (type == LSN_UDP)
		return bind(fd, addr, (socklen_t)len);
	if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) ||
	    bind(fd, addr, (socklen_t)len))
		return -1;
	return type == LSN_TCP ? listen(fd, LSN_BACKLOG) : 0;
}

/* Tells whether no later attempt can succeed either. */
static bool lsn_is_lasting(int error)
{
	switch (error) {
	case EADDRINUSE:
	case EADDRNOTAVAIL:
	case EMFILE:
	case ENFILE:
	case ENOBUFS:
	case ENOMEM:
	case EINTR:
		return false;
	default:
		return true;
	}
}

/* Tells whether a socket of this process listens at "ip:port". */
bool lsn_is_own(const char *address)
{
	struct sockaddr_storage addr;
	int len = sizeof(addr);
	struct dirent *entry;
	bool own = false;
	DIR *dir;

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&addr, &len))
		return false;
	dir = opendir("/proc/self/fd");
	if (!dir)
		return false;
	while (!own && (entry = readdir(dir)))
		own = lsn_listens_at((int)strtol(entry->d_name, NULL, 10),
				     (const struct sockaddr *)&addr);
	closedir(dir);
	return own;
}

static bool lsn_listens_at(int fd, const struct sockaddr *addr)
{
	struct sockaddr_storage bound;
	socklen_t len = sizeof(bound);
	int listens = 0;
	socklen_t size = sizeof(listens);

	return getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) ==
		       0 &&
	       listens &&
	       getsockname(fd, (struct sockaddr *)&bound, &len) == 0 &&
	       evutil_sockaddr_cmp((const struct sockaddr *)&bound, addr, 1) ==
		       0;
}
