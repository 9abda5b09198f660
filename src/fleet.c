#include <stdlib.h>
#include <string.h>

#include "cnt.h"
#include "fleet_list.h"
#include "lim.h"
#include "log.h"
#include "pace.h"
#include "spread.h"

#define FLEET_BYTES_PER_S   9000
#define FLEET_INSTANCES_MAX 12 /* when the settings give none */
#define FLEET_RECORDS_MAX   4096
#define FLEET_RESEND_US	    (500 * MAG_US_PER_MS)
/* Least time between two fetches of the same revision. */
#define FLEET_FETCH_INTERVAL_US	 (500 * MAG_US_PER_MS)
#define FLEET_BRIDGE_POLL_US	 MAG_US_PER_S /* least for a bridge */
#define FLEET_BRIDGE_POLLS_PER_S 6	      /* of all bridges together */
#define FLEET_POLL_US		 (60 * MAG_US_PER_S) /* least for the others */
#define FLEET_POLLS_PER_S	 5 /* of all others together, at most */
#define FLEET_RETRY_US		 (2 * MAG_US_PER_S)
#define FLEET_LIST_CALL_ID	 1 /* ids of plc's calls are larger */
#define FLEET_PLC_CALL_ID_BASE	 1000

struct fleet {
	struct fleet_settings settings;
	struct peer *peer;
	struct spread *spread;
	struct lim *lim;
	struct plc *plc;
	struct pace pace;
	const struct cfg_set *set;
	int64_t now;
	uint64_t revision;
	uint64_t fetch_revision; /* last one requested from a peer */
	int64_t refetch_after_us;
	bool fetch_pending;
	int fetch_link; /* the peer to fetch from */
	int64_t next_list_us;
	bool list_running; /* a call for the list is pending or in progress */
	bool list_pending; /* fleet_next_call has yet to return it */
	int rail;	   /* that this instance bridges; -1: none */
};

static int fleet_create_modules(struct fleet *fleet, int64_t now);
static void fleet_send_records_early(struct fleet *fleet);
static void fleet_check_revision(struct fleet *fleet, int link, int64_t now);
static void fleet_poll_list(struct fleet *fleet, int64_t now);
static int64_t fleet_poll_interval_us(const struct fleet *fleet);
static void fleet_apply_list(struct fleet *fleet, const struct kv_reply *reply,
			     int64_t now);
static bool fleet_next_peer_update(struct fleet *fleet,
				   struct fleet_update *update);
static bool fleet_next_record_update(struct fleet *fleet,
				     struct fleet_update *update);
static bool fleet_next_share_update(struct fleet *fleet,
				    struct fleet_update *update);
static bool fleet_next_revision_update(struct fleet *fleet,
				       struct fleet_update *update);
static void fleet_apply_role(struct fleet *fleet);

/*
 * Creates one instance's view of the fleet.  Returns NULL if out of memory or
 * if the data centre's name is too long.
 */
struct fleet *fleet_new(const struct fleet_settings *settings, int64_t now)
{
	struct fleet *fleet = calloc(1, sizeof(*fleet));

	if (!fleet)
		return NULL;
	fleet->settings = *settings;
	if (fleet->settings.bytes_per_s == 0)
		fleet->settings.bytes_per_s = FLEET_BYTES_PER_S;
	if (fleet->settings.instances_max == 0)
		fleet->settings.instances_max = FLEET_INSTANCES_MAX;
	if (fleet_create_modules(fleet, now)) {
		fleet_free(fleet);
		return NULL;
	}
	return fleet;
}

/* Frees a fleet; NULL is allowed. */
void fleet_free(struct fleet *fleet)
{
	if (!fleet)
		return;
	plc_free(fleet->plc);
	lim_free(fleet->lim);
	spread_free(fleet->spread);
	peer_free(fleet->peer);
	free(fleet);
}

/*
 * Applies the configuration set in force, which must remain valid until the
 * next call.  If out of memory, returns FLEET_E_MEMORY and retains the old
 * limits.
 */
int fleet_config(struct fleet *fleet, const struct cfg_set *set, int64_t now)
{
	if (lim_config(fleet->lim, set, now))
		return FLEET_E_MEMORY;
	if (plc_config(fleet->plc, set, now))
		return FLEET_E_MEMORY;
	fleet->set = set;
	spread_config(fleet->spread, set);
	fleet_note_revision(fleet, set->revision, now);
	return FLEET_OK;
}

/*
 * Adds an instance named in the settings, so that this one can start without
 * the platform's list.
 */
int fleet_seed(struct fleet *fleet, const struct peer_list_entry *listed,
	       int64_t now)
{
	int link = peer_add(fleet->peer, listed, now);

	return link >= 0 || link == PEER_E_SELF ? FLEET_OK : FLEET_E_TOO_LONG;
}

/*
 * Records whether the owner of this fleet sees an endpoint as leaving.  The
 * platform's list is a separate source.
 */
int fleet_note_leaving(struct fleet *fleet, const char *endpoint, bool leaving,
		       int64_t now)
{
	fleet->now = now;
	if (spread_note_leaving(fleet->spread, endpoint, SPREAD_BY_CALLER,
				leaving))
		return FLEET_E_TOO_LONG;
	fleet_send_records_early(fleet);
	return FLEET_OK;
}

/* Records that this instance quarantined a fingerprint until until_us. */
int fleet_note_quarantine(struct fleet *fleet,
			  const uint8_t fingerprint[MAG_DIGEST_BYTES],
			  uint32_t endpoints_lost, int64_t until_us,
			  int64_t now)
{
	fleet->now = now;
	if (spread_note_quarantine(fleet->spread, fingerprint, endpoints_lost,
				   until_us, now))
		return FLEET_E_MEMORY;
	fleet_send_records_early(fleet);
	return FLEET_OK;
}

/*
 * Sets this instance's recent demand under a limit; lim_note_demand gives the
 * unit.
 */
int fleet_note_demand(struct fleet *fleet, int limit, double demand)
{
	return lim_note_demand(fleet->lim, limit, demand) ? FLEET_E_UNKNOWN
							  : FLEET_OK;
}

/*
 * Sets the revision in force on this instance; a revision that is not higher
 * is ignored.
 */
void fleet_note_revision(struct fleet *fleet, uint64_t revision, int64_t now)
{
	if (revision <= fleet->revision)
		return;
	fleet->revision = revision;
	peer_set_revision(fleet->peer, revision, now);
}

/*
 * Announces that this instance stops, so that the peers take over its part of
 * the limits at once.
 */
void fleet_note_stopping(struct fleet *fleet, int64_t now)
{
	peer_set_stopping(fleet->peer, now);
	plc_stop(fleet->plc, now);
}

/* Runs all timed work that is due. */
void fleet_tick(struct fleet *fleet, int64_t now)
{
	fleet->now = now;
	peer_tick(fleet->peer, now);
	if (peer_rail(fleet->peer) != fleet->rail)
		fleet_apply_role(fleet);
	spread_tick(fleet->spread, fleet->peer, now);
	lim_tick(fleet->lim, fleet->peer, now);
	fleet_poll_list(fleet, now);
	plc_tick(fleet->plc, now);
}

/* Returns when fleet_tick is due next. */
int64_t fleet_next_deadline(const struct fleet *fleet)
{
	int64_t next = peer_next_deadline(fleet->peer);
	int64_t at = lim_next_deadline(fleet->lim);

	if (at < next)
		next = at;
	at = plc_next_deadline(fleet->plc);
	if (at < next)
		next = at;
	if (!fleet->list_running && fleet->next_list_us < next)
		next = fleet->next_list_us;
	return next;
}

/*
 * Processes a message from a peer.  Returns FLEET_E_DROPPED if the message
 * was counted and dropped.
 */
int fleet_receive(struct fleet *fleet, const struct peer_msg *msg, int64_t now)
{
	int link;

	fleet->now = now;
	if (peer_receive(fleet->peer, msg, now, &link))
		return FLEET_E_DROPPED;
	if (spread_receive(fleet->spread, fleet->peer, link, msg, now) > 0) {
		peer_send_early(fleet->peer, link, now);
		fleet_send_records_early(fleet);
	}
	lim_receive(fleet->lim, fleet->peer, link, msg);
	fleet_check_revision(fleet, link, now);
	return FLEET_OK;
}

/* Returns the next message to send and its destination; false if none. */
bool fleet_next_send(struct fleet *fleet, char address[MAG_ADDR_MAX],
		     struct peer_msg *msg)
{
	int link;

	if (!peer_next_due(fleet->peer, fleet->now, &link))
		return false;
	memcpy(address, peer_link_address(fleet->peer, link), MAG_ADDR_MAX);
	peer_fill_header(fleet->peer, link, fleet->now, msg);
	spread_fill_message(fleet->spread, fleet->peer, link, fleet->now, msg);
	lim_fill_message(fleet->lim, fleet->peer, link, msg);
	if (msg->record_count > 0)
		peer_send_early(fleet->peer, link,
				fleet->now + FLEET_RESEND_US);
	return true;
}

/* Returns the next call to the platform; false if none. */
bool fleet_next_call(struct fleet *fleet, struct kv_call *call)
{
	if (fleet->list_pending) {
		fleet->list_pending = false;
		memset(call, 0, sizeof(*call));
		call->id = FLEET_LIST_CALL_ID;
		call->op = KV_INSTANCES;
		call->deadline_us = fleet->now + fleet->settings.kv_timeout_us;
		return true;
	}
	if (!plc_next_call(fleet->plc, call))
		return false;
	call->id += FLEET_PLC_CALL_ID_BASE;
	call->deadline_us = fleet->now + fleet->settings.kv_timeout_us;
	return true;
}

/* Processes the reply to a call; the caller retains the value. */
int fleet_reply(struct fleet *fleet, const struct kv_reply *reply, int64_t now)
{
	struct kv_reply inner = *reply;

	fleet->now = now;
	if (reply->id == FLEET_LIST_CALL_ID) {
		fleet_apply_list(fleet, reply, now);
		return FLEET_OK;
	}
	if (reply->id < FLEET_PLC_CALL_ID_BASE)
		return FLEET_E_UNKNOWN;
	inner.id -= FLEET_PLC_CALL_ID_BASE;
	return plc_reply(fleet->plc, &inner, now) ? FLEET_E_UNKNOWN : FLEET_OK;
}

/* Returns the next update that the owner has to apply; false if none. */
bool fleet_next_update(struct fleet *fleet, struct fleet_update *update)
{
	return fleet_next_peer_update(fleet, update) ||
	       fleet_next_record_update(fleet, update) ||
	       fleet_next_revision_update(fleet, update) ||
	       fleet_next_share_update(fleet, update);
}

/* Returns the next order to an engine; false if none. */
bool fleet_next_order(struct fleet *fleet, struct plc_order *order)
{
	return plc_next_order(fleet->plc, order);
}

/* Processes the result of an order. */
int fleet_order_done(struct fleet *fleet, const struct plc_order_result *result,
		     int64_t now)
{
	return plc_order_done(fleet->plc, result, now) ? FLEET_E_UNKNOWN
						       : FLEET_OK;
}

/*
 * Returns whether this instance watches the platform on behalf of its data
 * centre.
 */
bool fleet_is_bridge(const struct fleet *fleet)
{
	return peer_rail(fleet->peer) >= 0;
}

/*
 * Returns the number of instances that pool limits with this one, itself
 * included.
 */
uint32_t fleet_group_size(const struct fleet *fleet)
{
	return lim_group_size(fleet->lim);
}

/* Returns the number of instances in the platform's list. */
uint32_t fleet_listed_count(const struct fleet *fleet)
{
	return lim_part_count(fleet->lim);
}

/*
 * Returns one instance's part of the calls that all instances together may
 * make to the platform, at least one.  Equal parts need no messages
 * between instances, so they remain valid across any network partition.
 */
uint32_t fleet_call_part(uint32_t fleet_calls_per_s, uint32_t listed)
{
	uint32_t part = fleet_calls_per_s / (listed ? listed : 1);

	return part ? part : 1;
}

/*
 * Returns the addresses of peers that are up, as sources for the
 * configuration.  Peers in this instance's data centre come first.
 */
size_t fleet_peer_addresses(const struct fleet *fleet,
			    char (*addresses)[MAG_ADDR_MAX], size_t max)
{
	enum peer_link_kind kind;
	size_t count = 0;
	size_t i;

	for (kind = PEER_LINK_LOCAL; kind <= PEER_LINK_BRIDGE; kind++) {
		for (i = 0; i < peer_link_count(fleet->peer); i++) {
			if (count < max && peer_link_up(fleet->peer, (int)i) &&
			    peer_link_kind(fleet->peer, (int)i) == kind)
				memcpy(addresses[count++],
				       peer_link_address(fleet->peer, (int)i),
				       MAG_ADDR_MAX);
		}
	}
	return count;
}

/* Creates the modules; returns FLEET_E_MEMORY if one can't be created. */
static int fleet_create_modules(struct fleet *fleet, int64_t now)
{
	const struct fleet_settings *settings = &fleet->settings;
	struct peer_settings peer = { .incarnation = settings->incarnation,
				      .bytes_per_s = settings->bytes_per_s };
	struct plc_settings plc = { .incarnation = settings->incarnation,
				    .enabled = settings->may_place };

	memcpy(peer.cluster, settings->cluster, MAG_NAME_MAX);
	memcpy(peer.instance, settings->instance, MAG_NAME_MAX);
	memcpy(peer.data_centre, settings->data_centre, MAG_NAME_MAX);
	memcpy(peer.address, settings->address, MAG_ADDR_MAX);
	memcpy(plc.instance, settings->instance, MAG_NAME_MAX);
	memcpy(plc.data_centre, settings->data_centre, MAG_NAME_MAX);
	fleet->peer = peer_new(&peer, now);
	fleet->spread = spread_new(FLEET_RECORDS_MAX);
	fleet->lim = lim_new(settings->instances_max);
	fleet->plc = plc_new(&plc, now);
	pace_init(&fleet->pace, settings->seed ^ peer_hash(settings->instance),
		  FLEET_RETRY_US, FLEET_POLL_US);
	fleet->now = now;
	fleet->rail = -1;
	fleet->next_list_us = now;
	if (!fleet->peer || !fleet->spread || !fleet->lim || !fleet->plc)
		return FLEET_E_MEMORY;
	return FLEET_OK;
}

/* Schedules an early message to each peer that lacks a record. */
static void fleet_send_records_early(struct fleet *fleet)
{
	size_t i;

	for (i = 0; i < peer_link_count(fleet->peer); i++) {
		if (peer_link_up(fleet->peer, (int)i) &&
		    spread_pending(fleet->spread, fleet->peer, (int)i))
			peer_send_early(fleet->peer, (int)i, fleet->now);
	}
}

/* Schedules a fetch if a peer has a newer configuration than this instance. */
static void fleet_check_revision(struct fleet *fleet, int link, int64_t now)
{
	uint64_t revision = peer_link_revision(fleet->peer, link);

	if (revision <= fleet->revision)
		return;
	if (revision <= fleet->fetch_revision && now < fleet->refetch_after_us)
		return;
	fleet->fetch_revision = revision;
	fleet->refetch_after_us = now + FLEET_FETCH_INTERVAL_US;
	fleet->fetch_link = link;
	fleet->fetch_pending = true;
}

/*
 * Requests the platform's list when it is due.  Bridges poll it often, as they
 * tell the other instances how many exist; the others poll it rarely, as the
 * list only seeds their membership.
 */
static void fleet_poll_list(struct fleet *fleet, int64_t now)
{
	if (fleet->list_running || now < fleet->next_list_us)
		return;
	fleet->list_running = true;
	fleet->list_pending = true;
}

/*
 * Returns the time until the next poll of the list.  A change that one bridge
 * reads reaches all instances soon after, so the bridges divide a fixed call
 * rate among them, and the call rate does not grow with the fleet.
 */
static int64_t fleet_poll_interval_us(const struct fleet *fleet)
{
	int64_t bridges = PEER_RAILS * peer_data_centres(fleet->peer);
	int64_t others = peer_listed_count(fleet->peer);
	int64_t period;

	if (fleet_is_bridge(fleet)) {
		period = bridges * MAG_US_PER_S / FLEET_BRIDGE_POLLS_PER_S;
		return period > FLEET_BRIDGE_POLL_US ? period
						     : FLEET_BRIDGE_POLL_US;
	}
	period = others * MAG_US_PER_S / FLEET_POLLS_PER_S;
	return period > FLEET_POLL_US ? period : FLEET_POLL_US;
}

/* Applies the platform's list; after a failure the next poll backs off. */
static void fleet_apply_list(struct fleet *fleet, const struct kv_reply *reply,
			     int64_t now)
{
	struct fleet_list list;
	size_t i;

	fleet->list_running = false;
	if (reply->status != KV_OK ||
	    fleet_list_parse(reply->value, reply->len, &list)) {
		fleet->next_list_us = pace_after_failure(&fleet->pace, now);
		return;
	}
	fleet->next_list_us = pace_next_period(&fleet->pace, now,
					       fleet_poll_interval_us(fleet));
	peer_apply_list(fleet->peer, list.entries, list.entry_count, now);
	for (i = 0; i < list.endpoint_count; i++)
		spread_note_leaving(fleet->spread, list.endpoints[i].name,
				    SPREAD_BY_LIST, list.endpoints[i].leaving);
	fleet_list_free(&list);
	fleet_send_records_early(fleet);
}

static bool fleet_next_peer_update(struct fleet *fleet,
				   struct fleet_update *update)
{
	struct peer_change change;

	if (!peer_next_change(fleet->peer, &change))
		return false;
	update->type = FLEET_UPDATE_PEER;
	update->peer.up = change.up;
	memcpy(update->peer.instance, peer_link_name(fleet->peer, change.link),
	       MAG_NAME_MAX);
	memcpy(update->peer.address,
	       peer_link_address(fleet->peer, change.link), MAG_ADDR_MAX);
	if (change.up)
		log_event(LOG_PEER_UP, "peer=%s", update->peer.instance);
	else
		log_event(LOG_PEER_DOWN, "peer=%s", update->peer.instance);
	return true;
}

static bool fleet_next_record_update(struct fleet *fleet,
				     struct fleet_update *update)
{
	struct spread_change change;

	if (!spread_next_change(fleet->spread, &change))
		return false;
	if (change.kind == PEER_REC_LEAVING) {
		update->type = FLEET_UPDATE_LEAVING;
		update->leaving.leaving = change.leaving;
		memcpy(update->leaving.endpoint, change.endpoint, MAG_NAME_MAX);
		plc_note_leaving(fleet->plc, change.endpoint, change.leaving);
		log_event(LOG_PEER_LEAVING, "endpoint=%s leaving=%d",
			  change.endpoint, change.leaving);
		return true;
	}
	update->type = FLEET_UPDATE_QUARANTINE;
	update->quarantine.endpoints_lost = change.endpoints_lost;
	update->quarantine.until_us = change.until_us;
	memcpy(update->quarantine.fingerprint, change.fingerprint,
	       MAG_DIGEST_BYTES);
	return true;
}

static bool fleet_next_share_update(struct fleet *fleet,
				    struct fleet_update *update)
{
	struct lim_share share;

	if (!lim_next_share(fleet->lim, &share))
		return false;
	update->type = FLEET_UPDATE_SHARE;
	update->share.limit = share.limit;
	update->share.requests_per_s = share.requests_per_s;
	update->share.tokens_per_s = share.tokens_per_s;
	update->share.concurrent = share.concurrent;
	return true;
}

static bool fleet_next_revision_update(struct fleet *fleet,
				       struct fleet_update *update)
{
	if (!fleet->fetch_pending)
		return false;
	fleet->fetch_pending = false;
	update->type = FLEET_UPDATE_REVISION;
	update->revision.revision = fleet->fetch_revision;
	memcpy(update->revision.address,
	       peer_link_address(fleet->peer, fleet->fetch_link), MAG_ADDR_MAX);
	return true;
}

/* Applies and logs a change of this instance's bridge role. */
static void fleet_apply_role(struct fleet *fleet)
{
	fleet->rail = peer_rail(fleet->peer);
	log_event(LOG_PEER_ROLE, "rail=%d group=%u", fleet->rail,
		  peer_local_group_size(fleet->peer));
	/* A new bridge needs a recent list for its data centre. */
	if (fleet->rail >= 0 &&
	    fleet->next_list_us > fleet->now + fleet_poll_interval_us(fleet))
		fleet->next_list_us =
			fleet->now + fleet_poll_interval_us(fleet);
}
