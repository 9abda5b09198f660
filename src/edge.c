#include <stdio.h>
#include <string.h>

#include "edge.h"
#include "jlog.h"

/* Part of its slack that a router has at its start. */
#define EDGE_SLACK_AT_START 0.25
/*
 * A router without any chain counts as not ready after this: longer than a
 * worker is held off for one refusal, shorter than a restart.
 */
#define EDGE_CHAINLESS_US (600 * MAG_US_PER_MS)
/* Part of a pipe between data centres that streams may take together. */
#define EDGE_PIPE_SHARE 0.5

/* Returns the number of a data centre, a new one for a new name. */
int edge_data_centre_index(struct edge *edge, const char *name)
{
	int i;

	for (i = 0; i < edge->data_centre_count; i++) {
		if (strcmp(edge->data_centres[i], name) == 0)
			return i;
	}
	if (i == EDGE_DATA_CENTRES_MAX)
		return EDGE_DATA_CENTRES_MAX - 1;
	snprintf(edge->data_centres[i], sizeof(edge->data_centres[i]), "%s",
		 name);
	return edge->data_centre_count++;
}

/*
 * Returns the budget of second sends to a service.  This instance's part of
 * the slack is what divides it over the most instances seen so far, and half
 * as many again that may have just come.  A process that has just started
 * has little slack: its predecessor may have spent it in the same window, and
 * routers that are restarted in turn would each spend it anew.
 */
struct bud *edge_budget(struct edge *edge, const char *service, int64_t now)
{
	int routers = 1 + pres_peer_count(edge->pres);
	double slack;
	double share;
	struct edge_budget *budget;
	int i;

	if (routers > edge->max_routers_seen)
		edge->max_routers_seen = routers;
	share = (double)(now - edge->started_us) /
			(double)edge->set.retry_window_us -
		1;
	if (share > 1 || edge->set.first_start)
		share = 1;
	if (share < EDGE_SLACK_AT_START)
		share = EDGE_SLACK_AT_START;
	slack = share * edge->set.retry_slack /
		(edge->max_routers_seen * 1.5 + 1);
	for (i = 0; i < edge->budget_count; i++) {
		if (strcmp(edge->budgets[i].service, service) == 0)
			break;
	}
	if (i == EDGE_BUDGETS_MAX)
		i = EDGE_BUDGETS_MAX - 1;
	budget = &edge->budgets[i];
	if (i == edge->budget_count) {
		edge->budget_count++;
		snprintf(budget->service, sizeof(budget->service), "%s",
			 service);
		bud_init(&budget->bud, edge->set.retry_window_us,
			 edge->set.retry_ratio, slack);
	}
	bud_set_slack(&budget->bud, slack);
	return &budget->bud;
}

/*
 * Tells whether a chain may lead through two data centres now.
 *
 * Load pattern: layers are lost, every router finds chains through another
 * data centre, and the one pipe between the two takes all of their prompts,
 * one after the other.  Beyond its capacity every stream on it stands still
 * until its caller leaves, and is sent again.  Each router therefore keeps to
 * its part of half a pipe; what does not fit is refused at once.
 */
bool edge_may_cross_data_centres(struct edge *edge,
				 const struct rt_engine *engine, int64_t now)
{
	double bytes_per_s =
		engine->link_mbps * 1e6 / 8 * EDGE_PIPE_SHARE /
		(edge->max_routers_seen > 0 ? edge->max_routers_seen : 1);

	edge->crossing_budget_bytes +=
		bytes_per_s * (double)(now - edge->crossing_budget_us) /
		MAG_US_PER_S;
	edge->crossing_budget_us = now;
	if (edge->crossing_budget_bytes > bytes_per_s)
		edge->crossing_budget_bytes = bytes_per_s;
	return edge->crossing_budget_bytes > 0;
}

/*
 * Returns how many routers a data centre has, if they are spread evenly:
 * those that meet the same fault at the same moment.
 */
int edge_routers_per_data_centre(const struct edge *edge)
{
	int routers = 1 + pres_peer_count(edge->pres);

	if (edge->data_centre_count > 1)
		routers = (routers + edge->data_centre_count - 1) /
			  edge->data_centre_count;
	return routers;
}

/* Draws a number for choices and spreads, not for secrets. */
uint64_t edge_random(struct edge *edge)
{
	return mag_random(&edge->seed);
}

/*
 * Tells whether there is a configuration to serve by.  A router that starts
 * after the store came back from a copy may read an older one than is in
 * force: it waits for the word of its peers, and for the operator to write
 * again what they name.
 */
bool edge_has_config(const struct edge *edge, int64_t now)
{
	if (!edge->rt)
		return false;
	if (edge->attest.fresh_us)
		return true;
	return edge->rt->version >= edge->newest_peer_version &&
	       era_may_begin(&edge->era, sto_era(edge->sto) != POS_ERA_NONE,
			     now);
}

/*
 * Tells whether this router should get callers.  One that is cut off from the
 * store cannot check keys much longer, and one that reaches no whole copy of
 * the model can run no stream: callers are better served by others, if there
 * are any.
 */
bool edge_is_ready(const struct edge *edge, int64_t now)
{
	if (!edge_has_config(edge, now) || !edge->workers_listed ||
	    edge->stopping)
		return false;
	if (edge->was_covered && edge->uncovered_since_us &&
	    now - edge->uncovered_since_us > EDGE_CHAINLESS_US)
		return false;
	return !edge->rt->has_accounts || !edge->set.keys_fail_closed ||
	       !attest_soon_untrusted(&edge->attest, edge->set.keys_stale_us,
				      now);
}
