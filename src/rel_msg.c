#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <rpc/rpc.h>
#include <zstd.h>

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
/* Items of at least this size are compressed. */
#define REL_COMPRESS_BYTES 1024
#define REL_COMPRESS_LEVEL 1

static int rel_items_decode(char *bytes, size_t len, struct pos after,
			    const struct rel_answer *answer,
			    struct wire_items *items);
static void rel_compress(struct rel_items *items);
static int rel_decompress(const char *bytes, size_t len, size_t plain_len,
			  char **plain);
static size_t rel_items_size(bool complete, const struct mir *mir,
			     const struct mir_item *first, uint32_t *count);
static bool rel_is_sent(bool complete, const struct mir_item *entry);
static bool_t rel_xdr_head(XDR *xdr, struct rel_answer *answer);
static bool_t rel_xdr_item(XDR *xdr, struct wire_item *item);
static bool rel_is_in_order(const struct rel_answer *answer, struct pos after);

/* Writes the target of a poll. */
void rel_poll_write(char *target, size_t size, const struct rel_poll *poll)
{
	snprintf(target, size,
		 REL_PATH "?era=%" PRId64 "&after=%" PRId64 "&wait_us=%" PRId64
			  "&deployment=%" PRIu32,
		 poll->after.era, poll->after.revision, poll->wait_us,
		 poll->deployment);
}

int rel_poll_parse(const char *target, struct rel_poll *poll)
{
	int found = sscanf(target,
			   REL_PATH "?era=%" SCNd64 "&after=%" SCNd64
				    "&wait_us=%" SCNd64 "&deployment=%" SCNu32,
			   &poll->after.era, &poll->after.revision,
			   &poll->wait_us, &poll->deployment);

	if (found < 3 || poll->wait_us < 0)
		return REL_MSG_E_FORMAT;
	poll->has_deployment = found == 4;
	return REL_MSG_OK;
}

/*
 * Encodes the changes after a revision, or all items if it is 0.  The caller
 * frees them with rel_items_free().
 */
int rel_items_encode(const struct mir *mir, int64_t after,
		     struct rel_items *items)
{
	const struct mir_item *first = mir_first_change(mir, after);
	bool complete = after == 0;
	const struct mir_item *entry;
	struct wire_item item;
	bool_t good = TRUE;
	size_t size;
	XDR xdr;

	memset(items, 0, sizeof(*items));
	size = rel_items_size(complete, mir, first, &items->count);
	items->bytes = malloc(size);
	if (!items->bytes)
		return REL_MSG_E_MEMORY;
	xdrmem_create(&xdr, items->bytes, (u_int)size, XDR_ENCODE);
	for (entry = first; good && entry;
	     entry = mir_next_change(mir, entry)) {
		item = entry->item;
		if (rel_is_sent(complete, entry))
			good = rel_xdr_item(&xdr, &item);
	}
	items->len = xdr_getpos(&xdr);
	if (!good) {
		rel_items_free(items);
		return REL_MSG_E_FORMAT;
	}
	rel_compress(items);
	return REL_MSG_OK;
}

void rel_items_free(struct rel_items *items)
{
	free(items->bytes);
	memset(items, 0, sizeof(*items));
}

/* Encodes an answer with these items.  The caller frees the body. */
int rel_answer_encode(struct rel_answer *answer, const struct rel_items *items,
		      char **body, size_t *len)
{
	XDR xdr;

	*body = malloc(REL_HEAD_BYTES + items->len);
	if (!*body)
		return REL_MSG_E_MEMORY;
	answer->item_count = items->count;
	answer->plain_len = items->plain_len;
	xdrmem_create(&xdr, *body, REL_HEAD_BYTES, XDR_ENCODE);
	if (!rel_xdr_head(&xdr, answer)) {
		free(*body);
		return REL_MSG_E_FORMAT;
	}
	*len = xdr_getpos(&xdr) + items->len;
	memcpy(*body + xdr_getpos(&xdr), items->bytes, items->len);
	return REL_MSG_OK;
}

/*
 * Decodes the answer to a poll for the changes after a position.  The caller
 * frees the items with pl_store_items_free().  On an error there are none.
 */
int rel_answer_decode(char *body, size_t len, struct pos after,
		      struct rel_answer *answer, struct wire_items *items)
{
	char *plain = NULL;
	size_t head_len;
	XDR xdr;
	int rc;

	memset(items, 0, sizeof(*items));
	memset(answer, 0, sizeof(*answer));
	if (len > REL_BYTES_MAX)
		return REL_MSG_E_FORMAT;
	xdrmem_create(&xdr, body, (u_int)len, XDR_DECODE);
	if (!rel_xdr_head(&xdr, answer) || answer->pos.era < POS_ERA_NONE ||
	    answer->pos.revision < 0)
		return REL_MSG_E_FORMAT;
	head_len = xdr_getpos(&xdr);
	body += head_len;
	len -= head_len;
	if (answer->plain_len) {
		rc = rel_decompress(body, len, answer->plain_len, &plain);
		if (rc)
			return rc;
		body = plain;
		len = answer->plain_len;
	}
	rc = rel_items_decode(body, len, after, answer, items);
	free(plain);
	return rc;
}

static int rel_items_decode(char *bytes, size_t len, struct pos after,
			    const struct rel_answer *answer,
			    struct wire_items *items)
{
	int rc = REL_MSG_E_FORMAT;
	uint32_t i;
	XDR xdr;

	if (answer->item_count > len / REL_ITEM_BYTES_MIN)
		return REL_MSG_E_FORMAT;
	if (!rel_is_in_order(answer, after))
		return REL_MSG_E_ORDER;
	items->items = calloc(answer->item_count + 1, sizeof(*items->items));
	if (!items->items)
		return REL_MSG_E_MEMORY;
	items->revision = answer->pos.revision;
	xdrmem_create(&xdr, bytes, (u_int)len, XDR_DECODE);
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

/* Compresses encoded items if they become smaller. */
static void rel_compress(struct rel_items *items)
{
	size_t size = ZSTD_compressBound(items->len);
	char *bytes;
	size_t len;

	if (items->len < REL_COMPRESS_BYTES)
		return;
	bytes = malloc(size);
	if (!bytes)
		return;
	len = ZSTD_compress(bytes, size, items->bytes, items->len,
			    REL_COMPRESS_LEVEL);
	if (ZSTD_isError(len) || len >= items->len) {
		free(bytes);
		return;
	}
	items->plain_len = (uint32_t)items->len;
	free(items->bytes);
	items->bytes = bytes;
	items->len = len;
}

/* Decompresses items, which must have the length that their sender names. */
static int rel_decompress(const char *bytes, size_t len, size_t plain_len,
			  char **plain)
{
	if (plain_len > REL_BYTES_MAX ||
	    ZSTD_getFrameContentSize(bytes, len) != plain_len)
		return REL_MSG_E_FORMAT;
	*plain = malloc(plain_len);
	if (!*plain)
		return REL_MSG_E_MEMORY;
	if (ZSTD_decompress(*plain, plain_len, bytes, len) == plain_len)
		return REL_MSG_OK;
	free(*plain);
	*plain = NULL;
	return REL_MSG_E_FORMAT;
}

/* Counts the items to send; returns the size of the buffer for them. */
static size_t rel_items_size(bool complete, const struct mir *mir,
			     const struct mir_item *first, uint32_t *count)
{
	const struct mir_item *entry;
	size_t size = 1;

	*count = 0;
	for (entry = first; entry; entry = mir_next_change(mir, entry)) {
		if (!rel_is_sent(complete, entry))
			continue;
		(*count)++;
		size += REL_ITEM_BYTES + strlen(entry->item.key) +
			entry->item.len;
	}
	return size;
}

/* A complete list has no deletions. */
static bool rel_is_sent(bool complete, const struct mir_item *entry)
{
	return !complete || !entry->item.deleted;
}

static bool_t rel_xdr_head(XDR *xdr, struct rel_answer *answer)
{
	uint32_t version = REL_VERSION;
	uint32_t magic = REL_MAGIC;
	uint32_t flags =
		(answer->complete ? 1U : 0) | (answer->has_fresh ? 2U : 0) |
		(answer->reachable ? 4U : 0) | (answer->has_regained ? 8U : 0) |
		(answer->marked ? 16U : 0);

	if (!xdr_uint32_t(xdr, &magic) || magic != REL_MAGIC ||
	    !xdr_uint32_t(xdr, &version) || version != REL_VERSION ||
	    !xdr_int64_t(xdr, &answer->pos.era) ||
	    !xdr_int64_t(xdr, &answer->pos.revision) ||
	    !xdr_uint32_t(xdr, &flags) ||
	    !xdr_int64_t(xdr, &answer->fresh_us) ||
	    !xdr_int64_t(xdr, &answer->regained_us) ||
	    !xdr_uint32_t(xdr, &answer->item_count) ||
	    !xdr_uint32_t(xdr, &answer->plain_len))
		return FALSE;
	answer->complete = flags & 1U;
	answer->has_fresh = flags & 2U;
	answer->reachable = flags & 4U;
	answer->has_regained = flags & 8U;
	answer->marked = flags & 16U;
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
