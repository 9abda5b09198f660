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
	uint32_t first; /* boundary before its first layer */
	uint32_t end;	/* boundary after its last layer */
	double rate;	/* tokens a second over its whole range, 0 if closed */
	double link;	/* tokens a second that its link takes, each way */
	int centre;	/* number of its data centre */
};

struct flow_net_in {
	uint32_t layers;
	const struct flow_stage *stages;
	int count;
	int centres;
	/* centres x centres, symmetric: false where activations can't pass */
	const bool *joined;
};

enum flow_limit_kind {
	FLOW_LIMIT_WORK,
	FLOW_LIMIT_LINK,
};

/* An edge that binds the flow. */
struct flow_limit {
	enum flow_limit_kind kind;
	int stage;
	uint32_t first; /* the layers between which it binds */
	uint32_t end;
	double tokens_per_s; /* through these layers */
};

struct flow_net {
	double value; /* tokens a second */
	int count;
	int bounds; /* boundaries, layer 0 and the last included */
	uint32_t *bound;
	double *through; /* parts x count: flow through the part after a bound
			  */
	double *enter;	 /* bounds x count: flow that goes in at a boundary */
	double *leave;	 /* bounds x count: flow that comes out */
	double *cross;	 /* bounds x centres x centres */
	struct flow_limit *limits;
	int limit_count;
};

struct flow_net *flow_net_solve(const struct flow_net_in *in);
double flow_net_value(const struct flow_net_in *in);
void flow_net_free(struct flow_net *net);
int flow_net_bound(const struct flow_net *net, uint32_t layer);

#endif /* FLOW_NET_H */
