#ifndef RT_H
#define RT_H

/*
 * The decoded configuration that a platform's operator publishes: routes to
 * services, services with their engines, client accounts with their keys.  A
 * set is immutable once built; requests hold a reference to the one that was in
 * force when they arrived.
 *
 * Nothing here limits the length of a text or the number of objects.  A name
 * that serves only to identify an object is kept as mag_identify() writes it.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "hs_limits.h"
#include "mag.h"
#include "urg.h"

#define RT_PART_BYTES 16

enum rt_err {
	RT_OK = 0,
	RT_E_MEMORY = -1,
	RT_E_BAD = -2, /* the error text names object and field */
};

/* How often a request of a route may run. */
enum rt_request_kind {
	RT_IDEMPOTENT,	   /* any number of times */
	RT_NON_IDEMPOTENT, /* at most once per attempt of a client */
	RT_STREAMING,	   /* event stream with increasing ids */
};

struct rt_split {
	int service;
	double weight;
};

/* What a route matches and where it leads; its copies in several sets share it.
 */
struct rt_route_data;

/* Identifies the text of a route. */
struct rt_part {
	unsigned char id[RT_PART_BYTES];
};

struct rt_route {
	struct rt_part part;	 /* 0: unknown */
	char name[MAG_NAME_MAX]; /* identity */
	struct rt_route_data *data;
	const char *host; /* this and the next two are in data */
	const char *prefix;
	const struct rt_split *splits;
	int split_count;
	size_t prefix_len;
	enum rt_request_kind kind;
	bool resumable;	  /* a stream may continue at another worker */
	bool auth_exempt; /* requires no key */
	bool generates;	  /* carries a prompt for a model */
	int64_t timeout_us;
	int64_t target_us;  /* an answer within this is worth the most */
	int64_t max_gap_us; /* longest gap between events that is on time */
	int priority;	    /* 0 is the most urgent */
	int max_attempts;
};

/* A type of accelerator; times are relative to the reference, 1. */
struct rt_accelerator {
	char name[MAG_NAME_MAX]; /* identity */
	double memory_mb;
	double step_factor;    /* relative time of a decode step */
	double prefill_factor; /* relative time of prefill */
};

/* Performance model of a service's workers; times cover all layers. */
struct rt_engine {
	int layers; /* may be more than MAG_LAYERS_MAX */
	double layer_mb;
	double kv_token_bytes; /* KV cache of a token over all layers */
	double step_ms;
	double per_sequence_ms;
	double context_ms_per_k;
	double prefill_tokens_per_s;
	int prefill_chunk_tokens; /* prompt tokens per step; 0: unknown */
	double activation_bytes;  /* per token, from one worker to the next */
	double link_mbps; /* between two data centres, shared by all streams */
	double load_s;	  /* of the whole model */
	int slots;
	int usual_prompt;
	int usual_answer;
	struct rt_accelerator *accelerators;
	int accelerator_count;
};

struct rt_service {
	char name[MAG_NAME_MAX]; /* identity */
	char *health_path;
	int max_connections; /* per worker, for all callers together */
	bool has_engine;
	struct rt_engine engine;
	/* Of the requests that routes and accounts bring to it. */
	struct urg_set urgencies;
};

struct rt_account {
	char *name;
	int priority; /* overrides the route's; -1: none */
};

struct rt_key {
	char *key;
	int account;
};

struct rt_set {
	int refs;
	int64_t version;
	struct rt_route *routes; /* longest prefix first */
	int route_count;
	struct rt_service *services;
	int service_count;
	struct rt_account *accounts;
	int account_count;
	struct rt_key *keys; /* sorted by key */
	int key_count;
	bool has_accounts;
	struct hs_limits limits;
};

/* Routes that come and go between two sets. */
struct rt_changes {
	struct rt_part *gone; /* also those that come */
	int gone_count;
	struct rt_route *routes;
	int route_count;
};

struct rt_set *rt_new(int routes, int services, int accounts, int keys);
struct rt_set *rt_hold(struct rt_set *set);
void rt_drop(struct rt_set *set);
void rt_index_tables(struct rt_set *set);
int rt_route_set_data(struct rt_route *route, const char *host,
		      const char *prefix, const struct rt_split *splits,
		      int split_count);
void rt_route_hold(struct rt_route *route);
void rt_route_drop(struct rt_route *route);
bool rt_engine_is_supported(const struct rt_engine *engine);
int rt_changes_init(struct rt_changes *changes, int max);
void rt_changes_free(struct rt_changes *changes);
bool rt_has_same_services(const struct rt_set *a, const struct rt_set *b);
int rt_by_part(const void *a, const void *b);
int rt_merge_routes(struct rt_set *set, const struct rt_set *base,
		    struct rt_changes *changes, int count);
const struct rt_route *rt_find_route(const struct rt_set *set, const char *host,
				     const char *target);
int rt_account_by_key(const struct rt_set *set, const char *key);
int rt_find_service(const struct rt_set *set, const char *name);
const struct rt_accelerator *rt_find_accelerator(const struct rt_engine *engine,
						 const char *name);

#endif /* RT_H */
