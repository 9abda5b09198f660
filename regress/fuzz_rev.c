#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pub.h"
#include "rev.h"

/*
 * Feeds arbitrary bytes as the text of the next revision and as edits from a
 * peer.  The incremental parser must accept a text exactly if a full parse
 * does, with the same set as the result; edits without the correct digest must
 * be refused.
 */

static const char base_text[] =
	"{\"revision\":1,\"objects\":[\n"
	"{\"kind\":\"account\",\"name\":\"a\",\"key_hash\":\""
	"1111111111111111111111111111111111111111111111111111111111111111\","
	"\"weight\":1},\n"
	"{\"concurrent\":9,\"kind\":\"limit\",\"name\":\"all\"},\n"
	"{\"account\":\"a\",\"concurrent\":3,\"kind\":\"limit\",\"name\":\"b\"}"
	"\n]}\n";

static void check_text(struct rev *rev, const struct cfg_set *base,
		       const char *text);
static void check_edits(struct rev *rev, const struct cfg_set *base,
			const char *text);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text = strndup((const char *)data, size);
	struct rev *rev = rev_new();
	struct cfg_set *base;

	if (rev_offer(rev, NULL, base_text, 1, &base) != PUB_OK)
		abort();
	check_edits(rev, base, text);
	check_text(rev, base, text);
	cfg_free(base);
	rev_free(rev);
	free(text);
	return 0;
}

static void check_text(struct rev *rev, const struct cfg_set *base,
		       const char *text)
{
	struct cfg_faults *faults;
	struct cfg_set *full;
	struct cfg_set *set;
	int err = cfg_parse(text, strlen(text), &full, &faults);

	cfg_faults_free(faults);
	if ((rev_offer(rev, base, text, 2, &set) == PUB_OK) != (err == CFG_OK))
		abort();
	if (set && (set->account_count != full->account_count ||
		    set->limit_count != full->limit_count ||
		    memcmp(set->limits, full->limits,
			   set->limit_count * sizeof(*set->limits)) != 0))
		abort();
	cfg_free(full);
	cfg_free(set);
}

static void check_edits(struct rev *rev, const struct cfg_set *base,
			const char *text)
{
	char *edits;
	struct cfg_set *set;

	if (rev_offer_edits(rev, base, 1, text, &set) == PUB_OK)
		abort();
	if (asprintf(&edits, "2 %040d\n%s", 0, text) < 0)
		abort();
	if (rev_offer_edits(rev, base, 1, edits, &set) == PUB_OK ||
	    rev_revision(rev) != 1 || strcmp(rev_text(rev), base_text) != 0)
		abort();
	free(edits);
}
