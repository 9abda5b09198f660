#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "mag.h"
#include "pf_gate.h"
#include "script.h"

#define GATE_COMMAND_MAX 32

static void gate_run_line(struct pf_gate *gate, FILE *out, const char *line);

/*
 * Script commands, with times in milliseconds:
 *   MS budget CALLS BURST   sets the budget: CALLS per second, burst size
 *   MS ask COUNT            asks for COUNT calls, prints how many are admitted
 *   MS answered             records a call that reached the service
 *   MS failed               records a call that did not
 *   SEED seed               reinitializes the gate with this seed
 */
static void gate_run_script(FILE *in, FILE *out)
{
	struct pf_gate gate;
	char line[128];

	pf_gate_init(&gate, 1);
	while (fgets(line, sizeof(line), in)) {
		if (line[0] != '#' && line[0] != '\n')
			gate_run_line(&gate, out, line);
	}
}

static void gate_run_line(struct pf_gate *gate, FILE *out, const char *line)
{
	int counts[PF_GATE_PAUSED + 1] = { 0 };
	char command[GATE_COMMAND_MAX] = "";
	unsigned int arg1 = 0;
	unsigned int arg2 = 0;
	long time_ms = 0;
	int64_t now;

	sscanf(line, "%ld %31s %u %u", &time_ms, command, &arg1, &arg2);
	now = time_ms * MAG_US_PER_MS;
	if (strcmp(command, "seed") == 0)
		pf_gate_init(gate, (uint64_t)time_ms);
	if (strcmp(command, "budget") == 0)
		pf_gate_set_budget(gate, arg1, arg2, now);
	if (strcmp(command, "answered") == 0 &&
	    pf_gate_record_result(gate, true, now))
		fprintf(out, "%ld up\n", time_ms);
	if (strcmp(command, "failed") == 0 &&
	    pf_gate_record_result(gate, false, now))
		fprintf(out, "%ld down\n", time_ms);
	if (strcmp(command, "failed") == 0 && gate->down)
		fprintf(out, "%ld next probe at %ld\n", time_ms,
			(long)(gate->retry_at_us / MAG_US_PER_MS));
	if (strcmp(command, "ask") != 0)
		return;
	while (arg1-- > 0)
		counts[pf_gate_admit(gate, now)]++;
	fprintf(out, "%ld pass %d, over budget %d, paused %d\n", time_ms,
		counts[PF_GATE_PASS], counts[PF_GATE_OVER_BUDGET],
		counts[PF_GATE_PAUSED]);
}

int main(void)
{
	return script_main("regress/gate", gate_run_script);
}
