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

#define WATCH_WAIT_US	     (20 * MAG_US_PER_S) /* one waiting watch */
#define WATCH_LOOK_US	     (30 * MAG_US_PER_S) /* of one that is no bridge */
#define WATCH_LOAD_PERIOD_US MAG_US_PER_S	 /* the shortest */
#define WATCH_LOADS_PER_S    50			 /* of all instances together */
#define WATCH_BACKOFF_MIN_US (200 * MAG_US_PER_MS)
#define WATCH_BACKOFF_MAX_US (2 * MAG_US_PER_S)
#define WATCH_STALE_US	     (5 * MAG_US_PER_S) /* age of a report without one */

struct watch {
	struct watch_settings settings;
	struct kv_backend backend;
	struct loop *loop;
	struct front *front;
	pthread_t config_thread;
	pthread_t load_thread;
	pthread_mutex_t lock; /* of stopping */
	pthread_cond_t wake;
	bool stopping;
	unsigned int seed;
	atomic_uint_fast64_t revision;
	atomic_bool bridge;
	atomic_uint listed;    /* instances that share the calls */
	pthread_mutex_t offer; /* of rev and base, while a set is taken up */
	bool closed;	       /* under offer: nothing is taken up any more */
	struct rev *rev;
	const struct cfg_set *base; /* in force; the front owns it */
};

static void *config_main(void *arg);
static void *load_main(void *arg);
static int64_t load_period_us(struct watch *watch);
static bool stopping(struct watch *watch);
static void sleep_until(struct watch *watch, int64_t deadline_us);
static int put_in_force(struct watch *watch, struct cfg_set *set);
static int wait_head(struct watch *watch, struct pub *pub);
static int take_config(struct watch *watch, struct pub *pub);
static int take_text(struct watch *watch, const char *text, uint64_t revision);
static void take_loads(struct watch *watch);
static void take_load(struct watch *watch, const json_t *load);
static json_t *fetch(struct watch *watch, enum kv_op op, const char *field);

/* Starts the threads that follow the platform; NULL if that fails. */
struct watch *watch_start(const struct watch_settings *settings,
			  const struct kv_backend *backend, struct loop *loop,
			  struct front *front)
{
	struct watch *watch = calloc(1, sizeof(*watch));
	pthread_condattr_t attr;

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
	pthread_mutex_init(&watch->lock, NULL);
	pthread_mutex_init(&watch->offer, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&watch->wake, &attr);
	pthread_condattr_destroy(&attr);
	if (pthread_create(&watch->config_thread, NULL, config_main, watch))
		abort();
	if (pthread_create(&watch->load_thread, NULL, load_main, watch))
		abort();
	return watch;
}

/* Ends the threads; calls that wait must have been interrupted before. */
void watch_stop(struct watch *watch)
{
	if (!watch)
		return;
	pthread_mutex_lock(&watch->lock);
	watch->stopping = true;
	pthread_cond_broadcast(&watch->wake);
	pthread_mutex_unlock(&watch->lock);
	pthread_join(watch->config_thread, NULL);
	pthread_join(watch->load_thread, NULL);
	pthread_cond_destroy(&watch->wake);
	pthread_mutex_destroy(&watch->lock);
	pthread_mutex_destroy(&watch->offer);
	rev_free(watch->rev);
	free(watch);
}

/*
 * Puts a configuration in force here, unless one as new already is.  The
 * core and the callers' threads each get a copy of their own.  Returns
 * PUB_OK, or a negative enum pub_err if the text was not taken.
 */
int watch_offer(struct watch *watch, const char *text, uint64_t revision)
{
	struct cfg_set *set;
	int err;

	pthread_mutex_lock(&watch->offer);
	err = watch->closed ? PUB_E_DOWN
			    : rev_offer(watch->rev, watch->base, text, revision,
					&set);
	if (err == PUB_OK)
		err = put_in_force(watch, set);
	pthread_mutex_unlock(&watch->offer);
	return err;
}

/*
 * The same with the edits that a peer made from the revision held here;
 * PUB_E_BASE if another one is in force by now.
 */
int watch_offer_edits(struct watch *watch, uint64_t have, const char *edits)
{
	struct cfg_set *set;
	int err;

	pthread_mutex_lock(&watch->offer);
	err = watch->closed ? PUB_E_DOWN
			    : rev_offer_edits(watch->rev, watch->base, have,
					      edits, &set);
	if (err == PUB_OK)
		err = put_in_force(watch, set);
	pthread_mutex_unlock(&watch->offer);
	return err;
}

/*
 * Takes nothing up from here on.  A stop frees the front first, as callers go
 * first; a revision that came in then would be given to what is gone, and the
 * process would crash at the end of a graceful stop.
 */
void watch_close(struct watch *watch)
{
	if (!watch)
		return;
	pthread_mutex_lock(&watch->offer);
	watch->closed = true;
	pthread_mutex_unlock(&watch->offer);
}

/*
 * Hands a set to those who use it.  The lock of offers is held, so that two
 * revisions that come at once are handed over in their order; else the older
 * could replace the newer one in the callers' threads.
 */
static int put_in_force(struct watch *watch, struct cfg_set *set)
{
	struct core_event event = { .type = CORE_EV_CONFIG };

	atomic_store(&watch->revision, set->revision);
	if (cfg_copy(set, &event.config))
		abort();
	/* The front frees the set before; nobody else gives it one. */
	watch->base = set;
	front_set_config(watch->front, set);
	return loop_post(watch->loop, &event) ? PUB_E_MEMORY : PUB_OK;
}

/*
 * Copies the text in force if it is at least as new as asked for.  Returns
 * 0, or -1 if it is not; the caller frees the text.
 */
int watch_text(struct watch *watch, uint64_t at_least, uint64_t *revision,
	       char **text, size_t *len)
{
	const char *held;
	int rc = -1;

	pthread_mutex_lock(&watch->offer);
	held = rev_text(watch->rev);
	if (held && rev_revision(watch->rev) >= at_least) {
		*text = strdup(held);
		*len = strlen(held);
		*revision = rev_revision(watch->rev);
		rc = *text ? 0 : -1;
	}
	pthread_mutex_unlock(&watch->offer);
	return rc;
}

/*
 * Gives the edits that lead from a revision to the one in force.  Returns 0,
 * or -1 if they are not kept; the caller frees the text.
 */
int watch_edits(struct watch *watch, uint64_t have, uint64_t *revision,
		char **text, size_t *len)
{
	pthread_mutex_lock(&watch->offer);
	*text = rev_edits(watch->rev, have);
	*revision = rev_revision(watch->rev);
	pthread_mutex_unlock(&watch->offer);
	*len = *text ? strlen(*text) : 0;
	return *text ? 0 : -1;
}

/*
 * Bridges wait at the head; the others hear of a revision from them and only
 * look now and then.  A waiting watch counts as a call, and at 700 instances
 * one each would be most of what the service takes.
 */
void watch_set_role(struct watch *watch, bool bridge, uint32_t listed)
{
	atomic_store(&watch->bridge, bridge);
	atomic_store(&watch->listed, listed);
	pthread_mutex_lock(&watch->lock);
	pthread_cond_broadcast(&watch->wake);
	pthread_mutex_unlock(&watch->lock);
}

/* Returns the revision in force here, 0 before the first. */
uint64_t watch_revision(const struct watch *watch)
{
	return atomic_load(&watch->revision);
}

/* Reads the head, then waits for the next one, for ever. */
static void *config_main(void *arg)
{
	struct watch *watch = arg;
	struct pub *pub = pub_new(watch->backend);
	int64_t backoff_us = WATCH_BACKOFF_MIN_US;
	int rc;

	while (pub && !stopping(watch)) {
		rc = take_config(watch, pub);
		if (rc == PUB_OK)
			rc = wait_head(watch, pub);
		if (rc == PUB_OK || rc == PUB_E_ABSENT) {
			backoff_us = WATCH_BACKOFF_MIN_US;
			continue;
		}
		/* All instances come back at once after an outage; the
		 * jitter spreads their calls over the service's rate. */
		sleep_until(watch, clk_now_us() + backoff_us / 2 +
					   rand_r(&watch->seed) % backoff_us);
		backoff_us *= 2;
		if (backoff_us > WATCH_BACKOFF_MAX_US)
			backoff_us = WATCH_BACKOFF_MAX_US;
	}
	pub_free(pub);
	return NULL;
}

/* Follows the load reports, which lag anyway. */
static void *load_main(void *arg)
{
	struct watch *watch = arg;
	struct pace pace;

	pace_init(&pace, watch->settings.seed, WATCH_BACKOFF_MIN_US,
		  WATCH_BACKOFF_MAX_US);
	while (!stopping(watch)) {
		take_loads(watch);
		sleep_until(watch, pace_spread(&pace, clk_now_us(),
					       load_period_us(watch)));
	}
	return NULL;
}

/*
 * A fleet that grows asks each instance to look less often.  At one look a
 * second each, 700 instances would use a third of the reads that the platform
 * takes, and the bookings' calls would be refused for their rate.
 */
static int64_t load_period_us(struct watch *watch)
{
	int64_t period = (int64_t)atomic_load(&watch->listed) * MAG_US_PER_S /
			 WATCH_LOADS_PER_S;

	return period > WATCH_LOAD_PERIOD_US ? period : WATCH_LOAD_PERIOD_US;
}

static bool stopping(struct watch *watch)
{
	bool value;

	pthread_mutex_lock(&watch->lock);
	value = watch->stopping;
	pthread_mutex_unlock(&watch->lock);
	return value;
}

static void sleep_until(struct watch *watch, int64_t deadline_us)
{
	struct timespec until = {
		.tv_sec = deadline_us / MAG_US_PER_S,
		.tv_nsec = deadline_us % MAG_US_PER_S * 1000,
	};

	pthread_mutex_lock(&watch->lock);
	if (!watch->stopping)
		pthread_cond_timedwait(&watch->wake, &watch->lock, &until);
	pthread_mutex_unlock(&watch->lock);
}

/* Waits at the head as a bridge, or for the time of the next look. */
static int wait_head(struct watch *watch, struct pub *pub)
{
	if (atomic_load(&watch->bridge))
		return pub_watch(pub, clk_now_us() + WATCH_WAIT_US);
	sleep_until(watch, clk_now_us() + WATCH_LOOK_US);
	return PUB_OK;
}

/* Reads the head and puts it in force if it is newer than what is. */
static int take_config(struct watch *watch, struct pub *pub)
{
	uint64_t revision = 0;
	char *text = NULL;
	int rc;

	rc = pub_read(pub, clk_now_us() + watch->settings.call_timeout_us,
		      &text, &revision);
	if (rc == PUB_E_ABSENT)
		return PUB_OK;
	if (rc == PUB_OK)
		rc = take_text(watch, text, revision);
	free(text);
	return rc;
}

/* Offers what the platform holds; a peer may have been faster. */
static int take_text(struct watch *watch, const char *text, uint64_t revision)
{
	int rc = watch_offer(watch, text, revision);

	if (rc == PUB_E_STALE)
		return PUB_OK;
	return rc == PUB_E_REJECTED ? PUB_E_DAMAGED : rc;
}

static void take_loads(struct watch *watch)
{
	json_t *loads = fetch(watch, KV_LOADS, "loads");
	json_t *load;
	size_t i;

	json_array_foreach (loads, i, load) {
		take_load(watch, load);
	}
	json_decref(loads);
}

static void take_load(struct watch *watch, const json_t *load)
{
	struct core_event event = { .type = CORE_EV_LOAD };
	const char *name = json_string_value(json_object_get(load, "endpoint"));
	const json_t *age = json_object_get(load, "age_ms");
	int64_t age_us = WATCH_STALE_US;

	if (json_is_integer(age))
		age_us = json_integer_value(age) * MAG_US_PER_MS;
	if (!name || mag_copy_name(event.load.endpoint,
				   sizeof(event.load.endpoint), name))
		return;
	event.load.report.tokens_per_s = (uint32_t)json_integer_value(
		json_object_get(load, "tokens_per_s"));
	event.load.report.running =
		(uint32_t)json_integer_value(json_object_get(load, "running"));
	event.load.report.taken_at_us = clk_now_us() - age_us;
	loop_post(watch->loop, &event);
}

/* Gets one list of the platform; NULL if there is none now. */
static json_t *fetch(struct watch *watch, enum kv_op op, const char *field)
{
	struct kv_call call = {
		.op = op,
		.deadline_us = clk_now_us() + watch->settings.call_timeout_us,
	};
	struct kv_reply reply = { .status = KV_UNSENT };
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
