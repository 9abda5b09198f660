/*
 * Stand-in for a worker, as the pages describe one: an engine with enough
 * memory for all layers, or a plain service.  It registers in the stand-in of
 * the store and prints a line for each thing that it does.
 *
 * worker-2 STORE ADDRESS ID SERVICE ZONE KIND
 *
 * KIND is "-" for a plain service.  Streams have EVENTS events, one each
 * EVENT_MS milliseconds.  FRAMING is chunked, or close for streams that have no
 * length and end with their connection.  A request whose path holds "deadly"
 * ends this process by SIGKILL, CRASH_MS after its first event; CRASH_MS=-1:
 * it does not.
 */
#include <arpa/inet.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX     32768
#define BODY_MAX     (8 << 20)
#define HEARTBEAT_MS 300
#define TTL_MS	     900
#define SLOTS	     64

struct conn {
	int fd;
	char in[HEAD_MAX + 1];
	size_t len;
};

struct request {
	char head[HEAD_MAX + 1];
	char method[16];
	char target[8192];
	char attempt[80];
	char *body;
	size_t body_len;
};

static const char *store, *address, *id, *service, *zone, *kind;
static int events, event_ms, crash_ms;
static bool unframed;
static int64_t born_ms;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int layers_from, layers_to, orders;

static int number_of(const char *name, int fallback)
{
	const char *text = getenv(name);

	return text ? atoi(text) : fallback;
}

static int64_t now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

static void pause_ms(int ms)
{
	struct timespec ts = { ms / 1000, (long)(ms % 1000) * 1000000 };

	nanosleep(&ts, NULL);
}

/* Prints "WHAT ID MICROSECONDS REST" as one line. */
static void print(const char *what, const char *rest)
{
	char line[512];
	int len = snprintf(line, sizeof(line), "%s %s %" PRId64 " %s\n", what,
			   id, now_us(), rest);

	if (write(STDOUT_FILENO, line, (size_t)len) < 0)
		_exit(1);
}

static struct sockaddr_in parse_address(const char *text)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	char ip[64];
	int port = 0;

	if (sscanf(text, "%63[^:]:%d", ip, &port) != 2 ||
	    inet_pton(AF_INET, ip, &addr.sin_addr) != 1)
		_exit(2);
	addr.sin_port = htons((uint16_t)port);
	return addr;
}

static bool send_all(int fd, const void *bytes, size_t len)
{
	const char *at = bytes;
	ssize_t sent;

	while (len > 0) {
		sent = send(fd, at, len, MSG_NOSIGNAL);
		if (sent <= 0)
			return false;
		at += sent;
		len -= (size_t)sent;
	}
	return true;
}

static bool send_text(int fd, const char *format, ...)
{
	char text[4096];
	va_list args;
	int len;

	va_start(args, format);
	len = vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	return send_all(fd, text, (size_t)len);
}

/* Writes this worker's entry to the store. */
static void register_once(void)
{
	struct sockaddr_in addr = parse_address(store);
	struct timeval limit = { 1, 0 };
	char body[1024];
	char answer[512];
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int len;

	pthread_mutex_lock(&lock);
	len = snprintf(body, sizeof(body),
		       "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"%s\","
		       "\"Version\":\"v1\",\"Slots\":%d,\"State\":\"ready\","
		       "\"ColdRemainingMs\":0,\"born\":%" PRId64
		       ",\"Sequence\":1",
		       service, address, zone, SLOTS, born_ms);
	if (kind)
		len += snprintf(body + len, sizeof(body) - (size_t)len,
				",\"Kind\":\"%s\"", kind);
	if (layers_to > layers_from)
		len += snprintf(body + len, sizeof(body) - (size_t)len,
				",\"Layers\":{\"From\":%d,\"Target\":%d,"
				"\"Version\":1}",
				layers_from, layers_to);
	pthread_mutex_unlock(&lock);
	snprintf(body + len, sizeof(body) - (size_t)len, "}");
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0 &&
	    send_text(fd,
		      "POST /stand-in/put?Key=servers/%s&Ttl=%d HTTP/1.1\r\n"
		      "Host: store\r\nConnection: close\r\n"
		      "Content-Length: %zu\r\n\r\n%s",
		      id, TTL_MS, strlen(body), body))
		while (recv(fd, answer, sizeof(answer), 0) > 0)
			;
	close(fd);
}

static void *heartbeats(void *arg)
{
	for (;;) {
		register_once();
		pause_ms(HEARTBEAT_MS);
	}
	return arg;
}

/* Copies the value of a field of the head; false if there is none. */
static bool field(const struct request *request, const char *name, char *dst,
		  size_t size)
{
	const char *line = strstr(request->head, "\r\n");
	size_t len = strlen(name);
	size_t end;

	dst[0] = '\0';
	for (; line; line = strstr(line, "\r\n")) {
		line += 2;
		if (strncasecmp(line, name, len) != 0 || line[len] != ':')
			continue;
		line += len + 1;
		line += strspn(line, " \t");
		end = strcspn(line, "\r");
		snprintf(dst, size, "%.*s", (int)end, line);
		return true;
	}
	return false;
}

/* Reads a request with its body; false at the end of the connection. */
static bool read_request(struct conn *conn, struct request *request)
{
	char text[32];
	char *end;
	size_t head_len;
	size_t want;
	ssize_t got;

	conn->in[conn->len] = '\0';
	while (!(end = strstr(conn->in, "\r\n\r\n"))) {
		if (conn->len == HEAD_MAX)
			return false;
		got = recv(conn->fd, conn->in + conn->len, HEAD_MAX - conn->len,
			   0);
		if (got <= 0)
			return false;
		conn->len += (size_t)got;
		conn->in[conn->len] = '\0';
	}
	head_len = (size_t)(end - conn->in) + 4;
	memcpy(request->head, conn->in, head_len);
	request->head[head_len] = '\0';
	if (sscanf(request->head, "%15s %8191s", request->method,
		   request->target) != 2)
		return false;
	field(request, "Attempt-Id", request->attempt,
	      sizeof(request->attempt));
	want = field(request, "Content-Length", text, sizeof(text))
		       ? (size_t)strtoul(text, NULL, 10)
		       : 0;
	if (want > BODY_MAX)
		return false;
	request->body = malloc(want + 1);
	request->body_len = conn->len - head_len;
	if (request->body_len > want)
		request->body_len = want;
	memcpy(request->body, conn->in + head_len, request->body_len);
	conn->len -= head_len + request->body_len;
	memmove(conn->in, conn->in + head_len + request->body_len, conn->len);
	while (request->body_len < want) {
		got = recv(conn->fd, request->body + request->body_len,
			   want - request->body_len, 0);
		if (got <= 0) {
			free(request->body);
			return false;
		}
		request->body_len += (size_t)got;
	}
	request->body[want] = '\0';
	return true;
}

static bool reply(int fd, int status, const char *fields, const char *body)
{
	return send_text(
		fd, "HTTP/1.1 %d Status\r\n%sContent-Length: %zu\r\n\r\n%s",
		status, fields, strlen(body), body);
}

static bool reply_report(int fd)
{
	char body[512];
	int len;

	pthread_mutex_lock(&lock);
	len = snprintf(body, sizeof(body),
		       "{\"Busy\":false,\"Sequence\":%d,\"born\":%" PRId64
		       ",\"pace\":1.0,\"Stalled\":[]",
		       orders, born_ms);
	if (layers_to > layers_from)
		len += snprintf(body + len, sizeof(body) - (size_t)len,
				",\"Layers\":{\"From\":%d,\"Target\":%d}",
				layers_from, layers_to);
	pthread_mutex_unlock(&lock);
	snprintf(body + len, sizeof(body) - (size_t)len, "}");
	return reply(fd, 200, "Content-Type: application/json\r\n", body);
}

/* Returns the number of a member of a flat JSON object, or fallback. */
static int member(const char *json, const char *name, int fallback)
{
	char quoted[64];
	const char *at;

	snprintf(quoted, sizeof(quoted), "\"%s\":", name);
	at = strstr(json, quoted);
	return at ? atoi(at + strlen(quoted)) : fallback;
}

static bool take_order(int fd, const struct request *request)
{
	char text[64];
	int status = 202;

	if (strstr(request->body, "\"repath\""))
		return reply(fd, 404, "", "");
	pthread_mutex_lock(&lock);
	if (member(request->body, "Expected", orders) != orders) {
		status = 409;
	} else {
		layers_from = member(request->body, "From", 0);
		layers_to = member(request->body, "Target", 0);
		orders++;
	}
	snprintf(text, sizeof(text), "%d-%d", layers_from, layers_to);
	pthread_mutex_unlock(&lock);
	if (status == 202) {
		print("ORDER", text);
		register_once();
	}
	return reply(fd, status, "", "");
}

/* Ends this process as a crash does, a while after a request has begun. */
static void *crash(void *arg)
{
	pause_ms(crash_ms);
	print("CRASH", arg);
	kill(getpid(), SIGKILL);
	return NULL;
}

/* Sends one event; false if the caller has left. */
static bool send_event(int fd, int number)
{
	char event[128];
	int len = snprintf(event, sizeof(event), "id: %d\ndata: {\"n\":%d}\n\n",
			   number, number);

	if (unframed)
		return send_all(fd, event, (size_t)len);
	return send_text(fd, "%x\r\n%s\r\n", len, event);
}

/* Sends a stream.  Returns whether the connection goes on. */
static bool serve_stream(int fd, const struct request *request)
{
	char text[160];
	pthread_t thread;
	int first;
	int n;

	first = field(request, "Last-Event-Id", text, sizeof(text)) ? atoi(text)
								    : 0;
	snprintf(text, sizeof(text), "%s from %d", request->attempt, first + 1);
	print("RUN", text);
	if (!send_text(fd,
		       "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
		       "Response-Seal: %s.%s\r\nWeight-Versions: 1\r\n"
		       "Content-Type: text/event-stream\r\n%s\r\n",
		       request->attempt, id, request->attempt,
		       unframed ? "Connection: close\r\n"
				: "Transfer-Encoding: chunked\r\n"))
		return false;
	for (n = first + 1; n <= events; n++) {
		pause_ms(event_ms);
		if (!send_event(fd, n)) {
			print("LEFT", request->attempt);
			return false;
		}
		if (n == first + 1 && crash_ms >= 0 &&
		    strstr(request->target, "deadly") &&
		    !pthread_create(&thread, NULL, crash,
				    strdup(request->attempt)))
			pthread_detach(thread);
	}
	print("DONE", request->attempt);
	return !unframed && send_text(fd, "0\r\n\r\n");
}

/* Tells whether this engine holds what the path of a request asks of it. */
static bool holds(const struct request *request)
{
	char text[1024];
	char ip_port[64];
	int from = 0;
	int to = 0;
	bool held;

	if (!field(request, "Hop-Count", text, sizeof(text)) ||
	    strchr(text, ',') ||
	    sscanf(text, "%63[^=]=%d-%d", ip_port, &from, &to) != 3 ||
	    strcmp(ip_port, address) != 0)
		return false;
	pthread_mutex_lock(&lock);
	held = from >= layers_from && to <= layers_to && from < to;
	pthread_mutex_unlock(&lock);
	return held;
}

/* Serves a request; returns whether the connection goes on. */
static bool serve_request(int fd, const struct request *request)
{
	char fields[256];
	char text[128];

	if (strcmp(request->target, "/api/report") == 0 && kind)
		return reply_report(fd);
	snprintf(fields, sizeof(fields), "Instance-Id: %s\r\n", id);
	if (strcmp(request->target, "/healthz") == 0)
		return reply(fd, 200, fields, "");
	if (field(request, "Target-Instance", text, sizeof(text)) &&
	    strcmp(text, id) != 0)
		return reply(fd, 421, "Not-Executed: 1\r\n", "");
	if (strcmp(request->target, "/api/order") == 0 && kind)
		return take_order(fd, request);
	if (!request->attempt[0])
		return reply(fd, 400, "Not-Executed: 1\r\n", "");
	print("GOT", request->attempt);
	if (kind && !holds(request)) {
		snprintf(fields, sizeof(fields),
			 "Not-Executed: 1\r\nAt-Server: %s\r\n", address);
		return reply(fd, 421, fields, "");
	}
	if (kind)
		return serve_stream(fd, request);
	print("RUN", request->attempt);
	snprintf(fields, sizeof(fields),
		 "Attempt-Id: %s\r\nResponse-Seal: %s.%s\r\n", request->attempt,
		 id, request->attempt);
	return reply(fd, 200, fields, "done");
}

static void *serve(void *arg)
{
	struct conn *conn = arg;
	struct request *request = calloc(1, sizeof(*request));
	bool goes_on = true;

	while (goes_on && read_request(conn, request)) {
		goes_on = serve_request(conn->fd, request);
		free(request->body);
	}
	shutdown(conn->fd, SHUT_WR);
	close(conn->fd);
	free(request);
	free(conn);
	return NULL;
}

int main(int argc, char **argv)
{
	struct sockaddr_in addr;
	struct timespec ts;
	pthread_t thread;
	struct conn *conn;
	int listening;
	int on = 1;

	if (argc != 7)
		return 2;
	store = argv[1];
	address = argv[2];
	id = argv[3];
	service = argv[4];
	zone = argv[5];
	kind = strcmp(argv[6], "-") == 0 ? NULL : argv[6];
	events = number_of("EVENTS", 20);
	event_ms = number_of("EVENT_MS", 50);
	crash_ms = number_of("CRASH_MS", -1);
	unframed = getenv("FRAMING") && strcmp(getenv("FRAMING"), "close") == 0;
	clock_gettime(CLOCK_REALTIME, &ts);
	born_ms = (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
	addr = parse_address(address);
	listening = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(listening, (struct sockaddr *)&addr, sizeof(addr)) ||
	    listen(listening, 256))
		return 2;
	if (pthread_create(&thread, NULL, heartbeats, NULL))
		return 2;
	for (;;) {
		conn = calloc(1, sizeof(*conn));
		conn->fd = accept(listening, NULL, NULL);
		if (conn->fd < 0)
			return 2;
		setsockopt(conn->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		if (pthread_create(&thread, NULL, serve, conn))
			return 2;
		pthread_detach(thread);
	}
}
