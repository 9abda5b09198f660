#include <stdlib.h>
#include <string.h>

#include "htab.h"

#define HTAB_BUCKETS_MIN 64
#define HTAB_FNV_BASIS	 2166136261U
#define HTAB_FNV_PRIME	 16777619U

static int htab_grow(struct htab *tab);
static void htab_link(struct htab *tab, struct htab_node *node);
static struct htab_node *htab_match(struct cds_hlist_node *at, uint32_t hash);

/* FNV-1a hash of a string. */
uint32_t htab_hash(const char *key)
{
	uint32_t hash = HTAB_FNV_BASIS;

	for (; *key; key++)
		hash = (hash ^ (unsigned char)*key) * HTAB_FNV_PRIME;
	return hash;
}

/* Adds a node; HTAB_E_MEMORY if the first buckets cannot be allocated. */
int htab_add(struct htab *tab, struct htab_node *node, uint32_t hash)
{
	/* Without memory for more buckets the chains become longer. */
	if (tab->count >= tab->bucket_count && htab_grow(tab) && !tab->buckets)
		return HTAB_E_MEMORY;
	node->hash = hash;
	htab_link(tab, node);
	tab->count++;
	return HTAB_OK;
}

void htab_del(struct htab *tab, struct htab_node *node)
{
	cds_hlist_del(&node->node);
	tab->count--;
}

/* Returns a node with a hash, or NULL. */
struct htab_node *htab_first(const struct htab *tab, uint32_t hash)
{
	if (!tab->buckets)
		return NULL;
	return htab_match(tab->buckets[hash & (tab->bucket_count - 1)].next,
			  hash);
}

/* Returns another node with the hash of this one, or NULL. */
struct htab_node *htab_next(const struct htab_node *node)
{
	return htab_match(node->node.next, node->hash);
}

/* Frees the buckets; the nodes belong to the caller. */
void htab_free(struct htab *tab)
{
	free(tab->buckets);
	memset(tab, 0, sizeof(*tab));
}

static int htab_grow(struct htab *tab)
{
	struct cds_hlist_head *old = tab->buckets;
	uint32_t old_count = tab->bucket_count;
	uint32_t count = old_count ? old_count * 2 : HTAB_BUCKETS_MIN;
	struct cds_hlist_head *buckets = calloc(count, sizeof(*buckets));
	struct cds_hlist_node *at;
	struct cds_hlist_node *next;
	uint32_t i;

	if (!buckets)
		return HTAB_E_MEMORY;
	tab->buckets = buckets;
	tab->bucket_count = count;
	for (i = 0; i < old_count; i++) {
		for (at = old[i].next; at; at = next) {
			next = at->next;
			htab_link(tab,
				  cds_hlist_entry(at, struct htab_node, node));
		}
	}
	free(old);
	return HTAB_OK;
}

static void htab_link(struct htab *tab, struct htab_node *node)
{
	cds_hlist_add_head(&node->node,
			   &tab->buckets[node->hash & (tab->bucket_count - 1)]);
}

static struct htab_node *htab_match(struct cds_hlist_node *at, uint32_t hash)
{
	struct htab_node *node;

	for (; at; at = at->next) {
		node = cds_hlist_entry(at, struct htab_node, node);
		if (node->hash == hash)
			return node;
	}
	return NULL;
}
