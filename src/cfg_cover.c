#include <stdlib.h>
#include <string.h>

#include "cfg_int.h"

/*
 * Which layers of a service the active endpoints hold, all of them or those
 * of one group.  A drained endpoint gets no new work, so it covers nothing.
 */
struct cfg_cover {
	const struct cfg_service *service;
	const char *group; /* "" takes any */
	uint32_t *reach;   /* by first layer: the layer after the last held */
	size_t endpoints;
};

/* Where a gap is reported: the service itself, or a route with a group. */
struct cfg_cover_at {
	const char *kind;
	const char *name;
	const char *field;
};

static void cfg_cover_service(struct cfg_build *build, int service,
			      const char *group, const struct cfg_cover_at *at);
static bool cfg_cover_fill(struct cfg_build *build, struct cfg_cover *cover);
static void cfg_cover_gaps(struct cfg_build *build,
			   const struct cfg_cover *cover,
			   const struct cfg_cover_at *at);
static void cfg_cover_chain(struct cfg_build *build,
			    const struct cfg_cover *cover,
			    const struct cfg_cover_at *at);
static void cfg_cover_gap(struct cfg_build *build,
			  const struct cfg_cover *cover,
			  const struct cfg_cover_at *at, uint32_t first,
			  uint32_t last);
static void cfg_cover_none(struct cfg_build *build,
			   const struct cfg_cover *cover,
			   const struct cfg_cover_at *at);

/*
 * Checks that every service, and every group that a route names, has active
 * endpoints that hold all layers in a chain that is not too long.  With a
 * list of the services that are touched, by index, only those are checked.
 */
void cfg_check_coverage(struct cfg_build *build, const bool *touched)
{
	const struct cfg_set *set = build->set;
	size_t i;
	size_t k;

	for (i = 0; i < set->service_count; i++) {
		struct cfg_cover_at at = { "service", set->services[i].name,
					   "layers" };

		if (!touched || touched[i])
			cfg_cover_service(build, (int)i, "", &at);
	}
	for (i = 0; i < set->route_count; i++) {
		const struct cfg_route *route = &set->routes[i];
		struct cfg_cover_at at = { "route", route->name, "group" };

		if (touched && !touched[route->service])
			continue;
		if (route->group[0])
			cfg_cover_service(build, route->service, route->group,
					  &at);
		at.field = "splits";
		for (k = 0; k < route->split_count; k++)
			cfg_cover_service(build, route->service,
					  route->splits[k].group, &at);
	}
}

static void cfg_cover_service(struct cfg_build *build, int service,
			      const char *group, const struct cfg_cover_at *at)
{
	struct cfg_cover cover = { .group = group };

	if (service < 0 || !cfg_fields_valid(build, CFG_SERVICE, service))
		return;
	cover.service = &build->set->services[service];
	if (!cfg_cover_fill(build, &cover))
		return;
	if (cover.endpoints == 0) {
		cfg_cover_none(build, &cover, at);
	} else if (cover.service->kind == CFG_MODEL) {
		cfg_cover_gaps(build, &cover, at);
		cfg_cover_chain(build, &cover, at);
	}
	free(cover.reach);
}

/* Notes for each layer how far the endpoints that start there reach. */
static bool cfg_cover_fill(struct cfg_build *build, struct cfg_cover *cover)
{
	const struct cfg_set *set = build->set;
	size_t i;

	cover->reach =
		calloc(cover->service->layers + 1, sizeof(*cover->reach));
	if (!cover->reach) {
		cfg_faults_mark_incomplete(build->faults);
		return false;
	}
	for (i = 0; i < set->endpoint_count; i++) {
		const struct cfg_endpoint *e = &set->endpoints[i];

		if (e->service < 0 ||
		    &set->services[e->service] != cover->service ||
		    e->state != CFG_ACTIVE)
			continue;
		if (cover->group[0] && strcmp(cover->group, e->group) != 0)
			continue;
		cover->endpoints++;
		if (e->first_layer < cover->service->layers &&
		    e->last_layer + 1 > cover->reach[e->first_layer])
			cover->reach[e->first_layer] = e->last_layer + 1;
	}
	return true;
}

/* Reports each run of layers that nothing holds. */
static void cfg_cover_gaps(struct cfg_build *build,
			   const struct cfg_cover *cover,
			   const struct cfg_cover_at *at)
{
	uint32_t layers = cover->service->layers;
	uint32_t held = 0; /* layers below it are held or reported */
	uint32_t i;

	for (i = 0; i < layers; i++) {
		if (cover->reach[i] == 0)
			continue;
		if (i > held)
			cfg_cover_gap(build, cover, at, held, i - 1);
		if (cover->reach[i] > held)
			held = cover->reach[i];
	}
	if (held < layers)
		cfg_cover_gap(build, cover, at, held, layers - 1);
}

/* Reports a service whose shortest chain has more stages than are taken. */
static void cfg_cover_chain(struct cfg_build *build,
			    const struct cfg_cover *cover,
			    const struct cfg_cover_at *at)
{
	uint32_t layers = cover->service->layers;
	uint32_t best = 0;
	uint32_t held = 0;
	uint32_t stages = 0;
	uint32_t i = 0;

	while (held < layers) {
		for (; i <= held; i++) {
			if (cover->reach[i] > best)
				best = cover->reach[i];
		}
		if (best <= held)
			return; /* a gap, reported elsewhere */
		held = best;
		stages++;
	}
	if (stages > MAG_CHAIN_MAX)
		cfg_fault(build->faults, at->kind, at->name, at->field,
			  CFG_M_CHAIN_LONG, stages, MAG_CHAIN_MAX);
}

static void cfg_cover_gap(struct cfg_build *build,
			  const struct cfg_cover *cover,
			  const struct cfg_cover_at *at, uint32_t first,
			  uint32_t last)
{
	if (cover->group[0])
		cfg_fault(build->faults, at->kind, at->name, at->field,
			  CFG_M_GROUP_GAP, cover->group, first, last,
			  cover->service->name);
	else
		cfg_fault(build->faults, at->kind, at->name, at->field,
			  CFG_M_GAP, first, last);
}

static void cfg_cover_none(struct cfg_build *build,
			   const struct cfg_cover *cover,
			   const struct cfg_cover_at *at)
{
	if (cover->group[0])
		cfg_fault(build->faults, at->kind, at->name, at->field,
			  CFG_M_GROUP_EMPTY, cover->service->name,
			  cover->group);
	else
		cfg_fault(build->faults, at->kind, at->name, "name",
			  CFG_M_NO_ENDPOINT);
}
