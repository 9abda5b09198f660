#include <stdlib.h>
#include <string.h>

#include "flow.h"
#include "flow_net.h"
#include "script.h"

#define STAGES_MAX	64
#define SCRIPT_LINE_MAX 256

/* The network that the script has described so far. */
static struct flow_stage stages[STAGES_MAX];
static bool reachable[STAGES_MAX * STAGES_MAX];
static struct flow_net_input input;

/* Prints what limits the flow of a network. */
static void print_bottlenecks(FILE *out, const struct flow_net *net)
{
	static const char *const kinds[] = {
		[FLOW_BOTTLENECK_WORK] = "work",
		[FLOW_BOTTLENECK_LINK] = "link",
	};
	int i;

	for (i = 0; i < net->bottleneck_count; i++) {
		const struct flow_bottleneck *bottleneck = &net->bottlenecks[i];

		fprintf(out, "binds %s stage=%d layers=%u-%u at %.1f\n",
			kinds[bottleneck->kind], bottleneck->stage,
			bottleneck->first_layer, bottleneck->end_layer - 1,
			bottleneck->tokens_per_s);
	}
}

/*
 * Checks the constraints that apply to every solution: at each boundary the
 * inflow equals the outflow, and no stage exceeds its rate or its link's.
 */
static void check_constraints(FILE *out, const struct flow_net *net)
{
	int k;
	int e;

	for (k = 1; k + 1 < net->boundary_count; k++) {
		double sum = 0;

		for (e = 0; e < net->stage_count; e++)
			sum += net->inflow[k * net->stage_count + e] -
			       net->outflow[k * net->stage_count + e];
		if (sum > 0.01 || sum < -0.01)
			fprintf(out, "flow not conserved at boundary %u\n",
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
			fprintf(out, "stage %d exceeds its rate\n", e);
		if (link > 1.001 * stages[e].link_rate)
			fprintf(out, "stage %d exceeds its link rate\n", e);
	}
}

/* Prints the flow of each stage through each interval. */
static void print_interval_flow(FILE *out)
{
	struct flow_net *net = flow_net_solve(&input);
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

/* Solves the network and prints its maximum flow and its bottlenecks. */
static void solve_network(FILE *out)
{
	struct flow_net *net = flow_net_solve(&input);

	fprintf(out, "value %.1f\n", net->max_flow);
	print_bottlenecks(out, net);
	check_constraints(out, net);
	flow_net_free(net);
}

/*
 * Solves a graph from node 0 to the last node.  Reads its edges from the
 * script as lines of FROM TO CAPACITY, up to any other line, such as "end".
 */
static void solve_graph(FILE *in, FILE *out, int nodes)
{
	struct flow *flow = flow_new(nodes);
	char line[SCRIPT_LINE_MAX];
	double capacity;
	int edges = 0;
	int from;
	int to;
	int i;

	while (fgets(line, sizeof(line), in) &&
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

/*
 * Runs one script of regress/flow.  Comment lines are copied to the output.
 *
 * layers N, centres N                 number of layers and of data centres
 * stage FIRST END RATE LINK CENTRE    adds a stage, see struct flow_stage
 * rate STAGE RATE                     changes a stage's rate
 * part A B                            disconnects two data centres
 * solve, through                      prints the maximum and what limits it,
 *                                     or the flow of each stage
 * graph NODES                         solves a graph that isn't a network of
 *                                     stages; see solve_graph
 */
static void run_script(FILE *in, FILE *out)
{
	char line[SCRIPT_LINE_MAX];
	int a;
	int b;

	memset(&input, 0, sizeof(input));
	memset(reachable, true, sizeof(reachable));
	input.stages = stages;
	input.reachable = reachable;
	input.data_centre_count = 1;
	while (fgets(line, sizeof(line), in)) {
		struct flow_stage *stage = &stages[input.stage_count];

		if (line[0] == '#') {
			fputs(line, out);
		} else if (sscanf(line, "layers %u", &input.layers) == 1 ||
			   sscanf(line, "centres %d",
				  &input.data_centre_count) == 1) {
			continue;
		} else if (sscanf(line, "stage %u %u %lf %lf %d",
				  &stage->first_layer, &stage->end_layer,
				  &stage->rate, &stage->link_rate,
				  &stage->data_centre) == 5) {
			input.stage_count++;
		} else if (sscanf(line, "rate %d %d", &a, &b) == 2) {
			stages[a].rate = b;
		} else if (sscanf(line, "part %d %d", &a, &b) == 2) {
			reachable[a * input.data_centre_count + b] = false;
			reachable[b * input.data_centre_count + a] = false;
		} else if (sscanf(line, "graph %d", &a) == 1) {
			solve_graph(in, out, a);
		} else if (strcmp(line, "through\n") == 0) {
			print_interval_flow(out);
		} else if (strcmp(line, "solve\n") == 0) {
			solve_network(out);
		}
	}
}

/* Runs all scripts of regress/flow. */
int main(void)
{
	return script_main("regress/flow", run_script);
}
