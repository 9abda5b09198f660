#include <string.h>

#include "age.h"
#include "script.h"

#define LINE_MAX_ 256

/*
 * Commands: "at MS" sets the time; "call ROUTE LEFT_MS" prints how long that
 * caller has been retrying; "routes N" adds calls to N other routes.
 */
static void run_script(FILE *in, FILE *out)
{
	char line[LINE_MAX_];
	char route[MAG_NAME_MAX];
	static struct age age;
	long now_ms = 0;
	long left_ms;
	int n;

	memset(&age, 0, sizeof(age));
	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (sscanf(line, "at %ld", &now_ms) == 1)
			continue;
		if (sscanf(line, "call %63s %ld", route, &left_ms) == 2)
			fprintf(out, "retrying for %lld ms\n",
				(long long)(age_estimate(
						    &age, route,
						    left_ms * MAG_US_PER_MS,
						    now_ms * MAG_US_PER_MS) /
					    MAG_US_PER_MS));
		if (sscanf(line, "routes %d", &n) != 1)
			continue;
		while (n-- > 0) {
			snprintf(route, sizeof(route), "other-%d", n);
			age_estimate(&age, route, MAG_US_PER_S,
				     now_ms * MAG_US_PER_MS);
		}
	}
}

int main(void)
{
	return script_main("regress/age", run_script);
}
