#include <errno.h>
#include <limits.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clk.h"
#include "hs_int.h"
#include "jlog.h"

/* A failure of accept is rarely over sooner. */
#define HS_ACCEPT_PAUSE_US (50 * MAG_US_PER_MS)
/* Drops a client that acknowledges no data for this long (milliseconds). */
#define HS_USER_TIMEOUT_MS 5000

static void hs_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *addr, int addr_len, void *arg);
static void hs_accept_failed(struct evconnlistener *listener, void *arg);
static void hs_note_accept_failure(struct hs *hs, int error);
static struct hs_conn *hs_conn_new(struct hs *hs, evutil_socket_t fd);
static bool hs_close_idle(struct hs *hs, int64_t now);
static bool hs_is_idle(const struct hs_conn *conn, int64_t now);

/* Accepts connections on a socket that listens; HS_E_MEMORY leaves it open. */
int hs_listen(struct hs *hs, int fd)
{
	hs->connections_max = INT_MAX;
	hs->accepting = true;
	hs->listener = evconnlistener_new(
		hs->base, hs_accept, hs,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 0, fd);
	if (!hs->listener)
		return HS_E_MEMORY;
	evconnlistener_set_error_cb(hs->listener, hs_accept_failed);
	return HS_OK;
}

/*
 * Sets how many connections may be open.  Those beyond it, after it was
 * lowered, stay; idle ones give way.
 */
void hs_set_connections_max(struct hs *hs, int connections_max)
{
	hs->connections_max = connections_max;
	hs_choose_accepting(hs, clk_boot_us());
}

/*
 * Stops listening.  Connections that the kernel has completed by then are
 * accepted, as their clients may have sent requests.
 */
void hs_stop_listening(struct hs *hs)
{
	evutil_socket_t listening;
	evutil_socket_t fd;

	if (!hs->listener)
		return;
	listening = evconnlistener_get_fd(hs->listener);
	do {
		fd = accept4(listening, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd >= 0)
			hs_accept(hs->listener, fd, NULL, 0, hs);
	} while (fd >= 0 || errno == EINTR || errno == ECONNABORTED);
	evconnlistener_free(hs->listener);
	hs->listener = NULL;
}

/* Returns the number of all connections. */
int hs_connections(const struct hs *hs)
{
	return hs->connections;
}

/* Returns how often a connection could not be accepted. */
uint64_t hs_accept_failures(const struct hs *hs)
{
	return hs->accept_failures;
}

static void hs_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *addr, int addr_len, void *arg)
{
	struct hs *hs = arg;
	struct hs_conn *conn = hs_conn_new(hs, fd);
	unsigned int timeout_ms = HS_USER_TIMEOUT_MS;
	int on = 1;

	(void)listener;
	(void)addr;
	(void)addr_len;
	if (!conn) {
		close(fd);
		hs_note_accept_failure(hs, ENOMEM);
		return;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
		   sizeof(timeout_ms));
	hs_conn_begin(conn);
	if (hs->connections >= hs->connections_max)
		hs_choose_accepting(hs, clk_boot_us());
}

/* Creates a connection; without memory, returns NULL and leaves fd open. */
static struct hs_conn *hs_conn_new(struct hs *hs, evutil_socket_t fd)
{
	struct hs_conn *conn = calloc(1, sizeof(*conn));

	if (!conn)
		return NULL;
	conn->hs = hs;
	conn->body = evbuffer_new();
	if (conn->body)
		conn->bev = bufferevent_socket_new(hs->base, fd,
						   BEV_OPT_CLOSE_ON_FREE);
	if (conn->bev)
		return conn;
	if (conn->body)
		evbuffer_free(conn->body);
	free(conn);
	return NULL;
}

static void hs_accept_failed(struct evconnlistener *listener, void *arg)
{
	(void)listener;
	hs_note_accept_failure(arg, EVUTIL_SOCKET_ERROR());
}

/* Stops accepting for a while: the socket stays readable. */
static void hs_note_accept_failure(struct hs *hs, int error)
{
	int64_t now = clk_boot_us();

	hs->accept_failures++;
	if (now >= hs->accept_failures_by_us)
		jlog(LOG_ACCEPT_FAILED, "\"why\":\"%s\",\"connections\":%d",
		     strerror(error), hs->connections);
	hs->accept_failures_by_us = now + HS_SERIES_US;
	hs->accept_from_us = now + HS_ACCEPT_PAUSE_US;
	hs_close_idle(hs, now);
	hs_choose_accepting(hs, now);
}

/*
 * Accepts clients, or lets them wait in the kernel: after a failure, or if all
 * connections that may be open are in use.
 */
void hs_choose_accepting(struct hs *hs, int64_t now)
{
	bool accepting = now >= hs->accept_from_us;

	while (hs->connections >= hs->connections_max && hs_close_idle(hs, now))
		;
	/* One is answered at a time, and gives way once that is sent. */
	if (hs->connections >= hs->connections_max)
		hs_drop_late_body(hs, 0, now);
	accepting = accepting && hs->connections < hs->connections_max;
	if (!hs->listener || accepting == hs->accepting)
		return;
	if (accepting ? evconnlistener_enable(hs->listener)
		      : evconnlistener_disable(hs->listener))
		return;
	hs->accepting = accepting;
}

/* Closes an idle connection; false if there is none. */
static bool hs_close_idle(struct hs *hs, int64_t now)
{
	struct hs_conn *conn;
	struct hs_conn *oldest = NULL;

	cds_list_for_each_entry (conn, &hs->conns, node) {
		if ((!oldest || conn->deadline_us < oldest->deadline_us) &&
		    hs_is_idle(conn, now))
			oldest = conn;
	}
	if (oldest)
		hs_close(oldest);
	return oldest != NULL;
}

/*
 * Tells whether a connection has got its last answer, is between two requests,
 * or is late with its first one, and nothing is left to send or to read.
 */
static bool hs_is_idle(const struct hs_conn *conn, int64_t now)
{
	char byte;

	if (conn->state == HS_LINGERING)
		return true;
	return conn->state == HS_READING && !conn->started &&
	       (conn->used || now >= conn->first_by_us) &&
	       evbuffer_get_length(bufferevent_get_output(conn->bev)) == 0 &&
	       evbuffer_get_length(bufferevent_get_input(conn->bev)) == 0 &&
	       recv(bufferevent_getfd(conn->bev), &byte, 1,
		    MSG_PEEK | MSG_DONTWAIT) < 0;
}
