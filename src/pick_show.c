#include <stdio.h>

#include "log.h"
#include "pick_int.h"

#define PICK_CHAIN_TEXT 512

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
