#ifndef CHN_H
#define CHN_H

/*
 * Chooses the chain of workers for one stream: hops whose ranges cover all
 * layers exactly once and in order, with the least expected time per token,
 * within the free memory.  Pure: the result depends only on the arguments.
 *
 * Load pattern: at the evening peak a data centre's accelerators hold about a
 * third of the streams that fit.  When a worker or a data centre is lost, its
 * streams move to the others within a second.  Memory runs out before compute
 * does, so a chain that would exceed the memory limit is refused, and memory
 * has a price (chn_price.c) before the limit is reached.
 */

#include <stdbool.h>
#include <stdint.h>

#include "mag.h"

#define CHN_HOPS_MAX	32
#define CHN_LAYERS_MAX	MAG_LAYERS_MAX
#define CHN_CENTRES_MAX MAG_DATA_CENTRES_MAX

/* Network time of one token between two workers of a data centre. */
#define CHN_HOP_US 250
/* Fraction of a worker's request memory that chains may use. */
#define CHN_MEMORY_LIMIT 0.92
/* The same for requests that yield to others. */
#define CHN_YIELD_LIMIT 0.86

enum chn_err {
	CHN_OK = 0,
	CHN_E_NO_CHAIN = -1, /* the usable workers lack some layer */
	CHN_E_MEMORY = -2,   /* some layer has no memory for the request */
	CHN_E_SLOTS = -3,    /* no slot left at first workers */
	CHN_E_CROSSING = -4, /* only with a crossing, and none is allowed */
};

struct chn_worker {
	int ref;    /* the caller's own index */
	int centre; /* data centre, from 0 */
	int from;   /* layers [from, to) that it holds */
	int to;
	double layer_us;     /* time of one token in one layer */
	double memory;	     /* capacity, tokens x layers */
	double held;	     /* the part of it that is in use */
	int first_hops_left; /* free slots for requests that begin there */
	double entry_us;     /* price of a chain that begins there */
	/* In a repair: layers of this stream that the worker already runs. */
	int retained_from;
	int retained_to;
	/* Prefill time of the stream's tokens through one layer. */
	double prefill_us;
	/* Prefill time of the prompts that are queued there already. */
	double prefill_backlog_us;
	int64_t barred_until_us; /* only for chn_covered_at() */
};

struct chn_request {
	int layers;
	int centre;	  /* of this instance; -1: unknown */
	double tokens;	  /* expected tokens of the request at its end */
	double hop_us;	  /* time between two workers of a data centre */
	double centre_us; /* time between two data centres */
	/* Fraction of a worker's memory that the request may use up to. */
	double memory_limit;
	bool may_cross_centres; /* hops between data centres are allowed */
	/* Price of a first worker outside the instance's data centre. */
	double remote_entry_us;
	/*
	 * The stream's events are due, so the time of its prefill is part of
	 * the price.
	 */
	bool price_prefill;
};

/* The first hop of a chain under repair; it stays unchanged. */
struct chn_first_hop {
	int to;	    /* it runs layers [0, to) */
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
	double token_us;     /* expected time per token */
	double memory_price; /* of the memory used; 0: all workers are idle */
};

int chn_choose(const struct chn_request *request,
	       const struct chn_worker *workers, int count,
	       struct chn_chain *chain);
int chn_repair(const struct chn_request *request,
	       const struct chn_first_hop *first,
	       const struct chn_worker *workers, int count,
	       struct chn_chain *chain);
bool chn_covers_layers(const struct chn_worker *workers, int count, int layers);
int64_t chn_covered_at(const struct chn_worker *workers, int count, int layers,
		       int64_t now);

#endif /* CHN_H */
