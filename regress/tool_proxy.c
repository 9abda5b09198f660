/*
 * A fault-injecting loopback proxy.  Each line of standard input sets the mode:
 * pass, delay (100 ms), reset (open and new connections), up or down (drop the
 * data of callers or of the target), silent (drop both), refuse (new
 * connections; open ones live on), sever (reset open ones, refuse new ones),
 * hang (new ones hang, open ones drop both), freeze (new ones hang, the data of
 * open ones waits for the next mode).  In the modes head, fields, interim,
 * body, other and events the caller gets, instead of an answer, bytes without
 * end: in a header, as headers, as interim answers, in a body, in the body of
 * another request's answer, or in an event; in the modes slow-body and
 * slow-events, by and by in a body, or as events.  It may serve several pairs
 * of OWN and TARGET.
 */

#include <fcntl.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <urcu/list.h>

#define DELAY_MS 100
/* Between two parts of bytes without end that come by and by. */
#define PACE_MS	   10
#define PACE_BYTES 65536
#define LONG_TEXT                                                              \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"     \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

enum mode {
	PASS,
	DELAY,
	RESET,
	UP,
	DOWN,
	SILENT,
	REFUSE,
	SEVER,
	HANG,
	FREEZE,
	HEAD,
	INTERIM,
	BODY,
	OTHER,
	EVENTS,
	FIELDS,
	SLOW_BODY,
	SLOW_EVENTS,
	MODES
};

/* How bytes without end begin, and what repeats. */
struct endless {
	const char *begin;
	const char *part;
	bool slow;
};

static const struct endless endless[MODES] = {
	[HEAD] = { "HTTP/1.1 200 OK\r\nX-Filler: ", "aaaaaaaaaaaaaaaa" },
	[INTERIM] = { "", "HTTP/1.1 100 Continue\r\n\r\n" },
	[BODY] = { "HTTP/1.1 200 OK\r\nResponse-Seal: 1\r\n\r\n",
		   "aaaaaaaaaaaaaaaa" },
	[OTHER] = { "HTTP/1.1 200 OK\r\nAttempt-Id: another\r\n"
		    "Transfer-Encoding: chunked\r\n\r\n",
		    "10\r\naaaaaaaaaaaaaaaa\r\n" },
	[EVENTS] = { "HTTP/1.1 200 OK\r\nResponse-Seal: 1\r\n"
		     "Content-Type: text/event-stream\r\n\r\nid: 0\ndata: ",
		     "aaaaaaaaaaaaaaaa" },
	[FIELDS] = { "HTTP/1.1 200 OK\r\n", "X-Filler: aaaaaa\r\n" },
	[SLOW_BODY] = { "HTTP/1.1 200 OK\r\nResponse-Seal: 1\r\n\r\n",
			"aaaaaaaaaaaaaaaa", true },
	[SLOW_EVENTS] = { "HTTP/1.1 200 OK\r\nResponse-Seal: 1\r\n"
			  "Content-Type: text/event-stream\r\n\r\n",
			  "data: " LONG_TEXT LONG_TEXT LONG_TEXT LONG_TEXT
			  "\n\n",
			  true },
};

#define ROUTES_MAX 16
#define FILL_BYTES 65536 /* of bytes without end, at a time */
/* More connections than fit into the queue of a listener without backlog. */
#define FILLERS 4

/* An address of ours and the one that its connections go to. */
struct route {
	struct sockaddr_storage own;
	int own_len;
	struct sockaddr_storage target;
	int target_len;
	struct evconnlistener *listener; /* NULL: closed */
	int hanging;			 /* a listener with a full queue; -1 */
	int fillers[FILLERS];
};

/* One side of a proxied connection: the caller's or the target's socket. */
struct end {
	struct bufferevent *bev;
	struct pair *pair;
	struct end *other;
	bool is_caller;
	const struct endless *endless; /* what this caller gets; NULL */
};

struct pair {
	struct cds_list_head node;
	struct end ends[2];
	struct event *delay_timer;
	struct event *pace_timer;
	bool closing;
};

static struct event_base *base;
static struct route routes[ROUTES_MAX];
static int route_count;
static enum mode mode;
static CDS_LIST_HEAD(pairs);

static void close_pair(struct pair *pair)
{
	struct linger hard = { .l_onoff = 1, .l_linger = 0 };
	int i;

	for (i = 0; i < 2; i++) {
		setsockopt(bufferevent_getfd(pair->ends[i].bev), SOL_SOCKET,
			   SO_LINGER, &hard, sizeof(hard));
		bufferevent_free(pair->ends[i].bev);
	}
	event_free(pair->delay_timer);
	event_free(pair->pace_timer);
	cds_list_del(&pair->node);
	free(pair);
}

static void send_part(struct end *end, size_t bytes)
{
	const char *part = end->endless->part;
	size_t len;

	for (len = 0; len < bytes; len += strlen(part))
		bufferevent_write(end->bev, part, strlen(part));
}

/* Sends more of the bytes without end once the last ones have left. */
static void on_write(struct bufferevent *bev, void *arg)
{
	struct timeval wait = { 0, PACE_MS * 1000 };
	struct end *end = arg;

	(void)bev;
	if (end->endless && end->endless->slow)
		event_add(end->pair->pace_timer, &wait);
	else if (end->endless)
		send_part(end, FILL_BYTES);
}

static void on_pace(evutil_socket_t fd, short what, void *arg)
{
	struct pair *pair = arg;

	(void)fd;
	(void)what;
	send_part(&pair->ends[0], PACE_BYTES);
}

static void forward(struct end *end)
{
	struct evbuffer *in = bufferevent_get_input(end->bev);

	if (end->is_caller && endless[mode].begin &&
	    evbuffer_get_length(in) > 0) {
		evbuffer_drain(in, evbuffer_get_length(in));
		if (end->endless)
			return;
		end->endless = &endless[mode];
		bufferevent_write(end->bev, end->endless->begin,
				  strlen(end->endless->begin));
		on_write(end->bev, end);
		return;
	}
	if (mode == FREEZE)
		return;
	if (mode == SILENT || mode == HANG || (mode == UP && end->is_caller) ||
	    (mode == DOWN && !end->is_caller))
		evbuffer_drain(in, evbuffer_get_length(in));
	else
		bufferevent_write_buffer(end->other->bev, in);
}

static void on_delay(evutil_socket_t fd, short what, void *arg)
{
	struct timeval wait = { 0, DELAY_MS * 1000 };
	struct pair *pair = arg;

	(void)fd;
	(void)what;
	if (mode == FREEZE) {
		event_add(pair->delay_timer, &wait);
		return;
	}
	forward(&pair->ends[0]);
	forward(&pair->ends[1]);
	if (pair->closing)
		close_pair(pair);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct timeval wait = { 0, DELAY_MS * 1000 };
	struct end *end = arg;

	(void)bev;
	if (mode == DELAY)
		event_add(end->pair->delay_timer, &wait);
	else
		forward(end);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct timeval wait = { 0, DELAY_MS * 1000 };
	struct end *end = arg;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED)
		return;
	/* Close after a delay, so that buffered data still arrives. */
	end->pair->closing = true;
	event_add(end->pair->delay_timer, &wait);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *addr, int addr_len, void *arg)
{
	struct route *route = arg;
	struct pair *pair;
	int i;

	(void)listener;
	(void)addr;
	(void)addr_len;
	if (mode == RESET) {
		close(fd);
		return;
	}
	pair = calloc(1, sizeof(*pair));
	pair->ends[0].bev =
		bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
	pair->ends[1].bev =
		bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
	pair->ends[0].is_caller = true;
	pair->delay_timer = event_new(base, -1, 0, on_delay, pair);
	pair->pace_timer = event_new(base, -1, 0, on_pace, pair);
	cds_list_add_tail(&pair->node, &pairs);
	for (i = 0; i < 2; i++) {
		pair->ends[i].pair = pair;
		pair->ends[i].other = &pair->ends[1 - i];
		bufferevent_setcb(pair->ends[i].bev, on_read, on_write,
				  on_event, &pair->ends[i]);
	}
	bufferevent_socket_connect(pair->ends[1].bev,
				   (struct sockaddr *)&route->target,
				   route->target_len);
	for (i = 0; i < 2; i++)
		bufferevent_enable(pair->ends[i].bev, EV_READ | EV_WRITE);
}

static void open_listener(struct route *route)
{
	route->listener = evconnlistener_new_bind(
		base, on_accept, route,
		LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
		(struct sockaddr *)&route->own, route->own_len);
}

/* Lets new connections hang: nobody accepts, and the queue is full. */
static void open_hanging(struct route *route)
{
	int on = 1;
	int i;

	route->hanging = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(route->hanging, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(route->hanging, (struct sockaddr *)&route->own,
		 (socklen_t)route->own_len) ||
	    listen(route->hanging, 0))
		exit(1);
	for (i = 0; i < FILLERS; i++) {
		route->fillers[i] = socket(AF_INET, SOCK_STREAM, 0);
		fcntl(route->fillers[i], F_SETFL, O_NONBLOCK);
		(void)connect(route->fillers[i], (struct sockaddr *)&route->own,
			      (socklen_t)route->own_len);
	}
}

/* Opens and closes the listener of a route as the mode asks. */
static void apply_mode(struct route *route)
{
	bool hanging = mode == HANG || mode == FREEZE;
	bool accepting = mode != REFUSE && mode != SEVER && !hanging;
	int i;

	if (route->hanging >= 0) {
		close(route->hanging);
		for (i = 0; i < FILLERS; i++)
			close(route->fillers[i]);
		route->hanging = -1;
	}
	if (accepting && !route->listener)
		open_listener(route);
	if (!accepting && route->listener) {
		evconnlistener_free(route->listener);
		route->listener = NULL;
	}
	if (hanging)
		open_hanging(route);
}

static void on_command(evutil_socket_t fd, short what, void *arg)
{
	static const char *const words[] = {
		"pass",	  "delay",     "reset",	     "up",    "down",
		"silent", "refuse",    "sever",	     "hang",  "freeze",
		"head",	  "interim",   "body",	     "other", "events",
		"fields", "slow-body", "slow-events"
	};
	struct pair *pair;
	struct pair *next;
	char line[64];
	ssize_t len;
	int i;

	(void)what;
	(void)arg;
	len = read(fd, line, sizeof(line) - 1);
	if (len <= 0)
		return;
	line[len] = '\0';
	line[strcspn(line, "\n")] = '\0';
	for (i = 0; i < MODES; i++) {
		if (strcmp(line, words[i]) == 0)
			mode = (enum mode)i;
	}
	for (i = 0; i < route_count; i++)
		apply_mode(&routes[i]);
	cds_list_for_each_entry_safe (pair, next, &pairs, node) {
		if (mode == RESET || mode == SEVER) {
			close_pair(pair);
			continue;
		}
		forward(&pair->ends[0]);
		forward(&pair->ends[1]);
	}
}

int main(int argc, char **argv)
{
	struct route *route;
	int i;

	signal(SIGPIPE, SIG_IGN);
	base = event_base_new();
	for (i = 1; i + 1 < argc && route_count < ROUTES_MAX; i += 2) {
		route = &routes[route_count++];
		route->own_len = sizeof(route->own);
		route->target_len = sizeof(route->target);
		route->hanging = -1;
		if (evutil_parse_sockaddr_port(argv[i],
					       (struct sockaddr *)&route->own,
					       &route->own_len) ||
		    evutil_parse_sockaddr_port(
			    argv[i + 1], (struct sockaddr *)&route->target,
			    &route->target_len))
			return 1;
		open_listener(route);
		if (!route->listener)
			return 1;
	}
	if (route_count == 0 || argc % 2 == 0) {
		fprintf(stderr, "usage: tool_proxy OWN TARGET... <commands\n");
		return 1;
	}
	event_add(event_new(base, 0, EV_READ | EV_PERSIST, on_command, NULL),
		  NULL);
	event_base_dispatch(base);
	return 0;
}
