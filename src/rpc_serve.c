#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <rpc/rpc.h>
#include <rpc/rpc_com.h>

#include "cnt.h"
#include "rpc_gen_magnolia.h"
#include "rpc_int.h"

/*
 * Serves the configuration to peers.  The RPC library stores its connections
 * in tables of the process, so only one server can run per process.
 */

#define RPC_RECORD_MAX	4096 /* longest request, in bytes */
#define RPC_STATUS_NONE 1
#define RPC_FDS_MAX	256
#define RPC_NO_FD	(-1)

void mag_x_program_1(struct svc_req *request, SVCXPRT *transport);

static struct rpc *rpc_served;

static void *rpc_server(void *arg);

/* Registers the program on the listening socket and starts its thread. */
int rpc_serve_start(struct rpc *rpc)
{
	int record_max = RPC_RECORD_MAX;
	SVCXPRT *transport;

	/*
	 * Without a bound the library waits for the rest of a record that a
	 * peer starts but never completes, and serves no other peer meanwhile.
	 */
	rpc_control(RPC_SVC_CONNMAXREC_SET, &record_max);
	transport = svctcp_create(rpc->tcp, 0, 0);
	if (!transport)
		return RPC_E_SOCKET;
	rpc->tcp = RPC_NO_FD; /* owned by the transport from here on */
	rpc_served = rpc;
	svc_unregister(MAG_X_PROGRAM, MAG_X_VERSION);
	if (!svc_register(transport, MAG_X_PROGRAM, MAG_X_VERSION,
			  mag_x_program_1, 0))
		return RPC_E_SOCKET;
	if (pthread_create(&rpc->server, NULL, rpc_server, rpc))
		return RPC_E_THREAD;
	rpc->serving = true;
	return RPC_OK;
}

/* Stops the server thread and closes its sockets. */
void rpc_serve_stop(struct rpc *rpc)
{
	int i;

	if (rpc->serving)
		pthread_join(rpc->server, NULL);
	if (rpc->tcp >= 0)
		close(rpc->tcp);
	if (!rpc->serving)
		return;
	svc_unregister(MAG_X_PROGRAM, MAG_X_VERSION);
	for (i = 0; i < svc_max_pollfd; i++) {
		if (svc_pollfd[i].fd >= 0)
			close(svc_pollfd[i].fd);
	}
	rpc_served = NULL;
}

/* Heartbeats arrive as datagrams; one over a stream gets no reply. */
bool_t mag_x_heartbeat_1_svc(mag_x_heartbeat arg, void *result,
			     struct svc_req *request)
{
	(void)arg;
	(void)result;
	(void)request;
	cnt_add(CNT_RPC_MALFORMED, 1);
	return FALSE;
}

/* Replies with the edits that lead from the caller's revision to this one. */
bool_t mag_x_edits_1_svc(mag_x_fetch arg, mag_x_piece *result,
			 struct svc_req *request)
{
	struct rpc *rpc = rpc_served;
	char *text = NULL;
	size_t len = 0;

	(void)request;
	memset(result, 0, sizeof(*result));
	result->status = RPC_STATUS_NONE;
	if (arg.format != PEER_VERSION || arg.cluster != rpc->cluster) {
		cnt_add(CNT_RPC_MALFORMED, 1);
		return TRUE;
	}
	if (!rpc->handlers.edits ||
	    rpc->handlers.edits(rpc->handlers.ctx, arg.revision,
				&result->revision, &text, &len))
		return TRUE;
	if (len > MAG_X_PIECE) {
		free(text);
		return TRUE;
	}
	result->status = 0;
	result->total = (u_int)len;
	result->bytes.bytes_len = (u_int)len;
	result->bytes.bytes_val = text;
	cnt_add(CNT_RPC_EDITS_SERVED, 1);
	return TRUE;
}

/* Replies with the piece of the text in force that starts at an offset. */
bool_t mag_x_fetch_1_svc(mag_x_fetch arg, mag_x_piece *result,
			 struct svc_req *request)
{
	struct rpc *rpc = rpc_served;
	char *text = NULL;
	size_t len = 0;
	size_t piece;

	(void)request;
	memset(result, 0, sizeof(*result));
	result->status = RPC_STATUS_NONE;
	if (arg.format != PEER_VERSION || arg.cluster != rpc->cluster) {
		cnt_add(CNT_RPC_MALFORMED, 1);
		return TRUE;
	}
	if (rpc->handlers.serve(rpc->handlers.ctx, arg.revision,
				&result->revision, &text, &len))
		return TRUE;
	if (arg.offset <= len) {
		piece = len - arg.offset;
		if (piece > MAG_X_PIECE)
			piece = MAG_X_PIECE;
		memmove(text, text + arg.offset, piece);
		result->status = 0;
		result->total = (u_int)len;
		result->bytes.bytes_len = (u_int)piece;
		result->bytes.bytes_val = text;
		text = NULL;
		cnt_add(CNT_RPC_SERVED, 1);
	}
	free(text);
	return TRUE;
}

/* Frees a reply that was sent. */
int mag_x_program_1_freeresult(SVCXPRT *transport, xdrproc_t proc,
			       caddr_t result)
{
	(void)transport;
	xdr_free(proc, result);
	return 1;
}

/* Like svc_run, but returns when the owner stops. */
static void *rpc_server(void *arg)
{
	struct pollfd fds[RPC_FDS_MAX];
	struct rpc *rpc = arg;

	while (!atomic_load(&rpc->stopping)) {
		int count = svc_max_pollfd < RPC_FDS_MAX ? svc_max_pollfd
							 : RPC_FDS_MAX;
		int ready;

		memcpy(fds, svc_pollfd, (size_t)count * sizeof(*fds));
		ready = poll(fds, (nfds_t)count, RPC_POLL_MS);
		if (ready > 0)
			svc_getreq_poll(fds, ready);
	}
	return NULL;
}
