#include <stdlib.h>
#include <string.h>

#include "sim.h"

#define SIM_HOP_NEAR_US	    200 /* one way within a data centre */
#define SIM_HOP_FAR_US	    800
#define SIM_RESET_US	    1000 /* until a connection reset is detected */
#define SIM_CONNECT_US	    (300 * MAG_US_PER_MS) /* connect timeout */
#define SIM_PROGRESS_US	    (100 * MAG_US_PER_MS)
#define SIM_REPORT_EVERY_US MAG_US_PER_S
#define SIM_REBUILD	    20 /* cached tokens rebuilt per token of work */

static int sim_stream_alloc(struct sim *sim);
static void sim_stream_free(struct sim *sim, int at);
static void sim_end(struct sim *sim, int at, enum core_end end, int stage,
		    int64_t when);
static bool sim_reaches(const struct sim *sim, int centre, int other);
static int64_t sim_serve(struct sim *sim, struct sim_stream *s);
static int64_t sim_queue(int64_t *free_us, int64_t from, double seconds);
static void sim_delivered(struct sim *sim, int at, int64_t when);
static void sim_progress(struct sim *sim, const struct sim_stream *s);
static void sim_kill(struct sim *sim, int stage);

/* Starts an attempt on its chain, or schedules its failure. */
void sim_dispatch(struct sim *sim, int router,
		  const struct core_dispatch *dispatch)
{
	struct sim_call *call = sim_call_of(sim, dispatch->req);
	int at = sim_stream_alloc(sim);
	struct sim_stream *s = &sim->streams[at];
	struct sim_stage *first;
	int i;

	sim->result->attempts++;
	s->router = router;
	s->call = (int)(call - sim->calls);
	s->attempt = dispatch->attempt;
	s->count = dispatch->stage_count;
	s->next = dispatch->resume_token;
	s->rebuild = dispatch->attempt > 1 ? dispatch->resume_token : 0;
	for (i = 0; i < s->count; i++) {
		const struct core_stage *from = &dispatch->stages[i];
		struct sim_stage *stage;

		s->stage[i] = sim_stage_by_name(sim, from->endpoint);
		stage = &sim->stages[s->stage[i]];
		s->share[i] = (from->last_layer + 1.0 - from->first_layer) /
			      (stage->end - stage->first);
		stage->running++;
	}
	first = &sim->stages[s->stage[0]];
	if (first->dead) {
		sim_end(sim, at, CORE_END_NOT_CONNECTED, 0,
			sim->now + SIM_RESET_US);
	} else if (!sim_reaches(sim, router % SIM_CENTRES, first->centre)) {
		sim_end(sim, at, CORE_END_NOT_CONNECTED, 0,
			sim->now + SIM_CONNECT_US);
	} else if (first->running > first->concurrency) {
		sim_end(sim, at, CORE_END_REFUSED, 0,
			sim->now + SIM_HOP_FAR_US);
	} else {
		sim_schedule(sim, sim->now + SIM_HOP_NEAR_US, SIM_EV_TOKEN, at,
			     s->generation);
	}
}

/* Cancels an attempt at the router's request. */
void sim_cancel(struct sim *sim, int router, const struct core_cancel *cancel)
{
	struct sim_call *call = sim_call_of(sim, cancel->req);
	int i;

	for (i = 0; i < sim->stream_count; i++) {
		struct sim_stream *s = &sim->streams[i];

		if (s->used && s->router == router &&
		    s->attempt == cancel->attempt &&
		    &sim->calls[s->call] == call)
			sim_end(sim, i, CORE_END_CANCELLED, -1,
				sim->now + SIM_HOP_NEAR_US);
	}
}

/* Handles the arrival of a token at its stream's current stage. */
void sim_token(struct sim *sim, int at, uint32_t generation)
{
	struct sim_stream *s = &sim->streams[at];
	struct sim_stage *stage;
	int64_t done;

	if (!s->used || s->generation != generation)
		return;
	stage = &sim->stages[s->stage[s->at]];
	if (sim->calls[s->call].poison && !stage->dead &&
	    s->at == s->count - 1) {
		sim->result->killed++;
		sim_kill(sim, s->stage[s->at]);
		sim->result->bound_after = sim_bound(sim);
		return;
	}
	if (stage->hung)
		return;
	if (stage->dead) {
		sim_end(sim, at, s->at ? CORE_END_STAGE : CORE_END_DISCONNECTED,
			s->at, sim->now + SIM_RESET_US);
		return;
	}
	done = sim_serve(sim, s);
	s->hop_us[s->at] = (uint32_t)(done - sim->now);
	s->at++;
	if (s->at == s->count) {
		sim_delivered(sim, at, done);
		return;
	}
	/* A token sent over a partitioned link is lost. */
	if (!sim_reaches(sim, stage->centre,
			 sim->stages[s->stage[s->at]].centre))
		return;
	done += stage->centre == sim->stages[s->stage[s->at]].centre
			? SIM_HOP_NEAR_US
			: SIM_HOP_FAR_US;
	sim_schedule(sim, done, SIM_EV_TOKEN, at, generation);
}

/* Reports the end of an attempt to its router. */
void sim_ended(struct sim *sim, int at, uint32_t generation)
{
	struct core_event event = { .type = CORE_EV_ENDED };
	struct sim_stream *s = &sim->streams[at];
	int router = s->router;

	if (!s->used || s->generation != generation)
		return;
	event.ended.req = sim->calls[s->call].req;
	event.ended.attempt = s->attempt;
	event.ended.end = s->end;
	event.ended.stage = s->end_stage;
	event.ended.status = s->end == CORE_END_COMPLETE ? 200 : 503;
	event.ended.tokens = s->next;
	sim_stream_free(sim, at);
	sim_post(sim, router, &event);
}

/* Injects a fault and computes the bound again. */
void sim_fault(struct sim *sim, const struct sim_fault *fault)
{
	int target =
		fault->target == SIM_LARGEST ? sim_largest(sim) : fault->target;
	struct sim_stage *stage = &sim->stages[target < 0 ? 0 : target];
	int i;

	switch (fault->kind) {
	case SIM_KILL:
		sim_kill(sim, target);
		break;
	case SIM_HANG:
		stage->hung = true;
		break;
	case SIM_RESTORE:
		stage->dead = false;
		stage->hung = false;
		break;
	case SIM_LINK:
		stage->link_factor = fault->factor;
		break;
	case SIM_SLOW:
		for (i = 0; i < sim->stage_count; i++) {
			if (target == SIM_ALL || target == i)
				sim->stages[i].slow = fault->factor;
		}
		break;
	case SIM_CUT:
	case SIM_RECONNECT:
		sim->cut[target] = fault->kind == SIM_CUT;
		break;
	case SIM_REPORTS:
		sim->reports = fault->factor > 0;
		break;
	case SIM_DEMAND:
		for (i = 0; i < SIM_ACCOUNTS; i++) {
			if (target < 0 || target == i)
				sim->demand_factor[i] = fault->factor;
		}
		break;
	case SIM_POISON:
		sim_poison(sim, target);
		break;
	}
	sim->result->bound_after = sim_bound(sim);
}

/* Posts the load reports to every router, SIM_REPORT_LAG_US old. */
void sim_report(struct sim *sim)
{
	int r;
	int i;

	sim_schedule(sim, sim->now + SIM_REPORT_EVERY_US, SIM_EV_REPORT, 0, 0);
	for (i = 0; sim->reports && i < sim->stage_count; i++) {
		struct core_event event = { .type = CORE_EV_LOAD };
		const struct sim_stage *s = &sim->stages[i];

		if (s->dead || s->hung)
			continue;
		mag_copy_name(event.load.endpoint, sizeof(event.load.endpoint),
			      s->name);
		event.load.report.tokens_per_s = (uint32_t)s->rate;
		event.load.report.running = s->running;
		event.load.report.measured_at_us = sim->now - SIM_REPORT_LAG_US;
		for (r = 0; r < sim->settings.routers; r++)
			core_post(sim->cores[r], &event);
	}
}

/* Allocates a stream, from the free list if it has one. */
static int sim_stream_alloc(struct sim *sim)
{
	struct sim_stream *s;
	uint32_t generation = 0;
	int at = sim->stream_free;

	if (at >= 0) {
		sim->stream_free = sim->streams[at].call;
		generation = sim->streams[at].generation;
	} else {
		if (sim->stream_count == sim->stream_capacity) {
			sim->stream_capacity = 2 * sim->stream_capacity + 64;
			sim->streams = realloc(sim->streams,
					       (size_t)sim->stream_capacity *
						       sizeof(*s));
		}
		at = sim->stream_count++;
	}
	s = &sim->streams[at];
	memset(s, 0, sizeof(*s));
	s->used = true;
	s->generation = generation + 1;
	return at;
}

/* Frees a stream and its concurrency slots on its stages. */
static void sim_stream_free(struct sim *sim, int at)
{
	struct sim_stream *s = &sim->streams[at];
	int i;

	for (i = 0; i < s->count; i++)
		sim->stages[s->stage[i]].running--;
	s->used = false;
	s->generation++;
	s->call = sim->stream_free;
	sim->stream_free = at;
}

/*
 * Ends a stream: its pending events become stale at once, the router receives
 * the end at the given time.
 */
static void sim_end(struct sim *sim, int at, enum core_end end, int stage,
		    int64_t when)
{
	struct sim_stream *s = &sim->streams[at];

	s->generation++;
	s->end = end;
	s->end_stage = stage;
	sim_schedule(sim, when, SIM_EV_ENDED, at, s->generation);
}

/* Tells whether two data centres are connected. */
static bool sim_reaches(const struct sim *sim, int centre, int other)
{
	return centre == other || (!sim->cut[centre] && !sim->cut[other]);
}

/* Serves one token at a stage; returns its departure time. */
static int64_t sim_serve(struct sim *sim, struct sim_stream *s)
{
	struct sim_stage *stage = &sim->stages[s->stage[s->at]];
	double link = 1 / (stage->link * stage->link_factor);
	double work = s->share[s->at] / (stage->rate * stage->slow);
	int64_t at = sim->now;

	if (s->rebuild && s->at == s->count - 1) {
		/* Charged once, at the last stage, as an upper bound. */
		work += work * s->rebuild / SIM_REBUILD;
		s->rebuild = 0;
	}
	if (sim->settings.prefixes)
		work += work * sim_prefill(sim, s);
	if (s->at > 0)
		at = sim_queue(&stage->in_free_us, at, link);
	at = sim_queue(&stage->free_us, at, work) + stage->step_us;
	if (s->at + 1 < s->count)
		at = sim_queue(&stage->out_free_us, at, link);
	sim->result->tokens_processed += 1.0 / s->count;
	return at;
}

/* Occupies a FIFO server for some seconds; returns the completion time. */
static int64_t sim_queue(int64_t *free_us, int64_t from, double seconds)
{
	if (*free_us < from)
		*free_us = from;
	*free_us += (int64_t)(seconds * (double)MAG_US_PER_S);
	return *free_us;
}

/* Handles a token that leaves the last stage. */
static void sim_delivered(struct sim *sim, int at, int64_t when)
{
	struct sim_stream *s = &sim->streams[at];
	struct sim_call *call = &sim->calls[s->call];
	int centre = sim->stages[s->stage[0]].centre;

	call->token_ms[s->next++] = (int32_t)(when / MAG_US_PER_MS);
	s->at = 0;
	if (!sim_reaches(sim, s->router % SIM_CENTRES, centre))
		return;
	if (s->next >= call->tokens) {
		sim_end(sim, at, CORE_END_COMPLETE, -1, when);
		return;
	}
	if (sim->now >= s->progress_us) {
		s->progress_us = sim->now + SIM_PROGRESS_US;
		sim_progress(sim, s);
		s = &sim->streams[at];
	}
	if (s->used)
		sim_schedule(sim, when, SIM_EV_TOKEN, at, s->generation);
}

/* Reports a stream's progress and its hop latencies to the router. */
static void sim_progress(struct sim *sim, const struct sim_stream *s)
{
	struct core_event event = { .type = CORE_EV_PROGRESS };

	event.progress.req = sim->calls[s->call].req;
	event.progress.attempt = s->attempt;
	event.progress.tokens = s->next;
	event.progress.hop_count = s->count;
	memcpy(event.progress.hop_us, s->hop_us, sizeof(s->hop_us));
	sim_post(sim, s->router, &event);
}

/*
 * Kills a stage: every stream with this stage in its chain ends, not only
 * those whose token is at it.
 */
static void sim_kill(struct sim *sim, int stage)
{
	int i;
	int k;

	sim->stages[stage].dead = true;
	for (i = 0; i < sim->stream_count; i++) {
		struct sim_stream *s = &sim->streams[i];

		for (k = 0; s->used && k < s->count; k++) {
			if (s->stage[k] != stage)
				continue;
			sim_end(sim, i,
				k ? CORE_END_STAGE : CORE_END_DISCONNECTED, k,
				sim->now + SIM_RESET_US);
			break;
		}
	}
}
