#ifndef CNT_H
#define CNT_H

#include <stdint.h>
#include <stdio.h>

/*
 * Counters of this instance: CNT_COUNTER(id, name, help).  /metrics shows the
 * name with the prefix "magnolia_".
 */
/* clang-format off */
#define CNT_COUNTERS \
	/* core, req */ \
	CNT_COUNTER(CNT_REQ_OFFERED, "requests_offered_total", "requests that arrived") \
	CNT_COUNTER(CNT_REQ_RAN, "requests_ran_total", "requests answered with outcome ran") \
	CNT_COUNTER(CNT_REQ_NOT_RUN, "requests_not_run_total", "requests answered with outcome not-run") \
	CNT_COUNTER(CNT_REQ_UNKNOWN, "requests_unknown_total", "requests answered with outcome unknown") \
	\
	/* ldg: ldg_att.c indexes them by enum ldg_verdict */ \
	CNT_COUNTER(CNT_LDG_RESERVED, "records_reserved_total", "keyed requests that were reserved") \
	CNT_COUNTER(CNT_LDG_TAKEN_OVER, "records_taken_over_total", "keyed requests that took an ambiguous record over") \
	CNT_COUNTER(CNT_LDG_REPLAY, "records_replayed_total", "keyed requests answered from the record") \
	CNT_COUNTER(CNT_LDG_IN_PROGRESS, "records_in_progress_total", "keyed requests told that another one is in progress") \
	CNT_COUNTER(CNT_LDG_AMBIGUOUS, "records_held_total", "keyed requests told that an earlier one may have run") \
	CNT_COUNTER(CNT_LDG_MISMATCH, "records_mismatch_total", "keys that came with another body") \
	CNT_COUNTER(CNT_LDG_NOT_RUN, "records_not_run_total", "keyed requests refused, proved that nothing ran") \
	CNT_COUNTER(CNT_LDG_UNKNOWN, "records_cannot_tell_total", "keyed requests refused with the records out of reach") \
	\
	/* peer, spread, rpc */ \
	CNT_COUNTER(CNT_PEER_SENT, "peer_messages_sent_total", "heartbeats handed to the network") \
	CNT_COUNTER(CNT_PEER_RECEIVED, "peer_messages_received_total", "heartbeats taken") \
	CNT_COUNTER(CNT_PEER_DROP_CLUSTER, "peer_dropped_cluster_total", "messages of another cluster") \
	CNT_COUNTER(CNT_PEER_DROP_VERSION, "peer_dropped_version_total", "messages of an unknown version") \
	CNT_COUNTER(CNT_PEER_DROP_MALFORMED, "peer_dropped_form_total", "malformed messages") \
	CNT_COUNTER(CNT_PEER_DROP_OLD, "peer_dropped_old_total", "messages that came late or twice") \
	CNT_COUNTER(CNT_PEER_DROP_UNKNOWN, "peer_dropped_stranger_total", "messages of an unknown instance") \
	CNT_COUNTER(CNT_PEER_DROP_FULL, "peer_dropped_full_total", "messages that found no room") \
	CNT_COUNTER(CNT_SPREAD_FULL, "spread_records_refused_total", "records that found no room") \
	CNT_COUNTER(CNT_RPC_MALFORMED, "rpc_malformed_total", "datagrams and calls that no instance of this version sends") \
	CNT_COUNTER(CNT_RPC_SEND_FAILED, "rpc_sends_failed_total", "heartbeats that the kernel took no more of") \
	CNT_COUNTER(CNT_RPC_SERVED, "rpc_pieces_served_total", "pieces of the configuration given to peers") \
	CNT_COUNTER(CNT_RPC_EDITS_SERVED, "rpc_edits_served_total", "edits of the configuration given to peers") \
	CNT_COUNTER(CNT_RPC_EDITS_TAKEN, "rpc_edits_taken_total", "edits from peers that led to a new revision here") \
	CNT_COUNTER(CNT_RPC_FETCHED, "rpc_fetches_total", "configurations fetched from peers") \
	CNT_COUNTER(CNT_RPC_FETCH_FAILED, "rpc_fetches_failed_total", "fetches from peers that failed") \
	\
	/* pf */ \
	CNT_COUNTER(CNT_PF_CALLS, "platform_calls_total", "calls to the platform's service, waiting watches included") \
	CNT_COUNTER(CNT_PF_GETS, "platform_gets_total", "reads of a key") \
	CNT_COUNTER(CNT_PF_WATCHES, "platform_watches_total", "watches, each counted once however long it waits") \
	CNT_COUNTER(CNT_PF_SWAPS, "platform_swaps_total", "compare-and-swap writes") \
	CNT_COUNTER(CNT_PF_DELETES, "platform_deletes_total", "deletions of a key") \
	CNT_COUNTER(CNT_PF_LEASE_ACQUIRES, "platform_lease_takes_total", "leases taken or renewed") \
	CNT_COUNTER(CNT_PF_LEASE_RELEASES, "platform_lease_drops_total", "leases given back") \
	CNT_COUNTER(CNT_PF_INSTANCES, "platform_instance_lists_total", "reads of the list of instances") \
	CNT_COUNTER(CNT_PF_LOADS, "platform_load_reports_total", "reads of the load reports") \
	CNT_COUNTER(CNT_PF_FAILURES, "platform_failures_total", "calls that got no answer")
/* clang-format on */

#define CNT_COUNTER(id, name, help) id,
enum cnt_id {
	CNT_COUNTERS CNT_COUNT
};
#undef CNT_COUNTER

void cnt_add(enum cnt_id id, uint64_t n);
uint64_t cnt_get(enum cnt_id id);
void cnt_write(FILE *out);

#endif /* CNT_H */
