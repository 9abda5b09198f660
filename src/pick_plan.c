#include <stdlib.h>
#include <string.h>

#include "pick_int.h"

/* Shortest interval between two solves after changes of estimates only. */
#define PICK_SOLVE_INTERVAL_US (100 * MAG_US_PER_MS)
/* Assumed time of a whole answer until one has ended. */
#define PICK_DEFAULT_DURATION_US (50 * MAG_US_PER_MS)
/* Tokens per second over a link without a limit. */
#define PICK_UNLIMITED_LINK 1e15

static bool pick_in_group(const struct pick_ep *ep, int service,
			  const char *group);
static int pick_net_add_members(struct pick *pick, struct pick_net *net);
static struct flow_stage *pick_flow_stages(const struct pick *pick,
					   const struct pick_net *net,
					   int without);
static void pick_fill_flow_stage(const struct pick *pick,
				 const struct pick_ep *ep,
				 struct flow_stage *stage);
static int pick_net_add_options(struct pick *pick, struct pick_net *net);
static int pick_node_add_options(struct pick *pick, struct pick_net *net,
				 int boundary, int data_centre);
static void pick_entry_factors(const struct pick *pick,
			       const struct pick_net *net, int boundary,
			       int data_centre, double *factor);
static double pick_option_weight(const struct pick *pick,
				 const struct pick_net *net, int boundary,
				 int m, const double *factor);
static bool pick_is_candidate(const struct pick_net *net,
			      const struct pick_ep *ep, int boundary);
static int pick_net_add_exits(struct pick *pick, struct pick_net *net);
static double pick_exit_weight(const struct pick *pick,
			       const struct pick_net *net, int boundary, int m);
static void pick_net_clear(struct pick_net *net);

/*
 * Returns the network of a service's endpoints that routes with a group may
 * use.  It is created on first use.  Returns NULL if out of memory.
 */
struct pick_net *pick_get_net(struct pick *pick, int service, const char *group)
{
	struct pick_net *nets;
	struct pick_net *net;
	int i;

	for (i = 0; i < pick->net_count; i++) {
		if (pick->nets[i].service == service &&
		    strcmp(pick->nets[i].group, group) == 0)
			return &pick->nets[i];
	}
	nets = realloc(pick->nets,
		       (size_t)(pick->net_count + 1) * sizeof(*nets));
	if (!nets)
		return NULL;
	pick->nets = nets;
	net = &nets[pick->net_count];
	memset(net, 0, sizeof(*net));
	net->service = service;
	mag_copy_name(net->group, sizeof(net->group), group);
	if (pick_net_add_members(pick, net) < 0) {
		pick_net_free(net);
		return NULL;
	}
	pick->net_count++;
	return net;
}

/*
 * Solves a network again if it has changed: at once if an endpoint was added or
 * lost, otherwise at most once per PICK_SOLVE_INTERVAL_US.
 */
int pick_net_solve(struct pick *pick, struct pick_net *net, int64_t now)
{
	struct flow_net_input in = {
		.layers = pick_layer_count(pick, net->service),
		.stage_count = net->count,
		.data_centre_count = pick->data_centre_count,
		.reachable = pick->reachable,
	};
	struct flow_stage *stages;

	if (!net->dirty ||
	    (!net->urgent && now < net->solved_us + PICK_SOLVE_INTERVAL_US))
		return PICK_OK;
	stages = pick_flow_stages(pick, net, -1);
	if (!stages)
		return PICK_E_MEMORY;
	in.stages = stages;
	pick_net_clear(net);
	net->flow = flow_net_solve(&in);
	free(stages);
	if (!net->flow)
		return PICK_E_MEMORY;
	net->max_flow = net->flow->max_flow;
	net->dirty = false;
	net->urgent = false;
	net->solved_us = now;
	return pick_net_add_options(pick, net);
}

/*
 * Returns the maximum flow in tokens per second with one endpoint removed (-1
 * for none).
 */
double pick_net_max_flow(const struct pick *pick, const struct pick_net *net,
			 int without)
{
	struct flow_net_input in = {
		.layers = pick_layer_count(pick, net->service),
		.stage_count = net->count,
		.data_centre_count = pick->data_centre_count,
		.reachable = pick->reachable,
	};
	struct flow_stage *stages = pick_flow_stages(pick, net, without);
	double value;

	if (!stages)
		return 0;
	in.stages = stages;
	value = flow_net_max_flow(&in);
	free(stages);
	return value;
}

/* Frees the contents of a network. */
void pick_net_free(struct pick_net *net)
{
	pick_net_clear(net);
	free(net->members);
	free(net->member_index);
	net->members = NULL;
	net->member_index = NULL;
}

/* Marks the networks of a service for a new solve. */
void pick_mark_dirty(struct pick *pick, int service, bool urgent)
{
	int i;

	for (i = 0; i < pick->net_count; i++) {
		if (pick->nets[i].service != service)
			continue;
		pick->nets[i].dirty = true;
		pick->nets[i].urgent |= urgent;
	}
	pick->urgent |= urgent;
}

/*
 * Returns the current capacity of an endpoint in tokens per second.  A plain
 * service may state no rate.  Its capacity is then its concurrency divided by
 * the mean time of a request, where each request counts as one token.
 */
double pick_rate(const struct pick_ep *ep)
{
	double rate = ep->cfg.tokens_per_s;

	if (ep->has_report && ep->reported_rate > 0)
		rate = ep->reported_rate;
	if (rate <= 0)
		rate = ep->cfg.concurrency * (double)MAG_US_PER_S /
		       (ep->mean_duration_us > 0 ? ep->mean_duration_us
						 : PICK_DEFAULT_DURATION_US);
	return rate * ep->rate_scale;
}

/* Returns the number of layers of a service; a plain service has one. */
uint32_t pick_layer_count(const struct pick *pick, int service)
{
	const struct cfg_service *s = &pick->services[service];

	return s->kind == CFG_MODEL && s->layers > 0 ? s->layers : 1;
}

/* Tells whether an endpoint belongs to a service and a group. */
static bool pick_in_group(const struct pick_ep *ep, int service,
			  const char *group)
{
	if (ep->cfg.service != service)
		return false;
	return group[0] == '\0' || strcmp(ep->cfg.group, group) == 0;
}

/* Adds the endpoints of its service and group to a network. */
static int pick_net_add_members(struct pick *pick, struct pick_net *net)
{
	int e;

	net->members =
		calloc((size_t)pick->ep_count + 1, sizeof(*net->members));
	net->member_index = calloc((size_t)pick->ep_count + 1, sizeof(int));
	if (!net->members || !net->member_index)
		return PICK_E_MEMORY;
	for (e = 0; e < pick->ep_count; e++) {
		net->member_index[e] = -1;
		if (!pick_in_group(&pick->eps[e], net->service, net->group))
			continue;
		net->member_index[e] = net->count;
		net->members[net->count++].ep = e;
	}
	net->dirty = true;
	net->urgent = true;
	return PICK_OK;
}

/* Builds the input of the flow solver; NULL if out of memory. */
static struct flow_stage *pick_flow_stages(const struct pick *pick,
					   const struct pick_net *net,
					   int without)
{
	struct flow_stage *stages =
		calloc((size_t)net->count + 1, sizeof(*stages));
	int m;

	for (m = 0; stages && m < net->count; m++) {
		int e = net->members[m].ep;

		pick_fill_flow_stage(pick, &pick->eps[e], &stages[m]);
		if (e == without)
			stages[m].rate = 0;
	}
	return stages;
}

/*
 * Fills in the solver's input for one endpoint; one that may not receive new
 * work has the rate 0.
 */
static void pick_fill_flow_stage(const struct pick *pick,
				 const struct pick_ep *ep,
				 struct flow_stage *stage)
{
	const struct cfg_service *s = &pick->services[ep->cfg.service];
	bool model = s->kind == CFG_MODEL;

	stage->first_layer = ep->first_layer;
	stage->end_layer = ep->end_layer;
	stage->data_centre = ep->data_centre;
	stage->link_rate = PICK_UNLIMITED_LINK;
	if (model && ep->cfg.link_bytes_per_s > 0 && s->activation_bytes > 0)
		stage->link_rate =
			(double)ep->cfg.link_bytes_per_s / s->activation_bytes;
	if (ep->cfg.state == CFG_ACTIVE && !ep->leaving &&
	    ep->health == PICK_HEALTHY)
		stage->rate = pick_rate(ep);
}

/*
 * Lists, for each boundary and data centre, the endpoints that may be the next
 * stage of a stream.
 */
static int pick_net_add_options(struct pick *pick, struct pick_net *net)
{
	int boundaries = net->flow->boundary_count;
	int data_centre_count = pick->data_centre_count;
	int boundary;
	int c;

	net->nodes = calloc((size_t)boundaries * data_centre_count + 1,
			    sizeof(*net->nodes));
	if (!net->nodes)
		return PICK_E_MEMORY;
	net->node_count = boundaries * data_centre_count;
	for (boundary = 0; boundary + 1 < boundaries; boundary++) {
		for (c = 0; c < (boundary == 0 ? 1 : data_centre_count); c++) {
			if (pick_node_add_options(pick, net, boundary, c) < 0)
				return PICK_E_MEMORY;
		}
	}
	return pick_net_add_exits(pick, net);
}

/* Fills the list of one boundary and data centre. */
static int pick_node_add_options(struct pick *pick, struct pick_net *net,
				 int boundary, int data_centre)
{
	struct pick_node *node =
		&net->nodes[boundary * pick->data_centre_count + data_centre];
	double *factor =
		calloc((size_t)pick->data_centre_count + 1, sizeof(*factor));
	int m;

	node->options = calloc((size_t)net->count + 1, sizeof(*node->options));
	if (!node->options || !factor) {
		free(factor);
		return PICK_E_MEMORY;
	}
	pick_entry_factors(pick, net, boundary, data_centre, factor);
	for (m = 0; m < net->count; m++) {
		double weight =
			pick_option_weight(pick, net, boundary, m, factor);

		if (weight <= 0)
			continue;
		node->options[node->count].ep = net->members[m].ep;
		node->options[node->count++].weight = weight;
	}
	free(factor);
	return PICK_OK;
}

/*
 * Computes, for each data centre, which fraction of the flow that enters its
 * endpoints at a boundary comes from streams in one given data centre.  At
 * boundary 0 streams come from outside and all data centres are equally near.
 * At later boundaries the fraction follows from the flow between data centres.
 */
static void pick_entry_factors(const struct pick *pick,
			       const struct pick_net *net, int boundary,
			       int data_centre, double *factor)
{
	const struct flow_net *flow = net->flow;
	int data_centre_count = pick->data_centre_count;
	const double *cross = &flow->cross_flow[boundary * data_centre_count *
						data_centre_count];
	int entry_centre;
	int m;

	for (m = 0; m < net->count; m++) {
		entry_centre = pick->eps[net->members[m].ep].data_centre;
		factor[entry_centre] +=
			flow->inflow[boundary * flow->stage_count + m];
	}
	for (entry_centre = 0; entry_centre < data_centre_count;
	     entry_centre++) {
		double local = factor[entry_centre];
		double crossing = 0;
		int i;

		for (i = 0; i < data_centre_count; i++)
			crossing += cross[i * data_centre_count + entry_centre];
		if (local <= 0)
			factor[entry_centre] = 0;
		else if (boundary == 0)
			factor[entry_centre] = 1;
		else if (entry_centre == data_centre)
			factor[entry_centre] =
				crossing < local ? (local - crossing) / local
						 : 0;
		else
			factor[entry_centre] =
				cross[data_centre * data_centre_count +
				      entry_centre] /
				local;
	}
}

/* Returns the weight of an endpoint at a boundary under the current policy. */
static double pick_option_weight(const struct pick *pick,
				 const struct pick_net *net, int boundary,
				 int m, const double *factor)
{
	const struct pick_ep *ep = &pick->eps[net->members[m].ep];

	if (pick->policy == PICK_FLOW)
		return net->flow->inflow[boundary * net->count + m] *
		       factor[ep->data_centre];
	if (!pick_is_candidate(net, ep, boundary))
		return 0;
	return pick->policy == PICK_STATIC_WEIGHTS ? ep->cfg.tokens_per_s : 1;
}

/* Tells whether a usable endpoint holds the layer after a boundary. */
static bool pick_is_candidate(const struct pick_net *net,
			      const struct pick_ep *ep, int boundary)
{
	uint32_t layer = net->flow->boundaries[boundary];

	if (ep->cfg.state != CFG_ACTIVE || ep->leaving ||
	    ep->health != PICK_HEALTHY)
		return false;
	return ep->first_layer <= layer && layer < ep->end_layer;
}

/* Lists the boundaries at which each endpoint may end its stage. */
static int pick_net_add_exits(struct pick *pick, struct pick_net *net)
{
	const struct flow_net *flow = net->flow;
	int m;
	int boundary;

	for (m = 0; m < net->count; m++) {
		struct pick_member *member = &net->members[m];

		member->exits = calloc((size_t)flow->boundary_count,
				       sizeof(*member->exits));
		if (!member->exits)
			return PICK_E_MEMORY;
		for (boundary = 1; boundary < flow->boundary_count;
		     boundary++) {
			double weight =
				pick_exit_weight(pick, net, boundary, m);

			if (weight <= 0)
				continue;
			member->exits[member->exit_count].boundary = boundary;
			member->exits[member->exit_count++].weight = weight;
		}
	}
	return PICK_OK;
}

/*
 * Returns the weight of a boundary as the end of an endpoint's stage.  The
 * baseline policies always use the end of its layer range.
 */
static double pick_exit_weight(const struct pick *pick,
			       const struct pick_net *net, int boundary, int m)
{
	const struct pick_ep *ep = &pick->eps[net->members[m].ep];

	if (pick->policy == PICK_FLOW)
		return net->flow->outflow[boundary * net->count + m];
	return net->flow->boundaries[boundary] == ep->end_layer;
}

/* Frees the results of the last solve. */
static void pick_net_clear(struct pick_net *net)
{
	int i;

	for (i = 0; i < net->node_count; i++)
		free(net->nodes[i].options);
	for (i = 0; i < net->count; i++) {
		free(net->members[i].exits);
		net->members[i].exits = NULL;
		net->members[i].exit_count = 0;
	}
	free(net->nodes);
	net->nodes = NULL;
	net->node_count = 0;
	flow_net_free(net->flow);
	net->flow = NULL;
}
