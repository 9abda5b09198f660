#include <stdlib.h>

#include "plc_int.h"

/* Which order brings a service the most. */

/* What is being weighed: the engines of one service. */
struct plc_scene {
	const struct plc *plc;
	uint32_t layers;
	struct flow_stage *stages; /* one for each engine of the fleet */
	int count;
	bool *joined;
	int centres;
};

static int plc_scene_make(struct plc_scene *scene, const struct plc *plc,
			  int service);
static void plc_scene_free(struct plc_scene *scene);
static bool plc_may_move(const struct plc *plc, const struct plc_engine *engine,
			 int64_t now);
static void plc_set_stage(const struct plc_scene *scene, size_t i,
			  const struct plc_range *range);
static bool plc_range_now(const struct plc_engine *engine,
			  struct plc_range *range);
static uint32_t plc_uncovered(const struct plc_scene *scene, int *first,
			      int *last);
static double plc_flow(const struct plc_scene *scene);
static void plc_try(struct plc_scene *scene, int engine,
		    const struct plc_range *range, struct plc_candidate *best,
		    const struct plc_candidate *now_is);
static bool plc_better(const struct plc_candidate *move,
		       const struct plc_candidate *best,
		       const struct plc_candidate *now_is);
static uint32_t plc_load(const struct plc_engine *engine,
			 const struct plc_range *range);

/*
 * Chooses the order for a service: one that covers layers that nobody holds
 * goes first, then the one that raises the maximum flow most for each layer
 * drawn from the weight store, then an engine that holds nothing.  Returns
 * false if no order is worth its load.
 */
bool plc_choose_order(const struct plc *plc, int service, int64_t now,
		      struct plc_candidate *best, double *flow_now,
		      uint32_t *gap_now)
{
	struct plc_candidate now_is = { .engine = PLC_NONE };
	struct plc_scene scene;
	int first;
	int last;
	size_t i;

	best->engine = PLC_NONE;
	if (plc_scene_make(&scene, plc, service))
		return false;
	now_is.uncovered = plc_uncovered(&scene, &first, &last);
	now_is.flow = plc_flow(&scene);
	*flow_now = now_is.flow;
	*gap_now = now_is.uncovered;
	for (i = 0; i < plc->engine_count; i++) {
		const struct plc_engine *engine = &plc->engines[i];
		uint32_t most = engine->declared.last - engine->declared.first;
		struct plc_range at = { (uint32_t)first,
					(uint32_t)first + most };
		struct plc_range to = { (uint32_t)last - most, (uint32_t)last };

		if (engine->service != service ||
		    !plc_may_move(plc, engine, now))
			continue;
		plc_try(&scene, (int)i, &engine->declared, best, &now_is);
		if (!plc->settings.allow_moves || now_is.uncovered == 0)
			continue;
		if (at.last >= scene.layers)
			at.last = scene.layers - 1;
		if (to.first > to.last)
			to.first = 0;
		plc_try(&scene, (int)i, &at, best, &now_is);
		plc_try(&scene, (int)i, &to, best, &now_is);
	}
	plc_scene_free(&scene);
	return best->engine != PLC_NONE;
}

/* True while an engine answers. */
bool plc_engine_up(const struct plc_engine *engine)
{
	return engine->state_known && engine->failures < PLC_FAILURES_MAX;
}

/* True if two ranges are the same. */
bool plc_range_equal(const struct plc_range *a, const struct plc_range *b)
{
	return a->first == b->first && a->last == b->last;
}

/* True if an engine may be given an order now. */
static bool plc_may_move(const struct plc *plc, const struct plc_engine *engine,
			 int64_t now)
{
	if (!engine->local || engine->leaving || !plc_engine_up(engine))
		return false;
	if (engine->load_due || engine->loading ||
	    engine->no_order_until_us > now)
		return false;
	return engine->checks_fencing || plc->handover_until_us <= now;
}

/* Builds the stages as they are, or will be once what is ordered is there. */
static int plc_scene_make(struct plc_scene *scene, const struct plc *plc,
			  int service)
{
	size_t i;

	scene->plc = plc;
	scene->layers = plc->set->services[service].layers;
	scene->count = (int)plc->engine_count;
	scene->centres = 1;
	scene->stages = calloc(plc->engine_count + 1, sizeof(*scene->stages));
	scene->joined = NULL;
	if (!scene->stages)
		return PLC_E_MEMORY;
	for (i = 0; i < plc->engine_count; i++) {
		struct plc_range range;

		if (plc->engines[i].centre >= scene->centres)
			scene->centres = plc->engines[i].centre + 1;
		if (plc->engines[i].service == service &&
		    plc_range_now(&plc->engines[i], &range))
			plc_set_stage(scene, i, &range);
		else
			plc_set_stage(scene, i, NULL);
	}
	scene->joined = malloc((size_t)scene->centres * (size_t)scene->centres *
			       sizeof(bool));
	if (!scene->joined) {
		plc_scene_free(scene);
		return PLC_E_MEMORY;
	}
	for (i = 0; i < (size_t)scene->centres * (size_t)scene->centres; i++)
		scene->joined[i] = true;
	return PLC_OK;
}

static void plc_scene_free(struct plc_scene *scene)
{
	free(scene->stages);
	free(scene->joined);
}

/*
 * What an engine holds, or will hold.  One of another data centre is taken at
 * its word in the configuration: its own holder looks after it.
 */
static bool plc_range_now(const struct plc_engine *engine,
			  struct plc_range *range)
{
	if (engine->leaving)
		return false;
	if (!engine->local) {
		*range = engine->declared;
		return true;
	}
	if (!plc_engine_up(engine))
		return false;
	if (engine->load_due) {
		*range = engine->target;
		return true;
	}
	*range = engine->held;
	return engine->holds;
}

/* Gives an engine's stage a range; NULL closes it. */
static void plc_set_stage(const struct plc_scene *scene, size_t i,
			  const struct plc_range *range)
{
	const struct plc_engine *engine = &scene->plc->engines[i];
	struct flow_stage *stage = &scene->stages[i];
	uint32_t declared = engine->declared.last - engine->declared.first + 1;

	stage->centre = engine->centre;
	stage->link = engine->link_tokens_per_s;
	if (!range) {
		stage->rate = 0;
		stage->first = 0;
		stage->end = 1;
		return;
	}
	stage->first = range->first;
	stage->end = range->last + 1;
	stage->rate =
		engine->tokens_per_s * declared / (stage->end - stage->first);
}

/* Counts the layers that no stage holds; first and last are the first gap. */
static uint32_t plc_uncovered(const struct plc_scene *scene, int *first,
			      int *last)
{
	uint32_t count = 0;
	uint32_t layer;
	int i;

	*first = 0;
	*last = 0;
	for (layer = 0; layer < scene->layers; layer++) {
		bool covered = false;

		for (i = 0; i < scene->count && !covered; i++)
			covered = scene->stages[i].rate > 0 &&
				  scene->stages[i].first <= layer &&
				  scene->stages[i].end > layer;
		if (covered)
			continue;
		if (count == 0)
			*first = (int)layer;
		if (count == 0 || *last == (int)layer - 1)
			*last = (int)layer;
		count++;
	}
	return count;
}

static double plc_flow(const struct plc_scene *scene)
{
	struct flow_net_in in = { .layers = scene->layers,
				  .stages = scene->stages,
				  .count = scene->count,
				  .centres = scene->centres,
				  .joined = scene->joined };

	return flow_net_value(&in);
}

/* Weighs one order and keeps it if it is the best so far. */
static void plc_try(struct plc_scene *scene, int engine,
		    const struct plc_range *range, struct plc_candidate *best,
		    const struct plc_candidate *now_is)
{
	const struct plc_engine *of = &scene->plc->engines[engine];
	struct flow_stage before = scene->stages[engine];
	struct plc_candidate move = { .engine = engine, .range = *range };
	int first;
	int last;

	if (of->holds && plc_range_equal(&of->held, range))
		return;
	plc_set_stage(scene, (size_t)engine, range);
	move.uncovered = plc_uncovered(scene, &first, &last);
	move.flow = plc_flow(scene);
	move.layers_to_load = plc_load(of, range);
	move.engine_empty = !of->holds;
	move.declared = plc_range_equal(&of->declared, range);
	scene->stages[engine] = before;
	if (plc_better(&move, best, now_is))
		*best = move;
}

/* Says whether an order is worth it, and better than the best so far. */
static bool plc_better(const struct plc_candidate *move,
		       const struct plc_candidate *best,
		       const struct plc_candidate *now_is)
{
	double gain = (move->flow - now_is->flow) / (move->layers_to_load + 1);
	double best_gain =
		(best->flow - now_is->flow) / (best->layers_to_load + 1);

	if (move->uncovered > now_is->uncovered)
		return false;
	if (move->uncovered == now_is->uncovered && !move->engine_empty &&
	    move->flow < now_is->flow * PLC_MIN_GAIN)
		return false;
	if (best->engine == PLC_NONE)
		return true;
	if (move->uncovered != best->uncovered)
		return move->uncovered < best->uncovered;
	if (gain != best_gain)
		return gain > best_gain;
	if (move->declared != best->declared)
		return move->declared;
	return move->layers_to_load < best->layers_to_load;
}

/* How many layers an engine would draw from the weight store. */
static uint32_t plc_load(const struct plc_engine *engine,
			 const struct plc_range *range)
{
	uint32_t load = 0;
	uint32_t layer;

	for (layer = range->first; layer <= range->last; layer++) {
		if (!engine->holds || layer < engine->held.first ||
		    layer > engine->held.last)
			load++;
	}
	return load;
}
