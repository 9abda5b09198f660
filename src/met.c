#include <inttypes.h>

#include "mag.h"
#include "met.h"

/* Upper bounds of the histogram buckets (milliseconds). */
static const int met_bounds_ms[MET_BUCKETS] = { 5,    10,   20,	   40,
						80,   120,  160,   250,
						350,  500,  750,   1000,
						2000, 5000, 10000, 20000 };

struct met_name {
	const char *name;
	const char *help;
};

#define MET_COUNTER(id, name, help) { name, help },
static const struct met_name met_counters[] = { MET_COUNTERS };
#undef MET_COUNTER

static const struct met_name met_hists[MET_HISTOGRAM_COUNT] = {
	[MET_FIRST_EVENT] = { "first_event_ms",
			      "arrival to the first event of a stream" },
	[MET_ANSWER] = { "answer_ms", "arrival to a plain answer" },
	[MET_GAP] = { "longest_gap_ms", "longest pause in a stream" },
	[MET_WAIT] = { "wait_ms", "arrival to the first send" },
	[MET_RECOVERY] = { "store_recovery_ms",
			   "the store's return to a whole list after it" },
};

void met_increment(struct met *met, enum met_counter id)
{
	met->counters[id]++;
}

/* Adds a duration to a histogram. */
void met_observe(struct met *met, enum met_histogram id, int64_t us)
{
	struct met_hist *hist = &met->hists[id];
	int i;

	for (i = 0; i < MET_BUCKETS; i++) {
		if (us <= met_bounds_ms[i] * MAG_US_PER_MS)
			break;
	}
	hist->buckets[i]++;
	hist->count++;
	hist->sum_us += (uint64_t)us;
}

static void met_write_hist(const struct met_name *name,
			   const struct met_hist *hist, struct evbuffer *out)
{
	uint64_t sum = 0;
	int i;

	evbuffer_add_printf(out,
			    "# HELP magnolia_%s %s\n"
			    "# TYPE magnolia_%s histogram\n",
			    name->name, name->help, name->name);
	for (i = 0; i < MET_BUCKETS; i++) {
		sum += hist->buckets[i];
		evbuffer_add_printf(
			out, "magnolia_%s_bucket{le=\"%d\"} %" PRIu64 "\n",
			name->name, met_bounds_ms[i], sum);
	}
	evbuffer_add_printf(out,
			    "magnolia_%s_bucket{le=\"+Inf\"} %" PRIu64 "\n"
			    "magnolia_%s_sum %" PRIu64 "\n"
			    "magnolia_%s_count %" PRIu64 "\n",
			    name->name, hist->count, name->name,
			    hist->sum_us / (uint64_t)MAG_US_PER_MS, name->name,
			    hist->count);
}

/* Writes all metrics in the Prometheus text format. */
void met_write(const struct met *met, struct evbuffer *out)
{
	int i;

	for (i = 0; i < MET_COUNTER_COUNT; i++)
		evbuffer_add_printf(out,
				    "# HELP magnolia_%s %s\n"
				    "# TYPE magnolia_%s counter\n"
				    "magnolia_%s %" PRIu64 "\n",
				    met_counters[i].name, met_counters[i].help,
				    met_counters[i].name, met_counters[i].name,
				    met->counters[i]);
	for (i = 0; i < MET_HISTOGRAM_COUNT; i++)
		met_write_hist(&met_hists[i], &met->hists[i], out);
}
