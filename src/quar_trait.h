#ifndef QUAR_TRAIT_H
#define QUAR_TRAIT_H

/*
 * Quarantine of what requests have in common: a part of their prompts, or path
 * and body, whatever their callers.  Pure.
 *
 * Load pattern: requests that differ in path, caller or body crash each
 * endpoint that begins them, because of one trait that they share; to quar each
 * of them is a new one.  Their other traits, and those of requests that begin
 * beside them, belong to sound requests as well, which must be served.
 *
 * A trait is suspected of the loss of an endpoint if a request with it was
 * beginning there.  A run with it that began after the loss and did well clears
 * it, because a trait that crashes endpoints crashes each of them.  Few losses
 * quarantine a trait of which no run has done well before; more are needed of
 * others, and time in which another run would have cleared them.  Endpoints
 * that are lost at the same moment count as one.  Losses that have one request
 * in common are left to quar.
 *
 * Where losses speak against several traits alike, or against one and against
 * two others that together explain them, all of them are quarantined in doubt,
 * and each is tried by one request.  It clears the trait, or is one loss more;
 * once one trait is left that explains the losses, these are no evidence
 * against anything else.
 */

#include <stdbool.h>
#include <stdint.h>

#include "quar.h"

/* Endpoints lost that quarantine a trait of which no run has done well ... */
#define QUAR_TRAIT_LOSSES 3
/* ... and one of which some have. */
#define QUAR_TRAIT_KNOWN_LOSSES 5
/* Requests that are recorded of a trait at one endpoint. */
#define QUAR_TRAIT_REQUESTS 2
/* Both together: trials cost a few endpoints more than those. */
#define QUAR_TRAIT_PAIRS 16

enum quar_trait_kind {
	QUAR_TRAIT_PART,    /* of a prompt */
	QUAR_TRAIT_CONTENT, /* path and body */
};

struct quar_trait {
	uint64_t value;
	uint32_t service; /* hash of the name; endpoints of others differ */
	enum quar_trait_kind kind;
};

/* Traits of one request. */
#define QUAR_TRAITS_MAX 17

struct quar_trait_list {
	struct quar_trait list[QUAR_TRAITS_MAX];
	int count;
};

/* A loss under a trait, or that a run did well, as instances report it. */
struct quar_trait_report {
	struct quar_trait trait;
	int64_t age_us;	   /* since the loss, or since the run began */
	uint32_t endpoint; /* identity of the endpoint's process */
	uint32_t request;  /* hash of the request */
	bool did_well;	   /* endpoint and request are not set */
	bool known;	   /* runs with the trait have done well before */
	bool held;	   /* the reporting instance quarantines the trait */
	bool in_doubt;	   /* it does so with others */
};

struct quar_traits;

struct quar_traits *quar_traits_new(uint32_t max_entries, int64_t hold_us);
void quar_traits_free(struct quar_traits *traits);

/* quar_trait.c */
enum quar_state quar_trait_check(struct quar_traits *traits,
				 const struct quar_trait *trait, int64_t now);
void quar_trait_did_well(struct quar_traits *traits,
			 const struct quar_trait *trait, int64_t begun_us,
			 int64_t now);
void quar_trait_add_loss(struct quar_traits *traits,
			 const struct quar_trait_report *loss, int64_t now);
void quar_trait_hear(struct quar_traits *traits,
		     const struct quar_trait_report *report, int64_t now);

bool quar_trait_is_in_doubt(const struct quar_traits *traits,
			    const struct quar_trait *trait, int64_t now);
bool quar_trait_take_trial(struct quar_traits *traits,
			   const struct quar_trait *trait, int rank,
			   int64_t now);

/* quar_trait_judge.c */
void quar_traits_tick(struct quar_traits *traits, int64_t now);
bool quar_traits_explain(const struct quar_traits *traits, uint32_t endpoint);
bool quar_traits_next_explained(struct quar_traits *traits, uint32_t *endpoint);

/* quar_trait_kept.c */
const char *quar_trait_kind_name(enum quar_trait_kind kind);
bool quar_trait_next_unkept(struct quar_traits *traits,
			    struct quar_trait *trait, int64_t *since_us,
			    int64_t now);
void quar_trait_set_kept(struct quar_traits *traits,
			 const struct quar_trait *trait);
void quar_trait_restore(struct quar_traits *traits,
			const struct quar_trait *trait, int64_t now);
void quar_trait_lift(struct quar_traits *traits, const struct quar_trait *trait,
		     int64_t now);

/* quar_trait_report.c */
int quar_traits_collect(struct quar_traits *traits,
			struct quar_trait_report *reports, int max,
			int64_t now);
int quar_traits_held(const struct quar_traits *traits, int *index,
		     struct quar_trait_report *reports, int max, int64_t now);
enum quar_alert quar_traits_take_alert(struct quar_traits *traits);

#endif /* QUAR_TRAIT_H */
