#include <stdlib.h>
#include <string.h>

#include "pick_int.h"

/* What a chain is worth: these outweigh each other in this order. */
#define PICK_WORTH_VIA	 1e6 /* it passes the endpoint asked for */
#define PICK_WORTH_LAYER 1e2 /* a layer stays where its cache is */
#define PICK_COST_STAGE	 1.0
#define PICK_NO_CHAIN	 (-1e18)
/* A probe that has not ended by then makes way for another one. */
#define PICK_PROBE_US	    (2 * MAG_US_PER_S)
#define PICK_PROBE_EVERY_US (100 * MAG_US_PER_MS)
#define PICK_PROBE_ONE_IN   10 /* requests that may be a probe */

/*
 * The best chain from each boundary to the last one, found from the back.
 * Boundaries are layer numbers here, so that those of a kept chain count too.
 */
struct pick_seek {
	const struct pick *pick;
	const struct pick_net *net;
	const struct pick_want *want;
	int64_t now;
	int via;    /* endpoint that the chain should pass, or -1 */
	bool crowd; /* endpoints at their limit may be used */
	uint32_t layers;
	bool *mark;    /* layer: some range starts or ends here */
	double *worth; /* layer: of the best chain from here on */
	int *endpoint; /* layer: its first stage, and where that ends */
	uint32_t *end;
	int *stages; /* layer: stages of the best chain from here on */
};

static int pick_seek_open(struct pick_seek *seek);
static void pick_seek_close(struct pick_seek *seek);
static void pick_seek_mark(struct pick_seek *seek);
static int pick_seek_run(struct pick_seek *seek, struct pick_chain *chain);
static void pick_seek_solve(struct pick_seek *seek);
static void pick_seek_endpoint(struct pick_seek *seek, uint32_t from, int e);
static bool pick_seek_repeats(const struct pick_seek *seek, uint32_t from,
			      int e);
static bool pick_seek_takes(const struct pick_seek *seek, int e);
static const struct pick_stage *pick_kept(const struct pick_seek *seek, int e);
static double pick_worth(const struct pick_seek *seek, int e, uint32_t from,
			 uint32_t end);
static void pick_seek_read(const struct pick_seek *seek,
			   struct pick_chain *chain);
static bool pick_probe_allowed(const struct pick *pick, int64_t now);
static int pick_due(const struct pick *pick, const struct pick_net *net,
		    int64_t now);
static bool pick_centre_probed(const struct pick *pick, int centre);

/*
 * Chooses a chain by its own worth instead of the flow: one that keeps as
 * much as it can of a broken chain, or runs alone, or is the last resort.
 * Returns 0, PICK_E_BUSY, PICK_E_NONE or PICK_E_MEMORY.
 */
int pick_seek(struct pick *pick, struct pick_net *net,
	      const struct pick_want *want, int64_t now,
	      struct pick_chain *chain)
{
	struct pick_seek seek = {
		.pick = pick,
		.net = net,
		.want = want,
		.now = now,
		.via = -1,
	};
	int err = pick_seek_open(&seek);

	if (!err)
		err = pick_seek_run(&seek, chain);
	if (err == PICK_E_NONE) {
		seek.crowd = true;
		err = pick_seek_run(&seek, chain);
		if (!err && (!want->keep || want->alone))
			err = PICK_E_BUSY;
	}
	pick_seek_close(&seek);
	return err;
}

/*
 * Chooses the best chain that passes one endpoint, in whatever state that
 * is.  Returns 0, PICK_E_NONE or PICK_E_MEMORY.
 */
int pick_through(struct pick *pick, struct pick_net *net,
		 const struct pick_want *want, int via, int64_t now,
		 struct pick_chain *chain)
{
	struct pick_seek seek = {
		.pick = pick,
		.net = net,
		.want = want,
		.now = now,
		.via = via,
	};
	int err = pick_seek_open(&seek);

	if (!err)
		err = pick_seek_run(&seek, chain);
	if (!err && seek.worth[0] < PICK_WORTH_VIA / 2)
		err = PICK_E_NONE;
	pick_seek_close(&seek);
	return err;
}

/*
 * Sends a request through an endpoint whose time out is over, one at a time,
 * to learn whether it works again.  Returns 0 if the chain is such a probe.
 */
int pick_probe(struct pick *pick, struct pick_net *net,
	       const struct pick_want *want, int64_t now,
	       struct pick_chain *chain)
{
	int via = pick_due(pick, net, now);
	int err;

	if (via < 0 || want->careful || want->avoid_count > 0 ||
	    !pick_probe_allowed(pick, now))
		return PICK_E_NONE;
	err = pick_through(pick, net, want, via, now, chain);
	if (err)
		return err;
	pick->eps[via].health = PICK_PROBING;
	pick->eps[via].retry_at_us = now + PICK_PROBE_US;
	pick->probed_us = now;
	pick->since_probe = 0;
	return PICK_OK;
}

/*
 * Tells whether a request may be spent on a probe now.  A probe that fails
 * costs its caller a timeout; with a data centre cut off, dozens of ejected
 * endpoints are due at once, and without this bound most requests would be
 * sent into it.
 */
static bool pick_probe_allowed(const struct pick *pick, int64_t now)
{
	if (now - pick->probed_us < PICK_PROBE_EVERY_US)
		return false;
	return pick->since_probe >= PICK_PROBE_ONE_IN ||
	       now - pick->probed_us >= PICK_PROBE_US;
}

/* Takes the memory of a search. */
static int pick_seek_open(struct pick_seek *seek)
{
	size_t size;

	seek->layers = pick_layers(seek->pick, seek->net->service);
	size = (size_t)seek->layers + 1;
	seek->mark = calloc(size, sizeof(*seek->mark));
	seek->worth = calloc(size, sizeof(*seek->worth));
	seek->endpoint = calloc(size, sizeof(*seek->endpoint));
	seek->end = calloc(size, sizeof(*seek->end));
	seek->stages = calloc(size, sizeof(*seek->stages));
	if (!seek->mark || !seek->worth || !seek->endpoint || !seek->end ||
	    !seek->stages)
		return PICK_E_MEMORY;
	pick_seek_mark(seek);
	return PICK_OK;
}

/* Frees the memory of a search. */
static void pick_seek_close(struct pick_seek *seek)
{
	free(seek->mark);
	free(seek->worth);
	free(seek->endpoint);
	free(seek->end);
	free(seek->stages);
}

/* Marks the boundaries at which a stage may start or end. */
static void pick_seek_mark(struct pick_seek *seek)
{
	const struct pick_chain *keep = seek->want->keep;
	int i;

	for (i = 0; i < seek->net->flow->boundary_count; i++)
		seek->mark[seek->net->flow->boundaries[i]] = true;
	for (i = 0; keep && i < keep->count; i++) {
		if (keep->stages[i].last_layer < seek->layers) {
			seek->mark[keep->stages[i].first_layer] = true;
			seek->mark[keep->stages[i].last_layer + 1] = true;
		}
	}
}

/* Searches once; PICK_E_NONE if no chain covers all layers. */
static int pick_seek_run(struct pick_seek *seek, struct pick_chain *chain)
{
	pick_seek_solve(seek);
	if (seek->worth[0] <= PICK_NO_CHAIN)
		return PICK_E_NONE;
	pick_seek_read(seek, chain);
	return PICK_OK;
}

/* Finds the best chain from every boundary on, the last boundary first. */
static void pick_seek_solve(struct pick_seek *seek)
{
	uint32_t from = seek->layers;
	int m;

	seek->worth[from] = 0;
	seek->stages[from] = 0;
	while (from-- > 0) {
		seek->worth[from] = PICK_NO_CHAIN;
		if (!seek->mark[from])
			continue;
		for (m = 0; m < seek->net->count; m++)
			pick_seek_endpoint(seek, from,
					   seek->net->members[m].ep);
	}
}

/* Tries an endpoint as the first stage from a boundary on. */
static void pick_seek_endpoint(struct pick_seek *seek, uint32_t from, int e)
{
	const struct pick_ep *ep = &seek->pick->eps[e];
	uint32_t end;

	if (ep->first > from || ep->end <= from || !pick_seek_takes(seek, e))
		return;
	for (end = from + 1; end <= ep->end; end++) {
		double worth;

		if (!seek->mark[end] || seek->worth[end] <= PICK_NO_CHAIN ||
		    seek->stages[end] >= MAG_CHAIN_MAX ||
		    pick_seek_repeats(seek, end, e))
			continue;
		worth = pick_worth(seek, e, from, end) + seek->worth[end];
		if (worth <= seek->worth[from])
			continue;
		seek->worth[from] = worth;
		seek->endpoint[from] = e;
		seek->end[from] = end;
		seek->stages[from] = seek->stages[end] + 1;
	}
}

/* Tells whether the best chain from a boundary on has an endpoint already. */
static bool pick_seek_repeats(const struct pick_seek *seek, uint32_t from,
			      int e)
{
	for (; from < seek->layers; from = seek->end[from]) {
		if (seek->endpoint[from] == e)
			return true;
	}
	return false;
}

/* Tells whether an endpoint may serve this request now. */
static bool pick_seek_takes(const struct pick_seek *seek, int e)
{
	const struct pick_ep *ep = &seek->pick->eps[e];
	int i;

	for (i = 0; i < seek->want->avoid_count; i++) {
		if (seek->want->avoid[i] == e)
			return false;
	}
	if (e == seek->via)
		return true;
	if (seek->want->alone && ep->suspects > 0 && !seek->crowd)
		return false;
	if (pick_kept(seek, e))
		return ep->health == PICK_HEALTHY;
	if (!pick_open(ep, seek->now))
		return false;
	return seek->crowd || pick_has_room(ep, seek->now);
}

/* Returns the stage that an endpoint had in the chain to keep, or NULL. */
static const struct pick_stage *pick_kept(const struct pick_seek *seek, int e)
{
	const struct pick_chain *keep = seek->want->keep;
	int i;

	for (i = 0; keep && i < keep->count; i++) {
		if (keep->stages[i].endpoint == e)
			return &keep->stages[i];
	}
	return NULL;
}

/* Returns what a stage adds to the worth of a chain. */
static double pick_worth(const struct pick_seek *seek, int e, uint32_t from,
			 uint32_t end)
{
	const struct pick_stage *kept = pick_kept(seek, e);
	double worth = -PICK_COST_STAGE - pick_load_of(&seek->pick->eps[e]);

	if (e == seek->via)
		worth += PICK_WORTH_VIA;
	if (!kept)
		return worth;
	if (from < kept->first_layer)
		from = kept->first_layer;
	if (end > kept->last_layer + 1)
		end = kept->last_layer + 1;
	if (from < end)
		worth += PICK_WORTH_LAYER * (end - from);
	return worth;
}

/* Reads the best chain. */
static void pick_seek_read(const struct pick_seek *seek,
			   struct pick_chain *chain)
{
	uint32_t from = 0;

	chain->count = 0;
	while (from < seek->layers) {
		struct pick_stage *stage = &chain->stages[chain->count++];

		stage->endpoint = seek->endpoint[from];
		stage->first_layer = from;
		stage->last_layer = seek->end[from] - 1;
		from = seek->end[from];
	}
}

/*
 * Returns the endpoint of the network that is due for a probe for longest,
 * -1 if none is.  One probe at a time tells whether a data centre is back.
 */
static int pick_due(const struct pick *pick, const struct pick_net *net,
		    int64_t now)
{
	int64_t since = now;
	int due = -1;
	int m;

	for (m = 0; m < net->count; m++) {
		const struct pick_ep *ep = &pick->eps[net->members[m].ep];

		if (ep->health != PICK_EJECTED || ep->retry_at_us > since ||
		    ep->cfg.state != CFG_ACTIVE || ep->leaving ||
		    pick_centre_probed(pick, ep->centre))
			continue;
		since = ep->retry_at_us;
		due = net->members[m].ep;
	}
	return due;
}

/* Tells whether a probe is under way in a data centre. */
static bool pick_centre_probed(const struct pick *pick, int centre)
{
	int i;

	for (i = 0; i < pick->ep_count; i++) {
		if (pick->eps[i].centre == centre &&
		    pick->eps[i].health == PICK_PROBING)
			return true;
	}
	return false;
}
