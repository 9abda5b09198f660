#include <stdlib.h>
#include <string.h>

#include "jlog.h"
#include "wk.h"

/*
 * A suspect gets nothing new for this long at first and twice as long after
 * each further failure: a restart takes some seconds, and a worker that goes
 * down and up by turns must not be given streams at each turn.
 */
#define WK_SUSPECT_US	  (1500 * MAG_US_PER_MS)
#define WK_SUSPECT_DOUBLE 3
/*
 * A worker that refused gets nothing new for this long, because it is short of
 * memory or worse, and each further request would spend a second send: streams
 * end every few milliseconds, and a report that tells why takes 200 ms.
 */
#define WK_HOLD_OFF_US (200 * MAG_US_PER_MS)
/*
 * Twice as long after each further refusal, up to 1.6 s: a worker that gives
 * layers up, or leaves without a word, answers questions and refuses for
 * seconds.
 */
#define WK_HOLD_DOUBLE 3
/*
 * A worker that breaks so many requests in a row off before their first event
 * is not trusted, though it answers questions: by chance, of a worker that
 * loses 3 answers in 100, that happens once in 37,000 requests.
 */
#define WK_BROKEN_MAX 3
/* For this long at first; twice as long if the next request breaks, too. */
#define WK_DISTRUST_US	   MAG_US_PER_S
#define WK_DISTRUST_DOUBLE 3
/*
 * A sound worker answers a question within 5 ms, 8 ms from another data
 * centre.  One that has not done so yet gets nothing new: while a data centre
 * is being cut off, streams that leave one of its workers would be sent to the
 * next, and spend the runs that their route allows there.
 */
#define WK_ANSWER_US (15 * MAG_US_PER_MS)
/*
 * So long after the store came back from a copy, entries that a list has of
 * workers that were gone before count for nothing: they have not lapsed yet.
 */
#define WK_PAST_US (10 * MAG_US_PER_S)
/* Weight of the newest outcome in the smoothed figures. */
#define WK_SMOOTH 0.1

static void wk_take_entry(struct wk *wk, const struct wire_worker *worker,
			  int64_t now);
static void wk_take_copy(struct wk *wk, const struct wire_worker *worker,
			 int64_t now);
static bool wk_is_past(const struct wk_table *table,
		       const struct wire_worker *worker, int64_t now);
static void wk_add_past(struct wk_table *table, const struct wk *wk,
			int64_t now);
static void wk_settle_address(struct wk_table *table, struct wk *wk);
static void wk_forget(struct wk_table *table, struct wk *wk);
static void wk_log_suspect(const struct wk *wk, const char *why,
			   int64_t hold_us, int times);

void wk_init(struct wk_table *table, struct hc *hc)
{
	memset(table, 0, sizeof(*table));
	CDS_INIT_LIST_HEAD(&table->workers);
	table->hc = hc;
	table->connections = 64;
}

/* Begins to read a whole list; wk_list_end tells who is missing from it. */
void wk_list_begin(struct wk_table *table)
{
	struct wk *wk;

	table->listing = true;
	cds_list_for_each_entry (wk, &table->workers, node)
		wk->seen = false;
}

/* Takes an entry of the list, new or changed. */
int wk_list_put(struct wk_table *table, const struct wire_worker *worker,
		int64_t now, struct wk **out)
{
	struct wk *wk = wk_by_id(table, worker->id);

	if (table->listing && wk_is_past(table, worker, now))
		return WK_E_OLD;
	if (wk && strcmp(wk->is.address, worker->address) != 0) {
		/* The same name at another address is another process. */
		wk_remove(table, wk->is.id, now, now);
		wk->is.id[0] = '\0';
		wk = NULL;
	}
	if (!wk) {
		wk = calloc(1, sizeof(*wk));
		if (!wk)
			return WK_E_MEMORY;
		if (hc_host_new(table->hc, worker->address, table->connections,
				&wk->host)) {
			free(wk);
			return WK_E_ADDRESS;
		}
		wk->is = *worker;
		wk->seen_us = now;
		wk->leaving_us = MAG_NEVER;
		wk->orders_taken = -1;
		wk->slowdown = 1;
		wk->layers = worker->layers;
		cds_list_add_tail(&wk->node, &table->workers);
		table->count++;
		table->grew_us = now;
		jlog(LOG_WK_SEEN,
		     "\"worker\":\"%s\",\"address\":\"%s\","
		     "\"data_centre\":\"%s\",\"layers\":\"%d-%d\"",
		     wk->is.id, wk->is.address, wk->is.data_centre,
		     wk->layers.from, wk->layers.to);
	}
	if (table->listing && table->settling)
		wk_take_copy(wk, worker, now);
	else
		wk_take_entry(wk, worker, now);
	wk_settle_address(table, wk);
	if (out)
		*out = wk;
	return WK_OK;
}

/*
 * Workers that the whole list lacks are gone from gone_us on.  A store that has
 * just come back from a copy lacks what was written since.
 */
void wk_list_end(struct wk_table *table, int64_t gone_us, int64_t now)
{
	struct wk *wk;

	table->listing = false;
	if (table->settling)
		return;
	cds_list_for_each_entry (wk, &table->workers, node) {
		if (!wk->seen && wk->listed)
			wk_remove(table, wk->is.id, gone_us, now);
	}
}

/* The store has come back from an older copy. */
void wk_returned(struct wk_table *table, int64_t now)
{
	table->settling = true;
	table->returned_us = now;
}

/* All have written again: the next list is taken as it stands. */
void wk_settled(struct wk_table *table)
{
	table->settling = false;
}

/* Returns how many workers the list that was read last lacks. */
int wk_missing(const struct wk_table *table)
{
	const struct wk *wk;
	int missing = 0;

	cds_list_for_each_entry (wk, &table->workers, node)
		missing += wk->listed && !wk->seen;
	return missing;
}

/* An entry was removed: the worker is taken for gone from gone_us on. */
void wk_remove(struct wk_table *table, const char *id, int64_t gone_us,
	       int64_t now)
{
	struct wk *wk = wk_by_id(table, id);

	if (!wk || !wk->listed)
		return;
	wk->listed = false;
	wk->gone_us = gone_us;
	wk_add_past(table, wk, now);
	jlog(LOG_WK_GONE, "\"worker\":\"%s\",\"in_ms\":%d", wk->is.id,
	     (int)((gone_us - now) / MAG_US_PER_MS));
}

/* Ends limits that lapsed; frees workers that are gone and nobody points at. */
void wk_tick(struct wk_table *table, int64_t now)
{
	struct wk *wk;
	struct wk *next;

	cds_list_for_each_entry_safe (wk, next, &table->workers, node) {
		wk_limit_tick(wk, now);
		if (wk->listed || wk->refs > 0 || now < wk->gone_us)
			continue;
		wk_forget(table, wk);
	}
}

struct wk *wk_by_id(const struct wk_table *table, const char *id)
{
	struct wk *wk;

	cds_list_for_each_entry (wk, &table->workers, node) {
		if (strcmp(wk->is.id, id) == 0)
			return wk;
	}
	return NULL;
}

/* Returns the listed worker at an address; addresses are used again. */
struct wk *wk_by_address(const struct wk_table *table, const char *address)
{
	struct wk *found = NULL;
	struct wk *wk;

	cds_list_for_each_entry (wk, &table->workers, node) {
		if (strcmp(wk->is.address, address) != 0)
			continue;
		if (!found || (wk->listed && !wk->replaced))
			found = wk;
	}
	return found;
}

/* Tells whether a worker is neither gone nor leaving. */
bool wk_alive(const struct wk *wk, int64_t now)
{
	if (wk->is.draining || wk->replaced)
		return false;
	return wk->listed || now < wk->gone_us;
}

/* Tells whether a worker may get new work. */
bool wk_usable(const struct wk *wk, int64_t now)
{
	bool waits = wk->probing && now - wk->probed_us > WK_ANSWER_US;

	return wk_alive(wk, now) && !wk->on_trial && !waits &&
	       now >= wk->hold_until_us && now >= wk->distrust_until_us;
}

/*
 * Notes that a worker seems dead or stuck.  It gets nothing new for a while;
 * after that a report of its own, or an answer, has to clear it.
 */
void wk_suspect(struct wk *wk, int64_t now, const char *why)
{
	int64_t hold = mag_backoff(WK_SUSPECT_US, wk->suspect_times,
				   WK_SUSPECT_DOUBLE);

	if (now < wk->suspect_until_us)
		return;
	wk->suspect_until_us = now + hold;
	wk->suspect_times++;
	wk->on_trial = true;
	wk->to_announce = wk->suspect_times == 1;
	hc_host_drop_idle(wk->host);
	wk_log_suspect(wk, why, hold, wk->suspect_times);
}

/* Gives a worker nothing new for a moment, while it is asked how it is. */
void wk_hold_off(struct wk *wk, int64_t now)
{
	wk->hold_until_us = now + WK_HOLD_OFF_US;
}

/* A worker refused a request of ours once more. */
void wk_refused(struct wk *wk, int64_t now)
{
	/* Those that were on their way together count as one. */
	if (now < wk->hold_until_us)
		return;
	wk->hold_until_us =
		now + mag_backoff(WK_HOLD_OFF_US, wk->refusals, WK_HOLD_DOUBLE);
	wk->refusals++;
}

/* A worker began a request: it refuses no more. */
void wk_began(struct wk *wk)
{
	wk->refusals = 0;
}

/*
 * A request to this worker broke off before its first event.  A worker whose
 * answers to questions are sound may fail all requests, or those of some
 * callers; sent to it, each spends a second send, and streams that may run
 * only twice are lost.  What counts is how requests end.
 */
void wk_broke(struct wk *wk, int64_t now)
{
	int64_t hold;

	wk->broken_in_row++;
	if (now < wk->distrust_until_us ||
	    (wk->distrust_times == 0 && wk->broken_in_row < WK_BROKEN_MAX))
		return;
	hold = mag_backoff(WK_DISTRUST_US, wk->distrust_times,
			   WK_DISTRUST_DOUBLE);
	wk->distrust_until_us = now + hold;
	wk->distrust_times++;
	wk_log_suspect(wk, "requests break off", hold, wk->broken_in_row);
}

static void wk_log_suspect(const struct wk *wk, const char *why,
			   int64_t hold_us, int times)
{
	jlog(LOG_WK_SUSPECT,
	     "\"worker\":\"%s\",\"address\":\"%s\",\"why\":\"%s\","
	     "\"for_ms\":%d,\"times\":%d",
	     wk->is.id, wk->is.address, why, (int)(hold_us / MAG_US_PER_MS),
	     times);
}

/* A request to this worker came to its first event, or to its answer. */
void wk_worked(struct wk *wk)
{
	wk->broken_in_row = 0;
	wk->distrust_times = 0;
}

/* The worker has proved that it works. */
void wk_clear(struct wk *wk)
{
	if (!wk->on_trial)
		return;
	wk->on_trial = false;
	wk->suspect_times = 0;
	wk->suspect_until_us = 0;
	jlog(LOG_WK_CLEARED, "\"worker\":\"%s\",\"address\":\"%s\"", wk->is.id,
	     wk->is.address);
}

/* Notes how a request ended at a worker, and how long it took. */
void wk_result(struct wk *wk, bool good, int64_t took_us)
{
	wk->fail_share += WK_SMOOTH * ((good ? 0 : 1) - wk->fail_share);
	if (!good)
		return;
	if (wk->answer_us <= 0)
		wk->answer_us = (double)took_us;
	wk->answer_us += WK_SMOOTH * ((double)took_us - wk->answer_us);
}

/* Remembers a request whose answer broke off at a worker; the oldest goes. */
void wk_add_victim(struct wk *wk, const uint8_t print[MAG_DIGEST_BYTES],
		   int64_t now)
{
	struct wk_victim *victim = &wk->victims[wk->victim_next];

	wk->victim_next = (wk->victim_next + 1) % WK_VICTIMS_MAX;
	memcpy(victim->print, print, MAG_DIGEST_BYTES);
	victim->at_us = now;
}

struct wk *wk_hold(struct wk *wk)
{
	wk->refs++;
	return wk;
}

void wk_drop(struct wk *wk)
{
	wk->refs--;
}

/*
 * Takes an entry of a store that has just come back from a copy: it shows that
 * the worker is there, and that it leaves, and nothing else of one that is
 * known; its state may be an old one.
 */
static void wk_take_copy(struct wk *wk, const struct wire_worker *worker,
			 int64_t now)
{
	struct wire_worker known = wk->is;

	if (worker->started_ms > known.started_ms) {
		wk_take_entry(wk, worker, now);
		return;
	}
	if (worker->started_ms == known.started_ms)
		known.draining |= worker->draining;
	wk_take_entry(wk, &known, now);
}

/* Tells whether an entry names a worker that is known to be gone. */
static bool wk_is_past(const struct wk_table *table,
		       const struct wire_worker *worker, int64_t now)
{
	const struct wk_past *past;
	int i;

	if (!table->returned_us || now - table->returned_us > WK_PAST_US)
		return false;
	for (i = 0; i < WK_PAST_MAX; i++) {
		past = &table->past[i];
		if (past->gone_us && past->gone_us <= table->returned_us &&
		    worker->started_ms <= past->born_ms &&
		    strcmp(past->id, worker->id) == 0)
			return true;
	}
	return false;
}

static void wk_add_past(struct wk_table *table, const struct wk *wk,
			int64_t now)
{
	struct wk_past *past = &table->past[table->past_next];

	table->past_next = (table->past_next + 1) % WK_PAST_MAX;
	mag_copy_name(past->id, sizeof(past->id), wk->is.id);
	past->born_ms = wk->is.started_ms;
	past->gone_us = now;
}

static void wk_take_entry(struct wk *wk, const struct wire_worker *worker,
			  int64_t now)
{
	bool reborn = worker->started_ms != wk->is.started_ms;
	bool leaving = wk->is.draining && !reborn;
	bool moved = worker->layers.from != wk->is.layers.from ||
		     worker->layers.to != wk->is.layers.to;

	wk->seen = true;
	wk->listed = true;
	wk->gone_us = MAG_NEVER;
	if (worker->draining && wk->leaving_us == MAG_NEVER) {
		wk->leaving_us = now;
		jlog(LOG_WK_LEAVING, "\"worker\":\"%s\"", worker->id);
	}
	if (reborn) {
		/* It lost its layers, its orders and its faults. */
		jlog(LOG_WK_RESTARTED, "\"worker\":\"%s\",\"born_ms\":%lld",
		     worker->id, (long long)worker->started_ms);
		wk->orders_taken = -1;
		wk->reported_us = 0;
		wk->slowdown = 1;
		wk->leaving_us = worker->draining ? now : MAG_NEVER;
		wk->on_trial = false;
		wk->ordered = false;
		wk->distrust_until_us = 0;
		wk->thr = (struct thr){ 0 };
		wk_worked(wk);
		hc_host_drop_idle(wk->host);
	}
	if (reborn || moved) {
		wk->layers = worker->layers;
		wk->layers_us = now;
	}
	if (wk->ordered && wk->layers.from == wk->order.from &&
	    wk->layers.to == wk->order.to)
		wk->ordered = false;
	wk->is = *worker;
	/* Who leaves does not come back under the same start. */
	wk->is.draining |= leaving;
}

/*
 * Of two workers that are listed at one address the younger one has it.  A
 * worker that crashed comes back under a new name before its old entry lapses;
 * requests that are sent by the old entry's layers meet the new worker, which
 * holds none, and each of them is refused.  An entry of a service that nobody
 * has, of another writer, takes no worker out.
 */
static void wk_settle_address(struct wk_table *table, struct wk *wk)
{
	struct wk *other;

	wk->replaced = false;
	cds_list_for_each_entry (other, &table->workers, node) {
		if (other == wk || !other->listed ||
		    strcmp(other->is.address, wk->is.address) != 0 ||
		    strcmp(other->is.service, wk->is.service) != 0 ||
		    !other->is.started_ms || !wk->is.started_ms)
			continue;
		if (other->is.started_ms < wk->is.started_ms)
			other->replaced = true;
		else if (other->is.started_ms > wk->is.started_ms)
			wk->replaced = true;
	}
}

static void wk_forget(struct wk_table *table, struct wk *wk)
{
	cds_list_del(&wk->node);
	table->count--;
	hc_host_free(wk->host);
	free(wk);
}
