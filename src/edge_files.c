#include "edge.h"
#include "fd.h"
#include "jlog.h"

/* Connections of the balancer, and of the operators' tools. */
#define EDGE_READINESS_CONNECTIONS 16
#define EDGE_METRICS_CONNECTIONS   6

/*
 * Raises the limit on descriptors to what the settings allow, at the start and
 * when they change.  A lower limit of the machine is used as it is.
 */
void edge_allow_files(struct edge *edge)
{
	int rc;

	if (edge->files_max && edge->open_files == edge->set.open_files)
		return;
	edge->open_files = edge->set.open_files;
	rc = fd_allow((uint64_t)edge->set.open_files, &edge->files_max);
	jlog(LOG_FILES, "\"open_files\":%d,\"in_force\":%llu,\"raised\":%s",
	     edge->open_files, (unsigned long long)edge->files_max,
	     rc ? "false" : "true");
}

/* Divides the descriptors among the kinds of connections, at each tick. */
void edge_share_files(struct edge *edge)
{
	struct fd_shares shares =
		fd_share(edge->files_max, hs_connections(edge->callers),
			 rel_connections(edge->rel), hc_connections(edge->hc));

	hs_set_connections_max(edge->callers, shares.callers);
	rel_set_connections_max(edge->rel, shares.forwarded);
	hc_set_connections_max(edge->hc, shares.sent);
	hs_set_connections_max(edge->readiness, EDGE_READINESS_CONNECTIONS);
	if (edge->metrics)
		hs_set_connections_max(edge->metrics, EDGE_METRICS_CONNECTIONS);
}
