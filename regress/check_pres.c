#include <stdio.h>
#include <string.h>

#include "pres.h"
#include "script.h"

#define LINE_MAX_ 256

/* Passes a key of the store on, as a follower does. */
static void pass_item(struct pres *pres, const char *key, const char *value)
{
	struct wire_item item = { .revision = 1 };
	char bytes[128];

	snprintf(item.key, sizeof(item.key), "%s", key);
	snprintf(bytes, sizeof(bytes), "%s", value);
	item.value = bytes;
	item.len = strlen(bytes);
	pres_item(pres, &item);
}

static void pass_peer(struct pres *pres, int n)
{
	char key[64];

	snprintf(key, sizeof(key), PRES_INSTANCE_PREFIX "b/r-%d", n);
	pass_item(pres, key, "10.0.0.2:1 b 50");
}

/*
 * "begin", "own", "peer N", "peers N", "end": a list of the store's keys;
 * "show": what is known of them.
 */
static void run_script(FILE *in, FILE *out)
{
	struct pres_settings settings = {
		{ "r-0", "10.0.0.1:1", "a", 50 }, 1000, 1, false
	};
	struct pres *pres = pres_new(NULL, &settings);
	char line[LINE_MAX_];
	int n;

	while (pres && fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (strncmp(line, "begin", 5) == 0) {
			pres_list_begin(pres);
		} else if (strncmp(line, "end", 3) == 0) {
			pres_list_end(pres);
		} else if (strncmp(line, "own", 3) == 0) {
			pass_item(pres, PRES_INSTANCE_PREFIX "a/r-0",
				  "10.0.0.1:1 a 50");
		} else if (sscanf(line, "peer %d", &n) == 1) {
			pass_peer(pres, n);
		} else if (sscanf(line, "peers %d", &n) == 1) {
			for (; n > 0; n--)
				pass_peer(pres, n);
		} else if (strncmp(line, "show", 4) == 0) {
			fprintf(out, "%sregistered, %d peers\n",
				pres_own_listed(pres) ? "" : "not ",
				pres_peer_count(pres));
		}
	}
	pres_free(pres);
}

int main(void)
{
	return script_main("regress/pres", run_script);
}
