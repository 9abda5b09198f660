#ifndef LOG_EVENTS_H
#define LOG_EVENTS_H

/*
 * The log events: LOG_EVENT(id, number, name, priority).  Each group of modules
 * has a range of numbers; a number is never reused for another event.
 * docs/EVENTS.md describes each event and what the operator should do.
 */

/* clang-format off */
#define LOG_EVENTS \
	/* 1000 cfg, set: objects and settings */ \
	LOG_EVENT(LOG_SET_BAD, 1001, "settings-refused", LOG_PRIO_ERR) \
	\
	/* 1100 pub: publishing the configuration */ \
	LOG_EVENT(LOG_CONFIG_APPLIED, 1101, "config-applied", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_CONFIG_STALE, 1102, "config-stale", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_CONFIG_DAMAGED, 1103, "config-damaged", LOG_PRIO_ERR) \
	LOG_EVENT(LOG_CONFIG_OFFER_REFUSED, 1104, "config-offer-refused", LOG_PRIO_WARNING) \
	\
	/* 2000 ldg: records of non-idempotent requests */ \
	LOG_EVENT(LOG_LDG_DOWN, 2001, "records-unreachable", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_LDG_UP, 2002, "records-reachable", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_LDG_BAD_SEGMENT, 2003, "record-segment-unreadable", LOG_PRIO_ERR) \
	\
	/* 3000 core, req: processing of a request */ \
	LOG_EVENT(LOG_REQ_REFUSED, 3001, "request-refused", LOG_PRIO_INFO) \
	LOG_EVENT(LOG_REQ_DISPATCHED, 3002, "request-dispatched", LOG_PRIO_INFO) \
	LOG_EVENT(LOG_REQ_DONE, 3003, "request-done", LOG_PRIO_INFO) \
	LOG_EVENT(LOG_REQ_ATTEMPT_FAILED, 3004, "attempt-failed", LOG_PRIO_INFO) \
	\
	/* 4000 flow, pick: chains of endpoints */ \
	LOG_EVENT(LOG_PICK_CHAIN, 4001, "chain-chosen", LOG_PRIO_INFO) \
	LOG_EVENT(LOG_PICK_EJECTED, 4002, "endpoint-ejected", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_PICK_RETURNED, 4003, "endpoint-returned", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_PICK_DEGRADED, 4004, "endpoint-degraded", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_PICK_RESTORED, 4005, "endpoint-restored", LOG_PRIO_NOTICE) \
	\
	/* 5000 adm, quar, urg: admission, limits, quarantine, urgency */ \
	LOG_EVENT(LOG_ADM_REFUSED, 5001, "admission-refused", LOG_PRIO_INFO) \
	LOG_EVENT(LOG_QUAR_SUSPECT, 5101, "request-suspected", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_QUAR_HELD, 5102, "request-quarantined", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_QUAR_CLEARED, 5103, "request-cleared", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_QUAR_TRAIT_HELD, 5104, "trait-quarantined", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_QUAR_TRAIT_CLEARED, 5105, "trait-cleared", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_URG_SHORT, 5201, "capacity-short", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_URG_ENOUGH, 5202, "capacity-regained", LOG_PRIO_NOTICE) \
	\
	/* 6000 peer, lim, rpc: membership and replication among peers */ \
	LOG_EVENT(LOG_PEER_UP, 6001, "peer-up", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_PEER_DOWN, 6002, "peer-down", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_PEER_ROLE, 6003, "peer-role", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_PEER_LEAVING, 6004, "endpoint-leaving", LOG_PRIO_NOTICE) \
	\
	/* 7000 plc: placement */ \
	LOG_EVENT(LOG_PLC_LEASE, 7001, "placement-lease", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_PLC_DECIDED, 7002, "placement-decided", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_PLC_ORDERED, 7003, "placement-ordered", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_PLC_PLACED, 7004, "placement-reached", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_PLC_DOWN, 7005, "engine-unread", LOG_PRIO_WARNING) \
	\
	/* 8000 daemon, front, ep: start and stop of the process */ \
	LOG_EVENT(LOG_STARTED, 8001, "started", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_STOPPING, 8002, "stopping", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_STOPPED, 8003, "stopped", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_START_FAILED, 8004, "start-failed", LOG_PRIO_ERR) \
	LOG_EVENT(LOG_DROPPED, 8005, "log-lines-dropped", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_STARTING, 8006, "starting", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_START_DELAYED, 8007, "start-delayed", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_METRICS_DELAYED, 8008, "metrics-delayed", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_HANGUP_IGNORED, 8010, "hangup-ignored", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_ACCEPT_FAILED, 8020, "accept-failed", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_CONNECTION_FAILED, 8021, "descriptor-missing", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_FILES, 8022, "descriptors", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_LIBRARY, 8023, "library-warning", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_BODY_REFUSED, 8024, "body-refused", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_RESPONSE_LOST, 8025, "response-lost", LOG_PRIO_ERR) \
	\
	/* 9000 pf: connection to the platform */ \
	LOG_EVENT(LOG_PF_DOWN, 9001, "platform-unreachable", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_PF_UP, 9002, "platform-reachable", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_PF_RETURNED, 9003, "store-returned", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_PF_SETTLED, 9004, "store-settled", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_PF_ERA_BAD, 9005, "store-era-unreadable", LOG_PRIO_ERR) \
	LOG_EVENT(LOG_PF_LIST_UNFINISHED, 9006, "store-list-unfinished", LOG_PRIO_ERR) \
	\
	/* 10000 the router on a platform */ \
	LOG_EVENT(LOG_EQ_SENT, 10001, "request-sent", LOG_PRIO_INFO) \
	LOG_EVENT(LOG_EQ_AGAIN, 10002, "request-again", LOG_PRIO_INFO) \
	LOG_EVENT(LOG_EQ_END, 10003, "request-ended", LOG_PRIO_INFO) \
	LOG_EVENT(LOG_EQ_REPAIRED, 10004, "chain-repaired", LOG_PRIO_INFO) \
	LOG_EVENT(LOG_EQ_NO_WORKER, 10005, "no-worker", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_EQ_FORWARDED, 10006, "request-forwarded", LOG_PRIO_INFO) \
	LOG_EVENT(LOG_EQ_FELL_BACK, 10007, "request-fell-back", LOG_PRIO_INFO) \
	LOG_EVENT(LOG_EQ_FORWARD_END, 10008, "forward-ended", LOG_PRIO_INFO) \
	LOG_EVENT(LOG_EQ_UNSENT, 10009, "send-taken-back", LOG_PRIO_INFO) \
	LOG_EVENT(LOG_WK_SEEN, 10101, "worker-seen", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_WK_GONE, 10102, "worker-gone", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_WK_LEAVING, 10103, "worker-leaving", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_WK_RESTARTED, 10104, "worker-restarted", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_WK_PATH_LOST, 10113, "path-lost", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_WK_PATH_BACK, 10114, "path-regained", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_WK_LAYERS, 10115, "worker-layers", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_WK_OTHER, 10116, "worker-other", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_WK_SUSPECT, 10105, "worker-suspected", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_WK_CLEARED, 10106, "worker-cleared", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_WK_UNREAD, 10107, "worker-unread", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_WK_HINT, 10108, "worker-hinted", LOG_PRIO_INFO) \
	LOG_EVENT(LOG_WK_UNRESPONSIVE, 10109, "worker-unresponsive", LOG_PRIO_INFO) \
	LOG_EVENT(LOG_WK_LIMIT, 10110, "worker-limit", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_WK_BACKOFF, 10111, "worker-backoff", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_WK_DIED, 10112, "worker-died", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_PLR_ORDERED, 10201, "layers-ordered", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_PLR_UNSURE, 10202, "order-unsure", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_PLR_COVER, 10203, "layers-cover", LOG_PRIO_INFO) \
	LOG_EVENT(LOG_PRES_PLACER, 10301, "placer", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_RT_TAKEN, 10401, "configuration-taken", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_RT_BAD, 10402, "configuration-bad", LOG_PRIO_ERR) \
	LOG_EVENT(LOG_SET_RELOADED, 10403, "settings-reloaded", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_EDGE_CENTRES, 10404, "data-centres-full", LOG_PRIO_ERR) \
	LOG_EVENT(LOG_RT_LAYERS, 10406, "model-too-large", LOG_PRIO_ERR) \
	LOG_EVENT(LOG_EDGE_GAP, 10407, "updates-missed", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_EDGE_BEHIND, 10408, "configuration-behind", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_EDGE_UNREADY, 10409, "router-not-ready", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_EDGE_MEMORY, 10405, "service-untracked", LOG_PRIO_ERR) \
	LOG_EVENT(LOG_REL_SOURCE, 10501, "store-source", LOG_PRIO_NOTICE) \
	LOG_EVENT(LOG_REL_BAD, 10502, "changes-rejected", LOG_PRIO_ERR) \
	LOG_EVENT(LOG_REL_TAKEN, 10503, "changes-taken", LOG_PRIO_INFO) \
	LOG_EVENT(LOG_REL_CUT, 10504, "changes-cut-off", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_HINT_DROPPED, 10601, "peer-datagrams-dropped", LOG_PRIO_WARNING) \
	LOG_EVENT(LOG_HINT_REFUTED, 10602, "peer-report-refuted", LOG_PRIO_WARNING)
/* clang-format on */

#define LOG_EVENT(id, number, name, prio) id = number,
enum log_id {
	LOG_EVENTS
};
#undef LOG_EVENT

#endif /* LOG_EVENTS_H */
