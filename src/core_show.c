#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "core_int.h"
#include "core_show.h"

#define SHOW_BINDS_MAX 512

static json_t *bound_summary(struct core *core, int service);
static json_t *read_bound(struct core *core, int service);
static void format_binds(const json_t *binds, char *text, size_t size);

/* Writes the metrics that only the core has; those of cnt.h precede them. */
void core_show_metrics(struct core *core, FILE *out)
{
	size_t i;

	fprintf(out,
		"# HELP magnolia_revision configuration in force\n"
		"# TYPE magnolia_revision gauge\nmagnolia_revision %llu\n",
		(unsigned long long)core_revision(core));
	for (i = 0; core->set && i < core->set->service_count; i++)
		fprintf(out,
			"magnolia_waiting{service=\"%s\"} %u\n"
			"magnolia_bound_tokens_per_s{service=\"%s\"} %.0f\n",
			core->set->services[i].name,
			adm_waiting(core->adm, (int)i),
			core->set->services[i].name,
			pick_bound(core->pick, (int)i));
	shr_write_metrics(core->shr, out);
}

/* Writes each account's load per service and endpoint as JSON. */
void core_show_shares(struct core *core, FILE *out)
{
	shr_write_json(core->shr, out);
}

/*
 * Writes, for each service, the bound in tokens per second and the endpoint
 * whose loss would reduce it most.
 */
void core_show_bound(struct core *core, FILE *out)
{
	json_t *services = json_array();
	json_t *root = json_pack("{s:o}", "services", services);
	size_t i;

	for (i = 0; core->set && i < core->set->service_count; i++)
		json_array_append_new(services, bound_summary(core, (int)i));
	json_dumpf(root, out, JSON_COMPACT | JSON_REAL_PRECISION(6));
	json_decref(root);
}

/*
 * Writes the chains that a request to the service could use.  Returns 0, or -1
 * if the service does not exist.
 */
int core_show_explain(struct core *core, const char *service, FILE *out)
{
	int index = core->set ? cfg_find_service(core->set, service) : -1;
	struct pick_request request = { .group = "" };

	if (index < 0)
		return -1;
	request.service = index;
	return pick_explain_request(core->pick, &request, core->now, out) ? -1
									  : 0;
}

/* Builds one row: the bound, the worst single loss and what binds the bound. */
static json_t *bound_summary(struct core *core, int service)
{
	json_t *bound = read_bound(core, service);
	const char *worst = "";
	char binds[SHOW_BINDS_MAX];
	double value;
	double lowest;
	json_t *entry;
	json_t *row;
	size_t i;

	value = json_number_value(json_object_get(bound, "tokens_per_s"));
	lowest = value;
	json_array_foreach (json_object_get(bound, "without"), i, entry) {
		double without = json_number_value(
			json_object_get(entry, "tokens_per_s"));

		if (without < lowest) {
			lowest = without;
			worst = json_string_value(
				json_object_get(entry, "endpoint"));
		}
	}
	format_binds(json_object_get(bound, "binds"), binds, sizeof(binds));
	row = json_pack("{s:s, s:f, s:f, s:s, s:s}", "service",
			core->set->services[service].name, "tokens_per_s",
			value, "tokens_per_s_worst_loss", lowest, "worst_loss",
			worst, "bound_by", binds);
	json_decref(bound);
	return row;
}

/* Parses the JSON that pick writes about a service's bound; NULL if none. */
static json_t *read_bound(struct core *core, int service)
{
	char *text = NULL;
	size_t len = 0;
	FILE *file = open_memstream(&text, &len);
	json_t *bound;

	if (!file)
		return NULL;
	pick_write_bound(core->pick, service, core->now, file);
	fclose(file);
	bound = json_loadb(text, len, 0, NULL);
	free(text);
	return bound;
}

/* Lists what binds the bound as endpoint:kind, each pair once. */
static void format_binds(const json_t *binds, char *text, size_t size)
{
	json_t *entry;
	char item[MAG_NAME_MAX + 16];
	size_t used = 0;
	size_t i;

	text[0] = '\0';
	json_array_foreach (binds, i, entry) {
		snprintf(item, sizeof(item), "%s:%s",
			 json_string_value(json_object_get(entry, "endpoint")),
			 json_string_value(json_object_get(entry, "what")));
		if (used >= size)
			return;
		if (!strstr(text, item))
			used += (size_t)snprintf(text + used, size - used,
						 "%s%s", used ? " " : "", item);
	}
}
