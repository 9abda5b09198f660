#include "quar_trait_int.h"

/*
 * Endpoints that are lost within this time have a cause in common, as requests
 * begin one after the other.
 */
#define QUAR_TRAIT_TOGETHER_US (20 * MAG_US_PER_MS)

static int64_t quar_trait_lost_at(const struct quar_trait_entry *entry,
				  int index);

/*
 * Returns how many losses are known by then, those at the same moment counting
 * as one.
 */
int quar_trait_moments(const struct quar_trait_entry *entry, int64_t until_us)
{
	int64_t after_us = QUAR_TRAIT_UNSEEN;
	int64_t next_us;
	int64_t at_us;
	int count = 0;
	int i;

	for (;;) {
		next_us = MAG_NEVER;
		for (i = 0; i < entry->pair_count; i++) {
			at_us = quar_trait_lost_at(entry, i);
			if (entry->pairs[i].learned_us <= until_us &&
			    at_us > after_us && at_us < next_us)
				next_us = at_us;
		}
		if (next_us == MAG_NEVER)
			return count;
		count++;
		after_us = next_us + QUAR_TRAIT_TOGETHER_US;
	}
}

/* Returns how many endpoints were lost since then, as known by until_us. */
int quar_trait_failures(const struct quar_trait_entry *entry, int64_t since_us,
			int64_t until_us)
{
	int count = 0;
	int i;

	for (i = 0; i < entry->pair_count; i++)
		count += entry->pairs[i].first &&
			 entry->pairs[i].at_us > since_us &&
			 entry->pairs[i].learned_us <= until_us;
	return count;
}

/*
 * Returns at which losses of a trait another one was, too: bit i for the i-th
 * loss.
 */
uint32_t quar_trait_shared_losses(const struct quar_trait_entry *entry,
				  const struct quar_trait_entry *other)
{
	uint32_t shared = 0;
	int i;
	int j;

	for (i = 0; i < entry->pair_count; i++) {
		for (j = 0; j < other->pair_count; j++) {
			if (other->pairs[j].endpoint ==
			    entry->pairs[i].endpoint)
				shared |= 1U << i;
		}
	}
	return shared;
}

/* Tells whether one request was at each of the endpoints lost. */
bool quar_trait_have_common_request(const struct quar_trait_entry *entry)
{
	int lost = quar_trait_endpoints(entry);
	int at;
	int i;
	int j;

	for (i = 0; i < entry->pair_count; i++) {
		at = 0;
		for (j = 0; j < entry->pair_count; j++)
			at += entry->pairs[j].request ==
			      entry->pairs[i].request;
		if (at == lost)
			return true;
	}
	return false;
}

/* Returns when the first endpoint was lost; MAG_NEVER if none was. */
int64_t quar_trait_first_loss(const struct quar_trait_entry *entry)
{
	int64_t first_us = MAG_NEVER;
	int i;

	for (i = 0; i < entry->pair_count; i++) {
		if (entry->pairs[i].at_us < first_us)
			first_us = entry->pairs[i].at_us;
	}
	return first_us;
}

/* Returns when the endpoint of a pair was first seen lost. */
static int64_t quar_trait_lost_at(const struct quar_trait_entry *entry,
				  int index)
{
	int64_t at_us = entry->pairs[index].at_us;
	int i;

	for (i = 0; i < entry->pair_count; i++) {
		if (entry->pairs[i].endpoint == entry->pairs[index].endpoint &&
		    entry->pairs[i].at_us < at_us)
			at_us = entry->pairs[i].at_us;
	}
	return at_us;
}
