/*
 * Stand-in for a worker: an engine that holds layers, executes orders and runs
 * chains with other engines, or a plain service.  It registers in the stand-in
 * of the store and prints a line for each request that it receives and for each
 * token that passes its layers.
 */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <urcu/list.h>

#include "clk.h"
#include "fk.h"
#include "hc.h"
#include "hs_int.h"
#include "mag.h"
#include "wire.h"

#define TICK_MS		 10
#define HEARTBEAT_US	 (300 * MAG_US_PER_MS)
#define HEARTBEAT_TTL_MS 900
#define STALL_US	 (3 * MAG_US_PER_S)
#define EVENT_COUNT	 20
/* A request whose path holds "poison" crashes this worker so long after it
 * came. */
#define CRASH_US (60 * MAG_US_PER_MS)

/* How this worker breaks off a stream, which looks whole by its framing. */
struct cut {
	char framing[16]; /* close, chunked, length; empty: does not */
	int event;	  /* after this one */
	int bytes;	  /* and so many bytes of the next one */
	bool resumed;	  /* only a stream that begins after an event */
};

/* A request for which this worker is the first of the chain. */
struct job {
	struct cds_list_head node;
	struct hs_conn *conn;
	char id[WIRE_ID_MAX];
	struct wire_hop hops[WIRE_HOPS_MAX];
	int hop_count;
	int hop;   /* index of the hop that runs the current token */
	int event; /* number of events sent */
	int run;   /* number of this request at this worker */
	int path;  /* number of repath orders so far */
	int64_t due_us;
	int64_t waits_since_us; /* for another worker; 0: not waiting */
	struct hc_call *call;
	bool started; /* the response header was sent */
	struct cut cut;
};

/* Another worker to which this one passes tokens. */
struct peer {
	struct cds_list_head node;
	char address[MAG_ADDR_MAX];
	struct hc_host *host;
};

static struct hc *hc;
static struct hc_host *store;
static const char *id;
static const char *address;
static const char *service;
static const char *zone;
static const char *kind; /* NULL: a plain service */
static struct wire_range layers;
static int orders;
static int runs;
static int64_t started_ms;
static int64_t next_heartbeat_us;
static int64_t event_us = 20 * MAG_US_PER_MS;
/* Every so many events of a stream one comes as much later; 0: none does. */
#define GAP_EVERY 4
static int64_t gap_us;
static int64_t report_us; /* time to answer for a report */
static double pace = 1;	  /* over 1: slow; appears only in the report */
static int slots = 64;
static bool draining;
static bool full;	    /* refuse requests, but reply to reports */
static bool drop_replies;   /* run a request and close without a reply */
static bool abort_requests; /* abort all requests, but reply to reports */
static const char *limit;   /* requests per second, sent in all replies */
static const char *backoff; /* refuse with this Retry-After (seconds) */
static bool leaving;	    /* said in all answers, but not in the list */
static bool print_messages; /* a line for every message of a router */
static bool abort_next;	    /* abort the next request */
static int64_t crash_at_us; /* 0: never */
/* The part of a prompt that crashes this worker. */
#define CRASHING_PART ",dead:"
/*
 * Time until a request whose path holds "poison", or whose prompt holds a part
 * that does so, crashes this worker; with "late-poison" only one that goes on
 * after an event of another worker.
 */
static int64_t crash_us;
static bool reset_next_report; /* reset the connection of the next one */
static int cut_answer =
	-1;	       /* bytes of the next answer that are sent; -1: all */
static struct cut cut; /* of the next stream that it applies to */
/* Send a request that crashes this worker the beginning of an answer. */
static bool answer_before_crash;
/* Answers that are sent byte by byte as a test has set them. */
struct raw {
	struct evbuffer *bytes; /* %FIELDS%, %LENGTH%, %BODY%: the usual ones */
	int left;		/* so many answers */
	bool close;		/* the connection after it */
};

/* What a name in such bytes stands for. */
struct raw_text {
	const char *name;
	const char *text;
};

static struct raw raw_answer; /* to requests */
/* To messages of routers, by their targets. */
static struct raw raw_report;
static struct raw raw_order;
static struct raw raw_health;
static bool close_each; /* connection after the answer to a request */
static CDS_LIST_HEAD(jobs);
static CDS_LIST_HEAD(peers);

static void end_job(struct job *job);
static int format_event(char *dst, size_t size, int event);
static void next_hop(struct job *job);
static void start_token(struct job *job, int64_t now);
static int parse_hops(const char *text, struct wire_hop *hops);

static bool ignore_headers(void *user, const struct hc_response *response)
{
	(void)user;
	(void)response;
	return true;
}

static void ignore_body(void *user, const void *bytes, size_t len)
{
	(void)user;
	(void)bytes;
	(void)len;
}

static void ignore_end(void *user, enum hc_result end)
{
	(void)user;
	(void)end;
}

/* Returns the header fields that this worker adds to all of its answers. */
static const char *advert_fields(void)
{
	static char fields[96];

	snprintf(fields, sizeof(fields), "%s%s%s%s",
		 limit ? "Server-Limit: " : "", limit ? limit : "",
		 limit ? "\r\n" : "", leaving ? "Server-Leaving: 1\r\n" : "");
	return fields;
}

/* Says in all answers from now on that this worker is leaving. */
static void set_leaving(struct hs_conn *conn)
{
	leaving = true;
	printf("LEAVING %s %" PRId64 "\n", id, clk_boot_us());
	hs_reply(conn, 200, NULL, NULL, 0);
}

/* Sets the rate limit to the rest of a target; an empty rest removes it. */
static void set_limit(struct hs_conn *conn, const char *text)
{
	static char value[32];

	snprintf(value, sizeof(value), "%s", text);
	limit = value[0] ? value : NULL;
	printf("LIMIT %s %" PRId64 " %s\n", id, clk_boot_us(),
	       limit ? limit : "none");
	hs_reply(conn, 200, NULL, NULL, 0);
}

/*
 * Refuses requests, orders and health checks from now on and requests a backoff
 * of as many seconds as the rest of a target says; an empty rest ends it.
 */
static void set_backoff(struct hs_conn *conn, const char *text)
{
	static char value[32];

	snprintf(value, sizeof(value), "%s", text);
	backoff = value[0] ? value : NULL;
	print_messages = true;
	hs_reply(conn, 200, NULL, NULL, 0);
}

/* Refuses a message of a router and requests a backoff. */
static void refuse_with_backoff(struct hs_conn *conn)
{
	char fields[128];

	printf("BACKOFF %s %" PRId64 " %s\n", id, clk_boot_us(), backoff);
	snprintf(fields, sizeof(fields),
		 "Not-Executed: 1\r\nRetry-After: %s\r\n%s", backoff,
		 advert_fields());
	hs_reply(conn, 503, fields, NULL, 0);
}

/* Writes this worker's entry to the list of workers. */
static void heartbeat(int64_t now)
{
	static const struct hc_ops ops = { ignore_headers, ignore_body,
					   ignore_end };
	struct hc_send send = { .ops = &ops,
				.connect_by_us = now + HEARTBEAT_US,
				.deadline_us = now + HEARTBEAT_US };
	char *encoded_id = evhttp_uriencode(id, -1, 0);
	struct hc_call *call;
	char body[1024];
	int len;

	next_heartbeat_us = now + HEARTBEAT_US;
	len = snprintf(body, sizeof(body),
		       "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"%s\","
		       "\"Version\":\"v1\",\"Slots\":%d,\"State\":\"%s\","
		       "\"ColdRemainingMs\":0,\"born\":%" PRId64
		       ",\"Sequence\":1",
		       service, address, zone, slots,
		       draining ? "draining" : "ready", started_ms);
	if (kind)
		len += snprintf(body + len, sizeof(body) - (size_t)len,
				",\"Kind\":\"%s\"", kind);
	if (layers.to > layers.from)
		len += snprintf(body + len, sizeof(body) - (size_t)len,
				",\"Layers\":{\"From\":%d,\"Target\":%d,"
				"\"Version\":1}",
				layers.from, layers.to);
	snprintf(body + len, sizeof(body) - (size_t)len, "}");
	send.request = evbuffer_new();
	evbuffer_add_printf(send.request,
			    "POST /stand-in/put?Key=servers/%s&Ttl=%d "
			    "HTTP/1.1\r\nHost: store\r\n"
			    "Content-Length: %zu\r\n\r\n%s",
			    encoded_id, HEARTBEAT_TTL_MS, strlen(body), body);
	free(encoded_id);
	hc_start(store, &send, &call);
}

static void reply_json(struct hs_conn *conn, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);
	char fields[128];

	snprintf(fields, sizeof(fields), "Content-Type: application/json\r\n%s",
		 advert_fields());
	hs_reply(conn, 200, fields, text, strlen(text));
	free(text);
	json_decref(json);
}

static void send_report(struct hs_conn *conn)
{
	json_t *stalled = json_array();
	struct job *job;
	json_t *json;

	usleep((useconds_t)report_us);
	cds_list_for_each_entry (job, &jobs, node) {
		if (job->waits_since_us &&
		    clk_boot_us() - job->waits_since_us > event_us * 5)
			json_array_append_new(
				stalled,
				json_pack("{s:s,s:s}", "Id", job->id, "Address",
					  job->hops[job->hop].address));
	}
	json = json_pack("{s:b,s:i,s:I,s:f,s:o}", "Busy", 0, "Sequence", orders,
			 "born", (json_int_t)started_ms, "pace", pace,
			 "Stalled", stalled);
	if (layers.to > layers.from)
		json_object_set_new(json, "Layers",
				    json_pack("{s:i,s:i}", "From", layers.from,
					      "Target", layers.to));
	reply_json(conn, json);
}

static struct job *find_job(const char *job_id)
{
	struct job *job;

	cds_list_for_each_entry (job, &jobs, node) {
		if (job_id && strcmp(job->id, job_id) == 0)
			return job;
	}
	return NULL;
}

/*
 * Continues a request on other workers: the stalled token restarts on the new
 * chain.  If a worker of the old chain resumes and processes the token later,
 * its result is ignored and its TOKEN line has another path number.
 */
static void handle_repath(struct hs_conn *conn, const json_t *json)
{
	const char *job_id = json_string_value(json_object_get(json, "Id"));
	const char *path = json_string_value(json_object_get(json, "Path"));
	struct job *job = find_job(job_id);
	struct wire_hop hops[WIRE_HOPS_MAX];
	int count = parse_hops(path, hops);
	int hop = 0;

	if (!job) {
		hs_reply(conn, 404, NULL, NULL, 0);
		return;
	}
	while (hop < count && hops[hop].from != job->hops[job->hop].from)
		hop++;
	if (hop == count || hops[0].to != job->hops[0].to) {
		hs_reply(conn, 409, NULL, NULL, 0);
		return;
	}
	printf("REPATH %s %s\n", job->id, id);
	memcpy(job->hops, hops, sizeof(hops));
	job->hop_count = count;
	job->path++;
	hs_reply(conn, 202, advert_fields(), NULL, 0);
	if (!job->call)
		return;
	hc_cancel(job->call);
	job->call = NULL;
	start_token(job, clk_boot_us());
}

/* Tells whether a request names another worker. */
static bool is_for_another(const struct hs_conn *conn)
{
	const char *target = hdr_get(hs_headers(conn), "Target-Instance");

	return target && strcmp(target, id) != 0;
}

static void handle_order(struct hs_conn *conn)
{
	struct evbuffer *body = hs_body(conn);
	size_t len = evbuffer_get_length(body);
	json_t *json =
		json_loadb((char *)evbuffer_pullup(body, -1), len, 0, NULL);
	const json_t *expected = json_object_get(json, "Expected");
	const char *op = json_string_value(json_object_get(json, "Op"));

	if (is_for_another(conn)) {
		hs_reply(conn, 421, "Not-Executed: 1\r\n", NULL, 0);
	} else if (op && strcmp(op, "repath") == 0) {
		handle_repath(conn, json);
	} else if (expected && json_integer_value(expected) != orders) {
		hs_reply(conn, 409, NULL, NULL, 0);
	} else {
		layers.from =
			(int)json_integer_value(json_object_get(json, "From"));
		layers.to = (int)json_integer_value(
			json_object_get(json, "Target"));
		orders++;
		printf("ORDER %s %d-%d\n", id, layers.from, layers.to);
		hs_reply(conn, 202, advert_fields(), NULL, 0);
		heartbeat(clk_boot_us());
	}
	json_decref(json);
}

/* Runs this worker's layers for a token of another worker's request. */
static void handle_step(struct hs_conn *conn)
{
	char job_id[WIRE_ID_MAX];
	char run[WIRE_ID_MAX];
	int event;
	int from;
	int to;

	if (sscanf(hs_target(conn), "/stand-in/step/%63[^/]/%63[^/]/%d/%d-%d",
		   job_id, run, &event, &from, &to) != 5 ||
	    from < layers.from || to > layers.to || draining) {
		hs_reply(conn, draining ? 503 : 421, NULL, NULL, 0);
		return;
	}
	if (backoff && event == 1) {
		printf("MESSAGE %s %" PRId64 " step\n", id, clk_boot_us());
		refuse_with_backoff(conn);
		return;
	}
	printf("TOKEN %s %s %d %d %d %" PRId64 "\n", job_id, run, event, from,
	       to, clk_boot_us());
	hs_reply(conn, 200, NULL, NULL, 0);
}

/* Parses "IP:PORT=FROM-TO,..."; returns the number of hops. */
static int parse_hops(const char *text, struct wire_hop *hops)
{
	int count = 0;

	while (text && *text && count < WIRE_HOPS_MAX) {
		if (sscanf(text, "%47[^=]=%d-%d", hops[count].address,
			   &hops[count].from, &hops[count].to) != 3)
			return 0;
		count++;
		text = strchr(text, ',');
		text = text ? text + 1 : NULL;
	}
	return count;
}

/* Refuses a request because of a worker of its chain; NULL: none is named. */
static void refuse_for(struct hs_conn *conn, int status, const char *fault,
		       const char *retry_after)
{
	char fields[256];

	snprintf(fields, sizeof(fields), "Not-Executed: 1\r\n%s%s%s%s%s%s%s",
		 advert_fields(), fault ? "At-Server: " : "",
		 fault ? fault : "", fault ? "\r\n" : "",
		 retry_after ? "Retry-After: " : "",
		 retry_after ? retry_after : "", retry_after ? "\r\n" : "");
	hs_reply(conn, status, fields, NULL, 0);
}

static void refuse(struct hs_conn *conn, int status, const char *fault)
{
	refuse_for(conn, status, fault, NULL);
}

/*
 * Refuses a request of which nothing has run but layers of the first token at
 * some of its workers.
 */
static void refuse_job(struct job *job, int status, const char *retry_after)
{
	printf("REFUSED %s %s.%d\n", job->id, id, job->run);
	refuse_for(job->conn, status, job->hops[job->hop].address, retry_after);
	job->conn = NULL;
}

/* Tells whether a request crashes this worker as it begins, or goes on. */
static bool crashes(struct hs_conn *conn, bool resumed)
{
	const char *parts = hdr_get(hs_headers(conn), "Prompt-Prefix");

	if (parts && strstr(parts, CRASHING_PART))
		return true;
	return strstr(hs_target(conn), "poison") &&
	       (resumed || !strstr(hs_target(conn), "late-poison"));
}

static void start_job(struct hs_conn *conn)
{
	const char *hops = hdr_get(hs_headers(conn), "Hop-Count");
	const char *attempt = hdr_get(hs_headers(conn), "Attempt-Id");
	const char *last = hdr_get(hs_headers(conn), "Last-Event-Id");
	struct job *job;

	printf("GOT %s %" PRId64 " %s\n", id, clk_boot_us(),
	       attempt ? attempt : "-");
	if (is_for_another(conn)) {
		refuse(conn, 421, NULL);
		return;
	}
	if (draining || full || !attempt) {
		refuse(conn, 503, kind ? address : NULL);
		return;
	}
	if (abort_requests || abort_next) {
		abort_next = false;
		printf("BROKE %s %s\n", attempt, id);
		hs_abort(conn);
		return;
	}
	job = calloc(1, sizeof(*job));
	snprintf(job->id, sizeof(job->id), "%s", attempt);
	job->conn = conn;
	job->run = ++runs;
	job->hop_count = parse_hops(hops, job->hops);
	if (kind && (job->hop_count == 0 || job->hops[0].from < layers.from ||
		     job->hops[0].to > layers.to)) {
		refuse(conn, 421, address);
		free(job);
		return;
	}
	if (close_each)
		hs_close_after_reply(conn);
	job->event = last ? atoi(last) : 0;
	job->due_us = clk_boot_us() + event_us;
	if (cut.framing[0] && cut.resumed == (job->event > 0)) {
		job->cut = cut;
		cut.framing[0] = '\0';
	}
	hs_set_user(conn, job);
	cds_list_add_tail(&job->node, &jobs);
	if (crashes(conn, last != NULL)) {
		job->due_us = MAG_NEVER;
		if (!crash_at_us)
			crash_at_us = clk_boot_us() + crash_us;
	}
	if (!kind)
		printf("RUN %s %s %s\n", job->id, id, hs_method(conn));
}

/* Sets how the next stream is cut: FRAMING/EVENT/BYTES, perhaps "/resumed". */
static void set_cut(struct hs_conn *conn, const char *text)
{
	memset(&cut, 0, sizeof(cut));
	if (sscanf(text, "%15[^/]/%d/%d", cut.framing, &cut.event,
		   &cut.bytes) != 3)
		cut.framing[0] = '\0';
	cut.resumed = strstr(text, "/resumed") != NULL;
	hs_reply(conn, 200, NULL, NULL, 0);
}

/*
 * Sets the next answers to the body of a request to the stand-in: COUNT,
 * perhaps
 * "/close".
 */
static void set_raw(struct hs_conn *conn, struct raw *raw, const char *text)
{
	if (!raw->bytes)
		raw->bytes = evbuffer_new();
	evbuffer_drain(raw->bytes, evbuffer_get_length(raw->bytes));
	evbuffer_add_buffer(raw->bytes, hs_body(conn));
	raw->left = atoi(text);
	raw->close = strstr(text, "/close") != NULL;
	hs_reply(conn, 200, NULL, NULL, 0);
}

/* Lets a connection take its next request after an answer in raw bytes. */
static void await_request(struct hs_conn *conn)
{
	conn->state = HS_READING;
	conn->started = false;
	conn->target_len = 0;
	conn->header_len = 0;
	conn->deadline_us = MAG_NEVER;
	hdr_reset(&conn->headers);
	evbuffer_drain(conn->body, evbuffer_get_length(conn->body));
	http_parser_init(&conn->parser, HTTP_REQUEST);
	conn->parser.data = conn;
}

/* Adds bytes in which %NAME% stands for the text of that name. */
static void add_expanded(struct evbuffer *out, const char *bytes, size_t left,
			 const struct raw_text *texts, size_t count)
{
	const char *mark;
	size_t i;

	while ((mark = memchr(bytes, '%', left))) {
		evbuffer_add(out, bytes, (size_t)(mark - bytes));
		left -= (size_t)(mark - bytes);
		bytes = mark;
		for (i = 0; i < count; i++) {
			if (left < strlen(texts[i].name) ||
			    memcmp(bytes, texts[i].name,
				   strlen(texts[i].name)) != 0)
				continue;
			evbuffer_add(out, texts[i].text, strlen(texts[i].text));
			bytes += strlen(texts[i].name);
			left -= strlen(texts[i].name);
			break;
		}
		if (i == count) {
			evbuffer_add(out, bytes++, 1);
			left--;
		}
	}
	evbuffer_add(out, bytes, left);
}

/*
 * Sends the set bytes, with the usual fields and body where they name these;
 * false if the usual answer is to be sent.
 */
static bool send_raw(struct hs_conn *conn, struct raw *raw, const char *request,
		     const char *fields, const char *body)
{
	char length[64];
	const struct raw_text texts[] = { { "%FIELDS%", fields },
					  { "%LENGTH%", length },
					  { "%BODY%", body } };

	if (raw->left <= 0)
		return false;
	raw->left--;
	printf("RAW %s %s\n", id, request);
	snprintf(length, sizeof(length), "Content-Length: %zu\r\n",
		 strlen(body));
	add_expanded(bufferevent_get_output(conn->bev),
		     (const char *)evbuffer_pullup(raw->bytes, -1),
		     evbuffer_get_length(raw->bytes), texts,
		     MAG_ARRAY_SIZE(texts));
	hs_set_user(conn, NULL);
	if (raw->close)
		conn->state = HS_CLOSING;
	else
		await_request(conn);
	bufferevent_enable(conn->bev, EV_WRITE);
	return true;
}

/* Sends the set bytes to a request; false if the usual answer is to be sent. */
static bool answer_raw(struct job *job, const char *fields)
{
	char body[4096] = "done";
	size_t len = 0;
	int event;

	for (event = job->event; kind && event < EVENT_COUNT; event++)
		len += (size_t)format_event(body + len, sizeof(body) - len,
					    event + 1);
	if (!send_raw(job->conn, &raw_answer, job->id, fields, body))
		return false;
	job->conn = NULL;
	end_job(job);
	return true;
}

/* Begins or ends a fault that a request to the stand-in names. */
static bool set_fault(const char *target)
{
	if (strcmp(target, "/stand-in/drain") == 0)
		draining = true;
	else if (strcmp(target, "/stand-in/full") == 0)
		full = true;
	else if (strcmp(target, "/stand-in/slow") == 0)
		pace = 10, event_us *= 10;
	else if (strcmp(target, "/stand-in/lose") == 0)
		drop_replies = true;
	else if (strcmp(target, "/stand-in/break") == 0)
		abort_requests = true;
	else if (strcmp(target, "/stand-in/break-next") == 0)
		abort_next = true;
	else if (strcmp(target, "/stand-in/drop") == 0)
		reset_next_report = true;
	else if (strcmp(target, "/stand-in/keep") == 0)
		drop_replies = false;
	else if (strncmp(target, "/stand-in/cut-answer/", 21) == 0)
		cut_answer = atoi(target + 21);
	else if (strncmp(target, "/stand-in/close-each/", 21) == 0)
		close_each = atoi(target + 21) != 0;
	else
		return false;
	return true;
}

/* Returns the set answers to a message of a router; NULL if it is a request. */
static struct raw *raw_of_message(const char *target)
{
	if (strcmp(target, "/api/report") == 0)
		return &raw_report;
	if (strcmp(target, "/api/order") == 0)
		return &raw_order;
	return strcmp(target, "/healthz") == 0 ? &raw_health : NULL;
}

/* Sets raw answers: KIND/COUNT, perhaps "/close". */
static void set_raw_of(struct hs_conn *conn, const char *text)
{
	const char *count = strchr(text, '/');

	if (strncmp(text, "report/", 7) == 0)
		set_raw(conn, &raw_report, count + 1);
	else if (strncmp(text, "order/", 6) == 0)
		set_raw(conn, &raw_order, count + 1);
	else if (strncmp(text, "health/", 7) == 0)
		set_raw(conn, &raw_health, count + 1);
	else
		set_raw(conn, &raw_answer, count ? count + 1 : text);
}

static void on_request(void *ctx, struct hs_conn *conn)
{
	const char *target = hs_target(conn);
	struct raw *raw = raw_of_message(target);

	(void)ctx;
	if (print_messages && strncmp(target, "/stand-in/", 10) != 0)
		printf("MESSAGE %s %" PRId64 " %s\n", id, clk_boot_us(),
		       target);
	if (strncmp(target, "/stand-in/raw/", 14) == 0)
		set_raw_of(conn, target + 14);
	else if (raw && send_raw(conn, raw, target, advert_fields(), ""))
		return;
	else if (strcmp(target, "/api/report") == 0 && kind &&
		 reset_next_report)
		reset_next_report = false, hs_abort(conn);
	else if (strcmp(target, "/api/report") == 0 && kind)
		send_report(conn);
	else if (strncmp(target, "/stand-in/step/", 15) == 0)
		handle_step(conn);
	else if (strcmp(target, "/stand-in/leaving") == 0)
		set_leaving(conn);
	else if (strncmp(target, "/stand-in/backoff/", 18) == 0)
		set_backoff(conn, target + 18);
	else if (backoff && strncmp(target, "/stand-in/", 10) != 0)
		refuse_with_backoff(conn);
	else if (strcmp(target, "/api/order") == 0 && kind)
		handle_order(conn);
	else if (set_fault(target))
		hs_reply(conn, 200, NULL, NULL, 0);
	else if (strncmp(target, "/stand-in/limit/", 16) == 0)
		set_limit(conn, target + 16);
	else if (strncmp(target, "/stand-in/cut/", 14) == 0)
		set_cut(conn, target + 14);
	else if (strcmp(target, "/healthz") == 0)
		hs_reply(conn, draining ? 503 : 200, advert_fields(), NULL, 0);
	else
		start_job(conn);
}

static void on_disconnected(void *ctx, struct hs_conn *conn, void *user)
{
	struct job *job = user;

	(void)ctx;
	(void)conn;
	printf("GONE %s %s\n", job->id, id);
	job->conn = NULL;
	end_job(job);
}

static void end_job(struct job *job)
{
	if (job->call)
		hc_cancel(job->call);
	if (job->conn)
		hs_set_user(job->conn, NULL);
	cds_list_del(&job->node);
	free(job);
}

static struct hc_host *peer_host(const char *peer_address)
{
	struct peer *peer;

	cds_list_for_each_entry (peer, &peers, node) {
		if (strcmp(peer->address, peer_address) == 0)
			return peer->host;
	}
	peer = calloc(1, sizeof(*peer));
	snprintf(peer->address, sizeof(peer->address), "%s", peer_address);
	hc_host_new(hc, peer_address, 64, &peer->host);
	cds_list_add_tail(&peer->node, &peers);
	return peer->host;
}

static int format_event(char *dst, size_t size, int event)
{
	return snprintf(dst, size, "id: %d\ndata: piece %d\n\n", event, event);
}

static void format_stream_fields(char *dst, size_t size, const struct job *job)
{
	snprintf(dst, size,
		 "Attempt-Id: %s\r\nResponse-Seal: %s\r\n"
		 "Content-Type: text/event-stream\r\n%s",
		 job->id, id, advert_fields());
}

/* Sends a stream that is cut, and ends it as its framing ends a whole one. */
static void send_cut(struct job *job)
{
	struct evbuffer *out = bufferevent_get_output(job->conn->bev);
	const struct cut *of = &job->cut;
	char fields[256];
	char body[4096] = "";
	size_t len = 0;
	int event;

	for (event = job->event + 1; event <= of->event; event++)
		len += (size_t)format_event(body + len, sizeof(body) - len,
					    event);
	format_event(body + len, sizeof(body) - len, event);
	len += (size_t)of->bytes;
	printf("CUT %s %s %s %d %d\n", job->id, id, of->framing, of->event,
	       of->bytes);
	format_stream_fields(fields, sizeof(fields), job);
	if (strcmp(of->framing, "length") == 0) {
		hs_reply(job->conn, 200, fields, body, len);
	} else if (strcmp(of->framing, "chunked") == 0) {
		hs_stream_begin(job->conn, 200, fields);
		hs_stream_data(job->conn, body, len);
		hs_stream_end(job->conn);
	} else {
		evbuffer_add_printf(out, "HTTP/1.1 200 OK\r\n%s\r\n", fields);
		evbuffer_add(out, body, len);
		job->conn->state = HS_CLOSING;
		bufferevent_enable(job->conn->bev, EV_WRITE);
	}
	job->conn = NULL;
	end_job(job);
}

/*
 * Sends the beginning of an answer, whose length is known, and closes the
 * connection; false if the whole answer is to be sent.
 */
static bool send_beginning(struct job *job, const char *fields,
			   const char *body)
{
	struct evbuffer *out = bufferevent_get_output(job->conn->bev);
	char text[1024];
	int len;

	if (cut_answer < 0)
		return false;
	len = snprintf(text, sizeof(text),
		       "HTTP/1.1 200 OK\r\n%sContent-Length: %zu\r\n\r\n%s",
		       fields, strlen(body), body);
	printf("CUT %s %s answer %d of %d\n", job->id, id, cut_answer, len);
	evbuffer_add(out, text, (size_t)(cut_answer < len ? cut_answer : len));
	cut_answer = -1;
	job->conn->state = HS_CLOSING;
	bufferevent_enable(job->conn->bev, EV_WRITE);
	job->conn = NULL;
	end_job(job);
	return true;
}

/* Sends the requests that crash this worker the beginning of an answer. */
static void answer_and_crash(void)
{
	struct job *job;
	char fields[256];

	cds_list_for_each_entry (job, &jobs, node) {
		if (!answer_before_crash || job->due_us != MAG_NEVER)
			continue;
		format_stream_fields(fields, sizeof(fields), job);
		dprintf(bufferevent_getfd(job->conn->bev),
			"HTTP/1.1 200 OK\r\n%s\r\nid: 1\nda", fields);
	}
	printf("CRASH %s %" PRId64 "\n", id, clk_boot_us());
	exit(3);
}

/* All layers have run: sends the event to the client. */
static void send_event(struct job *job)
{
	char event[128];
	char fields[256];
	int len;

	if (job->cut.framing[0]) {
		send_cut(job);
		return;
	}
	format_stream_fields(fields, sizeof(fields), job);
	if (!job->started && answer_raw(job, fields))
		return;
	job->event++;
	if (!job->started) {
		format_event(event, sizeof(event), job->event);
		if (send_beginning(job, fields, event))
			return;
		job->started = true;
		hs_stream_begin(job->conn, 200, fields);
	}
	len = format_event(event, sizeof(event), job->event);
	hs_stream_data(job->conn, event, (size_t)len);
	job->due_us = clk_boot_us() + event_us;
	if (job->event % GAP_EVERY == 0)
		job->due_us += gap_us;
	if (job->event < EVENT_COUNT)
		return;
	hs_stream_end(job->conn);
	job->conn = NULL;
	end_job(job);
}

static bool step_headers(void *user, const struct hc_response *response)
{
	struct job *job = user;

	/* The chain is broken: names the worker at fault. */
	if (response->status != 200 && !job->started)
		refuse_job(job, response->status,
			   hdr_get(response->headers, "Retry-After"));
	return true;
}

static void step_ended(void *user, enum hc_result end)
{
	struct job *job = user;

	job->call = NULL;
	if (!job->conn) {
		end_job(job);
		return;
	}
	if (end != HC_COMPLETE)
		return; /* stalled; the tick ends the job */
	job->waits_since_us = 0;
	job->hop++;
	next_hop(job);
}

/* Passes the current token to the next worker of the chain. */
static void next_hop(struct job *job)
{
	static const struct hc_ops ops = { step_headers, ignore_body,
					   step_ended };
	const struct wire_hop *hop = &job->hops[job->hop];
	int64_t now = clk_boot_us();
	struct hc_send send = { .ops = &ops,
				.user = job,
				.connect_by_us = now + STALL_US,
				.deadline_us = now + STALL_US };

	if (job->hop == job->hop_count) {
		send_event(job);
		return;
	}
	send.request = evbuffer_new();
	evbuffer_add_printf(
		send.request,
		"GET /stand-in/step/%s/%s.%d-%d/%d/%d-%d HTTP/1.1\r\n"
		"Host: worker\r\n\r\n",
		job->id, id, job->run, job->path, job->event + 1, hop->from,
		hop->to);
	job->waits_since_us = now;
	if (hc_start(peer_host(hop->address), &send, &job->call))
		job->call = NULL;
}

/* Starts the next token with this worker's own layers. */
static void start_token(struct job *job, int64_t now)
{
	printf("TOKEN %s %s.%d-%d %d %d %d %" PRId64 "\n", job->id, id,
	       job->run, job->path, job->event + 1, job->hops[0].from,
	       job->hops[0].to, now);
	job->hop = 1;
	next_hop(job);
}

/* Runs a job that is due, or ends it if it stalled; false if it may be gone. */
static bool run_job(struct job *job, int64_t now)
{
	char fields[256];

	if (job->waits_since_us) {
		if (now - job->waits_since_us < STALL_US)
			return true;
		if (job->started)
			hs_abort(job->conn);
		else
			refuse_job(job, 503, NULL);
		job->conn = NULL;
		end_job(job);
		return false;
	}
	if (job->call || now < job->due_us)
		return true;
	if (kind) {
		start_token(job, now);
		return false;
	}
	if (drop_replies) {
		hs_abort(job->conn);
	} else {
		snprintf(fields, sizeof(fields),
			 "Attempt-Id: %s\r\nResponse-Seal: %s\r\n%s", job->id,
			 id, advert_fields());
		if (send_beginning(job, fields, "done"))
			return false;
		if (answer_raw(job, fields))
			return false;
		hs_reply(job->conn, 200, fields, "done", 4);
	}
	job->conn = NULL;
	end_job(job);
	return false;
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	int64_t now = clk_boot_us();
	struct job *job;
	struct job *next;

	(void)fd;
	(void)what;
	hc_tick(hc, now);
	hs_tick(arg, now);
	if (crash_at_us && now >= crash_at_us)
		answer_and_crash();
	if (now >= next_heartbeat_us)
		heartbeat(now);
	cds_list_for_each_entry_safe (job, next, &jobs, node)
		run_job(job, now);
}

/* Returns a number that a test sets in the environment. */
static int env_number(const char *name, int fallback)
{
	const char *text = getenv(name);

	return text ? atoi(text) : fallback;
}

int main(int argc, char **argv)
{
	static const struct hs_ops ops = { on_request, on_disconnected };
	struct timeval interval = { 0, TICK_MS * 1000 };
	struct event_base *base = event_base_new();
	struct hs *hs;

	if (argc < 6) {
		fprintf(stderr,
			"usage: fake_worker STORE ADDRESS ID SERVICE ZONE "
			"[KIND]\n");
		return 1;
	}
	setvbuf(stdout, NULL, _IOLBF, 0);
	hc = hc_new(base);
	address = argv[2];
	id = argv[3];
	service = argv[4];
	zone = argv[5];
	kind = argc > 6 ? argv[6] : NULL;
	started_ms = clk_wall_ms();
	slots = env_number("FAKE_SLOTS", slots);
	answer_before_crash = env_number("FAKE_CRASH_ANSWER", 0);
	event_us = env_number("FAKE_EVENT_MS", 20) * MAG_US_PER_MS;
	gap_us = env_number("FAKE_GAP_MS", 0) * MAG_US_PER_MS;
	report_us = env_number("FAKE_REPORT_MS", 0) * MAG_US_PER_MS;
	crash_us = env_number("FAKE_CRASH_MS", 60) * MAG_US_PER_MS;
	if (hc_host_new(hc, argv[1], 8, &store) ||
	    hs_serve(base, fk_listen(address), &ops, NULL, &hs))
		return 1;
	event_add(event_new(base, -1, EV_PERSIST, on_tick, hs), &interval);
	event_base_dispatch(base);
	return 0;
}
