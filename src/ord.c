#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <jansson.h>
#include <urcu/list.h>

#include "clk.h"
#include "crsp.h"
#include "ord.h"

#define ORD_URL_MAX	 128
#define ORD_RESPONSE_MAX 4096
#define ORD_TIMEOUT_MS	 2000L

enum ord_http {
	ORD_HTTP_OK = 200,
	ORD_HTTP_CONFLICT = 409,
};

struct ord_node {
	struct cds_list_head node;
	struct plc_order order;
};

struct ord {
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	struct cds_list_head queue;
	struct loop *loop;
	bool stopping;
};

struct ord_response {
	char text[ORD_RESPONSE_MAX];
	size_t len;
	struct crsp http;
	int status;
};

static void *ord_main(void *arg);
static struct ord_node *ord_next(struct ord *ord);
static void ord_execute(const struct plc_order *order,
			struct plc_order_result *result);
static CURLcode ord_call(const struct plc_order *order, const char *body,
			 struct ord_response *response);
static char *ord_body(const struct plc_order *order);
static void ord_parse_state(const struct ord_response *response,
			    struct plc_order_result *result);
static bool ord_on_head(void *ctx, const struct rsp *rsp);
static bool ord_on_body(void *ctx, const char *bytes, size_t len);

static const struct rsp_ops ord_rsp_ops = {
	.head = ord_on_head,
	.body = ord_on_body,
};

/* Starts the thread; returns NULL if that fails. */
struct ord *ord_start(struct loop *loop)
{
	struct ord *ord = calloc(1, sizeof(*ord));

	if (!ord)
		return NULL;
	ord->loop = loop;
	CDS_INIT_LIST_HEAD(&ord->queue);
	pthread_mutex_init(&ord->lock, NULL);
	pthread_cond_init(&ord->wake, NULL);
	if (pthread_create(&ord->thread, NULL, ord_main, ord)) {
		free(ord);
		return NULL;
	}
	return ord;
}

/* Queues an order.  Returns 0, or -1 if out of memory. */
int ord_post(struct ord *ord, const struct plc_order *order)
{
	struct ord_node *node = malloc(sizeof(*node));

	if (!node)
		return -1;
	node->order = *order;
	pthread_mutex_lock(&ord->lock);
	cds_list_add_tail(&node->node, &ord->queue);
	pthread_cond_signal(&ord->wake);
	pthread_mutex_unlock(&ord->lock);
	return 0;
}

/* Stops the thread; orders that were not sent are dropped. */
void ord_stop(struct ord *ord)
{
	struct ord_node *node, *next;

	if (!ord)
		return;
	pthread_mutex_lock(&ord->lock);
	ord->stopping = true;
	pthread_cond_signal(&ord->wake);
	pthread_mutex_unlock(&ord->lock);
	pthread_join(ord->thread, NULL);
	cds_list_for_each_entry_safe (node, next, &ord->queue, node)
		free(node);
	pthread_cond_destroy(&ord->wake);
	pthread_mutex_destroy(&ord->lock);
	free(ord);
}

static void *ord_main(void *arg)
{
	struct ord *ord = arg;
	struct ord_node *node;

	while ((node = ord_next(ord)) != NULL) {
		struct inst_event event = { .type = INST_EV_ORDER };

		ord_execute(&node->order, &event.order);
		loop_post_inst(ord->loop, &event);
		free(node);
	}
	return NULL;
}

/* Waits for the next order; returns NULL when the thread has to stop. */
static struct ord_node *ord_next(struct ord *ord)
{
	struct ord_node *node = NULL;

	pthread_mutex_lock(&ord->lock);
	while (!ord->stopping && cds_list_empty(&ord->queue))
		pthread_cond_wait(&ord->wake, &ord->lock);
	if (!ord->stopping) {
		node = cds_list_first_entry(&ord->queue, struct ord_node, node);
		cds_list_del(&node->node);
	}
	pthread_mutex_unlock(&ord->lock);
	return node;
}

/*
 * Sends one order.  The process may have been paused since the order was
 * decided, and another instance may hold the placement lease by now.  So the
 * order's send deadline is checked last, immediately before the first byte.
 */
static void ord_execute(const struct plc_order *order,
			struct plc_order_result *result)
{
	struct ord_response response = { 0 };
	char *body = ord_body(order);
	CURLcode code;

	memset(result, 0, sizeof(*result));
	result->id = order->id;
	result->status = PLC_UNSENT;
	if (clk_now_us() < order->send_before_us) {
		code = ord_call(order, body, &response);
		if (code == CURLE_COULDNT_CONNECT)
			result->status = PLC_UNSENT;
		else if (code == CURLE_OK &&
			 response.status == ORD_HTTP_CONFLICT)
			result->status = PLC_REFUSED;
		else if (code == CURLE_OK && response.status == ORD_HTTP_OK)
			result->status = PLC_DONE;
		else
			result->status = PLC_NO_ANSWER;
	}
	if (result->status == PLC_DONE)
		ord_parse_state(&response, result);
	free(body);
}

static CURLcode ord_call(const struct plc_order *order, const char *body,
			 struct ord_response *response)
{
	CURL *easy = curl_easy_init();
	char url[ORD_URL_MAX];
	CURLcode code;

	if (!easy)
		return CURLE_COULDNT_CONNECT;
	snprintf(url, sizeof(url), "http://%s/v1/%s", order->address,
		 order->kind == PLC_LOAD ? "order" : "state");
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, ORD_TIMEOUT_MS);
	crsp_begin(&response->http, easy, &ord_rsp_ops, response);
	if (order->kind == PLC_LOAD)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	code = crsp_result(&response->http, curl_easy_perform(easy));
	curl_easy_cleanup(easy);
	crsp_free(&response->http);
	return code;
}

static bool ord_on_head(void *ctx, const struct rsp *rsp)
{
	struct ord_response *response = ctx;

	response->status = rsp->status;
	return true;
}

/* Encodes an order; the deadline is sent as the time that remains. */
static char *ord_body(const struct plc_order *order)
{
	json_t *object;
	char *text;
	int64_t remaining_us = order->deadline_us - clk_now_us();

	object = json_pack("{s:I, s:I, s:i, s:i, s:s}", "fence",
			   (json_int_t)order->fence, "deadline_ms",
			   (json_int_t)(remaining_us / MAG_US_PER_MS), "first",
			   (int)order->first_layer, "last",
			   (int)order->last_layer, "model", order->model);
	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	return text;
}

/* Parses the state that the engine reports. */
static void ord_parse_state(const struct ord_response *response,
			    struct plc_order_result *result)
{
	json_t *object = json_loadb(response->text, response->len, 0, NULL);
	const char *model = json_string_value(json_object_get(object, "model"));

	if (model)
		mag_copy_name(result->model, sizeof(result->model), model);
	result->first_layer =
		(uint32_t)json_integer_value(json_object_get(object, "first"));
	result->last_layer =
		(uint32_t)json_integer_value(json_object_get(object, "last"));
	result->loading = json_is_true(json_object_get(object, "loading"));
	json_decref(object);
}

static bool ord_on_body(void *ctx, const char *bytes, size_t len)
{
	struct ord_response *response = ctx;

	if (response->len + len > sizeof(response->text))
		return false;
	memcpy(response->text + response->len, bytes, len);
	response->len += len;
	return true;
}
