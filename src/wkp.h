#ifndef WKP_H
#define WKP_H

/* Asks workers about their state, and hears what they say. */

#include <stdint.h>

#include "edge.h"

void wkp_take_limit(struct edge *edge, struct wk *wk,
		    const struct hc_response *answer, enum wk_answer kind,
		    int64_t sent_us);
void wkp_ask(struct edge *edge, struct wk *wk, int64_t now);
void wkp_tick(struct edge *edge, int64_t now);

#endif /* WKP_H */
