#include <stdlib.h>
#include <string.h>

#include "front_int.h"

#define FRONT_HEAD_MAX	   768
#define FRONT_DEFAULT_TYPE "application/json"

static void write_response(struct front_req *req, int status,
			   enum mag_outcome outcome, const char *extra,
			   const char *type, const char *body, size_t len);
static void write_chunk(struct front_req *req, const char *text);
static const char *connection_header(struct front_req *req);
static void write_stream_head(struct front_req *req);
static void write_stream_end(struct front_req *req,
			     const struct core_answer *answer);
static void write_relay(struct front_req *req);
static void write_replay(struct front_req *req,
			 const struct core_answer *answer);
static char *format_model_response(const struct front_req *req);
static void write_to_caller(struct front_req *req, const void *bytes,
			    size_t len);

/* Sends one token of a stream, preceded by the head if it is the first. */
void front_write_token(struct front_req *req, uint32_t index, const char *text)
{
	json_t *object =
		json_pack("{s:i, s:s}", "index", (int)index, "token", text);
	char *data = json_dumps(object, JSON_COMPACT);
	char *event = NULL;

	if (!req->head_sent)
		write_stream_head(req);
	if (data && asprintf(&event, "data: %s\n\n", data) > 0)
		write_chunk(req, event);
	free(event);
	free(data);
	json_decref(object);
}

/* Sends the final response that the core decided on, unless one was sent. */
void front_write_answer(struct front_req *req, struct core_answer *answer)
{
	if (req->answered)
		return;
	req->answered = true;
	if (req->head_sent ||
	    (answer->kind == CORE_ANSWER_RELAY && req->stream))
		write_stream_end(req, answer);
	else if (answer->kind == CORE_ANSWER_RELAY)
		write_relay(req);
	else if (answer->kind == CORE_ANSWER_REPLAY)
		write_replay(req, answer);
	else
		front_write_refusal(req, answer->status, answer->outcome,
				    answer->retry_after_s, answer->why);
}

/* Sends an error response that the router generates itself. */
void front_write_refusal(struct front_req *req, int status,
			 enum mag_outcome outcome, uint32_t retry_after_s,
			 const char *why)
{
	char extra[64] = "";
	json_t *object;
	char *body;

	object = json_pack("{s:s, s:s, s:s, s:s}", "error",
			   mg_get_response_code_text(req->conn, status), "why",
			   why, "outcome", mag_outcome_name(outcome), "request",
			   req->id_text);
	body = json_dumps(object, JSON_COMPACT);
	if (retry_after_s)
		snprintf(extra, sizeof(extra), "Retry-After: %u\r\n",
			 retry_after_s);
	if (status == 401)
		snprintf(extra, sizeof(extra), "WWW-Authenticate: Bearer\r\n");
	write_response(req, status, outcome, extra, FRONT_DEFAULT_TYPE,
		       body ? body : "", body ? strlen(body) : 0);
	free(body);
	json_decref(object);
}

/*
 * Encodes the response for storage in a record: content type, newline, body.
 * Returns NULL if it exceeds LDG_ANSWER_MAX or out of memory; the caller frees
 * the result.
 */
char *front_record_answer(const struct front_req *req, size_t *len)
{
	const struct ep_answer *answer = &req->answer;
	size_t type_len = strlen(answer->content_type);
	char *stored;

	*len = type_len + 1 + answer->body_len;
	if (*len > LDG_ANSWER_MAX)
		return NULL;
	stored = malloc(*len + 1);
	if (!stored)
		return NULL;
	memcpy(stored, answer->content_type, type_len);
	stored[type_len] = '\n';
	if (answer->body_len)
		memcpy(stored + type_len + 1, answer->body, answer->body_len);
	stored[*len] = '\0';
	return stored;
}

static void write_response(struct front_req *req, int status,
			   enum mag_outcome outcome, const char *extra,
			   const char *type, const char *body, size_t len)
{
	char *head = NULL;
	int used;

	used = asprintf(&head,
			"HTTP/1.1 %d %s\r\nContent-Type: %s\r\n"
			"Content-Length: %zu\r\nMagnolia-Request: %s\r\n"
			"Magnolia-Outcome: %s\r\n%s%s\r\n",
			status, mg_get_response_code_text(req->conn, status),
			type, len, req->id_text, mag_outcome_name(outcome),
			extra, connection_header(req));
	if (used < 0) {
		req->caller_gone = true;
		return;
	}
	write_to_caller(req, head, (size_t)used);
	if (strcmp(req->method ? req->method : "", "HEAD") != 0)
		write_to_caller(req, body, len);
	free(head);
}

/*
 * Returns the Connection header, which decides whether the connection may be
 * reused.  An idle keep-alive connection occupies a server thread, and callers
 * whose connections get no thread would wait seconds for the first byte.  Idle
 * connections may therefore occupy at most half of the threads.
 */
static const char *connection_header(struct front_req *req)
{
	struct front *front = req->front;
	bool too_many_connections =
		2 * atomic_load(&front->connections) > front->settings.threads;

	if (!req->running && !req->body_unread && !too_many_connections &&
	    !atomic_load(&front->closing))
		return "";
	mg_disable_connection_keep_alive(req->conn);
	return "Connection: close\r\n";
}

static void write_stream_head(struct front_req *req)
{
	char head[FRONT_HEAD_MAX];
	int used;

	used = snprintf(head, sizeof(head),
			"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
			"Cache-Control: no-cache\r\n"
			"Transfer-Encoding: chunked\r\n"
			"Magnolia-Request: %s\r\n"
			"Trailer: Magnolia-Outcome\r\n%s\r\n",
			req->id_text, connection_header(req));
	write_to_caller(req, head, (size_t)used);
	req->head_sent = true;
}

/* Ends a stream with an event that has the outcome, followed by the trailer. */
static void write_stream_end(struct front_req *req,
			     const struct core_answer *answer)
{
	bool complete = answer->kind == CORE_ANSWER_RELAY;
	char trailer[96];
	char event[512];

	if (!req->head_sent)
		write_stream_head(req);
	if (complete)
		snprintf(event, sizeof(event),
			 "event: done\ndata: {\"outcome\":\"ran\","
			 "\"tokens\":%u}\n\n",
			 req->token_count);
	else
		snprintf(event, sizeof(event),
			 "event: error\ndata: {\"outcome\":\"%s\","
			 "\"why\":\"%s\",\"retry_after_s\":%u}\n\n",
			 mag_outcome_name(answer->outcome), answer->why,
			 answer->retry_after_s);
	write_chunk(req, event);
	snprintf(trailer, sizeof(trailer), "0\r\nMagnolia-Outcome: %s\r\n\r\n",
		 mag_outcome_name(answer->outcome));
	write_to_caller(req, trailer, strlen(trailer));
}

static void write_relay(struct front_req *req)
{
	const struct ep_answer *answer = &req->answer;
	char *text;

	if (!req->is_model) {
		write_response(req, answer->status, MAG_RAN,
			       answer->headers ? answer->headers : "",
			       answer->content_type[0] ? answer->content_type
						       : FRONT_DEFAULT_TYPE,
			       answer->body ? answer->body : "",
			       answer->body_len);
		return;
	}
	text = format_model_response(req);
	write_response(req, 200, MAG_RAN, "", FRONT_DEFAULT_TYPE,
		       text ? text : "", text ? strlen(text) : 0);
	free(text);
}

/* Sends the response stored in the record, or the reason why none is there. */
static void write_replay(struct front_req *req,
			 const struct core_answer *answer)
{
	const char *extra = "Idempotent-Replayed: true\r\n";
	char type[EP_TYPE_MAX] = FRONT_DEFAULT_TYPE;
	const char *body = answer->body;
	const char *end;

	end = body ? memchr(body, '\n', answer->body_len) : NULL;
	if (!end) {
		/* A response is missing only if it was too long to store. */
		write_response(req, answer->status, MAG_RAN, extra,
			       "text/plain", answer->why, strlen(answer->why));
		return;
	}
	if (end > body && (size_t)(end - body) < sizeof(type)) {
		memcpy(type, body, (size_t)(end - body));
		type[end - body] = '\0';
	}
	write_response(req, answer->status, MAG_RAN, extra, type, end + 1,
		       answer->body_len - (size_t)(end + 1 - body));
}

/* Formats a model's complete response as JSON; the caller frees it. */
static char *format_model_response(const struct front_req *req)
{
	json_t *object;
	char *joined = NULL;
	char *text;
	size_t len = 0;
	FILE *out = open_memstream(&joined, &len);
	uint32_t i;

	if (!out)
		return NULL;
	for (i = 0; i < req->token_count; i++)
		fprintf(out, "%s%s", i ? " " : "", req->tokens[i]);
	fclose(out);
	object = json_pack("{s:s, s:i}", "text", joined, "tokens",
			   (int)req->token_count);
	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	free(joined);
	return text;
}

static void write_chunk(struct front_req *req, const char *text)
{
	char *chunk = NULL;
	int used;

	used = asprintf(&chunk, "%zx\r\n%s\r\n", strlen(text), text);
	if (used < 0) {
		req->caller_gone = true;
		return;
	}
	write_to_caller(req, chunk, (size_t)used);
	free(chunk);
}

/* Writes to the caller; a failed write means that the caller is gone. */
static void write_to_caller(struct front_req *req, const void *bytes,
			    size_t len)
{
	if (len && !req->caller_gone && mg_write(req->conn, bytes, len) <= 0)
		req->caller_gone = true;
}
