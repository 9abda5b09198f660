#include "log.h"
#include "pick_int.h"

/*
 * Adapts the limit of an endpoint and the estimate of its rate to the token
 * times of its streams.  By Little's law, the throughput of an endpoint in
 * tokens per second is the number of its attempts divided by the time that a
 * token takes through the whole chain.  The number of tokens that wait at the
 * endpoint is this throughput times the part of the hop time that exceeds the
 * shortest one measured.  A few waiting tokens keep the endpoint busy.  More of
 * them only slow down every stream, so that answers miss their deadlines, while
 * the throughput stays the same.
 */
#define PICK_BUSY_WAITING	1.0   /* waiting tokens at a busy endpoint */
#define PICK_TARGET_WAIT_S	0.015 /* target waiting time of a token */
#define PICK_TARGET_WAITING_MIN 1.0   /* waiting tokens */
#define PICK_TARGET_WAITING_MAX 10.0
#define PICK_LIMIT_GAIN		0.5 /* of the missing tokens, per tick */
#define PICK_LIMIT_MAX_DECREASE 0.1 /* of the limit, per tick */
#define PICK_LIMIT_REFUSED_GAIN 0.1 /* of a step near the last refusal */
#define PICK_LIMIT_MIN		1.0
#define PICK_SAMPLES_MIN	3
#define PICK_SCALE_EWMA		0.2
#define PICK_SCALE_RECOVERY	1.05 /* growth per tick without a queue */
#define PICK_SCALE_MIN		0.01
#define PICK_SCALE_LOGGED	0.9 /* below this it is logged as degraded */
#define PICK_RESOLVE_CHANGE	0.1 /* relative rate change for a new solve */
#define PICK_MIN_HOP_GROWTH	1.0005 /* of the shortest hop time, per tick */

static double pick_throughput(const struct pick_ep *ep);
static double pick_target_waiting(double throughput);
static void pick_adapt_limit(struct pick_ep *ep, double throughput,
			     double waiting);
static void pick_adapt_scale(struct pick_ep *ep, double throughput,
			     double waiting);
static void pick_adapt_check_rate(struct pick *pick, struct pick_ep *ep);

/* Applies the times that a token took at each stage of a chain. */
void pick_add_hop_times(struct pick *pick, const struct pick_chain *chain,
			const uint32_t *hop_us, int count, int64_t now)
{
	double chain_us = 0;
	int i;

	for (i = 0; i < count; i++)
		chain_us += hop_us[i];
	for (i = 0; i < count && i < chain->count; i++) {
		int e = chain->stages[i].endpoint;

		if (e < 0 || e >= pick->ep_count)
			continue;
		pick_health_progress(pick, e, now);
		pick_adapt_add_hop(&pick->eps[e], hop_us[i], chain_us);
	}
}

/* Adds one measured hop time to the means of an endpoint. */
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

/* Adapts one endpoint to the hop times measured since the last tick. */
void pick_adapt(struct pick *pick, struct pick_ep *ep)
{
	double throughput;
	double waiting;

	if (ep->hop_samples < PICK_SAMPLES_MIN || ep->mean_chain_us <= 0)
		return;
	ep->hop_samples = 0;
	ep->min_hop_us *= PICK_MIN_HOP_GROWTH;
	throughput = pick_throughput(ep);
	waiting = throughput * (ep->mean_hop_us - ep->min_hop_us) /
		  (double)MAG_US_PER_S;
	pick_adapt_limit(ep, throughput, waiting);
	pick_adapt_scale(ep, throughput, waiting);
	pick_adapt_check_rate(pick, ep);
}

/*
 * Returns the throughput of an endpoint in tokens per second, over the attempts
 * of all instances.
 */
static double pick_throughput(const struct pick_ep *ep)
{
	return (ep->in_flight + ep->others_in_flight) * (double)MAG_US_PER_S /
	       ep->mean_chain_us;
}

/*
 * Returns how many tokens should wait at an endpoint.  The queue must be long
 * enough to keep the endpoint busy while streams start and end.  It is shorter
 * at a slow endpoint, where each waiting token delays every stream for longer.
 */
static double pick_target_waiting(double throughput)
{
	double target = throughput * PICK_TARGET_WAIT_S;

	if (target < PICK_TARGET_WAITING_MIN)
		return PICK_TARGET_WAITING_MIN;
	return target < PICK_TARGET_WAITING_MAX ? target
						: PICK_TARGET_WAITING_MAX;
}

/*
 * Moves the limit towards the value at which the target number of tokens wait.
 * The limit rises if fewer tokens wait and it is fully used, and falls if more
 * wait.  The other instances observe the same queue and adapt their limits too,
 * so each instance makes only its fraction of the step.
 */
static void pick_adapt_limit(struct pick_ep *ep, double throughput,
			     double waiting)
{
	double fraction = (ep->in_flight + 1.0) /
			  (ep->in_flight + ep->others_in_flight + 1.0);
	double step = PICK_LIMIT_GAIN * fraction *
		      (pick_target_waiting(throughput) - waiting);

	if (step > 0 && ep->in_flight + 1 < ep->limit)
		return;
	if (step > 0 && ep->refused_limit > 0 &&
	    ep->limit >= PICK_REFUSAL_FACTOR * ep->refused_limit)
		step *= PICK_LIMIT_REFUSED_GAIN;
	if (step < 0 && ep->limit > ep->in_flight)
		ep->limit = ep->in_flight;
	if (step < -PICK_LIMIT_MAX_DECREASE * ep->limit)
		step = -PICK_LIMIT_MAX_DECREASE * ep->limit;
	ep->limit += step;
	if (ep->limit < PICK_LIMIT_MIN)
		ep->limit = PICK_LIMIT_MIN;
	if (ep->limit > ep->cfg.concurrency)
		ep->limit = ep->cfg.concurrency;
}

/*
 * Updates the estimate of the endpoint's rate.  While tokens wait, the
 * throughput is all that the endpoint and its link can deliver; if it is below
 * the configured or reported rate, one of them is degraded.  Without a queue
 * the endpoint may have recovered, so the estimate rises slowly; the work that
 * this attracts shows what the endpoint can do.
 */
static void pick_adapt_scale(struct pick_ep *ep, double throughput,
			     double waiting)
{
	double rate = pick_rate(ep) / ep->rate_scale;

	if (waiting >= PICK_BUSY_WAITING)
		ep->rate_scale +=
			PICK_SCALE_EWMA * (throughput / rate - ep->rate_scale);
	else
		ep->rate_scale *= PICK_SCALE_RECOVERY;
	if (ep->rate_scale < PICK_SCALE_MIN)
		ep->rate_scale = PICK_SCALE_MIN;
	if (ep->rate_scale > 1)
		ep->rate_scale = 1;
}

/*
 * Requests a new solve if the rate has changed much since the last one, and
 * logs when the endpoint becomes degraded or recovers.
 */
static void pick_adapt_check_rate(struct pick *pick, struct pick_ep *ep)
{
	double change = ep->rate_scale / ep->solved_rate_scale - 1;

	if (change < PICK_RESOLVE_CHANGE && change > -PICK_RESOLVE_CHANGE &&
	    (ep->rate_scale < 1 || ep->solved_rate_scale >= 1))
		return;
	if (ep->rate_scale < PICK_SCALE_LOGGED &&
	    ep->solved_rate_scale >= PICK_SCALE_LOGGED)
		log_event(LOG_PICK_DEGRADED, "endpoint=%s tokens_per_s=%.0f",
			  ep->cfg.name, pick_rate(ep));
	if (ep->rate_scale >= PICK_SCALE_LOGGED &&
	    ep->solved_rate_scale < PICK_SCALE_LOGGED)
		log_event(LOG_PICK_RESTORED, "endpoint=%s tokens_per_s=%.0f",
			  ep->cfg.name, pick_rate(ep));
	ep->solved_rate_scale = ep->rate_scale;
	pick_mark_dirty(pick, ep->cfg.service, false);
}
