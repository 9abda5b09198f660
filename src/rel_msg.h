#ifndef REL_MSG_H
#define REL_MSG_H

/*
 * What a router answers to one that follows the store through it: the changes
 * since a position, or all items, and how old they are.  XDR encoded, in the
 * body of an HTTP response.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mir.h"
#include "pos.h"

/* Longest body of an answer that is accepted (bytes). */
#define REL_BYTES_MAX  ((size_t)32 << 20)
#define REL_TARGET_MAX 160

/* A poll for changes. */
struct rel_poll {
	struct pos after; /* the follower knows everything up to it */
	int64_t wait_us;  /* how long the answer may take */
	/* Hash of the name of the follower's deployment. */
	uint32_t deployment;
	bool has_deployment; /* not of routers of earlier versions */
};

struct rel_answer {
	struct pos pos; /* after the changes the receiver has reached it */
	bool complete;	/* all items, instead of changes */
	/*
	 * Some of it may have come from a router that the sender does not
	 * precede; see tree.h.
	 */
	bool marked;
	/*
	 * When the items were current, relative to the receipt of the poll, in
	 * microseconds; may be negative.  The receiver adds the time at which
	 * it sent the poll: a delay on the way makes the items look older than
	 * they are, never newer.
	 */
	bool has_fresh;
	int64_t fresh_us;
	/*
	 * For earlier versions: the sender has a source; since when, as above.
	 */
	bool reachable;
	bool has_regained;
	int64_t regained_us;
	uint32_t item_count;
	uint32_t plain_len; /* of compressed items (bytes); 0: they are not */
};

/* Encoded items; an answer to several followers is encoded once. */
struct rel_items {
	char *bytes;
	size_t len;
	uint32_t count;
	uint32_t plain_len; /* as in struct rel_answer */
};

enum rel_msg_err {
	REL_MSG_OK = 0,
	REL_MSG_E_MEMORY = -1,
	REL_MSG_E_FORMAT = -2,
	REL_MSG_E_ORDER = -3, /* positions that cannot follow the poll's */
};

void rel_poll_write(char *target, size_t size, const struct rel_poll *poll);
int rel_poll_parse(const char *target, struct rel_poll *poll);
int rel_items_encode(const struct mir *mir, int64_t after,
		     struct rel_items *items);
void rel_items_free(struct rel_items *items);
int rel_answer_encode(struct rel_answer *answer, const struct rel_items *items,
		      char **body, size_t *len);
int rel_answer_decode(char *body, size_t len, struct pos after,
		      struct rel_answer *answer, struct wire_items *items);

#endif /* REL_MSG_H */
