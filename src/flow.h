#ifndef FLOW_H
#define FLOW_H

/*
 * Maximum flow in a directed graph with edge capacities, by Dinic's algorithm.
 * Nodes are numbered from 0, edges in the order in which they are added.
 * Capacities and flows have the same unit; flow_level.c uses layers times
 * tokens a second.
 */

#include <stdbool.h>

/* Capacity of an edge that doesn't restrict the flow. */
#define FLOW_UNBOUNDED 1e18

enum flow_err {
	FLOW_OK = 0,
	FLOW_E_MEMORY = -1,
};

struct flow;

struct flow *flow_new(int nodes);
void flow_free(struct flow *flow);
int flow_add_edge(struct flow *flow, int from, int to, double capacity);
void flow_set_capacity(struct flow *flow, int edge, double capacity);
void flow_reset(struct flow *flow);
double flow_solve(struct flow *flow, int source, int sink);
double flow_edge_flow(const struct flow *flow, int edge);
double flow_edge_capacity(const struct flow *flow, int edge);
bool flow_on_source_side(const struct flow *flow, int node);
bool flow_in_cut(const struct flow *flow, int edge);

#endif /* FLOW_H */
