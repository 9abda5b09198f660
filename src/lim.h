#ifndef LIM_H
#define LIM_H

/*
 * Limits that apply to the whole fleet, divided among its instances.  Of n
 * listed instances each has a part of 1/n of a limit.  Instances that reach
 * each other pool their parts and divide the pool by demand, so the shares on
 * all sides of a network partition add up to the limit.  Deterministic: the
 * caller passes the time in.
 */

#include <stdbool.h>
#include <stdint.h>

#include "cfg.h"
#include "peer.h"

struct lim;

enum lim_err {
	LIM_OK = 0,
	LIM_E_MEMORY = -1,
	LIM_E_UNKNOWN = -2,
};

/* The part of a limit that this instance may use. */
struct lim_share {
	int limit; /* index into the set */
	double requests_per_s;
	double tokens_per_s;
	double concurrent;
};

struct lim *lim_new(uint32_t instances_max);
void lim_free(struct lim *lim);
int lim_config(struct lim *lim, const struct cfg_set *set, int64_t now);
int lim_note_demand(struct lim *lim, int limit, double demand);
void lim_receive(struct lim *lim, const struct peer *peer, int link,
		 const struct peer_msg *msg);
void lim_fill_message(struct lim *lim, const struct peer *peer, int link,
		      struct peer_msg *msg);
void lim_tick(struct lim *lim, const struct peer *peer, int64_t now);
int64_t lim_next_deadline(const struct lim *lim);
bool lim_next_share(struct lim *lim, struct lim_share *share);
uint32_t lim_group_size(const struct lim *lim);
uint32_t lim_part_count(const struct lim *lim);
double lim_fraction(double own, double total, uint32_t group_size,
		    uint32_t part_count, double limit);

#endif /* LIM_H */
