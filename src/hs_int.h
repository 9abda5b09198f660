#ifndef HS_INT_H
#define HS_INT_H

/* Internals of the HTTP server: its connections and their parser. */

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <http_parser.h>
#include <urcu/list.h>

#include "hs.h"
#include "mag.h"

#define HS_TARGET_MAX 8192
/* Failures that follow each other within this time are logged once. */
#define HS_SERIES_US (10 * MAG_US_PER_S)

enum hs_state {
	HS_READING,    /* waits for a request or reads one */
	HS_RESPONDING, /* the owner processes a request */
	HS_CLOSING,    /* closes once the response has been sent */
	HS_LINGERING,  /* sent; what the client still sends is discarded */
};

struct hs {
	struct event_base *base;
	struct evconnlistener *listener;
	struct hs_ops ops;
	void *ctx;
	struct hs_limits limits;
	struct cds_list_head conns;
	bool keep_alive; /* connections stay open after a response */
	size_t unsent;	 /* bytes of responses, on all connections */
	int connections;
	int connections_max;
	bool accepting;
	int64_t accept_from_us;	       /* after a failure */
	int64_t accept_failures_by_us; /* their series ends without another */
	uint64_t accept_failures;
	size_t body_bytes;	      /* that bodies of requests have claimed */
	int64_t bodies_refused_by_us; /* their series ends without another */
	uint64_t bodies_refused;
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
	int64_t deadline_us; /* for the header, or for the next request */
	int64_t first_by_us; /* when a first request is late */
	size_t body_claim;   /* bytes */
	int64_t body_by_us;  /* when more of the body is late */
	void *user;
	int error_status; /* found while parsing; 0: none */
	bool started;	  /* bytes of the next request have arrived */
	bool used;	  /* a request has been read on it */
	bool complete;	  /* the request has been read to its end */
	bool keep_alive;
	bool chunked; /* the response in progress is chunked */
};

/*
 * Parser callbacks that store the request in its connection; they set
 * error_status if a limit is exceeded.
 */
extern const http_parser_settings hs_settings;

/* hs.c */
void hs_conn_begin(struct hs_conn *conn);
void hs_send_error(struct hs_conn *conn, int status);
void hs_close(struct hs_conn *conn);

/* hs_accept.c */
int hs_listen(struct hs *hs, int fd);
void hs_choose_accepting(struct hs *hs, int64_t now);

/* hs_body.c */
bool hs_claim_body(struct hs_conn *conn, size_t len);
void hs_claim(struct hs_conn *conn, size_t claim);
bool hs_drop_late_body(struct hs *hs, size_t claim, int64_t now);

#endif /* HS_INT_H */
