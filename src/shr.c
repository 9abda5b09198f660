#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "shr.h"

#define SHR_BUCKETS 1024 /* a power of two */
#define SHR_NONE    (-1) /* no endpoint: what is counted before one is known */

/* One account at one service, at one endpoint or at none. */
struct shr_cell {
	int account;
	int service;
	int endpoint;
	int next; /* in the bucket, -1 ends it */
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
static uint32_t shr_hash(int account, int service, int endpoint);
static void shr_link(struct shr *shr, int at);
static shr_name *shr_copy(const char *first, size_t stride, size_t count);
static void shr_rename(struct shr *shr, const struct shr *old);
static int shr_index(const shr_name *names, int count, const char *name,
		     int hint);
static const char *shr_name_of(const shr_name *names, int count, int at);
static void shr_write_cell(const struct shr *shr, const struct shr_cell *cell,
			   FILE *out);
static void shr_write_family(const struct shr *shr, FILE *out, int family);
static uint64_t shr_value(const struct shr_cell *cell, int family);

static const char *const shr_names[] = {
	[SHR_OFFERED] = "offered",
	[SHR_ADMITTED] = "admitted",
	[SHR_REFUSED] = "refused",
	[SHR_RETRIED] = "retried",
	"runs",
	"tokens",
	"stage_us",
};

/* Makes an empty table; NULL if memory is short. */
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

/* Frees a table; NULL is allowed. */
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
 * Takes a new set.  What was counted stays under the names of its objects;
 * counts of objects that are gone go to "other".  Returns 0 or
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
	shr->accounts = shr_copy(set->account_count ? set->accounts->name : "",
				 sizeof(*set->accounts), set->account_count);
	shr->services = shr_copy(set->service_count ? set->services->name : "",
				 sizeof(*set->services), set->service_count);
	shr->endpoints =
		shr_copy(set->endpoint_count ? set->endpoints->name : "",
			 sizeof(*set->endpoints), set->endpoint_count);
	if (!shr->accounts || !shr->services || !shr->endpoints) {
		free(old);
		return SHR_E_MEMORY;
	}
	shr_rename(shr, old);
	free(old->accounts);
	free(old->services);
	free(old->endpoints);
	free(old);
	return SHR_OK;
}

/* Counts one request of an account at a service. */
void shr_add(struct shr *shr, int account, int service, enum shr_count what)
{
	shr_cell(shr, account, service, SHR_NONE)->counts[what]++;
}

/* Counts a retry that an endpoint's failure caused. */
void shr_add_retry(struct shr *shr, int account, int service, int endpoint)
{
	shr_cell(shr, account, service, SHR_NONE)->counts[SHR_RETRIED]++;
	if (endpoint >= 0)
		shr_cell(shr, account, service, endpoint)
			->counts[SHR_RETRIED]++;
}

/*
 * Counts an attempt that ended: its tokens, and at each stage the time that
 * they took there (hop_us, a token's mean by stage; NULL if not known).
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
 * Writes all cells in the text exposition.  The number of label sets is at
 * most SHR_CELLS_MAX + 1 a family.
 */
void shr_write_metrics(const struct shr *shr, FILE *out)
{
	int family;

	for (family = 0; family < (int)MAG_ARRAY_SIZE(shr_names); family++)
		shr_write_family(shr, out, family);
}

/* Returns a cell, made on first use; the common one if the table is full. */
static struct shr_cell *shr_cell(struct shr *shr, int account, int service,
				 int endpoint)
{
	uint32_t hash = shr_hash(account, service, endpoint);
	struct shr_cell *cell;
	int at;

	for (at = shr->buckets[hash]; at >= 0; at = shr->cells[at].next) {
		cell = &shr->cells[at];
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
	shr_link(shr, shr->count++);
	return cell;
}

/* Returns the bucket of a cell. */
static uint32_t shr_hash(int account, int service, int endpoint)
{
	uint32_t hash = (uint32_t)(account + 1) * UINT32_C(2654435761);

	hash = (hash ^ (uint32_t)(service + 1)) * UINT32_C(2246822519);
	hash = (hash ^ (uint32_t)(endpoint + 1)) * UINT32_C(3266489917);
	return (hash >> 16) & (SHR_BUCKETS - 1);
}

/* Puts a cell into its bucket. */
static void shr_link(struct shr *shr, int at)
{
	struct shr_cell *cell = &shr->cells[at];
	uint32_t hash = shr_hash(cell->account, cell->service, cell->endpoint);

	cell->next = shr->buckets[hash];
	shr->buckets[hash] = at;
}

/* Copies the names of a table of objects, each the first field of its own. */
static shr_name *shr_copy(const char *first, size_t stride, size_t count)
{
	shr_name *names = calloc(count + 1, sizeof(*names));
	size_t i;

	for (i = 0; names && i < count; i++)
		mag_copy_name(names[i], sizeof(names[i]), first + i * stride);
	return names;
}

/* Files every cell under the present indices of its names. */
static void shr_rename(struct shr *shr, const struct shr *old)
{
	int i;
	int j;

	shr->count = 0;
	memset(shr->buckets, -1, sizeof(shr->buckets));
	for (i = 0; i < old->count; i++) {
		const struct shr_cell *from = &old->cells[i];
		struct shr_cell *to = &shr->other;
		int a = shr_index(shr->accounts, shr->account_count,
				  shr_name_of(old->accounts, old->account_count,
					      from->account),
				  from->account);
		int s = shr_index(shr->services, shr->service_count,
				  shr_name_of(old->services, old->service_count,
					      from->service),
				  from->service);
		int e = SHR_NONE;

		if (from->endpoint >= 0)
			e = shr_index(shr->endpoints, shr->endpoint_count,
				      shr_name_of(old->endpoints,
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

/* Returns where a name stands, -1 if it is gone. */
static int shr_index(const shr_name *names, int count, const char *name,
		     int hint)
{
	return mag_name_near(names[0], sizeof(*names), (size_t)count, name,
			     hint);
}

/* Returns a name, "other" for what is none. */
static const char *shr_name_of(const shr_name *names, int count, int at)
{
	return at >= 0 && at < count ? names[at] : "other";
}

/* Writes one cell as a JSON object; names hold no character to escape. */
static void shr_write_cell(const struct shr *shr, const struct shr_cell *cell,
			   FILE *out)
{
	int family;

	fprintf(out, "{\"account\":\"%s\",\"service\":\"%s\"",
		shr_name_of(shr->accounts, shr->account_count, cell->account),
		shr_name_of(shr->services, shr->service_count, cell->service));
	if (cell->endpoint >= 0)
		fprintf(out, ",\"endpoint\":\"%s\"",
			shr_name_of(shr->endpoints, shr->endpoint_count,
				    cell->endpoint));
	for (family = 0; family < (int)MAG_ARRAY_SIZE(shr_names); family++) {
		if (shr_value(cell, family))
			fprintf(out, ",\"%s\":%" PRIu64, shr_names[family],
				shr_value(cell, family));
	}
	fprintf(out, "}");
}

/* Writes one counter of all cells; zeros are left out. */
static void shr_write_family(const struct shr *shr, FILE *out, int family)
{
	int i;

	fprintf(out, "# TYPE magnolia_share_%s_total counter\n",
		shr_names[family]);
	for (i = 0; i <= shr->count; i++) {
		const struct shr_cell *cell =
			i < shr->count ? &shr->cells[i] : &shr->other;

		if (!shr_value(cell, family))
			continue;
		fprintf(out,
			"magnolia_share_%s_total{account=\"%s\",service=\"%s\"",
			shr_names[family],
			shr_name_of(shr->accounts, shr->account_count,
				    cell->account),
			shr_name_of(shr->services, shr->service_count,
				    cell->service));
		if (cell->endpoint >= 0)
			fprintf(out, ",endpoint=\"%s\"",
				shr_name_of(shr->endpoints, shr->endpoint_count,
					    cell->endpoint));
		fprintf(out, "} %" PRIu64 "\n", shr_value(cell, family));
	}
}

/* Returns one counter of a cell, in the order of shr_names. */
static uint64_t shr_value(const struct shr_cell *cell, int family)
{
	if (family < SHR_COUNT)
		return cell->counts[family];
	if (family == SHR_COUNT)
		return cell->runs;
	return family == SHR_COUNT + 1 ? cell->tokens : cell->stage_us;
}
