#ifndef STO_H
#define STO_H

/*
 * Client of the platform's store on the event loop.  It makes single calls, and
 * it follows all keys under a prefix with a list followed by watches.  Every
 * call has a deadline, because a watch may hang, stop delivering changes or be
 * disconnected.
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
	STO_CONFLICT, /* the key has another revision */
	STO_MISSING,  /* the key or lease does not exist */
	STO_REFUSED,  /* not executed: over the rate limit, or not served */
	/*
	 * Answered with another status, such as 400; whether it was executed is
	 * not known.
	 */
	STO_REJECTED,
	/*
	 * No answer, or an answer from another era.  The call may have been
	 * executed or may still be executed later.
	 */
	STO_LOST,
};

typedef void (*sto_done_fn)(void *user, enum sto_result result,
			    const char *body, size_t len);

/* Callbacks of a follower.  All except confirmed are called in store order. */
struct sto_follow_ops {
	void (*list_begin)(void *user); /* a complete list starts */
	void (*item)(void *user, const struct wire_item *item);
	void (*list_end)(void *user); /* the list is complete */
	/*
	 * In place of list_end: the store does not serve what follows a key.
	 * Changes are reported all the same, and another list follows later.
	 */
	void (*list_unfinished)(void *user, const char *after);
	/* Everything reported so far was current at sent_us. */
	void (*confirmed)(void *user, int64_t sent_us);
	/*
	 * The store was restored from an older backup; a complete list follows.
	 */
	void (*restored)(void *user);
	/*
	 * What is about to be reported was current at at_us; called before a
	 * change of reachable is.
	 */
	void (*answered)(void *user, int64_t at_us);
	/*
	 * Whether this router's own calls are answered: false after several
	 * have failed, true with the next one that succeeds.
	 */
	void (*reachable)(void *user, bool reachable);
};

struct sto_follow_settings {
	const char *prefix;
	int64_t wait_ms;      /* how long a single watch stays open */
	int64_t coalesce_us;  /* delay between a change and the next watch */
	int64_t retry_max_us; /* longest delay between failing attempts */
	bool paused;	      /* until sto_follow_resume() */
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

/* What follows a page of a list. */
enum sto_page {
	STO_PAGE_LAST,
	STO_PAGE_MORE,
	STO_PAGE_STUCK, /* more, but from a key that was listed before */
};

enum sto_page sto_next_page(const struct wire_items *items, char *after);
int64_t sto_era(const struct sto *sto);

/*
 * Each call reports its result exactly once, through done; a call that cannot
 * be sent reports STO_REFUSED before the function returns.
 */
void sto_create_lease(struct sto *sto, int64_t ttl_ms, sto_done_fn done,
		      void *user);
void sto_renew_lease(struct sto *sto, int64_t lease, sto_done_fn done,
		     void *user);
void sto_end_lease(struct sto *sto, int64_t lease, sto_done_fn done,
		   void *user);
/*
 * Writes a key if its revision is still the given one; 0 means that the key
 * must not exist.
 */
void sto_swap(struct sto *sto, const char *key, const char *value,
	      int64_t revision, int64_t lease, sto_done_fn done, void *user);

/*
 * Queries the store's current revision.  If the follower has reached that
 * revision, everything that it has reported is current.  An answer also
 * restarts a follower whose watch no longer receives anything.
 */
void sto_follow_query(struct sto_follow *follow);
int64_t sto_follow_query_answered_us(const struct sto_follow *follow);
bool sto_follow_is_doubtful(const struct sto_follow *follow, int64_t since_us);
void sto_follow_set_retry_max(struct sto_follow *follow, int64_t retry_max_us);
void sto_follow_retry_now(struct sto_follow *follow);
void sto_follow_learn_pos(struct sto_follow *follow, struct pos known,
			  const char *peer);
void sto_follow_relist(struct sto_follow *follow);
struct pos sto_follow_pos(const struct sto_follow *follow);

/*
 * While a follower is paused it makes no calls; its owner reports the changes
 * that it learns from elsewhere, and the position that they lead to.
 */
void sto_follow_pause(struct sto_follow *follow);
void sto_follow_resume(struct sto_follow *follow);
bool sto_follow_is_unfinished(const struct sto_follow *follow);
bool sto_follow_is_paused(const struct sto_follow *follow);
void sto_follow_set_pos(struct sto_follow *follow, struct pos pos);
void sto_learn_era(struct sto *sto, int64_t era);

/*
 * Reads a page of the items under a prefix as the store knew them some seconds
 * ago, which costs less than a current list.
 */
void sto_read_stale(struct sto *sto, const char *prefix, const char *after,
		    sto_done_fn done, void *user);

int sto_parse_lease(const char *body, size_t len, int64_t *lease,
		    int64_t *ttl_ms);

int sto_follow(struct sto *sto, const struct sto_follow_settings *settings,
	       struct sto_follow **out);

#endif /* STO_H */
