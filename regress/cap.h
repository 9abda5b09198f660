#ifndef CAP_H
#define CAP_H

/* Datagrams that a tool captures, alters and sends on. */

#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>

#define CAP_MAX	      64
#define CAP_BYTES_MAX 1500

struct cap_datagram {
	size_t len;
	char bytes[CAP_BYTES_MAX];
};

struct cap {
	struct cap_datagram datagrams[CAP_MAX];
	int count;
};

void cap_set_address(struct sockaddr_in *addr, const char *port);
void cap_take(struct cap *cap, int fd, int max);
void cap_invert_bits(struct cap_datagram *datagram, uint64_t *seed);

#endif /* CAP_H */
