#include <string.h>

#include "hint_xdr.h"
#include "jlog.h"
#include "mag.h"

static bool_t hint_xdr_message(XDR *xdr, const struct hint_xdr *kind,
			       void *message);

/* Encodes a message into a buffer of kind->max bytes. */
int hint_xdr_encode(const struct hint_xdr *kind, void *message, char *bytes,
		    size_t *len)
{
	XDR xdr;

	xdrmem_create(&xdr, bytes, (u_int)kind->max, XDR_ENCODE);
	if (!hint_xdr_message(&xdr, kind, message))
		return -1;
	*len = xdr_getpos(&xdr);
	return 0;
}

/* Decodes a message; one of another kind or version is rejected. */
int hint_xdr_decode(const struct hint_xdr *kind, void *message, char *bytes,
		    size_t len)
{
	XDR xdr;

	xdrmem_create(&xdr, bytes, (u_int)len, XDR_DECODE);
	return hint_xdr_message(&xdr, kind, message) ? 0 : -1;
}

/* Encodes or decodes the whole message. */
static bool_t hint_xdr_message(XDR *xdr, const struct hint_xdr *kind,
			       void *message)
{
	uint32_t version = kind->version;
	uint32_t magic = kind->magic;

	return xdr_uint32_t(xdr, &magic) && magic == kind->magic &&
	       xdr_uint32_t(xdr, &version) && version == kind->version &&
	       kind->body(xdr, message);
}

/*
 * Encodes or decodes the name of the sender, an array of MAG_NAME_MAX.  A name
 * that the log could not show as it is, or an empty one, is rejected.
 */
bool_t hint_xdr_name(XDR *xdr, char *name)
{
	char shown[MAG_NAME_MAX];

	return xdr_string(xdr, &name, MAG_NAME_MAX - 1) && name[0] != '\0' &&
	       strcmp(jlog_sanitize(shown, sizeof(shown), name), name) == 0;
}
