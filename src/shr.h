#ifndef SHR_H
#define SHR_H

/*
 * Shares of client accounts in the load: counters of the requests of each
 * account at each service, and of the work that they caused at each endpoint.
 * They show the owner of an endpoint which accounts load it.  A table belongs
 * to one thread.
 */

#include <stdint.h>
#include <stdio.h>

#include "cfg.h"
#include "pick.h"

#define SHR_CELLS_MAX 4096 /* further ones are counted as "other" */

struct shr;

enum shr_err {
	SHR_OK = 0,
	SHR_E_MEMORY = -1,
};

/* Request counters of an account at a service. */
enum shr_count {
	SHR_OFFERED,
	SHR_ADMITTED,
	SHR_REFUSED,
	SHR_RETRIED,
	SHR_COUNT
};

struct shr *shr_new(void);
void shr_free(struct shr *shr);
int shr_config(struct shr *shr, const struct cfg_set *set);
void shr_add(struct shr *shr, int account, int service, enum shr_count counter);
void shr_add_retry(struct shr *shr, int account, int service, int endpoint);
void shr_add_attempt(struct shr *shr, int account, int service,
		     const struct pick_chain *chain, uint32_t tokens,
		     const uint32_t *hop_us);
void shr_write_json(const struct shr *shr, FILE *out);
void shr_write_metrics(const struct shr *shr, FILE *out);

#endif /* SHR_H */
