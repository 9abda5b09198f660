#include <inttypes.h>
#include <stdio.h>

#include "jlog.h"
#include "urg_log.h"

/* Least time between two lines of a beginning. */
#define URG_LOG_EVERY_US (10 * MAG_US_PER_S)
/* Longest text of one urgency and its demand. */
#define URG_LOG_LEVEL_CHARS 32

static void urg_log_begin(struct urg_log *log,
			  const struct urg_log_state *state, int64_t now);
static void urg_log_end(struct urg_log *log, const struct urg_log_state *state);
static void urg_log_demand(const struct urg_log_state *state, char *text,
			   size_t size);

/* Logs a change of the state; to be called in each round of messages. */
void urg_log_tick(struct urg_log *log, const struct urg_log_state *state,
		  int64_t now)
{
	bool lacks = state->is_short && state->count > 1;

	if (lacks) {
		log->short_us = state->short_us;
		if (!log->logged && now >= log->next_us)
			urg_log_begin(log, state, now);
	} else if (log->logged && !state->is_short) {
		urg_log_end(log, state);
	}
}

static void urg_log_begin(struct urg_log *log,
			  const struct urg_log_state *state, int64_t now)
{
	char demand[URG_LEVELS_MAX * URG_LOG_LEVEL_CHARS];

	log->logged = true;
	log->since_us = now;
	log->next_us = now + URG_LOG_EVERY_US;
	log->refused = state->refused;
	urg_log_demand(state, demand, sizeof(demand));
	jlog(LOG_URG_SHORT,
	     "\"service\":\"%s\",\"reserve\":%.3f,\"routers\":%d,"
	     "\"reports\":%d,\"demand\":{%s}",
	     state->service, state->reserve, state->routers, state->heard,
	     demand);
}

static void urg_log_end(struct urg_log *log, const struct urg_log_state *state)
{
	log->logged = false;
	jlog(LOG_URG_ENOUGH,
	     "\"service\":\"%s\",\"lasted_ms\":%" PRId64
	     ",\"refused\":%" PRIu64,
	     state->service, (log->short_us - log->since_us) / MAG_US_PER_MS,
	     state->refused - log->refused);
}

/* Writes members such as "0.2":1234, the priorities of account and route. */
static void urg_log_demand(const struct urg_log_state *state, char *text,
			   size_t size)
{
	size_t len = 0;
	int i;

	text[0] = '\0';
	for (i = 0; i < state->count && len + URG_LOG_LEVEL_CHARS <= size; i++)
		len += (size_t)snprintf(text + len, URG_LOG_LEVEL_CHARS,
					"%s\"%d.%d\":%.0f", i > 0 ? "," : "",
					state->demand[i].urgency >> 8,
					state->demand[i].urgency & 0xff,
					state->demand[i].need_per_s);
}
