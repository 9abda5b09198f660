#include <stdlib.h>
#include <string.h>

#include "flow.h"
#include "flow_net.h"
#include "mag.h"

/* Demands count as met when this part of them is. */
#define FLOW_NET_MET (1 - 1e-6)

/*
 * How the maximum is found.  All of a service's tokens pass each part of the
 * model (the layers between two boundaries), so a flow of F tokens a second
 * asks each part for F times its layers of work, and an endpoint may divide
 * its work between the parts of its range as it likes.  Whether F can be met
 * is a maximum flow of work from endpoints to parts.  If it can't, the
 * minimum cut names the parts that fall short; the work and the links that
 * reach these bound F, and the next try is that bound.  It converges in a
 * few tries.
 *
 * The parts that bind and their endpoints are then settled, and the rest is
 * solved in the same way; its surplus is spread over its endpoints evenly.
 */
struct flow_work {
	const struct flow_net_in *in;
	struct flow_net *net;
	int parts;
	int *from; /* endpoint: its first part, and the part after its last */
	int *to;
	double *supply; /* endpoint: layers times tokens a second left */
	bool *open;	/* part: not settled yet */
	int *group;	/* data centre: the first one that it is joined to */
};

/* One level: the parts still open of one group of data centres. */
struct flow_level {
	struct flow_work *work;
	int group;
	struct flow *flow;
	int *edge;   /* endpoint x parts: edge, or -1 */
	int *source; /* endpoint: edge from the source, or -1 */
	int *sink;   /* part: edge to the sink, or -1 */
	bool *binds; /* part: in the set that bounds the flow */
	double rate; /* tokens a second */
};

enum flow_net_node {
	FLOW_NET_SOURCE,
	FLOW_NET_SINK,
	FLOW_NET_FIRST, /* parts, then endpoints */
};

static int flow_net_bounds(struct flow_net *net, const struct flow_net_in *in);
static int flow_net_order(const void *a, const void *b);
static int flow_net_open(struct flow_work *work);
static void flow_net_close(struct flow_work *work);
static void flow_net_join(struct flow_work *work);
static int flow_net_group(struct flow_work *work, int group);
static int flow_level_open(struct flow_level *level);
static void flow_level_close(struct flow_level *level);
static int flow_level_build(struct flow_level *level);
static int flow_level_stage(struct flow_level *level, int e);
static bool flow_level_has(const struct flow_level *level, int e);
static double flow_level_layers(const struct flow_level *level, int k);
static double flow_level_link(const struct flow_level *level, int e);
static double flow_level_demand(const struct flow_level *level);
static bool flow_level_try(struct flow_level *level);
static bool flow_level_bind(struct flow_level *level);
static void flow_level_solve(struct flow_level *level);
static void flow_level_even(struct flow_level *level);
static void flow_level_spread(struct flow_level *level, double spread);
static void flow_level_settle(struct flow_level *level, double rate);
static bool flow_level_spent(const struct flow_level *level, int e);
static int flow_level_limits(struct flow_level *level);
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

/* Takes the memory of a level and builds its graph. */
static int flow_level_open(struct flow_level *level)
{
	struct flow_work *work = level->work;
	size_t count = (size_t)work->in->count;
	size_t parts = (size_t)work->parts;

	level->flow = flow_new(FLOW_NET_FIRST + (int)(parts + count));
	level->edge = malloc((count * parts + 1) * sizeof(int));
	level->source = malloc((count + 1) * sizeof(int));
	level->sink = malloc((parts + 1) * sizeof(int));
	level->binds = calloc(parts + 1, sizeof(bool));
	if (!level->flow || !level->edge || !level->source || !level->sink ||
	    !level->binds)
		return FLOW_E_MEMORY;
	return flow_level_build(level);
}

/* Frees the memory of a level. */
static void flow_level_close(struct flow_level *level)
{
	flow_free(level->flow);
	free(level->edge);
	free(level->source);
	free(level->sink);
	free(level->binds);
}

/* Adds the edges: source to endpoints, endpoints to parts, parts to sink. */
static int flow_level_build(struct flow_level *level)
{
	struct flow_work *work = level->work;
	int e;
	int k;

	for (k = 0; k < work->parts; k++) {
		level->sink[k] = -1;
		if (!work->open[k])
			continue;
		level->sink[k] = flow_add_edge(level->flow, FLOW_NET_FIRST + k,
					       FLOW_NET_SINK, 0);
		if (level->sink[k] < 0)
			return FLOW_E_MEMORY;
	}
	for (e = 0; e < work->in->count; e++) {
		if (flow_level_stage(level, e) < 0)
			return FLOW_E_MEMORY;
	}
	return FLOW_OK;
}

/* Adds the edges of one endpoint. */
static int flow_level_stage(struct flow_level *level, int e)
{
	struct flow_work *work = level->work;
	int node = FLOW_NET_FIRST + work->parts + e;
	double link = flow_level_link(level, e);
	int k;

	level->source[e] = -1;
	for (k = 0; k < work->parts; k++)
		level->edge[e * work->parts + k] = -1;
	if (!flow_level_has(level, e))
		return FLOW_OK;
	level->source[e] = flow_add_edge(level->flow, FLOW_NET_SOURCE, node,
					 work->supply[e]);
	if (level->source[e] < 0)
		return FLOW_E_MEMORY;
	for (k = work->from[e]; k < work->to[e]; k++) {
		int *edge = &level->edge[e * work->parts + k];

		if (!work->open[k])
			continue;
		*edge = flow_add_edge(level->flow, node, FLOW_NET_FIRST + k,
				      link * flow_level_layers(level, k));
		if (*edge < 0)
			return FLOW_E_MEMORY;
	}
	return FLOW_OK;
}

/* Tells whether an endpoint has work left for this group. */
static bool flow_level_has(const struct flow_level *level, int e)
{
	const struct flow_work *work = level->work;

	return work->group[work->in->stages[e].centre] == level->group &&
	       work->supply[e] > 0;
}

/* Returns the number of layers of a part. */
static double flow_level_layers(const struct flow_level *level, int k)
{
	const uint32_t *bound = level->work->net->bound;

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

	if (stage->first == 0 && stage->end == level->work->in->layers)
		return FLOW_UNBOUNDED;
	return stage->link;
}

/* Returns the layers of the parts that are thought to bind. */
static double flow_level_demand(const struct flow_level *level)
{
	double layers = 0;
	int k;

	for (k = 0; k < level->work->parts; k++) {
		if (level->binds[k])
			layers += flow_level_layers(level, k);
	}
	return layers;
}

/* Finds the most that passes the open parts, and the parts that bind it. */
static void flow_level_solve(struct flow_level *level)
{
	double supply = 0;
	int e;
	int k;

	for (e = 0; e < level->work->in->count; e++) {
		if (level->source[e] >= 0)
			supply += level->work->supply[e];
	}
	for (k = 0; k < level->work->parts; k++)
		level->binds[k] = level->sink[k] >= 0;
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
	struct flow_work *work = level->work;
	int e;
	int k;

	for (e = 0; e < work->in->count; e++) {
		double link = flow_level_link(level, e);
		double layers = 0;
		double most;

		if (level->source[e] < 0)
			continue;
		for (k = work->from[e]; k < work->to[e]; k++)
			layers += level->binds[k] ? flow_level_layers(level, k)
						  : 0;
		most = layers > 0 ? spread * work->supply[e] / layers : 0;
		if (most > link)
			most = link;
		for (k = work->from[e]; k < work->to[e]; k++) {
			int edge = level->edge[e * work->parts + k];

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

	for (k = 0; k < level->work->parts; k++) {
		double rate = level->binds[k] ? level->rate : 0;

		if (level->sink[k] >= 0)
			flow_set_capacity(level->flow, level->sink[k],
					  rate * flow_level_layers(level, k));
	}
	flow_reset(level->flow);
	return flow_solve(level->flow, FLOW_NET_SOURCE, FLOW_NET_SINK) >=
	       wanted * FLOW_NET_MET;
}

/*
 * Lowers the rate to what the work and links that reach the cut allow.
 * Returns false if rounding leaves nothing to lower.
 */
static bool flow_level_bind(struct flow_level *level)
{
	struct flow_work *work = level->work;
	double layers = 0;
	double supply = 0;
	double before = level->rate;
	int e;
	int k;

	for (k = 0; k < work->parts; k++) {
		level->binds[k] =
			level->binds[k] &&
			!flow_reached(level->flow, FLOW_NET_FIRST + k);
		if (level->binds[k])
			layers += flow_level_layers(level, k);
	}
	for (e = 0; e < work->in->count; e++) {
		if (level->source[e] < 0)
			continue;
		if (flow_in_cut(level->flow, level->source[e]))
			supply += work->supply[e];
		for (k = work->from[e]; k < work->to[e]; k++) {
			int edge = level->edge[e * work->parts + k];

			if (edge >= 0 && flow_in_cut(level->flow, edge))
				supply += flow_capacity(level->flow, edge);
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
static void flow_level_settle(struct flow_level *level, double rate)
{
	struct flow_work *work = level->work;
	double scale = level->rate > 0 ? rate / level->rate : 0;
	int e;
	int k;

	for (e = 0; e < work->in->count; e++) {
		if (level->source[e] < 0)
			continue;
		for (k = work->from[e]; k < work->to[e]; k++) {
			int edge = level->edge[e * work->parts + k];
			double done;

			if (edge < 0 || !level->binds[k])
				continue;
			done = flow_on(level->flow, edge);
			work->supply[e] -= done;
			work->net->through[k * work->in->count + e] =
				scale * done / flow_level_layers(level, k);
		}
		if (flow_level_spent(level, e))
			work->supply[e] = 0;
	}
	for (k = 0; k < work->parts; k++) {
		if (level->binds[k])
			work->open[k] = false;
	}
}

/* Tells whether an endpoint has no work left but for rounding. */
static bool flow_level_spent(const struct flow_level *level, int e)
{
	const struct flow_stage *stage = &level->work->in->stages[e];
	double whole = stage->rate * (stage->end - stage->first);

	return level->work->supply[e] <= (1 - FLOW_NET_MET) * whole;
}

/* Notes the work and the links that bind the flow. */
static int flow_level_limits(struct flow_level *level)
{
	struct flow_work *work = level->work;
	struct flow_net *net = work->net;
	int e;
	int k;

	for (e = 0; e < work->in->count; e++) {
		for (k = work->from[e];
		     level->source[e] >= 0 && k < work->to[e]; k++) {
			int edge = level->edge[e * work->parts + k];
			struct flow_limit *limit;
			double on;

			if (edge < 0 || !level->binds[k])
				continue;
			on = flow_on(level->flow, edge);
			limit = &net->limits[net->limit_count];
			limit->kind = FLOW_LIMIT_WORK;
			if (on >= FLOW_NET_MET * flow_level_link(level, e) *
					  flow_level_layers(level, k))
				limit->kind = FLOW_LIMIT_LINK;
			limit->stage = e;
			limit->first = net->bound[k];
			limit->end = net->bound[k + 1];
			limit->tokens_per_s = on / flow_level_layers(level, k);
			net->limit_count += limit->tokens_per_s > 0;
		}
	}
	return FLOW_OK;
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
