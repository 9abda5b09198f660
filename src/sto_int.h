#ifndef STO_INT_H
#define STO_INT_H

/* What the store's client and its followers share. */

#include <urcu/list.h>

#include "sto.h"

/*
 * Longest wait for an answer beyond the time that a watch stays open.  The
 * store answers in 4 ms; at sixty times that it must not be given up.
 */
#define STO_ANSWER_TIMEOUT_US (900 * MAG_US_PER_MS)

struct sto {
	struct hc *hc;
	struct hc_host *host;
	char address[MAG_ADDR_MAX];
	struct cds_list_head followers; /* of struct sto_follow */
	uint64_t seed;
	uint64_t call_count;
	struct pos_eras eras;
	int64_t bad_era_log_us; /* no line on a malformed one before then */
	/* The era has risen; NULL while nothing is followed. */
	void (*on_restored)(struct sto *sto);
};

/* A single call in progress. */
struct sto_call {
	struct sto *sto;
	sto_done_fn done;
	void *user;
	int status;
	int64_t sent_era; /* the newest one when it was sent */
	int64_t era;	  /* that its answer names */
	struct evbuffer *body;
	struct hc_call *call;
};

struct sto_call *sto_send_call(struct sto *sto, const char *method,
			       const char *path, const char *body,
			       int64_t wait_us, sto_done_fn done, void *user);
void sto_cancel_call(struct sto_call *call);

#endif /* STO_INT_H */
