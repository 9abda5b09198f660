#include <stdlib.h>
#include <string.h>

#include "node.h"

/*
 * Calls to the platform's service get their ids from the module that makes
 * them; this bit tells the fleet's from the core's.
 */
#define NODE_FLEET_CALL (UINT64_C(1) << 63)
/* How often what callers ask of the limits is passed on. */
#define NODE_DEMAND_PERIOD_US (100 * MAG_US_PER_MS)

struct node {
	struct core *core;
	struct fleet *fleet;
	char data_centre[MAG_NAME_MAX];
	uint64_t revision; /* that the fleet knows */
	int64_t demand_due_us;
	struct node_fetch fetch; /* the last news of a newer revision */
	bool fetch_wanted;
	struct node_role role;
	bool role_said;
};

typedef void (*node_news_fn)(struct node *node, const struct fleet_news *news);

static void post_core(struct node *node, const struct core_event *event,
		      int64_t now);
static void pass_config(struct node *node, int64_t now);
static void pass_quarantines(struct node *node, int64_t now);
static void pass_demand(struct node *node, int64_t now);
static void take_news(struct node *node);
static void on_revision(struct node *node, const struct fleet_news *news);
static void on_leaving(struct node *node, const struct fleet_news *news);
static void on_quarantine(struct node *node, const struct fleet_news *news);
static void on_share(struct node *node, const struct fleet_news *news);
static bool next_core_action(struct node *node, struct node_action *action);
static bool next_role(struct node *node, struct node_action *action);

/* What each kind of news changes here; a peer's coming and going nothing. */
static const node_news_fn node_news[FLEET_NEWS_COUNT] = {
	[FLEET_NEWS_LEAVING] = on_leaving,
	[FLEET_NEWS_QUARANTINE] = on_quarantine,
	[FLEET_NEWS_SHARE] = on_share,
	[FLEET_NEWS_REVISION] = on_revision,
};

/* Makes a node; NULL if memory is short. */
struct node *node_new(const struct node_settings *settings, int64_t now)
{
	struct node *node = calloc(1, sizeof(*node));

	if (!node)
		return NULL;
	memcpy(node->data_centre, settings->fleet.data_centre,
	       sizeof(node->data_centre));
	node->core = core_new(&settings->core);
	node->fleet = fleet_new(&settings->fleet, now);
	if (!node->core || !node->fleet) {
		node_free(node);
		return NULL;
	}
	return node;
}

/* Frees a node with what waits in it. */
void node_free(struct node *node)
{
	if (!node)
		return;
	if (node->core)
		core_free(node->core);
	fleet_free(node->fleet);
	free(node);
}

/*
 * Takes an event for the next tick; what it points to belongs to the node.
 * Returns 0, or -1 if it could not be taken.
 */
int node_post(struct node *node, const struct node_event *event, int64_t now)
{
	struct peer_listed peer = { 0 };

	switch (event->type) {
	case NODE_EV_PEER_MSG:
		return fleet_receive(node->fleet, &event->msg, now) ? -1 : 0;
	case NODE_EV_ORDER:
		return fleet_order_done(node->fleet, &event->order, now) ? -1
									 : 0;
	case NODE_EV_SEED:
		/* Its name and data centre are learned when it answers. */
		mag_copy_name(peer.name, sizeof(peer.name), event->seed);
		mag_copy_name(peer.address, sizeof(peer.address), event->seed);
		memcpy(peer.data_centre, node->data_centre,
		       sizeof(peer.data_centre));
		return fleet_seed(node->fleet, &peer, now) ? -1 : 0;
	default:
		post_core(node, &event->core, now);
		return 0;
	}
}

/* Runs the fleet, the core, and what passes between them. */
void node_tick(struct node *node, int64_t now)
{
	fleet_tick(node->fleet, now);
	take_news(node);
	core_tick(node->core, now);
	pass_config(node, now);
	pass_quarantines(node, now);
	pass_demand(node, now);
}

/* Takes the oldest action; false if there is none. */
bool node_next_action(struct node *node, struct node_action *action)
{
	if (next_core_action(node, action))
		return true;
	if (fleet_next_send(node->fleet, action->send.address,
			    &action->send.msg)) {
		action->type = NODE_ACT_SEND;
		return true;
	}
	if (fleet_next_order(node->fleet, &action->order)) {
		action->type = NODE_ACT_ORDER;
		return true;
	}
	if (next_role(node, action))
		return true;
	if (node->fetch_wanted) {
		node->fetch_wanted = false;
		action->type = NODE_ACT_FETCH;
		action->fetch = node->fetch;
		return true;
	}
	return false;
}

/* Returns when the next tick is due at the latest. */
int64_t node_next_deadline(const struct node *node)
{
	int64_t due = core_next_deadline(node->core);
	int64_t other = fleet_next_deadline(node->fleet);

	return other < due ? other : due;
}

/* Returns the node's core, to be read between ticks. */
struct core *node_core(struct node *node)
{
	return node->core;
}

/* Returns the node's fleet, to be read between ticks. */
struct fleet *node_fleet(struct node *node)
{
	return node->fleet;
}

/* Sorts replies of the platform's service, and tells the fleet of a stop. */
static void post_core(struct node *node, const struct core_event *event,
		      int64_t now)
{
	struct core_event copy = *event;

	if (event->type == CORE_EV_KV_REPLY &&
	    (event->kv.id & NODE_FLEET_CALL)) {
		copy.kv.id &= ~NODE_FLEET_CALL;
		fleet_reply(node->fleet, &copy.kv, now);
		free(copy.kv.value);
		return;
	}
	if (event->type == CORE_EV_STOP)
		fleet_note_stopping(node->fleet, now);
	core_post(node->core, &copy);
}

/* The fleet reads the core's set, so it has to follow before it runs. */
static void pass_config(struct node *node, int64_t now)
{
	const struct cfg_set *set = core_config(node->core);

	if (!set || set->revision == node->revision)
		return;
	node->revision = set->revision;
	fleet_config(node->fleet, set, now);
}

static void pass_quarantines(struct node *node, int64_t now)
{
	uint8_t print[MAG_DIGEST_BYTES];
	uint32_t lost;
	int64_t until_us;

	while (core_next_quarantine(node->core, print, &lost, &until_us))
		fleet_note_quarantine(node->fleet, print, lost, until_us, now);
}

static void pass_demand(struct node *node, int64_t now)
{
	const struct cfg_set *set = core_config(node->core);
	size_t i;

	if (!set || now < node->demand_due_us)
		return;
	node->demand_due_us = now + NODE_DEMAND_PERIOD_US;
	for (i = 0; i < set->limit_count; i++)
		fleet_note_demand(node->fleet, (int)i,
				  core_demand(node->core, (int)i));
}

/* Applies what the fleet learned to the core. */
static void take_news(struct node *node)
{
	struct fleet_news news;

	while (fleet_next_news(node->fleet, &news)) {
		if (node_news[news.type])
			node_news[news.type](node, &news);
	}
}

static void on_revision(struct node *node, const struct fleet_news *news)
{
	node->fetch.revision = news->revision.revision;
	memcpy(node->fetch.address, news->revision.address,
	       sizeof(node->fetch.address));
	node->fetch_wanted = true;
}

static void on_leaving(struct node *node, const struct fleet_news *news)
{
	struct core_event event = { .type = CORE_EV_LEAVING };

	memcpy(event.leaving.endpoint, news->leaving.endpoint,
	       sizeof(event.leaving.endpoint));
	event.leaving.leaving = news->leaving.leaving;
	core_post(node->core, &event);
}

static void on_quarantine(struct node *node, const struct fleet_news *news)
{
	core_learn_quarantine(node->core, news->quarantine.print,
			      news->quarantine.endpoints_lost,
			      news->quarantine.until_us);
}

static void on_share(struct node *node, const struct fleet_news *news)
{
	core_set_share(node->core, news->share.limit,
		       news->share.requests_per_s, news->share.tokens_per_s,
		       news->share.concurrent);
}

/* Takes an action of the core, or a call that the fleet wants made. */
static bool next_core_action(struct node *node, struct node_action *action)
{
	action->type = NODE_ACT_CORE;
	if (core_next_action(node->core, &action->core))
		return true;
	if (!fleet_next_call(node->fleet, &action->core.kv))
		return false;
	action->core.type = CORE_ACT_KV;
	action->core.kv.id |= NODE_FLEET_CALL;
	return true;
}

/* Says when this instance becomes a bridge or not, or the fleet's size moves.
 */
static bool next_role(struct node *node, struct node_action *action)
{
	struct node_role role = { .bridge = fleet_is_bridge(node->fleet),
				  .listed = fleet_listed(node->fleet) };

	if (node->role_said && role.bridge == node->role.bridge &&
	    role.listed == node->role.listed)
		return false;
	node->role = role;
	node->role_said = true;
	action->type = NODE_ACT_ROLE;
	action->role = role;
	return true;
}
