#ifndef FRONT_H
#define FRONT_H

/*
 * The HTTP server for callers.  Each server thread handles one request from
 * its first byte to its last.  The core makes the decisions and sends them as
 * actions.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core.h"
#include "loop.h"

struct front;

enum front_err {
	FRONT_OK = 0,
	FRONT_E_MEMORY = -1,
	FRONT_E_LISTEN = -2,
};

struct front_settings {
	char listen[MAG_ADDR_MAX];   /* "ip:port" */
	uint32_t threads;	     /* requests served at the same time */
	uint32_t connect_timeout_ms; /* for connections to endpoints */
	uint32_t body_max;	     /* longest request body, in bytes */
	char instance[MAG_NAME_MAX];
	uint64_t incarnation;
};

struct front *front_new(const struct front_settings *settings);
int front_start(struct front *front, struct loop *loop);
void front_serve_waiting(struct front *front);
void front_set_config(struct front *front, struct cfg_set *set);
void front_deliver(struct front *front, struct core_action *action);
void front_close_connections(struct front *front);
void front_refuse_new(struct front *front);
uint32_t front_open_requests(struct front *front);
void front_free(struct front *front);

#endif /* FRONT_H */
