#ifndef STO_H
#define STO_H

/*
 * The one client of the platform's store, on the event loop: single calls,
 * and following all keys under a prefix by a list and then watches.  Every
 * call has a stored deadline, because a watch may hang, go deaf or be cut.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "hc.h"
#include "pos.h"
#include "wire.h"

struct sto;
struct sto_follow;

enum sto_result {
	STO_DONE,
	STO_CONFLICT, /* another revision holds */
	STO_MISSING,  /* no such key or lease */
	STO_REFUSED,  /* nothing was done: over the rate, or not served */
	/* No answer, or one of another era: it may be done, now or later. */
	STO_LOST,
};

typedef void (*sto_done_fn)(void *user, enum sto_result result,
			    const char *body, size_t len);

/* What a follower is told; all but fresh come in the order of the store. */
struct sto_follow_ops {
	void (*list_begin)(void *user); /* a whole list follows */
	void (*item)(void *user, const struct wire_item *item);
	void (*list_end)(void *user); /* the list is whole */
	/* What was told so far was the newest at sent_us. */
	void (*confirmed)(void *user, int64_t sent_us);
	/* The store has come back from an older copy; a list follows. */
	void (*restored)(void *user);
	/* reachable: a call was answered after some that were not. */
	void (*reachable)(void *user, bool reachable);
};

struct sto_follow_settings {
	const char *prefix;
	int64_t wait_ms;      /* that one watch stays open */
	int64_t coalesce_us;  /* from a change to the next watch */
	int64_t retry_max_us; /* between two tries while nothing answers */
	const struct sto_follow_ops *ops;
	void *user;
};

enum sto_err {
	STO_OK = 0,
	STO_E_MEMORY = -1,
	STO_E_ADDRESS = -2,
};

int sto_new(struct hc *hc, const char *address, uint64_t seed,
	    struct sto **out);
void sto_tick(struct sto *sto, int64_t now);
uint64_t sto_calls(const struct sto *sto);
int64_t sto_era(const struct sto *sto);

/* Each call is told its result exactly once, later. */
void sto_create_lease(struct sto *sto, int64_t ttl_ms, sto_done_fn done,
		      void *user);
void sto_renew_lease(struct sto *sto, int64_t lease, sto_done_fn done,
		     void *user);
void sto_end_lease(struct sto *sto, int64_t lease, sto_done_fn done,
		   void *user);
/* Writes a key if it still has a revision; 0: if it does not exist. */
void sto_swap(struct sto *sto, const char *key, const char *value,
	      int64_t revision, int64_t lease, sto_done_fn done, void *user);

/*
 * Asks how far the store is, which shows that a follower that is as far was
 * told all, and wakes one whose watch has fallen silent.
 */
void sto_follow_query(struct sto_follow *follow);
void sto_follow_set_retry_max(struct sto_follow *follow, int64_t retry_max_us);
void sto_follow_retry_now(struct sto_follow *follow);
void sto_follow_learn_pos(struct sto_follow *follow, struct pos known);
void sto_follow_relist(struct sto_follow *follow);
struct pos sto_follow_pos(const struct sto_follow *follow);

int sto_parse_lease(const char *body, size_t len, int64_t *lease,
		    int64_t *ttl_ms);

int sto_follow(struct sto *sto, const struct sto_follow_settings *settings,
	       struct sto_follow **out);

#endif /* STO_H */
