#include <civetweb.h>
#include <curl/curl.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

/*
 * Measures the processor time per relayed token and the memory per stream: a
 * server thread sends an event every 40 ms and a client thread receives it, as
 * the two sides of a router do.  Arguments: streams, events per stream, port.
 */

#define EVENT_GAP_US 40000
#define NAME_MAX_LEN 64

static atomic_ulong events;
static atomic_int open_streams;
static int events_wanted;
static int streams;
static char url[NAME_MAX_LEN];
static long rss_kb;

static long rss_now_kb(void)
{
	FILE *file = fopen("/proc/self/statm", "r");
	long total = 0;
	long resident = 0;

	if (file && fscanf(file, "%ld %ld", &total, &resident) != 2)
		resident = 0;
	if (file)
		fclose(file);
	return resident * (sysconf(_SC_PAGESIZE) / 1024);
}

static int on_request(struct mg_connection *conn)
{
	static const char event[] = "data: {\"request\":\"i1-000000000001\","
				    "\"attempt\":1,\"index\":100,"
				    "\"token\":\"bell\"}\n\n";
	int i;

	mg_printf(conn, "HTTP/1.1 200 OK\r\n"
			"Content-Type: text/event-stream\r\n"
			"Transfer-Encoding: chunked\r\n\r\n");
	for (i = 0; i < events_wanted; i++) {
		usleep(EVENT_GAP_US);
		mg_send_chunk(conn, event, sizeof(event) - 1);
		if (i == events_wanted / 2 &&
		    atomic_fetch_add(&open_streams, 1) == streams - 1)
			rss_kb = rss_now_kb();
	}
	mg_send_chunk(conn, "", 0);
	return 200;
}

static size_t on_data(char *data, size_t size, size_t count, void *ctx)
{
	size_t i;

	(void)ctx;
	for (i = 0; i + 1 < size * count; i++) {
		if (data[i] == '\n' && data[i + 1] == '\n')
			atomic_fetch_add(&events, 1);
	}
	return size * count;
}

static void *client(void *arg)
{
	CURL *curl = curl_easy_init();

	(void)arg;
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_perform(curl);
	curl_easy_cleanup(curl);
	return NULL;
}

static double cpu_us(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1e6 +
	       (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

int main(int argc, char **argv)
{
	struct mg_callbacks callbacks = { .begin_request = on_request };
	char threads[16];
	char listen_on[NAME_MAX_LEN];
	const char *options[] = {
		"listening_ports", listen_on, "num_threads", threads,
		"listen_backlog",  "1024",    NULL
	};
	struct mg_context *server;
	pthread_t *clients;
	double start;
	long idle_kb;
	int i;

	if (argc < 4)
		return 1;
	streams = atoi(argv[1]);
	events_wanted = atoi(argv[2]);
	snprintf(threads, sizeof(threads), "%d", streams);
	snprintf(listen_on, sizeof(listen_on), "127.0.0.1:%s", argv[3]);
	snprintf(url, sizeof(url), "http://127.0.0.1:%s/", argv[3]);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	mg_init_library(0);
	server = mg_start(&callbacks, NULL, options);
	clients = calloc((size_t)streams, sizeof(*clients));
	if (!server || !clients)
		return 1;
	idle_kb = rss_now_kb();
	start = cpu_us();
	for (i = 0; i < streams; i++)
		pthread_create(&clients[i], NULL, client, NULL);
	for (i = 0; i < streams; i++)
		pthread_join(clients[i], NULL);
	printf("front\t%d\t%lu\t%.2f\t%ld\t%ld\n", streams,
	       atomic_load(&events),
	       (cpu_us() - start) / (double)atomic_load(&events), idle_kb,
	       rss_kb);
	mg_stop(server);
	free(clients);
	return 0;
}
