#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>
#include <sodium.h>

#include "admin.h"
#include "clk.h"
#include "daemon.h"
#include "fd.h"
#include "front.h"
#include "log.h"
#include "loop.h"
#include "lsn.h"
#include "mesh.h"
#include "ord.h"
#include "pf.h"
#include "pf_async.h"
#include "watch.h"

#define DAEMON_KV_THREADS 4

struct daemon {
	uint32_t kv_calls_per_s; /* current budget of calls to the platform */
	struct set_settings settings;
	uint64_t incarnation;
	struct loop *loop;
	struct front *front;
	struct admin *admin;
	struct pf *pf;
	struct pf_async *async;
	struct watch *watch;
	struct mesh *mesh;
	struct ord *ord;
	pthread_mutex_t lock; /* protects stopped */
	pthread_cond_t wake;
	bool stopped; /* the core has nothing in progress */
};

static const char *start_error(int err);
static int check_addresses(const struct set_settings *settings, char *why,
			   size_t why_size);
static int open_platform(struct daemon *daemon);
static int create_loop(struct daemon *daemon);
static void fill_core_settings(const struct daemon *daemon,
			       struct core_settings *to);
static void fill_fleet_settings(const struct daemon *daemon,
				struct fleet_settings *to);
static int create_servers(struct daemon *daemon);
static int start_threads(struct daemon *daemon);
static int start_servers(struct daemon *daemon);
static int listen_error(const char *address);
static int start_mesh(struct daemon *daemon);
static void release(struct daemon *daemon);
static void on_action(void *ctx, struct inst_action *action);
static void on_role(struct daemon *daemon, const struct inst_role *role);
static void on_core_action(struct daemon *daemon, struct core_action *action);
static void on_kv_reply(void *ctx, const struct kv_reply *reply);
static void on_stopped(struct daemon *daemon);
static void wait_stopped(struct daemon *daemon);

/*
 * Starts all modules of a router.  Returns 0 and the daemon in out, or a
 * negative enum daemon_err and the reason in why, with nothing left running.
 */
int daemon_start(const struct set_settings *settings, char *why,
		 size_t why_size, struct daemon **out)
{
	struct daemon *daemon;
	int rc = check_addresses(settings, why, why_size);

	if (rc)
		return rc;
	daemon = calloc(1, sizeof(*daemon));
	if (!daemon) {
		snprintf(why, why_size, "%s", start_error(DAEMON_E_MEMORY));
		return DAEMON_E_MEMORY;
	}
	daemon->settings = *settings;
	randombytes_buf(&daemon->incarnation, sizeof(daemon->incarnation));
	pthread_mutex_init(&daemon->lock, NULL);
	pthread_cond_init(&daemon->wake, NULL);
	rc = fd_reserve(settings->threads) ? DAEMON_E_FILES : DAEMON_OK;
	if (!rc)
		rc = open_platform(daemon);
	if (!rc)
		rc = create_loop(daemon);
	if (!rc)
		rc = create_servers(daemon);
	if (!rc)
		rc = start_threads(daemon);
	if (rc) {
		release(daemon);
		snprintf(why, why_size, "%s", start_error(rc));
		return rc;
	}
	*out = daemon;
	log_event(LOG_STARTED, "instance=%s data_centre=%s listen=%s admin=%s",
		  settings->instance, settings->data_centre, settings->listen,
		  settings->admin);
	return DAEMON_OK;
}

/*
 * Stops without interrupting a request.  First the readiness check fails, so
 * that the load balancer uses other instances.  After shutdown_notice_ms new
 * requests are refused.  The requests in progress run to their end before the
 * function returns.
 */
void daemon_stop(struct daemon *daemon)
{
	struct core_event event = { .type = CORE_EV_STOP };

	log_event(LOG_STOPPING, "open=%u notice_ms=%u",
		  front_open_requests(daemon->front),
		  daemon->settings.shutdown_notice_ms);
	admin_set_stopping(daemon->admin);
	front_close_connections(daemon->front);
	usleep(daemon->settings.shutdown_notice_ms * 1000);
	front_refuse_new(daemon->front);
	loop_post(daemon->loop, &event);
	wait_stopped(daemon);
	release(daemon);
	log_event(LOG_STOPPED, "open=0");
}

/* Returns an error message for a daemon_err. */
static const char *start_error(int err)
{
	switch (err) {
	case DAEMON_E_LISTEN:
		return "cannot listen at the configured address";
	case DAEMON_E_FILES:
		return "the limit on open files is too low for the setting "
		       "threads";
	case DAEMON_E_THREAD:
		return "cannot start a thread";
	case DAEMON_E_LIBRARY:
		return "cannot start the threads of a library";
	case DAEMON_E_BUSY:
		return "an address was taken at the same time";
	default:
		return "memory is short";
	}
}

/*
 * Tells whether all addresses are available, before anything is started that
 * others could see; DAEMON_E_LISTEN if one never will be.  Another process can
 * still take one before it is used.
 */
static int check_addresses(const struct set_settings *settings, char *why,
			   size_t why_size)
{
	const struct {
		const char *name;
		const char *address;
		enum lsn_type type;
	} list[] = {
		{ "listen", settings->listen, LSN_TCP_BOUND },
		{ "admin", settings->admin, LSN_TCP_BOUND },
		{ "rpc", settings->rpc, LSN_TCP_BOUND },
		{ "rpc", settings->rpc, LSN_UDP },
	};
	int busy = DAEMON_OK;
	size_t i;
	int rc;
	int fd;

	for (i = 0; i < MAG_ARRAY_SIZE(list); i++) {
		rc = lsn_open(list[i].address, list[i].type, &fd);
		if (!rc)
			close(fd);
		if (!rc || (rc == LSN_E_BUSY && busy))
			continue;
		snprintf(why, why_size, "%s %s: %s", list[i].name,
			 list[i].address, strerror(errno));
		if (rc != LSN_E_BUSY)
			return DAEMON_E_LISTEN;
		busy = DAEMON_E_BUSY;
	}
	return busy;
}

static int open_platform(struct daemon *daemon)
{
	const struct set_addresses *from = &daemon->settings.platform;
	const char *addresses[SET_PEERS_MAX];
	size_t i;

	for (i = 0; i < from->count; i++)
		addresses[i] = from->list[i];
	daemon->pf = pf_open(addresses, from->count);
	if (!daemon->pf)
		return DAEMON_E_MEMORY;
	pf_set_pacing(daemon->pf, true);
	pf_set_seed(daemon->pf, daemon->incarnation);
	daemon->kv_calls_per_s = daemon->settings.kv_calls_per_s;
	pf_set_budget(daemon->pf, daemon->kv_calls_per_s,
		      daemon->kv_calls_per_s);
	return DAEMON_OK;
}

static int create_loop(struct daemon *daemon)
{
	struct inst_settings settings = { 0 };

	fill_core_settings(daemon, &settings.core);
	fill_fleet_settings(daemon, &settings.fleet);
	daemon->loop = loop_new(&settings, on_action, daemon);
	return daemon->loop ? DAEMON_OK : DAEMON_E_MEMORY;
}

/* Derives the core's settings from those of the daemon. */
static void fill_core_settings(const struct daemon *daemon,
			       struct core_settings *to)
{
	const struct set_settings *from = &daemon->settings;

	memcpy(to->cluster, from->cluster, sizeof(to->cluster));
	memcpy(to->instance, from->instance, sizeof(to->instance));
	memcpy(to->data_centre, from->data_centre, sizeof(to->data_centre));
	to->incarnation = daemon->incarnation;
	to->seed = from->seed ? from->seed : daemon->incarnation;
	to->policy = PICK_FLOW;
	to->progress_timeout_us = from->progress_timeout_ms * MAG_US_PER_MS;
	to->first_token_timeout_us =
		from->first_token_timeout_ms * MAG_US_PER_MS;
	to->kv_timeout_us = from->kv_timeout_ms * MAG_US_PER_MS;
	memcpy(to->ledger.instance, from->instance,
	       sizeof(to->ledger.instance));
	to->ledger.incarnation = daemon->incarnation;
	to->ledger.shards = from->ledger_shards;
	to->ledger.segment_bytes = from->ledger_segment_bytes;
	to->ledger.call_timeout_us = from->kv_timeout_ms * MAG_US_PER_MS;
	to->ledger.batch_max = from->ledger_batch_max;
}

/* Derives the fleet's settings from those of the daemon. */
static void fill_fleet_settings(const struct daemon *daemon,
				struct fleet_settings *to)
{
	const struct set_settings *from = &daemon->settings;

	memcpy(to->cluster, from->cluster, sizeof(to->cluster));
	memcpy(to->instance, from->instance, sizeof(to->instance));
	memcpy(to->data_centre, from->data_centre, sizeof(to->data_centre));
	memcpy(to->address, from->rpc, sizeof(to->address));
	to->incarnation = daemon->incarnation;
	to->seed = from->seed ? from->seed : daemon->incarnation;
	to->bytes_per_s = from->peer_bytes_per_s;
	to->instances_max = from->instances_max;
	to->kv_timeout_us = from->kv_timeout_ms * MAG_US_PER_MS;
	to->may_place = from->place;
}

static int create_servers(struct daemon *daemon)
{
	const struct set_settings *from = &daemon->settings;
	struct front_settings front = {
		.threads = from->threads,
		.body_max = from->body_max_bytes,
		.connect_timeout_ms = from->connect_timeout_ms,
		.incarnation = daemon->incarnation,
	};
	struct admin_settings admin = { 0 };

	memcpy(front.listen, from->listen, sizeof(front.listen));
	memcpy(front.instance, from->instance, sizeof(front.instance));
	memcpy(admin.listen, from->admin, sizeof(admin.listen));
	memcpy(admin.cluster, from->cluster, sizeof(admin.cluster));
	memcpy(admin.instance, from->instance, sizeof(admin.instance));
	memcpy(admin.data_centre, from->data_centre, sizeof(admin.data_centre));
	daemon->front = front_new(&front);
	if (!daemon->front)
		return DAEMON_E_MEMORY;
	daemon->admin = admin_new(&admin, daemon->loop, daemon->front);
	return daemon->admin ? DAEMON_OK : DAEMON_E_MEMORY;
}

/*
 * The loop starts after all ports are open: from then on the instance writes to
 * the platform and announces itself.  It serves what has arrived by then.
 */
static int start_threads(struct daemon *daemon)
{
	struct kv_backend backend = pf_backend(daemon->pf);
	struct watch_settings watch = {
		.call_timeout_us =
			daemon->settings.kv_timeout_ms * MAG_US_PER_MS,
		.seed = daemon->incarnation,
	};
	int rc;

	daemon->async = pf_async_start(&backend, DAEMON_KV_THREADS, on_kv_reply,
				       daemon);
	daemon->ord = ord_start(daemon->loop);
	daemon->watch =
		watch_start(&watch, &backend, daemon->loop, daemon->front);
	if (!daemon->async || !daemon->ord || !daemon->watch)
		return DAEMON_E_THREAD;
	rc = start_servers(daemon);
	if (rc)
		return rc;
	if (loop_start(daemon->loop))
		return DAEMON_E_LIBRARY;
	front_serve_waiting(daemon->front);
	admin_set_serving(daemon->admin);
	return DAEMON_OK;
}

/*
 * Opens the ports, which were available just before: any failure to is one that
 * may not last.  The port for peers is last, because the RPC library can't be
 * started a second time.
 */
static int start_servers(struct daemon *daemon)
{
	if (admin_start(daemon->admin))
		return listen_error(daemon->settings.admin);
	switch (front_start(daemon->front, daemon->loop)) {
	case FRONT_OK:
		return start_mesh(daemon);
	case FRONT_E_LISTEN:
		return listen_error(daemon->settings.listen);
	default:
		return DAEMON_E_MEMORY;
	}
}

/*
 * Returns the error of a server that CivetWeb could not start.  Without threads
 * it keeps its sockets, so that the next attempt would wait for this one.
 */
static int listen_error(const char *address)
{
	return lsn_is_own(address) ? DAEMON_E_LIBRARY : DAEMON_E_BUSY;
}

/* Listens for peers, and adds the peers listed in the settings. */
static int start_mesh(struct daemon *daemon)
{
	const struct set_settings *from = &daemon->settings;
	struct inst_event event = { .type = INST_EV_SEED };
	struct mesh_settings settings;
	size_t i;
	int rc;

	memcpy(settings.cluster, from->cluster, sizeof(settings.cluster));
	memcpy(settings.listen, from->rpc, sizeof(settings.listen));
	rc = mesh_start(&settings, daemon->loop, daemon->watch, &daemon->mesh);
	if (rc == RPC_E_THREAD)
		return DAEMON_E_LIBRARY;
	if (rc)
		return rc == RPC_E_BUSY ? DAEMON_E_BUSY : DAEMON_E_LISTEN;
	for (i = 0; i < from->peers.count; i++) {
		memcpy(event.seed, from->peers.list[i], sizeof(event.seed));
		loop_post_inst(daemon->loop, &event);
	}
	return DAEMON_OK;
}

/* Stops and frees all modules, each one after those that call it. */
static void release(struct daemon *daemon)
{
	if (daemon->pf)
		pf_interrupt(daemon->pf);
	watch_close(daemon->watch);
	front_free(daemon->front);
	admin_free(daemon->admin);
	loop_stop(daemon->loop);
	mesh_stop(daemon->mesh);
	ord_stop(daemon->ord);
	watch_stop(daemon->watch);
	if (daemon->async)
		pf_async_stop(daemon->async);
	loop_free(daemon->loop);
	if (daemon->pf)
		pf_close(daemon->pf);
	pthread_cond_destroy(&daemon->wake);
	pthread_mutex_destroy(&daemon->lock);
	free(daemon);
}

/* Executes an action of the instance; runs on the loop's thread. */
static void on_action(void *ctx, struct inst_action *action)
{
	struct daemon *daemon = ctx;

	switch (action->type) {
	case INST_ACT_CORE:
		on_core_action(daemon, &action->core);
		break;
	case INST_ACT_SEND:
		mesh_send(daemon->mesh, &action->send);
		break;
	case INST_ACT_FETCH:
		mesh_fetch(daemon->mesh, &action->fetch);
		break;
	case INST_ACT_ORDER:
		ord_post(daemon->ord, &action->order);
		break;
	case INST_ACT_ROLE:
		on_role(daemon, &action->role);
		break;
	default:
		break;
	}
}

/*
 * Sets this instance's part of the fleet's budget of calls to the platform.
 * The platform's rate limits don't grow with the fleet.  If each instance had a
 * budget of its own, a growing fleet would exceed them, and reservations would
 * be refused first.
 */
static void on_role(struct daemon *daemon, const struct inst_role *role)
{
	uint32_t calls = fleet_call_part(daemon->settings.kv_fleet_calls_per_s,
					 role->listed_count);

	watch_set_role(daemon->watch, role->bridge, role->listed_count);
	if (calls > daemon->settings.kv_calls_per_s)
		calls = daemon->settings.kv_calls_per_s;
	if (calls == daemon->kv_calls_per_s)
		return;
	daemon->kv_calls_per_s = calls;
	pf_set_budget(daemon->pf, calls, calls);
}

static void on_core_action(struct daemon *daemon, struct core_action *action)
{
	if (action->type == CORE_ACT_KV)
		pf_async_post(daemon->async, &action->kv);
	else if (action->type == CORE_ACT_STOPPED)
		on_stopped(daemon);
	else
		front_deliver(daemon->front, action);
}

/* Passes a reply of the platform to the core. */
static void on_kv_reply(void *ctx, const struct kv_reply *reply)
{
	struct daemon *daemon = ctx;
	struct core_event event = { .type = CORE_EV_KV_REPLY };

	event.kv = *reply;
	loop_post(daemon->loop, &event);
}

static void on_stopped(struct daemon *daemon)
{
	pthread_mutex_lock(&daemon->lock);
	daemon->stopped = true;
	pthread_cond_signal(&daemon->wake);
	pthread_mutex_unlock(&daemon->lock);
}

static void wait_stopped(struct daemon *daemon)
{
	pthread_mutex_lock(&daemon->lock);
	while (!daemon->stopped)
		pthread_cond_wait(&daemon->wake, &daemon->lock);
	pthread_mutex_unlock(&daemon->lock);
}
