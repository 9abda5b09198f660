#include <math.h>
#include <string.h>

#include "jlog.h"
#include "wk.h"

/*
 * A suspect gets no new work for this long, and for twice as long after each
 * further failure, up to three doublings.  A restart takes some seconds, and a
 * worker that alternates between up and down must not be given streams each
 * time it is up.
 */
#define WK_SUSPECT_US	     (1500 * MAG_US_PER_MS)
#define WK_SUSPECT_DOUBLINGS 3
/*
 * A worker that refused a request gets no new work for this long.  It is short
 * of memory or worse, and each further request would cost a second send.
 * Streams end every few milliseconds; a report that tells the reason takes 200
 * ms.
 */
#define WK_PAUSE_US (200 * MAG_US_PER_MS)
/*
 * Routers that must have found a worker dead or stuck before others avoid it on
 * their word alone: a single one may have lost its own link.
 */
#define WK_WITNESSES_MIN 2
/* A suspicion that lasts longer than known by this is news to peers. */
#define WK_HEARSAY_NEWS_US (500 * MAG_US_PER_MS)
/*
 * The pause doubles with each further refusal, up to 1.6 s: a worker that
 * releases layers, or shuts down without notice, answers probes but refuses
 * requests for seconds.
 */
#define WK_PAUSE_DOUBLINGS 3
/*
 * A worker that breaks off this many requests in a row before their first event
 * is distrusted even if it answers probes.  A worker that loses 3 answers in
 * 100 reaches this number by chance once in 37,000 requests.
 */
#define WK_BREAKS_MAX 3
/*
 * Duration of the first distrust; it doubles if the next request breaks off,
 * too, up to three times.
 */
#define WK_DISTRUST_US	      MAG_US_PER_S
#define WK_DISTRUST_DOUBLINGS 3
/*
 * A healthy worker answers a probe within 5 ms, or 8 ms from another data
 * centre.  A worker whose probe is overdue, by the clock run.h, gets no new
 * work.  Otherwise, while
 * a data centre is being cut off, streams that leave one of its workers would
 * be sent to the next one there and use up the attempts that their route
 * allows.
 */
#define WK_PROBE_OVERDUE_US (15 * MAG_US_PER_MS)
/*
 * Interval between the probes of suspects once our path to the workers is back,
 * for each so many routers of the data centre, so that the workers are not
 * probed by all of them at once.
 */
#define WK_REGAIN_INTERVAL_US (5 * MAG_US_PER_MS)
#define WK_REGAIN_ROUTERS     8
/* Weight of the newest sample in the moving averages. */
#define WK_SMOOTHING 0.1
/*
 * Time constant with which requests that a first worker was to begin are
 * forgotten.
 */
#define WK_ENTRY_FORGET_US (2 * MAG_US_PER_S)
/* Recent failures to begin a request that do not count against a worker. */
#define WK_ENTRY_TOLERATED 1.0

static bool wk_is_avoided_by_hearsay(const struct wk *wk, int64_t now);
static bool wk_is_probe_overdue(const struct wk *wk, int64_t now);
static double wk_entry_weight(const struct wk *wk, int64_t now);
static void wk_log_suspect(const struct wk *wk, const char *why,
			   int64_t duration_us, int times);

/* Tells whether a worker may get new work. */
bool wk_usable(const struct wk *wk, int64_t now)
{
	return wk_usable_by_own(wk, now) && !wk_is_avoided_by_hearsay(wk, now);
}

/* The same by what this router has seen itself. */
bool wk_usable_by_own(const struct wk *wk, int64_t now)
{
	return wk_alive(wk, now) && !wk->proc.suspected &&
	       !wk_is_probe_overdue(wk, now) &&
	       !adv_backs_off(&wk->proc.adv, now) &&
	       now >= wk->proc.paused_until_us &&
	       now >= wk->proc.distrust_until_us;
}

static bool wk_is_probe_overdue(const struct wk *wk, int64_t now)
{
	return wk->probing && wk_probe_age(wk, now) > WK_PROBE_OVERDUE_US;
}

/* Returns how long this router has run since it last probed a worker. */
int64_t wk_probe_age(const struct wk *wk, int64_t now)
{
	return run_since(&wk->table->run, wk->probed_run_us, now);
}

/*
 * Tells whether a worker is known to be dead, rather than silent: it refused a
 * connection, its entry is gone, or another process has its address.  One whose
 * machine is paused does not answer connection attempts, and one that has too
 * many connections resets new ones; both go on with their requests.
 */
bool wk_is_dead(const struct wk *wk, int64_t now)
{
	return wk_has_ended(wk) || (!wk->listed && now >= wk->gone_us);
}

/*
 * Tells whether a worker cannot go on with its requests: it refused a
 * connection, or another process has its address.  One without an entry may
 * have left without notice, or have been silent for some heartbeats, and goes
 * on.
 */
bool wk_has_ended(const struct wk *wk)
{
	return wk->proc.unreached || wk->replaced;
}

/* Returns what this router holds a worker to be, for the log. */
const char *wk_state_text(const struct wk *wk, int64_t now)
{
	if (wk_is_dead(wk, now))
		return "dead";
	if (wk->proc.suspected)
		return "suspected";
	return wk->proc.unresponsive ? "unresponsive" : "alive";
}

/* Adds the reasons why a worker gets no new work. */
void wk_count_barred(const struct wk *wk, struct wk_barred *barred, int64_t now)
{
	if (!wk_alive(wk, now))
		return;
	barred->alive++;
	barred->suspected += wk->proc.suspected;
	barred->hearsay += wk_is_avoided_by_hearsay(wk, now);
	barred->paused += now < wk->proc.paused_until_us ||
			  now < wk->proc.distrust_until_us;
	barred->overdue += wk_is_probe_overdue(wk, now);
}

/*
 * Notes that a worker seems dead or stuck.  It gets no new work for a while;
 * after that a report or another answer has to clear it.
 */
void wk_suspect(struct wk *wk, int64_t now, const char *why)
{
	int64_t duration_us = mag_backoff(WK_SUSPECT_US, wk->proc.suspect_count,
					  WK_SUSPECT_DOUBLINGS);

	if (now < wk->proc.suspect_until_us)
		return;
	wk->proc.suspect_until_us = now + duration_us;
	wk->proc.suspect_count++;
	wk->proc.suspected = true;
	wk->proc.to_announce = true;
	wk_attend(wk);
	hc_host_drop_idle(wk->host);
	wk_log_suspect(wk, why, duration_us, wk->proc.suspect_count);
}

/*
 * Notes that other routers found a worker dead or stuck.  Returns whether that
 * is news, for this router and for others.
 */
bool wk_hear_suspicion(struct wk *wk, uint32_t witnesses, int64_t until_us,
		       int64_t now)
{
	bool news;

	if (now >= wk->proc.hearsay_until_us)
		wk->proc.witnesses = 0;
	news = (witnesses & ~wk->proc.witnesses) ||
	       until_us > wk->proc.hearsay_until_us + WK_HEARSAY_NEWS_US;
	if (news)
		wk->proc.heard_us = now;
	wk->proc.witnesses |= witnesses;
	if (until_us > wk->proc.hearsay_until_us)
		wk->proc.hearsay_until_us = until_us;
	return news;
}

/*
 * Tells whether a worker is avoided on the word of other routers.  What they
 * saw on their paths counts for nothing once it has answered on ours.
 */
static bool wk_is_avoided_by_hearsay(const struct wk *wk, int64_t now)
{
	if (wk->proc.answered_us > wk->proc.heard_us ||
	    wk->proc.last_event_us > wk->proc.heard_us)
		return false;
	if (now < wk->proc.hearsay_pause_until_us)
		return true;
	return now < wk->proc.hearsay_until_us &&
	       __builtin_popcount(wk->proc.witnesses) >= WK_WITNESSES_MIN;
}

/* Gives a worker no new work for a moment, while it is being probed. */
void wk_pause(struct wk *wk, int64_t now)
{
	wk->proc.paused_until_us = now + WK_PAUSE_US;
}

/* The same after another router has reported a suspicion. */
void wk_pause_on_hearsay(struct wk *wk, int64_t now)
{
	wk->proc.hearsay_pause_until_us = now + WK_PAUSE_US;
}

/* Tells whether either pause is in effect. */
bool wk_is_paused(const struct wk *wk, int64_t now)
{
	return now < wk->proc.paused_until_us ||
	       now < wk->proc.hearsay_pause_until_us;
}

/* Notes that a worker could not be reached, or did not answer a probe. */
void wk_on_unreached(struct wk *wk)
{
	reach_on_failure(&wk->table->reach, htab_hash(wk->entry.id),
			 htab_hash(wk->entry.data_centre));
}

/* Notes that nothing of a request or a probe was sent to a worker. */
void wk_on_unsent(struct wk *wk)
{
	if (hc_host_is_refused(wk->host))
		wk->proc.unreached = true;
}

/*
 * Our path to the workers is back: those that seemed dead are probed soon, one
 * after the other, and peers hear of those that still do.  All routers of the
 * data centre may have regained it together.
 */
void wk_path_regained(struct wk_table *table, int routers, int64_t now)
{
	int64_t interval_us =
		WK_REGAIN_INTERVAL_US * (1 + (routers - 1) / WK_REGAIN_ROUTERS);
	int64_t probe_us = now;
	struct wk *wk;

	cds_list_for_each_entry (wk, &table->attended, attended) {
		if (!wk->proc.suspected)
			continue;
		if (wk->proc.suspect_until_us > probe_us)
			wk->proc.suspect_until_us = probe_us;
		wk->proc.suspect_count = 0;
		wk->proc.to_announce = false;
		wk->announce_rounds = 0;
		probe_us += interval_us;
		wk->next_announce_us = probe_us + WK_SUSPECT_US;
	}
}

/*
 * Counts the workers, and picks one to probe for our path: one that is not
 * suspected if there is one, outside the data centre of the first that failed
 * until one failed there, too, and another one each time.  NULL if all are
 * being probed.
 */
struct wk *wk_pick_probe(struct wk_table *table, int64_t now,
			 struct reach_workers *workers)
{
	const struct reach *reach = &table->reach;
	unsigned int nth = reach->probes % (unsigned int)(table->count + 1);
	struct wk *picked = NULL;
	unsigned int at = 0;
	uint32_t centre;
	struct wk *wk;
	int best = 0;
	int rank;

	*workers = (struct reach_workers){ 0 };
	cds_list_for_each_entry (wk, &table->workers, node) {
		if (!wk_alive(wk, now))
			continue;
		centre = htab_hash(wk->entry.data_centre);
		workers->count++;
		workers->several_centres |= centre != reach->failed_centre;
		at++;
		if (wk->probing)
			continue;
		rank = 2 * (!reach->failed_elsewhere &&
			    centre != reach->failed_centre) +
		       !wk->proc.suspected;
		if (picked && (rank < best || (rank == best && at > nth)))
			continue;
		best = rank;
		picked = wk;
	}
	return picked;
}

/* Notes that a worker refused a request of ours. */
void wk_on_refusal(struct wk *wk, int64_t now)
{
	/* Refusals of requests that were in flight together count as one. */
	if (now < wk->proc.paused_until_us)
		return;
	wk->proc.paused_until_us =
		now +
		mag_backoff(WK_PAUSE_US, wk->proc.refusals, WK_PAUSE_DOUBLINGS);
	wk->proc.refusals++;
}

/*
 * Records whether a first worker began a request, or refused it or broke it off
 * before its first event.
 */
void wk_add_entry(struct wk *wk, bool began, int64_t now)
{
	double weight = wk_entry_weight(wk, now);

	wk->proc.entries_begun = wk->proc.entries_begun * weight + began;
	wk->proc.entries_failed = wk->proc.entries_failed * weight + !began;
	wk->proc.entry_us = now;
}

/*
 * Returns the fraction of recent requests that a first worker did not begin,
 * without a single one, which tells nothing of the next request.
 */
double wk_entry_failure_rate(const struct wk *wk, int64_t now)
{
	double weight;
	double failed;

	if (wk->proc.entries_failed <= WK_ENTRY_TOLERATED)
		return 0;
	weight = wk_entry_weight(wk, now);
	failed = wk->proc.entries_failed * weight;
	if (failed <= WK_ENTRY_TOLERATED)
		return 0;
	return (failed - WK_ENTRY_TOLERATED) /
	       (failed + wk->proc.entries_begun * weight);
}

/* Returns how much the requests recorded so far count now, up to 1. */
static double wk_entry_weight(const struct wk *wk, int64_t now)
{
	return exp(-(double)(now - wk->proc.entry_us) / WK_ENTRY_FORGET_US);
}

/* Notes that a worker began a request: the refusals have ended. */
void wk_on_start(struct wk *wk)
{
	wk->proc.refusals = 0;
}

/*
 * Notes that a request to this worker broke off before its first event.  A
 * worker that answers probes may still fail all requests, or those of some
 * callers.  Each request sent to it costs a second send, and streams that may
 * run only twice are lost.  Therefore the outcome of requests counts here, not
 * that of probes.
 */
void wk_on_break(struct wk *wk, int64_t now)
{
	int64_t duration_us;

	wk->proc.consecutive_breaks++;
	if (now < wk->proc.distrust_until_us ||
	    (wk->proc.distrust_count == 0 &&
	     wk->proc.consecutive_breaks < WK_BREAKS_MAX))
		return;
	duration_us = mag_backoff(WK_DISTRUST_US, wk->proc.distrust_count,
				  WK_DISTRUST_DOUBLINGS);
	wk->proc.distrust_until_us = now + duration_us;
	wk->proc.distrust_count++;
	wk_log_suspect(wk, "requests break off", duration_us,
		       wk->proc.consecutive_breaks);
}

static void wk_log_suspect(const struct wk *wk, const char *why,
			   int64_t duration_us, int times)
{
	jlog(LOG_WK_SUSPECT,
	     "\"worker\":\"%s\",\"address\":\"%s\",\"why\":\"%s\","
	     "\"for_ms\":%d,\"times\":%d",
	     wk->label, wk->entry.address, why,
	     (int)(duration_us / MAG_US_PER_MS), times);
}

/* Notes that a request to this worker reached its first event or its answer. */
void wk_on_success(struct wk *wk)
{
	wk->proc.consecutive_breaks = 0;
	wk->proc.distrust_count = 0;
}

/* Clears a suspicion, after the worker has proved that it works. */
void wk_clear_suspicion(struct wk *wk, int64_t now)
{
	wk->proc.answered_us = now;
	wk->proc.unreached = false;
	wk->dead_process = 0;
	if (!wk->proc.suspected)
		return;
	wk->proc.suspected = false;
	wk->proc.hearsay_until_us = 0;
	wk->proc.suspect_count = 0;
	wk->proc.suspect_until_us = 0;
	jlog(LOG_WK_CLEARED, "\"worker\":\"%s\",\"address\":\"%s\"", wk->label,
	     wk->entry.address);
}

/* Adds a request's outcome and duration to the moving averages. */
void wk_add_result(struct wk *wk, bool good, int64_t took_us)
{
	wk->proc.failure_rate +=
		WK_SMOOTHING * ((good ? 0 : 1) - wk->proc.failure_rate);
	if (!good)
		return;
	if (wk->proc.response_us <= 0)
		wk->proc.response_us = (double)took_us;
	wk->proc.response_us +=
		WK_SMOOTHING * ((double)took_us - wk->proc.response_us);
}
