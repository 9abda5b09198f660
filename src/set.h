#ifndef SET_H
#define SET_H

/*
 * Settings of magnoliad: a JSON file, and command line options that override
 * it.  Each field has an option of the same name, with '-' in place of '_'.
 * Times are durations, as an operator states them; modules that use one convert
 * it to a deadline.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "flt.h"
#include "log.h"
#include "mag.h"

#define SET_PLATFORM_MAX 8
#define SET_PEERS_MAX	 16
#define SET_VERSION	 "0.1"

/* The action that the command line requests. */
enum set_action {
	SET_RUN,
	SET_CHECK,	  /* only check the settings */
	SET_HELP,	  /* the caller calls set_help */
	SET_SHOW_VERSION, /* the caller calls set_version */
};

enum set_err {
	SET_OK = 0,
	SET_E_INVALID = -1, /* at least one setting or option is invalid */
	SET_E_MEMORY = -2,
	SET_E_READ = -3, /* no fault but that the file may not be written yet */
	SET_E_TEXT = -4, /* none but those of a file overwritten in place */
};

struct set_addresses {
	size_t count;
	char list[SET_PEERS_MAX][MAG_ADDR_MAX];
};

struct set_settings {
	enum set_action action;
	char cluster[MAG_NAME_MAX];
	char instance[MAG_NAME_MAX]; /* unique in the cluster */
	char data_centre[MAG_NAME_MAX];
	char listen[MAG_ADDR_MAX];     /* for callers */
	char admin[MAG_ADDR_MAX];      /* for operators and the balancer */
	char rpc[MAG_ADDR_MAX];	       /* for peers */
	struct set_addresses platform; /* of the platform (key-value service) */
	struct set_addresses peers;    /* rpc addresses to contact first */
	uint32_t threads;	       /* most concurrent callers */
	uint32_t body_max_bytes;       /* of a caller's request */
	uint32_t connect_timeout_ms;   /* to an endpoint */
	uint32_t first_token_timeout_ms;
	uint32_t progress_timeout_ms;  /* between tokens */
	uint32_t kv_timeout_ms;	       /* one call to the platform */
	uint32_t kv_calls_per_s;       /* limit of this instance */
	uint32_t kv_fleet_calls_per_s; /* of all instances, in equal parts */
	uint32_t shutdown_notice_ms;   /* health check fails, work accepted */
	uint32_t ledger_shards;	       /* the same on all instances */
	uint32_t ledger_segment_bytes;
	uint32_t ledger_batch_max;
	uint32_t peer_bytes_per_s;
	uint32_t instances_max; /* most instances that the site runs */
	bool place;		/* may hold the placement lease */
	enum log_prio log_level;
	uint64_t seed; /* 0: drawn at random at start */
};

int set_load(int argc, char **argv, struct set_settings *settings,
	     struct flt_list **faults);
void set_help(FILE *out, const char *program);
void set_version(FILE *out, const char *program);

#endif /* SET_H */
