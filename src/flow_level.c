#include <stdlib.h>

#include "flow_int.h"
#include "mag.h"

static int flow_level_build(struct flow_level *level);
static int flow_level_stage(struct flow_level *level, int e);
static bool flow_level_has(const struct flow_level *level, int e);
static double flow_level_layers(const struct flow_level *level, int k);
static double flow_level_link(const struct flow_level *level, int e);
static double flow_level_demand(const struct flow_level *level);
static bool flow_level_try(struct flow_level *level);
static bool flow_level_bind(struct flow_level *level);
static void flow_level_even(struct flow_level *level);
static void flow_level_spread(struct flow_level *level, double spread);
static bool flow_level_spent(const struct flow_level *level, int e);

/* Takes the memory of a level and builds its graph. */
int flow_level_init(struct flow_level *level)
{
	struct flow_solver *work = level->work;
	size_t count = (size_t)work->in->stage_count;
	size_t parts = (size_t)work->intervals;

	level->flow = flow_new(FLOW_NET_FIRST_INTERVAL + (int)(parts + count));
	level->edge = malloc((count * parts + 1) * sizeof(int));
	level->source_edge = malloc((count + 1) * sizeof(int));
	level->sink_edge = malloc((parts + 1) * sizeof(int));
	level->in_bottleneck = calloc(parts + 1, sizeof(bool));
	if (!level->flow || !level->edge || !level->source_edge ||
	    !level->sink_edge || !level->in_bottleneck)
		return FLOW_E_MEMORY;
	return flow_level_build(level);
}

/* Frees the memory of a level. */
void flow_level_free(struct flow_level *level)
{
	flow_free(level->flow);
	free(level->edge);
	free(level->source_edge);
	free(level->sink_edge);
	free(level->in_bottleneck);
}

/* Adds the edges: source to endpoints, endpoints to parts, parts to sink. */
static int flow_level_build(struct flow_level *level)
{
	struct flow_solver *work = level->work;
	int e;
	int k;

	for (k = 0; k < work->intervals; k++) {
		level->sink_edge[k] = -1;
		if (!work->unsettled[k])
			continue;
		level->sink_edge[k] =
			flow_add_edge(level->flow, FLOW_NET_FIRST_INTERVAL + k,
				      FLOW_NET_SINK, 0);
		if (level->sink_edge[k] < 0)
			return FLOW_E_MEMORY;
	}
	for (e = 0; e < work->in->stage_count; e++) {
		if (flow_level_stage(level, e) < 0)
			return FLOW_E_MEMORY;
	}
	return FLOW_OK;
}

/* Adds the edges of one endpoint. */
static int flow_level_stage(struct flow_level *level, int e)
{
	struct flow_solver *work = level->work;
	int node = FLOW_NET_FIRST_INTERVAL + work->intervals + e;
	double link = flow_level_link(level, e);
	int k;

	level->source_edge[e] = -1;
	for (k = 0; k < work->intervals; k++)
		level->edge[e * work->intervals + k] = -1;
	if (!flow_level_has(level, e))
		return FLOW_OK;
	level->source_edge[e] = flow_add_edge(level->flow, FLOW_NET_SOURCE,
					      node, work->supply[e]);
	if (level->source_edge[e] < 0)
		return FLOW_E_MEMORY;
	for (k = work->first[e]; k < work->end[e]; k++) {
		int *edge = &level->edge[e * work->intervals + k];

		if (!work->unsettled[k])
			continue;
		*edge = flow_add_edge(level->flow, node,
				      FLOW_NET_FIRST_INTERVAL + k,
				      link * flow_level_layers(level, k));
		if (*edge < 0)
			return FLOW_E_MEMORY;
	}
	return FLOW_OK;
}

/* Tells whether an endpoint has work left for this group. */
static bool flow_level_has(const struct flow_level *level, int e)
{
	const struct flow_solver *work = level->work;

	return work->component[work->in->stages[e].data_centre] ==
		       level->component &&
	       work->supply[e] > 0;
}

/* Returns the number of layers of a part. */
static double flow_level_layers(const struct flow_level *level, int k)
{
	const uint32_t *bound = level->work->net->boundaries;

	return bound[k + 1] - bound[k];
}

/*
 * Returns how many tokens a second may pass one part of an endpoint.  Each
 * stream comes in over its link or goes out over it, unless the endpoint
 * holds the whole model.
 */
static double flow_level_link(const struct flow_level *level, int e)
{
	const struct flow_stage *stage = &level->work->in->stages[e];

	if (stage->first_layer == 0 &&
	    stage->end_layer == level->work->in->layers)
		return FLOW_UNBOUNDED;
	return stage->link_rate;
}

/* Returns the layers of the parts that are thought to bind. */
static double flow_level_demand(const struct flow_level *level)
{
	double layers = 0;
	int k;

	for (k = 0; k < level->work->intervals; k++) {
		if (level->in_bottleneck[k])
			layers += flow_level_layers(level, k);
	}
	return layers;
}

/* Finds the most that passes the open parts, and the parts that bind it. */
void flow_level_solve(struct flow_level *level)
{
	double supply = 0;
	int e;
	int k;

	for (e = 0; e < level->work->in->stage_count; e++) {
		if (level->source_edge[e] >= 0)
			supply += level->work->supply[e];
	}
	for (k = 0; k < level->work->intervals; k++)
		level->in_bottleneck[k] = level->sink_edge[k] >= 0;
	level->rate = supply / flow_level_demand(level);
	while (!flow_level_try(level)) {
		if (!flow_level_bind(level))
			break;
	}
	flow_level_even(level);
}

/*
 * Divides the work on the parts that bind as evenly over each endpoint's
 * range as the rate allows.  Any division reaches the rate, but an endpoint
 * that does much of one part and little of the next one makes streams change
 * endpoints between them: their chains grow longer, a token takes longer
 * around them, and more streams than the endpoints take at once are needed
 * to keep them busy.
 */
static void flow_level_even(struct flow_level *level)
{
	static const double spreads[] = { 1.01, 1.25, 1.5, 2, 3, 5 };
	size_t i;

	for (i = 0; i < MAG_ARRAY_SIZE(spreads); i++) {
		flow_level_spread(level, spreads[i]);
		if (flow_level_try(level))
			return;
	}
	flow_level_spread(level, FLOW_UNBOUNDED);
	flow_level_try(level);
}

/* Lets each part have at most a multiple of its even share of the work. */
static void flow_level_spread(struct flow_level *level, double spread)
{
	struct flow_solver *work = level->work;
	int e;
	int k;

	for (e = 0; e < work->in->stage_count; e++) {
		double link = flow_level_link(level, e);
		double layers = 0;
		double most;

		if (level->source_edge[e] < 0)
			continue;
		for (k = work->first[e]; k < work->end[e]; k++)
			layers += level->in_bottleneck[k]
					  ? flow_level_layers(level, k)
					  : 0;
		most = layers > 0 ? spread * work->supply[e] / layers : 0;
		if (most > link)
			most = link;
		for (k = work->first[e]; k < work->end[e]; k++) {
			int edge = level->edge[e * work->intervals + k];

			if (edge >= 0)
				flow_set_capacity(
					level->flow, edge,
					most * flow_level_layers(level, k));
		}
	}
}

/* Tries the present rate; true if every part gets the work that it needs. */
static bool flow_level_try(struct flow_level *level)
{
	double wanted = level->rate * flow_level_demand(level);
	int k;

	for (k = 0; k < level->work->intervals; k++) {
		double rate = level->in_bottleneck[k] ? level->rate : 0;

		if (level->sink_edge[k] >= 0)
			flow_set_capacity(level->flow, level->sink_edge[k],
					  rate * flow_level_layers(level, k));
	}
	flow_reset(level->flow);
	return flow_solve(level->flow, FLOW_NET_SOURCE, FLOW_NET_SINK) >=
	       wanted * FLOW_NET_MET_FRACTION;
}

/*
 * Lowers the rate to what the work and links that reach the cut allow.
 * Returns false if rounding leaves nothing to lower.
 */
static bool flow_level_bind(struct flow_level *level)
{
	struct flow_solver *work = level->work;
	double layers = 0;
	double supply = 0;
	double before = level->rate;
	int e;
	int k;

	for (k = 0; k < work->intervals; k++) {
		level->in_bottleneck[k] =
			level->in_bottleneck[k] &&
			!flow_on_source_side(level->flow,
					     FLOW_NET_FIRST_INTERVAL + k);
		if (level->in_bottleneck[k])
			layers += flow_level_layers(level, k);
	}
	for (e = 0; e < work->in->stage_count; e++) {
		if (level->source_edge[e] < 0)
			continue;
		if (flow_in_cut(level->flow, level->source_edge[e]))
			supply += work->supply[e];
		for (k = work->first[e]; k < work->end[e]; k++) {
			int edge = level->edge[e * work->intervals + k];

			if (edge >= 0 && flow_in_cut(level->flow, edge))
				supply += flow_edge_capacity(level->flow, edge);
		}
	}
	if (layers > 0)
		level->rate = supply / layers;
	return level->rate < before;
}

/*
 * Settles the parts that bind: what passes them is known, and the endpoints
 * that spend all their work on them are done.
 */
void flow_level_settle(struct flow_level *level, double rate)
{
	struct flow_solver *work = level->work;
	double scale = level->rate > 0 ? rate / level->rate : 0;
	int e;
	int k;

	for (e = 0; e < work->in->stage_count; e++) {
		if (level->source_edge[e] < 0)
			continue;
		for (k = work->first[e]; k < work->end[e]; k++) {
			int edge = level->edge[e * work->intervals + k];
			double done;

			if (edge < 0 || !level->in_bottleneck[k])
				continue;
			done = flow_edge_flow(level->flow, edge);
			work->supply[e] -= done;
			work->net
				->interval_flow[k * work->in->stage_count + e] =
				scale * done / flow_level_layers(level, k);
		}
		if (flow_level_spent(level, e))
			work->supply[e] = 0;
	}
	for (k = 0; k < work->intervals; k++) {
		if (level->in_bottleneck[k])
			work->unsettled[k] = false;
	}
}

/* Tells whether an endpoint has no work left but for rounding. */
static bool flow_level_spent(const struct flow_level *level, int e)
{
	const struct flow_stage *stage = &level->work->in->stages[e];
	double whole = stage->rate * (stage->end_layer - stage->first_layer);

	return level->work->supply[e] <= (1 - FLOW_NET_MET_FRACTION) * whole;
}

/* Notes the work and the links that bind the flow. */
int flow_level_add_bottlenecks(struct flow_level *level)
{
	struct flow_solver *work = level->work;
	struct flow_net *net = work->net;
	int e;
	int k;

	for (e = 0; e < work->in->stage_count; e++) {
		for (k = work->first[e];
		     level->source_edge[e] >= 0 && k < work->end[e]; k++) {
			int edge = level->edge[e * work->intervals + k];
			struct flow_bottleneck *limit;
			double on;

			if (edge < 0 || !level->in_bottleneck[k])
				continue;
			on = flow_edge_flow(level->flow, edge);
			limit = &net->bottlenecks[net->bottleneck_count];
			limit->kind = FLOW_BOTTLENECK_WORK;
			if (on >= FLOW_NET_MET_FRACTION *
					  flow_level_link(level, e) *
					  flow_level_layers(level, k))
				limit->kind = FLOW_BOTTLENECK_LINK;
			limit->stage = e;
			limit->first_layer = net->boundaries[k];
			limit->end_layer = net->boundaries[k + 1];
			limit->tokens_per_s = on / flow_level_layers(level, k);
			net->bottleneck_count += limit->tokens_per_s > 0;
		}
	}
	return FLOW_OK;
}
