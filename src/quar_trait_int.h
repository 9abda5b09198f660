#ifndef QUAR_TRAIT_INT_H
#define QUAR_TRAIT_INT_H

/* Parts of quar_trait: the table, the judgement and the reports. */

#include <urcu/list.h>

#include "htab.h"
#include "log.h"
#include "quar_trait.h"

/* Messages that report something seen here. */
#define QUAR_TRAIT_OWN_REPORTS 3
/* Explained losses that are remembered, as reports of them arrive later. */
#define QUAR_EXPLAINED_MAX 64
#define QUAR_TRAIT_UNSEEN  INT64_MIN /* no run has done well */

/* A request with the trait that was beginning on an endpoint when it died. */
struct quar_trait_pair {
	uint32_t endpoint;
	uint32_t request;
	int64_t at_us; /* time of the loss */
	int64_t learned_us;
	int reports_left; /* messages that still report it */
	bool relayed;	  /* it has been passed on */
	bool first;	  /* of its endpoint */
};

struct quar_trait_entry {
	struct htab_node by_trait;
	/* In traits.sound or traits.suspects, least recently changed first. */
	struct cds_list_head by_age;
	struct cds_list_head in_reports;
	struct quar_trait trait;

	/* Losses that nothing else explains and no run has cleared. */
	struct quar_trait_pair *pairs; /* QUAR_TRAIT_PAIRS, or NULL */
	int pair_count;

	int64_t well_us;  /* when the latest run that did well began */
	int runs;	  /* that did well here */
	bool known;	  /* one did well, here or elsewhere */
	int well_reports; /* messages that still report well_us */

	int64_t held_until_us;	/* quarantined until then; 0: not */
	bool held_before;	/* and no run has done well since */
	bool in_doubt;		/* quarantined with others */
	int64_t held_us;	/* since when it is */
	int64_t trial_until_us; /* a request that tries it may be running */
	bool report_pending;
	bool kept;   /* in the store, too */
	bool chosen; /* by the judgement in progress */
};

struct quar_traits {
	struct htab entries;
	uint32_t max_entries;
	int64_t hold_us;
	/* What was learned until then has been judged. */
	int64_t judged_us;
	struct cds_list_head sound;
	struct cds_list_head suspects; /* with losses, or quarantined */
	struct cds_list_head reports;
	enum quar_alert alert;
	bool has_unkept;	/* a trait was confirmed since the start */
	int64_t judge_until_us; /* until then a loss may come to count */
	/* Endpoints whose loss is explained: a ring. */
	uint32_t explained[QUAR_EXPLAINED_MAX];
	uint32_t explained_count; /* so far */
	uint32_t explained_taken; /* by quar_traits_next_explained() */
};

/* quar_trait.c */
struct quar_trait_entry *quar_trait_find(const struct quar_traits *traits,
					 const struct quar_trait *trait);
struct quar_trait_entry *quar_trait_add(struct quar_traits *traits,
					const struct quar_trait *trait);
void quar_trait_drop_pair(struct quar_trait_entry *entry, int index);
void quar_trait_settle_list(struct quar_traits *traits,
			    struct quar_trait_entry *entry);
int quar_trait_endpoints(const struct quar_trait_entry *entry);
bool quar_trait_is_held(const struct quar_trait_entry *entry, int64_t now);
bool quar_trait_is_confirmed(const struct quar_trait_entry *entry, int64_t now);
void quar_trait_log(enum log_id id, const struct quar_trait_entry *entry);

/* quar_trait_judge.c */
void quar_trait_watch(struct quar_traits *traits, int64_t now);
void quar_trait_expire(struct quar_traits *traits,
		       struct quar_trait_entry *entry, int64_t now);
void quar_trait_hold(struct quar_traits *traits, struct quar_trait_entry *entry,
		     bool in_doubt, int64_t now);
void quar_trait_release(struct quar_trait_entry *entry);

/* quar_trait_weigh.c */
int quar_trait_moments(const struct quar_trait_entry *entry, int64_t until_us);
int quar_trait_failures(const struct quar_trait_entry *entry, int64_t since_us,
			int64_t until_us);
uint32_t quar_trait_shared_losses(const struct quar_trait_entry *entry,
				  const struct quar_trait_entry *other);
bool quar_trait_have_common_request(const struct quar_trait_entry *entry);
int64_t quar_trait_first_loss(const struct quar_trait_entry *entry);

/* quar_trait_report.c */
void quar_trait_queue(struct quar_traits *traits,
		      struct quar_trait_entry *entry);

#endif /* QUAR_TRAIT_INT_H */
