#ifndef EDGE_H
#define EDGE_H

/*
 * State of one router on a platform that its modules share.  Only the thread of
 * the event loop accesses it.
 */

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <urcu/list.h>

#include "age.h"
#include "bud.h"
#include "conf.h"
#include "era.h"
#include "eset.h"
#include "hc.h"
#include "hs.h"
#include "met.h"
#include "met_urgent.h"
#include "mir.h"
#include "pres.h"
#include "quar.h"
#include "quar_trait.h"
#include "rel.h"
#include "rt.h"
#include "sto.h"
#include "attest.h"
#include "urg.h"
#include "urg_log.h"
#include "wk.h"
#include "wq.h"

struct wkp_ops;

/* What a router keeps of a service over changes of the configuration. */
struct edge_service {
	struct cds_list_head node;
	char name[MAG_NAME_MAX];
	int64_t used_us;   /* when it was last asked for */
	struct bud bud;	   /* of retries */
	uint64_t requests; /* for it, of callers and forwarding routers */
	uint64_t requests_counted; /* in demand */
	double demand;		   /* requests per second, smoothed */
	/*
	 * Of the usable workers; 0: not known yet.  Memory in tokens x layers;
	 * slots, which an engine service counts as memory of usual requests.
	 */
	double capacity;
	double slot_capacity;
	/* For the placer: since when a data centre lacks layers; 0: none. */
	int64_t coverage_gap_since_us;
	int64_t next_balance_us; /* when an accelerator may be moved next */
	struct urg urg;		 /* demand by urgency */
	struct urg_floor floor;	 /* served fractions by route and account */
	struct urg_log urg_log;
	struct wq wq;	  /* requests that wait for capacity */
	int64_t short_us; /* when a request last found none; 0: never */
};

/* State of the placer between ticks. */
struct edge_placer {
	int64_t next_coverage_log_us;
	int64_t next_plan_us;
};

struct edge {
	struct event_base *base;
	struct eset set;
	struct hc *hc;
	struct hs *callers;
	struct hs *readiness;
	struct hs *metrics;	  /* NULL until the address is available */
	int64_t metrics_retry_us; /* when to try again */
	int64_t metrics_log_us; /* when to log again why they are not served */
	int open_files;		/* that the limit in force is computed of */
	uint64_t files_max;	/* descriptors, in force */
	struct sto *sto;
	struct sto_follow *follow;
	struct rel *rel;
	struct mir mir; /* of the store, for routers that follow this one */
	struct pres *pres;
	struct hint *hint;
	struct wk_table workers;
	const struct wkp_ops *probe_ops; /* of wkp */
	struct quar *quar;
	struct quar_traits *traits;
	struct quar_keep *keep;
	struct edge_placer placer;

	struct rt_set *rt;     /* configuration; NULL until the first one */
	struct conf conf;      /* from which the next one is built */
	struct attest attest;  /* how long the configuration may be trusted */
	struct era era;	       /* recovery after a restore of the store */
	int64_t store_version; /* of the configuration there */
	int64_t version_era;   /* of the store when rt was last read there */
	/* The newest configuration that was read cannot be put in force. */
	bool config_refused;
	bool workers_listed;
	bool store_reachable; /* by this router's own calls */
	/*
	 * When the items were current again after nobody that this router could
	 * learn from had reached the store for long; 0: never.
	 */
	int64_t store_regained_us;

	char data_centres[MAG_DATA_CENTRES_MAX][MAG_NAME_MAX];
	int data_centre_count;
	bool data_centres_full;	       /* and that was logged */
	struct cds_list_head services; /* of struct edge_service */
	int service_count;
	struct edge_service no_service; /* without retries; out of memory */
	struct age caller_ages;
	int max_routers_seen; /* at one time, this one included */
	bool routers_listed;  /* the whole list of them has been read */
	int64_t started_us;

	double crossing_budget_bytes; /* may still cross between data centres */
	int64_t crossing_budget_us;   /* when it was last refilled */

	struct cds_list_head requests; /* of struct eq, by arrival */
	int request_count;
	size_t answer_bytes; /* buffered of all answers, before they are sent */
	uint64_t seed;

	bool stopping;
	int64_t stop_by_us;
	bool stopped_listening;	    /* for callers */
	int64_t next_wait_retry_us; /* of requests without a worker */
	int64_t next_coverage_check_us;
	int64_t next_no_worker_log_us;
	/* Since when no chain covers all layers; 0: one does. */
	int64_t uncovered_since_us;
	int64_t unready_since_us; /* not ready since; 0: it is ready */
	int unready_logs;	  /* since then */
	bool was_covered;	  /* a chain has covered all layers before */

	int64_t stopped_us;
	struct met met;
	struct met_urgent met_urgent;
};

enum edge_start {
	EDGE_STARTED = 0,
	EDGE_START_WAITS = 1, /* for what is not there yet; try again */
	EDGE_START_FAILED = -1,
};

/* edge_start.c */
enum edge_start edge_start(struct edge *edge, char *why, size_t why_size);
void edge_retry_metrics(struct edge *edge, int64_t now);

/* edge_files.c */
void edge_allow_files(struct edge *edge);
void edge_share_files(struct edge *edge);

/* edge_page.c */
extern const struct hs_ops edge_readiness_ops;
extern const struct hs_ops edge_metrics_ops;

/* edge_follow.c */
int edge_follow(struct edge *edge, const struct pres_peer *self, int fd,
		const struct hs_ops *forwarded);
void edge_follow_tick(struct edge *edge, int64_t now);

/* edge.c */
void edge_init(struct edge *edge);
void edge_free_services(struct edge *edge);
int edge_data_centre_index(struct edge *edge, const char *name);
struct edge_service *edge_service(struct edge *edge, const char *name,
				  int64_t now);
bool edge_service_is_short(const struct edge_service *service, int64_t now);
struct bud *edge_budget(struct edge *edge, const char *service, int64_t now);
bool edge_may_cross_data_centres(struct edge *edge,
				 const struct rt_engine *engine, int64_t now);
uint64_t edge_random(struct edge *edge);
int edge_routers_per_data_centre(const struct edge *edge);
bool edge_has_config(const struct edge *edge, int64_t now);
bool edge_has_source(const struct edge *edge);
bool edge_is_behind(const struct edge *edge);
bool edge_is_outdated(const struct edge *edge, int64_t now);
bool edge_may_serve(const struct edge *edge, int64_t now);
bool edge_is_ready(const struct edge *edge, int64_t now);
void edge_log_unready(struct edge *edge, int64_t now);

#endif /* EDGE_H */
