/*
 * Stand-in for a worker of a plain service:
 *	review_app STORE ADDRESS ID SERVICE ZONE FAILING
 * It registers in the stand-in of the store every 1.2 s, answers health checks
 * with 200, and works on each other request for 20 ms.  It prints RAN when it has
 * begun to work on one.  FAILING of 100 requests fail after that with 503, as of
 * a server that cannot reach its data base; such an answer has no Not-Executed.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static struct sockaddr_in store, own;
static const char *own_text, *id, *service, *zone;
static int failing;
static long started_ms;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static int parse(const char *text, struct sockaddr_in *addr)
{
	char ip[64];
	const char *colon = strchr(text, ':');

	memset(addr, 0, sizeof(*addr));
	addr->sin_family = AF_INET;
	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - text), text);
	addr->sin_port = htons((unsigned short)atoi(colon + 1));
	return inet_pton(AF_INET, ip, &addr->sin_addr) == 1;
}

static long now_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_BOOTTIME, &t);
	return t.tv_sec * 1000000L + t.tv_nsec / 1000;
}

static void *heartbeats(void *arg)
{
	char body[512], request[1024], answer[512];
	int fd;

	for (;;) {
		snprintf(body, sizeof(body),
			 "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"%s\","
			 "\"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\","
			 "\"ColdRemainingMs\":0,\"Sequence\":1,\"born\":%ld}",
			 service, own_text, zone, started_ms);
		snprintf(request, sizeof(request),
			 "POST /stand-in/put?Key=servers/%s&Ttl=3600 HTTP/1.1\r\n"
			 "Host: store\r\nConnection: close\r\nContent-Length: %zu\r\n\r\n%s",
			 id, strlen(body), body);
		fd = socket(AF_INET, SOCK_STREAM, 0);
		if (!connect(fd, (struct sockaddr *)&store, sizeof(store)) &&
		    write(fd, request, strlen(request)) > 0)
			while (read(fd, answer, sizeof(answer)) > 0)
				;
		close(fd);
		usleep(1200000);
	}
	return arg;
}

/* Copies a field's value; an empty text if there is none. */
static void field(const char *head, const char *name, char *dst, size_t size)
{
	const char *line = head;
	size_t len = strlen(name);

	dst[0] = '\0';
	while ((line = strstr(line, "\r\n"))) {
		line += 2;
		if (strncasecmp(line, name, len) == 0 && line[len] == ':') {
			line += len + 1;
			line += strspn(line, " ");
			snprintf(dst, size, "%.*s", (int)strcspn(line, "\r"),
				 line);
			return;
		}
	}
}

static void answer(int fd, const char *head)
{
	char attempt[128], target[128], out[512];
	int fails = 0;

	field(head, "Attempt-Id", attempt, sizeof(attempt));
	field(head, "Target-Instance", target, sizeof(target));
	if (strstr(head, " /healthz ")) {
		snprintf(out, sizeof(out),
			 "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n",
			 id);
	} else if (target[0] && strcmp(target, id) != 0) {
		snprintf(out, sizeof(out),
			 "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\n"
			 "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
			 attempt);
	} else {
		pthread_mutex_lock(&lock);
		fails = rand() % 100 < failing;
		printf("RAN %s at %ld on %s\n", attempt, now_us(), id);
		fflush(stdout);
		pthread_mutex_unlock(&lock);
		usleep(20000);
		snprintf(out, sizeof(out),
			 "HTTP/1.1 %s\r\nAttempt-Id: %s\r\nResponse-Seal: 1.%s\r\n"
			 "Content-Length: 3\r\n\r\nend",
			 fails ? "503 Service Unavailable" : "200 OK", attempt,
			 attempt);
	}
	if (write(fd, out, strlen(out)) < 0)
		return;
}

static void *serve(void *arg)
{
	static const char end_of_head[] = "\r\n\r\n";
	int fd = (int)(long)arg;
	char head[16384], length[32];
	size_t len = 0, body;
	char *end;
	ssize_t n;

	for (;;) {
		head[len] = '\0';
		end = strstr(head, end_of_head);
		if (!end) {
			n = read(fd, head + len, sizeof(head) - 1 - len);
			if (n <= 0)
				break;
			len += (size_t)n;
			continue;
		}
		end += 4;
		field(head, "Content-Length", length, sizeof(length));
		body = (size_t)atoi(length);
		while (len < (size_t)(end - head) + body) {
			n = read(fd, head + len, sizeof(head) - 1 - len);
			if (n <= 0)
				goto out;
			len += (size_t)n;
		}
		answer(fd, head);
		len -= (size_t)(end - head) + body;
		memmove(head, end + body, len);
	}
out:
	close(fd);
	return NULL;
}

int main(int argc, char **argv)
{
	struct timespec t;
	pthread_t thread;
	int on = 1, listening, fd;

	if (argc != 7 || !parse(argv[1], &store) || !parse(argv[2], &own))
		return 2;
	own_text = argv[2];
	id = argv[3];
	service = argv[4];
	zone = argv[5];
	failing = atoi(argv[6]);
	srand(7);
	clock_gettime(CLOCK_REALTIME, &t);
	started_ms = t.tv_sec * 1000L + t.tv_nsec / 1000000;
	listening = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(listening, (struct sockaddr *)&own, sizeof(own)) ||
	    listen(listening, 100))
		return 2;
	pthread_create(&thread, NULL, heartbeats, NULL);
	while ((fd = accept(listening, NULL, NULL)) >= 0) {
		pthread_create(&thread, NULL, serve, (void *)(long)fd);
		pthread_detach(thread);
	}
	return 0;
}
