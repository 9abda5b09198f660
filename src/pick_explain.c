#include <stdio.h>

#include <jansson.h>

#include "pick_int.h"

#define EXPLAIN_TEXT_MAX 256

static void explain_net(const struct pick *pick, const struct pick_net *net,
			json_t *rows);
static json_t *explain_member(const struct pick *pick,
			      const struct pick_net *net,
			      const struct pick_member *member);
static void exits_text(const struct pick_net *net,
		       const struct pick_member *member, char *text,
		       size_t size);
static const char *state_name(const struct pick_ep *ep);

/*
 * Writes, as JSON, what the next choice for a service would be made from: a
 * row for each group of routes and endpoint with its state and room, and how
 * many tokens a second of the flow it hands on before which layer.
 */
void pick_explain(struct pick *pick, int service, int64_t now, FILE *out)
{
	json_t *rows = json_array();
	json_t *root;
	int i;

	for (i = 0; i < pick->net_count; i++) {
		if (pick->nets[i].service != service)
			continue;
		pick_net_solve(pick, &pick->nets[i], now);
		explain_net(pick, &pick->nets[i], rows);
	}
	root = json_pack("{s:s, s:o}", "service", pick->services[service].name,
			 "endpoints", rows);
	json_dumpf(root, out, JSON_COMPACT | JSON_REAL_PRECISION(6));
	json_decref(root);
}

static void explain_net(const struct pick *pick, const struct pick_net *net,
			json_t *rows)
{
	int i;

	for (i = 0; i < net->count; i++)
		json_array_append_new(
			rows, explain_member(pick, net, &net->members[i]));
}

static json_t *explain_member(const struct pick *pick,
			      const struct pick_net *net,
			      const struct pick_member *member)
{
	const struct pick_ep *ep = &pick->eps[member->ep];
	char exits[EXPLAIN_TEXT_MAX];
	char layers[32];

	exits_text(net, member, exits, sizeof(exits));
	snprintf(layers, sizeof(layers), "%u-%u", ep->cfg.first_layer,
		 ep->cfg.last_layer);
	return json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:f, s:f, s:f, "
		"s:s}",
		"group", net->group, "endpoint", ep->cfg.name, "data_centre",
		ep->cfg.data_centre, "state", state_name(ep), "layers", layers,
		"in_flight_here", (int)ep->in_flight, "in_flight_elsewhere",
		(int)ep->others, "limit", ep->limit, "hop_us", ep->hop_us,
		"rate_scale", ep->scale, "tokens_per_s_before_layer", exits);
}

/* Writes where the flow leaves an endpoint, as RATE@LAYER. */
static void exits_text(const struct pick_net *net,
		       const struct pick_member *member, char *text,
		       size_t size)
{
	size_t used = 0;
	int i;

	text[0] = '\0';
	for (i = 0; i < member->exit_count && used < size; i++) {
		const struct pick_exit *exit = &member->exits[i];

		if (exit->weight <= 0 || !net->flow)
			continue;
		used += (size_t)snprintf(text + used, size - used, "%s%.0f@%u",
					 used ? " " : "", exit->weight,
					 net->flow->bound[exit->bound]);
	}
}

static const char *state_name(const struct pick_ep *ep)
{
	static const char *const names[] = {
		[PICK_HEALTHY] = "healthy",
		[PICK_EJECTED] = "ejected",
		[PICK_PROBING] = "probing",
	};

	if (ep->cfg.state == CFG_DRAIN)
		return "drained";
	return ep->leaving ? "leaving" : names[ep->health];
}
