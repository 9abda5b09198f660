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
#include "hs_int.h"
#include "mag.h"
#include "script.h"

#define LINE_MAX_   256
#define CLIENTS_MAX 8
#define REQUEST	    "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
#define POST                                                                   \
	"POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"                 \
	"Content-Length: 5\r\n\r\nhello"
#define REQUEST_MAX 128
/* As the last answers may need another turn to arrive. */
#define PIPELINE_TURNS 100000

static const char long_body[60000];
static int clients[CLIENTS_MAX];
static struct sockaddr_in address;
static struct hs_conn *cut_conn; /* with a stream that "cut" breaks off */

static void on_request(void *ctx, struct hs_conn *conn)
{
	const char *target = hs_target(conn);

	(void)ctx;
	if (strcmp(target, "/long") == 0) {
		hs_reply(conn, 200, NULL, long_body, sizeof(long_body));
		return;
	}
	if (strcmp(target, "/x") == 0) {
		hs_reply(conn, 200, NULL, "done", 4);
		return;
	}
	hs_stream_begin(conn, 200, "");
	hs_stream_data(conn, "piece", 5);
	if (strcmp(target, "/stream") == 0)
		hs_stream_end(conn);
	else
		cut_conn = conn;
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

/* "ask N TARGET 1.0|1.1": sends a request of this version. */
static void ask(int n, const char *target, const char *version)
{
	char request[REQUEST_MAX];
	int len = snprintf(request, sizeof(request),
			   "GET %s HTTP/%s\r\nHost: h\r\n"
			   "Connection: keep-alive\r\n\r\n",
			   target, version);

	send(clients[n], request, (size_t)len, MSG_NOSIGNAL);
}

/* "body N": prints the body that the client has received, as it was framed. */
static void print_body(FILE *out, int n)
{
	char bytes[1024];
	ssize_t len = recv(clients[n], bytes, sizeof(bytes) - 1, MSG_DONTWAIT);
	const char *body;

	bytes[len < 0 ? 0 : len] = '\0';
	body = strstr(bytes, "\r\n\r\n");
	if (!body) {
		fprintf(out, "none\n");
		return;
	}
	for (body += 4; *body; body++) {
		if (*body != '\r')
			fputc(*body == '\n' ? '|' : *body, out);
	}
	fputc('\n', out);
}

/*
 * "pipeline N COUNT": sends requests for long answers at once, and reads none
 * while the server answers.  Prints the most that it kept unsent, and how much
 * the client receives when it reads in the end.
 */
static void pipeline(FILE *out, struct event_base *base, struct hs *hs, int n,
		     int count)
{
	char bytes[65536];
	size_t most = 0;
	size_t got = 0;
	ssize_t len;
	int turns;
	int i;

	for (i = 0; i < count; i++)
		ask(n, "/long", "1.1");
	for (turns = 0; turns < 4 * count; turns++) {
		event_base_loop(base, EVLOOP_NONBLOCK);
		if (hs_unsent_all(hs) > most)
			most = hs_unsent_all(hs);
	}
	for (turns = 0; turns < PIPELINE_TURNS; turns++) {
		event_base_loop(base, EVLOOP_NONBLOCK);
		while ((len = recv(clients[n], bytes, sizeof(bytes),
				   MSG_DONTWAIT)) > 0)
			got += (size_t)len;
		if (got / sizeof(long_body) >= (size_t)count)
			break;
	}
	fprintf(out, "%s, %zu answers\n",
		most < 4 * sizeof(long_body) ? "in bounds" : "too much",
		got / sizeof(long_body));
}

/* Runs a command about the server, not one of its clients. */
static void control(FILE *out, const char *line, struct event_base *base,
		    struct hs *hs)
{
	int ms;

	if (strncmp(line, "cut", 3) == 0)
		hs_abort(cut_conn);
	else if (sscanf(line, "tick %d", &ms) == 1)
		hs_tick(hs, clk_boot_us() + ms * MAG_US_PER_MS);
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

static void drive(FILE *in, FILE *out)
{
	struct event_base *base = event_base_new();
	struct hs *hs = start_server(base);
	char line[LINE_MAX_];
	char target[32];
	char version[8];
	int count;
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
		else if (sscanf(line, "ask %d %31s %7s", &n, target, version) ==
			 3)
			ask(n, target, version);
		else if (sscanf(line, "pipeline %d %d", &n, &count) == 2)
			pipeline(out, base, hs, n, count);
		else if (sscanf(line, "post %d", &n) == 1)
			send(clients[n], POST, strlen(POST), MSG_NOSIGNAL);
		else if (strncmp(line, "claimed", 7) == 0)
			fprintf(out, "%zu bytes of bodies\n", hs->body_bytes);
		else if (sscanf(line, "body %d", &n) == 1)
			print_body(out, n);
		else if (sscanf(line, "see %d", &n) == 1)
			print_received(out, n);
		else
			control(out, line, base, hs);
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
