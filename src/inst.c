#include <stdlib.h>
#include <string.h>

#include "inst.h"

/*
 * Calls to the platform's service get their ids from the module that makes
 * them; this bit tells the fleet's from the core's.
 */
#define INST_FLEET_CALL_BIT (UINT64_C(1) << 63)
/* How often what callers ask of the limits is passed on. */
#define INST_DEMAND_PERIOD_US (100 * MAG_US_PER_MS)

struct inst {
	struct core *core;
	struct fleet *fleet;
	char data_centre[MAG_NAME_MAX];
	uint64_t revision; /* that the fleet knows */
	int64_t demand_due_us;
	struct inst_fetch fetch; /* the last news of a newer revision */
	bool fetch_pending;
	struct inst_role role;
	bool role_reported;
};

typedef void (*inst_update_fn)(struct inst *inst,
			       const struct fleet_update *news);

static void post_core(struct inst *inst, const struct core_event *event,
		      int64_t now);
static void pass_config(struct inst *inst, int64_t now);
static void pass_quarantines(struct inst *inst, int64_t now);
static void pass_demand(struct inst *inst, int64_t now);
static void take_news(struct inst *inst);
static void on_revision(struct inst *inst, const struct fleet_update *news);
static void on_leaving(struct inst *inst, const struct fleet_update *news);
static void on_quarantine(struct inst *inst, const struct fleet_update *news);
static void on_share(struct inst *inst, const struct fleet_update *news);
static bool next_core_action(struct inst *inst, struct inst_action *action);
static bool next_role(struct inst *inst, struct inst_action *action);

/* What each kind of news changes here; a peer's coming and going nothing. */
static const inst_update_fn inst_update_handlers[FLEET_UPDATE_COUNT] = {
	[FLEET_UPDATE_LEAVING] = on_leaving,
	[FLEET_UPDATE_QUARANTINE] = on_quarantine,
	[FLEET_UPDATE_SHARE] = on_share,
	[FLEET_UPDATE_REVISION] = on_revision,
};

/* Makes an instance; NULL if memory is short. */
struct inst *inst_new(const struct inst_settings *settings, int64_t now)
{
	struct inst *inst = calloc(1, sizeof(*inst));

	if (!inst)
		return NULL;
	memcpy(inst->data_centre, settings->fleet.data_centre,
	       sizeof(inst->data_centre));
	inst->core = core_new(&settings->core);
	inst->fleet = fleet_new(&settings->fleet, now);
	if (!inst->core || !inst->fleet) {
		inst_free(inst);
		return NULL;
	}
	return inst;
}

/* Frees an instance with what waits in it. */
void inst_free(struct inst *inst)
{
	if (!inst)
		return;
	if (inst->core)
		core_free(inst->core);
	fleet_free(inst->fleet);
	free(inst);
}

/*
 * Takes an event for the next tick; what it points to belongs to the instance.
 * Returns 0, or -1 if it could not be taken.
 */
int inst_post(struct inst *inst, const struct inst_event *event, int64_t now)
{
	struct peer_list_entry peer = { 0 };

	switch (event->type) {
	case INST_EV_PEER_MSG:
		return fleet_receive(inst->fleet, &event->msg, now) ? -1 : 0;
	case INST_EV_ORDER:
		return fleet_order_done(inst->fleet, &event->order, now) ? -1
									 : 0;
	case INST_EV_SEED:
		/* Its name and data centre are learned when it answers. */
		mag_copy_name(peer.name, sizeof(peer.name), event->seed);
		mag_copy_name(peer.address, sizeof(peer.address), event->seed);
		memcpy(peer.data_centre, inst->data_centre,
		       sizeof(peer.data_centre));
		return fleet_seed(inst->fleet, &peer, now) ? -1 : 0;
	default:
		post_core(inst, &event->core, now);
		return 0;
	}
}

/* Runs the fleet, the core, and what passes between them. */
void inst_tick(struct inst *inst, int64_t now)
{
	fleet_tick(inst->fleet, now);
	take_news(inst);
	core_tick(inst->core, now);
	pass_config(inst, now);
	pass_quarantines(inst, now);
	pass_demand(inst, now);
}

/* Takes the oldest action; false if there is none. */
bool inst_next_action(struct inst *inst, struct inst_action *action)
{
	if (next_core_action(inst, action))
		return true;
	if (fleet_next_send(inst->fleet, action->send.address,
			    &action->send.msg)) {
		action->type = INST_ACT_SEND;
		return true;
	}
	if (fleet_next_order(inst->fleet, &action->order)) {
		action->type = INST_ACT_ORDER;
		return true;
	}
	if (next_role(inst, action))
		return true;
	if (inst->fetch_pending) {
		inst->fetch_pending = false;
		action->type = INST_ACT_FETCH;
		action->fetch = inst->fetch;
		return true;
	}
	return false;
}

/* Returns when the next tick is due at the latest. */
int64_t inst_next_deadline(const struct inst *inst)
{
	int64_t due = core_next_deadline(inst->core);
	int64_t other = fleet_next_deadline(inst->fleet);

	return other < due ? other : due;
}

/* Returns the instance's core, to be read between ticks. */
struct core *inst_core(struct inst *inst)
{
	return inst->core;
}

/* Returns the instance's fleet, to be read between ticks. */
struct fleet *inst_fleet(struct inst *inst)
{
	return inst->fleet;
}

/* Sorts replies of the platform's service, and tells the fleet of a stop. */
static void post_core(struct inst *inst, const struct core_event *event,
		      int64_t now)
{
	struct core_event copy = *event;

	if (event->type == CORE_EV_KV_REPLY &&
	    (event->kv.id & INST_FLEET_CALL_BIT)) {
		copy.kv.id &= ~INST_FLEET_CALL_BIT;
		fleet_reply(inst->fleet, &copy.kv, now);
		free(copy.kv.value);
		return;
	}
	if (event->type == CORE_EV_STOP)
		fleet_note_stopping(inst->fleet, now);
	core_post(inst->core, &copy);
}

/* The fleet reads the core's set, so it has to follow before it runs. */
static void pass_config(struct inst *inst, int64_t now)
{
	const struct cfg_set *set = core_config(inst->core);

	if (!set || set->revision == inst->revision)
		return;
	inst->revision = set->revision;
	fleet_config(inst->fleet, set, now);
}

static void pass_quarantines(struct inst *inst, int64_t now)
{
	uint8_t print[MAG_DIGEST_BYTES];
	uint32_t lost;
	int64_t until_us;

	while (core_next_quarantine(inst->core, print, &lost, &until_us))
		fleet_note_quarantine(inst->fleet, print, lost, until_us, now);
}

static void pass_demand(struct inst *inst, int64_t now)
{
	const struct cfg_set *set = core_config(inst->core);
	size_t i;

	if (!set || now < inst->demand_due_us)
		return;
	inst->demand_due_us = now + INST_DEMAND_PERIOD_US;
	for (i = 0; i < set->limit_count; i++)
		fleet_note_demand(inst->fleet, (int)i,
				  core_demand(inst->core, (int)i));
}

/* Applies what the fleet learned to the core. */
static void take_news(struct inst *inst)
{
	struct fleet_update news;

	while (fleet_next_update(inst->fleet, &news)) {
		if (inst_update_handlers[news.type])
			inst_update_handlers[news.type](inst, &news);
	}
}

static void on_revision(struct inst *inst, const struct fleet_update *news)
{
	inst->fetch.revision = news->revision.revision;
	memcpy(inst->fetch.address, news->revision.address,
	       sizeof(inst->fetch.address));
	inst->fetch_pending = true;
}

static void on_leaving(struct inst *inst, const struct fleet_update *news)
{
	struct core_event event = { .type = CORE_EV_LEAVING };

	memcpy(event.leaving.endpoint, news->leaving.endpoint,
	       sizeof(event.leaving.endpoint));
	event.leaving.leaving = news->leaving.leaving;
	core_post(inst->core, &event);
}

static void on_quarantine(struct inst *inst, const struct fleet_update *news)
{
	core_learn_quarantine(inst->core, news->quarantine.fingerprint,
			      news->quarantine.endpoints_lost,
			      news->quarantine.until_us);
}

static void on_share(struct inst *inst, const struct fleet_update *news)
{
	core_set_share(inst->core, news->share.limit,
		       news->share.requests_per_s, news->share.tokens_per_s,
		       news->share.concurrent);
}

/* Takes an action of the core, or a call that the fleet wants made. */
static bool next_core_action(struct inst *inst, struct inst_action *action)
{
	action->type = INST_ACT_CORE;
	if (core_next_action(inst->core, &action->core))
		return true;
	if (!fleet_next_call(inst->fleet, &action->core.kv))
		return false;
	action->core.type = CORE_ACT_KV;
	action->core.kv.id |= INST_FLEET_CALL_BIT;
	return true;
}

/* Says when this instance becomes a bridge or not, or the fleet's size moves.
 */
static bool next_role(struct inst *inst, struct inst_action *action)
{
	struct inst_role role = { .bridge = fleet_is_bridge(inst->fleet),
				  .listed_count =
					  fleet_listed_count(inst->fleet) };

	if (inst->role_reported && role.bridge == inst->role.bridge &&
	    role.listed_count == inst->role.listed_count)
		return false;
	inst->role = role;
	inst->role_reported = true;
	action->type = INST_ACT_ROLE;
	action->role = role;
	return true;
}
