#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "plc.h"
#include "script.h"

/*
 * Scripts of regress/plc: instances that place, engines and the platform's
 * leases in virtual time.
 */

#define HOLDERS	    3
#define ENGINES	    8
#define QUEUE	    64
#define STEP_US	    (100 * MAG_US_PER_MS)
#define NAME_LETTER 'e'

struct engine {
	bool alive;
	bool checks;
	uint64_t newest; /* fencing number */
	bool holds;
	uint32_t first;
	uint32_t last;
	bool loading;
	int64_t loaded_us;
	int64_t wrong_us;   /* how long it has not held what is declared */
	int64_t longest_us; /* the longest of such times */
};

/* An order on its way from a holder's shell to an engine and back. */
struct transit {
	int holder;
	bool arrived;
	bool looked; /* the shell has looked at the lease's deadline */
	int64_t at_us;
	struct plc_order order;
	struct plc_order_result result;
};

struct holder {
	struct plc *plc;
	bool paused;
	bool cut;	  /* from the platform */
	int64_t stall_us; /* of its next order, after the shell's look */
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
	int64_t lag_us;	  /* of an order, each way */
	int64_t store_us; /* a layer from the weight store */
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

/* The platform's side of a lease. */
static void lease(struct run *run, struct holder *holder)
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

/* An engine takes an order or a question. */
static void arrive(struct run *run, struct transit *transit)
{
	const struct plc_order *order = &transit->order;
	int i = order->endpoint[1] - '0';
	struct engine *engine = &run->engines[i];
	struct plc_order_result *result = &transit->result;
	const char *word = "taken";

	result->id = order->id;
	result->status = engine->alive ? PLC_DONE : PLC_LOST;
	if (engine->alive && order->kind == PLC_LOAD) {
		if (run->now > order->deadline_us) {
			result->status = PLC_LOST;
			word = "past its deadline";
		} else if (engine->checks && order->fence < engine->newest) {
			result->status = PLC_REFUSED;
			word = "refused for its number";
		} else {
			engine->newest = order->fence;
			engine->loading = true;
			engine->holds = false;
			engine->first = order->first_layer;
			engine->last = order->last_layer;
			engine->loaded_us =
				run->now + run->store_us * (engine->last -
							    engine->first + 1);
		}
		fprintf(run->out,
			"%s %s gets %u-%u from i%d, number %llu: %s\n",
			seconds(run), order->endpoint, order->first_layer,
			order->last_layer, transit->holder,
			(unsigned long long)order->fence, word);
	}
	result->loading = engine->loading;
	snprintf(result->model, MAG_NAME_MAX, "%s",
		 engine->holds || engine->loading ? "m" : "");
	result->first_layer = engine->first;
	result->last_layer = engine->last;
}

/* Moves an order on; true when it has come back. */
static bool move(struct run *run, struct transit *transit)
{
	struct holder *holder = &run->holders[transit->holder];

	if (!transit->looked) {
		if (holder->paused)
			return false;
		transit->looked = true;
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
		arrive(run, transit);
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
		lease(run, holder);
	plc_tick(holder->plc, run->now);
	while (run->queued < QUEUE && plc_next_order(holder->plc, &order))
		run->queue[run->queued++] =
			(struct transit){ .holder = i, .order = order };
	if (!holder->call_running && plc_next_call(holder->plc, &holder->call))
		holder->call_running = true;
}

static void step(struct run *run)
{
	int kept = 0;
	int i;

	run->now += STEP_US;
	for (i = 0; i < run->queued; i++) {
		if (!move(run, &run->queue[i]))
			run->queue[kept++] = run->queue[i];
	}
	run->queued = kept;
	for (i = 0; i < run->holder_count; i++)
		tick(run, i);
	for (i = 0; i < (int)run->set.endpoint_count; i++) {
		struct engine *engine = &run->engines[i];
		const struct cfg_endpoint *end = &run->endpoints[i];

		if (engine->loading && run->now >= engine->loaded_us) {
			engine->loading = false;
			engine->holds = true;
		}
		engine->wrong_us += STEP_US;
		if (!engine->alive ||
		    (engine->holds && engine->first == end->first_layer &&
		     engine->last == end->last_layer))
			engine->wrong_us = 0;
		if (engine->wrong_us > engine->longest_us)
			engine->longest_us = engine->wrong_us;
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
		fprintf(run->out, " (%.1f s wrong)",
			(double)engine->longest_us / MAG_US_PER_S);
	}
	fprintf(run->out, "\n");
}

static void add_engine(struct run *run, const char *range, const char *kind)
{
	size_t i = run->set.endpoint_count++;
	struct cfg_endpoint *end = &run->endpoints[i];

	snprintf(end->name, MAG_NAME_MAX, "%c%zu", NAME_LETTER, i);
	snprintf(end->data_centre, MAG_NAME_MAX, "d0");
	sscanf(range, "%u-%u", &end->first_layer, &end->last_layer);
	end->tokens_per_s = 100;
	end->checks_fencing = strcmp(kind, "checks") == 0;
	run->engines[i].alive = true;
	run->engines[i].checks = end->checks_fencing;
}

static void start(struct run *run, int count)
{
	struct plc_settings settings = { .enabled = true, .moves = run->moves };
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

static void do_run(struct run *run, long ms)
{
	long i;

	for (i = 0; i < ms; i += 100)
		step(run);
}

static void do_leaving(struct run *run, const char *engine)
{
	int i;

	for (i = 0; i < run->holder_count; i++)
		plc_note_leaving(run->holders[i].plc, engine, true);
}

static void do_restart(struct engine *engine, bool alive)
{
	*engine = (struct engine){ .alive = alive, .checks = engine->checks };
}

/* What sets a number of the world. */
static int64_t *number(struct run *run, const char *verb, long n)
{
	if (strcmp(verb, "lag") == 0)
		return &run->lag_us;
	if (strcmp(verb, "store") == 0)
		return &run->store_us;
	return strcmp(verb, "stall") == 0 ? &run->holders[n].stall_us : NULL;
}

/* What switches something of the world. */
static bool *flag(struct run *run, const char *verb, long n)
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

	if (number(run, verb, n))
		*number(run, verb, n) = (b[0] ? atol(b) : n) * MAG_US_PER_MS;
	else if (flag(run, verb, n))
		*flag(run, verb, n) =
			strcmp(verb, "wake") != 0 && strcmp(a, "up") != 0;
	else if (strcmp(verb, "layers") == 0)
		run->service.layers = (uint32_t)n;
	else if (strcmp(verb, "engine") == 0)
		add_engine(run, a, b);
	else if (strcmp(verb, "holders") == 0)
		start(run, (int)n);
	else if (strcmp(verb, "run") == 0)
		do_run(run, n);
	else if (strcmp(verb, "stop") == 0)
		plc_stop(run->holders[n].plc, run->now);
	else if (strcmp(verb, "leaving") == 0)
		do_leaving(run, a);
	else if (strcmp(verb, "kill") == 0)
		do_restart(&run->engines[n], false);
	else if (strcmp(verb, "restart") == 0)
		do_restart(&run->engines[n], true);
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
