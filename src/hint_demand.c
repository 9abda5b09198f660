#include <rpc/rpc.h>

#include "hint_demand.h"

#define HINT_DEMAND_MAGIC   0x4d414744U
#define HINT_DEMAND_VERSION 1U
/* Requests are reported as their number in this many seconds. */
#define HINT_DEMAND_S 100.0

static bool_t hint_demand_xdr(XDR *xdr, struct hint_demand_message *message);

/* Encodes a message into a buffer of HINT_DEMAND_BYTES bytes. */
int hint_demand_encode(struct hint_demand_message *message, char *bytes,
		       size_t *len)
{
	XDR xdr;

	xdrmem_create(&xdr, bytes, HINT_DEMAND_BYTES, XDR_ENCODE);
	if (!hint_demand_xdr(&xdr, message))
		return -1;
	*len = xdr_getpos(&xdr);
	return 0;
}

/* Decodes a message; one of another version is rejected. */
int hint_demand_decode(struct hint_demand_message *message, char *bytes,
		       size_t len)
{
	XDR xdr;

	xdrmem_create(&xdr, bytes, (u_int)len, XDR_DECODE);
	return hint_demand_xdr(&xdr, message) ? 0 : -1;
}

/* Encodes or decodes the whole message. */
static bool_t hint_demand_xdr(XDR *xdr, struct hint_demand_message *message)
{
	uint32_t version = HINT_DEMAND_VERSION;
	uint32_t magic = HINT_DEMAND_MAGIC;
	char *name = message->name;
	uint32_t number = 0;
	uint32_t i;

	if (!xdr_uint32_t(xdr, &magic) || magic != HINT_DEMAND_MAGIC ||
	    !xdr_uint32_t(xdr, &version) || version != HINT_DEMAND_VERSION ||
	    !xdr_string(xdr, &name, MAG_NAME_MAX - 1) ||
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
