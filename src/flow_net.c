#include <stdlib.h>
#include <string.h>

#include "flow_int.h"

static int flow_net_bounds(struct flow_net *net,
			   const struct flow_net_input *in);
static int flow_net_order(const void *a, const void *b);
static int flow_net_open(struct flow_solver *work);
static void flow_net_close(struct flow_solver *work);
static void flow_net_join(struct flow_solver *work);
static int flow_net_group(struct flow_solver *work, int group);
static void flow_net_read(struct flow_solver *work);
static void flow_net_cross(struct flow_solver *work, int k, double *out,
			   double *into);

/*
 * Solves a service's graph.  Returns the network, to be freed with
 * flow_net_free, or NULL if memory is short.
 */
struct flow_net *flow_net_solve(const struct flow_net_input *in)
{
	struct flow_solver work = { .in = in };
	int err = FLOW_E_MEMORY;
	int i;

	work.net = calloc(1, sizeof(*work.net));
	if (work.net)
		err = flow_net_open(&work);
	for (i = 0; !err && i < in->data_centre_count; i++) {
		if (work.component[i] == i)
			err = flow_net_group(&work, i);
	}
	if (!err)
		flow_net_read(&work);
	flow_net_close(&work);
	if (!err)
		return work.net;
	flow_net_free(work.net);
	return NULL;
}

/* Returns only the value of the maximum flow, 0 if memory is short. */
double flow_net_max_flow(const struct flow_net_input *in)
{
	struct flow_net *net = flow_net_solve(in);
	double value = net ? net->max_flow : 0;

	flow_net_free(net);
	return value;
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

/* Returns the number of the boundary before a layer, -1 if it is none. */
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

/* Collects the boundaries at which any range starts or ends. */
static int flow_net_bounds(struct flow_net *net,
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
	      flow_net_order);
	for (i = 0; i < count; i++) {
		if (net->boundary_count == 0 ||
		    net->boundaries[net->boundary_count - 1] !=
			    net->boundaries[i])
			net->boundaries[net->boundary_count++] =
				net->boundaries[i];
	}
	return FLOW_OK;
}

/* Orders layer numbers for qsort. */
static int flow_net_order(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

/* Takes the memory for solving and for the network. */
static int flow_net_open(struct flow_solver *work)
{
	const struct flow_net_input *in = work->in;
	struct flow_net *net = work->net;
	size_t cells;
	int e;

	if (flow_net_bounds(net, in) < 0)
		return FLOW_E_MEMORY;
	net->stage_count = in->stage_count;
	work->intervals = net->boundary_count - 1;
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
	work->first = calloc((size_t)in->stage_count + 1, sizeof(int));
	work->end = calloc((size_t)in->stage_count + 1, sizeof(int));
	work->supply = calloc((size_t)in->stage_count + 1, sizeof(double));
	work->unsettled = calloc((size_t)work->intervals + 1, sizeof(bool));
	work->component =
		calloc((size_t)in->data_centre_count + 1, sizeof(int));
	if (!net->interval_flow || !net->inflow || !net->outflow ||
	    !net->bottlenecks || !net->cross_flow || !work->first ||
	    !work->end || !work->supply || !work->unsettled || !work->component)
		return FLOW_E_MEMORY;
	for (e = 0; e < in->stage_count; e++) {
		const struct flow_stage *stage = &in->stages[e];

		work->first[e] =
			flow_net_find_boundary(net, stage->first_layer);
		work->end[e] = flow_net_find_boundary(net, stage->end_layer);
		work->supply[e] =
			stage->rate * (stage->end_layer - stage->first_layer);
	}
	flow_net_join(work);
	return FLOW_OK;
}

/* Frees what only the solving needs. */
static void flow_net_close(struct flow_solver *work)
{
	free(work->first);
	free(work->end);
	free(work->supply);
	free(work->unsettled);
	free(work->component);
}

/* Groups the data centres that activations can pass between. */
static void flow_net_join(struct flow_solver *work)
{
	int centres = work->in->data_centre_count;
	bool changed = true;
	int a;
	int b;

	for (a = 0; a < centres; a++)
		work->component[a] = a;
	while (changed) {
		changed = false;
		for (a = 0; a < centres; a++) {
			for (b = 0; b < centres; b++) {
				if (!work->in->reachable[a * centres + b] ||
				    work->component[b] <= work->component[a])
					continue;
				work->component[b] = work->component[a];
				changed = true;
			}
		}
	}
}

/*
 * Solves one group of data centres level by level.  The first level bounds
 * the flow; at the others more could pass, so what they carry is scaled
 * down to the first's.
 */
static int flow_net_group(struct flow_solver *work, int group)
{
	double rate = -1;
	int left = work->intervals;
	int err = FLOW_OK;
	int k;

	for (k = 0; k < work->intervals; k++)
		work->unsettled[k] = true;
	while (left > 0 && !err && rate != 0) {
		struct flow_level level = { .work = work, .component = group };

		err = flow_level_init(&level);
		if (!err) {
			flow_level_solve(&level);
			if (rate < 0) {
				rate = level.rate;
				work->net->max_flow += rate;
				err = flow_level_add_bottlenecks(&level);
			}
			flow_level_settle(&level, rate);
		}
		flow_level_free(&level);
		left = 0;
		for (k = 0; k < work->intervals; k++)
			left += work->unsettled[k];
	}
	return err;
}

/*
 * Reads where streams go in and come out.  Of the flow through two parts
 * that lie side by side on one endpoint, as much as possible stays on it.
 */
static void flow_net_read(struct flow_solver *work)
{
	struct flow_net *net = work->net;
	double *out =
		calloc((size_t)work->in->data_centre_count + 1, sizeof(double));
	double *into =
		calloc((size_t)work->in->data_centre_count + 1, sizeof(double));
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
			if (k < work->intervals)
				after = net->interval_flow
						[k * net->stage_count + e];
			if (after > before)
				net->inflow[k * net->stage_count + e] =
					after - before;
			else
				net->outflow[k * net->stage_count + e] =
					before - after;
		}
		if (out && into && k > 0 && k < work->intervals)
			flow_net_cross(work, k, out, into);
	}
	free(out);
	free(into);
}

/*
 * Divides the flow that changes endpoint at a boundary: as much as possible
 * stays within its data centre, the rest goes where there is need of it.
 */
static void flow_net_cross(struct flow_solver *work, int k, double *out,
			   double *into)
{
	const struct flow_net_input *in = work->in;
	struct flow_net *net = work->net;
	double *cross = &net->cross_flow[k * in->data_centre_count *
					 in->data_centre_count];
	int a;
	int b;
	int e;

	memset(out, 0, (size_t)in->data_centre_count * sizeof(*out));
	memset(into, 0, (size_t)in->data_centre_count * sizeof(*into));
	for (e = 0; e < net->stage_count; e++) {
		int centre = in->stages[e].data_centre;

		out[centre] += net->outflow[k * net->stage_count + e];
		into[centre] += net->inflow[k * net->stage_count + e];
	}
	for (a = 0; a < in->data_centre_count; a++) {
		double stay = out[a] < into[a] ? out[a] : into[a];

		out[a] -= stay;
		into[a] -= stay;
	}
	for (a = 0; a < in->data_centre_count; a++) {
		double need = 0;

		for (b = 0; b < in->data_centre_count; b++)
			need += work->component[a] == work->component[b]
					? into[b]
					: 0;
		for (b = 0; need > 0 && b < in->data_centre_count; b++) {
			if (work->component[a] == work->component[b])
				cross[a * in->data_centre_count + b] =
					out[a] * into[b] / need;
		}
	}
}
