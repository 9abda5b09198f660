#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <rpc/rpc.h>

#include "clk.h"
#include "cnt.h"
#include "rpc_gen_magnolia.h"
#include "rpc_int.h"

/* Fetches the configuration from peers, on several threads. */

/* One fetch in progress. */
struct rpc_transfer {
	struct rpc_fetched result;
	CLIENT *client;
	int fd;
	int64_t deadline_us;
	size_t total;
	bool started;
};

static void *rpc_fetcher(void *arg);
static struct rpc_job *rpc_next_job(struct rpc *rpc);
static void rpc_run_job(struct rpc *rpc, const struct rpc_job *job);
static int rpc_connect(struct rpc_transfer *transfer);
static int rpc_wait_connected(const struct rpc_transfer *transfer);
static int rpc_fetch_text(struct rpc *rpc, const struct rpc_job *job,
			  struct rpc_transfer *transfer);
static bool rpc_fetch_edits(struct rpc *rpc, const struct rpc_job *job,
			    struct rpc_transfer *transfer);
static int rpc_add_piece(struct rpc *rpc, struct rpc_transfer *transfer,
			 const mag_x_piece *piece);
static struct timeval rpc_time_left(const struct rpc_transfer *transfer);

/* Starts the threads. */
int rpc_fetch_start(struct rpc *rpc)
{
	uint32_t i;

	for (i = 0; i < rpc->settings.fetch_threads; i++) {
		if (pthread_create(&rpc->fetchers[i], NULL, rpc_fetcher, rpc))
			return RPC_E_THREAD;
		rpc->fetcher_count++;
	}
	return RPC_OK;
}

/* Stops the threads; jobs still in the queue are dropped. */
void rpc_fetch_stop(struct rpc *rpc)
{
	struct rpc_job *job;
	struct rpc_job *next;
	uint32_t i;

	pthread_mutex_lock(&rpc->lock);
	pthread_cond_broadcast(&rpc->wake);
	pthread_mutex_unlock(&rpc->lock);
	for (i = 0; i < rpc->fetcher_count; i++)
		pthread_join(rpc->fetchers[i], NULL);
	cds_list_for_each_entry_safe (job, next, &rpc->jobs, node)
		free(job);
}

/*
 * Requests the configuration that a peer has in force, if its revision is at
 * least min_revision.  If base_revision is the revision in force here and not
 * 0, the peer sends edits to it if it has them.  The handler fetched receives
 * the result.
 */
int rpc_fetch(struct rpc *rpc, const char *address, uint64_t min_revision,
	      uint64_t base_revision)
{
	struct rpc_job *job = calloc(1, sizeof(*job));
	int err = RPC_OK;

	if (!job)
		return RPC_E_MEMORY;
	job->min_revision = min_revision;
	job->base_revision = base_revision;
	if (mag_copy_name(job->address, MAG_ADDR_MAX, address)) {
		free(job);
		return RPC_E_ADDRESS;
	}
	pthread_mutex_lock(&rpc->lock);
	if (rpc->job_count == RPC_FETCH_WAITING_MAX) {
		err = RPC_E_FULL;
		free(job);
	} else {
		rpc->job_count++;
		cds_list_add_tail(&job->node, &rpc->jobs);
		pthread_cond_signal(&rpc->wake);
	}
	pthread_mutex_unlock(&rpc->lock);
	return err;
}

static void *rpc_fetcher(void *arg)
{
	struct rpc *rpc = arg;
	struct rpc_job *job;

	while ((job = rpc_next_job(rpc)) != NULL) {
		rpc_run_job(rpc, job);
		free(job);
	}
	return NULL;
}

/* Waits for a job; returns NULL when the owner stops. */
static struct rpc_job *rpc_next_job(struct rpc *rpc)
{
	struct rpc_job *job = NULL;

	pthread_mutex_lock(&rpc->lock);
	while (cds_list_empty(&rpc->jobs) && !atomic_load(&rpc->stopping))
		pthread_cond_wait(&rpc->wake, &rpc->lock);
	if (!atomic_load(&rpc->stopping)) {
		job = cds_list_entry(rpc->jobs.next, struct rpc_job, node);
		cds_list_del(&job->node);
		rpc->job_count--;
	}
	pthread_mutex_unlock(&rpc->lock);
	return job;
}

/* Runs a fetch and reports its result. */
static void rpc_run_job(struct rpc *rpc, const struct rpc_job *job)
{
	struct rpc_transfer transfer = { .fd = -1 };

	memcpy(transfer.result.address, job->address, MAG_ADDR_MAX);
	transfer.deadline_us = clk_now_us() + rpc->settings.fetch_timeout_us;
	transfer.result.err = rpc_connect(&transfer);
	if (!transfer.result.err && !rpc_fetch_edits(rpc, job, &transfer))
		transfer.result.err = rpc_fetch_text(rpc, job, &transfer);
	if (transfer.client)
		clnt_destroy(transfer.client);
	if (transfer.fd >= 0)
		close(transfer.fd);
	if (transfer.result.err) {
		free(transfer.result.text);
		transfer.result.text = NULL;
		transfer.result.len = 0;
		cnt_add(CNT_RPC_FETCH_FAILED, 1);
	} else {
		cnt_add(CNT_RPC_FETCHED, 1);
	}
	rpc->handlers.fetched(rpc->handlers.ctx, &transfer.result);
}

/*
 * Connects, at most until the deadline.  The library's own connect has no
 * timeout, and an unreachable peer would block the thread for minutes.
 */
static int rpc_connect(struct rpc_transfer *transfer)
{
	struct sockaddr_in address;
	int flags;

	if (rpc_parse_address(transfer->result.address, &address))
		return RPC_E_ADDRESS;
	transfer->fd =
		socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (transfer->fd < 0)
		return RPC_E_SOCKET;
	if (connect(transfer->fd, (struct sockaddr *)&address,
		    sizeof(address)) &&
	    (errno != EINPROGRESS || rpc_wait_connected(transfer)))
		return RPC_E_UNREACHABLE;
	flags = fcntl(transfer->fd, F_GETFL);
	fcntl(transfer->fd, F_SETFL, flags & ~O_NONBLOCK);
	transfer->client = clnttcp_create(&address, MAG_X_PROGRAM,
					  MAG_X_VERSION, &transfer->fd, 0, 0);
	return transfer->client ? RPC_OK : RPC_E_UNREACHABLE;
}

static int rpc_wait_connected(const struct rpc_transfer *transfer)
{
	struct pollfd fd = { .fd = transfer->fd, .events = POLLOUT };
	int64_t remaining_us = transfer->deadline_us - clk_now_us();
	socklen_t len = sizeof(int);
	int err = 0;

	if (remaining_us <= 0 ||
	    poll(&fd, 1, (int)(remaining_us / MAG_US_PER_MS) + 1) != 1)
		return RPC_E_UNREACHABLE;
	getsockopt(transfer->fd, SOL_SOCKET, SO_ERROR, &err, &len);
	return err ? RPC_E_UNREACHABLE : RPC_OK;
}

/*
 * Requests edits, which are some hundred bytes while the text is megabytes.
 * Returns false if there are none that lead to a sufficient revision, also if
 * the peer runs a version without edits; the complete text is then fetched.
 */
static bool rpc_fetch_edits(struct rpc *rpc, const struct rpc_job *job,
			    struct rpc_transfer *transfer)
{
	mag_x_fetch request = { .format = PEER_VERSION,
				.cluster = rpc->cluster,
				.revision = job->base_revision };
	mag_x_piece piece = { 0 };
	bool ok;

	if (job->base_revision == 0)
		return false;
	ok = clnt_call(transfer->client, MAG_X_EDITS,
		       (xdrproc_t)xdr_mag_x_fetch, (caddr_t)&request,
		       (xdrproc_t)xdr_mag_x_piece, (caddr_t)&piece,
		       rpc_time_left(transfer)) == RPC_SUCCESS &&
	     piece.revision >= job->min_revision &&
	     piece.total == piece.bytes.bytes_len &&
	     rpc_add_piece(rpc, transfer, &piece) == RPC_OK;
	xdr_free((xdrproc_t)xdr_mag_x_piece, (char *)&piece);
	if (ok) {
		transfer->result.base_revision = job->base_revision;
		return true;
	}
	free(transfer->result.text);
	transfer->result.text = NULL;
	transfer->result.len = 0;
	transfer->started = false;
	return false;
}

/* Requests pieces until the text is complete. */
static int rpc_fetch_text(struct rpc *rpc, const struct rpc_job *job,
			  struct rpc_transfer *transfer)
{
	mag_x_fetch request = { .format = PEER_VERSION,
				.cluster = rpc->cluster,
				.revision = job->min_revision };
	int err = RPC_OK;

	do {
		mag_x_piece piece = { 0 };

		request.offset = (u_int)transfer->result.len;
		if (clk_now_us() >= transfer->deadline_us ||
		    atomic_load(&rpc->stopping))
			return RPC_E_UNREACHABLE;
		if (clnt_call(transfer->client, MAG_X_FETCH,
			      (xdrproc_t)xdr_mag_x_fetch, (caddr_t)&request,
			      (xdrproc_t)xdr_mag_x_piece, (caddr_t)&piece,
			      rpc_time_left(transfer)) != RPC_SUCCESS)
			return RPC_E_UNREACHABLE;
		err = rpc_add_piece(rpc, transfer, &piece);
		xdr_free((xdrproc_t)xdr_mag_x_piece, (char *)&piece);
		request.revision = transfer->result.revision;
	} while (!err && transfer->result.len < transfer->total);
	return err;
}

/*
 * Appends one piece.  The text may change while it is fetched.  Pieces of two
 * revisions would form a set that was never published, so a piece of another
 * revision is an error.
 */
static int rpc_add_piece(struct rpc *rpc, struct rpc_transfer *transfer,
			 const mag_x_piece *piece)
{
	char *text;

	if (piece->status != 0)
		return RPC_E_NO_REVISION;
	if (!transfer->started) {
		transfer->started = true;
		transfer->result.revision = piece->revision;
		transfer->total = piece->total;
	}
	if (piece->revision != transfer->result.revision ||
	    piece->total != transfer->total ||
	    piece->total > rpc->settings.fetch_bytes_max ||
	    piece->bytes.bytes_len > transfer->total - transfer->result.len ||
	    (piece->bytes.bytes_len == 0 &&
	     transfer->total > transfer->result.len))
		return RPC_E_REPLY;
	text = realloc(transfer->result.text,
		       transfer->result.len + piece->bytes.bytes_len + 1);
	if (!text)
		return RPC_E_MEMORY;
	memcpy(text + transfer->result.len, piece->bytes.bytes_val,
	       piece->bytes.bytes_len);
	transfer->result.text = text;
	transfer->result.len += piece->bytes.bytes_len;
	text[transfer->result.len] = '\0';
	return RPC_OK;
}

static struct timeval rpc_time_left(const struct rpc_transfer *transfer)
{
	int64_t remaining_us = transfer->deadline_us - clk_now_us();
	struct timeval remaining = { 0, 1 };

	if (remaining_us > 0) {
		remaining.tv_sec = remaining_us / MAG_US_PER_S;
		remaining.tv_usec = remaining_us % MAG_US_PER_S;
	}
	return remaining;
}
