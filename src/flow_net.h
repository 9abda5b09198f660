#ifndef FLOW_NET_H
#define FLOW_NET_H

/*
 * The flow network of a model service.  Layers are numbered from 0, and
 * boundary n lies before layer n.  A chain is a path of stages from boundary 0
 * to the boundary after the last layer; each stage carries it from one boundary
 * of its range to another.  The solved network gives for each stage how much
 * flow it receives and how much it passes on at each boundary.
 */

#include <stdbool.h>
#include <stdint.h>

/* A stage: an endpoint and the range of layers that it holds. */
struct flow_stage {
	uint32_t first_layer; /* boundary before its first layer */
	uint32_t end_layer;   /* boundary after its last layer */
	double rate; /* tokens a second over its whole range, 0 if closed */
	double link_rate; /* tokens a second over its link, each direction */
	int data_centre;  /* index */
};

struct flow_net_input {
	uint32_t layers;
	const struct flow_stage *stages;
	int stage_count;
	int data_centre_count;
	/*
	 * data_centre_count x data_centre_count, symmetric: false where
	 * activations can't be sent from one data centre to the other
	 */
	const bool *reachable;
};

enum flow_bottleneck_kind {
	FLOW_BOTTLENECK_WORK,
	FLOW_BOTTLENECK_LINK,
};

/* A stage whose work or link limits the flow through an interval. */
struct flow_bottleneck {
	enum flow_bottleneck_kind kind;
	int stage;
	uint32_t first_layer; /* the interval: boundaries before and after it */
	uint32_t end_layer;
	double tokens_per_s; /* flow of the stage through the interval */
};

/*
 * The network has only the boundaries at which a range starts or ends, indexed
 * in ascending order.  Interval k is the layers between the boundaries of index
 * k and k + 1, so there is one fewer interval than boundaries.
 */
struct flow_net {
	double max_flow; /* tokens a second */
	int stage_count;
	int boundary_count;    /* the first and the last one included */
	uint32_t *boundaries;  /* layer that each boundary lies before */
	double *interval_flow; /* intervals x stages: flow through the stage */
	double *inflow;	    /* boundaries x stages: flow that enters a stage */
	double *outflow;    /* boundaries x stages: flow that leaves a stage */
	double *cross_flow; /* boundaries x data centres x data centres: flow
			       from the first data centre to the second, 0 if
			       they are the same */
	struct flow_bottleneck *bottlenecks;
	int bottleneck_count;
};

struct flow_net *flow_net_solve(const struct flow_net_input *in);
double flow_net_max_flow(const struct flow_net_input *in);
void flow_net_free(struct flow_net *net);
int flow_net_find_boundary(const struct flow_net *net, uint32_t layer);

#endif /* FLOW_NET_H */
