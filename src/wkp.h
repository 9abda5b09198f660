#ifndef WKP_H
#define WKP_H

/* Probes workers and applies their reports. */

#include <stdint.h>

#include "edge.h"

void wkp_apply_advert(struct edge *edge, struct wk *wk,
		      const struct wire_advert *advert, enum wk_answer kind,
		      int64_t sent_us);
void wkp_probe(struct edge *edge, struct wk *wk, int64_t now);
void wkp_tick(struct edge *edge, int64_t now);

#endif /* WKP_H */
