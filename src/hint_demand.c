#include "hint_demand.h"
#include "hint_xdr.h"

#define HINT_DEMAND_MAGIC   0x4d414744U
#define HINT_DEMAND_VERSION 1U
/* Requests are reported as their number in this many seconds. */
#define HINT_DEMAND_S 100.0

static bool_t hint_demand_body(XDR *xdr, void *arg);

static const struct hint_xdr hint_demand_kind = { HINT_DEMAND_MAGIC,
						  HINT_DEMAND_VERSION,
						  HINT_DEMAND_BYTES,
						  hint_demand_body };

/* Encodes a message into a buffer of HINT_DEMAND_BYTES bytes. */
int hint_demand_encode(struct hint_demand_message *message, char *bytes,
		       size_t *len)
{
	return hint_xdr_encode(&hint_demand_kind, message, bytes, len);
}

/* Decodes a message; one of another version is rejected. */
int hint_demand_decode(struct hint_demand_message *message, char *bytes,
		       size_t len)
{
	return hint_xdr_decode(&hint_demand_kind, message, bytes, len);
}

/* Encodes or decodes a message behind its version. */
static bool_t hint_demand_body(XDR *xdr, void *arg)
{
	struct hint_demand_message *message = arg;
	uint32_t number = 0;
	uint32_t i;

	if (!hint_xdr_name(xdr, message->name) ||
	    !xdr_uint32_t(xdr, &message->count) ||
	    message->count > HINT_DEMANDS_MAX)
		return FALSE;
	for (i = 0; i < message->count; i++) {
		number = (uint32_t)(message->demands[i].per_s * HINT_DEMAND_S);
		if (!xdr_uint32_t(xdr, &message->demands[i].service) ||
		    !xdr_uint32_t(xdr, &number))
			return FALSE;
		message->demands[i].per_s = (double)number / HINT_DEMAND_S;
	}
	return TRUE;
}

/* Returns the requests for a service that a router reported, 0 if it did not.
 */
double hint_demand_find(const struct hint_demand_message *message,
			uint32_t service)
{
	uint32_t i;

	for (i = 0; i < message->count; i++) {
		if (message->demands[i].service == service)
			return message->demands[i].per_s;
	}
	return 0;
}
