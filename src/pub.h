#ifndef PUB_H
#define PUB_H

/*
 * Publishes the configuration through the platform's key-value service and
 * reads it.  One head record holds the revision and names the chunks that hold
 * the objects.  A publisher writes the chunks first and then replaces the head
 * by compare-and-swap, so that a change is published completely or not at all.
 * A struct pub must only be used by one thread.
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
#define PUB_REVISION_MAX (UINT64_C(1) << 40) /* beyond real use */
/* Largest step to a revision that a peer offers. */
#define PUB_REVISION_STEP_MAX  (UINT64_C(1) << 20)
#define PUB_RETAINED_REVISIONS 256 /* history that is stored */

enum pub_err {
	PUB_OK = 0,
	PUB_E_ABSENT = -1,    /* nothing was ever published */
	PUB_E_DOWN = -2,      /* no reply from the platform; nothing changed */
	PUB_E_UNKNOWN = -3,   /* no reply to the swap; it may be in force */
	PUB_E_CONFLICT = -4,  /* another change was published first */
	PUB_E_INVALID = -5,   /* the set is not valid */
	PUB_E_DAMAGED = -6,   /* the stored configuration can't be read */
	PUB_E_BASE = -7,      /* no base revision, or not the one held */
	PUB_E_STALE = -8,     /* older than a revision already read */
	PUB_E_SIZE = -9,      /* too large for the platform, or for an edit */
	PUB_E_GONE = -10,     /* that past revision is no longer stored */
	PUB_E_REJECTED = -11, /* an offer or edit that fails its checks */
	PUB_E_MEMORY = -12,
};

/* One published change as listed by the head and by the history. */
struct pub_change {
	char id[PUB_ID_MAX];
	char author[MAG_NAME_MAX]; /* name of the operator */
	char note[PUB_NOTE_MAX];
	int64_t time_ms; /* wall clock of the operator's machine */
	uint64_t revision;
};

/* A request to publish a whole set. */
struct pub_request {
	const char *text;
	size_t len;
	struct pub_change change; /* its revision is ignored */
	uint64_t base;	/* revision that the set was edited from, 0: none */
	bool replace;	/* publish regardless of the set in force */
	bool merge;	/* with changes to other objects since base */
	bool resume;	/* an earlier try with this id may be in force */
	uint64_t floor; /* publish above this revision */
	int64_t deadline_us;
};

struct pub_result {
	uint64_t revision;	/* holds the change, or is in force */
	bool already_published; /* by an earlier try with the same id */
	bool unchanged;		/* the set is already in force */
	size_t writes;		/* write calls to the platform */
	size_t written_bytes;	/* bytes in these calls */
	json_t *difference; /* PUB_E_CONFLICT, PUB_E_BASE: as from pub_diff */
	struct cfg_faults *faults; /* PUB_E_INVALID */
};

/* One place where two texts differ; counted in lines. */
struct pub_hunk {
	size_t line; /* index in the old text */
	size_t removed;
	size_t added;
};

/* The difference between two texts with one object per line. */
struct pub_edit {
	struct pub_hunk *hunks;
	size_t hunk_count;
	struct cfg_object_text *removed;
	size_t removed_count;
	struct cfg_object_text *added;
	size_t added_count;
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

/* Exchange between instances, without the platform. */
bool pub_accepts_revision(uint64_t current, uint64_t offered);
int pub_digest(const char *text, size_t len, char digest[PUB_DIGEST_HEX]);
int pub_check_offer(uint64_t current, uint64_t offered, const char *digest,
		    const char *text, size_t len, struct cfg_set **set);
int pub_delta(const char *old_text, const char *new_text, char **delta);
int pub_patch(const char *old_text, const char *delta, char **new_text);
bool pub_is_object_per_line(const char *text);
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
