#ifndef PUB_INT_H
#define PUB_INT_H

/* Shared by the pub_*.c files; other modules must not include it. */

#include "pub.h"

#define PUB_HEAD_KEY	"config/head"
#define PUB_VALUE_MAX	1000000
#define PUB_BUCKETS_MAX 4096
#define PUB_CHANGES_MAX 16 /* listed in the head */
#define PUB_TRIES	4

/*
 * Average number of objects per chunk.  One change rewrites one chunk and the
 * head, so the bytes written are fewest if both have about the same size; see
 * docs/OPERATING.md.
 */
#define PUB_CHUNK_OBJECTS_MAX 64 /* above: the chunk count doubles */
#define PUB_CHUNK_OBJECTS_MIN 16 /* below: the chunk count halves */

/* One object in its canonical form: compact, fields sorted. */
struct pub_object {
	enum cfg_kind kind;
	char *id; /* kind/name */
	char *text;
};

/* The objects of a set, sorted by id. */
struct pub_objects {
	struct pub_object *list;
	size_t count;
	size_t capacity;
};

/* A reference to a chunk; an empty digest means that it has no objects. */
struct pub_chunk {
	char digest[PUB_DIGEST_HEX];
	uint64_t revision; /* that wrote it; part of its key */
};

struct pub_kind {
	struct pub_chunk *chunks;
	size_t count; /* power of two; objects are assigned by hash */
};

struct pub_head {
	uint64_t revision;
	uint64_t previous; /* 0: none */
	struct pub_kind kinds[CFG_KIND_COUNT];
	struct pub_change changes[PUB_CHANGES_MAX]; /* newest first */
	size_t change_count;
};

/* State of one publisher or reader of the configuration. */
struct pub {
	struct kv_backend backend;
	uint64_t next_call_id;
	uint64_t highest_revision;	    /* read or published */
	char highest_change_id[PUB_ID_MAX]; /* change that made it */
	uint64_t head_version;		    /* version of the head's key */
	json_t *cache;			    /* chunk texts by digest */
	int last_result; /* PUB_OK or error of the last pub_read */
};

/* pub_objects.c */
const char *pub_kind_name(enum cfg_kind kind);
int pub_objects_parse(struct pub_objects *objects, const char *text,
		      size_t len);
int pub_objects_add(struct pub_objects *objects, const json_t *object);
void pub_objects_sort(struct pub_objects *objects);
void pub_objects_free(struct pub_objects *objects);
const struct pub_object *pub_objects_find(const struct pub_objects *objects,
					  const char *id);
char *pub_objects_text(const struct pub_objects *objects, uint64_t revision);
void pub_digest_bytes(const char *text, size_t len,
		      char digest[PUB_DIGEST_HEX]);
size_t pub_bucket(const char *id, size_t buckets);
size_t pub_bucket_count(size_t objects, size_t now);
char *pub_chunk_text(const struct pub_objects *objects, enum cfg_kind kind,
		     size_t bucket, size_t buckets);

/* pub_diff.c */
json_t *pub_diff_objects(const struct pub_objects *old,
			 const struct pub_objects *new);
int pub_merge(const struct pub_objects *base, const struct pub_objects *mine,
	      const struct pub_objects *theirs, struct pub_objects *merged,
	      json_t **difference);

/* pub_head.c */
int pub_head_parse(struct pub_head *head, const char *text, size_t len);
char *pub_head_text(const struct pub_head *head);
void pub_head_free(struct pub_head *head);
void pub_head_copy(struct pub_head *copy, const struct pub_head *head);

/* pub_kv.c */
enum kv_status pub_get(struct pub *pub, const char *key, int64_t deadline_us,
		       struct kv_reply *reply);
enum kv_status pub_put(struct pub *pub, const char *key, uint64_t version,
		       const char *value, int64_t deadline_us,
		       struct kv_reply *reply);
int pub_create(struct pub *pub, const char *key, const char *value,
	       int64_t deadline_us);
int pub_create_chunk(struct pub *pub, const struct pub_chunk *chunk,
		     const char *text, int64_t deadline_us);
void pub_delete(struct pub *pub, const char *key, uint64_t version,
		int64_t deadline_us);
void pub_chunk_key(char key[KV_KEY_MAX], const struct pub_chunk *chunk);
void pub_past_key(char key[KV_KEY_MAX], uint64_t revision);

/* pub_read.c */
void pub_set_highest(struct pub *pub, const struct pub_head *head);
int pub_load_head(struct pub *pub, int64_t deadline_us, struct pub_head *head,
		  uint64_t *version);
int pub_load_past(struct pub *pub, int64_t deadline_us, uint64_t revision,
		  struct pub_head *head, uint64_t *version);

/* pub_chunk.c */
int pub_load_objects(struct pub *pub, int64_t deadline_us,
		     const struct pub_head *head, struct pub_objects *objects);
int pub_load_text(struct pub *pub, int64_t deadline_us,
		  const struct pub_head *head, char **text);

/* pub_past.c */
int pub_find_change(struct pub *pub, int64_t deadline_us,
		    const struct pub_head *head, const char *id,
		    uint64_t *revision);
void pub_prune(struct pub *pub, int64_t deadline_us, uint64_t previous,
	       uint64_t revision);

#endif /* PUB_INT_H */
