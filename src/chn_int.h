#ifndef CHN_INT_H
#define CHN_INT_H

/* Declarations shared by the files of chn. */

#include "chn.h"

#define CHN_INFINITE_COST 1e300

/* The cheapest way to run all layers before a position. */
struct chn_step {
	double cost;
	int worker; /* the worker of the last hop; -1: none */
	int start;  /* first layer of that hop */
	/* Data centre of the hop before it; -1: it is the first. */
	int previous_centre;
};

struct chn_walk {
	const struct chn_request *request;
	const struct chn_worker *workers;
	int count;
	int centres;
	bool boundary[CHN_LAYERS_MAX + 1];
	struct chn_step cheapest[CHN_LAYERS_MAX + 1][CHN_CENTRES_MAX];
	bool use_memory;
	int start;	   /* the layers before it stay unchanged */
	int start_centre;  /* data centre of the worker that runs them */
	double fastest_us; /* time per token through the fastest workers */
	double weight_us;  /* time equivalent of a memory price of 1 */
	double *price;	   /* of a layer's memory, by worker */
	int price_max; /* workers that price has room for; kept for the next */
};

/* chn_walk.c */
int chn_walk_begin(struct chn_walk *walk, const struct chn_request *request,
		   const struct chn_worker *workers, int count);
int chn_walk_solve(struct chn_walk *walk, struct chn_chain *chain);

/* chn_price.c */
void chn_price_workers(struct chn_walk *walk);
double chn_price_of_chain(const struct chn_chain *chain);

#endif /* CHN_INT_H */
