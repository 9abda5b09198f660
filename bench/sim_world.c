#include <stdlib.h>
#include <string.h>

#include "flow_net.h"
#include "sim.h"

/*
 * The accelerator kinds: tokens per second over the whole layer range, link
 * rate and layers.  Link rates differ by a factor of 100.  The seed changes the
 * rates, not the kinds.
 */
struct sim_kind {
	const char *name;
	int count;
	uint32_t first;
	uint32_t end;
	double rate;
	double link_bytes;
	int64_t step_us;
	uint32_t concurrency;
};

static const struct sim_kind sim_kinds[] = {
	{ "huge", 4, 0, 24, 900, 1e9, 9000, 96 },
	{ "big", 6, 24, 48, 500, 1e9, 9000, 64 },
	{ "wide", 8, 0, 48, 120, 1e8, 20000, 32 },
	{ "slow", 12, 24, 48, 60, 1e7, 15000, 24 },
	{ "mid", 10, 12, 36, 130, 2e7, 12000, 32 },
};

static void sim_make_stage(struct sim *sim, const struct sim_kind *kind, int n);
static double sim_max_flow(const struct sim *sim, int without, int side);
static double sim_side_throughput(const struct sim *sim, int side);

/* Creates the stages of all accelerator kinds. */
void sim_make_stages(struct sim *sim)
{
	size_t k;
	int n;

	for (k = 0; k < MAG_ARRAY_SIZE(sim_kinds); k++) {
		for (n = 0; n < sim_kinds[k].count; n++)
			sim_make_stage(sim, &sim_kinds[k], n);
	}
}

/* Returns the routers' configuration as JSON; the caller frees it. */
char *sim_config_json(const struct sim *sim)
{
	char *text = NULL;
	char hash[MAG_DIGEST_HEX];
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	int i;

	fprintf(out,
		"{\"objects\":[\n"
		"{\"kind\":\"service\",\"name\":\"model\",\"type\":\"model\","
		"\"layers\":%d,\"activation_bytes\":%d,\"queue_max\":2000,"
		"\"default_deadline_ms\":15000,\"max_deadline_ms\":60000},\n"
		"{\"kind\":\"route\",\"name\":\"r\",\"path\":\"/\","
		"\"service\":\"model\",\"idempotent\":true,"
		"\"key\":\"optional\"}",
		SIM_LAYERS, SIM_ACTIVATION_BYTES);
	for (i = 0; i < SIM_ACCOUNTS; i++) {
		sim_account_hash(i, hash);
		fprintf(out,
			",\n{\"kind\":\"account\",\"name\":\"a%d\","
			"\"key_hash\":\"%s\",\"weight\":1}",
			i, hash);
	}
	for (i = 0; i < sim->stage_count; i++) {
		const struct sim_stage *s = &sim->stages[i];

		fprintf(out,
			",\n{\"kind\":\"endpoint\",\"name\":\"%s\","
			"\"service\":\"model\",\"data_centre\":\"dc%d\","
			"\"address\":\"127.0.0.1:%d\",\"first_layer\":%u,"
			"\"last_layer\":%u,\"tokens_per_s\":%.0f,"
			"\"link_bytes_per_s\":%.0f,\"concurrency\":%u}",
			s->name, s->centre, 20000 + i, s->first, s->end - 1,
			s->rate, s->link * SIM_ACTIVATION_BYTES,
			s->concurrency);
	}
	fprintf(out, "]}\n");
	fclose(out);
	return text;
}

/*
 * Returns the current bound in tokens per second: the maximum flow at the
 * stages' actual rates.  During a partition, each side is also bounded by the
 * demand of its own callers.
 */
double sim_bound(const struct sim *sim)
{
	int cut = 0;
	int i;

	for (i = 0; i < SIM_CENTRES; i++)
		cut += sim->cut[i];
	if (cut == 0)
		return sim_max_flow(sim, -1, -1);
	return sim_side_throughput(sim, 0) + sim_side_throughput(sim, 1);
}

/* Returns the bound of the partitioned side (1) or the other side (0). */
static double sim_side_throughput(const struct sim *sim, int side)
{
	double value = sim_max_flow(sim, -1, side);
	double asked = 0;
	int r;

	for (r = 0; r < sim->settings.routers; r++) {
		if (sim->cut[r % SIM_CENTRES] == side)
			asked += sim->settings.load * sim->result->bound /
				 sim->settings.routers;
	}
	return value < asked ? value : asked;
}

/* Returns the stage whose loss reduces the maximum flow the most. */
int sim_largest(const struct sim *sim)
{
	double least = -1;
	int at = 0;
	int i;

	for (i = 0; i < sim->stage_count; i++) {
		double value = sim_max_flow(sim, i, -1);

		if (least < 0 || value < least) {
			least = value;
			at = i;
		}
	}
	return at;
}

/* Returns a stage's index, or -1 if no stage has that name. */
int sim_stage_by_name(const struct sim *sim, const char *name)
{
	int i;

	for (i = 0; i < sim->stage_count; i++) {
		if (strcmp(sim->stages[i].name, name) == 0)
			return i;
	}
	return -1;
}

/* Writes a synthetic hash of an account's bearer key. */
void sim_account_hash(int account, char hash[MAG_DIGEST_HEX])
{
	memset(hash, '0', MAG_DIGEST_HEX - 1);
	hash[MAG_DIGEST_HEX - 1] = '\0';
	hash[0] = (char)('a' + account % 6);
	hash[1] = (char)('0' + account);
}

/* Creates one stage; its rate varies by up to 20% each way. */
static void sim_make_stage(struct sim *sim, const struct sim_kind *kind, int n)
{
	struct sim_stage *s = &sim->stages[sim->stage_count];

	snprintf(s->name, sizeof(s->name), "%s%d", kind->name, n);
	s->centre = sim->stage_count % SIM_CENTRES;
	s->first = kind->first;
	s->end = kind->end;
	s->rate = (double)(int)(kind->rate * (0.8 + 0.4 * sim_random(sim)));
	s->link = kind->link_bytes / SIM_ACTIVATION_BYTES;
	s->concurrency = kind->concurrency;
	s->step_us = kind->step_us;
	s->slow = 1;
	s->link_factor = 1;
	sim->stage_count++;
}

/*
 * Returns the maximum flow with one stage left out (-1: none), on one side of
 * a partition (-1: both sides).
 */
static double sim_max_flow(const struct sim *sim, int without, int side)
{
	struct flow_stage stages[SIM_STAGES_MAX];
	bool joined[SIM_CENTRES * SIM_CENTRES];
	struct flow_net_input in = {
		.layers = SIM_LAYERS,
		.stages = stages,
		.stage_count = sim->stage_count,
		.data_centre_count = SIM_CENTRES,
		.reachable = joined,
	};
	int i;

	for (i = 0; i < SIM_CENTRES * SIM_CENTRES; i++)
		joined[i] = true;
	for (i = 0; i < sim->stage_count; i++) {
		const struct sim_stage *s = &sim->stages[i];

		stages[i].first_layer = s->first;
		stages[i].end_layer = s->end;
		stages[i].rate = s->rate * s->slow;
		stages[i].link_rate = s->link * s->link_factor;
		stages[i].data_centre = s->centre;
		if (s->dead || s->hung || i == without ||
		    (side >= 0 && sim->cut[s->centre] != side))
			stages[i].rate = 0;
	}
	return flow_net_max_flow(&in);
}
