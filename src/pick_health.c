#include "log.h"
#include "pick_int.h"

#define PICK_EJECT_AFTER    2	/* failures in a row */
#define PICK_DEAD_AFTER	    5	/* the same, where the load needs it */
#define PICK_RATIO_RESULTS  10	/* results before the ratio counts */
#define PICK_RATIO_MAX	    0.5 /* of failures among recent results */
#define PICK_RATIO_STEP	    0.1
#define PICK_BACKOFF_US	    (500 * MAG_US_PER_MS)
#define PICK_BACKOFF_MAX_US (30 * MAG_US_PER_S)
#define PICK_TOOK_STEP	    0.1
#define PICK_TOOK_MOVED	    1.25
#define PICK_CENTRE_EJECTED 3
#define PICK_DEGRADED_SCALE 0.6 /* of its rate: streams move off it */
#define PICK_FULL_US	    (20 * MAG_US_PER_MS)
#define PICK_SILENT_US	    (200 * MAG_US_PER_MS)
#define PICK_LOAD_STEP	    0.05

static void pick_took(struct pick *pick, int e, int64_t took_us);
static void pick_health_failed(struct pick *pick, int e, bool cut, int64_t now);
static void pick_health_silent(struct pick *pick,
			       const struct pick_chain *chain, uint32_t silent,
			       int64_t now);
static void pick_health_stalled(struct pick *pick,
				const struct pick_chain *chain, int64_t now);
static bool pick_is_silent(const struct pick *pick, int e, int64_t now);
static void pick_health_well(struct pick *pick, int e, int64_t now);
static void pick_eject(struct pick *pick, int e, const char *why, int64_t now);
static void pick_retry_centre(struct pick *pick, int centre, int64_t now);
static bool pick_centre_lost(const struct pick *pick, int e, int64_t now);
static void pick_eject_one(struct pick *pick, int e, const char *why,
			   int64_t now);
static bool pick_spare(struct pick *pick, int e);
static void pick_refused(struct pick_ep *ep, int64_t now);
static void pick_note_load(struct pick *pick, int service);

/* Tells whether an endpoint may get new work, its limit aside. */
bool pick_accepts_work(const struct pick_ep *ep, int64_t now)
{
	(void)now;
	return ep->cfg.state == CFG_ACTIVE && !ep->leaving &&
	       ep->health == PICK_HEALTHY;
}

/* Tells whether an endpoint is under its limit. */
bool pick_below_limit(const struct pick_ep *ep, int64_t now)
{
	return now >= ep->full_until_us && ep->in_flight + 1 <= ep->limit &&
	       ep->in_flight + ep->others_in_flight < ep->cfg.concurrency;
}

/* Returns the work at an endpoint as a part of its limit. */
double pick_relative_load(const struct pick_ep *ep)
{
	return (ep->in_flight + ep->others_in_flight) / ep->limit;
}

/* Learns from the end of an attempt. */
void pick_health_ended(struct pick *pick, const struct pick_chain *chain,
		       const struct pick_result *result, int64_t now)
{
	int at = result->failed_stage;
	int i;

	if (at < 0 && chain->count == 1)
		at = 0;
	for (i = 0; i < chain->count; i++) {
		int e = chain->stages[i].endpoint;

		if (e < 0 || e >= pick->ep_count)
			continue;
		if (result->kind == PICK_ENDED_COMPLETE) {
			pick_health_well(pick, e, now);
			pick_took(pick, e, result->duration_us);
		}
		if (result->kind == PICK_ENDED_FAILED && i == at)
			pick_health_failed(pick, e, true, now);
		else if (result->kind == PICK_ENDED_REFUSED && i == at)
			pick_refused(&pick->eps[e], now);
		if (i == 0)
			pick->load_tokens[pick->eps[e].cfg.service] +=
				result->tokens;
	}
	if (result->kind != PICK_ENDED_STALLED)
		return;
	if (result->silent_stages)
		pick_health_silent(pick, chain, result->silent_stages, now);
	else
		pick_health_stalled(pick, chain, now);
}

/* Learns how long whole answers take; a large change moves the bound. */
static void pick_took(struct pick *pick, int e, int64_t took_us)
{
	struct pick_ep *ep = &pick->eps[e];

	if (ep->cfg.tokens_per_s > 0 || took_us <= 0)
		return;
	if (ep->mean_duration_us <= 0)
		ep->mean_duration_us = (double)took_us;
	ep->mean_duration_us +=
		PICK_TOOK_STEP * ((double)took_us - ep->mean_duration_us);
	if (ep->mean_duration_us < PICK_TOOK_MOVED * ep->solved_duration_us &&
	    ep->solved_duration_us < PICK_TOOK_MOVED * ep->mean_duration_us)
		return;
	ep->solved_duration_us = ep->mean_duration_us;
	pick_mark_dirty(pick, ep->cfg.service, false);
}

/* Adapts limits, ends probes that hang and notes the load. */
void pick_health_tick(struct pick *pick, int64_t now)
{
	int i;

	for (i = 0; i < pick->service_count; i++)
		pick_note_load(pick, i);
	for (i = 0; i < pick->ep_count; i++) {
		struct pick_ep *ep = &pick->eps[i];

		if (ep->health == PICK_PROBING &&
		    (ep->in_flight == 0 || now >= ep->retry_at_us))
			ep->health = PICK_EJECTED;
		pick_adapt(pick, ep);
	}
}

/*
 * Counts a failure against an endpoint, and ejects it if that is enough: one
 * connection that was cut, or could not be made, if it shows no other sign of
 * life.  A stream that only stopped may wait behind a long prompt.
 */
static void pick_health_failed(struct pick *pick, int e, bool cut, int64_t now)
{
	struct pick_ep *ep = &pick->eps[e];

	ep->result_count++;
	ep->consecutive_failures++;
	ep->failure_ratio += PICK_RATIO_STEP * (1 - ep->failure_ratio);
	if (ep->health == PICK_PROBING) {
		pick_eject(pick, e, "probe-failed", now);
		return;
	}
	if (ep->health != PICK_HEALTHY)
		return;
	if (ep->consecutive_failures >= PICK_DEAD_AFTER)
		pick_eject(pick, e, "dead", now);
	else if ((ep->consecutive_failures >= PICK_EJECT_AFTER ||
		  (cut && pick_is_silent(pick, e, now))) &&
		 pick_spare(pick, e))
		pick_eject(pick, e, "failed-in-a-row", now);
	else if (ep->result_count >= PICK_RATIO_RESULTS &&
		 ep->failure_ratio > PICK_RATIO_MAX && pick_spare(pick, e))
		pick_eject(pick, e, "fails-often", now);
}

/* Blames the stage at which a stream most likely stopped. */
static void pick_health_stalled(struct pick *pick,
				const struct pick_chain *chain, int64_t now)
{
	int at = pick_find_silent_stage(pick, chain, now);

	if (at >= 0)
		pick_health_failed(pick, chain->stages[at].endpoint, false,
				   now);
}

/* Stages that did not answer when asked hang, each of them for certain. */
static void pick_health_silent(struct pick *pick,
			       const struct pick_chain *chain, uint32_t silent,
			       int64_t now)
{
	int i;

	for (i = 0; i < chain->count; i++) {
		int e = chain->stages[i].endpoint;

		if ((silent & (1U << i)) && e >= 0 && e < pick->ep_count)
			pick_health_failed(pick, e, true, now);
	}
}

/*
 * Returns the stage of a stalled chain that most likely holds it up, -1 if
 * all of them move other streams.  A stalled stream doesn't say where it
 * stopped.  Of the stages without a sign of life it is the one with the most
 * attempts: each of them would have shown one.  A small endpoint may be
 * silent only because all its streams pass the one that hangs.
 */
int pick_find_silent_stage(const struct pick *pick,
			   const struct pick_chain *chain, int64_t now)
{
	uint32_t most = 0;
	int at = -1;
	int i;

	for (i = 0; i < chain->count; i++) {
		int e = chain->stages[i].endpoint;

		if (!pick_is_silent(pick, e, now) ||
		    (at >= 0 && pick->eps[e].in_flight <= most))
			continue;
		most = pick->eps[e].in_flight;
		at = i;
	}
	return at;
}

/*
 * Returns the stage of a chain whose endpoint or link is far below its rate,
 * the worst one, or -1.
 */
int pick_find_degraded_stage(const struct pick *pick,
			     const struct pick_chain *chain)
{
	double worst = PICK_DEGRADED_SCALE;
	int at = -1;
	int i;

	for (i = 0; i < chain->count; i++) {
		int e = chain->stages[i].endpoint;

		if (e < 0 || e >= pick->ep_count ||
		    pick->eps[e].rate_scale >= worst)
			continue;
		worst = pick->eps[e].rate_scale;
		at = i;
	}
	return at;
}

/* Tells whether an endpoint has moved no stream lately. */
static bool pick_is_silent(const struct pick *pick, int e, int64_t now)
{
	return e >= 0 && e < pick->ep_count &&
	       now - pick->eps[e].last_progress_us > PICK_SILENT_US;
}

/* Notes that an endpoint did its part of a whole answer. */
static void pick_health_well(struct pick *pick, int e, int64_t now)
{
	struct pick_ep *ep = &pick->eps[e];

	ep->result_count++;
	ep->consecutive_failures = 0;
	ep->failure_ratio -= PICK_RATIO_STEP * ep->failure_ratio;
	ep->backoff_us = 0;
	pick_health_progress(pick, e, now);
}

/*
 * Notes a sign of life.  An endpoint that was ejected is back with it: to
 * wait for a whole answer would keep it out for seconds after a short
 * slowdown, and many endpoints after one that hit them all.
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
	pick_retry_centre(pick, ep->data_centre, now);
	pick_mark_dirty(pick, ep->cfg.service, true);
	log_event(LOG_PICK_RETURNED, "endpoint=%s", ep->cfg.name);
}

/* Lets the other ejected endpoints of a data centre be probed at once. */
static void pick_retry_centre(struct pick *pick, int centre, int64_t now)
{
	int i;

	for (i = 0; i < pick->ep_count; i++) {
		struct pick_ep *ep = &pick->eps[i];

		if (ep->data_centre == centre && ep->health == PICK_EJECTED &&
		    ep->retry_at_us > now)
			ep->retry_at_us = now;
	}
}

/*
 * Takes an endpoint out until a probe succeeds, and with it the data centre
 * if nothing in it shows a sign of life any more.
 */
static void pick_eject(struct pick *pick, int e, const char *why, int64_t now)
{
	int centre = pick->eps[e].data_centre;
	int i;

	pick_eject_one(pick, e, why, now);
	if (!pick_centre_lost(pick, e, now))
		return;
	for (i = 0; i < pick->ep_count; i++) {
		if (pick->eps[i].data_centre == centre &&
		    pick->eps[i].health == PICK_HEALTHY)
			pick_eject_one(pick, i, "data-centre-silent", now);
	}
}

/*
 * Tells whether a data centre seems cut off: several endpoints of it were
 * ejected and no other has moved a stream meanwhile, while other data
 * centres have endpoints left.  Without this, each endpoint of a lost data
 * centre would cost some requests a timeout before it is ejected.
 */
static bool pick_centre_lost(const struct pick *pick, int e, int64_t now)
{
	int centre = pick->eps[e].data_centre;
	int ejected = 0;
	bool elsewhere = false;
	int i;

	for (i = 0; i < pick->ep_count; i++) {
		const struct pick_ep *ep = &pick->eps[i];

		if (ep->data_centre != centre)
			elsewhere |= ep->health == PICK_HEALTHY;
		else if (ep->health != PICK_HEALTHY)
			ejected++;
		else if (!pick_is_silent(pick, i, now))
			return false;
	}
	return elsewhere && ejected >= PICK_CENTRE_EJECTED;
}

/* Takes one endpoint out. */
static void pick_eject_one(struct pick *pick, int e, const char *why,
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
 * Tells whether the load can do without an endpoint.  Ejecting on a mere
 * suspicion while every endpoint is needed would turn one slow endpoint into
 * an outage: the others, overloaded by its work, would be ejected in turn.
 */
static bool pick_spare(struct pick *pick, int e)
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
 * An endpoint that says it is full gets a rest and a lower limit, and the
 * limit goes up slowly where it was refused: other instances send there too,
 * and each would otherwise run into the refusal again and again.
 */
static void pick_refused(struct pick_ep *ep, int64_t now)
{
	ep->full_until_us = now + PICK_FULL_US;
	if (ep->limit > ep->in_flight)
		ep->limit = ep->in_flight;
	ep->refused_limit = ep->limit;
	ep->limit *= PICK_REFUSAL_FACTOR;
	if (ep->limit < 1)
		ep->limit = 1;
}

/* Updates the mean of what a service delivers here. */
static void pick_note_load(struct pick *pick, int service)
{
	double rate = (double)pick->load_tokens[service] * MAG_US_PER_S /
		      (double)PICK_TICK_US;

	pick->load_tokens[service] = 0;
	pick->service_load[service] +=
		PICK_LOAD_STEP * (rate - pick->service_load[service]);
}
