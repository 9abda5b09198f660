#ifndef QUAR_INT_H
#define QUAR_INT_H

/* Parts of quar: the table, and the losses that are known by their endpoint. */

#include <urcu/list.h>

#include "log.h"
#include "quar.h"

#define QUAR_BUCKETS 1024 /* a power of two */

/* A loss that is known by its endpoint. */
struct quar_loss {
	uint32_t endpoint;
	bool alone;
	int64_t learned_us;
	int reports_left; /* messages that still report it */
	bool own;	  /* seen by this instance */
};

struct quar_entry {
	struct cds_list_head by_fingerprint;
	struct cds_list_head by_age; /* least recently changed first */
	struct cds_list_head in_updates;
	struct cds_list_head in_reports;
	uint8_t fingerprint[MAG_DIGEST_BYTES];
	/* The count that this or another instance knows of. */
	uint32_t endpoints_lost;
	int64_t until_us;
	bool update_pending;
	bool held; /* quarantined until it completes or expires */

	struct quar_loss losses[QUAR_LOSSES_MAX];
	int loss_count;
	int64_t changed_us;    /* when the last one was recorded */
	bool completed;	       /* losses do not count until it expires */
	int completed_reports; /* messages that still report that */
	bool report_pending;
};

struct quar {
	uint32_t max_entries;
	uint32_t count;
	int64_t hold_us;
	struct cds_list_head by_fingerprint[QUAR_BUCKETS];
	struct cds_list_head by_age;
	struct cds_list_head updates;
	struct cds_list_head reports;
	enum quar_alert alert;
};

/* quar.c */
struct quar_entry *quar_find(const struct quar *quar,
			     const uint8_t fingerprint[MAG_DIGEST_BYTES],
			     int64_t now);
struct quar_entry *quar_lookup(const struct quar *quar,
			       const uint8_t fingerprint[MAG_DIGEST_BYTES]);
struct quar_entry *
quar_find_suspect(const struct quar *quar,
		  const uint8_t fingerprint[MAG_DIGEST_BYTES], int64_t now);
struct quar_entry *quar_add(struct quar *quar,
			    const uint8_t fingerprint[MAG_DIGEST_BYTES]);
void quar_touch(struct quar *quar, struct quar_entry *entry);
void quar_log(enum log_id id, const struct quar_entry *entry);

/* quar_loss.c */
void quar_judge(struct quar *quar, struct quar_entry *entry, int64_t now);
void quar_set_completed(struct quar *quar, struct quar_entry *entry,
			int64_t now);

#endif /* QUAR_INT_H */
