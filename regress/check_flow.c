#include <stdlib.h>
#include <string.h>

#include "flow.h"
#include "flow_net.h"
#include "script.h"

#define STAGES_MAX 64
#define LINE_MAX_  256

static struct flow_stage stages[STAGES_MAX];
static bool joined[STAGES_MAX * STAGES_MAX];
static struct flow_net_input in;

/* Prints what binds a network. */
static void print_limits(FILE *out, const struct flow_net *net)
{
	static const char *const kinds[] = {
		[FLOW_BOTTLENECK_WORK] = "work",
		[FLOW_BOTTLENECK_LINK] = "link",
	};
	int i;

	for (i = 0; i < net->bottleneck_count; i++) {
		const struct flow_bottleneck *limit = &net->bottlenecks[i];

		fprintf(out, "binds %s stage=%d layers=%u-%u at %.1f\n",
			kinds[limit->kind], limit->stage, limit->first_layer,
			limit->end_layer - 1, limit->tokens_per_s);
	}
}

/*
 * Checks what any solution must keep: at each boundary as much goes in as
 * comes out, and no endpoint does more than its rate or its link allows.
 */
static void check_net(FILE *out, const struct flow_net *net)
{
	int k;
	int e;

	for (k = 1; k + 1 < net->boundary_count; k++) {
		double sum = 0;

		for (e = 0; e < net->stage_count; e++)
			sum += net->inflow[k * net->stage_count + e] -
			       net->outflow[k * net->stage_count + e];
		if (sum > 0.01 || sum < -0.01)
			fprintf(out, "not conserved at %u\n",
				net->boundaries[k]);
	}
	for (e = 0; e < net->stage_count; e++) {
		double work = 0;
		double through = 0;
		double link = 0;

		for (k = 0; k + 1 < net->boundary_count; k++) {
			through += net->inflow[k * net->stage_count + e] -
				   net->outflow[k * net->stage_count + e];
			work += through *
				(net->boundaries[k + 1] - net->boundaries[k]);
			if (k > 0)
				link += net->inflow[k * net->stage_count + e];
		}
		if (work >
		    1.001 * stages[e].rate *
			    (stages[e].end_layer - stages[e].first_layer))
			fprintf(out, "stage %d works too much\n", e);
		if (link > 1.001 * stages[e].link_rate)
			fprintf(out, "stage %d takes too much\n", e);
	}
}

/* Prints what passes each part of each stage. */
static void print_through(FILE *out)
{
	struct flow_net *net = flow_net_solve(&in);
	int e;
	int k;

	for (e = 0; e < net->stage_count; e++) {
		fprintf(out, "stage %d carries", e);
		for (k = 0; k + 1 < net->boundary_count; k++)
			fprintf(out, " %.1f",
				net->interval_flow[k * net->stage_count + e]);
		fprintf(out, "\n");
	}
	flow_net_free(net);
}

/* Solves what the script built. */
static void solve(FILE *out)
{
	struct flow_net *net = flow_net_solve(&in);

	fprintf(out, "value %.1f\n", net->max_flow);
	print_limits(out, net);
	check_net(out, net);
	flow_net_free(net);
}

/* Solves a plain graph: edges FROM TO CAPACITY until "end". */
static void graph(FILE *in_file, FILE *out, int nodes)
{
	struct flow *flow = flow_new(nodes);
	char line[LINE_MAX_];
	double capacity;
	int edges = 0;
	int from;
	int to;
	int i;

	while (fgets(line, sizeof(line), in_file) &&
	       sscanf(line, "%d %d %lf", &from, &to, &capacity) == 3) {
		flow_add_edge(flow, from, to, capacity);
		edges++;
	}
	fprintf(out, "flow %.1f\n", flow_solve(flow, 0, nodes - 1));
	for (i = 0; i < edges; i++)
		fprintf(out, "edge %d carries %.1f%s\n", i,
			flow_edge_flow(flow, i),
			flow_in_cut(flow, i) ? " binds" : "");
	flow_free(flow);
}

/* Runs one script; see regress/flow. */
static void driver(FILE *in_file, FILE *out)
{
	char line[LINE_MAX_];
	int a;
	int b;

	memset(&in, 0, sizeof(in));
	memset(joined, true, sizeof(joined));
	in.stages = stages;
	in.reachable = joined;
	in.data_centre_count = 1;
	while (fgets(line, sizeof(line), in_file)) {
		struct flow_stage *s = &stages[in.stage_count];

		if (line[0] == '#') {
			fputs(line, out);
		} else if (sscanf(line, "layers %u", &in.layers) == 1 ||
			   sscanf(line, "centres %d", &in.data_centre_count) ==
				   1) {
			continue;
		} else if (sscanf(line, "stage %u %u %lf %lf %d",
				  &s->first_layer, &s->end_layer, &s->rate,
				  &s->link_rate, &s->data_centre) == 5) {
			in.stage_count++;
		} else if (sscanf(line, "rate %d %d", &a, &b) == 2) {
			stages[a].rate = b;
		} else if (sscanf(line, "part %d %d", &a, &b) == 2) {
			joined[a * in.data_centre_count + b] = false;
			joined[b * in.data_centre_count + a] = false;
		} else if (sscanf(line, "graph %d", &a) == 1) {
			graph(in_file, out, a);
		} else if (strcmp(line, "through\n") == 0) {
			print_through(out);
		} else if (strcmp(line, "solve\n") == 0) {
			solve(out);
		}
	}
}

/* Runs all scripts. */
int main(void)
{
	return script_main("regress/flow", driver);
}
