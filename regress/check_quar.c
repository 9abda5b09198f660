#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "quar.h"
#include "script.h"

#define TEXT_MAX    128
#define REPORTS_MAX 6

static FILE *script_out;

/* Prints log lines as part of the output. */
static void log_line(void *ctx, enum log_prio prio, const char *line)
{
	(void)ctx;
	(void)prio;
	fprintf(script_out, "  log %s\n", line);
}

/* Returns a fingerprint made of one letter. */
static const uint8_t *fingerprint_of(char letter)
{
	static uint8_t fingerprint[MAG_DIGEST_BYTES];

	memset(fingerprint, letter, sizeof(fingerprint));
	return fingerprint;
}

/* Prints the state of a fingerprint. */
static void print_state(struct quar *quar, char letter, int64_t now)
{
	static const char *const states[] = {
		[QUAR_CLEAR] = "clear",
		[QUAR_SUSPECT] = "suspect",
		[QUAR_QUARANTINED] = "quarantined",
	};

	fprintf(script_out, "%c is %s\n", letter,
		states[quar_check(quar, fingerprint_of(letter), now)]);
}

/* Prints what is reported to other instances. */
static void print_updates(struct quar *quar)
{
	uint8_t fingerprint[MAG_DIGEST_BYTES];
	int64_t until;
	uint32_t lost;

	while (quar_next_update(quar, fingerprint, &lost, &until))
		fprintf(script_out, "news: %c lost %u until %d ms\n",
			fingerprint[0], lost, (int)(until / MAG_US_PER_MS));
}

/* Prints one message's reports to other instances. */
static void print_reports(struct quar *quar, int64_t now)
{
	static const char *const alerts[] = {
		[QUAR_ALERT_NONE] = "",
		[QUAR_ALERT_NEAR] = " at once, near",
		[QUAR_ALERT_ALL] = " at once",
	};
	struct quar_report reports[REPORTS_MAX];
	int count = quar_collect(quar, reports, REPORTS_MAX, now);
	int i;

	fprintf(script_out, "message%s%s\n", count ? ":" : " without reports",
		alerts[quar_take_alert(quar)]);
	for (i = 0; i < count; i++) {
		if (reports[i].completed)
			fprintf(script_out, "  %c completed\n",
				reports[i].fingerprint[0]);
		else
			fprintf(script_out, "  %c lost endpoint %u%s\n",
				reports[i].fingerprint[0], reports[i].endpoint,
				reports[i].alone ? " alone" : "");
	}
}

/* Prints what an instance is told that may not know of the quarantines. */
static void print_held(const struct quar *quar, int64_t now)
{
	struct quar_report losses[QUAR_LOSSES_MAX];
	int index = 0;
	int count;

	while ((count = quar_held_losses(quar, index++, losses, now)) > 0)
		fprintf(script_out, "tells of %c, %d losses\n",
			losses[0].fingerprint[0], count);
}

/*
 * Runs a line about losses that are known by name: "loss" and "hear" with a
 * letter, an endpoint and whether it ran alone there, "hear-well" with a
 * letter. Returns false if it is another line.
 */
static bool run_named(struct quar *quar, const char *line, int64_t now)
{
	struct quar_report report = { 0 };
	unsigned int endpoint;
	char letter;
	int alone;
	int left_ms;

	report.left_us = 60 * MAG_US_PER_S;
	if (sscanf(line, "hear-old %c %u %d", &letter, &endpoint, &left_ms) ==
	    3) {
		report.endpoint = endpoint;
		report.left_us = left_ms * MAG_US_PER_MS;
	} else if (sscanf(line, "loss %c %u %d", &letter, &endpoint, &alone) ==
			   3 ||
		   sscanf(line, "hear %c %u %d", &letter, &endpoint, &alone) ==
			   3) {
		report.endpoint = endpoint;
		report.alone = alone != 0;
	} else if (sscanf(line, "hear-well %c", &letter) == 1) {
		report.completed = true;
	} else {
		return false;
	}
	memcpy(report.fingerprint, fingerprint_of(letter), MAG_DIGEST_BYTES);
	if (line[0] == 'l')
		quar_add_loss(quar, &report, now);
	else
		fprintf(script_out, "%s\n",
			quar_hear(quar, &report, now) ? "news" : "known");
	return true;
}

/* Runs one script; see regress/quar. */
static void run_script(FILE *in, FILE *out)
{
	struct quar *quar = quar_new(3, 60 * MAG_US_PER_S);
	char line[TEXT_MAX];
	int64_t now = 0;
	char letter;
	int others;
	int a;
	int b;

	script_out = out;
	log_set_sink(log_line, NULL);
	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#')
			fputs(line, out);
		else if (sscanf(line, "at %d", &a) == 1)
			now = a * MAG_US_PER_MS;
		else if (sscanf(line, "check %c", &letter) == 1)
			print_state(quar, letter, now);
		else if (sscanf(line, "lost %c %d %d", &letter, &a, &b) == 3)
			quar_endpoint_lost(quar, fingerprint_of(letter), a, b,
					   now);
		else if (sscanf(line, "well %c", &letter) == 1)
			quar_completed(quar, fingerprint_of(letter), now);
		else if (sscanf(line, "learn %c %d %d", &letter, &a, &b) == 3)
			quar_learn(quar, fingerprint_of(letter), (uint32_t)a,
				   b * MAG_US_PER_MS, now);
		else if (sscanf(line, "together %d", &a) == 1)
			fprintf(out, "%s\n",
				quar_have_common_cause(a) ? "common cause"
							  : "no common cause");
		else if (sscanf(line, "sent %d heard %d others %d", &a, &b,
				&others) == 3)
			fprintf(out, "%s\n",
				quar_is_evidence(a, b, others) ? "evidence"
							       : "none");
		else if (strcmp(line, "news\n") == 0)
			print_updates(quar);
		else if (strcmp(line, "held\n") == 0)
			print_held(quar, now);
		else if (strcmp(line, "message\n") == 0)
			print_reports(quar, now);
		else if (!run_named(quar, line, now))
			fprintf(out, "unknown: %s", line);
	}
	quar_free(quar);
}

int main(void)
{
	return script_main("regress/quar", run_script);
}
