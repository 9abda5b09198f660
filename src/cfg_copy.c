#include <stdlib.h>
#include <string.h>

#include "cfg_int.h"

static int cfg_copy_splits(struct cfg_set *copy);

/*
 * Copies a set for another owner, which is far cheaper than parsing its text
 * again.  The caller frees the copy with cfg_free.
 */
int cfg_copy(const struct cfg_set *set, struct cfg_set **copy)
{
	struct cfg_set *c = calloc(1, sizeof(*c));

	*copy = NULL;
	if (!c)
		return CFG_E_MEMORY;
	*c = *set;
	c->services = cfg_copy_table(set->services, set->service_count,
				     sizeof(*set->services));
	c->accounts = cfg_copy_table(set->accounts, set->account_count,
				     sizeof(*set->accounts));
	c->routes = cfg_copy_table(set->routes, set->route_count,
				   sizeof(*set->routes));
	c->limits = cfg_copy_table(set->limits, set->limit_count,
				   sizeof(*set->limits));
	c->endpoints = cfg_copy_table(set->endpoints, set->endpoint_count,
				      sizeof(*set->endpoints));
	if (!c->routes)
		c->route_count = 0; /* no splits to free */
	if (!c->services || !c->accounts || !c->routes || !c->limits ||
	    !c->endpoints || cfg_copy_splits(c) < 0) {
		cfg_free(c);
		return CFG_E_MEMORY;
	}
	*copy = c;
	return CFG_OK;
}

/* Copies a table.  Returns NULL only if out of memory, not if it is empty. */
void *cfg_copy_table(const void *table, size_t count, size_t size)
{
	void *copy = calloc(count ? count : 1, size);

	if (copy && count)
		memcpy(copy, table, count * size);
	return copy;
}

/* Replaces the splits that a copy shares with its original by copies. */
static int cfg_copy_splits(struct cfg_set *copy)
{
	int err = CFG_OK;
	size_t i;

	for (i = 0; i < copy->route_count; i++) {
		struct cfg_route *route = &copy->routes[i];

		route->splits =
			cfg_copy_table(route->splits, route->split_count,
				       sizeof(*route->splits));
		if (!route->splits)
			err = CFG_E_MEMORY;
	}
	return err;
}

/* Returns true if two endpoints are equal in all fields. */
bool cfg_same_endpoint(const struct cfg_endpoint *a,
		       const struct cfg_endpoint *b)
{
	return strcmp(a->name, b->name) == 0 && a->service == b->service &&
	       strcmp(a->data_centre, b->data_centre) == 0 &&
	       strcmp(a->group, b->group) == 0 &&
	       strcmp(a->address, b->address) == 0 &&
	       strcmp(a->accelerator, b->accelerator) == 0 &&
	       a->first_layer == b->first_layer &&
	       a->last_layer == b->last_layer &&
	       a->tokens_per_s == b->tokens_per_s &&
	       a->link_bytes_per_s == b->link_bytes_per_s &&
	       a->concurrency == b->concurrency &&
	       a->checks_fencing == b->checks_fencing &&
	       a->downstream_key == b->downstream_key && a->state == b->state;
}
