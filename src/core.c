#include <stdlib.h>
#include <string.h>

#include "cnt.h"
#include "core_int.h"
#include "log.h"

#define CORE_QUAR_ENTRIES 4096
#define CORE_QUAR_HOLD_US (600 * MAG_US_PER_S)

struct core_event_node {
	struct cds_list_head node;
	struct core_event event;
};

struct core_action_node {
	struct cds_list_head node;
	struct core_action action;
};

typedef void (*core_event_fn)(struct core *core, struct core_event *event);

static void on_arrival(struct core *core, struct core_event *event);
static void on_progress(struct core *core, struct core_event *event);
static void on_ended(struct core *core, struct core_event *event);
static void on_caller_gone(struct core *core, struct core_event *event);
static void on_config(struct core *core, struct core_event *event);
static void on_kv_reply(struct core *core, struct core_event *event);
static void on_load(struct core *core, struct core_event *event);
static void on_leaving(struct core *core, struct core_event *event);
static void on_cache(struct core *core, struct core_event *event);
static void on_stop(struct core *core, struct core_event *event);
static void event_system(struct core *core);
static void ledger_system(struct core *core);
static void capacity_system(struct core *core);
static void stop_system(struct core *core);
static void remap_all(struct core *core, const struct cfg_set *from);
static void remap_req(struct core_req *req, const struct cfg_set *from,
		      const struct cfg_set *to);
static void remap_chain(struct pick_chain *chain, const struct cfg_set *from,
			const struct cfg_set *to);
static int remap_endpoint(int endpoint, const struct cfg_set *from,
			  const struct cfg_set *to);
static int remap_account(int account, const struct cfg_set *from,
			 const struct cfg_set *to);
static int remap_route(int route, const struct cfg_set *from,
		       const struct cfg_set *to);

static const core_event_fn core_handlers[CORE_EVENT_COUNT] = {
	[CORE_EV_ARRIVAL] = on_arrival, [CORE_EV_PROGRESS] = on_progress,
	[CORE_EV_ENDED] = on_ended,	[CORE_EV_CALLER_GONE] = on_caller_gone,
	[CORE_EV_CONFIG] = on_config,	[CORE_EV_KV_REPLY] = on_kv_reply,
	[CORE_EV_LOAD] = on_load,	[CORE_EV_LEAVING] = on_leaving,
	[CORE_EV_CACHE] = on_cache,	[CORE_EV_STOP] = on_stop,
};

/* Creates a core without a configuration.  Returns NULL if out of memory. */
struct core *core_new(const struct core_settings *settings)
{
	struct core *core = calloc(1, sizeof(*core));
	int i;

	if (!core)
		return NULL;
	core->settings = *settings;
	core->pick = pick_new(settings->policy, settings->seed);
	core->adm = adm_new(settings->seed, !settings->no_retry_budgets);
	core->quar = quar_new(CORE_QUAR_ENTRIES, CORE_QUAR_HOLD_US);
	core->ldg = ldg_new(&settings->ledger);
	core->shr = shr_new();
	for (i = 0; i < CORE_BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&core->buckets[i]);
	CDS_INIT_LIST_HEAD(&core->all);
	CDS_INIT_LIST_HEAD(&core->ready);
	CDS_INIT_LIST_HEAD(&core->events);
	CDS_INIT_LIST_HEAD(&core->actions);
	core->next_deadline_us = MAG_NEVER;
	if (!core->pick || !core->adm || !core->quar || !core->ldg ||
	    !core->shr) {
		core_free(core);
		return NULL;
	}
	return core;
}

/* Frees a core, its requests, queued events and pending actions. */
void core_free(struct core *core)
{
	struct core_req *req, *next_req;
	struct core_event_node *event, *next_event;
	struct core_action action;

	cds_list_for_each_entry_safe (req, next_req, &core->all, all_node)
		core_req_free(core, req);
	cds_list_for_each_entry_safe (event, next_event, &core->events, node) {
		cds_list_del(&event->node);
		free(event);
	}
	while (core_next_action(core, &action)) {
		if (action.type == CORE_ACT_ANSWER)
			free(action.answer.body);
		if (action.type == CORE_ACT_KV)
			free(action.kv.value);
	}
	pick_free(core->pick);
	adm_free(core->adm);
	quar_free(core->quar);
	ldg_free(core->ldg);
	shr_free(core->shr);
	cfg_free(core->set);
	free(core);
}

/*
 * Queues an event for the next tick.  The core becomes the owner of what the
 * event points to.  Returns 0, or -1 if out of memory.
 */
int core_post(struct core *core, const struct core_event *event)
{
	struct core_event_node *node = malloc(sizeof(*node));

	if (!node)
		return -1;
	node->event = *event;
	cds_list_add_tail(&node->node, &core->events);
	return 0;
}

/*
 * Runs every system once, in this order: events, chains, ledger, deadlines,
 * capacity, ready requests, admission, ledger again, stop.  The parameter now
 * is in microseconds and never decreases.
 */
void core_tick(struct core *core, int64_t now)
{
	core->now = now;
	event_system(core);
	pick_tick(core->pick, now);
	ledger_system(core);
	req_deadline_system(core);
	capacity_system(core);
	req_ready_system(core);
	req_admit_system(core);
	ledger_system(core);
	stop_system(core);
}

/* Removes and returns the oldest action; false if there is none. */
bool core_next_action(struct core *core, struct core_action *action)
{
	struct core_action_node *node;

	if (cds_list_empty(&core->actions))
		return false;
	node = cds_list_first_entry(&core->actions, struct core_action_node,
				    node);
	cds_list_del(&node->node);
	*action = node->action;
	free(node);
	return true;
}

/* Returns the latest time for the next tick, MAG_NEVER if none is needed. */
int64_t core_next_deadline(const struct core *core)
{
	int64_t due = core->next_deadline_us;
	int64_t module_due = pick_next_deadline(core->pick);

	if (module_due < due)
		due = module_due;
	module_due = ldg_next_deadline(core->ldg);
	if (module_due < due)
		due = module_due;
	module_due = adm_next_deadline(core->adm);
	if (module_due < due)
		due = module_due;
	return due;
}

/*
 * Returns the configuration in force, NULL before the first.  The pointer is
 * valid until the next tick.
 */
const struct cfg_set *core_config(const struct core *core)
{
	return core->set;
}

/*
 * Returns the next fingerprint that this instance quarantined; false if none.
 */
bool core_next_quarantine(struct core *core,
			  uint8_t fingerprint[MAG_DIGEST_BYTES],
			  uint32_t *endpoints_lost, int64_t *until_us)
{
	return quar_next_update(core->quar, fingerprint, endpoints_lost,
				until_us);
}

/* Merges another instance's count of endpoints lost to a fingerprint. */
void core_merge_quarantine(struct core *core,
			   const uint8_t fingerprint[MAG_DIGEST_BYTES],
			   uint32_t endpoints_lost, int64_t until_us)
{
	quar_learn(core->quar, fingerprint, endpoints_lost, until_us,
		   core->now);
}

/* Sets this instance's share of a fleet-wide limit. */
void core_set_share(struct core *core, int limit, double requests_per_s,
		    double tokens_per_s, double concurrent)
{
	adm_set_share(core->adm, limit, requests_per_s, tokens_per_s,
		      concurrent);
}

/* Returns the local demand for a limit, in the unit of the limit. */
double core_demand(const struct core *core, int limit)
{
	return adm_demand(core->adm, limit, core->now);
}

/* Returns the revision in force, 0 before the first configuration. */
uint64_t core_revision(const struct core *core)
{
	return core->set ? core->set->revision : 0;
}

/* Tells whether load balancers should send requests to this instance. */
bool core_ready(const struct core *core)
{
	return core->set && !core->stopping;
}

/* Returns the request with an id, NULL if it was answered and has ended. */
struct core_req *core_find(struct core *core, uint64_t id)
{
	struct cds_list_head *bucket = &core->buckets[id % CORE_BUCKETS];
	struct core_req *req;

	cds_list_for_each_entry (req, bucket, bucket_node) {
		if (req->arrival.req == id)
			return req;
	}
	return NULL;
}

/* Ensures that the next tick is not later than a request's deadline. */
void core_schedule_tick(struct core *core, int64_t deadline_us)
{
	if (deadline_us < core->next_deadline_us)
		core->next_deadline_us = deadline_us;
}

/*
 * Appends an empty action.  Without memory for it a caller would be cut off,
 * so the process aborts and the load balancer uses other instances.
 */
struct core_action *core_add_action(struct core *core,
				    enum core_action_type type)
{
	struct core_action_node *node = calloc(1, sizeof(*node));

	if (!node)
		abort();
	node->action.type = type;
	cds_list_add_tail(&node->node, &core->actions);
	return &node->action;
}

/* Removes a request from the tables and frees it. */
void core_req_free(struct core *core, struct core_req *req)
{
	(void)core;
	cds_list_del(&req->bucket_node);
	cds_list_del(&req->all_node);
	cds_list_del(&req->ready_node);
	free(req);
}

static void event_system(struct core *core)
{
	struct core_event_node *node;

	while (!cds_list_empty(&core->events)) {
		node = cds_list_first_entry(&core->events,
					    struct core_event_node, node);
		cds_list_del(&node->node);
		core_handlers[node->event.type](core, &node->event);
		free(node);
	}
}

static void on_arrival(struct core *core, struct core_event *event)
{
	cnt_add(CNT_REQ_OFFERED, 1);
	req_arrive(core, &event->arrival);
}

static void on_progress(struct core *core, struct core_event *event)
{
	struct core_req *req = core_find(core, event->progress.req);

	if (req && req->attempt == event->progress.attempt)
		req_handle(core, req, REQ_EV_PROGRESS, &event->progress);
}

/* Ignores the end of an attempt that is no longer the current one. */
static void on_ended(struct core *core, struct core_event *event)
{
	struct core_req *req = core_find(core, event->ended.req);

	if (req && req->attempt == event->ended.attempt)
		req_handle(core, req, REQ_EV_ENDED, &event->ended);
	free(event->ended.answer);
}

static void on_caller_gone(struct core *core, struct core_event *event)
{
	struct core_req *req = core_find(core, event->caller_gone);

	if (req)
		req_handle(core, req, REQ_EV_CALLER_GONE, NULL);
}

/*
 * Puts a configuration in force.  A revision older than the one in force can
 * come from a platform that was restored from an old backup, or from a peer
 * that lags behind.  It is dropped, because an accepted configuration is never
 * reverted.
 */
static void on_config(struct core *core, struct core_event *event)
{
	struct cfg_set *old = core->set;

	if (old && event->config->revision <= old->revision) {
		cfg_free(event->config);
		return;
	}
	core->set = event->config;
	pick_config(core->pick, core->set, core->now);
	adm_config(core->adm, core->set, core->now);
	shr_config(core->shr, core->set);
	if (old)
		remap_all(core, old);
	cfg_free(old);
	log_event(LOG_CONFIG_APPLIED, "revision=%llu endpoints=%zu",
		  (unsigned long long)core->set->revision,
		  core->set->endpoint_count);
}

static void on_kv_reply(struct core *core, struct core_event *event)
{
	ldg_reply(core->ldg, &event->kv, core->now);
	free(event->kv.value);
}

static void on_load(struct core *core, struct core_event *event)
{
	int endpoint;

	if (!core->set)
		return;
	endpoint = cfg_find_endpoint(core->set, event->load.endpoint);
	if (endpoint >= 0)
		pick_report(core->pick, endpoint, &event->load.report,
			    core->now);
}

static void on_leaving(struct core *core, struct core_event *event)
{
	int endpoint;

	if (!core->set)
		return;
	endpoint = cfg_find_endpoint(core->set, event->leaving.endpoint);
	if (endpoint >= 0)
		pick_set_leaving(core->pick, endpoint, event->leaving.leaving,
				 core->now);
}

static void on_cache(struct core *core, struct core_event *event)
{
	const struct core_cache *cache = &event->cache;
	int endpoint;

	if (!core->set)
		return;
	endpoint = cfg_find_endpoint(core->set, cache->endpoint);
	if (endpoint >= 0)
		pick_cache_event(core->pick, endpoint, cache->sequence,
				 cache->prefix_hash, cache->stored, core->now);
}

static void on_stop(struct core *core, struct core_event *event)
{
	(void)event;
	core->stopping = true;
}

/* Emits the ledger's calls and passes its verdicts to the requests. */
static void ledger_system(struct core *core)
{
	struct kv_call call;
	struct ldg_result result;
	struct core_req *req;

	ldg_tick(core->ldg, core->now);
	while (ldg_next_result(core->ldg, &result)) {
		req = core_find(core, result.req);
		if (req)
			req_handle(core, req, REQ_EV_LEDGER, &result);
		free(result.answer);
	}
	while (ldg_next_call(core->ldg, &call))
		core_add_action(core, CORE_ACT_KV)->kv = call;
}

/* Passes the throughput bound of each service to admission. */
static void capacity_system(struct core *core)
{
	size_t i;

	if (!core->set)
		return;
	for (i = 0; i < core->set->service_count; i++)
		adm_set_capacity(core->adm, (int)i,
				 pick_bound(core->pick, (int)i));
}

/* Reports once, after a requested stop, that no request is in progress. */
static void stop_system(struct core *core)
{
	if (!core->stopping || core->stopped_reported)
		return;
	if (!cds_list_empty(&core->all) || !ldg_idle(core->ldg))
		return;
	core_add_action(core, CORE_ACT_STOPPED);
	core->stopped_reported = true;
}

/*
 * An index of the old configuration denotes another object in the new one.  A
 * request with an old index would be counted for the wrong account or
 * endpoint.
 */
static void remap_all(struct core *core, const struct cfg_set *from)
{
	struct core_req *req;

	cds_list_for_each_entry (req, &core->all, all_node) {
		remap_req(req, from, core->set);
	}
}

/* Translates a request's indices from one configuration to the next by name. */
static void remap_req(struct core_req *req, const struct cfg_set *from,
		      const struct cfg_set *to)
{
	int i;

	req->account = remap_account(req->account, from, to);
	req->route = remap_route(req->route, from, to);
	if (req->service >= 0)
		req->service =
			cfg_find_service(to, from->services[req->service].name);
	remap_chain(&req->chain, from, to);
	remap_chain(&req->last_chain, from, to);
	for (i = 0; i < req->avoid_count; i++)
		req->avoid[i] = remap_endpoint(req->avoid[i], from, to);
	for (i = 0; i < req->stalled_count; i++)
		req->stalled[i] = remap_endpoint(req->stalled[i], from, to);
}

static void remap_chain(struct pick_chain *chain, const struct cfg_set *from,
			const struct cfg_set *to)
{
	int i;

	for (i = 0; i < chain->count; i++)
		chain->stages[i].endpoint =
			remap_endpoint(chain->stages[i].endpoint, from, to);
}

static int remap_endpoint(int endpoint, const struct cfg_set *from,
			  const struct cfg_set *to)
{
	if (endpoint < 0)
		return -1;
	return cfg_find_endpoint(to, from->endpoints[endpoint].name);
}

static int remap_account(int account, const struct cfg_set *from,
			 const struct cfg_set *to)
{
	if (account < 0 || to->account_count == 0)
		return -1;
	return mag_find_name(to->accounts->name, sizeof(*to->accounts),
			     to->account_count, from->accounts[account].name,
			     account);
}

static int remap_route(int route, const struct cfg_set *from,
		       const struct cfg_set *to)
{
	if (route < 0 || to->route_count == 0)
		return -1;
	return mag_find_name(to->routes->name, sizeof(*to->routes),
			     to->route_count, from->routes[route].name, route);
}
