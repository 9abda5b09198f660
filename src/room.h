#ifndef ROOM_H
#define ROOM_H

/*
 * What a worker's memory holds by the knowledge of one router, and how much
 * of it a request takes.  Pure.
 *
 * Load pattern: in a rush all memory is taken and given back several times in
 * ten seconds, and routers hear of each other's sends some hundred
 * milliseconds late.  A send that finds no room is refused in the middle of
 * its chain, or preempts a stream that has begun.
 */

#include <stdbool.h>
#include <stdint.h>

#include "mag.h"

/* A worker's load; memory in tokens x layers. */
struct room_load {
	double own;	     /* held by requests of this router */
	double recent;	     /* of these, what peers cannot have counted yet */
	double peers;	     /* of other routers, as they said last */
	int routers;	     /* that send here, this one included */
	double reported;     /* in use, by the worker's own report */
	int64_t reported_us; /* when that came; 0: never */
};

/* What a request says of its size; tokens, 0 where it says nothing. */
struct room_request {
	int prompt;
	int answer_hint;
	int answer_max;
	int usual_prompt;
	int usual_answer;
};

double room_held(const struct room_load *known, int64_t now);
double room_mean_tokens(const struct room_request *request);
double room_final_tokens(const struct room_request *request);
bool room_is_report_fresh(int64_t reported_us, int64_t now);

#endif /* ROOM_H */
