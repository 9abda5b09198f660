#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "clk.h"
#include "jlog.h"
#include "met_urgent.h"
#include "script.h"
#include "urg_log.h"

#define LINE_MAX_   256
#define PAGE_MAX    262144
#define DEMANDS_MAX 3
#define TEXT_MAX    4096

static struct met_urgent met;
static struct urg_log urg_log;
static int64_t now;

int64_t clk_boot_us(void)
{
	return now;
}

int64_t clk_wall_ms(void)
{
	return now / MAG_US_PER_MS;
}

/* "page": prints the lines that begin so; "count": how many there are. */
static void read_page(FILE *out, const char *start, bool prints)
{
	static char page[PAGE_MAX];
	struct evbuffer *bytes = evbuffer_new();
	int lines = 0;
	char *line;
	int len;

	met_urgent_write(&met, now, bytes);
	len = evbuffer_remove(bytes, page, sizeof(page) - 1);
	page[len < 0 ? 0 : len] = '\0';
	for (line = strtok(page, "\n"); line; line = strtok(NULL, "\n")) {
		if (strncmp(line, start, strlen(start)) != 0)
			continue;
		lines++;
		if (prints)
			fprintf(out, "%s\n", line);
	}
	if (!prints)
		fprintf(out, "%d lines\n", lines);
	evbuffer_free(bytes);
}

/* "round SHORT URGENCIES RESERVE": a round of messages; prints what is logged.
 */
static void run_round(FILE *out, int fd, bool is_short, int urgencies,
		      double reserve)
{
	static const struct urg_report demand[DEMANDS_MAX] = {
		{ 0x002, 40000 }, { 0x505, 900000.4 }, { 0xffff, 1 }
	};
	struct urg_log_state state = {
		.service = "model",
		.is_short = is_short,
		.short_us = now,
		.reserve = reserve,
		.refused = met_urgent_refusals(&met, "model"),
		.routers = 24,
		.heard = 20,
		.demand = demand,
		.count = urgencies,
	};
	char text[TEXT_MAX];
	char *at;
	ssize_t len;

	urg_log_tick(&urg_log, &state, now);
	jlog_flush();
	len = read(fd, text, sizeof(text) - 1);
	if (len <= 0)
		return;
	text[len] = '\0';
	at = strstr(text, "\"event\"");
	fprintf(out, "%s", at ? at : text);
}

/* Runs "ACTION SERVICE ACCOUNT URGENCY [NUMBER]"; false if it is another. */
static bool count_request(const char *line)
{
	char service[LINE_MAX_];
	char account[LINE_MAX_];
	char action[LINE_MAX_];
	struct met_urgent_key key = { service, account, 0 };
	double number = 0;

	if (sscanf(line, "%255s %255s %255s %d %lf", action, service, account,
		   &key.urgency, &number) < 4)
		return false;
	if (strcmp(account, "-") == 0)
		key.account = NULL;
	if (strcmp(action, "asked") == 0)
		met_urgent_asked(&met, &key);
	else if (strcmp(action, "begun") == 0)
		met_urgent_begun(&met, &key, number);
	else if (strcmp(action, "refused") == 0)
		met_urgent_refused(&met, &key);
	else if (strcmp(action, "waits") == 0)
		met_urgent_wait_began(&met, &key);
	else if (strcmp(action, "waited") == 0)
		met_urgent_wait_ended(&met, &key);
	else if (strcmp(action, "reserve") == 0)
		met_urgent_reserved(&met, &key, number, now);
	else
		return false;
	return true;
}

/* "many SERVICES URGENCIES ACCOUNTS": one refused request of each. */
static void refuse_many(int services, int urgencies, int accounts)
{
	char service[MAG_NAME_MAX];
	char account[MAG_NAME_MAX];
	struct met_urgent_key key = { service, account, 0 };
	int i;
	int k;

	for (i = 0; i < services; i++) {
		snprintf(service, sizeof(service), "s-%d", i);
		for (k = 0; k < urgencies || k < accounts; k++) {
			snprintf(account, sizeof(account), "a-%d",
				 k % accounts);
			key.urgency = k % urgencies;
			met_urgent_asked(&met, &key);
			met_urgent_refused(&met, &key);
		}
	}
}

static void run_script(FILE *in, FILE *out)
{
	char line[LINE_MAX_];
	char text[LINE_MAX_];
	double number;
	int ends[2];
	int n;
	int m;
	int k;

	if (pipe2(ends, O_NONBLOCK))
		abort();
	jlog_open("r-1", ends[1], 1000);
	memset(&met, 0, sizeof(met));
	memset(&urg_log, 0, sizeof(urg_log));
	now = 100 * MAG_US_PER_S;
	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (sscanf(line, "page %255s", text) == 1)
			read_page(out, text, true);
		else if (sscanf(line, "count %255s", text) == 1)
			read_page(out, text, false);
		else if (sscanf(line, "after %lf", &number) == 1)
			now += (int64_t)(number * MAG_US_PER_S);
		else if (sscanf(line, "round %d %d %lf", &n, &m, &number) == 3)
			run_round(out, ends[0], n != 0, m, number);
		else if (sscanf(line, "many %d %d %d", &n, &m, &k) == 3)
			refuse_many(n, m, k);
		else if (!count_request(line))
			fprintf(out, "unknown command\n");
	}
	close(ends[0]);
	close(ends[1]);
}

int main(void)
{
	return script_main("regress/met_urgent", run_script);
}
