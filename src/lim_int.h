#ifndef LIM_INT_H
#define LIM_INT_H

/* What the files of the lim family share. */

#include "lim.h"

#define LIM_WINDOW_SLOTS                                                       \
	5 /* of time, of which a raised share waits out all                    \
	   */

/* One limit as this instance sees it. */
struct lim_row {
	uint32_t hash; /* of the limit's name */
	int limit;     /* index into the set */
	double requests_per_s;
	double tokens_per_s;
	double concurrent;
	float demand;	 /* here, as last noted */
	float announced; /* here, as peers are told */
	float local;	 /* in this data centre, at its first bridge */
	float total;	 /* of all in reach */
	double slot_min[LIM_WINDOW_SLOTS]; /* least fraction in each slot of
					    * time
					    */
	double reported; /* fraction that the owner was told; -1: none */
};

/* What a link brought, and what it was told; one float a row. */
struct lim_link {
	uint32_t epoch;
	bool sends_totals; /* the other side is this data centre's first */
	bool sent_totals;  /* it was told totals */
	uint32_t cursor;   /* next row that is told again unasked */
	float *received;
	float *sent; /* NAN: not known what it has */
};

struct lim {
	struct lim_row *rows;
	size_t row_count;
	struct lim_link *links;
	size_t link_count;
	int64_t slot_end_us;
	size_t slot;
	int64_t next_tick_us;
	uint32_t group_size;  /* who pool their parts, this one included */
	uint32_t local_count; /* those of them in this data centre */
	uint32_t part_count;  /* in how many parts a limit is held */
	uint32_t last_listed; /* instances of the last list, own or a peer's */
	uint32_t instances_max; /* what a site without any list may have */
	size_t share_cursor;
};

double lim_size(const struct lim_row *row);
int lim_find_row(const struct lim *lim, uint32_t hash);

#endif /* LIM_INT_H */
