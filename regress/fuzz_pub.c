#include <stdlib.h>
#include <string.h>

#include "pub_int.h"

/*
 * Feeds arbitrary bytes as a head record and as a delta from a peer.  A head
 * that is parsed must be unchanged after it is written and parsed reparsed; a
 * delta that is applied must produce the digest that it contains.
 */

static const char old_set[] =
	"{\"revision\":1,\"objects\":["
	"{\"kind\":\"limit\",\"name\":\"all\",\"concurrent\":9}]}";

static void check_head(const char *text, size_t len);
static void check_delta(const char *text, size_t len);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	check_head((const char *)data, size);
	check_delta((const char *)data, size);
	return 0;
}

static void check_head(const char *text, size_t len)
{
	struct pub_head head;
	struct pub_head reparsed;
	char *first;
	char *second;

	if (pub_head_parse(&head, text, len) != PUB_OK)
		return;
	first = pub_head_text(&head);
	if (!first || pub_head_parse(&reparsed, first, strlen(first)) != PUB_OK)
		abort();
	second = pub_head_text(&reparsed);
	if (strcmp(first, second) != 0)
		abort();
	free(first);
	free(second);
	pub_head_free(&head);
	pub_head_free(&reparsed);
}

static void check_delta(const char *text, size_t len)
{
	char *delta = strndup(text, len);
	struct cfg_set *set;
	char digest[PUB_DIGEST_HEX];
	char *patched;

	if (pub_patch(old_set, delta, &patched) == PUB_OK) {
		if (pub_digest(patched, strlen(patched), digest) != PUB_OK ||
		    !strstr(delta, digest))
			abort();
		pub_check_offer(1, 2, digest, patched, strlen(patched), &set);
		cfg_free(set);
		free(patched);
	}
	free(delta);
}
