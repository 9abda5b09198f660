#ifndef FLOW_INT_H
#define FLOW_INT_H

/* What the files of the network share; no other module includes it. */

#include "flow.h"
#include "flow_net.h"

/* Demands count as met when this part of them is. */
#define FLOW_NET_MET_FRACTION (1 - 1e-6)

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
struct flow_solver {
	const struct flow_net_input *in;
	struct flow_net *net;
	int intervals;
	int *first; /* endpoint: its first part, and the part after its
				last */
	int *end;
	double *supply;	 /* endpoint: layers times tokens a second left */
	bool *unsettled; /* part: not settled yet */
	int *component;	 /* data centre: the first one that it is joined to */
};

/* One level: the parts still open of one group of data centres. */
struct flow_level {
	struct flow_solver *work;
	int component;
	struct flow *flow;
	int *edge;	     /* endpoint x parts: edge, or -1 */
	int *source_edge;    /* endpoint: edge from the source, or -1 */
	int *sink_edge;	     /* part: edge to the sink, or -1 */
	bool *in_bottleneck; /* part: in the set that bounds the flow */
	double rate;	     /* tokens a second */
};

enum flow_net_node {
	FLOW_NET_SOURCE,
	FLOW_NET_SINK,
	FLOW_NET_FIRST_INTERVAL, /* parts, then endpoints */
};

/* flow_level.c */
int flow_level_init(struct flow_level *level);
void flow_level_free(struct flow_level *level);
void flow_level_solve(struct flow_level *level);
void flow_level_settle(struct flow_level *level, double rate);
int flow_level_add_bottlenecks(struct flow_level *level);

#endif /* FLOW_INT_H */
