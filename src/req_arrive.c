#include <stdlib.h>
#include <string.h>

#include "core_int.h"

static void offer_to_admission(struct core *core, struct core_req *req);
static int64_t arrival_deadline(const struct core *core,
				const struct core_arrival *arrival,
				int service);
static struct core_req *req_new(struct core *core,
				const struct core_arrival *arrival);
static bool find_account_and_route(struct core *core,
				   const struct core_arrival *arrival,
				   int *account, int *route);
static bool key_is_missing(const struct cfg_route *route,
			   const struct core_arrival *arrival);
static bool endpoints_deduplicate(const struct core *core,
				  const struct core_req *req);

/*
 * Handles a new request: finds its account and route, refuses it if that is
 * already certain, and otherwise offers it to admission.
 */
void req_arrive(struct core *core, const struct core_arrival *arrival)
{
	enum quar_state quarantine;
	struct core_req *req;
	int account;
	int route;

	if (!core->set || core->stopping) {
		req_refuse_arrival(core, arrival, 503, "not ready");
		return;
	}
	if (!find_account_and_route(core, arrival, &account, &route))
		return;
	req = req_new(core, arrival);
	req->account = account;
	req->route = route;
	req->service = core->set->routes[route].service;
	req->idempotent =
		core->set->routes[route].idempotent || arrival->safe_method;
	req->keyed = !req->idempotent && arrival->key[0];
	shr_add(core->shr, account, req->service, SHR_OFFERED);
	req->may_resend = req->keyed && endpoints_deduplicate(core, req);
	req->deadline_us = arrival_deadline(core, arrival, req->service);
	ldg_intent(req->intent, core->set->accounts[account].name,
		   core->set->routes[route].name, arrival->key);
	quarantine = quar_check(core->quar, arrival->fingerprint, core->now);
	if (quarantine == QUAR_QUARANTINED) {
		req_refuse(core, req, 422, req_outcome(req), 0, "quarantined");
		core_req_free(core, req);
		return;
	}
	req->alone = quarantine == QUAR_SUSPECT;
	offer_to_admission(core, req);
}

/* Offers a request to admission and answers it at once if it is refused. */
static void offer_to_admission(struct core *core, struct core_req *req)
{
	static const char *const reasons[] = {
		[ADM_QUEUE_FULL] = "queue full",
		[ADM_TOO_LATE] = "would start past its deadline",
		[ADM_OVER_LIMIT] = "over a limit",
		[ADM_OVER_SHARE] = "over the account's share",
	};
	struct adm_offer offer = {
		.req = req->arrival.req,
		.account = req->account,
		.service = req->service,
		.cost_tokens =
			req->arrival.prompt_tokens + req->arrival.max_tokens,
		.run_tokens = req->arrival.max_tokens,
		.deadline_us = req->deadline_us,
		.priority = core->set->accounts[req->account].priority,
	};
	enum adm_verdict verdict;
	int status = 503;

	verdict = adm_offer(core->adm, &offer, core->now);
	if (verdict == ADM_QUEUED) {
		core_schedule_tick(core, req->deadline_us);
		return;
	}
	if (verdict == ADM_OVER_LIMIT || verdict == ADM_OVER_SHARE)
		status = 429;
	req_refuse(core, req, status, req_outcome(req),
		   req_retry_after(core, req), reasons[verdict]);
	core_req_free(core, req);
}

/* Converts the caller's timeout to a deadline within the service's maximum. */
static int64_t arrival_deadline(const struct core *core,
				const struct core_arrival *arrival, int service)
{
	const struct cfg_service *config = &core->set->services[service];
	uint32_t timeout_ms = arrival->timeout_ms;

	if (timeout_ms == 0)
		timeout_ms = config->default_deadline_ms;
	if (timeout_ms > config->max_deadline_ms)
		timeout_ms = config->max_deadline_ms;
	return core->now + (int64_t)timeout_ms * MAG_US_PER_MS;
}

static struct core_req *req_new(struct core *core,
				const struct core_arrival *arrival)
{
	struct core_req *req = calloc(1, sizeof(*req));

	if (!req)
		abort();
	req->arrival = *arrival;
	req->state = REQ_WAITING;
	req->arrived_us = core->now;
	req->stall_deadline_us = MAG_NEVER;
	req->ready_deadline_us = MAG_NEVER;
	CDS_INIT_LIST_HEAD(&req->ready_node);
	cds_list_add_tail(&req->bucket_node,
			  &core->buckets[arrival->req % CORE_BUCKETS]);
	cds_list_add_tail(&req->all_node, &core->all);
	return req;
}

/* Finds account and route; returns false if the request was refused. */
static bool find_account_and_route(struct core *core,
				   const struct core_arrival *arrival,
				   int *account, int *route)
{
	const struct cfg_route *config;

	*account =
		cfg_find_account_by_key(core->set, arrival->account_key_hash);
	if (*account < 0) {
		req_refuse_arrival(core, arrival, 401, "no such account key");
		return false;
	}
	*route = cfg_find_route(core->set, arrival->host, arrival->path);
	if (*route < 0) {
		req_refuse_arrival(core, arrival, 404, "no route");
		return false;
	}
	config = &core->set->routes[*route];
	if (key_is_missing(config, arrival)) {
		req_refuse_arrival(core, arrival, 400,
				   "Idempotency-Key is required");
		return false;
	}
	return true;
}

static bool key_is_missing(const struct cfg_route *route,
			   const struct core_arrival *arrival)
{
	if (route->idempotent || arrival->safe_method)
		return false;
	return route->key != CFG_KEY_OPTIONAL && !arrival->key[0];
}

/* Asks the ledger to reserve the record of the request's intent. */
void req_reserve(struct core *core, struct core_req *req)
{
	const struct cfg_route *route;
	struct ldg_claim claim = {
		.req = req->arrival.req,
		.key = req->arrival.key,
		.may_resend = req->may_resend,
		.deadline_us = req->deadline_us,
		.wall_ms = req->arrival.wall_ms,
	};
	int rc;

	if (req->route >= 0) {
		route = &core->set->routes[req->route];
		claim.timed = route->key == CFG_KEY_TIMED;
		claim.window_s =
			core->set->services[route->service].key_window_s;
	}
	memcpy(claim.intent, req->intent, sizeof(claim.intent));
	memcpy(claim.fingerprint, req->arrival.fingerprint,
	       sizeof(claim.fingerprint));
	req_enter(req, REQ_RESERVING);
	rc = ldg_reserve(core->ldg, &claim, core->now);
	if (rc == LDG_OK)
		return;
	if (rc == LDG_E_KEY_EXPIRED || rc == LDG_E_KEY_FORMAT)
		req_refuse(core, req, 400, req_outcome(req), 0,
			   rc == LDG_E_KEY_EXPIRED ? "the key is too old"
						   : "the key is not a UUIDv7");
	else
		req_refuse(core, req, 503, req_outcome(req),
			   req_retry_after(core, req),
			   "too many reservations wait");
	req_release_chain(core, req);
	adm_done(core->adm, req->arrival.req, 0, core->now);
	core_req_free(core, req);
}

/*
 * Tells whether every endpoint that may serve the request runs a downstream
 * key at most once.  These are the endpoints of its service in the group that
 * its route selects.
 */
static bool endpoints_deduplicate(const struct core *core,
				  const struct core_req *req)
{
	const struct cfg_endpoint *endpoint;
	const char *group;
	bool any = false;
	size_t i;

	group = cfg_route_group(core->set, req->route, req->account);
	for (i = 0; i < core->set->endpoint_count; i++) {
		endpoint = &core->set->endpoints[i];
		if (endpoint->service != req->service)
			continue;
		if (group[0] && strcmp(group, endpoint->group) != 0)
			continue;
		if (endpoint->downstream_key != CFG_DOWN_RESEND)
			return false;
		any = true;
	}
	return any;
}
