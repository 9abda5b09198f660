#include <string.h>

#include "pick_int.h"

/* Options tried for one chain before it counts as busy. */
#define PICK_WALK_TRIES 64
/* An endpoint less loaded by this part of its limit goes first. */
#define PICK_LOAD_MARGIN 0.1

/* Load (as a part of the limit) that a token of a held prefix outweighs. */
#define PICK_PREFIX_WORTH      0.0005
#define PICK_PREFIX_WORTH_MOST 0.5
/* Streams get slower while they run; this much is kept in hand. */
#define PICK_PACE_MARGIN 1.2

/* A chain in the making. */
struct pick_walk {
	struct pick *pick;
	struct pick_net *net;
	const struct pick_want *want;
	int64_t now;
	int tries;
	bool busy; /* some usable endpoint was at its limit */
	int count;
	struct pick_node *node[MAG_CHAIN_MAX];
	int option[MAG_CHAIN_MAX];
	int from[MAG_CHAIN_MAX]; /* boundaries */
	int to[MAG_CHAIN_MAX];
};

static bool pick_walk_from(struct pick_walk *walk, int k, int centre);
static bool pick_walk_into(struct pick_walk *walk, int k, int option);
static bool pick_walk_out(struct pick_walk *walk, int exit);
static int pick_best_exit(const struct pick_member *member, int k);
static void pick_two(struct pick_walk *walk, const struct pick_node *node,
		     int two[2]);
static void pick_prefer_holder(struct pick_walk *walk,
			       const struct pick_node *node, int two[2]);
static void pick_two_of(struct pick_walk *walk, const struct pick_node *node,
			int two[2], int64_t pace_us);
static bool pick_keeps_pace(const struct pick_walk *walk, int e,
			    int64_t pace_us);
static bool pick_takes(struct pick_walk *walk, int e);
static bool pick_in_walk(const struct pick_walk *walk, int e);
static double pick_rank(struct pick *pick, const struct pick_option *option);
static void pick_charge(struct pick_walk *walk);
static void pick_charge_exits(struct pick_member *member, int from, int to);

/*
 * Chooses a chain along the flow, boundary by boundary: smooth weighted
 * round robin ranks the endpoints, and of the first two the less loaded one
 * goes first.  Returns 0, PICK_E_BUSY or PICK_E_NONE.
 */
int pick_walk(struct pick *pick, struct pick_net *net,
	      const struct pick_want *want, int64_t now,
	      struct pick_chain *chain)
{
	struct pick_walk walk = {
		.pick = pick,
		.net = net,
		.want = want,
		.now = now,
		.tries = PICK_WALK_TRIES,
	};
	int i;

	if (!pick_walk_from(&walk, 0, 0))
		return walk.busy ? PICK_E_BUSY : PICK_E_NONE;
	pick_charge(&walk);
	chain->count = walk.count;
	for (i = 0; i < walk.count; i++) {
		struct pick_stage *stage = &chain->stages[i];

		stage->endpoint = walk.node[i]->options[walk.option[i]].ep;
		stage->first_layer = net->flow->boundaries[walk.from[i]];
		stage->last_layer = net->flow->boundaries[walk.to[i]] - 1;
	}
	return PICK_OK;
}

/* Completes the chain from a boundary on; false if it can't. */
static bool pick_walk_from(struct pick_walk *walk, int k, int centre)
{
	struct pick_net *net = walk->net;
	int two[2] = { -1, -1 };
	int i;

	if (k + 1 == net->flow->boundary_count)
		return true;
	if (walk->count == MAG_CHAIN_MAX)
		return false;
	walk->node[walk->count] =
		&net->nodes[k * walk->pick->centre_count + centre];
	pick_two(walk, walk->node[walk->count], two);
	for (i = 0; i < 2 && two[i] >= 0; i++) {
		if (walk->tries-- <= 0)
			return false;
		if (pick_walk_into(walk, k, two[i]))
			return true;
	}
	return false;
}

/* Goes on through one endpoint, out at the exit whose turn it is. */
static bool pick_walk_into(struct pick_walk *walk, int k, int option)
{
	int e = walk->node[walk->count]->options[option].ep;
	struct pick_member *member =
		&walk->net->members[walk->net->member_of[e]];
	int best = pick_best_exit(member, k);
	int i;

	walk->option[walk->count] = option;
	walk->from[walk->count] = k;
	if (best < 0)
		return false;
	if (pick_walk_out(walk, member->exits[best].bound))
		return true;
	for (i = 0; i < member->exit_count; i++) {
		if (i == best || member->exits[i].bound <= k)
			continue;
		if (pick_walk_out(walk, member->exits[i].bound))
			return true;
	}
	return false;
}

/* Leaves the present endpoint at a boundary and goes on from there. */
static bool pick_walk_out(struct pick_walk *walk, int exit)
{
	int stage = walk->count;
	int e = walk->node[stage]->options[walk->option[stage]].ep;

	walk->to[stage] = exit;
	walk->count++;
	if (pick_walk_from(walk, exit, walk->pick->eps[e].centre))
		return true;
	walk->count = stage;
	return false;
}

/* Returns the exit whose turn it is among those after a boundary, or -1. */
static int pick_best_exit(const struct pick_member *member, int k)
{
	int best = -1;
	int i;

	for (i = 0; i < member->exit_count; i++) {
		const struct pick_exit *exit = &member->exits[i];

		if (exit->bound <= k)
			continue;
		if (best < 0 || exit->credit + exit->weight >
					member->exits[best].credit +
						member->exits[best].weight)
			best = i;
	}
	return best;
}

/*
 * Finds the first two options with room, the better one first.  Those that
 * are too slow for the request's deadline count only if no other is left.
 */
static void pick_two(struct pick_walk *walk, const struct pick_node *node,
		     int two[2])
{
	pick_two_of(walk, node, two, walk->want->pace_us);
	if (two[0] < 0)
		pick_two_of(walk, node, two, 0);
	if (two[0] >= 0 && walk->want->prefix)
		pick_prefer_holder(walk, node, two);
}

/*
 * Puts an endpoint that likely holds the prompt's prefix first, if its work
 * in flight is not so much larger that the wait would cost more than making
 * the prefix again.  A hint that is stale costs just that time.
 */
static void pick_prefer_holder(struct pick_walk *walk,
			       const struct pick_node *node, int two[2])
{
	const struct pick_ep *eps = walk->pick->eps;
	double saved = walk->want->prompt_tokens * PICK_PREFIX_WORTH;
	double most;
	int best = -1;
	int i;

	if (saved > PICK_PREFIX_WORTH_MOST)
		saved = PICK_PREFIX_WORTH_MOST;
	most = pick_load_of(&eps[node->options[two[0]].ep]) + saved;
	for (i = 0; i < node->count; i++) {
		int e = node->options[i].ep;

		if (!pick_cache_holds(&eps[e], walk->want->prefix) ||
		    !pick_takes(walk, e) || pick_load_of(&eps[e]) > most)
			continue;
		most = pick_load_of(&eps[e]);
		best = i;
	}
	if (best < 0 || best == two[0])
		return;
	two[1] = two[0];
	two[0] = best;
}

/* Finds two options whose chains take at most so long for a token. */
static void pick_two_of(struct pick_walk *walk, const struct pick_node *node,
			int two[2], int64_t pace_us)
{
	double rank[2] = { 0, 0 };
	int i;

	for (i = 0; i < node->count; i++) {
		double r;

		if (!pick_takes(walk, node->options[i].ep) ||
		    !pick_keeps_pace(walk, node->options[i].ep, pace_us))
			continue;
		r = pick_rank(walk->pick, &node->options[i]);
		if (two[0] < 0 || r > rank[0]) {
			two[1] = two[0];
			rank[1] = rank[0];
			two[0] = i;
			rank[0] = r;
		} else if (two[1] < 0 || r > rank[1]) {
			two[1] = i;
			rank[1] = r;
		}
	}
	if (two[1] >= 0 && walk->pick->policy == PICK_FLOW) {
		const struct pick_ep *eps = walk->pick->eps;
		const struct pick_ep *a = &eps[node->options[two[0]].ep];
		const struct pick_ep *b = &eps[node->options[two[1]].ep];

		if (pick_load_of(b) + PICK_LOAD_MARGIN < pick_load_of(a)) {
			int first = two[0];

			two[0] = two[1];
			two[1] = first;
		}
	}
}

/* Tells whether streams through an endpoint are fast enough; 0: always. */
static bool pick_keeps_pace(const struct pick_walk *walk, int e,
			    int64_t pace_us)
{
	return pace_us <= 0 || walk->pick->policy != PICK_FLOW ||
	       walk->pick->eps[e].chain_us * PICK_PACE_MARGIN <=
		       (double)pace_us;
}

/* Tells whether an endpoint may join this chain now. */
static bool pick_takes(struct pick_walk *walk, int e)
{
	const struct pick_ep *ep = &walk->pick->eps[e];
	int i;

	if (!pick_open(ep, walk->now))
		return false;
	for (i = 0; i < walk->want->avoid_count; i++) {
		if (walk->want->avoid[i] == e)
			return false;
	}
	if (pick_in_walk(walk, e))
		return false;
	if (pick_has_room(ep, walk->now))
		return true;
	walk->busy = true;
	return false;
}

/* Tells whether an endpoint has a stage of this chain already. */
static bool pick_in_walk(const struct pick_walk *walk, int e)
{
	int i;

	for (i = 0; i < walk->count; i++) {
		if (walk->node[i]->options[walk->option[i]].ep == e)
			return true;
	}
	return false;
}

/* Ranks an option under the policy in use; the highest goes first. */
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
 * Settles the round robin of each boundary passed: every option with room
 * earns its weight, the chosen one pays the sum.  An option without room
 * earns nothing, or it would get a burst when it has room again.
 */
static void pick_charge(struct pick_walk *walk)
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

			if (!pick_open(ep, walk->now) ||
			    !pick_has_room(ep, walk->now))
				continue;
			option->credit += option->weight;
			sum += option->weight;
		}
		node->options[walk->option[s]].credit -= sum;
		pick_charge_exits(
			&walk->net->members[walk->net->member_of[chosen]],
			walk->from[s], walk->to[s]);
	}
}

/* Settles the round robin of an endpoint's exits after a boundary. */
static void pick_charge_exits(struct pick_member *member, int from, int to)
{
	double sum = 0;
	int i;

	for (i = 0; i < member->exit_count; i++) {
		if (member->exits[i].bound <= from)
			continue;
		member->exits[i].credit += member->exits[i].weight;
		sum += member->exits[i].weight;
	}
	for (i = 0; i < member->exit_count; i++) {
		if (member->exits[i].bound == to)
			member->exits[i].credit -= sum;
	}
}

/* Returns a random number in 0 .. 1, the next of the seeded sequence. */
double pick_random(struct pick *pick)
{
	return mag_random_unit(&pick->random);
}
