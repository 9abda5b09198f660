#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "ldg_int.h"
#include "log.h"
#include "script.h"

/*
 * Runs scripts of several instances of the ledger against one key-value table
 * in memory, in virtual time.  A call reaches the table after half the latency
 * and its reply arrives after the other half.  Commands:
 *   router NAME INCARNATION       starts or restarts an instance
 *   kill NAME / pause NAME / wake NAME
 *   claim NAME REQ KEY BODY [timed] [resend] [deadline=MS] [window=S]
 *   send NAME REQ                 the endpoint runs it; runs are counted
 *   settle NAME REQ STATUS TEXT / release NAME REQ / hold NAME REQ
 *   fault read|write lose|late|refuse|limit COUNT
 *     COUNT calls of this kind fail.  lose: carried out, reply lost; late:
 *     reply lost, carried out at the command `land`; refuse: not sent; limit:
 *     refused for the rate
 *   land / run MS / skew NAME MS / show / calls
 *   set shards|segment|batch|single N
 */

#define DRV_ROUTERS  4
#define DRV_KEYS     64
#define DRV_CALLS    256
#define DRV_LINE     256
#define DRV_WORDS    10
#define DRV_LATENCY  (2 * MAG_US_PER_MS)
#define DRV_WALL_MS  INT64_C(1800000000000)
#define DRV_TIMEOUT  (50 * MAG_US_PER_MS)
#define DRV_DEADLINE 1000
#define DRV_WINDOW_S 3600

enum drv_fault {
	FAULT_NONE,
	FAULT_LOSE,
	FAULT_LATE,
	FAULT_REFUSE,
	FAULT_LIMIT
};
enum drv_phase {
	CALL_FREE,
	CALL_SENT,
	CALL_LATE,
	CALL_DONE
};

struct drv_router {
	char name[16];
	struct ldg *ldg;
	uint64_t incarnation;
	bool paused;
	int64_t skew_ms;
};

struct drv_value {
	char key[KV_KEY_MAX];
	char *value;
	uint64_t version;
};

struct drv_call {
	enum drv_phase phase;
	enum drv_fault fault;
	int router;
	uint64_t incarnation;
	int64_t at_us;
	struct kv_call call;
	struct kv_reply reply;
};

struct drv_claim {
	int router;
	uint64_t req;
	char key[64];
	unsigned int runs;
};

static struct drv_router routers[DRV_ROUTERS];
static struct drv_value values[DRV_KEYS];
static struct drv_call calls[DRV_CALLS];
static struct drv_claim claims[DRV_CALLS];
static struct ldg_settings set;
static enum drv_fault fault[2];
static int fault_count[2];
static unsigned int call_count[2];
static int64_t drv_now;
static FILE *drv_out;

static void drv_collect_output(int router);

static int drv_router(const char *name)
{
	int i;

	for (i = 0; i < DRV_ROUTERS; i++) {
		if (!routers[i].name[0])
			snprintf(routers[i].name, sizeof(routers[i].name), "%s",
				 name);
		if (strcmp(routers[i].name, name) == 0)
			return i;
	}
	abort();
}

static struct drv_value *drv_value(const char *key)
{
	int i;

	for (i = 0; i < DRV_KEYS; i++) {
		if (!values[i].key[0])
			snprintf(values[i].key, KV_KEY_MAX, "%s", key);
		if (strcmp(values[i].key, key) == 0)
			return &values[i];
	}
	abort();
}

static void drv_execute(struct drv_call *c)
{
	struct drv_value *v = drv_value(c->call.key);

	c->reply.status = KV_OK;
	if (c->call.op == KV_GET && !v->version) {
		c->reply.status = KV_ABSENT;
	} else if (c->call.op == KV_GET) {
		c->reply.value = strdup(v->value);
		c->reply.len = strlen(v->value);
	} else if (c->call.version != v->version) {
		c->reply.status = KV_CONFLICT;
	} else {
		free(v->value);
		v->value = strdup(c->call.value);
		v->version++;
	}
	c->reply.version = v->version;
}

static void drv_finish(struct drv_call *c)
{
	struct drv_router *r = &routers[c->router];

	if (r->ldg && r->incarnation == c->incarnation)
		ldg_reply(r->ldg, &c->reply, drv_now);
	free(c->call.value);
	free(c->reply.value);
	memset(c, 0, sizeof(*c));
}

/* Prints the results of a router and starts its calls. */
static void drv_collect_output(int router)
{
	static const char *const names[] = {
		"go",	"taken-over", "replay",	 "in-progress",
		"held", "mismatch",   "not-run", "cannot-tell",
	};
	struct drv_router *r = &routers[router];
	struct ldg_result res;
	struct kv_call call;
	int i;

	while (ldg_next_result(r->ldg, &res)) {
		fprintf(drv_out, "%5" PRId64 " %s %" PRIu64 " %s",
			drv_now / MAG_US_PER_MS, r->name, res.req,
			names[res.verdict]);
		if (res.verdict == LDG_REPLAY)
			fprintf(drv_out, " %d %s", res.status,
				res.answer_stored ? res.answer : "(not kept)");
		if (res.retry_at_us)
			fprintf(drv_out, " retry at %" PRId64,
				res.retry_at_us / MAG_US_PER_MS);
		fputc('\n', drv_out);
		free(res.answer);
	}
	while (ldg_next_call(r->ldg, &call)) {
		int kind = call.op == KV_CAS;

		for (i = 0; calls[i].phase != CALL_FREE; i++)
			;
		calls[i].phase = CALL_SENT;
		calls[i].router = router;
		calls[i].incarnation = r->incarnation;
		calls[i].at_us = drv_now + DRV_LATENCY / 2;
		calls[i].call = call;
		calls[i].reply.id = call.id;
		call_count[kind]++;
		if (fault_count[kind] > 0) {
			fault_count[kind]--;
			calls[i].fault = fault[kind];
		}
	}
}

/* Advances one call by one phase. */
static void drv_step_call(struct drv_call *c)
{
	if (c->phase == CALL_DONE) {
		drv_finish(c);
		return;
	}
	c->phase = CALL_DONE;
	c->at_us = drv_now + DRV_LATENCY / 2;
	switch (c->fault) {
	case FAULT_REFUSE:
		c->reply.status = KV_NOT_SENT;
		return;
	case FAULT_LIMIT:
		c->reply.status = KV_RATE_LIMITED;
		return;
	case FAULT_LATE:
		c->phase = CALL_LATE;
		c->at_us = c->call.deadline_us;
		return;
	case FAULT_LOSE:
		c->at_us = c->call.deadline_us;
		break;
	case FAULT_NONE:
		break;
	}
	drv_execute(c);
	if (c->fault == FAULT_LOSE)
		c->reply.status = KV_NO_ANSWER;
}

/* The sender of a late write gets no reply; the write itself stays pending. */
static void drv_lose_late_reply(struct drv_call *c)
{
	struct drv_router *r = &routers[c->router];
	struct kv_reply lost = { .id = c->call.id, .status = KV_NO_ANSWER };

	c->at_us = MAG_NEVER;
	if (r->ldg && r->incarnation == c->incarnation)
		ldg_reply(r->ldg, &lost, drv_now);
}

static void drv_tick_all(void)
{
	int i;

	for (i = 0; i < DRV_ROUTERS; i++) {
		if (!routers[i].ldg || routers[i].paused)
			continue;
		ldg_tick(routers[i].ldg, drv_now);
		drv_collect_output(i);
	}
}

static bool drv_is_due(const struct drv_call *c)
{
	return c->phase != CALL_FREE && c->at_us <= drv_now &&
	       !(c->phase != CALL_SENT && routers[c->router].paused);
}

static void drv_run(int64_t ms)
{
	int64_t end = drv_now + ms * MAG_US_PER_MS;
	int i;

	drv_tick_all();
	while (drv_now < end) {
		drv_now += MAG_US_PER_MS;
		for (i = 0; i < DRV_CALLS; i++) {
			if (!drv_is_due(&calls[i]))
				continue;
			if (calls[i].phase == CALL_LATE)
				drv_lose_late_reply(&calls[i]);
			else
				drv_step_call(&calls[i]);
		}
		drv_tick_all();
	}
}

/* A router that resumes handles the replies that wait before its next tick. */
static void drv_wake(int router)
{
	int i;

	routers[router].paused = false;
	for (i = 0; i < DRV_CALLS; i++) {
		if (calls[i].phase == CALL_DONE && calls[i].router == router &&
		    calls[i].at_us <= drv_now)
			drv_finish(&calls[i]);
	}
	drv_collect_output(router);
}

static void drv_land_late_writes(void)
{
	int i;

	for (i = 0; i < DRV_CALLS; i++) {
		struct drv_call *c = &calls[i];

		if (c->phase != CALL_LATE)
			continue;
		drv_execute(c);
		fprintf(drv_out, "%5" PRId64 " late write of %s %s\n",
			drv_now / MAG_US_PER_MS, routers[c->router].name,
			c->reply.status == KV_OK ? "landed" : "conflicts");
		c->reply.id = UINT64_MAX;
		drv_finish(c);
	}
}

static bool drv_has_flag(const char **words, int count, const char *word)
{
	int i;

	for (i = 5; i < count; i++) {
		if (strcmp(words[i], word) == 0)
			return true;
	}
	return false;
}

static int64_t drv_option(const char **words, int count, const char *name,
			  int64_t value)
{
	size_t len = strlen(name);
	int i;

	for (i = 5; i < count; i++) {
		if (strncmp(words[i], name, len) == 0 && words[i][len] == '=')
			value = strtoll(words[i] + len + 1, NULL, 10);
	}
	return value;
}

static void drv_claim(const char **words, int count)
{
	int router = drv_router(words[1]);
	struct ldg_claim claim = { .key = words[3] };
	int err;
	int i;

	claim.req = strtoull(words[2], NULL, 10);
	claim.timed = drv_has_flag(words, count, "timed");
	claim.may_resend = drv_has_flag(words, count, "resend");
	claim.window_s =
		(uint32_t)drv_option(words, count, "window", DRV_WINDOW_S);
	claim.deadline_us =
		drv_now + drv_option(words, count, "deadline", DRV_DEADLINE) *
				  MAG_US_PER_MS;
	claim.wall_ms =
		DRV_WALL_MS + drv_now / MAG_US_PER_MS + routers[router].skew_ms;
	ldg_intent(claim.intent, "account", "route", words[3]);
	ldg_intent(claim.fingerprint, "", "", words[4]);
	for (i = 0; claims[i].key[0]; i++)
		;
	claims[i].router = router;
	claims[i].req = claim.req;
	snprintf(claims[i].key, sizeof(claims[i].key), "%s", words[3]);
	err = ldg_reserve(routers[router].ldg, &claim, drv_now);
	if (err)
		fprintf(drv_out, "%5" PRId64 " %s %s error %d\n",
			drv_now / MAG_US_PER_MS, words[1], words[2], err);
	drv_collect_output(router);
}

/* Simulates the endpoint running a request; counts the runs of its key. */
static void drv_send(const char **words)
{
	uint64_t req = strtoull(words[2], NULL, 10);
	int router = drv_router(words[1]);
	unsigned int total = 0;
	int own = -1;
	int i;

	for (i = 0; claims[i].key[0]; i++) {
		if (claims[i].router == router && claims[i].req == req)
			own = i;
	}
	claims[own].runs++;
	for (i = 0; claims[i].key[0]; i++) {
		if (strcmp(claims[i].key, claims[own].key) == 0)
			total += claims[i].runs;
	}
	fprintf(drv_out, "%5" PRId64 " %s %s runs %s, run %u of its key\n",
		drv_now / MAG_US_PER_MS, words[1], words[2], claims[own].key,
		total);
}

static void drv_show(void)
{
	static const char *const names[] = { "reserved", "ambiguous",
					     "released", "settled" };
	struct ldg_rec *rec;
	int i;

	for (i = 0; i < DRV_KEYS && values[i].key[0]; i++) {
		struct ldg_seg *seg = ldg_seg_new(0);

		fprintf(drv_out, "      %s version %" PRIu64, values[i].key,
			values[i].version);
		if (values[i].value &&
		    ldg_json_read(seg, values[i].value,
				  strlen(values[i].value)) == 0) {
			fprintf(drv_out, "%s:", seg->sealed ? " sealed" : "");
			cds_list_for_each_entry (rec, &seg->recs, order)
				fprintf(drv_out, " %s by %s/%" PRIx64,
					names[rec->state], rec->instance,
					rec->nonce.incarnation);
		}
		fputc('\n', drv_out);
		ldg_seg_free(seg);
	}
}

static void drv_start(const char **words)
{
	struct drv_router *r = &routers[drv_router(words[1])];

	ldg_free(r->ldg);
	r->incarnation = strtoull(words[2], NULL, 10);
	r->paused = false;
	set.incarnation = r->incarnation;
	snprintf(set.instance, sizeof(set.instance), "%s", words[1]);
	r->ldg = ldg_new(&set);
}

static void drv_end_request(const char **words, int count)
{
	struct ldg *ldg = routers[drv_router(words[1])].ldg;
	uint64_t req = strtoull(words[2], NULL, 10);
	struct ldg_outcome outcome = { 0 };
	int err;

	if (strcmp(words[0], "settle") == 0) {
		outcome.status = (int)strtol(words[3], NULL, 10);
		outcome.answer = count > 4 ? words[4] : NULL;
		outcome.answer_len = count > 4 ? strlen(words[4]) : 0;
		err = ldg_settle(ldg, req, &outcome, drv_now);
	} else if (strcmp(words[0], "release") == 0) {
		err = ldg_release(ldg, req, drv_now);
	} else {
		err = ldg_mark_ambiguous(ldg, req, drv_now);
	}
	if (err)
		fprintf(drv_out, "%5" PRId64 " %s %s error %d\n",
			drv_now / MAG_US_PER_MS, words[1], words[2], err);
}

static void drv_fault(const char **words)
{
	static const char *const names[] = { "none", "lose", "late", "refuse",
					     "limit" };
	int kind = strcmp(words[1], "write") == 0;
	int i;

	for (i = 0; i < 5; i++) {
		if (strcmp(words[2], names[i]) == 0)
			fault[kind] = (enum drv_fault)i;
	}
	fault_count[kind] = (int)strtol(words[3], NULL, 10);
}

static void drv_set(const char **words)
{
	uint32_t n = (uint32_t)strtoul(words[2], NULL, 10);

	if (strcmp(words[1], "shards") == 0)
		set.shards = n;
	else if (strcmp(words[1], "segment") == 0)
		set.segment_bytes = n;
	else if (strcmp(words[1], "batch") == 0)
		set.batch_max = n;
	else
		set.one_record_each = n;
}

static void drv_command(const char **words, int count)
{
	const char *name = words[0];

	if (strcmp(name, "router") == 0) {
		drv_start(words);
	} else if (strcmp(name, "kill") == 0) {
		ldg_free(routers[drv_router(words[1])].ldg);
		routers[drv_router(words[1])].ldg = NULL;
	} else if (strcmp(name, "pause") == 0) {
		routers[drv_router(words[1])].paused = true;
	} else if (strcmp(name, "wake") == 0) {
		drv_wake(drv_router(words[1]));
	} else if (strcmp(name, "skew") == 0) {
		routers[drv_router(words[1])].skew_ms =
			strtoll(words[2], NULL, 10);
	} else if (strcmp(name, "claim") == 0) {
		drv_claim(words, count);
	} else if (strcmp(name, "send") == 0) {
		drv_send(words);
	} else if (strcmp(name, "fault") == 0) {
		drv_fault(words);
	} else if (strcmp(name, "land") == 0) {
		drv_land_late_writes();
	} else if (strcmp(name, "run") == 0) {
		drv_run(strtoll(words[1], NULL, 10));
	} else if (strcmp(name, "show") == 0) {
		drv_show();
	} else if (strcmp(name, "calls") == 0) {
		fprintf(drv_out, "      %u reads, %u writes\n", call_count[0],
			call_count[1]);
	} else if (strcmp(name, "set") == 0) {
		drv_set(words);
	} else {
		drv_end_request(words, count);
	}
}

static void drv_reset(void)
{
	int i;

	for (i = 0; i < DRV_ROUTERS; i++)
		ldg_free(routers[i].ldg);
	for (i = 0; i < DRV_KEYS; i++)
		free(values[i].value);
	for (i = 0; i < DRV_CALLS; i++) {
		free(calls[i].call.value);
		free(calls[i].reply.value);
	}
	memset(routers, 0, sizeof(routers));
	memset(values, 0, sizeof(values));
	memset(calls, 0, sizeof(calls));
	memset(claims, 0, sizeof(claims));
	memset(fault_count, 0, sizeof(fault_count));
	memset(call_count, 0, sizeof(call_count));
	memset(&set, 0, sizeof(set));
	drv_now = 0;
	set.shards = 1;
	set.segment_bytes = 4096;
	set.batch_max = 64;
	set.call_timeout_us = DRV_TIMEOUT;
}

static void driver(FILE *in, FILE *out)
{
	char line[DRV_LINE];
	const char *words[DRV_WORDS];
	char *save;
	char *word;
	int count;
	int i;

	drv_out = out;
	drv_reset();
	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		for (i = 0; i < DRV_WORDS; i++)
			words[i] = "";
		count = 0;
		word = strtok_r(line, " \n", &save);
		while (word && count < DRV_WORDS) {
			words[count++] = word;
			word = strtok_r(NULL, " \n", &save);
		}
		if (count == 0)
			continue;
		drv_command(words, count);
	}
	drv_reset();
}

int main(void)
{
	log_set_sink(NULL, NULL);
	return script_main("regress/ldg", driver);
}
