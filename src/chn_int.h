#ifndef CHN_INT_H
#define CHN_INT_H

/* What the parts of the choice of chains share. */

#include "chn.h"

#define CHN_INFINITE_COST 1e300

/* The cheapest way to have run the layers before a position. */
struct chn_step {
	double cost;
	int worker;	     /* the hop that ends here, -1: none */
	int start;	     /* where that hop began */
	int previous_centre; /* data centre of the hop before it, -1: it is the
				first */
};

struct chn_walk {
	const struct chn_request *request;
	const struct chn_worker *workers;
	int count;
	int centres;
	bool boundary[CHN_LAYERS_MAX + 1];
	struct chn_step best[CHN_LAYERS_MAX + 1][CHN_CENTRES_MAX];
	bool use_memory;
	int start;	   /* layers before it stay where they are */
	int start_centre;  /* data centre of the worker that runs them */
	double fastest_us; /* a token's time through the fastest workers */
	double weight_us;  /* a memory price of 1 counts as so much time */
	double price[CHN_WORKERS_MAX]; /* of a layer's memory, by worker */
};

/* chn_walk.c */
int chn_walk_begin(struct chn_walk *walk, const struct chn_request *want,
		   const struct chn_worker *workers, int count);
int chn_walk_solve(struct chn_walk *walk, struct chn_chain *chain);

/* chn_price.c */
void chn_price_workers(struct chn_walk *walk);
double chn_price_of_chain(const struct chn_chain *chain);

#endif /* CHN_INT_H */
