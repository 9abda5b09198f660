#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clk.h"
#include "pl_store.h"
#include "rel_int.h"

/*
 * Routers that start together have registered by then; each reads the list at a
 * time of its own within the spread.
 */
#define REL_JOIN_FIRST_US  (1000 * MAG_US_PER_MS)
#define REL_JOIN_SPREAD_US (400 * MAG_US_PER_MS)
#define REL_JOIN_RETRY_US  (300 * MAG_US_PER_MS)
/*
 * Reads of a list that may be out of date; after them the router follows the
 * store, which shows the rest.
 */
#define REL_JOINS_MAX 4

/* A read of the routers under a prefix, page by page. */
struct rel_read {
	struct rel *rel;
	char prefix[WIRE_KEY_MAX];
	char after[WIRE_KEY_MAX];
	bool whole;    /* the routers of all data centres */
	bool own_seen; /* this router is among them */
};

static void rel_read_start(struct rel *rel, bool whole);
static void rel_read_page(struct rel_read *read);
static void rel_on_page(void *user, enum sto_result result, const char *body,
			size_t len);
static bool rel_is_own_key(const struct rel *rel, const char *key);
static void rel_read_end(struct rel_read *read, bool good);
static void rel_joined(struct rel *rel);

/*
 * Reads the routers of this data centre from the store, and those of the others
 * if this router is the head or the fleet may be small.
 */
void rel_join_tick(struct rel *rel, int64_t now)
{
	uint64_t spread_us = REL_JOIN_SPREAD_US;

	if (rel->read)
		return;
	if (!rel->join_us) {
		rel->join_us = now;
		if (rel->edge->set.first_start)
			rel->join_us +=
				REL_JOIN_FIRST_US +
				(int64_t)(edge_random(rel->edge) % spread_us);
	}
	if (now >= rel->join_us)
		rel_read_start(rel, false);
}

static void rel_read_start(struct rel *rel, bool whole)
{
	struct rel_read *read = calloc(1, sizeof(*read));

	if (!read) {
		rel_joined(rel);
		return;
	}
	read->rel = rel;
	read->whole = whole;
	snprintf(read->prefix, sizeof(read->prefix),
		 PRES_INSTANCE_PREFIX "%s%s",
		 whole ? "" : rel->edge->set.data_centre, whole ? "" : "/");
	rel->read = read;
	rel_read_page(read);
}

static void rel_read_page(struct rel_read *read)
{
	sto_read_stale(read->rel->edge->sto, read->prefix, read->after,
		       rel_on_page, read);
}

static void rel_on_page(void *user, enum sto_result result, const char *body,
			size_t len)
{
	struct rel_read *read = user;
	struct rel *rel = read->rel;
	struct wire_items items;
	enum sto_page next;
	int i;

	if (result != STO_DONE || pl_store_items(body, len, &items)) {
		rel_read_end(read, false);
		return;
	}
	for (i = 0; i < items.count; i++) {
		pres_item(rel->edge->pres, &items.items[i]);
		read->own_seen |= rel_is_own_key(rel, items.items[i].key);
	}
	next = sto_next_page(&items, read->after);
	pl_store_items_free(&items);
	if (next == STO_PAGE_MORE)
		rel_read_page(read);
	else
		rel_read_end(read, next == STO_PAGE_LAST);
}

static bool rel_is_own_key(const struct rel *rel, const char *key)
{
	const char *slash = strrchr(key, '/');

	return slash && strcmp(slash + 1, rel->edge->set.instance) == 0;
}

/*
 * A list that lacks this router itself was made before it registered, and
 * others that started with it may be missing, too.
 */
static void rel_read_end(struct rel_read *read, bool good)
{
	struct rel *rel = read->rel;
	bool whole = read->whole;
	bool outdated = rel->edge->set.first_start && !read->own_seen;

	rel->read = NULL;
	free(read);
	rel->joins++;
	/* A router that the store rejects can learn all of it from another. */
	if ((!good || outdated) && rel->joins < REL_JOINS_MAX &&
	    !(!good && rel->tree.heard_us)) {
		rel->join_us = clk_boot_us() + REL_JOIN_RETRY_US;
		return;
	}
	if (good)
		pres_read_own(rel->edge->pres);
	rel_update(rel);
	if (good && !whole && (rel->tree.rank == 0 || rel->tree.direct))
		rel_read_start(rel, true);
	else
		rel_joined(rel);
}

/* The router begins to follow its parent, or the store. */
static void rel_joined(struct rel *rel)
{
	rel->joined = true;
	rel->joined_us = clk_boot_us();
}
