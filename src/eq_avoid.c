#include "eq.h"
#include "htab.h"

/*
 * Workers that a request is not sent to again, by this router or by any.  Those
 * that this router only failed to reach, others may reach.
 */

static int eq_find_avoided(const struct eq *eq, uint32_t worker);
static struct eq_avoided *eq_add_avoided(struct eq *eq, uint32_t worker);

/* Tells whether a worker is excluded from further attempts of a request. */
bool eq_avoids(const struct eq *eq, const struct wk *wk)
{
	return eq->avoid_count > 0 &&
	       eq_find_avoided(eq, htab_hash(wk->entry.id)) >= 0;
}

/* Excludes a worker from further attempts of a request by this router. */
void eq_avoid(struct eq *eq, const struct wk *wk)
{
	eq_add_avoided(eq, htab_hash(wk->entry.id));
}

/*
 * Excludes a worker from further attempts by any router, as it refused the
 * request, failed it, or broke it off.
 */
void eq_avoid_everywhere(struct eq *eq, const struct wk *wk)
{
	struct eq_avoided *avoided =
		eq_add_avoided(eq, htab_hash(wk->entry.id));

	if (avoided)
		avoided->everywhere = true;
}

/* Tells whether a worker is excluded from attempts by any router. */
bool eq_avoids_everywhere(const struct eq *eq, const struct wk *wk)
{
	int i = eq_find_avoided(eq, htab_hash(wk->entry.id));

	return i >= 0 && eq->avoid[i].everywhere;
}

/* Tells whether any worker is excluded from attempts by any router. */
bool eq_avoids_any_everywhere(const struct eq *eq)
{
	int i;

	for (i = 0; i < eq->avoid_count; i++) {
		if (eq->avoid[i].everywhere)
			return true;
	}
	return false;
}

/* Fills in what has been done for a request, for another router. */
void eq_history(const struct eq *eq, struct pl_history *history)
{
	int i;

	*history = (struct pl_history){
		.runs = eq->runs,
		.sends = eq->sends,
		.crash_candidate = eq->crash_candidate,
		.wait_ms = -1,
	};
	for (i = 0; i < eq->avoid_count; i++) {
		if (eq->avoid[i].everywhere)
			history->avoid[history->avoid_count++] =
				eq->avoid[i].worker;
	}
}

/*
 * Merges what another router says has been done for a request into what is
 * known here.  Each side knows the counts that the other one started from, so
 * that the higher one is right.
 */
void eq_take_history(struct eq *eq, const struct pl_history *history)
{
	struct eq_avoided *avoided;
	int i;

	if (history->runs > eq->runs)
		eq->runs = history->runs;
	if (history->sends > eq->sends)
		eq->sends = history->sends;
	eq->crash_candidate |= history->crash_candidate;
	for (i = 0; i < history->avoid_count; i++) {
		avoided = eq_add_avoided(eq, history->avoid[i]);
		if (avoided)
			avoided->everywhere = true;
	}
}

/* Returns the index of a worker's entry, or -1. */
static int eq_find_avoided(const struct eq *eq, uint32_t worker)
{
	int i;

	for (i = 0; i < eq->avoid_count; i++) {
		if (eq->avoid[i].worker == worker)
			return i;
	}
	return -1;
}

/* Returns a worker's entry, adding it; NULL if the list is full. */
static struct eq_avoided *eq_add_avoided(struct eq *eq, uint32_t worker)
{
	struct eq_avoided *avoided;
	int i = eq_find_avoided(eq, worker);

	if (i >= 0)
		return &eq->avoid[i];
	if (eq->avoid_count == PL_AVOID_MAX)
		return NULL;
	avoided = &eq->avoid[eq->avoid_count++];
	*avoided = (struct eq_avoided){ .worker = worker };
	return avoided;
}
