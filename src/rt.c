#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "rt.h"

/* An allocation with the splits first, then the texts. */
struct rt_route_data {
	int refs;
	struct rt_split splits[];
};

static void rt_drop_routes(struct rt_set *set);
static int rt_by_prefix(const void *a, const void *b);
static int rt_by_key(const void *a, const void *b);
static void rt_sort_routes(struct rt_set *set);
static bool rt_same_host(const char *pattern, const char *host);
static void rt_list_urgencies(struct rt_set *set);
static void rt_add_urgencies(struct rt_set *set, const struct rt_route *route,
			     const struct urg_set *priorities);

/* Allocates a set for the given numbers of objects; NULL if out of memory. */
struct rt_set *rt_new(int routes, int services, int accounts, int keys)
{
	struct rt_set *set = calloc(1, sizeof(*set));

	if (!set)
		return NULL;
	set->refs = 1;
	set->routes = calloc((size_t)routes + 1, sizeof(*set->routes));
	set->services = calloc((size_t)services + 1, sizeof(*set->services));
	set->accounts = calloc((size_t)accounts + 1, sizeof(*set->accounts));
	set->keys = calloc((size_t)keys + 1, sizeof(*set->keys));
	if (!set->routes || !set->services || !set->accounts || !set->keys) {
		rt_drop(set);
		return NULL;
	}
	return set;
}

struct rt_set *rt_hold(struct rt_set *set)
{
	set->refs++;
	return set;
}

/* Drops a reference; the last one frees the set.  NULL is allowed. */
void rt_drop(struct rt_set *set)
{
	int i;

	if (!set || --set->refs > 0)
		return;
	if (set->routes)
		rt_drop_routes(set);
	for (i = 0; set->services && i < set->service_count; i++) {
		free(set->services[i].health_path);
		free(set->services[i].engine.accelerators);
	}
	for (i = 0; set->accounts && i < set->account_count; i++)
		free(set->accounts[i].name);
	for (i = 0; set->keys && i < set->key_count; i++)
		free(set->keys[i].key);
	free(set->routes);
	free(set->services);
	free(set->accounts);
	free(set->keys);
	free(set);
}

static void rt_drop_routes(struct rt_set *set)
{
	int i;

	for (i = 0; i < set->route_count; i++)
		rt_route_drop(&set->routes[i]);
	set->route_count = 0;
}

/*
 * Copies what a route matches and the services that it leads to; to be called
 * once.  Returns RT_E_MEMORY without memory.
 */
int rt_route_set_data(struct rt_route *route, const char *host,
		      const char *prefix, const struct rt_split *splits,
		      int split_count)
{
	size_t splits_size = (size_t)split_count * sizeof(*splits);
	size_t host_size = strlen(host) + 1;
	size_t prefix_size = strlen(prefix) + 1;
	struct rt_route_data *data =
		malloc(sizeof(*data) + splits_size + host_size + prefix_size);
	char *texts;

	if (!data)
		return RT_E_MEMORY;
	data->refs = 1;
	texts = (char *)data->splits + splits_size;
	if (split_count)
		memcpy(data->splits, splits, splits_size);
	memcpy(texts, host, host_size);
	memcpy(texts + host_size, prefix, prefix_size);
	route->data = data;
	route->splits = data->splits;
	route->split_count = split_count;
	route->host = texts;
	route->prefix = texts + host_size;
	route->prefix_len = prefix_size - 1;
	return RT_OK;
}

/* Takes a reference to the data of a route that was copied. */
void rt_route_hold(struct rt_route *route)
{
	route->data->refs++;
}

/* Drops the data of a route, if it has any. */
void rt_route_drop(struct rt_route *route)
{
	if (route->data && --route->data->refs == 0)
		free(route->data);
	route->data = NULL;
}

/* Tells whether requests for an engine can be placed. */
bool rt_engine_is_supported(const struct rt_engine *engine)
{
	return engine->layers <= MAG_LAYERS_MAX;
}

/*
 * Sorts the tables for look-ups and lists the urgencies of each service; to be
 * called once all tables are filled.
 */
void rt_index_tables(struct rt_set *set)
{
	rt_sort_routes(set);
	qsort(set->keys, (size_t)set->key_count, sizeof(*set->keys), rt_by_key);
	rt_list_urgencies(set);
}

/* Merged routes are sorted already. */
static void rt_sort_routes(struct rt_set *set)
{
	int i;

	for (i = 1; i < set->route_count; i++) {
		if (rt_by_prefix(&set->routes[i - 1], &set->routes[i]) > 0)
			break;
	}
	if (i < set->route_count)
		qsort(set->routes, (size_t)set->route_count,
		      sizeof(*set->routes), rt_by_prefix);
}

/* Allocates room for so many changes; RT_E_MEMORY if there is none. */
int rt_changes_init(struct rt_changes *changes, int max)
{
	memset(changes, 0, sizeof(*changes));
	changes->gone = calloc((size_t)max + 1, sizeof(*changes->gone));
	changes->routes = calloc((size_t)max + 1, sizeof(*changes->routes));
	return changes->gone && changes->routes ? RT_OK : RT_E_MEMORY;
}

void rt_changes_free(struct rt_changes *changes)
{
	int i;

	for (i = 0; i < changes->route_count; i++)
		rt_route_drop(&changes->routes[i]);
	free(changes->gone);
	free(changes->routes);
}

/* Tells whether two sets number the same services in the same way. */
bool rt_has_same_services(const struct rt_set *a, const struct rt_set *b)
{
	int i;

	if (a->service_count != b->service_count)
		return false;
	for (i = 0; i < a->service_count; i++) {
		if (strcmp(a->services[i].name, b->services[i].name) != 0)
			return false;
	}
	return true;
}

/*
 * Fills in the routes of a set and indexes it: those that come, and those of
 * another set that stay.  Returns RT_E_BAD unless there are count.
 */
int rt_merge_routes(struct rt_set *set, const struct rt_set *base,
		    struct rt_changes *changes, int count)
{
	const struct rt_route *from = base ? base->routes : NULL;
	const struct rt_route *end = from + (base ? base->route_count : 0);
	const struct rt_route *changed = changes->routes;
	const struct rt_route *changed_end = changed + changes->route_count;

	qsort(changes->gone, (size_t)changes->gone_count,
	      sizeof(*changes->gone), rt_by_part);
	qsort(changes->routes, (size_t)changes->route_count,
	      sizeof(*changes->routes), rt_by_prefix);
	rt_drop_routes(set);
	while (from < end || changed < changed_end) {
		if (from < end && bsearch(&from->part, changes->gone,
					  (size_t)changes->gone_count,
					  sizeof(*changes->gone), rt_by_part)) {
			from++;
			continue;
		}
		if (set->route_count == count)
			return RT_E_BAD;
		if (from < end && (changed == changed_end ||
				   rt_by_prefix(from, changed) <= 0))
			set->routes[set->route_count] = *from++;
		else
			set->routes[set->route_count] = *changed++;
		rt_route_hold(&set->routes[set->route_count++]);
	}
	if (set->route_count != count)
		return RT_E_BAD;
	rt_index_tables(set);
	return RT_OK;
}

/* Lists the distinct urgencies of the requests of each service. */
static void rt_list_urgencies(struct rt_set *set)
{
	struct urg_set priorities = { 0 };
	int i;

	for (i = 0; i < set->account_count; i++)
		urg_set_add(&priorities, set->accounts[i].priority);
	for (i = 0; i < set->route_count; i++)
		rt_add_urgencies(set, &set->routes[i], &priorities);
}

/* Adds the urgencies of a route's requests to the services that it leads to. */
static void rt_add_urgencies(struct rt_set *set, const struct rt_route *route,
			     const struct urg_set *priorities)
{
	bool has_account = set->has_accounts && !route->auth_exempt;
	struct urg_set *urgencies;
	int i;
	int k;

	for (i = 0; i < route->split_count; i++) {
		urgencies = &set->services[route->splits[i].service].urgencies;
		if (!has_account)
			urg_set_add(urgencies, urg_value(-1, route->priority));
		for (k = 0; has_account && k < priorities->count; k++)
			urg_set_add(urgencies, urg_value(priorities->values[k],
							 route->priority));
	}
}

/*
 * Returns the route for the host with the longest matching path prefix, or
 * NULL.
 */
const struct rt_route *rt_find_route(const struct rt_set *set, const char *host,
				     const char *target)
{
	const struct rt_route *route;
	size_t path_len = strcspn(target, "?#");
	int i;

	for (i = 0; i < set->route_count; i++) {
		route = &set->routes[i];
		if (route->prefix_len <= path_len &&
		    memcmp(route->prefix, target, route->prefix_len) == 0 &&
		    rt_same_host(route->host, host))
			return route;
	}
	return NULL;
}

/* Returns the index of the account that owns a key, or -1. */
int rt_account_by_key(const struct rt_set *set, const char *key)
{
	const struct rt_key want = { .key = (char *)key };
	const struct rt_key *found;

	found = bsearch(&want, set->keys, (size_t)set->key_count,
			sizeof(*set->keys), rt_by_key);
	return found ? found->account : -1;
}

/* Returns the index of the service with this identity, or -1. */
int rt_find_service(const struct rt_set *set, const char *name)
{
	int i;

	for (i = 0; i < set->service_count; i++) {
		if (strcmp(set->services[i].name, name) == 0)
			return i;
	}
	return -1;
}

/* Returns the accelerator with this identity, or NULL. */
const struct rt_accelerator *rt_find_accelerator(const struct rt_engine *engine,
						 const char *name)
{
	int i;

	for (i = 0; i < engine->accelerator_count; i++) {
		if (strcmp(engine->accelerators[i].name, name) == 0)
			return &engine->accelerators[i];
	}
	return NULL;
}

static int rt_by_prefix(const void *a, const void *b)
{
	const struct rt_route *x = a;
	const struct rt_route *y = b;

	if (x->prefix_len != y->prefix_len)
		return x->prefix_len < y->prefix_len ? 1 : -1;
	return strcmp(x->name, y->name);
}

static int rt_by_key(const void *a, const void *b)
{
	return strcmp(((const struct rt_key *)a)->key,
		      ((const struct rt_key *)b)->key);
}

/* Orders parts; a route begins with its part. */
int rt_by_part(const void *a, const void *b)
{
	return memcmp(a, b, sizeof(struct rt_part));
}

/* Compares a route's host with a Host field, ignoring case and port. */
static bool rt_same_host(const char *pattern, const char *host)
{
	size_t len = strcspn(host, ":");

	return strlen(pattern) == len && strncasecmp(pattern, host, len) == 0;
}
