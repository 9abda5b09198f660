#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "dgram.h"
#include "mag.h"
#include "script.h"

#define LINE_MAX_ 256
#define NAME_MAX_ 64

/* One router that sends itself datagrams, which are altered on their way. */
static char bytes[DGRAM_BYTES_MAX + 1];
static size_t len;

/*
 * "send DEPLOYMENT LENGTH": sends a message of so many bytes and receives it.
 */
static void pass(FILE *out, const char *deployment, size_t body_len)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	socklen_t addr_len = sizeof(addr);
	int fd = socket(AF_INET, SOCK_DGRAM, 0);
	char body[DGRAM_BYTES_MAX];
	struct dgram_key key;
	ssize_t received;

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	memset(body, 'b', sizeof(body));
	dgram_key_init(&key, deployment);
	len = 0;
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) ||
	    getsockname(fd, (struct sockaddr *)&addr, &addr_len) ||
	    dgram_send(fd, &key, &addr, body, body_len)) {
		fprintf(out, "not sent\n");
		close(fd);
		return;
	}
	received = recv(fd, bytes, sizeof(bytes), 0);
	close(fd);
	len = received > 0 ? (size_t)received : 0;
	fprintf(out, "%zu bytes\n", len);
}

static const char *check(const char *deployment, size_t *checked_len)
{
	static const char *const names[] = { "good", "form", "length",
					     "deployment", "altered" };
	struct dgram_key key;

	dgram_key_init(&key, deployment);
	return names[-dgram_check(&key, bytes, checked_len)];
}

/* "bits DEPLOYMENT": inverts each bit in turn; counts what is accepted. */
static void invert_bits(FILE *out, const char *deployment)
{
	int accepted = 0;
	size_t checked_len;
	size_t i;

	for (i = 0; i < len * 8; i++) {
		bytes[i / 8] ^= (char)(1 << i % 8);
		checked_len = len;
		accepted +=
			strcmp(check(deployment, &checked_len), "good") == 0;
		bytes[i / 8] ^= (char)(1 << i % 8);
	}
	fprintf(out, "%zu altered, %d accepted\n", len * 8, accepted);
}

/* "cuts DEPLOYMENT": cuts the datagram at each byte; the same. */
static void cut(FILE *out, const char *deployment)
{
	int accepted = 0;
	size_t checked_len;
	size_t i;

	for (i = 0; i < len; i++) {
		checked_len = i;
		accepted +=
			strcmp(check(deployment, &checked_len), "good") == 0;
	}
	fprintf(out, "%zu cut short, %d accepted\n", len, accepted);
}

static void run_script(FILE *in, FILE *out)
{
	char line[LINE_MAX_];
	char name[NAME_MAX_];
	size_t checked_len;
	size_t n;

	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (sscanf(line, "send %63s %zu", name, &n) == 2) {
			pass(out, name, n);
		} else if (sscanf(line, "check %63s", name) == 1) {
			checked_len = len;
			fprintf(out, "%s, ", check(name, &checked_len));
			fprintf(out, "%zu bytes\n", checked_len);
		} else if (sscanf(line, "bits %63s", name) == 1) {
			invert_bits(out, name);
		} else if (sscanf(line, "cuts %63s", name) == 1) {
			cut(out, name);
		} else if (sscanf(line, "append %zu", &n) == 1) {
			memset(bytes + len, 'a', n);
			len += n;
		}
	}
}

int main(void)
{
	return script_main("regress/dgram", run_script);
}
