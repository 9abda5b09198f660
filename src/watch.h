#ifndef WATCH_H
#define WATCH_H

/* Follows the configuration and the load reports of the platform. */

#include "front.h"
#include "kv.h"
#include "loop.h"

struct watch;

struct watch_settings {
	int64_t call_timeout_us;
	uint64_t seed;
};

struct watch *watch_start(const struct watch_settings *settings,
			  const struct kv_backend *backend, struct loop *loop,
			  struct front *front);
uint64_t watch_revision(const struct watch *watch);
void watch_set_role(struct watch *watch, bool bridge, uint32_t instances);
int watch_text(struct watch *watch, uint64_t at_least, uint64_t *revision,
	       char **text, size_t *len);
int watch_offer(struct watch *watch, const char *text, uint64_t revision);
int watch_offer_edits(struct watch *watch, uint64_t from_revision,
		      const char *edits);
int watch_edits(struct watch *watch, uint64_t from_revision, uint64_t *revision,
		char **text, size_t *len);
void watch_close(struct watch *watch);
void watch_stop(struct watch *watch);

#endif /* WATCH_H */
