#include <stdlib.h>
#include <string.h>

#include "cfg_int.h"

/* Checks on one object and between objects; cfg_cover.c holds the layers. */

typedef int (*cfg_cmp_fn)(const void *a, const void *b);

/* No two objects of a kind may be equal by this comparison. */
struct cfg_unique {
	enum cfg_kind kind;
	cfg_cmp_fn cmp; /* of pointers to objects */
	const char *field;
	enum cfg_msg msg;
};

static void cfg_check_service(struct cfg_build *build, size_t i);
static void cfg_check_limit(struct cfg_build *build, size_t i);
static void cfg_check_endpoint(struct cfg_build *build, size_t i);
static void cfg_check_range(struct cfg_build *build,
			    const struct cfg_endpoint *e, bool named);
static void cfg_check_unique(struct cfg_build *build,
			     const struct cfg_unique *unique);
static void cfg_check_above(struct cfg_build *build,
			    const struct cfg_limit *limit);
static bool cfg_limit_holds(const struct cfg_limit *broad,
			    const struct cfg_limit *limit);
static int cfg_cmp_hash(const void *a, const void *b);
static int cfg_cmp_route(const void *a, const void *b);
static int cfg_cmp_pair(const void *a, const void *b);
static int cfg_cmp_address(const void *a, const void *b);

typedef void (*cfg_check_fn)(struct cfg_build *build, size_t i);

static const cfg_check_fn check_fns[CFG_KIND_COUNT] = {
	[CFG_SERVICE] = cfg_check_service,
	[CFG_LIMIT] = cfg_check_limit,
	[CFG_ENDPOINT] = cfg_check_endpoint,
};

static const struct cfg_unique uniques[] = {
	{ CFG_ACCOUNT, cfg_cmp_hash, "key_hash", CFG_M_HASH_TWICE },
	{ CFG_ROUTE, cfg_cmp_route, "path", CFG_M_ROUTE_OVERLAP },
	{ CFG_LIMIT, cfg_cmp_pair, "service", CFG_M_LIMIT_TWICE },
	{ CFG_ENDPOINT, cfg_cmp_address, "address", CFG_M_ADDRESS_TWICE },
};

/* Checks all that does not concern which layers are held where. */
void cfg_check_set(struct cfg_build *build)
{
	size_t i;

	for (i = 0; i < build->count; i++)
		cfg_check_item(build, i);
	for (i = 0; i < MAG_ARRAY_SIZE(uniques); i++)
		cfg_check_unique(build, &uniques[i]);
	cfg_check_limits(build);
}

/* Checks the limits against each other. */
void cfg_check_limits(struct cfg_build *build)
{
	size_t i;

	for (i = 0; i < build->set->limit_count; i++)
		cfg_check_above(build, &build->set->limits[i]);
}

/* Tells whether another object of a kind takes what only one may have. */
bool cfg_has_duplicate(const struct cfg_build *build, enum cfg_kind kind,
		       size_t i)
{
	size_t size = cfg_layout(kind)->size;
	size_t *count;
	const char *table = *cfg_table(build->set, kind, &count);
	const char *object = table + i * size;
	size_t u;
	size_t k;

	for (u = 0; u < MAG_ARRAY_SIZE(uniques); u++) {
		if (uniques[u].kind != kind)
			continue;
		for (k = 0; k < *count; k++) {
			const char *other = table + k * size;

			if (k != i && uniques[u].cmp(&object, &other) == 0)
				return true;
		}
	}
	return false;
}

/*
 * Tells whether a service that changed is still one that the endpoints and
 * limits of the former set fit: of the same kind, and with layers that no
 * endpoint passes.
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
 * Checks an object by itself.  One whose fields could not be read is left
 * out, as what its fallback values would bring up is not the operator's.
 */
void cfg_check_item(struct cfg_build *build, size_t i)
{
	const struct cfg_item *item = &build->items[i];

	if (item->faults == 0 && check_fns[item->kind])
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

/* Checks the range of a model's endpoint, if both its ends are named. */
static void cfg_check_range(struct cfg_build *build,
			    const struct cfg_endpoint *e, bool named)
{
	const struct cfg_service *s = &build->set->services[e->service];

	if (!named)
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
 * Sorts pointers to the readable objects of a kind and reports neighbours
 * that are equal.  The name stands first in every structure.
 */
static void cfg_check_unique(struct cfg_build *build,
			     const struct cfg_unique *unique)
{
	const struct cfg_layout *layout = cfg_layout(unique->kind);
	size_t first = build->first[unique->kind];
	size_t count = build->first[unique->kind + 1] - first;
	const char *tables[CFG_KIND_COUNT] = {
		[CFG_ACCOUNT] = (char *)build->set->accounts,
		[CFG_ROUTE] = (char *)build->set->routes,
		[CFG_LIMIT] = (char *)build->set->limits,
		[CFG_ENDPOINT] = (char *)build->set->endpoints,
	};
	const char **refs = calloc(count ? count : 1, sizeof(*refs));
	size_t used = 0;
	size_t i;

	if (!refs) {
		cfg_faults_mark_incomplete(build->faults);
		return;
	}
	for (i = 0; i < count; i++) {
		if (build->items[first + i].faults == 0)
			refs[used++] = tables[unique->kind] + i * layout->size;
	}
	qsort(refs, used, sizeof(*refs), unique->cmp);
	for (i = 1; i < used; i++) {
		if (unique->cmp(&refs[i - 1], &refs[i]) == 0)
			cfg_fault(build->faults, layout->kind, refs[i],
				  unique->field, unique->msg, refs[i - 1]);
	}
	free(refs);
}

/* Reports a limit that lies above one that holds for the same requests. */
static void cfg_check_above(struct cfg_build *build,
			    const struct cfg_limit *limit)
{
	size_t i;

	for (i = 0; i < build->set->limit_count; i++) {
		const struct cfg_limit *broad = &build->set->limits[i];

		if (!cfg_limit_holds(broad, limit))
			continue;
		if (broad->requests_per_s &&
		    limit->requests_per_s > broad->requests_per_s)
			cfg_fault(build->faults, "limit", limit->name,
				  "requests_per_s", CFG_M_LIMIT_UNREACHABLE,
				  limit->requests_per_s, broad->name,
				  broad->requests_per_s);
		if (broad->tokens_per_s &&
		    limit->tokens_per_s > broad->tokens_per_s)
			cfg_fault(build->faults, "limit", limit->name,
				  "tokens_per_s", CFG_M_LIMIT_UNREACHABLE,
				  limit->tokens_per_s, broad->name,
				  broad->tokens_per_s);
		if (broad->concurrent && limit->concurrent > broad->concurrent)
			cfg_fault(build->faults, "limit", limit->name,
				  "concurrent", CFG_M_LIMIT_UNREACHABLE,
				  limit->concurrent, broad->name,
				  broad->concurrent);
	}
}

/* Tells whether a broader limit holds for every request of another one. */
static bool cfg_limit_holds(const struct cfg_limit *broad,
			    const struct cfg_limit *limit)
{
	if (broad->account >= 0 && broad->service >= 0)
		return false;
	if (broad->account >= 0 && broad->account != limit->account)
		return false;
	if (broad->service >= 0 && broad->service != limit->service)
		return false;
	return broad->account != limit->account ||
	       broad->service != limit->service;
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

static int cfg_cmp_pair(const void *a, const void *b)
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
