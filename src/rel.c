#include <stdlib.h>
#include <string.h>

#include "clk.h"
#include "jlog.h"
#include "pl_header.h"
#include "pl_store.h"
#include "rel_int.h"

/* A connection to another router is established within this time. */
#define REL_CONNECT_US (300 * MAG_US_PER_MS)
/* Time for an answer beyond the time that a poll stays open. */
#define REL_ANSWER_US (300 * MAG_US_PER_MS)
/* Time for the first answer, which has all items. */
#define REL_COMPLETE_US (3 * MAG_US_PER_S)
/* Shortest interval between two polls. */
#define REL_POLL_INTERVAL_US (20 * MAG_US_PER_MS)
#define REL_UPDATE_US	     (300 * MAG_US_PER_MS)
/* Polls to one router: the one in progress, and one that is being closed. */
#define REL_CONNECTIONS_MAX 2

static void rel_choose(struct rel *rel, int64_t now);
static void rel_follow_store(struct rel *rel);
static void rel_probe(struct rel *rel, int64_t now);
static int64_t rel_known_us(const struct rel *rel, int64_t now);
static int rel_age_ms(const struct rel *rel);
static void rel_poll(struct rel *rel, int64_t now);
static struct hc_host *rel_host(struct rel *rel, int source);
static bool rel_on_headers(void *user, const struct hc_response *response);
static void rel_on_body(void *user, const void *bytes, size_t len);
static void rel_on_end(void *user, enum hc_result end);
static void rel_log_cut(struct rel *rel, enum hc_result end, int64_t now);
static void rel_reject(struct rel *rel, const char *why, int64_t now);

static const struct hc_ops rel_ops = {
	.headers = rel_on_headers,
	.body = rel_on_body,
	.ended = rel_on_end,
};

/*
 * Starts to join the tree, and to serve other routers on a socket that listens,
 * which is closed with the result.
 */
int rel_new(struct edge *edge, const struct pres_peer *self,
	    const struct rel_owner *owner, int fd, struct rel **out)
{
	struct rel *rel = calloc(1, sizeof(*rel));
	int rc;

	if (!rel)
		return REL_E_MEMORY;
	rel->edge = edge;
	rel->owner = *owner;
	rel->source = TREE_WAIT;
	rel->body = evbuffer_new();
	tree_init(&rel->tree, self, edge_random(edge),
		  eset_bound_us(&edge->set));
	rel->pending.event = evtimer_new(edge->base, rel_on_slice, rel);
	rc = rel->body && rel->pending.event ? rel_serve_start(rel, fd)
					     : REL_E_MEMORY;
	if (rc) {
		rel_free(rel);
		return rc;
	}
	*out = rel;
	return REL_OK;
}

void rel_free(struct rel *rel)
{
	int i;

	if (!rel)
		return;
	if (rel->hs)
		rel_serve_stop(rel);
	for (i = 0; i <= TREE_CANDIDATES_MAX; i++)
		hc_host_free(rel->hosts[i]);
	if (rel->body)
		evbuffer_free(rel->body);
	rel_drop_pending(rel);
	if (rel->pending.event)
		event_free(rel->pending.event);
	free(rel->read);
	free(rel);
}

/* Joins the tree, polls this router's source, and answers others. */
void rel_tick(struct rel *rel, int64_t now)
{
	rel_serve_tick(rel, now);
	if (!rel->joined) {
		rel_join_tick(rel, now);
		return;
	}
	rel_probe(rel, now);
	if (rel->call || rel->pending.active)
		return;
	if (now >= rel->next_update_us) {
		rel->next_update_us = now + REL_UPDATE_US;
		if (pres_changes(rel->edge->pres) != rel->peers_seen)
			rel_update(rel);
	}
	rel_choose(rel, now);
}

/* Notes that the items known here were current at a time. */
void rel_on_fresh(struct rel *rel, int64_t at_us)
{
	if (at_us > rel->fresh_us)
		rel->fresh_us = at_us;
}

/* Returns when the items known here were current; 0: never. */
int64_t rel_fresh_us(const struct rel *rel)
{
	return rel->fresh_us;
}

/*
 * Notes that another router has newer items, which were current at fresh_us by
 * our clock.  A poll in progress is left if that router is the better source.
 */
void rel_hear(struct rel *rel, const char *name, const char *address,
	      int64_t fresh_us, int64_t now)
{
	if (rel->call && rel->call_source == TREE_HEARD)
		return;
	tree_hear(&rel->tree, name, address, fresh_us, now);
	if (!rel->call || rel->xfer.begun_us ||
	    tree_choose(&rel->tree, rel_known_us(rel, now), now) != TREE_HEARD)
		return;
	hc_cancel(rel->call);
	rel->call = NULL;
}

/*
 * Asks the store whether it serves this router, if the router that is followed
 * is not one of its place in the tree or has outdated data, and follows the
 * store once it has answered.
 */
static void rel_probe(struct rel *rel, int64_t now)
{
	struct sto_follow *follow = rel->edge->follow;

	if (!sto_follow_is_paused(follow) || rel->pending.active)
		return;
	if (rel->probe_sent_us &&
	    sto_follow_query_answered_us(follow) >= rel->probe_sent_us) {
		if (rel->call)
			hc_cancel(rel->call);
		rel->call = NULL;
		tree_on_probe(&rel->tree, now);
		rel_follow_store(rel);
	} else if (tree_probe_due(&rel->tree, rel_known_us(rel, now), now)) {
		rel->probe_sent_us = now;
		sto_follow_query(follow);
	}
}

/* Returns whether this router follows the store itself. */
bool rel_follows_store(const struct rel *rel)
{
	return !sto_follow_is_paused(rel->edge->follow);
}

/*
 * Returns the time within which others must learn a change through this router;
 * 0 if each router follows the store.
 */
int64_t rel_served_bound_us(const struct rel *rel)
{
	return rel->tree.direct ? 0 : rel->tree.bound_us;
}

/* Chooses the candidates anew, as the list of routers has changed. */
void rel_update(struct rel *rel)
{
	const struct pres *pres = rel->edge->pres;
	int count = pres_peer_count(pres);
	const struct pres_peer **peers =
		calloc((size_t)count + 1, sizeof(const struct pres_peer *));
	int i;

	if (!peers)
		return;
	for (i = 0; i < count; i++)
		peers[i] = pres_peer(pres, i);
	if (!tree_update(&rel->tree, peers, count))
		rel->peers_seen = pres_changes(pres);
	free(peers);
}

void rel_write_metrics(const struct rel *rel, int64_t now, struct evbuffer *out)
{
	evbuffer_add_printf(
		out,
		"magnolia_tree_rank %d\n"
		"magnolia_tree_follows_store %d\n"
		"magnolia_tree_follows_heard %d\n"
		"magnolia_tree_followers %d\n"
		"magnolia_tree_age_seconds %.3f\n"
		"magnolia_tree_polls_total %llu\n"
		"magnolia_tree_answers_total %llu\n"
		"magnolia_tree_bad_answers_total %llu\n"
		"magnolia_tree_cut_answers_total %llu\n"
		"magnolia_tree_received_bytes_total %llu\n"
		"magnolia_tree_sent_bytes_total %llu\n"
		"magnolia_config_version %lld\n"
		"magnolia_config_version_heard %lld\n",
		rel->tree.rank, rel_follows_store(rel), rel->tree.follows_heard,
		rel->wait_count,
		rel->fresh_us ? (double)(now - rel->fresh_us) / MAG_US_PER_S
			      : -1.0,
		(unsigned long long)rel->polls,
		(unsigned long long)rel->answers,
		(unsigned long long)rel->bad_answers,
		(unsigned long long)rel->cut_answers,
		(unsigned long long)rel->bytes_received,
		(unsigned long long)rel->bytes_sent,
		rel->edge->rt ? (long long)rel->edge->rt->version : -1LL,
		(long long)rel->edge->attest.newest_version);
}

/*
 * Follows the best source.  While the store is followed, a candidate is polled
 * without waiting, and takes over once it has answered well.
 */
static void rel_choose(struct rel *rel, int64_t now)
{
	int source = tree_choose(&rel->tree, rel_known_us(rel, now), now);

	if (source == TREE_STORE)
		rel_follow_store(rel);
	else if (source >= 0 && now >= rel->next_poll_us) {
		rel->call_source = source;
		rel_poll(rel, now);
	}
}

/*
 * Returns when the items were current, or when following began without any.
 * While the store is followed without trouble that is now, although its answer
 * to an open watch proves nothing until there are changes.
 */
static int64_t rel_known_us(const struct rel *rel, int64_t now)
{
	const struct sto_follow *follow = rel->edge->follow;

	if (!rel->fresh_us)
		return rel->joined_us;
	if (!sto_follow_is_paused(follow) &&
	    !sto_follow_is_doubtful(follow, now - tree_answer_us(&rel->tree)))
		return now;
	return rel->fresh_us;
}

/* Returns the age of the items for the log; -1: there are none. */
static int rel_age_ms(const struct rel *rel)
{
	return rel->fresh_us
		       ? (int)((clk_boot_us() - rel->fresh_us) / MAG_US_PER_MS)
		       : -1;
}

static void rel_follow_store(struct rel *rel)
{
	if (rel->source == TREE_STORE)
		return;
	rel->source = TREE_STORE;
	rel->marked = false;
	rel->probe_sent_us = 0;
	rel->source_name[0] = '\0';
	jlog(LOG_REL_SOURCE, "\"source\":\"store\",\"rank\":%d,\"age_ms\":%d",
	     rel->tree.rank, rel_age_ms(rel));
	sto_follow_resume(rel->edge->follow);
}

/* Follows the candidate that has answered, whose items are marked or not. */
void rel_follow_peer(struct rel *rel, bool marked)
{
	const char *name = rel->tree.candidates[rel->call_source].name;
	bool heard = rel->call_source == TREE_HEARD;

	rel->source = rel->call_source;
	rel->marked = marked || heard;
	if (strcmp(rel->source_name, name) == 0)
		return;
	mag_copy_name(rel->source_name, sizeof(rel->source_name), name);
	rel->probe_sent_us = 0;
	jlog(LOG_REL_SOURCE,
	     "\"source\":\"%s\",\"rank\":%d,\"heard\":%s,\"marked\":%s,"
	     "\"age_ms\":%d",
	     name, rel->tree.rank, heard ? "true" : "false",
	     marked ? "true" : "false", rel_age_ms(rel));
	if (!sto_follow_is_paused(rel->edge->follow))
		sto_follow_pause(rel->edge->follow);
}

/* Tells whether the candidate polled next is the one that is followed. */
bool rel_is_source(const struct rel *rel)
{
	const char *name = rel->tree.candidates[rel->call_source].name;

	return rel->source != TREE_STORE && strcmp(rel->source_name, name) == 0;
}

static void rel_poll(struct rel *rel, int64_t now)
{
	struct edge *edge = rel->edge;
	struct hc_host *host = rel_host(rel, rel->call_source);
	struct hc_send send = { 0 };
	char target[REL_TARGET_MAX];
	struct rel_poll poll;

	poll.after = sto_follow_pos(edge->follow);
	/* Changes alone would not bring what an unfinished list lacks. */
	if (sto_follow_is_unfinished(edge->follow))
		poll.after.revision = 0;
	poll.wait_us = rel_is_source(rel) || !rel->fresh_us
			       ? tree_wait_us(&rel->tree, rel->fresh_us, now)
			       : 0;
	poll.deployment = htab_hash(edge->set.deployment);
	rel_poll_write(target, sizeof(target), &poll);
	rel->sent_after = poll.after;
	rel->sent_us = now;
	rel->next_poll_us = now + REL_POLL_INTERVAL_US;
	rel->status = 0;
	evbuffer_drain(rel->body, evbuffer_get_length(rel->body));
	send.request = pl_call_encode(
		"GET", target, rel->tree.candidates[rel->call_source].address,
		NULL);
	send.ops = &rel_ops;
	send.user = rel;
	send.connect_by_us = now + REL_CONNECT_US;
	rel->xfer = (struct xfer){ .begin_by_us = now + poll.wait_us +
						  (poll.after.revision > 0
							   ? REL_ANSWER_US
							   : REL_COMPLETE_US) };
	send.deadline_us = xfer_deadline_us(&rel->xfer);
	send.body_max = REL_BYTES_MAX;
	rel->polls++;
	if (!host || !send.request || hc_start(host, &send, &rel->call)) {
		rel->call = NULL;
		tree_on_failure(&rel->tree, rel->call_source, now);
	}
}

/* Returns the host of a candidate, which may have moved to another place. */
static struct hc_host *rel_host(struct rel *rel, int source)
{
	const char *address = rel->tree.candidates[source].address;

	if (rel->hosts[source] && strcmp(rel->addresses[source], address) == 0)
		return rel->hosts[source];
	hc_host_free(rel->hosts[source]);
	rel->hosts[source] = NULL;
	if (hc_host_new(rel->edge->hc, address, REL_CONNECTIONS_MAX,
			&rel->hosts[source]))
		return NULL;
	mag_copy_name(rel->addresses[source], sizeof(rel->addresses[source]),
		      address);
	return rel->hosts[source];
}

static bool rel_on_headers(void *user, const struct hc_response *response)
{
	struct rel *rel = user;

	rel->status = response->status;
	return true;
}

static void rel_on_body(void *user, const void *bytes, size_t len)
{
	struct rel *rel = user;

	rel->bytes_received += len;
	xfer_receive(&rel->xfer, len, clk_boot_us());
	hc_extend_deadline(rel->call, xfer_deadline_us(&rel->xfer));
	evbuffer_add(rel->body, bytes, len);
}

static void rel_on_end(void *user, enum hc_result end)
{
	struct rel *rel = user;
	int64_t now = clk_boot_us();
	size_t len = evbuffer_get_length(rel->body);
	struct rel_answer answer;
	struct wire_items items;
	char *body;

	rel->call = NULL;
	if (end == HC_COMPLETE && rel->status == 503) {
		tree_on_empty(&rel->tree, rel->call_source, now);
		return;
	}
	if (end != HC_COMPLETE || rel->status != 200) {
		rel_log_cut(rel, end, now);
		if (rel->hosts[rel->call_source])
			hc_host_drop_idle(rel->hosts[rel->call_source]);
		tree_on_failure(&rel->tree, rel->call_source, now);
		return;
	}
	rel->arrived_us = now;
	body = (char *)evbuffer_pullup(rel->body, -1);
	if (!body)
		len = 0;
	switch (rel_answer_decode(body, len, rel->sent_after, &answer,
				  &items)) {
	case REL_MSG_OK:
		rel_apply(rel, &answer, &items);
		break;
	case REL_MSG_E_ORDER:
		rel_reject(rel, "position out of order", now);
		break;
	case REL_MSG_E_MEMORY:
		rel_reject(rel, "out of memory", now);
		break;
	default:
		rel_reject(rel, "unreadable", now);
		break;
	}
}

/* Logs a poll that ended without a whole answer. */
static void rel_log_cut(struct rel *rel, enum hc_result end, int64_t now)
{
	static const char *const reasons[] = {
		[HC_COMPLETE] = "refused",
		[HC_UNSENT] = "not sent",
		[HC_CONN_LOST] = "connection lost",
		[HC_PROTOCOL_ERROR] = "not HTTP",
		[HC_TIMED_OUT] = "timed out",
	};

	rel->cut_answers++;
	jlog(LOG_REL_CUT,
	     "\"peer\":\"%s\",\"why\":\"%s\",\"status\":%d,\"bytes\":%zu,"
	     "\"after_ms\":%d,\"revision\":%lld",
	     rel->tree.candidates[rel->call_source].name, reasons[end],
	     rel->status, evbuffer_get_length(rel->body),
	     (int)((now - rel->sent_us) / MAG_US_PER_MS),
	     (long long)rel->sent_after.revision);
}

/* Drops an answer: nothing of it is applied, and another source is tried. */
static void rel_reject(struct rel *rel, const char *why, int64_t now)
{
	rel->bad_answers++;
	jlog(LOG_REL_BAD, "\"peer\":\"%s\",\"why\":\"%s\"",
	     rel->tree.candidates[rel->call_source].name, why);
	tree_on_failure(&rel->tree, rel->call_source, now);
}
