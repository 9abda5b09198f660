#ifndef CORE_INT_H
#define CORE_INT_H

/*
 * The tables of a core and the states of a request; internal to core and req.
 */

#include <urcu/list.h>

#include "adm.h"
#include "core.h"
#include "quar.h"
#include "shr.h"

#define CORE_BUCKETS	  1024
#define CORE_ATTEMPTS_MAX 4

/*
 * The states of a request.  Only the transition table in req.c moves a request
 * from one state to another.
 */
enum req_state {
	REQ_WAITING,	/* in an admission queue */
	REQ_RESERVING,	/* waits for the ledger to reserve the record */
	REQ_READY,	/* may be dispatched, waits for a free chain */
	REQ_RUNNING,	/* an attempt is at an endpoint */
	REQ_CANCELLING, /* the attempt is being probed or cancelled */
	REQ_CLOSING,	/* the caller has its answer; the attempt still runs */
	REQ_STATE_COUNT
};

enum req_event {
	REQ_EV_GRANT,	 /* selected by admission, with a chain if one exists */
	REQ_EV_LEDGER,	 /* the ledger returned a verdict */
	REQ_EV_PROGRESS, /* tokens arrived, or a stalled chain responded */
	REQ_EV_ENDED,	 /* the attempt ended */
	REQ_EV_CALLER_GONE, /* the caller disconnected */
	REQ_EV_DEADLINE,    /* the caller's deadline passed */
	REQ_EV_STALL,	    /* no progress in time, or no chain in time */
	REQ_EV_COUNT
};

struct core_req {
	struct cds_list_head bucket_node;
	struct cds_list_head all_node;
	struct cds_list_head ready_node; /* in core->ready while in REQ_READY */
	struct core_arrival arrival;
	enum req_state state;
	int account; /* index, -1 after the object was removed; also below */
	int service;
	int route;
	uint8_t intent[MAG_DIGEST_BYTES];
	int64_t arrived_us;
	int64_t deadline_us;
	int64_t stall_deadline_us; /* when the attempt counts as stalled */
	int64_t ready_deadline_us; /* REQ_READY: end of the wait for a chain */
	int64_t dispatched_us;
	int64_t first_token_us; /* of this attempt, 0 before the first token */
	uint32_t attempt;	/* number of the attempt, 0 before the first */
	uint32_t tokens;	/* delivered by all attempts */
	uint32_t tokens_before_attempt; /* tokens when this attempt began */
	struct pick_chain chain;
	uint32_t hop_us[MAG_CHAIN_MAX]; /* last report of this attempt */
	bool chain_held; /* pick counts this chain as in flight */
	struct pick_chain last_chain;
	bool has_last_chain;
	int avoid[CORE_AVOID_MAX];
	int avoid_count;
	uint32_t avoid_silent;	    /* a bit for each that only was silent */
	int stalled[MAG_CHAIN_MAX]; /* endpoints of the last stalled chain,
				       except the one that was blamed */
	int stalled_count;
	bool idempotent;
	bool keyed;	 /* a record in the ledger decides whether it may run */
	bool reserved;	 /* this request holds the record */
	bool taken_over; /* an earlier attempt of the key may have run */
	bool may_resend; /* endpoints run a downstream key at most once */
	bool may_have_run; /* some attempt of this request may have begun */
	bool answered;
	bool alone;	 /* a suspect: runs without other requests */
	uint32_t stalls; /* consecutive stalls in which every stage responded */
};

struct core {
	struct core_settings settings;
	struct cfg_set *set;
	struct pick *pick;
	struct adm *adm;
	struct quar *quar;
	struct ldg *ldg;
	struct shr *shr;
	struct cds_list_head buckets[CORE_BUCKETS];
	struct cds_list_head all;
	struct cds_list_head ready;
	struct cds_list_head events;  /* struct core_event_node */
	struct cds_list_head actions; /* struct core_action_node */
	uint32_t running;
	int64_t now;
	int64_t next_deadline_us; /* no request has an earlier deadline */
	bool stopping;
	bool stopped_reported;
};

struct core_req *core_find(struct core *core, uint64_t req);
void core_schedule_tick(struct core *core, int64_t deadline_us);
struct core_action *core_add_action(struct core *core,
				    enum core_action_type type);
void core_req_free(struct core *core, struct core_req *req);

/* req_arrive.c */
void req_arrive(struct core *core, const struct core_arrival *arrival);
void req_reserve(struct core *core, struct core_req *req);

/* req.c */
void req_handle(struct core *core, struct core_req *req, enum req_event event,
		void *data);
void req_enter(struct core_req *req, enum req_state state);
void req_enter_ready(struct core *core, struct core_req *req);
void req_ready_system(struct core *core);
void req_admit_system(struct core *core);
void req_deadline_system(struct core *core);

/* req_end.c */
void req_running_ended(struct core *core, struct core_req *req, void *data);
void req_cancelling_ended(struct core *core, struct core_req *req, void *data);
void req_closing_ended(struct core *core, struct core_req *req, void *data);
void req_finish_record(struct core *core, struct core_req *req);

/* req_run.c */
void req_dispatch(struct core *core, struct core_req *req,
		  const struct pick_chain *chain);
void req_hold_chain(struct core *core, struct core_req *req,
		    const struct pick_chain *chain);
void req_release_chain(struct core *core, struct core_req *req);
int req_choose_chain(struct core *core, struct core_req *req,
		     struct pick_chain *chain);
void req_end_attempt(struct core *core, struct core_req *req,
		     enum pick_result_kind kind, int at_stage,
		     uint32_t silent_stages);
void req_avoid_endpoint(struct core_req *req, int endpoint);
void req_avoid_silent(struct core_req *req, int endpoint);
void req_forget_silent(struct core_req *req);
void req_cancel(struct core *core, struct core_req *req, bool probe);
bool req_may_retry(struct core *core, struct core_req *req, int endpoint);
bool req_may_redispatch(struct core *core, struct core_req *req, int endpoint);

/* req_answer.c */
void req_refuse(struct core *core, struct core_req *req, int status,
		enum mag_outcome outcome, uint32_t retry_after_s,
		const char *why);
void req_refuse_arrival(struct core *core, const struct core_arrival *arrival,
			int status, const char *why);
void req_relay(struct core *core, struct core_req *req);
void req_replay(struct core *core, struct core_req *req,
		struct ldg_result *result);
enum mag_outcome req_outcome(const struct core_req *req);
uint32_t req_retry_after(struct core *core, const struct core_req *req);

#endif /* CORE_INT_H */
