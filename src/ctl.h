#ifndef CTL_H
#define CTL_H

/* Declarations shared by the commands of magctl, the operator's tool. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <jansson.h>

#include "flt.h"
#include "mag.h"
#include "pub.h"

#define CTL_ADDRESSES_MAX 1024

/* Exit codes; documented in magctl(1), must not change. */
enum ctl_exit {
	CTL_DONE = 0,
	CTL_USAGE = 1,	  /* invalid command line or input file */
	CTL_FAULTS = 2,	  /* the set is not valid; nothing was published */
	CTL_CONFLICT = 3, /* another change came first, or no base given */
	CTL_DOWN = 4,	  /* the platform or the instances don't answer */
	CTL_UNKNOWN = 5,  /* the change may be in force */
	CTL_REFUSED = 6,  /* damaged, stale, not stored, too large */
	CTL_PENDING = 7,  /* not all instances hold the revision */
	CTL_DIFFERS = 8,  /* diff found a difference */
};

enum ctl_option {
	CTL_OPT_FILE,	/* positional: a file, or "-" for standard input */
	CTL_OPT_OBJECT, /* positional: kind/name */
	CTL_OPT_PLATFORM,
	CTL_OPT_ADMIN,
	CTL_OPT_TIMEOUT,
	CTL_OPT_REVISION,
	CTL_OPT_BASE,
	CTL_OPT_REPLACE,
	CTL_OPT_MERGE,
	CTL_OPT_CHANGE_ID,
	CTL_OPT_FLOOR,
	CTL_OPT_OPERATOR,
	CTL_OPT_NOTE,
	CTL_OPT_WAIT,
	CTL_OPT_COUNT,
	CTL_OPT_SERVICE,
	CTL_OPT_JSON,
	CTL_OPT_HELP,
	CTL_OPTION_COUNT
};

#define CTL_BIT(option) (1U << (option))

struct ctl_addresses {
	size_t count;
	char list[CTL_ADDRESSES_MAX][MAG_ADDR_MAX];
};

/* The parsed command line of a command. */
struct ctl_args {
	char *value[CTL_OPTION_COUNT]; /* NULL if not given */
	bool json;
	struct ctl_addresses platform;
	struct ctl_addresses admin;
	int64_t deadline_us;
};

struct ctl_command {
	const char *name;
	const char *help;
	uint32_t options; /* CTL_BIT of each option allowed */
	enum ctl_exit (*run)(const struct ctl_args *args);
};

/* A client of the platform that limits the time of each call. */
struct ctl_store {
	struct pf *pf;
	struct kv_backend backend;
	struct pub *pub;
	int64_t deadline_us;
};

/* The answer from the admin port of one instance. */
struct ctl_answer {
	const char *address;
	json_t *body; /* NULL if it did not answer */
};

/* ctl_option.c */
int ctl_read_args(const struct ctl_command *command, int argc, char **argv,
		  struct ctl_args *args);
void ctl_free_args(struct ctl_args *args);
void ctl_help(const struct ctl_command *command, FILE *out);
bool ctl_number(const struct ctl_args *args, enum ctl_option option,
		uint64_t max, uint64_t *number);

/* ctl_out.c */
char *ctl_read_file(const char *path);
enum ctl_exit ctl_report_error(const struct ctl_args *args, enum ctl_exit code,
			       const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
enum ctl_exit ctl_exit_for_error(int err);
void ctl_print_json(json_t *doc);
void ctl_print_table(const json_t *rows);
json_t *ctl_fault_list(const struct cfg_faults *faults);

/* ctl_store.c */
bool ctl_store_open(struct ctl_store *store, const struct ctl_args *args);
void ctl_store_close(struct ctl_store *store);

/* ctl_http.c */
void ctl_query_instances(const struct ctl_addresses *addresses,
			 const char *path, int64_t deadline_us,
			 struct ctl_answer *answers);
void ctl_answers_free(struct ctl_answer *answers, size_t count);

/* Commands. */
enum ctl_exit ctl_check(const struct ctl_args *args);
enum ctl_exit ctl_diff(const struct ctl_args *args);
enum ctl_exit ctl_get(const struct ctl_args *args);
enum ctl_exit ctl_history(const struct ctl_args *args);
enum ctl_exit ctl_apply(const struct ctl_args *args);
enum ctl_exit ctl_status(const struct ctl_args *args);
enum ctl_exit ctl_shares(const struct ctl_args *args);
enum ctl_exit ctl_bound(const struct ctl_args *args);
enum ctl_exit ctl_explain(const struct ctl_args *args);

/* ctl_fleet.c, used by apply */
uint64_t ctl_highest_revision(const struct ctl_addresses *admin,
			      int64_t deadline_us);
size_t ctl_count_holders(const struct ctl_addresses *admin, uint64_t revision,
			 int64_t deadline_us);

#endif /* CTL_H */
