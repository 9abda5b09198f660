#include <string.h>
#include <strings.h>

#include "ep_header.h"
#include "mag.h"

static bool listed(const char *const *names, size_t count, const char *name,
		   size_t len);

/* Headers that concern one connection only (RFC 9110, section 7.6.1). */
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
 * What the router sets itself.  A bearer key is between the caller and the
 * router, and a caller's own key must not reach an endpoint, which would hold
 * keys of two accounts for one.
 */
static const char *const set_here[] = {
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

/* Tells whether a caller's header goes to the endpoint. */
bool ep_header_to_endpoint(const char *name)
{
	size_t len = strlen(name);

	return !listed(hop_by_hop, MAG_ARRAY_SIZE(hop_by_hop), name, len) &&
	       !listed(set_here, MAG_ARRAY_SIZE(set_here), name, len);
}

/* Tells whether a line of an endpoint's answer is a header for the caller. */
bool ep_header_to_caller(const char *line, size_t len)
{
	const char *colon = memchr(line, ':', len);

	if (!colon || colon == line)
		return false;
	len = (size_t)(colon - line);
	return !listed(hop_by_hop, MAG_ARRAY_SIZE(hop_by_hop), line, len) &&
	       !listed(set_here, MAG_ARRAY_SIZE(set_here), line, len);
}

static bool listed(const char *const *names, size_t count, const char *name,
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
