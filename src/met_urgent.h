#ifndef MET_URGENT_H
#define MET_URGENT_H

/*
 * Counters of one router by service and urgency, and by service and account.
 * The tables have a fixed size; what does not fit is counted under "other".
 *
 * Load pattern: thousands of accounts share a service.  An account gets a place
 * when one of its requests first waits or is refused, so that those without
 * trouble take none.
 */

#include <stdint.h>

#include <event2/buffer.h>

#include "mag.h"
#include "urg.h"

#define MET_URGENT_SERVICES_MAX 16
#define MET_URGENT_LEVELS_MAX	URG_LEVELS_MAX
#define MET_URGENT_ACCOUNTS_MAX 64

/* The request that is counted. */
struct met_urgent_key {
	const char *service;
	const char *account; /* NULL: unknown */
	int urgency;
};

struct met_urgent_level {
	int urgency;
	uint64_t asked;
	uint64_t begun;
	uint64_t refused;
	int64_t waiting;    /* now */
	double reserve;	    /* fraction of the capacity to leave free */
	int64_t reserve_us; /* when that was computed; 0: never */
};

struct met_urgent_service {
	char name[MAG_NAME_MAX];
	int count;
	struct met_urgent_level levels[MET_URGENT_LEVELS_MAX];
	struct met_urgent_level other;
};

struct met_urgent_account {
	char name[MAG_NAME_MAX];
	char service[MAG_NAME_MAX];
	double used; /* tokens x layers, or slots */
	uint64_t refused;
	int64_t waiting;
};

struct met_urgent {
	int service_count;
	struct met_urgent_service services[MET_URGENT_SERVICES_MAX];
	struct met_urgent_level other;
	int account_count;
	struct met_urgent_account accounts[MET_URGENT_ACCOUNTS_MAX];
	struct met_urgent_account other_account;
};

void met_urgent_asked(struct met_urgent *met, const struct met_urgent_key *key);
void met_urgent_begun(struct met_urgent *met, const struct met_urgent_key *key,
		      double need);
void met_urgent_refused(struct met_urgent *met,
			const struct met_urgent_key *key);
void met_urgent_wait_began(struct met_urgent *met,
			   const struct met_urgent_key *key);
void met_urgent_wait_ended(struct met_urgent *met,
			   const struct met_urgent_key *key);
void met_urgent_reserved(struct met_urgent *met,
			 const struct met_urgent_key *key, double reserve,
			 int64_t now);
double met_urgent_greatest_reserve(const struct met_urgent *met,
				   const char *service, int64_t now);
uint64_t met_urgent_refusals(const struct met_urgent *met, const char *service);
void met_urgent_write(const struct met_urgent *met, int64_t now,
		      struct evbuffer *out);

#endif /* MET_URGENT_H */
