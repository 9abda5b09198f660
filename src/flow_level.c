#include <stdlib.h>

#include "flow_int.h"
#include "mag.h"

static int flow_level_build_graph(struct flow_level *level);
static int flow_level_add_stage(struct flow_level *level, int e);
static bool flow_level_includes_stage(const struct flow_level *level, int e);
static double flow_level_layer_count(const struct flow_level *level, int k);
static double flow_level_link_rate(const struct flow_level *level, int e);
static double flow_level_bottleneck_layers(const struct flow_level *level);
static bool flow_level_test_rate(struct flow_level *level);
static bool flow_level_lower_rate(struct flow_level *level);
static void flow_level_balance(struct flow_level *level);
static void flow_level_set_capacities(struct flow_level *level,
				      double max_ratio);
static bool flow_level_is_exhausted(const struct flow_level *level, int e);

/* Allocates the arrays of a level and builds its graph. */
int flow_level_init(struct flow_level *level)
{
	struct flow_solver *solver = level->solver;
	size_t stages = (size_t)solver->in->stage_count;
	size_t intervals = (size_t)solver->intervals;

	level->flow =
		flow_new(FLOW_NET_FIRST_INTERVAL + (int)(intervals + stages));
	level->edge = malloc((stages * intervals + 1) * sizeof(int));
	level->source_edge = malloc((stages + 1) * sizeof(int));
	level->sink_edge = malloc((intervals + 1) * sizeof(int));
	level->in_bottleneck = calloc(intervals + 1, sizeof(bool));
	if (!level->flow || !level->edge || !level->source_edge ||
	    !level->sink_edge || !level->in_bottleneck)
		return FLOW_E_MEMORY;
	return flow_level_build_graph(level);
}

/* Frees a level's graph and arrays, also if flow_level_init failed. */
void flow_level_free(struct flow_level *level)
{
	flow_free(level->flow);
	free(level->edge);
	free(level->source_edge);
	free(level->sink_edge);
	free(level->in_bottleneck);
}

/*
 * Adds the edges from the source to stages, from stages to intervals and from
 * intervals to the sink.
 */
static int flow_level_build_graph(struct flow_level *level)
{
	struct flow_solver *solver = level->solver;
	int e;
	int k;

	for (k = 0; k < solver->intervals; k++) {
		level->sink_edge[k] = -1;
		if (!solver->unsettled[k])
			continue;
		level->sink_edge[k] =
			flow_add_edge(level->flow, FLOW_NET_FIRST_INTERVAL + k,
				      FLOW_NET_SINK, 0);
		if (level->sink_edge[k] < 0)
			return FLOW_E_MEMORY;
	}
	for (e = 0; e < solver->in->stage_count; e++) {
		if (flow_level_add_stage(level, e) < 0)
			return FLOW_E_MEMORY;
	}
	return FLOW_OK;
}

/*
 * Adds the edges of one stage.  The edge from the source limits its work, the
 * edge to an interval what its link can carry through this interval.
 */
static int flow_level_add_stage(struct flow_level *level, int e)
{
	struct flow_solver *solver = level->solver;
	int node = FLOW_NET_FIRST_INTERVAL + solver->intervals + e;
	double link_rate = flow_level_link_rate(level, e);
	int k;

	level->source_edge[e] = -1;
	for (k = 0; k < solver->intervals; k++)
		level->edge[e * solver->intervals + k] = -1;
	if (!flow_level_includes_stage(level, e))
		return FLOW_OK;
	level->source_edge[e] = flow_add_edge(level->flow, FLOW_NET_SOURCE,
					      node, solver->supply[e]);
	if (level->source_edge[e] < 0)
		return FLOW_E_MEMORY;
	for (k = solver->first[e]; k < solver->end[e]; k++) {
		int *edge = &level->edge[e * solver->intervals + k];

		if (!solver->unsettled[k])
			continue;
		*edge = flow_add_edge(
			level->flow, node, FLOW_NET_FIRST_INTERVAL + k,
			link_rate * flow_level_layer_count(level, k));
		if (*edge < 0)
			return FLOW_E_MEMORY;
	}
	return FLOW_OK;
}

/* Returns whether a stage is in this component and has any work left. */
static bool flow_level_includes_stage(const struct flow_level *level, int e)
{
	const struct flow_solver *solver = level->solver;

	return solver->component[solver->in->stages[e].data_centre] ==
		       level->component &&
	       solver->supply[e] > 0;
}

/* Returns the number of layers of an interval. */
static double flow_level_layer_count(const struct flow_level *level, int k)
{
	const uint32_t *boundaries = level->solver->net->boundaries;

	return boundaries[k + 1] - boundaries[k];
}

/*
 * Returns how many tokens a second a stage's link allows through one interval.
 * Each stream enters or leaves the stage over its link, unless the stage holds
 * the whole model.
 */
static double flow_level_link_rate(const struct flow_level *level, int e)
{
	const struct flow_stage *stage = &level->solver->in->stages[e];

	if (stage->first_layer == 0 &&
	    stage->end_layer == level->solver->in->layers)
		return FLOW_UNBOUNDED;
	return stage->link_rate;
}

/* Returns the number of layers of the intervals marked in_bottleneck. */
static double flow_level_bottleneck_layers(const struct flow_level *level)
{
	double layers = 0;
	int k;

	for (k = 0; k < level->solver->intervals; k++) {
		if (level->in_bottleneck[k])
			layers += flow_level_layer_count(level, k);
	}
	return layers;
}

/*
 * Finds the maximum rate through the unsettled intervals, and the intervals
 * that limit it.  Starts with all unsettled intervals in the bottleneck and the
 * rate that the whole supply would allow, and lowers it until it is feasible.
 */
void flow_level_solve(struct flow_level *level)
{
	double supply = 0;
	int e;
	int k;

	for (e = 0; e < level->solver->in->stage_count; e++) {
		if (level->source_edge[e] >= 0)
			supply += level->solver->supply[e];
	}
	for (k = 0; k < level->solver->intervals; k++)
		level->in_bottleneck[k] = level->sink_edge[k] >= 0;
	level->rate = supply / flow_level_bottleneck_layers(level);
	while (!flow_level_test_rate(level)) {
		if (!flow_level_lower_rate(level))
			break;
	}
	flow_level_balance(level);
}

/*
 * Divides each stage's work as evenly among the bottleneck's intervals in its
 * range as the rate allows.  Other divisions reach the same rate.  But if a
 * stage does much of the work on one interval and little on the next, streams
 * have to change endpoints between the two.  Their chains become longer, each
 * token takes longer to pass its chain, and more streams are needed to keep the
 * endpoints busy than the endpoints accept at once.
 */
static void flow_level_balance(struct flow_level *level)
{
	static const double max_ratios[] = { 1.01, 1.25, 1.5, 2, 3, 5 };
	size_t i;

	for (i = 0; i < MAG_ARRAY_SIZE(max_ratios); i++) {
		flow_level_set_capacities(level, max_ratios[i]);
		if (flow_level_test_rate(level))
			return;
	}
	flow_level_set_capacities(level, FLOW_UNBOUNDED);
	flow_level_test_rate(level);
}

/*
 * Limits the flow of each stage through an interval to max_ratio times the flow
 * at an even division of its work, and to what its link allows.
 */
static void flow_level_set_capacities(struct flow_level *level,
				      double max_ratio)
{
	struct flow_solver *solver = level->solver;
	int e;
	int k;

	for (e = 0; e < solver->in->stage_count; e++) {
		double link_rate = flow_level_link_rate(level, e);
		double layers = 0;
		double max_rate;

		if (level->source_edge[e] < 0)
			continue;
		for (k = solver->first[e]; k < solver->end[e]; k++)
			layers += level->in_bottleneck[k]
					  ? flow_level_layer_count(level, k)
					  : 0;
		max_rate =
			layers > 0 ? max_ratio * solver->supply[e] / layers : 0;
		if (max_rate > link_rate)
			max_rate = link_rate;
		for (k = solver->first[e]; k < solver->end[e]; k++) {
			int edge = level->edge[e * solver->intervals + k];

			if (edge >= 0)
				flow_set_capacity(
					level->flow, edge,
					max_rate * flow_level_layer_count(level,
									  k));
		}
	}
}

/*
 * Solves the graph for the level's rate.  Returns whether all intervals of the
 * bottleneck get the work that they need for it.
 */
static bool flow_level_test_rate(struct flow_level *level)
{
	double demand = level->rate * flow_level_bottleneck_layers(level);
	int k;

	for (k = 0; k < level->solver->intervals; k++) {
		double rate = level->in_bottleneck[k] ? level->rate : 0;

		if (level->sink_edge[k] >= 0)
			flow_set_capacity(
				level->flow, level->sink_edge[k],
				rate * flow_level_layer_count(level, k));
	}
	flow_reset(level->flow);
	return flow_solve(level->flow, FLOW_NET_SOURCE, FLOW_NET_SINK) >=
	       demand * FLOW_NET_MET_FRACTION;
}

/*
 * Reduces the bottleneck to the intervals behind the minimum cut, and the rate
 * to what the work and the links in the cut allow for these intervals.  Returns
 * false if the rate didn't become lower, which happens through rounding.
 */
static bool flow_level_lower_rate(struct flow_level *level)
{
	struct flow_solver *solver = level->solver;
	double layers = 0;
	double supply = 0;
	double before = level->rate;
	int e;
	int k;

	for (k = 0; k < solver->intervals; k++) {
		level->in_bottleneck[k] =
			level->in_bottleneck[k] &&
			!flow_on_source_side(level->flow,
					     FLOW_NET_FIRST_INTERVAL + k);
		if (level->in_bottleneck[k])
			layers += flow_level_layer_count(level, k);
	}
	for (e = 0; e < solver->in->stage_count; e++) {
		if (level->source_edge[e] < 0)
			continue;
		if (flow_in_cut(level->flow, level->source_edge[e]))
			supply += solver->supply[e];
		for (k = solver->first[e]; k < solver->end[e]; k++) {
			int edge = level->edge[e * solver->intervals + k];

			if (edge >= 0 && flow_in_cut(level->flow, edge))
				supply += flow_edge_capacity(level->flow, edge);
		}
	}
	if (layers > 0)
		level->rate = supply / layers;
	return level->rate < before;
}

/*
 * Settles the intervals of the bottleneck: records their flows, scaled to the
 * given rate, and subtracts the work for them from the supplies.  A stage that
 * has spent all its work takes no part in later levels.
 */
void flow_level_settle(struct flow_level *level, double rate)
{
	struct flow_solver *solver = level->solver;
	double scale = level->rate > 0 ? rate / level->rate : 0;
	int e;
	int k;

	for (e = 0; e < solver->in->stage_count; e++) {
		if (level->source_edge[e] < 0)
			continue;
		for (k = solver->first[e]; k < solver->end[e]; k++) {
			int edge = level->edge[e * solver->intervals + k];
			double used;

			if (edge < 0 || !level->in_bottleneck[k])
				continue;
			used = flow_edge_flow(level->flow, edge);
			solver->supply[e] -= used;
			solver->net->interval_flow[k * solver->in->stage_count +
						   e] =
				scale * used / flow_level_layer_count(level, k);
		}
		if (flow_level_is_exhausted(level, e))
			solver->supply[e] = 0;
	}
	for (k = 0; k < solver->intervals; k++) {
		if (level->in_bottleneck[k])
			solver->unsettled[k] = false;
	}
}

/* Returns whether a stage has no work left, apart from rounding errors. */
static bool flow_level_is_exhausted(const struct flow_level *level, int e)
{
	const struct flow_stage *stage = &level->solver->in->stages[e];
	double total = stage->rate * (stage->end_layer - stage->first_layer);

	return level->solver->supply[e] <= (1 - FLOW_NET_MET_FRACTION) * total;
}

/*
 * Adds the stages that carry flow through the bottleneck's intervals to the
 * network's list, with what limits each: its link if the flow fills the link,
 * otherwise its work.
 */
int flow_level_add_bottlenecks(struct flow_level *level)
{
	struct flow_solver *solver = level->solver;
	struct flow_net *net = solver->net;
	int e;
	int k;

	for (e = 0; e < solver->in->stage_count; e++) {
		for (k = solver->first[e];
		     level->source_edge[e] >= 0 && k < solver->end[e]; k++) {
			int edge = level->edge[e * solver->intervals + k];
			struct flow_bottleneck *bottleneck;
			double flow;

			if (edge < 0 || !level->in_bottleneck[k])
				continue;
			flow = flow_edge_flow(level->flow, edge);
			bottleneck = &net->bottlenecks[net->bottleneck_count];
			bottleneck->kind = FLOW_BOTTLENECK_WORK;
			if (flow >= FLOW_NET_MET_FRACTION *
					    flow_level_link_rate(level, e) *
					    flow_level_layer_count(level, k))
				bottleneck->kind = FLOW_BOTTLENECK_LINK;
			bottleneck->stage = e;
			bottleneck->first_layer = net->boundaries[k];
			bottleneck->end_layer = net->boundaries[k + 1];
			bottleneck->tokens_per_s =
				flow / flow_level_layer_count(level, k);
			net->bottleneck_count += bottleneck->tokens_per_s > 0;
		}
	}
	return FLOW_OK;
}
