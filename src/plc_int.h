#ifndef PLC_INT_H
#define PLC_INT_H

/* What the files of the plc family share. */

#include "flow_net.h"
#include "plc.h"

#define PLC_LEASE_TTL_US   (10 * MAG_US_PER_S) /* of the lease */
#define PLC_LEASE_RENEW_US (3 * MAG_US_PER_S)
#define PLC_LEASE_RETRY_US (2 * MAG_US_PER_S)
#define PLC_CLOCK_MARGIN_US                                                    \
	(500 * MAG_US_PER_MS) /* clocks run apart by less                      \
			       */
#define PLC_ORDER_TIMEOUT_US                                                   \
	(5 * MAG_US_PER_S) /* until an order's deadline                        \
			    */
#define PLC_STATE_POLL_US                                                      \
	(10 * MAG_US_PER_S)		  /* between two looks at a state      \
					   */
#define PLC_LOADING_POLL_US  MAG_US_PER_S /* the same while it loads */
#define PLC_LOAD_TIMEOUT_US  (600 * MAG_US_PER_S) /* longest load */
#define PLC_DECIDE_PERIOD_US MAG_US_PER_S
#define PLC_FAILURES_MAX     2 /* states unread in a row before one is down */
#define PLC_LOADS_MAX	     2 /* at once: the weight store's rate is shared */
#define PLC_MIN_GAIN	     1.05 /* a smaller gain isn't worth a load */
#define PLC_NONE	     (-1)

enum plc_lease_state {
	PLC_LEASE_NONE,
	PLC_LEASE_TAKING,
	PLC_LEASE_HELD,
};

/* Layers of a model, both inclusive. */
struct plc_range {
	uint32_t first;
	uint32_t last;
};

/* One engine, of this data centre or another. */
struct plc_engine {
	char name[MAG_NAME_MAX];
	char address[MAG_ADDR_MAX];
	int service;
	int centre;
	bool local; /* of this data centre: ordered from here */
	bool leaving;
	bool checks_fencing;
	struct plc_range declared; /* by the operators */
	double tokens_per_s;	   /* tokens a second over the declared range */
	double link_tokens_per_s;  /* tokens a second */

	bool state_known; /* its state was read under this lease */
	bool holds;	  /* layers of its own service */
	bool loading;
	struct plc_range held;
	int failures; /* in a row */
	int64_t next_read_us;

	bool load_due; /* an order is due, or under way */
	struct plc_range target;
	int64_t load_until_us;	   /* the load counts as stuck after this */
	int64_t no_order_until_us; /* an order with no answer may land until
				    * then
				    */
	uint64_t pending_id;	   /* id of the order or question, 0: none */
	enum plc_order_kind pending_kind;
};

struct plc {
	struct plc_settings settings;
	char holder[2 * MAG_NAME_MAX];
	const struct cfg_set *set;
	const char **centres; /* names in the set, by number */
	int centre_count;
	struct plc_engine *engines;
	size_t engine_count;
	enum plc_lease_state lease;
	uint64_t fence;
	int64_t lease_until_us; /* nothing is sent after this */
	int64_t lease_call_us;	/* when the call under way was made */
	int64_t lease_due_us;
	int64_t handover_until_us; /* engines that ignore numbers wait for it */
	int64_t decide_due_us;
	bool call_pending;
	bool drop_pending;
	bool call_running;
	bool stopping;
	uint64_t next_id;
	struct plc_order *orders; /* to be taken; at most one an engine */
	size_t order_count;
	size_t order_next;
};

/* One possible order, and what it would bring. */
struct plc_candidate {
	int engine;
	struct plc_range range;
	uint32_t uncovered;	 /* layers that nobody would hold */
	uint32_t layers_to_load; /* layers drawn from the weight store */
	double flow;
	bool engine_empty; /* the engine holds nothing: load it anyway */
	bool declared;	   /* the range that the operators declare */
};

bool plc_engine_up(const struct plc_engine *engine);
bool plc_range_equal(const struct plc_range *a, const struct plc_range *b);
bool plc_choose_order(const struct plc *plc, int service, int64_t now,
		      struct plc_candidate *best, double *flow_now,
		      uint32_t *gap_now);

#endif /* PLC_INT_H */
