#ifndef PRES_H
#define PRES_H

/*
 * Presence in the store: the address of each instance, and the lease of the
 * placer.  An address remains when its instance stops: each change would end
 * the watches of all instances, at the cost of a call each, and most instances
 * restart under the same name.  Addresses are hints.  Only the placer's lease
 * grants a right, and it is checked against the boot clock before each use.
 */

#include <stdbool.h>
#include <stdint.h>

#include "mag.h"
#include "sto.h"

#define PRES_PREFIX	     "mag/"
#define PRES_INSTANCE_PREFIX PRES_PREFIX "instance/"

struct pres;

struct pres_peer {
	char name[MAG_NAME_MAX];
	char address[MAG_ADDR_MAX]; /* "ip:port" of its peer sockets */
	char data_centre[MAG_NAME_MAX];
	int link_mbps; /* speed of its network link; 0: unknown */
};

/* What an instance registers of itself. */
struct pres_settings {
	struct pres_peer self;
	int64_t lease_ms_min;
	uint64_t incarnation;
	bool first_start; /* nobody has registered before */
};

struct pres *pres_new(struct sto *sto, const struct pres_settings *settings);
void pres_free(struct pres *pres);
/* The store's keys under PRES_PREFIX, passed on by the follower. */
void pres_list_begin(struct pres *pres);
void pres_item(struct pres *pres, const struct wire_item *item);
void pres_list_end(struct pres *pres);
void pres_read_own(struct pres *pres);
void pres_store_restored(struct pres *pres, int64_t now);
void pres_store_settled(struct pres *pres);
int pres_missing_count(const struct pres *pres);
void pres_tick(struct pres *pres, int64_t now);
void pres_leave(struct pres *pres);
void pres_yield_placer(struct pres *pres, bool yields);
bool pres_is_placer(const struct pres *pres, int64_t now);
bool pres_is_listed(const struct pres *pres);
bool pres_is_preceded(const struct pres *pres);
bool pres_own_listed(const struct pres *pres);
unsigned int pres_changes(const struct pres *pres);
int pres_peer_count(const struct pres *pres);
const struct pres_peer *pres_peer(const struct pres *pres, int i);

#endif /* PRES_H */
