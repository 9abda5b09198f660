#ifndef PF_GATE_H
#define PF_GATE_H

/*
 * Decides whether a call to the platform may be sent now.  Applies a budget of
 * calls per second, and pauses after failures.  Deterministic: the caller
 * serializes access and passes the time.
 */

#include <stdbool.h>
#include <stdint.h>

enum pf_gate_verdict {
	PF_GATE_PASS,
	PF_GATE_OVER_BUDGET,
	PF_GATE_PAUSED,
};

struct pf_gate {
	uint32_t calls_per_s; /* 0: unlimited */
	uint32_t burst;
	double tokens; /* left in the token bucket */
	int64_t refilled_us;
	uint32_t consecutive_failures; /* since the last response */
	int64_t retry_at_us;	       /* when down: time of the next probe */
	uint64_t rng_state;
	bool down; /* the platform is considered unreachable */
};

void pf_gate_init(struct pf_gate *gate, uint64_t seed);
void pf_gate_set_seed(struct pf_gate *gate, uint64_t seed);
void pf_gate_set_budget(struct pf_gate *gate, uint32_t calls_per_s,
			uint32_t burst, int64_t now);
enum pf_gate_verdict pf_gate_admit(struct pf_gate *gate, int64_t now);
bool pf_gate_record_result(struct pf_gate *gate, bool reached, int64_t now);

#endif /* PF_GATE_H */
