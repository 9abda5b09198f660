#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "log.h"
#include "pub.h"
#include "check_doc.h"
#include "script.h"

/*
 * Driver of the scripts in regress/pub.  Operators A, B, .. publish through a
 * key-value service in memory; each has a document, the set that it edits:
 *	A first		loads regress/cfg/base.json as the document
 *	A get [N]	loads the set in force (or revision N) as the document
 *	A read | A watch	reads or watches the head as an instance does
 *	A add.. | A change.. | A drop..	edits the document
 *	A apply ID [base=N] [replace] [merge] [resume] [floor=N]
 *	A history | A delta B	(from A's document to B's)
 * Commands for the service:
 *	fault PREFIX KIND N [SCRIPT LINE]	fails the next N writes to keys
 *		that start with PREFIX, or, if KIND starts with "any-", the next
 *		N calls of any type:
 *		after	the write takes effect and its answer is lost
 *		never	the write is lost
 *		late	the write takes effect only at "land"
 *		unsent | limited	the call ends with that status
 *		first	SCRIPT LINE is run before the write
 *	land | save | restore (all keys) | damage PREFIX TEXT | remove PREFIX
 *	put KEY TEXT | keys | head | gets (reads since the last "gets")
 * Checks between instances:
 *	accept NOW OFFERED | offer NOW OFFERED A [DIGEST] | patch A DELTA
 */

#define OPERATORS 4
#define KEYS_MAX  8192

struct entry {
	char key[KV_KEY_MAX];
	uint64_t version;
	char *value;
};

struct table {
	struct entry entries[KEYS_MAX];
	size_t count;
};

struct operator
{
	struct pub *pub;
	json_t *doc;
};

static struct {
	struct table current;
	struct table saved;
	struct kv_call late;
	char prefix[KV_KEY_MAX];
	char kind[16];
	int remaining;
	char line[512]; /* script line of the fault "first" */
	int gets;
	struct operator operators[OPERATORS];
	FILE *out;
} w;

static void run_line(char *line);

static struct entry *find_entry(const char *key)
{
	size_t i;

	for (i = 0; i < w.current.count; i++) {
		if (strcmp(w.current.entries[i].key, key) == 0)
			return &w.current.entries[i];
	}
	return NULL;
}

static void set_reply(struct kv_reply *reply, enum kv_status status,
		      const struct entry *e)
{
	reply->status = status;
	reply->version = e ? e->version : 0;
	if (status == KV_OK && e && e->value) {
		reply->value = strdup(e->value);
		reply->len = strlen(e->value);
	}
}

static void apply_write(const struct kv_call *call, struct kv_reply *reply)
{
	struct entry *e = find_entry(call->key);

	if ((e ? e->version : 0) != call->version) {
		set_reply(reply, KV_CONFLICT, e);
		return;
	}
	if (e && call->op == KV_DELETE) {
		free(e->value);
		*e = w.current.entries[--w.current.count];
		reply->status = KV_OK;
		return;
	}
	if (!e) {
		assert_true(w.current.count < KEYS_MAX);
		e = &w.current.entries[w.current.count++];
		memset(e, 0, sizeof(*e));
		mag_copy_name(e->key, sizeof(e->key), call->key);
	}
	free(e->value);
	e->value = call->value ? strndup(call->value, call->len) : NULL;
	e->version++;
	reply->status = KV_OK;
	reply->version = e->version;
}

static bool inject_fault(const struct kv_call *call, struct kv_reply *reply)
{
	bool any = strncmp(w.kind, "any-", 4) == 0;
	const char *kind = any ? w.kind + 4 : w.kind;
	char line[512];

	if (w.remaining == 0 ||
	    strncmp(call->key, w.prefix, strlen(w.prefix)) != 0)
		return false;
	if (!any && call->op != KV_CAS)
		return false;
	w.remaining--;
	reply->status = KV_NO_ANSWER;
	if (strcmp(kind, "first") == 0) {
		snprintf(line, sizeof(line), "%s", w.line);
		run_line(line);
		return false;
	}
	if (strcmp(kind, "after") == 0)
		apply_write(call, &(struct kv_reply){ 0 });
	else if (strcmp(kind, "late") == 0) {
		free(w.late.value);
		w.late = *call;
		w.late.value = strndup(call->value, call->len);
	} else if (strcmp(kind, "unsent") == 0) {
		reply->status = KV_NOT_SENT;
	} else if (strcmp(kind, "limited") == 0) {
		reply->status = KV_RATE_LIMITED;
	}
	return true;
}

static void service(void *ctx, const struct kv_call *call,
		    struct kv_reply *reply)
{
	struct entry *e;

	(void)ctx;
	memset(reply, 0, sizeof(*reply));
	reply->id = call->id;
	if (inject_fault(call, reply))
		return;
	e = find_entry(call->key);
	w.gets += call->op == KV_GET;
	if (call->op == KV_GET || call->op == KV_WATCH)
		set_reply(reply, e ? KV_OK : KV_ABSENT, e);
	else
		apply_write(call, reply);
}

static void copy_table(struct table *to, const struct table *from)
{
	size_t i;

	for (i = 0; i < to->count; i++)
		free(to->entries[i].value);
	*to = *from;
	for (i = 0; i < to->count; i++)
		to->entries[i].value = strdup(from->entries[i].value);
}

static struct operator* operator_of(const char *name)
{
	struct operator* o = & w.operators[name[0] - 'A'];

	if (!o->pub)
		o->pub = pub_new((struct kv_backend){ service, NULL });
	return o;
}

static char *doc_text(const struct operator* o)
{
	return json_dumps(o->doc, JSON_COMPACT);
}

static void set_doc(struct operator* o, const char *text)
{
	json_decref(o->doc);
	o->doc = text ? json_loads(text, 0, NULL) : NULL;
}

static void print_result(int err, const struct pub_result *r)
{
	size_t i;

	fprintf(w.out, "%s", pub_err_text((enum pub_err)err));
	if (err == PUB_OK)
		fprintf(w.out, ": revision %llu%s%s, %zu writes",
			(unsigned long long)r->revision,
			r->already_published ? ", by an earlier try" : "",
			r->unchanged ? ", nothing to change" : "", r->writes);
	fputs("\n", w.out);
	for (i = 0; i < cfg_fault_count(r->faults); i++)
		fprintf(w.out, "  %s\n", cfg_fault_text(r->faults, i));
	pub_diff_print(r->difference, w.out);
}

static void apply(struct operator* o, char *rest)
{
	struct pub_request request = { .change = { .author = "op",
						   .time_ms = 1000 } };
	struct pub_result result;
	char *text = doc_text(o);
	char *word = strtok(rest, " ");
	int err;

	mag_copy_name(request.change.id, PUB_ID_MAX, word);
	request.text = text;
	request.len = strlen(text);
	request.base = (uint64_t)json_integer_value(
		json_object_get(o->doc, "revision"));
	while ((word = strtok(NULL, " "))) {
		if (strncmp(word, "base=", 5) == 0)
			request.base = strtoull(word + 5, NULL, 10);
		else if (strncmp(word, "floor=", 6) == 0)
			request.floor = strtoull(word + 6, NULL, 10);
		request.replace |= strcmp(word, "replace") == 0;
		request.merge |= strcmp(word, "merge") == 0;
		request.resume |= strcmp(word, "resume") == 0;
	}
	err = pub_apply(o->pub, &request, &result);
	print_result(err, &result);
	pub_result_clear(&result);
	free(text);
}

static void get(struct operator* o, const char *revision)
{
	char *text;
	uint64_t current = strtoull(revision, NULL, 10);
	int err = current ? pub_read_past(o->pub, 0, current, &text)
			  : pub_read(o->pub, 0, &text, &current);

	fprintf(w.out, "%s: revision %llu\n", pub_err_text((enum pub_err)err),
		(unsigned long long)current);
	if (err == PUB_OK)
		set_doc(o, text);
	free(text);
}

static void history(struct operator* o)
{
	struct pub_change changes[40];
	size_t count;
	size_t i;
	int err = pub_history(o->pub, 0, changes, 40, &count);

	fprintf(w.out, "%s: %zu changes:", pub_err_text((enum pub_err)err),
		count);
	for (i = 0; i < count; i++)
		fprintf(w.out, " %llu=%s",
			(unsigned long long)changes[i].revision, changes[i].id);
	fputs("\n", w.out);
}

static void delta(struct operator* from, struct operator* to)
{
	char *old = doc_text(from);
	char *new = doc_text(to);
	char *text;
	char *patched;

	assert_int_equal(pub_delta(old, new, &text), PUB_OK);
	fprintf(w.out, "%s\n", text);
	fprintf(w.out, "patched: %s\n",
		pub_err_text((enum pub_err)pub_patch(old, text, &patched)));
	free(old);
	free(new);
	free(text);
	free(patched);
}

static void patch(struct operator* o, const char *text)
{
	char *old = doc_text(o);
	char *patched;

	fprintf(w.out, "%s\n",
		pub_err_text((enum pub_err)pub_patch(old, text, &patched)));
	free(patched);
	free(old);
}

static void offer(char *rest)
{
	uint64_t current = strtoull(strtok(rest, " "), NULL, 10);
	uint64_t offered = strtoull(strtok(NULL, " "), NULL, 10);
	char *text = doc_text(operator_of(strtok(NULL, " ")));
	const char *given = strtok(NULL, " ");
	char digest[PUB_DIGEST_HEX];
	struct cfg_set *set;

	pub_digest(text, strlen(text), digest);
	fprintf(w.out, "%s",
		pub_err_text((enum pub_err)pub_check_offer(
			current, offered, given ? given : digest, text,
			strlen(text), &set)));
	if (set)
		fprintf(w.out, ": revision %llu",
			(unsigned long long)set->revision);
	fputs("\n", w.out);
	cfg_free(set);
	free(text);
}

static void run_operator(struct operator* o, char *command)
{
	char *rest = strchr(command, ' ');
	int err;

	rest = rest ? (*rest = '\0', rest + 1) : command + strlen(command);
	if (strcmp(command, "first") == 0) {
		json_decref(o->doc);
		o->doc = json_load_file("regress/cfg/base.json", 0, NULL);
	} else if (strcmp(command, "get") == 0 ||
		   strcmp(command, "read") == 0) {
		get(o, rest);
	} else if (strcmp(command, "watch") == 0) {
		err = pub_watch(o->pub, 0);
		fprintf(w.out, "%s\n",
			err == PUB_OK	      ? "differs"
			: err == PUB_E_ABSENT ? "same"
					      : "down");
	} else if (strcmp(command, "apply") == 0) {
		apply(o, rest);
	} else if (strcmp(command, "history") == 0) {
		history(o);
	} else if (strcmp(command, "delta") == 0) {
		delta(o, operator_of(rest));
	} else {
		assert_true(doc_edit(o->doc, command, rest));
	}
}

static void print_keys(void)
{
	size_t counts[3] = { 0 };
	size_t i;

	for (i = 0; i < w.current.count; i++)
		counts[strncmp(w.current.entries[i].key, "config/chunk", 12) ==
				       0
			       ? 0
		       : strncmp(w.current.entries[i].key, "config/past", 11) ==
				       0
			       ? 1
			       : 2]++;
	fprintf(w.out, "%zu chunks, %zu past heads, %zu others\n", counts[0],
		counts[1], counts[2]);
}

/* Flips a bit in the values that contain a text, or removes the keys. */
static void damage_keys(char *prefix, bool removed)
{
	char *text = strchr(prefix, ' ');
	char *found;
	size_t i;

	if (text)
		*text++ = '\0';

	for (i = 0; i < w.current.count; i++) {
		struct entry *e = &w.current.entries[i];

		if (strncmp(e->key, prefix, strlen(prefix)) != 0)
			continue;
		if (removed) {
			free(e->value);
			*e = w.current.entries[--w.current.count];
			i--;
		} else {
			found = text ? strstr(e->value, text) : NULL;
			if (found)
				*found ^= 1;
		}
	}
}

static void set_fault(char *rest)
{
	int used = 0;

	w.line[0] = '\0';
	assert_true(sscanf(rest, "%127s %15s %d %n", w.prefix, w.kind,
			   &w.remaining, &used) == 3);
	snprintf(w.line, sizeof(w.line), "%s", rest + used);
}

static void put_key(char *rest)
{
	char *text = strchr(rest, ' ');
	struct kv_call call = { .op = KV_CAS };
	struct entry *e;

	*text++ = '\0';
	e = find_entry(rest);
	call.version = e ? e->version : 0;
	mag_copy_name(call.key, sizeof(call.key), rest);
	call.value = text;
	call.len = strlen(text);
	apply_write(&call, &(struct kv_reply){ 0 });
}

static void run_check(const char *command, char *rest)
{
	unsigned long long current;
	unsigned long long offered;

	if (strcmp(command, "accept") == 0) {
		sscanf(rest, "%llu %llu", &current, &offered);
		fprintf(w.out, "%s\n",
			pub_accepts_revision(current, offered) ? "yes" : "no");
	} else if (strcmp(command, "offer") == 0) {
		offer(rest);
	} else if (strcmp(command, "patch") == 0) {
		patch(operator_of(rest), rest + 2);
	} else {
		fail_msg("no command %s", command);
	}
}

static void run_line(char *line)
{
	struct kv_reply reply = { 0 };
	char *rest = strchr(line, ' ');

	rest = rest ? (*rest = '\0', rest + 1) : line + strlen(line);
	if (strlen(line) == 1) {
		run_operator(operator_of(line), rest);
	} else if (strcmp(line, "fault") == 0) {
		set_fault(rest);
	} else if (strcmp(line, "land") == 0) {
		apply_write(&w.late, &reply);
		free(w.late.value);
		free(reply.value);
		w.late.value = NULL;
		fprintf(w.out, "late write: %s\n",
			reply.status == KV_OK ? "landed" : "conflict");
	} else if (strcmp(line, "save") == 0) {
		copy_table(&w.saved, &w.current);
	} else if (strcmp(line, "restore") == 0) {
		copy_table(&w.current, &w.saved);
	} else if (strcmp(line, "damage") == 0 || strcmp(line, "remove") == 0) {
		damage_keys(rest, line[0] == 'r');
	} else if (strcmp(line, "put") == 0) {
		put_key(rest);
	} else if (strcmp(line, "keys") == 0) {
		print_keys();
	} else if (strcmp(line, "gets") == 0) {
		fprintf(w.out, "%d gets\n", w.gets);
		w.gets = 0;
	} else if (strcmp(line, "head") == 0) {
		fprintf(w.out, "%s\n", find_entry("config/head")->value);
	} else {
		run_check(line, rest);
	}
}

static void log_line(void *ctx, enum log_prio prio, const char *line)
{
	(void)ctx;
	(void)prio;
	fprintf(w.out, "log %s\n", line);
}

static void run_script(FILE *in, FILE *out)
{
	static const struct table empty;
	char *line = NULL;
	size_t capacity = 0;
	size_t i;

	w.out = out;
	log_set_sink(log_line, NULL);
	w.remaining = 0;
	w.gets = 0;
	while (getline(&line, &capacity, in) > 0) {
		line[strcspn(line, "\n")] = '\0';
		if (line[0] && line[0] != '#')
			run_line(line);
	}
	free(line);
	for (i = 0; i < OPERATORS; i++) {
		pub_free(w.operators[i].pub);
		json_decref(w.operators[i].doc);
		w.operators[i] = (struct operator){ 0 };
	}
	copy_table(&w.current, &empty);
	copy_table(&w.saved, &empty);
}

int main(void)
{
	return script_main("regress/pub", run_script);
}
