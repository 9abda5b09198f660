#ifndef PF_H
#define PF_H

/*
 * HTTP client of the platform's key-value service.  A call blocks until it has
 * a response or reaches the deadline stored in it; any number of threads may
 * call at the same time.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kv.h"

struct pf;

struct pf *pf_open(const char *const *addresses, size_t count);
void pf_close(struct pf *pf);
void pf_set_budget(struct pf *pf, uint32_t calls_per_s, uint32_t burst);
void pf_set_pacing(struct pf *pf, bool paced);
void pf_set_seed(struct pf *pf, uint64_t seed);
void pf_interrupt(struct pf *pf);
struct kv_backend pf_backend(struct pf *pf);

#endif /* PF_H */
