#ifndef FLOW_INT_H
#define FLOW_INT_H

/* Shared by flow_net.c and flow_level.c; not included by other modules. */

#include "flow.h"
#include "flow_net.h"

/* A demand counts as met if at least this fraction of it is met. */
#define FLOW_NET_MET_FRACTION (1 - 1e-6)

/*
 * The maximum is found as follows.  Every token of a service passes every
 * interval, that is, the layers between two adjacent boundaries.  A flow of F
 * tokens a second therefore demands from each interval F times its number of
 * layers as work, in layers times tokens a second.  A stage may divide its work
 * among the intervals of its range in any proportion.  Whether F is feasible is
 * a maximum flow problem: work flows from stages to intervals.  If F is not
 * feasible, the minimum cut gives the intervals whose demand is not met.  The
 * work and the links that are available to these intervals limit F, and the
 * next F to test is that limit.  This converges after a few iterations.
 *
 * The flow through the intervals that limit F is then final: these intervals
 * are settled.  The other intervals are solved in the same way with the work
 * that remains, so that their surplus is spread evenly over their stages.  Each
 * of these steps is called a level.
 *
 * In this module's code e is the index of a stage, and k that of a boundary
 * or of the interval that begins at it.
 */
struct flow_solver {
	const struct flow_net_input *in;
	struct flow_net *net;
	int intervals;
	int *first;	 /* by stage: first interval of its range */
	int *end;	 /* by stage: interval after its range */
	double *supply;	 /* by stage: remaining layers x tokens a second */
	bool *unsettled; /* by interval: its flow is not final yet */
	int *component;	 /* by data centre: lowest index in its component */
};

/* One level, for the data centres of one connected component. */
struct flow_level {
	struct flow_solver *solver;
	int component;
	struct flow *flow;
	int *edge;	     /* stages x intervals: edge between them, or -1 */
	int *source_edge;    /* by stage: edge from the source, or -1 */
	int *sink_edge;	     /* by interval: edge to the sink, or -1 */
	bool *in_bottleneck; /* by interval: in the set that limits the flow */
	double rate;	     /* tokens a second */
};

enum flow_net_node {
	FLOW_NET_SOURCE,
	FLOW_NET_SINK,
	FLOW_NET_FIRST_INTERVAL, /* intervals, followed by stages */
};

/* flow_level.c */
int flow_level_init(struct flow_level *level);
void flow_level_free(struct flow_level *level);
void flow_level_solve(struct flow_level *level);
void flow_level_settle(struct flow_level *level, double rate);
int flow_level_add_bottlenecks(struct flow_level *level);

#endif /* FLOW_INT_H */
