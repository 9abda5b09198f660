#include <string.h>

#include "script.h"
#include "xfer.h"

#define LINE_MAX_ 256
#define STEP_US	  (10 * MAG_US_PER_MS)

/* An answer of so many bytes arrives at a rate, with a pause before the last.
 */
static void receive(FILE *out, long bytes, long rate, long pause_ms)
{
	struct xfer xfer = { .begin_by_us = 300 * MAG_US_PER_MS };
	long left = bytes;
	int64_t now = 0;
	long part;

	while (now < xfer_deadline_us(&xfer)) {
		now += STEP_US;
		part = rate / (MAG_US_PER_S / STEP_US);
		if (left <= part)
			now += pause_ms * MAG_US_PER_MS;
		if (now >= xfer_deadline_us(&xfer))
			break;
		xfer_receive(&xfer, (size_t)(left < part ? left : part), now);
		left -= part;
		if (bytes > 0 && left <= 0) {
			fprintf(out, "received\n");
			return;
		}
	}
	fprintf(out, "given up after %lld ms\n",
		(long long)(now / MAG_US_PER_MS));
}

/* "receive BYTES BYTES_PER_S PAUSE_MS"; without BYTES it never ends. */
static void run_script(FILE *in, FILE *out)
{
	char line[LINE_MAX_];
	long bytes;
	long rate;
	long pause_ms;

	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (sscanf(line, "receive %ld %ld %ld", &bytes, &rate,
			   &pause_ms) == 3)
			receive(out, bytes, rate, pause_ms);
	}
}

int main(void)
{
	return script_main("regress/xfer", run_script);
}
