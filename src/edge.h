#ifndef EDGE_H
#define EDGE_H

/* One router on a platform: what its modules share.  One thread owns it. */

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <urcu/list.h>

#include "age.h"
#include "bud.h"
#include "era.h"
#include "eset.h"
#include "hc.h"
#include "hs.h"
#include "met.h"
#include "pres.h"
#include "quar.h"
#include "rt.h"
#include "sto.h"
#include "attest.h"
#include "wk.h"

#define EDGE_DATA_CENTRES_MAX 32
#define EDGE_BUDGETS_MAX      32
#define EDGE_SERVICES_MAX     32 /* with engines that are placed */

/* Budget of second sends to a service; kept when the configuration changes. */
struct edge_budget {
	char service[MAG_NAME_MAX];
	struct bud bud;
};

/* What the placer remembers from tick to tick. */
struct edge_placer {
	/* By service: some data centre lacks layers since then; 0: none. */
	int64_t coverage_gap_since_us[EDGE_SERVICES_MAX];
	/* By service: when a card may be moved next. */
	int64_t next_balance_us[EDGE_SERVICES_MAX];
	int64_t next_coverage_log_us; /* when the cover is logged next */
	int64_t next_plan_us;	      /* when it plans next */
};

struct edge {
	struct event_base *base;
	struct eset set;
	struct hc *hc;
	struct hs *callers;
	struct hs *readiness;
	struct hs *metrics;
	struct sto *sto;
	struct sto_follow *follow;
	struct pres *pres;
	struct hint *hint;
	struct wk_table workers;
	struct quar *quar;
	struct edge_placer placer;

	struct rt_set *rt;	     /* NULL until the first configuration */
	struct attest attest;	     /* how old it may be */
	struct era era;		     /* since the store came back from a copy */
	int64_t newest_peer_version; /* of those that peers have named */
	int64_t store_version;	     /* that the store has */
	bool workers_listed;
	bool store_reachable;
	int64_t store_regained_us; /* when the store was last regained */

	char data_centres[EDGE_DATA_CENTRES_MAX][MAG_NAME_MAX];
	int data_centre_count;
	struct edge_budget budgets[EDGE_BUDGETS_MAX];
	int budget_count;
	struct age caller_ages;
	int max_routers_seen; /* routers seen at once, this one included */
	int64_t started_us;

	double crossing_budget_bytes; /* that may still cross between data
					 centres */
	int64_t crossing_budget_us;   /* when that was counted */

	struct cds_list_head requests; /* of struct eq, by arrival */
	int request_count;
	uint64_t seed;

	bool stopping;
	int64_t stop_by_us;
	int64_t last_tick_us;	   /* the last tick */
	int64_t last_late_tick_us; /* the loop was late then: answers lay unread
				    */
	int64_t next_wait_retry_us; /* when waiting requests are tried next */
	int64_t next_coverage_check_us; /* when chains are looked for next */
	int64_t uncovered_since_us; /* no chain has led through all layers since
				     */
	bool was_covered;	    /* one did, at some time */

	int64_t stopped_us;
	struct met met;
};

/* edge_follow.c */
int edge_follow(struct edge *edge);
void edge_follow_tick(struct edge *edge, int64_t now);

/* edge.c */
int edge_data_centre_index(struct edge *edge, const char *name);
struct bud *edge_budget(struct edge *edge, const char *service, int64_t now);
bool edge_may_cross_data_centres(struct edge *edge,
				 const struct rt_engine *engine, int64_t now);
uint64_t edge_random(struct edge *edge);
int edge_routers_per_data_centre(const struct edge *edge);
bool edge_has_config(const struct edge *edge, int64_t now);
bool edge_is_ready(const struct edge *edge, int64_t now);

#endif /* EDGE_H */
