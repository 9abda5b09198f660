#include <arpa/inet.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cnt.h"
#include "log.h"
#include "lsn.h"
#include "peer_wire.h"
#include "rpc_int.h"

#define RPC_PORT_MAX	       65535
#define RPC_DEFAULT_THREADS    2
#define RPC_DEFAULT_BYTES      (16u << 20)
#define RPC_DEFAULT_TIMEOUT_US (5 * MAG_US_PER_S)

static void rpc_set_defaults(struct rpc *rpc);
static int rpc_bind(struct rpc *rpc);
static int rpc_start_threads(struct rpc *rpc);
static void *rpc_receiver(void *arg);
static void rpc_receive(struct rpc *rpc);

/*
 * Binds the port and starts the threads.  On RPC_OK *rpc is running and has to
 * be stopped with rpc_stop; otherwise it is NULL.
 */
int rpc_start(const struct rpc_settings *settings,
	      const struct rpc_handlers *handlers, struct rpc **rpc)
{
	struct rpc *new = calloc(1, sizeof(*new));
	int err;

	*rpc = NULL;
	if (!new)
		return RPC_E_MEMORY;
	new->settings = *settings;
	new->handlers = *handlers;
	rpc_set_defaults(new);
	new->cluster = (uint32_t)peer_hash(settings->cluster);
	pthread_mutex_init(&new->lock, NULL);
	pthread_cond_init(&new->wake, NULL);
	CDS_INIT_LIST_HEAD(&new->jobs);
	new->udp = -1;
	new->tcp = -1;
	err = rpc_bind(new);
	if (!err)
		err = rpc_start_threads(new);
	if (err) {
		rpc_stop(new);
		return err;
	}
	*rpc = new;
	return RPC_OK;
}

/* Stops the threads, joins them and frees everything; NULL is allowed. */
void rpc_stop(struct rpc *rpc)
{
	if (!rpc)
		return;
	atomic_store(&rpc->stopping, true);
	rpc_fetch_stop(rpc);
	rpc_serve_stop(rpc);
	if (rpc->receiving)
		pthread_join(rpc->receiver, NULL);
	if (rpc->udp >= 0)
		close(rpc->udp);
	pthread_mutex_destroy(&rpc->lock);
	pthread_cond_destroy(&rpc->wake);
	free(rpc);
}

/*
 * Sends a heartbeat without blocking.  A datagram for which the kernel has no
 * buffer space is counted as a failed send, and the next heartbeat replaces it.
 */
int rpc_send(struct rpc *rpc, const char *address, const struct peer_msg *msg)
{
	char buf[PEER_WIRE_MAX];
	struct sockaddr_in to;
	int len;

	if (rpc_parse_address(address, &to))
		return RPC_E_ADDRESS;
	len = peer_wire_encode(msg, atomic_fetch_add(&rpc->xid, 1), buf,
			       sizeof(buf));
	if (len < 0)
		return RPC_E_REPLY;
	if (sendto(rpc->udp, buf, (size_t)len, MSG_DONTWAIT,
		   (struct sockaddr *)&to, sizeof(to)) == len)
		return RPC_OK;
	cnt_add(CNT_RPC_SEND_FAILED, 1);
	return RPC_E_SEND;
}

/* Parses "ip:port"; host names aren't resolved. */
int rpc_parse_address(const char *text, struct sockaddr_in *address)
{
	char ip[MAG_ADDR_MAX];
	const char *colon = strrchr(text, ':');
	char *end;
	long port;

	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return RPC_E_ADDRESS;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	port = strtol(colon + 1, &end, 10);
	if (*end || end == colon + 1 || port < 0 || port > RPC_PORT_MAX)
		return RPC_E_ADDRESS;
	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	address->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &address->sin_addr) == 1 ? RPC_OK
							       : RPC_E_ADDRESS;
}

static void rpc_set_defaults(struct rpc *rpc)
{
	struct rpc_settings *set = &rpc->settings;

	if (set->fetch_threads == 0)
		set->fetch_threads = RPC_DEFAULT_THREADS;
	if (set->fetch_threads > RPC_FETCH_THREADS_MAX)
		set->fetch_threads = RPC_FETCH_THREADS_MAX;
	if (set->fetch_bytes_max == 0)
		set->fetch_bytes_max = RPC_DEFAULT_BYTES;
	if (set->fetch_timeout_us == 0)
		set->fetch_timeout_us = RPC_DEFAULT_TIMEOUT_US;
}

/* Opens the sockets.  Returns RPC_OK or a negative enum rpc_error. */
static int rpc_bind(struct rpc *rpc)
{
	struct sockaddr_in address;
	int rc;

	if (rpc_parse_address(rpc->settings.listen, &address))
		return RPC_E_ADDRESS;
	rc = lsn_open(rpc->settings.listen, LSN_UDP, &rpc->udp);
	if (!rc)
		rc = lsn_open(rpc->settings.listen, LSN_TCP, &rpc->tcp);
	if (rc == LSN_E_BUSY)
		return RPC_E_BUSY;
	return rc ? RPC_E_ADDRESS : RPC_OK;
}

/* Starts the server, the fetchers and the receiver. */
static int rpc_start_threads(struct rpc *rpc)
{
	int err = rpc_serve_start(rpc);

	if (!err)
		err = rpc_fetch_start(rpc);
	if (err)
		return err;
	if (pthread_create(&rpc->receiver, NULL, rpc_receiver, rpc))
		return RPC_E_THREAD;
	rpc->receiving = true;
	return RPC_OK;
}

/*
 * Receives heartbeats on a separate thread: a peer that stops in the middle of
 * a fetch must not delay the messages that decide which instances are up.
 */
static void *rpc_receiver(void *arg)
{
	struct rpc *rpc = arg;
	struct pollfd fd = { .fd = rpc->udp, .events = POLLIN };

	while (!atomic_load(&rpc->stopping)) {
		if (poll(&fd, 1, RPC_POLL_MS) == 1)
			rpc_receive(rpc);
	}
	return NULL;
}

/* Receives one datagram; if it isn't a heartbeat, counts and drops it. */
static void rpc_receive(struct rpc *rpc)
{
	char buf[PEER_WIRE_MAX];
	struct peer_msg msg;
	ssize_t len = recv(rpc->udp, buf, sizeof(buf), MSG_DONTWAIT);

	if (len < 0)
		return;
	if (peer_wire_decode(buf, (size_t)len, &msg)) {
		cnt_add(CNT_RPC_MALFORMED, 1);
		return;
	}
	rpc->handlers.message(rpc->handlers.ctx, &msg);
}
