#ifndef CFG_H
#define CFG_H

/*
 * The configuration: the objects that operators edit, validated together as
 * one set.  A set is immutable after parsing: every module may read it and
 * none may change it.  Field names include their units; docs/ and
 * magnolia.conf(5) describe each field.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mag.h"

#define CFG_NOT_BEGUN_MAX  4  /* statuses that prove nothing ran */
#define CFG_SPLIT_MAX	   64 /* accounts with their own group, per route */
#define CFG_DEFAULT_TOKENS 64 /* max_tokens if a request sets none */

enum cfg_kind {
	CFG_SERVICE,
	CFG_ACCOUNT,
	CFG_ROUTE,
	CFG_LIMIT,
	CFG_ENDPOINT,
	CFG_KIND_COUNT
};

enum cfg_service_kind {
	CFG_MODEL, /* a pipeline of engines, each with a range of layers */
	CFG_PLAIN, /* an HTTP service; one endpoint per request */
};

/* What an endpoint does with the downstream key that the router derives. */
enum cfg_downstream_key {
	CFG_DOWN_NONE,	 /* ignores it: a lost answer stays unknown */
	CFG_DOWN_LOOKUP, /* can report whether the key ran */
	CFG_DOWN_RESEND, /* runs a key once, even if it is resent */
};

enum cfg_key_rule {
	CFG_KEY_REQUIRED, /* a request without a key is refused */
	CFG_KEY_OPTIONAL,
	CFG_KEY_TIMED, /* required, and must be a UUIDv7 */
};

enum cfg_endpoint_state {
	CFG_ACTIVE,
	CFG_DRAIN, /* gets no new work */
};

struct cfg_service {
	char name[MAG_NAME_MAX];
	enum cfg_service_kind kind;
	uint32_t layers;	   /* model: layers 0 .. layers - 1 */
	uint32_t activation_bytes; /* model: sent over a link per token */
	uint32_t default_deadline_ms;
	uint32_t max_deadline_ms;
	uint32_t queue_max;	/* most requests that may wait */
	uint32_t retry_percent; /* retries per 100 first attempts */
	uint32_t key_window_s;	/* how long a key is stored */
	int not_begun_status[CFG_NOT_BEGUN_MAX]; /* 0 ends a shorter list */
};

struct cfg_account {
	char name[MAG_NAME_MAX];
	char key_hash[MAG_DIGEST_HEX]; /* BLAKE2b-256 of the bearer key */
	uint32_t weight;
	uint32_t priority; /* 0 is served first */
};

struct cfg_split {
	int account; /* index into accounts */
	char group[MAG_NAME_MAX];
};

struct cfg_route {
	char name[MAG_NAME_MAX];
	char host[MAG_NAME_MAX];  /* "" matches any host */
	char path[128];		  /* prefix */
	int service;		  /* index into services */
	char group[MAG_NAME_MAX]; /* of endpoints; "" allows any */
	bool idempotent;
	enum cfg_key_rule key;
	struct cfg_split *splits;
	size_t split_count;
};

struct cfg_limit {
	char name[MAG_NAME_MAX];
	int account;		 /* index; -1: all accounts together */
	int service;		 /* index; -1: all services together */
	uint32_t requests_per_s; /* 0: unlimited, here and below */
	uint32_t tokens_per_s;
	uint32_t concurrent;
};

struct cfg_endpoint {
	char name[MAG_NAME_MAX];
	int service; /* index into services */
	char data_centre[MAG_NAME_MAX];
	char group[MAG_NAME_MAX];
	char address[MAG_ADDR_MAX];
	char accelerator[MAG_NAME_MAX];
	uint32_t first_layer;
	uint32_t last_layer;   /* inclusive */
	uint32_t tokens_per_s; /* rated speed for this range of layers */
	uint64_t link_bytes_per_s;
	uint32_t concurrency; /* most concurrent requests */
	bool checks_fencing;
	enum cfg_downstream_key downstream_key;
	enum cfg_endpoint_state state;
};

struct cfg_set {
	uint64_t revision;
	struct cfg_service *services;
	size_t service_count;
	struct cfg_account *accounts;
	size_t account_count;
	struct cfg_route *routes;
	size_t route_count;
	struct cfg_limit *limits;
	size_t limit_count;
	struct cfg_endpoint *endpoints;
	size_t endpoint_count;
};

enum cfg_err {
	CFG_OK = 0,
	CFG_E_SYNTAX = -1,  /* not JSON, or not a set of objects */
	CFG_E_INVALID = -2, /* at least one object is invalid */
	CFG_E_MEMORY = -3,
	CFG_E_NOT_PATCHABLE = -4, /* cfg_patch: use cfg_parse instead */
};

/* The JSON text of one object, without the comma that follows it. */
struct cfg_object_text {
	const char *text;
	size_t len;
};

struct cfg_faults; /* list of faults, each "kind/name: field: text" */

int cfg_parse(const char *text, size_t len, struct cfg_set **set,
	      struct cfg_faults **faults);
int cfg_patch(const struct cfg_set *old, const struct cfg_object_text *removed,
	      size_t removed_count, const struct cfg_object_text *added,
	      size_t added_count, struct cfg_set **set);
int cfg_copy(const struct cfg_set *set, struct cfg_set **copy);
void cfg_free(struct cfg_set *set);
size_t cfg_fault_count(const struct cfg_faults *faults);
const char *cfg_fault_text(const struct cfg_faults *faults, size_t i);
void cfg_faults_free(struct cfg_faults *faults);

int cfg_find_account_by_key(const struct cfg_set *set, const char *key_hash);
int cfg_find_service(const struct cfg_set *set, const char *name);
int cfg_find_endpoint(const struct cfg_set *set, const char *name);
bool cfg_same_endpoint(const struct cfg_endpoint *a,
		       const struct cfg_endpoint *b);
int cfg_find_route(const struct cfg_set *set, const char *host,
		   const char *path);
const char *cfg_route_group(const struct cfg_set *set, int route, int account);

#endif /* CFG_H */
