/* Prints the first of N neighbouring ports of the loopback that are free. */
#include <arpa/inet.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define PORTS_LOW  10000
#define PORTS_HIGH 32000 /* above it the system picks ports of clients */
#define PORTS_STEP 97

static bool port_free(int port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool taken;

	addr.sin_port = htons((uint16_t)port);
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	taken = bind(fd, (struct sockaddr *)&addr, sizeof(addr)) < 0;
	close(fd);
	return !taken;
}

int main(int argc, char **argv)
{
	int count = argc > 1 ? atoi(argv[1]) : 1;
	int span = PORTS_HIGH - PORTS_LOW - count;
	int first = PORTS_LOW + (int)(getpid() * PORTS_STEP % span);
	int found = 0;
	int port;

	for (port = first; found < count && port < PORTS_HIGH; port++)
		found = port_free(port) ? found + 1 : 0;
	if (found < count)
		return 1;
	printf("%d\n", port - count);
	return 0;
}
