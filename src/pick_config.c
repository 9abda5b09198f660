#include <stdlib.h>
#include <string.h>

#include "pick_int.h"

#define PICK_MIN_CONCURRENCY 1

static bool pick_same_topology(const struct pick *pick,
			       const struct cfg_set *set);
static void pick_free_changed_nets(struct pick *pick,
				   const struct pick_ep *old);
static int pick_set_services(struct pick *pick, const struct cfg_set *set);
static int pick_set_endpoints(struct pick *pick, const struct cfg_set *set);
static void pick_init_endpoint(struct pick *pick, struct pick_ep *ep,
			       const struct cfg_endpoint *cfg);
static int pick_data_centre_index(struct pick *pick, const char *name);
static int pick_carry_over(struct pick *pick, struct pick_ep *old,
			   int old_count, bool same_topology);
static int pick_match_endpoints(struct pick *pick, struct pick_ep *old,
				int old_count);
static void pick_carry_over_endpoint(struct pick_ep *ep, struct pick_ep *old);
static int pick_compare_names(const void *a, const void *b);
static int pick_build_nets(struct pick *pick, const struct cfg_set *set);
static int pick_use_net(struct pick *pick, int service, const char *group);
static void pick_free_unused_nets(struct pick *pick);
static int pick_connect_data_centres(struct pick *pick);

/*
 * Applies a new set; the state of an endpoint is carried over by its name.
 * Chains that were chosen under the previous set must be passed to pick_remap
 * before they are used again.  Returns 0 or PICK_E_MEMORY.
 */
int pick_config(struct pick *pick, const struct cfg_set *set, int64_t now)
{
	struct pick_ep *old = pick->eps;
	int old_count = pick->ep_count;
	bool same_topology = pick_same_topology(pick, set);
	int err;

	if (!same_topology)
		pick_free_nets(pick);
	err = pick_set_services(pick, set);
	if (!err)
		err = pick_set_endpoints(pick, set);
	if (!err)
		err = pick_carry_over(pick, old, old_count, same_topology);
	if (!err && same_topology)
		pick_free_changed_nets(pick, old);
	free(old);
	if (!err && !same_topology)
		err = pick_connect_data_centres(pick);
	if (!err)
		err = pick_build_nets(pick, set);
	if (err)
		pick_free_nets(pick);
	pick->next_tick_us = now;
	return err;
}

/*
 * Translates the endpoint indexes of a chain that was chosen under the previous
 * set to those of the current set.  A stage whose endpoint no longer exists
 * gets the index -1.
 */
void pick_remap(const struct pick *pick, struct pick_chain *chain)
{
	int i;

	for (i = 0; i < chain->count; i++) {
		int *endpoint = &chain->stages[i].endpoint;

		if (*endpoint >= 0 && *endpoint < pick->remap_count)
			*endpoint = pick->remap[*endpoint];
		else
			*endpoint = -1;
	}
}

/*
 * Tells whether a set has the same services as the current one, and the same
 * endpoints with the same indexes and data centres.  In this case only the
 * networks of services with a changed endpoint are rebuilt.  Solving all
 * networks of 10,000 endpoints again is most of the cost of a change to one of
 * them.
 */
static bool pick_same_topology(const struct pick *pick,
			       const struct cfg_set *set)
{
	size_t i;

	if (!pick->eps || pick->ep_count != (int)set->endpoint_count ||
	    pick->service_count != (int)set->service_count ||
	    memcmp(pick->services, set->services,
		   set->service_count * sizeof(*set->services)) != 0)
		return false;
	for (i = 0; i < set->endpoint_count; i++) {
		const struct cfg_endpoint *now = &pick->eps[i].cfg;
		const struct cfg_endpoint *next = &set->endpoints[i];

		if (strcmp(now->name, next->name) != 0 ||
		    strcmp(now->data_centre, next->data_centre) != 0)
			return false;
	}
	return true;
}

/* Frees the networks of the services that have a changed endpoint. */
static void pick_free_changed_nets(struct pick *pick, const struct pick_ep *old)
{
	int i;
	int k;

	for (k = 0; k < pick->net_count; k++)
		pick->nets[k].in_use = true;
	for (i = 0; i < pick->ep_count; i++) {
		const struct cfg_endpoint *cfg = &pick->eps[i].cfg;
		const struct cfg_endpoint *former = &old[i].cfg;

		if (cfg_same_endpoint(cfg, former))
			continue;
		for (k = 0; k < pick->net_count; k++) {
			if (pick->nets[k].service == cfg->service ||
			    pick->nets[k].service == former->service)
				pick->nets[k].in_use = false;
		}
	}
	pick_free_unused_nets(pick);
}

/* Stores the services that the networks are built for. */
static int pick_set_services(struct pick *pick, const struct cfg_set *set)
{
	size_t count = set->service_count;

	free(pick->services);
	free(pick->service_load);
	free(pick->load_tokens);
	pick->service_count = (int)count;
	pick->services = calloc(count + 1, sizeof(*pick->services));
	pick->service_load = calloc(count + 1, sizeof(*pick->service_load));
	pick->load_tokens = calloc(count + 1, sizeof(*pick->load_tokens));
	if (!pick->services || !pick->service_load || !pick->load_tokens)
		return PICK_E_MEMORY;
	if (count > 0)
		memcpy(pick->services, set->services,
		       count * sizeof(*pick->services));
	return PICK_OK;
}

/* Builds the table of endpoints from a set. */
static int pick_set_endpoints(struct pick *pick, const struct cfg_set *set)
{
	size_t count = set->endpoint_count;
	size_t i;

	free(pick->data_centres);
	pick->data_centre_count = 0;
	pick->ep_count = (int)count;
	pick->eps = calloc(count + 1, sizeof(*pick->eps));
	pick->data_centres = calloc(count + 1, sizeof(*pick->data_centres));
	if (!pick->eps || !pick->data_centres)
		return PICK_E_MEMORY;
	for (i = 0; i < count; i++)
		pick_init_endpoint(pick, &pick->eps[i], &set->endpoints[i]);
	return PICK_OK;
}

/* Initialises one endpoint from its configuration. */
static void pick_init_endpoint(struct pick *pick, struct pick_ep *ep,
			       const struct cfg_endpoint *cfg)
{
	const struct cfg_service *service = &pick->services[cfg->service];
	uint32_t layers = pick_layer_count(pick, cfg->service);

	ep->cfg = *cfg;
	if (ep->cfg.concurrency < PICK_MIN_CONCURRENCY)
		ep->cfg.concurrency = PICK_MIN_CONCURRENCY;
	ep->data_centre = pick_data_centre_index(pick, cfg->data_centre);
	ep->first_layer = service->kind == CFG_MODEL ? cfg->first_layer : 0;
	ep->end_layer = service->kind == CFG_MODEL ? cfg->last_layer + 1 : 1;
	if (ep->end_layer > layers || ep->first_layer >= ep->end_layer) {
		/* A range outside the model: the endpoint gets no work. */
		ep->first_layer = 0;
		ep->end_layer = layers;
		ep->cfg.state = CFG_DRAIN;
	}
	ep->limit = ep->cfg.concurrency;
	ep->rate_scale = 1;
	ep->solved_rate_scale = 1;
	ep->health = PICK_HEALTHY;
}

/* Returns the index of a data centre, which is added if it is new. */
static int pick_data_centre_index(struct pick *pick, const char *name)
{
	int i;

	for (i = 0; i < pick->data_centre_count; i++) {
		if (strcmp(pick->data_centres[i], name) == 0)
			return i;
	}
	mag_copy_name(pick->data_centres[i], sizeof(pick->data_centres[i]),
		      name);
	return pick->data_centre_count++;
}

/* Carries over the state of the endpoints that exist in both sets. */
static int pick_carry_over(struct pick *pick, struct pick_ep *old,
			   int old_count, bool same_topology)
{
	int i;

	free(pick->remap);
	pick->remap = calloc((size_t)old_count + 1, sizeof(int));
	if (!pick->remap)
		return PICK_E_MEMORY;
	pick->remap_count = old_count;
	for (i = 0; i < old_count; i++)
		pick->remap[i] = i;
	if (!same_topology && pick_match_endpoints(pick, old, old_count) < 0)
		return PICK_E_MEMORY;
	for (i = 0; i < old_count; i++) {
		if (pick->remap[i] < 0)
			free(old[i].cache);
		else
			pick_carry_over_endpoint(&pick->eps[pick->remap[i]],
						 &old[i]);
	}
	pick->in_flight = 0;
	pick->unhealthy_count = 0;
	for (i = 0; i < pick->ep_count; i++) {
		pick->in_flight += pick->eps[i].in_flight;
		pick->unhealthy_count += pick->eps[i].health != PICK_HEALTHY;
	}
	return PICK_OK;
}

/*
 * Fills the table that maps each endpoint of the previous set to its index in
 * the current one, or to -1 if it no longer exists.
 */
static int pick_match_endpoints(struct pick *pick, struct pick_ep *old,
				int old_count)
{
	struct pick_ep **sorted =
		calloc((size_t)pick->ep_count + 1, sizeof(struct pick_ep *));
	int i;

	if (!sorted)
		return PICK_E_MEMORY;
	for (i = 0; i < pick->ep_count; i++)
		sorted[i] = &pick->eps[i];
	qsort(sorted, (size_t)pick->ep_count, sizeof(struct pick_ep *),
	      pick_compare_names);
	for (i = 0; i < old_count; i++) {
		struct pick_ep *key = &old[i];
		struct pick_ep **found =
			bsearch(&key, sorted, (size_t)pick->ep_count,
				sizeof(struct pick_ep *), pick_compare_names);

		pick->remap[i] = found ? (int)(*found - pick->eps) : -1;
	}
	free(sorted);
	return PICK_OK;
}

/*
 * Carries over the state of one endpoint.  Its rate estimates are reset if its
 * layer range or its configured rate has changed.
 */
static void pick_carry_over_endpoint(struct pick_ep *ep, struct pick_ep *old)
{
	struct pick_ep updated = *ep;

	*ep = *old;
	ep->cfg = updated.cfg;
	ep->data_centre = updated.data_centre;
	ep->first_layer = updated.first_layer;
	ep->end_layer = updated.end_layer;
	if (ep->limit > updated.limit ||
	    old->cfg.concurrency != updated.cfg.concurrency)
		ep->limit = updated.limit;
	if (old->first_layer == updated.first_layer &&
	    old->end_layer == updated.end_layer &&
	    old->cfg.tokens_per_s == updated.cfg.tokens_per_s)
		return;
	ep->has_report = false;
	ep->rate_scale = 1;
	ep->solved_rate_scale = 1;
	ep->mean_hop_us = 0;
	ep->min_hop_us = 0;
	ep->mean_chain_us = 0;
}

/* Compares pointers to endpoints by the names of the endpoints. */
static int pick_compare_names(const void *a, const void *b)
{
	const struct pick_ep *const *x = a;
	const struct pick_ep *const *y = b;

	return strcmp((*x)->cfg.name, (*y)->cfg.name);
}

/*
 * Builds the networks that the services and routes use, so that no request has
 * to wait for it, and frees those of groups that no route uses any more.
 */
static int pick_build_nets(struct pick *pick, const struct cfg_set *set)
{
	int err = PICK_OK;
	size_t i;
	size_t j;
	int k;

	for (k = 0; k < pick->net_count; k++)
		pick->nets[k].in_use = false;
	for (i = 0; i < set->service_count && !err; i++)
		err = pick_use_net(pick, (int)i, "");
	for (i = 0; i < set->route_count && !err; i++) {
		const struct cfg_route *route = &set->routes[i];

		err = pick_use_net(pick, route->service, route->group);
		for (j = 0; j < route->split_count && !err; j++)
			err = pick_use_net(pick, route->service,
					   route->splits[j].group);
	}
	pick_free_unused_nets(pick);
	return err;
}

static int pick_use_net(struct pick *pick, int service, const char *group)
{
	struct pick_net *net = pick_get_net(pick, service, group);

	if (!net)
		return PICK_E_MEMORY;
	net->in_use = true;
	return PICK_OK;
}

/* Frees the networks that are not in use; the others keep their order. */
static void pick_free_unused_nets(struct pick *pick)
{
	int kept = 0;
	int i;

	for (i = 0; i < pick->net_count; i++) {
		if (pick->nets[i].in_use)
			pick->nets[kept++] = pick->nets[i];
		else
			pick_net_free(&pick->nets[i]);
	}
	pick->net_count = kept;
}

/* Marks every data centre as reachable from every other. */
static int pick_connect_data_centres(struct pick *pick)
{
	size_t size = (size_t)pick->data_centre_count * pick->data_centre_count;

	free(pick->reachable);
	pick->reachable = malloc(size + 1);
	if (!pick->reachable)
		return PICK_E_MEMORY;
	memset(pick->reachable, true, size);
	return PICK_OK;
}

/* Frees all networks. */
void pick_free_nets(struct pick *pick)
{
	int i;

	for (i = 0; i < pick->net_count; i++)
		pick_net_free(&pick->nets[i]);
	free(pick->nets);
	pick->nets = NULL;
	pick->net_count = 0;
}
