#ifndef WK_H
#define WK_H

/*
 * The table of workers: what the store's list says of each, and what this
 * instance has seen of it since.  The list is one witness: a worker that is
 * listed may be dead, and one that answers wrongly may call itself healthy.
 */

#include <stdbool.h>
#include <stdint.h>

#include <urcu/list.h>

#include "hc.h"
#include "thr.h"
#include "wire.h"

#define WK_INTERRUPTED_MAX 32
#define WK_GONE_MAX	   256

/* A request that ran on a worker when its answer broke off. */
struct wk_interrupted {
	uint8_t fingerprint[MAG_DIGEST_BYTES];
	int64_t at_us;
};

struct wk {
	struct cds_list_head node;
	struct wire_worker entry; /* as the list says */
	struct hc_host *host;
	int refs;	       /* requests and calls that point here */
	int64_t first_seen_us; /* for the first time */
	bool listed;	       /* the store's list has it */
	bool in_listing;       /* in the listing that is being read */
	bool replaced;	       /* a younger worker is listed at its address */
	int64_t gone_us;       /* taken for gone from then on; MAG_NEVER */
	int64_t leaving_us;    /* its leaving was first seen; MAG_NEVER */

	struct wire_range layers;  /* newest word: list, report or answer */
	int64_t orders_taken;	   /* -1: unknown */
	int64_t layers_changed_us; /* when the list last changed them */
	int64_t reported_us;	   /* of the last report, 0: none */
	bool busy;		   /* with an order, by the last report */
	double slowdown;	   /* 1: as fast as its kind */
	int64_t slowdown_us;	   /* when that was learned, 0: never */
	double reported_held;	   /* memory in use, by the last report */
	int reported_first_hops; /* requests there as the first worker, likewise
				  */

	int64_t paused_until_us;  /* it refused: nothing new until then */
	int refusals;		  /* since it began a request of ours last */
	int64_t suspect_until_us; /* gets nothing new until then */
	int suspect_count;	  /* in a row */
	bool suspected;		  /* the suspicion ran out, nothing proved */
	bool to_announce;	/* peers have not heard of the suspicion yet */
	int64_t announced_us;	/* when they were told, 0: never */
	double failure_rate;	/* of late requests, smoothed */
	int consecutive_breaks; /* requests that it broke off, no event since */
	int distrust_count;	/* in a row */
	int64_t distrust_until_us; /* gets nothing, whatever it says */
	double response_us;	   /* time of an answer, smoothed */

	int first_hops;		  /* requests of ours that it took */
	int peer_first_hops;	  /* of other instances, by their word */
	double held;		  /* tokens x layers that our requests hold */
	double recent_held;	  /* that we took since peers were added up */
	double peer_held;	  /* those of other instances */
	int64_t prefill_until_us; /* prompts of repaired chains that it reads */
	int64_t last_event_us;	  /* an event of ours came through it last */
	bool probing;		  /* a question to it is on its way */
	bool unresponsive;	/* it has not answered that question in time */
	int probes_since_event; /* questions since an event of ours came through
				 */
	int64_t probed_us;	/* when it was asked last */

	struct thr thr;		   /* the rate limit that it names */
	int64_t next_limit_log_us; /* no line on a mere change before then */

	int64_t died_us; /* its connections were refused or broke; 0: never */
	/* What to suspect if it turns out that the worker died. */
	struct wk_interrupted interrupted[WK_INTERRUPTED_MAX];
	int interrupted_next;

	/* The placer's order that may not have been carried out yet. */
	bool ordered;
	int64_t ordered_us;
	struct wire_range order;
};

/* A worker that was gone, by its entry or for want of one. */
struct wk_gone {
	char id[WIRE_ID_MAX];
	int64_t born_ms;
	int64_t gone_us;
};

struct wk_table {
	struct cds_list_head workers;
	struct wk_gone gone[WK_GONE_MAX]; /* the oldest is replaced */
	int gone_next;
	bool listing;  /* entries are read from a list, not as they change */
	bool settling; /* the store has just come back from an older copy */
	int64_t restored_us; /* when that was seen last; 0: never */
	struct hc *hc;
	int count;
	int64_t last_added_us; /* when a worker was last seen for the first time
				*/
	int max_connections;   /* that this instance may have to one worker */
};

enum wk_err {
	WK_OK = 0,
	WK_E_MEMORY = -1,
	WK_E_ADDRESS = -2,
	WK_E_STALE =
		-3, /* the entry is of a copy, and what it names was gone */
};

/* To what a worker answered. */
enum wk_answer {
	WK_ANSWER_SUCCESS, /* to a request, with a success of its own */
	WK_ANSWER_OTHER,   /* to a request, or an order on one */
	WK_ANSWER_PROBE,
	WK_ANSWER_ORDER,
};

void wk_init(struct wk_table *table, struct hc *hc);
void wk_list_begin(struct wk_table *table);
int wk_list_put(struct wk_table *table, const struct wire_worker *worker,
		int64_t now, struct wk **out);
void wk_list_end(struct wk_table *table, int64_t gone_us, int64_t now);
void wk_store_restored(struct wk_table *table, int64_t now);
void wk_store_settled(struct wk_table *table);
int wk_count_missing(const struct wk_table *table);
void wk_remove(struct wk_table *table, const char *id, int64_t gone_us,
	       int64_t now);
void wk_tick(struct wk_table *table, int64_t now);
struct wk *wk_by_id(const struct wk_table *table, const char *id);
struct wk *wk_by_address(const struct wk_table *table, const char *address);

bool wk_alive(const struct wk *wk, int64_t now);
bool wk_usable(const struct wk *wk, int64_t now);
void wk_suspect(struct wk *wk, int64_t now, const char *why);
void wk_clear_suspicion(struct wk *wk);
void wk_pause(struct wk *wk, int64_t now);
void wk_on_refusal(struct wk *wk, int64_t now);
void wk_on_start(struct wk *wk);
void wk_on_break(struct wk *wk, int64_t now);
void wk_on_success(struct wk *wk);
void wk_add_result(struct wk *wk, bool good, int64_t took_us);
void wk_add_interrupted(struct wk *wk, const uint8_t print[MAG_DIGEST_BYTES],
			int64_t now);
enum thr_change wk_apply_limit(struct wk *wk, const struct wire_limit *limit,
			       enum wk_answer answer, int64_t sent_us,
			       int64_t now);
void wk_apply_peer_limit(struct wk *wk, double limit, int64_t named_us,
			 int64_t now);
void wk_expire_limit(struct wk *wk, int64_t now);
struct wk *wk_ref(struct wk *wk);
void wk_unref(struct wk *wk);

#endif /* WK_H */
