#ifndef STO_INT_H
#define STO_INT_H

/* Declarations shared by the store client and its followers. */

#include <urcu/list.h>

#include "sto.h"
#include "xfer.h"

/*
 * Time to wait for an answer in addition to the time that a watch stays open.
 * The store normally answers in 4 ms; a call that takes sixty times as long
 * must not be abandoned.
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
	int64_t bad_era_log_us; /* next log line on a malformed era */
	/* The era has increased; NULL while there is no follower. */
	void (*on_restored)(struct sto *sto);
};

/* A call in progress. */
struct sto_call {
	struct sto *sto;
	sto_done_fn done;
	void *user;
	int status;
	int64_t sent_era; /* newest known era when the call was sent */
	int64_t era;	  /* era named in the answer */
	bool stale;	  /* the answer may be some seconds old */
	struct evbuffer *body;
	struct hc_call *call;
	struct xfer xfer; /* of the answer */
};

struct sto_call *sto_send_call(struct sto *sto, const char *method,
			       const char *path, const char *body,
			       int64_t wait_us, sto_done_fn done, void *user);
void sto_cancel_call(struct sto_call *call);

#endif /* STO_INT_H */
