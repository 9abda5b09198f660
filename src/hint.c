#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/event.h>
#include <event2/util.h>

#include "clk.h"
#include "hint.h"
#include "hint_limit.h"
#include "hint_load.h"
#include "jlog.h"
#include "pres.h"
#include "wkp.h"

/*
 * Routers of a data centre share its workers: what one does not know of the
 * others' new streams it sends to workers that are full.  A data centre starts
 * 60 to 90 streams a second beside room for some 250, so load told this often
 * is wrong by a twentieth.
 */
#define HINT_EVERY_US (150 * MAG_US_PER_MS)
/* A router that was not heard for so long holds nothing. */
#define HINT_OLD_US (1200 * MAG_US_PER_MS)
/* Time for which a request that crashes workers is refused after a hint. */
#define HINT_QUARANTINE_US (60 * MAG_US_PER_S)
/* A suspicion is told in all messages of this time, as one may be lost. */
#define HINT_SUSPECT_US (600 * MAG_US_PER_MS)
/* A router that was not heard for so long has no part of a worker's limit. */
#define HINT_MEMBER_US (10 * MAG_US_PER_S)
/* Loads of callers are reported as requests in so many seconds. */
#define HINT_DEMAND_S 100.0
/* The load of callers is smoothed over this time. */
#define HINT_DEMAND_US (2 * MAG_US_PER_S)
/* Nobody had heard of the store for so long: it was out of reach. */
#define HINT_LEAP_US (1200 * MAG_US_PER_MS)
/*
 * Peers of the own data centre told in one round, and of the others; where
 * there are more, each hears of us less often, so that the traffic of a router
 * does not grow with the fleet.
 */
#define HINT_NEAR_MAX 32
#define HINT_FAR_MAX  4

/* What a peer said last. */
struct hint_peer {
	char name[MAG_NAME_MAX];
	int64_t heard_us;
	bool ready;
	struct sockaddr_in from; /* where its last message came from */
	uint32_t session;
	int64_t stamp_us; /* its newest clock, to be given back */
	struct hint_peer_loads loads;
	struct hint_router router;
	uint32_t limit_count;
	struct hint_limit limits[HINT_LIMITS_MAX];
};

struct hint {
	struct edge *edge;
	int fd;
	struct event *readable;
	int64_t next_us;
	int turn; /* of the peers, which one is told first in the next round */
	struct hint_peer *peers;
	int peer_count;
	struct hint_loads own;
	struct hint_index index; /* as of the last adding up */
	struct hint_router self; /* as reported to peers last */
	double demand;		 /* requests a second, smoothed */
	uint64_t requests;	 /* of callers, when that was computed */
	int64_t demand_us;	 /* likewise */
	int limit_turn;		 /* which limit the next message begins with */
};

static void hint_readable(evutil_socket_t fd, short what, void *arg);
static void hint_send(struct hint *hint, int near, int far);
static void hint_send_heard(struct hint *hint, struct hint_message *message);
static void hint_send_to(struct hint *hint, const struct sockaddr_in *addr,
			 struct hint_peer *peer, struct hint_message *message);
static void hint_greet(struct hint *hint, struct hint_peer *peer);
static struct hint_peer *hint_peer_named(struct hint *hint, const char *name);
static bool hint_has_suspect(struct hint *hint);
static void hint_collect(struct hint *hint, struct hint_message *message);
static void hint_collect_news(struct hint *hint, struct hint_message *message);
static void hint_take(struct hint *hint, const struct hint_message *message,
		      const struct sockaddr_in *from);
static void hint_take_attestation(struct edge *edge,
				  const struct attest_claim *claim,
				  int64_t now);
static void hint_add_up(struct hint *hint, int64_t now);
static void hint_take_demand(struct hint *hint, int64_t now);
static void hint_share_limits(struct hint *hint, int64_t now);
static const struct hint_router *hint_routers(const struct hint *hint,
					      int64_t now, int *count);
static void hint_suspect(struct hint *hint, uint32_t hash, const char *peer,
			 int64_t now);

int hint_new(struct edge *edge, struct hint **out)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	struct hint *hint = calloc(1, sizeof(*hint));

	if (!hint)
		return HINT_E_MEMORY;
	hint->edge = edge;
	hint->self.id = hint_load_hash(edge->set.instance);
	hint->self.centre = hint_load_hash(edge->set.data_centre);
	hint->peers = calloc(HINT_ROUTERS_MAX, sizeof(*hint->peers));
	hint->fd =
		socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	addr.sin_port = htons((uint16_t)edge->set.peer_port);
	if (!hint->peers || hint->fd < 0 ||
	    inet_pton(AF_INET, edge->set.address, &addr.sin_addr) != 1 ||
	    bind(hint->fd, (struct sockaddr *)&addr, sizeof(addr))) {
		hint_free(hint);
		return HINT_E_SOCKET;
	}
	hint->readable = event_new(edge->base, hint->fd, EV_READ | EV_PERSIST,
				   hint_readable, hint);
	if (!hint->readable) {
		hint_free(hint);
		return HINT_E_MEMORY;
	}
	event_add(hint->readable, NULL);
	*out = hint;
	return HINT_OK;
}

void hint_free(struct hint *hint)
{
	if (!hint)
		return;
	if (hint->readable)
		event_free(hint->readable);
	if (hint->fd >= 0)
		close(hint->fd);
	free(hint->peers);
	hint_load_free(&hint->index);
	free(hint);
}

/* Tells some peers, and adds up what all said. */
void hint_tick(struct hint *hint, int64_t now)
{
	if (hint_has_suspect(hint)) {
		hint_send(hint, HINT_ROUTERS_MAX, HINT_ROUTERS_MAX);
		return;
	}
	if (now < hint->next_us)
		return;
	hint->next_us = now + HINT_EVERY_US;
	hint_take_demand(hint, now);
	hint_add_up(hint, now);
	hint_share_limits(hint, now);
	hint_send(hint, HINT_NEAR_MAX, HINT_FAR_MAX);
}

/*
 * Lets the next messages go at once: what the store has just shown here spares
 * the other routers of the data centre a call of their own.
 */
void hint_soon(struct hint *hint, int64_t now)
{
	hint->next_us = now;
}

/*
 * Tells whether a worker came under suspicion by our own requests since the
 * last message; all peers hear of it at once.
 */
static bool hint_has_suspect(struct hint *hint)
{
	bool found = false;
	struct wk *wk;

	cds_list_for_each_entry (wk, &hint->edge->workers.workers, node) {
		if (wk->to_announce) {
			wk->to_announce = false;
			wk->announced_us = clk_boot_us();
			found = true;
		}
	}
	return found;
}

/* Sends a message to so many peers of our data centre, and of others. */
static void hint_send(struct hint *hint, int near, int far)
{
	static struct hint_message message;
	int peers = pres_peer_count(hint->edge->pres);
	const struct pres_peer *peer;
	struct sockaddr_in addr;
	int addr_len;
	int *left;
	int i;

	hint_collect(hint, &message);
	hint_collect_news(hint, &message);
	if (peers == 0)
		hint_send_heard(hint, &message);
	else
		hint->turn = (hint->turn + HINT_FAR_MAX) % peers;
	for (i = 0; i < peers && (near > 0 || far > 0); i++) {
		peer = pres_peer(hint->edge->pres, (hint->turn + i) % peers);
		left = strcmp(peer->data_centre, hint->edge->set.data_centre)
			       ? &far
			       : &near;
		if (*left == 0)
			continue;
		(*left)--;
		addr_len = sizeof(addr);
		if (!evutil_parse_sockaddr_port(
			    peer->address, (struct sockaddr *)&addr, &addr_len))
			hint_send_to(hint, &addr,
				     hint_peer_named(hint, peer->name),
				     &message);
	}
}

/*
 * A router that started while the store is away has no list of the others;
 * those that know its address tell it theirs by their messages.
 */
static void hint_send_heard(struct hint *hint, struct hint_message *message)
{
	int i;

	for (i = 0; i < hint->peer_count; i++)
		hint_send_to(hint, &hint->peers[i].from, &hint->peers[i],
			     message);
}

/*
 * Sends all parts of a message, with the receiver's own clock in it if that is
 * known.
 */
static void hint_send_to(struct hint *hint, const struct sockaddr_in *addr,
			 struct hint_peer *peer, struct hint_message *message)
{
	char bytes[HINT_BYTES_MAX];
	uint32_t part;
	size_t len;

	message->claim.session = peer ? peer->session : 0;
	message->claim.echo_us = peer ? peer->stamp_us : 0;
	for (part = 0; part < hint_load_parts(&hint->own); part++) {
		hint_load_fill(&hint->own, part, message);
		if (hint_msg_encode(message, bytes, &len))
			return;
		/* A full link drops it; the next one says the same. */
		(void)sendto(hint->fd, bytes, len, 0,
			     (const struct sockaddr *)addr, sizeof(*addr));
	}
}

/* Reports to a router that was heard for the first time; it may not be listed.
 */
static void hint_greet(struct hint *hint, struct hint_peer *peer)
{
	static struct hint_message message;

	hint_collect(hint, &message);
	hint_send_to(hint, &peer->from, peer, &message);
}

static struct hint_peer *hint_peer_named(struct hint *hint, const char *name)
{
	int i;

	for (i = 0; i < hint->peer_count; i++) {
		if (strcmp(hint->peers[i].name, name) == 0)
			return &hint->peers[i];
	}
	return NULL;
}

/* Collects our load, and what else each message says. */
static void hint_collect(struct hint *hint, struct hint_message *message)
{
	struct edge *edge = hint->edge;
	int64_t now = clk_boot_us();
	struct wk *wk;

	mag_copy_name(message->name, sizeof(message->name), edge->set.instance);
	message->ready = edge_is_ready(edge, now);
	message->session = edge->attest.session;
	message->stamp_us = now;
	message->at = sto_follow_pos(edge->follow);
	attest_make(&edge->attest, edge->rt ? edge->rt->version : -1, now,
		    &message->claim);
	hint_load_collect(&edge->workers, now, &hint->own);
	message->centre = hint->self.centre;
	message->demand = (uint32_t)(hint->self.demand * HINT_DEMAND_S);
	hint_limit_collect(&edge->workers, now, &hint->limit_turn, message);
	message->news_count = 0;
	message->suspect_count = 0;
	cds_list_for_each_entry (wk, &edge->workers.workers, node) {
		if (wk->announced_us &&
		    now - wk->announced_us < HINT_SUSPECT_US &&
		    message->suspect_count < HINT_SUSPECTS_MAX)
			message->suspects[message->suspect_count++] =
				hint_load_hash(wk->is.id);
	}
}

/* Adds what was learned of requests that crash workers; each is sent once. */
static void hint_collect_news(struct hint *hint, struct hint_message *message)
{
	struct quar *quar = hint->edge->quar;
	struct hint_news *news = message->news;
	int64_t until_us;

	while (message->news_count < HINT_NEWS_MAX &&
	       quar_next_update(quar, news[message->news_count].print,
				&news[message->news_count].lost, &until_us))
		message->news_count++;
}

static void hint_readable(evutil_socket_t fd, short what, void *arg)
{
	static struct hint_message message;
	char bytes[HINT_BYTES_MAX];
	struct sockaddr_in from;
	socklen_t from_len = sizeof(from);
	struct hint *hint = arg;
	ssize_t len;

	(void)what;
	while ((len = recvfrom(fd, bytes, sizeof(bytes), 0,
			       (struct sockaddr *)&from, &from_len)) > 0) {
		if (!hint_msg_decode(&message, bytes, (size_t)len))
			hint_take(hint, &message, &from);
		from_len = sizeof(from);
	}
}

static void hint_take(struct hint *hint, const struct hint_message *message,
		      const struct sockaddr_in *from)
{
	struct edge *edge = hint->edge;
	int64_t now = clk_boot_us();
	struct hint_peer *peer = hint_peer_named(hint, message->name);
	bool is_new = false;
	uint32_t k;

	if (!peer) {
		if (hint->peer_count == HINT_ROUTERS_MAX)
			return;
		peer = &hint->peers[hint->peer_count++];
		mag_copy_name(peer->name, sizeof(peer->name), message->name);
		/* It may wait for a word of others before it serves. */
		is_new = true;
	}
	peer->heard_us = now;
	peer->from = *from;
	peer->session = message->session;
	peer->stamp_us = message->stamp_us;
	peer->ready = message->ready != 0;
	hint_load_take(&peer->loads, message);
	peer->router.id = hint_load_hash(peer->name);
	peer->router.centre = message->centre;
	peer->router.demand = (double)message->demand / HINT_DEMAND_S;
	peer->limit_count = message->limit_count;
	memcpy(peer->limits, message->limits,
	       message->limit_count * sizeof(message->limits[0]));
	sto_follow_heard(edge->follow, message->at);
	edge->era.peers_heard = true;
	if (message->claim.version > edge->newest_peer_version)
		edge->newest_peer_version = message->claim.version;
	if (message->at.era == sto_era(edge->sto))
		hint_take_attestation(edge, &message->claim, now);
	for (k = 0; k < message->suspect_count; k++)
		hint_suspect(hint, message->suspects[k], message->name, now);
	for (k = 0; k < message->news_count; k++)
		quar_learn(hint->edge->quar, message->news[k].print,
			   message->news[k].lost, now + HINT_QUARANTINE_US,
			   now);
	if (is_new)
		hint_greet(hint, peer);
}

/*
 * Takes a peer's statement on the configuration's age.  A leap after an outage
 * shows that the store answers again.
 */
static void hint_take_attestation(struct edge *edge,
				  const struct attest_claim *claim, int64_t now)
{
	int64_t before_us = edge->attest.fresh_us;

	if (!edge->rt ||
	    !attest_from_peer(&edge->attest, claim, edge->rt->version, now))
		return;
	if (edge->attest.fresh_us - before_us >= HINT_LEAP_US)
		sto_follow_back(edge->follow);
}

/*
 * A peer found a worker dead or stuck by its own requests.  It is asked at
 * once: its answer clears it, its silence moves what waits for it here.
 */
static void hint_suspect(struct hint *hint, uint32_t hash, const char *peer,
			 int64_t now)
{
	struct wk *wk;

	cds_list_for_each_entry (wk, &hint->edge->workers.workers, node) {
		if (hint_load_hash(wk->is.id) != hash || wk->on_trial ||
		    now < wk->hold_until_us)
			continue;
		wk_hold_off(wk, now);
		jlog(LOG_WK_HINT, "\"worker\":\"%s\",\"peer\":\"%s\"",
		     wk->is.id, peer);
		wkp_ask(hint->edge, wk, now);
	}
}

/*
 * Tells whether a caller that is refused here would be taken by another
 * router: one was heard to be ready, or none was heard at all, when this
 * router is the one that is cut off.
 */
bool hint_others_ready(const struct hint *hint, int64_t now)
{
	bool heard = false;
	int i;

	for (i = 0; i < hint->peer_count; i++) {
		if (now - hint->peers[i].heard_us > HINT_OLD_US)
			continue;
		heard = true;
		if (hint->peers[i].ready)
			return true;
	}
	return !heard;
}

/*
 * Adds the load of all peers up for each worker.  Peers name workers by a
 * hash, which is looked up in a sorted index: hundreds of peers with dozens of
 * loads each are met many times a second.
 */
static void hint_add_up(struct hint *hint, int64_t now)
{
	const struct hint_peer *peer;
	int i;

	if (hint_load_begin(&hint->index, &hint->edge->workers))
		return;
	for (i = 0; i < hint->peer_count; i++) {
		peer = &hint->peers[i];
		if (now - peer->heard_us > HINT_OLD_US)
			continue;
		hint_load_add(&hint->index, &peer->loads, peer->heard_us);
		hint_limit_add(&hint->index, peer->limits, peer->limit_count,
			       peer->heard_us, now);
	}
}

/* Smooths the load of callers; parts of limits go by what was reported. */
static void hint_take_demand(struct hint *hint, int64_t now)
{
	uint64_t requests = hint->edge->met.counters[MET_REQUESTS];
	double passed_us = (double)(now - hint->demand_us);
	double weight = passed_us / HINT_DEMAND_US;
	double rate;

	if (passed_us <= 0)
		return;
	if (weight > 1)
		weight = 1;
	rate = (double)(requests - hint->requests) * MAG_US_PER_S / passed_us;
	hint->demand += weight * (rate - hint->demand);
	hint->requests = requests;
	hint->demand_us = now;
	hint->self.demand = hint->demand;
}

/* Sets this router's part of each limit that workers name. */
static void hint_share_limits(struct hint *hint, int64_t now)
{
	const struct hint_router *routers = NULL;
	int count = 0;
	struct wk *wk;

	cds_list_for_each_entry (wk, &hint->edge->workers.workers, node) {
		if (!wk->thr.limited)
			continue;
		if (!routers)
			routers = hint_routers(hint, now, &count);
		thr_set_fraction(
			&wk->thr,
			hint_limit_part(routers, count, hint->self.id, wk),
			now);
	}
}

/* Returns this router's part of the limit that a worker names. */
double hint_part(const struct hint *hint, const struct wk *wk, int64_t now)
{
	int count;
	const struct hint_router *routers = hint_routers(hint, now, &count);

	return hint_limit_part(routers, count, hint->self.id, wk);
}

/* Lists this router and those heard lately; valid until the next call. */
static const struct hint_router *hint_routers(const struct hint *hint,
					      int64_t now, int *count)
{
	static struct hint_router routers[HINT_ROUTERS_MAX + 1];
	int i;

	*count = 0;
	routers[(*count)++] = hint->self;
	for (i = 0; i < hint->peer_count; i++) {
		if (now - hint->peers[i].heard_us <= HINT_MEMBER_US)
			routers[(*count)++] = hint->peers[i].router;
	}
	return routers;
}
