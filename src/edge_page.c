#include "clk.h"
#include "edge.h"
#include "hint.h"
#include "jlog.h"

static void edge_on_readiness(void *ctx, struct hs_conn *conn);
static void edge_on_metrics(void *ctx, struct hs_conn *conn);
static void edge_write_files(const struct edge *edge, struct evbuffer *out);
static void edge_on_client_gone(void *ctx, struct hs_conn *conn, void *user);

/* The pages that the balancer and the operators' tools read. */
const struct hs_ops edge_readiness_ops = { edge_on_readiness,
					   edge_on_client_gone };
const struct hs_ops edge_metrics_ops = { edge_on_metrics, edge_on_client_gone };

static void edge_on_readiness(void *ctx, struct hs_conn *conn)
{
	struct edge *edge = ctx;
	int64_t now = clk_boot_us();
	bool ready = edge_is_ready(edge, now);

	/* Peers serve the callers of a router that has lost its path. */
	if (!ready && reach_is_lost(&edge->workers.reach))
		ready = edge_may_serve(edge, now) &&
			hint_count_servers(edge->hint, now) > 0;

	hs_reply(conn, ready ? 200 : 503, NULL, NULL, 0);
}

static void edge_on_metrics(void *ctx, struct hs_conn *conn)
{
	struct edge *edge = ctx;
	struct evbuffer *out = evbuffer_new();

	if (!out) {
		hs_reply(conn, 503, NULL, NULL, 0);
		return;
	}
	met_write(&edge->met, out);
	met_urgent_write(&edge->met_urgent, clk_boot_us(), out);
	evbuffer_add_printf(out,
			    "magnolia_requests_open %d\n"
			    "magnolia_workers %d\n"
			    "magnolia_store_calls_total %llu\n"
			    "magnolia_store_era %lld\n"
			    "magnolia_log_lines_dropped_total %llu\n",
			    edge->request_count, edge->workers.count,
			    (unsigned long long)sto_calls(edge->sto),
			    (long long)sto_era(edge->sto),
			    (unsigned long long)jlog_dropped());
	edge_write_files(edge, out);
	hint_write_metrics(edge->hint, out);
	rel_write_metrics(edge->rel, clk_boot_us(), out);
	hs_reply(conn, 200, "Content-Type: text/plain; version=0.0.4\r\n",
		 evbuffer_pullup(out, -1), evbuffer_get_length(out));
	evbuffer_free(out);
}

static void edge_write_files(const struct edge *edge, struct evbuffer *out)
{
	evbuffer_add_printf(
		out,
		"magnolia_caller_connections %d\n"
		"magnolia_sent_connections %d\n"
		"magnolia_descriptors_max %llu\n"
		"magnolia_accept_failures_total %llu\n"
		"magnolia_descriptors_missing_total %llu\n"
		"magnolia_bodies_refused_total %llu\n",
		hs_connections(edge->callers), hc_connections(edge->hc),
		(unsigned long long)edge->files_max,
		(unsigned long long)hs_accept_failures(edge->callers),
		(unsigned long long)hc_open_failures(edge->hc),
		(unsigned long long)hs_bodies_refused(edge->callers));
}

static void edge_on_client_gone(void *ctx, struct hs_conn *conn, void *user)
{
	(void)ctx;
	(void)conn;
	(void)user;
}
