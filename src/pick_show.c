#include <stdio.h>

#include "log.h"
#include "pick_int.h"

#define PICK_CHAIN_TEXT 512

static void pick_explain_endpoint(struct pick *pick, struct pick_net *net,
				  int m, const struct pick_want *want,
				  int64_t now, FILE *out);
static const char *pick_state(const struct pick_ep *ep,
			      const struct pick_want *want, int e, int64_t now);

/* Writes a chain as name[first-last] > name[first-last]. */
static void pick_chain_text(const struct pick *pick,
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

/* Writes the log line of a decision: the chain and why it was taken. */
void pick_log_chain(const struct pick *pick, const struct pick_net *net,
		    const struct pick_chain *chain, const char *why)
{
	char text[PICK_CHAIN_TEXT];

	pick_chain_text(pick, chain, text, sizeof(text));
	log_event(LOG_PICK_CHAIN, "service=%s group=%s chain=%s why=%s",
		  pick->services[net->service].name, net->group, text, why);
}

/*
 * Returns the bound of a service in tokens a second as solved last, with
 * what is ejected or leaving taken out; 0 if no chain covers all layers.
 */
double pick_bound(const struct pick *pick, int service)
{
	int i;

	for (i = 0; i < pick->net_count; i++) {
		const struct pick_net *net = &pick->nets[i];

		if (net->service == service && net->group[0] == '\0')
			return net->dirty || !net->flow
				       ? pick_net_value(pick, net, -1)
				       : net->value;
	}
	return 0;
}

/* Returns the bound of a service with one endpoint lost. */
double pick_bound_without(struct pick *pick, int service, int endpoint)
{
	struct pick_net *net;

	if (service < 0 || service >= pick->service_count)
		return 0;
	net = pick_net_of(pick, service, "");
	return net ? pick_net_value(pick, net, endpoint) : 0;
}

/*
 * Writes why a request would go where it goes, as JSON: each endpoint of its
 * network with its state and its part of the flow, and the chain that each
 * open one would lead to.  Changes nothing.  Returns 0, PICK_E_NONE if there
 * is no such service, or PICK_E_MEMORY.
 */
int pick_explain_request(struct pick *pick, const struct pick_want *want,
			 int64_t now, FILE *out)
{
	struct pick_net *net;
	int err;
	int m;

	if (want->service < 0 || want->service >= pick->service_count)
		return PICK_E_NONE;
	net = pick_net_of(pick, want->service, want->group ? want->group : "");
	if (!net)
		return PICK_E_MEMORY;
	err = pick_net_solve(pick, net, now);
	if (err)
		return err;
	fprintf(out, "{\"service\":\"%s\",\"group\":\"%s\",",
		pick->services[net->service].name, net->group);
	fprintf(out, "\"bound_tokens_per_s\":%.1f,\"endpoints\":[", net->value);
	for (m = 0; m < net->count; m++)
		pick_explain_endpoint(pick, net, m, want, now, out);
	fprintf(out, "]}\n");
	return PICK_OK;
}

/* Writes one endpoint of a network. */
static void pick_explain_endpoint(struct pick *pick, struct pick_net *net,
				  int m, const struct pick_want *want,
				  int64_t now, FILE *out)
{
	const struct pick_ep *ep = &pick->eps[net->members[m].ep];
	char text[PICK_CHAIN_TEXT];
	struct pick_chain chain;
	double flow = 0;
	int k;

	for (k = 0; k < net->flow->boundary_count; k++)
		flow += net->flow->inflow[k * net->count + m];
	fprintf(out,
		"%s\n{\"endpoint\":\"%s\",\"first_layer\":%u,"
		"\"last_layer\":%u,\"state\":\"%s\",\"in_flight\":%u,"
		"\"of_others\":%u,\"limit\":%.1f,\"tokens_per_s\":%.1f,"
		"\"flow_tokens_per_s\":%.1f",
		m ? "," : "", ep->cfg.name, ep->first, ep->end - 1,
		pick_state(ep, want, net->members[m].ep, now), ep->in_flight,
		ep->others, ep->limit, pick_rate(ep), flow);
	if (want->prefix)
		fprintf(out, ",\"holds_prefix\":%s",
			pick_cache_holds(ep, want->prefix) ? "true" : "false");
	if (pick_through(pick, net, want, net->members[m].ep, now, &chain) ==
	    PICK_OK) {
		pick_chain_text(pick, &chain, text, sizeof(text));
		fprintf(out, ",\"chain\":\"%s\"", text);
	}
	fprintf(out, "}");
}

/* Returns the word for what an endpoint is to a request now. */
static const char *pick_state(const struct pick_ep *ep,
			      const struct pick_want *want, int e, int64_t now)
{
	int i;

	for (i = 0; i < want->avoid_count; i++) {
		if (want->avoid[i] == e)
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
	if (!pick_has_room(ep, now))
		return "at-limit";
	return ep->scale < 1 ? "degraded" : "open";
}

/*
 * Writes the bound of a service as JSON: what binds it, and the bound with
 * each single endpoint lost.  Returns 0, PICK_E_NONE or PICK_E_MEMORY.
 */
int pick_bound_write(struct pick *pick, int service, int64_t now, FILE *out)
{
	static const char *const kinds[] = {
		[FLOW_BOTTLENECK_WORK] = "work",
		[FLOW_BOTTLENECK_LINK] = "link",
	};
	struct pick_net *net;
	int err;
	int i;

	if (service < 0 || service >= pick->service_count)
		return PICK_E_NONE;
	net = pick_net_of(pick, service, "");
	if (!net)
		return PICK_E_MEMORY;
	err = pick_net_solve(pick, net, now);
	if (err)
		return err;
	fprintf(out, "{\"service\":\"%s\",\"tokens_per_s\":%.1f,\"binds\":[",
		pick->services[service].name, net->value);
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
			pick_net_value(pick, net, net->members[i].ep));
	fprintf(out, "]}\n");
	return PICK_OK;
}
