#include <math.h>

#include "adm_int.h"

#define ADM_DEMAND_SPAN_S 1.0  /* over which offers are averaged */
#define ADM_FIRSTS_SPAN_S 60.0 /* over which first attempts count */
#define ADM_RETURN_MAX_S  120
#define ADM_LEAST_SHARE	  1e-6
#define ADM_RETURN_PART	  0.5 /* of the rate, kept for callers sent away */

static bool adm_limit_covers(const struct adm_limit *limit, int account,
			     int service);
static void adm_bucket_fill(struct adm_bucket *bucket, int64_t now);
static int64_t adm_bucket_wait_us(struct adm_bucket *bucket, int64_t now);
static double adm_random(struct adm *adm);
static double adm_part(const struct adm_limit *limit);
static double adm_some(double share);
static bool adm_limits_have(struct adm *adm, const struct adm_offer *offer,
			    int64_t now);

/* Sets a bucket's rate and most; what it holds is kept up to the most. */
void adm_bucket_set(struct adm_bucket *bucket, double rate, double most,
		    int64_t now)
{
	adm_bucket_fill(bucket, now);
	bucket->rate = rate;
	bucket->burst = most < 1 ? 1 : most;
	bucket->updated_us = now;
	if (bucket->level > bucket->burst)
		bucket->level = bucket->burst;
}

/*
 * Takes over from the bucket of the former set what is left in it and, if this
 * one may hold as much as that one, the part that it had of it.
 */
void adm_bucket_carry_over(struct adm_bucket *bucket, struct adm_bucket *old,
			   int64_t now)
{
	if (bucket->rate <= 0 || old->rate <= 0)
		return;
	adm_bucket_fill(old, now);
	bucket->level = old->level < bucket->burst ? old->level : bucket->burst;
}

/*
 * Keeps what is left of a limit, its demand, and this instance's part of it:
 * until the next part is told, the same fraction of what the limit is now.
 */
void adm_limit_carry_over(struct adm_limit *limit, struct adm_limit *old,
			  int64_t now)
{
	double part = adm_part(old);

	limit->demand = old->demand;
	limit->demand_us = old->demand_us;
	if (limit->requests.rate > 0)
		adm_bucket_set(&limit->requests, part * limit->fleet_requests,
			       part * limit->fleet_requests, now);
	if (limit->tokens.rate > 0)
		adm_bucket_set(&limit->tokens, part * limit->fleet_tokens,
			       part * limit->fleet_tokens, now);
	limit->concurrent = part * limit->fleet_concurrent;
	adm_bucket_carry_over(&limit->requests, &old->requests, now);
	adm_bucket_carry_over(&limit->tokens, &old->tokens, now);
}

/* The fraction of a limit that this instance was given last. */
static double adm_part(const struct adm_limit *limit)
{
	if (limit->fleet_requests > 0)
		return limit->requests.rate / limit->fleet_requests;
	if (limit->fleet_tokens > 0)
		return limit->tokens.rate / limit->fleet_tokens;
	if (limit->fleet_concurrent > 0)
		return limit->concurrent / limit->fleet_concurrent;
	return 1;
}

/*
 * Tells whether a bucket has units; one not in use always has.  A request
 * larger than the bucket passes when the bucket is full.
 */
bool adm_bucket_has(struct adm_bucket *bucket, double units, int64_t now)
{
	if (bucket->rate <= 0)
		return true;
	adm_bucket_fill(bucket, now);
	return bucket->level >= units || bucket->level >= bucket->burst;
}

/* Takes units out of a bucket. */
void adm_bucket_take(struct adm_bucket *bucket, double units)
{
	bucket->level -= units;
}

/*
 * Sets what this instance may admit of a fleet-wide limit now.  The units
 * are those of the limit object; a value is used only where the object has
 * one.
 */
void adm_set_share(struct adm *adm, int limit, double requests_per_s,
		   double tokens_per_s, double concurrent)
{
	struct adm_limit *l;

	if (limit < 0 || limit >= adm->limit_count)
		return;
	l = &adm->limits[limit];
	if (l->requests.rate > 0)
		adm_bucket_set(&l->requests, adm_some(requests_per_s),
			       requests_per_s, l->requests.updated_us);
	if (l->tokens.rate > 0)
		adm_bucket_set(&l->tokens, adm_some(tokens_per_s), tokens_per_s,
			       l->tokens.updated_us);
	if (l->concurrent > 0)
		l->concurrent = adm_some(concurrent);
}

/*
 * Returns what callers offered of a limit lately, in its own unit: requests
 * a second, tokens a second, or requests at once.
 */
double adm_demand(const struct adm *adm, int limit, int64_t now)
{
	const struct adm_limit *l;

	if (limit < 0 || limit >= adm->limit_count)
		return 0;
	l = &adm->limits[limit];
	if (l->requests.rate <= 0 && l->tokens.rate <= 0)
		return l->in_progress;
	return adm_decay(l->demand, l->demand_us, now, ADM_DEMAND_SPAN_S) /
	       ADM_DEMAND_SPAN_S;
}

/* Counts an offer in the demand of each limit that covers it. */
void adm_limits_count_demand(struct adm *adm, const struct adm_offer *offer,
			     int64_t now)
{
	int i;

	for (i = 0; i < adm->limit_count; i++) {
		struct adm_limit *l = &adm->limits[i];

		if (!adm_limit_covers(l, offer->account, offer->service))
			continue;
		l->demand = adm_decay(l->demand, l->demand_us, now,
				      ADM_DEMAND_SPAN_S);
		l->demand += l->requests.rate > 0 ? 1 : offer->cost_tokens;
		l->demand_us = now;
	}
}

/* Tells whether every limit lets a request in, and takes what it costs. */
bool adm_limits_take(struct adm *adm, const struct adm_offer *offer,
		     int64_t now)
{
	int i;

	if (!adm_limits_have(adm, offer, now))
		return false;
	for (i = 0; i < adm->limit_count; i++) {
		struct adm_limit *l = &adm->limits[i];

		if (!adm_limit_covers(l, offer->account, offer->service))
			continue;
		adm_bucket_take(&l->requests, 1);
		adm_bucket_take(&l->tokens, offer->cost_tokens);
	}
	return true;
}

/* Tells whether every limit would let a request in. */
static bool adm_limits_have(struct adm *adm, const struct adm_offer *offer,
			    int64_t now)
{
	int i;

	for (i = 0; i < adm->limit_count; i++) {
		struct adm_limit *l = &adm->limits[i];

		if (!adm_limit_covers(l, offer->account, offer->service))
			continue;
		if (l->concurrent > 0 && l->in_progress + 1 > l->concurrent)
			return false;
		if (!adm_bucket_has(&l->requests, 1, now) ||
		    !adm_bucket_has(&l->tokens, offer->cost_tokens, now))
			return false;
	}
	return true;
}

/* Counts a request that waits or runs. */
void adm_limits_enter(struct adm *adm, const struct adm_offer *offer)
{
	int i;

	for (i = 0; i < adm->limit_count; i++) {
		if (adm_limit_covers(&adm->limits[i], offer->account,
				     offer->service))
			adm->limits[i].in_progress++;
	}
}

/* Counts a request off. */
void adm_limits_leave(struct adm *adm, const struct adm_request *request)
{
	int i;

	for (i = 0; i < adm->limit_count; i++) {
		if (adm_limit_covers(&adm->limits[i], request->account,
				     request->service))
			adm->limits[i].in_progress--;
	}
}

/* Returns how long until the limits let an account in again. */
int64_t adm_limits_wait_us(struct adm *adm, int account, int service,
			   int64_t now)
{
	int64_t most = 0;
	int i;

	for (i = 0; i < adm->limit_count; i++) {
		struct adm_limit *l = &adm->limits[i];
		int64_t wait;

		if (!adm_limit_covers(l, account, service))
			continue;
		wait = adm_bucket_wait_us(&l->requests, now);
		if (wait > most)
			most = wait;
		wait = adm_bucket_wait_us(&l->tokens, now);
		if (wait > most)
			most = wait;
	}
	return most;
}

/* Earns the part of a retry that a first attempt is worth. */
void adm_earn_retry(struct adm *adm, struct adm_queue *queue, int64_t now)
{
	double part = adm->services[queue->service].retry_percent / 100.0;
	double most;

	queue->first_attempts =
		adm_decay(queue->first_attempts, queue->first_attempts_us, now,
			  ADM_FIRSTS_SPAN_S);
	queue->first_attempts += 1;
	queue->first_attempts_us = now;
	most = part * queue->first_attempts;
	if (most < ADM_RETRY_BURST)
		most = ADM_RETRY_BURST;
	queue->retry_balance += part;
	if (queue->retry_balance > most)
		queue->retry_balance = most;
}

/*
 * Spends a retry of an account at a service after an endpoint failed (-1 if
 * none did).  False says that the budget is used up: the request ends.
 * Without budgets, retries multiply the work just when there is too much of
 * it, and the overload outlasts its cause; one would notice that the
 * endpoints stay busy and the goodput stays low after the load has gone.
 */
bool adm_may_retry(struct adm *adm, int account, int service, int endpoint,
		   int64_t now)
{
	struct adm_queue *queue;

	if (!adm->budgets)
		return true;
	if (account < 0 || account >= adm->account_count || service < 0 ||
	    service >= adm->service_count)
		return false;
	queue = adm_queue_at(adm, service, account);
	if (queue->retry_balance < 1)
		return false;
	if (endpoint >= 0 && endpoint < adm->endpoint_count &&
	    !adm_bucket_has(&adm->endpoints[endpoint].retries, 1, now))
		return false;
	if (endpoint >= 0 && endpoint < adm->endpoint_count)
		adm_bucket_take(&adm->endpoints[endpoint].retries, 1);
	queue->retry_balance -= 1;
	return true;
}

/*
 * Returns when a refused caller should come back, in seconds from now.  Each
 * gets a place of its own after the wait that the queue has now, spaced as
 * the account's share of the service will let them in; so callers that were
 * refused together don't return together.
 */
uint32_t adm_retry_after_s(struct adm *adm, int account, int service,
			   int64_t now)
{
	struct adm_queue *queue;
	int64_t earliest;
	double space;
	double s;

	if (account < 0 || account >= adm->account_count || service < 0 ||
	    service >= adm->service_count)
		return 1;
	queue = adm_queue_at(adm, service, account);
	earliest = adm_wait_us(adm, queue);
	if (adm_limits_wait_us(adm, account, service, now) > earliest)
		earliest = adm_limits_wait_us(adm, account, service, now);
	earliest += now;
	if (queue->return_us < earliest)
		queue->return_us = earliest;
	space = adm->services[service].mean_cost /
		(adm_service_rate(&adm->services[service]) *
		 adm_share(adm, queue) * ADM_RETURN_PART);
	queue->return_us += (int64_t)(space * (double)MAG_US_PER_S);
	s = (double)(queue->return_us - now) / (double)MAG_US_PER_S;
	if (s > ADM_RETURN_MAX_S) {
		/* Too many to give each a place: spread them evenly. */
		queue->return_us = now + ADM_RETURN_MAX_S * MAG_US_PER_S;
		s = ADM_RETURN_MAX_S * (0.5 + adm_random(adm) / 2);
	}
	return s < 1 ? 1 : (uint32_t)ceil(s);
}

/* Tells whether a limit counts requests of an account at a service. */
static bool adm_limit_covers(const struct adm_limit *limit, int account,
			     int service)
{
	return (limit->account < 0 || limit->account == account) &&
	       (limit->service < 0 || limit->service == service);
}

/* Adds what came since the level was last right. */
static void adm_bucket_fill(struct adm_bucket *bucket, int64_t now)
{
	if (now <= bucket->updated_us)
		return;
	bucket->level += bucket->rate * (double)(now - bucket->updated_us) /
			 (double)MAG_US_PER_S;
	if (bucket->level > bucket->burst)
		bucket->level = bucket->burst;
	bucket->updated_us = now;
}

/* Returns how long until a bucket has one unit. */
static int64_t adm_bucket_wait_us(struct adm_bucket *bucket, int64_t now)
{
	if (bucket->rate <= 0)
		return 0;
	adm_bucket_fill(bucket, now);
	if (bucket->level >= 1)
		return 0;
	return (int64_t)((1 - bucket->level) / bucket->rate *
			 (double)MAG_US_PER_S);
}

/* Returns what is left of a decaying sum. */
double adm_decay(double value, int64_t since_us, int64_t now, double span_s)
{
	double s = (double)(now - since_us) / (double)MAG_US_PER_S;

	return s <= 0 ? value : value * exp(-s / span_s);
}

/* Returns a random number in 0 .. 1, the next of the seeded sequence. */
static double adm_random(struct adm *adm)
{
	return mag_random_unit(&adm->random);
}

/* A share of nothing is not the same as no limit, which zero stands for. */
static double adm_some(double share)
{
	return share > ADM_LEAST_SHARE ? share : ADM_LEAST_SHARE;
}
