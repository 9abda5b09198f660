#include <stdio.h>

#include "ep_int.h"

#define PROBE_URL_MAX	 128
#define PROBE_TIMEOUT_MS 300L

static CURL *probe_start(CURLM *multi, const struct core_stage *stage);
static void probe_wait(CURLM *multi);
static uint32_t probe_find_silent(CURLM *multi, CURL *const *probes, int count);
static size_t probe_discard_body(char *bytes, size_t size, size_t count,
				 void *ctx);

/*
 * Requests the state of every stage of a stalled chain, all in parallel.  A
 * stalled stream does not show which stage stopped: a process that hangs keeps
 * its connections open, and the stages before it merely wait.  If one of those
 * were blamed, the next chain would include the stage that hangs, and the
 * caller would wait for it again.  Returns a bit mask of the stages that did
 * not respond.
 */
uint32_t ep_engine_probe(struct ep_call *call)
{
	const struct core_dispatch *dispatch = call->request->dispatch;
	CURL *probes[MAG_CHAIN_MAX];
	CURLM *multi = curl_multi_init();
	uint32_t silent_stages;
	int i;

	if (!multi)
		return 0;
	for (i = 0; i < dispatch->stage_count; i++)
		probes[i] = probe_start(multi, &dispatch->stages[i]);
	probe_wait(multi);
	silent_stages = probe_find_silent(multi, probes, dispatch->stage_count);
	for (i = 0; i < dispatch->stage_count; i++) {
		if (!probes[i])
			continue;
		curl_multi_remove_handle(multi, probes[i]);
		curl_easy_cleanup(probes[i]);
	}
	curl_multi_cleanup(multi);
	return silent_stages;
}

static CURL *probe_start(CURLM *multi, const struct core_stage *stage)
{
	CURL *easy = curl_easy_init();
	char url[PROBE_URL_MAX];

	if (!easy)
		return NULL;
	snprintf(url, sizeof(url), "http://%s/v1/state", stage->address);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, PROBE_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, probe_discard_body);
	curl_multi_add_handle(multi, easy);
	return easy;
}

static void probe_wait(CURLM *multi)
{
	int running = 0;

	do {
		curl_multi_perform(multi, &running);
		if (running)
			curl_multi_poll(multi, NULL, 0, PROBE_TIMEOUT_MS, NULL);
	} while (running);
}

/* A stage that sends any response is alive, whatever the status. */
static uint32_t probe_find_silent(CURLM *multi, CURL *const *probes, int count)
{
	uint32_t silent_stages = 0;
	CURLMsg *msg;
	int left;
	int i;

	while ((msg = curl_multi_info_read(multi, &left)) != NULL) {
		if (msg->msg != CURLMSG_DONE || msg->data.result == CURLE_OK)
			continue;
		for (i = 0; i < count; i++) {
			if (probes[i] == msg->easy_handle)
				silent_stages |= 1U << i;
		}
	}
	return silent_stages;
}

static size_t probe_discard_body(char *bytes, size_t size, size_t count,
				 void *ctx)
{
	(void)bytes;
	(void)ctx;
	return size * count;
}
