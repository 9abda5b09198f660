#include <string.h>

#include "era.h"

void era_start(struct era *era, int64_t now)
{
	memset(era, 0, sizeof(*era));
	era->started_us = now;
}

/* An answer has shown that the store has come back from a copy. */
void era_store_restored(struct era *era, int64_t now)
{
	era->restored_us = now;
	era->settled_us = now + ERA_SETTLE_US;
	era->settling = true;
	era->relisting = false;
	era->config_written = false;
}

/* Tells, once, that it is time to read all again and take it as it stands. */
bool era_relist_due(struct era *era, int64_t now)
{
	if (!era->settling || era->relisting || now < era->settled_us)
		return false;
	era->relisting = true;
	return true;
}

/* A whole list was read; tells whether it is the one to take as it stands. */
bool era_list_done(struct era *era)
{
	if (!era->relisting)
		return false;
	era->settling = false;
	era->relisting = false;
	return true;
}

/*
 * Tells whether what the store showed at at_us proves that the configuration
 * known was the newest then.  A copy does not: a newer one may be missing
 * until the operator has written it again.
 */
bool era_is_authoritative(const struct era *era, int64_t at_us)
{
	return !era->restored_us || era->config_written ||
	       at_us >= era->settled_us;
}

/*
 * Tells whether a router that has started may go by the store's configuration.
 * It does not know when the store came back, but others may: it waits for
 * their word, for a bounded time.
 */
bool era_may_use_config(const struct era *era, bool has_eras, int64_t now)
{
	return !has_eras || era->peer_message_seen ||
	       now - era->started_us >= ERA_PEER_WAIT_US;
}
