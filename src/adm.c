#include <stdlib.h>
#include <string.h>

#include "adm_int.h"
#include "log.h"

#define ADM_SEED_MIX	     UINT64_C(0x2545f4914f6cdd1d)
#define ADM_RATIO_DEVIATIONS 2
#define ADM_MIN_ANSWERS	     20

static bool adm_indices_valid(const struct adm *adm, int account, int service);
static enum adm_verdict adm_check_offer(struct adm *adm,
					const struct adm_offer *offer,
					struct adm_queue *queue, int64_t now);
static uint32_t adm_run_tokens(const struct adm_offer *offer);
static int adm_add_request(struct adm *adm, const struct adm_offer *offer,
			   int64_t now);
static void adm_remove(struct adm *adm, struct adm_request *request);

/*
 * Creates an empty admission.  The seed determines how the returns of refused
 * callers are spread.  Without budgets every retry is allowed, which is the
 * baseline of the benchmark.  Returns NULL if out of memory.
 */
struct adm *adm_new(uint64_t seed, bool budgets)
{
	struct adm *adm = calloc(1, sizeof(*adm));
	int i;

	if (!adm)
		return NULL;
	adm->budgets = budgets;
	adm->random = seed ^ ADM_SEED_MIX;
	adm->by_id = malloc(ADM_BUCKETS * sizeof(*adm->by_id));
	if (!adm->by_id) {
		free(adm);
		return NULL;
	}
	for (i = 0; i < ADM_BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&adm->by_id[i]);
	return adm;
}

/* Frees an admission; NULL is allowed. */
void adm_free(struct adm *adm)
{
	struct adm_request *request;
	struct adm_request *next;
	int i;

	if (!adm)
		return;
	for (i = 0; i < ADM_BUCKETS; i++) {
		cds_list_for_each_entry_safe (request, next, &adm->by_id[i],
					      id_node)
			free(request);
	}
	adm_free_tables(adm);
	free(adm->heap);
	free(adm->by_id);
	free(adm);
}

/*
 * Sets the throughput of a service in tokens per second.  The throughput
 * measured while requests wait takes precedence, but a change of capacity
 * scales the measured value at once, long before the change could be measured.
 */
void adm_set_capacity(struct adm *adm, int service, double tokens_per_s)
{
	struct adm_service *s;

	if (service < 0 || service >= adm->service_count)
		return;
	s = &adm->services[service];
	if (s->capacity > 0 && tokens_per_s > 0)
		s->measured_rate *= tokens_per_s / s->capacity;
	s->capacity = tokens_per_s;
}

/*
 * Offers a request.  After ADM_QUEUED, adm_peek returns the request in its
 * turn.  Any other verdict is a refusal, and the request is not stored.
 */
enum adm_verdict adm_offer(struct adm *adm, const struct adm_offer *offer,
			   int64_t now)
{
	struct adm_queue *queue;
	enum adm_verdict verdict;

	if (!adm_indices_valid(adm, offer->account, offer->service))
		return ADM_OVER_LIMIT;
	queue = adm_queue_at(adm, offer->service, offer->account);
	adm_limits_count_demand(adm, offer, now);
	verdict = adm_check_offer(adm, offer, queue, now);
	if (verdict == ADM_QUEUED && adm_add_request(adm, offer, now) < 0)
		verdict = ADM_QUEUE_FULL;
	if (verdict != ADM_QUEUED) {
		log_event(LOG_ADM_REFUSED,
			  "account=%s service=%s why=%s waiting=%u "
			  "wait_ms=%lld",
			  adm->accounts[offer->account].name,
			  adm->services[offer->service].name,
			  adm_verdict_name(verdict),
			  adm->services[offer->service].waiting,
			  (long long)(adm_wait_us(adm, queue) / MAG_US_PER_MS));
	}
	return verdict;
}

/* Records that a request is sent to endpoints now. */
void adm_start(struct adm *adm, uint64_t req, int64_t now)
{
	struct adm_request *request = adm_find(adm, req);
	struct adm_queue *queue;

	if (!request || request->started_us)
		return;
	queue = adm_queue_at(adm, request->service, request->account);
	adm_dequeue(adm, request);
	request->started_us = now ? now : 1;
	queue->deficit -= request->cost_tokens;
	adm_count_started_tokens(queue, request->run_tokens, now);
	if (queue->count == 0)
		queue->deficit = 0;
	adm_earn_retry(adm, queue, now);
}

/* Removes a request that never started, for example when its caller is gone. */
void adm_drop(struct adm *adm, uint64_t req, int64_t now)
{
	struct adm_request *request = adm_find(adm, req);

	(void)now;
	if (request)
		adm_remove(adm, request);
}

/*
 * Removes a request that was answered completely, and updates the estimates
 * from the length of the answer.
 */
void adm_answered(struct adm *adm, uint64_t req, uint32_t tokens, int64_t now)
{
	struct adm_request *request = adm_find(adm, req);

	if (request && request->started_us && request->service >= 0)
		adm_update_estimates(adm, request, tokens, now);
	adm_done(adm, req, tokens, now);
}

/*
 * Removes a request that ended.  If it used fewer tokens than it was charged,
 * the difference is returned to its account.
 */
void adm_done(struct adm *adm, uint64_t req, uint32_t tokens, int64_t now)
{
	struct adm_request *request = adm_find(adm, req);
	struct adm_queue *queue;

	if (!request)
		return;
	if (request->started_us && request->service >= 0) {
		queue = adm_queue_at(adm, request->service, request->account);
		adm_count_work(adm, request, tokens, now);
		if (queue->count > 0 && tokens < request->cost_tokens)
			queue->deficit += request->cost_tokens - tokens;
	}
	adm_remove(adm, request);
}

/* Returns the number of requests that wait for a service. */
uint32_t adm_waiting(const struct adm *adm, int service)
{
	if (service < 0 || service >= adm->service_count)
		return 0;
	return adm->services[service].waiting;
}

/*
 * Returns the tokens that almost every answer of at most max_tokens will have
 * at least; 0 until enough answers are known.  Callers often allow far more
 * tokens than they receive.
 */
double adm_expected_tokens(const struct adm *adm, int service,
			   uint32_t max_tokens)
{
	const struct adm_service *s;
	double ratio;

	if (service < 0 || service >= adm->service_count)
		return 0;
	s = &adm->services[service];
	ratio = s->answer_ratio - ADM_RATIO_DEVIATIONS * s->ratio_deviation;
	if (s->answer_count < ADM_MIN_ANSWERS || ratio < 0)
		return 0;
	return ratio * max_tokens;
}

/* Returns the name of a verdict for logs and answers. */
const char *adm_verdict_name(enum adm_verdict verdict)
{
	static const char *const names[] = {
		[ADM_QUEUED] = "queued",
		[ADM_QUEUE_FULL] = "queue-full",
		[ADM_TOO_LATE] = "too-late",
		[ADM_OVER_LIMIT] = "over-limit",
		[ADM_OVER_SHARE] = "over-share",
	};

	return names[verdict];
}

/* Returns the queue of an account at a service. */
struct adm_queue *adm_queue_at(struct adm *adm, int service, int account)
{
	return &adm->queues[service * adm->account_count + account];
}

/* Finds a request by its id; NULL if there is none. */
struct adm_request *adm_find(struct adm *adm, uint64_t id)
{
	struct cds_list_head *bucket = &adm->by_id[id & (ADM_BUCKETS - 1)];
	struct adm_request *request;

	cds_list_for_each_entry (request, bucket, id_node) {
		if (request->id == id)
			return request;
	}
	return NULL;
}

/* Tells whether both indices denote objects of the current configuration. */
static bool adm_indices_valid(const struct adm *adm, int account, int service)
{
	return account >= 0 && account < adm->account_count && service >= 0 &&
	       service < adm->service_count;
}

/*
 * Decides on an offer.  A request that would miss its deadline is refused at
 * once.  If it were admitted, it would wait, run and be discarded; under
 * overload the endpoints would do nothing else, and goodput would fall while
 * throughput stayed the same.
 */
static enum adm_verdict adm_check_offer(struct adm *adm,
					const struct adm_offer *offer,
					struct adm_queue *queue, int64_t now)
{
	struct adm_service *service = &adm->services[offer->service];
	double share = adm_share(adm, queue);
	double fair_places = service->queue_max * share;
	int64_t run_us = adm_run_us(service, adm_run_tokens(offer),
				    adm_is_below_share(adm, queue, now));

	if (now + adm_wait_us(adm, queue) + run_us > offer->deadline_us)
		return ADM_TOO_LATE;
	if (service->waiting >= service->queue_max &&
	    queue->count >= (uint32_t)fair_places)
		return queue->count > 2 * fair_places + 1 ? ADM_OVER_SHARE
							  : ADM_QUEUE_FULL;
	if (service->waiting >= service->queue_max / 2 &&
	    queue->count > (uint32_t)fair_places + 1)
		return ADM_OVER_SHARE;
	if (!adm_limits_take(adm, offer, now))
		return ADM_OVER_LIMIT;
	return ADM_QUEUED;
}

/* Returns the tokens that a request may run for. */
static uint32_t adm_run_tokens(const struct adm_offer *offer)
{
	uint32_t tokens = offer->run_tokens;

	if (tokens == 0)
		tokens = offer->cost_tokens;
	return tokens ? tokens : 1;
}

/* Adds an admitted request to its queue. */
static int adm_add_request(struct adm *adm, const struct adm_offer *offer,
			   int64_t now)
{
	struct adm_service *service = &adm->services[offer->service];
	struct adm_request *request = calloc(1, sizeof(*request));

	if (!request || adm_heap_reserve(adm) < 0) {
		free(request);
		return -1;
	}
	request->id = offer->req;
	request->account = offer->account;
	request->service = offer->service;
	request->cost_tokens = offer->cost_tokens ? offer->cost_tokens : 1;
	request->run_tokens = adm_run_tokens(offer);
	request->priority = offer->priority;
	request->offered_us = now;
	request->latest_start_us =
		offer->deadline_us -
		adm_run_us(service, request->run_tokens,
			   adm_is_below_share(adm,
					      adm_queue_at(adm, offer->service,
							   offer->account),
					      now));
	request->seq = adm->seq++;
	cds_list_add_tail(&request->id_node,
			  &adm->by_id[offer->req & (ADM_BUCKETS - 1)]);
	adm_queue_at(adm, offer->service, offer->account)->in_progress++;
	adm_limits_enter(adm, offer);
	adm_enqueue(adm, request);
	return 0;
}

/* Removes a request from all tables and frees it. */
static void adm_remove(struct adm *adm, struct adm_request *request)
{
	if (!request->started_us)
		adm_dequeue(adm, request);
	if (request->service >= 0) {
		adm_queue_at(adm, request->service, request->account)
			->in_progress--;
		adm_limits_leave(adm, request);
	}
	cds_list_del(&request->id_node);
	free(request);
}
