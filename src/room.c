#include "room.h"

/*
 * Time for which a worker's report is used.  Streams live for some seconds, and
 * routers that have just started know of no load at all.
 */
#define ROOM_REPORT_US MAG_US_PER_S
/*
 * Each peer is assumed to have sent this fraction of our own recent load.
 * Peers choose by the same costs, but not all of them choose the same worker.
 */
#define ROOM_PEER_FRACTION 0.3
/*
 * Average fraction of its answer that a stream holds over its life.  Streams of
 * all ages run on a worker, so the sum of their averages is what it holds.
 */
#define ROOM_ANSWER_FRACTION 0.5

static int room_prompt_tokens(const struct room_request *request);
static int room_answer_tokens(const struct room_request *request);

/* Returns the memory of a worker that is in use. */
double room_held(const struct room_load *load, int64_t now)
{
	double held = load->own + load->peers;

	if (load->routers > 1)
		held += load->recent * (load->routers - 1) * ROOM_PEER_FRACTION;
	if (room_is_report_fresh(load->reported_us, now) &&
	    load->reported > held)
		return load->reported;
	return held;
}

/* Tells whether a worker's report is recent enough to be used. */
bool room_is_report_fresh(int64_t reported_us, int64_t now)
{
	return reported_us && now - reported_us <= ROOM_REPORT_US;
}

/*
 * Returns the expected number of tokens that a request holds, averaged over its
 * life.
 */
double room_mean_tokens(const struct room_request *request)
{
	return room_prompt_tokens(request) +
	       ROOM_ANSWER_FRACTION * room_answer_tokens(request);
}

/* Returns the expected number of tokens of a request at its end. */
double room_final_tokens(const struct room_request *request)
{
	return (double)room_prompt_tokens(request) +
	       room_answer_tokens(request);
}

static int room_prompt_tokens(const struct room_request *request)
{
	return request->prompt > 0 ? request->prompt : request->usual_prompt;
}

static int room_answer_tokens(const struct room_request *request)
{
	int answer = request->answer_hint;

	if (answer <= 0)
		answer = request->usual_answer;
	if (request->answer_max > 0 && answer > request->answer_max)
		return request->answer_max;
	return answer;
}
