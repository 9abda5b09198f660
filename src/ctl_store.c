#include <string.h>

#include "clk.h"
#include "ctl.h"
#include "pf.h"

#define CTL_CALL_US (2 * MAG_US_PER_S) /* timeout of one call */

static void ctl_store_call(void *ctx, const struct kv_call *call,
			   struct kv_reply *reply);

/* Opens a client of the platform; false if out of memory. */
bool ctl_store_open(struct ctl_store *store, const struct ctl_args *args)
{
	const char *addresses[CTL_ADDRESSES_MAX];
	struct kv_backend backend = { ctl_store_call, store };
	size_t i;

	memset(store, 0, sizeof(*store));
	for (i = 0; i < args->platform.count; i++)
		addresses[i] = args->platform.list[i];
	store->deadline_us = args->deadline_us;
	store->pf = pf_open(addresses, args->platform.count);
	if (!store->pf)
		return false;
	store->backend = pf_backend(store->pf);
	store->pub = pub_new(backend);
	if (store->pub)
		return true;
	pf_close(store->pf);
	return false;
}

/* Closes a client. */
void ctl_store_close(struct ctl_store *store)
{
	pub_free(store->pub);
	pf_close(store->pf);
}

/*
 * Makes a call with a deadline of its own.  With only the deadline of the
 * command, a platform that hangs in the first call would leave no time to find
 * out whether that call took effect.
 */
static void ctl_store_call(void *ctx, const struct kv_call *call,
			   struct kv_reply *reply)
{
	struct ctl_store *store = ctx;
	struct kv_call bounded = *call;
	int64_t deadline_us = clk_now_us() + CTL_CALL_US;

	if (bounded.deadline_us > deadline_us)
		bounded.deadline_us = deadline_us;
	store->backend.call(store->backend.ctx, &bounded, reply);
}
