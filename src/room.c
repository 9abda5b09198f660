#include "room.h"

/*
 * A report counts for this long: streams live for some seconds, and routers
 * that have just started know of no load at all.
 */
#define ROOM_REPORT_US MAG_US_PER_S
/*
 * Part of our own recent sends that each peer is taken to have sent as well.
 * Peers choose by the same prices, but not all of them the same worker.
 */
#define ROOM_PEER_SHARE 0.3
/*
 * Part of its answer that a stream holds in the mean of its life.  Streams of
 * all ages share a worker, so that the sum of their means is what it holds.
 */
#define ROOM_ANSWER_SHARE 0.5

static int room_prompt(const struct room_request *request);
static int room_answer(const struct room_request *request);

/* Returns the memory of a worker that is taken. */
double room_held(const struct room_load *known, int64_t now)
{
	double held = known->own + known->peers;

	if (known->routers > 1)
		held += known->recent * (known->routers - 1) * ROOM_PEER_SHARE;
	if (room_is_report_fresh(known->reported_us, now) &&
	    known->reported > held)
		return known->reported;
	return held;
}

/* Tells whether a worker's own report still says something of its load. */
bool room_is_report_fresh(int64_t reported_us, int64_t now)
{
	return reported_us && now - reported_us <= ROOM_REPORT_US;
}

/* Returns the tokens that a request is expected to hold, in its mean. */
double room_mean_tokens(const struct room_request *request)
{
	return room_prompt(request) + ROOM_ANSWER_SHARE * room_answer(request);
}

/* Returns the tokens that a request is expected to have at its end. */
double room_final_tokens(const struct room_request *request)
{
	return room_prompt(request) + room_answer(request);
}

static int room_prompt(const struct room_request *request)
{
	return request->prompt > 0 ? request->prompt : request->usual_prompt;
}

static int room_answer(const struct room_request *request)
{
	int answer = request->answer_hint;

	if (answer <= 0)
		answer = request->usual_answer;
	if (request->answer_max > 0 && answer > request->answer_max)
		return request->answer_max;
	return answer;
}
