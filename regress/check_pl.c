#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <event2/http.h>

#include "hdr.h"
#include "jlog.h"
#include "pl_config.h"
#include "pl_header.h"
#include "pl_store.h"
#include "pl_worker.h"
#include "script.h"

#define LINE_MAX_   16384
#define WHY_MAX	    256
#define EVENTS_MAX  4
#define LARGE_BYTES 20000

static const char *first_service(const struct rt_set *set,
				 const struct rt_route *route)
{
	return route->split_count ? set->services[route->splits[0].service].name
				  : "no service";
}

static void print_config(FILE *out, const char *text)
{
	struct rt_set *set;
	char why[WHY_MAX];
	int i;

	if (pl_config_decode(text, strlen(text), &set, why, sizeof(why))) {
		fprintf(out, "refused: %s\n", why);
		return;
	}
	fprintf(out, "version %lld accounts %d keys %d%s\n",
		(long long)set->version, set->account_count, set->key_count,
		set->has_accounts ? "" : ", none required");
	fprintf(out, "limits %u %u %u %u\n", set->limits.header_bytes,
		set->limits.body_bytes, set->limits.header_ms,
		set->limits.idle_ms);
	for (i = 0; i < set->service_count; i++)
		fprintf(out, "service %s connections %d slots %d layers %d%s\n",
			set->services[i].name, set->services[i].max_connections,
			set->services[i].engine.slots,
			set->services[i].engine.layers,
			rt_engine_is_supported(&set->services[i].engine)
				? ""
				: " unsupported");
	for (i = 0; i < set->account_count; i++)
		fprintf(out, "account %s priority %d\n", set->accounts[i].name,
			set->accounts[i].priority);
	for (i = 0; i < set->route_count; i++)
		fprintf(out,
			"route %s %s%s repeat %d attempts %d timeout %lld ms "
			"to %s and %d more\n",
			set->routes[i].name, set->routes[i].host,
			set->routes[i].prefix, set->routes[i].kind,
			set->routes[i].max_attempts,
			(long long)(set->routes[i].timeout_us / MAG_US_PER_MS),
			first_service(set, &set->routes[i]),
			set->routes[i].split_count - 1);
	rt_drop(set);
}

/* "id ID": the id, percent-encoded, of the workers that follow. */
static char worker_key[WIRE_KEY_MAX] = "servers/i-1";

static void set_worker_id(const char *encoded)
{
	char *id = evhttp_uridecode(encoded, 0, NULL);

	snprintf(worker_key, sizeof(worker_key), "servers/%s", id ? id : "");
	free(id);
}

static void print_worker(FILE *out, const char *text)
{
	struct wire_worker worker;
	char why[WHY_MAX];

	if (pl_worker_decode(worker_key, text, strlen(text), &worker, why,
			     sizeof(why))) {
		fprintf(out, "refused: %s\n",
			jlog_sanitize(why, sizeof(why), why));
		return;
	}
	fprintf(out, "%s at %s in %s %s slots %d layers %d-%d born %lld\n",
		worker.service, worker.address, worker.data_centre,
		worker.draining ? "draining" : "ready", worker.slots,
		worker.layers.from, worker.layers.to,
		(long long)worker.started_ms);
}

static void print_report(FILE *out, const char *text)
{
	static struct wire_report report;
	int i;

	if (pl_report_decode(text, strlen(text), &report)) {
		fprintf(out, "refused\n");
		return;
	}
	fprintf(out, "orders %lld busy %d layers %d-%d slowdown %.1f\n",
		(long long)report.orders_taken, report.busy, report.layers.from,
		report.layers.to, report.slowdown);
	for (i = 0; i < report.stalled_count; i++)
		fprintf(out, "%s waits for %s\n", report.stalled[i].attempt_id,
			report.stalled[i].address);
}

/* "repath ID COUNT": prints the start of a repath order with COUNT hops. */
static void print_repath(FILE *out, const char *line)
{
	static struct wire_hop hops[WIRE_HOPS_MAX];
	char body[PL_ORDER_MAX];
	char id[WIRE_ID_MAX];
	int count = 0;
	int i;

	if (sscanf(line, "%63s %d", id, &count) != 2 || count > WIRE_HOPS_MAX)
		return;
	for (i = 0; i < count; i++) {
		snprintf(hops[i].address, sizeof(hops[i].address),
			 "10.100.200.%d:65535", 100 + i);
		hops[i].from = 100 + i;
		hops[i].to = 101 + i;
	}
	if (pl_order_repath_encode(body, sizeof(body), id, hops, count))
		fprintf(out, "too long\n");
	else
		fprintf(out, "%zu bytes %.100s\n", strlen(body), body);
}

/* "fault TEXT": prints the worker that a refusal of an order names. */
static void print_refused_worker(FILE *out, const char *text)
{
	char address[MAG_ADDR_MAX];

	pl_order_refused_worker(text, strlen(text), address, sizeof(address));
	fprintf(out, "fault \"%s\"\n", address);
}

static void print_number(FILE *out, const struct wire_number *number,
			 const char *unit)
{
	if (number->status == WIRE_NUMBER_VALID)
		fprintf(out, "%g %s\n", number->value, unit);
	else
		fprintf(out, "%s\n",
			number->status == WIRE_NUMBER_INVALID ? "unreadable"
							      : "none");
}

/* "limit [TEXT]": prints the rate limit in the header of a response. */
static void print_limit(FILE *out, const char *text)
{
	static const char name[] = "server-limit";
	struct hdr_list headers = { 0 };
	struct wire_advert advert;

	hdr_add_name(&headers, "Attempt-Id", 10);
	hdr_add_value(&headers, "a-1", 3);
	if (*text) {
		hdr_add_name(&headers, name, strlen(name));
		hdr_add_value(&headers, text + 1, strlen(text + 1));
	}
	pl_advert_decode(200, &headers, &advert);
	print_number(out, &advert.limit, "a second");
	hdr_free(&headers);
}

/* "forward LAST_EVENT WAIT_MS": prints a request as it is forwarded. */
static void print_forward(FILE *out, const char *line)
{
	static const char *const fields[][2] = {
		{ "Host", "h.example" },
		{ "Attempt-Id", "a-1" },
		{ "Authorization", "Token key-1" },
		{ "Deadline-Ms", "6000" },
		{ "Last-Event-Id", "3" },
		{ "Tenant", "of-the-client" },
		{ "magnolia-forwarded", "9,9" },
		{ "Connection", "keep-alive" },
		{ "Content-Length", "99" },
		{ "X-Own", "kept" },
	};
	struct hdr_list headers = { 0 };
	struct pl_history history = {
		1, 2, true, { 0x1a2b, 0xffffffff }, 2, -1
	};
	struct pl_forward forward = { "POST", "/s/x", &headers, NULL,
				      1500,   -1,     &history };
	struct evbuffer *message;
	char *text;
	size_t i;

	for (i = 0; i < MAG_ARRAY_SIZE(fields); i++) {
		hdr_add_name(&headers, fields[i][0], strlen(fields[i][0]));
		hdr_add_value(&headers, fields[i][1], strlen(fields[i][1]));
	}
	forward.body = evbuffer_new();
	evbuffer_add(forward.body, "body", 4);
	sscanf(line, "%" SCNd64 " %d", &forward.last_event, &history.wait_ms);
	message = pl_forward_encode(&forward);
	while ((text = evbuffer_readln(message, NULL, EVBUFFER_EOL_CRLF))) {
		fprintf(out, "%s\n", text);
		free(text);
	}
	fprintf(out, "%zu bytes follow\n", evbuffer_get_length(message));
	evbuffer_free(message);
	evbuffer_free(forward.body);
	hdr_free(&headers);
}

/* "forwarded [COUNTS]": prints the counts that a forwarded request carries. */
static void print_forwarded(FILE *out, const char *text)
{
	struct hdr_list headers = { 0 };
	struct pl_history history;
	int i;

	if (*text) {
		hdr_add_name(&headers, PL_FORWARD_FIELD,
			     strlen(PL_FORWARD_FIELD));
		hdr_add_value(&headers, text + 1, strlen(text + 1));
	}
	if (!pl_history_decode(&headers, &history))
		fprintf(out, "unreadable, ");
	fprintf(out, "%d runs, %d sends%s", history.runs, history.sends,
		history.crash_candidate ? ", crash candidate" : "");
	for (i = 0; i < history.avoid_count; i++)
		fprintf(out, " %" PRIx32, history.avoid[i]);
	if (history.wait_ms >= 0)
		fprintf(out, ", waits %d ms", history.wait_ms);
	fprintf(out, "\n");
	hdr_free(&headers);
}

/*
 * "failed RUNS": prints the field of an answer to a router, with as many
 * workers to avoid as fit, and what clients get.
 */
static void print_failed(FILE *out, const char *line)
{
	struct evbuffer *passed = evbuffer_new();
	struct hdr_list headers = { 0 };
	struct pl_history history = { .sends = 3, .wait_ms = -1 };
	char fields[PL_HISTORY_TEXT];

	history.runs = (int)strtol(line, NULL, 10);
	while (history.avoid_count < PL_AVOID_MAX)
		history.avoid[history.avoid_count++] = UINT32_MAX;
	pl_history_field(&history, fields, sizeof(fields));
	fprintf(out, "%.*s\n", (int)strcspn(fields, "\r"), fields);
	hdr_add_name(&headers, PL_FORWARD_FIELD, strlen(PL_FORWARD_FIELD));
	hdr_add_value(&headers, "1,1", 3);
	pl_response_fields(&headers, passed);
	fprintf(out, "%zu bytes to the client\n", evbuffer_get_length(passed));
	evbuffer_free(passed);
	hdr_free(&headers);
}

/* "swap LENGTH": prints how much of a value of this length is encoded. */
static void print_swap(FILE *out, const char *line)
{
	char value[8192];
	size_t len = strtoul(line, NULL, 10);
	struct pl_swap swap = { "mag/x", value, 1, 2 };
	const char *encoded;
	char *body;

	if (len >= sizeof(value))
		return;
	memset(value, 'a', len);
	value[len] = '\0';
	body = pl_store_swap_body(&swap);
	if (!body) {
		fprintf(out, "too long\n");
		return;
	}
	encoded = strstr(body, "\"Value\":\"");
	fprintf(out, "%zu characters of base64\n",
		encoded ? strcspn(encoded + 9, "\"") : 0);
	free(body);
}

/*
 * "range PREFIX AFTER": prints the target of a list that begins after a key;
 * "-" is an empty text, and one of digits stands for so many bytes of "%".
 */
static void print_range(FILE *out, const char *line)
{
	char texts[2][256] = { "", "" };
	char path[PL_PATH_MAX];
	int i;

	if (sscanf(line, "%255s %255[^\n]", texts[0], texts[1]) != 2)
		return;
	for (i = 0; i < 2; i++) {
		size_t len = strtoul(texts[i], NULL, 10);

		if (strcmp(texts[i], "-") == 0)
			texts[i][0] = '\0';
		else if (len > 0 && len < sizeof(texts[i]))
			memset(texts[i], '%', len);
	}
	if (pl_store_stale_range_path(path, texts[0], texts[1]))
		fprintf(out, "does not fit\n");
	else
		fprintf(out, "%zu bytes %.80s\n", strlen(path), path);
}

/* "request FIELD: VALUE": prints the numbers of a client's request. */
static void print_request(FILE *out, const char *text)
{
	struct hdr_list headers = { 0 };
	struct pl_request request;
	const char *value = strstr(text, ": ");
	const char *bad;
	int i;

	if (!value)
		return;
	hdr_add_name(&headers, text, (size_t)(value - text));
	hdr_add_value(&headers, value + 2, strlen(value + 2));
	bad = pl_request_decode(&headers, &request);
	fprintf(out, "%s%slimit %lld ms, tokens %d, at most %d, hint %d\n",
		bad ? bad : "", bad ? " is too large: " : "",
		(long long)request.timeout_ms, request.prompt_tokens,
		request.answer_tokens_max, request.answer_tokens_hint);
	for (i = 0; i < request.part_count; i++)
		fprintf(out, "part %" PRIx64 "\n", request.parts[i]);
	hdr_free(&headers);
}

/* "leaving [TEXT]": prints whether a response says that its worker leaves. */
static void print_leaving(FILE *out, const char *text)
{
	struct hdr_list headers = { 0 };
	struct wire_advert advert;

	hdr_add_name(&headers, "Attempt-Id", 10);
	hdr_add_value(&headers, "a-1", 3);
	if (*text) {
		hdr_add_name(&headers, "server-leaving", 14);
		hdr_add_value(&headers, text + 1, strlen(text + 1));
	}
	pl_advert_decode(200, &headers, &advert);
	print_number(out, &advert.leaving, "as a number");
	hdr_free(&headers);
}

/* "backoff STATUS [TEXT]": prints the backoff that a response requests. */
static void print_backoff(FILE *out, const char *text)
{
	struct hdr_list headers = { 0 };
	struct wire_advert advert;
	char *value;
	int status = (int)strtol(text, &value, 10);

	hdr_add_name(&headers, "Attempt-Id", 10);
	hdr_add_value(&headers, "a-1", 3);
	if (*value) {
		hdr_add_name(&headers, "retry-after", 11);
		hdr_add_value(&headers, value + 1, strlen(value + 1));
	}
	pl_advert_decode(status, &headers, &advert);
	print_number(out, &advert.backoff_s, "s");
	hdr_free(&headers);
}

/* "era [TEXT]": prints the era in the header of a response of the store. */
static void print_era(FILE *out, const char *text)
{
	struct hdr_list headers = { 0 };
	int64_t era;

	if (*text) {
		hdr_add_name(&headers, "Store-Era", 9);
		hdr_add_value(&headers, text + 1, strlen(text + 1));
	}
	era = pl_store_era(&headers);
	if (era >= 0)
		fprintf(out, "%lld\n", (long long)era);
	else
		fprintf(out, "%s\n",
			era == POS_ERA_NONE ? "none" : "unreadable");
	hdr_free(&headers);
}

/* "events TEXT": LARGE in it stands for many bytes, encoded. */
static void print_events(FILE *out, const char *text)
{
	char *json = malloc(LINE_MAX_ + EVENTS_MAX * LARGE_BYTES);
	struct wire_items items;
	const char *next;
	size_t len = 0;
	int i;

	while ((next = strstr(text, "LARGE"))) {
		memcpy(json + len, text, (size_t)(next - text));
		len += (size_t)(next - text);
		for (i = 0; i < LARGE_BYTES; i++)
			json[len++] = "QUJD"[i % 4];
		text = next + strlen("LARGE");
	}
	len += (size_t)snprintf(json + len, LINE_MAX_, "%s", text);
	if (pl_store_events(json, len, &items)) {
		fprintf(out, "unreadable\n");
		free(json);
		return;
	}
	for (i = 0; i < items.count; i++)
		fprintf(out, "%s %lld %zu %.8s\n", items.items[i].key,
			(long long)items.items[i].revision, items.items[i].len,
			items.items[i].deleted ? "deleted"
					       : items.items[i].value);
	pl_store_items_free(&items);
	free(json);
}

static void drive(FILE *in, FILE *out)
{
	static char line[LINE_MAX_];

	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		line[strcspn(line, "\n")] = '\0';
		if (strncmp(line, "config ", 7) == 0)
			print_config(out, line + 7);
		else if (strncmp(line, "worker ", 7) == 0)
			print_worker(out, line + 7);
		else if (strncmp(line, "id ", 3) == 0)
			set_worker_id(line + 3);
		else if (strncmp(line, "report ", 7) == 0)
			print_report(out, line + 7);
		else if (strncmp(line, "repath ", 7) == 0)
			print_repath(out, line + 7);
		else if (strncmp(line, "fault ", 6) == 0)
			print_refused_worker(out, line + 6);
		else if (strncmp(line, "era", 3) == 0)
			print_era(out, line + 3);
		else if (strncmp(line, "limit", 5) == 0)
			print_limit(out, line + 5);
		else if (strncmp(line, "forward ", 8) == 0)
			print_forward(out, line + 8);
		else if (strncmp(line, "forwarded", 9) == 0)
			print_forwarded(out, line + 9);
		else if (strncmp(line, "failed ", 7) == 0)
			print_failed(out, line + 7);
		else if (strncmp(line, "swap ", 5) == 0)
			print_swap(out, line + 5);
		else if (strncmp(line, "range ", 6) == 0)
			print_range(out, line + 6);
		else if (strncmp(line, "request ", 8) == 0)
			print_request(out, line + 8);
		else if (strncmp(line, "leaving", 7) == 0)
			print_leaving(out, line + 7);
		else if (strncmp(line, "events ", 7) == 0)
			print_events(out, line + 7);
		else if (strncmp(line, "backoff ", 8) == 0)
			print_backoff(out, line + 8);
	}
}

int main(void)
{
	return script_main("regress/pl", drive);
}
