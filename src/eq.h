#ifndef EQ_H
#define EQ_H

/* The life of one request on a router: arrival, wait, dispatch, answer, end. */

#include <stdbool.h>
#include <stdint.h>

#include "chn.h"
#include "edge.h"
#include "evs.h"
#include "hc.h"
#include "pl_header.h"
#include "quar_trait.h"
#include "room.h"

/* Attempts of a request that may be in progress together. */
#define EQ_ATTEMPTS_MAX 3
/*
 * Interval between attempts to move a request.  Each one considers all workers,
 * which takes a millisecond with 3,000 of them.
 */
#define EQ_MOVE_RETRY_US (25 * MAG_US_PER_MS)
/*
 * Buffer size for a chain in the log: 32 ids of 16 characters, each followed by
 * its first layer.
 */
#define EQ_CHAIN_TEXT 768

enum eq_state {
	EQ_WAITING,   /* for a free worker */
	EQ_SENT,      /* to a worker; the caller has received nothing */
	EQ_STREAMING, /* the caller has received events */
};

/* A worker of the request's chain and the layers that it runs: [from, to). */
struct eq_hop {
	struct wk *worker;
	int from;
	int to;
	double held; /* memory reserved there, in tokens x layers */
};

/* A worker that a request is not sent to again. */
struct eq_avoided {
	uint32_t worker; /* hash of its id */
	bool everywhere; /* by no router */
};

struct eq_repair;
struct eq;

/* One send of a request to a chain of workers or to a peer, and its answer. */
struct eq_attempt {
	struct eq *eq;
	struct eq_attempt *earlier; /* the next one that is kept, or NULL */
	struct hc_call *call;	    /* NULL: none is in progress */
	struct eq_hop hops[CHN_HOPS_MAX];
	int hop_count; /* 0 at a peer */
	int64_t sent_us;
	bool is_repeat;	     /* it took a retry of the budget */
	int repairs;	     /* of its chain */
	int64_t repaired_us; /* last repair of its chain; 0: never */
	/* Its hops are not the workers that it runs on; it is to be moved. */
	bool misrouted;
	bool ran_well;		   /* it did not crash a worker */
	char blamed[WIRE_KEY_MAX]; /* worker that it may have crashed, or "" */

	int64_t begun_us; /* first event on its present chain; 0: none */
	/* By the clock run.h: when it was sent, repaired, or had an event. */
	int64_t heard_run_us;
	int64_t longest_run_us; /* between two events on its present chain */

	int status;
	struct pl_response answer;
	char at_fault[MAG_ADDR_MAX];
	/* Of one that was forwarded: */
	bool assumed_sent;	   /* counted in sends, until the peer tells */
	bool peer_told;		   /* the peer's answer says what it did */
	struct pl_history history; /* that is what it says */
	bool answered; /* the header of its answer has been received */
	enum rsp_framing framing;
	bool garbled;
	size_t garbled_bytes; /* received since then */
	struct evbuffer *fields;
	struct evbuffer *body;
	struct evs events;
	size_t buffered; /* of its answer, counted in edge.answer_bytes */
};

struct eq {
	struct cds_list_head node; /* in edge.requests, by arrival */
	struct edge *edge;
	struct hs_conn *caller;
	struct rt_set *rt; /* configuration at arrival */
	const struct rt_route *route;
	const struct rt_service *service;
	const char *account; /* NULL: the route requires none */
	int urgency;	     /* lower is more urgent */
	/* Fractions of the memory and the first workers' slots it leaves free.
	 */
	double reserve;
	double slot_reserve;
	struct wq_entry wait; /* in its service's queue while it waits there */
	bool asked;	      /* counted as arrived at its service */
	bool counted;	      /* in its service's floor */
	struct pl_request request;
	const char *bad_field; /* of the request; NULL: none */
	uint8_t fingerprint[MAG_DIGEST_BYTES];
	struct quar_trait_list traits;
	/* One that it tries although it is quarantined in doubt, or NULL. */
	const struct quar_trait *tried;
	enum eq_state state;
	bool unread; /* its caller reads too slowly; it is broken off */

	int64_t arrived_us;
	int64_t deadline_us;	    /* latest time for the final answer */
	int64_t target_deadline_us; /* on time if answered or begun by then */
	int64_t wait_until_us;
	bool waits_to_repeat;	/* that is the wait of a request that ran */
	int64_t backoff_end_us; /* for EQ_RETRY_BACKOFF */
	int64_t resend_us;	/* not sent again before then */
	int64_t progress_us;	/* when it was last sent, or its last event */
	int64_t probed_us;	/* when its workers were last probed */
	int64_t max_gap_us;	/* longest gap between events so far */
	int64_t event_interval_us; /* smoothed, by run.h; 0: unknown */
	int64_t first_event_us;	   /* first event forwarded; 0: none */
	int64_t next_move_us;	   /* it is not moved before then */

	struct eq_attempt attempts[EQ_ATTEMPTS_MAX];
	struct eq_attempt *attempt; /* the present one */
	struct eq_attempt *kept;  /* earlier ones that may go on, last first */
	struct eq_repair *repair; /* repair in progress, or NULL */
	/* To workers, including refused ones; at least 1 while at a peer. */
	int sends;
	int unsent;	     /* sends of which no byte was sent; not in sends */
	int64_t own_sent_us; /* when this router last sent it; 0: never */
	int runs;	     /* sends that may have run */
	bool may_have_run;   /* here, or at a peer that it was sent to */
	bool crash_candidate; /* it may have crashed a worker */
	struct eq_avoided avoid[PL_AVOID_MAX];
	int avoid_count;

	bool is_forwarded;     /* a peer forwarded it to this router */
	bool ran_elsewhere;    /* it may have run at the peer's workers */
	int forwards;	       /* peers that it was forwarded to */
	uint32_t forwarded_to; /* hash of the last one's name */
	int64_t last_event;    /* id of the last event forwarded; -1: none */
};

/* eq.c */
void eq_on_request(void *ctx, struct hs_conn *conn);
void eq_on_forwarded(void *ctx, struct hs_conn *conn);
void eq_on_caller_gone(void *ctx, struct hs_conn *conn, void *user);
void eq_tick(struct edge *edge, int64_t now);
void eq_end_all(struct edge *edge);
/* When a refused caller should retry. */
enum eq_retry {
	EQ_RETRY_NEVER,
	EQ_RETRY_ELSEWHERE, /* at once: another router accepts it */
	EQ_RETRY_SOON,	    /* once the faulty worker is known */
	EQ_RETRY_TRIED,	    /* once another request has tried a trait */
	EQ_RETRY_BACKOFF,   /* once the workers' backoffs have ended */
	EQ_RETRY_LATER,	    /* once the present load has drained */
};

void eq_refuse(struct eq *eq, int status, enum eq_retry retry, const char *why);
void eq_fail(struct eq *eq, int status, const char *why);
void eq_finish(struct eq *eq);
bool eq_refuse_quarantined(struct eq *eq, int64_t now);

enum eq_choice {
	EQ_CHOSEN,
	EQ_BUSY,	/* all workers are at their limit */
	EQ_NO_CROSSING, /* the link between data centres is at its limit */
	EQ_NO_WORKER,	/* no worker serves this request */
};

/* eq_attempt.c */
int eq_attempts_init(struct eq *eq);
void eq_attempts_free(struct eq *eq);
void eq_count_buffered(struct eq_attempt *attempt);
bool eq_set_aside(struct eq *eq);
void eq_fall_back(struct eq *eq, const char *why, int64_t now);
void eq_prefer(struct eq *eq, struct eq_attempt *attempt, int64_t now);
void eq_drop_kept(struct eq *eq);
void eq_end_kept(struct eq *eq, struct eq_attempt *attempt);
bool eq_has_begun(const struct eq *eq);

/* eq_hop.c */
void eq_reserve_hop(struct eq *eq, struct wk *wk, int from, int to);
void eq_release_hops(struct eq_attempt *attempt);
const struct eq_hop *eq_find_hop(const struct eq *eq, const struct wk *wk);
struct wk *eq_worker_at_address(const struct eq_attempt *attempt,
				const char *address);
int eq_wire_hops(const struct eq *eq, struct wire_hop *hops);
const char *eq_chain_text(const struct eq *eq, char *dst, size_t size);

/* eq_room.c */
struct room_request eq_room_request(const struct eq *eq);
double eq_need(const struct eq *eq);

/* eq_avoid.c */
bool eq_avoids(const struct eq *eq, const struct wk *wk);
void eq_avoid(struct eq *eq, const struct wk *wk);
void eq_avoid_everywhere(struct eq *eq, const struct wk *wk);
bool eq_avoids_everywhere(const struct eq *eq, const struct wk *wk);
bool eq_avoids_any_everywhere(const struct eq *eq);
void eq_history(const struct eq *eq, struct pl_history *history);
void eq_take_history(struct eq *eq, const struct pl_history *history);

/* eq_urgency.c */
struct met_urgent_key eq_met_key(const struct eq *eq);
void eq_set_urgency(struct eq *eq, int64_t now);
bool eq_is_ranked(const struct eq *eq);
struct edge_service *eq_edge_service(const struct eq *eq, int64_t now);
void eq_update_reserve(struct eq *eq, int64_t now);
double eq_memory_limit(const struct eq *eq, int64_t now);
double eq_load_factor(const struct eq *eq, int64_t now);
int eq_unreported_firsts(const struct eq *eq, const struct wk *wk);
int eq_slot_limit(const struct eq *eq, int slots);
void eq_count_outcome(struct eq *eq, bool served);

/* eq_wait.c */
void eq_wait_tick(struct edge *edge, int64_t now);
bool eq_must_queue(const struct eq *eq, int64_t now);
void eq_set_wait(struct eq *eq, int64_t now);
int64_t eq_wait_until(struct eq *eq, int64_t now);
void eq_note_placed(struct eq *eq, int64_t now);
void eq_leave_queue(struct eq *eq, int64_t now);
bool eq_waits_for_budget(struct eq *eq, int64_t now);
void eq_on_unplaced(struct eq *eq, enum eq_choice choice, int64_t now);
void eq_write_retry_after(const struct eq *eq, enum eq_retry retry,
			  char *fields, size_t size);

/* eq_send.c */
bool eq_dispatch(struct eq *eq, int64_t now);
bool eq_doubts_path(const struct eq *eq);
bool eq_may_send_again(const struct eq *eq);
enum eq_choice eq_choose(struct eq *eq, int64_t now);
void eq_send(struct eq *eq, int64_t now);
void eq_begin_attempt(struct eq *eq, int64_t now);
void eq_return_send(struct eq *eq, int64_t now);
void eq_fill_send(struct eq *eq, struct hc_send *send);
void eq_release(struct eq *eq);
void eq_add_crash_candidate(struct eq *eq, struct wk *wk, int64_t now);
void eq_add_left(struct eq *eq, int64_t now);
void eq_clear_suspect(struct eq *eq, int64_t now);

/* Tells whether a worker may get new work. */
typedef bool (*eq_usable_fn)(const struct wk *wk, int64_t now);

/* eq_chain.c */
enum eq_choice eq_choose_chain(struct eq *eq, int64_t now);
bool eq_find_repair(struct eq *eq, struct chn_chain *replacement, int64_t now);
void eq_use_repair(struct eq *eq, const struct chn_chain *replacement,
		   int64_t now);
int64_t eq_backoff_end(struct eq *eq, int64_t now);
bool eq_is_refused_by_all(struct eq *eq, int64_t now);
void eq_coverage_tick(struct edge *edge, int64_t now);

/* eq_repair.c */
bool eq_repair_start(struct eq *eq, struct wk *fault, bool may_have_crashed,
		     int64_t now);
void eq_repair_cancel(struct eq *eq);

/* eq_trait.c */
void eq_set_traits(struct eq *eq);
enum quar_state eq_check_quarantine(const struct eq *eq, int64_t now);
bool eq_is_barred_again(const struct eq *eq, int64_t now);
bool eq_is_in_doubt(const struct eq *eq, int64_t now);
bool eq_may_try(struct eq *eq, int64_t now);
void eq_did_well(struct eq *eq, int64_t begun_us, int64_t now);

/* eq_forward.c */
bool eq_may_forward(const struct eq *eq, int64_t now);
bool eq_forward_start(struct eq *eq, int64_t now);
void eq_drop_assumed_send(struct eq *eq);

/* eq_answer.c */
extern const struct hc_ops eq_ops;
bool eq_is_repeatable(const struct eq *eq);
void eq_log_again(const struct eq *eq, const struct wk *fault, const char *why);
void eq_retry_or_fail(struct eq *eq, const char *why);
const char *eq_framing_text(const struct eq *eq);
bool eq_take_headers(struct eq_attempt *attempt,
		     const struct hc_response *response);
void eq_take_body(void *user, const void *bytes, size_t len);
void eq_end_unread(struct eq *eq);
bool eq_is_truncated(const struct eq_attempt *attempt);
void eq_relay(struct eq *eq);

/* eq_move.c */
bool eq_move(struct eq *eq, struct wk *fault, const char *why, int64_t now);
bool eq_restart(struct eq *eq, struct wk *fault, const char *why, int64_t now);

/* eq_stall.c */
void eq_stall_tick(struct edge *edge, int64_t now);
void eq_on_progress(struct eq *eq, int64_t now);
void eq_on_report(struct edge *edge, struct wk *wk,
		  const struct wire_report *report, int64_t now);
void eq_on_suspect(struct edge *edge, struct wk *wk, int64_t now);

#endif /* EQ_H */
