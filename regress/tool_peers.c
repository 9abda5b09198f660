/*
 * Simulates routers that join one after the other: sends a router the given
 * number of messages, each from a new peer, one every EVERY_US.  With a name
 * instead, that peer sends one message, in the same session each time, and
 * prints how many losses of quarantined requests the router sends it.
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "clk.h"
#include "dgram.h"
#include "fk.h"
#include "hint_msg.h"

#define EVERY_US  (5 * MAG_US_PER_MS)
#define ANSWER_US (300 * MAG_US_PER_MS)

/* The routers of the scripts are in no named deployment. */
static struct dgram_key key;

/* Prints how many losses the messages hold that have arrived. */
static void print_losses(int fd)
{
	static struct hint_message message;
	char bytes[DGRAM_BYTES_MAX];
	unsigned int losses = 0;
	ssize_t received;
	size_t len;

	while ((received = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT)) > 0) {
		len = (size_t)received;
		if (!dgram_check(&key, bytes, &len) &&
		    !hint_msg_decode(&message, bytes, len))
			losses += message.crash_count;
	}
	printf("%u\n", losses);
}

int main(int argc, char **argv)
{
	static struct hint_message message = {
		.part_count = 1,
		.store_pos = { POS_ERA_NONE, 0 },
	};
	struct sockaddr_in addr = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_DGRAM, 0);
	char bytes[HINT_BYTES_MAX];
	size_t len;
	int i;

	if (argc < 3) {
		fprintf(stderr, "usage: tool_peers PORT COUNT|NAME\n");
		return 1;
	}
	dgram_key_init(&key, "");
	addr.sin_port = htons((uint16_t)atoi(argv[1]));
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (atoi(argv[2]) == 0) {
		snprintf(message.name, sizeof(message.name), "%s", argv[2]);
		message.session = 1;
		if (hint_msg_encode(&message, bytes, &len) ||
		    dgram_send(fd, &key, &addr, bytes, len))
			return 1;
		fk_sleep_us(ANSWER_US);
		print_losses(fd);
		return 0;
	}
	for (i = 0; i < atoi(argv[2]); i++) {
		snprintf(message.name, sizeof(message.name), "peer-%d", i);
		message.session = (uint32_t)i + 1;
		if (hint_msg_encode(&message, bytes, &len) ||
		    dgram_send(fd, &key, &addr, bytes, len))
			return 1;
		fk_sleep_us(EVERY_US);
	}
	return 0;
}
