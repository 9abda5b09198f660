#include <stdlib.h>
#include <string.h>

#include "conf.h"
#include "pl_store.h"
#include "rel_msg.h"
#include "script.h"

#define LINE_MAX_    512
#define ROUTERS_MAX  4
#define CONFIG_BYTES 4096
#define MANY_BYTES   (1 << 20)
#define ROUTES_MAX   32

/*
 * Routers that read configurations from a store, or follow another router.  A
 * route is written "NAME=TIMEOUT".
 */
struct router {
	struct mir mir;
	struct conf conf;
	struct rt_set *set;
	int64_t revision;
};

static struct router routers[ROUTERS_MAX];

static void free_router(struct router *router)
{
	mir_clear(&router->mir);
	conf_set_base(&router->conf, NULL, 0);
	rt_drop(router->set);
	memset(router, 0, sizeof(*router));
}

static int by_name(const void *a, const void *b)
{
	const struct rt_route *x = a;
	const struct rt_route *y = b;

	return strcmp(x->name, y->name);
}

/* Prints the version in force and its routes with their time limits. */
static void print_set(FILE *out, const struct rt_set *set)
{
	struct rt_route routes[ROUTES_MAX];
	int i;

	if (set->route_count > ROUTES_MAX) {
		fprintf(out, "version %lld: %d routes\n",
			(long long)set->version, set->route_count);
		return;
	}
	memcpy(routes, set->routes, (size_t)set->route_count * sizeof(*routes));
	qsort(routes, (size_t)set->route_count, sizeof(*routes), by_name);
	fprintf(out, "version %lld:", (long long)set->version);
	for (i = 0; i < set->route_count; i++)
		fprintf(out, " %s=%lld", routes[i].name,
			(long long)(routes[i].timeout_us / MAG_US_PER_MS));
	fprintf(out, "\n");
}

static enum conf_result build(FILE *out, struct router *router)
{
	static const char *const results[] = { "", "nothing newer",
					       "incomplete", "bad: " };
	struct rt_set *set;
	enum conf_result rc;
	char why[128] = "";
	int64_t found;

	rc = conf_build(&router->conf, &router->mir,
			router->set ? router->set->version : -1, &set, &found,
			why, sizeof(why));
	if (rc == CONF_NEW) {
		rt_drop(router->set);
		router->set = set;
		print_set(out, set);
	} else {
		fprintf(out, "%s%s\n", results[rc], why);
	}
	return rc;
}

/* Writes a configuration with the routes that a line names. */
static void write_config(char *text, long long version, const char *service,
			 char *routes)
{
	char *name = strtok(routes, " \n");
	char *ms;
	int len;

	len = snprintf(text, CONFIG_BYTES, "{\"Routes\": [ ");
	for (; name; name = strtok(NULL, " \n")) {
		ms = strchr(name, '=');
		if (!ms)
			continue;
		*ms++ = '\0';
		len += snprintf(text + len, CONFIG_BYTES - (size_t)len,
				"%s{\"Name\":\"%s\",\"Host\":\"h]\\\"}\","
				"\"PathPrefix\":\"/%s/\","
				"\"Kind\":\"idempotent\",\"TimeoutMs\":%s,"
				"\"Service\":\"%s\"}",
				text[len - 1] == '}' ? ", " : "", name, name,
				ms, service);
	}
	snprintf(
		text + len, CONFIG_BYTES - (size_t)len,
		" ],\"Version\":%lld,\"Limits\":{\"MaxHeaderBytes\":1,"
		"\"MaxBodyBytes\":2,\"HeaderTimeoutMs\":3,\"IdleTimeoutMs\":4},"
		"\"Tenants\":[],\"Services\":[{\"Name\":\"%s\","
		"\"HealthPath\":\"/h\",\"MaxConnections\":5}]}",
		version, service);
}

/*
 * "store N REVISION VERSION SERVICE ROUTES": router N reads it from the store;
 * with "list" it reads a complete list.
 */
static void read_store(FILE *out, int n, long long revision, long long version,
		       const char *service, char *routes, bool listing)
{
	struct router *router = &routers[n];
	struct wire_item item = { .key = PL_CONFIG_KEY, .revision = revision };
	char text[CONFIG_BYTES];

	if (strncmp(routes, "raw ", 4) == 0)
		snprintf(text, sizeof(text), "%s", routes + 4);
	else
		write_config(text, version, service, routes);
	item.value = text;
	item.len = strlen(text);
	if (!router->mir.complete || listing)
		mir_list_begin(&router->mir);
	conf_mirror(&router->mir, &item);
	if (router->mir.listing)
		mir_list_end(&router->mir, revision);
	router->revision = revision;
	build(out, router);
}

/* "follow N FROM": router N takes what router FROM has and it does not. */
static void follow(FILE *out, int n, int from)
{
	struct router *router = &routers[n];
	struct mir *mir = &routers[from].mir;
	bool complete = !mir_has_changes(mir, router->revision);
	struct rel_answer answer = { .pos = { 1, routers[from].revision },
				     .complete = complete };
	struct wire_items items;
	struct rel_items encoded;
	char *body;
	size_t len;
	int i;

	rel_items_encode(mir, complete ? 0 : router->revision, &encoded);
	rel_answer_encode(&answer, &encoded, &body, &len);
	rel_items_free(&encoded);
	if (rel_answer_decode(body, len, (struct pos){ 1, router->revision },
			      &answer, &items)) {
		free(body);
		return;
	}
	free(body);
	if (complete) {
		conf_set_base(&router->conf, NULL, 0);
		mir_list_begin(&router->mir);
	}
	for (i = 0; i < items.count; i++) {
		mir_put(&router->mir, &items.items[i]);
		conf_on_part(&router->conf, &items.items[i]);
	}
	if (complete)
		mir_list_end(&router->mir, answer.pos.revision);
	fprintf(out, "%s, %d items: ", complete ? "all" : "changes",
		items.count);
	router->revision = answer.pos.revision;
	if (build(out, router) == CONF_INCOMPLETE) {
		router->revision = 0;
		mir_clear(&router->mir);
	}
	pl_store_items_free(&items);
}

/* "many N REVISION VERSION COUNT": as "store", with so many routes. */
static void read_many(FILE *out, int n, long long revision, long long version,
		      int count)
{
	static char text[MANY_BYTES];
	struct wire_item item = { .key = PL_CONFIG_KEY, .revision = revision };
	struct router *router = &routers[n];
	int len;
	int i;

	len = snprintf(text, sizeof(text), "{\"Routes\":[");
	for (i = 0; i < count; i++)
		len += snprintf(text + len, sizeof(text) - (size_t)len,
				"%s{\"Name\":\"m\",\"Host\":\"h\","
				"\"PathPrefix\":\"/\",\"Kind\":\"idempotent\","
				"\"TimeoutMs\":%lld,\"Service\":\"app\"}",
				i ? "," : "", version * count + i);
	snprintf(
		text + len, sizeof(text) - (size_t)len,
		"],\"Version\":%lld,\"Limits\":{\"MaxHeaderBytes\":1,"
		"\"MaxBodyBytes\":2,\"HeaderTimeoutMs\":3,\"IdleTimeoutMs\":4},"
		"\"Tenants\":[],\"Services\":[{\"Name\":\"app\","
		"\"HealthPath\":\"/h\",\"MaxConnections\":5}]}",
		version);
	item.value = text;
	item.len = strlen(text);
	if (!router->mir.complete)
		mir_list_begin(&router->mir);
	conf_mirror(&router->mir, &item);
	if (router->mir.listing)
		mir_list_end(&router->mir, revision);
	router->revision = revision;
	build(out, router);
}

static void run_script(FILE *in, FILE *out)
{
	char line[LINE_MAX_];
	char service[16];
	long long revision;
	long long version;
	int at;
	int a;
	int b;

	for (a = 0; a < ROUTERS_MAX; a++)
		mir_init(&routers[a].mir);
	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (sscanf(line, "store %d %lld %lld %15s %n", &a, &revision,
			   &version, service, &at) == 4 ||
		    sscanf(line, "list %d %lld %lld %15s %n", &a, &revision,
			   &version, service, &at) == 4)
			read_store(out, a, revision, version, service,
				   line + at, line[0] == 'l');
		else if (sscanf(line, "many %d %lld %lld %d", &a, &revision,
				&version, &b) == 4)
			read_many(out, a, revision, version, b);
		else if (sscanf(line, "follow %d %d", &a, &b) == 2)
			follow(out, a, b);
	}
	for (a = 0; a < ROUTERS_MAX; a++)
		free_router(&routers[a]);
}

int main(void)
{
	return script_main("regress/conf", run_script);
}
