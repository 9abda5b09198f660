#ifndef REACH_H
#define REACH_H

/*
 * Whether this router reaches the workers at all.  Pure.
 *
 * Load pattern: a router loses its path to all workers at once, while callers,
 * the store and other routers still reach it.  Every worker then looks dead to
 * it.  Reported to the other routers, or taken for a loss of layers, that would
 * take live workers from routers that reach them.  After failures at several
 * workers in a row, without an answer on a new connection between them, the
 * router therefore probes further ones, in another data centre, too.  Its path
 * is lost if none of them answers for a while.  Workers that die together, or a
 * data centre that is lost, are not its path.
 *
 * Only answers on new connections count: open ones may outlive the path.
 */

#include <stdbool.h>
#include <stdint.h>

#define REACH_FAILURES_MIN 3

/* The workers that are listed. */
struct reach_workers {
	int count;
	bool several_centres;
};

struct reach {
	uint32_t failed[REACH_FAILURES_MIN]; /* in a row; hashes of their ids */
	int failed_count;
	uint32_t failed_centre; /* hash of the first one's data centre */
	bool failed_elsewhere;	/* in another data centre, too */
	int64_t doubted_us;	/* first probe because of it; 0: none */
	bool lost;
	bool regained; /* an answer came after the path was lost */
	int64_t next_probe_us;
	unsigned int probes; /* sent so far; picks the next worker */
};

void reach_on_answer(struct reach *reach);
void reach_on_failure(struct reach *reach, uint32_t worker, uint32_t centre);
bool reach_is_doubted(const struct reach *reach);
bool reach_is_lost(const struct reach *reach);
bool reach_update(struct reach *reach, const struct reach_workers *workers,
		  int64_t now);
bool reach_take_regained(struct reach *reach);
bool reach_take_probe(struct reach *reach, int routers, int64_t now);

#endif /* REACH_H */
