#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <jansson.h>

#include "clk.h"
#include "pace.h"
#include "pub.h"
#include "rev.h"
#include "watch.h"

#define WATCH_CALL_US (20 * MAG_US_PER_S) /* longest wait of one watch call */
/* Between two reads of the head by an instance that is no bridge. */
#define WATCH_POLL_US	     (30 * MAG_US_PER_S)
#define WATCH_LOAD_PERIOD_US MAG_US_PER_S /* shortest period */
#define WATCH_LOADS_PER_S    50		  /* reads by all instances together */
#define WATCH_BACKOFF_MIN_US (200 * MAG_US_PER_MS)
#define WATCH_BACKOFF_MAX_US (2 * MAG_US_PER_S)
#define WATCH_THREADS	     2
/* Assumed age of a load report that doesn't state one. */
#define WATCH_DEFAULT_AGE_US (5 * MAG_US_PER_S)

struct watch {
	struct watch_settings settings;
	struct kv_backend backend;
	struct loop *loop;
	struct front *front;
	pthread_t threads[WATCH_THREADS];
	int thread_count;	   /* that were started */
	pthread_mutex_t stop_lock; /* protects stopping */
	pthread_cond_t wake;
	bool stopping;
	unsigned int seed;
	atomic_uint_fast64_t revision;
	atomic_bool bridge;
	atomic_uint instances;	     /* that share the rate of calls */
	pthread_mutex_t config_lock; /* protects closed, rev and config */
	bool closed;		     /* no configuration is applied any more */
	struct rev *rev;
	const struct cfg_set *config; /* in force; owned by the front */
};

static void *config_main(void *arg);
static void *load_main(void *arg);
static int64_t load_period_us(struct watch *watch);
static bool stopping(struct watch *watch);
static void sleep_until(struct watch *watch, int64_t deadline_us);
static int apply_config(struct watch *watch, struct cfg_set *set);
static int wait_head(struct watch *watch, struct pub *pub);
static int read_config(struct watch *watch, struct pub *pub);
static int offer_text(struct watch *watch, const char *text, uint64_t revision);
static void read_loads(struct watch *watch);
static void post_load(struct watch *watch, const json_t *load);
static json_t *fetch_list(struct watch *watch, enum kv_op op,
			  const char *field);

/*
 * Starts threads that follow the platform; returns NULL if there is no memory
 * or no thread.
 */
struct watch *watch_start(const struct watch_settings *settings,
			  const struct kv_backend *backend, struct loop *loop,
			  struct front *front)
{
	static void *(*const mains[WATCH_THREADS])(void *) = { config_main,
							       load_main };
	struct watch *watch = calloc(1, sizeof(*watch));
	pthread_condattr_t attr;
	int i;

	if (!watch)
		return NULL;
	watch->settings = *settings;
	watch->seed = (unsigned int)settings->seed;
	watch->backend = *backend;
	watch->loop = loop;
	watch->front = front;
	atomic_store(&watch->bridge, true);
	watch->rev = rev_new();
	if (!watch->rev) {
		free(watch);
		return NULL;
	}
	pthread_mutex_init(&watch->stop_lock, NULL);
	pthread_mutex_init(&watch->config_lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&watch->wake, &attr);
	pthread_condattr_destroy(&attr);
	for (i = 0; i < WATCH_THREADS; i++) {
		if (pthread_create(&watch->threads[i], NULL, mains[i], watch)) {
			watch_stop(watch);
			return NULL;
		}
		watch->thread_count++;
	}
	return watch;
}

/* Stops the threads; the caller must have interrupted waiting calls before. */
void watch_stop(struct watch *watch)
{
	int i;

	if (!watch)
		return;
	pthread_mutex_lock(&watch->stop_lock);
	watch->stopping = true;
	pthread_cond_broadcast(&watch->wake);
	pthread_mutex_unlock(&watch->stop_lock);
	for (i = 0; i < watch->thread_count; i++)
		pthread_join(watch->threads[i], NULL);
	pthread_cond_destroy(&watch->wake);
	pthread_mutex_destroy(&watch->stop_lock);
	pthread_mutex_destroy(&watch->config_lock);
	rev_free(watch->rev);
	free(watch);
}

/*
 * Applies a configuration, unless one that is at least as new is in force.
 * The core and the callers' threads each get their own copy of it.  Returns
 * PUB_OK, or a negative enum pub_err if the text was not applied.
 */
int watch_offer(struct watch *watch, const char *text, uint64_t revision)
{
	struct cfg_set *set;
	int err;

	pthread_mutex_lock(&watch->config_lock);
	err = watch->closed ? PUB_E_DOWN
			    : rev_offer(watch->rev, watch->config, text,
					revision, &set);
	if (err == PUB_OK)
		err = apply_config(watch, set);
	pthread_mutex_unlock(&watch->config_lock);
	return err;
}

/*
 * Applies the edits that a peer computed against from_revision.  Returns as
 * watch_offer does, and PUB_E_BASE if another revision is in force by now.
 */
int watch_offer_edits(struct watch *watch, uint64_t from_revision,
		      const char *edits)
{
	struct cfg_set *set;
	int err;

	pthread_mutex_lock(&watch->config_lock);
	err = watch->closed ? PUB_E_DOWN
			    : rev_offer_edits(watch->rev, watch->config,
					      from_revision, edits, &set);
	if (err == PUB_OK)
		err = apply_config(watch, set);
	pthread_mutex_unlock(&watch->config_lock);
	return err;
}

/*
 * Refuses all further configurations.  A graceful stop frees the front first,
 * as callers are closed first.  A revision that arrived after that would be
 * passed to the freed front, and the process would crash.
 */
void watch_close(struct watch *watch)
{
	if (!watch)
		return;
	pthread_mutex_lock(&watch->config_lock);
	watch->closed = true;
	pthread_mutex_unlock(&watch->config_lock);
}

/*
 * Passes a set to the front and the core.  The caller holds config_lock, so
 * that two revisions that arrive at the same time are passed on in order.
 * Otherwise the older one could replace the newer one in the callers' threads.
 */
static int apply_config(struct watch *watch, struct cfg_set *set)
{
	struct core_event event = { .type = CORE_EV_CONFIG };

	atomic_store(&watch->revision, set->revision);
	if (cfg_copy(set, &event.config))
		abort();
	/* The front frees the previous set; only this function sets one. */
	watch->config = set;
	front_set_config(watch->front, set);
	return loop_post(watch->loop, &event) ? PUB_E_MEMORY : PUB_OK;
}

/*
 * Copies the text in force if its revision is at least at_least.  Returns 0,
 * or -1 if it is older; the caller frees the text.
 */
int watch_text(struct watch *watch, uint64_t at_least, uint64_t *revision,
	       char **text, size_t *len)
{
	const char *current;
	int rc = -1;

	pthread_mutex_lock(&watch->config_lock);
	current = rev_text(watch->rev);
	if (current && rev_revision(watch->rev) >= at_least) {
		*text = strdup(current);
		*len = strlen(current);
		*revision = rev_revision(watch->rev);
		rc = *text ? 0 : -1;
	}
	pthread_mutex_unlock(&watch->config_lock);
	return rc;
}

/*
 * Returns the edits that lead from a revision to the one in force.  Returns
 * 0, or -1 if they are not available; the caller frees the text.
 */
int watch_edits(struct watch *watch, uint64_t from_revision, uint64_t *revision,
		char **text, size_t *len)
{
	pthread_mutex_lock(&watch->config_lock);
	*text = rev_edits(watch->rev, from_revision);
	*revision = rev_revision(watch->rev);
	pthread_mutex_unlock(&watch->config_lock);
	*len = *text ? strlen(*text) : 0;
	return *text ? 0 : -1;
}

/*
 * Sets whether this instance is a bridge, and the number of instances.
 * Bridges watch the head of the configuration; the others receive a new
 * revision from them and only poll from time to time.  A waiting watch counts
 * as a call: with 700 instances, one watch each would use most of the calls
 * that the platform accepts.
 */
void watch_set_role(struct watch *watch, bool bridge, uint32_t instances)
{
	atomic_store(&watch->bridge, bridge);
	atomic_store(&watch->instances, instances);
	pthread_mutex_lock(&watch->stop_lock);
	pthread_cond_broadcast(&watch->wake);
	pthread_mutex_unlock(&watch->stop_lock);
}

/* Returns the revision in force; 0 before the first. */
uint64_t watch_revision(const struct watch *watch)
{
	return atomic_load(&watch->revision);
}

/* Reads the head and waits for the next one, until the stop. */
static void *config_main(void *arg)
{
	struct watch *watch = arg;
	struct pub *pub = pub_new(watch->backend);
	int64_t backoff_us = WATCH_BACKOFF_MIN_US;
	int rc;

	while (pub && !stopping(watch)) {
		rc = read_config(watch, pub);
		if (rc == PUB_OK)
			rc = wait_head(watch, pub);
		if (rc == PUB_OK || rc == PUB_E_ABSENT) {
			backoff_us = WATCH_BACKOFF_MIN_US;
			continue;
		}
		/*
		 * After an outage all instances retry at the same time; the
		 * jitter spreads their calls to stay within the platform's
		 * rate limit.
		 */
		sleep_until(watch, clk_now_us() + backoff_us / 2 +
					   rand_r(&watch->seed) % backoff_us);
		backoff_us *= 2;
		if (backoff_us > WATCH_BACKOFF_MAX_US)
			backoff_us = WATCH_BACKOFF_MAX_US;
	}
	pub_free(pub);
	return NULL;
}

/* Polls the load reports; they are delayed anyway, so a watch isn't needed. */
static void *load_main(void *arg)
{
	struct watch *watch = arg;
	struct pace pace;

	pace_init(&pace, watch->settings.seed, WATCH_BACKOFF_MIN_US,
		  WATCH_BACKOFF_MAX_US);
	while (!stopping(watch)) {
		read_loads(watch);
		sleep_until(watch, pace_next_period(&pace, clk_now_us(),
						    load_period_us(watch)));
	}
	return NULL;
}

/*
 * Returns the period of reads of the load reports, which grows with the number
 * of instances.  At one read per second each, 700 instances would use a third
 * of the reads that the platform accepts, and calls for reservations would be
 * refused by its rate limit.
 */
static int64_t load_period_us(struct watch *watch)
{
	int64_t period = (int64_t)atomic_load(&watch->instances) *
			 MAG_US_PER_S / WATCH_LOADS_PER_S;

	return period > WATCH_LOAD_PERIOD_US ? period : WATCH_LOAD_PERIOD_US;
}

static bool stopping(struct watch *watch)
{
	bool value;

	pthread_mutex_lock(&watch->stop_lock);
	value = watch->stopping;
	pthread_mutex_unlock(&watch->stop_lock);
	return value;
}

static void sleep_until(struct watch *watch, int64_t deadline_us)
{
	struct timespec until = {
		.tv_sec = deadline_us / MAG_US_PER_S,
		.tv_nsec = deadline_us % MAG_US_PER_S * 1000,
	};

	pthread_mutex_lock(&watch->stop_lock);
	if (!watch->stopping)
		pthread_cond_timedwait(&watch->wake, &watch->stop_lock, &until);
	pthread_mutex_unlock(&watch->stop_lock);
}

/* Waits for a new head as a bridge, or until the next poll otherwise. */
static int wait_head(struct watch *watch, struct pub *pub)
{
	if (atomic_load(&watch->bridge))
		return pub_watch(pub, clk_now_us() + WATCH_CALL_US);
	sleep_until(watch, clk_now_us() + WATCH_POLL_US);
	return PUB_OK;
}

/* Reads the head and applies it if it is newer than the one in force. */
static int read_config(struct watch *watch, struct pub *pub)
{
	uint64_t revision = 0;
	char *text = NULL;
	int rc;

	rc = pub_read(pub, clk_now_us() + watch->settings.call_timeout_us,
		      &text, &revision);
	if (rc == PUB_E_ABSENT)
		return PUB_OK;
	if (rc == PUB_OK)
		rc = offer_text(watch, text, revision);
	free(text);
	return rc;
}

/* Applies the platform's text; a peer may have sent the same one already. */
static int offer_text(struct watch *watch, const char *text, uint64_t revision)
{
	int rc = watch_offer(watch, text, revision);

	if (rc == PUB_E_STALE)
		return PUB_OK;
	return rc == PUB_E_REJECTED ? PUB_E_DAMAGED : rc;
}

static void read_loads(struct watch *watch)
{
	json_t *loads = fetch_list(watch, KV_LOAD_REPORTS, "loads");
	json_t *load;
	size_t i;

	json_array_foreach (loads, i, load) {
		post_load(watch, load);
	}
	json_decref(loads);
}

static void post_load(struct watch *watch, const json_t *load)
{
	struct core_event event = { .type = CORE_EV_LOAD };
	const char *name = json_string_value(json_object_get(load, "endpoint"));
	const json_t *age = json_object_get(load, "age_ms");
	int64_t age_us = WATCH_DEFAULT_AGE_US;

	if (json_is_integer(age))
		age_us = json_integer_value(age) * MAG_US_PER_MS;
	if (!name || mag_copy_name(event.load.endpoint,
				   sizeof(event.load.endpoint), name))
		return;
	event.load.report.tokens_per_s = (uint32_t)json_integer_value(
		json_object_get(load, "tokens_per_s"));
	event.load.report.running =
		(uint32_t)json_integer_value(json_object_get(load, "running"));
	event.load.report.measured_at_us = clk_now_us() - age_us;
	loop_post(watch->loop, &event);
}

/* Reads one list from the platform; returns NULL if that fails. */
static json_t *fetch_list(struct watch *watch, enum kv_op op, const char *field)
{
	struct kv_call call = {
		.op = op,
		.deadline_us = clk_now_us() + watch->settings.call_timeout_us,
	};
	struct kv_reply reply = { .status = KV_NOT_SENT };
	json_t *root;
	json_t *list;

	watch->backend.call(watch->backend.ctx, &call, &reply);
	root = reply.status == KV_OK
		       ? json_loadb(reply.value, reply.len, 0, NULL)
		       : NULL;
	free(reply.value);
	list = json_incref(json_object_get(root, field));
	json_decref(root);
	if (list && !json_is_array(list)) {
		json_decref(list);
		return NULL;
	}
	return list;
}
