#include <stdlib.h>
#include <string.h>

#include "inst.h"

/*
 * The module that makes a call to the platform assigns its id.  This bit
 * distinguishes the fleet's ids from the core's.
 */
#define INST_FLEET_CALL_BIT (UINT64_C(1) << 63)
/* Interval at which the callers' demand on the limits goes to the fleet. */
#define INST_DEMAND_PERIOD_US (100 * MAG_US_PER_MS)

struct inst {
	struct core *core;
	struct fleet *fleet;
	char data_centre[MAG_NAME_MAX];
	uint64_t revision; /* last one given to the fleet */
	int64_t demand_due_us;
	struct inst_fetch fetch; /* source of the newest revision announced */
	bool fetch_pending;
	struct inst_role role;
	bool role_reported;
};

typedef void (*inst_update_fn)(struct inst *inst,
			       const struct fleet_update *update);

static void post_core(struct inst *inst, const struct core_event *event,
		      int64_t now);
static void forward_config(struct inst *inst, int64_t now);
static void forward_quarantines(struct inst *inst, int64_t now);
static void forward_demand(struct inst *inst, int64_t now);
static void apply_updates(struct inst *inst);
static void on_revision(struct inst *inst, const struct fleet_update *update);
static void on_leaving(struct inst *inst, const struct fleet_update *update);
static void on_quarantine(struct inst *inst, const struct fleet_update *update);
static void on_share(struct inst *inst, const struct fleet_update *update);
static bool next_core_action(struct inst *inst, struct inst_action *action);
static bool next_role(struct inst *inst, struct inst_action *action);

/* Handlers by type of update; nothing here depends on which peers are up. */
static const inst_update_fn inst_update_handlers[FLEET_UPDATE_COUNT] = {
	[FLEET_UPDATE_LEAVING] = on_leaving,
	[FLEET_UPDATE_QUARANTINE] = on_quarantine,
	[FLEET_UPDATE_SHARE] = on_share,
	[FLEET_UPDATE_REVISION] = on_revision,
};

/* Creates an instance; returns NULL if out of memory. */
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

/* Frees an instance and its pending events; NULL is allowed. */
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
 * Accepts an event for the next tick.  The instance takes ownership of what the
 * event points to.  Returns 0, or -1 if the event was rejected.
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
		/* Its introduction brings its name and data centre. */
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

/* Runs the fleet and the core, and the exchange between them. */
void inst_tick(struct inst *inst, int64_t now)
{
	fleet_tick(inst->fleet, now);
	apply_updates(inst);
	core_tick(inst->core, now);
	forward_config(inst, now);
	forward_quarantines(inst, now);
	forward_demand(inst, now);
}

/* Returns the next action; false if there is none. */
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

/* Returns the latest time at which the next tick is due. */
int64_t inst_next_deadline(const struct inst *inst)
{
	int64_t due = core_next_deadline(inst->core);
	int64_t other = fleet_next_deadline(inst->fleet);

	return other < due ? other : due;
}

/* Returns the instance's core, which may be read between ticks. */
struct core *inst_core(struct inst *inst)
{
	return inst->core;
}

/* Returns the instance's fleet, which may be read between ticks. */
struct fleet *inst_fleet(struct inst *inst)
{
	return inst->fleet;
}

/*
 * Posts an event to the core.  Replies to the fleet's calls go to the fleet
 * instead, and a stop goes to both.
 */
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

/*
 * Gives a new configuration set to the fleet.  The fleet reads the core's set,
 * so it has to get the new one before it runs again.
 */
static void forward_config(struct inst *inst, int64_t now)
{
	const struct cfg_set *set = core_config(inst->core);

	if (!set || set->revision == inst->revision)
		return;
	inst->revision = set->revision;
	fleet_config(inst->fleet, set, now);
}

static void forward_quarantines(struct inst *inst, int64_t now)
{
	uint8_t fingerprint[MAG_DIGEST_BYTES];
	uint32_t endpoints_lost;
	int64_t until_us;

	while (core_next_quarantine(inst->core, fingerprint, &endpoints_lost,
				    &until_us))
		fleet_note_quarantine(inst->fleet, fingerprint, endpoints_lost,
				      until_us, now);
}

static void forward_demand(struct inst *inst, int64_t now)
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

/* Applies the fleet's updates to the core. */
static void apply_updates(struct inst *inst)
{
	struct fleet_update update;

	while (fleet_next_update(inst->fleet, &update)) {
		if (inst_update_handlers[update.type])
			inst_update_handlers[update.type](inst, &update);
	}
}

static void on_revision(struct inst *inst, const struct fleet_update *update)
{
	inst->fetch.revision = update->revision.revision;
	memcpy(inst->fetch.address, update->revision.address,
	       sizeof(inst->fetch.address));
	inst->fetch_pending = true;
}

static void on_leaving(struct inst *inst, const struct fleet_update *update)
{
	struct core_event event = { .type = CORE_EV_LEAVING };

	memcpy(event.leaving.endpoint, update->leaving.endpoint,
	       sizeof(event.leaving.endpoint));
	event.leaving.leaving = update->leaving.leaving;
	core_post(inst->core, &event);
}

static void on_quarantine(struct inst *inst, const struct fleet_update *update)
{
	core_merge_quarantine(inst->core, update->quarantine.fingerprint,
			      update->quarantine.endpoints_lost,
			      update->quarantine.until_us);
}

static void on_share(struct inst *inst, const struct fleet_update *update)
{
	core_set_share(inst->core, update->share.limit,
		       update->share.requests_per_s, update->share.tokens_per_s,
		       update->share.concurrent);
}

/* Returns the next action of the core, or else the next call of the fleet. */
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

/*
 * Reports the role when this instance starts or stops being a bridge, or the
 * number of listed instances changes.
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
