#include "abuf.h"
#include "script.h"

#define LINE_MAX_   256
#define ANSWERS_MAX 4096

/*
 * So many answers without end grow by parts of a size, in turn; each is broken
 * off when it does not fit, and begins anew.  Tells the most
 * that all took, and whether a sound answer of a size always fitted.
 */
static void grow(FILE *out, int count, size_t part, int rounds, size_t sound)
{
	static size_t sizes[ANSWERS_MAX];
	size_t all = 0;
	size_t most = 0;
	int unfit = 0;
	int i;

	for (i = 0; i < count; i++)
		sizes[i] = 0;
	while (rounds-- > 0) {
		for (i = 0; i < count; i++) {
			sizes[i] += part;
			all += part;
			most = all > most ? all : most;
			if (!abuf_fits(sizes[i], all)) {
				all -= sizes[i];
				sizes[i] = 0;
			}
			unfit += !abuf_fits(sound, all + sound);
		}
	}
	fprintf(out, "at most %zu KB, sound ones that did not fit: %d\n",
		most >> 10, unfit);
}

/* "grow COUNT PART_KB ROUNDS SOUND_KB" */
static void run_script(FILE *in, FILE *out)
{
	char line[LINE_MAX_];
	size_t part;
	size_t sound;
	int count;
	int rounds;

	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (sscanf(line, "grow %d %zu %d %zu", &count, &part, &rounds,
			   &sound) == 4 &&
		    count <= ANSWERS_MAX)
			grow(out, count, part << 10, rounds, sound << 10);
	}
}

int main(void)
{
	return script_main("regress/abuf", run_script);
}
