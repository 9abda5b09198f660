#include "clk.h"
#include "jlog.h"
#include "pl_store.h"
#include "sto_int.h"

/*
 * A list that began longer ago than this is not continued after a failure: the
 * store may have dropped the history since its first page.
 */
#define STO_LIST_AGE_US (10 * MAG_US_PER_S)
/*
 * A page that the store rejects, or whose answer does not lead on, is asked for
 * so many times, with doubled delays, before the list is left unfinished.
 */
#define STO_PAGE_TRIES	   4
#define STO_PAGE_RETRY_US  (80 * MAG_US_PER_MS)
#define STO_PAGE_DOUBLINGS 4
/* After an unfinished list the next one begins then, doubled each time. */
#define STO_LIST_AGAIN_US	 (2 * MAG_US_PER_S)
#define STO_LIST_AGAIN_DOUBLINGS 4

static void sto_on_list(void *user, enum sto_result result, const char *body,
			size_t len);
static void sto_on_page(struct sto_follow *follow, struct wire_items *items);
static void sto_end_list(struct sto_follow *follow);
static void sto_fail_page(struct sto_follow *follow, const char *why);
static void sto_log_unfinished(const struct sto_follow *follow,
			       const char *why);
static void sto_leave_unfinished(struct sto_follow *follow, int64_t now);
static void sto_reach_list_revision(struct sto_follow *follow);
static void sto_watch_from_list(struct sto_follow *follow);

/* The next list begins with its first page. */
void sto_reset_list(struct sto_follow *follow)
{
	follow->after[0] = '\0';
	follow->page_failures = 0;
	follow->list_again_us = 0;
}

/* Reads the page that follows the last key, or the first one. */
void sto_start_list(struct sto_follow *follow)
{
	char path[PL_PATH_MAX];

	follow->state = STO_LISTING;
	follow->sent_us = clk_boot_us();
	if (!follow->after[0])
		follow->list_sent_us = follow->sent_us;
	if (pl_store_range_path(path, follow->prefix, follow->after)) {
		sto_on_list(follow, STO_REFUSED, NULL, 0);
		return;
	}
	follow->call = sto_send_call(follow->sto, "GET", path, NULL, 0,
				     sto_on_list, follow);
}

/*
 * Handles a page of a list, or its failure.  If the store did not answer or was
 * busy, the same page is asked for again: lists of many pages would hardly ever
 * end otherwise.
 */
static void sto_on_list(void *user, enum sto_result result, const char *body,
			size_t len)
{
	struct sto_follow *follow = user;
	struct wire_items items;

	follow->call = NULL;
	if (result == STO_LOST || result == STO_REFUSED) {
		if (clk_boot_us() - follow->list_sent_us > STO_LIST_AGE_US)
			sto_reset_list(follow);
		sto_back_off(follow, true);
	} else if (result != STO_DONE) {
		sto_fail_page(follow, "rejected");
	} else if (pl_store_items(body, len, &items)) {
		sto_fail_page(follow, "unreadable");
	} else {
		sto_on_page(follow, &items);
		pl_store_items_free(&items);
	}
}

static void sto_on_page(struct sto_follow *follow, struct wire_items *items)
{
	bool first = !follow->after[0];
	enum sto_page next = sto_next_page(items, follow->after);

	if (next == STO_PAGE_STUCK) {
		sto_fail_page(follow, "no further key");
		return;
	}
	sto_on_success(follow);
	follow->page_failures = 0;
	if (first) {
		/*
		 * The pages are not a snapshot: watch from the revision of the
		 * first.
		 */
		follow->list_revision = items->revision;
		follow->ops->list_begin(follow->user);
	}
	sto_report_items(follow, items);
	if (next == STO_PAGE_MORE)
		sto_start_list(follow);
	else
		sto_end_list(follow);
}

static void sto_end_list(struct sto_follow *follow)
{
	sto_reset_list(follow);
	follow->unfinished = 0;
	sto_reach_list_revision(follow);
	follow->ops->list_end(follow->user);
	sto_watch_from_list(follow);
}

/* Reports that the list was current, and watches from its first page on. */
static void sto_watch_from_list(struct sto_follow *follow)
{
	follow->ops->confirmed(follow->user, follow->list_sent_us);
	sto_check_confirmed(follow);
	sto_start_watch(follow);
}

/*
 * The store has answered, but not with the page that was asked for.  Asking
 * without a pause would use up its rate limit, which all routers share.
 */
static void sto_fail_page(struct sto_follow *follow, const char *why)
{
	int64_t now = clk_boot_us();

	follow->page_failures++;
	if (follow->page_failures % STO_PAGE_TRIES == 0)
		sto_log_unfinished(follow, why);
	/* Without a first page there is nothing to go on with. */
	if (!follow->after[0]) {
		sto_back_off(follow, true);
		return;
	}
	if (follow->page_failures == STO_PAGE_TRIES) {
		sto_leave_unfinished(follow, now);
		return;
	}
	follow->state = STO_DELAYING;
	follow->list_after_delay = true;
	follow->retry_us =
		now + mag_backoff(STO_PAGE_RETRY_US, follow->page_failures - 1,
				  STO_PAGE_DOUBLINGS);
}

static void sto_log_unfinished(const struct sto_follow *follow, const char *why)
{
	char after[WIRE_KEY_MAX];

	jlog(LOG_PF_LIST_UNFINISHED,
	     "\"after\":\"%s\",\"why\":\"%s\",\"status\":%d,\"tries\":%d,"
	     "\"lists\":%d",
	     jlog_sanitize(after, sizeof(after), follow->after), why,
	     follow->sto->status, follow->page_failures,
	     follow->unfinished + 1);
}

/*
 * Goes on with what the list has brought so far and with the changes since, and
 * lists again later.
 */
static void sto_leave_unfinished(struct sto_follow *follow, int64_t now)
{
	int64_t again_us =
		now + mag_backoff(STO_LIST_AGAIN_US, follow->unfinished,
				  STO_LIST_AGAIN_DOUBLINGS);

	sto_reach_list_revision(follow);
	follow->ops->list_unfinished(follow->user, follow->after);
	sto_reset_list(follow);
	follow->unfinished++;
	follow->list_again_us = again_us;
	sto_watch_from_list(follow);
}

/* Sets the position from which changes are watched after a list. */
static void sto_reach_list_revision(struct sto_follow *follow)
{
	follow->pos =
		(struct pos){ sto_era(follow->sto), follow->list_revision };
	follow->pos_us = clk_boot_us();
	sto_refute_pos(follow, follow->pos, follow->list_sent_us);
}
