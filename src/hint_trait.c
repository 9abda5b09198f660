#include "hint_trait.h"
#include "hint_xdr.h"
#include "mag.h"

#define HINT_TRAIT_MAGIC   0x4d414754U
#define HINT_TRAIT_VERSION 1U
/* A report's age in milliseconds is encoded above its flags. */
#define HINT_TRAIT_FLAG_BITS 8
#define HINT_TRAIT_AGE_MAX   0xffffffU
#define HINT_TRAIT_DID_WELL  (1U << 0)
#define HINT_TRAIT_KNOWN     (1U << 1)
#define HINT_TRAIT_HELD	     (1U << 2)
#define HINT_TRAIT_KIND	     (1U << 3)
#define HINT_TRAIT_IN_DOUBT  (1U << 4)

static bool_t hint_trait_body(XDR *xdr, void *arg);
static bool_t hint_trait_report(XDR *xdr, struct quar_trait_report *report);
static uint32_t hint_trait_pack(const struct quar_trait_report *report);

static const struct hint_xdr hint_trait_kind = {
	HINT_TRAIT_MAGIC, HINT_TRAIT_VERSION, HINT_TRAIT_BYTES, hint_trait_body
};

/* Encodes a message into a buffer of HINT_TRAIT_BYTES bytes. */
int hint_trait_encode(struct hint_trait_message *message, char *bytes,
		      size_t *len)
{
	return hint_xdr_encode(&hint_trait_kind, message, bytes, len);
}

/* Decodes a message; one of another version is rejected. */
int hint_trait_decode(struct hint_trait_message *message, char *bytes,
		      size_t len)
{
	return hint_xdr_decode(&hint_trait_kind, message, bytes, len);
}

/* Encodes or decodes a message behind its version. */
static bool_t hint_trait_body(XDR *xdr, void *arg)
{
	struct hint_trait_message *message = arg;
	uint32_t i;

	if (!xdr_uint32_t(xdr, &message->count) ||
	    message->count > HINT_TRAITS_MAX)
		return FALSE;
	for (i = 0; i < message->count; i++) {
		if (!hint_trait_report(xdr, &message->reports[i]))
			return FALSE;
	}
	return TRUE;
}

static bool_t hint_trait_report(XDR *xdr, struct quar_trait_report *report)
{
	uint32_t packed = 0;

	if (xdr->x_op == XDR_ENCODE)
		packed = hint_trait_pack(report);
	if (!xdr_uint64_t(xdr, &report->trait.value) ||
	    !xdr_uint32_t(xdr, &report->trait.service) ||
	    !xdr_uint32_t(xdr, &report->endpoint) ||
	    !xdr_uint32_t(xdr, &report->request) || !xdr_uint32_t(xdr, &packed))
		return FALSE;
	report->age_us =
		(int64_t)(packed >> HINT_TRAIT_FLAG_BITS) * MAG_US_PER_MS;
	report->did_well = (packed & HINT_TRAIT_DID_WELL) != 0;
	report->known = (packed & HINT_TRAIT_KNOWN) != 0;
	report->held = (packed & HINT_TRAIT_HELD) != 0;
	report->in_doubt = (packed & HINT_TRAIT_IN_DOUBT) != 0;
	report->trait.kind =
		packed & HINT_TRAIT_KIND ? QUAR_TRAIT_CONTENT : QUAR_TRAIT_PART;
	return TRUE;
}

/* Returns the age and the flags of a report in one number. */
static uint32_t hint_trait_pack(const struct quar_trait_report *report)
{
	int64_t age_ms = report->age_us / MAG_US_PER_MS;

	if (age_ms > HINT_TRAIT_AGE_MAX)
		age_ms = HINT_TRAIT_AGE_MAX;
	return (uint32_t)age_ms << HINT_TRAIT_FLAG_BITS |
	       (report->did_well ? HINT_TRAIT_DID_WELL : 0) |
	       (report->known ? HINT_TRAIT_KNOWN : 0) |
	       (report->held ? HINT_TRAIT_HELD : 0) |
	       (report->in_doubt ? HINT_TRAIT_IN_DOUBT : 0) |
	       (report->trait.kind == QUAR_TRAIT_CONTENT ? HINT_TRAIT_KIND : 0);
}
