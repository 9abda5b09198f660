#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <urcu/list.h>

#include "crsp.h"
#include "ep_cancel.h"
#include "mag.h"

#define EP_CANCEL_URL_MAX    128
#define EP_CANCEL_TIMEOUT_MS 500L
#define EP_CANCEL_POLL_MS    1000
#define EP_CANCEL_QUEUE_MAX  4096

struct ep_cancel_message {
	struct cds_list_head node;
	char url[EP_CANCEL_URL_MAX];
	char *body;
};

/* A cancellation that is being sent. */
struct ep_cancel_transfer {
	CURL *easy;
	struct crsp response;
};

struct ep_cancel {
	pthread_t thread;
	pthread_mutex_t lock;
	struct cds_list_head queue;
	int queued;
	bool stopping;
	CURLM *multi;
};

static void *cancel_main(void *arg);
static bool cancel_start_queued(struct ep_cancel *cancel);
static void cancel_start(struct ep_cancel *cancel,
			 struct ep_cancel_message *message);
static void cancel_free_done(struct ep_cancel *cancel);

/* Starts the thread; NULL on failure. */
struct ep_cancel *ep_cancel_start(void)
{
	struct ep_cancel *cancel = calloc(1, sizeof(*cancel));

	if (!cancel)
		return NULL;
	CDS_INIT_LIST_HEAD(&cancel->queue);
	pthread_mutex_init(&cancel->lock, NULL);
	cancel->multi = curl_multi_init();
	if (!cancel->multi ||
	    pthread_create(&cancel->thread, NULL, cancel_main, cancel)) {
		curl_multi_cleanup(cancel->multi);
		free(cancel);
		return NULL;
	}
	return cancel;
}

/*
 * Queues a cancellation for an engine.  The request's thread does not wait for
 * the engine's response, since a stage that hangs would delay the resumption of
 * the stream.  Returns 0, or -1 if the cancellation was dropped: the engine
 * then works in vain until the attempt's deadline.
 */
int ep_cancel_post(struct ep_cancel *cancel, const char *address,
		   const char *body)
{
	struct ep_cancel_message *message = calloc(1, sizeof(*message));
	int rc = -1;

	if (!message)
		return -1;
	snprintf(message->url, sizeof(message->url), "http://%s/v1/cancel",
		 address);
	message->body = strdup(body);
	pthread_mutex_lock(&cancel->lock);
	if (message->body && cancel->queued < EP_CANCEL_QUEUE_MAX) {
		cds_list_add_tail(&message->node, &cancel->queue);
		cancel->queued++;
		rc = 0;
	}
	pthread_mutex_unlock(&cancel->lock);
	if (rc) {
		free(message->body);
		free(message);
		return rc;
	}
	curl_multi_wakeup(cancel->multi);
	return 0;
}

/* Sends the queued cancellations, ends the thread and frees the state. */
void ep_cancel_stop(struct ep_cancel *cancel)
{
	if (!cancel)
		return;
	pthread_mutex_lock(&cancel->lock);
	cancel->stopping = true;
	pthread_mutex_unlock(&cancel->lock);
	curl_multi_wakeup(cancel->multi);
	pthread_join(cancel->thread, NULL);
	curl_multi_cleanup(cancel->multi);
	pthread_mutex_destroy(&cancel->lock);
	free(cancel);
}

static void *cancel_main(void *arg)
{
	struct ep_cancel *cancel = arg;
	int running = 0;
	bool stopping;

	do {
		stopping = cancel_start_queued(cancel);
		curl_multi_perform(cancel->multi, &running);
		cancel_free_done(cancel);
		if (running || !stopping)
			curl_multi_poll(cancel->multi, NULL, 0,
					EP_CANCEL_POLL_MS, NULL);
	} while (running || !stopping);
	return NULL;
}

/* Starts the queued transfers; returns whether the thread must end. */
static bool cancel_start_queued(struct ep_cancel *cancel)
{
	struct ep_cancel_message *message;
	bool stopping;

	pthread_mutex_lock(&cancel->lock);
	while (!cds_list_empty(&cancel->queue)) {
		message = cds_list_first_entry(&cancel->queue,
					       struct ep_cancel_message, node);
		cds_list_del(&message->node);
		cancel->queued--;
		cancel_start(cancel, message);
	}
	stopping = cancel->stopping;
	pthread_mutex_unlock(&cancel->lock);
	return stopping;
}

static void cancel_start(struct ep_cancel *cancel,
			 struct ep_cancel_message *message)
{
	struct ep_cancel_transfer *transfer = calloc(1, sizeof(*transfer));
	CURL *easy = transfer ? curl_easy_init() : NULL;

	if (easy) {
		transfer->easy = easy;
		curl_easy_setopt(easy, CURLOPT_URL, message->url);
		curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, message->body);
		curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
				 EP_CANCEL_TIMEOUT_MS);
		curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
		curl_easy_setopt(easy, CURLOPT_PROXY, "");
		curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
		crsp_begin_ignored(&transfer->response, easy);
		curl_multi_add_handle(cancel->multi, easy);
	} else {
		free(transfer);
	}
	free(message->body);
	free(message);
}

/* Frees the transfers that have ended; their results are ignored. */
static void cancel_free_done(struct ep_cancel *cancel)
{
	struct ep_cancel_transfer *transfer;
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(cancel->multi, &left)) != NULL) {
		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE,
				  &transfer);
		curl_multi_remove_handle(cancel->multi, transfer->easy);
		curl_easy_cleanup(transfer->easy);
		crsp_free(&transfer->response);
		free(transfer);
	}
}
