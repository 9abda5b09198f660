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

/* A queue and the threads that process it. */
struct pf_async_queue {
	struct pf_async *async;
	pthread_mutex_t lock;
	pthread_cond_t ready;
	bool stopped;
	struct cds_list_head items;
	pthread_t threads[PF_ASYNC_THREADS_MAX];
	int thread_count;
};

enum pf_async_queue_id {
	PF_QUEUE_CALLS,
	PF_QUEUE_WATCHES, /* separate, as a watch blocks its thread for long */
	PF_QUEUE_COUNT
};

struct pf_async {
	struct kv_backend backend;
	pf_async_fn fn;
	void *ctx;
	struct pf_async_queue queues[PF_QUEUE_COUNT];
};

static int pf_async_start_queue(struct pf_async *async,
				enum pf_async_queue_id id, int threads);
static void pf_async_stop_queue(struct pf_async_queue *queue);
static void *pf_async_thread(void *arg);
static struct pf_async_item *pf_async_next(struct pf_async_queue *queue);

/*
 * Starts a pool of threads for a blocking kv_backend, plus one thread for
 * watches.  Each reply is passed to fn.  Returns NULL if out of memory or a
 * thread can't be started.
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
	if (pf_async_start_queue(async, PF_QUEUE_CALLS, threads) < 0 ||
	    pf_async_start_queue(async, PF_QUEUE_WATCHES, 1) < 0) {
		pf_async_stop(async);
		return NULL;
	}
	return async;
}

/*
 * Queues a call and frees its value when the call has ended.  Returns 0 or a
 * negative enum pf_async_err; on an error the caller still owns the value and
 * there is no reply.
 */
int pf_async_post(struct pf_async *async, const struct kv_call *call)
{
	enum pf_async_queue_id id =
		call->op == KV_WATCH ? PF_QUEUE_WATCHES : PF_QUEUE_CALLS;
	struct pf_async_queue *queue = &async->queues[id];
	struct pf_async_item *item = malloc(sizeof(*item));
	int err = PF_ASYNC_OK;

	if (!item)
		return PF_ASYNC_E_MEMORY;
	item->call = *call;
	pthread_mutex_lock(&queue->lock);
	if (queue->stopped) {
		err = PF_ASYNC_E_STOPPED;
	} else {
		cds_list_add_tail(&item->node, &queue->items);
		pthread_cond_signal(&queue->ready);
	}
	pthread_mutex_unlock(&queue->lock);
	if (err)
		free(item);
	return err;
}

/*
 * Rejects further calls, executes the queued ones, each limited by its
 * deadline, waits for the threads and frees the pool.  A watch in progress ends
 * early only if the backend's client was interrupted before (pf_interrupt).
 */
void pf_async_stop(struct pf_async *async)
{
	int id;

	if (!async)
		return;
	for (id = 0; id < PF_QUEUE_COUNT; id++)
		pf_async_stop_queue(&async->queues[id]);
	free(async);
}

/* Starts the threads of one queue.  Returns 0 or PF_ASYNC_E_MEMORY. */
static int pf_async_start_queue(struct pf_async *async,
				enum pf_async_queue_id id, int threads)
{
	struct pf_async_queue *queue = &async->queues[id];
	int i;

	queue->async = async;
	pthread_mutex_init(&queue->lock, NULL);
	pthread_cond_init(&queue->ready, NULL);
	CDS_INIT_LIST_HEAD(&queue->items);
	for (i = 0; i < threads && i < PF_ASYNC_THREADS_MAX; i++) {
		if (pthread_create(&queue->threads[i], NULL, pf_async_thread,
				   queue))
			return PF_ASYNC_E_MEMORY;
		queue->thread_count++;
	}
	return PF_ASYNC_OK;
}

/* Stops a queue, even if only some of its threads were started. */
static void pf_async_stop_queue(struct pf_async_queue *queue)
{
	int i;

	if (!queue->async)
		return;
	pthread_mutex_lock(&queue->lock);
	queue->stopped = true;
	pthread_cond_broadcast(&queue->ready);
	pthread_mutex_unlock(&queue->lock);
	for (i = 0; i < queue->thread_count; i++)
		pthread_join(queue->threads[i], NULL);
	pthread_cond_destroy(&queue->ready);
	pthread_mutex_destroy(&queue->lock);
}

/* Main function of a pool thread: executes calls until the pool stops. */
static void *pf_async_thread(void *arg)
{
	struct pf_async_queue *queue = arg;
	struct pf_async *async = queue->async;
	struct pf_async_item *item;
	struct kv_reply reply;

	while ((item = pf_async_next(queue))) {
		memset(&reply, 0, sizeof(reply));
		async->backend.call(async->backend.ctx, &item->call, &reply);
		free(item->call.value);
		async->fn(async->ctx, &reply);
		free(item);
	}
	return NULL;
}

/* Waits for the next call; NULL if stopped and the queue is empty. */
static struct pf_async_item *pf_async_next(struct pf_async_queue *queue)
{
	struct pf_async_item *item = NULL;

	pthread_mutex_lock(&queue->lock);
	while (cds_list_empty(&queue->items) && !queue->stopped)
		pthread_cond_wait(&queue->ready, &queue->lock);
	if (!cds_list_empty(&queue->items)) {
		item = cds_list_first_entry(&queue->items, struct pf_async_item,
					    node);
		cds_list_del(&item->node);
	}
	pthread_mutex_unlock(&queue->lock);
	return item;
}
