#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>
#include <jansson.h>
#include <sodium.h>
#include <urcu/list.h>

#include "clk.h"
#include "cnt.h"
#include "crsp.h"
#include "log.h"
#include "mag.h"
#include "pf.h"
#include "pf_gate.h"

#define PF_ADDRESSES_MAX      8
#define PF_URL_MAX	      512
#define PF_CONNECT_TIMEOUT_MS 500
#define PF_ANSWER_MAX	      (2U << 20) /* values have at most a megabyte */
#define PF_PACE_US	      2000	 /* between two checks of the budget */
#define PF_WATCH_MARGIN_MS    100 /* from a watch's end to its deadline */

enum pf_http {
	PF_HTTP_OK = 200,
	PF_HTTP_CREATED = 201,
	PF_HTTP_NO_CONTENT = 204,
	PF_HTTP_NOT_MODIFIED = 304,
	PF_HTTP_NOT_FOUND = 404,
	PF_HTTP_CONFLICT = 409,
	PF_HTTP_TOO_MANY_REQUESTS = 429,
};

/* A libcurl handle and its connections; used by one thread at a time. */
struct pf_handle {
	struct cds_list_head node;
	CURL *curl;
};

struct pf {
	pthread_mutex_t lock; /* guards the list and the gate */
	struct cds_list_head idle;
	struct pf_gate gate;
	char addresses[PF_ADDRESSES_MAX][MAG_ADDR_MAX];
	size_t address_count;
	atomic_size_t preferred; /* index of the address to try first */
	atomic_bool interrupted;
	atomic_bool paced;
};

/* A call in progress. */
struct pf_request {
	struct pf *pf;
	const struct kv_call *call;
	struct kv_reply *reply;
	char url[PF_URL_MAX];
	struct curl_slist *headers;
	char *body; /* NULL: send the call's value, if any */
	size_t body_len;
	char *answer;
	size_t answer_len;
	uint64_t version;
	struct crsp response;
	int status; /* of the answer */
};

/* How an operation maps to HTTP, and the counter that it increments. */
struct pf_op {
	const char *method;
	bool writes;
	enum cnt_id counter;
	int (*prepare)(struct pf_request *req, const char *address);
};

static int pf_prepare_get(struct pf_request *req, const char *address);
static int pf_prepare_watch(struct pf_request *req, const char *address);
static int pf_prepare_write(struct pf_request *req, const char *address);
static int pf_prepare_lease_acquire(struct pf_request *req,
				    const char *address);
static int pf_prepare_lease_release(struct pf_request *req,
				    const char *address);
static int pf_prepare_instances(struct pf_request *req, const char *address);
static int pf_prepare_loads(struct pf_request *req, const char *address);
static void pf_call(void *ctx, const struct kv_call *call,
		    struct kv_reply *reply);
static enum kv_status pf_try_addresses(struct pf_request *req);
static enum kv_status pf_try(struct pf_request *req, CURL *curl,
			     const char *address);
static void pf_set_options(struct pf_request *req, CURL *curl, int64_t left_ms);
static enum kv_status pf_status_of_failure(CURL *curl, CURLcode code);
static enum kv_status pf_status_of_response(struct pf_request *req);
static void pf_read_fence(struct pf_request *req);
static enum pf_gate_verdict pf_admit(struct pf *pf);
static enum pf_gate_verdict pf_admit_paced(struct pf *pf, int64_t deadline_us);
static void pf_record_result(struct pf *pf, enum kv_status status);
static struct pf_handle *pf_handle_get(struct pf *pf);
static void pf_handle_put(struct pf *pf, struct pf_handle *handle);
static bool pf_on_head(void *ctx, const struct rsp *rsp);
static bool pf_on_body(void *ctx, const char *bytes, size_t len);
static int pf_on_progress(void *ctx, curl_off_t dltotal, curl_off_t dlnow,
			  curl_off_t ultotal, curl_off_t ulnow);

static const struct rsp_ops pf_rsp_ops = {
	.head = pf_on_head,
	.body = pf_on_body,
};

static const struct pf_op pf_ops[KV_OP_COUNT] = {
	[KV_GET] = { "GET", false, CNT_PF_GETS, pf_prepare_get },
	[KV_WATCH] = { "GET", false, CNT_PF_WATCHES, pf_prepare_watch },
	[KV_CAS] = { "PUT", true, CNT_PF_SWAPS, pf_prepare_write },
	[KV_DELETE] = { "DELETE", true, CNT_PF_DELETES, pf_prepare_write },
	[KV_LEASE_ACQUIRE] = { "POST", true, CNT_PF_LEASE_ACQUIRES,
			       pf_prepare_lease_acquire },
	[KV_LEASE_RELEASE] = { "DELETE", true, CNT_PF_LEASE_RELEASES,
			       pf_prepare_lease_release },
	[KV_INSTANCES] = { "GET", false, CNT_PF_INSTANCES,
			   pf_prepare_instances },
	[KV_LOAD_REPORTS] = { "GET", false, CNT_PF_LOADS, pf_prepare_loads },
};

/*
 * Creates a client of the platform at the given "ip:port" addresses, which are
 * copied; at most PF_ADDRESSES_MAX are used.  Does not connect yet.  Returns
 * NULL if out of memory, if there is no address or if one is too long.  Calls
 * curl_global_init, so create the first client before any thread starts.
 */
struct pf *pf_open(const char *const *addresses, size_t count)
{
	struct pf *pf = calloc(1, sizeof(*pf));
	uint64_t seed;
	size_t i;

	if (!pf || curl_global_init(CURL_GLOBAL_DEFAULT) || sodium_init() < 0)
		goto fail;
	for (i = 0; i < count && i < PF_ADDRESSES_MAX; i++) {
		if (mag_copy_name(pf->addresses[i], MAG_ADDR_MAX,
				  addresses[i]) < 0)
			goto fail;
	}
	if (i == 0)
		goto fail;
	pf->address_count = i;
	pthread_mutex_init(&pf->lock, NULL);
	CDS_INIT_LIST_HEAD(&pf->idle);
	randombytes_buf(&seed, sizeof(seed));
	pf_gate_init(&pf->gate, seed);
	return pf;
fail:
	free(pf);
	return NULL;
}

/* Closes all connections; no call may be in progress. */
void pf_close(struct pf *pf)
{
	struct pf_handle *handle;
	struct pf_handle *next;

	if (!pf)
		return;
	cds_list_for_each_entry_safe (handle, next, &pf->idle, node) {
		curl_easy_cleanup(handle->curl);
		free(handle);
	}
	pthread_mutex_destroy(&pf->lock);
	free(pf);
}

/*
 * Sets the budget: calls per second (0: unlimited) and burst size.  Without
 * pacing, calls over the budget end as KV_RATE_LIMITED and are not sent.
 */
void pf_set_budget(struct pf *pf, uint32_t calls_per_s, uint32_t burst)
{
	pthread_mutex_lock(&pf->lock);
	pf_gate_set_budget(&pf->gate, calls_per_s, burst, clk_now_us());
	pthread_mutex_unlock(&pf->lock);
}

/* With pacing, a call over the budget waits, at most until its deadline. */
void pf_set_pacing(struct pf *pf, bool paced)
{
	atomic_store(&pf->paced, paced);
}

/* Sets the random seed of the pauses after failures. */
void pf_set_seed(struct pf *pf, uint64_t seed)
{
	pthread_mutex_lock(&pf->lock);
	pf_gate_set_seed(&pf->gate, seed);
	pthread_mutex_unlock(&pf->lock);
}

/*
 * Aborts the calls in progress, within about a second, and makes every later
 * call end as KV_NOT_SENT.  A shutdown then does not have to wait for a watch.
 */
void pf_interrupt(struct pf *pf)
{
	atomic_store(&pf->interrupted, true);
}

/*
 * Returns the kv_backend of this client.  The caller keeps ownership of a
 * call's value and frees the reply's value.  A watch that ends without a change
 * returns KV_OK, the version given in the call, and no value.
 */
struct kv_backend pf_backend(struct pf *pf)
{
	struct kv_backend backend = { .call = pf_call, .ctx = pf };

	return backend;
}

/* Executes one call and fills in its reply. */
static void pf_call(void *ctx, const struct kv_call *call,
		    struct kv_reply *reply)
{
	struct pf_request req = { .pf = ctx, .call = call, .reply = reply };
	enum pf_gate_verdict verdict;

	memset(reply, 0, sizeof(*reply));
	reply->id = call->id;
	reply->status = KV_NOT_SENT;
	if (call->deadline_us <= clk_now_us() ||
	    atomic_load(&req.pf->interrupted))
		return;
	verdict = pf_admit_paced(req.pf, call->deadline_us);
	if (verdict != PF_GATE_PASS) {
		if (verdict == PF_GATE_OVER_BUDGET)
			reply->status = KV_RATE_LIMITED;
		return;
	}
	cnt_add(CNT_PF_CALLS, 1);
	cnt_add(pf_ops[call->op].counter, 1);
	reply->status = pf_try_addresses(&req);
	pf_record_result(req.pf, reply->status);
	free(req.answer);
}

/* Tries each address once, continuing only if nothing was sent. */
static enum kv_status pf_try_addresses(struct pf_request *req)
{
	struct pf *pf = req->pf;
	struct pf_handle *handle = pf_handle_get(pf);
	enum kv_status status = KV_NOT_SENT;
	size_t first = atomic_load(&pf->preferred);
	size_t at;
	size_t i;

	if (!handle)
		return KV_NOT_SENT;
	for (i = 0; i < pf->address_count && status == KV_NOT_SENT; i++) {
		at = (first + i) % pf->address_count;
		status = pf_try(req, handle->curl, pf->addresses[at]);
	}
	if (status == KV_NO_ANSWER)
		at = (at + 1) % pf->address_count;
	if (status != KV_NOT_SENT)
		atomic_store(&pf->preferred, at);
	pf_handle_put(pf, handle);
	return status;
}

/* Sends the call to one address and returns the resulting status. */
static enum kv_status pf_try(struct pf_request *req, CURL *curl,
			     const char *address)
{
	const struct pf_op *op = &pf_ops[req->call->op];
	int64_t left_ms =
		(req->call->deadline_us - clk_now_us()) / MAG_US_PER_MS;
	enum kv_status status = KV_NOT_SENT;
	CURLcode code;

	if (left_ms <= 0)
		return KV_NOT_SENT;
	req->headers = NULL;
	req->body = NULL;
	req->answer_len = 0;
	req->version = 0;
	req->status = 0;
	curl_easy_reset(curl);
	if (op->prepare(req, address) == 0) {
		pf_set_options(req, curl, left_ms);
		code = crsp_result(&req->response, curl_easy_perform(curl));
		status = code ? pf_status_of_failure(curl, code)
			      : pf_status_of_response(req);
		crsp_free(&req->response);
	}
	curl_slist_free_all(req->headers);
	free(req->body);
	return status;
}

/* Sets the options of one transfer. */
static void pf_set_options(struct pf_request *req, CURL *curl, int64_t left_ms)
{
	const struct pf_op *op = &pf_ops[req->call->op];
	const char *body = req->body ? req->body : req->call->value;
	size_t len = req->body ? req->body_len : req->call->len;

	req->headers = curl_slist_append(req->headers, "Expect:");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(curl, CURLOPT_URL, req->url);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, op->method);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, req->headers);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)left_ms);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)PF_CONNECT_TIMEOUT_MS);
	crsp_begin(&req->response, curl, &pf_rsp_ops, req);
	curl_easy_setopt(curl, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(curl, CURLOPT_XFERINFOFUNCTION, pf_on_progress);
	curl_easy_setopt(curl, CURLOPT_XFERINFODATA, req->pf);
	if (!op->writes)
		return;
	if (body) {
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
		curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)len);
	}
	/*
	 * libcurl silently resends a request when a reused connection breaks
	 * before the response.  A compare-and-swap that was applied would then
	 * conflict with itself.  Writes therefore never use a reused
	 * connection.
	 */
	curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
}

/*
 * Returns the status of a failed transfer.  The call is known to have no effect
 * only if no byte of the request was passed to the kernel.
 */
static enum kv_status pf_status_of_failure(CURL *curl, CURLcode code)
{
	long sent = 0;

	if (code == CURLE_COULDNT_CONNECT)
		return KV_NOT_SENT;
	if (curl_easy_getinfo(curl, CURLINFO_REQUEST_SIZE, &sent) == CURLE_OK &&
	    sent == 0)
		return KV_NOT_SENT;
	return KV_NO_ANSWER;
}

/* Converts the platform's response to the reply. */
static enum kv_status pf_status_of_response(struct pf_request *req)
{
	struct kv_reply *reply = req->reply;

	reply->version = req->version;
	switch (req->status) {
	case PF_HTTP_OK:
	case PF_HTTP_CREATED:
	case PF_HTTP_NO_CONTENT:
		if (req->call->op == KV_LEASE_ACQUIRE)
			pf_read_fence(req);
		if (pf_ops[req->call->op].writes)
			return KV_OK;
		reply->value = req->answer;
		reply->len = req->answer_len;
		req->answer = NULL;
		if (!reply->value)
			reply->value = calloc(1, 1);
		return reply->value ? KV_OK : KV_NO_ANSWER;
	case PF_HTTP_NOT_MODIFIED:
		reply->version = req->call->version;
		return KV_OK;
	case PF_HTTP_NOT_FOUND:
		return KV_ABSENT;
	case PF_HTTP_CONFLICT:
		return KV_CONFLICT;
	case PF_HTTP_TOO_MANY_REQUESTS:
		return KV_RATE_LIMITED;
	default:
		return KV_NO_ANSWER;
	}
}

/* Reads a lease's fencing token; 0, which is never valid, if missing. */
static void pf_read_fence(struct pf_request *req)
{
	json_t *body = json_loadb(req->answer ? req->answer : "",
				  req->answer_len, 0, NULL);

	req->reply->version =
		(uint64_t)json_integer_value(json_object_get(body, "fence"));
	json_decref(body);
}

/* Reads a key with GET. */
static int pf_prepare_get(struct pf_request *req, const char *address)
{
	snprintf(req->url, sizeof(req->url), "http://%s/kv/%s", address,
		 req->call->key);
	return 0;
}

/* Long-polls a key: the platform delays the GET until the version differs. */
static int pf_prepare_watch(struct pf_request *req, const char *address)
{
	int64_t wait_ms =
		(req->call->deadline_us - clk_now_us()) / MAG_US_PER_MS -
		PF_WATCH_MARGIN_MS;

	snprintf(req->url, sizeof(req->url),
		 "http://%s/kv/%s?wait_version=%" PRIu64 "&wait_ms=%" PRId64,
		 address, req->call->key, req->call->version,
		 wait_ms > 0 ? wait_ms : 0);
	return 0;
}

/* Writes with PUT or DELETE on the condition that the version matches. */
static int pf_prepare_write(struct pf_request *req, const char *address)
{
	char header[64];

	snprintf(req->url, sizeof(req->url), "http://%s/kv/%s", address,
		 req->call->key);
	snprintf(header, sizeof(header), "If-Version: %" PRIu64,
		 req->call->version);
	req->headers = curl_slist_append(NULL, header);
	return req->headers ? 0 : -1;
}

/* Acquires or renews a lease with POST. */
static int pf_prepare_lease_acquire(struct pf_request *req, const char *address)
{
	json_t *body = json_pack("{s:s%, s:I}", "holder", req->call->value,
				 req->call->len, "ttl_ms",
				 (json_int_t)req->call->ttl_ms);

	snprintf(req->url, sizeof(req->url), "http://%s/lease/%s", address,
		 req->call->key);
	req->body = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	if (!req->body)
		return -1;
	req->body_len = strlen(req->body);
	return 0;
}

/* Releases the caller's lease with DELETE. */
static int pf_prepare_lease_release(struct pf_request *req, const char *address)
{
	char *holder =
		curl_easy_escape(NULL, req->call->value, (int)req->call->len);

	if (!holder)
		return -1;
	snprintf(req->url, sizeof(req->url), "http://%s/lease/%s?holder=%s",
		 address, req->call->key, holder);
	curl_free(holder);
	return 0;
}

/* Reads the list of instances, which lags behind, with GET. */
static int pf_prepare_instances(struct pf_request *req, const char *address)
{
	snprintf(req->url, sizeof(req->url), "http://%s/instances", address);
	return 0;
}

/* Reads the load reports with GET. */
static int pf_prepare_loads(struct pf_request *req, const char *address)
{
	snprintf(req->url, sizeof(req->url), "http://%s/loads", address);
	return 0;
}

/*
 * Asks the gate to admit a call and, if calls are paced, waits for the budget.
 * A ledger whose swap is refused for lack of budget must read before it may
 * report not-run, and those reads use up the budget that the swaps need: at 100
 * calls per second, 24 callers got 12 reservations per second and 8 reads for
 * each reservation.  While a call waits, those behind it can join one swap.
 */
static enum pf_gate_verdict pf_admit_paced(struct pf *pf, int64_t deadline_us)
{
	enum pf_gate_verdict verdict = pf_admit(pf);

	while (verdict == PF_GATE_OVER_BUDGET && atomic_load(&pf->paced) &&
	       !atomic_load(&pf->interrupted) &&
	       clk_now_us() + PF_PACE_US < deadline_us) {
		usleep(PF_PACE_US);
		verdict = pf_admit(pf);
	}
	return verdict;
}

/* Asks the gate to admit a call; takes the lock. */
static enum pf_gate_verdict pf_admit(struct pf *pf)
{
	enum pf_gate_verdict verdict;

	pthread_mutex_lock(&pf->lock);
	verdict = pf_gate_admit(&pf->gate, clk_now_us());
	pthread_mutex_unlock(&pf->lock);
	return verdict;
}

/* Records a call's result and logs an outage of the platform or its end. */
static void pf_record_result(struct pf *pf, enum kv_status status)
{
	bool reached = status != KV_NOT_SENT && status != KV_NO_ANSWER;
	bool changed;
	bool down;

	if (atomic_load(&pf->interrupted))
		return;
	pthread_mutex_lock(&pf->lock);
	changed = pf_gate_record_result(&pf->gate, reached, clk_now_us());
	down = pf->gate.down;
	pthread_mutex_unlock(&pf->lock);
	if (!reached)
		cnt_add(CNT_PF_FAILURES, 1);
	if (changed)
		log_event(down ? LOG_PF_DOWN : LOG_PF_UP, "address=%s",
			  pf->addresses[atomic_load(&pf->preferred)]);
}

/* Returns an idle handle or a new one; NULL if out of memory. */
static struct pf_handle *pf_handle_get(struct pf *pf)
{
	struct pf_handle *handle = NULL;

	pthread_mutex_lock(&pf->lock);
	if (!cds_list_empty(&pf->idle)) {
		handle =
			cds_list_first_entry(&pf->idle, struct pf_handle, node);
		cds_list_del(&handle->node);
	}
	pthread_mutex_unlock(&pf->lock);
	if (handle)
		return handle;
	handle = calloc(1, sizeof(*handle));
	if (!handle)
		return NULL;
	handle->curl = curl_easy_init();
	if (!handle->curl) {
		free(handle);
		return NULL;
	}
	return handle;
}

/* Puts a handle back; the most recently used one is reused first. */
static void pf_handle_put(struct pf *pf, struct pf_handle *handle)
{
	pthread_mutex_lock(&pf->lock);
	cds_list_add(&handle->node, &pf->idle);
	pthread_mutex_unlock(&pf->lock);
}

/* Stores the status and the version that the answer names. */
static bool pf_on_head(void *ctx, const struct rsp *rsp)
{
	struct pf_request *req = ctx;
	const char *version = hdr_get(&rsp->headers, "X-Version");

	req->status = rsp->status;
	if (version)
		req->version = strtoull(version, NULL, 10);
	return true;
}

/* Appends to the NUL-terminated response body, up to PF_ANSWER_MAX bytes. */
static bool pf_on_body(void *ctx, const char *bytes, size_t len)
{
	struct pf_request *req = ctx;
	char *grown;

	if (req->answer_len + len > PF_ANSWER_MAX)
		return false;
	grown = realloc(req->answer, req->answer_len + len + 1);
	if (!grown)
		return false;
	req->answer = grown;
	memcpy(grown + req->answer_len, bytes, len);
	req->answer_len += len;
	grown[req->answer_len] = '\0';
	return true;
}

/* Aborts the transfer if the client is interrupted. */
static int pf_on_progress(void *ctx, curl_off_t dltotal, curl_off_t dlnow,
			  curl_off_t ultotal, curl_off_t ulnow)
{
	struct pf *pf = ctx;

	(void)dltotal;
	(void)dlnow;
	(void)ultotal;
	(void)ulnow;
	return atomic_load(&pf->interrupted) ? 1 : 0;
}
