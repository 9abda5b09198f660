#include <stdlib.h>
#include <string.h>

#include "wk.h"

/* Requests that are remembered of a worker: its places and its queue. */
#define WK_INTERRUPTED_MAX 256
/*
 * A request whose answer broke off at most this long before the worker's death
 * may have caused it.
 */
#define WK_INTERRUPTED_US (2 * MAG_US_PER_S)

static void wk_free_interrupted(struct wk *wk,
				struct wk_interrupted *interrupted);

/*
 * Tells whether a worker runs, or just ran, anything besides one of our
 * requests, which runs there so many times as the first worker's and holds so
 * much memory.
 */
bool wk_runs_others(struct wk *wk, int firsts, double held, int64_t now)
{
	return wk->first_hops > firsts || wk->held > held ||
	       wk->peer_first_hops > 0 || wk->peer_held > 0 ||
	       (wk->proc.bystander_us &&
		now - wk->proc.bystander_us < WK_INTERRUPTED_US) ||
	       wk_count_interrupted(wk, now) > 0;
}

/*
 * Remembers a request that broke off at a worker, or was left there by a caller
 * that did not wait for it, until it is known whether the worker died.  If
 * there are too many, the oldest is forgotten; without memory this one is.
 */
void wk_add_interrupted(struct wk *wk, const struct wk_interrupted *interrupted)
{
	struct wk_interrupted *added = malloc(sizeof(*added));

	if (!added)
		return;
	if (wk_count_interrupted(wk, interrupted->at_us) == WK_INTERRUPTED_MAX)
		wk_free_interrupted(
			wk, cds_list_first_entry(&wk->interrupted,
						 struct wk_interrupted, node));
	*added = *interrupted;
	added->process = wk_process_hash(wk);
	cds_list_add_tail(&added->node, &wk->interrupted);
	wk->interrupted_count++;
	wk_attend(wk);
}

/*
 * Returns how many requests may have caused a death of the worker now; forgets
 * those that broke off too long ago.
 */
int wk_count_interrupted(struct wk *wk, int64_t now)
{
	struct wk_interrupted *interrupted;
	struct wk_interrupted *next;

	cds_list_for_each_entry_safe (interrupted, next, &wk->interrupted,
				      node) {
		if (now - interrupted->at_us < WK_INTERRUPTED_US)
			break;
		wk_free_interrupted(wk, interrupted);
	}
	return wk->interrupted_count;
}

/*
 * Tells whether a request broke off at a process that is known to be dead: the
 * one that was last found so, or one before the present one.
 */
bool wk_broke_at_dead(struct wk *wk, int64_t now)
{
	const struct wk_interrupted *first;

	if (wk_count_interrupted(wk, now) == 0)
		return false;
	first = cds_list_first_entry(&wk->interrupted, struct wk_interrupted,
				     node);
	return first->process != wk_process_hash(wk) ||
	       first->process == wk->dead_process;
}

/*
 * Records that the process is dead at which requests broke off, or the present
 * one.  Returns whether that was not known.
 */
bool wk_note_dead(struct wk *wk)
{
	const struct wk_interrupted *first;
	uint32_t process = wk_process_hash(wk);
	bool news;

	if (!cds_list_empty(&wk->interrupted)) {
		first = cds_list_first_entry(&wk->interrupted,
					     struct wk_interrupted, node);
		process = first->process;
	}
	news = wk->dead_process != process;
	wk->dead_process = process;
	return news;
}

/* Tells whether a request broke off at a worker since its last probe. */
bool wk_broke_since_probe(const struct wk *wk)
{
	const struct wk_interrupted *interrupted;

	cds_list_for_each_entry (interrupted, &wk->interrupted, node) {
		if (!interrupted->left && interrupted->at_us > wk->probed_us)
			return true;
	}
	return false;
}

/*
 * Forgets the requests that broke off before a probe, which the worker has
 * answered.  One that was left there may still crash it.
 */
void wk_forget_broken(struct wk *wk, int64_t probed_us)
{
	struct wk_interrupted *interrupted;
	struct wk_interrupted *next;

	cds_list_for_each_entry_safe (interrupted, next, &wk->interrupted,
				      node) {
		if (!interrupted->left && interrupted->at_us <= probed_us)
			wk_free_interrupted(wk, interrupted);
	}
}

void wk_clear_interrupted(struct wk *wk)
{
	struct wk_interrupted *interrupted;
	struct wk_interrupted *next;

	cds_list_for_each_entry_safe (interrupted, next, &wk->interrupted, node)
		wk_free_interrupted(wk, interrupted);
}

static void wk_free_interrupted(struct wk *wk,
				struct wk_interrupted *interrupted)
{
	cds_list_del(&interrupted->node);
	wk->interrupted_count--;
	free(interrupted);
}
