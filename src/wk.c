#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jlog.h"
#include "wk.h"

/*
 * For this long after the store was restored from an older backup, listed
 * entries of workers that were gone before are ignored, because these entries
 * have not expired yet.
 */
#define WK_IGNORE_GONE_US (10 * MAG_US_PER_S)
static void wk_observe(void *ctx, bool reached);
static int wk_add(struct wk_table *table, const struct wire_worker *worker,
		  int64_t now, struct wk **out);
static bool wk_needs_ticks(const struct wk *wk);
static void wk_begin_process(struct wk *wk);
static void wk_update(struct wk *wk, const struct wire_worker *worker,
		      int64_t now);
static void wk_update_from_backup(struct wk *wk,
				  const struct wire_worker *worker,
				  int64_t now);
static bool wk_is_known_gone(const struct wk_table *table,
			     const struct wire_worker *worker, int64_t now);
static void wk_remember_gone(struct wk_table *table, const struct wk *wk,
			     int64_t now);
static void wk_save_adv(struct wk_table *table, const struct wk *wk);
static void wk_restore_adv(const struct wk_table *table, struct wk *wk);
static void wk_resolve_address(struct wk_table *table, struct wk *wk);
static void wk_free(struct wk_table *table, struct wk *wk);

void wk_init(struct wk_table *table, struct hc *hc)
{
	memset(table, 0, sizeof(*table));
	CDS_INIT_LIST_HEAD(&table->workers);
	CDS_INIT_LIST_HEAD(&table->attended);
	CDS_INIT_LIST_HEAD(&table->loaded);
	table->hc = hc;
	table->max_connections = 64;
}

/* Begins a complete listing; wk_list_end removes the workers that it lacks. */
void wk_list_begin(struct wk_table *table)
{
	struct wk *wk;

	table->listing = true;
	cds_list_for_each_entry (wk, &table->workers, node)
		wk->in_listing = false;
}

/* Adds or updates a worker from an entry of the list. */
int wk_list_put(struct wk_table *table, const struct wire_worker *worker,
		int64_t now, struct wk **out)
{
	struct wk *wk = wk_by_id(table, worker->id);
	char centre[MAG_NAME_MAX];
	int rc;

	if (table->listing && wk_is_known_gone(table, worker, now))
		return WK_E_STALE;
	if (wk && strcmp(wk->entry.address, worker->address) != 0) {
		/* The same name at another address is another process. */
		wk_remove(table, wk->entry.id, now, now);
		htab_del(&table->ids, &wk->by_id);
		wk->entry.id[0] = '\0';
		htab_add(&table->ids, &wk->by_id, htab_hash(wk->entry.id));
		wk = NULL;
	}
	if (!wk) {
		rc = wk_add(table, worker, now, &wk);
		if (rc)
			return rc;
		jlog(LOG_WK_SEEN,
		     "\"worker\":\"%s\",\"address\":\"%s\","
		     "\"data_centre\":\"%s\",\"layers\":\"%d-%d\"",
		     wk->label, wk->entry.address,
		     jlog_sanitize(centre, sizeof(centre),
				   wk->entry.data_centre),
		     wk->layers.from, wk->layers.to);
	}
	if (table->listing && table->settling)
		wk_update_from_backup(wk, worker, now);
	else
		wk_update(wk, worker, now);
	wk_resolve_address(table, wk);
	if (out)
		*out = wk;
	return WK_OK;
}

/* Notes whether the worker of a host can be reached. */
static void wk_observe(void *ctx, bool reached)
{
	struct wk *wk = ctx;

	if (reached)
		reach_on_answer(&wk->table->reach);
	else
		wk_on_unreached(wk);
}

/* Adds a worker that is not listed yet. */
static int wk_add(struct wk_table *table, const struct wire_worker *worker,
		  int64_t now, struct wk **out)
{
	struct wk *wk = calloc(1, sizeof(*wk));

	if (!wk)
		return WK_E_MEMORY;
	if (hc_host_new(table->hc, worker->address, table->max_connections,
			&wk->host)) {
		free(wk);
		return WK_E_ADDRESS;
	}
	wk->entry = *worker;
	hc_host_observe(wk->host, wk_observe, wk);
	if (wk_link(table, wk)) {
		hc_host_free(wk->host);
		free(wk);
		return WK_E_MEMORY;
	}
	wk->first_seen_us = now;
	wk_begin_process(wk);
	wk->layers = worker->layers;
	wk_restore_adv(table, wk);
	if (wk->proc.adv.thr.limited)
		wk_attend(wk);
	table->last_added_us = now;
	*out = wk;
	return WK_OK;
}

/* Puts a worker, whose entry is set, into a table. */
int wk_link(struct wk_table *table, struct wk *wk)
{
	if (htab_add(&table->ids, &wk->by_id, htab_hash(wk->entry.id)))
		return WK_E_MEMORY;
	if (htab_add(&table->addresses, &wk->by_address,
		     htab_hash(wk->entry.address))) {
		htab_del(&table->ids, &wk->by_id);
		return WK_E_MEMORY;
	}
	mag_identify(wk->label, wk->entry.id);
	jlog_sanitize(wk->label, sizeof(wk->label), wk->label);
	wk->table = table;
	CDS_INIT_LIST_HEAD(&wk->attended);
	CDS_INIT_LIST_HEAD(&wk->loaded);
	CDS_INIT_LIST_HEAD(&wk->interrupted);
	cds_list_add_tail(&wk->node, &table->workers);
	table->count++;
	return WK_OK;
}

/*
 * Ends a listing: workers that it lacks are considered gone from gone_us on.
 * None is removed while the store settles after a restore, because an older
 * backup lacks the entries that were written since.
 */
void wk_list_end(struct wk_table *table, int64_t gone_us, int64_t now)
{
	struct wk *wk;

	table->listing = false;
	if (table->settling)
		return;
	cds_list_for_each_entry (wk, &table->workers, node) {
		if (!wk->in_listing && wk->listed)
			wk_remove(table, wk->entry.id, gone_us, now);
	}
}

/* A listing could not be finished: no worker counts as gone for it. */
void wk_list_unfinished(struct wk_table *table)
{
	table->listing = false;
}

/* Notes that the store was restored from an older backup. */
void wk_store_restored(struct wk_table *table, int64_t now)
{
	table->settling = true;
	table->restored_us = now;
}

/*
 * Notes that all workers have written their entries again after a restore: from
 * now on, listings are authoritative.
 */
void wk_store_settled(struct wk_table *table)
{
	table->settling = false;
}

/* Returns how many listed workers were missing from the last listing. */
int wk_count_missing(const struct wk_table *table)
{
	const struct wk *wk;
	int missing = 0;

	cds_list_for_each_entry (wk, &table->workers, node)
		missing += wk->listed && !wk->in_listing;
	return missing;
}

/* Removes an entry: the worker is considered gone from gone_us on. */
void wk_remove(struct wk_table *table, const char *id, int64_t gone_us,
	       int64_t now)
{
	struct wk *wk = wk_by_id(table, id);

	if (!wk || !wk->listed)
		return;
	wk->listed = false;
	wk->gone_us = gone_us;
	wk_attend(wk);
	wk_remember_gone(table, wk, now);
	jlog(LOG_WK_GONE, "\"worker\":\"%s\",\"in_ms\":%d", wk->label,
	     (int)((gone_us - now) / MAG_US_PER_MS));
}

/* Expires rate limits, and frees workers that are gone and not referenced. */
void wk_tick(struct wk_table *table, int64_t now)
{
	struct wk *wk;
	struct wk *next;

	cds_list_for_each_entry_safe (wk, next, &table->attended, attended) {
		wk_expire_limit(wk, now);
		if (!wk->listed && wk->refs == 0 && now >= wk->gone_us)
			wk_free(table, wk);
		else if (!wk_needs_ticks(wk))
			cds_list_del_init(&wk->attended);
	}
}

/* Puts a worker among those that ticks look at. */
void wk_attend(struct wk *wk)
{
	if (cds_list_empty(&wk->attended))
		cds_list_add_tail(&wk->attended, &wk->table->attended);
}

/* Puts a worker among those whose load is summed and reported. */
void wk_add_loaded(struct wk *wk)
{
	if (cds_list_empty(&wk->loaded))
		cds_list_add_tail(&wk->loaded, &wk->table->loaded);
}

/* Returns whether something of a worker is to expire or to be probed. */
static bool wk_needs_ticks(const struct wk *wk)
{
	return !wk->listed || wk->probing || wk->proc.suspected ||
	       wk->proc.to_announce || wk->announce_rounds > 0 ||
	       wk->interrupted_count > 0 || wk->proc.slowdown > 1 ||
	       wk->proc.adv.thr.limited;
}

struct wk *wk_by_id(const struct wk_table *table, const char *id)
{
	struct wk *wk = wk_by_hash(table, htab_hash(id));

	while (wk && strcmp(wk->entry.id, id) != 0)
		wk = wk_next_by_hash(wk);
	return wk;
}

/*
 * Returns a hash of a worker's process: of its id and its start.  It is the
 * same on all routers.
 */
uint32_t wk_process_hash(const struct wk *wk)
{
	char text[WIRE_KEY_MAX + 24];

	snprintf(text, sizeof(text), "%s %lld", wk->entry.id,
		 (long long)wk->entry.started_ms);
	return htab_hash(text);
}

/* Returns a worker whose id has a hash, or NULL. */
struct wk *wk_by_hash(const struct wk_table *table, uint32_t hash)
{
	struct htab_node *node = htab_first(&table->ids, hash);

	return node ? cds_list_entry(node, struct wk, by_id) : NULL;
}

/* Returns another worker with the same hash, or NULL. */
struct wk *wk_next_by_hash(const struct wk *wk)
{
	struct htab_node *node = htab_next(&wk->by_id);

	return node ? cds_list_entry(node, struct wk, by_id) : NULL;
}

/*
 * Returns the listed worker at an address, else any other one that had it;
 * addresses are reused.
 */
struct wk *wk_by_address(const struct wk_table *table, const char *address)
{
	struct htab_node *node =
		htab_first(&table->addresses, htab_hash(address));
	struct wk *found = NULL;
	struct wk *wk;

	for (; node; node = htab_next(node)) {
		wk = cds_list_entry(node, struct wk, by_address);
		if (strcmp(wk->entry.address, address) != 0)
			continue;
		if (!found || (wk->listed && !wk->replaced))
			found = wk;
	}
	return found;
}

/* Tells whether a worker is neither gone nor draining nor replaced. */
bool wk_alive(const struct wk *wk, int64_t now)
{
	if (wk->entry.draining || wk->proc.adv.leaving || wk->replaced)
		return false;
	return wk->listed || now < wk->gone_us;
}

/*
 * Tells whether what a worker holds, if anything, are layers of a model with so
 * many.  The range is what the worker or another writer says.
 */
bool wk_holds_of(const struct wk *wk, int layers)
{
	return wk->layers.from >= 0 && wk->layers.from <= wk->layers.to &&
	       wk->layers.to <= layers;
}

/*
 * Tells whether a process that answers at a worker's address, and started at a
 * time, is another one than its entry names; 0: it does not say.
 */
bool wk_is_other_process(const struct wk *wk, int64_t started_ms)
{
	return started_ms && wk->entry.started_ms &&
	       started_ms != wk->entry.started_ms;
}

struct wk *wk_ref(struct wk *wk)
{
	wk->refs++;
	return wk;
}

void wk_unref(struct wk *wk)
{
	wk->refs--;
}

/*
 * Updates a worker from an entry of a store that was restored from an older
 * backup.  Of a known worker such an entry proves only that it exists and, if
 * it says so, that it drains; the rest may be out of date.
 */
static void wk_update_from_backup(struct wk *wk,
				  const struct wire_worker *worker, int64_t now)
{
	struct wire_worker known = wk->entry;

	if (worker->started_ms > known.started_ms) {
		wk_update(wk, worker, now);
		return;
	}
	if (worker->started_ms == known.started_ms)
		known.draining |= worker->draining;
	wk_update(wk, &known, now);
}

/* Tells whether an entry names a worker that was already known to be gone. */
static bool wk_is_known_gone(const struct wk_table *table,
			     const struct wire_worker *worker, int64_t now)
{
	const struct wk_gone *gone;
	int i;

	if (!table->restored_us || now - table->restored_us > WK_IGNORE_GONE_US)
		return false;
	for (i = 0; i < WK_GONE_MAX; i++) {
		gone = &table->gone[i];
		if (gone->gone_us && gone->gone_us <= table->restored_us &&
		    worker->started_ms <= gone->born_ms &&
		    strcmp(gone->id, worker->id) == 0)
			return true;
	}
	return false;
}

static void wk_remember_gone(struct wk_table *table, const struct wk *wk,
			     int64_t now)
{
	struct wk_gone *gone = &table->gone[table->gone_next];

	table->gone_next = (table->gone_next + 1) % WK_GONE_MAX;
	mag_copy_name(gone->id, sizeof(gone->id), wk->entry.id);
	gone->born_ms = wk->entry.started_ms;
	gone->gone_us = now;
	gone->adv = wk->proc.adv;
}

/*
 * Keeps what a worker advertised beyond the removal of its entry: the entry may
 * have expired only because the store was unreachable.
 */
static void wk_save_adv(struct wk_table *table, const struct wk *wk)
{
	int i;

	for (i = 0; i < WK_GONE_MAX; i++) {
		if (table->gone[i].born_ms == wk->entry.started_ms &&
		    strcmp(table->gone[i].id, wk->entry.id) == 0)
			table->gone[i].adv = wk->proc.adv;
	}
}

/* Restores what the same process advertised before its entry was removed. */
static void wk_restore_adv(const struct wk_table *table, struct wk *wk)
{
	int i;

	for (i = 0; i < WK_GONE_MAX; i++) {
		if (table->gone[i].born_ms == wk->entry.started_ms &&
		    strcmp(table->gone[i].id, wk->entry.id) == 0)
			wk->proc.adv = table->gone[i].adv;
	}
}

/* Clears what was known of a worker's process: a new one has begun. */
static void wk_begin_process(struct wk *wk)
{
	memset(&wk->proc, 0, sizeof(wk->proc));
	wk->proc.leaving_us = MAG_NEVER;
	wk->proc.orders_taken = -1;
	wk->proc.slowdown = 1;
}

static void wk_update(struct wk *wk, const struct wire_worker *worker,
		      int64_t now)
{
	int64_t known_ms = wk->entry.started_ms;
	bool restarted = worker->started_ms && known_ms &&
			 worker->started_ms != known_ms;
	bool leaving = wk->entry.draining && !restarted;
	bool layers_changed = worker->layers.from != wk->entry.layers.from ||
			      worker->layers.to != wk->entry.layers.to;

	wk->in_listing = true;
	wk->listed = true;
	wk->gone_us = MAG_NEVER;
	if (worker->draining && wk->proc.leaving_us == MAG_NEVER) {
		wk->proc.leaving_us = now;
		jlog(LOG_WK_LEAVING, "\"worker\":\"%s\",\"source\":\"list\"",
		     worker->id);
	}
	if (restarted) {
		jlog(LOG_WK_RESTARTED, "\"worker\":\"%s\",\"born_ms\":%lld",
		     worker->id, (long long)worker->started_ms);
		wk_begin_process(wk);
		if (worker->draining)
			wk->proc.leaving_us = now;
		wk->restarted_us = now;
		hc_host_drop_idle(wk->host);
	}
	if (restarted || layers_changed) {
		wk->layers = worker->layers;
		wk->layers_changed_us = now;
	}
	if (wk->proc.ordered && wk->layers.from == wk->proc.order.from &&
	    wk->layers.to == wk->proc.order.to)
		wk->proc.ordered = false;
	wk->entry = *worker;
	if (!wk->entry.started_ms)
		wk->entry.started_ms = known_ms;
	/* A process that has begun to drain does not return to service. */
	wk->entry.draining |= leaving;
}

/*
 * Of two workers that are listed at one address, the one that started later
 * owns it.  A worker that crashed is restarted under a new name before its old
 * entry expires.  Requests that are routed by the old entry's layers reach the
 * new worker, which holds none, and are refused.  Entries of different services
 * are not compared, so that an entry that another writer adds for an unknown
 * service takes no worker out of use.
 */
static void wk_resolve_address(struct wk_table *table, struct wk *wk)
{
	struct htab_node *node =
		htab_first(&table->addresses, wk->by_address.hash);
	struct wk *other;

	wk->replaced = false;
	for (; node; node = htab_next(node)) {
		other = cds_list_entry(node, struct wk, by_address);
		if (other == wk || !other->listed ||
		    strcmp(other->entry.address, wk->entry.address) != 0 ||
		    strcmp(other->entry.service, wk->entry.service) != 0 ||
		    !other->entry.started_ms || !wk->entry.started_ms)
			continue;
		if (other->entry.started_ms < wk->entry.started_ms)
			other->replaced = true;
		else if (other->entry.started_ms > wk->entry.started_ms)
			wk->replaced = true;
	}
}

static void wk_free(struct wk_table *table, struct wk *wk)
{
	wk_save_adv(table, wk);
	wk_clear_interrupted(wk);
	cds_list_del(&wk->node);
	cds_list_del(&wk->attended);
	cds_list_del(&wk->loaded);
	htab_del(&table->ids, &wk->by_id);
	htab_del(&table->addresses, &wk->by_address);
	table->count--;
	hc_host_free(wk->host);
	free(wk);
}
