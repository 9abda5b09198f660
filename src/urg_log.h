#ifndef URG_LOG_H
#define URG_LOG_H

/*
 * Log lines of a service that lacks capacity for its less urgent requests: one
 * when that begins, and one when it ends.
 *
 * Load pattern: demand close to the capacity makes a service lack some again
 * and again.  A line begins an episode at most every few seconds, and only an
 * episode that was logged has a line for its end.
 */

#include <stdbool.h>
#include <stdint.h>

#include "urg.h"

/* State of one service between ticks; zero at first. */
struct urg_log {
	bool logged;	  /* the line of the beginning was written */
	int64_t since_us; /* when the episode began */
	int64_t short_us; /* when capacity was last lacking in it */
	int64_t next_us;  /* no other line of a beginning before then */
	uint64_t refused; /* requests refused before the episode */
};

/* What is known of a service. */
struct urg_log_state {
	const char *service;
	int64_t short_us; /* when a request last found no capacity; 0: never */
	bool is_short;	  /* that was lately */
	double reserve;	  /* greatest fraction that requests leave free */
	uint64_t refused; /* requests refused since the start */
	int routers;	  /* that are known, this one included */
	int heard;	  /* peers whose demand is known */
	const struct urg_report *demand; /* of this router's callers */
	int count;
};

void urg_log_tick(struct urg_log *log, const struct urg_log_state *state,
		  int64_t now);

#endif /* URG_LOG_H */
