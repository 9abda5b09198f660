#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <sodium.h>

#include "clk.h"
#include "edge.h"
#include "eq.h"
#include "hint.h"
#include "jlog.h"
#include "lsn.h"
#include "quar_keep.h"
#include "wkp.h"

/*
 * Number of remembered requests that crashed workers, and how long each is
 * remembered.
 */
#define EDGE_QUARANTINE_MAX 4096
#define EDGE_QUARANTINE_US  (60 * MAG_US_PER_S)
/*
 * The same of what requests have in common: most entries are traits of sound
 * requests.  Each end of a quarantine costs a worker, if the trait is harmful.
 */
#define EDGE_TRAITS_MAX	      8192
#define EDGE_TRAITS_US	      (600 * MAG_US_PER_S)
#define EDGE_METRICS_RETRY_US MAG_US_PER_S
#define EDGE_METRICS_LOG_US   (60 * MAG_US_PER_S)
#define EDGE_WHY_MAX	      256
#define EDGE_ADDRESS_MAX      (MAG_ADDR_MAX * 2)

/* The sockets that a router needs; -1: not open. */
enum edge_socket {
	EDGE_SOCKET_READINESS,
	EDGE_SOCKET_PEERS, /* datagrams */
	EDGE_SOCKET_RELAY,
	EDGE_SOCKET_CALLERS, /* last: who connects is served at once */
	EDGE_SOCKETS,
};

static enum edge_start edge_open_sockets(const struct eset *set, int *fds,
					 char *why, size_t why_size);
static void edge_close_sockets(int *fds);
static int edge_open_metrics(struct edge *edge, char *why, size_t why_size);
static int edge_start_modules(struct edge *edge, const int *fds, char *why,
			      size_t why_size);
static int edge_serve(struct edge *edge, const int *fds,
		      const struct pres_peer *self);
static void edge_describe(const struct edge *edge, struct pres_peer *self);

/*
 * Starts the router by its settings, on an event loop.  Nothing is started, and
 * nothing written to the store, before all addresses are available: the process
 * before this one may still have them.  Returns EDGE_START_WAITS if one of them
 * is not, EDGE_START_FAILED if the router can't start; why says what is
 * missing.
 */
enum edge_start edge_start(struct edge *edge, char *why, size_t why_size)
{
	int fds[EDGE_SOCKETS];
	enum edge_start rc = edge_open_sockets(&edge->set, fds, why, why_size);

	if (rc != EDGE_STARTED)
		return rc;
	if (edge_open_metrics(edge, why, why_size) == LSN_E_ADDRESS) {
		edge_close_sockets(fds);
		return EDGE_START_FAILED;
	}
	snprintf(why, why_size, "out of memory");
	if (edge_start_modules(edge, fds, why, why_size))
		return EDGE_START_FAILED;
	edge_retry_metrics(edge, clk_boot_us());
	return EDGE_STARTED;
}

/*
 * Serves the metrics as soon as their address is available.  A router without
 * them serves its callers.
 */
void edge_retry_metrics(struct edge *edge, int64_t now)
{
	char why[EDGE_WHY_MAX];

	if (edge->metrics || now < edge->metrics_retry_us)
		return;
	if (edge_open_metrics(edge, why, sizeof(why)) != LSN_OK &&
	    now >= edge->metrics_log_us) {
		edge->metrics_log_us = now + EDGE_METRICS_LOG_US;
		jlog(LOG_METRICS_DELAYED, "\"why\":\"%s\"",
		     jlog_sanitize(why, sizeof(why), why));
	}
	edge->metrics_retry_us = now + EDGE_METRICS_RETRY_US;
}

/* Opens the metrics.  Returns an error of lsn_open(), and the reason in why. */
static int edge_open_metrics(struct edge *edge, char *why, size_t why_size)
{
	char address[EDGE_ADDRESS_MAX];
	int fd;
	int rc;

	snprintf(address, sizeof(address), "%s:%d", edge->set.address,
		 edge->set.metrics_port);
	rc = lsn_open(address, LSN_TCP, &fd);
	if (rc) {
		snprintf(why, why_size, "%s: %s", address, strerror(errno));
		return rc;
	}
	if (hs_serve(edge->base, fd, &edge_metrics_ops, edge, &edge->metrics)) {
		edge->metrics = NULL;
		snprintf(why, why_size, "out of memory");
		return LSN_E_BUSY;
	}
	return LSN_OK;
}

/* Opens all sockets that a router needs, or none. */
static enum edge_start edge_open_sockets(const struct eset *set, int *fds,
					 char *why, size_t why_size)
{
	char peers[EDGE_ADDRESS_MAX];
	const struct {
		const char *address;
		enum lsn_type type;
	} wanted[EDGE_SOCKETS] = {
		[EDGE_SOCKET_READINESS] = { set->readiness, LSN_TCP },
		[EDGE_SOCKET_PEERS] = { peers, LSN_UDP },
		[EDGE_SOCKET_RELAY] = { peers, LSN_TCP },
		[EDGE_SOCKET_CALLERS] = { set->callers, LSN_TCP },
	};
	int rc;
	int i;

	snprintf(peers, sizeof(peers), "%s:%d", set->address, set->peer_port);
	for (i = 0; i < EDGE_SOCKETS; i++)
		fds[i] = -1;
	for (i = 0; i < EDGE_SOCKETS; i++) {
		rc = lsn_open(wanted[i].address, wanted[i].type, &fds[i]);
		if (rc == LSN_OK)
			continue;
		snprintf(why, why_size, "%s: %s", wanted[i].address,
			 strerror(errno));
		edge_close_sockets(fds);
		return rc == LSN_E_BUSY ? EDGE_START_WAITS : EDGE_START_FAILED;
	}
	return EDGE_STARTED;
}

static void edge_close_sockets(int *fds)
{
	int i;

	for (i = 0; i < EDGE_SOCKETS; i++) {
		if (fds[i] >= 0)
			close(fds[i]);
	}
}

/* Creates all modules.  Returns -1 if that fails; the process then ends. */
static int edge_start_modules(struct edge *edge, const int *fds, char *why,
			      size_t why_size)
{
	static const struct wkp_ops probe_ops = { eq_on_suspect, eq_on_report,
						  hint_own_limit_part };
	struct pres_settings presence = { 0 };

	randombytes_buf(&edge->seed, sizeof(edge->seed));
	randombytes_buf(&presence.incarnation, sizeof(presence.incarnation));
	edge->seed |= 1;
	edge->started_us = clk_boot_us();
	era_start(&edge->era, edge->started_us);
	attest_init(&edge->attest, (uint32_t)presence.incarnation,
		    edge_random(edge));
	CDS_INIT_LIST_HEAD(&edge->requests);
	edge->hc = hc_new(edge->base);
	wkp_set_ops(edge, &probe_ops);
	edge->quar = quar_new(EDGE_QUARANTINE_MAX, EDGE_QUARANTINE_US);
	edge->traits = quar_traits_new(EDGE_TRAITS_MAX, EDGE_TRAITS_US);
	edge->keep = quar_keep_new(edge);
	if (!edge->hc || !edge->quar || !edge->traits || !edge->keep)
		return -1;
	wk_init(&edge->workers, edge->hc);
	edge_init(edge);
	edge_data_centre_index(edge, edge->set.data_centre);
	if (sto_new(edge->hc, edge->set.store, edge_random(edge), &edge->sto)) {
		snprintf(why, why_size, "store %s", edge->set.store);
		return -1;
	}
	edge_describe(edge, &presence.self);
	presence.lease_ms_min = edge->set.store_lease_ms_min;
	presence.first_start = edge->set.first_start;
	edge->pres = pres_new(edge->sto, &presence);
	return edge->pres ? edge_serve(edge, fds, &presence.self) : -1;
}

/* Serves peers, the balancer and callers on the open sockets. */
static int edge_serve(struct edge *edge, const int *fds,
		      const struct pres_peer *self)
{
	static const struct hs_ops callers = { eq_on_request,
					       eq_on_caller_gone };
	static const struct hs_ops forwarded = { eq_on_forwarded,
						 eq_on_caller_gone };

	if (hint_new(edge, fds[EDGE_SOCKET_PEERS], &edge->hint) ||
	    edge_follow(edge, self, fds[EDGE_SOCKET_RELAY], &forwarded) ||
	    hs_serve(edge->base, fds[EDGE_SOCKET_READINESS],
		     &edge_readiness_ops, edge, &edge->readiness) ||
	    hs_serve(edge->base, fds[EDGE_SOCKET_CALLERS], &callers, edge,
		     &edge->callers))
		return -1;
	return 0;
}

/* Describes this router as other routers see it. */
static void edge_describe(const struct edge *edge, struct pres_peer *self)
{
	char address[EDGE_ADDRESS_MAX];

	snprintf(address, sizeof(address), "%s:%d", edge->set.address,
		 edge->set.peer_port);
	mag_copy_name(self->name, sizeof(self->name), edge->set.instance);
	mag_copy_name(self->address, sizeof(self->address), address);
	mag_copy_name(self->data_centre, sizeof(self->data_centre),
		      edge->set.data_centre);
	self->link_mbps = edge->set.link_mbps;
}
