#ifndef PF_ASYNC_H
#define PF_ASYNC_H

/* Thread pool for calls to the platform. */

#include "kv.h"

struct pf_async;

/* Runs on one of the pool's threads; takes ownership of the reply's value. */
typedef void (*pf_async_fn)(void *ctx, const struct kv_reply *reply);

enum pf_async_err {
	PF_ASYNC_OK = 0,
	PF_ASYNC_E_STOPPED = -1,
	PF_ASYNC_E_MEMORY = -2,
};

struct pf_async *pf_async_start(const struct kv_backend *backend, int threads,
				pf_async_fn fn, void *ctx);
int pf_async_post(struct pf_async *async, const struct kv_call *call);
void pf_async_stop(struct pf_async *async);

#endif /* PF_ASYNC_H */
