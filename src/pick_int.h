#ifndef PICK_INT_H
#define PICK_INT_H

/* What the files of the pick family share; no other module includes it. */

#include "flow_net.h"
#include "pick.h"

#define PICK_TICK_US	    (50 * MAG_US_PER_MS)
#define PICK_REFUSAL_FACTOR 0.9
#define PICK_HOP_EWMA	    0.2 /* of a new hop time in the mean */

enum pick_health {
	PICK_HEALTHY,
	PICK_EJECTED, /* gets nothing until retry_at_us */
	PICK_PROBING, /* half open: one request at a time */
};

/* Prefix hints kept for an endpoint, in sets by the hash. */
#define PICK_CACHE_SETS 64
#define PICK_CACHE_WAYS 4

/* What the cache events say an endpoint holds; a hint, never relied on. */
struct pick_cache {
	uint64_t prefix_hashes[PICK_CACHE_SETS * PICK_CACHE_WAYS]; /* 0: none */
	uint64_t next_sequence;
};

struct pick_ep {
	struct cfg_endpoint cfg;
	int data_centre;
	uint32_t first_layer; /* boundaries of its range; 0 and 1 if plain */
	uint32_t end_layer;
	bool leaving;
	struct pick_cache *cache; /* NULL until its first event */

	uint32_t in_flight;	   /* attempts of this instance */
	uint32_t suspects;	   /* of them, those that must stay apart */
	uint32_t others_in_flight; /* of other instances, by the last report */
	bool has_report;
	double reported_rate; /* tokens a second by the last report */
	int64_t reported_at_us;

	double limit;	       /* attempts at once, adapted */
	double refused_limit;  /* limit at the last refusal, 0 if none */
	int64_t full_until_us; /* after a refusal */
	double mean_hop_us;    /* a token's time at this stage, recent mean */
	double min_hop_us;     /* the same without a queue */
	double mean_chain_us;  /* a token's time over whole chains through here
				*/
	uint32_t hop_samples;  /* hop times since the last adaptation */
	double mean_duration_us; /* mean of whole answers, where no rate is
				    given */
	double solved_duration_us;
	int64_t last_progress_us; /* last sign of life */
	double solved_rate_scale; /* of it when the graph was solved last */
	double rate_scale; /* of its rate, under 1 while it is degraded */

	enum pick_health health;
	int consecutive_failures;
	double failure_ratio;
	uint32_t result_count;
	int64_t retry_at_us;
	int64_t backoff_us;
};

/* An endpoint that may take over a stream at one boundary. */
struct pick_option {
	int ep;
	double weight; /* tokens a second of the flow */
	double credit; /* smooth weighted round robin */
};

struct pick_node {
	struct pick_option *options;
	int count;
};

/* Where an endpoint hands on; weight and credit as above. */
struct pick_exit {
	int boundary;
	double weight;
	double credit;
};

struct pick_member {
	int ep;
	struct pick_exit *exits;
	int exit_count;
};

/* The endpoints of one service that one group of routes may use. */
struct pick_net {
	int service;
	char group[MAG_NAME_MAX];
	struct pick_member *members;
	int count;
	int *member_index; /* endpoint: index into members, -1 if none */
	struct flow_net *flow;
	struct pick_node *nodes; /* bounds x centres */
	int node_count;
	bool in_use; /* by the set in force */
	bool dirty;
	bool urgent; /* an endpoint came or went: solve at once */
	int64_t solved_us;
	double max_flow;
};

struct pick {
	enum pick_policy policy;
	uint64_t random_state;
	struct cfg_service *services;
	int service_count;
	struct pick_ep *eps;
	int ep_count;
	char (*data_centres)[MAG_NAME_MAX];
	int data_centre_count;
	bool *reachable; /* centres x centres */
	struct pick_net *nets;
	int net_count;
	double *service_load; /* service: tokens a second delivered here */
	uint64_t *load_tokens;
	int *remap; /* endpoint of the former set: index in this one */
	int remap_count;
	int64_t next_tick_us;  /* next regular tick */
	bool urgent;	       /* some network is to be solved at once */
	int64_t last_probe_us; /* when the last probe was sent */
	uint32_t requests_since_probe; /* requests chosen for since then */
	int unhealthy_count;	       /* endpoints ejected or probing */
	uint32_t in_flight;
};

/* pick_config.c */
void pick_free_nets(struct pick *pick);

/* pick_plan.c */
struct pick_net *pick_get_net(struct pick *pick, int service,
			      const char *group);
int pick_net_solve(struct pick *pick, struct pick_net *net, int64_t now);
double pick_net_max_flow(const struct pick *pick, const struct pick_net *net,
			 int without);
void pick_net_free(struct pick_net *net);
void pick_mark_dirty(struct pick *pick, int service, bool urgent);
double pick_rate(const struct pick_ep *ep);
uint32_t pick_layer_count(const struct pick *pick, int service);

/* pick_walk.c */
int pick_walk(struct pick *pick, struct pick_net *net,
	      const struct pick_request *want, int64_t now,
	      struct pick_chain *chain);
double pick_random(struct pick *pick);

/* pick_seek.c */
int pick_seek(struct pick *pick, struct pick_net *net,
	      const struct pick_request *want, int64_t now,
	      struct pick_chain *chain);

int pick_choose_through(struct pick *pick, struct pick_net *net,
			const struct pick_request *want, int via, int64_t now,
			struct pick_chain *chain);
int pick_probe(struct pick *pick, struct pick_net *net,
	       const struct pick_request *want, int64_t now,
	       struct pick_chain *chain);

/* pick_health.c */
bool pick_accepts_work(const struct pick_ep *ep, int64_t now);
bool pick_below_limit(const struct pick_ep *ep, int64_t now);
double pick_relative_load(const struct pick_ep *ep);
void pick_health_ended(struct pick *pick, const struct pick_chain *chain,
		       const struct pick_result *result, int64_t now);
void pick_health_progress(struct pick *pick, int e, int64_t now);
void pick_health_tick(struct pick *pick, int64_t now);

/* pick_adapt.c */
void pick_adapt(struct pick *pick, struct pick_ep *ep);
void pick_adapt_add_hop(struct pick_ep *ep, double hop_us, double chain_us);

/* pick_cache.c */
bool pick_cache_holds(const struct pick_ep *ep, uint64_t prefix);

/* pick_show.c */
void pick_log_chain(const struct pick *pick, const struct pick_net *net,
		    const struct pick_chain *chain, const char *why);

#endif /* PICK_INT_H */
