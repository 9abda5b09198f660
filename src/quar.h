#ifndef QUAR_H
#define QUAR_H

/*
 * Quarantine of requests that crash the endpoints that run them.  When an
 * endpoint dies, the fingerprints running on it become suspects.  A suspect
 * runs again only on endpoints without another suspect, until it has completed
 * there.
 *
 * Instances that share counts quarantine a suspect at the second loss during
 * which it was the only suspect there.
 *
 * Instances that share losses by name merge them as sets, so that a loss that
 * several of them saw counts once, and losses that each of them saw add up.
 * Three lost endpoints quarantine a fingerprint; two do if nothing else ran on
 * one of them, by what all instances report.
 */

#include <stdbool.h>
#include <stdint.h>

#include "mag.h"

#define QUAR_LOSSES_MAX 3 /* named losses that quarantine a fingerprint */
/* Time in which other instances report what they ran on a lost endpoint. */
#define QUAR_SETTLE_US (100 * MAG_US_PER_MS)
/* Size of a fingerprint as text, which holds its first bytes. */
#define QUAR_TEXT_SIZE 17

struct quar;

/* A loss of an endpoint, or the proof that a fingerprint completes. */
struct quar_report {
	uint8_t fingerprint[MAG_DIGEST_BYTES];
	uint32_t endpoint; /* identity of the endpoint's process */
	bool alone;	   /* nothing else ran there, as far as was known */
	bool completed;	   /* it ran to its end; the endpoint is not set */
	int64_t left_us;   /* until the fingerprint's losses expire */
};

/* Which instances are to be sent a message at once. */
enum quar_alert {
	QUAR_ALERT_NONE,
	QUAR_ALERT_NEAR, /* of the data centre: it passes on a quarantine */
	QUAR_ALERT_ALL,	 /* it saw a loss that no other one may know of */
};

enum quar_state {
	QUAR_CLEAR,
	QUAR_SUSPECT,	  /* run it apart from other suspects */
	QUAR_QUARANTINED, /* refuse it */
};

struct quar *quar_new(uint32_t max_entries, int64_t hold_us);
void quar_free(struct quar *quar);
bool quar_have_common_cause(int lost_together);
bool quar_is_evidence(int64_t began_us, int64_t alive_us, bool others);
enum quar_state quar_check(struct quar *quar,
			   const uint8_t fingerprint[MAG_DIGEST_BYTES],
			   int64_t now);
void quar_endpoint_lost(struct quar *quar,
			const uint8_t fingerprint[MAG_DIGEST_BYTES],
			int endpoint, bool was_alone, int64_t now);
void quar_completed(struct quar *quar,
		    const uint8_t fingerprint[MAG_DIGEST_BYTES], int64_t now);
void quar_learn(struct quar *quar, const uint8_t fingerprint[MAG_DIGEST_BYTES],
		uint32_t endpoints_lost, int64_t until_us, int64_t now);
bool quar_next_update(struct quar *quar, uint8_t fingerprint[MAG_DIGEST_BYTES],
		      uint32_t *endpoints_lost, int64_t *until_us);
bool quar_add_loss(struct quar *quar, const struct quar_report *loss,
		   int64_t now);
bool quar_hear(struct quar *quar, const struct quar_report *report,
	       int64_t now);
void quar_withdraw_loss(struct quar *quar, uint32_t endpoint, int64_t now);
void quar_tick(struct quar *quar, int64_t now);
int quar_collect(struct quar *quar, struct quar_report *reports, int max,
		 int64_t now);
int quar_held_losses(const struct quar *quar, int index,
		     struct quar_report reports[QUAR_LOSSES_MAX], int64_t now);
enum quar_alert quar_take_alert(struct quar *quar);
const char *quar_text(const uint8_t fingerprint[MAG_DIGEST_BYTES],
		      char text[QUAR_TEXT_SIZE]);

#endif /* QUAR_H */
