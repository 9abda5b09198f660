#ifndef ERA_H
#define ERA_H

/*
 * The time after the store has come back from an older copy.  Pure.
 *
 * Load pattern: what routers, workers and the operator wrote since the copy is
 * missing until each has written it again.  Taken at its word, the copy has
 * no workers, or old layers, and every caller would be refused for seconds;
 * and it is no witness that a key was not taken away since.
 */

#include <stdbool.h>
#include <stdint.h>

#include "mag.h"

/* So long after the return all have written again. */
#define ERA_SETTLE_US (2 * MAG_US_PER_S)
/*
 * A router that starts hears for so long at most whether others know a newer
 * configuration than the store.
 */
#define ERA_PEER_WAIT_US (1200 * MAG_US_PER_MS)

struct era {
	int64_t restored_us;	/* the return was seen then; 0: never */
	int64_t settled_us;	/* all have written again by then */
	bool settling;		/* no whole list was read since */
	bool relisting;		/* that list was asked for */
	bool config_written;	/* the operator has written since */
	int64_t started_us;	/* of this process */
	bool peer_message_seen; /* since then */
};

void era_start(struct era *era, int64_t now);
void era_store_restored(struct era *era, int64_t now);
bool era_relist_due(struct era *era, int64_t now);
bool era_list_done(struct era *era);
bool era_is_authoritative(const struct era *era, int64_t at_us);
bool era_may_use_config(const struct era *era, bool has_eras, int64_t now);

#endif /* ERA_H */
