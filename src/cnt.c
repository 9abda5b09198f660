#include <inttypes.h>
#include <stdatomic.h>

#include "cnt.h"

struct cnt_desc {
	const char *name;
	const char *help;
};

#define CNT_COUNTER(id, name, help) [id] = { name, help },
static const struct cnt_desc cnt_descs[CNT_COUNT] = { CNT_COUNTERS };
#undef CNT_COUNTER

static atomic_uint_fast64_t cnt_values[CNT_COUNT];

/* Adds n to a counter; may be called from any thread. */
void cnt_add(enum cnt_id id, uint64_t n)
{
	atomic_fetch_add_explicit(&cnt_values[id], n, memory_order_relaxed);
}

/* Returns the value of a counter; may be called from any thread. */
uint64_t cnt_get(enum cnt_id id)
{
	return atomic_load_explicit(&cnt_values[id], memory_order_relaxed);
}

/* Writes all counters in the Prometheus text format, for /metrics. */
void cnt_write(FILE *out)
{
	int i;

	for (i = 0; i < CNT_COUNT; i++) {
		fprintf(out, "# HELP magnolia_%s %s\n", cnt_descs[i].name,
			cnt_descs[i].help);
		fprintf(out, "# TYPE magnolia_%s counter\n", cnt_descs[i].name);
		fprintf(out, "magnolia_%s %" PRIu64 "\n", cnt_descs[i].name,
			cnt_get((enum cnt_id)i));
	}
}
