#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <civetweb.h>
#include <jansson.h>

#include "admin.h"
#include "cnt.h"
#include "core_show.h"

#define ADMIN_THREADS "4"

struct admin {
	struct admin_settings settings;
	struct loop *loop;
	struct front *front;
	struct mg_context *server;
	pthread_mutex_t lock; /* of serving and closing */
	pthread_cond_t begin; /* signalled when one of them is set */
	bool serving;	      /* the loop runs */
	bool closing;
	atomic_bool stopping;
};

/* A page while it is written; used on the loop's thread. */
struct admin_page {
	struct admin *admin;
	const char *query; /* "" if the URL has no query string */
	FILE *out;
	int status;
};

/* Writes a page.  Runs on the loop's thread, so it may read the core. */
typedef void (*admin_write_fn)(struct core *core, struct admin_page *page);

struct admin_path {
	const char *path;
	const char *type;
	admin_write_fn write;
};

static void set_flag(struct admin *admin, bool *flag);
static bool wait_serving(struct admin *admin);
static int on_request(struct mg_connection *conn);
static void write_page(struct inst *inst, void *ctx);
static void write_health(struct core *core, struct admin_page *page);
static void write_ready(struct core *core, struct admin_page *page);
static void write_metrics(struct core *core, struct admin_page *page);
static void write_status(struct core *core, struct admin_page *page);
static void write_shares(struct core *core, struct admin_page *page);
static void write_bound(struct core *core, struct admin_page *page);
static void write_explain(struct core *core, struct admin_page *page);
static void send_response(struct mg_connection *conn, int status,
			  const char *type, const char *body);

static const struct admin_path admin_paths[] = {
	{ "/healthz", "text/plain", write_health },
	{ "/readyz", "text/plain", write_ready },
	{ "/metrics", "text/plain; version=0.0.4", write_metrics },
	{ "/admin/status", "application/json", write_status },
	{ "/admin/shares", "application/json", write_shares },
	{ "/admin/bound", "application/json", write_bound },
	{ "/admin/explain", "application/json", write_explain },
};

/* Argument of write_page. */
struct admin_task {
	const struct admin_path *path;
	struct admin_page *page;
};

/* Creates the admin server; it does not listen before admin_start. */
struct admin *admin_new(const struct admin_settings *settings,
			struct loop *loop, struct front *front)
{
	struct admin *admin = calloc(1, sizeof(*admin));

	if (!admin)
		return NULL;
	pthread_mutex_init(&admin->lock, NULL);
	pthread_cond_init(&admin->begin, NULL);
	admin->settings = *settings;
	admin->loop = loop;
	admin->front = front;
	return admin;
}

/* Starts to listen.  Returns 0 or ADMIN_E_LISTEN. */
int admin_start(struct admin *admin)
{
	const char *options[] = {
		"listening_ports",
		admin->settings.listen,
		"num_threads",
		ADMIN_THREADS,
		NULL,
	};
	struct mg_callbacks callbacks = { .begin_request = on_request };

	admin->server = mg_start(&callbacks, admin, options);
	return admin->server ? ADMIN_OK : ADMIN_E_LISTEN;
}

/* From now on, the loop answers; requests for pages wait for it. */
void admin_set_serving(struct admin *admin)
{
	set_flag(admin, &admin->serving);
}

/* From now on, /readyz tells the load balancer to send no new requests. */
void admin_set_stopping(struct admin *admin)
{
	atomic_store(&admin->stopping, true);
}

/* Stops listening and frees the state. */
void admin_free(struct admin *admin)
{
	if (!admin)
		return;
	set_flag(admin, &admin->closing);
	if (admin->server)
		mg_stop(admin->server);
	pthread_cond_destroy(&admin->begin);
	pthread_mutex_destroy(&admin->lock);
	free(admin);
}

static void set_flag(struct admin *admin, bool *flag)
{
	pthread_mutex_lock(&admin->lock);
	*flag = true;
	pthread_cond_broadcast(&admin->begin);
	pthread_mutex_unlock(&admin->lock);
}

/* Waits until the loop runs; false if it does not start. */
static bool wait_serving(struct admin *admin)
{
	bool serving;

	pthread_mutex_lock(&admin->lock);
	while (!admin->serving && !admin->closing)
		pthread_cond_wait(&admin->begin, &admin->lock);
	serving = admin->serving;
	pthread_mutex_unlock(&admin->lock);
	return serving;
}

static int on_request(struct mg_connection *conn)
{
	struct admin *admin = mg_get_user_data(mg_get_context(conn));
	const struct mg_request_info *info = mg_get_request_info(conn);
	struct admin_page page = {
		.admin = admin,
		.query = info->query_string ? info->query_string : "",
		.status = 200,
	};
	struct admin_task task = { .page = &page };
	char *body = NULL;
	size_t len = 0;
	size_t i;

	if (!wait_serving(admin)) {
		send_response(conn, 503, "text/plain", "starting\n");
		return 503;
	}
	for (i = 0; i < MAG_ARRAY_SIZE(admin_paths); i++) {
		if (strcmp(info->local_uri_raw, admin_paths[i].path) == 0)
			task.path = &admin_paths[i];
	}
	page.out = task.path ? open_memstream(&body, &len) : NULL;
	if (!page.out) {
		send_response(conn, 404, "text/plain", "no such page\n");
		return 404;
	}
	loop_query(admin->loop, write_page, &task);
	fclose(page.out);
	send_response(conn, page.status, task.path->type, body);
	free(body);
	return page.status;
}

static void write_page(struct inst *inst, void *ctx)
{
	struct admin_task *task = ctx;

	task->path->write(inst_core(inst), task->page);
}

/* A response shows that the process is alive and its loop is running. */
static void write_health(struct core *core, struct admin_page *page)
{
	(void)core;
	fputs("ok\n", page->out);
}

/* The load balancer sends requests only to instances that are ready. */
static void write_ready(struct core *core, struct admin_page *page)
{
	bool stopping = atomic_load(&page->admin->stopping);

	if (stopping) {
		page->status = 503;
		fputs("stopping\n", page->out);
	} else if (!core_ready(core)) {
		page->status = 503;
		fputs("no configuration\n", page->out);
	} else {
		fputs("ready\n", page->out);
	}
}

static void write_metrics(struct core *core, struct admin_page *page)
{
	cnt_write(page->out);
	core_show_metrics(core, page->out);
	fprintf(page->out,
		"# HELP magnolia_open_requests requests in progress\n"
		"# TYPE magnolia_open_requests gauge\n"
		"magnolia_open_requests %u\n",
		front_open_requests(page->admin->front));
}

static void write_status(struct core *core, struct admin_page *page)
{
	const struct admin_settings *settings = &page->admin->settings;
	bool stopping = atomic_load(&page->admin->stopping);
	json_t *object;

	object =
		json_pack("{s:s, s:s, s:s, s:I, s:b, s:b, s:i}", "instance",
			  settings->instance, "cluster", settings->cluster,
			  "data_centre", settings->data_centre, "revision",
			  (json_int_t)core_revision(core), "ready",
			  core_ready(core) && !stopping, "stopping", stopping,
			  "open", (int)front_open_requests(page->admin->front));
	json_dumpf(object, page->out, JSON_COMPACT);
	json_decref(object);
}

static void write_shares(struct core *core, struct admin_page *page)
{
	core_show_shares(core, page->out);
}

static void write_bound(struct core *core, struct admin_page *page)
{
	core_show_bound(core, page->out);
}

static void write_explain(struct core *core, struct admin_page *page)
{
	char service[MAG_NAME_MAX] = "";

	mg_get_var(page->query, strlen(page->query), "service", service,
		   sizeof(service));
	if (core_show_explain(core, service, page->out)) {
		page->status = 404;
		fputs("{\"error\":\"no such service\"}", page->out);
	}
}

static void send_response(struct mg_connection *conn, int status,
			  const char *type, const char *body)
{
	mg_printf(conn,
		  "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n"
		  "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
		  status, mg_get_response_code_text(conn, status), type,
		  strlen(body), body);
}
