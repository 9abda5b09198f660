#include <string.h>

#include "core_int.h"
#include "log.h"

static int64_t pace(const struct core *core, const struct core_req *req);
static void fill_dispatch(struct core *core, struct core_req *req,
			  struct core_dispatch *dispatch);
static void fill_stage(const struct core *core, const struct pick_stage *from,
		       struct core_stage *to);

/*
 * Chooses a chain for the next attempt of a request.  Returns PICK_OK or the
 * negative error of pick_choose.
 */
int req_choose(struct core *core, struct core_req *req,
	       struct pick_chain *chain)
{
	struct pick_want want = {
		.service = req->service,
		.group = "",
		.avoid = req->avoid,
		.avoid_count = req->avoid_count,
		.alone = req->alone,
		.careful = !req->idempotent,
		.prefix = req->arrival.prefix,
		.prompt_tokens = req->arrival.prompt_tokens,
		.pace_us = pace(core, req),
	};

	if (req->service < 0)
		return PICK_E_NONE;
	if (req->route >= 0 && req->account >= 0)
		want.group =
			cfg_route_group(core->set, req->route, req->account);
	if (req->has_last_chain && !core->settings.no_resume)
		want.keep = &req->last_chain;
	return pick_choose(core->pick, &want, core->now, chain);
}

/* Returns how long a token may take for the answer to be in time. */
static int64_t pace(const struct core *core, const struct core_req *req)
{
	int64_t left = req->deadline_us - core->now;

	if (req->arrival.max_tokens <= req->tokens)
		return left;
	return left / (req->arrival.max_tokens - req->tokens);
}

/*
 * Keeps a chosen chain for a request whose record is being reserved, so that
 * the place is still free once it may go.
 */
void req_hold_chain(struct core *core, struct core_req *req,
		    const struct pick_chain *chain)
{
	req->chain = *chain;
	req->chain_held = true;
	pick_started(core->pick, chain, core->now);
}

/* Gives a chain back that nothing was sent to. */
void req_drop_chain(struct core *core, struct core_req *req)
{
	struct pick_result result = {
		.kind = PICK_ENDED_OTHER,
		.at_stage = -1,
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
	req->attempt_from = req->tokens;
	req->give_up_us = MAG_NEVER;
	req->stall_us = core->now + core->settings.first_timeout_us;
	core_due(core, req->stall_us);
	core_due(core, req->deadline_us);
	req->state = REQ_RUNNING;
	core->running++;
	dispatch = &core_act(core, CORE_ACT_DISPATCH)->dispatch;
	fill_dispatch(core, req, dispatch);
	log_event(LOG_REQ_DISPATCHED,
		  "request=%llu attempt=%u account=%s service=%s stages=%d "
		  "first=%s from=%u",
		  (unsigned long long)req->arrival.req, req->attempt,
		  dispatch->account, core->set->services[req->service].name,
		  dispatch->stage_count, dispatch->stages[0].endpoint,
		  dispatch->resume);
}

/* Tells pick how the current attempt ended and gives its chain back. */
void req_end_attempt(struct core *core, struct core_req *req,
		     enum pick_result_kind kind, int at_stage, uint32_t silent)
{
	struct pick_result result = {
		.kind = kind,
		.at_stage = at_stage,
		.silent = silent,
		.tokens = req->tokens - req->attempt_from,
		.took_us = core->now - req->dispatched_us,
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
	if (req->tokens > req->attempt_from) {
		/* Only a chain that made tokens holds caches worth keeping. */
		req->last_chain = req->chain;
		req->has_last_chain = true;
	}
	core->running--;
}

/* Asks the shell to stop the current attempt and the endpoint's work. */
void req_cancel(struct core *core, struct core_req *req, bool probe)
{
	struct core_cancel *cancel;

	cancel = &core_act(core, CORE_ACT_CANCEL)->cancel;
	cancel->req = req->arrival.req;
	cancel->attempt = req->attempt;
	cancel->probe = probe;
}

/*
 * Tells whether a failed request may be tried once more, elsewhere than at
 * the endpoint that failed it.  Repeats spend a budget, so that an overload
 * is not multiplied by them.
 */
bool req_try_again(struct core *core, struct core_req *req, int endpoint)
{
	if (!req_go_elsewhere(core, req, endpoint) ||
	    !adm_may_retry(core->adm, req->account, req->service, endpoint,
			   core->now))
		return false;
	shr_add_retry(core->shr, req->account, req->service, endpoint);
	return true;
}

/* The same for a request that no endpoint has begun: it spends no budget. */
bool req_go_elsewhere(struct core *core, struct core_req *req, int endpoint)
{
	req_avoid(req, endpoint);
	if (req->attempt >= CORE_ATTEMPTS_MAX)
		return false;
	if (req->deadline_us <= core->now)
		return false;
	return quar_check(core->quar, req->arrival.fingerprint, core->now) !=
	       QUAR_QUARANTINED;
}

void req_avoid(struct core_req *req, int endpoint)
{
	if (endpoint < 0 || req->avoid_count >= CORE_AVOID_MAX)
		return;
	req->avoid[req->avoid_count++] = endpoint;
}

static void fill_dispatch(struct core *core, struct core_req *req,
			  struct core_dispatch *dispatch)
{
	const struct cfg_service *service = &core->set->services[req->service];
	int i;

	dispatch->req = req->arrival.req;
	dispatch->attempt = req->attempt;
	dispatch->resume = core->settings.no_resume ? 0 : req->tokens;
	dispatch->kind = service->kind;
	dispatch->layers = service->layers;
	dispatch->deadline_us = req->deadline_us;
	dispatch->once = !req->idempotent || service->kind == CFG_MODEL;
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
