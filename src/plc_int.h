#ifndef PLC_INT_H
#define PLC_INT_H

/* Private declarations shared by the plc*.c files. */

#include "flow_net.h"
#include "plc.h"

#define PLC_LEASE_TTL_US   (10 * MAG_US_PER_S)
#define PLC_LEASE_RENEW_US (3 * MAG_US_PER_S)
#define PLC_LEASE_RETRY_US (2 * MAG_US_PER_S)
/* The clocks of the instances and the platform diverge by less than this. */
#define PLC_CLOCK_MARGIN_US (500 * MAG_US_PER_MS)
/* From the creation of an order to its deadline. */
#define PLC_ORDER_TIMEOUT_US (5 * MAG_US_PER_S)
/* Between two state requests to an engine; the second while it loads. */
#define PLC_STATE_POLL_US   (10 * MAG_US_PER_S)
#define PLC_LOADING_POLL_US MAG_US_PER_S
/* A load that takes longer is given up. */
#define PLC_LOAD_TIMEOUT_US  (600 * MAG_US_PER_S)
#define PLC_DECIDE_PERIOD_US MAG_US_PER_S
/* An engine counts as down after this many failed state requests in a row. */
#define PLC_FAILURES_MAX 2
/* Loads at the same time; they share the weight store's rate. */
#define PLC_LOADS_MAX 2
/* Ratio of flows; a smaller gain is not worth a load. */
#define PLC_MIN_GAIN 1.05
#define PLC_NONE     (-1)

enum plc_lease_state {
	PLC_LEASE_NONE,
	PLC_LEASE_TAKING,
	PLC_LEASE_HELD,
};

/* A range of layers of a model; both ends are included. */
struct plc_range {
	uint32_t first;
	uint32_t last;
};

/* An engine of this data centre or another one. */
struct plc_engine {
	char name[MAG_NAME_MAX];
	char address[MAG_ADDR_MAX];
	int service;
	int data_centre; /* index into plc.data_centres */
	bool local;	 /* in this data centre: this instance may order it */
	bool leaving;
	bool checks_fencing;
	struct plc_range declared; /* range declared by the operators */
	double tokens_per_s;	   /* with the declared range */
	double link_tokens_per_s;

	bool state_known; /* the engine reported its state under this lease */
	bool holds;	  /* holds layers of its service's model */
	bool loading;
	struct plc_range held;
	int failures; /* failed state requests in a row */
	int64_t next_read_us;

	bool load_due; /* the engine has yet to reach its target */
	struct plc_range target;
	int64_t load_until_us;	   /* the load is given up after that */
	int64_t no_order_until_us; /* an unanswered order may act until then */
	uint64_t pending_id;	   /* order or state request; 0: none */
	enum plc_order_kind pending_kind;
};

struct plc {
	struct plc_settings settings;
	char holder[2 * MAG_NAME_MAX];
	const struct cfg_set *set;
	const char **data_centres; /* their names, which the set owns */
	int data_centre_count;
	struct plc_engine *engines;
	size_t engine_count;
	enum plc_lease_state lease;
	uint64_t fence;
	int64_t lease_until_us; /* no order is sent after that */
	int64_t lease_call_us;	/* when the last call was made */
	int64_t lease_due_us;
	int64_t handover_until_us; /* no order before to engines without fencing
				    */
	int64_t decide_due_us;
	bool call_pending;
	bool drop_pending;
	bool call_running;
	bool stopping;
	uint64_t next_id;
	struct plc_order *orders; /* ready to be sent; at most one per engine */
	size_t order_count;
	size_t order_next;
};

/* A possible order and its expected result. */
struct plc_candidate {
	int engine;
	struct plc_range range;
	uint32_t uncovered;	 /* layers that no engine would hold */
	uint32_t layers_to_load; /* from the weight store */
	double flow;
	bool engine_empty; /* worth an order even without a gain */
	bool declared;	   /* the range is the one that the operators declare */
};

bool plc_engine_up(const struct plc_engine *engine);
bool plc_range_equal(const struct plc_range *a, const struct plc_range *b);
bool plc_choose_order(const struct plc *plc, int service, int64_t now,
		      struct plc_candidate *best, double *flow_now,
		      uint32_t *uncovered_now);

#endif /* PLC_INT_H */
