#include <stdlib.h>
#include <string.h>

#include "pick_int.h"

/* A graph whose estimates moved is solved again no more often than this. */
#define PICK_SOLVE_EVERY_US (100 * MAG_US_PER_MS)
#define PICK_TOOK_US	    (50 * MAG_US_PER_MS) /* until some have ended */
#define PICK_NO_LINK	    1e15 /* tokens a second over a link without limit */

static bool pick_in_group(const struct pick_ep *ep, int service,
			  const char *group);
static int pick_net_fill(struct pick *pick, struct pick_net *net);
static struct flow_stage *pick_stages(const struct pick *pick,
				      const struct pick_net *net, int without);
static void pick_stage_of(const struct pick *pick, const struct pick_ep *ep,
			  struct flow_stage *stage);
static int pick_net_options(struct pick *pick, struct pick_net *net);
static int pick_node_fill(struct pick *pick, struct pick_net *net, int k,
			  int centre);
static void pick_factors(const struct pick *pick, const struct pick_net *net,
			 int k, int centre, double *factor);
static double pick_option_weight(const struct pick *pick,
				 const struct pick_net *net, int k, int m,
				 const double *factor);
static bool pick_covers(const struct pick_net *net, const struct pick_ep *ep,
			int k);
static int pick_net_exits(struct pick *pick, struct pick_net *net);
static double pick_exit_weight(const struct pick *pick,
			       const struct pick_net *net, int k, int m);
static void pick_net_clear(struct pick_net *net);

/*
 * Returns the network of a service's endpoints that one group of routes may
 * use, made on first use; NULL if memory is short.
 */
struct pick_net *pick_net_of(struct pick *pick, int service, const char *group)
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
	if (pick_net_fill(pick, net) < 0) {
		pick_net_drop(net);
		return NULL;
	}
	pick->net_count++;
	return net;
}

/*
 * Solves a network again if anything changed, at once if an endpoint came or
 * went, otherwise no more often than PICK_SOLVE_EVERY_US.
 */
int pick_net_solve(struct pick *pick, struct pick_net *net, int64_t now)
{
	struct flow_net_input in = {
		.layers = pick_layers(pick, net->service),
		.stage_count = net->count,
		.data_centre_count = pick->centre_count,
		.reachable = pick->joined,
	};
	struct flow_stage *stages;

	if (!net->dirty ||
	    (!net->urgent && now < net->solved_us + PICK_SOLVE_EVERY_US))
		return PICK_OK;
	stages = pick_stages(pick, net, -1);
	if (!stages)
		return PICK_E_MEMORY;
	in.stages = stages;
	pick_net_clear(net);
	net->flow = flow_net_solve(&in);
	free(stages);
	if (!net->flow)
		return PICK_E_MEMORY;
	net->value = net->flow->max_flow;
	net->dirty = false;
	net->urgent = false;
	net->solved_us = now;
	return pick_net_options(pick, net);
}

/*
 * Returns the value of the maximum flow with one endpoint taken out (-1 for
 * none), in tokens a second.
 */
double pick_net_value(const struct pick *pick, const struct pick_net *net,
		      int without)
{
	struct flow_net_input in = {
		.layers = pick_layers(pick, net->service),
		.stage_count = net->count,
		.data_centre_count = pick->centre_count,
		.reachable = pick->joined,
	};
	struct flow_stage *stages = pick_stages(pick, net, without);
	double value;

	if (!stages)
		return 0;
	in.stages = stages;
	value = flow_net_max_flow(&in);
	free(stages);
	return value;
}

/* Frees what a network holds. */
void pick_net_drop(struct pick_net *net)
{
	pick_net_clear(net);
	free(net->members);
	free(net->member_of);
	net->members = NULL;
	net->member_of = NULL;
}

/* Marks the networks of a service to be solved again. */
void pick_dirty(struct pick *pick, int service, bool urgent)
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
 * Returns what an endpoint can do now, in tokens a second.  A plain service
 * gives no rate; it does as many requests as it takes at once in the time
 * that they take, and each counts as one token.
 */
double pick_rate(const struct pick_ep *ep)
{
	double rate = ep->cfg.tokens_per_s;

	if (ep->reported && ep->said > 0)
		rate = ep->said;
	if (rate <= 0)
		rate = ep->cfg.concurrency * (double)MAG_US_PER_S /
		       (ep->took_us > 0 ? ep->took_us : PICK_TOOK_US);
	return rate * ep->scale;
}

/* Returns the layers of a service; a plain one counts as one layer. */
uint32_t pick_layers(const struct pick *pick, int service)
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

/* Collects the endpoints of a network. */
static int pick_net_fill(struct pick *pick, struct pick_net *net)
{
	int e;

	net->members =
		calloc((size_t)pick->ep_count + 1, sizeof(*net->members));
	net->member_of = calloc((size_t)pick->ep_count + 1, sizeof(int));
	if (!net->members || !net->member_of)
		return PICK_E_MEMORY;
	for (e = 0; e < pick->ep_count; e++) {
		net->member_of[e] = -1;
		if (!pick_in_group(&pick->eps[e], net->service, net->group))
			continue;
		net->member_of[e] = net->count;
		net->members[net->count++].ep = e;
	}
	net->dirty = true;
	net->urgent = true;
	return PICK_OK;
}

/* Describes the endpoints to the graph; NULL if memory is short. */
static struct flow_stage *pick_stages(const struct pick *pick,
				      const struct pick_net *net, int without)
{
	struct flow_stage *stages =
		calloc((size_t)net->count + 1, sizeof(*stages));
	int m;

	for (m = 0; stages && m < net->count; m++) {
		int e = net->members[m].ep;

		pick_stage_of(pick, &pick->eps[e], &stages[m]);
		if (e == without)
			stages[m].rate = 0;
	}
	return stages;
}

/* Describes one endpoint; one that may get nothing new has no rate. */
static void pick_stage_of(const struct pick *pick, const struct pick_ep *ep,
			  struct flow_stage *stage)
{
	const struct cfg_service *s = &pick->services[ep->cfg.service];
	bool model = s->kind == CFG_MODEL;

	stage->first_layer = ep->first;
	stage->end_layer = ep->end;
	stage->data_centre = ep->centre;
	stage->link_rate = PICK_NO_LINK;
	if (model && ep->cfg.link_bytes_per_s > 0 && s->activation_bytes > 0)
		stage->link_rate =
			(double)ep->cfg.link_bytes_per_s / s->activation_bytes;
	if (ep->cfg.state == CFG_ACTIVE && !ep->leaving &&
	    ep->health == PICK_HEALTHY)
		stage->rate = pick_rate(ep);
}

/* Lists, for each boundary and data centre, who may take over a stream. */
static int pick_net_options(struct pick *pick, struct pick_net *net)
{
	int bounds = net->flow->boundary_count;
	int centres = pick->centre_count;
	int k;
	int c;

	net->nodes = calloc((size_t)bounds * centres + 1, sizeof(*net->nodes));
	if (!net->nodes)
		return PICK_E_MEMORY;
	net->node_count = bounds * centres;
	for (k = 0; k + 1 < bounds; k++) {
		for (c = 0; c < (k == 0 ? 1 : centres); c++) {
			if (pick_node_fill(pick, net, k, c) < 0)
				return PICK_E_MEMORY;
		}
	}
	return pick_net_exits(pick, net);
}

/* Fills one list of options. */
static int pick_node_fill(struct pick *pick, struct pick_net *net, int k,
			  int centre)
{
	struct pick_node *node = &net->nodes[k * pick->centre_count + centre];
	double *factor =
		calloc((size_t)pick->centre_count + 1, sizeof(*factor));
	int m;

	node->options = calloc((size_t)net->count + 1, sizeof(*node->options));
	if (!node->options || !factor) {
		free(factor);
		return PICK_E_MEMORY;
	}
	pick_factors(pick, net, k, centre, factor);
	for (m = 0; m < net->count; m++) {
		double weight = pick_option_weight(pick, net, k, m, factor);

		if (weight <= 0)
			continue;
		node->options[node->count].ep = net->members[m].ep;
		node->options[node->count++].weight = weight;
	}
	free(factor);
	return PICK_OK;
}

/*
 * Computes by data centre which part of an endpoint's entering flow belongs
 * to streams that stand at a boundary in one data centre.  From outside
 * (boundary 0) every data centre is as near as the other; later the flow
 * between data centres decides.
 */
static void pick_factors(const struct pick *pick, const struct pick_net *net,
			 int k, int centre, double *factor)
{
	const struct flow_net *flow = net->flow;
	int centres = pick->centre_count;
	const double *cross = &flow->cross_flow[k * centres * centres];
	int there;
	int m;

	for (m = 0; m < net->count; m++) {
		there = pick->eps[net->members[m].ep].centre;
		factor[there] += flow->inflow[k * flow->stage_count + m];
	}
	for (there = 0; there < centres; there++) {
		double local = factor[there];
		double into = 0;
		int i;

		for (i = 0; i < centres; i++)
			into += cross[i * centres + there];
		if (local <= 0)
			factor[there] = 0;
		else if (k == 0)
			factor[there] = 1;
		else if (there == centre)
			factor[there] =
				into < local ? (local - into) / local : 0;
		else
			factor[there] = cross[centre * centres + there] / local;
	}
}

/* Returns the weight of an endpoint at a boundary under the policy in use. */
static double pick_option_weight(const struct pick *pick,
				 const struct pick_net *net, int k, int m,
				 const double *factor)
{
	const struct pick_ep *ep = &pick->eps[net->members[m].ep];

	if (pick->policy == PICK_FLOW)
		return net->flow->inflow[k * net->count + m] *
		       factor[ep->centre];
	if (!pick_covers(net, ep, k))
		return 0;
	return pick->policy == PICK_STATIC_WEIGHTS ? ep->cfg.tokens_per_s : 1;
}

/* Tells whether a usable endpoint holds the layers after a boundary. */
static bool pick_covers(const struct pick_net *net, const struct pick_ep *ep,
			int k)
{
	uint32_t layer = net->flow->boundaries[k];

	if (ep->cfg.state != CFG_ACTIVE || ep->leaving ||
	    ep->health != PICK_HEALTHY)
		return false;
	return ep->first <= layer && layer < ep->end;
}

/* Lists where each endpoint hands streams on. */
static int pick_net_exits(struct pick *pick, struct pick_net *net)
{
	const struct flow_net *flow = net->flow;
	int m;
	int k;

	for (m = 0; m < net->count; m++) {
		struct pick_member *member = &net->members[m];

		member->exits = calloc((size_t)flow->boundary_count,
				       sizeof(*member->exits));
		if (!member->exits)
			return PICK_E_MEMORY;
		for (k = 1; k < flow->boundary_count; k++) {
			double weight = pick_exit_weight(pick, net, k, m);

			if (weight <= 0)
				continue;
			member->exits[member->exit_count].bound = k;
			member->exits[member->exit_count++].weight = weight;
		}
	}
	return PICK_OK;
}

/* Returns the weight of handing on at a boundary; baselines use the end. */
static double pick_exit_weight(const struct pick *pick,
			       const struct pick_net *net, int k, int m)
{
	const struct pick_ep *ep = &pick->eps[net->members[m].ep];

	if (pick->policy == PICK_FLOW)
		return net->flow->outflow[k * net->count + m];
	return net->flow->boundaries[k] == ep->end;
}

/* Frees the solved part of a network. */
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
