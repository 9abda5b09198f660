#include "eq.h"
#include "jlog.h"

/*
 * The attempts of a request.
 *
 * Load pattern: workers fall silent, most or all of them together, and go on
 * after a second.  A chain or a peer that takes over a stream may be as silent,
 * full, or without a worker.  Earlier attempts are therefore kept while the
 * present one has not begun to answer.  The one that answers first goes on, and
 * the others are cancelled.  If the present one fails, the request returns to
 * the last that is kept.
 */

static int eq_attempt_init(struct eq_attempt *attempt, struct eq *eq);
static void eq_attempt_free(struct eq_attempt *attempt);
static struct eq_attempt *eq_spare_attempt(struct eq *eq);
static bool eq_is_kept(const struct eq *eq, const struct eq_attempt *attempt);
static void eq_count_run(struct eq *eq);
static void eq_count_present(struct eq *eq, int64_t now);

/* Prepares a request's attempts.  Returns -1 if memory is exhausted. */
int eq_attempts_init(struct eq *eq)
{
	size_t i;
	int err = 0;

	for (i = 0; i < MAG_ARRAY_SIZE(eq->attempts); i++)
		err |= eq_attempt_init(&eq->attempts[i], eq);
	if (err)
		eq_attempts_free(eq);
	eq->attempt = eq->attempts;
	return err;
}

/* Frees the buffers of a request's attempts. */
void eq_attempts_free(struct eq *eq)
{
	size_t i;

	for (i = 0; i < MAG_ARRAY_SIZE(eq->attempts); i++)
		eq_attempt_free(&eq->attempts[i]);
}

static int eq_attempt_init(struct eq_attempt *attempt, struct eq *eq)
{
	attempt->eq = eq;
	attempt->fields = evbuffer_new();
	attempt->body = evbuffer_new();
	return attempt->fields && attempt->body ? 0 : -1;
}

static void eq_attempt_free(struct eq_attempt *attempt)
{
	if (attempt->fields)
		evbuffer_free(attempt->fields);
	if (attempt->body)
		evbuffer_free(attempt->body);
	evs_free(&attempt->events);
	attempt->eq->edge->answer_bytes -= attempt->buffered;
	attempt->buffered = 0;
}

/* Counts what is buffered of an attempt's answer, after a change of it. */
void eq_count_buffered(struct eq_attempt *attempt)
{
	size_t *all = &attempt->eq->edge->answer_bytes;

	*all -= attempt->buffered;
	attempt->buffered = evbuffer_get_length(attempt->body) +
			    evs_pending(&attempt->events);
	*all += attempt->buffered;
}

/*
 * Makes room for another attempt of a request that has one in progress, which
 * counts as a run.  It is kept, which is returned; if too many are kept, it
 * ends instead.
 */
bool eq_set_aside(struct eq *eq)
{
	struct eq_attempt *spare = eq_spare_attempt(eq);

	eq_count_run(eq);
	if (!spare) {
		hc_cancel(eq->attempt->call);
		eq->attempt->call = NULL;
		eq_release(eq);
		return false;
	}
	eq_repair_cancel(eq);
	eq->attempt->earlier = eq->kept;
	eq->kept = eq->attempt;
	eq->attempt = spare;
	eq->attempt->repairs = 0;
	eq->attempt->repaired_us = 0;
	return true;
}

/*
 * Returns to the last kept attempt, as the present one has failed or is not
 * wanted.  The kept one's run is counted again when it ends.
 */
void eq_fall_back(struct eq *eq, const char *why, int64_t now)
{
	char id[WIRE_ID_MAX];

	if (eq->attempt->call) {
		eq_count_present(eq, now);
		hc_cancel(eq->attempt->call);
	}
	eq->attempt->call = NULL;
	eq_release(eq);
	eq->attempt = eq->kept;
	eq->kept = eq->kept->earlier;
	eq->runs--;
	eq->may_have_run = eq->runs > 0;
	if (eq->state == EQ_WAITING)
		eq->state = EQ_SENT;
	eq->next_move_us = now + EQ_MOVE_RETRY_US;
	met_increment(&eq->edge->met, MET_FALL_BACKS);
	jlog(LOG_EQ_FELL_BACK,
	     "\"request\":\"%s\",\"why\":\"%s\",\"worker\":\"%s\","
	     "\"sends\":%d,\"runs\":%d,\"last_event\":%lld,"
	     "\"silent_ms\":%d",
	     jlog_sanitize(id, sizeof(id), eq->request.attempt_id), why,
	     eq->attempt->hop_count > 0 ? eq->attempt->hops[0].worker->label
					: "",
	     eq->sends, eq->runs, (long long)eq->last_event,
	     (int)((now - eq->progress_us) / MAG_US_PER_MS));
}

/* Makes an attempt that has answered the only one. */
void eq_prefer(struct eq *eq, struct eq_attempt *attempt, int64_t now)
{
	if (!eq->kept)
		return;
	if (attempt == eq->attempt) {
		eq_drop_kept(eq);
		return;
	}
	while (eq->kept != attempt)
		eq_end_kept(eq, eq->kept);
	while (attempt->earlier)
		eq_end_kept(eq, attempt->earlier);
	eq_fall_back(eq, "answered first", now);
}

/* Ends all attempts that are kept. */
void eq_drop_kept(struct eq *eq)
{
	while (eq->kept)
		eq_end_kept(eq, eq->kept);
}

/* Ends an attempt that is kept. */
void eq_end_kept(struct eq *eq, struct eq_attempt *attempt)
{
	struct eq_attempt **link = &eq->kept;

	while (*link != attempt)
		link = &(*link)->earlier;
	*link = attempt->earlier;
	if (attempt->call)
		hc_cancel(attempt->call);
	attempt->call = NULL;
	attempt->blamed[0] = '\0';
	eq_release_hops(attempt);
}

/* Tells whether an attempt in progress has had an event. */
bool eq_has_begun(const struct eq *eq)
{
	const struct eq_attempt *attempt;

	if (eq->attempt->call && eq->attempt->begun_us)
		return true;
	for (attempt = eq->kept; attempt; attempt = attempt->earlier) {
		if (attempt->begun_us)
			return true;
	}
	return false;
}

/* Returns an attempt that is neither the present one nor kept, or NULL. */
static struct eq_attempt *eq_spare_attempt(struct eq *eq)
{
	struct eq_attempt *attempt;
	size_t i;

	for (i = 0; i < MAG_ARRAY_SIZE(eq->attempts); i++) {
		attempt = &eq->attempts[i];
		if (attempt != eq->attempt && !eq_is_kept(eq, attempt))
			return attempt;
	}
	return NULL;
}

static bool eq_is_kept(const struct eq *eq, const struct eq_attempt *attempt)
{
	const struct eq_attempt *kept;

	for (kept = eq->kept; kept; kept = kept->earlier) {
		if (kept == attempt)
			return true;
	}
	return false;
}

/* Counts the present attempt as one that may have run. */
static void eq_count_run(struct eq *eq)
{
	eq->may_have_run = true;
	eq->runs++;
}

/* Counts what the present attempt, which is in progress, may have run. */
static void eq_count_present(struct eq *eq, int64_t now)
{
	if (hc_unsent(eq->attempt->call)) {
		if (eq->attempt->hop_count > 0)
			eq_return_send(eq, now);
		else
			eq_drop_assumed_send(eq);
		return;
	}
	eq_count_run(eq);
	/* A peer may have used all runs that the route allows. */
	if (eq->attempt->hop_count == 0)
		eq->runs = eq->route->max_attempts;
}
