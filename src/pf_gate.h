#ifndef PF_GATE_H
#define PF_GATE_H

/*
 * Decides whether a call to the platform's service may go out now: a budget
 * of calls a second, and a pause after failures.  Deterministic; the caller
 * serializes the calls and passes the time in.
 */

#include <stdbool.h>
#include <stdint.h>

enum pf_gate_verdict {
	PF_GATE_PASS,
	PF_GATE_OVER_BUDGET,
	PF_GATE_PAUSED,
};

struct pf_gate {
	uint32_t calls_per_s; /* 0: no budget */
	uint32_t burst;
	double tokens;
	int64_t refilled_us;
	uint32_t consecutive_failures; /* in a row */
	int64_t retry_at_us;
	uint64_t rng_state;
	bool down;
};

void pf_gate_init(struct pf_gate *gate, uint64_t seed);
void pf_gate_set_seed(struct pf_gate *gate, uint64_t seed);
void pf_gate_set_budget(struct pf_gate *gate, uint32_t calls_per_s,
			uint32_t burst, int64_t now);
enum pf_gate_verdict pf_gate_admit(struct pf_gate *gate, int64_t now);
bool pf_gate_record_result(struct pf_gate *gate, bool reached, int64_t now);

#endif /* PF_GATE_H */
