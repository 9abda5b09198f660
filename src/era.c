#include <string.h>

#include "era.h"

void era_start(struct era *era, int64_t now)
{
	memset(era, 0, sizeof(*era));
	era->started_us = now;
}

/* An answer has shown that the store was restored from a backup. */
void era_store_restored(struct era *era, int64_t now)
{
	era->restored_us = now;
	era->settled_us = now + ERA_SETTLE_US;
	era->settling = true;
	era->relisting = false;
	era->config_written = false;
}

/*
 * Returns true once, when it is time to list all keys and use the list as it
 * is.
 */
bool era_relist_due(struct era *era, int64_t now)
{
	if (!era->settling || era->relisting || now < era->settled_us)
		return false;
	era->relisting = true;
	return true;
}

/* A complete list was read; returns whether it is the one to use as it is. */
bool era_list_done(struct era *era)
{
	if (!era->relisting)
		return false;
	era->settling = false;
	era->relisting = false;
	return true;
}

/*
 * Returns whether the store's state at at_us proves that the known
 * configuration was the newest at that time.  A restored backup does not: a
 * newer configuration may be missing until the operator has written it again.
 */
bool era_is_authoritative(const struct era *era, int64_t at_us)
{
	return !era->restored_us || era->config_written ||
	       at_us >= era->settled_us;
}

/*
 * Returns whether a router that has started may use the store's configuration.
 * It cannot know when the store was restored, but its peers may: it waits for a
 * message from one of them, for a bounded time.
 */
bool era_may_use_config(const struct era *era, bool has_eras, int64_t now)
{
	return !has_eras || era->peer_message_seen ||
	       now - era->started_us >= ERA_PEER_WAIT_US;
}
