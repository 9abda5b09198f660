#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <rpc/rpc.h>

#include "pl_store.h"
#include "rel_msg.h"

#define REL_MAGIC   0x4d414752U
#define REL_VERSION 2U
/* Largest encoded sizes, of an item without its key and value. */
#define REL_HEAD_BYTES 96
#define REL_ITEM_BYTES 40
/* Smallest encoded size of an item. */
#define REL_ITEM_BYTES_MIN 24
#define REL_PATH	   "/changes"

static size_t rel_answer_size(struct rel_answer *answer, const struct mir *mir,
			      const struct mir_item *first);
static bool rel_is_sent(const struct rel_answer *answer,
			const struct mir_item *entry);
static bool_t rel_xdr_head(XDR *xdr, struct rel_answer *answer);
static bool_t rel_xdr_item(XDR *xdr, struct wire_item *item);
static bool rel_is_in_order(const struct rel_answer *answer, struct pos after);

/* Writes the target of a poll. */
void rel_poll_write(char *target, size_t size, const struct rel_poll *poll)
{
	snprintf(target, size,
		 REL_PATH "?era=%" PRId64 "&after=%" PRId64 "&wait_us=%" PRId64,
		 poll->after.era, poll->after.revision, poll->wait_us);
}

int rel_poll_parse(const char *target, struct rel_poll *poll)
{
	if (sscanf(target,
		   REL_PATH "?era=%" SCNd64 "&after=%" SCNd64
			    "&wait_us=%" SCNd64,
		   &poll->after.era, &poll->after.revision,
		   &poll->wait_us) != 3 ||
	    poll->wait_us < 0)
		return REL_MSG_E_FORMAT;
	return REL_MSG_OK;
}

/*
 * Encodes the changes after a revision, or all items if answer->complete is
 * set.  The caller frees the body.
 */
int rel_answer_encode(struct rel_answer *answer, const struct mir *mir,
		      int64_t after, char **body, size_t *len)
{
	const struct mir_item *first =
		mir_first_change(mir, answer->complete ? 0 : after);
	size_t size = rel_answer_size(answer, mir, first);
	const struct mir_item *entry;
	struct wire_item item;
	bool_t good;
	XDR xdr;

	*body = malloc(size);
	if (!*body)
		return REL_MSG_E_MEMORY;
	xdrmem_create(&xdr, *body, (u_int)size, XDR_ENCODE);
	good = rel_xdr_head(&xdr, answer);
	for (entry = first; good && entry;
	     entry = mir_next_change(mir, entry)) {
		item = entry->item;
		if (rel_is_sent(answer, entry))
			good = rel_xdr_item(&xdr, &item);
	}
	*len = xdr_getpos(&xdr);
	if (good)
		return REL_MSG_OK;
	free(*body);
	return REL_MSG_E_FORMAT;
}

/*
 * Decodes the answer to a poll for the changes after a position.  The caller
 * frees the items with pl_store_items_free().  On an error there are none.
 */
int rel_answer_decode(char *body, size_t len, struct pos after,
		      struct rel_answer *answer, struct wire_items *items)
{
	int rc = REL_MSG_E_FORMAT;
	uint32_t i;
	XDR xdr;

	memset(items, 0, sizeof(*items));
	if (len > REL_BYTES_MAX)
		return REL_MSG_E_FORMAT;
	xdrmem_create(&xdr, body, (u_int)len, XDR_DECODE);
	if (!rel_xdr_head(&xdr, answer) ||
	    answer->item_count > len / REL_ITEM_BYTES_MIN)
		return REL_MSG_E_FORMAT;
	if (!rel_is_in_order(answer, after))
		return REL_MSG_E_ORDER;
	items->items = calloc(answer->item_count + 1, sizeof(*items->items));
	if (!items->items)
		return REL_MSG_E_MEMORY;
	items->revision = answer->pos.revision;
	for (i = 0; i < answer->item_count; i++) {
		if (!rel_xdr_item(&xdr, &items->items[items->count]))
			break;
		items->count++;
	}
	if (i == answer->item_count && xdr_getpos(&xdr) == len)
		rc = REL_MSG_OK;
	else
		pl_store_items_free(items);
	return rc;
}

/* Counts the items to send; returns the size of the buffer for them. */
static size_t rel_answer_size(struct rel_answer *answer, const struct mir *mir,
			      const struct mir_item *first)
{
	size_t size = REL_HEAD_BYTES;
	const struct mir_item *entry;

	answer->item_count = 0;
	for (entry = first; entry; entry = mir_next_change(mir, entry)) {
		if (!rel_is_sent(answer, entry))
			continue;
		answer->item_count++;
		size += REL_ITEM_BYTES + strlen(entry->item.key) +
			entry->item.len;
	}
	return size;
}

/* A complete list has no deletions. */
static bool rel_is_sent(const struct rel_answer *answer,
			const struct mir_item *entry)
{
	return !answer->complete || !entry->item.deleted;
}

static bool_t rel_xdr_head(XDR *xdr, struct rel_answer *answer)
{
	uint32_t version = REL_VERSION;
	uint32_t magic = REL_MAGIC;
	uint32_t flags =
		(answer->complete ? 1U : 0) | (answer->has_fresh ? 2U : 0) |
		(answer->reachable ? 4U : 0) | (answer->has_regained ? 8U : 0);

	if (!xdr_uint32_t(xdr, &magic) || magic != REL_MAGIC ||
	    !xdr_uint32_t(xdr, &version) || version != REL_VERSION ||
	    !xdr_int64_t(xdr, &answer->pos.era) ||
	    !xdr_int64_t(xdr, &answer->pos.revision) ||
	    !xdr_uint32_t(xdr, &flags) ||
	    !xdr_int64_t(xdr, &answer->fresh_us) ||
	    !xdr_int64_t(xdr, &answer->regained_us) ||
	    !xdr_uint32_t(xdr, &answer->item_count))
		return FALSE;
	answer->complete = flags & 1U;
	answer->has_fresh = flags & 2U;
	answer->reachable = flags & 4U;
	answer->has_regained = flags & 8U;
	return TRUE;
}

static bool_t rel_xdr_item(XDR *xdr, struct wire_item *item)
{
	uint32_t deleted = item->deleted;
	u_int len = (u_int)item->len;
	char *key = item->key;

	if (!xdr_string(xdr, &key, WIRE_KEY_MAX - 1) ||
	    !xdr_int64_t(xdr, &item->revision) ||
	    !xdr_int64_t(xdr, &item->lease) || !xdr_uint32_t(xdr, &deleted))
		return FALSE;
	item->deleted = deleted != 0;
	if (item->deleted)
		return TRUE;
	if (!xdr_u_int(xdr, &len) || len > REL_BYTES_MAX)
		return FALSE;
	if (xdr->x_op == XDR_ENCODE)
		return xdr_opaque(xdr, item->value, len);
	/* Not more than the rest of the body, so that a lie costs nothing. */
	if (len > xdr->x_handy)
		return FALSE;
	item->value = malloc((size_t)len + 1);
	if (!item->value)
		return FALSE;
	item->len = len;
	item->value[len] = '\0';
	if (xdr_opaque(xdr, item->value, len))
		return TRUE;
	free(item->value);
	item->value = NULL;
	return FALSE;
}

/*
 * Changes lead from a position to one that is not before it, in the same era;
 * a complete list may begin a newer era, never an older one.
 */
static bool rel_is_in_order(const struct rel_answer *answer, struct pos after)
{
	if (answer->pos.era < after.era)
		return false;
	if (answer->complete)
		return answer->pos.era > after.era || after.revision <= 0 ||
		       answer->pos.revision >= after.revision;
	return answer->pos.era == after.era && after.revision > 0 &&
	       answer->pos.revision >= after.revision;
}
