#ifndef HTAB_H
#define HTAB_H

/*
 * Hash table with intrusive nodes.  The number of buckets grows with the number
 * of nodes.  Keys are compared by the caller: htab_first() and htab_next()
 * return all nodes with a hash.
 */

#include <stdint.h>

#include <urcu/hlist.h>

struct htab_node {
	struct cds_hlist_node node;
	uint32_t hash;
};

struct htab {
	struct cds_hlist_head *buckets; /* NULL while the table is empty */
	uint32_t bucket_count;		/* a power of two */
	uint32_t count;
};

enum htab_err {
	HTAB_OK = 0,
	HTAB_E_MEMORY = -1,
};

uint32_t htab_hash(const char *key);
int htab_add(struct htab *tab, struct htab_node *node, uint32_t hash);
void htab_del(struct htab *tab, struct htab_node *node);
struct htab_node *htab_first(const struct htab *tab, uint32_t hash);
struct htab_node *htab_next(const struct htab_node *node);
void htab_free(struct htab *tab);

#endif /* HTAB_H */
