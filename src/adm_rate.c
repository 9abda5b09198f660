#include "adm_int.h"

#define ADM_MEASURE_US	 (500 * MAG_US_PER_MS)
#define ADM_MEASURE_STEP 0.3
#define ADM_LEARN_STEP	 0.05

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

/* Returns how long a request at the end of a queue will wait. */
int64_t adm_wait_us(const struct adm *adm, const struct adm_queue *queue)
{
	const struct adm_service *service = &adm->services[queue->service];
	double rate = adm_service_rate(service) * adm_share(adm, queue);
	double tokens = queue->tokens * service->used_part;

	return (int64_t)(tokens / rate * (double)MAG_US_PER_S);
}

/* Returns how long a request runs once it started. */
int64_t adm_run_us(const struct adm_service *service, double cost)
{
	return (int64_t)(cost * service->used_part * service->us_per_token);
}

/*
 * Counts work done.  The rate is only learnt from spans through which
 * callers waited; otherwise it would be the callers' rate, not the
 * service's.
 */
void adm_measure(struct adm_service *service, double tokens, int64_t now)
{
	double rate;

	if (service->since_us == 0 || service->waiting == 0) {
		service->since_us = now ? now : 1;
		service->done = 0;
		return;
	}
	service->done += tokens;
	if (now - service->since_us < ADM_MEASURE_US)
		return;
	rate = service->done * (double)MAG_US_PER_S /
	       (double)(now - service->since_us);
	if (service->measured <= 0)
		service->measured = rate;
	service->measured += ADM_MEASURE_STEP * (rate - service->measured);
	service->since_us = now;
	service->done = 0;
}

/* Learns from a request that ended what requests cost and take. */
void adm_learn(struct adm *adm, const struct adm_request *request,
	       uint32_t tokens, int64_t now)
{
	struct adm_service *service = &adm->services[request->service];
	double took = (double)(now - request->started_us);

	adm_measure(service, tokens, now);
	service->mean_cost +=
		ADM_LEARN_STEP * (request->cost - service->mean_cost);
	if (tokens == 0)
		return;
	service->us_per_token +=
		ADM_LEARN_STEP * (took / tokens - service->us_per_token);
	service->used_part += ADM_LEARN_STEP * ((double)tokens / request->cost -
						service->used_part);
}
