#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "cap.h"
#include "mag.h"

#define CAP_BITS_MAX 8

/* Sets an address of the loopback interface. */
void cap_set_address(struct sockaddr_in *addr, const char *port)
{
	memset(addr, 0, sizeof(*addr));
	addr->sin_family = AF_INET;
	addr->sin_port = htons((uint16_t)atoi(port));
	addr->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
}

/* Keeps the datagrams that have arrived, until there are max of them. */
void cap_take(struct cap *cap, int fd, int max)
{
	struct cap_datagram *datagram;
	ssize_t len;

	while (cap->count < max) {
		datagram = &cap->datagrams[cap->count];
		len = recv(fd, datagram->bytes, sizeof(datagram->bytes),
			   MSG_DONTWAIT);
		if (len <= 0)
			return;
		datagram->len = (size_t)len;
		cap->count++;
	}
}

/* Inverts one to eight bits. */
void cap_invert_bits(struct cap_datagram *datagram, uint64_t *seed)
{
	int changes = 1 + (int)(mag_random(seed) % CAP_BITS_MAX);
	size_t at;

	while (changes-- > 0) {
		at = mag_random(seed) % datagram->len;
		datagram->bytes[at] ^= (char)(1 << mag_random(seed) % 8);
	}
}
