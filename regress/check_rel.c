#include <stdlib.h>
#include <string.h>

#include "pl_store.h"
#include "rel_msg.h"
#include "script.h"

#define LINE_MAX_     256
#define ITEMS_PRINTED 20

/*
 * The mirror of a router, and a router that follows it: each answer is encoded
 * and decoded as on the wire.
 */
static struct mir mir;
static struct pos pos; /* of the mirror */

/* "put KEY REVISION VALUE", "delete KEY REVISION" */
static void put_item(const char *line, bool deleted)
{
	struct wire_item item = { .deleted = deleted };
	char value[64] = "";
	long long revision;

	if (sscanf(line, "%*s %200s %lld %63s", item.key, &revision, value) < 2)
		return;
	item.revision = revision;
	item.value = deleted ? NULL : value;
	item.len = strlen(value);
	mir_put(&mir, &item);
	if (!mir.listing && revision > pos.revision)
		pos.revision = revision;
}

static void print_items(FILE *out, const struct wire_items *items)
{
	int i;

	if (items->count > ITEMS_PRINTED) {
		fprintf(out, "%d items\n", items->count);
		return;
	}
	for (i = 0; i < items->count; i++)
		fprintf(out, "%s %lld %s\n", items->items[i].key,
			(long long)items->items[i].revision,
			items->items[i].deleted ? "deleted"
						: items->items[i].value);
}

/* Damages a body as a faulty sender or connection might. */
static void damage(char *body, size_t *len, const char *how)
{
	if (strcmp(how, "short") == 0)
		*len -= 6;
	else if (strcmp(how, "long") == 0)
		(*len)--;
	else if (strcmp(how, "count") == 0)
		memset(body + 44, 0x7f, 4);
	else if (strcmp(how, "value") == 0)
		memset(body + *len - 8, 0x7f, 4);
	else if (strcmp(how, "magic") == 0)
		body[0] ^= 1;
	else if (strcmp(how, "plain") == 0)
		body[50] ^= 1;
	else if (strcmp(how, "huge") == 0)
		memset(body + 48, 0x7f, 4);
	else if (strcmp(how, "frame") == 0)
		body[*len / 2] ^= 0x55;
}

/*
 * "poll ERA REVISION [as ERA REVISION] [HOW]": what a router that knows that
 * position receives; with "as" the sender claims another position of its own.
 */
static void poll_mirror(FILE *out, const char *line)
{
	static const char *const errors[] = { "", "out of memory", "unreadable",
					      "out of order" };
	struct rel_answer answer = { 0 };
	struct rel_items encoded;
	struct wire_items items;
	char how[16] = "";
	long long x[4];
	struct pos after;
	char *body;
	size_t len;
	int n;
	int rc;

	n = sscanf(line, "%*s %lld %lld as %lld %lld", &x[0], &x[1], &x[2],
		   &x[3]);
	if (n < 4)
		sscanf(line, "%*s %*d %*d %15s", how);
	after = (struct pos){ x[0], x[1] };
	answer.pos = n == 4 ? (struct pos){ x[2], x[3] } : pos;
	answer.complete =
		pos.era != after.era || !mir_has_changes(&mir, after.revision);
	if (!mir_may_serve(&mir)) {
		fprintf(out, "nothing to serve\n");
		return;
	}
	if (rel_items_encode(&mir, answer.complete ? 0 : after.revision,
			     &encoded))
		return;
	rc = rel_answer_encode(&answer, &encoded, &body, &len);
	rel_items_free(&encoded);
	if (rc)
		return;
	damage(body, &len, how);
	rc = rel_answer_decode(body, len, after, &answer, &items);
	free(body);
	if (rc) {
		fprintf(out, "rejected: %s\n", errors[-rc]);
		return;
	}
	fprintf(out, "%s up to %lld.%lld\n",
		answer.complete ? "all" : "changes", (long long)answer.pos.era,
		(long long)answer.pos.revision);
	print_items(out, &items);
	fprintf(out, "%s", answer.plain_len ? "compressed\n" : "");
	pl_store_items_free(&items);
}

/* "fill N": N items of the next revision. */
static void fill(int n)
{
	char line[LINE_MAX_];
	long long revision = pos.revision + 1;
	int i;

	for (i = 0; i < n; i++) {
		snprintf(line, sizeof(line), "put w-%d %lld value-of-%d", i,
			 revision, i);
		put_item(line, false);
	}
}

/* "workers N": N workers are replaced one after the other. */
static void replace_workers(FILE *out, int n)
{
	char line[LINE_MAX_];
	int i;

	for (i = 0; i < n; i++) {
		snprintf(line, sizeof(line), "put w-%d %lld x", i,
			 (long long)pos.revision + 1);
		put_item(line, false);
		snprintf(line, sizeof(line), "delete w-%d %lld", i,
			 (long long)pos.revision + 1);
		put_item(line, true);
	}
	fprintf(out, "%s\n",
		mir.deleted_count <= 1024 ? "in bounds" : "too many");
}

static void run_script(FILE *in, FILE *out)
{
	char line[LINE_MAX_];
	long long revision;
	int n;

	mir_init(&mir);
	pos = (struct pos){ 1, 0 };
	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (strncmp(line, "put ", 4) == 0) {
			put_item(line, false);
		} else if (strncmp(line, "delete ", 7) == 0) {
			put_item(line, true);
		} else if (strncmp(line, "begin", 5) == 0) {
			mir_list_begin(&mir);
		} else if (sscanf(line, "end %lld", &revision) == 1) {
			pos.revision = revision;
			mir_list_end(&mir, revision);
		} else if (sscanf(line, "restored %lld", &revision) == 1) {
			pos = (struct pos){ revision, 0 };
			mir_clear(&mir);
		} else if (sscanf(line, "fill %d", &n) == 1) {
			fill(n);
		} else if (sscanf(line, "workers %d", &n) == 1) {
			replace_workers(out, n);
		} else if (strncmp(line, "poll ", 5) == 0) {
			poll_mirror(out, line);
		}
	}
	mir_clear(&mir);
}

int main(void)
{
	return script_main("regress/rel", run_script);
}
