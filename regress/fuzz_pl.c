#include <stdint.h>
#include <string.h>

#include "pl_config.h"
#include "pl_header.h"
#include "pl_store.h"
#include "pl_worker.h"

/*
 * Feeds arbitrary bytes to the decoders of the platform's data: configuration,
 * entries and reports of workers, responses of the store.  The first byte
 * selects the decoder.
 */

#define WHY_MAX 256

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Decodes the bytes as the era in a response of the store. */
static void read_era(const char *text, size_t len)
{
	struct hdr_list headers = { 0 };

	if (hdr_add_name(&headers, "Store-Era", 9) == HDR_OK &&
	    hdr_add_value(&headers, text, len) == HDR_OK)
		pl_store_era(&headers);
	hdr_free(&headers);
}

/* Decodes the bytes as every numeric field of requests and responses. */
static void read_fields(const char *text, size_t len)
{
	static const char *const names[] = { "Deadline-Ms",   "Token-Count",
					     "Length-Hint",   "Last-Event-Id",
					     "Server-Limit",  "Retry-After",
					     "Server-Leaving" };
	struct hdr_list headers = { 0 };
	struct pl_request request;
	struct wire_advert advert;
	size_t i;

	for (i = 0; i < MAG_ARRAY_SIZE(names); i++) {
		hdr_add_name(&headers, names[i], strlen(names[i]));
		hdr_add_value(&headers, text, len);
	}
	pl_request_decode(&headers, &request);
	pl_advert_decode(503, &headers, &advert);
	hdr_free(&headers);
}

/* Takes the bytes apart as a configuration, and decodes its parts. */
static void split_config(const char *text, size_t len)
{
	struct pl_config_parts parts;
	struct rt_route route;
	struct rt_set *set;
	char why[WHY_MAX];
	int i;

	if (pl_config_split(text, len, &parts))
		return;
	if (pl_config_decode_head(parts.head, parts.head_len, parts.route_count,
				  &set, why, sizeof(why)) == RT_OK) {
		for (i = 0; i < parts.route_count; i++) {
			memset(&route, 0, sizeof(route));
			pl_config_decode_route(parts.routes[i].at,
					       parts.routes[i].len, set, &route,
					       why, sizeof(why));
			rt_route_drop(&route);
		}
		rt_drop(set);
	}
	pl_config_parts_free(&parts);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct wire_report report;
	const char *text = (const char *)data + 1;
	struct wire_items items;
	struct wire_worker worker;
	struct rt_set *set;
	char why[WHY_MAX];

	if (size < 1)
		return 0;
	switch (data[0] % 6) {
	case 0:
		if (pl_config_decode(text, size - 1, &set, why, sizeof(why)) ==
		    RT_OK) {
			rt_find_route(set, "h.example", "/a/b");
			rt_account_by_key(set, "key");
			rt_drop(set);
		}
		break;
	case 1:
		pl_worker_decode("servers/i-1", text, size - 1, &worker, why,
				 sizeof(why));
		break;
	case 2:
		pl_report_decode(text, size - 1, &report);
		break;
	case 4:
		read_fields(text, size - 1);
		break;
	case 5:
		split_config(text, size - 1);
		break;
	default:
		if (pl_store_items(text, size - 1, &items) == PL_OK)
			pl_store_items_free(&items);
		if (pl_store_item(text, size - 1, &items) == PL_OK)
			pl_store_items_free(&items);
		read_era(text, size - 1);
		break;
	}
	return 0;
}
