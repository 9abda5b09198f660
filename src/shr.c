#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "shr.h"

#define SHR_BUCKETS 1024 /* must be a power of two */
#define SHR_NONE    (-1) /* endpoint of counts that belong to none */

/* The counters of an account at a service, for one endpoint or for none. */
struct shr_cell {
	int account;
	int service;
	int endpoint;
	int next; /* cell in the same bucket; -1: none */
	uint64_t counts[SHR_COUNT];
	uint64_t runs;
	uint64_t tokens;
	uint64_t stage_us;
};

typedef char shr_name[MAG_NAME_MAX];

struct shr {
	struct shr_cell cells[SHR_CELLS_MAX];
	int count;
	struct shr_cell other;
	int buckets[SHR_BUCKETS];
	shr_name *accounts;
	int account_count;
	shr_name *services;
	int service_count;
	shr_name *endpoints;
	int endpoint_count;
};

static struct shr_cell *shr_cell(struct shr *shr, int account, int service,
				 int endpoint);
static uint32_t shr_bucket(int account, int service, int endpoint);
static void shr_insert(struct shr *shr, int index);
static shr_name *shr_copy_names(const char *first, size_t stride, size_t count);
static void shr_reindex(struct shr *shr, const struct shr *old);
static int shr_find_name(const shr_name *names, int count, const char *name,
			 int hint);
static const char *shr_name_at(const shr_name *names, int count, int index);
static void shr_write_cell(const struct shr *shr, const struct shr_cell *cell,
			   FILE *out);
static void shr_write_family(const struct shr *shr, FILE *out, int family);
static uint64_t shr_counter(const struct shr_cell *cell, int family);

static const char *const shr_counter_names[] = {
	[SHR_OFFERED] = "offered",
	[SHR_ADMITTED] = "admitted",
	[SHR_REFUSED] = "refused",
	[SHR_RETRIED] = "retried",
	"runs",
	"tokens",
	"stage_us",
};

/* Creates an empty table; returns NULL if out of memory. */
struct shr *shr_new(void)
{
	struct shr *shr = calloc(1, sizeof(*shr));

	if (!shr)
		return NULL;
	memset(shr->buckets, -1, sizeof(shr->buckets));
	shr->other.account = SHR_NONE;
	shr->other.service = SHR_NONE;
	shr->other.endpoint = SHR_NONE;
	return shr;
}

/* Frees a table; NULL is a no-op. */
void shr_free(struct shr *shr)
{
	if (!shr)
		return;
	free(shr->accounts);
	free(shr->services);
	free(shr->endpoints);
	free(shr);
}

/*
 * Applies a new set.  Counts are carried over by the names of their objects;
 * those of removed objects are added to "other".  Returns 0 or
 * SHR_E_MEMORY.
 */
int shr_config(struct shr *shr, const struct cfg_set *set)
{
	struct shr *old = malloc(sizeof(*old));

	if (!old)
		return SHR_E_MEMORY;
	*old = *shr;
	shr->account_count = (int)set->account_count;
	shr->service_count = (int)set->service_count;
	shr->endpoint_count = (int)set->endpoint_count;
	shr->accounts =
		shr_copy_names(set->account_count ? set->accounts->name : "",
			       sizeof(*set->accounts), set->account_count);
	shr->services =
		shr_copy_names(set->service_count ? set->services->name : "",
			       sizeof(*set->services), set->service_count);
	shr->endpoints =
		shr_copy_names(set->endpoint_count ? set->endpoints->name : "",
			       sizeof(*set->endpoints), set->endpoint_count);
	if (!shr->accounts || !shr->services || !shr->endpoints) {
		free(old);
		return SHR_E_MEMORY;
	}
	shr_reindex(shr, old);
	free(old->accounts);
	free(old->services);
	free(old->endpoints);
	free(old);
	return SHR_OK;
}

/* Counts one request of an account at a service. */
void shr_add(struct shr *shr, int account, int service, enum shr_count counter)
{
	shr_cell(shr, account, service, SHR_NONE)->counts[counter]++;
}

/* Counts a retry after a failure; endpoint is negative if none caused it. */
void shr_add_retry(struct shr *shr, int account, int service, int endpoint)
{
	shr_cell(shr, account, service, SHR_NONE)->counts[SHR_RETRIED]++;
	if (endpoint >= 0)
		shr_cell(shr, account, service, endpoint)
			->counts[SHR_RETRIED]++;
}

/*
 * Counts an attempt that has ended: its tokens and the time that they took at
 * each stage.  hop_us is the mean time per token by stage; NULL if unknown.
 */
void shr_add_attempt(struct shr *shr, int account, int service,
		     const struct pick_chain *chain, uint32_t tokens,
		     const uint32_t *hop_us)
{
	int i;

	for (i = 0; i < chain->count; i++) {
		int endpoint = chain->stages[i].endpoint;
		struct shr_cell *cell;

		if (endpoint < 0)
			continue;
		cell = shr_cell(shr, account, service, endpoint);
		cell->runs++;
		cell->tokens += tokens;
		if (hop_us)
			cell->stage_us += (uint64_t)hop_us[i] * tokens;
	}
}

/* Writes all cells as JSON: {"shares":[...]}. */
void shr_write_json(const struct shr *shr, FILE *out)
{
	int i;

	fprintf(out, "{\"shares\":[");
	for (i = 0; i < shr->count; i++) {
		fprintf(out, i ? ",\n" : "\n");
		shr_write_cell(shr, &shr->cells[i], out);
	}
	if (shr->count == SHR_CELLS_MAX) {
		fprintf(out, ",\n");
		shr_write_cell(shr, &shr->other, out);
	}
	fprintf(out, "]}\n");
}

/*
 * Writes all cells in the text exposition format for metrics.  A metric family
 * has at most SHR_CELLS_MAX + 1 label sets.
 */
void shr_write_metrics(const struct shr *shr, FILE *out)
{
	int family;

	for (family = 0; family < (int)MAG_ARRAY_SIZE(shr_counter_names);
	     family++)
		shr_write_family(shr, out, family);
}

/* Finds or adds a cell; returns the cell "other" if the table is full. */
static struct shr_cell *shr_cell(struct shr *shr, int account, int service,
				 int endpoint)
{
	uint32_t bucket = shr_bucket(account, service, endpoint);
	struct shr_cell *cell;
	int index;

	for (index = shr->buckets[bucket]; index >= 0;
	     index = shr->cells[index].next) {
		cell = &shr->cells[index];
		if (cell->account == account && cell->service == service &&
		    cell->endpoint == endpoint)
			return cell;
	}
	if (shr->count == SHR_CELLS_MAX)
		return &shr->other;
	cell = &shr->cells[shr->count];
	memset(cell, 0, sizeof(*cell));
	cell->account = account;
	cell->service = service;
	cell->endpoint = endpoint;
	shr_insert(shr, shr->count++);
	return cell;
}

/* Returns the hash bucket of a cell. */
static uint32_t shr_bucket(int account, int service, int endpoint)
{
	uint32_t bucket = (uint32_t)(account + 1) * UINT32_C(2654435761);

	bucket = (bucket ^ (uint32_t)(service + 1)) * UINT32_C(2246822519);
	bucket = (bucket ^ (uint32_t)(endpoint + 1)) * UINT32_C(3266489917);
	return (bucket >> 16) & (SHR_BUCKETS - 1);
}

/* Inserts a cell into its hash bucket. */
static void shr_insert(struct shr *shr, int index)
{
	struct shr_cell *cell = &shr->cells[index];
	uint32_t bucket =
		shr_bucket(cell->account, cell->service, cell->endpoint);

	cell->next = shr->buckets[bucket];
	shr->buckets[bucket] = index;
}

/* Copies the names out of an array of objects with the given stride. */
static shr_name *shr_copy_names(const char *first, size_t stride, size_t count)
{
	shr_name *names = calloc(count + 1, sizeof(*names));
	size_t i;

	for (i = 0; names && i < count; i++)
		mag_copy_name(names[i], sizeof(names[i]), first + i * stride);
	return names;
}

/* Adds each old cell's counts to the cell with the same names in the new set.
 */
static void shr_reindex(struct shr *shr, const struct shr *old)
{
	int i;
	int j;

	shr->count = 0;
	memset(shr->buckets, -1, sizeof(shr->buckets));
	for (i = 0; i < old->count; i++) {
		const struct shr_cell *from = &old->cells[i];
		struct shr_cell *to = &shr->other;
		int a = shr_find_name(shr->accounts, shr->account_count,
				      shr_name_at(old->accounts,
						  old->account_count,
						  from->account),
				      from->account);
		int s = shr_find_name(shr->services, shr->service_count,
				      shr_name_at(old->services,
						  old->service_count,
						  from->service),
				      from->service);
		int e = SHR_NONE;

		if (from->endpoint >= 0)
			e = shr_find_name(shr->endpoints, shr->endpoint_count,
					  shr_name_at(old->endpoints,
						      old->endpoint_count,
						      from->endpoint),
					  from->endpoint);
		if (a >= 0 && s >= 0 && (e >= 0 || from->endpoint < 0))
			to = shr_cell(shr, a, s, e);
		for (j = 0; j < SHR_COUNT; j++)
			to->counts[j] += from->counts[j];
		to->runs += from->runs;
		to->tokens += from->tokens;
		to->stage_us += from->stage_us;
	}
}

/* Returns the index of a name, searched from hint; -1 if it is gone. */
static int shr_find_name(const shr_name *names, int count, const char *name,
			 int hint)
{
	return mag_find_name(names[0], sizeof(*names), (size_t)count, name,
			     hint);
}

/* Returns the name at an index; "other" if the index is invalid. */
static const char *shr_name_at(const shr_name *names, int count, int index)
{
	return index >= 0 && index < count ? names[index] : "other";
}

/* Writes a cell as a JSON object; names need no escaping. */
static void shr_write_cell(const struct shr *shr, const struct shr_cell *cell,
			   FILE *out)
{
	int family;

	fprintf(out, "{\"account\":\"%s\",\"service\":\"%s\"",
		shr_name_at(shr->accounts, shr->account_count, cell->account),
		shr_name_at(shr->services, shr->service_count, cell->service));
	if (cell->endpoint >= 0)
		fprintf(out, ",\"endpoint\":\"%s\"",
			shr_name_at(shr->endpoints, shr->endpoint_count,
				    cell->endpoint));
	for (family = 0; family < (int)MAG_ARRAY_SIZE(shr_counter_names);
	     family++) {
		if (shr_counter(cell, family))
			fprintf(out, ",\"%s\":%" PRIu64,
				shr_counter_names[family],
				shr_counter(cell, family));
	}
	fprintf(out, "}");
}

/* Writes one metric family with the cells where it is not zero. */
static void shr_write_family(const struct shr *shr, FILE *out, int family)
{
	int i;

	fprintf(out, "# TYPE magnolia_share_%s_total counter\n",
		shr_counter_names[family]);
	for (i = 0; i <= shr->count; i++) {
		const struct shr_cell *cell =
			i < shr->count ? &shr->cells[i] : &shr->other;

		if (!shr_counter(cell, family))
			continue;
		fprintf(out,
			"magnolia_share_%s_total{account=\"%s\",service=\"%s\"",
			shr_counter_names[family],
			shr_name_at(shr->accounts, shr->account_count,
				    cell->account),
			shr_name_at(shr->services, shr->service_count,
				    cell->service));
		if (cell->endpoint >= 0)
			fprintf(out, ",endpoint=\"%s\"",
				shr_name_at(shr->endpoints, shr->endpoint_count,
					    cell->endpoint));
		fprintf(out, "} %" PRIu64 "\n", shr_counter(cell, family));
	}
}

/* Returns one counter of a cell, by its index in shr_counter_names. */
static uint64_t shr_counter(const struct shr_cell *cell, int family)
{
	if (family < SHR_COUNT)
		return cell->counts[family];
	if (family == SHR_COUNT)
		return cell->runs;
	return family == SHR_COUNT + 1 ? cell->tokens : cell->stage_us;
}
