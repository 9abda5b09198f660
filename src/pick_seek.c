#include <stdlib.h>
#include <string.h>

#include "pick_int.h"

/* Parts of the score of a chain; each outweighs those after it. */
#define PICK_SCORE_VIA	      1e6 /* the chain passes the requested endpoint */
#define PICK_SCORE_KEPT_LAYER 1e2 /* a layer stays where its KV cache is */
#define PICK_STAGE_COST	      1.0
#define PICK_SCORE_NONE	      (-1e18)
/* A probe that has not ended by then no longer prevents another one. */
#define PICK_PROBE_TIMEOUT_US (2 * MAG_US_PER_S)
/* Shortest interval between two probes. */
#define PICK_PROBE_INTERVAL_US (100 * MAG_US_PER_MS)
/* Requests per probe, unless the last one is PICK_PROBE_TIMEOUT_US ago. */
#define PICK_REQUESTS_PER_PROBE 10

/*
 * A search for the best chain from each boundary to the end of the model, from
 * the last boundary backwards.  Boundaries are layer numbers here, because the
 * boundaries of the chain to resume from count as well.
 */
struct pick_seek {
	const struct pick *pick;
	const struct pick_net *net;
	const struct pick_request *request;
	int64_t now;
	int via; /* endpoint that the chain should pass, or -1 */
	/* Endpoints at their limit or with a suspect may be used too. */
	bool ignore_limits;
	uint32_t layers;
	bool *is_boundary; /* by layer: a stage may start or end here */
	double *score;	   /* by layer: of the best chain from here on */
	int *endpoint;	   /* by layer: first stage of that chain */
	uint32_t *end;	   /* by layer: where that stage ends */
	int *stages;	   /* by layer: length of that chain */
};

static int pick_seek_open(struct pick_seek *seek);
static void pick_seek_close(struct pick_seek *seek);
static void pick_seek_mark_boundaries(struct pick_seek *seek);
static int pick_seek_run(struct pick_seek *seek, struct pick_chain *chain);
static void pick_seek_solve(struct pick_seek *seek);
static void pick_seek_try_endpoint(struct pick_seek *seek, uint32_t from,
				   int e);
static bool pick_seek_chain_has(const struct pick_seek *seek, uint32_t from,
				int e);
static bool pick_seek_may_use(const struct pick_seek *seek, int e);
static const struct pick_stage *pick_resumed_stage(const struct pick_seek *seek,
						   int e);
static double pick_stage_score(const struct pick_seek *seek, int e,
			       uint32_t from, uint32_t end);
static void pick_seek_build_chain(const struct pick_seek *seek,
				  struct pick_chain *chain);
static bool pick_probe_allowed(const struct pick *pick, int64_t now);
static int pick_find_probe_due(const struct pick *pick,
			       const struct pick_net *net, int64_t now);
static bool pick_is_data_centre_probed(const struct pick *pick,
				       int data_centre);

/*
 * Chooses the chain with the best score, independently of the flow.  This is
 * used to reuse as much as possible of a broken chain, to run a suspect alone,
 * and as a last resort.  Only a request that resumes and is no suspect may use
 * endpoints at their limit.  Returns 0, PICK_E_BUSY, PICK_E_NO_CHAIN or
 * PICK_E_MEMORY.
 */
int pick_seek(struct pick *pick, struct pick_net *net,
	      const struct pick_request *request, int64_t now,
	      struct pick_chain *chain)
{
	struct pick_seek seek = {
		.pick = pick,
		.net = net,
		.request = request,
		.now = now,
		.via = -1,
	};
	int err = pick_seek_open(&seek);

	if (!err)
		err = pick_seek_run(&seek, chain);
	if (err == PICK_E_NO_CHAIN) {
		seek.ignore_limits = true;
		err = pick_seek_run(&seek, chain);
		if (!err && (!request->resume_from || request->alone))
			err = PICK_E_BUSY;
	}
	pick_seek_close(&seek);
	return err;
}

/*
 * Chooses the best chain that passes one endpoint, whatever the state of that
 * endpoint.  Returns 0, PICK_E_NO_CHAIN or PICK_E_MEMORY.
 */
int pick_choose_through(struct pick *pick, struct pick_net *net,
			const struct pick_request *request, int via,
			int64_t now, struct pick_chain *chain)
{
	struct pick_seek seek = {
		.pick = pick,
		.net = net,
		.request = request,
		.now = now,
		.via = via,
	};
	int err = pick_seek_open(&seek);

	if (!err)
		err = pick_seek_run(&seek, chain);
	if (!err && seek.score[0] < PICK_SCORE_VIA / 2)
		err = PICK_E_NO_CHAIN;
	pick_seek_close(&seek);
	return err;
}

/*
 * Chooses a chain through an ejected endpoint whose backoff time has passed, to
 * find out whether it works again; one probe at a time per data centre.
 * Returns 0 if the chain is such a probe.
 */
int pick_probe(struct pick *pick, struct pick_net *net,
	       const struct pick_request *request, int64_t now,
	       struct pick_chain *chain)
{
	int via = pick_find_probe_due(pick, net, now);
	int err;

	if (via < 0 || request->at_most_once || request->avoid_count > 0 ||
	    !pick_probe_allowed(pick, now))
		return PICK_E_NO_CHAIN;
	err = pick_choose_through(pick, net, request, via, now, chain);
	if (err)
		return err;
	pick->eps[via].health = PICK_PROBING;
	pick->eps[via].retry_at_us = now + PICK_PROBE_TIMEOUT_US;
	pick->last_probe_us = now;
	pick->requests_since_probe = 0;
	return PICK_OK;
}

/*
 * Tells whether a request may be used as a probe now.  A probe that fails costs
 * its caller a timeout.  When a data centre is cut off, dozens of ejected
 * endpoints become due at once, and without this restriction most requests
 * would be sent into it.
 */
static bool pick_probe_allowed(const struct pick *pick, int64_t now)
{
	if (now - pick->last_probe_us < PICK_PROBE_INTERVAL_US)
		return false;
	return pick->requests_since_probe >= PICK_REQUESTS_PER_PROBE ||
	       now - pick->last_probe_us >= PICK_PROBE_TIMEOUT_US;
}

/* Allocates the tables of a search. */
static int pick_seek_open(struct pick_seek *seek)
{
	size_t size;

	seek->layers = pick_layer_count(seek->pick, seek->net->service);
	size = (size_t)seek->layers + 1;
	seek->is_boundary = calloc(size, sizeof(*seek->is_boundary));
	seek->score = calloc(size, sizeof(*seek->score));
	seek->endpoint = calloc(size, sizeof(*seek->endpoint));
	seek->end = calloc(size, sizeof(*seek->end));
	seek->stages = calloc(size, sizeof(*seek->stages));
	if (!seek->is_boundary || !seek->score || !seek->endpoint ||
	    !seek->end || !seek->stages)
		return PICK_E_MEMORY;
	pick_seek_mark_boundaries(seek);
	return PICK_OK;
}

/* Frees the tables of a search. */
static void pick_seek_close(struct pick_seek *seek)
{
	free(seek->is_boundary);
	free(seek->score);
	free(seek->endpoint);
	free(seek->end);
	free(seek->stages);
}

/* Marks the boundaries at which a stage may start or end. */
static void pick_seek_mark_boundaries(struct pick_seek *seek)
{
	const struct pick_chain *broken = seek->request->resume_from;
	int i;

	for (i = 0; i < seek->net->flow->boundary_count; i++)
		seek->is_boundary[seek->net->flow->boundaries[i]] = true;
	for (i = 0; broken && i < broken->count; i++) {
		if (broken->stages[i].last_layer < seek->layers) {
			seek->is_boundary[broken->stages[i].first_layer] = true;
			seek->is_boundary[broken->stages[i].last_layer + 1] =
				true;
		}
	}
}

/* Searches once; returns PICK_E_NO_CHAIN if no chain covers all layers. */
static int pick_seek_run(struct pick_seek *seek, struct pick_chain *chain)
{
	pick_seek_solve(seek);
	if (seek->score[0] <= PICK_SCORE_NONE)
		return PICK_E_NO_CHAIN;
	pick_seek_build_chain(seek, chain);
	return PICK_OK;
}

/* Finds the best chain from every boundary on, starting with the last one. */
static void pick_seek_solve(struct pick_seek *seek)
{
	uint32_t from = seek->layers;
	int m;

	seek->score[from] = 0;
	seek->stages[from] = 0;
	while (from-- > 0) {
		seek->score[from] = PICK_SCORE_NONE;
		if (!seek->is_boundary[from])
			continue;
		for (m = 0; m < seek->net->count; m++)
			pick_seek_try_endpoint(seek, from,
					       seek->net->members[m].ep);
	}
}

/* Tries an endpoint as the first stage of a chain from a boundary on. */
static void pick_seek_try_endpoint(struct pick_seek *seek, uint32_t from, int e)
{
	const struct pick_ep *ep = &seek->pick->eps[e];
	uint32_t end;

	if (ep->first_layer > from || ep->end_layer <= from ||
	    !pick_seek_may_use(seek, e))
		return;
	for (end = from + 1; end <= ep->end_layer; end++) {
		double score;

		if (!seek->is_boundary[end] ||
		    seek->score[end] <= PICK_SCORE_NONE ||
		    seek->stages[end] >= MAG_CHAIN_MAX ||
		    pick_seek_chain_has(seek, end, e))
			continue;
		score = pick_stage_score(seek, e, from, end) + seek->score[end];
		if (score <= seek->score[from])
			continue;
		seek->score[from] = score;
		seek->endpoint[from] = e;
		seek->end[from] = end;
		seek->stages[from] = seek->stages[end] + 1;
	}
}

/* Tells whether the best chain from a boundary on already has an endpoint. */
static bool pick_seek_chain_has(const struct pick_seek *seek, uint32_t from,
				int e)
{
	for (; from < seek->layers; from = seek->end[from]) {
		if (seek->endpoint[from] == e)
			return true;
	}
	return false;
}

/* Tells whether an endpoint may serve this request now. */
static bool pick_seek_may_use(const struct pick_seek *seek, int e)
{
	const struct pick_ep *ep = &seek->pick->eps[e];
	int i;

	for (i = 0; i < seek->request->avoid_count; i++) {
		if (seek->request->avoid[i] == e)
			return false;
	}
	if (e == seek->via)
		return true;
	if (seek->request->alone && ep->suspects > 0 && !seek->ignore_limits)
		return false;
	if (pick_resumed_stage(seek, e))
		return ep->health == PICK_HEALTHY;
	if (!pick_accepts_work(ep, seek->now))
		return false;
	return seek->ignore_limits || pick_below_limit(ep, seek->now);
}

/* Returns the endpoint's stage in the chain to resume from, or NULL. */
static const struct pick_stage *pick_resumed_stage(const struct pick_seek *seek,
						   int e)
{
	const struct pick_chain *broken = seek->request->resume_from;
	int i;

	for (i = 0; broken && i < broken->count; i++) {
		if (broken->stages[i].endpoint == e)
			return &broken->stages[i];
	}
	return NULL;
}

/* Returns the contribution of a stage to the score of a chain. */
static double pick_stage_score(const struct pick_seek *seek, int e,
			       uint32_t from, uint32_t end)
{
	const struct pick_stage *resumed = pick_resumed_stage(seek, e);
	double score =
		-PICK_STAGE_COST - pick_relative_load(&seek->pick->eps[e]);

	if (e == seek->via)
		score += PICK_SCORE_VIA;
	if (!resumed)
		return score;
	if (from < resumed->first_layer)
		from = resumed->first_layer;
	if (end > resumed->last_layer + 1)
		end = resumed->last_layer + 1;
	if (from < end)
		score += PICK_SCORE_KEPT_LAYER * (end - from);
	return score;
}

/* Builds the best chain from the tables of the search. */
static void pick_seek_build_chain(const struct pick_seek *seek,
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
 * Returns the endpoint of a network that has been due for a probe longest, or
 * -1.  Data centres with a probe in progress are left out, because one probe is
 * enough to tell whether a data centre is back.
 */
static int pick_find_probe_due(const struct pick *pick,
			       const struct pick_net *net, int64_t now)
{
	int64_t earliest_us = now;
	int due = -1;
	int m;

	for (m = 0; m < net->count; m++) {
		const struct pick_ep *ep = &pick->eps[net->members[m].ep];

		if (ep->health != PICK_EJECTED ||
		    ep->retry_at_us > earliest_us ||
		    ep->cfg.state != CFG_ACTIVE || ep->leaving ||
		    pick_is_data_centre_probed(pick, ep->data_centre))
			continue;
		earliest_us = ep->retry_at_us;
		due = net->members[m].ep;
	}
	return due;
}

/* Tells whether a probe is in progress in a data centre. */
static bool pick_is_data_centre_probed(const struct pick *pick, int data_centre)
{
	int i;

	for (i = 0; i < pick->ep_count; i++) {
		if (pick->eps[i].data_centre == data_centre &&
		    pick->eps[i].health == PICK_PROBING)
			return true;
	}
	return false;
}
