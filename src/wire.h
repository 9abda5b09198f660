#ifndef WIRE_H
#define WIRE_H

/*
 * What the platform's pages say about workers and the store, decoded: the
 * types that platform/ fills and reads.  Nothing here knows a wire name.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mag.h"

#define WIRE_ID_MAX	 64
#define WIRE_STALLED_MAX 256
#define WIRE_KEY_MAX	 201 /* of the store, with its NUL */
#define WIRE_HOPS_MAX	 32

/* Layers [from, to) of a model; none if from == to. */
struct wire_range {
	int from;
	int to;
};

/* A worker as the list of workers shows it. */
struct wire_worker {
	char id[WIRE_ID_MAX];
	char service[MAG_NAME_MAX];
	char address[MAG_ADDR_MAX];
	char data_centre[MAG_NAME_MAX];
	char kind[MAG_NAME_MAX]; /* of accelerator, "" for plain services */
	int slots;
	bool draining;
	int64_t started_ms; /* Unix time of its start; 0: it does not say */
	struct wire_range layers;
};

/* Whether an answer names the requests a second that its worker takes. */
enum wire_limit_status {
	WIRE_LIMIT_NONE,
	WIRE_LIMIT_VALID,
	WIRE_LIMIT_INVALID, /* it cannot be read */
};

struct wire_limit {
	enum wire_limit_status status;
	double per_s; /* of all routers together */
};

/* A request that stands still, and the worker it waits for. */
struct wire_stalled {
	char attempt_id[WIRE_ID_MAX];
	char address[MAG_ADDR_MAX];
};

/* A worker's word on its own state, some hundred milliseconds old. */
struct wire_report {
	bool busy; /* an order is being carried out */
	int64_t orders_taken;
	int64_t started_ms;
	int running;
	int waiting;
	double memory_used;  /* tokens x layers that cannot yield */
	double memory_total; /* tokens x layers */
	double slowdown;     /* over 1: slower than it should be */
	struct wire_range layers;
	int stalled_count;
	struct wire_stalled stalled[WIRE_STALLED_MAX];
};

/* One worker of a chain and the layers it runs there. */
struct wire_hop {
	char address[MAG_ADDR_MAX];
	int from;
	int to;
};

/* A change of one item of the store, or an item that was read. */
struct wire_item {
	char key[WIRE_KEY_MAX];
	char *value; /* decoded bytes with a NUL behind; NULL if deleted */
	size_t len;
	int64_t revision;
	int64_t lease; /* 0: none */
	bool deleted;
};

struct wire_items {
	struct wire_item *items;
	int count;
	bool has_more;	  /* a further page begins after the last key */
	int64_t revision; /* of the store, when it answered */
};

#endif /* WIRE_H */
