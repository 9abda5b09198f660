#ifndef WIRE_H
#define WIRE_H

/*
 * Decoded form of what the platform's interfaces say about workers and the
 * store.  platform/ converts between these types and the wire; no name of the
 * wire format appears here.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mag.h"

#define WIRE_ID_MAX                                                            \
	64 /* longest id of a request that is kept, with its NUL               \
	    */
#define WIRE_STALLED_MAX 256
#define WIRE_KEY_MAX	 201 /* longest key of the store, with its NUL */
#define WIRE_HOPS_MAX	 32

/* Layers [from, to) of a model; empty if from == to. */
struct wire_range {
	int from;
	int to;
};

/* An entry of the list of workers. */
struct wire_worker {
	char id[WIRE_KEY_MAX]; /* its key after the prefix */
	/* Identities; see mag_identify(). */
	char service[MAG_NAME_MAX];
	char data_centre[MAG_NAME_MAX];
	char kind[MAG_NAME_MAX]; /* of accelerator; "" for plain services */
	char address[MAG_ADDR_MAX];
	int slots;
	bool draining;
	int64_t started_ms; /* Unix time of its start; 0: unknown */
	struct wire_range layers;
};

/* Whether a response has a numeric field, and whether it is well-formed. */
enum wire_number_status {
	WIRE_NUMBER_NONE,
	WIRE_NUMBER_VALID,
	WIRE_NUMBER_INVALID, /* present but malformed */
};

struct wire_number {
	enum wire_number_status status;
	double value;
};

/* What a worker advertises of itself in the header of a response. */
struct wire_advert {
	struct wire_number limit; /* requests per second, of all routers */
	/* Seconds for which this router is to send it nothing. */
	struct wire_number backoff_s;
	struct wire_number leaving; /* 1: it is about to exit */
};

/* A stalled request and the worker it waits for. */
struct wire_stalled {
	char attempt_id[WIRE_ID_MAX];
	char address[MAG_ADDR_MAX];
};

/* A worker's report of its state, some hundred milliseconds old. */
struct wire_report {
	bool busy; /* an order is in progress */
	int64_t orders_taken;
	int64_t started_ms;
	int running;
	int waiting;
	double memory_used;  /* tokens x layers that cannot be evicted */
	double memory_total; /* tokens x layers */
	double slowdown;     /* over 1: slower than normal */
	struct wire_range layers;
	int stalled_count;
	struct wire_stalled stalled[WIRE_STALLED_MAX];
};

/* One worker of a chain and the layers [from, to) that it runs. */
struct wire_hop {
	char address[MAG_ADDR_MAX];
	int from;
	int to;
};

/* An item read from the store, or a change of an item. */
struct wire_item {
	char key[WIRE_KEY_MAX];
	char *value; /* decoded bytes, NUL-terminated; NULL if deleted */
	size_t len;
	int64_t revision;
	int64_t lease; /* 0: none */
	bool deleted;
};

struct wire_items {
	struct wire_item *items;
	int count;
	bool has_more;	  /* a further page starts after the last key */
	int64_t revision; /* of the store when it responded */
};

#endif /* WIRE_H */
