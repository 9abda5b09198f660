#include <jansson.h>

#include "core_int.h"
#include "core_show.h"

static json_t *bound_of(struct core *core, int service);

/* Writes what only the core knows, after the counters of cnt.h. */
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

/* Writes each account's load by service and endpoint as JSON. */
void core_show_shares(struct core *core, FILE *out)
{
	shr_write_json(core->shr, out);
}

/*
 * Writes, for each service, the bound in tokens a second, and the endpoint
 * whose loss would lower it most.
 */
void core_show_bound(struct core *core, FILE *out)
{
	json_t *services = json_array();
	json_t *root = json_pack("{s:o}", "services", services);
	size_t i;

	for (i = 0; core->set && i < core->set->service_count; i++)
		json_array_append_new(services, bound_of(core, (int)i));
	json_dumpf(root, out, JSON_COMPACT | JSON_REAL_PRECISION(6));
	json_decref(root);
}

/*
 * Writes the chains that a request of the service may take.  Returns 0, or
 * -1 if there is no such service.
 */
int core_show_explain(struct core *core, const char *service, FILE *out)
{
	int index = core->set ? cfg_find_service(core->set, service) : -1;

	if (index < 0)
		return -1;
	pick_explain(core->pick, index, core->now, out);
	return 0;
}

static json_t *bound_of(struct core *core, int service)
{
	const struct cfg_set *set = core->set;
	double bound = pick_bound(core->pick, service);
	double least = bound;
	const char *worst = "";
	size_t i;

	for (i = 0; i < set->endpoint_count; i++) {
		double without;

		if (set->endpoints[i].service != service)
			continue;
		without = pick_bound_without(core->pick, service, (int)i);
		if (without < least) {
			least = without;
			worst = set->endpoints[i].name;
		}
	}
	return json_pack("{s:s, s:f, s:f, s:s}", "service",
			 set->services[service].name, "tokens_per_s", bound,
			 "tokens_per_s_worst_loss", least, "worst_loss", worst);
}
