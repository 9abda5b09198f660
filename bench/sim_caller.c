#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"

#define SIM_RETRIES_MAX	       5
#define SIM_IMPATIENT_US       (100 * MAG_US_PER_MS)
#define SIM_POISON_US	       MAG_US_PER_S /* until the caller resends it */
#define SIM_ALLOWANCE_MS       10000 /* minimum; the maximum is 1.5 times it */
#define SIM_PROMPT_TOKENS      40
#define SIM_TOKENS_LEAST       20
#define SIM_STATUS_QUARANTINED 422

static struct sim_call *sim_call_new(struct sim *sim, int account);
static void sim_send(struct sim *sim, struct sim_call *call);
static void sim_refused(struct sim *sim, struct sim_call *call,
			const struct core_answer *answer);
static void sim_count_goodput(struct sim *sim, const struct sim_call *call);
static bool sim_is_measured(const struct sim *sim, const struct sim_call *call);

/* Sends a request of an account and schedules the next one. */
void sim_arrival(struct sim *sim, int account)
{
	double rate = sim->demand[account] * sim->demand_factor[account];
	double wait = -log(1 - sim_random(sim)) / rate;

	sim_schedule(sim, sim->now + (int64_t)(wait * (double)MAG_US_PER_S),
		     SIM_EV_ARRIVAL, account, 0);
	sim_send(sim, sim_call_new(sim, account));
}

/* Retries a refused call as a new request for the same number of tokens. */
void sim_retry(struct sim *sim, int at)
{
	struct sim_call *old = &sim->calls[at];
	uint32_t tokens = old->tokens;
	int retries = old->retries;
	bool poison = old->poison;
	struct sim_call *call = sim_call_new(sim, old->account);

	call->tokens = tokens;
	call->retries = retries + 1;
	call->poison = poison;
	sim_send(sim, call);
}

/* Sends an account's poison request, which kills every stage that runs it. */
void sim_poison(struct sim *sim, int account)
{
	struct sim_call *call = sim_call_new(sim, account);

	call->poison = true;
	sim_send(sim, call);
}

/* Handles a router's final answer. */
void sim_answer(struct sim *sim, const struct core_answer *answer)
{
	struct sim_call *call = sim_call_of(sim, answer->req);

	if (!call->open)
		return;
	call->open = false;
	if (answer->kind == CORE_ANSWER_REFUSE)
		sim_refused(sim, call, answer);
	else if (sim->now <= call->deadline_us)
		sim_count_goodput(sim, call);
	else
		sim->result->late += sim_is_measured(sim, call);
}

/* Maps a request id to its call; ids start at 1. */
struct sim_call *sim_call_of(struct sim *sim, uint64_t req)
{
	return &sim->calls[req - 1];
}

/* Adds a call with random token count, prefix and allowance. */
static struct sim_call *sim_call_new(struct sim *sim, int account)
{
	struct sim_call *call;

	if (sim->call_count == sim->call_capacity) {
		sim->call_capacity = 2 * sim->call_capacity + 1024;
		sim->calls = realloc(sim->calls, (size_t)sim->call_capacity *
							 sizeof(*call));
	}
	call = &sim->calls[sim->call_count++];
	memset(call, 0, sizeof(*call));
	call->req = (uint64_t)sim->call_count;
	call->account = account;
	call->tokens = SIM_TOKENS_LEAST +
		       (uint32_t)(sim_random(sim) * 2 *
				  (SIM_TOKENS_MEAN - SIM_TOKENS_LEAST));
	if (sim->settings.prefixes)
		call->prefix = 1 + (uint32_t)(sim_random(sim) * SIM_PREFIXES);
	call->allowance_ms = SIM_ALLOWANCE_MS +
			     (uint32_t)(sim_random(sim) * SIM_ALLOWANCE_MS / 2);
	return call;
}

/* Sends a request to a random router, as a load balancer does. */
static void sim_send(struct sim *sim, struct sim_call *call)
{
	struct core_event event = { .type = CORE_EV_ARRIVAL };
	struct core_arrival *arrival = &event.arrival;
	int poison = call->poison;

	call->router = (int)(sim_random(sim) * sim->settings.routers);
	call->sent_us = sim->now;
	call->deadline_us = sim->now + call->allowance_ms * MAG_US_PER_MS;
	call->open = true;
	call->token_ms = calloc(SIM_TOKENS_MAX, sizeof(*call->token_ms));
	arrival->req = call->req;
	sim_account_hash(call->account, arrival->account_key_hash);
	snprintf(arrival->path, sizeof(arrival->path), "/v1/draft");
	memcpy(arrival->fingerprint, &call->req, sizeof(call->req));
	if (poison)
		memset(arrival->fingerprint, 0xee,
		       sizeof(arrival->fingerprint));
	arrival->prompt_tokens = SIM_PROMPT_TOKENS;
	if (call->prefix)
		arrival->prompt_tokens = SIM_PROMPT_LONG;
	if (!sim->settings.no_affinity)
		arrival->prefix_hash = call->prefix;
	arrival->max_tokens = call->tokens;
	arrival->timeout_ms = call->allowance_ms;
	if (sim_is_measured(sim, call)) {
		sim->result->calls++;
		sim->result->offered += call->tokens;
		sim->result->requested[call->account] += call->tokens;
	}
	sim_post(sim, call->router, &event);
}

/* Counts a refusal and schedules a retry if the policy has one. */
static void sim_refused(struct sim *sim, struct sim_call *call,
			const struct core_answer *answer)
{
	int64_t back_us = answer->retry_after_s * MAG_US_PER_S;
	int at = (int)(call - sim->calls);

	if (sim_is_measured(sim, call)) {
		if (answer->status == SIM_STATUS_QUARANTINED)
			sim->result->quarantined++;
		else if (answer->status == 504)
			sim->result->late++;
		else if (answer->status == 502)
			sim->result->failed++;
		else
			sim->result->refused++;
	}
	if (call->retries >= SIM_RETRIES_MAX ||
	    (sim->settings.retry_policy == SIM_NO_RETRY && !call->poison))
		return;
	if (sim->settings.retry_policy == SIM_RETRY_AT_ONCE)
		back_us = SIM_IMPATIENT_US;
	if (call->poison)
		back_us = SIM_POISON_US;
	if (back_us > 0)
		sim_schedule(sim, sim->now + back_us, SIM_EV_RETRY, at, 0);
}

/*
 * Counts a complete answer within its deadline; each token counts at its own
 * delivery time.
 */
static void sim_count_goodput(struct sim *sim, const struct sim_call *call)
{
	int64_t from = sim->settings.from_us / MAG_US_PER_MS;
	int64_t to = sim->settings.to_us / MAG_US_PER_MS;
	uint32_t i;

	if (sim_is_measured(sim, call))
		sim->result->answered_in_time[call->account] += call->tokens;
	for (i = 0; i < call->tokens; i++) {
		int64_t bucket =
			call->token_ms[i] * MAG_US_PER_MS / SIM_BUCKET_US;

		if (bucket < SIM_BUCKETS_MAX)
			sim->result->bucket[bucket] += 1;
		if (call->token_ms[i] < from || call->token_ms[i] >= to)
			continue;
		sim->result->goodput += 1;
		sim->result->served[call->account] += 1;
	}
}

/* Tells whether a request was sent within the measured interval. */
static bool sim_is_measured(const struct sim *sim, const struct sim_call *call)
{
	return call->sent_us >= sim->settings.from_us &&
	       call->sent_us < sim->settings.to_us;
}
