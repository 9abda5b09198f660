#include <stdio.h>

#include "log.h"
#include "pick_int.h"

#define PICK_CHAIN_TEXT_MAX 512

static void pick_explain_endpoint(struct pick *pick, struct pick_net *net,
				  int m, const struct pick_request *request,
				  int64_t now, FILE *out);
static const char *pick_state_name(const struct pick_ep *ep,
				   const struct pick_request *request, int e,
				   int64_t now);

/* Formats a chain as name[first-last]>name[first-last]. */
static void pick_format_chain(const struct pick *pick,
			      const struct pick_chain *chain, char *text,
			      size_t size)
{
	size_t used = 0;
	int i;

	text[0] = '\0';
	for (i = 0; i < chain->count && used < size; i++) {
		const struct pick_stage *stage = &chain->stages[i];

		used += (size_t)snprintf(text + used, size - used,
					 "%s%s[%u-%u]", i ? ">" : "",
					 pick->eps[stage->endpoint].cfg.name,
					 stage->first_layer, stage->last_layer);
	}
}

/* Logs a chosen chain and the reason for the choice. */
void pick_log_chain(const struct pick *pick, const struct pick_net *net,
		    const struct pick_chain *chain, const char *why)
{
	char text[PICK_CHAIN_TEXT_MAX];

	pick_format_chain(pick, chain, text, sizeof(text));
	log_event(LOG_PICK_CHAIN, "service=%s group=%s chain=%s why=%s",
		  pick->services[net->service].name, net->group, text, why);
}

/*
 * Returns the bound of a service in tokens per second, from the last solve if
 * that is current.  Ejected and leaving endpoints don't count.  Returns 0 if no
 * chain covers all layers.
 */
double pick_bound(const struct pick *pick, int service)
{
	int i;

	for (i = 0; i < pick->net_count; i++) {
		const struct pick_net *net = &pick->nets[i];

		if (net->service == service && net->group[0] == '\0')
			return net->dirty || !net->flow
				       ? pick_net_max_flow(pick, net, -1)
				       : net->max_flow;
	}
	return 0;
}

/* Returns the bound of a service without one of its endpoints. */
double pick_bound_without(struct pick *pick, int service, int endpoint)
{
	struct pick_net *net;

	if (service < 0 || service >= pick->service_count)
		return 0;
	net = pick_get_net(pick, service, "");
	return net ? pick_net_max_flow(pick, net, endpoint) : 0;
}

/*
 * Explains as JSON how a request would be routed: each endpoint of its network
 * with its state and its part of the flow, and the best chain through it, if
 * there is one.  Changes no state other than solving the network if that is
 * due.  Returns 0, PICK_E_NO_CHAIN if the service doesn't exist, or
 * PICK_E_MEMORY.
 */
int pick_explain_request(struct pick *pick, const struct pick_request *request,
			 int64_t now, FILE *out)
{
	struct pick_net *net;
	int err;
	int m;

	if (request->service < 0 || request->service >= pick->service_count)
		return PICK_E_NO_CHAIN;
	net = pick_get_net(pick, request->service,
			   request->group ? request->group : "");
	if (!net)
		return PICK_E_MEMORY;
	err = pick_net_solve(pick, net, now);
	if (err)
		return err;
	fprintf(out, "{\"service\":\"%s\",\"group\":\"%s\",",
		pick->services[net->service].name, net->group);
	fprintf(out, "\"bound_tokens_per_s\":%.1f,\"endpoints\":[",
		net->max_flow);
	for (m = 0; m < net->count; m++)
		pick_explain_endpoint(pick, net, m, request, now, out);
	fprintf(out, "]}\n");
	return PICK_OK;
}

/* Writes one endpoint of a network. */
static void pick_explain_endpoint(struct pick *pick, struct pick_net *net,
				  int m, const struct pick_request *request,
				  int64_t now, FILE *out)
{
	const struct pick_ep *ep = &pick->eps[net->members[m].ep];
	char text[PICK_CHAIN_TEXT_MAX];
	struct pick_chain chain;
	double flow = 0;
	int boundary;

	for (boundary = 0; boundary < net->flow->boundary_count; boundary++)
		flow += net->flow->inflow[boundary * net->count + m];
	fprintf(out,
		"%s\n{\"endpoint\":\"%s\",\"first_layer\":%u,"
		"\"last_layer\":%u,\"state\":\"%s\",\"in_flight\":%u,"
		"\"of_others\":%u,\"limit\":%.1f,\"tokens_per_s\":%.1f,"
		"\"flow_tokens_per_s\":%.1f",
		m ? "," : "", ep->cfg.name, ep->first_layer, ep->end_layer - 1,
		pick_state_name(ep, request, net->members[m].ep, now),
		ep->in_flight, ep->others_in_flight, ep->limit, pick_rate(ep),
		flow);
	if (request->prefix_hash)
		fprintf(out, ",\"holds_prefix\":%s",
			pick_cache_holds(ep, request->prefix_hash) ? "true"
								   : "false");
	if (pick_choose_through(pick, net, request, net->members[m].ep, now,
				&chain) == PICK_OK) {
		pick_format_chain(pick, &chain, text, sizeof(text));
		fprintf(out, ",\"chain\":\"%s\"", text);
	}
	fprintf(out, "}");
}

/* Returns the name of an endpoint's state as seen by a request. */
static const char *pick_state_name(const struct pick_ep *ep,
				   const struct pick_request *request, int e,
				   int64_t now)
{
	int i;

	for (i = 0; i < request->avoid_count; i++) {
		if (request->avoid[i] == e)
			return "failed-this-request";
	}
	if (ep->cfg.state != CFG_ACTIVE)
		return "drained";
	if (ep->leaving)
		return "leaving";
	if (ep->health == PICK_EJECTED)
		return "ejected";
	if (ep->health == PICK_PROBING)
		return "probing";
	if (!pick_below_limit(ep, now))
		return "at-limit";
	return ep->rate_scale < 1 ? "degraded" : "open";
}

/*
 * Writes the bound of a service as JSON: the endpoints and links that limit it,
 * and the bound without each single endpoint.  Returns 0, PICK_E_NO_CHAIN if
 * the service doesn't exist, or PICK_E_MEMORY.
 */
int pick_write_bound(struct pick *pick, int service, int64_t now, FILE *out)
{
	static const char *const kinds[] = {
		[FLOW_BOTTLENECK_WORK] = "work",
		[FLOW_BOTTLENECK_LINK] = "link",
	};
	struct pick_net *net;
	int err;
	int i;

	if (service < 0 || service >= pick->service_count)
		return PICK_E_NO_CHAIN;
	net = pick_get_net(pick, service, "");
	if (!net)
		return PICK_E_MEMORY;
	err = pick_net_solve(pick, net, now);
	if (err)
		return err;
	fprintf(out, "{\"service\":\"%s\",\"tokens_per_s\":%.1f,\"binds\":[",
		pick->services[service].name, net->max_flow);
	for (i = 0; i < net->flow->bottleneck_count; i++) {
		const struct flow_bottleneck *limit =
			&net->flow->bottlenecks[i];

		fprintf(out,
			"%s\n{\"endpoint\":\"%s\",\"what\":\"%s\","
			"\"first_layer\":%u,\"last_layer\":%u,"
			"\"tokens_per_s\":%.1f}",
			i ? "," : "",
			pick->eps[net->members[limit->stage].ep].cfg.name,
			kinds[limit->kind], limit->first_layer,
			limit->end_layer - 1, limit->tokens_per_s);
	}
	fprintf(out, "],\"without\":[");
	for (i = 0; i < net->count; i++)
		fprintf(out, "%s\n{\"endpoint\":\"%s\",\"tokens_per_s\":%.1f}",
			i ? "," : "", pick->eps[net->members[i].ep].cfg.name,
			pick_net_max_flow(pick, net, net->members[i].ep));
	fprintf(out, "]}\n");
	return PICK_OK;
}
