#ifndef HS_H
#define HS_H

/*
 * HTTP/1.1 server on an event loop.  A connection processes one request at a
 * time; pipelined requests wait in the socket.  Framing is strict: a request
 * with both Content-Length and Transfer-Encoding, a malformed chunk or an
 * oversized header gets an error response and the connection is closed, which
 * prevents request smuggling.
 *
 * Load pattern: more clients connect than the process has descriptors, or
 * accept fails for another reason while its socket stays readable.  The server
 * closes idle connections, then stops accepting;
 * further clients wait in the kernel until a connection ends.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/buffer.h>
#include <event2/event.h>

#include "hdr.h"
#include "hs_limits.h"

struct hs;
struct hs_conn;

enum hs_err {
	HS_OK = 0,
	HS_E_MEMORY = -1,
	HS_E_LISTEN = -2,
};

/* Callbacks to the owner of a server. */
struct hs_ops {
	/* A complete request was read; reply to it now or later. */
	void (*request)(void *ctx, struct hs_conn *conn);
	/*
	 * The client disconnected before the response was complete; conn is
	 * freed when this returns.
	 */
	void (*disconnected)(void *ctx, struct hs_conn *conn, void *user);
};

int hs_new(struct event_base *base, const char *address,
	   const struct hs_ops *ops, void *ctx, struct hs **out);
int hs_serve(struct event_base *base, int fd, const struct hs_ops *ops,
	     void *ctx, struct hs **out);
void hs_free(struct hs *hs);
void hs_set_limits(struct hs *hs, const struct hs_limits *limits);
void hs_set_connections_max(struct hs *hs, int connections_max);
void hs_stop_keep_alive(struct hs *hs);
void hs_stop_listening(struct hs *hs);
int hs_connections(const struct hs *hs);
uint64_t hs_bodies_refused(const struct hs *hs);
uint64_t hs_accept_failures(const struct hs *hs);
int hs_open_count(const struct hs *hs);
int hs_unused_count(const struct hs *hs);
void hs_tick(struct hs *hs, int64_t now);

const char *hs_method(const struct hs_conn *conn);
const char *hs_target(const struct hs_conn *conn);
const struct hdr_list *hs_headers(const struct hs_conn *conn);
struct evbuffer *hs_body(struct hs_conn *conn);
void hs_set_user(struct hs_conn *conn, void *user);

/*
 * Closes the connection after the response, so that the client reconnects,
 * possibly to another instance.
 */
void hs_close_after_reply(struct hs_conn *conn);
void hs_reply(struct hs_conn *conn, int status, const char *fields,
	      const void *body, size_t len);
void hs_stream_begin(struct hs_conn *conn, int status, const char *fields);
void hs_stream_data(struct hs_conn *conn, const void *bytes, size_t len);
void hs_stream_end(struct hs_conn *conn);
void hs_abort(struct hs_conn *conn);
size_t hs_unsent(struct hs_conn *conn);
size_t hs_unsent_all(const struct hs *hs);

#endif /* HS_H */
