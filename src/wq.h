#ifndef WQ_H
#define WQ_H

/*
 * Queue of the requests of one service that wait for capacity in this router.
 * Pure.
 *
 * Load pattern: callers ask for far more than the service can start, for many
 * seconds, and more urgent requests keep arriving meanwhile.  A request that
 * waits in vain has lost the time in which another router or a later attempt
 * could have served it, and refused callers that return together fill the queue
 * again.  Each request therefore has an estimate of its turn, from the starts
 * of the last second less the arrivals that go ahead of it, and refused callers
 * are given return slots only out of what new arrivals leave of that rate.
 */

#include <stdbool.h>
#include <stdint.h>

#include <urcu/list.h>

/* Ranks that are told apart; higher ones count as the last. */
#define WQ_RANKS_MAX 16
#define WQ_SLICES    40
/* Recent arrivals whose order is known. */
#define WQ_ARRIVALS_MAX 128

struct wq_entry {
	struct cds_list_head node; /* self-linked if not queued */
	int rank;		   /* of its urgency; 0: most urgent */
	bool late;		   /* can no longer be in time */
	double claim;	     /* what its account used lately; less goes first */
	int64_t since_us;    /* when it began to wait */
	int64_t start_by_us; /* latest useful start */
	int64_t grace_until_us; /* waits until then without an estimate */
	int list;		/* rank under which it is queued; internal */
	bool counted;		/* as an arrival; internal */
	bool estimated; /* its turn was expected in time when it was queued */
};

/* Requests of one time slice. */
struct wq_slice {
	int64_t number;	 /* slices since time zero */
	int64_t seen_us; /* part of it in which requests waited */
	int starts;
	int arrivals; /* that were queued or placed */
	int refusals;
};

/* What of an arrival decides whether it goes ahead of an entry. */
struct wq_arrival {
	int64_t at_us;
	int rank;
	bool late;
	double claim;
};

struct wq {
	struct cds_list_head ranks[WQ_RANKS_MAX];
	int counts[WQ_RANKS_MAX];
	int count;
	struct wq_slice slices[WQ_SLICES];
	struct wq_arrival arrivals[WQ_ARRIVALS_MAX]; /* ring */
	unsigned int arrival_count;		     /* since the start */
	int64_t unmet_until_us;	  /* after a refusal; 0: none since the start */
	bool emptied;		  /* since the last event */
	int64_t event_us;	  /* last event; 0: none yet */
	int64_t running_since_us; /* when the events began, or a pause ended */
	int64_t next_slot_us;	  /* next free return slot */
};

void wq_init(struct wq *wq);
void wq_entry_init(struct wq_entry *entry);
void wq_add(struct wq *wq, struct wq_entry *entry);
void wq_remove(struct wq *wq, struct wq_entry *entry);
struct wq_entry *wq_first(const struct wq *wq);
struct wq_entry *wq_next(const struct wq *wq, const struct wq_entry *entry);
bool wq_has_ahead(const struct wq *wq, const struct wq_entry *entry);
void wq_arrived(struct wq *wq, struct wq_entry *entry);
void wq_started(struct wq *wq, int64_t now);
int64_t wq_turn_us(const struct wq *wq, const struct wq_entry *entry,
		   int64_t now);
bool wq_may_wait(const struct wq *wq, const struct wq_entry *entry,
		 int64_t now);
double wq_return_s(struct wq *wq, double max_s, double spread, int64_t now);

#endif /* WQ_H */
