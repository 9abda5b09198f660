#include <math.h>

#include "adm_int.h"

#define ADM_MEASURE_US		   (500 * MAG_US_PER_MS)
#define ADM_MEASURE_STEP	   0.3
#define ADM_ESTIMATE_STEP	   0.05
#define ADM_DEVIATIONS		   1
#define ADM_DEVIATIONS_BELOW_SHARE 0
#define ADM_RECENT_SPAN_S	   5.0
#define ADM_BELOW_SHARE_PART	   0.85 /* of the share, at most */

/*
 * Returns the throughput of a service in tokens per second: the value measured
 * while requests waited, otherwise the one from adm_set_capacity.
 */
double adm_service_rate(const struct adm_service *service)
{
	if (service->measured_rate > 0)
		return service->measured_rate;
	return service->capacity > 0 ? service->capacity : 1;
}

/*
 * Returns the fraction of a service, in 0 .. 1, that an account receives while
 * it and all accounts with waiting requests want more.
 */
double adm_share(const struct adm *adm, const struct adm_queue *queue)
{
	const struct adm_service *service = &adm->services[queue->service];
	double own_weight = adm->accounts[queue->account].weight;
	double sum = queue->count == 0 ? own_weight : 0;
	struct adm_queue *other;

	cds_list_for_each_entry (other, &service->active, active)
		sum += adm->accounts[other->account].weight;
	return own_weight / sum;
}

/*
 * Returns how long a request at the end of a queue will wait.  While its queue
 * is served, each other queue receives as much by weight, but no more than the
 * tokens that wait in it: a queue with one request does not delay a long one
 * for long.
 */
int64_t adm_wait_us(const struct adm *adm, const struct adm_queue *queue)
{
	const struct adm_service *service = &adm->services[queue->service];
	double weight = adm->accounts[queue->account].weight;
	double tokens = queue->waiting_tokens;
	struct adm_queue *other;

	cds_list_for_each_entry (other, &service->active, active) {
		double max_tokens = queue->waiting_tokens *
				    adm->accounts[other->account].weight /
				    weight;

		if (other != queue)
			tokens += other->waiting_tokens < max_tokens
					  ? other->waiting_tokens
					  : max_tokens;
	}
	tokens *= service->answer_ratio;
	return (int64_t)(tokens / adm_service_rate(service) *
			 (double)MAG_US_PER_S);
}

/*
 * Returns how long a request will run: the mean plus a part of the deviation.
 * With the mean alone, half of the requests admitted at the last moment would
 * miss their deadlines.  An account below its share (below_share) is admitted
 * by the mean: it does not cause the misses of others.
 */
int64_t adm_run_us(const struct adm_service *service, double tokens,
		   bool below_share)
{
	double deviations =
		below_share ? ADM_DEVIATIONS_BELOW_SHARE : ADM_DEVIATIONS;
	double us = service->us_per_token + deviations * service->us_deviation;

	return (int64_t)(tokens * service->answer_ratio * us);
}

/* Counts the tokens that an account starts. */
void adm_count_started_tokens(struct adm_queue *queue, double tokens,
			      int64_t now)
{
	queue->recent_tokens = adm_decay(queue->recent_tokens, queue->recent_us,
					 now, ADM_RECENT_SPAN_S) +
			       tokens;
	queue->recent_us = now;
}

/* Tells whether an account recently received clearly less than its share. */
bool adm_is_below_share(const struct adm *adm, const struct adm_queue *queue,
			int64_t now)
{
	const struct adm_queue *first =
		&adm->queues[queue->service * adm->account_count];
	double own = 0;
	double sum = 0;
	double weights = 0;
	int i;

	for (i = 0; i < adm->account_count; i++) {
		double recent =
			adm_decay(first[i].recent_tokens, first[i].recent_us,
				  now, ADM_RECENT_SPAN_S);

		if (&first[i] == queue)
			own = recent;
		else if (recent < 1)
			continue;
		sum += recent;
		weights += adm->accounts[i].weight;
	}
	return own * weights < ADM_BELOW_SHARE_PART * sum *
				       adm->accounts[queue->account].weight;
}

/*
 * Counts completed work.  The rate is measured only over periods in which
 * requests waited throughout; otherwise it would be the callers' rate, not the
 * service's.
 */
void adm_measure_rate(struct adm_service *service, double tokens, int64_t now)
{
	double rate;

	if (service->measure_from_us == 0 || service->waiting == 0) {
		service->measure_from_us = now ? now : 1;
		service->measured_tokens = 0;
		return;
	}
	service->measured_tokens += tokens;
	if (now - service->measure_from_us < ADM_MEASURE_US)
		return;
	rate = service->measured_tokens * (double)MAG_US_PER_S /
	       (double)(now - service->measure_from_us);
	if (service->measured_rate <= 0)
		service->measured_rate = rate;
	service->measured_rate +=
		ADM_MEASURE_STEP * (rate - service->measured_rate);
	service->measure_from_us = now;
	service->measured_tokens = 0;
}

/* Counts the work of a request that ended. */
void adm_count_work(struct adm *adm, const struct adm_request *request,
		    uint32_t tokens, int64_t now)
{
	struct adm_service *service = &adm->services[request->service];

	if (service->counts_requests && tokens == 0)
		tokens = request->run_tokens;
	adm_measure_rate(service, tokens, now);
	service->mean_cost +=
		ADM_ESTIMATE_STEP * (request->cost_tokens - service->mean_cost);
}

/*
 * Updates the estimates of answer length and time per token from a complete
 * answer.  The first answers have more weight: callers may allow many times
 * the tokens that they receive, and would be refused as too late until that is
 * known.
 */
void adm_update_estimates(struct adm *adm, const struct adm_request *request,
			  uint32_t tokens, int64_t now)
{
	struct adm_service *service = &adm->services[request->service];
	double elapsed_us = (double)(now - request->started_us);
	double step = 1.0 / (service->answer_count + 1);
	double difference;

	if (tokens == 0)
		tokens = request->run_tokens;
	difference = elapsed_us / tokens - service->us_per_token;
	service->us_per_token += ADM_ESTIMATE_STEP * difference;
	service->us_deviation +=
		ADM_ESTIMATE_STEP * (fabs(difference) - service->us_deviation);
	if (step < ADM_ESTIMATE_STEP)
		step = ADM_ESTIMATE_STEP;
	difference =
		(double)tokens / request->run_tokens - service->answer_ratio;
	service->answer_ratio += step * difference;
	service->ratio_deviation +=
		step * (fabs(difference) - service->ratio_deviation);
	service->answer_count++;
}
