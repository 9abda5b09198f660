#ifndef MET_H
#define MET_H

/* Counters and latency histograms of one router. */

#include <stdint.h>

#include <event2/buffer.h>

#define MET_BUCKETS 16

/* clang-format off */
#define MET_COUNTERS \
	MET_COUNTER(MET_REQUESTS, "requests_total", "requests that were read whole") \
	MET_COUNTER(MET_ANSWERED, "answers_relayed_total", "answers of workers handed on") \
	MET_COUNTER(MET_REFUSED, "refused_total", "requests refused, proved not run") \
	MET_COUNTER(MET_FAILED, "failed_total", "requests that ended with 502 or 504 of our own") \
	MET_COUNTER(MET_CUT, "streams_cut_total", "streams broken off after their first event") \
	MET_COUNTER(MET_GONE, "callers_gone_total", "callers that left before their answer") \
	MET_COUNTER(MET_SENDS, "sends_total", "requests sent to workers") \
	MET_COUNTER(MET_REPEATS, "repeats_total", "second and later sends of a request") \
	MET_COUNTER(MET_RESUMES, "streams_resumed_total", "streams that went on at another chain") \
	MET_COUNTER(MET_FALL_BACKS, "attempts_regained_total", "requests that returned to an earlier attempt") \
	MET_COUNTER(MET_REPAIRS, "chains_repaired_total", "streams whose chain was repaired in place") \
	MET_COUNTER(MET_EVENTS, "events_relayed_total", "events of streams handed on") \
	MET_COUNTER(MET_STALLS, "stalls_total", "streams found standing still") \
	MET_COUNTER(MET_PROBES, "probes_total", "questions to workers about their state") \
	MET_COUNTER(MET_ORDERS, "orders_total", "orders to workers") \
	MET_COUNTER(MET_RETURNS, "store_returns_total", "returns of the store from an older copy") \
	MET_COUNTER(MET_NO_KEY, "unauthorized_total", "requests without a valid key") \
	MET_COUNTER(MET_NO_ROUTE, "no_route_total", "requests that no route takes") \
	MET_COUNTER(MET_FORWARDED, "forwarded_total", "requests forwarded to another router") \
	MET_COUNTER(MET_TAKEN_OVER, "taken_over_total", "requests that another router forwarded") \
	MET_COUNTER(MET_POISON, "poison_refused_total", "requests refused because they crash workers")
/* clang-format on */

#define MET_COUNTER(id, name, help) id,
enum met_counter {
	MET_COUNTERS MET_COUNTER_COUNT
};
#undef MET_COUNTER

enum met_histogram {
	MET_FIRST_EVENT, /* from arrival to the first event of a stream */
	MET_ANSWER,	 /* from arrival to the response of a plain service */
	MET_GAP,	 /* longest gap between two events of a stream */
	MET_WAIT,	 /* from arrival to the first send */
	MET_RECOVERY,	 /* from the store's return until all is read again */
	MET_HISTOGRAM_COUNT
};

struct met_hist {
	uint64_t buckets[MET_BUCKETS + 1]; /* the last one has no bound */
	uint64_t count;
	uint64_t sum_us;
};

struct met {
	uint64_t counters[MET_COUNTER_COUNT];
	struct met_hist hists[MET_HISTOGRAM_COUNT];
};

void met_increment(struct met *met, enum met_counter id);
void met_observe(struct met *met, enum met_histogram id, int64_t us);
void met_write(const struct met *met, struct evbuffer *out);

#endif /* MET_H */
