#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "evs.h"

/*
 * Feeds arbitrary bytes as a worker's stream, in pieces of any size.  The
 * events must be complete, equal the input and not depend on the piece size.
 */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Feeds the input in pieces; counts the events' bytes and hashes their ids. */
static void feed(const uint8_t *data, size_t size, size_t piece, size_t *bytes,
		 uint64_t *sum)
{
	struct evs evs = { 0 };
	struct evs_event event;
	size_t at;
	size_t part;
	size_t i;

	*bytes = 0;
	*sum = 0;
	for (at = 0; at < size; at += part) {
		part = size - at < piece ? size - at : piece;
		if (evs_feed(&evs, data + at, part))
			break;
		while (evs_next(&evs, &event)) {
			for (i = 0; i < event.len; i++) {
				if ((uint8_t)event.bytes[i] != data[*bytes + i])
					abort();
			}
			*bytes += event.len;
			*sum = *sum * 31 + (uint64_t)event.id;
		}
	}
	if (*bytes + evs_pending(&evs) != size)
		abort();
	evs_free(&evs);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	uint64_t sum[2];
	size_t bytes[2];

	if (size < 2)
		return 0;
	feed(data + 1, size - 1, size - 1, &bytes[0], &sum[0]);
	feed(data + 1, size - 1, data[0] % 16 + 1, &bytes[1], &sum[1]);
	if (bytes[0] != bytes[1] || sum[0] != sum[1])
		abort();
	return 0;
}
