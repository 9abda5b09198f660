/*
 * Load generator for magnolia-edge: sends streams, bookings and lookups at a
 * constant rate, each with its own attempt id and, with -d, its own path.  With
 * -p N the prompts of streams have parts: one of some subjects, in every N-th
 * stream one that crashes workers, and one of its own; with -k KINDS the calls
 * are of these kinds in turn, s, b or r; with -t TOKEN they are of the account
 * with this key.  With -o there are PER_S callers instead, each with a
 * connection of its own, on which it sends one call after the other with
 * pauses.  Prints the result of each call on a line, with -o then the number of
 * connections that were opened; promises.awk compares the calls with the
 * workers' output.
 */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>

#include "clk.h"
#include "evs.h"
#include "hc.h"
#include "mag.h"

#define ROUTERS_MAX	16
#define CALLERS_MAX	64
#define TICK_MS		10
#define CALL_TIMEOUT_US (8 * MAG_US_PER_S)
#define CONNECT_US	MAG_US_PER_S
/* Pause of a caller that keeps its connection, between two calls. */
#define PAUSE_US (200 * MAG_US_PER_MS)
/* Events of a complete stream, as the stand-in for the workers sends them. */
#define EVENTS_PER_STREAM 20
/* Parts that begin the prompts, one for each so many streams. */
#define SUBJECTS 17

/* A caller that keeps its connection. */
struct caller {
	struct hc_host *router;
	int64_t next_us; /* of its next call; MAG_NEVER: one is in progress */
};

struct call {
	char id[32];
	struct caller *caller; /* NULL: the call has its own connection */
	char kind;
	int status;
	int64_t last; /* id of the last event */
	int64_t started_us;
	bool in_order;	 /* all events arrived, in order and once each */
	bool mismatched; /* the answer is of another attempt or has no seal */
	struct evs evs;
};

static struct hc *hc;
static struct hc_host *routers[ROUTERS_MAX];
static int router_count;
static struct caller callers[CALLERS_MAX];
static int caller_count; /* 0: each call has a connection of its own */
static int connection_count;
static struct event_base *base;
static const char *prefix;
static int64_t next_us;
static int64_t every_us;
static int64_t until_us;
static int started_count;
static int open_calls;
static bool distinct; /* each call has a path of its own */
/* Kinds of calls, in turn: streams, bookings and lookups. */
static const char *kinds = "ssbr";
static const char *token = "key-1";
static int crash_every; /* streams to one that crashes workers; 0: no parts */
static int stream_count;

static bool on_headers(void *user, const struct hc_response *answer)
{
	struct call *call = user;
	const char *id = hdr_get(answer->headers, "Attempt-Id");

	call->status = answer->status;
	if (id && strcmp(id, call->id) != 0)
		call->mismatched = true;
	if (answer->status / 100 == 2 &&
	    !hdr_get(answer->headers, "Response-Seal"))
		call->mismatched = true;
	return true;
}

static void on_body(void *user, const void *bytes, size_t len)
{
	struct call *call = user;
	struct evs_event event;

	if (call->kind != 's' || call->status != 200)
		return;
	evs_feed(&call->evs, bytes, len);
	while (evs_next(&call->evs, &event)) {
		if (event.id != call->last + 1)
			call->in_order = false;
		call->last = event.id;
	}
}

static void on_end(void *user, enum hc_result end)
{
	static const char *const ends[] = { "whole", "unsent", "broken",
					    "garbled", "timeout" };
	struct call *call = user;

	if (end == HC_COMPLETE && call->kind == 's' && call->status == 200 &&
	    (call->last != EVENTS_PER_STREAM || evs_pending(&call->evs) > 0))
		call->in_order = false;
	printf("CALL %s %c %d %s %s %s %" PRId64 "\n", call->id, call->kind,
	       call->status, ends[end], call->in_order ? "ordered" : "DISORDER",
	       call->mismatched ? "FOREIGN" : "own", call->started_us);
	if (call->caller)
		call->caller->next_us = clk_boot_us() + PAUSE_US;
	evs_free(&call->evs);
	free(call);
	open_calls--;
}

/* Writes the parts of a stream's prompt; one that crashes workers is named so.
 */
static void fill_parts(struct call *call, char *dst, size_t size)
{
	bool crashes;

	stream_count++;
	if (crash_every == 0)
		return;
	crashes = stream_count % crash_every == 0;
	if (crashes)
		snprintf(call->id, sizeof(call->id), "%s-crash-%06d", prefix,
			 started_count);
	snprintf(dst, size, "Prompt-Prefix: %x:40,%s%x:60\r\n",
		 0xa0 + stream_count % SUBJECTS, crashes ? "dead:20," : "",
		 0xf00000 + started_count);
}

/* Starts a call of a caller that keeps its connection, or of another one. */
static void start_call(struct caller *caller, int64_t now)
{
	static const struct hc_ops ops = { on_headers, on_body, on_end };
	struct call *call = calloc(1, sizeof(*call));
	struct hc_send send = { .ops = &ops,
				.user = call,
				.new_connection = !caller,
				.connect_by_us = now + CONNECT_US,
				.deadline_us = now + CALL_TIMEOUT_US };
	struct hc_call *started;
	char parts[96] = "";

	started_count++;
	snprintf(call->id, sizeof(call->id), "%s-%06d", prefix, started_count);
	call->kind = kinds[(size_t)started_count % strlen(kinds)];
	if (call->kind == 's')
		fill_parts(call, parts, sizeof(parts));
	call->in_order = true;
	call->caller = caller;
	if (caller)
		caller->next_us = MAG_NEVER;
	call->started_us = now;
	send.request = evbuffer_new();
	evbuffer_add_printf(send.request,
			    "%s /%c/%s HTTP/1.1\r\nHost: h.example\r\n"
			    "Attempt-Id: %s\r\nDeadline-Ms: 6000\r\n"
			    "Token-Count: 100,20\r\n"
			    "Authorization: Token %s\r\n%s%s\r\n",
			    call->kind == 'r' ? "GET" : "POST", call->kind,
			    distinct ? call->id : "x", call->id, token, parts,
			    call->kind == 'r' ? "" : "Content-Length: 0\r\n");
	open_calls++;
	if (hc_start(caller ? caller->router
			    : routers[started_count % router_count],
		     &send, &started))
		on_end(call, HC_UNSENT);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	int64_t now = clk_boot_us();
	int i;

	(void)fd;
	(void)what;
	(void)arg;
	hc_tick(hc, now);
	for (i = 0; i < caller_count; i++) {
		if (now < until_us && now >= callers[i].next_us)
			start_call(&callers[i], now);
	}
	while (caller_count == 0 && now < until_us && now >= next_us) {
		start_call(NULL, now);
		next_us += every_us;
	}
	if (now >= until_us && open_calls == 0)
		event_base_loopbreak(base);
}

/* Called when the first answer comes on a connection. */
static void on_connection(void *ctx, bool reached)
{
	(void)ctx;
	connection_count += reached;
}

/* Creates callers that keep their connections, spread over the routers. */
static int create_callers(int count, char **addresses)
{
	int i;

	if (count < 1 || count > CALLERS_MAX)
		return -1;
	for (i = 0; i < count; i++) {
		if (hc_host_new(hc, addresses[i % router_count], 1,
				&callers[i].router))
			return -1;
		hc_host_observe(callers[i].router, on_connection, NULL);
		callers[i].next_us = next_us + PAUSE_US * i / count;
	}
	caller_count = count;
	return 0;
}

int main(int argc, char **argv)
{
	struct timeval every = { 0, TICK_MS * 1000 };
	bool open = false;
	int i;

	if (argc > 1 && strcmp(argv[1], "-o") == 0) {
		open = true;
		argv++;
		argc--;
	}
	if (argc > 1 && strcmp(argv[1], "-d") == 0) {
		distinct = true;
		argv++;
		argc--;
	}
	if (argc > 2 && strcmp(argv[1], "-k") == 0) {
		kinds = argv[2];
		argv += 2;
		argc -= 2;
	}
	if (argc > 2 && strcmp(argv[1], "-p") == 0) {
		crash_every = atoi(argv[2]);
		argv += 2;
		argc -= 2;
	}
	if (argc > 2 && strcmp(argv[1], "-t") == 0) {
		token = argv[2];
		argv += 2;
		argc -= 2;
	}
	if (argc < 5) {
		fprintf(stderr, "usage: tool_calls [-o] [-d] [-k KINDS] [-p N] "
				"[-t TOKEN] PREFIX SECONDS PER_S "
				"ROUTER...\n");
		return 1;
	}
	base = event_base_new();
	hc = hc_new(base);
	prefix = argv[1];
	next_us = clk_boot_us();
	until_us = next_us + (int64_t)(atof(argv[2]) * MAG_US_PER_S);
	every_us = (int64_t)(MAG_US_PER_S / atof(argv[3]));
	for (i = 4; i < argc && router_count < ROUTERS_MAX; i++) {
		if (hc_host_new(hc, argv[i], 4096, &routers[router_count++]))
			return 1;
	}
	if (open && create_callers(atoi(argv[3]), argv + 4))
		return 1;
	event_add(event_new(base, -1, EV_PERSIST, on_tick, NULL), &every);
	event_base_dispatch(base);
	if (open)
		printf("CONNECTIONS %d\n", connection_count);
	return 0;
}
