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

/* Fetches the configuration from peers, on a few threads. */

/* One fetch as far as it got. */
struct rpc_transfer {
	struct rpc_fetched out;
	CLIENT *client;
	int fd;
	int64_t deadline_us;
	size_t total;
	bool started;
};

static void *rpc_fetcher(void *arg);
static struct rpc_job *rpc_next_job(struct rpc *rpc);
static void rpc_run_job(struct rpc *rpc, const struct rpc_job *job);
static int rpc_connect(struct rpc_transfer *part);
static int rpc_wait_connected(const struct rpc_transfer *part);
static int rpc_fetch_text(struct rpc *rpc, const struct rpc_job *job,
			  struct rpc_transfer *part);
static bool rpc_fetch_edits(struct rpc *rpc, const struct rpc_job *job,
			    struct rpc_transfer *part);
static int rpc_add_piece(struct rpc *rpc, struct rpc_transfer *part,
			 const mag_x_piece *piece);
static struct timeval rpc_time_left(const struct rpc_transfer *part);

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

/* Ends the threads; what still waits is dropped. */
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
 * Asks for the configuration that a peer has in force, if its revision is at
 * least this one.  With the revision that is held already (have, else 0) edits
 * to it come if the peer has them.  The end comes to the handler fetched.
 */
int rpc_fetch(struct rpc *rpc, const char *address, uint64_t at_least,
	      uint64_t have)
{
	struct rpc_job *job = calloc(1, sizeof(*job));
	int err = RPC_OK;

	if (!job)
		return RPC_E_MEMORY;
	job->at_least = at_least;
	job->base_revision = have;
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

/* Waits for a job; NULL when the owner stops. */
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

/* Fetches, and tells how it ended. */
static void rpc_run_job(struct rpc *rpc, const struct rpc_job *job)
{
	struct rpc_transfer part = { .fd = -1 };

	memcpy(part.out.address, job->address, MAG_ADDR_MAX);
	part.deadline_us = clk_now_us() + rpc->settings.fetch_timeout_us;
	part.out.err = rpc_connect(&part);
	if (!part.out.err && !rpc_fetch_edits(rpc, job, &part))
		part.out.err = rpc_fetch_text(rpc, job, &part);
	if (part.client)
		clnt_destroy(part.client);
	if (part.fd >= 0)
		close(part.fd);
	if (part.out.err) {
		free(part.out.text);
		part.out.text = NULL;
		part.out.len = 0;
		cnt_add(CNT_RPC_FETCH_FAILED, 1);
	} else {
		cnt_add(CNT_RPC_FETCHED, 1);
	}
	rpc->handlers.fetched(rpc->handlers.ctx, &part.out);
}

/*
 * Connects, at most until the deadline.  The library's own connect has none,
 * and a peer behind a cut link would hold the thread for minutes.
 */
static int rpc_connect(struct rpc_transfer *part)
{
	struct sockaddr_in address;
	int flags;

	if (rpc_parse_address(part->out.address, &address))
		return RPC_E_ADDRESS;
	part->fd =
		socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (part->fd < 0)
		return RPC_E_SOCKET;
	if (connect(part->fd, (struct sockaddr *)&address, sizeof(address)) &&
	    (errno != EINPROGRESS || rpc_wait_connected(part)))
		return RPC_E_UNREACHABLE;
	flags = fcntl(part->fd, F_GETFL);
	fcntl(part->fd, F_SETFL, flags & ~O_NONBLOCK);
	part->client = clnttcp_create(&address, MAG_X_PROGRAM, MAG_X_VERSION,
				      &part->fd, 0, 0);
	return part->client ? RPC_OK : RPC_E_UNREACHABLE;
}

static int rpc_wait_connected(const struct rpc_transfer *part)
{
	struct pollfd fd = { .fd = part->fd, .events = POLLOUT };
	int64_t left_us = part->deadline_us - clk_now_us();
	socklen_t len = sizeof(int);
	int err = 0;

	if (left_us <= 0 ||
	    poll(&fd, 1, (int)(left_us / MAG_US_PER_MS) + 1) != 1)
		return RPC_E_UNREACHABLE;
	getsockopt(part->fd, SOL_SOCKET, SO_ERROR, &err, &len);
	return err ? RPC_E_UNREACHABLE : RPC_OK;
}

/*
 * Asks for edits, which are some hundred bytes where the text is megabytes.
 * False if there are none that are new enough; the whole text is fetched then,
 * also from a peer of a version that knows no edits.
 */
static bool rpc_fetch_edits(struct rpc *rpc, const struct rpc_job *job,
			    struct rpc_transfer *part)
{
	mag_x_fetch ask = { .format = PEER_VERSION,
			    .cluster = rpc->cluster,
			    .revision = job->base_revision };
	mag_x_piece piece = { 0 };
	bool got;

	if (job->base_revision == 0)
		return false;
	got = clnt_call(part->client, MAG_X_EDITS, (xdrproc_t)xdr_mag_x_fetch,
			(caddr_t)&ask, (xdrproc_t)xdr_mag_x_piece,
			(caddr_t)&piece, rpc_time_left(part)) == RPC_SUCCESS &&
	      piece.revision >= job->at_least &&
	      piece.total == piece.bytes.bytes_len &&
	      rpc_add_piece(rpc, part, &piece) == RPC_OK;
	xdr_free((xdrproc_t)xdr_mag_x_piece, (char *)&piece);
	if (got) {
		part->out.base_revision = job->base_revision;
		return true;
	}
	free(part->out.text);
	part->out.text = NULL;
	part->out.len = 0;
	part->started = false;
	return false;
}

/* Asks for piece after piece until the text is whole. */
static int rpc_fetch_text(struct rpc *rpc, const struct rpc_job *job,
			  struct rpc_transfer *part)
{
	mag_x_fetch ask = { .format = PEER_VERSION,
			    .cluster = rpc->cluster,
			    .revision = job->at_least };
	int err = RPC_OK;

	do {
		mag_x_piece piece = { 0 };

		ask.offset = (u_int)part->out.len;
		if (clk_now_us() >= part->deadline_us ||
		    atomic_load(&rpc->stopping))
			return RPC_E_UNREACHABLE;
		if (clnt_call(part->client, MAG_X_FETCH,
			      (xdrproc_t)xdr_mag_x_fetch, (caddr_t)&ask,
			      (xdrproc_t)xdr_mag_x_piece, (caddr_t)&piece,
			      rpc_time_left(part)) != RPC_SUCCESS)
			return RPC_E_UNREACHABLE;
		err = rpc_add_piece(rpc, part, &piece);
		xdr_free((xdrproc_t)xdr_mag_x_piece, (char *)&piece);
		ask.revision = part->out.revision;
	} while (!err && part->out.len < part->total);
	return err;
}

/*
 * Adds one piece.  The text may change while it is fetched: pieces of two
 * revisions would make a set that nobody published, so they don't mix.
 */
static int rpc_add_piece(struct rpc *rpc, struct rpc_transfer *part,
			 const mag_x_piece *piece)
{
	char *text;

	if (piece->status != 0)
		return RPC_E_NO_REVISION;
	if (!part->started) {
		part->started = true;
		part->out.revision = piece->revision;
		part->total = piece->total;
	}
	if (piece->revision != part->out.revision ||
	    piece->total != part->total ||
	    piece->total > rpc->settings.fetch_bytes_max ||
	    piece->bytes.bytes_len > part->total - part->out.len ||
	    (piece->bytes.bytes_len == 0 && part->total > part->out.len))
		return RPC_E_REPLY;
	text = realloc(part->out.text,
		       part->out.len + piece->bytes.bytes_len + 1);
	if (!text)
		return RPC_E_MEMORY;
	memcpy(text + part->out.len, piece->bytes.bytes_val,
	       piece->bytes.bytes_len);
	part->out.text = text;
	part->out.len += piece->bytes.bytes_len;
	text[part->out.len] = '\0';
	return RPC_OK;
}

static struct timeval rpc_time_left(const struct rpc_transfer *part)
{
	int64_t left_us = part->deadline_us - clk_now_us();
	struct timeval left = { 0, 1 };

	if (left_us > 0) {
		left.tv_sec = left_us / MAG_US_PER_S;
		left.tv_usec = left_us % MAG_US_PER_S;
	}
	return left;
}
