#ifndef FK_H
#define FK_H

/*
 * Shared by the stand-ins and the test tools: a small HTTP server, faults that
 * can be injected while it runs, a record file, and the computation of the
 * stand-in model.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <civetweb.h>
#include <jansson.h>

#include "clk.h"

#define FK_TOKEN_MAX 16
#define FK_ID_MAX    80

struct fk;

struct fk_request {
	struct fk *fk;
	struct mg_connection *conn;
	const char *method;
	const char *path;
	const char *query; /* "" if none */
	char *body;	   /* NUL-terminated */
	size_t len;
};

typedef void (*fk_handler_fn)(struct fk_request *req);

typedef void (*fk_closed_fn)(const struct mg_connection *conn);

int fk_listen(const char *address);
struct fk *fk_start(int port, int threads, fk_handler_fn handler,
		    fk_closed_fn closed, void *ctx);
void *fk_ctx(struct fk *fk);
int fk_port(const struct fk *fk);
void fk_block_signals(void);
void fk_wait_signal(void);

void fk_reply(struct fk_request *req, int status, const char *headers,
	      const char *body, size_t len);
void fk_reply_json(struct fk_request *req, int status, const char *headers,
		   json_t *body);
void fk_begin_chunks(struct fk_request *req, const char *headers);
void fk_abort(struct fk_request *req);
const char *fk_header(const struct fk_request *req, const char *name);
long fk_query_number(const struct fk_request *req, const char *name);

void fk_set_fault(struct fk *fk, const char *name, long value, long count);
bool fk_use_fault(struct fk *fk, const char *name, long *value);

int fk_record_open(const char *path);
void fk_record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

uint64_t fk_initial_state(const char *prompt, uint32_t index);
uint64_t fk_apply_layers(uint64_t state, uint32_t first, uint32_t last);
void fk_format_token(char token[FK_TOKEN_MAX], uint64_t state);
void fk_expected_token(char token[FK_TOKEN_MAX], const char *prompt,
		       uint32_t index, uint32_t layers);

json_t *fk_load_set(const char *path);
void fk_sleep_us(int64_t us);

#endif /* FK_H */
