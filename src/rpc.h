#ifndef RPC_H
#define RPC_H

/*
 * The shell between instances: heartbeats as datagrams without an answer,
 * and ONC RPC over TCP to fetch the configuration from a peer.  One port for
 * both, no port mapper.  Nothing here blocks the caller.
 */

#include <stddef.h>
#include <stdint.h>

#include "mag.h"
#include "peer.h"

struct rpc;

enum rpc_error {
	RPC_OK = 0,
	RPC_E_MEMORY = -1,
	RPC_E_ADDRESS = -2, /* no "ip:port" */
	RPC_E_SOCKET = -3,
	RPC_E_THREAD = -4,
	RPC_E_FULL = -5,	/* too many fetches wait */
	RPC_E_UNREACHABLE = -6, /* the peer can't be reached in time */
	RPC_E_REPLY = -7,	/* an answer that breaks a rule or a bound */
	RPC_E_NO_REVISION = -8, /* the peer has no such revision */
	RPC_E_SEND = -9,
};

struct rpc_settings {
	char cluster[MAG_NAME_MAX];
	char listen[MAG_ADDR_MAX]; /* "ip:port" */
	uint32_t fetch_threads;	   /* 0: 2 */
	uint32_t fetch_bytes_max;  /* 0: 16 MiB */
	int64_t fetch_timeout_us;  /* for a whole fetch; 0: 5 s */
};

/* How a fetch ended.  The receiver frees text. */
struct rpc_fetched {
	int err;
	char address[MAG_ADDR_MAX];
	uint64_t revision;
	uint64_t base_revision; /* text holds edits to this revision; 0: it is
				   whole */
	char *text;
	size_t len;
};

/*
 * What the owner does with what comes.  Each is called on a thread of this
 * module and must only queue or copy.
 */
struct rpc_handlers {
	void (*message)(void *ctx, const struct peer_msg *msg);
	/*
	 * Gives a copy of the text in force if its revision is at least the
	 * one asked for; returns 0, or negative if it isn't there.
	 */
	int (*serve)(void *ctx, uint64_t at_least, uint64_t *revision,
		     char **text, size_t *len);
	/*
	 * Gives edits that lead from a revision to the one in force; returns
	 * 0, or negative if there are none and the whole text is to be asked
	 * for.  NULL: never any.
	 */
	int (*edits)(void *ctx, uint64_t have, uint64_t *revision, char **text,
		     size_t *len);
	void (*fetched)(void *ctx, const struct rpc_fetched *fetched);
	void *ctx;
};

int rpc_start(const struct rpc_settings *settings,
	      const struct rpc_handlers *handlers, struct rpc **rpc);
void rpc_stop(struct rpc *rpc);
int rpc_send(struct rpc *rpc, const char *address, const struct peer_msg *msg);
int rpc_fetch(struct rpc *rpc, const char *address, uint64_t at_least,
	      uint64_t have);

#endif /* RPC_H */
