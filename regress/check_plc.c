#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "plc.h"
#include "script.h"

/*
 * Runs the scripts of regress/plc: instances that compete for the lease,
 * engines, and the platform's lease service, all in virtual time.
 */

#define HOLDERS	    3
#define ENGINES	    8
#define QUEUE	    64
#define STEP_US	    (100 * MAG_US_PER_MS)
#define NAME_LETTER 'e'

struct engine {
	bool alive;
	bool checks_fencing;
	uint64_t newest_fence; /* highest fencing number received */
	bool holds;
	uint32_t first;
	uint32_t last;
	bool loading;
	int64_t loaded_us;
	int64_t misplaced_us; /* time since it last held its declared range */
	int64_t max_misplaced_us; /* the longest such time so far */
};

/* An order in flight from a lease holder to an engine and back. */
struct transit {
	int holder;
	bool arrived;
	bool lease_checked; /* compared with send_before_us */
	int64_t at_us;
	struct plc_order order;
	struct plc_order_result result;
};

struct holder {
	struct plc *plc;
	bool paused;
	bool cut;	  /* disconnected from the platform */
	int64_t stall_us; /* delays its next order after the lease check */
	bool call_running;
	struct kv_call call;
};

struct run {
	FILE *out;
	int64_t now;
	struct cfg_set set;
	struct cfg_service service;
	struct cfg_endpoint endpoints[ENGINES];
	struct engine engines[ENGINES];
	struct holder holders[HOLDERS];
	int holder_count;
	struct transit queue[QUEUE];
	int queued;
	char lease_holder[2 * MAG_NAME_MAX];
	int64_t lease_until;
	uint64_t fence;
	bool platform_down;
	int64_t lag_us;	  /* network delay of an order, each way */
	int64_t store_us; /* time to load one layer from the weight store */
	bool moves;
};

static const char *seconds(const struct run *run)
{
	static char text[32];

	snprintf(text, sizeof(text), "%.1f s", (double)run->now / MAG_US_PER_S);
	return text;
}

static void on_log(void *ctx, enum log_prio prio, const char *line)
{
	struct run *run = ctx;

	(void)prio;
	if (strstr(line, "decided") || strstr(line, "lease"))
		fprintf(run->out, "%s %s\n", seconds(run), line);
}

/* Answers a lease call as the platform would. */
static void answer_lease_call(struct run *run, struct holder *holder)
{
	struct kv_reply reply = { .id = holder->call.id,
				  .status = KV_NOT_SENT };
	bool free_now = run->now >= run->lease_until;
	const char *name = holder->call.value;

	bool down = run->platform_down || holder->cut;

	holder->call_running = false;
	if (!down && holder->call.op == KV_LEASE_RELEASE) {
		run->lease_until = 0;
		reply.status = KV_OK;
	} else if (!down) {
		bool same = strcmp(run->lease_holder, name) == 0;

		reply.status = KV_CONFLICT;
		if (same || free_now) {
			run->fence += !same;
			snprintf(run->lease_holder, sizeof(run->lease_holder),
				 "%s", name);
			run->lease_until =
				run->now + holder->call.ttl_ms * MAG_US_PER_MS;
			reply.status = KV_OK;
			reply.version = run->fence;
		}
	}
	free(holder->call.value);
	plc_reply(holder->plc, &reply, run->now);
}

/* Delivers an order or a state request to its engine. */
static void deliver_order(struct run *run, struct transit *transit)
{
	const struct plc_order *order = &transit->order;
	int i = order->endpoint[1] - '0';
	struct engine *engine = &run->engines[i];
	struct plc_order_result *result = &transit->result;
	const char *verdict = "accepted";

	result->id = order->id;
	result->status = engine->alive ? PLC_DONE : PLC_NO_ANSWER;
	if (engine->alive && order->kind == PLC_LOAD) {
		if (run->now > order->deadline_us) {
			result->status = PLC_NO_ANSWER;
			verdict = "past its deadline";
		} else if (engine->checks_fencing &&
			   order->fence < engine->newest_fence) {
			result->status = PLC_REFUSED;
			verdict = "refused, stale fence";
		} else {
			engine->newest_fence = order->fence;
			engine->loading = true;
			engine->holds = false;
			engine->first = order->first_layer;
			engine->last = order->last_layer;
			engine->loaded_us =
				run->now + run->store_us * (engine->last -
							    engine->first + 1);
		}
		fprintf(run->out,
			"%s %s receives %u-%u from i%d, fence %llu: %s\n",
			seconds(run), order->endpoint, order->first_layer,
			order->last_layer, transit->holder,
			(unsigned long long)order->fence, verdict);
	}
	result->loading = engine->loading;
	snprintf(result->model, MAG_NAME_MAX, "%s",
		 engine->holds || engine->loading ? "m" : "");
	result->first_layer = engine->first;
	result->last_layer = engine->last;
}

/* Advances an order; true once its result is back at the holder. */
static bool advance_order(struct run *run, struct transit *transit)
{
	struct holder *holder = &run->holders[transit->holder];

	if (!transit->lease_checked) {
		if (holder->paused)
			return false;
		transit->lease_checked = true;
		if (run->now >= transit->order.send_before_us) {
			transit->result.id = transit->order.id;
			transit->result.status = PLC_UNSENT;
			fprintf(run->out, "%s i%d drops an order unsent\n",
				seconds(run), transit->holder);
			transit->arrived = true;
			transit->at_us = run->now;
		} else {
			transit->at_us = run->now + run->lag_us;
			if (transit->order.kind == PLC_LOAD) {
				transit->at_us += holder->stall_us;
				holder->stall_us = 0;
			}
		}
	}
	if (run->now < transit->at_us)
		return false;
	if (!transit->arrived) {
		deliver_order(run, transit);
		transit->arrived = true;
		transit->at_us = run->now + run->lag_us;
		return false;
	}
	if (holder->paused)
		return false;
	plc_order_done(holder->plc, &transit->result, run->now);
	return true;
}

static void tick(struct run *run, int i)
{
	struct holder *holder = &run->holders[i];
	struct plc_order order;

	if (holder->paused)
		return;
	if (holder->call_running)
		answer_lease_call(run, holder);
	plc_tick(holder->plc, run->now);
	while (run->queued < QUEUE && plc_next_order(holder->plc, &order))
		run->queue[run->queued++] =
			(struct transit){ .holder = i, .order = order };
	if (!holder->call_running && plc_next_call(holder->plc, &holder->call))
		holder->call_running = true;
}

static void step(struct run *run)
{
	int pending = 0;
	int i;

	run->now += STEP_US;
	for (i = 0; i < run->queued; i++) {
		if (!advance_order(run, &run->queue[i]))
			run->queue[pending++] = run->queue[i];
	}
	run->queued = pending;
	for (i = 0; i < run->holder_count; i++)
		tick(run, i);
	for (i = 0; i < (int)run->set.endpoint_count; i++) {
		struct engine *engine = &run->engines[i];
		const struct cfg_endpoint *endpoint = &run->endpoints[i];

		if (engine->loading && run->now >= engine->loaded_us) {
			engine->loading = false;
			engine->holds = true;
		}
		engine->misplaced_us += STEP_US;
		if (!engine->alive ||
		    (engine->holds && engine->first == endpoint->first_layer &&
		     engine->last == endpoint->last_layer))
			engine->misplaced_us = 0;
		if (engine->misplaced_us > engine->max_misplaced_us)
			engine->max_misplaced_us = engine->misplaced_us;
	}
}

static void show(struct run *run)
{
	int i;

	fprintf(run->out, "%s:", seconds(run));
	for (i = 0; i < (int)run->set.endpoint_count; i++) {
		const struct engine *engine = &run->engines[i];

		if (!engine->alive)
			fprintf(run->out, " e%d down", i);
		else if (engine->holds)
			fprintf(run->out, " e%d %u-%u", i, engine->first,
				engine->last);
		else
			fprintf(run->out, " e%d %s", i,
				engine->loading ? "loading" : "empty");
		fprintf(run->out, " (%.1f s misplaced)",
			(double)engine->max_misplaced_us / MAG_US_PER_S);
	}
	fprintf(run->out, "\n");
}

static void add_engine(struct run *run, const char *range, const char *kind)
{
	size_t i = run->set.endpoint_count++;
	struct cfg_endpoint *endpoint = &run->endpoints[i];

	snprintf(endpoint->name, MAG_NAME_MAX, "%c%zu", NAME_LETTER, i);
	snprintf(endpoint->data_centre, MAG_NAME_MAX, "d0");
	sscanf(range, "%u-%u", &endpoint->first_layer, &endpoint->last_layer);
	endpoint->tokens_per_s = 100;
	endpoint->checks_fencing = strcmp(kind, "checks") == 0;
	run->engines[i].alive = true;
	run->engines[i].checks_fencing = endpoint->checks_fencing;
}

static void start(struct run *run, int count)
{
	struct plc_settings settings = { .enabled = true,
					 .allow_moves = run->moves };
	int i;

	run->set.services = &run->service;
	run->set.service_count = 1;
	run->set.endpoints = run->endpoints;
	snprintf(run->service.name, MAG_NAME_MAX, "m");
	snprintf(settings.data_centre, MAG_NAME_MAX, "d0");
	run->holder_count = count;
	for (i = 0; i < count; i++) {
		snprintf(settings.instance, MAG_NAME_MAX, "i%d", i);
		settings.incarnation = (uint64_t)i + 1;
		run->holders[i].plc = plc_new(&settings, run->now);
		plc_config(run->holders[i].plc, &run->set, run->now);
	}
}

static void run_for(struct run *run, long ms)
{
	long i;

	for (i = 0; i < ms; i += 100)
		step(run);
}

static void mark_leaving(struct run *run, const char *engine)
{
	int i;

	for (i = 0; i < run->holder_count; i++)
		plc_note_leaving(run->holders[i].plc, engine, true);
}

static void reset_engine(struct engine *engine, bool alive)
{
	*engine = (struct engine){ .alive = alive,
				   .checks_fencing = engine->checks_fencing };
}

/* Returns the duration that a verb sets; NULL if it sets none. */
static int64_t *time_setting(struct run *run, const char *verb, long n)
{
	if (strcmp(verb, "lag") == 0)
		return &run->lag_us;
	if (strcmp(verb, "store") == 0)
		return &run->store_us;
	return strcmp(verb, "stall") == 0 ? &run->holders[n].stall_us : NULL;
}

/* Returns the flag that a verb sets or clears; NULL if it sets none. */
static bool *flag_setting(struct run *run, const char *verb, long n)
{
	if (strcmp(verb, "moves") == 0)
		return &run->moves;
	if (strcmp(verb, "pause") == 0 || strcmp(verb, "wake") == 0)
		return &run->holders[n].paused;
	if (strcmp(verb, "cut") == 0)
		return &run->holders[n].cut;
	return strcmp(verb, "platform") == 0 ? &run->platform_down : NULL;
}

static void command(struct run *run, const char *verb, const char *a,
		    const char *b)
{
	long n = atol(a);

	if (time_setting(run, verb, n))
		*time_setting(run, verb, n) =
			(b[0] ? atol(b) : n) * MAG_US_PER_MS;
	else if (flag_setting(run, verb, n))
		*flag_setting(run, verb, n) =
			strcmp(verb, "wake") != 0 && strcmp(a, "up") != 0;
	else if (strcmp(verb, "layers") == 0)
		run->service.layers = (uint32_t)n;
	else if (strcmp(verb, "engine") == 0)
		add_engine(run, a, b);
	else if (strcmp(verb, "holders") == 0)
		start(run, (int)n);
	else if (strcmp(verb, "run") == 0)
		run_for(run, n);
	else if (strcmp(verb, "stop") == 0)
		plc_stop(run->holders[n].plc, run->now);
	else if (strcmp(verb, "leaving") == 0)
		mark_leaving(run, a);
	else if (strcmp(verb, "kill") == 0)
		reset_engine(&run->engines[n], false);
	else if (strcmp(verb, "restart") == 0)
		reset_engine(&run->engines[n], true);
	else if (strcmp(verb, "show") == 0)
		show(run);
	else
		fprintf(run->out, "unknown verb %s\n", verb);
}

static void driver(FILE *in, FILE *out)
{
	struct run *run = calloc(1, sizeof(*run));
	char line[256];
	int i;

	run->out = out;
	log_set_sink(on_log, run);
	while (fgets(line, sizeof(line), in)) {
		char verb[32] = "";
		char a[32] = "";
		char b[32] = "";

		if (line[0] != '#' &&
		    sscanf(line, "%31s %31s %31s", verb, a, b) > 0)
			command(run, verb, a, b);
	}
	for (i = 0; i < run->holder_count; i++) {
		if (run->holders[i].call_running)
			free(run->holders[i].call.value);
		plc_free(run->holders[i].plc);
	}
	log_set_sink(NULL, NULL);
	free(run);
}

int main(void)
{
	return script_main("regress/plc", driver);
}
