#ifndef FLOW_INT_H
#define FLOW_INT_H

/* What the files of the network share; no other module includes it. */

#include "flow.h"
#include "flow_net.h"

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

/* flow_level.c */
int flow_level_open(struct flow_level *level);
void flow_level_close(struct flow_level *level);
void flow_level_solve(struct flow_level *level);
void flow_level_settle(struct flow_level *level, double rate);
int flow_level_limits(struct flow_level *level);

#endif /* FLOW_INT_H */
