#ifndef WKP_H
#define WKP_H

/* Probes workers and applies their reports. */

#include <stdint.h>

#include "edge.h"

/* What others do about the results of probes. */
struct wkp_ops {
	/* A worker has failed a probe: what waits for it is moved. */
	void (*suspected)(struct edge *edge, struct wk *wk, int64_t now);
	/* An engine has reported its state. */
	void (*reported)(struct edge *edge, struct wk *wk,
			 const struct wire_report *report, int64_t now);
	/* Returns this router's fraction of a worker's rate limit. */
	double (*limit_part)(struct edge *edge, const struct wk *wk,
			     int64_t now);
};

void wkp_set_ops(struct edge *edge, const struct wkp_ops *ops);
void wkp_apply_advert(struct edge *edge, struct wk *wk,
		      const struct wire_advert *advert, enum wk_answer kind,
		      int64_t sent_us);
void wkp_probe(struct edge *edge, struct wk *wk, int64_t now);
void wkp_tick(struct edge *edge, int64_t now);

#endif /* WKP_H */
