#include <string.h>

#include "pick_int.h"

/* Options tried for one chain before the search is given up. */
#define PICK_WALK_TRIES 64
/* The second candidate is preferred if its relative load is lower by this. */
#define PICK_LOAD_MARGIN 0.1

/* Relative load that is outweighed by each prompt token of a cached prefix. */
#define PICK_PREFIX_LOAD_PER_TOKEN 0.0005
#define PICK_PREFIX_LOAD_MAX	   0.5
/* Streams get slower while they run, so they must be faster by this factor. */
#define PICK_SLOWDOWN_MARGIN 1.2

/* The state of the search for one chain. */
struct pick_walk {
	struct pick *pick;
	struct pick_net *net;
	const struct pick_request *request;
	int64_t now;
	int tries;
	bool busy; /* some usable endpoint was at its limit */
	int count;
	struct pick_node *node[MAG_CHAIN_MAX];
	int option[MAG_CHAIN_MAX];
	int from[MAG_CHAIN_MAX]; /* boundaries */
	int to[MAG_CHAIN_MAX];
};

static bool pick_walk_from(struct pick_walk *walk, int boundary,
			   int data_centre);
static bool pick_walk_through(struct pick_walk *walk, int boundary, int option);
static bool pick_walk_exit_at(struct pick_walk *walk, int exit);
static int pick_best_exit(const struct pick_member *member, int boundary);
static void pick_find_candidates(struct pick_walk *walk,
				 const struct pick_node *node,
				 int candidates[2]);
static void pick_prefer_prefix_holder(struct pick_walk *walk,
				      const struct pick_node *node,
				      int candidates[2]);
static void pick_rank_candidates(struct pick_walk *walk,
				 const struct pick_node *node,
				 int candidates[2], int64_t max_token_us);
static bool pick_is_fast_enough(const struct pick_walk *walk, int e,
				int64_t max_token_us);
static bool pick_may_add(struct pick_walk *walk, int e);
static bool pick_walk_has(const struct pick_walk *walk, int e);
static double pick_rank(struct pick *pick, const struct pick_option *option);
static void pick_update_credits(struct pick_walk *walk);
static void pick_update_exit_credits(struct pick_member *member, int from,
				     int to);

/*
 * Chooses a chain along the flow, boundary by boundary.  Smooth weighted round
 * robin ranks the endpoints; of the first two, the less loaded one is tried
 * first.  Returns 0, PICK_E_BUSY or PICK_E_NO_CHAIN.
 */
int pick_walk(struct pick *pick, struct pick_net *net,
	      const struct pick_request *request, int64_t now,
	      struct pick_chain *chain)
{
	struct pick_walk walk = {
		.pick = pick,
		.net = net,
		.request = request,
		.now = now,
		.tries = PICK_WALK_TRIES,
	};
	int i;

	if (!pick_walk_from(&walk, 0, 0))
		return walk.busy ? PICK_E_BUSY : PICK_E_NO_CHAIN;
	pick_update_credits(&walk);
	chain->count = walk.count;
	for (i = 0; i < walk.count; i++) {
		struct pick_stage *stage = &chain->stages[i];

		stage->endpoint = walk.node[i]->options[walk.option[i]].ep;
		stage->first_layer = net->flow->boundaries[walk.from[i]];
		stage->last_layer = net->flow->boundaries[walk.to[i]] - 1;
	}
	return PICK_OK;
}

/*
 * Completes the chain from a boundary on; returns false if this is impossible.
 */
static bool pick_walk_from(struct pick_walk *walk, int boundary,
			   int data_centre)
{
	struct pick_net *net = walk->net;
	int candidates[2] = { -1, -1 };
	int i;

	if (boundary + 1 == net->flow->boundary_count)
		return true;
	if (walk->count == MAG_CHAIN_MAX)
		return false;
	walk->node[walk->count] =
		&net->nodes[boundary * walk->pick->data_centre_count +
			    data_centre];
	pick_find_candidates(walk, walk->node[walk->count], candidates);
	for (i = 0; i < 2 && candidates[i] >= 0; i++) {
		if (walk->tries-- <= 0)
			return false;
		if (pick_walk_through(walk, boundary, candidates[i]))
			return true;
	}
	return false;
}

/*
 * Continues the chain through one endpoint.  The exit that is next in the round
 * robin is tried first, then the others.
 */
static bool pick_walk_through(struct pick_walk *walk, int boundary, int option)
{
	int e = walk->node[walk->count]->options[option].ep;
	struct pick_member *member =
		&walk->net->members[walk->net->member_index[e]];
	int best = pick_best_exit(member, boundary);
	int i;

	walk->option[walk->count] = option;
	walk->from[walk->count] = boundary;
	if (best < 0)
		return false;
	if (pick_walk_exit_at(walk, member->exits[best].boundary))
		return true;
	for (i = 0; i < member->exit_count; i++) {
		if (i == best || member->exits[i].boundary <= boundary)
			continue;
		if (pick_walk_exit_at(walk, member->exits[i].boundary))
			return true;
	}
	return false;
}

/* Ends the current stage at a boundary and continues from there. */
static bool pick_walk_exit_at(struct pick_walk *walk, int exit)
{
	int stage = walk->count;
	int e = walk->node[stage]->options[walk->option[stage]].ep;

	walk->to[stage] = exit;
	walk->count++;
	if (pick_walk_from(walk, exit, walk->pick->eps[e].data_centre))
		return true;
	walk->count = stage;
	return false;
}

/* Returns the exit after a boundary that is next in the round robin, or -1. */
static int pick_best_exit(const struct pick_member *member, int boundary)
{
	int best = -1;
	int i;

	for (i = 0; i < member->exit_count; i++) {
		const struct pick_exit *exit = &member->exits[i];

		if (exit->boundary <= boundary)
			continue;
		if (best < 0 || exit->credit + exit->weight >
					member->exits[best].credit +
						member->exits[best].weight)
			best = i;
	}
	return best;
}

/*
 * Finds the two best options below their limit, the better one first.  Options
 * that are too slow for the request's deadline are used only if there is no
 * other.
 */
static void pick_find_candidates(struct pick_walk *walk,
				 const struct pick_node *node,
				 int candidates[2])
{
	pick_rank_candidates(walk, node, candidates,
			     walk->request->max_token_us);
	if (candidates[0] < 0)
		pick_rank_candidates(walk, node, candidates, 0);
	if (candidates[0] >= 0 && walk->request->prefix_hash)
		pick_prefer_prefix_holder(walk, node, candidates);
}

/*
 * Prefers an endpoint that probably caches the prompt's prefix, unless its
 * relative load is so much higher that waiting would cost more than computing
 * the prefix again.  If the hint is stale, the only cost is that wait.
 */
static void pick_prefer_prefix_holder(struct pick_walk *walk,
				      const struct pick_node *node,
				      int candidates[2])
{
	const struct pick_ep *eps = walk->pick->eps;
	double saved_load =
		walk->request->prompt_tokens * PICK_PREFIX_LOAD_PER_TOKEN;
	double max_load;
	int best = -1;
	int i;

	if (saved_load > PICK_PREFIX_LOAD_MAX)
		saved_load = PICK_PREFIX_LOAD_MAX;
	max_load = pick_relative_load(&eps[node->options[candidates[0]].ep]) +
		   saved_load;
	for (i = 0; i < node->count; i++) {
		int e = node->options[i].ep;

		if (!pick_cache_holds(&eps[e], walk->request->prefix_hash) ||
		    !pick_may_add(walk, e) ||
		    pick_relative_load(&eps[e]) > max_load)
			continue;
		max_load = pick_relative_load(&eps[e]);
		best = i;
	}
	if (best < 0 || best == candidates[0])
		return;
	candidates[1] = candidates[0];
	candidates[0] = best;
}

/*
 * Finds the two best options whose chains take at most max_token_us per token.
 */
static void pick_rank_candidates(struct pick_walk *walk,
				 const struct pick_node *node,
				 int candidates[2], int64_t max_token_us)
{
	double rank[2] = { 0, 0 };
	int i;

	for (i = 0; i < node->count; i++) {
		double r;

		if (!pick_may_add(walk, node->options[i].ep) ||
		    !pick_is_fast_enough(walk, node->options[i].ep,
					 max_token_us))
			continue;
		r = pick_rank(walk->pick, &node->options[i]);
		if (candidates[0] < 0 || r > rank[0]) {
			candidates[1] = candidates[0];
			rank[1] = rank[0];
			candidates[0] = i;
			rank[0] = r;
		} else if (candidates[1] < 0 || r > rank[1]) {
			candidates[1] = i;
			rank[1] = r;
		}
	}
	if (candidates[1] >= 0 && walk->pick->policy == PICK_FLOW) {
		const struct pick_ep *eps = walk->pick->eps;
		const struct pick_ep *a = &eps[node->options[candidates[0]].ep];
		const struct pick_ep *b = &eps[node->options[candidates[1]].ep];

		if (pick_relative_load(b) + PICK_LOAD_MARGIN <
		    pick_relative_load(a)) {
			int first = candidates[0];

			candidates[0] = candidates[1];
			candidates[1] = first;
		}
	}
}

/*
 * Tells whether streams through an endpoint are fast enough for max_token_us; 0
 * means no limit.
 */
static bool pick_is_fast_enough(const struct pick_walk *walk, int e,
				int64_t max_token_us)
{
	return max_token_us <= 0 || walk->pick->policy != PICK_FLOW ||
	       walk->pick->eps[e].mean_chain_us * PICK_SLOWDOWN_MARGIN <=
		       (double)max_token_us;
}

/* Tells whether an endpoint may be added to this chain now. */
static bool pick_may_add(struct pick_walk *walk, int e)
{
	const struct pick_ep *ep = &walk->pick->eps[e];
	int i;

	if (!pick_accepts_work(ep, walk->now))
		return false;
	for (i = 0; i < walk->request->avoid_count; i++) {
		if (walk->request->avoid[i] == e)
			return false;
	}
	if (pick_walk_has(walk, e))
		return false;
	if (pick_below_limit(ep, walk->now))
		return true;
	walk->busy = true;
	return false;
}

/* Tells whether this chain already has a stage on an endpoint. */
static bool pick_walk_has(const struct pick_walk *walk, int e)
{
	int i;

	for (i = 0; i < walk->count; i++) {
		if (walk->node[i]->options[walk->option[i]].ep == e)
			return true;
	}
	return false;
}

/*
 * Returns the rank of an option under the current policy; the highest is tried
 * first.
 */
static double pick_rank(struct pick *pick, const struct pick_option *option)
{
	switch (pick->policy) {
	case PICK_LEAST_IN_FLIGHT:
		return -(double)pick->eps[option->ep].in_flight +
		       pick_random(pick);
	case PICK_RANDOM:
		return pick_random(pick);
	default:
		return option->credit + option->weight;
	}
}

/*
 * Updates the round robin of each boundary of the chain: every option below its
 * limit gains its weight as credit, and the chosen one loses the sum of these
 * weights.  An option at its limit gains nothing; otherwise it would get a
 * burst of requests as soon as it is below its limit again.
 */
static void pick_update_credits(struct pick_walk *walk)
{
	int s;
	int i;

	for (s = 0; s < walk->count; s++) {
		struct pick_node *node = walk->node[s];
		int chosen = node->options[walk->option[s]].ep;
		double sum = 0;

		for (i = 0; i < node->count; i++) {
			struct pick_option *option = &node->options[i];
			const struct pick_ep *ep = &walk->pick->eps[option->ep];

			if (!pick_accepts_work(ep, walk->now) ||
			    !pick_below_limit(ep, walk->now))
				continue;
			option->credit += option->weight;
			sum += option->weight;
		}
		node->options[walk->option[s]].credit -= sum;
		pick_update_exit_credits(
			&walk->net->members[walk->net->member_index[chosen]],
			walk->from[s], walk->to[s]);
	}
}

/* Updates the round robin of an endpoint's exits after a boundary. */
static void pick_update_exit_credits(struct pick_member *member, int from,
				     int to)
{
	double sum = 0;
	int i;

	for (i = 0; i < member->exit_count; i++) {
		if (member->exits[i].boundary <= from)
			continue;
		member->exits[i].credit += member->exits[i].weight;
		sum += member->exits[i].weight;
	}
	for (i = 0; i < member->exit_count; i++) {
		if (member->exits[i].boundary == to)
			member->exits[i].credit -= sum;
	}
}

/* Returns a random number from 0 to 1, the next of the seeded sequence. */
double pick_random(struct pick *pick)
{
	return mag_random_unit(&pick->random_state);
}
