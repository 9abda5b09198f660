#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <urcu.h>

#include "clk.h"
#include "ep_header.h"
#include "front_int.h"

#define FRONT_BEARER	      "Bearer "
#define FRONT_PREFIX_BYTES    256 /* of a prompt, hashed for cache affinity */
#define FRONT_BYTES_PER_TOKEN 4	  /* to estimate a prompt's length */
#define FRONT_TIMEOUT_MAX_MS  86400000

static int read_request_line(struct front_req *req, const char **why);
static int read_idempotency_key(struct front_req *req, const char **why);
static int read_timeout(struct front_req *req, const char **why);
static int read_body(struct front_req *req, const char **why);
static int read_body_bytes(struct front_req *req, size_t max_len,
			   const char **why);
static int read_headers(struct front_req *req, const char **why);
static int read_model(struct front_req *req, const char **why);
static void hash_account_key(struct front_req *req);
static void hash_fingerprint(struct front_req *req);
static void hash_prefix(struct front_req *req, const char *prompt);
static bool routes_to_model(struct front_req *req);

/*
 * Reads a complete request and fills in its core_arrival.  Returns 0, or an
 * HTTP error status with its reason in why; the core has not received the
 * request then.
 */
int front_read(struct front_req *req, const char **why)
{
	int status;

	req->arrival.req = req->id;
	req->arrival.wall_ms = clk_wall_ms();
	status = read_request_line(req, why);
	if (!status)
		status = read_idempotency_key(req, why);
	if (!status && atomic_load(&req->front->refusing)) {
		*why = "this instance is stopping";
		status = 503;
	}
	if (!status)
		status = read_timeout(req, why);
	if (!status)
		status = read_body(req, why);
	if (status)
		return status;
	hash_account_key(req);
	req->json = json_loadb(req->body, req->body_len, 0, NULL);
	hash_fingerprint(req);
	req->is_model = routes_to_model(req);
	if (req->is_model)
		return read_model(req, why);
	return read_headers(req, why);
}

/* Frees what front_read allocated, and the response of the last attempt. */
void front_read_free(struct front_req *req)
{
	uint32_t i;

	for (i = 0; i < req->token_count; i++)
		free(req->tokens[i]);
	free(req->tokens);
	json_decref(req->json);
	while (req->header_count > 0)
		free(req->headers[--req->header_count]);
	free(req->body);
	free(req->answer.headers);
	free(req->answer.body);
}

/* Reads the method, the host, the path and the content type. */
static int read_request_line(struct front_req *req, const char **why)
{
	const struct mg_request_info *info = mg_get_request_info(req->conn);
	const char *host = mg_get_header(req->conn, "Host");
	const char *query = info->query_string;
	size_t host_len;

	req->method = info->request_method;
	req->content_type = mg_get_header(req->conn, "Content-Type");
	if (mag_copy_name(req->arrival.path, sizeof(req->arrival.path),
			  info->local_uri_raw)) {
		*why = "path too long";
		return 414;
	}
	if ((size_t)snprintf(req->path, sizeof(req->path), "%s%s%s",
			     info->local_uri_raw, query ? "?" : "",
			     query ? query : "") >= sizeof(req->path)) {
		*why = "path too long";
		return 414;
	}
	host_len = host ? strcspn(host, ":") : 0;
	if (host_len >= sizeof(req->arrival.host)) {
		*why = "Host too long";
		return 400;
	}
	if (host_len)
		memcpy(req->arrival.host, host, host_len);
	req->arrival.safe_method = strcmp(req->method, "GET") == 0 ||
				   strcmp(req->method, "HEAD") == 0 ||
				   strcmp(req->method, "OPTIONS") == 0;
	return 0;
}

static int read_idempotency_key(struct front_req *req, const char **why)
{
	const char *key = mg_get_header(req->conn, "Idempotency-Key");

	if (!key)
		return 0;
	if (!key[0] ||
	    mag_copy_name(req->arrival.key, sizeof(req->arrival.key), key)) {
		*why = "Idempotency-Key must have 1 to 255 characters";
		return 400;
	}
	return 0;
}

static int read_timeout(struct front_req *req, const char **why)
{
	const char *text = mg_get_header(req->conn, "Magnolia-Deadline-Ms");
	char *end;
	long value;

	if (!text)
		return 0;
	errno = 0;
	value = strtol(text, &end, 10);
	if (errno || *end || end == text || value < 1 ||
	    value > FRONT_TIMEOUT_MAX_MS) {
		*why = "Magnolia-Deadline-Ms must be a number of milliseconds";
		return 400;
	}
	req->arrival.timeout_ms = (uint32_t)value;
	return 0;
}

/* Reads the complete body, at most body_max bytes. */
static int read_body(struct front_req *req, const char **why)
{
	const struct mg_request_info *info = mg_get_request_info(req->conn);
	size_t max_len = req->front->settings.body_max;

	if (info->content_length > (long long)max_len) {
		*why = "body too long";
		req->body_unread = true;
		return 413;
	}
	if (info->content_length >= 0)
		max_len = (size_t)info->content_length;
	req->body = malloc(max_len + 1);
	if (!req->body) {
		*why = "memory is short";
		return 503;
	}
	return read_body_bytes(req, max_len, why);
}

static int read_body_bytes(struct front_req *req, size_t max_len,
			   const char **why)
{
	const struct mg_request_info *info = mg_get_request_info(req->conn);
	int got;

	while (req->body_len < max_len) {
		got = mg_read(req->conn, req->body + req->body_len,
			      max_len - req->body_len);
		if (got <= 0)
			break;
		req->body_len += (size_t)got;
	}
	req->body[req->body_len] = '\0';
	if (info->content_length > 0 &&
	    req->body_len < (size_t)info->content_length) {
		*why = "body shorter than its Content-Length";
		return 400;
	}
	return 0;
}

/* Collects the headers that are forwarded to a plain service. */
static int read_headers(struct front_req *req, const char **why)
{
	const struct mg_request_info *info = mg_get_request_info(req->conn);
	int i;

	for (i = 0; i < info->num_headers; i++) {
		const struct mg_header *header = &info->http_headers[i];

		if (!ep_header_to_endpoint(header->name))
			continue;
		if (asprintf(&req->headers[req->header_count], "%s: %s",
			     header->name, header->value) < 0) {
			*why = "memory is short";
			return 503;
		}
		req->header_count++;
	}
	return 0;
}

/* Reads the fields of a model request from its JSON body. */
static int read_model(struct front_req *req, const char **why)
{
	json_t *max_tokens = json_object_get(req->json, "max_tokens");
	json_t *stream = json_object_get(req->json, "stream");
	json_t *prompt = json_object_get(req->json, "prompt");

	if (!json_is_object(req->json)) {
		*why = "body: not a JSON object";
		return 400;
	}
	if (!json_is_string(prompt)) {
		*why = "body: prompt: a string is required";
		return 400;
	}
	if (max_tokens && (!json_is_integer(max_tokens) ||
			   json_integer_value(max_tokens) < 1 ||
			   json_integer_value(max_tokens) > FRONT_TOKENS_MAX)) {
		*why = "body: max_tokens: must be from 1 to 65536";
		return 400;
	}
	if (stream && !json_is_boolean(stream)) {
		*why = "body: stream: must be true or false";
		return 400;
	}
	req->stream = json_is_true(stream);
	req->arrival.max_tokens =
		max_tokens ? (uint32_t)json_integer_value(max_tokens)
			   : CFG_DEFAULT_TOKENS;
	req->arrival.prompt_tokens =
		(uint32_t)(json_string_length(prompt) / FRONT_BYTES_PER_TOKEN);
	hash_prefix(req, json_string_value(prompt));
	return 0;
}

/* Hashes the bearer key, as the configuration contains only key hashes. */
static void hash_account_key(struct front_req *req)
{
	const char *authorization = mg_get_header(req->conn, "Authorization");
	uint8_t hash[MAG_DIGEST_BYTES];
	size_t prefix_len = strlen(FRONT_BEARER);

	if (!authorization ||
	    strncmp(authorization, FRONT_BEARER, prefix_len) != 0)
		return;
	crypto_generichash(hash, sizeof(hash),
			   (const uint8_t *)authorization + prefix_len,
			   strlen(authorization + prefix_len), NULL, 0);
	sodium_bin2hex(req->arrival.account_key_hash,
		       sizeof(req->arrival.account_key_hash), hash,
		       sizeof(hash));
}

/*
 * Computes the fingerprint, which distinguishes a repeated request from a
 * different request with the same key.  A JSON body is hashed in a canonical
 * form, so that a repeat with its fields in another order still matches.
 */
static void hash_fingerprint(struct front_req *req)
{
	crypto_generichash_state state;
	char *canonical = NULL;
	const char *text = req->body;
	size_t len = req->body_len;

	if (req->json)
		canonical =
			json_dumps(req->json, JSON_SORT_KEYS | JSON_COMPACT |
						      JSON_ENCODE_ANY);
	if (canonical) {
		text = canonical;
		len = strlen(canonical);
	}
	crypto_generichash_init(&state, NULL, 0, MAG_DIGEST_BYTES);
	crypto_generichash_update(&state, (const uint8_t *)req->method,
				  strlen(req->method) + 1);
	crypto_generichash_update(&state, (const uint8_t *)req->path,
				  strlen(req->path) + 1);
	crypto_generichash_update(&state, (const uint8_t *)text, len);
	crypto_generichash_final(&state, req->arrival.fingerprint,
				 MAG_DIGEST_BYTES);
	free(canonical);
}

static void hash_prefix(struct front_req *req, const char *prompt)
{
	uint8_t hash[MAG_DIGEST_BYTES];
	size_t len = strlen(prompt);

	if (len > FRONT_PREFIX_BYTES)
		len = FRONT_PREFIX_BYTES;
	crypto_generichash(hash, sizeof(hash), (const uint8_t *)prompt, len,
			   NULL, 0);
	memcpy(&req->arrival.prefix_hash, hash,
	       sizeof(req->arrival.prefix_hash));
}

/* Returns whether the request's route leads to a model service. */
static bool routes_to_model(struct front_req *req)
{
	const struct cfg_set *set;
	bool is_model_route = false;
	int route;

	rcu_read_lock();
	set = rcu_dereference(req->front->set);
	if (set) {
		route = cfg_find_route(set, req->arrival.host,
				       req->arrival.path);
		if (route >= 0)
			is_model_route =
				set->services[set->routes[route].service]
					.kind == CFG_MODEL;
	}
	rcu_read_unlock();
	return is_model_route;
}
