#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <sodium.h>

#include "ldg_int.h"

#define LDG_FORMAT     1
#define LDG_BASE64     sodium_base64_VARIANT_ORIGINAL_NO_PADDING
#define BASE64_SIZE(n) (((n) + 2) / 3 * 4 + 1)

static const char *const state_names[REC_STATE_COUNT] = {
	[REC_RESERVED] = "reserved",
	[REC_AMBIGUOUS] = "ambiguous",
	[REC_RELEASED] = "released",
	[REC_SETTLED] = "settled",
};

static json_t *ldg_json_rec(const struct ldg_rec *rec);
static int ldg_json_parse_rec(json_t *obj, struct ldg_rec *rec);
static json_t *ldg_json_digest(const uint8_t *digest);
static int ldg_json_parse_digest(const char *text, uint8_t *digest);
static int ldg_json_parse_state(const char *name, enum ldg_rec_state *state);
static int ldg_json_parse_answer(json_t *obj, struct ldg_rec *rec);

/*
 * Parses a segment's value into an empty segment.  Returns -1 if the value is
 * not a valid segment.  A partly parsed segment must not be used, as a missing
 * record would let its key run again.
 */
int ldg_json_read(struct ldg_seg *seg, const char *text, size_t len)
{
	json_t *root = json_loadb(text, len, 0, NULL);
	json_t *recs = json_object_get(root, "records");
	json_t *obj;
	size_t i;
	int err = json_is_array(recs) ? 0 : -1;

	if (json_integer_value(json_object_get(root, "format")) != LDG_FORMAT)
		err = -1;
	json_array_foreach (recs, i, obj) {
		struct ldg_rec *rec = calloc(1, sizeof(*rec));

		if (ldg_json_parse_rec(obj, rec) < 0) {
			ldg_rec_free(rec);
			err = -1;
			break;
		}
		ldg_seg_put(seg, rec);
	}
	seg->sealed = json_is_true(json_object_get(root, "sealed"));
	json_decref(root);
	return err;
}

/*
 * Returns the value of a segment with the records of a batch added or replaced.
 * The value seals the segment if it is longer than seal_threshold; *seals is
 * set accordingly.  The caller frees the value.
 */
char *ldg_json_write(const struct ldg_seg *seg,
		     const struct cds_list_head *batch, size_t seal_threshold,
		     bool *seals)
{
	json_t *root = json_object();
	json_t *recs = json_array();
	const struct ldg_rec *rec;
	char *text;

	cds_list_for_each_entry (rec, &seg->recs, order) {
		if (!ldg_batch_find(batch, rec->intent))
			json_array_append_new(recs, ldg_json_rec(rec));
	}
	cds_list_for_each_entry (rec, batch, order)
		json_array_append_new(recs, ldg_json_rec(rec));
	json_object_set_new(root, "format", json_integer(LDG_FORMAT));
	json_object_set_new(root, "records", recs);
	text = json_dumps(root, JSON_COMPACT);
	*seals = text && strlen(text) > seal_threshold;
	if (*seals) {
		free(text);
		json_object_set_new(root, "sealed", json_true());
		text = json_dumps(root, JSON_COMPACT);
	}
	json_decref(root);
	return text;
}

/* Returns the value of an emptied segment.  The caller frees it. */
char *ldg_json_write_empty(void)
{
	json_t *root = json_pack("{s:i, s:[], s:b}", "format", LDG_FORMAT,
				 "records", "sealed", 1);
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	return text;
}

/* Parses the range of a shard's live segments; it may be out of date. */
int ldg_json_read_head(const char *text, size_t len, uint32_t *first,
		       uint32_t *last)
{
	json_t *root = json_loadb(text, len, 0, NULL);
	json_int_t from;
	json_int_t to;
	int err = json_unpack(root, "{s:I, s:I}", "first", &from, "last", &to);

	if (!err) {
		*first = (uint32_t)from;
		*last = (uint32_t)to;
	}
	json_decref(root);
	return err;
}

/* Returns the value of a shard's head.  The caller frees it. */
char *ldg_json_write_head(uint32_t first, uint32_t last)
{
	json_t *root = json_pack("{s:I, s:I}", "first", (json_int_t)first,
				 "last", (json_int_t)last);
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	return text;
}

static json_t *ldg_json_rec(const struct ldg_rec *rec)
{
	char nonce[40];
	json_t *obj = json_object();

	snprintf(nonce, sizeof(nonce), "%016" PRIx64 ".%" PRIu64,
		 rec->nonce.incarnation, rec->nonce.number);
	json_object_set_new(obj, "i", ldg_json_digest(rec->intent));
	json_object_set_new(obj, "f", ldg_json_digest(rec->fingerprint));
	json_object_set_new(obj, "n", json_string(nonce));
	json_object_set_new(obj, "by", json_string(rec->instance));
	json_object_set_new(obj, "s", json_string(state_names[rec->state]));
	json_object_set_new(obj, "d", json_integer(rec->deadline_ms));
	json_object_set_new(obj, "e", json_integer(rec->expiry_ms));
	json_object_set_new(obj, "w", json_integer(rec->window_ms));
	if (rec->timed)
		json_object_set_new(obj, "timed", json_true());
	if (rec->takeovers)
		json_object_set_new(obj, "t", json_integer(rec->takeovers));
	if (rec->state == REC_SETTLED)
		json_object_set_new(obj, "code", json_integer(rec->status));
	if (rec->answer) {
		size_t size = BASE64_SIZE(rec->answer_len);
		char *text = malloc(size);

		sodium_bin2base64(text, size, (const uint8_t *)rec->answer,
				  rec->answer_len, LDG_BASE64);
		json_object_set_new(obj, "a", json_string(text));
		free(text);
	}
	return obj;
}

static int ldg_json_parse_rec(json_t *obj, struct ldg_rec *rec)
{
	const char *intent;
	const char *fingerprint;
	const char *nonce;
	const char *instance;
	const char *state;
	json_int_t deadline;
	json_int_t expiry;
	json_int_t window;
	json_int_t takeovers = 0;
	int timed = 0;
	char *rest;

	if (json_unpack(obj, "{s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I,s?I,s?b}", "i",
			&intent, "f", &fingerprint, "n", &nonce, "by",
			&instance, "s", &state, "d", &deadline, "e", &expiry,
			"w", &window, "t", &takeovers, "timed", &timed) < 0)
		return -1;
	if (ldg_json_parse_digest(intent, rec->intent) < 0 ||
	    ldg_json_parse_digest(fingerprint, rec->fingerprint) < 0 ||
	    ldg_json_parse_state(state, &rec->state) < 0 ||
	    mag_copy_name(rec->instance, sizeof(rec->instance), instance) < 0)
		return -1;
	rec->nonce.incarnation = strtoull(nonce, &rest, 16);
	if (*rest != '.')
		return -1;
	rec->nonce.number = strtoull(rest + 1, NULL, 10);
	rec->deadline_ms = deadline;
	rec->expiry_ms = expiry;
	rec->window_ms = window;
	rec->takeovers = (uint32_t)takeovers;
	rec->timed = timed;
	return ldg_json_parse_answer(obj, rec);
}

static json_t *ldg_json_digest(const uint8_t *digest)
{
	char text[BASE64_SIZE(MAG_DIGEST_BYTES)];

	sodium_bin2base64(text, sizeof(text), digest, MAG_DIGEST_BYTES,
			  LDG_BASE64);
	return json_string(text);
}

static int ldg_json_parse_digest(const char *text, uint8_t *digest)
{
	size_t len = 0;

	if (sodium_base642bin(digest, MAG_DIGEST_BYTES, text, strlen(text),
			      NULL, &len, NULL, LDG_BASE64) < 0)
		return -1;
	return len == MAG_DIGEST_BYTES ? 0 : -1;
}

static int ldg_json_parse_state(const char *name, enum ldg_rec_state *state)
{
	int i;

	for (i = 0; i < REC_STATE_COUNT; i++) {
		if (strcmp(name, state_names[i]) == 0) {
			*state = (enum ldg_rec_state)i;
			return 0;
		}
	}
	return -1;
}

static int ldg_json_parse_answer(json_t *obj, struct ldg_rec *rec)
{
	const char *text = json_string_value(json_object_get(obj, "a"));
	size_t size;

	rec->status = (int)json_integer_value(json_object_get(obj, "code"));
	if (!text)
		return 0;
	size = strlen(text);
	rec->answer = calloc(1, size + 1);
	rec->answer_stored = true;
	return sodium_base642bin((uint8_t *)rec->answer, size, text, size, NULL,
				 &rec->answer_len, NULL, LDG_BASE64);
}
