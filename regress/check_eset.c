#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "eset.h"
#include "script.h"

#define TEXT_MAX 4096

/* Loads a settings file with the first len bytes of text. */
static int load(const char *path, const char *text, size_t len,
		struct eset *set, char *why, int why_size)
{
	FILE *file = fopen(path, "w");

	if (!file || fwrite(text, 1, len, file) != len || fclose(file))
		abort();
	return eset_load(path, set, why, why_size);
}

/*
 * The script is a settings file.  Prints how it is loaded, and what becomes of
 * each file that ends before it does.
 */
static void drive(FILE *in, FILE *out)
{
	char path[] = "/tmp/check_eset.XXXXXX";
	int fd = mkstemp(path);
	char text[TEXT_MAX];
	char why[256] = "";
	struct eset set = { 0 };
	size_t size = fread(text, 1, sizeof(text), in);
	size_t incomplete = 0; /* shorter ones, before one is refused */
	size_t len;
	int rc;

	if (fd < 0)
		abort();
	close(fd);
	while (size > 0 && text[size - 1] == '\n')
		size--;
	for (len = 0; len < size; len++) {
		rc = load(path, text, len, &set, why, sizeof(why));
		if (rc == ESET_E_READ)
			incomplete++;
		else if (len == incomplete)
			fprintf(out, "refused after %zu bytes: %s\n", len,
				strchr(why, ':') ? strchr(why, ':') + 2 : why);
	}
	fprintf(out, "incomplete: %zu of %zu cuts\n", incomplete, size);
	rc = load(path, text, size, &set, why, sizeof(why));
	fprintf(out, "whole: %d %s\n", rc,
		rc ? strchr(why, ':') + 2 : set.instance);
	unlink(path);
}

int main(void)
{
	return script_main("regress/eset", drive);
}
