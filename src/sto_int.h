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
	int status; /* of the last call that ended; 0: no answer */
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

enum sto_follow_state {
	STO_LISTING,
	STO_WATCHING,
	STO_DELAYING, /* until retry_us, then list or watch */
	STO_PAUSED,   /* the owner learns the changes from elsewhere */
};

struct sto_follow {
	struct cds_list_head node;
	struct sto *sto;
	char prefix[WIRE_KEY_MAX];
	char after[WIRE_KEY_MAX]; /* last key of the previous page */
	int64_t wait_ms;
	int64_t coalesce_us;
	int64_t retry_max_us;
	const struct sto_follow_ops *ops;
	void *user;
	enum sto_follow_state state;
	bool list_after_delay; /* after the delay: list instead of watch */
	struct pos pos; /* store position up to which everything was reported */
	int64_t pos_us; /* when it was last set */
	int64_t list_revision;
	int64_t sent_us;
	int64_t list_sent_us;
	int64_t retry_us;
	int page_failures;     /* of the same page, in a row */
	int unfinished;	       /* lists in a row that could not be finished */
	int64_t list_again_us; /* after such a list; 0: the list is complete */
	int failures;	       /* consecutive */
	bool unproven;	  /* no list or watch was answered since a failure */
	bool unreachable; /* as last reported */

	struct sto_call *call;	   /* list or watch in progress */
	struct pos store_pos;	   /* the store's, by the newest query */
	int64_t store_pos_sent_us; /* when that query was sent */
	struct pos known_pos;	   /* newest position known from any source */
	int64_t known_us;	   /* when it was learned */
	char known_from[MAG_NAME_MAX]; /* the peer; "": the store */
	/* The last refuted position; no later one is learned for a while. */
	struct pos refuted_pos;
	int64_t refuted_until_us;
	int refutals;		  /* in a row */
	int64_t lagging_since_us; /* behind known_pos since; 0: no */
	int queries_lost;	  /* consecutive unanswered queries */
};

struct sto_call *sto_send_call(struct sto *sto, const char *method,
			       const char *path, const char *body,
			       int64_t wait_us, sto_done_fn done, void *user);
void sto_cancel_call(struct sto_call *call);

/* Shared by the parts of a follower. */
void sto_start_list(struct sto_follow *follow);
void sto_start_watch(struct sto_follow *follow);
void sto_reset_list(struct sto_follow *follow);
void sto_report_items(struct sto_follow *follow, struct wire_items *items);
void sto_back_off(struct sto_follow *follow, bool list_after_delay);
void sto_on_success(struct sto_follow *follow);
void sto_check_confirmed(struct sto_follow *follow);
void sto_refute_pos(struct sto_follow *follow, struct pos answered,
		    int64_t sent_us);

#endif /* STO_INT_H */
