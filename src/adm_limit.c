#include <math.h>

#include "adm_int.h"

#define ADM_DEMAND_SPAN_S	  1.0  /* decay time of the demand */
#define ADM_FIRST_ATTEMPTS_SPAN_S 60.0 /* decay time of first attempts */
#define ADM_RETRY_AFTER_MAX_S	  120
#define ADM_MIN_SHARE		  1e-6
/* Part of the service rate that returning callers may use. */
#define ADM_RETURN_RATE_PART 0.5

static bool adm_limit_covers(const struct adm_limit *limit, int account,
			     int service);
static void adm_bucket_fill(struct adm_bucket *bucket, int64_t now);
static int64_t adm_bucket_wait_us(struct adm_bucket *bucket, int64_t now);
static double adm_random(struct adm *adm);
static double adm_limit_share(const struct adm_limit *limit);
static double adm_nonzero_share(double share);
static bool adm_limits_have_room(struct adm *adm, const struct adm_offer *offer,
				 int64_t now);

/* Sets a bucket's rate and burst; its level is retained up to the burst. */
void adm_bucket_set(struct adm_bucket *bucket, double rate, double burst,
		    int64_t now)
{
	adm_bucket_fill(bucket, now);
	bucket->rate = rate;
	bucket->burst = burst < 1 ? 1 : burst;
	bucket->updated_us = now;
	if (bucket->level > bucket->burst)
		bucket->level = bucket->burst;
}

/*
 * Carries over the level of the former configuration's bucket, up to the burst
 * of the new bucket.
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
 * Carries over the remaining amount of a limit, its demand, and this
 * instance's share of it.  Until the next adm_set_share, the share is the same
 * fraction of the new limit.
 */
void adm_limit_carry_over(struct adm_limit *limit, struct adm_limit *old,
			  int64_t now)
{
	double share = adm_limit_share(old);

	limit->demand = old->demand;
	limit->demand_us = old->demand_us;
	if (limit->requests.rate > 0)
		adm_bucket_set(&limit->requests, share * limit->fleet_requests,
			       share * limit->fleet_requests, now);
	if (limit->tokens.rate > 0)
		adm_bucket_set(&limit->tokens, share * limit->fleet_tokens,
			       share * limit->fleet_tokens, now);
	limit->concurrent = share * limit->fleet_concurrent;
	adm_bucket_carry_over(&limit->requests, &old->requests, now);
	adm_bucket_carry_over(&limit->tokens, &old->tokens, now);
}

/* Returns the fraction of a limit that this instance received last. */
static double adm_limit_share(const struct adm_limit *limit)
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
 * Tells whether a bucket holds enough units; one not in use always does.  A
 * request larger than the bucket passes when the bucket is full.
 */
bool adm_bucket_has(struct adm_bucket *bucket, double units, int64_t now)
{
	if (bucket->rate <= 0)
		return true;
	adm_bucket_fill(bucket, now);
	return bucket->level >= units || bucket->level >= bucket->burst;
}

/* Removes units from a bucket. */
void adm_bucket_take(struct adm_bucket *bucket, double units)
{
	bucket->level -= units;
}

/*
 * Sets this instance's share of a fleet-wide limit.  The units are those of
 * the limit object; a value is used only if the object defines it.
 */
void adm_set_share(struct adm *adm, int limit, double requests_per_s,
		   double tokens_per_s, double concurrent)
{
	struct adm_limit *l;

	if (limit < 0 || limit >= adm->limit_count)
		return;
	l = &adm->limits[limit];
	if (l->requests.rate > 0)
		adm_bucket_set(&l->requests, adm_nonzero_share(requests_per_s),
			       requests_per_s, l->requests.updated_us);
	if (l->tokens.rate > 0)
		adm_bucket_set(&l->tokens, adm_nonzero_share(tokens_per_s),
			       tokens_per_s, l->tokens.updated_us);
	if (l->concurrent > 0)
		l->concurrent = adm_nonzero_share(concurrent);
}

/*
 * Returns the recent demand for a limit in its own unit: requests per second,
 * tokens per second, or concurrent requests.
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

/* Adds an offer to the demand of each limit that covers it. */
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

/* Tells whether every limit admits a request, and if so deducts its cost. */
bool adm_limits_take(struct adm *adm, const struct adm_offer *offer,
		     int64_t now)
{
	int i;

	if (!adm_limits_have_room(adm, offer, now))
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

/* Tells whether every limit would admit a request. */
static bool adm_limits_have_room(struct adm *adm, const struct adm_offer *offer,
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

/* Counts a request as waiting or running. */
void adm_limits_enter(struct adm *adm, const struct adm_offer *offer)
{
	int i;

	for (i = 0; i < adm->limit_count; i++) {
		if (adm_limit_covers(&adm->limits[i], offer->account,
				     offer->service))
			adm->limits[i].in_progress++;
	}
}

/* Removes a request from the counts. */
void adm_limits_leave(struct adm *adm, const struct adm_request *request)
{
	int i;

	for (i = 0; i < adm->limit_count; i++) {
		if (adm_limit_covers(&adm->limits[i], request->account,
				     request->service))
			adm->limits[i].in_progress--;
	}
}

/* Returns how long until the limits admit requests of an account again. */
int64_t adm_limits_wait_us(struct adm *adm, int account, int service,
			   int64_t now)
{
	int64_t longest_us = 0;
	int i;

	for (i = 0; i < adm->limit_count; i++) {
		struct adm_limit *l = &adm->limits[i];
		int64_t wait;

		if (!adm_limit_covers(l, account, service))
			continue;
		wait = adm_bucket_wait_us(&l->requests, now);
		if (wait > longest_us)
			longest_us = wait;
		wait = adm_bucket_wait_us(&l->tokens, now);
		if (wait > longest_us)
			longest_us = wait;
	}
	return longest_us;
}

/* Credits the fraction of a retry that a first attempt earns. */
void adm_earn_retry(struct adm *adm, struct adm_queue *queue, int64_t now)
{
	double earned = adm->services[queue->service].retry_percent / 100.0;
	double max_balance;

	queue->first_attempts =
		adm_decay(queue->first_attempts, queue->first_attempts_us, now,
			  ADM_FIRST_ATTEMPTS_SPAN_S);
	queue->first_attempts += 1;
	queue->first_attempts_us = now;
	max_balance = earned * queue->first_attempts;
	if (max_balance < ADM_RETRY_BURST)
		max_balance = ADM_RETRY_BURST;
	queue->retry_balance += earned;
	if (queue->retry_balance > max_balance)
		queue->retry_balance = max_balance;
}

/*
 * Spends a retry of an account at a service after an endpoint failed (-1 if
 * none did).  Returns false if the budget is exhausted: the request then ends.
 * Without budgets, retries multiply the work exactly when there is too much of
 * it, and the overload outlasts its cause: the endpoints stay busy and goodput
 * stays low after the load has gone.
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
 * Returns when a refused caller should retry, in seconds from now.  Each
 * caller gets its own time after the current wait of the queue, spaced at the
 * rate at which the account's share of the service can admit them, so that
 * callers refused together do not return together.
 */
uint32_t adm_retry_after_s(struct adm *adm, int account, int service,
			   int64_t now)
{
	struct adm_queue *queue;
	int64_t earliest;
	double interval_s;
	double seconds;

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
	interval_s = adm->services[service].mean_cost /
		     (adm_service_rate(&adm->services[service]) *
		      adm_share(adm, queue) * ADM_RETURN_RATE_PART);
	queue->return_us += (int64_t)(interval_s * (double)MAG_US_PER_S);
	seconds = (double)(queue->return_us - now) / (double)MAG_US_PER_S;
	if (seconds > ADM_RETRY_AFTER_MAX_S) {
		/* Too many callers for separate times: spread them evenly. */
		queue->return_us = now + ADM_RETRY_AFTER_MAX_S * MAG_US_PER_S;
		seconds = ADM_RETRY_AFTER_MAX_S * (0.5 + adm_random(adm) / 2);
	}
	return seconds < 1 ? 1 : (uint32_t)ceil(seconds);
}

/* Tells whether a limit applies to requests of an account at a service. */
static bool adm_limit_covers(const struct adm_limit *limit, int account,
			     int service)
{
	return (limit->account < 0 || limit->account == account) &&
	       (limit->service < 0 || limit->service == service);
}

/* Adds the units that accrued since the last update. */
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

/* Returns how long until a bucket holds one unit. */
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

/* Returns the current value of a decaying sum. */
double adm_decay(double value, int64_t since_us, int64_t now, double span_s)
{
	double seconds = (double)(now - since_us) / (double)MAG_US_PER_S;

	return seconds <= 0 ? value : value * exp(-seconds / span_s);
}

/* Returns the next number in 0 .. 1 of the seeded random sequence. */
static double adm_random(struct adm *adm)
{
	return mag_random_unit(&adm->random);
}

/* Returns a share that is never zero, because zero would mean no limit. */
static double adm_nonzero_share(double share)
{
	return share > ADM_MIN_SHARE ? share : ADM_MIN_SHARE;
}
