#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <urcu/list.h>

#include "pf_async.h"

#define PF_ASYNC_THREADS_MAX 64

struct pf_async_item {
	struct cds_list_head node;
	struct kv_call call;
};

/* A queue and the threads that empty it. */
struct pf_async_lane {
	struct pf_async *async;
	pthread_mutex_t lock;
	pthread_cond_t ready;
	bool stopped;
	struct cds_list_head queue;
	pthread_t threads[PF_ASYNC_THREADS_MAX];
	int thread_count;
};

enum pf_async_lane_id {
	PF_LANE_CALLS,
	PF_LANE_WATCHES, /* apart, as a watch keeps its thread for long */
	PF_LANE_COUNT
};

struct pf_async {
	struct kv_backend backend;
	pf_async_fn fn;
	void *ctx;
	struct pf_async_lane lanes[PF_LANE_COUNT];
};

static int pf_async_start_lane(struct pf_async *async, enum pf_async_lane_id id,
			       int threads);
static void pf_async_stop_lane(struct pf_async_lane *lane);
static void *pf_async_run(void *arg);
static struct pf_async_item *pf_async_take(struct pf_async_lane *lane);

/*
 * Starts a pool of threads over a blocking call table, and a thread of its
 * own for watches.  Each reply goes to fn.  Returns NULL if a thread can't
 * be started.
 */
struct pf_async *pf_async_start(const struct kv_backend *backend, int threads,
				pf_async_fn fn, void *ctx)
{
	struct pf_async *async = calloc(1, sizeof(*async));

	if (!async)
		return NULL;
	async->backend = *backend;
	async->fn = fn;
	async->ctx = ctx;
	if (pf_async_start_lane(async, PF_LANE_CALLS, threads) < 0 ||
	    pf_async_start_lane(async, PF_LANE_WATCHES, 1) < 0) {
		pf_async_stop(async);
		return NULL;
	}
	return async;
}

/*
 * Queues a call, whose value is freed once the call has ended.  Returns 0 or
 * a negative enum pf_async_err, in which case the value stays the caller's
 * and no reply will come.
 */
int pf_async_post(struct pf_async *async, const struct kv_call *call)
{
	enum pf_async_lane_id id =
		call->op == KV_WATCH ? PF_LANE_WATCHES : PF_LANE_CALLS;
	struct pf_async_lane *lane = &async->lanes[id];
	struct pf_async_item *item = malloc(sizeof(*item));
	int err = PF_ASYNC_OK;

	if (!item)
		return PF_ASYNC_E_MEMORY;
	item->call = *call;
	pthread_mutex_lock(&lane->lock);
	if (lane->stopped) {
		err = PF_ASYNC_E_STOPPED;
	} else {
		cds_list_add_tail(&item->node, &lane->queue);
		pthread_cond_signal(&lane->ready);
	}
	pthread_mutex_unlock(&lane->lock);
	if (err)
		free(item);
	return err;
}

/*
 * Takes no more calls, carries out those that are queued, each bounded by
 * its deadline, waits for the threads and frees the pool.  A watch under way
 * ends early only if the client below is interrupted first.
 */
void pf_async_stop(struct pf_async *async)
{
	int id;

	if (!async)
		return;
	for (id = 0; id < PF_LANE_COUNT; id++)
		pf_async_stop_lane(&async->lanes[id]);
	free(async);
}

/* Starts the threads of one queue; returns 0 or PF_ASYNC_E_MEMORY. */
static int pf_async_start_lane(struct pf_async *async, enum pf_async_lane_id id,
			       int threads)
{
	struct pf_async_lane *lane = &async->lanes[id];
	int i;

	lane->async = async;
	pthread_mutex_init(&lane->lock, NULL);
	pthread_cond_init(&lane->ready, NULL);
	CDS_INIT_LIST_HEAD(&lane->queue);
	for (i = 0; i < threads && i < PF_ASYNC_THREADS_MAX; i++) {
		if (pthread_create(&lane->threads[i], NULL, pf_async_run, lane))
			return PF_ASYNC_E_MEMORY;
		lane->thread_count++;
	}
	return PF_ASYNC_OK;
}

/* Stops a queue, also one whose threads were started only in part. */
static void pf_async_stop_lane(struct pf_async_lane *lane)
{
	int i;

	if (!lane->async)
		return;
	pthread_mutex_lock(&lane->lock);
	lane->stopped = true;
	pthread_cond_broadcast(&lane->ready);
	pthread_mutex_unlock(&lane->lock);
	for (i = 0; i < lane->thread_count; i++)
		pthread_join(lane->threads[i], NULL);
	pthread_cond_destroy(&lane->ready);
	pthread_mutex_destroy(&lane->lock);
}

/* A thread of the pool: carries out calls until the pool is stopped. */
static void *pf_async_run(void *arg)
{
	struct pf_async_lane *lane = arg;
	struct pf_async *async = lane->async;
	struct pf_async_item *item;
	struct kv_reply reply;

	while ((item = pf_async_take(lane))) {
		memset(&reply, 0, sizeof(reply));
		async->backend.call(async->backend.ctx, &item->call, &reply);
		free(item->call.value);
		async->fn(async->ctx, &reply);
		free(item);
	}
	return NULL;
}

/* Waits for the next call; NULL once stopped with nothing queued. */
static struct pf_async_item *pf_async_take(struct pf_async_lane *lane)
{
	struct pf_async_item *item = NULL;

	pthread_mutex_lock(&lane->lock);
	while (cds_list_empty(&lane->queue) && !lane->stopped)
		pthread_cond_wait(&lane->ready, &lane->lock);
	if (!cds_list_empty(&lane->queue)) {
		item = cds_list_first_entry(&lane->queue, struct pf_async_item,
					    node);
		cds_list_del(&item->node);
	}
	pthread_mutex_unlock(&lane->lock);
	return item;
}
