/*
 * Sends one HTTP/1.1 request to a loopback address and prints the status and,
 * with -b, the body of the answer:
 *	review_http [-b] [-m SECONDS] METHOD IP:PORT TARGET [FIELD]... [<BODY]
 * The body is read from standard input for POST and PUT.  The status is 000 if
 * no answer came.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

static char body[1 << 20];
static char request[(1 << 20) + 16384];
static char answer[1 << 20];

static int none(void)
{
	printf("000\n");
	return 1;
}

int main(int argc, char **argv)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	struct timeval limit = { 8, 0 };
	int with_body = 0;
	size_t body_len = 0;
	size_t len = 0;
	char *method, *colon, *end;
	ssize_t n;
	int fd, i, used;

	for (i = 1; i < argc && argv[i][0] == '-'; i++) {
		if (strcmp(argv[i], "-b") == 0)
			with_body = 1;
		else if (strcmp(argv[i], "-m") == 0 && i + 1 < argc)
			limit.tv_sec = atoi(argv[++i]);
	}
	if (argc - i < 3)
		return 2;
	method = argv[i];
	colon = strchr(argv[i + 1], ':');
	if (!colon)
		return 2;
	*colon = '\0';
	if (inet_pton(AF_INET, argv[i + 1], &addr.sin_addr) != 1)
		return 2;
	addr.sin_port = htons((unsigned short)atoi(colon + 1));
	if (method[0] == 'P')
		while ((n = read(0, body + body_len,
				 sizeof(body) - body_len)) > 0)
			body_len += (size_t)n;
	used = snprintf(request, sizeof(request),
			"%s %s HTTP/1.1\r\nConnection: close\r\n", method,
			argv[i + 2]);
	for (i += 3; i < argc; i++)
		used += snprintf(request + used, 8192, "%s\r\n", argv[i]);
	if (method[0] == 'P')
		used += snprintf(request + used, 64, "Content-Length: %zu\r\n",
				 body_len);
	used += snprintf(request + used, 3, "\r\n");
	memcpy(request + used, body, body_len);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) ||
	    write(fd, request, (size_t)used + body_len) < 0)
		return none();
	while ((n = read(fd, answer + len, sizeof(answer) - 1 - len)) > 0)
		len += (size_t)n;
	answer[len] = '\0';
	end = strstr(answer, "\r\n\r\n");
	if (!end || strncmp(answer, "HTTP/1.1 ", 9) != 0)
		return none();
	printf("%.3s\n", answer + 9);
	if (with_body)
		printf("%s\n", end + 4);
	return 0;
}
