#ifndef HINT_MSG_H
#define HINT_MSG_H

/* The datagram that routers exchange, and its XDR encoding. */

#include <stddef.h>
#include <stdint.h>

#include "mag.h"
#include "attest.h"
#include "dgram.h"
#include "pos.h"
#include "quar.h"

#define HINT_BYTES_MAX	  DGRAM_BODY_MAX
#define HINT_LOADS_MAX	  108 /* per datagram */
#define HINT_PARTS_MAX	  4   /* datagrams for the load of one router */
#define HINT_CRASHES_MAX  6
#define HINT_DIGEST_BYTES 16 /* of a fingerprint */
#define HINT_SUSPECTS_MAX 8
#define HINT_LIMITS_MAX	  16
#define HINT_WITNESS_BITS 24

/*
 * The load that a router has given a worker.  It is encoded in eight bytes,
 * with memory and slowdown rounded to the units in hint_msg.c.
 */
struct hint_load {
	uint32_t worker;     /* hash of its id */
	float held;	     /* tokens x layers held */
	uint32_t first_hops; /* requests whose first hop it is */
	float slowdown;	     /* reported recently; 0: unknown */
};

/*
 * A rate limit that a worker advertised.  It is encoded in eight bytes, with
 * limit and age rounded to the units in hint_msg.c.
 */
struct hint_limit {
	uint32_t worker; /* hash of its id */
	float per_s;	 /* requests per second over all routers */
	uint32_t age_ms; /* since the worker advertised it */
};

/*
 * A worker that routers found dead or stuck through their own requests.  It is
 * encoded in eight bytes.
 */
struct hint_suspect {
	uint32_t worker; /* hash of its id */
	uint32_t for_ms; /* it is to get no new work for so long */
	/* The routers that found it so, each a bit by its hash. */
	uint32_t witnesses;
};

struct hint_message {
	char name[MAG_NAME_MAX];
	/*
	 * Not 0: it accepts callers, can check their keys and reaches the
	 * workers.  hint_msg_ready() adds the age of its data; earlier versions
	 * send 1.
	 */
	uint32_t ready;
	uint32_t session;
	int64_t sent_us;      /* the sender's clock */
	struct pos store_pos; /* the sender knows everything up to it */
	struct attest_claim claim;
	/* Of the store when the sender read the version of its claim there. */
	int64_t version_era;
	uint32_t part; /* index of this part of the sender's load */
	uint32_t part_count;
	uint32_t load_count;
	struct hint_load loads[HINT_LOADS_MAX];
	uint32_t crash_count;
	struct quar_report crashes[HINT_CRASHES_MAX];
	uint32_t suspect_count;
	struct hint_suspect suspects[HINT_SUSPECTS_MAX];
	uint32_t data_centre; /* hash of the sender's data centre */
	uint32_t demand;      /* requests of its callers in 100 s */
	uint32_t limit_count;
	struct hint_limit limits[HINT_LIMITS_MAX];
};

uint32_t hint_msg_ready(int64_t data_age_us);
int64_t hint_msg_data_age(uint32_t ready);

/* Both return a negative number if the message is invalid or does not fit. */
int hint_msg_encode(struct hint_message *message, char *bytes, size_t *len);
int hint_msg_decode(struct hint_message *message, char *bytes, size_t len);

#endif /* HINT_MSG_H */
