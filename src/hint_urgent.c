#include "hint_urgent.h"
#include "hint_xdr.h"

#define HINT_URGENT_MAGIC   0x4d414755U
#define HINT_URGENT_VERSION 1U

static bool_t hint_urgent_body(XDR *xdr, void *arg);
static bool_t hint_urgent_service(XDR *xdr, struct hint_urgent *service);
static bool_t hint_urgent_report(XDR *xdr, struct urg_report *report);

static const struct hint_xdr hint_urgent_kind = { HINT_URGENT_MAGIC,
						  HINT_URGENT_VERSION,
						  HINT_URGENT_BYTES,
						  hint_urgent_body };

/* Encodes a message into a buffer of HINT_URGENT_BYTES bytes. */
int hint_urgent_encode(struct hint_urgent_message *message, char *bytes,
		       size_t *len)
{
	return hint_xdr_encode(&hint_urgent_kind, message, bytes, len);
}

/*
 * Decodes a message; one of another version, or with a count, an urgency or a
 * need out of range, is rejected as a whole.
 */
int hint_urgent_decode(struct hint_urgent_message *message, char *bytes,
		       size_t len)
{
	return hint_xdr_decode(&hint_urgent_kind, message, bytes, len);
}

/* Encodes or decodes a message behind its version. */
static bool_t hint_urgent_body(XDR *xdr, void *arg)
{
	struct hint_urgent_message *message = arg;
	uint32_t i;

	if (!hint_xdr_name(xdr, message->name) ||
	    !xdr_uint32_t(xdr, &message->count) ||
	    message->count > HINT_URGENT_SERVICES_MAX)
		return FALSE;
	for (i = 0; i < message->count; i++) {
		if (!hint_urgent_service(xdr, &message->services[i]))
			return FALSE;
	}
	return TRUE;
}

static bool_t hint_urgent_service(XDR *xdr, struct hint_urgent *service)
{
	uint32_t i;

	if (!xdr_uint32_t(xdr, &service->service) ||
	    !xdr_uint32_t(xdr, &service->count) ||
	    service->count > HINT_URGENT_REPORTS_MAX)
		return FALSE;
	for (i = 0; i < service->count; i++) {
		if (!hint_urgent_report(xdr, &service->reports[i]))
			return FALSE;
	}
	return TRUE;
}

/* Encodes or decodes a report; a comparison with NaN is false. */
static bool_t hint_urgent_report(XDR *xdr, struct urg_report *report)
{
	uint32_t urgency = 0;
	float need = 0;

	if (xdr->x_op == XDR_ENCODE) {
		urgency = (uint32_t)report->urgency;
		need = (float)report->need_per_s;
	}
	if (!xdr_uint32_t(xdr, &urgency) || urgency > HINT_URGENT_URGENCY_MAX ||
	    !xdr_float(xdr, &need) ||
	    !(need >= 0 && need <= (float)HINT_URGENT_NEED_MAX))
		return FALSE;
	report->urgency = (int)urgency;
	report->need_per_s = (double)need;
	return TRUE;
}

/* Returns what a router reported of a service; NULL if nothing. */
const struct hint_urgent *
hint_urgent_find(const struct hint_urgent_message *message, uint32_t service)
{
	uint32_t i;

	for (i = 0; i < message->count; i++) {
		if (message->services[i].service == service)
			return &message->services[i];
	}
	return NULL;
}
