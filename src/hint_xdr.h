#ifndef HINT_XDR_H
#define HINT_XDR_H

/*
 * What the XDR datagrams of routers have in common: a magic number, a version,
 * and a body that one function encodes and decodes.
 */

#include <stddef.h>
#include <stdint.h>

#include <rpc/rpc.h>

/* One kind of datagram. */
struct hint_xdr {
	uint32_t magic;
	uint32_t version;
	size_t max; /* bytes of a datagram */
	bool_t (*body)(XDR *xdr, void *message);
};

/* Both return a negative number if the message is invalid or does not fit. */
int hint_xdr_encode(const struct hint_xdr *kind, void *message, char *bytes,
		    size_t *len);
int hint_xdr_decode(const struct hint_xdr *kind, void *message, char *bytes,
		    size_t len);
bool_t hint_xdr_name(XDR *xdr, char *name);

#endif /* HINT_XDR_H */
