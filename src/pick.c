#include <stdlib.h>
#include <string.h>

#include "pick_int.h"

#define PICK_SEED_MIX UINT64_C(0x9e3779b97f4a7c15)

static bool pick_is_apart(const struct pick *pick,
			  const struct pick_chain *chain);
static int pick_decide(struct pick *pick, struct pick_net *net,
		       const struct pick_request *want, int64_t now,
		       struct pick_chain *chain);
static bool pick_known(const struct pick *pick, int endpoint);

/*
 * Makes an empty picker.  The seed fixes every random choice.  Returns NULL
 * if memory is short.
 */
struct pick *pick_new(enum pick_policy policy, uint64_t seed)
{
	struct pick *pick = calloc(1, sizeof(*pick));

	if (!pick)
		return NULL;
	pick->policy = policy;
	pick->random_state = seed ^ PICK_SEED_MIX;
	pick->next_tick_us = MAG_NEVER;
	pick->last_probe_us = -MAG_US_PER_S;
	return pick;
}

/* Frees a picker; NULL is allowed. */
void pick_free(struct pick *pick)
{
	int i;

	if (!pick)
		return;
	pick_free_nets(pick);
	for (i = 0; i < pick->ep_count; i++)
		free(pick->eps[i].cache);
	free(pick->eps);
	free(pick->services);
	free(pick->data_centres);
	free(pick->reachable);
	free(pick->service_load);
	free(pick->load_tokens);
	free(pick->remap);
	free(pick);
}

/* Notes that an endpoint leaves, so that it gets no new work, or came back. */
void pick_set_leaving(struct pick *pick, int endpoint, bool leaving,
		      int64_t now)
{
	struct pick_ep *ep;

	(void)now;
	if (!pick_known(pick, endpoint))
		return;
	ep = &pick->eps[endpoint];
	if (ep->leaving == leaving)
		return;
	ep->leaving = leaving;
	pick_mark_dirty(pick, ep->cfg.service, true);
}

/* Takes a load report; one older than the last is dropped. */
void pick_report(struct pick *pick, int endpoint,
		 const struct pick_report *report, int64_t now)
{
	struct pick_ep *ep;
	uint32_t mine;

	(void)now;
	if (!pick_known(pick, endpoint))
		return;
	ep = &pick->eps[endpoint];
	if (ep->has_report && report->measured_at_us < ep->reported_at_us)
		return;
	mine = ep->in_flight;
	ep->others_in_flight =
		report->running > mine ? report->running - mine : 0;
	if (!ep->has_report || ep->reported_rate != report->tokens_per_s)
		pick_mark_dirty(pick, ep->cfg.service, false);
	ep->reported_rate = report->tokens_per_s;
	ep->reported_at_us = report->measured_at_us;
	ep->has_report = true;
}

/*
 * Chooses a chain for an attempt.  Returns 0, PICK_E_BUSY if every chain has
 * a stage at its limit, or PICK_E_NO_CHAIN if no live chain covers all layers.
 */
int pick_choose(struct pick *pick, const struct pick_request *want, int64_t now,
		struct pick_chain *chain)
{
	const char *group = want->group ? want->group : "";
	struct pick_net *net;
	int err;

	chain->count = 0;
	if (want->service < 0 || want->service >= pick->service_count)
		return PICK_E_NO_CHAIN;
	net = pick_get_net(pick, want->service, group);
	if (!net)
		return PICK_E_MEMORY;
	err = pick_net_solve(pick, net, now);
	if (err)
		return err;
	return pick_decide(pick, net, want, now, chain);
}

/* Runs the ways to choose in their order and logs what came of it. */
static int pick_decide(struct pick *pick, struct pick_net *net,
		       const struct pick_request *want, int64_t now,
		       struct pick_chain *chain)
{
	const char *why = "flow";
	int err;

	pick->requests_since_probe++;
	if (want->resume_from || want->alone) {
		why = want->alone ? "alone" : "keeps-survivors";
		err = pick_seek(pick, net, want, now, chain);
	} else if (pick->unhealthy_count > 0 &&
		   pick_probe(pick, net, want, now, chain) == PICK_OK) {
		why = "probe";
		err = PICK_OK;
	} else {
		err = pick_walk(pick, net, want, now, chain);
		if (err == PICK_E_NO_CHAIN) {
			why = "no-flow";
			err = pick_seek(pick, net, want, now, chain);
		}
	}
	if (err)
		chain->count = 0;
	else
		pick_log_chain(pick, net, chain, why);
	chain->alone = !err && want->alone && pick_is_apart(pick, chain);
	return err;
}

/*
 * Two suspects on one endpoint would, if it died, leave open which of them
 * it was; others beside a suspect don't matter, they become suspects then.
 */
static bool pick_is_apart(const struct pick *pick,
			  const struct pick_chain *chain)
{
	int i;

	for (i = 0; i < chain->count; i++) {
		if (pick->eps[chain->stages[i].endpoint].suspects > 0)
			return false;
	}
	return true;
}

/*
 * Lets the next suspect onto a chain's endpoints, as this one has run there
 * for a while and nothing happened.
 */
void pick_release_suspect(struct pick *pick, struct pick_chain *chain)
{
	int i;

	for (i = 0; chain->alone && i < chain->count; i++) {
		int e = chain->stages[i].endpoint;

		if (pick_known(pick, e) && pick->eps[e].suspects > 0)
			pick->eps[e].suspects--;
	}
	chain->alone = false;
}

/* Counts an attempt on the stages of its chain. */
void pick_started(struct pick *pick, const struct pick_chain *chain,
		  int64_t now)
{
	int i;

	for (i = 0; i < chain->count; i++) {
		int e = chain->stages[i].endpoint;

		if (!pick_known(pick, e))
			continue;
		if (pick->eps[e].in_flight++ == 0)
			pick->eps[e].last_progress_us = now;
		pick->eps[e].suspects += chain->alone;
		pick->in_flight++;
	}
	if (pick->next_tick_us == MAG_NEVER)
		pick->next_tick_us = now + PICK_TICK_US;
}

/* Takes an attempt off the stages of its chain and learns from its end. */
void pick_ended(struct pick *pick, const struct pick_chain *chain,
		const struct pick_result *result, int64_t now)
{
	int i;

	for (i = 0; i < chain->count; i++) {
		int e = chain->stages[i].endpoint;

		if (!pick_known(pick, e) || pick->eps[e].in_flight == 0)
			continue;
		pick->eps[e].in_flight--;
		if (chain->alone && pick->eps[e].suspects > 0)
			pick->eps[e].suspects--;
		pick->in_flight--;
	}
	pick_health_ended(pick, chain, result, now);
}

/*
 * Runs what is due: limits, ejections and the return from them, and solves
 * networks whose estimates moved.
 */
void pick_tick(struct pick *pick, int64_t now)
{
	int i;

	if (now < pick->next_tick_us && !pick->urgent)
		return;
	if (now >= pick->next_tick_us) {
		pick_health_tick(pick, now);
		pick->next_tick_us = MAG_NEVER;
		if (pick->in_flight > 0 || pick->unhealthy_count > 0)
			pick->next_tick_us = now + PICK_TICK_US;
	}
	pick->urgent = false;
	for (i = 0; i < pick->net_count; i++)
		pick_net_solve(pick, &pick->nets[i], now);
}

/* Returns when pick_tick is due next, MAG_NEVER if nothing is pending. */
int64_t pick_next_deadline(const struct pick *pick)
{
	return pick->urgent ? 0 : pick->next_tick_us;
}

/* Tells whether an endpoint may get new work. */
bool pick_is_usable(const struct pick *pick, int endpoint, int64_t now)
{
	return pick_known(pick, endpoint) &&
	       pick_accepts_work(&pick->eps[endpoint], now);
}

/* Tells whether an index names an endpoint of the present set. */
static bool pick_known(const struct pick *pick, int endpoint)
{
	return endpoint >= 0 && endpoint < pick->ep_count;
}
