#ifndef REV_H
#define REV_H

/*
 * The revision in force at one instance: its text, which peers can fetch, and
 * the edits that led to it.  A new set is built by patching the previous one
 * with the lines that differ; the whole text is parsed only if that is not
 * possible.  There is no locking; only one thread at a time may use it.
 */

#include <stdint.h>

#include "cfg.h"

struct rev;

struct rev *rev_new(void);
void rev_free(struct rev *rev);
int rev_offer(struct rev *rev, const struct cfg_set *base, const char *text,
	      uint64_t revision, struct cfg_set **set);
int rev_offer_edits(struct rev *rev, const struct cfg_set *base,
		    uint64_t base_revision, const char *edits,
		    struct cfg_set **set);
uint64_t rev_revision(const struct rev *rev);
const char *rev_text(const struct rev *rev);
unsigned long rev_patched_sets(const struct rev *rev);
char *rev_edits(const struct rev *rev, uint64_t from_revision);

#endif /* REV_H */
