#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "cfg.h"

static int cfg_find_by_name(const void *table, size_t count, size_t size,
			    const char *name);
static int cfg_name_cmp(const void *name, const void *object);
static bool cfg_host_matches(const char *route, const char *host);
static bool cfg_path_matches(const char *route, const char *path, size_t len);

/* Finds an account by the hash of its key.  Returns its index, or -1. */
int cfg_find_account_by_key(const struct cfg_set *set, const char *key_hash)
{
	size_t i;

	for (i = 0; i < set->account_count; i++) {
		if (strcmp(set->accounts[i].key_hash, key_hash) == 0)
			return (int)i;
	}
	return -1;
}

/* Finds a service by name.  Returns its index, or -1. */
int cfg_find_service(const struct cfg_set *set, const char *name)
{
	return cfg_find_by_name(set->services, set->service_count,
				sizeof(*set->services), name);
}

/* Finds an endpoint by name.  Returns its index, or -1. */
int cfg_find_endpoint(const struct cfg_set *set, const char *name)
{
	return cfg_find_by_name(set->endpoints, set->endpoint_count,
				sizeof(*set->endpoints), name);
}

/*
 * Finds the route of a request by the Host header, which may include a port,
 * and the path, which may include a query.  Routes with a host take precedence
 * over routes for any host; among equals the longest path wins.  A path matches
 * whole segments: "/book" matches "/book/1" but not "/books".  Returns the
 * index of the route, or -1 if none matches.
 */
int cfg_find_route(const struct cfg_set *set, const char *host,
		   const char *path)
{
	size_t len = strcspn(path, "?#");
	int best = -1;
	size_t i;

	for (i = 0; i < set->route_count; i++) {
		const struct cfg_route *r = &set->routes[i];
		const struct cfg_route *b =
			best < 0 ? NULL : &set->routes[best];

		if (!cfg_host_matches(r->host, host) ||
		    !cfg_path_matches(r->path, path, len))
			continue;
		if (b && b->host[0] && !r->host[0])
			continue;
		if (b && !b->host[0] == !r->host[0] &&
		    strlen(r->path) <= strlen(b->path))
			continue;
		best = (int)i;
	}
	return best;
}

/*
 * Returns the group of endpoints that serves an account on a route: the group
 * of the account's split, else the route's; "" allows any endpoint.
 */
const char *cfg_route_group(const struct cfg_set *set, int route, int account)
{
	const struct cfg_route *r = &set->routes[route];
	size_t i;

	for (i = 0; i < r->split_count; i++) {
		if (r->splits[i].account == account)
			return r->splits[i].group;
	}
	return r->group;
}

/* The tables are sorted by name, the first member of each structure. */
static int cfg_find_by_name(const void *table, size_t count, size_t size,
			    const char *name)
{
	const char *found;

	if (count == 0)
		return -1;
	found = bsearch(name, table, count, size, cfg_name_cmp);
	return found ? (int)((size_t)(found - (const char *)table) / size) : -1;
}

static int cfg_name_cmp(const void *name, const void *object)
{
	return strcmp(name, object);
}

static bool cfg_host_matches(const char *route, const char *host)
{
	size_t len = strcspn(host, ":");

	if (!route[0])
		return true;
	return strlen(route) == len && strncasecmp(route, host, len) == 0;
}

static bool cfg_path_matches(const char *route, const char *path, size_t len)
{
	size_t prefix = strlen(route);

	if (strcmp(route, "/") == 0)
		return true;
	return len >= prefix && strncmp(route, path, prefix) == 0 &&
	       (len == prefix || path[prefix] == '/');
}
