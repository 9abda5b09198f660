#ifndef CHN_H
#define CHN_H

/*
 * Chooses the chain of workers for one stream: hops whose ranges tile all
 * layers once and in order, at the least expected time for a token, under
 * the memory that is left.  Pure: all that it knows is in its arguments.
 *
 * Load pattern: at the evening's peak a data centre's accelerators hold about
 * a third of the streams that fit; when a worker or a data centre is lost,
 * its streams press into the rest within a second.  Memory binds before
 * arithmetic does, so a chain is refused where it would pass the memory
 * limit, and memory has a price (chn_price.c) before it is reached.
 */

#include <stdbool.h>
#include <stdint.h>

#include "mag.h"

#define CHN_HOPS_MAX	32
#define CHN_LAYERS_MAX	256
#define CHN_CENTRES_MAX 32
#define CHN_WORKERS_MAX 4096

/* Time between two workers of a data centre for one token. */
#define CHN_HOP_US 250
/* Share of a worker's request memory that is given away. */
#define CHN_MEMORY_LIMIT 0.92
/* The same for requests that give way to others. */
#define CHN_YIELD_LIMIT 0.86

enum chn_err {
	CHN_OK = 0,
	CHN_E_NO_CHAIN = -1, /* no usable workers hold every layer */
	CHN_E_MEMORY = -2,   /* some layer has no room for the request */
	CHN_E_SLOTS = -3,    /* no worker takes another request as the first */
};

struct chn_worker {
	int ref;    /* the caller's own index */
	int centre; /* data centre, from 0 */
	int from;   /* layers [from, to) that it holds */
	int to;
	double layer_us;     /* time of one layer for one token */
	double memory;	     /* tokens x layers that it can hold */
	double held;	     /* of these, given away so far */
	int first_hops_left; /* requests that it still takes as the first */
	/* For a repair: the part of the stream that it runs already. */
	int retained_from;
	int retained_to;
	double prefill_us; /* time to read the stream so far through a layer */
	double prefill_backlog_us; /* reading that it has to do before */
};

struct chn_request {
	int layers;
	int centre;	  /* of this instance, -1: unknown */
	double tokens;	  /* that the request is expected to hold at its end */
	double hop_us;	  /* time between two workers of a data centre */
	double centre_us; /* between two data centres */
	bool yields;	  /* leaves the last memory to others */
	bool may_cross_centres; /* a hop between data centres is allowed */
	double remote_entry_us; /* price of a first worker in another one */
	bool price_prefill; /* its events are due: reading is part of the price
			     */
};

/* The first hop of a chain under repair, which stays as it is. */
struct chn_first_hop {
	int to;	    /* it runs [0, to) */
	int centre; /* data centre of its worker */
};

struct chn_hop {
	int ref;
	int from;
	int to;
};

struct chn_chain {
	struct chn_hop hops[CHN_HOPS_MAX];
	int count;
	int crossings;	     /* hops between data centres */
	double token_us;     /* expected time of a token */
	double memory_price; /* price of what it holds; 0: all workers are idle
			      */
};

int chn_choose(const struct chn_request *want, const struct chn_worker *workers,
	       int count, struct chn_chain *chain);
int chn_repair(const struct chn_request *want,
	       const struct chn_first_hop *first,
	       const struct chn_worker *workers, int count,
	       struct chn_chain *chain);
bool chn_covers_layers(const struct chn_worker *workers, int count, int layers);

#endif /* CHN_H */
