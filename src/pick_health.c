#include "log.h"
#include "pick_int.h"

#define PICK_EJECT_AFTER       2   /* consecutive failures */
#define PICK_DEAD_AFTER	       5   /* the same, even if needed for the load */
#define PICK_RATIO_MIN_RESULTS 10  /* results before the ratio counts */
#define PICK_RATIO_MAX	       0.5 /* failures per recent result */
#define PICK_RATIO_EWMA	       0.1
#define PICK_BACKOFF_US	       (500 * MAG_US_PER_MS)
#define PICK_BACKOFF_MAX_US    (30 * MAG_US_PER_S)
#define PICK_DURATION_EWMA     0.1
#define PICK_DURATION_CHANGE   1.25
#define PICK_LOST_MIN_EJECTED  3
#define PICK_DEGRADED_SCALE    0.6 /* of its rate: below it, streams move away */
#define PICK_FULL_PAUSE_US     (20 * MAG_US_PER_MS)
#define PICK_SILENT_US	       (200 * MAG_US_PER_MS)
#define PICK_LOAD_EWMA	       0.05

static void pick_add_duration(struct pick *pick, int e, int64_t duration_us);
static void pick_health_failed(struct pick *pick, int e, bool conclusive,
			       int64_t now);
static void pick_health_silent_stages(struct pick *pick,
				      const struct pick_chain *chain,
				      uint32_t silent_stages, int64_t now);
static void pick_health_stalled(struct pick *pick,
				const struct pick_chain *chain, int64_t now);
static bool pick_is_silent(const struct pick *pick, int e, int64_t now);
static void pick_health_succeeded(struct pick *pick, int e, int64_t now);
static void pick_eject(struct pick *pick, int e, const char *why, int64_t now);
static void pick_retry_data_centre(struct pick *pick, int data_centre,
				   int64_t now);
static bool pick_is_data_centre_lost(const struct pick *pick, int e,
				     int64_t now);
static void pick_eject_endpoint(struct pick *pick, int e, const char *why,
				int64_t now);
static bool pick_can_spare(struct pick *pick, int e);
static void pick_lower_limit(struct pick_ep *ep, int64_t now);
static void pick_update_load(struct pick *pick, int service);

/* Tells whether an endpoint may receive new work, regardless of its limit. */
bool pick_accepts_work(const struct pick_ep *ep, int64_t now)
{
	(void)now;
	return ep->cfg.state == CFG_ACTIVE && !ep->leaving &&
	       ep->health == PICK_HEALTHY;
}

/* Tells whether an endpoint is below its limit. */
bool pick_below_limit(const struct pick_ep *ep, int64_t now)
{
	return now >= ep->full_until_us && ep->in_flight + 1 <= ep->limit &&
	       ep->in_flight + ep->others_in_flight < ep->cfg.concurrency;
}

/* Returns the work in flight at an endpoint as a fraction of its limit. */
double pick_relative_load(const struct pick_ep *ep)
{
	return (ep->in_flight + ep->others_in_flight) / ep->limit;
}

/* Updates the health of a chain's endpoints from the result of an attempt. */
void pick_health_ended(struct pick *pick, const struct pick_chain *chain,
		       const struct pick_result *result, int64_t now)
{
	int stage = result->failed_stage;
	int i;

	if (stage < 0 && chain->count == 1)
		stage = 0;
	for (i = 0; i < chain->count; i++) {
		int e = chain->stages[i].endpoint;

		if (e < 0 || e >= pick->ep_count)
			continue;
		if (result->kind == PICK_ENDED_COMPLETE) {
			pick_health_succeeded(pick, e, now);
			pick_add_duration(pick, e, result->duration_us);
		}
		if (result->kind == PICK_ENDED_FAILED && i == stage)
			pick_health_failed(pick, e, true, now);
		else if (result->kind == PICK_ENDED_REFUSED && i == stage)
			pick_lower_limit(&pick->eps[e], now);
		if (i == 0)
			pick->load_tokens[pick->eps[e].cfg.service] +=
				result->tokens;
	}
	if (result->kind != PICK_ENDED_STALLED)
		return;
	if (result->silent_stages)
		pick_health_silent_stages(pick, chain, result->silent_stages,
					  now);
	else
		pick_health_stalled(pick, chain, now);
}

/*
 * Updates the mean time of whole answers of an endpoint without a configured
 * rate.  A large change requires a new solve, because it changes the bound of
 * the service.
 */
static void pick_add_duration(struct pick *pick, int e, int64_t duration_us)
{
	struct pick_ep *ep = &pick->eps[e];

	if (ep->cfg.tokens_per_s > 0 || duration_us <= 0)
		return;
	if (ep->mean_duration_us <= 0)
		ep->mean_duration_us = (double)duration_us;
	ep->mean_duration_us += PICK_DURATION_EWMA *
				((double)duration_us - ep->mean_duration_us);
	if (ep->mean_duration_us <
		    PICK_DURATION_CHANGE * ep->solved_duration_us &&
	    ep->solved_duration_us <
		    PICK_DURATION_CHANGE * ep->mean_duration_us)
		return;
	ep->solved_duration_us = ep->mean_duration_us;
	pick_mark_dirty(pick, ep->cfg.service, false);
}

/*
 * Updates the load of each service, ends probes that have expired, and adapts
 * each endpoint.
 */
void pick_health_tick(struct pick *pick, int64_t now)
{
	int i;

	for (i = 0; i < pick->service_count; i++)
		pick_update_load(pick, i);
	for (i = 0; i < pick->ep_count; i++) {
		struct pick_ep *ep = &pick->eps[i];

		if (ep->health == PICK_PROBING &&
		    (ep->in_flight == 0 || now >= ep->retry_at_us))
			ep->health = PICK_EJECTED;
		pick_adapt(pick, ep);
	}
}

/*
 * Counts a failure of an endpoint and ejects it after enough of them, if the
 * load can be served without it.  After PICK_DEAD_AFTER consecutive failures it
 * is ejected even if not.  One conclusive failure is enough if the endpoint has
 * shown no progress recently: a connection that was broken or could not be
 * made, or a query without an answer.  A stream that only stalled is not
 * conclusive, because it may be waiting behind a long prompt.
 */
static void pick_health_failed(struct pick *pick, int e, bool conclusive,
			       int64_t now)
{
	struct pick_ep *ep = &pick->eps[e];

	ep->result_count++;
	ep->consecutive_failures++;
	ep->failure_ratio += PICK_RATIO_EWMA * (1 - ep->failure_ratio);
	if (ep->health == PICK_PROBING) {
		pick_eject(pick, e, "probe-failed", now);
		return;
	}
	if (ep->health != PICK_HEALTHY)
		return;
	if (ep->consecutive_failures >= PICK_DEAD_AFTER)
		pick_eject(pick, e, "dead", now);
	else if ((ep->consecutive_failures >= PICK_EJECT_AFTER ||
		  (conclusive && pick_is_silent(pick, e, now))) &&
		 pick_can_spare(pick, e))
		pick_eject(pick, e, "failed-in-a-row", now);
	else if (ep->result_count >= PICK_RATIO_MIN_RESULTS &&
		 ep->failure_ratio > PICK_RATIO_MAX && pick_can_spare(pick, e))
		pick_eject(pick, e, "fails-often", now);
}

/* Counts a failure of the stage at which a stream most probably stalled. */
static void pick_health_stalled(struct pick *pick,
				const struct pick_chain *chain, int64_t now)
{
	int stage = pick_find_silent_stage(pick, chain, now);

	if (stage >= 0)
		pick_health_failed(pick, chain->stages[stage].endpoint, false,
				   now);
}

/*
 * Counts a failure of each stage of a stalled stream that did not respond to
 * the probe; such a stage certainly hangs.
 */
static void pick_health_silent_stages(struct pick *pick,
				      const struct pick_chain *chain,
				      uint32_t silent_stages, int64_t now)
{
	int i;

	for (i = 0; i < chain->count; i++) {
		int e = chain->stages[i].endpoint;

		if ((silent_stages & (1U << i)) && e >= 0 && e < pick->ep_count)
			pick_health_failed(pick, e, true, now);
	}
}

/*
 * Returns the stage that most probably holds up a stalled chain, or -1 if every
 * stage makes progress on other streams.  A stalled stream doesn't show at
 * which stage it stopped.  Of the stages without recent progress, the one with
 * the most attempts is chosen, because each of these attempts would have shown
 * progress.  A small endpoint may be silent only because all its streams pass
 * through the endpoint that hangs.
 */
int pick_find_silent_stage(const struct pick *pick,
			   const struct pick_chain *chain, int64_t now)
{
	uint32_t max_in_flight = 0;
	int stage = -1;
	int i;

	for (i = 0; i < chain->count; i++) {
		int e = chain->stages[i].endpoint;

		if (!pick_is_silent(pick, e, now) ||
		    (stage >= 0 && pick->eps[e].in_flight <= max_in_flight))
			continue;
		max_in_flight = pick->eps[e].in_flight;
		stage = i;
	}
	return stage;
}

/*
 * Returns the stage of a chain whose endpoint or link is furthest below its
 * rate, among those below PICK_DEGRADED_SCALE, or -1.
 */
int pick_find_degraded_stage(const struct pick *pick,
			     const struct pick_chain *chain)
{
	double worst = PICK_DEGRADED_SCALE;
	int stage = -1;
	int i;

	for (i = 0; i < chain->count; i++) {
		int e = chain->stages[i].endpoint;

		if (e < 0 || e >= pick->ep_count ||
		    pick->eps[e].rate_scale >= worst)
			continue;
		worst = pick->eps[e].rate_scale;
		stage = i;
	}
	return stage;
}

/* Tells whether an endpoint has made no progress on any stream recently. */
static bool pick_is_silent(const struct pick *pick, int e, int64_t now)
{
	return e >= 0 && e < pick->ep_count &&
	       now - pick->eps[e].last_progress_us > PICK_SILENT_US;
}

/* Counts a success of an endpoint, after a complete answer. */
static void pick_health_succeeded(struct pick *pick, int e, int64_t now)
{
	struct pick_ep *ep = &pick->eps[e];

	ep->result_count++;
	ep->consecutive_failures = 0;
	ep->failure_ratio -= PICK_RATIO_EWMA * ep->failure_ratio;
	ep->backoff_us = 0;
	pick_health_progress(pick, e, now);
}

/*
 * Records progress at an endpoint, and readmits it if it was ejected.  Waiting
 * for a complete answer instead would keep it out for seconds after a short
 * slowdown, and would keep many endpoints out after a slowdown that affected
 * all of them.
 */
void pick_health_progress(struct pick *pick, int e, int64_t now)
{
	struct pick_ep *ep = &pick->eps[e];

	ep->last_progress_us = now;
	if (ep->health == PICK_HEALTHY)
		return;
	ep->health = PICK_HEALTHY;
	ep->consecutive_failures = 0;
	pick->unhealthy_count--;
	pick_retry_data_centre(pick, ep->data_centre, now);
	pick_mark_dirty(pick, ep->cfg.service, true);
	log_event(LOG_PICK_RETURNED, "endpoint=%s", ep->cfg.name);
}

/* Allows the other ejected endpoints of a data centre to be probed at once. */
static void pick_retry_data_centre(struct pick *pick, int data_centre,
				   int64_t now)
{
	int i;

	for (i = 0; i < pick->ep_count; i++) {
		struct pick_ep *ep = &pick->eps[i];

		if (ep->data_centre == data_centre &&
		    ep->health == PICK_EJECTED && ep->retry_at_us > now)
			ep->retry_at_us = now;
	}
}

/*
 * Ejects an endpoint until a probe succeeds.  If nothing in its data centre
 * makes progress any more, the whole data centre is ejected.
 */
static void pick_eject(struct pick *pick, int e, const char *why, int64_t now)
{
	int data_centre = pick->eps[e].data_centre;
	int i;

	pick_eject_endpoint(pick, e, why, now);
	if (!pick_is_data_centre_lost(pick, e, now))
		return;
	for (i = 0; i < pick->ep_count; i++) {
		if (pick->eps[i].data_centre == data_centre &&
		    pick->eps[i].health == PICK_HEALTHY)
			pick_eject_endpoint(pick, i, "data-centre-silent", now);
	}
}

/*
 * Tells whether a data centre seems to be cut off: at least
 * PICK_LOST_MIN_EJECTED of its endpoints are ejected or probing, none of the
 * others has made recent progress, and another data centre has healthy
 * endpoints.  Without this check, each endpoint of a lost data centre would
 * cost some requests a timeout before it is ejected.
 */
static bool pick_is_data_centre_lost(const struct pick *pick, int e,
				     int64_t now)
{
	int data_centre = pick->eps[e].data_centre;
	int ejected = 0;
	bool others_healthy = false;
	int i;

	for (i = 0; i < pick->ep_count; i++) {
		const struct pick_ep *ep = &pick->eps[i];

		if (ep->data_centre != data_centre)
			others_healthy |= ep->health == PICK_HEALTHY;
		else if (ep->health != PICK_HEALTHY)
			ejected++;
		else if (!pick_is_silent(pick, i, now))
			return false;
	}
	return others_healthy && ejected >= PICK_LOST_MIN_EJECTED;
}

/* Ejects one endpoint and doubles the time until it may be probed. */
static void pick_eject_endpoint(struct pick *pick, int e, const char *why,
				int64_t now)
{
	struct pick_ep *ep = &pick->eps[e];

	if (ep->health == PICK_HEALTHY)
		pick->unhealthy_count++;
	ep->health = PICK_EJECTED;
	ep->backoff_us = ep->backoff_us ? 2 * ep->backoff_us : PICK_BACKOFF_US;
	if (ep->backoff_us > PICK_BACKOFF_MAX_US)
		ep->backoff_us = PICK_BACKOFF_MAX_US;
	ep->retry_at_us = now + ep->backoff_us;
	pick_mark_dirty(pick, ep->cfg.service, true);
	log_event(LOG_PICK_EJECTED, "endpoint=%s why=%s for_ms=%lld",
		  ep->cfg.name, why,
		  (long long)(ep->backoff_us / MAG_US_PER_MS));
}

/*
 * Tells whether the current load can be served without an endpoint.  Ejecting
 * an endpoint on a mere suspicion while all of them are needed would turn one
 * slow endpoint into an outage: the others would be overloaded by its work and
 * ejected in turn.
 */
static bool pick_can_spare(struct pick *pick, int e)
{
	int service = pick->eps[e].cfg.service;
	int i;

	for (i = 0; i < pick->net_count; i++) {
		const struct pick_net *net = &pick->nets[i];
		double needed = 0;

		if (net->service != service || net->member_index[e] < 0)
			continue;
		if (net->group[0] == '\0')
			needed = pick->service_load[service];
		if (pick_net_max_flow(pick, net, e) <= needed)
			return false;
	}
	return true;
}

/*
 * Handles an endpoint's answer that it is full: it gets a pause and a lower
 * limit, and the limit rises only slowly near the value at which it was
 * refused.  Other instances send work there too, and without this each of them
 * would be refused again and again.
 */
static void pick_lower_limit(struct pick_ep *ep, int64_t now)
{
	ep->full_until_us = now + PICK_FULL_PAUSE_US;
	if (ep->limit > ep->in_flight)
		ep->limit = ep->in_flight;
	ep->refused_limit = ep->limit;
	ep->limit *= PICK_REFUSAL_FACTOR;
	if (ep->limit < 1)
		ep->limit = 1;
}

/* Updates the mean rate at which this instance delivers tokens of a service. */
static void pick_update_load(struct pick *pick, int service)
{
	double rate = (double)pick->load_tokens[service] * MAG_US_PER_S /
		      (double)PICK_TICK_US;

	pick->load_tokens[service] = 0;
	pick->service_load[service] +=
		PICK_LOAD_EWMA * (rate - pick->service_load[service]);
}
