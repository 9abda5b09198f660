#include <pthread.h>
#include <stdlib.h>
#include <time.h>

#include <urcu/list.h>

#include "clk.h"
#include "loop.h"

#define LOOP_NS_PER_US 1000
/* Longest sleep, so that a missed deadline can't delay the loop forever. */
#define LOOP_SLEEP_MAX_US MAG_US_PER_S

struct loop_event {
	struct cds_list_head node;
	struct inst_event event;
};

struct loop_pending_query {
	struct cds_list_head node;
	loop_query_fn fn;
	void *ctx;
	bool done;
};

struct loop {
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t wake; /* signalled when there is work for the loop */
	pthread_cond_t queries_done; /* broadcast when queries have run */
	struct cds_list_head events;
	struct cds_list_head queries;
	struct inst *inst;
	loop_deliver_fn deliver;
	void *ctx;
	bool started;
	bool stopping;
};

static void *loop_main(void *arg);
static bool loop_collect(struct loop *loop);
static void loop_run_queries(struct loop *loop);
static void loop_wait(struct loop *loop);
static void loop_deliver_all(struct loop *loop);

/* Creates a loop with a new instance; NULL if out of memory. */
struct loop *loop_new(const struct inst_settings *settings,
		      loop_deliver_fn deliver, void *ctx)
{
	struct loop *loop = calloc(1, sizeof(*loop));
	pthread_condattr_t attr;

	if (!loop)
		return NULL;
	loop->inst = inst_new(settings, clk_now_us());
	if (!loop->inst) {
		free(loop);
		return NULL;
	}
	loop->deliver = deliver;
	loop->ctx = ctx;
	CDS_INIT_LIST_HEAD(&loop->events);
	CDS_INIT_LIST_HEAD(&loop->queries);
	pthread_mutex_init(&loop->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&loop->wake, &attr);
	pthread_condattr_destroy(&attr);
	pthread_cond_init(&loop->queries_done, NULL);
	return loop;
}

/* Starts the thread.  Returns 0 or LOOP_E_THREAD. */
int loop_start(struct loop *loop)
{
	if (pthread_create(&loop->thread, NULL, loop_main, loop))
		return LOOP_E_THREAD;
	loop->started = true;
	return LOOP_OK;
}

/*
 * Queues an event for the core; may be called from any thread.  The core takes
 * ownership of what the event points to.  Returns 0 or LOOP_E_MEMORY.
 */
int loop_post(struct loop *loop, const struct core_event *event)
{
	struct inst_event wrapped = { .type = INST_EV_CORE };

	wrapped.core = *event;
	return loop_post_inst(loop, &wrapped);
}

/* Like loop_post, for any event of the instance. */
int loop_post_inst(struct loop *loop, const struct inst_event *event)
{
	struct loop_event *node = malloc(sizeof(*node));

	if (!node)
		return LOOP_E_MEMORY;
	node->event = *event;
	pthread_mutex_lock(&loop->lock);
	cds_list_add_tail(&node->node, &loop->events);
	pthread_cond_signal(&loop->wake);
	pthread_mutex_unlock(&loop->lock);
	return LOOP_OK;
}

/* Runs fn on the loop's thread and waits until it returns. */
void loop_query(struct loop *loop, loop_query_fn fn, void *ctx)
{
	struct loop_pending_query query = { .fn = fn, .ctx = ctx };

	pthread_mutex_lock(&loop->lock);
	cds_list_add_tail(&query.node, &loop->queries);
	pthread_cond_signal(&loop->wake);
	while (!query.done)
		pthread_cond_wait(&loop->queries_done, &loop->lock);
	pthread_mutex_unlock(&loop->lock);
}

/* Ends the thread; events posted later are queued but not handled. */
void loop_stop(struct loop *loop)
{
	if (!loop || !loop->started)
		return;
	pthread_mutex_lock(&loop->lock);
	loop->stopping = true;
	pthread_cond_signal(&loop->wake);
	pthread_mutex_unlock(&loop->lock);
	pthread_join(loop->thread, NULL);
	loop->started = false;
}

/* Stops the loop if it is running, and frees it and its instance. */
void loop_free(struct loop *loop)
{
	struct loop_event *event, *next;

	if (!loop)
		return;
	loop_stop(loop);
	cds_list_for_each_entry_safe (event, next, &loop->events, node)
		free(event);
	inst_free(loop->inst);
	pthread_cond_destroy(&loop->wake);
	pthread_cond_destroy(&loop->queries_done);
	pthread_mutex_destroy(&loop->lock);
	free(loop);
}

static void *loop_main(void *arg)
{
	struct loop *loop = arg;

	while (loop_collect(loop)) {
		inst_tick(loop->inst, clk_now_us());
		loop_deliver_all(loop);
	}
	return NULL;
}

/* Waits for work, passes events to the instance; false when stopping. */
static bool loop_collect(struct loop *loop)
{
	struct loop_event *event;
	bool stopping;

	pthread_mutex_lock(&loop->lock);
	if (cds_list_empty(&loop->events) && cds_list_empty(&loop->queries) &&
	    !loop->stopping)
		loop_wait(loop);
	while (!cds_list_empty(&loop->events)) {
		event = cds_list_first_entry(&loop->events, struct loop_event,
					     node);
		cds_list_del(&event->node);
		inst_post(loop->inst, &event->event, clk_now_us());
		free(event);
	}
	loop_run_queries(loop);
	stopping = loop->stopping;
	pthread_mutex_unlock(&loop->lock);
	return !stopping;
}

/* Runs the pending queries; called with the lock held. */
static void loop_run_queries(struct loop *loop)
{
	struct loop_pending_query *query;

	while (!cds_list_empty(&loop->queries)) {
		query = cds_list_first_entry(&loop->queries,
					     struct loop_pending_query, node);
		cds_list_del(&query->node);
		query->fn(loop->inst, query->ctx);
		query->done = true;
	}
	pthread_cond_broadcast(&loop->queries_done);
}

/* Waits for the instance's next deadline, an event or a query. */
static void loop_wait(struct loop *loop)
{
	int64_t latest = clk_now_us() + LOOP_SLEEP_MAX_US;
	int64_t due = inst_next_deadline(loop->inst);
	struct timespec until;

	if (due > latest)
		due = latest;
	until.tv_sec = due / MAG_US_PER_S;
	until.tv_nsec = due % MAG_US_PER_S * LOOP_NS_PER_US;
	pthread_cond_timedwait(&loop->wake, &loop->lock, &until);
}

static void loop_deliver_all(struct loop *loop)
{
	struct inst_action action;

	while (inst_next_action(loop->inst, &action))
		loop->deliver(loop->ctx, &action);
}
