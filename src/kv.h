#ifndef KV_H
#define KV_H

/*
 * Interface of the deterministic modules to the platform's key-value service.
 * A module outputs a struct kv_call; the I/O code around it executes the call
 * and returns a struct kv_reply with the same id.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define KV_KEY_MAX 128

enum kv_op {
	KV_GET,
	KV_WATCH,	  /* waits until the version differs or the deadline */
	KV_CAS,		  /* compare-and-swap; version 0: create if absent */
	KV_DELETE,	  /* only if the version matches */
	KV_LEASE_ACQUIRE, /* also renews; value is the holder's name */
	KV_LEASE_RELEASE,
	KV_INSTANCES,	 /* list of instances, which lags behind */
	KV_LOAD_REPORTS, /* load reports of the endpoints */
	KV_OP_COUNT
};

/*
 * Result of a call.  KV_NO_ANSWER: the call was sent but got no response; a
 * write may have been applied, or may still be applied later.  KV_NOT_SENT: the
 * call had and will have no effect.
 */
enum kv_status {
	KV_OK,
	KV_ABSENT,	 /* no such key */
	KV_CONFLICT,	 /* version differs, or another holds the lease */
	KV_RATE_LIMITED, /* over the rate limit; nothing changed */
	KV_NOT_SENT,
	KV_NO_ANSWER,
};

struct kv_call {
	uint64_t id;
	enum kv_op op;
	char key[KV_KEY_MAX];
	uint64_t version; /* KV_CAS, KV_DELETE, KV_WATCH: the known version */
	char *value;	  /* KV_CAS, leases; the I/O code frees it */
	size_t len;
	int64_t deadline_us;
	uint32_t ttl_ms; /* KV_LEASE_ACQUIRE */
};

struct kv_reply {
	uint64_t id;
	enum kv_status status;
	uint64_t version; /* of the value, or a lease's fencing token */
	char *value; /* KV_GET, KV_WATCH, lists; the module's caller frees it */
	size_t len;
};

/*
 * Executes a call and waits until it has ended: the platform client (pf), or an
 * in-memory table in tests.
 */
struct kv_backend {
	void (*call)(void *ctx, const struct kv_call *call,
		     struct kv_reply *reply);
	void *ctx;
};

#endif /* KV_H */
