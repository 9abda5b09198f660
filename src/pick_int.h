#ifndef PICK_INT_H
#define PICK_INT_H

/* Declarations shared by the pick_*.c files; no other module includes this. */

#include "flow_net.h"
#include "pick.h"

#define PICK_TICK_US	    (50 * MAG_US_PER_MS)
#define PICK_REFUSAL_FACTOR 0.9 /* of the limit, after a refusal */
#define PICK_HOP_EWMA	    0.2 /* weight of a new hop time in the mean */

enum pick_health {
	PICK_HEALTHY,
	PICK_EJECTED, /* receives no work; may be probed from retry_at_us */
	PICK_PROBING, /* half open: one request, until retry_at_us */
};

/* Size of an endpoint's set-associative table of prefix hashes. */
#define PICK_CACHE_SETS 64
#define PICK_CACHE_WAYS 4

/*
 * The prefixes that an endpoint caches, according to its cache events.  This
 * is only a hint: a wrong entry must not affect correctness.
 */
struct pick_cache {
	uint64_t prefix_hashes[PICK_CACHE_SETS * PICK_CACHE_WAYS]; /* 0: none */
	uint64_t next_sequence;
};

struct pick_ep {
	struct cfg_endpoint cfg;
	int data_centre;
	uint32_t first_layer; /* 0 for a plain service */
	uint32_t end_layer;   /* exclusive; 1 for a plain service */
	bool leaving;
	struct pick_cache *cache; /* NULL until its first cache event */

	uint32_t in_flight;	   /* attempts by this instance */
	uint32_t suspects;	   /* of these, suspects that run alone */
	uint32_t others_in_flight; /* by other instances, last report */
	bool has_report;
	double reported_rate; /* tokens per second, last report */
	int64_t reported_at_us;

	double limit;	       /* concurrent attempts, adapted */
	double refused_limit;  /* limit at the last refusal, 0 if none */
	int64_t full_until_us; /* no new work until then, after a refusal */
	double mean_hop_us;    /* recent mean time of a token at this stage */
	double min_hop_us;     /* shortest, taken as the time without a queue */
	/* Recent mean time of a token over the whole chains through it. */
	double mean_chain_us;
	uint32_t hop_samples; /* hop times since the last adaptation */
	/* Mean time of a whole answer; used if no rate is configured. */
	double mean_duration_us;
	double solved_duration_us; /* mean_duration_us at the last solve */
	int64_t last_progress_us;  /* or first attempt after being idle */
	double solved_rate_scale;  /* rate_scale at the last solve */
	double rate_scale; /* estimated part of its rate, < 1: degraded */

	enum pick_health health;
	int consecutive_failures;
	double failure_ratio;
	uint32_t result_count;
	int64_t retry_at_us;
	int64_t backoff_us;
};

/* An endpoint that may be the next stage of a stream at one boundary. */
struct pick_option {
	int ep;
	double weight; /* tokens per second of the flow */
	double credit; /* for smooth weighted round robin */
};

struct pick_node {
	struct pick_option *options;
	int count;
};

/* A boundary at which an endpoint ends its stage; see pick_option. */
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

/* The endpoints of a service that routes with the same group may use. */
struct pick_net {
	int service;
	char group[MAG_NAME_MAX];
	struct pick_member *members;
	int count;
	int *member_index; /* by endpoint: index into members, or -1 */
	struct flow_net *flow;
	struct pick_node *nodes; /* [boundary][data centre] */
	int node_count;
	bool in_use; /* a service or route of the current set uses it */
	bool dirty;  /* changed since the last solve */
	bool urgent; /* an endpoint was added or lost: solve at once */
	int64_t solved_us;
	double max_flow; /* tokens per second */
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
	bool *reachable; /* [data centre][data centre] */
	struct pick_net *nets;
	int net_count;
	double *service_load;  /* by service: tokens per second delivered */
	uint64_t *load_tokens; /* by service: tokens since the last tick */
	int *remap; /* endpoint index in the previous set to that in this one */
	int remap_count;
	int64_t next_tick_us;	       /* next regular tick */
	bool urgent;		       /* some network must be solved at once */
	int64_t last_probe_us;	       /* when the last probe was sent */
	uint32_t requests_since_probe; /* calls of pick_choose since then */
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
	      const struct pick_request *request, int64_t now,
	      struct pick_chain *chain);
double pick_random(struct pick *pick);

/* pick_seek.c */
int pick_seek(struct pick *pick, struct pick_net *net,
	      const struct pick_request *request, int64_t now,
	      struct pick_chain *chain);

int pick_choose_through(struct pick *pick, struct pick_net *net,
			const struct pick_request *request, int via,
			int64_t now, struct pick_chain *chain);
int pick_probe(struct pick *pick, struct pick_net *net,
	       const struct pick_request *request, int64_t now,
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
