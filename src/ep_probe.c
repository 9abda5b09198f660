#include <stdio.h>

#include "ep_int.h"

#define PROBE_URL_MAX	 128
#define PROBE_TIMEOUT_MS 300L

/* A request for the state of a stage. */
struct probe {
	CURL *easy;
	struct crsp response;
};

static void probe_start(struct probe *probe, CURLM *multi,
			const struct core_stage *stage);
static void probe_wait(CURLM *multi);
static uint32_t probe_find_silent(CURLM *multi, const struct probe *probes,
				  int count);

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
	struct probe probes[MAG_CHAIN_MAX];
	CURLM *multi = curl_multi_init();
	uint32_t silent_stages;
	int i;

	if (!multi)
		return 0;
	for (i = 0; i < dispatch->stage_count; i++)
		probe_start(&probes[i], multi, &dispatch->stages[i]);
	probe_wait(multi);
	silent_stages = probe_find_silent(multi, probes, dispatch->stage_count);
	for (i = 0; i < dispatch->stage_count; i++) {
		if (!probes[i].easy)
			continue;
		curl_multi_remove_handle(multi, probes[i].easy);
		curl_easy_cleanup(probes[i].easy);
		crsp_free(&probes[i].response);
	}
	curl_multi_cleanup(multi);
	return silent_stages;
}

static void probe_start(struct probe *probe, CURLM *multi,
			const struct core_stage *stage)
{
	CURL *easy = curl_easy_init();
	char url[PROBE_URL_MAX];

	probe->easy = easy;
	if (!easy)
		return;
	snprintf(url, sizeof(url), "http://%s/v1/state", stage->address);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, PROBE_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	crsp_begin_ignored(&probe->response, easy);
	curl_multi_add_handle(multi, easy);
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

/* A stage that sends any valid response is alive, whatever the status. */
static uint32_t probe_find_silent(CURLM *multi, const struct probe *probes,
				  int count)
{
	uint32_t silent_stages = 0;
	CURLMsg *msg;
	int left;
	int i;

	while ((msg = curl_multi_info_read(multi, &left)) != NULL) {
		for (i = 0; i < count && msg->msg == CURLMSG_DONE; i++) {
			if (probes[i].easy == msg->easy_handle &&
			    crsp_result(&probes[i].response,
					msg->data.result) != CURLE_OK)
				silent_stages |= 1U << i;
		}
	}
	return silent_stages;
}
