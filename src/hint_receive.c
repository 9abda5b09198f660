#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "clk.h"
#include "hint_int.h"
#include "hint_suspect.h"
#include "jlog.h"
#include "wkp.h"

/*
 * If a peer's claim advances the time of the last confirmation by this much,
 * the store was unreachable for all routers.
 */
#define HINT_OUTAGE_US (1200 * MAG_US_PER_MS)
/* Datagrams that are read before other events are looked at. */
#define HINT_READS_MAX 256

static void hint_read(struct hint *hint, char *bytes, size_t len,
		      const struct sockaddr_in *from);
static struct hint_peer *hint_add_peer(struct hint *hint, const char *name);
static void hint_receive(struct hint *hint, const struct hint_message *message,
			 const struct sockaddr_in *from);
static void hint_receive_age(struct hint *hint, const struct hint_peer *peer,
			     const struct hint_message *message, int64_t now);
static void hint_receive_traits(struct hint *hint,
				const struct hint_trait_message *message);
static void hint_receive_demands(struct hint *hint,
				 const struct hint_demand_message *message);
static void hint_receive_claim(struct edge *edge,
			       const struct attest_claim *claim, int64_t now);
static void hint_receive_suspect(struct hint *hint,
				 const struct hint_suspect *suspect,
				 const char *peer, int64_t now);

/*
 * Takes the datagrams that have come, so many at a time that others are served
 * between them; an event callback.
 */
void hint_on_readable(evutil_socket_t fd, short what, void *arg)
{
	char bytes[DGRAM_BYTES_MAX];
	struct sockaddr_in from;
	socklen_t from_len = sizeof(from);
	struct hint *hint = arg;
	ssize_t received;
	int i;

	(void)what;
	for (i = 0; i < HINT_READS_MAX; i++) {
		received = recvfrom(fd, bytes, sizeof(bytes), 0,
				    (struct sockaddr *)&from, &from_len);
		if (received < 0)
			break;
		hint_read(hint, bytes, (size_t)received, &from);
		from_len = sizeof(from);
	}
	hint->unread = i == HINT_READS_MAX;
}

/* Takes a datagram. */
static void hint_read(struct hint *hint, char *bytes, size_t len,
		      const struct sockaddr_in *from)
{
	static struct hint_trait_message traits;
	static struct hint_demand_message demands;
	static struct hint_message message;
	int64_t now = clk_boot_us();
	int rc = dgram_check(&hint->key, bytes, &len);

	if (rc) {
		hint_drop(&hint->drops, hint_drop_why(rc), from, now);
		return;
	}
	if (!hint_trait_decode(&traits, bytes, len))
		hint_receive_traits(hint, &traits);
	else if (!hint_demand_decode(&demands, bytes, len))
		hint_receive_demands(hint, &demands);
	else if (!hint_msg_decode(&message, bytes, len))
		hint_receive(hint, &message, from);
	else if (!hint_urgent_read(hint, bytes, len))
		hint_drop(&hint->drops, HINT_DROP_UNREADABLE, from, now);
}

/* Adds a peer; NULL without memory, or if there are too many. */
static struct hint_peer *hint_add_peer(struct hint *hint, const char *name)
{
	struct hint_peer *peer = NULL;

	if (hint_has_room(hint, clk_boot_us()))
		peer = calloc(1, sizeof(*peer));
	if (!peer || htab_add(&hint->names, &peer->by_name, htab_hash(name))) {
		free(peer);
		return NULL;
	}
	mag_copy_name(peer->name, sizeof(peer->name), name);
	peer->report.peer = peer->name;
	cds_list_add_tail(&peer->node, &hint->peers);
	hint->peer_count++;
	return peer;
}

static void hint_receive(struct hint *hint, const struct hint_message *message,
			 const struct sockaddr_in *from)
{
	struct edge *edge = hint->edge;
	int64_t now = clk_boot_us();
	struct hint_peer *peer = hint_find_peer(hint, message->name);
	bool is_new;
	bool was_away;
	uint32_t k;

	if (strcmp(message->name, edge->set.instance) == 0) {
		hint_drop(&hint->drops, HINT_DROP_OWN_NAME, from, now);
		return;
	}
	/* It may wait for a peer's message before it serves. */
	is_new = !peer || peer->session != message->session;
	was_away = peer && now - peer->received_us > hint_expiry_us(hint);
	if (!peer)
		peer = hint_add_peer(hint, message->name);
	if (!peer) {
		hint_drop(&hint->drops, HINT_DROP_PEERS, from, now);
		return;
	}
	peer->received_us = now;
	peer->address = *from;
	peer->session = message->session;
	peer->clock_us = message->sent_us;
	peer->ready = message->ready != 0;
	/* Without memory the load of its last message counts. */
	(void)hint_load_receive(&peer->loads, message);
	peer->router.id = htab_hash(peer->name);
	peer->router.data_centre = message->data_centre;
	peer->router.demand = (double)message->demand / HINT_DEMAND_S;
	peer->limit_count = message->limit_count;
	memcpy(peer->limits, message->limits,
	       message->limit_count * sizeof(message->limits[0]));
	sto_follow_learn_pos(edge->follow, message->store_pos, peer->name);
	hint_receive_age(hint, peer, message, now);
	edge->era.peer_message_seen = true;
	attest_hear_version(&edge->attest, &peer->report,
			    message->claim.version, message->version_era,
			    edge->rt ? edge->rt->version : -1, now);
	if (message->store_pos.era == sto_era(edge->sto))
		hint_receive_claim(edge, &message->claim, now);
	for (k = 0; k < message->suspect_count; k++)
		hint_receive_suspect(hint, &message->suspects[k], message->name,
				     now);
	for (k = 0; k < message->crash_count; k++) {
		if (!quar_traits_explain(edge->traits,
					 message->crashes[k].endpoint))
			(void)quar_hear(edge->quar, &message->crashes[k], now);
	}
	/* It may have been cut off when the others heard of a quarantine. */
	if (is_new || (was_away && hint_has_quarantines(hint, now)))
		hint_send_first(hint, peer);
}

/* Notes how old a peer's data is: it may be a better source than ours. */
static void hint_receive_age(struct hint *hint, const struct hint_peer *peer,
			     const struct hint_message *message, int64_t now)
{
	int64_t age_us = hint_msg_data_age(message->ready);
	char address[MAG_ADDR_MAX];

	if (age_us < 0 || now - age_us <= rel_fresh_us(hint->edge->rel))
		return;
	hint_write_address(peer, address);
	rel_hear(hint->edge->rel, peer->name, address, now - age_us, now);
}

/* Takes what a peer reports of losses under traits of requests. */
static void hint_receive_traits(struct hint *hint,
				const struct hint_trait_message *message)
{
	int64_t now = clk_boot_us();
	uint32_t i;

	for (i = 0; i < message->count; i++)
		quar_trait_hear(hint->edge->traits, &message->reports[i], now);
}

/* Takes what a peer has to send by service. */
static void hint_receive_demands(struct hint *hint,
				 const struct hint_demand_message *message)
{
	struct hint_peer *peer = hint_find_peer(hint, message->name);

	if (!peer)
		return;
	peer->demands = *message;
	peer->demands_us = clk_boot_us();
}

/*
 * Processes a peer's claim on the age of the configuration.  If the confirmed
 * time advances by HINT_OUTAGE_US or more, an outage has ended and the store
 * answers again.
 */
static void hint_receive_claim(struct edge *edge,
			       const struct attest_claim *claim, int64_t now)
{
	int64_t before_us = edge->attest.confirmed_us;

	if (!edge->rt || edge->config_refused ||
	    !attest_from_peer(&edge->attest, claim, edge->rt->version, now))
		return;
	if (edge->attest.confirmed_us - before_us >= HINT_OUTAGE_US)
		sto_follow_retry_now(edge->follow);
}

/*
 * Routers found a worker dead or stuck through their own requests.  Where
 * requests wait for it, it is probed at once: its answer clears it; without an
 * answer they are moved to other workers.  Otherwise a few routers of the data
 * centre probe it for all, so that a worker's death does not cost a connection
 * from every router.
 */
static void hint_receive_suspect(struct hint *hint,
				 const struct hint_suspect *suspect,
				 const char *peer, int64_t now)
{
	struct wk *wk = wk_by_hash(&hint->edge->workers, suspect->worker);
	const struct hint_router *routers;
	int count;

	for (; wk; wk = wk_next_by_hash(wk)) {
		if (!hint_suspect_hear(wk, suspect, now) ||
		    wk->proc.suspected || wk_is_paused(wk, now))
			continue;
		wk_pause_on_hearsay(wk, now);
		routers = hint_list_routers(hint, now, &count);
		if (!hint_suspect_probes(wk, routers, count, &hint->self, now))
			continue;
		jlog(LOG_WK_HINT, "\"worker\":\"%s\",\"peer\":\"%s\"",
		     wk->label, peer);
		wkp_probe(hint->edge, wk, now);
	}
}
