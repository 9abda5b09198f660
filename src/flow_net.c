#include <stdlib.h>
#include <string.h>

#include "flow_int.h"

static int flow_net_collect_boundaries(struct flow_net *net,
				       const struct flow_net_input *in);
static int flow_net_compare_layers(const void *a, const void *b);
static int flow_net_solver_init(struct flow_solver *solver);
static void flow_net_solver_free(struct flow_solver *solver);
static void flow_net_find_components(struct flow_solver *solver);
static int flow_net_solve_component(struct flow_solver *solver, int component);
static void flow_net_set_flows(struct flow_solver *solver);
static void flow_net_set_cross_flow(struct flow_solver *solver, int k,
				    double *outflow, double *inflow);

/*
 * Solves a service's network.  Returns the result, which the caller frees with
 * flow_net_free, or NULL if out of memory.
 */
struct flow_net *flow_net_solve(const struct flow_net_input *in)
{
	struct flow_solver solver = { .in = in };
	int err = FLOW_E_MEMORY;
	int i;

	solver.net = calloc(1, sizeof(*solver.net));
	if (solver.net)
		err = flow_net_solver_init(&solver);
	for (i = 0; !err && i < in->data_centre_count; i++) {
		if (solver.component[i] == i)
			err = flow_net_solve_component(&solver, i);
	}
	if (!err)
		flow_net_set_flows(&solver);
	flow_net_solver_free(&solver);
	if (!err)
		return solver.net;
	flow_net_free(solver.net);
	return NULL;
}

/* Returns only the value of the maximum flow, or 0 if out of memory. */
double flow_net_max_flow(const struct flow_net_input *in)
{
	struct flow_net *net = flow_net_solve(in);
	double max_flow = net ? net->max_flow : 0;

	flow_net_free(net);
	return max_flow;
}

/* Frees a network; NULL is allowed. */
void flow_net_free(struct flow_net *net)
{
	if (!net)
		return;
	free(net->boundaries);
	free(net->interval_flow);
	free(net->inflow);
	free(net->outflow);
	free(net->cross_flow);
	free(net->bottlenecks);
	free(net);
}

/* Returns the index of the boundary before a layer, or -1 if there is none. */
int flow_net_find_boundary(const struct flow_net *net, uint32_t layer)
{
	int low = 0;
	int high = net->boundary_count - 1;

	while (low <= high) {
		int mid = (low + high) / 2;

		if (net->boundaries[mid] == layer)
			return mid;
		if (net->boundaries[mid] < layer)
			low = mid + 1;
		else
			high = mid - 1;
	}
	return -1;
}

/* Collects the boundaries at which any range starts or ends, sorted. */
static int flow_net_collect_boundaries(struct flow_net *net,
				       const struct flow_net_input *in)
{
	int count = 0;
	int i;

	net->boundaries = calloc((size_t)in->stage_count * 2 + 2,
				 sizeof(*net->boundaries));
	if (!net->boundaries)
		return FLOW_E_MEMORY;
	net->boundaries[count++] = 0;
	net->boundaries[count++] = in->layers;
	for (i = 0; i < in->stage_count; i++) {
		net->boundaries[count++] = in->stages[i].first_layer;
		net->boundaries[count++] = in->stages[i].end_layer;
	}
	qsort(net->boundaries, (size_t)count, sizeof(*net->boundaries),
	      flow_net_compare_layers);
	for (i = 0; i < count; i++) {
		if (net->boundary_count == 0 ||
		    net->boundaries[net->boundary_count - 1] !=
			    net->boundaries[i])
			net->boundaries[net->boundary_count++] =
				net->boundaries[i];
	}
	return FLOW_OK;
}

/* Compares two layer numbers for qsort. */
static int flow_net_compare_layers(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

/* Allocates the solver's arrays and those of the network, and fills them. */
static int flow_net_solver_init(struct flow_solver *solver)
{
	const struct flow_net_input *in = solver->in;
	struct flow_net *net = solver->net;
	size_t cells;
	int e;

	if (flow_net_collect_boundaries(net, in) < 0)
		return FLOW_E_MEMORY;
	net->stage_count = in->stage_count;
	solver->intervals = net->boundary_count - 1;
	cells = (size_t)net->boundary_count * in->stage_count + 1;
	net->interval_flow = calloc(cells, sizeof(double));
	net->inflow = calloc(cells, sizeof(double));
	net->outflow = calloc(cells, sizeof(double));
	net->bottlenecks = calloc(cells, sizeof(*net->bottlenecks));
	net->cross_flow =
		calloc((size_t)net->boundary_count * in->data_centre_count *
				       in->data_centre_count +
			       1,
		       sizeof(double));
	solver->first = calloc((size_t)in->stage_count + 1, sizeof(int));
	solver->end = calloc((size_t)in->stage_count + 1, sizeof(int));
	solver->supply = calloc((size_t)in->stage_count + 1, sizeof(double));
	solver->unsettled = calloc((size_t)solver->intervals + 1, sizeof(bool));
	solver->component =
		calloc((size_t)in->data_centre_count + 1, sizeof(int));
	if (!net->interval_flow || !net->inflow || !net->outflow ||
	    !net->bottlenecks || !net->cross_flow || !solver->first ||
	    !solver->end || !solver->supply || !solver->unsettled ||
	    !solver->component)
		return FLOW_E_MEMORY;
	for (e = 0; e < in->stage_count; e++) {
		const struct flow_stage *stage = &in->stages[e];

		solver->first[e] =
			flow_net_find_boundary(net, stage->first_layer);
		solver->end[e] = flow_net_find_boundary(net, stage->end_layer);
		solver->supply[e] =
			stage->rate * (stage->end_layer - stage->first_layer);
	}
	flow_net_find_components(solver);
	return FLOW_OK;
}

/* Frees the solver's arrays, but not the network. */
static void flow_net_solver_free(struct flow_solver *solver)
{
	free(solver->first);
	free(solver->end);
	free(solver->supply);
	free(solver->unsettled);
	free(solver->component);
}

/*
 * Finds the connected components of the data centres, where an edge means that
 * activations can be sent between two of them.
 */
static void flow_net_find_components(struct flow_solver *solver)
{
	int count = solver->in->data_centre_count;
	bool changed = true;
	int a;
	int b;

	for (a = 0; a < count; a++)
		solver->component[a] = a;
	while (changed) {
		changed = false;
		for (a = 0; a < count; a++) {
			for (b = 0; b < count; b++) {
				if (!solver->in->reachable[a * count + b] ||
				    solver->component[b] <=
					    solver->component[a])
					continue;
				solver->component[b] = solver->component[a];
				changed = true;
			}
		}
	}
}

/*
 * Solves one component of data centres, level by level.  The first level
 * limits the flow.  The intervals of the later levels could carry more, so
 * their flows are scaled down to the rate of the first level.
 */
static int flow_net_solve_component(struct flow_solver *solver, int component)
{
	double rate = -1;
	int unsettled = solver->intervals;
	int err = FLOW_OK;
	int k;

	for (k = 0; k < solver->intervals; k++)
		solver->unsettled[k] = true;
	while (unsettled > 0 && !err && rate != 0) {
		struct flow_level level = { .solver = solver,
					    .component = component };

		err = flow_level_init(&level);
		if (!err) {
			flow_level_solve(&level);
			if (rate < 0) {
				rate = level.rate;
				solver->net->max_flow += rate;
				err = flow_level_add_bottlenecks(&level);
			}
			flow_level_settle(&level, rate);
		}
		flow_level_free(&level);
		unsettled = 0;
		for (k = 0; k < solver->intervals; k++)
			unsettled += solver->unsettled[k];
	}
	return err;
}

/*
 * Computes the flow that enters and leaves each stage at each boundary.  Where
 * a stage carries flow through two adjacent intervals, as much of it as
 * possible stays on the stage, and only the difference enters or leaves.
 */
static void flow_net_set_flows(struct flow_solver *solver)
{
	struct flow_net *net = solver->net;
	double *outflow = calloc((size_t)solver->in->data_centre_count + 1,
				 sizeof(double));
	double *inflow = calloc((size_t)solver->in->data_centre_count + 1,
				sizeof(double));
	int e;
	int k;

	for (k = 0; k < net->boundary_count; k++) {
		for (e = 0; e < net->stage_count; e++) {
			double before = 0;
			double after = 0;

			if (k > 0)
				before = net->interval_flow
						 [(k - 1) * net->stage_count +
						  e];
			if (k < solver->intervals)
				after = net->interval_flow
						[k * net->stage_count + e];
			if (after > before)
				net->inflow[k * net->stage_count + e] =
					after - before;
			else
				net->outflow[k * net->stage_count + e] =
					before - after;
		}
		if (outflow && inflow && k > 0 && k < solver->intervals)
			flow_net_set_cross_flow(solver, k, outflow, inflow);
	}
	free(outflow);
	free(inflow);
}

/*
 * Divides the flow that changes stages at a boundary among the data centres.
 * As much as possible stays in its data centre.  The rest goes to the other
 * data centres of the component, in proportion to their remaining inflow.
 * outflow and inflow are scratch arrays with one entry for each data centre.
 */
static void flow_net_set_cross_flow(struct flow_solver *solver, int k,
				    double *outflow, double *inflow)
{
	const struct flow_net_input *in = solver->in;
	struct flow_net *net = solver->net;
	double *cross_flow = &net->cross_flow[k * in->data_centre_count *
					      in->data_centre_count];
	int a;
	int b;
	int e;

	memset(outflow, 0, (size_t)in->data_centre_count * sizeof(*outflow));
	memset(inflow, 0, (size_t)in->data_centre_count * sizeof(*inflow));
	for (e = 0; e < net->stage_count; e++) {
		int data_centre = in->stages[e].data_centre;

		outflow[data_centre] += net->outflow[k * net->stage_count + e];
		inflow[data_centre] += net->inflow[k * net->stage_count + e];
	}
	for (a = 0; a < in->data_centre_count; a++) {
		double local = outflow[a] < inflow[a] ? outflow[a] : inflow[a];

		outflow[a] -= local;
		inflow[a] -= local;
	}
	for (a = 0; a < in->data_centre_count; a++) {
		double remaining = 0;

		for (b = 0; b < in->data_centre_count; b++)
			remaining +=
				solver->component[a] == solver->component[b]
					? inflow[b]
					: 0;
		for (b = 0; remaining > 0 && b < in->data_centre_count; b++) {
			if (solver->component[a] == solver->component[b])
				cross_flow[a * in->data_centre_count + b] =
					outflow[a] * inflow[b] / remaining;
		}
	}
}
