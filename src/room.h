#ifndef ROOM_H
#define ROOM_H

/*
 * Estimates how much of a worker's memory is in use, from what one router
 * knows, and how much a request needs.  Pure.
 *
 * Load pattern: at peak load all memory is allocated and released several times
 * in ten seconds, and routers learn of each other's requests some hundred
 * milliseconds late.  A request sent to a worker without free memory is refused
 * in the middle of its chain, or preempts a running stream.
 */

#include <stdbool.h>
#include <stdint.h>

#include "mag.h"

/* Known load of a worker; memory in tokens x layers. */
struct room_load {
	double own;	 /* used by requests of this router */
	double recent;	 /* part of own that peers cannot have counted yet */
	double peers;	 /* used by other routers, as last reported */
	int routers;	 /* that send here, including this one */
	double reported; /* in use by the worker's own report */
	int64_t reported_us; /* when that was received; 0: never */
};

/* Sizes that a request states, in tokens; 0: not stated. */
struct room_request {
	int prompt;
	int answer_hint;
	int answer_max;
	int usual_prompt;
	int usual_answer;
};

double room_held(const struct room_load *load, int64_t now);
double room_mean_tokens(const struct room_request *request);
double room_final_tokens(const struct room_request *request);
bool room_is_report_fresh(int64_t reported_us, int64_t now);

#endif /* ROOM_H */
