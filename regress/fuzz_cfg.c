#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "pub.h"

/*
 * Feeds arbitrary bytes as a set of objects.  In a set that is accepted, every
 * object must be found by its name or path, and the canonical form must have
 * the same meaning.  An error must be one line of printable text that ends
 * with its number in parentheses.
 */

static void check_set(const struct cfg_set *set);
static void check_canonical(const char *text, size_t len);
static void check_fault(const char *text);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct cfg_faults *faults;
	struct cfg_set *set;
	size_t i;
	int err = cfg_parse((const char *)data, size, &set, &faults);

	if ((err == CFG_OK) != (set != NULL) ||
	    (err == CFG_OK) != (cfg_fault_count(faults) == 0))
		abort();
	for (i = 0; i < cfg_fault_count(faults); i++)
		check_fault(cfg_fault_text(faults, i));
	if (set) {
		check_set(set);
		check_canonical((const char *)data, size);
	}
	cfg_faults_free(faults);
	cfg_free(set);
	return 0;
}

/* Checks that objects are found by name, routes by host and path. */
static void check_set(const struct cfg_set *set)
{
	size_t i;

	for (i = 0; i < set->service_count; i++) {
		if (cfg_find_service(set, set->services[i].name) != (int)i)
			abort();
	}
	for (i = 0; i < set->endpoint_count; i++) {
		if (cfg_find_endpoint(set, set->endpoints[i].name) != (int)i)
			abort();
	}
	for (i = 0; i < set->account_count; i++) {
		if (cfg_find_account_by_key(set, set->accounts[i].key_hash) !=
		    (int)i)
			abort();
	}
	for (i = 0; i < set->route_count; i++) {
		const struct cfg_route *r = &set->routes[i];

		if (cfg_find_route(set, r->host, r->path) != (int)i)
			abort();
	}
}

/* Checks that the canonical form, which is published, is accepted, too. */
static void check_canonical(const char *text, size_t len)
{
	char digest[2][PUB_DIGEST_HEX];
	char *copy = strndup(text, len);
	char *delta;
	char *patched;

	if (pub_digest(text, len, digest[0]) != PUB_OK)
		abort();
	if (pub_delta("{\"objects\":[]}", copy, &delta) != PUB_OK)
		abort();
	if (strstr(copy, "revision") &&
	    pub_patch("{\"objects\":[]}", delta, &patched) == PUB_OK) {
		if (pub_digest(patched, strlen(patched), digest[1]) != PUB_OK ||
		    strcmp(digest[0], digest[1]) != 0)
			abort();
		free(patched);
	}
	free(delta);
	free(copy);
}

static void check_fault(const char *text)
{
	size_t len = strlen(text);
	size_t i;

	if (len < 4 || text[len - 1] != ')' || !strstr(text, ": "))
		abort();
	for (i = 0; i < len; i++) {
		if (!isprint((unsigned char)text[i]))
			abort();
	}
}
