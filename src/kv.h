#ifndef KV_H
#define KV_H

/*
 * Calls to the platform's key-value service as the deterministic modules see
 * them: a module leaves a struct kv_call, a shell carries it out and hands
 * back a struct kv_reply under the same id.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define KV_KEY_MAX 128

enum kv_op {
	KV_GET,
	KV_WATCH,	  /* waits until the version differs, or the deadline */
	KV_CAS,		  /* version 0: create if absent */
	KV_DELETE,	  /* only at the given version */
	KV_LEASE_ACQUIRE, /* also renews; value is the holder's name */
	KV_LEASE_RELEASE,
	KV_INSTANCES,	 /* the lagging list */
	KV_LOAD_REPORTS, /* load reports */
	KV_OP_COUNT
};

/*
 * How a call ended.  KV_NO_ANSWER says that the call was sent and no answer
 * came: a write may have landed or may still land.  KV_NOT_SENT says that it
 * can never land.
 */
enum kv_status {
	KV_OK,
	KV_ABSENT,	 /* no such key */
	KV_CONFLICT,	 /* another version, or the lease is another's */
	KV_RATE_LIMITED, /* refused for its rate; nothing changed */
	KV_NOT_SENT,
	KV_NO_ANSWER,
};

struct kv_call {
	uint64_t id;
	enum kv_op op;
	char key[KV_KEY_MAX];
	uint64_t version; /* KV_CAS, KV_DELETE: the version it replaces */
	char *value;	  /* KV_CAS, KV_LEASE_ACQUIRE; the shell frees it */
	size_t len;
	int64_t deadline_us;
	uint32_t ttl_ms; /* KV_LEASE_ACQUIRE */
};

struct kv_reply {
	uint64_t id;
	enum kv_status status;
	uint64_t version; /* of the value, or a lease's fencing number */
	char *value;	  /* KV_GET and lists; the module's caller frees it */
	size_t len;
};

/*
 * Who carries a call out, and waits for its end: the platform client of a
 * shell, or a table in memory in tests.
 */
struct kv_backend {
	void (*call)(void *ctx, const struct kv_call *call,
		     struct kv_reply *reply);
	void *ctx;
};

#endif /* KV_H */
