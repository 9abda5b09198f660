#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <urcu.h>

#include "front_int.h"

#define FRONT_RETRY_AFTER_S 1
#define FRONT_DRAIN_POLL_US 10000

static void *on_thread_start(const struct mg_context *ctx, int type);
static void on_thread_end(const struct mg_context *ctx, int type, void *thread);
static int on_connection(const struct mg_connection *conn, void **data);
static void on_connection_closed(const struct mg_connection *conn);
static void refuse_early(struct front_req *req, int status, const char *why);
static int on_request(struct mg_connection *conn);
static void wait_serving(struct front *front);
static struct cds_list_head *bucket_of(struct front *front, uint64_t id);
static void register_request(struct front *front, struct front_req *req);
static void unregister_request(struct front *front, struct front_req *req);
static struct front_req *find_request(struct front *front, uint64_t id);
static uint64_t action_request_id(const struct core_action *action);

/* Creates a front that does not listen yet; NULL if out of memory. */
struct front *front_new(const struct front_settings *settings)
{
	struct front *front = calloc(1, sizeof(*front));
	int i;

	if (!front)
		return NULL;
	front->settings = *settings;
	pthread_mutex_init(&front->lock, NULL);
	pthread_cond_init(&front->begin, NULL);
	for (i = 0; i < FRONT_BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&front->buckets[i]);
	return front;
}

/*
 * Starts to listen; requests wait until front_serve_waiting.  Returns 0,
 * FRONT_E_MEMORY or FRONT_E_LISTEN.
 */
int front_start(struct front *front, struct loop *loop)
{
	char threads[16];
	const char *options[] = {
		"listening_ports",
		front->settings.listen,
		"num_threads",
		threads,
		"enable_keep_alive",
		"yes",
		"keep_alive_timeout_ms",
		"5000",
		"request_timeout_ms",
		"30000",
		"tcp_nodelay",
		"1",
		"listen_backlog",
		"1024",
		"connection_queue",
		"1024",
		NULL,
	};
	struct mg_callbacks callbacks = {
		.init_thread = on_thread_start,
		.exit_thread = on_thread_end,
		.begin_request = on_request,
		.init_connection = on_connection,
		.connection_closed = on_connection_closed,
	};

	front->loop = loop;
	front->cancel = ep_cancel_start();
	if (!front->cancel)
		return FRONT_E_MEMORY;
	snprintf(threads, sizeof(threads), "%u", front->settings.threads);
	front->server = mg_start(&callbacks, front, options);
	return front->server ? FRONT_OK : FRONT_E_LISTEN;
}

/* Begins to serve requests; the loop must run. */
void front_serve_waiting(struct front *front)
{
	pthread_mutex_lock(&front->lock);
	front->serving = true;
	pthread_cond_broadcast(&front->begin);
	pthread_mutex_unlock(&front->lock);
}

/*
 * Publishes a new configuration to the request threads and takes ownership of
 * it.  Threads may still read the old one, so it is freed after a grace period.
 */
void front_set_config(struct front *front, struct cfg_set *set)
{
	struct cfg_set *old = front->set;

	rcu_assign_pointer(front->set, set);
	synchronize_rcu();
	cfg_free(old);
}

/*
 * Queues an action for the thread that serves the request.  Runs on the loop's
 * thread.  Drops the action if the request no longer exists.
 */
void front_deliver(struct front *front, struct core_action *action)
{
	struct front_action *node = malloc(sizeof(*node));
	struct front_req *req;

	if (!node)
		abort();
	node->action = *action;
	pthread_mutex_lock(&front->lock);
	req = find_request(front, action_request_id(action));
	if (req) {
		cds_list_add_tail(&node->node, &req->actions);
		pthread_cond_signal(&req->wake);
		ep_wake(req->ep);
	} else {
		if (action->type == CORE_ACT_ANSWER)
			free(action->answer.body);
		free(node);
	}
	pthread_mutex_unlock(&front->lock);
}

/* From now on, every connection is closed after its current response. */
void front_close_connections(struct front *front)
{
	atomic_store(&front->closing, true);
}

/* From now on, every new request is refused immediately. */
void front_refuse_new(struct front *front)
{
	atomic_store(&front->refusing, true);
	pthread_mutex_lock(&front->lock);
	pthread_cond_broadcast(&front->begin);
	pthread_mutex_unlock(&front->lock);
}

/* Returns how many requests are in progress. */
uint32_t front_open_requests(struct front *front)
{
	return atomic_load(&front->open);
}

/*
 * Refuses the requests that no loop has seen, waits until none is in progress,
 * stops listening, frees the front.
 */
void front_free(struct front *front)
{
	if (!front)
		return;
	front_refuse_new(front);
	while (front_open_requests(front) > 0)
		usleep(FRONT_DRAIN_POLL_US);
	if (front->server)
		mg_stop(front->server);
	ep_cancel_stop(front->cancel);
	cfg_free(front->set);
	pthread_cond_destroy(&front->begin);
	pthread_mutex_destroy(&front->lock);
	free(front);
}

/* Creates the state for calls to endpoints, one for each server thread. */
static void *on_thread_start(const struct mg_context *ctx, int type)
{
	const int server_thread = 1;

	struct front *front = mg_get_user_data(ctx);

	if (type != server_thread)
		return NULL;
	rcu_register_thread();
	return ep_new(front->settings.connect_timeout_ms, front->cancel);
}

static void on_thread_end(const struct mg_context *ctx, int type, void *thread)
{
	(void)ctx;
	(void)type;
	if (!thread)
		return;
	ep_free(thread);
	rcu_unregister_thread();
}

static int on_connection(const struct mg_connection *conn, void **data)
{
	struct front *front = mg_get_user_data(mg_get_context(conn));

	(void)data;
	atomic_fetch_add(&front->connections, 1);
	return 0;
}

static void on_connection_closed(const struct mg_connection *conn)
{
	struct front *front = mg_get_user_data(mg_get_context(conn));

	atomic_fetch_sub(&front->connections, 1);
}

/*
 * Refuses a request that was not passed to the core.  Without an idempotency
 * key nothing can have run, so the outcome is not-run.  With a key the outcome
 * is unknown: its record was not read, and an earlier request with this key may
 * have run through another instance.  A caller that is told not-run would retry
 * with a new key and could run the request twice.
 */
static void refuse_early(struct front_req *req, int status, const char *why)
{
	bool has_key = req->arrival.key[0] != '\0';
	uint32_t retry_after_s = status == 503 ? FRONT_RETRY_AFTER_S : 0;

	front_write_refusal(req, status, has_key ? MAG_UNKNOWN : MAG_NOT_RUN,
			    retry_after_s, why);
}

/*
 * Serves one request.  A status other than 0 tells CivetWeb that the request
 * has been handled.
 */
static int on_request(struct mg_connection *conn)
{
	struct front *front = mg_get_user_data(mg_get_context(conn));
	struct front_req req = {
		.front = front,
		.conn = conn,
		.ep = mg_get_thread_pointer(conn),
	};
	const char *why = "memory is short";
	int status;

	atomic_fetch_add(&front->open, 1);
	req.id = atomic_fetch_add(&front->next_id, 1) + 1;
	snprintf(req.id_text, sizeof(req.id_text), "%s-%llx-%llu",
		 front->settings.instance,
		 (unsigned long long)front->settings.incarnation,
		 (unsigned long long)req.id);
	wait_serving(front);
	status = req.ep ? front_read(&req, &why) : 503;
	if (status) {
		refuse_early(&req, status, why);
	} else {
		register_request(front, &req);
		front_serve(&req);
		unregister_request(front, &req);
	}
	front_read_free(&req);
	atomic_fetch_sub(&front->open, 1);
	return 200;
}

/* The loop starts after the front listens; until then no request is read. */
static void wait_serving(struct front *front)
{
	pthread_mutex_lock(&front->lock);
	while (!front->serving && !atomic_load(&front->refusing))
		pthread_cond_wait(&front->begin, &front->lock);
	pthread_mutex_unlock(&front->lock);
}

static struct cds_list_head *bucket_of(struct front *front, uint64_t id)
{
	return &front->buckets[id % FRONT_BUCKETS];
}

static void register_request(struct front *front, struct front_req *req)
{
	pthread_cond_init(&req->wake, NULL);
	CDS_INIT_LIST_HEAD(&req->actions);
	pthread_mutex_lock(&front->lock);
	cds_list_add(&req->node, bucket_of(front, req->id));
	pthread_mutex_unlock(&front->lock);
}

/* After this returns, no action can be queued for the request. */
static void unregister_request(struct front *front, struct front_req *req)
{
	struct front_action *action, *next;

	pthread_mutex_lock(&front->lock);
	cds_list_del(&req->node);
	pthread_mutex_unlock(&front->lock);
	cds_list_for_each_entry_safe (action, next, &req->actions, node) {
		if (action->action.type == CORE_ACT_ANSWER)
			free(action->action.answer.body);
		free(action);
	}
	pthread_cond_destroy(&req->wake);
}

static struct front_req *find_request(struct front *front, uint64_t id)
{
	struct front_req *req;

	cds_list_for_each_entry (req, bucket_of(front, id), node) {
		if (req->id == id)
			return req;
	}
	return NULL;
}

static uint64_t action_request_id(const struct core_action *action)
{
	switch (action->type) {
	case CORE_ACT_DISPATCH:
		return action->dispatch.req;
	case CORE_ACT_CANCEL:
		return action->cancel.req;
	case CORE_ACT_ANSWER:
		return action->answer.req;
	default:
		return 0;
	}
}
