#include <stdlib.h>

#include "plc_int.h"

/* Chooses the order that improves the placement of a service most. */

/* The layers that the engines of one service hold or will hold. */
struct plc_snapshot {
	const struct plc *plc;
	uint32_t layers;
	struct flow_stage *stages; /* one per engine of the fleet */
	int count;
	bool *reachable;
	int data_centre_count;
};

static int plc_snapshot_init(struct plc_snapshot *snapshot,
			     const struct plc *plc, int service);
static void plc_snapshot_free(struct plc_snapshot *snapshot);
static bool plc_may_order(const struct plc *plc,
			  const struct plc_engine *engine, int64_t now);
static void plc_set_stage(const struct plc_snapshot *snapshot, size_t i,
			  const struct plc_range *range);
static bool plc_expected_range(const struct plc_engine *engine,
			       struct plc_range *range);
static uint32_t plc_uncovered(const struct plc_snapshot *snapshot, int *first,
			      int *last);
static double plc_max_flow(const struct plc_snapshot *snapshot);
static void plc_try_range(struct plc_snapshot *snapshot, int index,
			  const struct plc_range *range,
			  struct plc_candidate *best,
			  const struct plc_candidate *current);
static bool plc_is_better(const struct plc_candidate *candidate,
			  const struct plc_candidate *best,
			  const struct plc_candidate *current);
static uint32_t plc_layers_to_load(const struct plc_engine *engine,
				   const struct plc_range *range);

/*
 * Chooses the next order for a service.  An order that covers layers which no
 * engine holds comes first, then the one with the largest gain in maximum
 * flow per layer loaded from the weight store, then one for an engine that
 * holds nothing.  Returns false if no order is worth its load.
 */
bool plc_choose_order(const struct plc *plc, int service, int64_t now,
		      struct plc_candidate *best, double *flow_now,
		      uint32_t *uncovered_now)
{
	struct plc_candidate current = { .engine = PLC_NONE };
	struct plc_snapshot snapshot;
	int first;
	int last;
	size_t i;

	best->engine = PLC_NONE;
	if (plc_snapshot_init(&snapshot, plc, service))
		return false;
	current.uncovered = plc_uncovered(&snapshot, &first, &last);
	current.flow = plc_max_flow(&snapshot);
	*flow_now = current.flow;
	*uncovered_now = current.uncovered;
	for (i = 0; i < plc->engine_count; i++) {
		const struct plc_engine *engine = &plc->engines[i];
		uint32_t span = engine->declared.last - engine->declared.first;
		struct plc_range from_gap_start = { (uint32_t)first,
						    (uint32_t)first + span };
		struct plc_range to_gap_end = { (uint32_t)last - span,
						(uint32_t)last };

		if (engine->service != service ||
		    !plc_may_order(plc, engine, now))
			continue;
		plc_try_range(&snapshot, (int)i, &engine->declared, best,
			      &current);
		if (!plc->settings.allow_moves || current.uncovered == 0)
			continue;
		if (from_gap_start.last >= snapshot.layers)
			from_gap_start.last = snapshot.layers - 1;
		if (to_gap_end.first > to_gap_end.last)
			to_gap_end.first = 0;
		plc_try_range(&snapshot, (int)i, &from_gap_start, best,
			      &current);
		plc_try_range(&snapshot, (int)i, &to_gap_end, best, &current);
	}
	plc_snapshot_free(&snapshot);
	return best->engine != PLC_NONE;
}

/* True while an engine answers state requests. */
bool plc_engine_up(const struct plc_engine *engine)
{
	return engine->state_known && engine->failures < PLC_FAILURES_MAX;
}

/* True if two ranges are equal. */
bool plc_range_equal(const struct plc_range *a, const struct plc_range *b)
{
	return a->first == b->first && a->last == b->last;
}

/* True if an engine may be sent an order now. */
static bool plc_may_order(const struct plc *plc,
			  const struct plc_engine *engine, int64_t now)
{
	if (!engine->local || engine->leaving || !plc_engine_up(engine))
		return false;
	if (engine->load_due || engine->loading ||
	    engine->no_order_until_us > now)
		return false;
	return engine->checks_fencing || plc->handover_until_us <= now;
}

/* Builds the stages as they will be once all current orders are done. */
static int plc_snapshot_init(struct plc_snapshot *snapshot,
			     const struct plc *plc, int service)
{
	size_t i;

	snapshot->plc = plc;
	snapshot->layers = plc->set->services[service].layers;
	snapshot->count = (int)plc->engine_count;
	snapshot->data_centre_count = 1;
	snapshot->stages =
		calloc(plc->engine_count + 1, sizeof(*snapshot->stages));
	snapshot->reachable = NULL;
	if (!snapshot->stages)
		return PLC_E_MEMORY;
	for (i = 0; i < plc->engine_count; i++) {
		struct plc_range range;

		if (plc->engines[i].data_centre >= snapshot->data_centre_count)
			snapshot->data_centre_count =
				plc->engines[i].data_centre + 1;
		if (plc->engines[i].service == service &&
		    plc_expected_range(&plc->engines[i], &range))
			plc_set_stage(snapshot, i, &range);
		else
			plc_set_stage(snapshot, i, NULL);
	}
	snapshot->reachable =
		malloc((size_t)snapshot->data_centre_count *
		       (size_t)snapshot->data_centre_count * sizeof(bool));
	if (!snapshot->reachable) {
		plc_snapshot_free(snapshot);
		return PLC_E_MEMORY;
	}
	for (i = 0; i < (size_t)snapshot->data_centre_count *
				(size_t)snapshot->data_centre_count;
	     i++)
		snapshot->reachable[i] = true;
	return PLC_OK;
}

static void plc_snapshot_free(struct plc_snapshot *snapshot)
{
	free(snapshot->stages);
	free(snapshot->reachable);
}

/*
 * Finds the range that an engine holds or will hold.  An engine of another
 * data centre is assumed to hold its declared range, as the lease holder
 * there manages it.
 */
static bool plc_expected_range(const struct plc_engine *engine,
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

/* Sets the range of an engine's stage; NULL excludes the stage. */
static void plc_set_stage(const struct plc_snapshot *snapshot, size_t i,
			  const struct plc_range *range)
{
	const struct plc_engine *engine = &snapshot->plc->engines[i];
	struct flow_stage *stage = &snapshot->stages[i];
	uint32_t declared = engine->declared.last - engine->declared.first + 1;

	stage->data_centre = engine->data_centre;
	stage->link_rate = engine->link_tokens_per_s;
	if (!range) {
		stage->rate = 0;
		stage->first_layer = 0;
		stage->end_layer = 1;
		return;
	}
	stage->first_layer = range->first;
	stage->end_layer = range->last + 1;
	stage->rate = engine->tokens_per_s * declared /
		      (stage->end_layer - stage->first_layer);
}

/* Counts the layers that no stage holds; first and last are the first gap's
 * ends. */
static uint32_t plc_uncovered(const struct plc_snapshot *snapshot, int *first,
			      int *last)
{
	uint32_t count = 0;
	uint32_t layer;
	int i;

	*first = 0;
	*last = 0;
	for (layer = 0; layer < snapshot->layers; layer++) {
		bool covered = false;

		for (i = 0; i < snapshot->count && !covered; i++)
			covered = snapshot->stages[i].rate > 0 &&
				  snapshot->stages[i].first_layer <= layer &&
				  snapshot->stages[i].end_layer > layer;
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

static double plc_max_flow(const struct plc_snapshot *snapshot)
{
	struct flow_net_input in = { .layers = snapshot->layers,
				     .stages = snapshot->stages,
				     .stage_count = snapshot->count,
				     .data_centre_count =
					     snapshot->data_centre_count,
				     .reachable = snapshot->reachable };

	return flow_net_max_flow(&in);
}

/* Evaluates one possible order and stores it if it is the best so far. */
static void plc_try_range(struct plc_snapshot *snapshot, int index,
			  const struct plc_range *range,
			  struct plc_candidate *best,
			  const struct plc_candidate *current)
{
	const struct plc_engine *engine = &snapshot->plc->engines[index];
	struct flow_stage before = snapshot->stages[index];
	struct plc_candidate candidate = { .engine = index, .range = *range };
	int first;
	int last;

	if (engine->holds && plc_range_equal(&engine->held, range))
		return;
	plc_set_stage(snapshot, (size_t)index, range);
	candidate.uncovered = plc_uncovered(snapshot, &first, &last);
	candidate.flow = plc_max_flow(snapshot);
	candidate.layers_to_load = plc_layers_to_load(engine, range);
	candidate.engine_empty = !engine->holds;
	candidate.declared = plc_range_equal(&engine->declared, range);
	snapshot->stages[index] = before;
	if (plc_is_better(&candidate, best, current))
		*best = candidate;
}

/* True if an order is worth its load and better than the best so far. */
static bool plc_is_better(const struct plc_candidate *candidate,
			  const struct plc_candidate *best,
			  const struct plc_candidate *current)
{
	double gain = (candidate->flow - current->flow) /
		      (candidate->layers_to_load + 1);
	double best_gain =
		(best->flow - current->flow) / (best->layers_to_load + 1);

	if (candidate->uncovered > current->uncovered)
		return false;
	if (candidate->uncovered == current->uncovered &&
	    !candidate->engine_empty &&
	    candidate->flow < current->flow * PLC_MIN_GAIN)
		return false;
	if (best->engine == PLC_NONE)
		return true;
	if (candidate->uncovered != best->uncovered)
		return candidate->uncovered < best->uncovered;
	if (gain != best_gain)
		return gain > best_gain;
	if (candidate->declared != best->declared)
		return candidate->declared;
	return candidate->layers_to_load < best->layers_to_load;
}

/* Returns how many layers an engine would load from the weight store. */
static uint32_t plc_layers_to_load(const struct plc_engine *engine,
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
