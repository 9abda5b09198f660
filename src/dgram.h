#ifndef DGRAM_H
#define DGRAM_H

/*
 * Datagrams between the routers of one deployment.  A trailer tells a datagram
 * that was altered, cut short or sent by a router of another deployment; it
 * detects errors and proves nothing of the sender.  Receivers that do not know
 * the trailer ignore it, as it follows the message.
 */

#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>

#define DGRAM_BODY_MAX	    1400
#define DGRAM_TRAILER_BYTES 20
/* With the headers of UDP and IP it must fit the smallest common MTU, 1450. */
#define DGRAM_BYTES_MAX (DGRAM_BODY_MAX + DGRAM_TRAILER_BYTES)

/* The deployment by which the routers of datagrams are told apart. */
struct dgram_key {
	uint32_t deployment; /* hash of its name */
	unsigned char bytes[16];
};

enum dgram_err {
	DGRAM_OK = 0,
	DGRAM_E_FORM = -1,	 /* no trailer, or one of another form */
	DGRAM_E_LENGTH = -2,	 /* not as long as the trailer says */
	DGRAM_E_DEPLOYMENT = -3, /* of another deployment */
	DGRAM_E_ALTERED = -4,	 /* other bytes than were sent */
};

void dgram_key_init(struct dgram_key *key, const char *deployment);
int dgram_send(int fd, const struct dgram_key *key,
	       const struct sockaddr_in *to, const char *bytes, size_t len);
int dgram_check(const struct dgram_key *key, const char *bytes, size_t *len);

#endif /* DGRAM_H */
