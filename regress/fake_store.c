/*
 * Test double of the platform's store: items with revisions, leases and
 * watches, and faults that a test requests at /stand-in/fault.  It can be
 * unavailable and be restored from an older backup: /stand-in/copy makes the
 * backup, /stand-in/restore goes back to it.
 */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <sodium.h>

#include "clk.h"
#include "fk.h"
#include "hs_int.h"
#include "mag.h"

#define ITEMS_MAX   1024
#define CHANGES_MAX 65536
#define LEASES_MAX  1024
#define WATCHES_MAX 256
#define TICK_MS	    20
/*
 * A view has the ports of workers shifted by its number times this; one whose
 * address follows a "=" has them as they are.
 */
#define VIEW_SHIFT 10
#define VIEWS_MAX  4
#define KEY_MAX	   (3 * 200 + 1)

struct item {
	char *key;
	char *value; /* base64 */
	int64_t revision;
	int64_t created;
	int64_t lease;
	int64_t expires_us; /* for entries of workers, else MAG_NEVER */
};

struct change {
	int64_t revision;
	char *key;
};

struct lease {
	int64_t id;
	int64_t ttl_ms;
	int64_t expires_us;
};

struct watch {
	struct hs_conn *conn;
	char prefix[128];
	int64_t after;
	int64_t expires_us;
};

enum fault {
	FAULT_NONE,
	FAULT_BUSY,
	FAULT_RESET,
	FAULT_SILENT,
	FAULT_LOST,
	FAULT_ODD /* a blank in the name of a field of each answer */
};

/* How a router sees the store, by the address that it uses. */
struct view {
	int number;
	int shift; /* of the ports of workers */
};

/* What becomes of the page that follows a key. */
enum page_fault {
	PAGE_REFUSED,  /* status 400 */
	PAGE_REPEATED, /* the items before it again */
	PAGE_EMPTY,    /* no items, and more to follow */
	PAGE_BUSY,     /* status 503 */
};

static struct item items[ITEMS_MAX];
static int item_count;
static int page_items = ITEMS_MAX;     /* items on a page of a list */
static char page_fault_after[KEY_MAX]; /* "": on no page */
static enum page_fault page_fault;
static struct change changes[CHANGES_MAX];
static int change_count;
static int64_t dropped_revision; /* changes up to this revision are dropped */
static struct lease leases[LEASES_MAX];
static int lease_count;
static struct watch watches[WATCHES_MAX];
static int64_t revision = 1;
static struct hs *servers[VIEWS_MAX + 1];
static enum fault fault;
static int port_shift; /* of workers, in the view that is being answered */
/* A router whose messages port a view states wrongly, and that view's shift. */
static char lost_router[MAG_NAME_MAX];
static int lost_shift;

/* Contents of a backup; history continues from its revision. */
struct backup {
	struct item items[ITEMS_MAX];
	int item_count;
	struct lease leases[LEASES_MAX];
	int lease_count;
	int64_t revision;
};

static struct backup backup;
static int64_t era = 1;
static int64_t restore_us = MAG_NEVER; /* the store is unavailable until then */
static int64_t restore_extra_writes;   /* writes by others right after it */
static int64_t refuse_until_us;	       /* no writes of workers until then */
/* How long entries of workers live after a restore unless they are renewed. */
#define RESTORED_TTL_US (3 * MAG_US_PER_S)

/* Finds an item, or creates it if create is set. */
static struct item *find(const char *key, bool create)
{
	int i;

	for (i = 0; i < item_count; i++) {
		if (strcmp(items[i].key, key) == 0)
			return &items[i];
	}
	if (!create || item_count == ITEMS_MAX)
		return NULL;
	memset(&items[item_count], 0, sizeof(items[0]));
	items[item_count].key = strdup(key);
	return &items[item_count++];
}

static void record_change(const char *key)
{
	if (change_count == CHANGES_MAX)
		exit(1);
	changes[change_count].revision = revision;
	changes[change_count++].key = strdup(key);
}

static void put(const char *key, const char *value, int64_t lease,
		int64_t expires_us)
{
	struct item *item = find(key, true);
	bool same = item && item->value && strcmp(item->value, value) == 0;

	if (!item)
		return;
	item->expires_us = expires_us;
	if (same && item->lease == lease)
		return;
	revision++;
	if (!item->value)
		item->created = revision;
	free(item->value);
	item->value = strdup(value);
	item->revision = revision;
	item->lease = lease;
	record_change(key);
}

static void drop(struct item *item)
{
	if (!item || !item->value)
		return;
	revision++;
	free(item->value);
	item->value = NULL;
	record_change(item->key);
}

/*
 * Returns an entry's value with its worker's port shifted, so that routers
 * which read through a view of the store reach the workers through proxies of
 * theirs.
 */
static char *shift_port(const char *value, int shift)
{
	char bytes[4096];
	char base64[8192];
	char address[MAG_ADDR_MAX];
	const char *old;
	char *text;
	json_t *json;
	size_t len;
	int port;

	if (sodium_base642bin((unsigned char *)bytes, sizeof(bytes), value,
			      strlen(value), NULL, &len, NULL,
			      sodium_base64_VARIANT_ORIGINAL))
		return strdup(value);
	json = json_loadb(bytes, len, 0, NULL);
	old = json_string_value(json_object_get(json, "Address"));
	if (!old || sscanf(old, "127.0.0.1:%d", &port) != 1) {
		json_decref(json);
		return strdup(value);
	}
	snprintf(address, sizeof(address), "127.0.0.1:%d", port + shift);
	json_object_set_new(json, "Address", json_string(address));
	text = json_dumps(json, JSON_COMPACT);
	sodium_bin2base64(base64, sizeof(base64), (unsigned char *)text,
			  strlen(text), sodium_base64_VARIANT_ORIGINAL);
	free(text);
	json_decref(json);
	return strdup(base64);
}

/* Tells whether an entry is of the router that the present view loses. */
static bool is_lost(const char *key)
{
	const char *name = strrchr(key, '/');

	return lost_router[0] && port_shift == lost_shift && name &&
	       strncmp(key, "mag/instance/", 13) == 0 &&
	       strcmp(name + 1, lost_router) == 0;
}

/* Returns a router's entry with a port to which nothing is bound. */
static char *lose_port(const char *value)
{
	char bytes[256] = "";
	char base64[512];
	const char *rest;

	(void)sodium_base642bin((unsigned char *)bytes, sizeof(bytes) - 1,
				value, strlen(value), NULL, NULL, NULL,
				sodium_base64_VARIANT_ORIGINAL);
	rest = strchr(bytes, ' ');
	snprintf(bytes, sizeof(bytes), "127.0.0.1:1%s",
		 rest ? strdupa(rest) : "");
	sodium_bin2base64(base64, sizeof(base64), (unsigned char *)bytes,
			  strlen(bytes), sodium_base64_VARIANT_ORIGINAL);
	return strdup(base64);
}

/*
 * Lets a view state a wrong port for a router's messages, so that routers which
 * read through the view send it none.
 */
static void lose_router(const char *name, int view)
{
	int i;

	mag_copy_name(lost_router, sizeof(lost_router), name);
	lost_shift = view * VIEW_SHIFT;
	port_shift = lost_shift;
	for (i = 0; i < item_count; i++) {
		if (!items[i].value || !is_lost(items[i].key))
			continue;
		revision++;
		record_change(items[i].key);
	}
}

static json_t *item_json(const struct item *item)
{
	char *value;
	json_t *json;

	if (!item->value)
		return json_pack("{s:s,s:I,s:b}", "Key", item->key, "Revision",
				 (json_int_t)revision, "Deleted", 1);
	if (is_lost(item->key))
		value = lose_port(item->value);
	else if (port_shift && strncmp(item->key, "servers/", 8) == 0)
		value = shift_port(item->value, port_shift);
	else
		value = strdup(item->value);
	json = json_pack("{s:s,s:s,s:I,s:I,s:I}", "Key", item->key, "Value",
			 value, "Revision", (json_int_t)item->revision,
			 "CreateRev", (json_int_t)item->created, "Lease",
			 (json_int_t)item->lease);
	free(value);
	return json;
}

static void answer(struct hs_conn *conn, int status, json_t *json)
{
	char *text = json ? json_dumps(json, JSON_COMPACT) : NULL;
	char fields[128];

	snprintf(fields, sizeof(fields),
		 "Content-Type: application/json\r\nStore-Era: %" PRId64
		 "\r\n%s",
		 era, fault == FAULT_ODD ? "X Odd: 1\r\n" : "");
	hs_reply(conn, status, fields, text, text ? strlen(text) : 0);
	free(text);
	json_decref(json);
}

/* Answers a watch if it has events or has timed out; returns whether it did. */
static bool serve_watch(struct watch *watch, int64_t now)
{
	json_t *events;
	int i;

	port_shift = ((const struct view *)watch->conn->hs->ctx)->shift;
	if (watch->after < dropped_revision || watch->after > revision) {
		answer(watch->conn, 410, NULL);
		return true;
	}
	events = json_array();
	for (i = 0; i < change_count; i++) {
		if (changes[i].revision > watch->after &&
		    strncmp(changes[i].key, watch->prefix,
			    strlen(watch->prefix)) == 0)
			json_array_append_new(
				events, item_json(find(changes[i].key, false)));
	}
	if (json_array_size(events) == 0 && now < watch->expires_us) {
		json_decref(events);
		return false;
	}
	answer(watch->conn, 200,
	       json_pack("{s:o,s:I}", "events", events, "StoreRevision",
			 (json_int_t)revision));
	return true;
}

static void add_watch(struct hs_conn *conn, const char *prefix, int64_t after,
		      int64_t wait_ms)
{
	int64_t now = clk_boot_us();
	int i;

	for (i = 0; i < WATCHES_MAX && watches[i].conn; i++)
		;
	if (i == WATCHES_MAX) {
		answer(conn, 429, NULL);
		return;
	}
	watches[i].conn = conn;
	snprintf(watches[i].prefix, sizeof(watches[i].prefix), "%s", prefix);
	watches[i].after = after;
	watches[i].expires_us = now + wait_ms * MAG_US_PER_MS;
	hs_set_user(conn, &watches[i]);
	if (serve_watch(&watches[i], now))
		watches[i].conn = NULL;
}

static struct lease *find_lease(int64_t id)
{
	int i;

	for (i = 0; i < lease_count; i++) {
		if (leases[i].id == id && clk_boot_us() < leases[i].expires_us)
			return &leases[i];
	}
	return NULL;
}

static void swap(struct hs_conn *conn, const json_t *body)
{
	const json_t *expected = json_object_get(body, "Expected");
	const json_t *row;
	struct item *item;
	int64_t lease;
	size_t i;

	json_array_foreach (expected, i, row) {
		item = find(json_string_value(json_object_get(row, "Key")),
			    false);
		if ((item && item->value ? item->revision : 0) !=
		    json_integer_value(json_object_get(row, "Revision"))) {
			answer(conn, 412,
			       item && item->value
				       ? json_pack("{s:[o]}", "Items",
						   item_json(item))
				       : json_pack("{s:[]}", "Items"));
			return;
		}
	}
	json_array_foreach (json_object_get(body, "Puts"), i, row) {
		lease = json_integer_value(json_object_get(row, "Lease"));
		if (lease && !find_lease(lease)) {
			answer(conn, 404, NULL);
			return;
		}
		put(json_string_value(json_object_get(row, "Key")),
		    json_string_value(json_object_get(row, "Value")), lease,
		    MAG_NEVER);
	}
	json_array_foreach (json_object_get(body, "Remove"), i, row)
		drop(find(json_string_value(row), false));
	answer(conn, 200, json_pack("{s:I}", "Revision", (json_int_t)revision));
}

static void new_lease(struct hs_conn *conn, const json_t *body)
{
	struct lease *lease = &leases[lease_count];

	if (lease_count == LEASES_MAX)
		exit(1);
	lease->id = ++lease_count;
	lease->ttl_ms = json_integer_value(json_object_get(body, "TtlMs"));
	lease->expires_us = clk_boot_us() + lease->ttl_ms * MAG_US_PER_MS;
	answer(conn, 200,
	       json_pack("{s:I,s:I}", "Lease", (json_int_t)lease->id, "TtlMs",
			 (json_int_t)lease->ttl_ms));
}

static char *duplicate_text(const char *text)
{
	return text ? strdup(text) : NULL;
}

/* Copies all items; the previous contents of the target are not freed. */
static void duplicate_items(struct item *to, const struct item *from, int count)
{
	int i;

	for (i = 0; i < count; i++) {
		to[i] = from[i];
		to[i].key = duplicate_text(from[i].key);
		to[i].value = duplicate_text(from[i].value);
	}
}

static void make_backup(void)
{
	duplicate_items(backup.items, items, item_count);
	backup.item_count = item_count;
	memcpy(backup.leases, leases, sizeof(leases));
	backup.lease_count = lease_count;
	backup.revision = revision;
}

/* Restores the backup: everything written since, including leases, is lost. */
static void restore(int64_t now)
{
	int i;

	restore_us = MAG_NEVER;
	fault = FAULT_NONE;
	era++;
	duplicate_items(items, backup.items, backup.item_count);
	item_count = backup.item_count;
	memcpy(leases, backup.leases, sizeof(leases));
	lease_count = backup.lease_count;
	revision = backup.revision;
	while (change_count > 0 &&
	       changes[change_count - 1].revision > revision)
		change_count--;
	for (i = 0; i < lease_count; i++)
		leases[i].expires_us = now + leases[i].ttl_ms * MAG_US_PER_MS;
	for (i = 0; i < item_count; i++) {
		if (items[i].expires_us != MAG_NEVER)
			items[i].expires_us = now + RESTORED_TTL_US;
	}
	for (i = 0; i < WATCHES_MAX; i++) {
		if (!watches[i].conn)
			continue;
		hs_set_user(watches[i].conn, NULL);
		hs_abort(watches[i].conn);
		watches[i].conn = NULL;
	}
	/* Revisions that routers have already seen are assigned again. */
	for (i = 0; i < restore_extra_writes; i++)
		put(i % 2 ? "others/a" : "others/b",
		    i % 4 < 2 ? "MQ==" : "Mg==", 0, MAG_NEVER);
	printf("RESTORED era %" PRId64 " revision %" PRId64 " at %" PRId64 "\n",
	       era, revision, now);
	fflush(stdout);
}

/* Makes the store unavailable for a while, then restores it from the backup. */
static void restore_later(struct evkeyvalq *query)
{
	const char *away = evhttp_find_header(query, "AwayMs");
	const char *late = evhttp_find_header(query, "LateMs");
	const char *bump = evhttp_find_header(query, "Bump");

	fault = FAULT_SILENT;
	restore_us = clk_boot_us() + (away ? atoll(away) : 0) * MAG_US_PER_MS;
	restore_extra_writes = bump ? atoll(bump) : 0;
	refuse_until_us = restore_us + (late ? atoll(late) : 0) * MAG_US_PER_MS;
}

/* Open watches are never answered, but their connections stay open. */
static void silence_watches(void)
{
	int i;

	for (i = 0; i < WATCHES_MAX; i++) {
		if (watches[i].conn)
			hs_set_user(watches[i].conn, NULL);
		watches[i].conn = NULL;
	}
}

/* Sets how many items a page has, and what becomes of the one after a key. */
static void set_pages(int count, const char *after, const char *kind)
{
	static const char *const faults[] = { "refused", "repeated", "empty",
					      "busy" };
	size_t i;

	page_items = count;
	mag_copy_name(page_fault_after, sizeof(page_fault_after),
		      after ? after : "");
	for (i = 0; kind && i < MAG_ARRAY_SIZE(faults); i++) {
		if (strcmp(kind, faults[i]) == 0)
			page_fault = (enum page_fault)i;
	}
}

/*
 * Serves what tests request under /stand-in/, also in place of the operator and
 * the workers.
 */
static void serve_test_request(struct hs_conn *conn, const char *path,
			       struct evkeyvalq *query)
{
	static const char *const faults[] = { "none",	"busy", "reset",
					      "silent", "lost", "odd" };
	struct evbuffer *body = hs_body(conn);
	const char *kind = evhttp_find_header(query, "Kind");
	const char *key = evhttp_find_header(query, "Key");
	const char *ttl = evhttp_find_header(query, "Ttl");
	const char *view = evhttp_find_header(query, "View");
	const char *count = evhttp_find_header(query, "Items");
	size_t len = evbuffer_get_length(body);
	char *encoded;
	size_t size;
	size_t i;

	if (strstr(path, "/put") && ttl && clk_boot_us() < refuse_until_us) {
		answer(conn, 503, NULL);
		return;
	}
	if (strstr(path, "/copy")) {
		make_backup();
	} else if (strstr(path, "/restore")) {
		restore_later(query);
	} else if (strstr(path, "/put") && key) {
		size = sodium_base64_ENCODED_LEN(
			len, sodium_base64_VARIANT_ORIGINAL);
		encoded = malloc(size);
		sodium_bin2base64(encoded, size, evbuffer_pullup(body, -1), len,
				  sodium_base64_VARIANT_ORIGINAL);
		put(key, encoded, 0,
		    ttl ? clk_boot_us() + atoll(ttl) * MAG_US_PER_MS
			: MAG_NEVER);
		free(encoded);
	} else if (strstr(path, "/drop") && key) {
		drop(find(key, false));
	} else if (strstr(path, "/lose") && key && view) {
		lose_router(key, atoi(view));
	} else if (strstr(path, "/pages") && count) {
		set_pages(atoi(count), key, kind);
	} else if (strstr(path, "/forget")) {
		dropped_revision = revision;
	} else if (strstr(path, "/deafen")) {
		silence_watches();
	} else if (strstr(path, "/fault") && kind) {
		for (i = 0; i < MAG_ARRAY_SIZE(faults); i++) {
			if (strcmp(kind, faults[i]) == 0)
				fault = (enum fault)i;
		}
	}
	answer(conn, 200, NULL);
}

static int by_key(const void *a, const void *b)
{
	const struct item *x = a;
	const struct item *y = b;

	return strcmp(x->key, y->key);
}

/*
 * Fails a page in the way that a test has requested for it; returns whether it
 * did.
 */
static bool fail_page(struct hs_conn *conn, const char **after)
{
	if (!*after || !page_fault_after[0] ||
	    strcmp(*after, page_fault_after) != 0)
		return false;
	switch (page_fault) {
	case PAGE_REFUSED:
		printf("RANGE refused after %s\n", *after);
		fflush(stdout);
		answer(conn, 400, NULL);
		return true;
	case PAGE_BUSY:
		printf("BUSY %s\n", *after);
		fflush(stdout);
		answer(conn, 503, NULL);
		return true;
	case PAGE_EMPTY:
		answer(conn, 200,
		       json_pack("{s:[],s:b,s:I}", "Items", "HasMore", 1,
				 "StoreRevision", (json_int_t)revision));
		return true;
	case PAGE_REPEATED:
		*after = NULL;
	}
	return false;
}

static void range(struct hs_conn *conn, const char *prefix, const char *after)
{
	static struct item found[ITEMS_MAX];
	json_t *list;
	int count = 0;
	int i;

	if (fail_page(conn, &after))
		return;
	for (i = 0; i < item_count; i++) {
		if (items[i].value &&
		    strncmp(items[i].key, prefix, strlen(prefix)) == 0 &&
		    (!after || strcmp(items[i].key, after) > 0))
			found[count++] = items[i];
	}
	qsort(found, (size_t)count, sizeof(found[0]), by_key);
	list = json_array();
	for (i = 0; i < count && i < page_items; i++)
		json_array_append_new(list, item_json(&found[i]));
	printf("RANGE %s after %s: %d of %d\n", prefix, after ? after : "", i,
	       count);
	fflush(stdout);
	answer(conn, 200,
	       json_pack("{s:o,s:b,s:I}", "Items", list, "HasMore", i < count,
			 "StoreRevision", (json_int_t)revision));
}

static void serve(struct hs_conn *conn, const char *path,
		  struct evkeyvalq *query, const struct view *view)
{
	const char *prefix = evhttp_find_header(query, "PathPrefix");
	const char *after = evhttp_find_header(query, "After");
	const char *wait = evhttp_find_header(query, "WaitMs");
	struct evbuffer *body = hs_body(conn);
	size_t len = evbuffer_get_length(body);
	json_t *json =
		json_loadb((char *)evbuffer_pullup(body, -1), len, 0, NULL);
	struct lease *lease;

	if (strcmp(path, "/api/kv-range") == 0) {
		range(conn, prefix ? prefix : "", after);
	} else if (strcmp(path, "/api/kv-watch") == 0) {
		printf("WATCH %s view %d\n", wait ? wait : "0", view->number);
		fflush(stdout);
		add_watch(conn, prefix ? prefix : "", after ? atoll(after) : 0,
			  wait ? atoll(wait) : 0);
	} else if (strcmp(path, "/api/kv-txn") == 0) {
		swap(conn, json);
	} else if (strcmp(path, "/api/kv-lease") == 0) {
		new_lease(conn, json);
	} else if (strncmp(path, "/api/kv-keep/", 13) == 0) {
		lease = find_lease(atoll(path + 13));
		if (lease)
			lease->expires_us =
				clk_boot_us() + lease->ttl_ms * MAG_US_PER_MS;
		answer(conn, lease ? 200 : 404,
		       lease ? json_pack("{s:I}", "TtlMs",
					 (json_int_t)lease->ttl_ms)
			     : NULL);
	} else if (strncmp(path, "/api/kv-lease-end/", 18) == 0) {
		lease = find_lease(atoll(path + 18));
		if (lease)
			lease->expires_us = 0;
		answer(conn, lease ? 200 : 404, NULL);
	} else {
		answer(conn, 404, NULL);
	}
	json_decref(json);
}

static void on_request(void *ctx, struct hs_conn *conn)
{
	struct evhttp_uri *uri = evhttp_uri_parse(hs_target(conn));
	struct evkeyvalq query = { 0 };
	const struct view *view = ctx;
	const char *path;

	if (!uri) {
		answer(conn, 400, NULL);
		return;
	}
	path = evhttp_uri_get_path(uri);
	port_shift = view->shift;
	if (evhttp_uri_get_query(uri))
		evhttp_parse_query_str(evhttp_uri_get_query(uri), &query);
	if (strncmp(path, "/stand-in/", 10) == 0)
		serve_test_request(conn, path, &query);
	else if (fault == FAULT_BUSY)
		answer(conn, 503, NULL);
	else if (fault == FAULT_RESET)
		hs_abort(conn);
	else if (fault != FAULT_SILENT)
		serve(conn, path, &query, view);
	evhttp_clear_headers(&query);
	evhttp_uri_free(uri);
}

static void on_gone(void *ctx, struct hs_conn *conn, void *user)
{
	struct watch *watch = user;

	(void)ctx;
	(void)conn;
	if (watch)
		watch->conn = NULL;
}

/* Expires leases and entries, and serves watches. */
static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	int64_t now = clk_boot_us();
	int i;

	(void)fd;
	(void)what;
	for (i = 0; i <= VIEWS_MAX && servers[i]; i++)
		hs_tick(servers[i], now);
	(void)arg;
	if (now >= restore_us)
		restore(now);
	for (i = 0; i < item_count; i++) {
		if (!items[i].value)
			continue;
		if (now > items[i].expires_us ||
		    (items[i].lease && !find_lease(items[i].lease)))
			drop(&items[i]);
	}
	for (i = 0; i < WATCHES_MAX; i++) {
		if (watches[i].conn &&
		    (fault == FAULT_NONE || fault == FAULT_ODD) &&
		    serve_watch(&watches[i], now))
			watches[i].conn = NULL;
	}
}

int main(int argc, char **argv)
{
	static const struct hs_ops ops = { on_request, on_gone };
	struct timeval every = { 0, TICK_MS * 1000 };
	static struct view views[VIEWS_MAX + 1];
	struct event_base *base = event_base_new();
	int same;
	int i;

	if (argc < 2 || argc > VIEWS_MAX + 2 || sodium_init() < 0) {
		fprintf(stderr, "usage: fake_store IP:PORT [[=]VIEW]...\n");
		return 1;
	}
	for (i = 0; i < argc - 1; i++) {
		same = argv[i + 1][0] == '=';
		views[i] = (struct view){ i, same ? 0 : i * VIEW_SHIFT };
		if (hs_serve(base, fk_listen(argv[i + 1] + same), &ops,
			     &views[i], &servers[i]))
			return 1;
	}
	event_add(event_new(base, -1, EV_PERSIST, on_tick, NULL), &every);
	event_base_dispatch(base);
	return 0;
}
