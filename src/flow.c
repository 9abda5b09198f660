#include <stdlib.h>
#include <string.h>

#include "flow.h"

/* Residual capacities up to this value count as 0, against rounding errors. */
#define FLOW_EPSILON	  1e-7
#define FLOW_INITIAL_ARCS 64

/* One direction of an edge; the reverse arc's index differs in bit 0. */
struct flow_arc {
	int to;
	int next; /* next arc from the same node, -1 at the end of the list */
	double residual;
	double capacity;
};

struct flow {
	int node_count;
	int arc_count;
	int arcs_allocated;
	struct flow_arc *arcs;
	int *first_arc;	  /* by node: first arc from it, -1 if none */
	int *current_arc; /* by node: arc to try next in the current phase */
	int *level;	  /* by node: arcs from the source, -1 if unreached */
	int *queue;	  /* of the breadth-first search */
};

static int flow_grow_arcs(struct flow *flow);
static void flow_add_arc(struct flow *flow, int from, int to, double capacity);
static bool flow_assign_levels(struct flow *flow, int source, int sink);
static double flow_augment(struct flow *flow, int node, int sink,
			   double max_amount);

/* Creates a graph without edges; returns NULL if out of memory. */
struct flow *flow_new(int nodes)
{
	struct flow *flow = calloc(1, sizeof(*flow));
	size_t size = (size_t)nodes * sizeof(int);

	if (!flow)
		return NULL;
	flow->node_count = nodes;
	flow->first_arc = malloc(size);
	flow->current_arc = malloc(size);
	flow->level = malloc(size);
	flow->queue = malloc(size);
	if (!flow->first_arc || !flow->current_arc || !flow->level ||
	    !flow->queue) {
		flow_free(flow);
		return NULL;
	}
	memset(flow->first_arc, -1, size);
	memset(flow->level, -1, size);
	return flow;
}

/* Frees a graph; NULL is allowed. */
void flow_free(struct flow *flow)
{
	if (!flow)
		return;
	free(flow->arcs);
	free(flow->first_arc);
	free(flow->current_arc);
	free(flow->level);
	free(flow->queue);
	free(flow);
}

/*
 * Adds an edge and returns its number, or FLOW_E_MEMORY.  Flow that was found
 * before is retained, so that a later solve only adds to it.
 */
int flow_add_edge(struct flow *flow, int from, int to, double capacity)
{
	if (flow->arc_count + 2 > flow->arcs_allocated &&
	    flow_grow_arcs(flow) < 0)
		return FLOW_E_MEMORY;
	flow_add_arc(flow, from, to, capacity);
	flow_add_arc(flow, to, from, 0);
	return flow->arc_count / 2 - 1;
}

/*
 * Changes the capacity of an edge.  An increase takes effect with the next
 * solve, which retains the existing flow.  A decrease requires a flow_reset
 * before the next solve.
 */
void flow_set_capacity(struct flow *flow, int edge, double capacity)
{
	struct flow_arc *arc = &flow->arcs[2 * edge];

	arc->residual += capacity - arc->capacity;
	arc->capacity = capacity;
}

/* Sets the flow over all edges to 0. */
void flow_reset(struct flow *flow)
{
	int i;

	for (i = 0; i < flow->arc_count; i++)
		flow->arcs[i].residual = flow->arcs[i].capacity;
}

/*
 * Increases the flow from source to sink to its maximum.  Returns the
 * increase, without the flow that existed before.
 */
double flow_solve(struct flow *flow, int source, int sink)
{
	double total = 0;
	double added;

	while (flow_assign_levels(flow, source, sink)) {
		memcpy(flow->current_arc, flow->first_arc,
		       (size_t)flow->node_count * sizeof(int));
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
	return flow->arcs[2 * edge + 1].residual;
}

/* Returns the capacity of an edge. */
double flow_edge_capacity(const struct flow *flow, int edge)
{
	return flow->arcs[2 * edge].capacity;
}

/*
 * Returns whether a node is on the source's side of the minimum cut that the
 * last solve found.
 */
bool flow_on_source_side(const struct flow *flow, int node)
{
	return flow->level[node] >= 0;
}

/*
 * Returns whether an edge crosses the minimum cut that the last solve found.
 * The edges of the cut limit the flow.
 */
bool flow_in_cut(const struct flow *flow, int edge)
{
	int from = flow->arcs[2 * edge + 1].to;
	int to = flow->arcs[2 * edge].to;

	return flow->level[from] >= 0 && flow->level[to] < 0;
}

/* Doubles the array of arcs. */
static int flow_grow_arcs(struct flow *flow)
{
	int count = flow->arcs_allocated ? 2 * flow->arcs_allocated
					 : FLOW_INITIAL_ARCS;
	struct flow_arc *arcs;

	arcs = realloc(flow->arcs, (size_t)count * sizeof(*arcs));
	if (!arcs)
		return FLOW_E_MEMORY;
	flow->arcs = arcs;
	flow->arcs_allocated = count;
	return FLOW_OK;
}

/* Adds an arc at the head of its node's list. */
static void flow_add_arc(struct flow *flow, int from, int to, double capacity)
{
	struct flow_arc *arc = &flow->arcs[flow->arc_count];

	arc->to = to;
	arc->next = flow->first_arc[from];
	arc->residual = capacity;
	arc->capacity = capacity;
	flow->first_arc[from] = flow->arc_count++;
}

/*
 * Sets each node's level to its distance from the source in arcs, by a
 * breadth-first search.  Returns false if the sink can't be reached.
 */
static bool flow_assign_levels(struct flow *flow, int source, int sink)
{
	int head = 0;
	int tail = 0;

	memset(flow->level, -1, (size_t)flow->node_count * sizeof(int));
	flow->level[source] = 0;
	flow->queue[tail++] = source;
	while (head < tail) {
		int node = flow->queue[head++];
		int i;

		for (i = flow->first_arc[node]; i >= 0;
		     i = flow->arcs[i].next) {
			int to = flow->arcs[i].to;

			if (flow->arcs[i].residual <= FLOW_EPSILON ||
			    flow->level[to] >= 0)
				continue;
			flow->level[to] = flow->level[node] + 1;
			flow->queue[tail++] = to;
		}
	}
	return flow->level[sink] >= 0;
}

/*
 * Pushes at most max_amount of flow from a node to the sink, along arcs that
 * lead to the next level.  Returns the amount that reached the sink.  The
 * recursion is as deep as the graph, a few nodes for each stage.
 */
static double flow_augment(struct flow *flow, int node, int sink,
			   double max_amount)
{
	double pushed = 0;

	if (node == sink)
		return max_amount;
	for (; flow->current_arc[node] >= 0;
	     flow->current_arc[node] =
		     flow->arcs[flow->current_arc[node]].next) {
		int i = flow->current_arc[node];
		struct flow_arc *arc = &flow->arcs[i];
		double amount = max_amount - pushed;
		double added;

		if (arc->residual <= FLOW_EPSILON ||
		    flow->level[arc->to] != flow->level[node] + 1)
			continue;
		if (arc->residual < amount)
			amount = arc->residual;
		added = flow_augment(flow, arc->to, sink, amount);
		arc->residual -= added;
		flow->arcs[i ^ 1].residual += added;
		pushed += added;
		if (pushed >= max_amount - FLOW_EPSILON)
			break;
	}
	return pushed;
}
