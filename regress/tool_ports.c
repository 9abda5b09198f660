/*
 * Prints the first of N consecutive free loopback ports.  It is always the
 * first port of a block of PORTS_BLOCK ports, so a lock on that port number
 * protects the whole range.
 */
#include <arpa/inet.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define PORTS_LOW   10000
#define PORTS_HIGH  12000 /* from there on, those of regress/edge */
#define PORTS_BLOCK 110
#define PORTS_STEP  97

static bool port_free(int port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool in_use;

	addr.sin_port = htons((uint16_t)port);
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	in_use = bind(fd, (struct sockaddr *)&addr, sizeof(addr)) < 0;
	close(fd);
	return !in_use;
}

int main(int argc, char **argv)
{
	int count = argc > 1 ? atoi(argv[1]) : 1;
	int blocks = (PORTS_HIGH - PORTS_LOW) / PORTS_BLOCK;
	int block = (int)(getpid() * PORTS_STEP % blocks);
	int tried;
	int first;
	int i;

	for (tried = 0; tried < blocks; tried++) {
		first = PORTS_LOW + (block + tried) % blocks * PORTS_BLOCK;
		for (i = 0; i < count && port_free(first + i); i++)
			;
		if (i == count)
			break;
	}
	if (tried == blocks || count > PORTS_BLOCK)
		return 1;
	printf("%d\n", first);
	return 0;
}
