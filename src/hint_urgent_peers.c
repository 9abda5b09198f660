#include <string.h>

#include "clk.h"
#include "hint_int.h"
#include "pres.h"

/*
 * Datagrams that a router finds in its socket after it did not run for longer
 * than this are ignored: they may be as old as the pause.  It is two rounds, so
 * that at most the messages of a few are lost.
 */
#define HINT_URGENT_PAUSE_US (300 * MAG_US_PER_MS)

static bool hint_urgent_add(struct hint_urgent *urgent,
			    const struct edge_service *service);
static int hint_urgent_sum_service(struct hint *hint,
				   struct edge_service *service, int routers,
				   int64_t now);
static double hint_count_unheard(struct hint *hint, int64_t now);
static int hint_urgent_routers(const struct hint *hint, int64_t now);
static void hint_urgent_log(struct hint *hint, struct edge_service *service,
			    int routers, int heard, int64_t now);

/* Takes a peer's demand by urgency; false if it is another datagram. */
bool hint_urgent_read(struct hint *hint, char *bytes, size_t len)
{
	static struct hint_urgent_message message;
	int64_t now = clk_boot_us();
	struct hint_peer *peer;

	if (hint_urgent_decode(&message, bytes, len))
		return false;
	peer = hint_find_peer(hint, message.name);
	if (!peer || hint->urgent_unread ||
	    (hint->ticked_us && now - hint->ticked_us > HINT_URGENT_PAUSE_US))
		return true;
	peer->urgent = message;
	peer->urgent_us = now;
	return true;
}

/*
 * Drops the demand of peers that expired while this router did not run.  To be
 * called before urg_reserve(): callers may be read before the next tick.
 */
void hint_drop_expired(struct hint *hint, int64_t now)
{
	if (now - hint->urgent_summed_us > HINT_URGENT_PAUSE_US)
		hint_urgent_sum(hint, now);
}

/*
 * Tells whether this router did not run for so long that the loads of its peers
 * have expired, and has not yet heard of them again.  The workers look free to
 * it meanwhile.
 */
bool hint_is_behind(const struct hint *hint, int64_t now)
{
	return now < hint->behind_until_us ||
	       (hint->ticked_us &&
		now - hint->ticked_us > hint_expiry_us(hint));
}

/* Updates the own demand in each tick, also between rounds. */
void hint_urgent_tick(struct hint *hint, int64_t now)
{
	struct edge_service *service;

	if (hint_is_behind(hint, now) && now >= hint->behind_until_us)
		hint->behind_until_us = now + hint_round_us(hint);
	/* Between two ticks the event loop reads the socket until it is empty.
	 */
	if (!hint->unread)
		hint->urgent_unread = false;
	if (hint->ticked_us && now - hint->ticked_us > HINT_URGENT_PAUSE_US)
		hint->urgent_unread = true;
	hint->ticked_us = now;
	cds_list_for_each_entry (service, &hint->edge->services, node)
		urg_tick(&service->urg, now);
	hint_drop_expired(hint, now);
}

/*
 * Sums the demand for each service that peers have reported and that has not
 * expired; in each round.
 */
void hint_urgent_sum(struct hint *hint, int64_t now)
{
	int routers = hint_urgent_routers(hint, now);
	struct edge_service *service;
	int heard;

	hint->urgent_summed_us = now;
	hint->unheard_factor = hint_count_unheard(hint, now);
	cds_list_for_each_entry (service, &hint->edge->services, node) {
		heard = hint_urgent_sum_service(hint, service, routers, now);
		hint_urgent_log(hint, service, routers, heard, now);
	}
}

/*
 * Returns by which factor the load of the routers of the data centre that this
 * one hears of is to be multiplied, so that those in the list that it does not
 * hear of count with the mean of the others.
 */
static double hint_count_unheard(struct hint *hint, int64_t now)
{
	const struct pres *pres = hint->edge->pres;
	const struct pres_peer *listed;
	const struct hint_peer *peer;
	int routers = 1;
	int heard = 1;
	int i;

	for (i = 0; i < pres_peer_count(pres); i++) {
		listed = pres_peer(pres, i);
		if (strcmp(listed->data_centre, hint->edge->set.data_centre) !=
		    0)
			continue;
		peer = hint_find_peer(hint, listed->name);
		routers++;
		heard +=
			peer && now - peer->received_us <= hint_expiry_us(hint);
	}
	return (double)routers / heard;
}

/* Returns that factor, as of the last round; 1 before the first. */
double hint_unheard_factor(const struct hint *hint)
{
	return hint->unheard_factor > 1 ? hint->unheard_factor : 1;
}

/* Returns how many peers have reported demand for the service. */
static int hint_urgent_sum_service(struct hint *hint,
				   struct edge_service *service, int routers,
				   int64_t now)
{
	uint32_t hash = htab_hash(service->name);
	int64_t expiry_us = hint_expiry_us(hint);
	const struct hint_urgent *report;
	const struct hint_peer *peer;
	int heard = 0;

	urg_peers_begin(&service->urg, routers);
	urg_set_age(&service->urg, hint_round_us(hint));
	cds_list_for_each_entry (peer, &hint->peers, node) {
		if (!peer->urgent_us || now - peer->urgent_us > expiry_us)
			continue;
		report = hint_urgent_find(&peer->urgent, hash);
		if (!report)
			continue;
		urg_peers_add(&service->urg, report->reports,
			      (int)report->count);
		heard++;
	}
	return heard;
}

/*
 * Returns the number of routers in the list of peers, this one included.  A
 * router without the list counts those that it hears of.
 */
static int hint_urgent_routers(const struct hint *hint, int64_t now)
{
	int listed = pres_peer_count(hint->edge->pres);
	int64_t expiry_us = hint_expiry_us(hint);
	const struct hint_peer *peer;
	int heard = 0;

	if (listed > 0)
		return 1 + listed;
	cds_list_for_each_entry (peer, &hint->peers, node)
		heard += now - peer->received_us <= expiry_us;
	return 1 + heard;
}

/* Logs when a service begins to lack capacity, and when that ends. */
static void hint_urgent_log(struct hint *hint, struct edge_service *service,
			    int routers, int heard, int64_t now)
{
	const struct met_urgent *met = &hint->edge->met_urgent;
	struct urg_report demand[URG_LEVELS_MAX];
	struct urg_log_state state = {
		.service = service->name,
		.short_us = service->short_us,
		.is_short = edge_service_is_short(service, now),
		.reserve = met_urgent_greatest_reserve(met, service->name, now),
		.refused = met_urgent_refusals(met, service->name),
		.routers = routers,
		.heard = heard,
		.demand = demand,
		.count = urg_collect(&service->urg, demand, URG_LEVELS_MAX),
	};

	urg_log_tick(&service->urg_log, &state, now);
}

/*
 * Encodes the demand for the services that lacked capacity lately and whose
 * requests differ in urgency; nothing if there is none.  Peers estimate the
 * demand for services that do not fit.
 */
void hint_urgent_fill(struct hint *hint, int64_t now)
{
	static struct hint_urgent_message message;
	const struct edge_service *service;

	hint->urgent_len = 0;
	mag_copy_name(message.name, sizeof(message.name),
		      hint->edge->set.instance);
	message.count = 0;
	cds_list_for_each_entry (service, &hint->edge->services, node) {
		if (message.count == HINT_URGENT_SERVICES_MAX)
			break;
		if (edge_service_is_short(service, now) &&
		    hint_urgent_add(&message.services[message.count], service))
			message.count++;
	}
	if (message.count > 0 &&
	    hint_urgent_encode(&message, hint->urgent, &hint->urgent_len))
		hint->urgent_len = 0;
}

/* Fills in the demand for a service; false if it has one urgency or none. */
static bool hint_urgent_add(struct hint_urgent *urgent,
			    const struct edge_service *service)
{
	struct urg_report *report;
	int count = urg_collect(&service->urg, urgent->reports,
				HINT_URGENT_REPORTS_MAX);
	int i;

	if (count <= 1)
		return false;
	for (i = 0; i < count; i++) {
		report = &urgent->reports[i];
		if (report->urgency > HINT_URGENT_URGENCY_MAX)
			report->urgency = HINT_URGENT_URGENCY_MAX;
		if (!(report->need_per_s <= HINT_URGENT_NEED_MAX))
			report->need_per_s = HINT_URGENT_NEED_MAX;
	}
	urgent->service = htab_hash(service->name);
	urgent->count = (uint32_t)count;
	return true;
}
