#include <string.h>
#include <strings.h>

#include "ep_header.h"
#include "mag.h"

static bool is_in_list(const char *const *names, size_t count, const char *name,
		       size_t len);

/* Hop-by-hop headers (RFC 9110, section 7.6.1). */
static const char *const hop_by_hop[] = {
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"TE",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
};

/*
 * Headers that the router sets itself or never relays.  The bearer key is only
 * meant for the router.  A caller's idempotency key must not reach an endpoint,
 * which would treat equal keys of two client accounts as the same key.
 */
static const char *const not_relayed[] = {
	"Authorization",
	"Content-Length",
	"Content-Type",
	"Expect",
	"Host",
	"Idempotency-Key",
	"Magnolia-Attempt",
	"Magnolia-Deadline-Ms",
	"Magnolia-Outcome",
	"Magnolia-Request",
	"Idempotent-Replayed",
};

/* Returns whether a caller's header is sent to the endpoint. */
bool ep_header_to_endpoint(const char *name)
{
	size_t len = strlen(name);

	return !is_in_list(hop_by_hop, MAG_ARRAY_SIZE(hop_by_hop), name, len) &&
	       !is_in_list(not_relayed, MAG_ARRAY_SIZE(not_relayed), name, len);
}

/* Returns whether a header of an endpoint's response is sent to the caller. */
bool ep_header_to_caller(const char *name)
{
	return ep_header_to_endpoint(name);
}

static bool is_in_list(const char *const *names, size_t count, const char *name,
		       size_t len)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (strlen(names[i]) == len &&
		    strncasecmp(names[i], name, len) == 0)
			return true;
	}
	return false;
}
