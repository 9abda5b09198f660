#ifndef RPC_INT_H
#define RPC_INT_H

/* Internal declarations of the rpc modules. */

#include <netinet/in.h>
#include <pthread.h>
#include <stdatomic.h>
#include <urcu/list.h>

#include "rpc.h"

#define RPC_FETCH_THREADS_MAX 8
#define RPC_FETCH_WAITING_MAX 16
#define RPC_POLL_MS	      200 /* bounds the time to notice a stop */

struct rpc_job {
	struct cds_list_head node;
	char address[MAG_ADDR_MAX];
	uint64_t min_revision;
	uint64_t base_revision; /* that edits apply to; 0: complete text */
};

struct rpc {
	struct rpc_settings settings;
	struct rpc_handlers handlers;
	uint32_t cluster;
	int udp;
	int tcp;
	atomic_bool stopping;
	atomic_uint xid;
	pthread_t receiver;
	pthread_t server;
	pthread_t fetchers[RPC_FETCH_THREADS_MAX];
	bool receiving;
	bool serving;
	uint32_t fetcher_count;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	struct cds_list_head jobs;
	uint32_t job_count;
};

int rpc_parse_address(const char *text, struct sockaddr_in *address);
int rpc_serve_start(struct rpc *rpc);
void rpc_serve_stop(struct rpc *rpc);
int rpc_fetch_start(struct rpc *rpc);
void rpc_fetch_stop(struct rpc *rpc);

#endif /* RPC_INT_H */
