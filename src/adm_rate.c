#include <math.h>

#include "adm_int.h"

#define ADM_MEASURE_US	      (500 * MAG_US_PER_MS)
#define ADM_MEASURE_STEP      0.3
#define ADM_LEARN_STEP	      0.05
#define ADM_DEVIATIONS	      1
#define ADM_DEVIATIONS_MODEST 0
#define ADM_SPENT_SPAN_S      5.0
#define ADM_MODEST_PART	      0.85 /* of its share, and less */

/*
 * Returns the rate at which a service's work gets done, in tokens a second:
 * what was measured while callers waited, or else what was told.
 */
double adm_service_rate(const struct adm_service *service)
{
	if (service->measured > 0)
		return service->measured;
	return service->capacity > 0 ? service->capacity : 1;
}

/*
 * Returns the part of a service that an account gets while it and all that
 * wait there want more, in 0 .. 1.
 */
double adm_share(const struct adm *adm, const struct adm_queue *queue)
{
	const struct adm_service *service = &adm->services[queue->service];
	double mine = adm->accounts[queue->account].weight;
	double sum = queue->count == 0 ? mine : 0;
	struct adm_queue *other;

	cds_list_for_each_entry (other, &service->active, active)
		sum += adm->accounts[other->account].weight;
	return mine / sum;
}

/*
 * Returns how long a request at the end of a queue will wait.  While its
 * queue is served, each other queue gets as much by weight, but no more than
 * waits in it: a queue with one request doesn't slow down a long one for
 * long.
 */
int64_t adm_wait_us(const struct adm *adm, const struct adm_queue *queue)
{
	const struct adm_service *service = &adm->services[queue->service];
	double weight = adm->accounts[queue->account].weight;
	double tokens = queue->waiting_tokens;
	struct adm_queue *other;

	cds_list_for_each_entry (other, &service->active, active) {
		double most = queue->waiting_tokens *
			      adm->accounts[other->account].weight / weight;

		if (other != queue)
			tokens += other->waiting_tokens < most
					  ? other->waiting_tokens
					  : most;
	}
	tokens *= service->answer_ratio;
	return (int64_t)(tokens / adm_service_rate(service) *
			 (double)MAG_US_PER_S);
}

/*
 * Returns how long a request will run: the mean and a part of the deviation.
 * With the mean alone, half of what is let in at the last moment would miss
 * its deadline.  An account that asks for less than its share (modest) is
 * let in by the mean: the misses of others are not its doing.
 */
int64_t adm_run_us(const struct adm_service *service, double tokens,
		   bool modest)
{
	double part = modest ? ADM_DEVIATIONS_MODEST : ADM_DEVIATIONS;
	double us = service->us_per_token + part * service->us_deviation;

	return (int64_t)(tokens * service->answer_ratio * us);
}

/* Counts what an account starts. */
void adm_count_started_tokens(struct adm_queue *queue, double tokens,
			      int64_t now)
{
	queue->recent_tokens = adm_decay(queue->recent_tokens, queue->recent_us,
					 now, ADM_SPENT_SPAN_S) +
			       tokens;
	queue->recent_us = now;
}

/* Tells whether an account got clearly less than its share lately. */
bool adm_is_below_share(const struct adm *adm, const struct adm_queue *queue,
			int64_t now)
{
	const struct adm_queue *first =
		&adm->queues[queue->service * adm->account_count];
	double mine = 0;
	double sum = 0;
	double weights = 0;
	int i;

	for (i = 0; i < adm->account_count; i++) {
		double spent =
			adm_decay(first[i].recent_tokens, first[i].recent_us,
				  now, ADM_SPENT_SPAN_S);

		if (&first[i] == queue)
			mine = spent;
		else if (spent < 1)
			continue;
		sum += spent;
		weights += adm->accounts[i].weight;
	}
	return mine * weights <
	       ADM_MODEST_PART * sum * adm->accounts[queue->account].weight;
}

/*
 * Counts work done.  The rate is only learnt from spans through which
 * callers waited; otherwise it would be the callers' rate, not the
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
	if (service->measured <= 0)
		service->measured = rate;
	service->measured += ADM_MEASURE_STEP * (rate - service->measured);
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
		ADM_LEARN_STEP * (request->cost_tokens - service->mean_cost);
}

/*
 * Learns from a whole answer how long answers are and what a token takes.
 * The first answers count more: callers may allow many times what they get,
 * and would be refused as too late until that is known.
 */
void adm_update_estimates(struct adm *adm, const struct adm_request *request,
			  uint32_t tokens, int64_t now)
{
	struct adm_service *service = &adm->services[request->service];
	double took = (double)(now - request->started_us);
	double step = 1.0 / (service->answers + 1);
	double off;

	if (tokens == 0)
		tokens = request->run_tokens;
	off = took / tokens - service->us_per_token;
	service->us_per_token += ADM_LEARN_STEP * off;
	service->us_deviation +=
		ADM_LEARN_STEP * (fabs(off) - service->us_deviation);
	if (step < ADM_LEARN_STEP)
		step = ADM_LEARN_STEP;
	off = (double)tokens / request->run_tokens - service->answer_ratio;
	service->answer_ratio += step * off;
	service->ratio_deviation +=
		step * (fabs(off) - service->ratio_deviation);
	service->answers++;
}
