#ifndef ERA_H
#define ERA_H

/*
 * The recovery period after the store was restored from an older backup.  Pure.
 *
 * Load pattern: what routers, workers and the operator wrote after the backup
 * was made is missing until each of them has written it again.  Taken
 * literally, the backup contains no workers, or outdated layers, and every
 * caller would be refused for seconds.  Nor does it prove that an account key
 * has not been removed since.
 */

#include <stdbool.h>
#include <stdint.h>

#include "mag.h"

/*
 * Time after the restore was detected by which everyone has written their
 * entries again.
 */
#define ERA_SETTLE_US (2 * MAG_US_PER_S)
/*
 * The longest time that a starting router waits to learn from its peers whether
 * they know a newer configuration than the store.
 */
#define ERA_PEER_WAIT_US (1200 * MAG_US_PER_MS)

struct era {
	int64_t restored_us;	/* when the restore was detected; 0: never */
	int64_t settled_us;	/* by then all entries are written again */
	bool settling;		/* no complete list was read since then */
	bool relisting;		/* that list was requested */
	bool config_written;	/* the operator wrote one since the restore */
	int64_t started_us;	/* start of this process */
	bool peer_message_seen; /* since the start */
};

void era_start(struct era *era, int64_t now);
void era_store_restored(struct era *era, int64_t now);
bool era_relist_due(struct era *era, int64_t now);
bool era_list_done(struct era *era);
bool era_is_authoritative(const struct era *era, int64_t at_us);
bool era_may_use_config(const struct era *era, bool has_eras, int64_t now);

#endif /* ERA_H */
