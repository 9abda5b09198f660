#ifndef URG_H
#define URG_H

/*
 * Urgency of requests, the capacity that requests leave free for more urgent
 * ones, and the least part of each route and account that is served.  Pure.
 *
 * Load pattern: capacity is short, and requests of several urgencies arrive at
 * many routers, each of which sees a few of them and learns of the others' a
 * fraction of a second late.  A worker that less urgent requests have filled
 * stays full for as long as they run, because nothing is preempted.  Each
 * router therefore keeps less urgent requests from the capacity that the more
 * urgent ones at all routers will need in the next fraction of a second.  If
 * the more urgent ones alone exceed the capacity, that would serve nothing
 * else: requests that are served far less often than all others are exempt.
 */

#include <stdbool.h>
#include <stdint.h>

#include "mag.h"

#define URG_LEVELS_MAX 16
#define URG_FLOOR_KEYS 128 /* power of two */

/* Distinct urgencies of a service's requests, ascending; of the configuration.
 */
struct urg_set {
	int count;
	int values[URG_LEVELS_MAX];
};

/* Demand of the requests of one urgency at one router. */
struct urg_report {
	int urgency;
	double need_per_s;
};

struct urg_level {
	int urgency;
	double arrived;	      /* need since the last tick */
	double own_per_s;     /* need that arrives at this router */
	double peers_per_s;   /* sum of what peers reported */
	int64_t forgotten_us; /* own demand is zero from then on */
};

/* Demand of one service by urgency: own, and that of peers. */
struct urg {
	int count;
	struct urg_level levels[URG_LEVELS_MAX]; /* ascending */
	int64_t tick_us;			 /* 0: none yet */
	int routers;	/* all that are known, this one included */
	int reports;	/* fresh ones of peers */
	int64_t age_us; /* of what is known of other routers */
	uint64_t seed;
	double draw; /* 0 to 1, new for each request that arrived */
};

/* Requests of a key or of all, in counts that decay. */
struct urg_floor_count {
	double asked;
	double served;
	int64_t at_us; /* when they were last decayed */
};

struct urg_floor_key {
	uint32_t key;
	bool used;
	double draw; /* 0 to 1, new for each request */
	struct urg_floor_count count;
};

/* Served fractions by key (hash of a route's or an account's name). */
struct urg_floor {
	struct urg_floor_count all;
	uint64_t seed;
	struct urg_floor_key keys[URG_FLOOR_KEYS];
};

int urg_value(int account_priority, int route_priority);
void urg_set_add(struct urg_set *set, int value);
int urg_set_rank(const struct urg_set *set, int value);
int urg_set_wire(const struct urg_set *set, int value);

void urg_init(struct urg *urg);
void urg_arrived(struct urg *urg, int urgency, double need);
void urg_tick(struct urg *urg, int64_t now);
int urg_collect(const struct urg *urg, struct urg_report *reports, int max);
void urg_peers_begin(struct urg *urg, int routers);
void urg_peers_add(struct urg *urg, const struct urg_report *reports,
		   int count);
void urg_set_age(struct urg *urg, int64_t age_us);
double urg_reserve(const struct urg *urg, int urgency, double capacity);

void urg_floor_init(struct urg_floor *floor);
void urg_floor_count(struct urg_floor *floor, uint32_t key, bool served,
		     int64_t now);
bool urg_floor_is_below(const struct urg_floor *floor, uint32_t key,
			int64_t now);

#endif /* URG_H */
