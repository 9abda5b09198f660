#include <stdlib.h>
#include <string.h>

#include "cfg_int.h"

/*
 * The layers of a service that its active endpoints hold: all endpoints, or
 * those of one group.  A draining endpoint gets no new work and is not counted.
 */
struct cfg_coverage {
	const struct cfg_service *service;
	const char *group;   /* "" means all */
	uint32_t *end_layer; /* by first layer: one past the last layer */
	size_t endpoint_total;
};

/* The object that faults name: the service, or a route that uses a group. */
struct cfg_fault_location {
	const char *kind;
	const char *name;
	const char *field;
};

static void
cfg_check_service_coverage(struct cfg_build *build, int service,
			   const char *group,
			   const struct cfg_fault_location *location);
static bool cfg_coverage_fill(struct cfg_build *build,
			      struct cfg_coverage *coverage);
static void cfg_check_gaps(struct cfg_build *build,
			   const struct cfg_coverage *coverage,
			   const struct cfg_fault_location *location);
static void cfg_check_chain_length(struct cfg_build *build,
				   const struct cfg_coverage *coverage,
				   const struct cfg_fault_location *location);
static void cfg_report_gap(struct cfg_build *build,
			   const struct cfg_coverage *coverage,
			   const struct cfg_fault_location *location,
			   uint32_t first, uint32_t last);
static void cfg_report_no_endpoint(struct cfg_build *build,
				   const struct cfg_coverage *coverage,
				   const struct cfg_fault_location *location);

/*
 * Checks that each service, and each group that a route uses, has active
 * endpoints that hold all layers and form a chain that is not too long.  If
 * affected is not NULL, only services whose entry in it is true are checked.
 */
void cfg_check_coverage(struct cfg_build *build, const bool *affected)
{
	const struct cfg_set *set = build->set;
	size_t i;
	size_t k;

	for (i = 0; i < set->service_count; i++) {
		struct cfg_fault_location location = { "service",
						       set->services[i].name,
						       "layers" };

		if (!affected || affected[i])
			cfg_check_service_coverage(build, (int)i, "",
						   &location);
	}
	for (i = 0; i < set->route_count; i++) {
		const struct cfg_route *route = &set->routes[i];
		struct cfg_fault_location location = { "route", route->name,
						       "group" };

		if (affected && !affected[route->service])
			continue;
		if (route->group[0])
			cfg_check_service_coverage(build, route->service,
						   route->group, &location);
		location.field = "splits";
		for (k = 0; k < route->split_count; k++)
			cfg_check_service_coverage(build, route->service,
						   route->splits[k].group,
						   &location);
	}
}

static void
cfg_check_service_coverage(struct cfg_build *build, int service,
			   const char *group,
			   const struct cfg_fault_location *location)
{
	struct cfg_coverage coverage = { .group = group };

	if (service < 0 || !cfg_fields_valid(build, CFG_SERVICE, service))
		return;
	coverage.service = &build->set->services[service];
	if (!cfg_coverage_fill(build, &coverage))
		return;
	if (coverage.endpoint_total == 0) {
		cfg_report_no_endpoint(build, &coverage, location);
	} else if (coverage.service->kind == CFG_MODEL) {
		cfg_check_gaps(build, &coverage, location);
		cfg_check_chain_length(build, &coverage, location);
	}
	free(coverage.end_layer);
}

/* Stores for each first layer the farthest end of its endpoints' ranges. */
static bool cfg_coverage_fill(struct cfg_build *build,
			      struct cfg_coverage *coverage)
{
	const struct cfg_set *set = build->set;
	size_t i;

	coverage->end_layer = calloc(coverage->service->layers + 1,
				     sizeof(*coverage->end_layer));
	if (!coverage->end_layer) {
		cfg_faults_mark_incomplete(build->faults);
		return false;
	}
	for (i = 0; i < set->endpoint_count; i++) {
		const struct cfg_endpoint *e = &set->endpoints[i];

		if (e->service < 0 ||
		    &set->services[e->service] != coverage->service ||
		    e->state != CFG_ACTIVE)
			continue;
		if (coverage->group[0] &&
		    strcmp(coverage->group, e->group) != 0)
			continue;
		coverage->endpoint_total++;
		if (e->first_layer < coverage->service->layers &&
		    e->last_layer + 1 > coverage->end_layer[e->first_layer])
			coverage->end_layer[e->first_layer] = e->last_layer + 1;
	}
	return true;
}

/* Reports each range of layers that no endpoint holds. */
static void cfg_check_gaps(struct cfg_build *build,
			   const struct cfg_coverage *coverage,
			   const struct cfg_fault_location *location)
{
	uint32_t layers = coverage->service->layers;
	uint32_t covered = 0; /* lower layers are held or reported */
	uint32_t i;

	for (i = 0; i < layers; i++) {
		if (coverage->end_layer[i] == 0)
			continue;
		if (i > covered)
			cfg_report_gap(build, coverage, location, covered,
				       i - 1);
		if (coverage->end_layer[i] > covered)
			covered = coverage->end_layer[i];
	}
	if (covered < layers)
		cfg_report_gap(build, coverage, location, covered, layers - 1);
}

/*
 * Reports a service whose shortest chain has more than MAG_CHAIN_MAX stages.
 * Extending the chain as far as possible at each stage gives the shortest one.
 */
static void cfg_check_chain_length(struct cfg_build *build,
				   const struct cfg_coverage *coverage,
				   const struct cfg_fault_location *location)
{
	uint32_t layers = coverage->service->layers;
	uint32_t max_end = 0;
	uint32_t covered = 0;
	uint32_t stages = 0;
	uint32_t i = 0;

	while (covered < layers) {
		for (; i <= covered; i++) {
			if (coverage->end_layer[i] > max_end)
				max_end = coverage->end_layer[i];
		}
		if (max_end <= covered)
			return; /* cfg_check_gaps reports the gap */
		covered = max_end;
		stages++;
	}
	if (stages > MAG_CHAIN_MAX)
		cfg_fault(build->faults, location->kind, location->name,
			  location->field, CFG_M_CHAIN_LONG, stages,
			  MAG_CHAIN_MAX);
}

static void cfg_report_gap(struct cfg_build *build,
			   const struct cfg_coverage *coverage,
			   const struct cfg_fault_location *location,
			   uint32_t first, uint32_t last)
{
	if (coverage->group[0])
		cfg_fault(build->faults, location->kind, location->name,
			  location->field, CFG_M_GROUP_GAP, coverage->group,
			  first, last, coverage->service->name);
	else
		cfg_fault(build->faults, location->kind, location->name,
			  location->field, CFG_M_GAP, first, last);
}

static void cfg_report_no_endpoint(struct cfg_build *build,
				   const struct cfg_coverage *coverage,
				   const struct cfg_fault_location *location)
{
	if (coverage->group[0])
		cfg_fault(build->faults, location->kind, location->name,
			  location->field, CFG_M_GROUP_EMPTY,
			  coverage->service->name, coverage->group);
	else
		cfg_fault(build->faults, location->kind, location->name, "name",
			  CFG_M_NO_ENDPOINT);
}
