#include <math.h>

#include <rpc/rpc.h>

#include "hint_msg.h"
#include "hint_xdr.h"

#define HINT_MSG_MAGIC	 0x4d414748U
#define HINT_MSG_VERSION 8U
/* A load is encoded as 16 bits of memory, 8 of first hops, 8 of slowdown. */
#define HINT_HELD_UNIT	    1024.0F /* tokens x layers */
#define HINT_HELD_MAX	    0xffffU
#define HINT_FIRST_HOPS_MAX 0xffU
#define HINT_SLOWDOWN_UNIT  (1 / 16.0F)
#define HINT_SLOWDOWN_MAX   0xffU
/* A limit is encoded as 16 bits of requests per second and 16 of age in ms. */
#define HINT_LIMIT_UNIT (1 / 16.0F)
#define HINT_LIMIT_MAX	0xffffU
#define HINT_AGE_MAX	0xffffU
/* A suspicion is encoded as 8 bits of time and 24 of witnesses. */
#define HINT_FOR_UNIT_MS 16U
#define HINT_FOR_MAX	 0xffU
/* A crash is encoded as flags and the time until it expires. */
#define HINT_CRASH_FLAG_BITS 8
#define HINT_LEFT_UNIT_US    10000.0F
#define HINT_LEFT_MAX	     0xffffffU
#define HINT_CRASH_ALONE     (1U << 0)
#define HINT_CRASH_COMPLETED (1U << 1)
/* Longest age of a router's data that is told. */
#define HINT_DATA_AGE_MAX_MS 0x3fffffff
#define HINT_WITNESSES_MASK  ((1U << HINT_WITNESS_BITS) - 1)

static bool_t hint_msg_xdr(XDR *xdr, struct hint_message *message);
static bool_t hint_msg_claim(XDR *xdr, struct hint_message *message);
static bool_t hint_msg_claim_fields(XDR *xdr, struct hint_message *message);
static bool_t hint_msg_loads(XDR *xdr, struct hint_message *message);
static bool_t hint_msg_load(XDR *xdr, struct hint_load *load);
static bool_t hint_msg_crash(XDR *xdr, struct quar_report *report);
static bool_t hint_msg_suspect(XDR *xdr, struct hint_suspect *suspect);
static bool_t hint_msg_limits(XDR *xdr, struct hint_message *message);
static bool_t hint_msg_limit(XDR *xdr, struct hint_limit *limit);
static uint32_t hint_msg_round(float value, float unit, uint32_t max);

/* Encodes a message into a buffer of HINT_BYTES_MAX bytes. */
int hint_msg_encode(struct hint_message *message, char *bytes, size_t *len)
{
	XDR xdr;

	xdrmem_create(&xdr, bytes, HINT_BYTES_MAX, XDR_ENCODE);
	if (!hint_msg_xdr(&xdr, message))
		return -1;
	*len = xdr_getpos(&xdr);
	return 0;
}

/*
 * Returns the field of a router that is ready and whose data was current so
 * long ago; negative: it has none.
 */
uint32_t hint_msg_ready(int64_t data_age_us)
{
	int64_t age_ms = data_age_us / MAG_US_PER_MS;

	if (data_age_us < 0)
		return 1;
	if (age_ms > HINT_DATA_AGE_MAX_MS)
		age_ms = HINT_DATA_AGE_MAX_MS;
	return 1U | ((uint32_t)age_ms + 1) << 1;
}

/* Returns the age of a router's data in microseconds; negative: unknown. */
int64_t hint_msg_data_age(uint32_t ready)
{
	return ((int64_t)(ready >> 1) - 1) * MAG_US_PER_MS;
}

/*
 * Decodes a message; one of another version, or with a field out of its range,
 * is rejected as a whole.
 */
int hint_msg_decode(struct hint_message *message, char *bytes, size_t len)
{
	XDR xdr;

	xdrmem_create(&xdr, bytes, (u_int)len, XDR_DECODE);
	return hint_msg_xdr(&xdr, message) ? 0 : -1;
}

/* Encodes or decodes the whole message. */
static bool_t hint_msg_xdr(XDR *xdr, struct hint_message *message)
{
	uint32_t version = HINT_MSG_VERSION;
	uint32_t magic = HINT_MSG_MAGIC;
	uint32_t i;

	if (!xdr_uint32_t(xdr, &magic) || magic != HINT_MSG_MAGIC ||
	    !xdr_uint32_t(xdr, &version) || version != HINT_MSG_VERSION ||
	    !hint_xdr_name(xdr, message->name) ||
	    !xdr_uint32_t(xdr, &message->ready) ||
	    !hint_msg_claim(xdr, message) || !hint_msg_loads(xdr, message) ||
	    !xdr_uint32_t(xdr, &message->crash_count) ||
	    message->crash_count > HINT_CRASHES_MAX)
		return FALSE;
	for (i = 0; i < message->crash_count; i++) {
		if (!hint_msg_crash(xdr, &message->crashes[i]))
			return FALSE;
	}
	if (!xdr_uint32_t(xdr, &message->suspect_count) ||
	    message->suspect_count > HINT_SUSPECTS_MAX)
		return FALSE;
	for (i = 0; i < message->suspect_count; i++) {
		if (!hint_msg_suspect(xdr, &message->suspects[i]))
			return FALSE;
	}
	return hint_msg_limits(xdr, message) &&
	       xdr_int64_t(xdr, &message->version_era) &&
	       message->version_era >= POS_ERA_NONE;
}

/*
 * The sender's knowledge of the configuration, and the receiver's echoed clock.
 * Times are readings of clocks that start at 0.
 */
static bool_t hint_msg_claim(XDR *xdr, struct hint_message *message)
{
	struct attest_claim *claim = &message->claim;

	return hint_msg_claim_fields(xdr, message) && message->sent_us >= 0 &&
	       message->store_pos.era >= POS_ERA_NONE &&
	       message->store_pos.revision >= 0 && claim->echo_us >= 0 &&
	       claim->age_us >= -1 && claim->version >= -1;
}

static bool_t hint_msg_claim_fields(XDR *xdr, struct hint_message *message)
{
	struct attest_claim *claim = &message->claim;

	return xdr_uint32_t(xdr, &message->session) &&
	       xdr_int64_t(xdr, &message->sent_us) &&
	       xdr_int64_t(xdr, &message->store_pos.era) &&
	       xdr_int64_t(xdr, &message->store_pos.revision) &&
	       xdr_uint32_t(xdr, &claim->session) &&
	       xdr_int64_t(xdr, &claim->echo_us) &&
	       xdr_int64_t(xdr, &claim->age_us) &&
	       xdr_int64_t(xdr, &claim->version);
}

/* One part of the sender's load. */
static bool_t hint_msg_loads(XDR *xdr, struct hint_message *message)
{
	uint32_t i;

	if (!xdr_uint32_t(xdr, &message->part) ||
	    !xdr_uint32_t(xdr, &message->part_count) ||
	    message->part_count > HINT_PARTS_MAX ||
	    message->part >= message->part_count ||
	    !xdr_uint32_t(xdr, &message->load_count) ||
	    message->load_count > HINT_LOADS_MAX)
		return FALSE;
	for (i = 0; i < message->load_count; i++) {
		if (!hint_msg_load(xdr, &message->loads[i]))
			return FALSE;
	}
	return TRUE;
}

static bool_t hint_msg_load(XDR *xdr, struct hint_load *load)
{
	uint32_t packed = 0;

	if (xdr->x_op == XDR_ENCODE) {
		packed = hint_msg_round(load->held, HINT_HELD_UNIT,
					HINT_HELD_MAX)
				 << 16 |
			 hint_msg_round((float)load->first_hops, 1,
					HINT_FIRST_HOPS_MAX)
				 << 8 |
			 hint_msg_round(load->slowdown, HINT_SLOWDOWN_UNIT,
					HINT_SLOWDOWN_MAX);
	}
	if (!xdr_uint32_t(xdr, &load->worker) || !xdr_uint32_t(xdr, &packed))
		return FALSE;
	load->held = (float)(packed >> 16) * HINT_HELD_UNIT;
	load->first_hops = packed >> 8 & HINT_FIRST_HOPS_MAX;
	load->slowdown =
		(float)(packed & HINT_SLOWDOWN_MAX) * HINT_SLOWDOWN_UNIT;
	return TRUE;
}

/*
 * A loss of a worker, or that a suspected request completes, and the time until
 * that expires.
 */
static bool_t hint_msg_crash(XDR *xdr, struct quar_report *report)
{
	uint32_t packed = 0;

	if (xdr->x_op == XDR_ENCODE) {
		packed = hint_msg_round((float)report->left_us,
					HINT_LEFT_UNIT_US, HINT_LEFT_MAX)
			 << HINT_CRASH_FLAG_BITS;
		packed |= (report->alone ? HINT_CRASH_ALONE : 0) |
			  (report->completed ? HINT_CRASH_COMPLETED : 0);
	}
	if (!xdr_opaque(xdr, (char *)report->fingerprint, HINT_DIGEST_BYTES) ||
	    !xdr_uint32_t(xdr, &report->endpoint) ||
	    !xdr_uint32_t(xdr, &packed))
		return FALSE;
	report->left_us = (int64_t)(packed >> HINT_CRASH_FLAG_BITS) *
			  (int64_t)HINT_LEFT_UNIT_US;
	report->alone = (packed & HINT_CRASH_ALONE) != 0;
	report->completed = (packed & HINT_CRASH_COMPLETED) != 0;
	return TRUE;
}

static bool_t hint_msg_suspect(XDR *xdr, struct hint_suspect *suspect)
{
	uint32_t packed = 0;

	if (xdr->x_op == XDR_ENCODE) {
		packed = suspect->for_ms / HINT_FOR_UNIT_MS;
		if (packed > HINT_FOR_MAX)
			packed = HINT_FOR_MAX;
		packed = packed << HINT_WITNESS_BITS |
			 (suspect->witnesses & HINT_WITNESSES_MASK);
	}
	if (!xdr_uint32_t(xdr, &suspect->worker) || !xdr_uint32_t(xdr, &packed))
		return FALSE;
	suspect->for_ms = (packed >> HINT_WITNESS_BITS) * HINT_FOR_UNIT_MS;
	suspect->witnesses = packed & HINT_WITNESSES_MASK;
	return TRUE;
}

/* The sender's data centre and demand, and the worker limits that it knows. */
static bool_t hint_msg_limits(XDR *xdr, struct hint_message *message)
{
	uint32_t i;

	if (!xdr_uint32_t(xdr, &message->data_centre) ||
	    !xdr_uint32_t(xdr, &message->demand) ||
	    !xdr_uint32_t(xdr, &message->limit_count) ||
	    message->limit_count > HINT_LIMITS_MAX)
		return FALSE;
	for (i = 0; i < message->limit_count; i++) {
		if (!hint_msg_limit(xdr, &message->limits[i]))
			return FALSE;
	}
	return TRUE;
}

static bool_t hint_msg_limit(XDR *xdr, struct hint_limit *limit)
{
	uint32_t packed = 0;

	if (xdr->x_op == XDR_ENCODE) {
		packed = hint_msg_round(limit->per_s, HINT_LIMIT_UNIT,
					HINT_LIMIT_MAX)
				 << 16 |
			 (limit->age_ms < HINT_AGE_MAX ? limit->age_ms
						       : HINT_AGE_MAX);
	}
	if (!xdr_uint32_t(xdr, &limit->worker) || !xdr_uint32_t(xdr, &packed))
		return FALSE;
	limit->per_s = (float)(packed >> 16) * HINT_LIMIT_UNIT;
	limit->age_ms = packed & HINT_AGE_MAX;
	return TRUE;
}

/* Rounds a value to whole units, with an upper bound. */
static uint32_t hint_msg_round(float value, float unit, uint32_t max)
{
	float units = roundf(value / unit);

	if (!(units > 0))
		return 0;
	return units < (float)max ? (uint32_t)units : max;
}
