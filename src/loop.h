#ifndef LOOP_H
#define LOOP_H

/*
 * Event loop: the thread that owns the instance (core and fleet).  It receives
 * events from all threads, runs a tick when there is an event or a deadline is
 * due, and delivers the resulting actions to the I/O code.
 */

#include "inst.h"

struct loop;

/* Executes an action; must not block.  Owns what the action points to. */
typedef void (*loop_deliver_fn)(void *ctx, struct inst_action *action);
/* Called on the loop's thread between two ticks. */
typedef void (*loop_query_fn)(struct inst *inst, void *ctx);

enum loop_err {
	LOOP_OK = 0,
	LOOP_E_MEMORY = -1,
	LOOP_E_THREAD = -2,
};

struct loop *loop_new(const struct inst_settings *settings,
		      loop_deliver_fn deliver, void *ctx);
int loop_start(struct loop *loop);
int loop_post(struct loop *loop, const struct core_event *event);
int loop_post_inst(struct loop *loop, const struct inst_event *event);
void loop_query(struct loop *loop, loop_query_fn fn, void *ctx);
void loop_stop(struct loop *loop);
void loop_free(struct loop *loop);

#endif /* LOOP_H */
