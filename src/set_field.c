#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "set_int.h"

/* The table of settings, and the functions that read their values. */

#define SET_TEXT_MAX 512
#define AT(field)    offsetof(struct set_settings, field)

#define NAME(field, text)                                                      \
	{                                                                      \
		.name = #field, .type = SET_T_NAME, .required = true,          \
		.offset = AT(field), .datatype = "NAME", .help = (text)        \
	}
#define ADDR(field, text)                                                      \
	{                                                                      \
		.name = #field, .type = SET_T_ADDRESS, .required = true,       \
		.offset = AT(field), .datatype = "IP:PORT", .help = (text)     \
	}
#define LIST(field, is_required, max_count, text)                              \
	{                                                                      \
		.name = #field, .type = SET_T_ADDRESSES,                       \
		.required = (is_required), .offset = AT(field),                \
		.max = (max_count), .datatype = "IP:PORT,..", .help = (text)   \
	}
#define U32(field, low, high, dflt, unit, text)                                \
	{                                                                      \
		.name = #field, .type = SET_T_U32, .offset = AT(field),        \
		.min = (low), .max = (high), .default_value = (dflt),          \
		.datatype = (unit), .help = (text)                             \
	}

struct set_msg_entry {
	enum set_msg id;
	const char *format;
};

typedef void (*set_read_fn)(struct set_build *build,
			    const struct set_field *field, json_t *value,
			    void *dst);

static void set_read_name(struct set_build *build,
			  const struct set_field *field, json_t *value,
			  void *dst);
static void set_read_address(struct set_build *build,
			     const struct set_field *field, json_t *value,
			     void *dst);
static void set_read_addresses(struct set_build *build,
			       const struct set_field *field, json_t *value,
			       void *dst);
static void set_read_number(struct set_build *build,
			    const struct set_field *field, json_t *value,
			    void *dst);
static void set_read_bool(struct set_build *build,
			  const struct set_field *field, json_t *value,
			  void *dst);
static void set_read_level(struct set_build *build,
			   const struct set_field *field, json_t *value,
			   void *dst);
static const char *set_msg_format(enum set_msg msg);

const struct set_field set_fields[] = {
	NAME(cluster, "whose configuration and records this instance shares"),
	NAME(instance, "name of this instance, unique in the cluster"),
	NAME(data_centre, "data centre of this instance"),
	ADDR(listen, "address where callers connect"),
	ADDR(admin, "address where operators and the balancer's check connect"),
	ADDR(rpc, "address where the other instances connect"),
	LIST(platform, true, SET_PLATFORM_MAX,
	     "addresses of the platform's service"),
	LIST(peers, false, SET_PEERS_MAX,
	     "rpc addresses of the peers to contact first"),
	U32(threads, 4, 8192, 512, "N", "most callers served at the same time"),
	U32(body_max_bytes, 1024, 64U << 20, 1U << 20, "BYTES",
	    "longest body of a request"),
	U32(connect_timeout_ms, 1, 60000, 500, "MS",
	    "longest wait for a connection to an endpoint"),
	U32(first_token_timeout_ms, 1, 600000, 5000, "MS",
	    "longest wait for the first token"),
	U32(progress_timeout_ms, 1, 600000, 1000, "MS",
	    "longest wait between two tokens"),
	U32(kv_timeout_ms, 1, 60000, 1000, "MS",
	    "longest wait for the platform's service"),
	U32(kv_calls_per_s, 1, 100000, 100, "N",
	    "most calls per second to the platform's service"),
	U32(kv_fleet_calls_per_s, 1, 1000000, 1500, "N",
	    "most calls per second of all instances, in equal parts"),
	U32(shutdown_notice_ms, 0, 600000, 5000, "MS",
	    "from failing the health check to refusing new work"),
	U32(ledger_shards, 1, 1024, 2, "N",
	    "shards of records, the same on all instances"),
	U32(ledger_segment_bytes, 4096, 1000000, 262144, "BYTES",
	    "size at which a segment of records is sealed"),
	U32(ledger_batch_max, 1, 4096, 256, "N",
	    "most reservations in one write"),
	U32(peer_bytes_per_s, 1000, 1000000, 9000, "BYTES",
	    "most bytes per second to and from the other instances"),
	U32(instances_max, 1, 4096, 12, "N",
	    "most instances that the site runs, for limits without a list"),
	{ .name = "place",
	  .type = SET_T_BOOL,
	  .offset = AT(place),
	  .default_value = 1,
	  .datatype = "true|false",
	  .help = "whether this instance may give orders to engines" },
	{ .name = "log_level",
	  .type = SET_T_LEVEL,
	  .offset = AT(log_level),
	  .default_value = LOG_PRIO_INFO,
	  .datatype = "LEVEL",
	  .help = "error, warning, notice, info or debug" },
	{ .name = "seed",
	  .type = SET_T_U64,
	  .offset = AT(seed),
	  .max = INT64_MAX,
	  .datatype = "N",
	  .help = "seed of random choices; 0 draws one at start" },
};

const size_t set_field_count = MAG_ARRAY_SIZE(set_fields);

static const set_read_fn read_fns[SET_TYPE_COUNT] = {
	[SET_T_NAME] = set_read_name,
	[SET_T_ADDRESS] = set_read_address,
	[SET_T_ADDRESSES] = set_read_addresses,
	[SET_T_U32] = set_read_number,
	[SET_T_U64] = set_read_number,
	[SET_T_BOOL] = set_read_bool,
	[SET_T_LEVEL] = set_read_level,
};

/* The names of severities, indexed by the severity numbers of syslog. */
static const char *const level_names[] = {
	[LOG_PRIO_ERR] = "error",     [LOG_PRIO_WARNING] = "warning",
	[LOG_PRIO_NOTICE] = "notice", [LOG_PRIO_INFO] = "info",
	[LOG_PRIO_DEBUG] = "debug",
};

#define SET_MSG(id, number, format) { id, format },
static const struct set_msg_entry set_msgs[] = { SET_MSGS };
#undef SET_MSG

/* Sets all settings to their defaults. */
void set_defaults(struct set_settings *settings)
{
	size_t i;

	memset(settings, 0, sizeof(*settings));
	for (i = 0; i < set_field_count; i++) {
		const struct set_field *field = &set_fields[i];
		void *dst = (char *)settings + field->offset;

		switch (field->type) {
		case SET_T_U32:
			*(uint32_t *)dst = (uint32_t)field->default_value;
			break;
		case SET_T_U64:
			*(uint64_t *)dst = field->default_value;
			break;
		case SET_T_BOOL:
			*(bool *)dst = field->default_value != 0;
			break;
		case SET_T_LEVEL:
			*(enum log_prio *)dst =
				(enum log_prio)field->default_value;
			break;
		default:
			break;
		}
	}
}

/* Reads the value of one setting; if it is invalid, adds a fault. */
void set_read_field(struct set_build *build, size_t field, json_t *value)
{
	const struct set_field *f = &set_fields[field];
	void *dst = (char *)build->settings + f->offset;

	build->given |= UINT64_C(1) << field;
	read_fns[f->type](build, f, value, dst);
}

/* Adds a fault `source: field: message (number)`. */
void set_fault(struct set_build *build, const char *field, enum set_msg msg,
	       ...)
{
	char detail[SET_TEXT_MAX];
	va_list ap;

	va_start(ap, msg);
	vsnprintf(detail, sizeof(detail), set_msg_format(msg), ap);
	va_end(ap);
	flt_add(build->faults, "%s: %.64s: %s (%d)", build->source, field,
		detail, (int)msg);
}

/* Stores the numbers of all messages, as cfg_msg_list does. */
size_t set_msg_list(int *numbers, size_t max)
{
	size_t i;

	for (i = 0; i < MAG_ARRAY_SIZE(set_msgs) && i < max; i++)
		numbers[i] = (int)set_msgs[i].id;
	return MAG_ARRAY_SIZE(set_msgs);
}

static const char *set_msg_format(enum set_msg msg)
{
	size_t i;

	for (i = 0; i < MAG_ARRAY_SIZE(set_msgs); i++) {
		if (set_msgs[i].id == msg)
			return set_msgs[i].format;
	}
	return "";
}

static void set_read_name(struct set_build *build,
			  const struct set_field *field, json_t *value,
			  void *dst)
{
	const char *s = json_string_value(value);

	if (!s)
		set_fault(build, field->name, SET_M_TYPE, "a string");
	else if (!chk_name(s))
		set_fault(build, field->name, SET_M_NAME, s);
	else
		mag_copy_name(dst, MAG_NAME_MAX, s);
}

static void set_read_address(struct set_build *build,
			     const struct set_field *field, json_t *value,
			     void *dst)
{
	const char *s = json_string_value(value);

	if (!s)
		set_fault(build, field->name, SET_M_TYPE, "a string");
	else if (strlen(s) >= MAG_ADDR_MAX || !chk_address(s))
		set_fault(build, field->name, SET_M_ADDRESS, s);
	else
		mag_copy_name(dst, MAG_ADDR_MAX, s);
}

/* A list in an option replaces that of the file, as any other value does. */
static void set_read_addresses(struct set_build *build,
			       const struct set_field *field, json_t *value,
			       void *dst)
{
	struct set_addresses *list = dst;
	size_t count = json_array_size(value);
	size_t i;
	size_t k;

	list->count = 0;
	if (!json_is_array(value)) {
		set_fault(build, field->name, SET_M_TYPE, "a list of strings");
		return;
	}
	if (count > field->max || count == 0) {
		set_fault(build, field->name, SET_M_COUNT, count,
			  (size_t)field->max);
		return;
	}
	for (i = 0; i < count; i++) {
		char *address = list->list[list->count];

		address[0] = '\0';
		set_read_address(build, field, json_array_get(value, i),
				 address);
		for (k = 0; k < list->count; k++) {
			if (strcmp(address, list->list[k]) == 0)
				set_fault(build, field->name, SET_M_TWICE,
					  address);
		}
		if (address[0])
			list->count++;
	}
}

static void set_read_number(struct set_build *build,
			    const struct set_field *field, json_t *value,
			    void *dst)
{
	json_int_t n = json_integer_value(value);

	if (!json_is_integer(value))
		set_fault(build, field->name, SET_M_TYPE, "a whole number");
	else if (n < 0 || (uint64_t)n < field->min || (uint64_t)n > field->max)
		set_fault(build, field->name, SET_M_RANGE, (long long)n,
			  (unsigned long long)field->min,
			  (unsigned long long)field->max);
	else if (field->type == SET_T_U64)
		*(uint64_t *)dst = (uint64_t)n;
	else
		*(uint32_t *)dst = (uint32_t)n;
}

static void set_read_bool(struct set_build *build,
			  const struct set_field *field, json_t *value,
			  void *dst)
{
	if (json_is_boolean(value))
		*(bool *)dst = json_is_true(value);
	else
		set_fault(build, field->name, SET_M_TYPE, "true or false");
}

static void set_read_level(struct set_build *build,
			   const struct set_field *field, json_t *value,
			   void *dst)
{
	const char *s = json_string_value(value);
	int i;

	if (!s) {
		set_fault(build, field->name, SET_M_TYPE, "a string");
		return;
	}
	for (i = LOG_PRIO_ERR; i <= LOG_PRIO_DEBUG; i++) {
		if (strcmp(level_names[i], s) == 0) {
			*(enum log_prio *)dst = (enum log_prio)i;
			return;
		}
	}
	set_fault(build, field->name, SET_M_ENUM, s, field->help);
}
