#include "clk.h"
#include "pl_store.h"
#include "sto_int.h"

static void sto_on_list(void *user, enum sto_result result, const char *body,
			size_t len);

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

/* Handles a page of a list, or its failure. */
static void sto_on_list(void *user, enum sto_result result, const char *body,
			size_t len)
{
	struct sto_follow *follow = user;
	struct wire_items items;

	follow->call = NULL;
	if (result != STO_DONE || pl_store_items(body, len, &items)) {
		follow->after[0] = '\0';
		sto_back_off(follow, true);
		return;
	}
	sto_on_success(follow);
	if (!follow->after[0]) {
		/*
		 * The pages are not a snapshot: watch from the revision of the
		 * first.
		 */
		follow->list_revision = items.revision;
		follow->ops->list_begin(follow->user);
	}
	sto_report_items(follow, &items);
	if (items.has_more && items.count > 0) {
		mag_copy_name(follow->after, sizeof(follow->after),
			      items.items[items.count - 1].key);
		pl_store_items_free(&items);
		sto_start_list(follow);
		return;
	}
	pl_store_items_free(&items);
	follow->after[0] = '\0';
	follow->pos =
		(struct pos){ sto_era(follow->sto), follow->list_revision };
	follow->pos_us = clk_boot_us();
	sto_refute_pos(follow, follow->pos, follow->list_sent_us);
	follow->ops->list_end(follow->user);
	follow->ops->confirmed(follow->user, follow->list_sent_us);
	sto_check_confirmed(follow);
	sto_start_watch(follow);
}
