#include <string.h>

#include "core_int.h"
#include "log.h"

static int64_t available_us_per_token(const struct core *core,
				      const struct core_req *req);
static void fill_dispatch(struct core *core, struct core_req *req,
			  struct core_dispatch *dispatch);
static void fill_stage(const struct core *core, const struct pick_stage *from,
		       struct core_stage *to);

/*
 * Chooses a chain for the next attempt of a request.  Returns PICK_OK or the
 * negative error of pick_choose.
 */
int req_choose_chain(struct core *core, struct core_req *req,
		     struct pick_chain *chain)
{
	struct pick_request request = {
		.service = req->service,
		.group = "",
		.avoid = req->avoid,
		.avoid_count = req->avoid_count,
		.alone = req->alone,
		.at_most_once = !req->idempotent,
		.prefix_hash = req->arrival.prefix_hash,
		.prompt_tokens = req->arrival.prompt_tokens,
		.max_token_us = available_us_per_token(core, req),
	};

	if (req->service < 0)
		return PICK_E_NO_CHAIN;
	if (req->route >= 0 && req->account >= 0)
		request.group =
			cfg_route_group(core->set, req->route, req->account);
	if (req->has_last_chain && !core->settings.no_resume)
		request.resume_from = &req->last_chain;
	return pick_choose(core->pick, &request, core->now, chain);
}

/* Returns the time available per remaining token until the deadline. */
static int64_t available_us_per_token(const struct core *core,
				      const struct core_req *req)
{
	int64_t remaining_us = req->deadline_us - core->now;

	if (req->arrival.max_tokens <= req->tokens)
		return remaining_us;
	return remaining_us / (req->arrival.max_tokens - req->tokens);
}

/*
 * Reserves capacity on a chain while the request's record is being reserved,
 * so that it is still free when the request may run.
 */
void req_hold_chain(struct core *core, struct core_req *req,
		    const struct pick_chain *chain)
{
	req->chain = *chain;
	req->chain_held = true;
	pick_started(core->pick, chain, core->now);
}

/* Releases a held chain to which nothing was sent. */
void req_release_chain(struct core *core, struct core_req *req)
{
	struct pick_result result = {
		.kind = PICK_ENDED_OTHER,
		.failed_stage = -1,
	};

	if (!req->chain_held)
		return;
	req->chain_held = false;
	pick_ended(core->pick, &req->chain, &result, core->now);
}

/* Sends the next attempt of a request to a chain. */
void req_dispatch(struct core *core, struct core_req *req,
		  const struct pick_chain *chain)
{
	struct core_dispatch *dispatch;

	cds_list_del_init(&req->ready_node);
	if (!req->chain_held)
		req_hold_chain(core, req, chain);
	req->attempt++;
	req->dispatched_us = core->now;
	req->first_token_us = 0;
	memset(req->hop_us, 0, sizeof(req->hop_us));
	req->tokens_before_attempt = req->tokens;
	req->ready_deadline_us = MAG_NEVER;
	req->stall_deadline_us =
		core->now + core->settings.first_token_timeout_us;
	core_schedule_tick(core, req->stall_deadline_us);
	core_schedule_tick(core, req->deadline_us);
	req->state = REQ_RUNNING;
	core->running++;
	dispatch = &core_add_action(core, CORE_ACT_DISPATCH)->dispatch;
	fill_dispatch(core, req, dispatch);
	log_event(LOG_REQ_DISPATCHED,
		  "request=%llu attempt=%u account=%s service=%s stages=%d "
		  "first=%s from=%u",
		  (unsigned long long)req->arrival.req, req->attempt,
		  dispatch->account, core->set->services[req->service].name,
		  dispatch->stage_count, dispatch->stages[0].endpoint,
		  dispatch->resume_token);
}

/* Reports the end of the current attempt to pick and releases its chain. */
void req_end_attempt(struct core *core, struct core_req *req,
		     enum pick_result_kind kind, int at_stage,
		     uint32_t silent_stages)
{
	struct pick_result result = {
		.kind = kind,
		.failed_stage = at_stage,
		.silent_stages = silent_stages,
		.tokens = req->tokens - req->tokens_before_attempt,
		.duration_us = core->now - req->dispatched_us,
	};

	if (!req->chain_held)
		return;
	if (req->first_token_us)
		result.first_token_us =
			req->first_token_us - req->dispatched_us;
	pick_ended(core->pick, &req->chain, &result, core->now);
	shr_add_attempt(core->shr, req->account, req->service, &req->chain,
			result.tokens, req->hop_us);
	req->chain_held = false;
	if (req->tokens > req->tokens_before_attempt) {
		/* Only a chain that produced tokens has useful caches. */
		req->last_chain = req->chain;
		req->has_last_chain = true;
	}
	core->running--;
}

/* Asks the I/O code to cancel the current attempt and the endpoint's work. */
void req_cancel(struct core *core, struct core_req *req, bool probe)
{
	struct core_cancel *cancel;

	cancel = &core_add_action(core, CORE_ACT_CANCEL)->cancel;
	cancel->req = req->arrival.req;
	cancel->attempt = req->attempt;
	cancel->probe = probe;
}

/*
 * Tells whether a failed request may be retried, and makes it avoid the
 * endpoint that failed.  Retries spend a budget, so that they do not multiply
 * an overload.
 */
bool req_may_retry(struct core *core, struct core_req *req, int endpoint)
{
	if (!req_may_redispatch(core, req, endpoint) ||
	    !adm_may_retry(core->adm, req->account, req->service, endpoint,
			   core->now))
		return false;
	shr_add_retry(core->shr, req->account, req->service, endpoint);
	return true;
}

/*
 * Like req_may_retry, for a request that no endpoint has begun: it spends no
 * retry budget.
 */
bool req_may_redispatch(struct core *core, struct core_req *req, int endpoint)
{
	req_avoid_endpoint(req, endpoint);
	if (req->attempt >= CORE_ATTEMPTS_MAX)
		return false;
	if (req->deadline_us <= core->now)
		return false;
	return quar_check(core->quar, req->arrival.fingerprint, core->now) !=
	       QUAR_QUARANTINED;
}

void req_avoid_endpoint(struct core_req *req, int endpoint)
{
	int i;

	if (endpoint < 0 || req->avoid_count >= CORE_AVOID_MAX)
		return;
	for (i = 0; i < req->avoid_count; i++) {
		if (req->avoid[i] == endpoint)
			return;
	}
	req->avoid[req->avoid_count++] = endpoint;
}

/* The same for an endpoint that did not respond, but may only be paused. */
void req_avoid_silent(struct core_req *req, int endpoint)
{
	int count = req->avoid_count;

	req_avoid_endpoint(req, endpoint);
	if (req->avoid_count > count)
		req->avoid_silent |= 1U << count;
}

/* Avoids no more the endpoints that only were silent. */
void req_forget_silent(struct core_req *req)
{
	int kept = 0;
	int i;

	for (i = 0; i < req->avoid_count; i++) {
		if (!(req->avoid_silent & (1U << i)))
			req->avoid[kept++] = req->avoid[i];
	}
	req->avoid_count = kept;
	req->avoid_silent = 0;
}

static void fill_dispatch(struct core *core, struct core_req *req,
			  struct core_dispatch *dispatch)
{
	const struct cfg_service *service = &core->set->services[req->service];
	int i;

	dispatch->req = req->arrival.req;
	dispatch->attempt = req->attempt;
	dispatch->resume_token = core->settings.no_resume ? 0 : req->tokens;
	dispatch->kind = service->kind;
	dispatch->layers = service->layers;
	dispatch->deadline_us = req->deadline_us;
	dispatch->at_most_once = !req->idempotent || service->kind == CFG_MODEL;
	memcpy(dispatch->not_begun_status, service->not_begun_status,
	       sizeof(dispatch->not_begun_status));
	if (req->reserved)
		ldg_downstream_key(dispatch->downstream_key, req->intent);
	if (req->account >= 0) {
		dispatch->priority = core->set->accounts[req->account].priority;
		mag_copy_name(dispatch->account, sizeof(dispatch->account),
			      core->set->accounts[req->account].name);
	}
	dispatch->stage_count = req->chain.count;
	for (i = 0; i < req->chain.count; i++)
		fill_stage(core, &req->chain.stages[i], &dispatch->stages[i]);
}

static void fill_stage(const struct core *core, const struct pick_stage *from,
		       struct core_stage *to)
{
	const struct cfg_endpoint *endpoint =
		&core->set->endpoints[from->endpoint];

	mag_copy_name(to->endpoint, sizeof(to->endpoint), endpoint->name);
	mag_copy_name(to->address, sizeof(to->address), endpoint->address);
	to->first_layer = from->first_layer;
	to->last_layer = from->last_layer;
}
