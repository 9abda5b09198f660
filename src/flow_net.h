#ifndef FLOW_NET_H
#define FLOW_NET_H

/*
 * The graph of a model service: a chain is a path over the boundaries
 * between layers, 0 .. layers, and each endpoint carries paths from one
 * boundary of its range to another.  The solved network says how much each
 * endpoint takes over at a boundary and hands on at a boundary.
 */

#include <stdbool.h>
#include <stdint.h>

/* An endpoint as the graph sees it. */
struct flow_stage {
	uint32_t first_layer; /* boundary before its first layer */
	uint32_t end_layer;   /* boundary after its last layer */
	double rate; /* tokens a second over its whole range, 0 if closed */
	double link_rate; /* tokens a second that its link takes, each way */
	int data_centre;  /* number of its data centre */
};

struct flow_net_input {
	uint32_t layers;
	const struct flow_stage *stages;
	int stage_count;
	int data_centre_count;
	/* centres x centres, symmetric: false where activations can't pass */
	const bool *reachable;
};

enum flow_bottleneck_kind {
	FLOW_BOTTLENECK_WORK,
	FLOW_BOTTLENECK_LINK,
};

/* An edge that binds the flow. */
struct flow_bottleneck {
	enum flow_bottleneck_kind kind;
	int stage;
	uint32_t first_layer; /* the layers between which it binds */
	uint32_t end_layer;
	double tokens_per_s; /* through these layers */
};

struct flow_net {
	double max_flow; /* tokens a second */
	int stage_count;
	int boundary_count; /* boundaries, layer 0 and the last included */
	uint32_t *boundaries;
	double *interval_flow; /* parts x count: flow through the part after a
				* bound
				*/
	double *inflow;	 /* bounds x count: flow that goes in at a boundary */
	double *outflow; /* bounds x count: flow that comes out */
	double *cross_flow; /* bounds x centres x centres */
	struct flow_bottleneck *bottlenecks;
	int bottleneck_count;
};

struct flow_net *flow_net_solve(const struct flow_net_input *in);
double flow_net_max_flow(const struct flow_net_input *in);
void flow_net_free(struct flow_net *net);
int flow_net_find_boundary(const struct flow_net *net, uint32_t layer);

#endif /* FLOW_NET_H */
