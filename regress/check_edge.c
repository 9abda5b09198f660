#include <stdlib.h>
#include <string.h>

#include "edge.h"
#include "script.h"

#define LINE_MAX_ 256

/* "take SERVICE COUNT": prints how many of so many retries are allowed. */
static void take_retries(FILE *out, struct edge *edge, const char *line,
			 int64_t now)
{
	char service[MAG_NAME_MAX];
	int allowed = 0;
	int count;
	int i;

	if (sscanf(line, "%*s %31s %d", service, &count) != 2)
		return;
	for (i = 0; i < count; i++)
		allowed += bud_take_retry(edge_budget(edge, service, now), now);
	fprintf(out, "%d allowed\n", allowed);
}

/* "services COUNT": each of so many services takes one retry. */
static void use_services(struct edge *edge, int count, int64_t now)
{
	char service[MAG_NAME_MAX];
	int i;

	for (i = 0; i < count; i++) {
		snprintf(service, sizeof(service), "s-%d", i);
		bud_take_retry(edge_budget(edge, service, now), now);
	}
}

/* "listed": the store's list of instances names no other one. */
static void list_alone(struct edge *edge)
{
	pres_list_begin(edge->pres);
	pres_list_end(edge->pres);
}

/* "peer N": one more instance is read from the store's list. */
static void list_peer(struct edge *edge, int n)
{
	char value[] = "127.0.0.1:2 a 1000";
	struct wire_item item = { .value = value, .len = strlen(value) };

	snprintf(item.key, sizeof(item.key), PRES_INSTANCE_PREFIX "a/r-%d", n);
	pres_item(edge->pres, &item);
}

/* "centres COUNT": so many data centres are seen. */
static void see_centres(struct edge *edge, int count)
{
	char name[MAG_NAME_MAX];
	int i;

	for (i = 0; i < count; i++) {
		snprintf(name, sizeof(name), "d-%d", i);
		edge_data_centre_index(edge, name);
	}
}

static void drive(FILE *in, FILE *out)
{
	struct pres_settings presence = {
		{ "r-1", "127.0.0.1:1", "a", 1000 }, 1000, 1, true
	};
	struct edge *edge = calloc(1, sizeof(*edge));
	char line[LINE_MAX_];
	char name[MAG_NAME_MAX];
	int64_t now = MAG_US_PER_S;
	int n;

	edge->pres = pres_new(NULL, &presence);
	edge->set.retry_window_us = 10 * MAG_US_PER_S;
	edge->set.retry_slack = 50;
	edge->set.first_start = true;
	edge_init(edge);
	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (strncmp(line, "take ", 5) == 0)
			take_retries(out, edge, line, now);
		else if (sscanf(line, "services %d", &n) == 1)
			use_services(edge, n, now);
		else if (sscanf(line, "centres %d", &n) == 1)
			see_centres(edge, n);
		else if (sscanf(line, "index %31s", name) == 1)
			fprintf(out, "%d\n",
				edge_data_centre_index(edge, name));
		else if (sscanf(line, "at %d", &n) == 1)
			now = n * MAG_US_PER_S;
		else if (strncmp(line, "listed", 6) == 0)
			list_alone(edge);
		else if (sscanf(line, "peer %d", &n) == 1)
			list_peer(edge, n);
		else if (strncmp(line, "budgets", 7) == 0)
			fprintf(out, "%d budgets\n", edge->service_count);
	}
	edge_free_services(edge);
	pres_free(edge->pres);
	free(edge);
}

int main(void)
{
	return script_main("regress/edge_state", drive);
}
