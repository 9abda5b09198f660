/*
 * Load generator for tests: sends requests of one kind, checks that each
 * answer is complete and belongs to its request, and prints the totals.
 */
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <argtable2.h>
#include <curl/curl.h>

#include "fk.h"
#include "mag.h"

#define LOAD_BODY_MAX	   (1U << 20)
#define LOAD_LINE_MAX	   4096
#define LOAD_THREADS_MAX   2048
#define LOAD_RETRY_MAX_US  (2 * MAG_US_PER_S)
#define LOAD_STATUS_OK_MAX 299

enum load_result {
	LOAD_RAN,     /* complete and of this request */
	LOAD_NOT_RUN, /* as the router reported */
	LOAD_UNKNOWN, /* as the router reported */
	LOAD_CUT,     /* no answer, or an incomplete one */
	LOAD_WRONG,   /* complete, but not of this request */
	LOAD_RESULT_COUNT
};

static const char *const load_names[LOAD_RESULT_COUNT] = {
	[LOAD_RAN] = "ran",	    [LOAD_NOT_RUN] = "not-run",
	[LOAD_UNKNOWN] = "unknown", [LOAD_CUT] = "cut",
	[LOAD_WRONG] = "wrong",
};

struct load_options {
	const char *kind; /* stream, unary, booking, lookup */
	const char *path;
	const char *name; /* prefix of the intents' names */
	const char *prompt;
	struct arg_str *targets;
	struct arg_str *accounts;
	int count;
	int threads;
	int tokens;
	int layers;
	int retries;
	int per_s; /* 0: as fast as answers arrive */
	long deadline_ms;
};

/* One request and the state of its answer. */
struct load_call {
	char intent[FK_ID_MAX];
	char prompt[2 * FK_ID_MAX];
	char request[FK_ID_MAX];
	char outcome[16];
	long retry_after_s;
	bool replayed;
	long status;
	char *body;
	size_t len;
	size_t read; /* offset up to which a stream is parsed */
	char event[16];
	uint32_t tokens; /* received */
	bool wrong;
	bool done;
	int64_t began_us;
	int64_t first_us;
};

static struct load_options opt;
static atomic_int load_next;
static atomic_long load_totals[LOAD_RESULT_COUNT];
static atomic_long load_retried;
static atomic_long load_replayed;
static atomic_long load_tokens;
static int64_t *load_duration_us; /* complete answers, else 0 */
static int64_t *load_first_us;	  /* to the first byte of the body */
static int64_t load_start_us;
static int64_t load_end_us;

/* Stores the response headers that describe the outcome. */
static size_t load_on_header(char *data, size_t size, size_t count, void *ctx)
{
	struct load_call *call = ctx;
	size_t len = size * count;
	char line[LOAD_LINE_MAX];
	char *value;

	if (len >= sizeof(line))
		return len;
	memcpy(line, data, len);
	line[len] = '\0';
	line[strcspn(line, "\r\n")] = '\0';
	value = strchr(line, ':');
	if (!value)
		return len;
	*value++ = '\0';
	value += strspn(value, " ");
	if (strcasecmp(line, "Magnolia-Request") == 0)
		snprintf(call->request, sizeof(call->request), "%s", value);
	else if (strcasecmp(line, "Magnolia-Outcome") == 0)
		snprintf(call->outcome, sizeof(call->outcome), "%s", value);
	else if (strcasecmp(line, "Retry-After") == 0)
		call->retry_after_s = strtol(value, NULL, 10);
	else if (strcasecmp(line, "Idempotent-Replayed") == 0)
		call->replayed = strcmp(value, "true") == 0;
	return len;
}

/* Compares a token with the one expected for this prompt and index. */
static void load_check_token(struct load_call *call, json_t *data)
{
	const char *token = json_string_value(json_object_get(data, "token"));
	json_t *index = json_object_get(data, "index");
	char expected[FK_TOKEN_MAX];

	fk_expected_token(expected, call->prompt, call->tokens,
			  (uint32_t)opt.layers);
	if (!token || json_integer_value(index) != call->tokens ||
	    strcmp(token, expected) != 0)
		call->wrong = true;
	call->tokens++;
}

/* Parses one line of an event stream. */
static void load_parse_line(struct load_call *call, const char *line)
{
	const char *outcome;
	json_t *data;

	if (strncmp(line, "event: ", 7) == 0) {
		snprintf(call->event, sizeof(call->event), "%s", line + 7);
		return;
	}
	if (strncmp(line, "data: ", 6) != 0)
		return;
	data = json_loads(line + 6, 0, NULL);
	outcome = json_string_value(json_object_get(data, "outcome"));
	if (!data)
		call->wrong = true;
	else if (call->event[0] == '\0')
		load_check_token(call, data);
	else if (outcome)
		snprintf(call->outcome, sizeof(call->outcome), "%s", outcome);
	call->done = strcmp(call->event, "done") == 0;
	call->event[0] = '\0';
	json_decref(data);
}

/* Parses the complete lines received so far. */
static void load_parse_lines(struct load_call *call)
{
	char *end;

	while ((end = strchr(call->body + call->read, '\n'))) {
		*end = '\0';
		load_parse_line(call, call->body + call->read);
		call->read = (size_t)(end - call->body) + 1;
	}
}

static size_t load_on_body(char *data, size_t size, size_t count, void *ctx)
{
	struct load_call *call = ctx;
	size_t len = size * count;

	if (call->len + len >= LOAD_BODY_MAX)
		return 0;
	if (!call->first_us)
		call->first_us = clk_now_us();
	call->body = realloc(call->body, call->len + len + 1);
	memcpy(call->body + call->len, data, len);
	call->len += len;
	call->body[call->len] = '\0';
	if (strcmp(opt.kind, "stream") == 0)
		load_parse_lines(call);
	return len;
}

/* Compares the text of a non-streamed answer with the expected tokens. */
static bool load_matches_unary(struct load_call *call, json_t *body)
{
	const char *text = json_string_value(json_object_get(body, "text"));
	char expected[FK_TOKEN_MAX];
	size_t len = strlen("w00000000");

	for (call->tokens = 0; text && call->tokens < (uint32_t)opt.tokens;
	     call->tokens++) {
		fk_expected_token(expected, call->prompt, call->tokens,
				  (uint32_t)opt.layers);
		if (strncmp(text, expected, len) != 0)
			return false;
		text += len;
		text += *text == ' ';
	}
	return text && *text == '\0';
}

/* Tells whether a complete answer belongs to this request. */
static bool load_matches(struct load_call *call)
{
	json_t *body =
		json_loadb(call->body ? call->body : "", call->len, 0, NULL);
	const char *intent = json_string_value(json_object_get(body, "intent"));
	const char *query = json_string_value(json_object_get(body, "query"));
	bool matches = false;

	if (strcmp(opt.kind, "unary") == 0)
		matches = load_matches_unary(call, body);
	else if (strcmp(opt.kind, "booking") == 0)
		matches = intent && strcmp(intent, call->intent) == 0;
	else if (strcmp(opt.kind, "lookup") == 0)
		matches = query && strstr(query, call->intent) != NULL;
	json_decref(body);
	return matches;
}

static enum load_result load_classify(struct load_call *call, CURLcode code)
{
	bool stream = strcmp(opt.kind, "stream") == 0;

	if (call->wrong)
		return LOAD_WRONG;
	if (code != CURLE_OK)
		return LOAD_CUT;
	if (strcmp(call->outcome, "not-run") == 0)
		return LOAD_NOT_RUN;
	if (strcmp(call->outcome, "unknown") == 0)
		return LOAD_UNKNOWN;
	if (call->status > LOAD_STATUS_OK_MAX)
		return LOAD_CUT;
	if (stream && !call->done)
		return LOAD_CUT;
	if (stream)
		return call->tokens == (uint32_t)opt.tokens ? LOAD_RAN
							    : LOAD_WRONG;
	return load_matches(call) ? LOAD_RAN : LOAD_WRONG;
}

static char *load_body(const struct load_call *call)
{
	json_t *body;
	char *text;

	if (strcmp(opt.kind, "lookup") == 0)
		return NULL;
	if (strcmp(opt.kind, "booking") == 0)
		body = json_pack("{s:s}", "intent", call->intent);
	else
		body = json_pack("{s:s, s:i, s:b}", "prompt", call->prompt,
				 "max_tokens", opt.tokens, "stream",
				 strcmp(opt.kind, "stream") == 0);
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

static struct curl_slist *load_headers(const struct load_call *call, int i)
{
	struct curl_slist *headers = NULL;
	char line[256];

	if (opt.accounts->count) {
		snprintf(line, sizeof(line), "Authorization: Bearer %s",
			 opt.accounts->sval[i % opt.accounts->count]);
		headers = curl_slist_append(headers, line);
	}
	if (strcmp(opt.kind, "booking") == 0) {
		snprintf(line, sizeof(line), "Idempotency-Key: %s",
			 call->intent);
		headers = curl_slist_append(headers, line);
	}
	if (opt.deadline_ms) {
		snprintf(line, sizeof(line), "Magnolia-Deadline-Ms: %ld",
			 opt.deadline_ms);
		headers = curl_slist_append(headers, line);
	}
	return curl_slist_append(headers, "Expect:");
}

/* Sends a request once and classifies its answer. */
static enum load_result load_send(CURL *curl, struct load_call *call, int i,
				  int attempt)
{
	const char *target =
		opt.targets->sval[(i + attempt) % opt.targets->count];
	struct curl_slist *headers = load_headers(call, i);
	bool lookup = strcmp(opt.kind, "lookup") == 0;
	char *body = load_body(call);
	char url[512];
	CURLcode code;

	snprintf(url, sizeof(url), "http://%s%s%s%s", target, opt.path,
		 lookup ? "?intent=" : "", lookup ? call->intent : "");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 60000L);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, load_on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, load_on_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, lookup ? 0L : 1L);
	curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, lookup ? 0L : 1L);
	if (body)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &call->status);
	curl_slist_free_all(headers);
	free(body);
	return load_classify(call, code);
}

/* Records the reported outcome for tool_verify. */
static void load_record(struct load_call *call, enum load_result result)
{
	fk_record("answer kind=%s intent=%s request=%s outcome=%s tokens=%u "
		  "layers=%d status=%ld",
		  opt.kind, call->intent, *call->request ? call->request : "-",
		  load_names[result], call->tokens, opt.layers, call->status);
	if (result == LOAD_WRONG)
		fprintf(stderr, "wrong answer to %s: status %ld: %.200s\n",
			call->intent, call->status,
			call->body ? call->body : "");
	atomic_fetch_add(&load_tokens, call->tokens);
	if (call->replayed)
		atomic_fetch_add(&load_replayed, 1);
}

/* Clears the call before the request is sent again. */
static void load_reset(struct load_call *call)
{
	free(call->body);
	memset(call, 0, sizeof(*call));
}

static bool load_should_retry(enum load_result result,
			      const struct load_call *call)
{
	bool final = call->status >= 400 && call->status < 500 &&
		     call->status != 409 && call->status != 429;

	return result != LOAD_RAN && result != LOAD_WRONG && !final;
}

/* Sends a request and its retries, all with the same key. */
static void load_run_request(CURL *curl, int i)
{
	int64_t start_us = clk_now_us();
	enum load_result result = LOAD_CUT;
	struct load_call call = { 0 };
	int64_t delay_us;
	int attempt;

	for (attempt = 0; attempt <= opt.retries; attempt++) {
		if (attempt) {
			delay_us = call.retry_after_s * MAG_US_PER_S;
			fk_sleep_us(delay_us < LOAD_RETRY_MAX_US
					    ? delay_us + 50 * MAG_US_PER_MS
					    : LOAD_RETRY_MAX_US);
			atomic_fetch_add(&load_retried, 1);
			load_reset(&call);
		}
		snprintf(call.intent, sizeof(call.intent), "%s-%d", opt.name,
			 i);
		snprintf(call.prompt, sizeof(call.prompt), "%.79s %s",
			 opt.prompt, call.intent);
		result = load_send(curl, &call, i, attempt);
		load_record(&call, result);
		if (!load_should_retry(result, &call))
			break;
	}
	atomic_fetch_add(&load_totals[result], 1);
	if (result == LOAD_RAN) {
		load_duration_us[i] = clk_now_us() - start_us;
		load_first_us[i] = call.first_us - start_us;
	}
	load_reset(&call);
}

static void *load_run(void *arg)
{
	CURL *curl = curl_easy_init();
	int64_t due;
	int i;

	while ((i = atomic_fetch_add(&load_next, 1)) < opt.count) {
		if (opt.per_s) {
			due = load_start_us + i * MAG_US_PER_S / opt.per_s;
			fk_sleep_us(due - clk_now_us());
		}
		load_run_request(curl, i);
	}
	curl_easy_cleanup(curl);
	return arg;
}

static int load_compare(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

/* Returns a percentile, in ms, of the nonzero times. */
static double load_percentile(int64_t *times, double part)
{
	int zero = 0;

	qsort(times, (size_t)opt.count, sizeof(*times), load_compare);
	while (zero < opt.count && times[zero] == 0)
		zero++;
	if (zero == opt.count)
		return 0;
	return (double)times[zero +
			     (int)(part * (double)(opt.count - zero - 1))] /
	       MAG_US_PER_MS;
}

static void load_print(bool as_json)
{
	double seconds = (double)(load_end_us - load_start_us) / MAG_US_PER_S;
	json_t *all = json_pack("{s:s, s:i}", "kind", opt.kind, "requests",
				opt.count);
	const char *name;
	json_t *value;
	int i;

	for (i = 0; i < LOAD_RESULT_COUNT; i++)
		json_object_set_new(all, load_names[i],
				    json_integer(load_totals[i]));
	json_object_set_new(all, "retried", json_integer(load_retried));
	json_object_set_new(all, "replayed", json_integer(load_replayed));
	json_object_set_new(all, "tokens", json_integer(load_tokens));
	json_object_set_new(all, "seconds", json_real(seconds));
	json_object_set_new(all, "per_s", json_real(opt.count / seconds));
	json_object_set_new(all, "p50_ms",
			    json_real(load_percentile(load_duration_us, 0.5)));
	json_object_set_new(all, "p99_ms",
			    json_real(load_percentile(load_duration_us, 0.99)));
	json_object_set_new(all, "first_p50_ms",
			    json_real(load_percentile(load_first_us, 0.5)));
	json_object_set_new(all, "first_p99_ms",
			    json_real(load_percentile(load_first_us, 0.99)));
	if (as_json) {
		json_dumpf(all, stdout, JSON_COMPACT | JSON_REAL_PRECISION(9));
		printf("\n");
	} else {
		json_object_foreach (all, name, value) {
			if (json_is_string(value))
				printf("%s %s\n", name,
				       json_string_value(value));
			else
				printf("%s %.6g\n", name,
				       json_number_value(value));
		}
	}
	json_decref(all);
}

static void load_start(void)
{
	static pthread_t threads[LOAD_THREADS_MAX];
	int i;

	load_duration_us = calloc((size_t)opt.count + 1, sizeof(int64_t));
	load_first_us = calloc((size_t)opt.count + 1, sizeof(int64_t));
	load_start_us = clk_now_us();
	for (i = 0; i < opt.threads; i++)
		pthread_create(&threads[i], NULL, load_run, NULL);
	for (i = 0; i < opt.threads; i++)
		pthread_join(threads[i], NULL);
	load_end_us = clk_now_us();
}

static int load_int(const struct arg_int *arg, int absent)
{
	return arg->count ? arg->ival[0] : absent;
}

/* The command-line options for argtable. */
struct load_args {
	struct arg_str *kind;
	struct arg_str *path;
	struct arg_str *name;
	struct arg_str *prompt;
	struct arg_int *count;
	struct arg_int *threads;
	struct arg_int *per_s;
	struct arg_int *tokens;
	struct arg_int *layers;
	struct arg_int *retries;
	struct arg_int *deadline;
	struct arg_file *record;
	struct arg_lit *json;
	struct arg_str *targets;
	struct arg_str *accounts;
	struct arg_end *end;
};

/* All members are pointers, so the struct is also argtable's table. */
#define LOAD_ARG_COUNT (sizeof(struct load_args) / sizeof(void *))

static void load_make_args(struct load_args *args)
{
	args->kind = arg_str1("k", "kind", "KIND",
			      "stream, unary, booking or lookup");
	args->path = arg_str1(NULL, "path", "PATH", "path of the route");
	args->name = arg_str0(NULL, "name", "NAME", "prefix of intents' names");
	args->prompt = arg_str0(NULL, "prompt", "TEXT", "prefix of prompts");
	args->count = arg_int0("n", "count", "N", "requests");
	args->threads =
		arg_int0("c", "concurrency", "N", "concurrent requests");
	args->per_s = arg_int0("r", "rate", "N", "requests per second");
	args->tokens = arg_int0(NULL, "tokens", "N", "tokens per answer");
	args->layers = arg_int0(NULL, "layers", "N", "layers of the model");
	args->retries = arg_int0(NULL, "retries", "N", "retries per request");
	args->deadline = arg_int0(NULL, "deadline-ms", "N", "deadline to send");
	args->record = arg_file0(NULL, "record", "FILE", "append records");
	args->json = arg_lit0("j", "json", "print one JSON object");
	args->targets = arg_strn("t", "target", "IP:PORT", 1, 64, "routers");
	args->accounts = arg_strn("a", "account", "KEY", 0, 64, "bearer keys");
	args->end = arg_end(8);
}

static void load_set_options(const struct load_args *args)
{
	opt.kind = args->kind->sval[0];
	opt.path = args->path->sval[0];
	opt.name = args->name->count ? args->name->sval[0] : "intent";
	opt.prompt = args->prompt->count ? args->prompt->sval[0] : "Ring";
	opt.targets = args->targets;
	opt.accounts = args->accounts;
	opt.count = load_int(args->count, 1);
	opt.threads = load_int(args->threads, 1);
	opt.per_s = load_int(args->per_s, 0);
	opt.tokens = load_int(args->tokens, 8);
	opt.layers = load_int(args->layers, 12);
	opt.retries = load_int(args->retries, 0);
	opt.deadline_ms = load_int(args->deadline, 0);
	if (opt.threads > LOAD_THREADS_MAX)
		opt.threads = LOAD_THREADS_MAX;
}

int main(int argc, char **argv)
{
	struct load_args args;

	load_make_args(&args);
	if (arg_parse(argc, argv, (void **)&args) > 0) {
		arg_print_errors(stderr, args.end, "tool_load");
		return 2;
	}
	load_set_options(&args);
	if (args.record->count && fk_record_open(args.record->filename[0]) < 0)
		return 1;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	load_start();
	load_print(args.json->count > 0);
	arg_freetable((void **)&args, LOAD_ARG_COUNT);
	free(load_duration_us);
	free(load_first_us);
	curl_global_cleanup();
	return load_totals[LOAD_WRONG] ? 1 : 0;
}
