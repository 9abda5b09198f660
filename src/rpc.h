#ifndef RPC_H
#define RPC_H

/*
 * Transport between instances: heartbeats as datagrams without a reply, and
 * ONC RPC over TCP to fetch the configuration from a peer.  Both use the same
 * port number, without a port mapper.  No function except rpc_stop blocks its
 * caller.
 */

#include <stddef.h>
#include <stdint.h>

#include "mag.h"
#include "peer.h"

struct rpc;

enum rpc_error {
	RPC_OK = 0,
	RPC_E_MEMORY = -1,
	RPC_E_ADDRESS = -2, /* not "ip:port" */
	RPC_E_SOCKET = -3,
	RPC_E_THREAD = -4,
	RPC_E_FULL = -5,	/* too many fetches are queued */
	RPC_E_UNREACHABLE = -6, /* the peer did not respond in time */
	RPC_E_REPLY = -7, /* a message that is invalid or exceeds a bound */
	RPC_E_NO_REVISION = -8, /* the peer lacks the revision */
	RPC_E_SEND = -9,
	RPC_E_BUSY = -10, /* the address may be available later */
};

struct rpc_settings {
	char cluster[MAG_NAME_MAX];
	char listen[MAG_ADDR_MAX]; /* "ip:port" */
	uint32_t fetch_threads;	   /* 0: 2 */
	uint32_t fetch_bytes_max;  /* 0: 16 MiB */
	int64_t fetch_timeout_us;  /* for a whole fetch; 0: 5 s */
};

/* The result of a fetch.  The receiver frees text. */
struct rpc_fetched {
	int err;
	char address[MAG_ADDR_MAX];
	uint64_t revision;
	/* The revision that the edits in text apply to; 0: text is complete. */
	uint64_t base_revision;
	char *text;
	size_t len;
};

/*
 * Callbacks of the owner.  Each is called on a thread of this module and must
 * only queue or copy, not block.
 */
struct rpc_handlers {
	void (*message)(void *ctx, const struct peer_msg *msg);
	/*
	 * Returns a copy of the configuration text in force if its revision is
	 * at least min_revision.  Returns 0, or negative if there is none.
	 */
	int (*serve)(void *ctx, uint64_t min_revision, uint64_t *revision,
		     char **text, size_t *len);
	/*
	 * Returns the edits that lead from base_revision to the revision in
	 * force.  Returns 0, or negative if there are none and the peer has to
	 * fetch the complete text.  NULL: there are never any.
	 */
	int (*edits)(void *ctx, uint64_t base_revision, uint64_t *revision,
		     char **text, size_t *len);
	void (*fetched)(void *ctx, const struct rpc_fetched *fetched);
	void *ctx;
};

int rpc_start(const struct rpc_settings *settings,
	      const struct rpc_handlers *handlers, struct rpc **rpc);
void rpc_stop(struct rpc *rpc);
int rpc_send(struct rpc *rpc, const char *address, const struct peer_msg *msg);
int rpc_fetch(struct rpc *rpc, const char *address, uint64_t min_revision,
	      uint64_t base_revision);

#endif /* RPC_H */
