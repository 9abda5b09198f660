#include <string.h>

#include "mag.h"
#include "wq.h"

#define WQ_SLICE_US  (50 * MAG_US_PER_MS)
#define WQ_WINDOW_US MAG_US_PER_S
/*
 * Without a waiting request, only a short time between two events counts as
 * time in which starts were to be expected.
 */
#define WQ_SEEN_IDLE_US (100 * MAG_US_PER_MS)
/*
 * With one, a longer time without any event counts only up to this: the router
 * itself may not have run.
 */
#define WQ_SEEN_WAITING_US (500 * MAG_US_PER_MS)
/* Below this much time or this many starts the rate is unknown. */
#define WQ_SEEN_MIN_US (100 * MAG_US_PER_MS)
#define WQ_STARTS_MIN  2

/* Events of the window. */
struct wq_sums {
	double seen_s;
	int starts;
	int arrivals;
	int refusals;
};

static int wq_list_index(const struct wq_entry *entry);
static int wq_compare(const struct wq_entry *a, const struct wq_entry *b);
static int wq_count_ahead(const struct wq *wq, const struct wq_entry *entry);
static struct wq_slice *wq_slice_at(struct wq *wq, int64_t at_us);
static int64_t wq_seen_end(const struct wq *wq, int64_t now);
static bool wq_see(struct wq *wq, int64_t now);
static bool wq_sum(const struct wq *wq, int64_t now, struct wq_sums *sums);
static double wq_ahead_fraction(const struct wq *wq,
				const struct wq_entry *entry, int64_t now);

/* Initialises an empty queue. */
void wq_init(struct wq *wq)
{
	int i;

	memset(wq, 0, sizeof(*wq));
	for (i = 0; i < WQ_RANKS_MAX; i++)
		CDS_INIT_LIST_HEAD(&wq->ranks[i]);
}

/* Initialises an entry that is not queued; the caller sets the other fields. */
void wq_entry_init(struct wq_entry *entry)
{
	memset(entry, 0, sizeof(*entry));
	CDS_INIT_LIST_HEAD(&entry->node);
}

/*
 * Queues an entry in order and counts it as an arrival at its since_us, once.
 * The search begins at the end of its rank, where most entries belong.  The
 * fields of a queued entry must not change; to move it, remove and add it.
 */
void wq_add(struct wq *wq, struct wq_entry *entry)
{
	struct cds_list_head *head;
	struct cds_list_head *at;

	wq_remove(wq, entry);
	wq_arrived(wq, entry);
	entry->list = wq_list_index(entry);
	head = &wq->ranks[entry->list];
	for (at = head->prev; at != head; at = at->prev) {
		if (wq_compare(cds_list_entry(at, struct wq_entry, node),
			       entry) <= 0)
			break;
	}
	cds_list_add(&entry->node, at);
	wq->counts[entry->list]++;
	wq->count++;
}

/* Removes an entry if it is queued. */
void wq_remove(struct wq *wq, struct wq_entry *entry)
{
	if (cds_list_empty(&entry->node))
		return;
	cds_list_del_init(&entry->node);
	wq->counts[entry->list]--;
	wq->count--;
}

/* Returns the entry whose turn is next, or NULL. */
struct wq_entry *wq_first(const struct wq *wq)
{
	int i;

	for (i = 0; i < WQ_RANKS_MAX; i++) {
		if (wq->counts[i])
			return cds_list_first_entry(&wq->ranks[i],
						    struct wq_entry, node);
	}
	return NULL;
}

/*
 * Returns the entry behind a queued one, or NULL.  To remove an entry while
 * iterating, get the next one first.
 */
struct wq_entry *wq_next(const struct wq *wq, const struct wq_entry *entry)
{
	int i;

	if (entry->node.next == &entry->node)
		return NULL;
	if (entry->node.next != &wq->ranks[entry->list])
		return cds_list_entry(entry->node.next, struct wq_entry, node);
	for (i = entry->list + 1; i < WQ_RANKS_MAX; i++) {
		if (wq->counts[i])
			return cds_list_first_entry(&wq->ranks[i],
						    struct wq_entry, node);
	}
	return NULL;
}

/*
 * Tells whether an entry is queued that goes first.  The entry itself need not
 * be queued; among equals, queued ones go first.
 */
bool wq_has_ahead(const struct wq *wq, const struct wq_entry *entry)
{
	const struct wq_entry *first = wq_first(wq);

	return first && first != entry && wq_compare(first, entry) <= 0;
}

/*
 * Counts a request that arrived at its since_us while capacity was short.
 * wq_add does so itself; the caller does for a request that is placed without
 * having been queued.  An entry counts once.
 */
void wq_arrived(struct wq *wq, struct wq_entry *entry)
{
	if (entry->counted)
		return;
	entry->counted = true;
	wq_see(wq, entry->since_us);
	wq_slice_at(wq, entry->since_us)->arrivals++;
	wq->arrivals[wq->arrival_count++ % WQ_ARRIVALS_MAX] =
		(struct wq_arrival){ entry->since_us, wq_list_index(entry),
				     entry->late, entry->claim };
}

/*
 * Counts the start of a request, queued or not, while capacity was short.  Call
 * it before the request's wq_remove, so that time in which it waited counts.
 * The first start after a time in which none were to be expected only begins
 * the measurement.
 */
void wq_started(struct wq *wq, int64_t now)
{
	if (wq_see(wq, now))
		wq_slice_at(wq, now)->starts++;
}

/*
 * Returns when the turn of an entry comes, or MAG_NEVER if that is unknown or
 * if as many requests go ahead of it as are started.  The entry need not be
 * queued.
 */
int64_t wq_turn_us(const struct wq *wq, const struct wq_entry *entry,
		   int64_t now)
{
	struct wq_sums sums;
	double starts;

	if (!wq_sum(wq, now, &sums))
		return MAG_NEVER;
	starts =
		sums.starts - sums.arrivals * wq_ahead_fraction(wq, entry, now);
	if (starts < 1)
		return MAG_NEVER;
	return now + (int64_t)((wq_count_ahead(wq, entry) + 1) * sums.seen_s /
			       starts * MAG_US_PER_S);
}

/*
 * Tells whether an entry may wait: during its grace period, and afterwards
 * while its turn is expected by its latest start.
 */
bool wq_may_wait(const struct wq *wq, const struct wq_entry *entry, int64_t now)
{
	return now < entry->grace_until_us ||
	       wq_turn_us(wq, entry, now) <= entry->start_by_us;
}

/*
 * Returns after how many seconds a refused caller should return.  It is given a
 * slot if one lies within max_s, the longest wait that it accepts; else a time
 * in the upper half of max_s, by spread (random, 0 to 1).  Call it once for
 * each refused request: refusals count as demand.
 */
double wq_return_s(struct wq *wq, double max_s, double spread, int64_t now)
{
	struct wq_sums sums;
	double spare = 0;
	int64_t slot;

	wq_see(wq, now);
	wq_slice_at(wq, now)->refusals++;
	if (wq_sum(wq, now, &sums))
		spare = sums.starts - sums.arrivals - sums.refusals;
	if (spare >= 1) {
		slot = now + (int64_t)(wq->count * sums.seen_s / sums.starts *
				       MAG_US_PER_S);
		if (slot < wq->next_slot_us)
			slot = wq->next_slot_us;
		if ((double)(slot - now) <= max_s * MAG_US_PER_S) {
			wq->next_slot_us =
				slot +
				(int64_t)(sums.seen_s / spare * MAG_US_PER_S);
			return (double)(slot - now) / MAG_US_PER_S;
		}
	}
	return max_s * (0.5 + spread / 2);
}

/* Returns the list of an entry: its rank, within the ranks told apart. */
static int wq_list_index(const struct wq_entry *entry)
{
	if (entry->rank < 0)
		return 0;
	return entry->rank < WQ_RANKS_MAX ? entry->rank : WQ_RANKS_MAX - 1;
}

/* Returns below 0 if a goes ahead of b, above 0 if behind, 0 if equal. */
static int wq_compare(const struct wq_entry *a, const struct wq_entry *b)
{
	int rank_a = wq_list_index(a);
	int rank_b = wq_list_index(b);

	if (rank_a != rank_b)
		return rank_a < rank_b ? -1 : 1;
	if (a->late != b->late)
		return a->late ? 1 : -1;
	if (a->claim < b->claim || a->claim > b->claim)
		return a->claim < b->claim ? -1 : 1;
	if (a->start_by_us != b->start_by_us)
		return a->start_by_us < b->start_by_us ? -1 : 1;
	if (a->since_us != b->since_us)
		return a->since_us < b->since_us ? -1 : 1;
	return 0;
}

/* Returns how many queued entries go ahead of an entry. */
static int wq_count_ahead(const struct wq *wq, const struct wq_entry *entry)
{
	int list = wq_list_index(entry);
	struct wq_entry *other;
	int ahead = 0;
	int i;

	for (i = 0; i < list; i++)
		ahead += wq->counts[i];
	cds_list_for_each_entry (other, &wq->ranks[list], node) {
		if (other == entry || wq_compare(other, entry) > 0)
			break;
		ahead++;
	}
	return ahead;
}

/* Returns the slice of a point in time, reset if it held an older one. */
static struct wq_slice *wq_slice_at(struct wq *wq, int64_t at_us)
{
	int64_t number = at_us / WQ_SLICE_US;
	struct wq_slice *slice = &wq->slices[number % WQ_SLICES];

	if (slice->number < number)
		*slice = (struct wq_slice){ .number = number };
	return slice;
}

/*
 * Returns until when starts would have been seen since the last event, or that
 * event's time if none were to be expected.
 */
static int64_t wq_seen_end(const struct wq *wq, int64_t now)
{
	if (now - wq->seen_until_us <= WQ_SEEN_IDLE_US)
		return now;
	if (!wq->count)
		return wq->seen_until_us;
	if (now - wq->seen_until_us <= WQ_SEEN_WAITING_US)
		return now;
	return wq->seen_until_us + WQ_SEEN_WAITING_US;
}

/*
 * Adds the time since the last event to the slices.  Returns false if starts
 * were not to be expected until now.
 */
static bool wq_see(struct wq *wq, int64_t now)
{
	int64_t from = wq->seen_until_us;
	int64_t until = wq_seen_end(wq, now);
	int64_t end;

	if (now < from)
		return true;
	wq->seen_until_us = now;
	while (from < until) {
		end = (from / WQ_SLICE_US + 1) * WQ_SLICE_US;
		if (end > until)
			end = until;
		wq_slice_at(wq, from)->seen_us += end - from;
		from = end;
	}
	return until == now;
}

/* Sums up the window; returns false if the rate of starts is unknown. */
static bool wq_sum(const struct wq *wq, int64_t now, struct wq_sums *sums)
{
	int64_t begin = (now - WQ_WINDOW_US) / WQ_SLICE_US;
	int64_t begin_us = begin * WQ_SLICE_US;
	int64_t from =
		wq->seen_until_us > begin_us ? wq->seen_until_us : begin_us;
	int64_t until = wq_seen_end(wq, now);
	int64_t seen_us = until > from ? until - from : 0;
	int i;

	*sums = (struct wq_sums){ 0 };
	for (i = 0; i < WQ_SLICES; i++) {
		if (wq->slices[i].number < begin)
			continue;
		seen_us += wq->slices[i].seen_us;
		sums->starts += wq->slices[i].starts;
		sums->arrivals += wq->slices[i].arrivals;
		sums->refusals += wq->slices[i].refusals;
	}
	sums->seen_s = (double)seen_us / MAG_US_PER_S;
	return seen_us >= WQ_SEEN_MIN_US && sums->starts >= WQ_STARTS_MIN;
}

/*
 * Returns which part of the arrivals of the window goes ahead of an entry.  Its
 * rank, lateness and claim decide; an equal arrival has the later start.
 */
static double wq_ahead_fraction(const struct wq *wq,
				const struct wq_entry *entry, int64_t now)
{
	unsigned int count = wq->arrival_count < WQ_ARRIVALS_MAX
				     ? wq->arrival_count
				     : WQ_ARRIVALS_MAX;
	int rank = wq_list_index(entry);
	const struct wq_arrival *arrival;
	int recent = 0;
	int ahead = 0;
	unsigned int i;

	for (i = 0; i < count; i++) {
		arrival = &wq->arrivals[i];
		if (arrival->at_us < now - WQ_WINDOW_US)
			continue;
		recent++;
		if (arrival->rank != rank)
			ahead += arrival->rank < rank;
		else if (arrival->late != entry->late)
			ahead += entry->late;
		else
			ahead += arrival->claim < entry->claim;
	}
	return recent ? (double)ahead / recent : 0;
}
