#include <rpc/rpc.h>

#include "hint_msg.h"

#define HINT_MSG_MAGIC	 0x4d414748U
#define HINT_MSG_VERSION 3U

static bool_t hint_msg_xdr(XDR *xdr, struct hint_message *message);
static bool_t hint_msg_word(XDR *xdr, struct hint_message *message);

/* Writes a message into HINT_BYTES_MAX bytes. */
int hint_msg_encode(struct hint_message *message, char *bytes, size_t *len)
{
	XDR xdr;

	xdrmem_create(&xdr, bytes, HINT_BYTES_MAX, XDR_ENCODE);
	if (!hint_msg_xdr(&xdr, message))
		return -1;
	*len = xdr_getpos(&xdr);
	return 0;
}

/* Reads a message; of another version it is none. */
int hint_msg_decode(struct hint_message *message, char *bytes, size_t len)
{
	XDR xdr;

	xdrmem_create(&xdr, bytes, (u_int)len, XDR_DECODE);
	return hint_msg_xdr(&xdr, message) ? 0 : -1;
}

/* The whole message, in both directions. */
static bool_t hint_msg_xdr(XDR *xdr, struct hint_message *message)
{
	uint32_t version = HINT_MSG_VERSION;
	uint32_t magic = HINT_MSG_MAGIC;
	char *name = message->name;
	uint32_t i;

	if (!xdr_uint32_t(xdr, &magic) || magic != HINT_MSG_MAGIC ||
	    !xdr_uint32_t(xdr, &version) || version != HINT_MSG_VERSION ||
	    !xdr_string(xdr, &name, MAG_NAME_MAX - 1) ||
	    !xdr_uint32_t(xdr, &message->ready) ||
	    !hint_msg_word(xdr, message) ||
	    !xdr_uint32_t(xdr, &message->load_count) ||
	    message->load_count > HINT_LOADS_MAX)
		return FALSE;
	for (i = 0; i < message->load_count; i++) {
		if (!xdr_uint32_t(xdr, &message->loads[i].worker) ||
		    !xdr_float(xdr, &message->loads[i].held) ||
		    !xdr_uint32_t(xdr, &message->loads[i].firsts) ||
		    !xdr_float(xdr, &message->loads[i].slowdown))
			return FALSE;
	}
	if (!xdr_uint32_t(xdr, &message->news_count) ||
	    message->news_count > HINT_NEWS_MAX)
		return FALSE;
	for (i = 0; i < message->news_count; i++) {
		if (!xdr_opaque(xdr, (char *)message->news[i].print,
				MAG_DIGEST_BYTES) ||
		    !xdr_uint32_t(xdr, &message->news[i].lost))
			return FALSE;
	}
	if (!xdr_uint32_t(xdr, &message->suspect_count) ||
	    message->suspect_count > HINT_SUSPECTS_MAX)
		return FALSE;
	for (i = 0; i < message->suspect_count; i++) {
		if (!xdr_uint32_t(xdr, &message->suspects[i]))
			return FALSE;
	}
	return TRUE;
}

/* What the sender knows of the configuration, and the receiver's own clock. */
static bool_t hint_msg_word(XDR *xdr, struct hint_message *message)
{
	struct vch_word *word = &message->word;

	return xdr_uint32_t(xdr, &message->session) &&
	       xdr_int64_t(xdr, &message->stamp_us) &&
	       xdr_int64_t(xdr, &message->revision) &&
	       xdr_uint32_t(xdr, &word->session) &&
	       xdr_int64_t(xdr, &word->echo_us) &&
	       xdr_int64_t(xdr, &word->age_us) &&
	       xdr_int64_t(xdr, &word->version);
}
