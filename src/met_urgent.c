#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "jlog.h"
#include "met_urgent.h"

#define MET_URGENT_OTHER "other"
/* A reserve that was not computed again for this long is in force no more. */
#define MET_URGENT_RESERVE_US (5 * MAG_US_PER_S)

enum met_urgent_column {
	MET_URGENT_ASKED,
	MET_URGENT_BEGUN,
	MET_URGENT_REFUSED,
	MET_URGENT_WAITING,
	MET_URGENT_RESERVE,
	MET_URGENT_USED,
	MET_URGENT_ACCOUNT_REFUSED,
	MET_URGENT_ACCOUNT_WAITING,
	MET_URGENT_COLUMN_COUNT
};

struct met_urgent_family {
	const char *name;
	const char *type;
	const char *help;
	int decimals;
};

/* clang-format off */
static const struct met_urgent_family
met_urgent_families[MET_URGENT_COLUMN_COUNT] = {
	[MET_URGENT_ASKED] = { "asked_total", "counter", "requests that arrived", 0 },
	[MET_URGENT_BEGUN] = { "begun_total", "counter", "requests sent to workers", 0 },
	[MET_URGENT_REFUSED] = { "refused_total", "counter", "requests refused for lack of capacity", 0 },
	[MET_URGENT_WAITING] = { "waiting", "gauge", "requests that wait for capacity", 0 },
	[MET_URGENT_RESERVE] = { "reserve", "gauge", "fraction of the capacity that such requests leave free", 3 },
	[MET_URGENT_USED] = { "account_used_total", "counter", "tokens x layers, or slots, of the requests sent to workers", 0 },
	[MET_URGENT_ACCOUNT_REFUSED] = { "account_refused_total", "counter", "requests refused for lack of capacity", 0 },
	[MET_URGENT_ACCOUNT_WAITING] = { "account_waiting", "gauge", "requests that wait for capacity", 0 },
};
/* clang-format on */

static int met_urgent_find(const struct met_urgent *met, const char *service);
static struct met_urgent_level *
met_urgent_level(struct met_urgent *met, const struct met_urgent_key *key);
static struct met_urgent_account *
met_urgent_account(struct met_urgent *met, const struct met_urgent_key *key,
		   bool add);
static bool met_urgent_copy_name(char *name, const char *text);
static double met_urgent_level_value(const struct met_urgent_level *level,
				     enum met_urgent_column column,
				     int64_t now);
static double met_urgent_account_value(const struct met_urgent_account *account,
				       enum met_urgent_column column);
static void met_urgent_write_levels(const struct met_urgent *met,
				    enum met_urgent_column column, int64_t now,
				    struct evbuffer *out);
static void met_urgent_write_level(const char *service, const char *urgency,
				   const struct met_urgent_level *level,
				   enum met_urgent_column column, int64_t now,
				   struct evbuffer *out);
static void met_urgent_write_accounts(const struct met_urgent *met,
				      enum met_urgent_column column,
				      struct evbuffer *out);
static void met_urgent_write_account(const char *service, const char *name,
				     const struct met_urgent_account *account,
				     enum met_urgent_column column,
				     struct evbuffer *out);

/* Counts a request that arrived. */
void met_urgent_asked(struct met_urgent *met, const struct met_urgent_key *key)
{
	met_urgent_level(met, key)->asked++;
}

/*
 * Counts a request that is sent to workers for the first time; the need is its
 * memory in tokens x layers, or 1 for a slot.
 */
void met_urgent_begun(struct met_urgent *met, const struct met_urgent_key *key,
		      double need)
{
	met_urgent_level(met, key)->begun++;
	met_urgent_account(met, key, false)->used += need;
}

/* Counts a request that is refused for lack of capacity. */
void met_urgent_refused(struct met_urgent *met,
			const struct met_urgent_key *key)
{
	met_urgent_level(met, key)->refused++;
	met_urgent_account(met, key, true)->refused++;
}

/* Each beginning of a wait must have one end, with the same key. */
void met_urgent_wait_began(struct met_urgent *met,
			   const struct met_urgent_key *key)
{
	met_urgent_level(met, key)->waiting++;
	met_urgent_account(met, key, true)->waiting++;
}

void met_urgent_wait_ended(struct met_urgent *met,
			   const struct met_urgent_key *key)
{
	met_urgent_level(met, key)->waiting--;
	met_urgent_account(met, key, false)->waiting--;
}

/* Stores what urg_reserve() returned for a request. */
void met_urgent_reserved(struct met_urgent *met,
			 const struct met_urgent_key *key, double reserve,
			 int64_t now)
{
	struct met_urgent_level *level = met_urgent_level(met, key);

	level->reserve = reserve;
	level->reserve_us = now;
}

/*
 * Returns the greatest reserve of a service that is in force; 0 if its requests
 * leave nothing free.
 */
double met_urgent_greatest_reserve(const struct met_urgent *met,
				   const char *service, int64_t now)
{
	const struct met_urgent_service *found;
	int index = met_urgent_find(met, service);
	double greatest = 0;
	double reserve;
	int i;

	if (index < 0)
		return 0;
	found = &met->services[index];
	for (i = 0; i < found->count; i++) {
		reserve = met_urgent_level_value(&found->levels[i],
						 MET_URGENT_RESERVE, now);
		if (reserve > greatest)
			greatest = reserve;
	}
	return greatest;
}

/* Returns how many requests for a service were refused; 0 if not known. */
uint64_t met_urgent_refusals(const struct met_urgent *met, const char *service)
{
	int index = met_urgent_find(met, service);
	const struct met_urgent_service *found;
	uint64_t refused;
	int i;

	if (index < 0)
		return 0;
	found = &met->services[index];
	refused = found->other.refused;
	for (i = 0; i < found->count; i++)
		refused += found->levels[i].refused;
	return refused;
}

/* Returns the index of a service, -1 if it has no place in the table. */
static int met_urgent_find(const struct met_urgent *met, const char *service)
{
	char name[MAG_NAME_MAX];
	int i;

	if (!met_urgent_copy_name(name, service))
		return -1;
	for (i = 0; i < met->service_count; i++) {
		if (strcmp(met->services[i].name, name) == 0)
			return i;
	}
	return -1;
}

/* Returns the counters of a request's urgency, or those of all others. */
static struct met_urgent_level *
met_urgent_level(struct met_urgent *met, const struct met_urgent_key *key)
{
	int index = met_urgent_find(met, key->service);
	struct met_urgent_service *service;
	int i;

	if (index < 0) {
		if (met->service_count == MET_URGENT_SERVICES_MAX ||
		    !met_urgent_copy_name(
			    met->services[met->service_count].name,
			    key->service))
			return &met->other;
		index = met->service_count++;
	}
	service = &met->services[index];
	for (i = 0; i < service->count; i++) {
		if (service->levels[i].urgency == key->urgency)
			return &service->levels[i];
	}
	if (service->count == MET_URGENT_LEVELS_MAX)
		return &service->other;
	service->levels[service->count].urgency = key->urgency;
	return &service->levels[service->count++];
}

/*
 * Returns the counters of a request's account; those of all others if it has no
 * place in the table and is not to be added, or does not fit.
 */
static struct met_urgent_account *
met_urgent_account(struct met_urgent *met, const struct met_urgent_key *key,
		   bool add)
{
	struct met_urgent_account *account;
	char service[MAG_NAME_MAX];
	char name[MAG_NAME_MAX];
	int i;

	if (!key->account || !met_urgent_copy_name(name, key->account))
		return &met->other_account;
	(void)met_urgent_copy_name(service, key->service);
	for (i = 0; i < met->account_count; i++) {
		account = &met->accounts[i];
		if (strcmp(account->name, name) == 0 &&
		    strcmp(account->service, service) == 0)
			return account;
	}
	if (!add || met->account_count == MET_URGENT_ACCOUNTS_MAX)
		return &met->other_account;
	account = &met->accounts[met->account_count++];
	mag_copy_name(account->name, sizeof(account->name), name);
	mag_copy_name(account->service, sizeof(account->service), service);
	return account;
}

/*
 * Copies a name as it is written in a label; false if it is that of the rest,
 * which would be written twice.
 */
static bool met_urgent_copy_name(char *name, const char *text)
{
	char identity[MAG_NAME_MAX];

	mag_identify(identity, text);
	jlog_sanitize(name, MAG_NAME_MAX, identity);
	return strcmp(name, MET_URGENT_OTHER) != 0;
}

/* Writes all metrics in the Prometheus text format. */
void met_urgent_write(const struct met_urgent *met, int64_t now,
		      struct evbuffer *out)
{
	const struct met_urgent_family *family;
	int column;

	for (column = 0; column < MET_URGENT_COLUMN_COUNT; column++) {
		family = &met_urgent_families[column];
		evbuffer_add_printf(out,
				    "# HELP magnolia_urgency_%s %s\n"
				    "# TYPE magnolia_urgency_%s %s\n",
				    family->name, family->help, family->name,
				    family->type);
		if (column < MET_URGENT_USED)
			met_urgent_write_levels(met, column, now, out);
		else
			met_urgent_write_accounts(met, column, out);
	}
}

static void met_urgent_write_levels(const struct met_urgent *met,
				    enum met_urgent_column column, int64_t now,
				    struct evbuffer *out)
{
	const struct met_urgent_service *service;
	const struct met_urgent_level *level;
	char urgency[16];
	int i;
	int k;

	for (i = 0; i < met->service_count; i++) {
		service = &met->services[i];
		for (k = 0; k < service->count; k++) {
			level = &service->levels[k];
			snprintf(urgency, sizeof(urgency), "%d.%d",
				 level->urgency >> 8, level->urgency & 0xff);
			met_urgent_write_level(service->name, urgency, level,
					       column, now, out);
		}
		met_urgent_write_level(service->name, MET_URGENT_OTHER,
				       &service->other, column, now, out);
	}
	met_urgent_write_level(MET_URGENT_OTHER, MET_URGENT_OTHER, &met->other,
			       column, now, out);
}

/* Writes a sample; none of a rest that was never used. */
static void met_urgent_write_level(const char *service, const char *urgency,
				   const struct met_urgent_level *level,
				   enum met_urgent_column column, int64_t now,
				   struct evbuffer *out)
{
	if (strcmp(urgency, MET_URGENT_OTHER) == 0 && level->asked == 0)
		return;
	evbuffer_add_printf(
		out,
		"magnolia_urgency_%s{service=\"%s\",urgency=\"%s\"} %.*f\n",
		met_urgent_families[column].name, service, urgency,
		met_urgent_families[column].decimals,
		met_urgent_level_value(level, column, now));
}

static double met_urgent_level_value(const struct met_urgent_level *level,
				     enum met_urgent_column column, int64_t now)
{
	switch (column) {
	case MET_URGENT_ASKED:
		return (double)level->asked;
	case MET_URGENT_BEGUN:
		return (double)level->begun;
	case MET_URGENT_REFUSED:
		return (double)level->refused;
	case MET_URGENT_WAITING:
		return (double)level->waiting;
	default:
		return level->reserve_us && now - level->reserve_us <=
						    MET_URGENT_RESERVE_US
			       ? level->reserve
			       : 0;
	}
}

static void met_urgent_write_accounts(const struct met_urgent *met,
				      enum met_urgent_column column,
				      struct evbuffer *out)
{
	const struct met_urgent_account *account;
	int i;

	for (i = 0; i < met->account_count; i++) {
		account = &met->accounts[i];
		met_urgent_write_account(account->service, account->name,
					 account, column, out);
	}
	met_urgent_write_account(MET_URGENT_OTHER, MET_URGENT_OTHER,
				 &met->other_account, column, out);
}

static void met_urgent_write_account(const char *service, const char *name,
				     const struct met_urgent_account *account,
				     enum met_urgent_column column,
				     struct evbuffer *out)
{
	evbuffer_add_printf(
		out,
		"magnolia_urgency_%s{service=\"%s\",account=\"%s\"} %.*f\n",
		met_urgent_families[column].name, service, name,
		met_urgent_families[column].decimals,
		met_urgent_account_value(account, column));
}

static double met_urgent_account_value(const struct met_urgent_account *account,
				       enum met_urgent_column column)
{
	switch (column) {
	case MET_URGENT_ACCOUNT_REFUSED:
		return (double)account->refused;
	case MET_URGENT_ACCOUNT_WAITING:
		return (double)account->waiting;
	default:
		return account->used;
	}
}
