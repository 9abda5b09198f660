#ifndef EQ_H
#define EQ_H

/* The life of one request on a router: arrive, wait, send, answer, end. */

#include <stdbool.h>
#include <stdint.h>

#include "chn.h"
#include "edge.h"
#include "evs.h"
#include "pl_header.h"

#define EQ_AVOID_MAX 16
/* Text of a chain in the log: 32 ids of 16 letters, each with its layers. */
#define EQ_CHAIN_TEXT 768

enum eq_state {
	EQ_WAITING, /* for a place at a worker */
	EQ_SENT,    /* with a worker, nothing has gone to the caller */
	EQ_STREAMS, /* events have gone to the caller */
};

/* A worker that runs a part of the request. */
struct eq_hop {
	struct wk *worker;
	int from;
	int to;
	double held; /* tokens x layers taken from its memory */
};

struct eq_repair;

struct eq {
	struct cds_list_head node; /* all requests, by arrival */
	struct edge *edge;
	struct hs_conn *caller;
	struct rt_set *rt; /* the set that it began with */
	const struct rt_route *route;
	const struct rt_service *service;
	const char *account; /* NULL: the route needs none */
	struct pl_request asks;
	uint8_t print[MAG_DIGEST_BYTES];
	enum eq_state state;

	int64_t arrived_us;
	int64_t deadline_us; /* the final answer is out by then */
	int64_t aim_us;	     /* an answer, or its first event, is in time */
	int64_t wait_until_us;
	int64_t sent_us;
	int64_t progress_us; /* of this attempt: its send, or its last event */
	int64_t asked_us;    /* when its workers were asked last */
	int64_t repaired_us; /* its chain was repaired last; 0: never */
	int64_t gap_us;	     /* longest pause so far */
	int64_t pace_us;     /* time between events, smoothed; 0: unknown */
	int64_t first_us;    /* first event handed on, 0: none */

	struct eq_hop hops[CHN_HOPS_MAX];
	int hop_count;
	struct hc_call *call;
	struct eq_repair *repair; /* a repair is on its way; NULL: none */
	int repairs;		  /* repairs of this attempt's chain */
	int sends;		  /* to workers, refused ones too */
	int runs;		  /* of these, what may have run */
	bool may_have_run;
	char avoid[EQ_AVOID_MAX][WIRE_ID_MAX];
	int avoid_count;

	/* The answer of the attempt in progress. */
	int status;
	struct pl_response says;
	char at_fault[MAG_ADDR_MAX];
	bool answered; /* its header has come */
	bool garbled;
	struct evbuffer *fields;
	struct evbuffer *body;
	struct evs events;
	int64_t last_event; /* handed on to the caller; -1: none */
};

/* eq.c */
void eq_arrive(void *ctx, struct hs_conn *conn);
void eq_caller_gone(void *ctx, struct hs_conn *conn, void *user);
void eq_tick(struct edge *edge, int64_t now);
/* When a refused caller should come back. */
enum eq_retry {
	EQ_RETRY_NEVER,
	EQ_RETRY_ELSEWHERE, /* at once: another router takes it */
	EQ_RETRY_SOON,	    /* when the worker at fault is known */
	EQ_RETRY_LATER,	    /* when the present load has drained */
};

void eq_refuse(struct eq *eq, int status, enum eq_retry retry, const char *why);
void eq_fail(struct eq *eq, int status, const char *why);
void eq_finish(struct eq *eq);

/* eq_send.c */
void eq_try(struct eq *eq, int64_t now);
void eq_release(struct eq *eq);
bool eq_avoids(const struct eq *eq, const struct wk *wk);
void eq_avoid(struct eq *eq, const struct wk *wk);
void eq_blame(struct eq *eq, struct wk *wk, int64_t now);

/* eq_chain.c */
enum eq_choice {
	EQ_CHOSEN,
	EQ_BUSY, /* all are at their limit */
	EQ_NONE, /* there is no worker for it */
};

enum eq_choice eq_choose_chain(struct eq *eq, int64_t now);
bool eq_choose_repair(struct eq *eq, int64_t now);
void eq_cover_tick(struct edge *edge, int64_t now);
void eq_take_hop(struct eq *eq, struct wk *wk, int from, int to);
int eq_wire_hops(const struct eq *eq, struct wire_hop *hops);
const struct eq_hop *eq_hop_of(const struct eq *eq, const struct wk *wk);
struct wk *eq_hop_at(const struct eq *eq, const char *address);
const char *eq_chain_text(const struct eq *eq, char *dst, size_t size);

/* eq_repair.c */
bool eq_repair_start(struct eq *eq, struct wk *fault, int64_t now);
void eq_repair_cancel(struct eq *eq);

/* eq_answer.c */
extern const struct hc_ops eq_ops;
void eq_again(struct eq *eq, const char *why);

/* eq_stall.c */
void eq_stall_tick(struct edge *edge, int64_t now);
void eq_passed(struct eq *eq, int64_t now);
void eq_restart(struct eq *eq, const char *why);
void eq_on_report(struct edge *edge, struct wk *wk,
		  const struct wire_report *report, int64_t now);
void eq_on_suspect(struct edge *edge, struct wk *wk, int64_t now);

#endif /* EQ_H */
