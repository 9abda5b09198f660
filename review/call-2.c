/*
 * Stand-in for a client: sends one request and prints how it was answered.
 *
 * call-2 [-b FILE] [-t SECONDS] ADDRESS METHOD PATH [FIELD...]
 *
 * The body comes from FILE.  Prints "STATUS END EVENTS BYTES SENT ENDED": END
 * is whole, or cut where the answer ended early, or none without an answer, or
 * late if it did not end in time; EVENTS counts the events of a stream, BYTES
 * the body; the times are in microseconds since the boot.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define ANSWER_MAX (16 << 20)

enum end {
	END_WHOLE,
	END_CUT,
	END_NONE,
	END_LATE
};

struct answer {
	char *bytes;
	size_t len;
	bool eof;
	bool failed;
	bool late;
};

static int64_t now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

static char *read_file(const char *path, size_t *len)
{
	FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
	char *bytes = malloc(ANSWER_MAX);

	if (!file || !bytes)
		exit(2);
	*len = fread(bytes, 1, ANSWER_MAX, file);
	return bytes;
}

static int connect_to(const char *address)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	char ip[64];
	int port;
	int fd;

	if (sscanf(address, "%63[^:]:%d", ip, &port) != 2 ||
	    inet_pton(AF_INET, ip, &addr.sin_addr) != 1)
		exit(2);
	addr.sin_port = htons((uint16_t)port);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr))) {
		close(fd);
		return -1;
	}
	return fd;
}

static bool send_all(int fd, const char *bytes, size_t len)
{
	ssize_t sent;

	while (len > 0) {
		sent = send(fd, bytes, len, MSG_NOSIGNAL);
		if (sent <= 0)
			return false;
		bytes += sent;
		len -= (size_t)sent;
	}
	return true;
}

/* Finds the value of a field in the head of an answer; NULL: none. */
static const char *field(const char *head, const char *end, const char *name)
{
	const char *line = strstr(head, "\r\n");
	size_t len = strlen(name);

	for (; line && line < end; line = strstr(line, "\r\n")) {
		line += 2;
		if (strncasecmp(line, name, len) == 0 && line[len] == ':')
			return line + len + 1;
	}
	return NULL;
}

/* Takes a chunked body apart in place; returns whether it is whole. */
static bool dechunk(char *body, size_t *len)
{
	char *in = body;
	char *out = body;
	char *end = body + *len;
	char *line;
	size_t size;

	while (in < end && (line = strstr(in, "\r\n"))) {
		size = strtoul(in, NULL, 16);
		in = line + 2;
		if (size == 0) {
			*len = (size_t)(out - body);
			return true;
		}
		if ((size_t)(end - in) < size + 2) {
			size = (size_t)(end - in);
			memmove(out, in, size);
			out += size;
			break;
		}
		memmove(out, in, size);
		out += size;
		in += size + 2;
	}
	*len = (size_t)(out - body);
	return false;
}

/* Judges what has come so far; returns whether the answer is over. */
static bool is_over(const struct answer *answer)
{
	char *head_end = strstr(answer->bytes, "\r\n\r\n");
	const char *length;
	char *copy;
	size_t len;
	bool over;

	if (!head_end)
		return false;
	head_end += 4;
	len = answer->len - (size_t)(head_end - answer->bytes);
	length = field(answer->bytes, head_end, "Content-Length");
	if (length)
		return len >= strtoul(length, NULL, 10);
	if (!field(answer->bytes, head_end, "Transfer-Encoding"))
		return false;
	if (len < 5 || memcmp(head_end + len - 5, "0\r\n\r\n", 5) != 0)
		return false;
	copy = malloc(len + 1);
	memcpy(copy, head_end, len);
	copy[len] = '\0';
	over = dechunk(copy, &len);
	free(copy);
	return over;
}

static void receive(int fd, struct answer *answer, int64_t until_us)
{
	struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
	ssize_t got;
	int64_t left;

	while (!is_over(answer) && answer->len < ANSWER_MAX) {
		left = until_us - now_us();
		if (left <= 0 ||
		    poll(&poll_fd, 1, (int)(left / 1000) + 1) <= 0) {
			answer->late = true;
			return;
		}
		got = recv(fd, answer->bytes + answer->len,
			   ANSWER_MAX - answer->len, 0);
		if (got <= 0) {
			answer->eof = got == 0;
			answer->failed = got < 0;
			return;
		}
		answer->len += (size_t)got;
		answer->bytes[answer->len] = '\0';
	}
}

static void print_answer(struct answer *answer, int64_t sent_us)
{
	static const char *const names[] = { "whole", "cut", "none", "late" };
	char *body = strstr(answer->bytes, "\r\n\r\n");
	enum end end = END_NONE;
	size_t len = 0;
	int events = 0;
	int status = 0;
	char *at;

	if (body) {
		body += 4;
		sscanf(answer->bytes, "HTTP/1.1 %d", &status);
		len = answer->len - (size_t)(body - answer->bytes);
		if (is_over(answer))
			end = END_WHOLE;
		else if (answer->eof &&
			 !field(answer->bytes, body, "Content-Length") &&
			 !field(answer->bytes, body, "Transfer-Encoding"))
			end = END_WHOLE;
		else
			end = END_CUT;
		if (field(answer->bytes, body, "Transfer-Encoding"))
			dechunk(body, &len);
		body[len] = '\0';
		for (at = body; (at = strstr(at, "id: ")); at += 4)
			events++;
	}
	if (answer->late)
		end = END_LATE;
	printf("%d %s %d %zu %" PRId64 " %" PRId64 "\n", status, names[end],
	       events, len, sent_us, now_us());
}

int main(int argc, char **argv)
{
	struct answer answer = { .bytes = calloc(1, ANSWER_MAX + 1) };
	char *body = NULL;
	size_t body_len = 0;
	int seconds = 10;
	char head[16384];
	size_t len;
	int64_t sent_us;
	int option;
	int fd;
	int i;

	while ((option = getopt(argc, argv, "+b:t:")) >= 0) {
		if (option == 'b')
			body = read_file(optarg, &body_len);
		else if (option == 't')
			seconds = atoi(optarg);
		else
			return 2;
	}
	if (argc - optind < 3)
		return 2;
	len = (size_t)snprintf(head, sizeof(head), "%s %s HTTP/1.1\r\n",
			       argv[optind + 1], argv[optind + 2]);
	for (i = optind + 3; i < argc; i++)
		len += (size_t)snprintf(head + len, sizeof(head) - len,
					"%s\r\n", argv[i]);
	if (body || strcmp(argv[optind + 1], "GET") != 0)
		len += (size_t)snprintf(head + len, sizeof(head) - len,
					"Content-Length: %zu\r\n", body_len);
	len += (size_t)snprintf(head + len, sizeof(head) - len, "\r\n");
	sent_us = now_us();
	fd = connect_to(argv[optind]);
	if (fd >= 0) {
		if (send_all(fd, head, len))
			send_all(fd, body, body_len);
		receive(fd, &answer, sent_us + (int64_t)seconds * 1000000);
		close(fd);
	}
	print_answer(&answer, sent_us);
	return 0;
}
