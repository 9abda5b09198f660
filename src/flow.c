#include <stdlib.h>
#include <string.h>

#include "flow.h"

/* Residual capacities below this count as none, against rounding. */
#define FLOW_EPSILON	1e-7
#define FLOW_FIRST_ROOM 64

/* One direction of an edge; its reverse is at the index with bit 0 flipped. */
struct flow_arc {
	int to;
	int next; /* next arc out of the same node, -1 ends the list */
	double residual;
	double capacity;
};

struct flow {
	int nodes;
	int arcs;
	int room;
	struct flow_arc *arc;
	int *first;   /* node: first arc out of it */
	int *current; /* node: arc to try next, within one phase */
	int *level;   /* node: hops from the source, -1 if unreached */
	int *queue;
};

static int flow_grow(struct flow *flow);
static void flow_push_arc(struct flow *flow, int from, int to, double capacity);
static bool flow_levels(struct flow *flow, int source, int sink);
static double flow_augment(struct flow *flow, int node, int sink,
			   double wanted);

/* Makes a graph without edges; NULL if memory is short. */
struct flow *flow_new(int nodes)
{
	struct flow *flow = calloc(1, sizeof(*flow));
	size_t size = (size_t)nodes * sizeof(int);

	if (!flow)
		return NULL;
	flow->nodes = nodes;
	flow->first = malloc(size);
	flow->current = malloc(size);
	flow->level = malloc(size);
	flow->queue = malloc(size);
	if (!flow->first || !flow->current || !flow->level || !flow->queue) {
		flow_free(flow);
		return NULL;
	}
	memset(flow->first, -1, size);
	memset(flow->level, -1, size);
	return flow;
}

/* Frees a graph; NULL is allowed. */
void flow_free(struct flow *flow)
{
	if (!flow)
		return;
	free(flow->arc);
	free(flow->first);
	free(flow->current);
	free(flow->level);
	free(flow->queue);
	free(flow);
}

/*
 * Adds an edge and returns its number, or FLOW_E_MEMORY.  Flow that has been
 * solved already stays, so that a later solve only adds to it.
 */
int flow_add_edge(struct flow *flow, int from, int to, double capacity)
{
	if (flow->arcs + 2 > flow->room && flow_grow(flow) < 0)
		return FLOW_E_MEMORY;
	flow_push_arc(flow, from, to, capacity);
	flow_push_arc(flow, to, from, 0);
	return flow->arcs / 2 - 1;
}

/*
 * Changes a capacity.  A raise takes effect with the next solve, which keeps
 * the flow so far; a cut asks for flow_reset first.
 */
void flow_set_capacity(struct flow *flow, int edge, double capacity)
{
	struct flow_arc *arc = &flow->arc[2 * edge];

	arc->residual += capacity - arc->capacity;
	arc->capacity = capacity;
}

/* Takes all flow out of the graph. */
void flow_reset(struct flow *flow)
{
	int i;

	for (i = 0; i < flow->arcs; i++)
		flow->arc[i].residual = flow->arc[i].capacity;
}

/*
 * Raises the flow from source to sink to its maximum.  Returns what it added
 * to the flow that the graph held before.
 */
double flow_solve(struct flow *flow, int source, int sink)
{
	double total = 0;
	double added;

	while (flow_levels(flow, source, sink)) {
		memcpy(flow->current, flow->first,
		       (size_t)flow->nodes * sizeof(int));
		do {
			added = flow_augment(flow, source, sink,
					     FLOW_UNBOUNDED);
			total += added;
		} while (added > 0);
	}
	return total;
}

/* Returns the flow over an edge. */
double flow_edge_flow(const struct flow *flow, int edge)
{
	return flow->arc[2 * edge + 1].residual;
}

/* Returns the capacity of an edge. */
double flow_edge_capacity(const struct flow *flow, int edge)
{
	return flow->arc[2 * edge].capacity;
}

/* Tells whether a node is on the source's side of the minimum cut. */
bool flow_on_source_side(const struct flow *flow, int node)
{
	return flow->level[node] >= 0;
}

/*
 * Tells whether an edge crosses the minimum cut that the last solve found:
 * these are the edges that bind the flow.
 */
bool flow_in_cut(const struct flow *flow, int edge)
{
	int from = flow->arc[2 * edge + 1].to;
	int to = flow->arc[2 * edge].to;

	return flow->level[from] >= 0 && flow->level[to] < 0;
}

/* Doubles the room for arcs. */
static int flow_grow(struct flow *flow)
{
	int room = flow->room ? 2 * flow->room : FLOW_FIRST_ROOM;
	struct flow_arc *arc;

	arc = realloc(flow->arc, (size_t)room * sizeof(*arc));
	if (!arc)
		return FLOW_E_MEMORY;
	flow->arc = arc;
	flow->room = room;
	return FLOW_OK;
}

/* Puts one arc in front of its node's list. */
static void flow_push_arc(struct flow *flow, int from, int to, double capacity)
{
	struct flow_arc *arc = &flow->arc[flow->arcs];

	arc->to = to;
	arc->next = flow->first[from];
	arc->residual = capacity;
	arc->capacity = capacity;
	flow->first[from] = flow->arcs++;
}

/* Numbers the nodes by hops from the source; false if it can't reach sink. */
static bool flow_levels(struct flow *flow, int source, int sink)
{
	int head = 0;
	int tail = 0;

	memset(flow->level, -1, (size_t)flow->nodes * sizeof(int));
	flow->level[source] = 0;
	flow->queue[tail++] = source;
	while (head < tail) {
		int node = flow->queue[head++];
		int i;

		for (i = flow->first[node]; i >= 0; i = flow->arc[i].next) {
			int to = flow->arc[i].to;

			if (flow->arc[i].residual <= FLOW_EPSILON ||
			    flow->level[to] >= 0)
				continue;
			flow->level[to] = flow->level[node] + 1;
			flow->queue[tail++] = to;
		}
	}
	return flow->level[sink] >= 0;
}

/*
 * Pushes flow from a node towards the sink along rising levels.  Its depth
 * is that of the graph, a few nodes a stage.  Returns what reached the sink.
 */
static double flow_augment(struct flow *flow, int node, int sink, double wanted)
{
	double sent = 0;

	if (node == sink)
		return wanted;
	for (; flow->current[node] >= 0;
	     flow->current[node] = flow->arc[flow->current[node]].next) {
		int i = flow->current[node];
		struct flow_arc *arc = &flow->arc[i];
		double most = wanted - sent;
		double got;

		if (arc->residual <= FLOW_EPSILON ||
		    flow->level[arc->to] != flow->level[node] + 1)
			continue;
		if (arc->residual < most)
			most = arc->residual;
		got = flow_augment(flow, arc->to, sink, most);
		arc->residual -= got;
		flow->arc[i ^ 1].residual += got;
		sent += got;
		if (sent >= wanted - FLOW_EPSILON)
			break;
	}
	return sent;
}
