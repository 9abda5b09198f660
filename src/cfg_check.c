#include <stdlib.h>
#include <string.h>

#include "cfg_int.h"

/*
 * Checks of single objects and between objects.  cfg_cover.c checks which
 * layers the endpoints hold.
 */

typedef int (*cfg_cmp_fn)(const void *a, const void *b);

/* A comparison by which no two objects of a kind may be equal. */
struct cfg_unique_rule {
	enum cfg_kind kind;
	cfg_cmp_fn cmp; /* of pointers to objects */
	const char *field;
	enum cfg_msg msg;
};

static void cfg_check_service(struct cfg_build *build, size_t i);
static void cfg_check_limit(struct cfg_build *build, size_t i);
static void cfg_check_endpoint(struct cfg_build *build, size_t i);
static void cfg_check_range(struct cfg_build *build,
			    const struct cfg_endpoint *e, bool complete);
static void cfg_check_unique(struct cfg_build *build,
			     const struct cfg_unique_rule *rule);
static void cfg_check_limit_reachable(struct cfg_build *build,
				      const struct cfg_limit *limit);
static bool cfg_limit_includes(const struct cfg_limit *broader,
			       const struct cfg_limit *limit);
static int cfg_cmp_hash(const void *a, const void *b);
static int cfg_cmp_route(const void *a, const void *b);
static int cfg_cmp_limit_scope(const void *a, const void *b);
static int cfg_cmp_address(const void *a, const void *b);

typedef void (*cfg_check_fn)(struct cfg_build *build, size_t i);

static const cfg_check_fn check_fns[CFG_KIND_COUNT] = {
	[CFG_SERVICE] = cfg_check_service,
	[CFG_LIMIT] = cfg_check_limit,
	[CFG_ENDPOINT] = cfg_check_endpoint,
};

static const struct cfg_unique_rule unique_rules[] = {
	{ CFG_ACCOUNT, cfg_cmp_hash, "key_hash", CFG_M_HASH_TWICE },
	{ CFG_ROUTE, cfg_cmp_route, "path", CFG_M_ROUTE_OVERLAP },
	{ CFG_LIMIT, cfg_cmp_limit_scope, "service", CFG_M_LIMIT_TWICE },
	{ CFG_ENDPOINT, cfg_cmp_address, "address", CFG_M_ADDRESS_TWICE },
};

/* Runs all checks except the coverage of layers. */
void cfg_check_set(struct cfg_build *build)
{
	size_t i;

	for (i = 0; i < build->count; i++)
		cfg_check_item(build, i);
	for (i = 0; i < MAG_ARRAY_SIZE(unique_rules); i++)
		cfg_check_unique(build, &unique_rules[i]);
	cfg_check_limits(build);
}

/* Checks that no limit makes another one unreachable. */
void cfg_check_limits(struct cfg_build *build)
{
	size_t i;

	for (i = 0; i < build->set->limit_count; i++)
		cfg_check_limit_reachable(build, &build->set->limits[i]);
}

/* Returns true if another object of the kind has the same unique value. */
bool cfg_has_duplicate(const struct cfg_build *build, enum cfg_kind kind,
		       size_t i)
{
	size_t size = cfg_layout(kind)->size;
	size_t *count;
	const char *table = *cfg_table(build->set, kind, &count);
	const char *object = table + i * size;
	size_t u;
	size_t k;

	for (u = 0; u < MAG_ARRAY_SIZE(unique_rules); u++) {
		if (unique_rules[u].kind != kind)
			continue;
		for (k = 0; k < *count; k++) {
			const char *other = table + k * size;

			if (k != i && unique_rules[u].cmp(&object, &other) == 0)
				return true;
		}
	}
	return false;
}

/*
 * Returns true if the endpoints and limits of the old set are still valid for
 * a service that changed: it has the same kind, and no endpoint has a layer
 * beyond its last one.
 */
bool cfg_service_is_compatible(struct cfg_build *build,
			       const struct cfg_service *old, size_t service)
{
	const struct cfg_set *set = build->set;
	const struct cfg_service *s = &set->services[service];
	size_t i;

	if (s->kind != old->kind)
		return false;
	for (i = 0; i < set->endpoint_count && s->kind == CFG_MODEL; i++) {
		if (set->endpoints[i].service == (int)service &&
		    set->endpoints[i].last_layer >= s->layers)
			return false;
	}
	return true;
}

/*
 * Checks a single object.  An object with invalid fields is skipped: faults
 * caused by the default values that replace them would mislead the operator.
 */
void cfg_check_item(struct cfg_build *build, size_t i)
{
	const struct cfg_item *item = &build->items[i];

	if (item->fault_count == 0 && check_fns[item->kind])
		check_fns[item->kind](build, i - build->first[item->kind]);
}

static void cfg_check_service(struct cfg_build *build, size_t i)
{
	const struct cfg_service *s = &build->set->services[i];
	json_t *object = build->items[build->first[CFG_SERVICE] + i].object;

	if (s->kind == CFG_MODEL && s->layers == 0)
		cfg_fault(build->faults, "service", s->name, "layers",
			  CFG_M_MISSING);
	if (s->kind == CFG_PLAIN && json_object_get(object, "layers"))
		cfg_fault(build->faults, "service", s->name, "layers",
			  CFG_M_MODEL_ONLY);
	if (s->kind == CFG_PLAIN && json_object_get(object, "activation_bytes"))
		cfg_fault(build->faults, "service", s->name, "activation_bytes",
			  CFG_M_MODEL_ONLY);
	if (s->default_deadline_ms > s->max_deadline_ms)
		cfg_fault(build->faults, "service", s->name,
			  "default_deadline_ms", CFG_M_DEADLINES,
			  s->default_deadline_ms, s->max_deadline_ms);
	if ((uint64_t)s->key_window_s * 1000 < s->max_deadline_ms)
		cfg_fault(build->faults, "service", s->name, "key_window_s",
			  CFG_M_KEY_WINDOW, s->key_window_s,
			  s->max_deadline_ms);
}

static void cfg_check_limit(struct cfg_build *build, size_t i)
{
	const struct cfg_limit *l = &build->set->limits[i];
	const struct cfg_service *s = NULL;

	if (l->service >= 0 && cfg_fields_valid(build, CFG_SERVICE, l->service))
		s = &build->set->services[l->service];
	if (!l->requests_per_s && !l->tokens_per_s && !l->concurrent)
		cfg_fault(build->faults, "limit", l->name, "requests_per_s",
			  CFG_M_LIMIT_EMPTY);
	if (l->tokens_per_s && s && s->kind == CFG_PLAIN)
		cfg_fault(build->faults, "limit", l->name, "tokens_per_s",
			  CFG_M_LIMIT_PLAIN, s->name);
	else if (l->tokens_per_s && l->tokens_per_s < CFG_DEFAULT_TOKENS)
		cfg_fault(build->faults, "limit", l->name, "tokens_per_s",
			  CFG_M_LIMIT_TOKENS, l->tokens_per_s,
			  CFG_DEFAULT_TOKENS);
}

static void cfg_check_endpoint(struct cfg_build *build, size_t i)
{
	const struct cfg_endpoint *e = &build->set->endpoints[i];
	const struct cfg_service *s = &build->set->services[e->service];
	json_t *object = build->items[build->first[CFG_ENDPOINT] + i].object;
	bool first = json_object_get(object, "first_layer") != NULL;
	bool last = json_object_get(object, "last_layer") != NULL;

	if (!cfg_fields_valid(build, CFG_SERVICE, e->service))
		return;
	if (s->kind == CFG_PLAIN) {
		if (first)
			cfg_fault(build->faults, "endpoint", e->name,
				  "first_layer", CFG_M_MODEL_ONLY);
		if (last)
			cfg_fault(build->faults, "endpoint", e->name,
				  "last_layer", CFG_M_MODEL_ONLY);
		return;
	}
	if (!first)
		cfg_fault(build->faults, "endpoint", e->name, "first_layer",
			  CFG_M_MISSING);
	if (!last)
		cfg_fault(build->faults, "endpoint", e->name, "last_layer",
			  CFG_M_MISSING);
	if (e->tokens_per_s == 0)
		cfg_fault(build->faults, "endpoint", e->name, "tokens_per_s",
			  CFG_M_MISSING);
	cfg_check_range(build, e, first && last);
}

/* Checks the layer range of a model's endpoint if it is complete. */
static void cfg_check_range(struct cfg_build *build,
			    const struct cfg_endpoint *e, bool complete)
{
	const struct cfg_service *s = &build->set->services[e->service];

	if (!complete)
		return;
	if (e->first_layer > e->last_layer)
		cfg_fault(build->faults, "endpoint", e->name, "first_layer",
			  CFG_M_LAYER_ORDER, e->first_layer, e->last_layer);
	if (s->layers && e->last_layer >= s->layers)
		cfg_fault(build->faults, "endpoint", e->name, "last_layer",
			  CFG_M_LAYER_BEYOND, e->last_layer, s->layers - 1,
			  s->name);
}

/*
 * Sorts pointers to the valid objects of a kind and reports neighbours that
 * are equal.  A pointer to an object also points to its name, which is the
 * first member of every structure.
 */
static void cfg_check_unique(struct cfg_build *build,
			     const struct cfg_unique_rule *rule)
{
	const struct cfg_layout *layout = cfg_layout(rule->kind);
	size_t first = build->first[rule->kind];
	size_t count = build->first[rule->kind + 1] - first;
	const char *tables[CFG_KIND_COUNT] = {
		[CFG_ACCOUNT] = (char *)build->set->accounts,
		[CFG_ROUTE] = (char *)build->set->routes,
		[CFG_LIMIT] = (char *)build->set->limits,
		[CFG_ENDPOINT] = (char *)build->set->endpoints,
	};
	const char **objects = calloc(count ? count : 1, sizeof(*objects));
	size_t object_count = 0;
	size_t i;

	if (!objects) {
		cfg_faults_mark_incomplete(build->faults);
		return;
	}
	for (i = 0; i < count; i++) {
		if (build->items[first + i].fault_count == 0)
			objects[object_count++] =
				tables[rule->kind] + i * layout->size;
	}
	qsort(objects, object_count, sizeof(*objects), rule->cmp);
	for (i = 1; i < object_count; i++) {
		if (rule->cmp(&objects[i - 1], &objects[i]) == 0)
			cfg_fault(build->faults, layout->kind, objects[i],
				  rule->field, rule->msg, objects[i - 1]);
	}
	free(objects);
}

/* Reports a limit that exceeds a broader one for the same requests. */
static void cfg_check_limit_reachable(struct cfg_build *build,
				      const struct cfg_limit *limit)
{
	size_t i;

	for (i = 0; i < build->set->limit_count; i++) {
		const struct cfg_limit *broader = &build->set->limits[i];

		if (!cfg_limit_includes(broader, limit))
			continue;
		if (broader->requests_per_s &&
		    limit->requests_per_s > broader->requests_per_s)
			cfg_fault(build->faults, "limit", limit->name,
				  "requests_per_s", CFG_M_LIMIT_UNREACHABLE,
				  limit->requests_per_s, broader->name,
				  broader->requests_per_s);
		if (broader->tokens_per_s &&
		    limit->tokens_per_s > broader->tokens_per_s)
			cfg_fault(build->faults, "limit", limit->name,
				  "tokens_per_s", CFG_M_LIMIT_UNREACHABLE,
				  limit->tokens_per_s, broader->name,
				  broader->tokens_per_s);
		if (broader->concurrent &&
		    limit->concurrent > broader->concurrent)
			cfg_fault(build->faults, "limit", limit->name,
				  "concurrent", CFG_M_LIMIT_UNREACHABLE,
				  limit->concurrent, broader->name,
				  broader->concurrent);
	}
}

/* Returns true if a broader limit applies to all requests of another one. */
static bool cfg_limit_includes(const struct cfg_limit *broader,
			       const struct cfg_limit *limit)
{
	if (broader->account >= 0 && broader->service >= 0)
		return false;
	if (broader->account >= 0 && broader->account != limit->account)
		return false;
	if (broader->service >= 0 && broader->service != limit->service)
		return false;
	return broader->account != limit->account ||
	       broader->service != limit->service;
}

static int cfg_cmp_hash(const void *a, const void *b)
{
	const struct cfg_account *x = *(const struct cfg_account *const *)a;
	const struct cfg_account *y = *(const struct cfg_account *const *)b;

	return strcmp(x->key_hash, y->key_hash);
}

static int cfg_cmp_route(const void *a, const void *b)
{
	const struct cfg_route *x = *(const struct cfg_route *const *)a;
	const struct cfg_route *y = *(const struct cfg_route *const *)b;
	int cmp = strcmp(x->host, y->host);

	return cmp ? cmp : strcmp(x->path, y->path);
}

static int cfg_cmp_limit_scope(const void *a, const void *b)
{
	const struct cfg_limit *x = *(const struct cfg_limit *const *)a;
	const struct cfg_limit *y = *(const struct cfg_limit *const *)b;

	if (x->account != y->account)
		return x->account < y->account ? -1 : 1;
	if (x->service != y->service)
		return x->service < y->service ? -1 : 1;
	return 0;
}

static int cfg_cmp_address(const void *a, const void *b)
{
	const struct cfg_endpoint *x = *(const struct cfg_endpoint *const *)a;
	const struct cfg_endpoint *y = *(const struct cfg_endpoint *const *)b;

	if (x->service != y->service)
		return x->service < y->service ? -1 : 1;
	return strcmp(x->address, y->address);
}
