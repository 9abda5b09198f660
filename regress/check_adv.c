#include <stdlib.h>
#include <string.h>

#include "adv.h"
#include "script.h"

#define LINE_MAX_ 256

static const char *const messages[] = {
	[ADV_REQUEST] = "request",
	[ADV_PROBE] = "probe",
	[ADV_REPAIR] = "repair",
	[ADV_PLACE] = "place",
};

/* "may": prints the messages that may be sent now. */
static void print_allowed(FILE *out, const struct adv *adv, int64_t now)
{
	size_t i;

	fprintf(out, "%.3f s:", (double)now / MAG_US_PER_S);
	for (i = 0; i < MAG_ARRAY_SIZE(messages); i++) {
		if (adv_may_send(adv, (enum adv_message)i, now))
			fprintf(out, " %s", messages[i]);
	}
	fprintf(out, "\n");
}

static void drive(FILE *in, FILE *out)
{
	struct adv adv = { 0 };
	char line[LINE_MAX_];
	int64_t now = MAG_US_PER_S;
	double value;

	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (sscanf(line, "backoff %lf", &value) == 1)
			fprintf(out, "%s\n",
				adv_request_backoff(&adv, value, now)
					? "began"
					: "did not begin");
		else if (sscanf(line, "at %lf", &value) == 1)
			now = (int64_t)(value * MAG_US_PER_S);
		else if (sscanf(line, "limit %lf", &value) == 1)
			thr_limit_advertised(&adv.thr, value, now, now);
		else if (strncmp(line, "leaving", 7) == 0)
			adv.leaving = true;
		else if (strncmp(line, "restart", 7) == 0)
			adv = (struct adv){ 0 };
		else if (strncmp(line, "may", 3) == 0)
			print_allowed(out, &adv, now);
	}
}

int main(void)
{
	return script_main("regress/adv", drive);
}
