/*
 * Sends an instance heartbeats that were altered on their way: announces itself
 * to the instance at FROM_PORT as a new peer, takes the heartbeats that it
 * sends, and sends them on to the one at TO_PORT COUNT times, spread over a
 * second, with one to eight bits of each inverted.  Prints how many it sent.
 */
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

#include <arpa/inet.h>
#include <sodium.h>

#include "cap.h"
#include "clk.h"
#include "fk.h"
#include "peer_wire.h"

#define CAPTURED_MAX 8
#define TRIES	     100
#define POLL_US	     (50 * MAG_US_PER_MS)

static struct cap captured;

static int capture(int fd, const struct sockaddr_in *from);

int main(int argc, char **argv)
{
	int fd = socket(AF_INET, SOCK_DGRAM, 0);
	struct cap_datagram datagram;
	struct sockaddr_in from;
	struct sockaddr_in to;
	uint64_t seed;
	int sent = 0;
	int count;
	int i;

	if (argc < 5 || sodium_init() < 0) {
		fprintf(stderr, "usage: tool_heartbeat FROM_PORT TO_PORT COUNT "
				"SEED\n");
		return 1;
	}
	count = atoi(argv[3]);
	seed = strtoull(argv[4], NULL, 10) | 1;
	cap_set_address(&from, argv[1]);
	cap_set_address(&to, argv[2]);
	if (capture(fd, &from)) {
		fprintf(stderr, "no heartbeat was captured\n");
		return 1;
	}
	for (i = 0; i < count; i++) {
		datagram = captured.datagrams[i % captured.count];
		cap_invert_bits(&datagram, &seed);
		sent += sendto(fd, datagram.bytes, datagram.len, 0,
			       (struct sockaddr *)&to, sizeof(to)) >= 0;
		fk_sleep_us(MAG_US_PER_S / count);
	}
	printf("%d\n", sent);
	return 0;
}

/*
 * Announces itself until the instance has sent some heartbeats.  Returns -1 if
 * it sends none.
 */
static int capture(int fd, const struct sockaddr_in *from)
{
	struct peer_msg msg = { .version = PEER_VERSION,
				.incarnation = 1,
				.flags = PEER_F_INTRO,
				.next_ms = 250,
				.name = "captures",
				.data_centre = "dc-a" };
	struct sockaddr_in own;
	socklen_t size = sizeof(own);
	char bytes[PEER_WIRE_MAX];
	int len;
	int i;

	cap_set_address(&own, "0");
	if (bind(fd, (struct sockaddr *)&own, size) ||
	    getsockname(fd, (struct sockaddr *)&own, &size))
		return -1;
	snprintf(msg.address, sizeof(msg.address), "127.0.0.1:%d",
		 ntohs(own.sin_port));
	msg.cluster = (uint32_t)peer_hash("test");
	msg.sender = peer_hash(msg.name);
	for (i = 0; i < TRIES && captured.count < CAPTURED_MAX; i++) {
		msg.seq++;
		len = peer_wire_encode(&msg, 1, bytes, sizeof(bytes));
		(void)sendto(fd, bytes, (size_t)len, 0,
			     (const struct sockaddr *)from, sizeof(*from));
		fk_sleep_us(POLL_US);
		cap_take(&captured, fd, CAPTURED_MAX);
	}
	return captured.count > 0 ? 0 : -1;
}
