#ifndef PUB_H
#define PUB_H

/*
 * Publishing the configuration through the platform's key-value service, and
 * reading it.  One head record holds the revision and names the chunks that
 * hold the objects; chunks are written before the head, and the head's swap
 * publishes all or nothing.  A struct pub belongs to one thread.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <jansson.h>

#include "cfg.h"
#include "kv.h"
#include "mag.h"

#define PUB_ID_MAX	 40
#define PUB_NOTE_MAX	 128
#define PUB_DIGEST_BYTES 20
#define PUB_DIGEST_HEX	 (2 * PUB_DIGEST_BYTES + 1)
#define PUB_REVISION_MAX (UINT64_C(1) << 40) /* no site gets so far */
#define PUB_JUMP_MAX	 (UINT64_C(1) << 20) /* most at once from a peer */
#define PUB_KEEP	 256		     /* past revisions that are kept */

enum pub_err {
	PUB_OK = 0,
	PUB_E_ABSENT = -1,   /* nothing was ever published */
	PUB_E_DOWN = -2,     /* the service did not answer; nothing changed */
	PUB_E_UNKNOWN = -3,  /* no answer to the swap: it may have landed */
	PUB_E_RACE = -4,     /* another change came first */
	PUB_E_INVALID = -5,  /* the set has faults */
	PUB_E_DAMAGED = -6,  /* the service holds what is no configuration */
	PUB_E_BASE = -7,     /* the change does not say what it was made from */
	PUB_E_STALE = -8,    /* a revision older than one already seen */
	PUB_E_SIZE = -9,     /* too large for the service */
	PUB_E_GONE = -10,    /* that past revision is not kept */
	PUB_E_HOSTILE = -11, /* an offer that can't be what it says */
	PUB_E_MEMORY = -12,
};

/* One published change, as the head and the history list it. */
struct pub_change {
	char id[PUB_ID_MAX];
	char author[MAG_NAME_MAX]; /* the operator */
	char note[PUB_NOTE_MAX];
	int64_t time_ms; /* wall clock of the operator's machine */
	uint64_t revision;
};

/* What an operator wants in force: a whole set. */
struct pub_request {
	const char *text;
	size_t len;
	struct pub_change change; /* its revision is not read */
	uint64_t base;	/* revision that the set was made from, 0: none */
	bool replace;	/* whatever is in force now */
	bool merge;	/* with changes to other objects since base */
	bool resume;	/* an earlier try under this id may have landed */
	uint64_t floor; /* highest revision that any instance holds */
	int64_t deadline_us;
};

struct pub_result {
	uint64_t revision;	   /* that holds the change, or is in force */
	bool before;		   /* an earlier try under the same id landed */
	bool same;		   /* nothing to change */
	size_t writes;		   /* calls that wrote */
	size_t bytes;		   /* in them */
	json_t *difference;	   /* PUB_E_RACE, PUB_E_BASE: see pub_diff */
	struct cfg_faults *faults; /* PUB_E_INVALID */
};

/* One place where two texts differ, by line. */
struct pub_hunk {
	size_t at; /* line of the old text */
	size_t drops;
	size_t puts;
};

/* What differs between two texts that hold one object a line. */
struct pub_edit {
	struct pub_hunk *hunks;
	size_t hunk_count;
	struct cfg_object_text *drop;
	size_t drops;
	struct cfg_object_text *put;
	size_t puts;
};

struct pub;

const char *pub_err_text(enum pub_err err);
struct pub *pub_new(struct kv_backend backend);
void pub_free(struct pub *pub);

int pub_read(struct pub *pub, int64_t deadline_us, char **text,
	     uint64_t *revision);
int pub_read_past(struct pub *pub, int64_t deadline_us, uint64_t revision,
		  char **text);
int pub_watch(struct pub *pub, int64_t deadline_us);
int pub_apply(struct pub *pub, const struct pub_request *request,
	      struct pub_result *result);
void pub_result_clear(struct pub_result *result);
int pub_history(struct pub *pub, int64_t deadline_us,
		struct pub_change *changes, size_t max, size_t *count);

/* Without the service: what instances pass to each other. */
bool pub_accept(uint64_t current, uint64_t offered);
int pub_digest(const char *text, size_t len, char digest[PUB_DIGEST_HEX]);
int pub_check_offer(uint64_t current, uint64_t offered, const char *digest,
		    const char *text, size_t len, struct cfg_set **set);
int pub_delta(const char *old_text, const char *new_text, char **delta);
int pub_patch(const char *old_text, const char *delta, char **new_text);
bool pub_is_lined(const char *text);
int pub_edit_make(const char *old_text, const char *new_text,
		  struct pub_edit *edit);
void pub_edit_free(struct pub_edit *edit);
char *pub_edit_text(const struct pub_edit *edit, uint64_t revision,
		    const char *new_text);
int pub_edit_apply(const char *old_text, const char *edit, uint64_t *revision,
		   char **new_text);
json_t *pub_diff(const char *old_text, const char *new_text);
void pub_diff_print(const json_t *difference, FILE *out);

#endif /* PUB_H */
