#include "mag.h"
#include "reach.h"

/* Interval of probes while the path is in doubt. */
#define REACH_DOUBT_PROBE_US (40 * MAG_US_PER_MS)
/*
 * The same while it is lost, for each so many routers of the data centre: all
 * of them may lose it together.
 */
#define REACH_LOST_PROBE_US (200 * MAG_US_PER_MS)
#define REACH_LOST_ROUTERS  8
/* A live worker answers one of the probes within this time. */
#define REACH_DOUBT_US (100 * MAG_US_PER_MS)

/* Notes that a worker answered on a new connection. */
void reach_on_answer(struct reach *reach)
{
	reach->regained |= reach->lost;
	reach->lost = false;
	reach->failed_count = 0;
	reach->failed_elsewhere = false;
	reach->doubted_us = 0;
	reach->next_probe_us = 0;
}

/*
 * Notes that a worker could not be reached, or left a probe without an answer.
 */
void reach_on_failure(struct reach *reach, uint32_t worker, uint32_t centre)
{
	int i;

	if (reach->failed_count == 0)
		reach->failed_centre = centre;
	reach->failed_elsewhere |= centre != reach->failed_centre;
	for (i = 0; i < reach->failed_count; i++) {
		if (reach->failed[i] == worker)
			return;
	}
	if (reach->failed_count < REACH_FAILURES_MIN)
		reach->failed[reach->failed_count++] = worker;
}

/* Tells whether a report about a worker could be one about our own path. */
bool reach_is_doubted(const struct reach *reach)
{
	return reach->failed_count == REACH_FAILURES_MIN || reach->lost;
}

/* Tells whether no worker can be reached. */
bool reach_is_lost(const struct reach *reach)
{
	return reach->lost;
}

/* Decides whether the path is lost.  Returns whether it has just been lost. */
bool reach_update(struct reach *reach, const struct reach_workers *workers,
		  int64_t now)
{
	if (reach->lost || reach->failed_count < REACH_FAILURES_MIN ||
	    now - reach->doubted_us < REACH_DOUBT_US)
		return false;
	if (workers->several_centres && !reach->failed_elsewhere)
		return false;
	reach->lost = true;
	return true;
}

/* Tells once whether the path was lost and is back. */
bool reach_take_regained(struct reach *reach)
{
	bool regained = reach->regained;

	reach->regained = false;
	return regained;
}

/*
 * Tells whether a worker is to be probed now to find out about the path, by one
 * of so many routers of a data centre.
 */
bool reach_take_probe(struct reach *reach, int routers, int64_t now)
{
	int64_t lost_us =
		REACH_LOST_PROBE_US * (1 + (routers - 1) / REACH_LOST_ROUTERS);

	if (!reach_is_doubted(reach) || now < reach->next_probe_us)
		return false;
	if (!reach->doubted_us)
		reach->doubted_us = now;
	reach->next_probe_us =
		now + (reach->lost ? lost_us : REACH_DOUBT_PROBE_US);
	reach->probes++;
	return true;
}
