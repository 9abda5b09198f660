#ifndef HINT_DROP_H
#define HINT_DROP_H

/* Datagrams that a router receives and does not use, by the reason. */

#include <netinet/in.h>
#include <stdint.h>

#include <event2/buffer.h>

enum hint_drop_why {
	HINT_DROP_FORM,	      /* without a trailer, or of another form */
	HINT_DROP_LENGTH,     /* cut short, or longer than it was sent */
	HINT_DROP_DEPLOYMENT, /* of another deployment */
	HINT_DROP_ALTERED,    /* other bytes than were sent */
	HINT_DROP_UNREADABLE, /* no message, or a field out of its range */
	HINT_DROP_PEERS,      /* of one peer more than are kept */
	HINT_DROP_OWN_NAME,   /* of a peer with this router's own name */
	HINT_DROP_COUNT
};

struct hint_drops {
	uint64_t counts[HINT_DROP_COUNT];
	uint64_t logged; /* how many of them have been logged */
	int64_t next_log_us;
};

enum hint_drop_why hint_drop_why(int dgram_err);
void hint_drop(struct hint_drops *drops, enum hint_drop_why why,
	       const struct sockaddr_in *from, int64_t now);
void hint_drop_write(const struct hint_drops *drops, struct evbuffer *out);

#endif /* HINT_DROP_H */
