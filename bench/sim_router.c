#include <stdlib.h>
#include <string.h>

#include "cfg.h"
#include "sim.h"

#define SIM_PROGRESS_TIMEOUT_US (500 * MAG_US_PER_MS)
#define SIM_QUARANTINE_LAG_US	(500 * MAG_US_PER_MS) /* between instances */
#define SIM_FIRST_TIMEOUT_US	(1500 * MAG_US_PER_MS)

static int sim_configure(struct sim *sim, int router, const char *json);
static void sim_spread_quarantines(struct sim *sim, int router);
static void sim_actions(struct sim *sim, int router);
static void sim_kv(struct sim *sim, int router, struct kv_call *call);

/* Creates and configures the routers' cores. */
int sim_routers(struct sim *sim)
{
	char *json = sim_config_json(sim);
	int err = 0;
	int i;

	for (i = 0; !err && i < sim->settings.routers; i++) {
		struct core_settings settings = {
			.incarnation = (uint64_t)i + 1,
			.seed = sim->settings.seed * 100 + (uint64_t)i,
			.policy = sim->settings.policy,
			.no_retry_budgets = sim->settings.no_budgets,
			.no_resume = sim->settings.no_resume,
			.progress_timeout_us = SIM_PROGRESS_TIMEOUT_US,
			.first_token_timeout_us = SIM_FIRST_TIMEOUT_US,
			.kv_timeout_us = MAG_US_PER_S,
			.ledger = { .shards = 1,
				    .segment_bytes = 65536,
				    .call_timeout_us = MAG_US_PER_S,
				    .batch_max = 64 },
		};

		snprintf(settings.instance, sizeof(settings.instance), "r%d",
			 i);
		snprintf(settings.data_centre, sizeof(settings.data_centre),
			 "dc%d", i % SIM_CENTRES);
		sim->tick_at[i] = MAG_NEVER;
		sim->cores[i] = core_new(&settings);
		err = sim->cores[i] ? sim_configure(sim, i, json) : -1;
	}
	free(json);
	return err;
}

/* Posts an event to a router and runs its tick. */
void sim_post(struct sim *sim, int router, const struct core_event *event)
{
	core_post(sim->cores[router], event);
	sim_tick(sim, router);
}

/* Runs a router's tick, executes its actions and schedules the next tick. */
void sim_tick(struct sim *sim, int router)
{
	int64_t next;

	core_tick(sim->cores[router], sim->now);
	sim_actions(sim, router);
	sim_spread_quarantines(sim, router);
	next = core_next_deadline(sim->cores[router]);
	if (next == MAG_NEVER)
		return;
	if (next <= sim->now)
		next = sim->now + 1;
	if (sim->tick_at[router] <= next && sim->tick_at[router] > sim->now)
		return;
	sim->tick_at[router] = next;
	sim_schedule(sim, next, SIM_EV_TICK, router, 0);
}

/* Applies the configuration on one router; prints its faults on failure. */
static int sim_configure(struct sim *sim, int router, const char *json)
{
	struct core_event event = { .type = CORE_EV_CONFIG };
	struct cfg_faults *faults = NULL;
	size_t i;

	if (cfg_parse(json, strlen(json), &event.config, &faults) < 0) {
		for (i = 0; faults && i < cfg_fault_count(faults); i++)
			fprintf(stderr, "%s\n", cfg_fault_text(faults, i));
		cfg_faults_free(faults);
		return -1;
	}
	event.config->revision = 1;
	sim_post(sim, router, &event);
	return 0;
}

/* Schedules the delivery of a router's new quarantines to the others. */
static void sim_spread_quarantines(struct sim *sim, int router)
{
	struct sim_quarantine *quarantine =
		&sim->quarantines[sim->quarantine_count];

	while (sim->quarantine_count < SIM_QUARANTINES_MAX &&
	       core_next_quarantine(sim->cores[router], quarantine->fingerprint,
				    &quarantine->endpoints_lost,
				    &quarantine->until_us)) {
		quarantine->router = router;
		sim_schedule(sim, sim->now + SIM_QUARANTINE_LAG_US,
			     SIM_EV_QUARANTINE, sim->quarantine_count++, 0);
		quarantine++;
	}
}

/* Delivers a quarantine to all routers but its origin. */
void sim_learn_quarantine(struct sim *sim, int index)
{
	const struct sim_quarantine *quarantine = &sim->quarantines[index];
	int i;

	for (i = 0; i < sim->settings.routers; i++) {
		if (i != quarantine->router)
			core_merge_quarantine(sim->cores[i],
					      quarantine->fingerprint,
					      quarantine->endpoints_lost,
					      quarantine->until_us);
	}
}

/* Executes all pending actions of a router. */
static void sim_actions(struct sim *sim, int router)
{
	struct core_action action;

	while (core_next_action(sim->cores[router], &action)) {
		switch (action.type) {
		case CORE_ACT_DISPATCH:
			sim_dispatch(sim, router, &action.dispatch);
			break;
		case CORE_ACT_CANCEL:
			sim_cancel(sim, router, &action.cancel);
			break;
		case CORE_ACT_ANSWER:
			sim_answer(sim, &action.answer);
			free(action.answer.body);
			break;
		case CORE_ACT_KV:
			sim_kv(sim, router, &action.kv);
			break;
		default:
			break;
		}
	}
}

/* No request has an idempotency key, so every ledger call finds no record. */
static void sim_kv(struct sim *sim, int router, struct kv_call *call)
{
	struct core_event event = { .type = CORE_EV_KV_REPLY };

	event.kv.id = call->id;
	event.kv.status = KV_ABSENT;
	free(call->value);
	core_post(sim->cores[router], &event);
}
