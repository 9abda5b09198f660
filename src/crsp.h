#ifndef CRSP_H
#define CRSP_H

/*
 * Responses that libcurl receives, read by the parser of rsp.h.  libcurl takes
 * much that is no HTTP/1.1 response, among it a head that breaks off; it only
 * moves the bytes here.
 */

#include <curl/curl.h>

#include "rsp.h"

struct crsp {
	struct rsp rsp;
	int err; /* of the parser */
};

void crsp_begin(struct crsp *crsp, CURL *easy, const struct rsp_ops *ops,
		void *ctx);
void crsp_begin_ignored(struct crsp *crsp, CURL *easy);
void crsp_free(struct crsp *crsp);
CURLcode crsp_result(const struct crsp *crsp, CURLcode code);

#endif /* CRSP_H */
