#ifndef HS_INT_H
#define HS_INT_H

/* What the parts of the HTTP server share: connections, and their parser. */

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <http_parser.h>
#include <urcu/list.h>

#include "hs.h"
#include "mag.h"

#define HS_TARGET_MAX 8192

enum hs_state {
	HS_READING,   /* waits for a request, or is in the middle of one */
	HS_ANSWERING, /* a request is with the owner */
	HS_CLOSING,   /* the answer drains, then the connection closes */
};

struct hs {
	struct event_base *base;
	struct evconnlistener *listener;
	struct hs_ops ops;
	void *ctx;
	struct hs_limits limits;
	struct cds_list_head conns;
	bool keep; /* answers leave their connections open */
};

struct hs_conn {
	struct cds_list_head node;
	struct hs *hs;
	struct bufferevent *bev;
	http_parser parser;
	enum hs_state state;
	struct hdr_list headers;
	struct evbuffer *body;
	char target[HS_TARGET_MAX];
	size_t target_len;
	size_t header_len;
	int64_t due_us; /* of the header, or of the next request */
	void *user;
	int error_status; /* found while parsing, 0: none */
	bool begun;	  /* bytes of the next request have come */
	bool whole;	  /* the request has been read to its end */
	bool keep_alive;
	bool chunked; /* the answer in progress */
};

/* Fills a connection's request while the parser reads it; error_status is set
 * where a limit is passed. */
extern const http_parser_settings hs_settings;

#endif /* HS_INT_H */
