#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "log_events.h"

/*
 * Reads the structured logs of routers from standard input and counts, per
 * second of arrival, the outcomes of requests and the causes of those not
 * served in time.  Each cause says whether a router could have served the
 * request ("could"), according to the layers that the placer saw loaded: a
 * refusal is avoidable while some data centre has capacity, and unavoidable
 * while no complete chain exists.
 * Prints JSON, or with --html a page with a chart.  Text before the first
 * brace of a line is skipped, so logs with a syslog prefix can be read.
 */

#define SECONDS_MAX 4096
#define LINE_BYTES  65536
#define TEXT_BYTES  256
#define CENTRES_MAX 32
/* The placer logs LOG_PLR_COVER, the source of capacity, every two seconds. */
#define CAPACITY_MAX_AGE_S 3

enum cause {
	SERVED,
	FIRST_LATE,
	PAUSED,
	ANSWERED_LATE,
	KEYS_OLD,
	NO_CONFIG,
	STOPPING,
	NO_CHAIN,
	BUSY_WITH_CAPACITY,
	BUSY,
	BUDGET,
	WORKER_FAILED,
	STREAM_CUT,
	CALLER_LEFT,
	OTHER,
	CAUSES
};

static const struct {
	const char *name;
	const char *avoidable; /* could any router have served it? */
} causes[CAUSES] = {
	[SERVED] = { "served in time", "was" },
	[FIRST_LATE] = { "first event late", "maybe" },
	[PAUSED] = { "paused for too long", "maybe" },
	[ANSWERED_LATE] = { "answered late", "maybe" },
	[KEYS_OLD] = { "keys cannot be checked", "no" },
	[NO_CONFIG] = { "no configuration yet", "yes" },
	[STOPPING] = { "router stops", "yes" },
	[NO_CHAIN] = { "no chain of workers", "no" },
	[BUSY_WITH_CAPACITY] = { "refused though a data centre had room",
				 "yes" },
	[BUSY] = { "all workers full", "no" },
	[BUDGET] = { "second sends spent", "maybe" },
	[WORKER_FAILED] = { "failed by a worker", "no" },
	[STREAM_CUT] = { "broke off and not repaired", "maybe" },
	[CALLER_LEFT] = { "caller left", "maybe" },
	[OTHER] = { "other", "maybe" },
};

struct centre {
	char name[TEXT_BYTES];
	long long second;
	bool has_capacity;
};

static long counts[SECONDS_MAX][CAUSES];
static long long first_second = -1;
static long long last_second;
static struct centre centres[CENTRES_MAX];
static int centre_count;

static const char *text_of(const json_t *line, const char *field)
{
	const char *text = json_string_value(json_object_get(line, field));

	return text ? text : "";
}

static long long number_of(const json_t *line, const char *field)
{
	return (long long)json_number_value(json_object_get(line, field));
}

/* Notes whether the least loaded layer of a data centre has capacity. */
static void on_cover(const json_t *line, long long second)
{
	const char *name = text_of(line, "data_centre");
	int i;

	for (i = 0; i < centre_count; i++) {
		if (strcmp(centres[i].name, name) == 0)
			break;
	}
	if (i == CENTRES_MAX)
		return;
	if (i == centre_count)
		snprintf(centres[centre_count++].name, TEXT_BYTES, "%s", name);
	centres[i].second = second;
	centres[i].has_capacity = number_of(line, "tokens") > 0;
}

static bool any_capacity(long long second)
{
	int i;

	for (i = 0; i < centre_count; i++) {
		if (centres[i].has_capacity &&
		    second - centres[i].second <= CAPACITY_MAX_AGE_S)
			return true;
	}
	return false;
}

static enum cause cause_of_success(const json_t *line)
{
	long long first_ms = number_of(line, "first_event_ms");
	long long target_ms = number_of(line, "target_ms");

	if (first_ms < 0)
		return target_ms > 0 && number_of(line, "took_ms") > target_ms
			       ? ANSWERED_LATE
			       : SERVED;
	if (target_ms > 0 && first_ms > target_ms)
		return FIRST_LATE;
	if (number_of(line, "gap_aim_ms") > 0 &&
	    number_of(line, "longest_gap_ms") > number_of(line, "gap_aim_ms"))
		return PAUSED;
	return SERVED;
}

static enum cause cause_of(const json_t *line, long long second)
{
	static const struct {
		const char *why;
		enum cause cause;
	} reasons[] = {
		{ "keys too old", KEYS_OLD },
		{ "no configuration yet", NO_CONFIG },
		{ "stopping", STOPPING },
		{ "no worker", NO_CHAIN },
		{ "no crossing between data centres left", BUSY },
		{ "workers back off", BUSY },
		{ "retry budget spent", BUDGET },
		{ "answered", WORKER_FAILED },
		{ "caller left", CALLER_LEFT },
	};
	long long status = number_of(line, "status");
	const char *why = text_of(line, "why");
	size_t i;

	if (status / 100 == 2)
		return cause_of_success(line);
	if (strcmp(why, "all workers busy") == 0)
		return any_capacity(second) ? BUSY_WITH_CAPACITY : BUSY;
	for (i = 0; i < sizeof(reasons) / sizeof(reasons[0]); i++) {
		if (strcmp(why, reasons[i].why) == 0)
			return reasons[i].cause;
	}
	return status == 502 ? STREAM_CUT : OTHER;
}

static void on_request_end(const json_t *line, long long ms)
{
	long long second = (ms - number_of(line, "took_ms")) / 1000;
	long long status = number_of(line, "status");
	long long at;

	/* 401 and 404 follow from the configuration and are no loss. */
	if (status == 401 || status == 404)
		return;
	if (first_second < 0)
		first_second = second - 60;
	at = second - first_second;
	if (at < 0 || at >= SECONDS_MAX)
		return;
	if (second > last_second)
		last_second = second;
	counts[at][cause_of(line, second)]++;
}

static void on_line(const char *text)
{
	const char *brace = strchr(text, '{');
	json_error_t error;
	json_t *line = brace ? json_loads(brace, JSON_DISABLE_EOF_CHECK, &error)
			     : NULL;
	long long ms;

	if (!json_is_object(line)) {
		json_decref(line);
		return;
	}
	ms = number_of(line, "t_ms");
	if (number_of(line, "event") == LOG_PLR_COVER)
		on_cover(line, ms / 1000);
	else if (number_of(line, "event") == LOG_EQ_END)
		on_request_end(line, ms);
	json_decref(line);
}

static void print_json(void)
{
	long total[CAUSES] = { 0 };
	long long at;
	int i;

	printf("{\"seconds\":[");
	for (at = 0; first_second >= 0 && at <= last_second - first_second;
	     at++) {
		printf("%s{\"second\":%lld", at ? ",\n" : "\n",
		       first_second + at);
		for (i = 0; i < CAUSES; i++) {
			total[i] += counts[at][i];
			if (counts[at][i])
				printf(",\"%s\":%ld", causes[i].name,
				       counts[at][i]);
		}
		printf("}");
	}
	printf("],\n\"total\":{");
	for (i = 0; i < CAUSES; i++)
		printf("%s\"%s\":{\"requests\":%ld,\"could\":\"%s\"}",
		       i ? ",\n" : "\n", causes[i].name, total[i],
		       causes[i].avoidable);
	printf("}}\n");
}

/* One bar per second, divided by cause. */
static void print_html(void)
{
	long long at;
	long sum;
	int i;

	printf("<!doctype html><meta charset=utf-8><title>What was served"
	       "</title><style>td{padding:0 .5em}div.b{display:flex;"
	       "height:12px}</style><h1>What was served, by second</h1><p>");
	for (i = 0; i < CAUSES; i++)
		printf("<span style='background:hsl(%d,70%%,60%%)'>&emsp;"
		       "</span> %s (could: %s) ",
		       120 + i * 240 / CAUSES, causes[i].name,
		       causes[i].avoidable);
	printf("<table>");
	for (at = 0; first_second >= 0 && at <= last_second - first_second;
	     at++) {
		sum = 0;
		for (i = 0; i < CAUSES; i++)
			sum += counts[at][i];
		if (sum == 0)
			continue;
		printf("<tr><td>%lld<td>%ld<td><div class=b>",
		       first_second + at, sum);
		for (i = 0; i < CAUSES; i++) {
			if (counts[at][i])
				printf("<div title='%s: %ld' style='width:"
				       "%ldpx;background:hsl(%d,70%%,60%%)'>"
				       "</div>",
				       causes[i].name, counts[at][i],
				       counts[at][i] * 3,
				       120 + i * 240 / CAUSES);
		}
		printf("</div>\n");
	}
	printf("</table>\n");
}

int main(int argc, char **argv)
{
	static char line[LINE_BYTES];

	while (fgets(line, sizeof(line), stdin))
		on_line(line);
	if (argc > 1 && strcmp(argv[1], "--html") == 0)
		print_html();
	else
		print_json();
	return 0;
}
