#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "fk.h"
#include "lsn.h"
#include "mag.h"

#define FK_FAULTS_MAX 16
#define FK_BODY_MAX   (4U << 20)
#define FK_HEADER_MAX 1024
#define FK_LINE_MAX   512
/* A process that was killed keeps its ports until the kernel has ended it. */
#define FK_PORT_WAIT_US (5 * MAG_US_PER_S)
#define FK_PORT_POLL_US (20 * MAG_US_PER_MS)

struct fk_fault_entry {
	char name[32];
	long value;
	long left; /* remaining uses; negative: unlimited */
};

struct fk {
	struct mg_context *server;
	fk_handler_fn handler;
	void *ctx;
	int port;
	pthread_mutex_t lock;
	struct fk_fault_entry faults[FK_FAULTS_MAX];
};

/*
 * What the fault "odd" makes of the head of a reply, by its number: the lines
 * before it, its status line, or one more field line; or the size of a chunk.
 */
struct fk_odd {
	const char *before;
	const char *status_line;
	const char *field;
	bool chunk;
};

static const struct fk_odd fk_odds[] = {
	{ .status_line = "HTTP/1.1 000 Odd" },
	{ .status_line = "HTTP/1.1 600 Odd" },
	{ .status_line = "HTTP/1.1 0200 Odd" },
	{ .status_line = "HTTP/1.1 200 O\001dd" },
	{ .field = "X Odd: 1\r\n" },
	{ .field = "X\001Odd: 1\r\n" },
	{ .field = "X-Odd: \001\r\n" },
	{ .field = "X-Odd: 1\r\n 2\r\n" },
	{ .field = "Content-Length: 1x\r\n" },
	{ .before = "HTTP/1.1 100 Odd\r\nX Odd: 1\r\n\r\n" },
	{ .chunk = true },
};

static int fk_on_request(struct mg_connection *conn);
static void fk_read_body(struct fk_request *req, long long length);
static void fk_control(struct fk_request *req);
static int fk_format_head(char *dst, size_t size, const struct fk_odd *odd,
			  int status, const char *framing, const char *headers);
static const struct fk_odd *fk_use_odd(struct fk_request *req);
static void fk_write_reply(struct fk_request *req, int status,
			   const char *headers, const char *body, size_t len,
			   size_t bytes);

static int fk_record_fd = -1;

/*
 * Opens a socket that listens at "ip:port".  Waits for the address while
 * another process has it; exits if that takes too long or if it can't be used
 * at all.
 */
int fk_listen(const char *address)
{
	int64_t deadline_us = clk_boot_us() + FK_PORT_WAIT_US;
	int rc;
	int fd;

	while ((rc = lsn_open(address, LSN_TCP, &fd)) == LSN_E_BUSY &&
	       clk_boot_us() < deadline_us)
		fk_sleep_us(FK_PORT_POLL_US);
	if (rc) {
		fprintf(stderr, "can't listen at %s: %s\n", address,
			strerror(errno));
		exit(1);
	}
	return fd;
}

/*
 * Starts a server on a loopback port, for which it waits as fk_listen() does;
 * exits if that fails.  closed, if not NULL, is called for each connection that
 * has closed.
 */
struct fk *fk_start(int port, int threads, fk_handler_fn handler,
		    fk_closed_fn closed, void *ctx)
{
	struct mg_callbacks callbacks = { .begin_request = fk_on_request,
					  .connection_close = closed };
	struct fk *fk = calloc(1, sizeof(*fk));
	int64_t deadline_us = clk_boot_us() + FK_PORT_WAIT_US;
	char listen_on[32];
	char count[16];
	const char *options[] = { "listening_ports",
				  listen_on,
				  "num_threads",
				  count,
				  "enable_keep_alive",
				  "yes",
				  "keep_alive_timeout_ms",
				  "2000",
				  "tcp_nodelay",
				  "1",
				  "request_timeout_ms",
				  "60000",
				  NULL };

	if (!fk)
		exit(1);
	snprintf(listen_on, sizeof(listen_on), "127.0.0.1:%d", port);
	snprintf(count, sizeof(count), "%d", threads);
	fk->handler = handler;
	fk->ctx = ctx;
	fk->port = port;
	pthread_mutex_init(&fk->lock, NULL);
	while (!(fk->server = mg_start(&callbacks, fk, options)) &&
	       clk_boot_us() < deadline_us)
		fk_sleep_us(FK_PORT_POLL_US);
	if (!fk->server) {
		fprintf(stderr, "can't listen on port %d\n", port);
		exit(1);
	}
	return fk;
}

void *fk_ctx(struct fk *fk)
{
	return fk->ctx;
}

int fk_port(const struct fk *fk)
{
	return fk->port;
}

/*
 * Blocks SIGTERM and SIGINT and ignores SIGPIPE.  Must be called before the
 * first thread starts, so that only fk_wait_signal() receives them.
 */
void fk_block_signals(void)
{
	sigset_t set;

	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
}

/* Waits for SIGTERM or SIGINT. */
void fk_wait_signal(void)
{
	sigset_t set;
	int received;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigwait(&set, &received);
}

/* Reads a request and passes it to the handler; /control sets a fault. */
static int fk_on_request(struct mg_connection *conn)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	struct fk_request req = { .fk = info->user_data, .conn = conn };

	req.method = info->request_method;
	req.path = info->local_uri_raw ? info->local_uri_raw : "";
	req.query = info->query_string ? info->query_string : "";
	fk_read_body(&req, info->content_length);
	if (strcmp(req.path, "/control") == 0)
		fk_control(&req);
	else
		req.fk->handler(&req);
	free(req.body);
	return 200;
}

static void fk_read_body(struct fk_request *req, long long length)
{
	size_t size = 0;
	int received;

	if (length > 0 && length < FK_BODY_MAX)
		size = (size_t)length;
	req->body = calloc(1, size + 1);
	while (req->body && req->len < size) {
		received = mg_read(req->conn, req->body + req->len,
				   size - req->len);
		if (received <= 0)
			break;
		req->len += (size_t)received;
	}
}

/* POST /control {"fault", "value", "count"}: count 0 clears a fault. */
static void fk_control(struct fk_request *req)
{
	json_t *body = json_loadb(req->body, req->len, 0, NULL);
	json_t *count = json_object_get(body, "count");
	const char *name = json_string_value(json_object_get(body, "fault"));

	if (name)
		fk_set_fault(req->fk, name,
			     json_integer_value(json_object_get(body, "value")),
			     count ? json_integer_value(count) : -1);
	json_decref(body);
	fk_write_reply(req, name ? 200 : 400, "", "", 0, SIZE_MAX);
}

/*
 * Replies with a status, header lines (each ended by CRLF) and a body.  After
 * the fault "cut" with a number only so many bytes of the reply are sent, and
 * the connection is closed.
 */
void fk_reply(struct fk_request *req, int status, const char *headers,
	      const char *body, size_t len)
{
	long bytes = LONG_MAX;

	if (fk_use_fault(req->fk, "cut", &bytes))
		fk_abort(req);
	fk_write_reply(req, status, headers, body, len, (size_t)bytes);
}

/* Sends at most so many bytes of a reply. */
static void fk_write_reply(struct fk_request *req, int status,
			   const char *headers, const char *body, size_t len,
			   size_t bytes)
{
	char *text = malloc(FK_HEADER_MAX + len);
	const struct fk_odd *odd = fk_use_odd(req);
	char framing[64];
	int used;

	if (!text)
		return;
	if (odd && odd->chunk)
		snprintf(framing, sizeof(framing),
			 "Transfer-Encoding: chunked\r\n");
	else
		snprintf(framing, sizeof(framing), "Content-Length: %zu\r\n",
			 len);
	used = fk_format_head(text, FK_HEADER_MAX, odd, status, framing,
			      headers);
	if (odd && odd->chunk)
		used += snprintf(text + used, FK_HEADER_MAX - (size_t)used,
				 "%zx odd\r\n", len);
	if (used >= FK_HEADER_MAX)
		abort();
	memcpy(text + used, body, len);
	len += (size_t)used;
	mg_write(req->conn, text, bytes < len ? bytes : len);
	if (odd && odd->chunk)
		mg_printf(req->conn, "\r\n0\r\n\r\n");
	free(text);
}

/* Returns what the fault "odd" makes of a reply; NULL: nothing. */
static const struct fk_odd *fk_use_odd(struct fk_request *req)
{
	long number;

	if (strcmp(req->path, "/control") == 0 ||
	    !fk_use_fault(req->fk, "odd", &number) || number < 0 ||
	    number >= (long)MAG_ARRAY_SIZE(fk_odds))
		return NULL;
	fk_abort(req);
	return &fk_odds[number];
}

/* Formats a head; returns its length, or size at least if it does not fit. */
static int fk_format_head(char *dst, size_t size, const struct fk_odd *odd,
			  int status, const char *framing, const char *headers)
{
	char status_line[64];

	snprintf(status_line, sizeof(status_line), "HTTP/1.1 %d Answer",
		 status);
	return snprintf(dst, size, "%s%s\r\n%s%s%s\r\n",
			odd && odd->before ? odd->before : "",
			odd && odd->status_line ? odd->status_line
						: status_line,
			odd && odd->field ? odd->field : "", framing, headers);
}

/* Begins a reply in chunks, which mg_send_chunk() sends. */
void fk_begin_chunks(struct fk_request *req, const char *headers)
{
	const struct fk_odd *odd = fk_use_odd(req);
	char head[FK_HEADER_MAX];
	int used = fk_format_head(head, sizeof(head), odd, 200,
				  "Transfer-Encoding: chunked\r\n", headers);

	if (used >= FK_HEADER_MAX)
		abort();
	mg_write(req->conn, head, (size_t)used);
	if (odd && odd->chunk)
		mg_printf(req->conn, "2 odd\r\n:\n\r\n");
}

/* Replies with JSON; releases the caller's reference to body. */
void fk_reply_json(struct fk_request *req, int status, const char *headers,
		   json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);
	char lines[FK_HEADER_MAX / 2];

	json_decref(body);
	if (!text)
		abort();
	snprintf(lines, sizeof(lines), "Content-Type: application/json\r\n%s",
		 headers);
	fk_reply(req, status, lines, text, strlen(text));
	free(text);
}

/* Closes the connection without a reply, or in the middle of one. */
void fk_abort(struct fk_request *req)
{
	mg_disable_connection_keep_alive(req->conn);
}

/* Returns the value of a header field, "" if there is none. */
const char *fk_header(const struct fk_request *req, const char *name)
{
	const char *value = mg_get_header(req->conn, name);

	return value ? value : "";
}

/* Returns a number in the query string, 0 if there is none. */
long fk_query_number(const struct fk_request *req, const char *name)
{
	char value[32];

	if (mg_get_var(req->query, strlen(req->query), name, value,
		       sizeof(value)) < 0)
		return 0;
	return strtol(value, NULL, 10);
}

/* Sets a fault for the next count uses (negative: all), or clears it. */
void fk_set_fault(struct fk *fk, const char *name, long value, long count)
{
	struct fk_fault_entry *fault = NULL;
	int i;

	pthread_mutex_lock(&fk->lock);
	for (i = 0; i < FK_FAULTS_MAX && !fault; i++) {
		if (fk->faults[i].name[0] == '\0' ||
		    strcmp(fk->faults[i].name, name) == 0)
			fault = &fk->faults[i];
	}
	if (fault &&
	    mag_copy_name(fault->name, sizeof(fault->name), name) == 0) {
		fault->value = value;
		fault->left = count;
	}
	pthread_mutex_unlock(&fk->lock);
}

/* Returns whether a fault is set, and consumes one of its uses. */
bool fk_use_fault(struct fk *fk, const char *name, long *value)
{
	bool set = false;
	int i;

	pthread_mutex_lock(&fk->lock);
	for (i = 0; i < FK_FAULTS_MAX && !set; i++) {
		struct fk_fault_entry *fault = &fk->faults[i];

		if (strcmp(fault->name, name) != 0 || fault->left == 0)
			continue;
		set = true;
		if (fault->left > 0)
			fault->left--;
		if (value)
			*value = fault->value;
	}
	pthread_mutex_unlock(&fk->lock);
	return set;
}

/* Opens the record file, to which several processes may append. */
int fk_record_open(const char *path)
{
	fk_record_fd = open(path, O_WRONLY | O_CREAT | O_APPEND, 0644);
	return fk_record_fd < 0 ? -1 : 0;
}

/*
 * Appends a line with a single write(), so that lines of several processes do
 * not interleave.
 */
void fk_record(const char *fmt, ...)
{
	char line[FK_LINE_MAX];
	va_list ap;
	int len;

	if (fk_record_fd < 0)
		return;
	va_start(ap, fmt);
	len = vsnprintf(line, sizeof(line) - 1, fmt, ap);
	va_end(ap);
	if (len < 0 || len >= (int)sizeof(line) - 1)
		abort();
	line[len] = '\n';
	if (write(fk_record_fd, line, (size_t)len + 1) < 0)
		abort();
}

/* Returns the input of layer 0 for a token (FNV-1a of the prompt). */
uint64_t fk_initial_state(const char *prompt, uint32_t index)
{
	uint64_t state = UINT64_C(14695981039346656037);

	for (; *prompt; prompt++)
		state = (state ^ (unsigned char)*prompt) *
			UINT64_C(1099511628211);
	return state ^ index;
}

/* Runs layers first..last; the result depends on their order. */
uint64_t fk_apply_layers(uint64_t state, uint32_t first, uint32_t last)
{
	uint32_t layer;

	for (layer = first; layer <= last; layer++) {
		state ^= layer + 1;
		state *= UINT64_C(0x9e3779b97f4a7c15);
		state ^= state >> 29;
	}
	return state;
}

/* Formats the final state as the text of a token. */
void fk_format_token(char token[FK_TOKEN_MAX], uint64_t state)
{
	snprintf(token, FK_TOKEN_MAX, "w%08x", (unsigned int)(state >> 32));
}

/* Computes the correct token of a prompt at an index. */
void fk_expected_token(char token[FK_TOKEN_MAX], const char *prompt,
		       uint32_t index, uint32_t layers)
{
	fk_format_token(token, fk_apply_layers(fk_initial_state(prompt, index),
					       0, layers - 1));
}

/* Reads the objects of a set file; exits if that fails. */
json_t *fk_load_set(const char *path)
{
	json_error_t error;
	json_t *set = json_load_file(path, 0, &error);
	json_t *objects = json_object_get(set, "objects");

	if (!json_is_array(objects)) {
		fprintf(stderr, "%s: not a set of objects: %s\n", path,
			error.text);
		exit(1);
	}
	json_incref(objects);
	json_decref(set);
	return objects;
}

void fk_sleep_us(int64_t us)
{
	struct timespec left = { .tv_sec = us / MAG_US_PER_S,
				 .tv_nsec = us % MAG_US_PER_S * 1000 };

	while (us > 0 && nanosleep(&left, &left) != 0)
		;
}
