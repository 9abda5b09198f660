#include <string.h>

#include "evs.h"
#include "script.h"

#define LINE_MAX_ 1024

/* Converts the escapes \n and \r of a script line to bytes. */
static size_t unescape(const char *text, char *dst)
{
	size_t len = 0;

	for (; *text && *text != '\n'; text++) {
		if (text[0] == '\\' && text[1] == 'n') {
			dst[len++] = '\n';
			text++;
		} else if (text[0] == '\\' && text[1] == 'r') {
			dst[len++] = '\r';
			text++;
		} else {
			dst[len++] = *text;
		}
	}
	return len;
}

static void drive(FILE *in, FILE *out)
{
	struct evs evs = { 0 };
	struct evs_event event;
	char bytes[LINE_MAX_];
	char line[LINE_MAX_];
	size_t len;

	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (strncmp(line, "feed ", 5) != 0)
			continue;
		len = unescape(line + 5, bytes);
		if (evs_feed(&evs, bytes, len))
			fprintf(out, "refused\n");
		while (evs_next(&evs, &event))
			fprintf(out, "event id %lld, %zu bytes\n",
				(long long)event.id, event.len);
		fprintf(out, "%zu bytes wait\n", evs_pending(&evs));
	}
	evs_free(&evs);
}

int main(void)
{
	return script_main("regress/evs", drive);
}
