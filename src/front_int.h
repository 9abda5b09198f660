#ifndef FRONT_INT_H
#define FRONT_INT_H

/* State of a caller's request, shared by the files of the front module. */

#include <pthread.h>
#include <stdatomic.h>

#include <civetweb.h>
#include <jansson.h>
#include <urcu/list.h>

#include "ep.h"
#include "front.h"

#define FRONT_BUCKETS	 1024
#define FRONT_TOKENS_MAX 65536

struct front {
	struct front_settings settings;
	struct loop *loop;
	struct mg_context *server;
	struct ep_cancel *cancel;
	struct cfg_set *set;  /* current configuration; read under RCU */
	pthread_mutex_t lock; /* of the buckets, their requests and serving */
	struct cds_list_head buckets[FRONT_BUCKETS]; /* by request id */
	pthread_cond_t begin; /* signalled when serving or refusing */
	bool serving;	      /* the loop runs; under lock */
	atomic_uint_fast64_t next_id;
	atomic_uint open;	 /* requests in progress */
	atomic_uint connections; /* each occupies a server thread */
	atomic_bool refusing;	 /* refuse new requests */
	atomic_bool closing;	 /* close connections after the response */
};

struct front_action {
	struct cds_list_head node;
	struct core_action action;
};

struct front_req {
	struct cds_list_head node;
	struct front *front;
	struct mg_connection *conn;
	struct ep *ep;
	uint64_t id;
	char id_text[EP_ID_MAX];
	pthread_cond_t wake;	      /* signalled when an action is queued */
	struct cds_list_head actions; /* queued actions; under front->lock */
	struct core_arrival arrival;
	const char *method;
	char path[CORE_PATH_MAX]; /* includes the query string */
	const char *content_type;
	char *headers[MG_MAX_HEADERS]; /* "Name: value"; plain services only */
	size_t header_count;
	char *body;
	size_t body_len;
	json_t *json; /* the parsed body; NULL if it is not JSON */
	bool is_model;
	bool stream;
	char **tokens; /* delivered so far */
	uint32_t token_count;
	uint32_t token_capacity;
	const struct core_dispatch *running; /* current attempt, or NULL */
	struct ep_answer answer;
	bool head_sent;	  /* the head of a streamed response is sent */
	bool body_unread; /* the connection can't be reused */
	bool caller_gone; /* a write to the caller failed */
	bool answered;
	int64_t progress_due_us; /* when to report progress next */
};

/* front_in.c: returns 0, or an HTTP error status and its reason in why. */
int front_read(struct front_req *req, const char **why);
void front_read_free(struct front_req *req);

/* front_req.c */
void front_serve(struct front_req *req);

/* front_out.c */
void front_write_token(struct front_req *req, uint32_t index, const char *text);
void front_write_answer(struct front_req *req, struct core_answer *answer);
void front_write_refusal(struct front_req *req, int status,
			 enum mag_outcome outcome, uint32_t retry_after_s,
			 const char *why);
char *front_record_answer(const struct front_req *req, size_t *len);

#endif /* FRONT_INT_H */
