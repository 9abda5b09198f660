/*
 * Drives the HTTP server over real sockets, one turn of its loop at a time, so
 * that connections can arrive between any two of its steps.
 */

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/event.h>

#include "clk.h"
#include "hs.h"
#include "mag.h"
#include "script.h"

#define LINE_MAX_   256
#define CLIENTS_MAX 8
#define REQUEST	    "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

static int clients[CLIENTS_MAX];
static struct sockaddr_in address;

static void on_request(void *ctx, struct hs_conn *conn)
{
	(void)ctx;
	hs_reply(conn, 200, NULL, "done", 4);
}

static void on_disconnected(void *ctx, struct hs_conn *conn, void *user)
{
	(void)ctx;
	(void)conn;
	(void)user;
}

/* Starts a server on a free port. */
static struct hs *start_server(struct event_base *base)
{
	static const struct hs_ops ops = { on_request, on_disconnected };
	char text[32];
	struct hs *hs;
	int port;

	for (port = 11000; port < 12000; port++) {
		snprintf(text, sizeof(text), "127.0.0.1:%d", port);
		if (hs_new(base, text, &ops, NULL, &hs))
			continue;
		address.sin_family = AF_INET;
		address.sin_port = htons((uint16_t)port);
		inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
		return hs;
	}
	return NULL;
}

/* "connect N": the kernel completes the connection; nobody accepts it yet. */
static void connect_client(FILE *out, int n)
{
	clients[n] = socket(AF_INET, SOCK_STREAM, 0);
	if (connect(clients[n], (struct sockaddr *)&address, sizeof(address)))
		fprintf(out, "refused\n");
}

/* "see N": prints what the client has received. */
static void print_received(FILE *out, int n)
{
	char bytes[1024];
	ssize_t len = recv(clients[n], bytes, sizeof(bytes) - 1, MSG_DONTWAIT);

	if (len < 0) {
		fprintf(out, "%s\n", errno == EAGAIN ? "nothing" : "reset");
		return;
	}
	bytes[len] = '\0';
	if (len == 0)
		fprintf(out, "closed\n");
	else
		fprintf(out, "%.12s%s\n", bytes,
			strstr(bytes, "Connection: close") ? ", last one" : "");
}

static void drive(FILE *in, FILE *out)
{
	struct event_base *base = event_base_new();
	struct hs *hs = start_server(base);
	char line[LINE_MAX_];
	int n;

	memset(clients, -1, sizeof(clients));
	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (sscanf(line, "connect %d", &n) == 1)
			connect_client(out, n);
		else if (sscanf(line, "send %d", &n) == 1)
			send(clients[n], REQUEST, strlen(REQUEST),
			     MSG_NOSIGNAL);
		else if (sscanf(line, "see %d", &n) == 1)
			print_received(out, n);
		else if (sscanf(line, "tick %d", &n) == 1)
			hs_tick(hs, clk_boot_us() + n * MAG_US_PER_MS);
		else if (strncmp(line, "turn", 4) == 0)
			event_base_loop(base, EVLOOP_NONBLOCK);
		else if (strncmp(line, "last answers", 12) == 0)
			hs_stop_keep_alive(hs);
		else if (strncmp(line, "stop listening", 14) == 0)
			hs_stop_listening(hs);
		else if (strncmp(line, "count", 5) == 0)
			fprintf(out, "%d open, %d unused\n", hs_open_count(hs),
				hs_unused_count(hs));
	}
	hs_free(hs);
	for (n = 0; n < CLIENTS_MAX; n++) {
		if (clients[n] >= 0)
			close(clients[n]);
	}
	event_base_free(base);
}

int main(void)
{
	return script_main("regress/hs", drive);
}
