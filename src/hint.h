#ifndef HINT_H
#define HINT_H

/*
 * Hints that routers exchange: the load that each has given every worker, and
 * the requests that crash workers.  They are XDR datagrams; the next one makes
 * up for one that is lost.  Nothing may depend on hints for correctness.
 */

#include <stdbool.h>
#include <stdint.h>

#include <event2/buffer.h>

#include "edge.h"

enum hint_err {
	HINT_OK = 0,
	HINT_E_MEMORY = -1,
};

int hint_new(struct edge *edge, int fd, struct hint **out);
void hint_free(struct hint *hint);
void hint_tick(struct hint *hint, int64_t now);
void hint_send_soon(struct hint *hint, int64_t now);
void hint_drop_expired(struct hint *hint, int64_t now);
bool hint_is_behind(const struct hint *hint, int64_t now);
double hint_unheard_factor(const struct hint *hint);
double hint_own_limit_part(struct edge *edge, const struct wk *wk, int64_t now);
struct hc_host *hint_pick_server(struct hint *hint, uint32_t avoid, int64_t now,
				 uint32_t *id);
int hint_rank(struct hint *hint, uint32_t key, int64_t now);
int hint_count_servers(const struct hint *hint, int64_t now);
void hint_write_metrics(const struct hint *hint, struct evbuffer *out);
bool hint_others_ready(const struct hint *hint, int64_t now);

#endif /* HINT_H */
