#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

/*
 * Measures the kernel's processor time for one heartbeat datagram, sent and
 * received on loopback.  Argument: size of the datagram in bytes.
 */

#define ROUNDS 100000

int main(int argc, char **argv)
{
	struct sockaddr_in to = { .sin_family = AF_INET };
	socklen_t len = sizeof(to);
	struct timespec a;
	struct timespec b;
	char buf[4096] = { 0 };
	size_t bytes = argc > 1 ? (size_t)atoi(argv[1]) : 200;
	int out = socket(AF_INET, SOCK_DGRAM, 0);
	int in = socket(AF_INET, SOCK_DGRAM, 0);
	int i;

	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bytes > sizeof(buf) || bind(in, (struct sockaddr *)&to, len))
		return 1;
	getsockname(in, (struct sockaddr *)&to, &len);
	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &a);
	for (i = 0; i < ROUNDS; i++) {
		sendto(out, buf, bytes, 0, (struct sockaddr *)&to, sizeof(to));
		recv(in, buf, sizeof(buf), 0);
	}
	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &b);
	printf("udp\t%zu\t%.2f\n", bytes,
	       ((double)(b.tv_sec - a.tv_sec) * 1e6 +
		(double)(b.tv_nsec - a.tv_nsec) / 1e3) /
		       ROUNDS);
	return 0;
}
