#include <stdlib.h>
#include <string.h>

#include "clk.h"
#include "front_int.h"

/* Time between two progress reports of an attempt. */
#define FRONT_PROGRESS_US (50 * MAG_US_PER_MS)

static bool next_action(struct front_req *req, struct core_action *action,
			bool wait);
static void run_attempt(struct front_req *req,
			const struct core_dispatch *dispatch);
static void post_ended(struct front_req *req,
		       const struct core_dispatch *dispatch);
static bool on_token(void *ctx, uint32_t index, const char *text,
		     const uint32_t *hop_us, int hop_count);
static enum ep_poll_result on_poll(void *ctx);
static void on_stages_alive(void *ctx);
static bool store_token(struct front_req *req, const char *text);
static void post_progress(struct front_req *req, const uint32_t *hop_us,
			  int hop_count);
static void post_caller_gone(struct front_req *req);

/*
 * Serves a request that has been read: passes it to the core and executes the
 * core's actions until the caller has its response and no attempt is running.
 */
void front_serve(struct front_req *req)
{
	struct core_event event = { .type = CORE_EV_ARRIVAL };
	struct core_action action;

	event.arrival = req->arrival;
	if (loop_post(req->front->loop, &event)) {
		front_write_refusal(req, 503,
				    req->arrival.key[0] ? MAG_UNKNOWN
							: MAG_NOT_RUN,
				    1, "memory is short");
		return;
	}
	while (!req->answered && next_action(req, &action, true)) {
		if (action.type == CORE_ACT_DISPATCH) {
			run_attempt(req, &action.dispatch);
		} else if (action.type == CORE_ACT_ANSWER) {
			front_write_answer(req, &action.answer);
			free(action.answer.body);
		}
	}
}

/* Removes the next action from the queue; waits for one if wait is set. */
static bool next_action(struct front_req *req, struct core_action *action,
			bool wait)
{
	struct front_action *node = NULL;

	pthread_mutex_lock(&req->front->lock);
	while (wait && cds_list_empty(&req->actions))
		pthread_cond_wait(&req->wake, &req->front->lock);
	if (!cds_list_empty(&req->actions)) {
		node = cds_list_first_entry(&req->actions, struct front_action,
					    node);
		cds_list_del(&node->node);
		*action = node->action;
	}
	pthread_mutex_unlock(&req->front->lock);
	if (!node)
		return false;
	free(node);
	return true;
}

/* Runs one attempt and reports its end to the core. */
static void run_attempt(struct front_req *req,
			const struct core_dispatch *dispatch)
{
	struct ep_request request = {
		.dispatch = dispatch,
		.id = req->id_text,
		.method = req->method,
		.path = req->path,
		.content_type = req->content_type,
		.headers = (const char *const *)req->headers,
		.header_count = req->header_count,
		.body = req->body,
		.body_len = req->body_len,
		.prompt =
			json_string_value(json_object_get(req->json, "prompt")),
		.max_tokens = req->arrival.max_tokens,
		.delivered = req->tokens,
		.delivered_count = req->token_count,
	};
	struct ep_sink sink = {
		.on_token = on_token,
		.poll = on_poll,
		.on_stages_alive = on_stages_alive,
		.ctx = req,
	};

	req->running = dispatch;
	req->progress_due_us = 0;
	free(req->answer.headers);
	free(req->answer.body);
	memset(&req->answer, 0, sizeof(req->answer));
	ep_run(req->ep, &request, &sink, &req->answer);
	req->running = NULL;
	post_ended(req, dispatch);
}

static void post_ended(struct front_req *req,
		       const struct core_dispatch *dispatch)
{
	struct core_event event = { .type = CORE_EV_ENDED };

	event.ended.req = req->id;
	event.ended.attempt = dispatch->attempt;
	event.ended.end = req->answer.end;
	event.ended.stage = req->answer.failed_stage;
	event.ended.silent_stages = req->answer.silent_stages;
	event.ended.status = req->answer.status;
	event.ended.tokens = req->token_count;
	if (req->answer.end == CORE_END_COMPLETE && dispatch->downstream_key[0])
		event.ended.answer =
			front_record_answer(req, &event.ended.answer_len);
	if (loop_post(req->front->loop, &event))
		abort();
}

/*
 * Forwards a token to the caller and, every FRONT_PROGRESS_US, reports progress
 * to the core.  Returns false, which stops the attempt, if out of memory.
 */
static bool on_token(void *ctx, uint32_t index, const char *text,
		     const uint32_t *hop_us, int hop_count)
{
	struct front_req *req = ctx;

	if (!store_token(req, text))
		return false;
	if (req->stream && !req->answered && !req->caller_gone) {
		front_write_token(req, index, text);
		if (req->caller_gone)
			post_caller_gone(req);
	}
	if (clk_now_us() >= req->progress_due_us)
		post_progress(req, hop_us, hop_count);
	return true;
}

/*
 * Executes the actions that have arrived while the attempt runs.  A final
 * response is sent even though the attempt is still running.  Returns whether
 * the attempt continues.
 */
static enum ep_poll_result on_poll(void *ctx)
{
	struct front_req *req = ctx;
	struct core_action action;
	enum ep_poll_result result = EP_CONTINUE;

	while (next_action(req, &action, false)) {
		if (action.type == CORE_ACT_ANSWER) {
			front_write_answer(req, &action.answer);
			free(action.answer.body);
		} else if (action.type == CORE_ACT_CANCEL &&
			   action.cancel.attempt == req->running->attempt) {
			result = action.cancel.probe ? EP_PROBE : EP_CANCEL;
		}
	}
	return result;
}

/* Reports that all stages responded to the probe, so the core waits longer. */
static void on_stages_alive(void *ctx)
{
	struct front_req *req = ctx;
	struct core_event event = { .type = CORE_EV_PROGRESS };

	event.progress.req = req->id;
	event.progress.attempt = req->running->attempt;
	event.progress.tokens = req->token_count;
	event.progress.stages_alive = true;
	loop_post(req->front->loop, &event);
}

/* Stores a token, as a later attempt must send the tokens delivered so far. */
static bool store_token(struct front_req *req, const char *text)
{
	uint32_t capacity = req->token_capacity ? 2 * req->token_capacity : 64;
	char **tokens;

	if (req->token_count == req->token_capacity) {
		tokens = realloc(req->tokens, capacity * sizeof(*tokens));
		if (!tokens)
			return false;
		req->tokens = tokens;
		req->token_capacity = capacity;
	}
	req->tokens[req->token_count] = strdup(text);
	if (!req->tokens[req->token_count])
		return false;
	req->token_count++;
	return true;
}

static void post_progress(struct front_req *req, const uint32_t *hop_us,
			  int hop_count)
{
	struct core_event event = { .type = CORE_EV_PROGRESS };

	req->progress_due_us = clk_now_us() + FRONT_PROGRESS_US;
	event.progress.req = req->id;
	event.progress.attempt = req->running->attempt;
	event.progress.tokens = req->token_count;
	event.progress.hop_count = hop_count;
	memcpy(event.progress.hop_us, hop_us,
	       (size_t)hop_count * sizeof(*hop_us));
	loop_post(req->front->loop, &event);
}

static void post_caller_gone(struct front_req *req)
{
	struct core_event event = { .type = CORE_EV_CALLER_GONE };

	event.caller_gone = req->id;
	loop_post(req->front->loop, &event);
}
