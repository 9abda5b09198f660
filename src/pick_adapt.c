#include "log.h"
#include "pick_int.h"

/*
 * Adapts an endpoint's limit and its estimated rate to what its streams
 * show.  By Little's law the tokens that pass it a second are its attempts
 * over the time that a token takes around the whole chain, and the tokens
 * that wait at it are these times the time spent there beyond the shortest
 * seen.  A few that wait keep it busy; more only make every stream slower,
 * so that answers miss their deadlines while the throughput stays the same.
 */
#define PICK_WAIT_LEAST	   1.0	 /* tokens waiting: the endpoint is busy */
#define PICK_WAIT_S	   0.015 /* that a token should wait */
#define PICK_WANTED_LEAST  1.0	 /* tokens waiting */
#define PICK_WANTED_MOST   10.0
#define PICK_LIMIT_STEP	   0.5 /* of what is missing, a tick */
#define PICK_LIMIT_FALL	   0.1 /* of a limit, the most a tick */
#define PICK_LIMIT_FULL	   0.1 /* of a step near the last refusal */
#define PICK_LIMIT_LEAST   1.0
#define PICK_SAMPLES_LEAST 3
#define PICK_SCALE_STEP	   0.2
#define PICK_SCALE_UP	   1.05 /* a tick without anything waiting */
#define PICK_SCALE_LEAST   0.01
#define PICK_SCALE_TOLD	   0.9 /* a drop below this counts as degraded */
#define PICK_RESOLVE_PART  0.1 /* a change of the rate worth a new solve */
#define PICK_BASE_CREEP	   1.0005

static double pick_passing(const struct pick_ep *ep);
static double pick_wanted(double passing);
static void pick_adapt_limit(struct pick_ep *ep, double passing,
			     double waiting);
static void pick_adapt_scale(struct pick_ep *ep, double passing,
			     double waiting);
static void pick_adapt_tell(struct pick *pick, struct pick_ep *ep);

/* Learns from the time that tokens took at each stage of a chain. */
void pick_add_hop_times(struct pick *pick, const struct pick_chain *chain,
			const uint32_t *hop_us, int count, int64_t now)
{
	double whole = 0;
	int i;

	for (i = 0; i < count; i++)
		whole += hop_us[i];
	for (i = 0; i < count && i < chain->count; i++) {
		int e = chain->stages[i].endpoint;

		if (e < 0 || e >= pick->ep_count)
			continue;
		pick_health_progress(pick, e, now);
		pick_adapt_add_hop(&pick->eps[e], hop_us[i], whole);
	}
}

/* Takes one measured hop into an endpoint's means. */
void pick_adapt_add_hop(struct pick_ep *ep, double hop_us, double chain_us)
{
	ep->hop_samples++;
	if (ep->mean_chain_us <= 0) {
		ep->mean_hop_us = hop_us;
		ep->min_hop_us = hop_us;
		ep->mean_chain_us = chain_us;
		return;
	}
	ep->mean_hop_us += PICK_HOP_EWMA * (hop_us - ep->mean_hop_us);
	ep->mean_chain_us += PICK_HOP_EWMA * (chain_us - ep->mean_chain_us);
	if (hop_us < ep->min_hop_us)
		ep->min_hop_us = hop_us;
}

/* Adapts one endpoint to what was measured since the last tick. */
void pick_adapt(struct pick *pick, struct pick_ep *ep)
{
	double passing;
	double waiting;

	if (ep->hop_samples < PICK_SAMPLES_LEAST || ep->mean_chain_us <= 0)
		return;
	ep->hop_samples = 0;
	ep->min_hop_us *= PICK_BASE_CREEP;
	passing = pick_passing(ep);
	waiting = passing * (ep->mean_hop_us - ep->min_hop_us) /
		  (double)MAG_US_PER_S;
	pick_adapt_limit(ep, passing, waiting);
	pick_adapt_scale(ep, passing, waiting);
	pick_adapt_tell(pick, ep);
}

/* Returns the tokens a second that pass an endpoint, of all instances. */
static double pick_passing(const struct pick_ep *ep)
{
	return (ep->in_flight + ep->others_in_flight) * (double)MAG_US_PER_S /
	       ep->mean_chain_us;
}

/*
 * Returns how many tokens should wait: enough to keep the endpoint busy
 * while streams come and go, and fewer at a slow one, where each that waits
 * costs every stream a long time.
 */
static double pick_wanted(double passing)
{
	double wanted = passing * PICK_WAIT_S;

	if (wanted < PICK_WANTED_LEAST)
		return PICK_WANTED_LEAST;
	return wanted < PICK_WANTED_MOST ? wanted : PICK_WANTED_MOST;
}

/*
 * Moves a limit towards the one at which as many tokens wait as should: a
 * limit that is used goes up while fewer do, and down while more do.  The
 * other instances see the same queue and move theirs too, so each makes only
 * its part of the step.
 */
static void pick_adapt_limit(struct pick_ep *ep, double passing, double waiting)
{
	double part = (ep->in_flight + 1.0) /
		      (ep->in_flight + ep->others_in_flight + 1.0);
	double step = PICK_LIMIT_STEP * part * (pick_wanted(passing) - waiting);

	if (step > 0 && ep->in_flight + 1 < ep->limit)
		return;
	if (step > 0 && ep->refused_limit > 0 &&
	    ep->limit >= PICK_REFUSAL_FACTOR * ep->refused_limit)
		step *= PICK_LIMIT_FULL;
	if (step < 0 && ep->limit > ep->in_flight)
		ep->limit = ep->in_flight;
	if (step < -PICK_LIMIT_FALL * ep->limit)
		step = -PICK_LIMIT_FALL * ep->limit;
	ep->limit += step;
	if (ep->limit < PICK_LIMIT_LEAST)
		ep->limit = PICK_LIMIT_LEAST;
	if (ep->limit > ep->cfg.concurrency)
		ep->limit = ep->cfg.concurrency;
}

/*
 * While tokens wait, what passes is all that the endpoint and its link can
 * do; less than its rate means that one of them is degraded.  Without a
 * queue it may be able to do more again, which more work will show.
 */
static void pick_adapt_scale(struct pick_ep *ep, double passing, double waiting)
{
	double rate = pick_rate(ep) / ep->rate_scale;

	if (waiting >= PICK_WAIT_LEAST)
		ep->rate_scale +=
			PICK_SCALE_STEP * (passing / rate - ep->rate_scale);
	else
		ep->rate_scale *= PICK_SCALE_UP;
	if (ep->rate_scale < PICK_SCALE_LEAST)
		ep->rate_scale = PICK_SCALE_LEAST;
	if (ep->rate_scale > 1)
		ep->rate_scale = 1;
}

/* Has the graph solved again if the rate moved far, and logs it. */
static void pick_adapt_tell(struct pick *pick, struct pick_ep *ep)
{
	double moved = ep->rate_scale / ep->solved_rate_scale - 1;

	if (moved < PICK_RESOLVE_PART && moved > -PICK_RESOLVE_PART &&
	    (ep->rate_scale < 1 || ep->solved_rate_scale >= 1))
		return;
	if (ep->rate_scale < PICK_SCALE_TOLD &&
	    ep->solved_rate_scale >= PICK_SCALE_TOLD)
		log_event(LOG_PICK_DEGRADED, "endpoint=%s tokens_per_s=%.0f",
			  ep->cfg.name, pick_rate(ep));
	if (ep->rate_scale >= PICK_SCALE_TOLD &&
	    ep->solved_rate_scale < PICK_SCALE_TOLD)
		log_event(LOG_PICK_RESTORED, "endpoint=%s tokens_per_s=%.0f",
			  ep->cfg.name, pick_rate(ep));
	ep->solved_rate_scale = ep->rate_scale;
	pick_mark_dirty(pick, ep->cfg.service, false);
}
