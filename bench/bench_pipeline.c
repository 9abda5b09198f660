#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "sim.h"

#define SEEDS_MAX    32
#define FAULT_US     (20 * MAG_US_PER_S) /* time of the first fault */
#define MEASURE_US   (30 * MAG_US_PER_S) /* measured interval */
#define DRAIN_US     (17 * MAG_US_PER_S) /* longest allowance plus 2 s */
#define RECOVER_PART 0.95
#define RECOVER_SPAN 20 /* buckets per second */
#define NEVER_MS     99999

/* A configuration of the router under test. */
struct variant {
	const char *name;
	enum pick_policy policy;
	bool no_budgets;
	bool no_resume;
	bool no_affinity;
};

struct scenario {
	const char *name;
	double load;
	bool equal_demand;
	enum sim_retry_policy retry_policy;
	struct sim_fault faults[SIM_FAULTS_MAX]; /* relative to FAULT_US */
	int fault_count;
	bool prefixes;	    /* prompts share prefixes */
	double cache_lost;  /* fraction of cache events */
	bool recovery;	    /* measure recovery time */
	int64_t recover_us; /* its start, after FAULT_US */
};

static const struct variant variants[] = {
	{ .name = "flow" },
	{ .name = "least-in-flight", .policy = PICK_LEAST_IN_FLIGHT },
	{ .name = "random", .policy = PICK_RANDOM },
	{ .name = "static-weights", .policy = PICK_STATIC_WEIGHTS },
	{ .name = "no-budgets", .no_budgets = true },
	{ .name = "restart", .no_resume = true },
	{ .name = "restart-no-budgets", .no_budgets = true, .no_resume = true },
	{ .name = "no-affinity", .no_affinity = true },
};

static const struct scenario scenarios[] = {
	{ .name = "steady-80", .load = 0.8 },
	{ .name = "steady-100", .load = 1.0 },
	{ .name = "steady-150", .load = 1.5 },
	{ .name = "steady-300", .load = 3.0, .equal_demand = true },
	{ .name = "lose-at-80",
	  .load = 0.8,
	  .faults = { { 0, SIM_KILL, SIM_LARGEST, 0 } },
	  .fault_count = 1,
	  .recovery = true },
	{ .name = "hang-at-80",
	  .load = 0.8,
	  .faults = { { 0, SIM_HANG, SIM_LARGEST, 0 } },
	  .fault_count = 1,
	  .recovery = true },
	{ .name = "lose-largest",
	  .load = 1.0,
	  .faults = { { 0, SIM_KILL, SIM_LARGEST, 0 } },
	  .fault_count = 1,
	  .recovery = true },
	{ .name = "hang-largest",
	  .load = 1.0,
	  .faults = { { 0, SIM_HANG, SIM_LARGEST, 0 } },
	  .fault_count = 1,
	  .recovery = true },
	{ .name = "slow-stage",
	  .load = 1.0,
	  .faults = { { 0, SIM_SLOW, SIM_LARGEST, 0.3 } },
	  .fault_count = 1,
	  .recovery = true },
	{ .name = "degraded-link",
	  .load = 1.0,
	  .faults = { { 0, SIM_LINK, SIM_LARGEST, 0.002 } },
	  .fault_count = 1,
	  .recovery = true },
	{ .name = "centre-cut",
	  .load = 1.0,
	  .faults = { { 0, SIM_CUT, 2, 0 } },
	  .fault_count = 1,
	  .recovery = true },
	{ .name = "platform-outage",
	  .load = 1.0,
	  .faults = { { 0, SIM_REPORTS, 0, 0 } },
	  .fault_count = 1 },
	{ .name = "poison",
	  .load = 0.8,
	  .faults = { { 0, SIM_POISON, 3, 0 } },
	  .fault_count = 1,
	  .recovery = true },
	{ .name = "greedy",
	  .load = 0.8,
	  .equal_demand = true,
	  .faults = { { 0, SIM_DEMAND, 0, 10 } },
	  .fault_count = 1 },
	{ .name = "two-at-once",
	  .load = 1.0,
	  .faults = { { 0, SIM_KILL, SIM_LARGEST, 0 }, { 0, SIM_HANG, 5, 0 } },
	  .fault_count = 2,
	  .recovery = true },
	{ .name = "prefix", .load = 0.8, .prefixes = true },
	{ .name = "prefix-stale",
	  .load = 0.8,
	  .prefixes = true,
	  .cache_lost = 0.3 },
	{ .name = "retry-storm",
	  .load = 0.9,
	  .retry_policy = SIM_RETRY_AT_ONCE,
	  .faults = { { 0, SIM_SLOW, SIM_ALL, 0.05 },
		      { 3 * MAG_US_PER_S, SIM_SLOW, SIM_ALL, 1 } },
	  .fault_count = 2,
	  .recovery = true,
	  .recover_us = 3 * MAG_US_PER_S },
	{ .name = "storm",
	  .load = 0.9,
	  .retry_policy = SIM_RETRY_AT_ONCE,
	  .faults = { { 0, SIM_DEMAND, -1, 5 },
		      { 5 * MAG_US_PER_S, SIM_DEMAND, -1, 1 } },
	  .fault_count = 2 },
};

/* The results of one run that the table shows. */
struct figures {
	double goodput; /* fraction of min(offered, bound) */
	double bound;	/* tokens per second after the faults */
	double recovery_ms;
	double late;   /* fraction of calls */
	double failed; /* fraction of calls */
	double jain;
	double others_answered; /* fraction in time, accounts 1.. */
	double attempts;
	double killed;
	double hits; /* fraction of prompts whose prefix was held */
};

static struct sim_result result;

/* Compares doubles for qsort. */
static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Returns Jain's fairness index of the tokens served per account. */
static double jain(const struct sim_result *r)
{
	double sum = 0;
	double squares = 0;
	int i;

	for (i = 0; i < SIM_ACCOUNTS; i++) {
		sum += r->served[i];
		squares += r->served[i] * r->served[i];
	}
	return squares > 0 ? sum * sum / (SIM_ACCOUNTS * squares) : 0;
}

/* Returns the fraction of requests answered in time, account 0 excluded. */
static double others_answered(const struct sim_result *r)
{
	double answered = 0;
	double requested = 0;
	int i;

	for (i = 1; i < SIM_ACCOUNTS; i++) {
		answered += r->answered_in_time[i];
		requested += r->requested[i];
	}
	return requested > 0 ? answered / requested : 0;
}

/*
 * Returns the time in ms from the fault until the goodput over one second
 * reaches 95% of the target.
 */
static double recovery(const struct sim_result *r, double target,
		       int64_t after_us)
{
	int from = (int)((FAULT_US + after_us) / SIM_BUCKET_US);
	int to = (int)((FAULT_US + MEASURE_US) / SIM_BUCKET_US);
	int b;
	int i;

	target *= RECOVER_PART * RECOVER_SPAN * (double)SIM_BUCKET_US /
		  (double)MAG_US_PER_S;
	for (b = from; b < to; b++) {
		double sum = 0;

		for (i = 0; i < RECOVER_SPAN; i++)
			sum += r->bucket[b + i];
		if (sum >= target)
			return (double)((b - from) * SIM_BUCKET_US) /
			       (double)MAG_US_PER_MS;
	}
	return NEVER_MS;
}

/* Runs one scenario with one seed. */
static void run(const struct scenario *scenario, const struct variant *variant,
		int routers, uint64_t seed, struct figures *f)
{
	struct sim_settings s = {
		.seed = seed,
		.routers = routers,
		.policy = variant->policy,
		.no_budgets = variant->no_budgets,
		.no_resume = variant->no_resume,
		.retry_policy = scenario->retry_policy,
		.load = scenario->load,
		.equal_demand = scenario->equal_demand,
		.prefixes = scenario->prefixes,
		.no_affinity = variant->no_affinity,
		.cache_lost = scenario->cache_lost,
		.from_us = FAULT_US,
		.to_us = FAULT_US + MEASURE_US,
		.end_us = FAULT_US + MEASURE_US + DRAIN_US,
		.fault_count = scenario->fault_count,
	};
	double seconds = (double)MEASURE_US / (double)MAG_US_PER_S;
	double achievable;
	int i;

	for (i = 0; i < s.fault_count; i++) {
		s.faults[i] = scenario->faults[i];
		s.faults[i].at_us += FAULT_US;
	}
	if (sim_run(&s, &result) < 0)
		exit(1);
	achievable = result.offered / seconds;
	if (achievable > result.bound_after)
		achievable = result.bound_after;
	f->goodput = result.goodput / seconds / achievable;
	f->bound = result.bound_after;
	f->recovery_ms = recovery(&result, achievable, scenario->recover_us);
	f->late = (double)result.late / result.calls;
	f->failed = (double)result.failed / result.calls;
	f->jain = jain(&result);
	f->others_answered = others_answered(&result);
	f->attempts = (double)result.attempts;
	f->killed = result.killed;
	f->hits =
		result.prefills > 0 ? result.prefill_hits / result.prefills : 0;
}

/* Returns the median or the worst value of a field over all seeds. */
static double over_seeds(const struct figures *f, int seeds, size_t offset,
			 bool largest_is_worst, bool worst)
{
	double v[SEEDS_MAX];
	int i;

	for (i = 0; i < seeds; i++)
		memcpy(&v[i], (const char *)&f[i] + offset, sizeof(v[i]));
	qsort(v, (size_t)seeds, sizeof(*v), compare_doubles);
	if (!worst)
		return v[seeds / 2];
	return largest_is_worst ? v[seeds - 1] : v[0];
}

#define MEDIAN(field)                                                          \
	over_seeds(f, seeds, offsetof(struct figures, field), 0, 0)
#define LEAST(field) over_seeds(f, seeds, offsetof(struct figures, field), 0, 1)
#define MOST(field)  over_seeds(f, seeds, offsetof(struct figures, field), 1, 1)

/* Prints a row of the table, and as JSON if a file is given. */
static void print(const struct scenario *scenario,
		  const struct variant *variant, int routers,
		  const struct figures *f, int seeds, FILE *json, bool first)
{
	double recovery_median = scenario->recovery ? MEDIAN(recovery_ms) : 0;
	double recovery_worst = scenario->recovery ? MOST(recovery_ms) : 0;

	printf("%-16s %-18s %2d %7.0f %6.3f %6.3f %6.0f %6.0f %6.3f %6.3f "
	       "%6.3f %6.3f %3.0f %5.3f\n",
	       scenario->name, variant->name, routers, MEDIAN(bound),
	       MEDIAN(goodput), LEAST(goodput), recovery_median, recovery_worst,
	       MOST(late), MOST(failed), LEAST(jain), LEAST(others_answered),
	       MOST(killed), MEDIAN(hits));
	fflush(stdout);
	if (!json)
		return;
	fprintf(json,
		"%s\n{\"scenario\":\"%s\",\"variant\":\"%s\",\"routers\":%d,"
		"\"seeds\":%d,\"bound\":%.0f,\"goodput_median\":%.4f,"
		"\"goodput_worst\":%.4f,\"recovery_ms_median\":%.0f,"
		"\"recovery_ms_worst\":%.0f,\"late_worst\":%.4f,"
		"\"failed_worst\":%.4f,\"jain_worst\":%.4f,"
		"\"others_worst\":%.4f,\"endpoints_lost_worst\":%.0f,"
		"\"prefix_hits_median\":%.3f}",
		first ? "" : ",", scenario->name, variant->name, routers, seeds,
		MEDIAN(bound), MEDIAN(goodput), LEAST(goodput), recovery_median,
		recovery_worst, MOST(late), MOST(failed), LEAST(jain),
		LEAST(others_answered), MOST(killed), MEDIAN(hits));
}

/* Tells whether a comma-separated list has a name; "all" matches any. */
static bool in_list(const char *list, const char *name)
{
	size_t len = strlen(name);
	const char *at = list;

	if (strcmp(list, "all") == 0)
		return true;
	while ((at = strstr(at, name))) {
		if ((at == list || at[-1] == ',') &&
		    (at[len] == ',' || at[len] == '\0'))
			return true;
		at += len;
	}
	return false;
}

/* Runs the selected scenarios with every selected variant and seed. */
static void run_all(const char *scenario_list, const char *variant_list,
		    int routers, int seeds, FILE *json)
{
	struct figures f[SEEDS_MAX];
	bool first = true;
	size_t i;
	size_t j;
	int k;

	printf("%-16s %-18s %2s %7s %6s %6s %6s %6s %6s %6s %6s %6s %3s %5s\n",
	       "scenario", "variant", "n", "bound", "good", "worst", "rec",
	       "worst", "late", "failed", "jain", "others", "ko", "hits");
	for (i = 0; i < MAG_ARRAY_SIZE(scenarios); i++) {
		for (j = 0; j < MAG_ARRAY_SIZE(variants); j++) {
			if (!in_list(scenario_list, scenarios[i].name) ||
			    !in_list(variant_list, variants[j].name))
				continue;
			for (k = 0; k < seeds; k++)
				run(&scenarios[i], &variants[j], routers,
				    (uint64_t)k + 1, &f[k]);
			print(&scenarios[i], &variants[j], routers, f, seeds,
			      json, first);
			first = false;
		}
	}
}

/*
 * usage: bench_pipeline SEEDS ROUTERS [SCENARIOS [VARIANTS [JSON]]]; SCENARIOS
 * and VARIANTS are comma-separated lists or "all", JSON is an output file.
 */
int main(int argc, char **argv)
{
	int seeds = argc > 1 ? atoi(argv[1]) : 5;
	int routers = argc > 2 ? atoi(argv[2]) : 12;
	const char *scenario_list = argc > 3 ? argv[3] : "all";
	const char *variant_list = argc > 4 ? argv[4] : "all";
	FILE *json = argc > 5 ? fopen(argv[5], "w") : NULL;

	if (seeds < 1 || seeds > SEEDS_MAX || routers < 1 ||
	    routers > SIM_ROUTERS_MAX) {
		fprintf(stderr, "seeds 1 .. %d, routers 1 .. %d\n", SEEDS_MAX,
			SIM_ROUTERS_MAX);
		return 2;
	}
	log_set_sink(NULL, NULL);
	if (json)
		fprintf(json, "[");
	run_all(scenario_list, variant_list, routers, seeds, json);
	if (json) {
		fprintf(json, "\n]\n");
		fclose(json);
	}
	return 0;
}
