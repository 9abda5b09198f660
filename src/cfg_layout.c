#include "cfg_int.h"

/* The fields of each kind of object, with their ranges and defaults. */

#define AT(object, field) offsetof(struct cfg_##object, field)
#define STR(object, field, kind, req)                                          \
	.name = #field, .type = (kind), .requirement = (req),                  \
	.offset = AT(object, field),                                           \
	.size = sizeof(((struct cfg_##object *)NULL)->field)
#define NUM(object, field, req, low, high, dflt)                               \
	.name = #field, .type = CFG_T_U32, .requirement = (req),               \
	.offset = AT(object, field), .min = (low), .max = (high),              \
	.default_value = (dflt)
#define WORD(object, field, req, list, dflt)                                   \
	.name = #field, .type = CFG_T_ENUM, .requirement = (req),              \
	.offset = AT(object, field), .values = (list), .default_value = (dflt)
#define REF(object, field, req, kind)                                          \
	.name = #field, .type = CFG_T_REFERENCE, .requirement = (req),         \
	.offset = AT(object, field), .target = (kind), .default_value = -1

static const char *const service_kinds[] = { "model", "plain", NULL };
static const char *const key_rules[] = { "required", "optional", "timed",
					 NULL };
static const char *const downstream_keys[] = { "none", "lookup", "resend",
					       NULL };
static const char *const endpoint_states[] = { "active", "drain", NULL };

/* In the text, "kind" is the kind of object, so a service's kind is "type". */
static const struct cfg_field service_fields[] = {
	{ .name = "type",
	  .type = CFG_T_ENUM,
	  .requirement = CFG_REQUIRED,
	  .offset = AT(service, kind),
	  .values = service_kinds },
	{ NUM(service, layers, CFG_OPTIONAL, 1, 4096, 0) },
	{ NUM(service, activation_bytes, CFG_OPTIONAL, 1, 1U << 30, 16384) },
	{ NUM(service, default_deadline_ms, CFG_OPTIONAL, 1,
	      CFG_DEADLINE_MAX_MS, 30000) },
	{ NUM(service, max_deadline_ms, CFG_OPTIONAL, 1, CFG_DEADLINE_MAX_MS,
	      120000) },
	{ NUM(service, queue_max, CFG_OPTIONAL, 0, 1000000, 256) },
	{ NUM(service, retry_percent, CFG_OPTIONAL, 0, 100, 10) },
	{ NUM(service, key_window_s, CFG_OPTIONAL, 1, CFG_KEY_WINDOW_MAX_S,
	      86400) },
	{ .name = "not_begun_status",
	  .type = CFG_T_STATUSES,
	  .offset = AT(service, not_begun_status),
	  .min = 400,
	  .max = 599 },
};

static const struct cfg_field account_fields[] = {
	{ STR(account, key_hash, CFG_T_HASH, CFG_REQUIRED) },
	{ NUM(account, weight, CFG_POSITIVE, 1, 1000000, 1) },
	{ NUM(account, priority, CFG_OPTIONAL, 0, 9, 4) },
};

static const struct cfg_field route_fields[] = {
	{ STR(route, host, CFG_T_HOST, CFG_OPTIONAL) },
	{ STR(route, path, CFG_T_PATH, CFG_REQUIRED) },
	{ REF(route, service, CFG_REQUIRED, CFG_SERVICE) },
	{ STR(route, group, CFG_T_NAME, CFG_OPTIONAL) },
	{ .name = "idempotent",
	  .type = CFG_T_BOOL,
	  .requirement = CFG_REQUIRED,
	  .offset = AT(route, idempotent) },
	{ WORD(route, key, CFG_REQUIRED, key_rules, CFG_KEY_REQUIRED) },
	{ .name = "splits", .type = CFG_T_SPLITS, .offset = AT(route, splits) },
};

static const struct cfg_field limit_fields[] = {
	{ REF(limit, account, CFG_OPTIONAL, CFG_ACCOUNT) },
	{ REF(limit, service, CFG_OPTIONAL, CFG_SERVICE) },
	{ NUM(limit, requests_per_s, CFG_OPTIONAL, 0, 10000000, 0) },
	{ NUM(limit, tokens_per_s, CFG_OPTIONAL, 0, 1000000000, 0) },
	{ NUM(limit, concurrent, CFG_OPTIONAL, 0, 10000000, 0) },
};

static const struct cfg_field endpoint_fields[] = {
	{ REF(endpoint, service, CFG_REQUIRED, CFG_SERVICE) },
	{ STR(endpoint, data_centre, CFG_T_NAME, CFG_REQUIRED) },
	{ STR(endpoint, group, CFG_T_NAME, CFG_OPTIONAL) },
	{ STR(endpoint, address, CFG_T_ADDRESS, CFG_REQUIRED) },
	{ STR(endpoint, accelerator, CFG_T_NAME, CFG_OPTIONAL) },
	{ NUM(endpoint, first_layer, CFG_OPTIONAL, 0, 4095, 0) },
	{ NUM(endpoint, last_layer, CFG_OPTIONAL, 0, 4095, 0) },
	{ NUM(endpoint, tokens_per_s, CFG_OPTIONAL, 1, 100000000, 0) },
	{ .name = "link_bytes_per_s",
	  .type = CFG_T_U64,
	  .offset = AT(endpoint, link_bytes_per_s),
	  .min = 1,
	  .max = UINT64_C(1000000000000000),
	  .default_value = 125000000 },
	{ NUM(endpoint, concurrency, CFG_POSITIVE, 1, 100000, 1) },
	{ .name = "checks_fencing",
	  .type = CFG_T_BOOL,
	  .offset = AT(endpoint, checks_fencing) },
	{ WORD(endpoint, downstream_key, CFG_OPTIONAL, downstream_keys,
	       CFG_DOWN_NONE) },
	{ WORD(endpoint, state, CFG_OPTIONAL, endpoint_states, CFG_ACTIVE) },
};

#define LAYOUT(object)                                                         \
	{                                                                      \
#object, sizeof(struct cfg_##object), object##_fields,         \
			MAG_ARRAY_SIZE(object##_fields)                        \
	}

static const struct cfg_layout layouts[CFG_KIND_COUNT] = {
	[CFG_SERVICE] = LAYOUT(service),   [CFG_ACCOUNT] = LAYOUT(account),
	[CFG_ROUTE] = LAYOUT(route),	   [CFG_LIMIT] = LAYOUT(limit),
	[CFG_ENDPOINT] = LAYOUT(endpoint),
};

/* Returns the fields of a kind of object. */
const struct cfg_layout *cfg_layout(enum cfg_kind kind)
{
	return &layouts[kind];
}
