#ifndef ESET_H
#define ESET_H

/* Settings of a router on a platform: a JSON file, checked as a whole. */

#include <stdbool.h>
#include <stdint.h>

#include "mag.h"

enum eset_err {
	ESET_OK = 0,
	ESET_E_READ = -1, /* not there, or its end is not written yet */
	ESET_E_BAD = -2,  /* why names the field */
	ESET_E_TEXT = -3, /* no whole object with all fields */
};

struct eset {
	char instance[MAG_NAME_MAX];
	char data_centre[MAG_NAME_MAX];
	char address[MAG_ADDR_MAX];   /* of this machine, without a port */
	char callers[MAG_ADDR_MAX];   /* listen address for callers */
	char readiness[MAG_ADDR_MAX]; /* listen address for readiness checks */
	char store[MAG_ADDR_MAX];
	/* Routers hear only those of the same name; may be missing. */
	char deployment[MAG_NAME_MAX];
	int peer_port;
	int metrics_port;
	int64_t store_lease_ms_min;
	bool first_start; /* the whole system starts for the first time */
	int64_t stop_us;  /* from the signal to stop until the kill */
	int64_t config_apply_us; /* a configuration is in force within this */
	int64_t drain_us; /* a leaving worker receives nothing new after this */
	int64_t keys_stale_us; /* a removed key may still work for so long */
	bool keys_fail_closed;
	double retry_ratio;
	int64_t retry_window_us;
	double retry_slack; /* of all instances together */
	int64_t stall_us;   /* streams of a dead worker are cut after this */
	int open_files;
	int link_mbps; /* speed of this machine's network link */
	/* Workers report to the store at this interval; may be missing. */
	int64_t worker_report_us;
};

void eset_update(struct eset *set, const struct eset *loaded);
bool eset_equal(const struct eset *a, const struct eset *b);
int64_t eset_bound_us(const struct eset *set);
int eset_load(const char *path, struct eset *set, char *why, int why_size);

#endif /* ESET_H */
