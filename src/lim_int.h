#ifndef LIM_INT_H
#define LIM_INT_H

/* Private declarations shared by the lim*.c files. */

#include "lim.h"

/* Slots of the time window after which a share may rise. */
#define LIM_WINDOW_SLOTS 5

/* A limit and the demand under it, as known to this instance. */
struct lim_row {
	uint32_t hash; /* of the limit's name */
	int limit;     /* index into the set */
	double requests_per_s;
	double tokens_per_s;
	double concurrent;
	float demand;	 /* of this instance, as last measured */
	float announced; /* of this instance, as sent to peers */
	float local;	 /* of this data centre; complete at its first bridge */
	float total;	 /* of all reachable instances */
	double slot_min[LIM_WINDOW_SLOTS]; /* smallest fraction per slot */
	double reported; /* fraction last returned as a share; -1: none */
};

/* The demand received from and sent to a peer; one value per row. */
struct lim_link {
	uint32_t epoch;
	bool sends_totals; /* the peer is this data centre's first bridge */
	bool sent_totals;  /* the values in sent are totals */
	uint32_t cursor;   /* next row to repeat even if it didn't change */
	float *received;
	float *sent; /* NAN: unknown what the peer has */
};

struct lim {
	struct lim_row *rows;
	size_t row_count;
	struct lim_link *links;
	size_t link_count;
	int64_t slot_end_us;
	size_t slot;
	int64_t next_tick_us;
	uint32_t group_size;  /* instances that pool their parts */
	uint32_t local_count; /* the same in this data centre only */
	uint32_t part_count;  /* parts into which each limit is divided */
	uint32_t last_listed; /* instances in the last list, own or a peer's */
	uint32_t instances_max; /* used while no list is known */
	size_t share_cursor;
};

double lim_size(const struct lim_row *row);
int lim_find_row(const struct lim *lim, uint32_t hash);

#endif /* LIM_INT_H */
