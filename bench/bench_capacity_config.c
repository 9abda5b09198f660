#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "cfg.h"

/*
 * What reading a whole set costs an instance.  Argument: how many endpoints;
 * 19 model services, 400 accounts and 400 limits go with them.
 */

#define SERVICES 19
#define ACCOUNTS 400
#define LAYERS	 32
#define STAGES	 4
#define RUNS	 5

static double cpu_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

static double heap(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)(info.uordblks + info.hblkhd);
}

/* Writes a set of the shape that the target has. */
static char *text_of(int endpoints, size_t *len)
{
	char *text = NULL;
	FILE *out = open_memstream(&text, len);
	int i;

	fprintf(out, "{\"objects\": [\n");
	for (i = 0; i < SERVICES; i++)
		fprintf(out,
			"{\"kind\":\"service\",\"name\":\"m%d\","
			"\"type\":\"model\",\"layers\":%d},\n"
			"{\"kind\":\"route\",\"name\":\"r%d\","
			"\"path\":\"/m%d\",\"service\":\"m%d\","
			"\"idempotent\":true,\"key\":\"optional\"},\n",
			i, LAYERS, i, i, i);
	for (i = 0; i < ACCOUNTS; i++)
		fprintf(out,
			"{\"kind\":\"account\",\"name\":\"a%d\","
			"\"key_hash\":\"%064d\",\"weight\":1},\n"
			"{\"kind\":\"limit\",\"name\":\"l%d\","
			"\"account\":\"a%d\",\"requests_per_s\":1000},\n",
			i, i, i, i);
	for (i = 0; i < endpoints; i++) {
		int stage = i / SERVICES % STAGES;

		fprintf(out,
			"%s{\"kind\":\"endpoint\",\"name\":\"e%d\","
			"\"service\":\"m%d\",\"data_centre\":\"d%d\","
			"\"address\":\"10.%d.%d.%d:8000\","
			"\"first_layer\":%d,\"last_layer\":%d,"
			"\"tokens_per_s\":1500,\"concurrency\":64}\n",
			i ? "," : "", i, i % SERVICES, i % 30, i >> 16,
			i >> 8 & 255, i & 255, stage * LAYERS / STAGES,
			(stage + 1) * LAYERS / STAGES - 1);
	}
	fprintf(out, "]}\n");
	fclose(out);
	return text;
}

int main(int argc, char **argv)
{
	struct cfg_faults *faults = NULL;
	struct cfg_set *set = NULL;
	struct cfg_set *copy = NULL;
	int endpoints = argc > 1 ? atoi(argv[1]) : 100;
	size_t len = 0;
	char *text = text_of(endpoints, &len);
	double before;
	double memory = 0;
	double took = 0;
	double copying = 0;
	int i;

	for (i = 0; i < RUNS; i++) {
		double start = cpu_ms();

		before = heap();
		if (cfg_parse(text, len, &set, &faults)) {
			fprintf(stderr, "refused: %s\n",
				cfg_fault_text(faults, 0));
			return 1;
		}
		took += (cpu_ms() - start) / RUNS;
		memory = heap() - before;
		start = cpu_ms();
		if (cfg_copy(set, &copy))
			return 1;
		copying += (cpu_ms() - start) / RUNS;
		cfg_free(copy);
		cfg_free(set);
	}
	printf("config\t%d\t%zu\t%.2f\t%.0f\t%.2f\n", endpoints, len, took,
	       memory, copying);
	free(text);
	return 0;
}
