#ifndef PEER_WIRE_H
#define PEER_WIRE_H

/*
 * Encoding of heartbeats as datagrams: each is an ONC RPC call without a
 * reply, in XDR.  libtirpc and rpcgen provide the codecs.
 */

#include <stddef.h>
#include <stdint.h>

#include "peer.h"

#define PEER_WIRE_MAX 4096 /* longest datagram */

enum peer_wire_err {
	PEER_WIRE_E_SHORT = -1,	 /* the buffer is too small */
	PEER_WIRE_E_FORMAT = -2, /* not a heartbeat of this program */
};

int peer_wire_encode(const struct peer_msg *msg, uint32_t xid, char *buf,
		     size_t size);
int peer_wire_decode(char *buf, size_t len, struct peer_msg *msg);

#endif /* PEER_WIRE_H */
