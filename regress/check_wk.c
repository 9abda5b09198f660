#include <string.h>

#include <event2/event.h>

#include "script.h"
#include "wk.h"

#define LINE_MAX_ 256

static struct wk_table table;

/*
 * "entry ID ADDRESS BORN_MS FROM TO [SERVICE] [leaves]": adds or updates an
 * entry of the store's list.
 */
static void put_entry(const char *line, int64_t now)
{
	struct wire_worker worker = { .slots = 8 };
	long long born;

	worker.draining = strstr(line, " leaves") != NULL;
	strcpy(worker.service, "model");
	if (sscanf(line, "%*s %63s %47s %lld %d %d %63s", worker.id,
		   worker.address, &born, &worker.layers.from,
		   &worker.layers.to, worker.service) < 5)
		return;
	worker.started_ms = born;
	wk_list_put(&table, &worker, now, NULL);
}

/*
 * "answer ID SENT_MS [leaving] [backoff]": an answer to a request that was sent
 * at SENT_MS says that the worker leaves, or wants nothing for 3 s.
 */
static void apply_answer(const char *line, int64_t now)
{
	struct wire_advert advert = { 0 };
	char id[WIRE_ID_MAX];
	long long sent_ms;
	struct wk *wk;

	if (sscanf(line, "%*s %63s %lld", id, &sent_ms) != 2)
		return;
	if (strstr(line, " leaving"))
		advert.leaving = (struct wire_number){ WIRE_NUMBER_VALID, 1 };
	if (strstr(line, " backoff"))
		advert.backoff_s = (struct wire_number){ WIRE_NUMBER_VALID, 3 };
	wk = wk_by_id(&table, id);
	if (wk)
		wk_apply_advert(wk, &advert, WK_ANSWER_SUCCESS,
				sent_ms * MAG_US_PER_MS, now);
}

static void print_workers(FILE *out, int64_t now)
{
	struct wk *wk;

	cds_list_for_each_entry (wk, &table.workers, node)
		fprintf(out, "%s %s\n", wk->entry.id,
			wk_usable(wk, now) ? "gets requests" : "gets none");
}

/* "breaks ID COUNT": so many requests break off at a worker. */
static void break_requests(const char *id, int count, int64_t now)
{
	struct wk_interrupted interrupted = { .at_us = now };
	struct wk *wk = wk_by_id(&table, id);
	int i;

	for (i = 0; wk && i < count; i++) {
		interrupted.fingerprint[0] = (uint8_t)i;
		wk_add_interrupted(wk, &interrupted);
	}
}

/*
 * "answer ...", "suspect ID", "refuses ID", "gone ID", "breaks ID COUNT",
 * "lives ID": what is learned of one worker.  False for another line.
 */
static bool drive_worker(const char *line, int64_t now)
{
	char id[LINE_MAX_];
	int count;

	if (strncmp(line, "entry", 5) == 0)
		put_entry(line, now);
	else if (strncmp(line, "answer", 6) == 0)
		apply_answer(line, now);
	else if (sscanf(line, "suspect %63s", id) == 1)
		wk_suspect(wk_by_id(&table, id), now, "test");
	else if (sscanf(line, "refuses %63s", id) == 1)
		wk_on_refusal(wk_by_id(&table, id), now);
	else if (sscanf(line, "begins %63s", id) == 1)
		wk_add_entry(wk_by_id(&table, id), true, now);
	else if (sscanf(line, "fails %63s", id) == 1)
		wk_add_entry(wk_by_id(&table, id), false, now);
	else if (sscanf(line, "gone %63s", id) == 1)
		wk_remove(&table, id, now, now);
	else if (sscanf(line, "lives %63s", id) == 1)
		wk_clear_suspicion(wk_by_id(&table, id), now);
	else if (sscanf(line, "breaks %63s %d", id, &count) == 2)
		break_requests(id, count, now);
	else
		return false;
	return true;
}

static void free_workers(int64_t now)
{
	struct wk *remaining;
	struct wk *next;

	cds_list_for_each_entry_safe (remaining, next, &table.workers, node)
		wk_remove(&table, remaining->entry.id, now, now);
	wk_tick(&table, now);
	htab_free(&table.ids);
	htab_free(&table.addresses);
}

static void drive(FILE *in, FILE *out)
{
	struct event_base *base = event_base_new();
	struct hc *hc = hc_new(base);
	char line[LINE_MAX_];
	char text[LINE_MAX_];
	struct wk *wk;
	int64_t now = MAG_US_PER_S;
	long long at_ms;

	wk_init(&table, hc);
	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (drive_worker(line, now))
			continue;
		if (sscanf(line, "at_ms %lld", &at_ms) == 1)
			now = at_ms * MAG_US_PER_MS;
		else if (strncmp(line, "tick", 4) == 0)
			wk_tick(&table, now);
		else if (strncmp(line, "list", 4) == 0)
			wk_list_begin(&table);
		else if (strncmp(line, "end", 3) == 0)
			wk_list_end(&table, now, now);
		else if (strncmp(line, "returned", 8) == 0)
			wk_store_restored(&table, now);
		else if (strncmp(line, "settled", 7) == 0)
			wk_store_settled(&table);
		else if (sscanf(line, "layers %63s", text) == 1 &&
			 (wk = wk_by_id(&table, text)))
			fprintf(out, "%d-%d\n", wk->layers.from, wk->layers.to);
		else if (sscanf(line, "candidates %63s", text) == 1 &&
			 (wk = wk_by_id(&table, text)))
			fprintf(out, "%d\n", wk_count_interrupted(wk, now));
		else if (sscanf(line, "failures %63s", text) == 1 &&
			 (wk = wk_by_id(&table, text)))
			fprintf(out, "%.2f\n", wk_entry_failure_rate(wk, now));
		else if (sscanf(line, "dead %63s", text) == 1 &&
			 (wk = wk_by_id(&table, text)))
			fprintf(out, "%s\n",
				wk_note_dead(wk) ? "news" : "known");
		else if (sscanf(line, "late %63s", text) == 1 &&
			 (wk = wk_by_id(&table, text)))
			fprintf(out, "%s\n",
				wk_broke_at_dead(wk, now) ? "yes" : "no");
		else if (strncmp(line, "who", 3) == 0)
			print_workers(out, now);
		else if (sscanf(line, "at %47s", text) == 1 &&
			 (wk = wk_by_address(&table, text)))
			fprintf(out, "%s\n", wk->entry.id);
	}
	free_workers(now);
	hc_free(hc);
	event_base_free(base);
}

int main(void)
{
	return script_main("regress/wk", drive);
}
