#ifndef WK_H
#define WK_H

/*
 * Table of the workers: what the store's list says of each one, and what this
 * instance has observed since.  Neither source is trusted alone: a listed
 * worker may be dead, and a worker that fails requests may report itself
 * healthy.
 */

#include <stdbool.h>
#include <stdint.h>

#include <urcu/list.h>

#include "hc.h"
#include "htab.h"
#include "adv.h"
#include "quar_trait.h"
#include "reach.h"
#include "run.h"
#include "wire.h"

#define WK_GONE_MAX 256

/* A request that was running on a worker when it broke off or was left. */
struct wk_interrupted {
	struct cds_list_head node;
	uint8_t fingerprint[MAG_DIGEST_BYTES];
	struct quar_trait_list traits;
	uint32_t process; /* hash of the worker's process */
	bool alone;	  /* nothing else ran there, as far as is known */
	bool left;	  /* its caller left; it may still run */
	int64_t at_us;
};

/*
 * What is known of a worker's process.  A restart clears all of it, as the new
 * process has neither the layers and faults of the old one nor what that one
 * advertised.
 */
struct wk_process {
	int64_t leaving_us; /* when it was first seen draining; MAG_NEVER */

	int64_t orders_taken; /* -1: unknown */
	int64_t reported_us;  /* time of the last report; 0: none */
	bool busy;	      /* carrying out an order, by the last report */
	double slowdown;      /* 1: as fast as others of its kind */
	int64_t slowdown_us;  /* when the slowdown was reported; 0: never */
	double reported_held; /* memory in use, by the last report */
	/* Requests whose first hop is there, by the last report. */
	int reported_first_hops;

	int64_t paused_until_us; /* after a refusal: no new work until then */
	int refusals; /* refusals since it last began a request of ours */
	int64_t suspect_until_us; /* suspect: no new work until then */
	int suspect_count; /* suspicions since the last one was cleared */
	/*
	 * Set by wk_suspect until wk_clear_suspicion, also after
	 * suspect_until_us: the worker has to prove first that it works.
	 */
	bool suspected;
	/*
	 * Suspicion by other routers, each a bit: with two of them the worker
	 * gets no new work until then.
	 */
	uint32_t witnesses;
	int64_t hearsay_until_us;
	int64_t heard_us; /* when news of the suspicion last came */
	/* After news of any suspicion, until then. */
	int64_t hearsay_pause_until_us;
	int64_t answered_us; /* when it last proved to us that it works */
	bool to_announce;    /* the suspicion was not sent to peers yet */
	double failure_rate; /* of recent requests, smoothed */
	/*
	 * Recent requests sent to it as the first worker that it began, and
	 * those that it did not begin; older ones count less, as of entry_us.
	 */
	double entries_begun;
	double entries_failed;
	int64_t entry_us;
	int consecutive_breaks; /* requests broken off since the last event */
	int distrust_count;	/* consecutive times of distrust */
	/* No new work until then, whatever the worker reports of itself. */
	int64_t distrust_until_us;
	double response_us; /* response time, smoothed */

	/*
	 * When it will have finished the prefill of the prompts of the chains
	 * that were assigned to it.
	 */
	int64_t prefill_until_us;
	int64_t last_event_us; /* when an event of ours last came through it */
	int64_t last_event_run_us; /* the same by the clock run.h */
	bool unresponsive;	   /* the probe in flight is overdue */
	bool unreached;		/* it refused a connection since it answered */
	int probes_since_event; /* probes since last_event_us */

	struct adv adv; /* what it advertises */

	/* When a request that cannot have caused it last broke off; 0: never */
	int64_t bystander_us;

	/* The placer's last order, until it is known to be carried out. */
	bool ordered;
	int64_t ordered_us;
	struct wire_range order;
};

struct wk {
	struct cds_list_head node;
	struct htab_node by_id;
	struct htab_node by_address;
	struct wk_table *table;
	/* In the table's lists of the same names; self-linked if not. */
	struct cds_list_head attended;
	struct cds_list_head loaded;
	struct wire_worker entry; /* as listed in the store */
	char label[MAG_NAME_MAX]; /* its id as log lines have it */
	struct hc_host *host;
	int refs; /* requests and calls that reference the worker */
	int64_t first_seen_us; /* when the worker was first listed */
	bool listed;	       /* it has an entry in the store's list */
	bool in_listing;       /* it is in the listing that is being read */
	bool replaced;	       /* a later start is listed at its address */
	int64_t gone_us;       /* considered gone from then on; MAG_NEVER */
	int64_t restarted_us;  /* when its restart was seen; 0: never */
	struct wk_process proc;

	/* The newest known range, from the list, a report or an answer. */
	struct wire_range layers;
	int64_t layers_changed_us; /* when the list last changed the range */

	int first_hops;	     /* our requests whose first hop is there */
	int peer_first_hops; /* those of other instances, as they report */
	double held;	     /* memory of our requests, tokens x layers */
	/*
	 * The part of held that was added since the peers' figures were last
	 * summed.
	 */
	double recent_held;
	int recent_first_hops; /* the same of first_hops */
	double peer_held;      /* memory of other instances' requests */
	bool probing;	       /* a probe is in flight */
	int64_t probed_us;     /* when it was last probed */
	int64_t probed_run_us; /* the same by the clock run.h */

	int64_t next_announce_us; /* of our own suspicion, while it lasts */
	int announce_rounds;	  /* messages that still announce a suspicion */

	/* Changed and unreadable limits are not logged before then. */
	int64_t next_limit_log_us;
	int64_t next_backoff_log_us; /* the same for requested backoffs */
	int64_t next_leaving_log_us; /* the same for unreadable departures */
	int64_t next_layers_log_us;  /* the same for layers beyond its model */

	/*
	 * When its connections were refused or broken off; 0: never.  Kept over
	 * a restart, as workers that die together have a common cause.
	 */
	int64_t died_us;
	/*
	 * Requests that may have caused its death, if it turns out dead, by
	 * time. Kept over a restart, which proves that it died.
	 */
	struct cds_list_head interrupted;
	int interrupted_count;
	/* Hash of the process that was last found dead; 0: none. */
	uint32_t dead_process;
};

/* A worker whose entry was removed, or was missing from a complete listing. */
struct wk_gone {
	char id[WIRE_KEY_MAX];
	int64_t born_ms;
	int64_t gone_us;
	struct adv adv; /* holds again if the same process is listed again */
};

/* Workers that get no new work, by reason; one may count more than once. */
struct wk_barred {
	int alive;
	int suspected;
	int hearsay;
	int paused; /* or distrusted */
	int overdue;
};

struct wk_table {
	struct cds_list_head workers;
	struct htab ids;
	struct htab addresses;
	/*
	 * Workers with something to do or to expire in a tick: those that are
	 * gone, suspected, probed, slow, or limited.
	 */
	struct cds_list_head attended;
	/* Workers with load of this router or its peers, or a fresh report. */
	struct cds_list_head loaded;
	struct wk_gone gone[WK_GONE_MAX]; /* a ring: the oldest is replaced */
	int gone_next;
	bool listing; /* a complete listing is being read, not single changes */
	/*
	 * The store was restored from an older backup, and the workers have not
	 * all written their entries again.
	 */
	bool settling;
	int64_t restored_us; /* when the last restore was seen; 0: never */
	struct hc *hc;
	struct reach reach;
	int64_t heard_us; /* when any worker last sent us anything */
	struct run run;	  /* time in which this router ran */
	int64_t probe_answered_run_us; /* on run: when any probe last was */
	int count;
	int64_t last_added_us; /* when a new worker was last added */
	int max_connections;   /* to one worker */
};

enum wk_err {
	WK_OK = 0,
	WK_E_MEMORY = -1,
	WK_E_ADDRESS = -2,
	WK_E_STALE = -3,  /* of an older backup, for a worker that is gone */
	WK_E_BARRED = -4, /* the worker does not want this message now */
	WK_E_FULL = -5,	  /* no connection to it is free */
};

/* What a worker's answer belongs to. */
enum wk_answer {
	WK_ANSWER_SUCCESS, /* a request, with a success status of its own */
	WK_ANSWER_OTHER,   /* a request otherwise, or an order about one */
	WK_ANSWER_PROBE,
	WK_ANSWER_ORDER,
};

void wk_init(struct wk_table *table, struct hc *hc);
int wk_link(struct wk_table *table, struct wk *wk);
void wk_list_begin(struct wk_table *table);
int wk_list_put(struct wk_table *table, const struct wire_worker *worker,
		int64_t now, struct wk **out);
void wk_list_unfinished(struct wk_table *table);
void wk_list_end(struct wk_table *table, int64_t gone_us, int64_t now);
void wk_store_restored(struct wk_table *table, int64_t now);
void wk_store_settled(struct wk_table *table);
int wk_count_missing(const struct wk_table *table);
void wk_remove(struct wk_table *table, const char *id, int64_t gone_us,
	       int64_t now);
void wk_tick(struct wk_table *table, int64_t now);
struct wk *wk_by_id(const struct wk_table *table, const char *id);
struct wk *wk_by_hash(const struct wk_table *table, uint32_t hash);
struct wk *wk_next_by_hash(const struct wk *wk);
struct wk *wk_by_address(const struct wk_table *table, const char *address);

bool wk_alive(const struct wk *wk, int64_t now);
bool wk_holds_of(const struct wk *wk, int layers);
bool wk_is_other_process(const struct wk *wk, int64_t started_ms);
bool wk_is_dead(const struct wk *wk, int64_t now);
bool wk_has_ended(const struct wk *wk);
const char *wk_state_text(const struct wk *wk, int64_t now);
int64_t wk_probe_age(const struct wk *wk, int64_t now);
bool wk_usable(const struct wk *wk, int64_t now);
bool wk_usable_by_own(const struct wk *wk, int64_t now);
void wk_count_barred(const struct wk *wk, struct wk_barred *barred,
		     int64_t now);
void wk_suspect(struct wk *wk, int64_t now, const char *why);
bool wk_hear_suspicion(struct wk *wk, uint32_t witnesses, int64_t until_us,
		       int64_t now);
void wk_clear_suspicion(struct wk *wk, int64_t now);
void wk_on_unreached(struct wk *wk);
void wk_on_unsent(struct wk *wk);
void wk_path_regained(struct wk_table *table, int routers, int64_t now);
struct wk *wk_pick_probe(struct wk_table *table, int64_t now,
			 struct reach_workers *workers);
void wk_pause(struct wk *wk, int64_t now);
void wk_pause_on_hearsay(struct wk *wk, int64_t now);
bool wk_is_paused(const struct wk *wk, int64_t now);
void wk_on_refusal(struct wk *wk, int64_t now);
void wk_on_start(struct wk *wk);
void wk_on_break(struct wk *wk, int64_t now);
void wk_on_success(struct wk *wk);
void wk_add_result(struct wk *wk, bool good, int64_t took_us);
void wk_add_entry(struct wk *wk, bool began, int64_t now);
double wk_entry_failure_rate(const struct wk *wk, int64_t now);
bool wk_runs_others(struct wk *wk, int firsts, double held, int64_t now);
void wk_add_interrupted(struct wk *wk,
			const struct wk_interrupted *interrupted);
int wk_count_interrupted(struct wk *wk, int64_t now);
bool wk_broke_at_dead(struct wk *wk, int64_t now);
bool wk_note_dead(struct wk *wk);
bool wk_broke_since_probe(const struct wk *wk);
void wk_forget_broken(struct wk *wk, int64_t probed_us);
void wk_clear_interrupted(struct wk *wk);
enum thr_change wk_apply_advert(struct wk *wk, const struct wire_advert *advert,
				enum wk_answer answer, int64_t sent_us,
				int64_t now);
void wk_apply_backoff(struct wk *wk, const struct wire_number *backoff_s,
		      enum wk_answer answer, int64_t now);
void wk_apply_peer_limit(struct wk *wk, double limit, int64_t advertised_us,
			 int64_t now);
void wk_expire_limit(struct wk *wk, int64_t now);
int wk_send(struct wk *wk, enum adv_message message, const struct hc_send *send,
	    int64_t now, struct hc_call **out);
void wk_attend(struct wk *wk);
void wk_add_loaded(struct wk *wk);
uint32_t wk_process_hash(const struct wk *wk);
struct wk *wk_ref(struct wk *wk);
void wk_unref(struct wk *wk);

#endif /* WK_H */
