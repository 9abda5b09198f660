#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "eng.h"

#define ENG_STEP_WAIT_MS 5000L
/* The rated speed is reached at a quarter of the concurrency limit. */
#define ENG_BATCH_SHARE 4

double eng_speed = 1;

static int eng_call_next(struct eng_step *step, CURL *curl);

/* Registers an attempt; false if there is a newer one or it was cancelled. */
bool eng_register_attempt(struct eng_endpoint *ep, const char *request,
			  long attempt, bool cancel)
{
	struct eng_attempt *seen = NULL;
	struct eng_attempt *at;
	bool current;

	pthread_mutex_lock(&ep->lock);
	cds_list_for_each_entry (at, &ep->attempts, node) {
		if (strcmp(at->request, request) == 0) {
			seen = at;
			break;
		}
	}
	if (!seen) {
		seen = calloc(1, sizeof(*seen));
		if (!seen || mag_copy_name(seen->request, FK_ID_MAX, request))
			abort();
		cds_list_add(&seen->node, &ep->attempts);
	}
	if (attempt > seen->newest)
		seen->newest = attempt;
	if (cancel && attempt > seen->cancelled)
		seen->cancelled = attempt;
	current = attempt == seen->newest && attempt > seen->cancelled;
	pthread_mutex_unlock(&ep->lock);
	return current;
}

/*
 * Sleeps for the computation time of a token: constant while few tokens are in
 * computation; with more, the endpoint as a whole stays at its rated speed.
 */
static void eng_simulate_compute(struct eng_endpoint *ep, uint32_t first,
				 uint32_t last)
{
	long batch = ep->concurrency / ENG_BATCH_SHARE;
	long now = atomic_fetch_add(&ep->in_steps, 1) + 1;
	double fraction =
		(double)(last - first + 1) / (ep->last - ep->first + 1);
	double seconds;
	long extra = 0;

	if (now < batch)
		now = batch;
	if (now < 1)
		now = 1;
	seconds = (double)now / (double)ep->tokens_per_s * fraction;
	fk_use_fault(ep->fk, "delay_us", &extra);
	fk_sleep_us((int64_t)(seconds * MAG_US_PER_S / eng_speed) + extra);
	atomic_fetch_sub(&ep->in_steps, 1);
}

/* Sleeps for the transfer time of an activation over this endpoint's link. */
static void eng_simulate_transfer(struct eng_endpoint *ep)
{
	double seconds = 0;
	long extra = 0;

	if (ep->link_bytes_per_s)
		seconds = (double)ep->activation_bytes /
			  (double)ep->link_bytes_per_s;
	fk_use_fault(ep->fk, "link_us", &extra);
	fk_sleep_us((int64_t)(seconds * MAG_US_PER_S / eng_speed) + extra);
}

static int eng_fail(struct eng_step *step, size_t stage, const char *why)
{
	step->failed_stage = stage;
	snprintf(step->why, sizeof(step->why), "%s", why);
	return -1;
}

/* Runs this stage's layers for a token, then the following stages. */
int eng_run(struct eng_endpoint *ep, struct eng_step *step, CURL *curl)
{
	json_t *stage = json_array_get(step->chain, step->stage);
	uint32_t first =
		(uint32_t)json_integer_value(json_object_get(stage, "first"));
	uint32_t last =
		(uint32_t)json_integer_value(json_object_get(stage, "last"));
	int64_t start_us = clk_now_us();
	long value = 0;

	if (first < ep->first || last > ep->last || first > last)
		return eng_fail(step, step->stage, "layers not held");
	if (fk_use_fault(ep->fk, "hang_ms", &value))
		fk_sleep_us(value * MAG_US_PER_MS);
	if (fk_use_fault(ep->fk, "die", NULL))
		_exit(ENG_EXIT_DIED);
	if (fk_use_fault(ep->fk, "die_at", &value) &&
	    step->index >= (uint32_t)value)
		_exit(ENG_EXIT_DIED);
	if (step->stage > 0)
		eng_simulate_transfer(ep);
	eng_simulate_compute(ep, first, last);
	step->state = fk_apply_layers(step->state, first, last);
	fk_record("step endpoint=%s request=%s attempt=%ld index=%u first=%u "
		  "last=%u",
		  ep->name, step->request, step->attempt, step->index, first,
		  last);
	step->hops_us[0] = (uint32_t)(clk_now_us() - start_us);
	step->hop_count = 1;
	if (step->stage + 1 < json_array_size(step->chain))
		return eng_call_next(step, curl);
	fk_format_token(step->token, step->state);
	return 0;
}

static size_t eng_on_body(char *data, size_t size, size_t count, void *ctx)
{
	struct eng_response *response = ctx;
	size_t len = size * count;

	if (response->len + len >= sizeof(response->text))
		return 0;
	memcpy(response->text + response->len, data, len);
	response->len += len;
	return len;
}

/* Posts a body; returns the status, or 0 without a complete response. */
long eng_post(CURL *curl, const char *url, const char *body,
	      struct eng_response *response)
{
	long status = 0;

	response->len = 0;
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, eng_on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, response);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, ENG_STEP_WAIT_MS);
	if (curl_easy_perform(curl) != CURLE_OK)
		return 0;
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	return status;
}

/* Reads the token and the hop times from the next stage's response. */
static int eng_read_response(struct eng_step *step, long status,
			     const struct eng_response *response)
{
	json_t *body = json_loadb(response->text, response->len, 0, NULL);
	json_t *hops = json_object_get(body, "hops_us");
	const char *token = json_string_value(json_object_get(body, "token"));
	json_t *failed = json_object_get(body, "stage");
	json_t *hop;
	size_t i;
	int err = 0;

	if (status == 200 && token) {
		snprintf(step->token, sizeof(step->token), "%s", token);
		json_array_foreach (hops, i, hop) {
			if (step->hop_count < MAG_CHAIN_MAX)
				step->hops_us[step->hop_count++] =
					(uint32_t)json_integer_value(hop);
		}
	} else if (failed) {
		err = eng_fail(step, (size_t)json_integer_value(failed),
			       json_string_value(json_object_get(body, "why")));
	} else {
		err = eng_fail(step, step->stage + 1,
			       status ? "refused" : "no answer");
	}
	json_decref(body);
	return err;
}

static int eng_call_next(struct eng_step *step, CURL *curl)
{
	json_t *next = json_array_get(step->chain, step->stage + 1);
	const char *address =
		json_string_value(json_object_get(next, "address"));
	struct eng_response response;
	char url[128];
	char state[24];
	json_t *body;
	char *text;
	int err;

	snprintf(state, sizeof(state), "%016" PRIx64, step->state);
	body = json_pack("{s:s, s:I, s:I, s:s, s:I, s:O}", "request",
			 step->request, "attempt", (json_int_t)step->attempt,
			 "index", (json_int_t)step->index, "state", state,
			 "stage", (json_int_t)step->stage + 1, "chain",
			 step->chain);
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	snprintf(url, sizeof(url), "http://%s/v1/step", address ? address : "");
	err = eng_read_response(step, eng_post(curl, url, text, &response),
				&response);
	free(text);
	return err;
}

/* Returns the times of this stage and the following ones as a list. */
json_t *eng_hops_json(const struct eng_step *step)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < step->hop_count; i++)
		json_array_append_new(list, json_integer(step->hops_us[i]));
	return list;
}
