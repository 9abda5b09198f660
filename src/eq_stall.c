#include <string.h>

#include "clk.h"
#include "eq.h"
#include "jlog.h"
#include "wkp.h"

/*
 * Load pattern: a worker in the middle of a chain dies or falls silent, and
 * the first worker, which is well, waits for it for seconds.  Callers leave
 * after two seconds of silence, so the silence itself is the sign: an event
 * comes every 50 to 150 ms, also when the engines are full.
 */
#define EQ_SILENCE_US (350 * MAG_US_PER_MS)
/*
 * A first event comes after 100 ms in the mean, and is worth the most within
 * half a second: found by then, another chain can still bring it in time.
 */
#define EQ_FIRST_SILENCE_US (320 * MAG_US_PER_MS)
/* Asked again while the silence lasts; reports are 200 ms old. */
#define EQ_ASK_AGAIN_US (250 * MAG_US_PER_MS)
/* A stream on a suspect that was silent for this long is moved at once. */
#define EQ_MOVE_SILENCE_US (200 * MAG_US_PER_MS)

static int64_t eq_silence(const struct eq *eq, int64_t now);
static void eq_move(struct eq *eq, struct wk *fault, const char *why);
static struct eq *eq_by_id(struct edge *edge, const char *attempt_id);

/* Asks the first worker of each stream that has fallen silent. */
void eq_stall_tick(struct edge *edge, int64_t now)
{
	struct eq *eq;
	int64_t limit;

	cds_list_for_each_entry (eq, &edge->requests, node) {
		if (!eq->call || !eq->service->has_engine)
			continue;
		limit = eq->state == EQ_STREAMS && eq->answered
				? EQ_SILENCE_US
				: EQ_FIRST_SILENCE_US;
		if (eq_silence(eq, now) < limit ||
		    now - eq->asked_us < EQ_ASK_AGAIN_US)
			continue;
		eq->asked_us = now;
		wkp_ask(edge, eq->hops[0].worker, now);
	}
}

/* A first worker has said which of its requests wait, and for whom. */
void eq_on_report(struct edge *edge, struct wk *wk,
		  const struct wire_report *report, int64_t now)
{
	const struct wire_stalled *stalled;
	struct wk *fault;
	struct eq *eq;
	int i;

	for (i = 0; i < report->stalled_count; i++) {
		stalled = &report->stalled[i];
		fault = wk_by_address(&edge->workers, stalled->address);
		if (!fault)
			continue;
		if (fault != wk)
			wk_suspect(fault, now, "streams wait for it");
		eq = eq_by_id(edge, stalled->attempt_id);
		if (!eq || !eq->call || !eq_uses(eq, fault) ||
		    eq_silence(eq, now) < EQ_MOVE_SILENCE_US)
			continue;
		met_add(&edge->met, MET_STALLS);
		eq_move(eq, fault, "stalled at a worker");
	}
	cds_list_for_each_entry (fault, &edge->workers.workers, node) {
		if (fault->on_trial && report->stalled_count > 0)
			eq_on_suspect(edge, fault, now);
	}
}

/* Moves the streams that a suspect keeps silent. */
void eq_on_suspect(struct edge *edge, struct wk *wk, int64_t now)
{
	struct eq *eq;
	struct eq *next;

	cds_list_for_each_entry_safe (eq, next, &edge->requests, node) {
		if (!eq->call || !eq->service->has_engine || !eq_uses(eq, wk) ||
		    eq_silence(eq, now) < EQ_MOVE_SILENCE_US)
			continue;
		met_add(&edge->met, MET_STALLS);
		eq_move(eq, wk, "on a suspected worker");
	}
}

static int64_t eq_silence(const struct eq *eq, int64_t now)
{
	int64_t since = eq->progress_us;

	if (eq->sent_us > since)
		since = eq->sent_us;
	return now - since;
}

/* Takes a stream off its chain; another one goes on where it stopped. */
static void eq_move(struct eq *eq, struct wk *fault, const char *why)
{
	bool first_died = eq->hops[0].worker == fault;

	wk_add_victim(fault, eq->print, clk_boot_us());
	hc_cancel(eq->call);
	eq->call = NULL;
	eq->may_have_run = true;
	/* A worker that died is no worker at which it runs any more. */
	if (!first_died)
		eq->runs++;
	eq_avoid(eq, fault);
	eq_again(eq, why);
}

static struct eq *eq_by_id(struct edge *edge, const char *attempt_id)
{
	struct eq *eq;

	cds_list_for_each_entry (eq, &edge->requests, node) {
		if (eq->asks.attempt_id &&
		    strcmp(eq->asks.attempt_id, attempt_id) == 0)
			return eq;
	}
	return NULL;
}
