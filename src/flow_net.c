#include <stdlib.h>
#include <string.h>

#include "flow_int.h"

static int flow_net_bounds(struct flow_net *net, const struct flow_net_in *in);
static int flow_net_order(const void *a, const void *b);
static int flow_net_open(struct flow_work *work);
static void flow_net_close(struct flow_work *work);
static void flow_net_join(struct flow_work *work);
static int flow_net_group(struct flow_work *work, int group);
static void flow_net_read(struct flow_work *work);
static void flow_net_cross(struct flow_work *work, int k, double *out,
			   double *into);

/*
 * Solves a service's graph.  Returns the network, to be freed with
 * flow_net_free, or NULL if memory is short.
 */
struct flow_net *flow_net_solve(const struct flow_net_in *in)
{
	struct flow_work work = { .in = in };
	int err = FLOW_E_MEMORY;
	int i;

	work.net = calloc(1, sizeof(*work.net));
	if (work.net)
		err = flow_net_open(&work);
	for (i = 0; !err && i < in->centres; i++) {
		if (work.group[i] == i)
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
double flow_net_value(const struct flow_net_in *in)
{
	struct flow_net *net = flow_net_solve(in);
	double value = net ? net->value : 0;

	flow_net_free(net);
	return value;
}

/* Frees a network; NULL is allowed. */
void flow_net_free(struct flow_net *net)
{
	if (!net)
		return;
	free(net->bound);
	free(net->through);
	free(net->enter);
	free(net->leave);
	free(net->cross);
	free(net->limits);
	free(net);
}

/* Returns the number of the boundary before a layer, -1 if it is none. */
int flow_net_bound(const struct flow_net *net, uint32_t layer)
{
	int low = 0;
	int high = net->bounds - 1;

	while (low <= high) {
		int mid = (low + high) / 2;

		if (net->bound[mid] == layer)
			return mid;
		if (net->bound[mid] < layer)
			low = mid + 1;
		else
			high = mid - 1;
	}
	return -1;
}

/* Collects the boundaries at which any range starts or ends. */
static int flow_net_bounds(struct flow_net *net, const struct flow_net_in *in)
{
	int count = 0;
	int i;

	net->bound = calloc((size_t)in->count * 2 + 2, sizeof(*net->bound));
	if (!net->bound)
		return FLOW_E_MEMORY;
	net->bound[count++] = 0;
	net->bound[count++] = in->layers;
	for (i = 0; i < in->count; i++) {
		net->bound[count++] = in->stages[i].first;
		net->bound[count++] = in->stages[i].end;
	}
	qsort(net->bound, (size_t)count, sizeof(*net->bound), flow_net_order);
	for (i = 0; i < count; i++) {
		if (net->bounds == 0 ||
		    net->bound[net->bounds - 1] != net->bound[i])
			net->bound[net->bounds++] = net->bound[i];
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
static int flow_net_open(struct flow_work *work)
{
	const struct flow_net_in *in = work->in;
	struct flow_net *net = work->net;
	size_t cells;
	int e;

	if (flow_net_bounds(net, in) < 0)
		return FLOW_E_MEMORY;
	net->count = in->count;
	work->parts = net->bounds - 1;
	cells = (size_t)net->bounds * in->count + 1;
	net->through = calloc(cells, sizeof(double));
	net->enter = calloc(cells, sizeof(double));
	net->leave = calloc(cells, sizeof(double));
	net->limits = calloc(cells, sizeof(*net->limits));
	net->cross = calloc((size_t)net->bounds * in->centres * in->centres + 1,
			    sizeof(double));
	work->from = calloc((size_t)in->count + 1, sizeof(int));
	work->to = calloc((size_t)in->count + 1, sizeof(int));
	work->supply = calloc((size_t)in->count + 1, sizeof(double));
	work->open = calloc((size_t)work->parts + 1, sizeof(bool));
	work->group = calloc((size_t)in->centres + 1, sizeof(int));
	if (!net->through || !net->enter || !net->leave || !net->limits ||
	    !net->cross || !work->from || !work->to || !work->supply ||
	    !work->open || !work->group)
		return FLOW_E_MEMORY;
	for (e = 0; e < in->count; e++) {
		const struct flow_stage *stage = &in->stages[e];

		work->from[e] = flow_net_bound(net, stage->first);
		work->to[e] = flow_net_bound(net, stage->end);
		work->supply[e] = stage->rate * (stage->end - stage->first);
	}
	flow_net_join(work);
	return FLOW_OK;
}

/* Frees what only the solving needs. */
static void flow_net_close(struct flow_work *work)
{
	free(work->from);
	free(work->to);
	free(work->supply);
	free(work->open);
	free(work->group);
}

/* Groups the data centres that activations can pass between. */
static void flow_net_join(struct flow_work *work)
{
	int centres = work->in->centres;
	bool changed = true;
	int a;
	int b;

	for (a = 0; a < centres; a++)
		work->group[a] = a;
	while (changed) {
		changed = false;
		for (a = 0; a < centres; a++) {
			for (b = 0; b < centres; b++) {
				if (!work->in->joined[a * centres + b] ||
				    work->group[b] <= work->group[a])
					continue;
				work->group[b] = work->group[a];
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
static int flow_net_group(struct flow_work *work, int group)
{
	double rate = -1;
	int left = work->parts;
	int err = FLOW_OK;
	int k;

	for (k = 0; k < work->parts; k++)
		work->open[k] = true;
	while (left > 0 && !err && rate != 0) {
		struct flow_level level = { .work = work, .group = group };

		err = flow_level_open(&level);
		if (!err) {
			flow_level_solve(&level);
			if (rate < 0) {
				rate = level.rate;
				work->net->value += rate;
				err = flow_level_limits(&level);
			}
			flow_level_settle(&level, rate);
		}
		flow_level_close(&level);
		left = 0;
		for (k = 0; k < work->parts; k++)
			left += work->open[k];
	}
	return err;
}

/*
 * Reads where streams go in and come out.  Of the flow through two parts
 * that lie side by side on one endpoint, as much as possible stays on it.
 */
static void flow_net_read(struct flow_work *work)
{
	struct flow_net *net = work->net;
	double *out = calloc((size_t)work->in->centres + 1, sizeof(double));
	double *into = calloc((size_t)work->in->centres + 1, sizeof(double));
	int e;
	int k;

	for (k = 0; k < net->bounds; k++) {
		for (e = 0; e < net->count; e++) {
			double before = 0;
			double after = 0;

			if (k > 0)
				before = net->through[(k - 1) * net->count + e];
			if (k < work->parts)
				after = net->through[k * net->count + e];
			if (after > before)
				net->enter[k * net->count + e] = after - before;
			else
				net->leave[k * net->count + e] = before - after;
		}
		if (out && into && k > 0 && k < work->parts)
			flow_net_cross(work, k, out, into);
	}
	free(out);
	free(into);
}

/*
 * Divides the flow that changes endpoint at a boundary: as much as possible
 * stays within its data centre, the rest goes where there is need of it.
 */
static void flow_net_cross(struct flow_work *work, int k, double *out,
			   double *into)
{
	const struct flow_net_in *in = work->in;
	struct flow_net *net = work->net;
	double *cross = &net->cross[k * in->centres * in->centres];
	int a;
	int b;
	int e;

	memset(out, 0, (size_t)in->centres * sizeof(*out));
	memset(into, 0, (size_t)in->centres * sizeof(*into));
	for (e = 0; e < net->count; e++) {
		int centre = in->stages[e].centre;

		out[centre] += net->leave[k * net->count + e];
		into[centre] += net->enter[k * net->count + e];
	}
	for (a = 0; a < in->centres; a++) {
		double stay = out[a] < into[a] ? out[a] : into[a];

		out[a] -= stay;
		into[a] -= stay;
	}
	for (a = 0; a < in->centres; a++) {
		double need = 0;

		for (b = 0; b < in->centres; b++)
			need += work->group[a] == work->group[b] ? into[b] : 0;
		for (b = 0; need > 0 && b < in->centres; b++) {
			if (work->group[a] == work->group[b])
				cross[a * in->centres + b] =
					out[a] * into[b] / need;
		}
	}
}
