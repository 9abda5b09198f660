/*
 * Executes calls to the platform's service, one per line of standard input,
 * with the client library of the programs, and prints the result of each:
 *	get KEY | watch KEY VERSION | cas KEY VERSION VALUE
 *	delete KEY VERSION | take NAME HOLDER TTL_MS | drop NAME HOLDER
 *	instances | loads | budget CALLS_PER_S | sleep MS
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fk.h"
#include "kv.h"
#include "log.h"
#include "mag.h"
#include "pf.h"

#define TOOL_TIMEOUT_US (500 * MAG_US_PER_MS)
#define TOOL_WORD_MAX	128

static const char *const status_names[] = {
	[KV_OK] = "ok",
	[KV_ABSENT] = "absent",
	[KV_CONFLICT] = "conflict",
	[KV_RATE_LIMITED] = "limited",
	[KV_NOT_SENT] = "unsent",
	[KV_NO_ANSWER] = "lost",
};

static const char *const op_names[KV_OP_COUNT] = {
	[KV_GET] = "get",
	[KV_WATCH] = "watch",
	[KV_CAS] = "cas",
	[KV_DELETE] = "delete",
	[KV_LEASE_ACQUIRE] = "take",
	[KV_LEASE_RELEASE] = "drop",
	[KV_INSTANCES] = "instances",
	[KV_LOAD_REPORTS] = "loads",
};

static void tool_call(struct pf *pf, const char *line)
{
	struct kv_backend backend = pf_backend(pf);
	char words[4][TOOL_WORD_MAX] = { "", "", "", "" };
	struct kv_call call = { .id = 1 };
	struct kv_reply reply;
	int op;

	if (sscanf(line, "%127s %127s %127s %127s", words[0], words[1],
		   words[2], words[3]) < 1)
		return;
	for (op = 0; op < KV_OP_COUNT; op++) {
		if (strcmp(words[0], op_names[op]) == 0)
			break;
	}
	if (strcmp(words[0], "budget") == 0)
		pf_set_budget(pf, (uint32_t)atoi(words[1]), 0);
	if (strcmp(words[0], "sleep") == 0)
		fk_sleep_us(atoi(words[1]) * MAG_US_PER_MS);
	if (op == KV_OP_COUNT)
		return;
	call.op = op;
	call.version = strtoull(words[2], NULL, 10);
	call.value = words[3];
	if (op == KV_LEASE_ACQUIRE || op == KV_LEASE_RELEASE) {
		call.value = words[2];
		call.ttl_ms = (uint32_t)atoi(words[3]);
	}
	call.len = strlen(call.value);
	memcpy(call.key, words[1], sizeof(words[1]));
	call.deadline_us = clk_now_us() + TOOL_TIMEOUT_US;
	backend.call(backend.ctx, &call, &reply);
	printf("%s: %s", words[0], status_names[reply.status]);
	if (reply.version)
		printf(" version=%" PRIu64, reply.version);
	if (reply.value)
		printf(" value=%s", reply.value);
	printf("\n");
	free(reply.value);
}

int main(int argc, char **argv)
{
	struct pf *pf =
		pf_open((const char *const *)argv + 1, (size_t)(argc - 1));
	char line[4 * TOOL_WORD_MAX];

	if (!pf)
		return 2;
	log_open("tool_kv", LOG_PRIO_INFO);
	setvbuf(stdout, NULL, _IOLBF, 0);
	while (fgets(line, sizeof(line), stdin))
		tool_call(pf, line);
	pf_close(pf);
	return 0;
}
