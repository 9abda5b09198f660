#include <math.h>
#include <string.h>

#include "mag.h"
#include "wq.h"

#define WQ_SLICE_US (100 * MAG_US_PER_MS)
/*
 * Starts are counted over the last second in which requests waited, and other
 * events over the last second.  Time in which requests waited is no older than
 * all slices together.
 */
#define WQ_WINDOW_US MAG_US_PER_S
/*
 * A longer time without an event is a pause: the router itself may not have
 * run, so that starts and arrivals would not have been seen.
 */
#define WQ_PAUSE_US (500 * MAG_US_PER_MS)
/*
 * After a refusal the room counts as taken until the next start, for at most
 * this long: callers that do not return are no sign of a lack of it.
 */
#define WQ_UNMET_US (100 * MAG_US_PER_MS)
/* Below this much time or this many starts the rate is unknown. */
#define WQ_SEEN_MIN_US (100 * MAG_US_PER_MS)
#define WQ_STARTS_MIN  2
/*
 * Slices of the shortest window of what callers ask for, beside the last second
 * and all slices: the highest counts, so that the begin of an overload is seen
 * at once, and a pause in it does not look like its end.
 */
#define WQ_OFFERED_SHORT 2
/* Arrivals are divided by no less time: they may come at once after a pause. */
#define WQ_RUNNING_MIN_US (200 * MAG_US_PER_MS)
/*
 * Standard deviations of the counts by which what is left of the rate of starts
 * is lowered before a request begins to wait, or a return slot is given.
 */
#define WQ_BEGIN_MARGIN 1.25
#define WQ_SLOT_MARGIN	0.75
/*
 * The shortage that a caller was refused in lasts for a while: a slot comes no
 * earlier than this after the queue has drained.
 */
#define WQ_SLOT_MIN_US MAG_US_PER_S
/* Part of the time to its latest start that a new request's wait may take. */
#define WQ_BEGIN_FRACTION 0.7
/*
 * Below this part of the starts, what is left of them for an entry is within
 * the error of the measurement.
 */
#define WQ_RATE_MIN 0.02

/* Rates over the window, a second. */
struct wq_rates {
	double seen_s; /* over which the starts were counted */
	double starts;
	double arrivals;
	double offered; /* arrivals and refusals, highest of some windows */
};

static int wq_list_index(const struct wq_entry *entry);
static int wq_compare(const struct wq_entry *a, const struct wq_entry *b);
static int wq_count_ahead(const struct wq *wq, const struct wq_entry *entry);
static struct wq_slice *wq_slice_at(struct wq *wq, int64_t at_us);
static int64_t wq_seen_end(const struct wq *wq, int64_t now);
static int64_t wq_taken_end(const struct wq *wq, bool waiting, int64_t now);
static void wq_see(struct wq *wq, bool waiting, int64_t now);
static bool wq_get_rates(const struct wq *wq, int64_t now,
			 struct wq_rates *rates);
static double wq_running_s(const struct wq *wq, int64_t slices, int64_t now);
static double wq_left(const struct wq_rates *rates, double taken,
		      double margin);
static int64_t wq_turn_with(const struct wq *wq, const struct wq_entry *entry,
			    double margin, int64_t now);
static bool wq_is_in_time(const struct wq *wq, const struct wq_entry *entry,
			  int64_t now);
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
	entry->estimated = wq_is_in_time(wq, entry, entry->since_us);
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
	if (--wq->count == 0)
		wq->emptied = true;
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
 * Counts a request that arrived at its since_us.  wq_add does so itself; the
 * caller does for each request that is placed without having been queued, so
 * that estimates know what goes ahead of less urgent ones.  An entry counts
 * once.
 */
void wq_arrived(struct wq *wq, struct wq_entry *entry)
{
	if (entry->counted)
		return;
	entry->counted = true;
	wq_see(wq, wq->count > 0, entry->since_us);
	wq_slice_at(wq, entry->since_us)->arrivals++;
	wq->arrivals[wq->arrival_count++ % WQ_ARRIVALS_MAX] =
		(struct wq_arrival){ entry->since_us, wq_list_index(entry),
				     entry->late, entry->claim };
}

/*
 * Counts the start of a request, queued or not.  Starts while no request waits
 * tell nothing about the capacity and do not count, unless one was just
 * refused: else a low estimate, by which all are refused, would never be
 * corrected.  Call it next to the request's wq_remove, in any order.
 */
void wq_started(struct wq *wq, int64_t now)
{
	bool waiting = wq->count > 0 || wq->emptied;
	bool unmet = now < wq->unmet_until_us;

	wq_see(wq, waiting, now);
	if (waiting || unmet)
		wq_slice_at(wq, now)->starts++;
	wq->unmet_until_us = 0;
}

/*
 * Returns when the turn of an entry comes: the entries ahead of it and itself,
 * at the rate of starts less that of the arrivals that go ahead of it.  Returns
 * MAG_NEVER if the rate of starts is unknown, and the time before if as many
 * go ahead as are started.  The entry need not be queued.
 */
int64_t wq_turn_us(const struct wq *wq, const struct wq_entry *entry,
		   int64_t now)
{
	return wq_turn_with(wq, entry, 0, now);
}

/*
 * Tells whether an entry may wait.  One that is not queued may if its turn is
 * expected by its latest start, with time to spare or for its grace period.  A
 * queued one is refused when its turn comes too late even if nothing more goes
 * ahead of it, and one that was queued without time to spare (see
 * wq_entry.estimated) at the end of its grace period, whatever the estimate is
 * by then.  Without an estimate only the grace period counts.
 */
bool wq_may_wait(const struct wq *wq, const struct wq_entry *entry, int64_t now)
{
	struct wq_rates rates;

	if (now > entry->start_by_us)
		return false;
	if (!wq_get_rates(wq, now, &rates))
		return now < entry->grace_until_us;
	if (entry->node.next == &entry->node)
		return wq_turn_us(wq, entry, now) <= entry->start_by_us &&
		       (now < entry->grace_until_us ||
			wq_is_in_time(wq, entry, now));
	if (!entry->estimated && now >= entry->grace_until_us)
		return false;
	return now + (int64_t)((wq_count_ahead(wq, entry) + 1) / rates.starts *
			       MAG_US_PER_S) <=
	       entry->start_by_us;
}

/*
 * Returns after how many seconds a refused caller should return.  It is given a
 * slot if one lies within max_s, the longest wait that it accepts; else a time
 * in the upper half of max_s, by spread (random, 0 to 1).  Slots are given only
 * out of what new arrivals and refused ones leave of the rate of starts.  Call
 * it once for each refused request.
 */
double wq_return_s(struct wq *wq, double max_s, double spread, int64_t now)
{
	struct wq_rates rates;
	double spare = 0;
	int64_t slot;

	wq_see(wq, wq->count > 0, now);
	wq_slice_at(wq, now)->refusals++;
	wq->unmet_until_us = now + WQ_UNMET_US;
	if (wq_get_rates(wq, now, &rates))
		spare = wq_left(&rates, rates.offered, WQ_SLOT_MARGIN);
	if (!(spare > 0))
		return max_s * (0.5 + spread / 2);
	slot = now + WQ_SLOT_MIN_US +
	       (int64_t)(wq->count / rates.starts * MAG_US_PER_S);
	if (slot < wq->next_slot_us)
		slot = wq->next_slot_us;
	if ((double)(slot - now) > max_s * MAG_US_PER_S)
		return max_s * (0.5 + spread / 2);
	wq->next_slot_us = slot + (int64_t)(MAG_US_PER_S / spare);
	return (double)(slot - now) / MAG_US_PER_S;
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

/* Returns until when starts would have been seen since the last event. */
static int64_t wq_seen_end(const struct wq *wq, int64_t now)
{
	return now - wq->event_us <= WQ_PAUSE_US ? now
						 : wq->event_us + WQ_PAUSE_US;
}

/*
 * Returns until when the room was taken since the last event: while requests
 * wait, or after a refusal.
 */
static int64_t wq_taken_end(const struct wq *wq, bool waiting, int64_t now)
{
	int64_t until = wq_seen_end(wq, now);

	return waiting || until < wq->unmet_until_us ? until
						     : wq->unmet_until_us;
}

/*
 * Notes an event.  The time since the last one is added to the slices if the
 * room was taken in it.
 */
static void wq_see(struct wq *wq, bool waiting, int64_t now)
{
	int64_t from = wq->event_us;
	int64_t until = wq_taken_end(wq, waiting, now);
	int64_t end;

	wq->emptied = false;
	if (now < from)
		return;
	if (wq_seen_end(wq, now) < now)
		wq->running_since_us = now;
	wq->event_us = now;
	while (from < until) {
		end = (from / WQ_SLICE_US + 1) * WQ_SLICE_US;
		if (end > until)
			end = until;
		wq_slice_at(wq, from)->seen_us += end - from;
		from = end;
	}
}

/*
 * Computes the rates: of starts over the time in which requests waited, of the
 * others over the time in which the router ran.  Returns false if the rate of
 * starts is unknown.
 */
static bool wq_get_rates(const struct wq *wq, int64_t now,
			 struct wq_rates *rates)
{
	int64_t number = now / WQ_SLICE_US;
	int64_t begin = number - WQ_WINDOW_US / WQ_SLICE_US;
	int64_t until = wq_taken_end(wq, wq->count > 0, now);
	int64_t seen_us = until > wq->event_us ? until - wq->event_us : 0;
	const struct wq_slice *slice;
	double offered_rate;
	int starts = 0;
	int arrivals = 0;
	int offered = 0;
	int i;

	*rates = (struct wq_rates){ 0 };
	for (i = 0; i < WQ_SLICES && number >= 0; i++, number--) {
		slice = &wq->slices[number % WQ_SLICES];
		if (slice->number == number) {
			if (seen_us < WQ_WINDOW_US) {
				seen_us += slice->seen_us;
				starts += slice->starts;
			}
			if (number > begin)
				arrivals += slice->arrivals;
			offered += slice->arrivals + slice->refusals;
		}
		if (i + 1 != WQ_OFFERED_SHORT && number != begin + 1 &&
		    i + 1 != WQ_SLICES)
			continue;
		offered_rate = offered / wq_running_s(wq, i + 1, now);
		if (offered_rate > rates->offered)
			rates->offered = offered_rate;
	}
	if (seen_us < WQ_SEEN_MIN_US || starts < WQ_STARTS_MIN)
		return false;
	rates->seen_s = (double)seen_us / MAG_US_PER_S;
	rates->starts = starts / rates->seen_s;
	rates->arrivals =
		arrivals / wq_running_s(wq, WQ_WINDOW_US / WQ_SLICE_US, now);
	return true;
}

/* Returns the seconds in which the router ran during the last slices. */
static double wq_running_s(const struct wq *wq, int64_t slices, int64_t now)
{
	int64_t begin_us = (now / WQ_SLICE_US - slices + 1) * WQ_SLICE_US;
	int64_t running_us =
		now - (begin_us > wq->running_since_us ? begin_us
						       : wq->running_since_us);

	if (running_us < WQ_RUNNING_MIN_US)
		running_us = WQ_RUNNING_MIN_US;
	return (double)running_us / MAG_US_PER_S;
}

/*
 * Returns what is left of the rate of starts when something takes a part of it,
 * 0 if that is within the error of the measurement.  The margin is in standard
 * deviations.
 */
static double wq_left(const struct wq_rates *rates, double taken, double margin)
{
	double left = rates->starts - taken -
		      margin * sqrt((rates->starts + taken) / rates->seen_s);

	return left > rates->starts * WQ_RATE_MIN ? left : 0;
}

/* Computes wq_turn_us with a margin in standard deviations. */
static int64_t wq_turn_with(const struct wq *wq, const struct wq_entry *entry,
			    double margin, int64_t now)
{
	struct wq_rates rates;
	double rate;

	if (!wq_get_rates(wq, now, &rates))
		return MAG_NEVER;
	rate = wq_left(&rates,
		       rates.arrivals * wq_ahead_fraction(wq, entry, now),
		       margin);
	if (!(rate > 0))
		return MAG_NEVER - 1;
	return now +
	       (int64_t)((wq_count_ahead(wq, entry) + 1) / rate * MAG_US_PER_S);
}

/*
 * Tells whether the turn of an entry is expected early enough for it to begin
 * to wait.
 */
static bool wq_is_in_time(const struct wq *wq, const struct wq_entry *entry,
			  int64_t now)
{
	int64_t turn_us = wq_turn_with(wq, entry, WQ_BEGIN_MARGIN, now);

	return turn_us < MAG_NEVER - 1 &&
	       (double)(turn_us - now) <=
		       (double)(entry->start_by_us - now) * WQ_BEGIN_FRACTION;
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
