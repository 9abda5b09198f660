#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <sodium.h>

#include "cnt.h"
#include "peer_wire.h"
#include "rpc_int.h"

#define PORT_FIRST 21900
#define PORT_TRIES 200
#define TEXT_BYTES 700000

/* What the handlers received, and what they serve. */
struct received {
	pthread_mutex_t lock;
	pthread_cond_t wake;
	int messages;
	struct peer_msg last;
	int fetches;
	struct rpc_fetched fetched;
	uint64_t revision;
	size_t len;
};

static struct received received = { .lock = PTHREAD_MUTEX_INITIALIZER,
				    .wake = PTHREAD_COND_INITIALIZER };
static struct rpc *rpc;
static char address[MAG_ADDR_MAX];

static void on_message(void *ctx, const struct peer_msg *msg)
{
	(void)ctx;
	pthread_mutex_lock(&received.lock);
	received.messages++;
	received.last = *msg;
	pthread_cond_signal(&received.wake);
	pthread_mutex_unlock(&received.lock);
}

static int on_serve(void *ctx, uint64_t min_revision, uint64_t *revision,
		    char **text, size_t *len)
{
	size_t i;

	(void)ctx;
	if (min_revision > received.revision)
		return -1;
	*text = malloc(received.len + 1);
	for (i = 0; i < received.len; i++)
		(*text)[i] = (char)('a' + i * 7 % 26);
	*revision = received.revision;
	*len = received.len;
	return 0;
}

static int on_edits(void *ctx, uint64_t base_revision, uint64_t *revision,
		    char **text, size_t *len)
{
	(void)ctx;
	if (base_revision < 10)
		return -1;
	*text = strdup("edits");
	*len = strlen(*text);
	*revision = received.revision;
	return 0;
}

static void on_fetched(void *ctx, const struct rpc_fetched *fetched)
{
	(void)ctx;
	pthread_mutex_lock(&received.lock);
	received.fetches++;
	received.fetched = *fetched;
	pthread_cond_signal(&received.wake);
	pthread_mutex_unlock(&received.lock);
}

static int set_up(void **state)
{
	struct rpc_settings settings = { .cluster = "test",
					 .fetch_timeout_us = 4 * MAG_US_PER_S };
	struct rpc_handlers handlers = { on_message, on_serve, on_edits,
					 on_fetched, NULL };
	int port = PORT_FIRST + getpid() % 1000;
	int i;

	(void)state;
	for (i = 0; i < PORT_TRIES; i++) {
		snprintf(address, sizeof(address), "127.0.0.1:%d", port + i);
		memcpy(settings.listen, address, sizeof(address));
		if (rpc_start(&settings, &handlers, &rpc) == RPC_OK)
			return 0;
	}
	return -1;
}

static int tear_down(void **state)
{
	(void)state;
	rpc_stop(rpc);
	return 0;
}

static void wait_for(const int *count, int wanted)
{
	pthread_mutex_lock(&received.lock);
	while (*count < wanted)
		pthread_cond_wait(&received.wake, &received.lock);
	pthread_mutex_unlock(&received.lock);
}

static struct peer_msg full_message(void)
{
	struct peer_msg msg = { .version = PEER_VERSION,
				.cluster = 7,
				.sender = UINT64_C(0x123456789abcdef0),
				.incarnation = UINT64_MAX,
				.seq = 5,
				.flags = PEER_F_INTRO | PEER_F_RAIL1,
				.next_ms = 250,
				.revision = 1u << 31,
				.name = "i1",
				.data_centre = "d1",
				.address = "127.0.0.1:1",
				.record_count = 2,
				.demand_count = PEER_DEMANDS_MAX };

	msg.records[0].kind = PEER_REC_LEAVING;
	mag_copy_name(msg.records[0].endpoint, MAG_NAME_MAX, "e1");
	msg.records[0].leaving = true;
	msg.records[0].version = 3;
	msg.records[1].kind = PEER_REC_QUARANTINE;
	memset(msg.records[1].fingerprint, 0xab, MAG_DIGEST_BYTES);
	msg.records[1].remaining_ms = 1000;
	msg.demands[PEER_DEMANDS_MAX - 1].limit = 9;
	msg.demands[PEER_DEMANDS_MAX - 1].demand = 2.5F;
	return msg;
}

/* A heartbeat arrives with every field unchanged. */
static void test_heartbeat(void **state)
{
	struct peer_msg msg = full_message();

	(void)state;
	assert_int_equal(rpc_send(rpc, address, &msg), RPC_OK);
	wait_for(&received.messages, 1);
	assert_memory_equal(&msg, &received.last, sizeof(msg));
}

/*
 * A broken network or a foreign program sends datagrams that are truncated,
 * changed in any byte, too long or not messages at all.  They are dropped or
 * decode within their bounds, and the next heartbeat is received.
 */
static void test_malformed(void **state)
{
	struct peer_msg msg = full_message();
	struct peer_msg out;
	char buf[PEER_WIRE_MAX];
	char bad[PEER_WIRE_MAX];
	int len = peer_wire_encode(&msg, 1, buf, sizeof(buf));
	uint64_t dropped = cnt_get(CNT_RPC_MALFORMED);
	struct sockaddr_in to;
	int before = received.messages;
	int i;

	(void)state;
	for (i = 0; i < len; i++)
		assert_int_not_equal(peer_wire_decode(buf, (size_t)i, &out), 0);
	for (i = 0; i < 255 * len; i++) {
		memcpy(bad, buf, (size_t)len);
		bad[i % len] = (char)(bad[i % len] + 1 + i / len);
		if (peer_wire_decode(bad, (size_t)len, &out) == 0) {
			assert_in_range(out.record_count, 0, PEER_RECORDS_MAX);
			assert_in_range(out.demand_count, 0, PEER_DEMANDS_MAX);
		}
	}
	rpc_parse_address(address, &to);
	sendto(rpc->udp, buf, (size_t)len - 1, 0, (struct sockaddr *)&to,
	       sizeof(to));
	rpc_send(rpc, address, &msg);
	wait_for(&received.messages, before + 1);
	assert_int_equal(cnt_get(CNT_RPC_MALFORMED), dropped + 1);
}

/*
 * Bits of a heartbeat are inverted on its way, or bytes overwritten.  What is
 * accepted is the heartbeat that was sent, so that no false value reaches a
 * receiver: some are kept until the sender restarts, and some are passed on.
 */
static void test_altered(void **state)
{
	struct peer_msg msg = full_message();
	struct peer_msg out;
	char buf[PEER_WIRE_MAX];
	char bad[PEER_WIRE_MAX];
	int len = peer_wire_encode(&msg, 1, buf, sizeof(buf));
	uint64_t seed = 7;
	int i;

	(void)state;
	for (i = 0; i < 8 * len; i++) {
		memcpy(bad, buf, (size_t)len);
		bad[i / 8] ^= (char)(1 << i % 8);
		if (peer_wire_decode(bad, (size_t)len, &out) == 0)
			assert_memory_equal(&out, &msg, sizeof(msg));
	}
	for (i = 0; i < 100000; i++) {
		int changes = 2 + (int)(mag_random(&seed) % 7);

		memcpy(bad, buf, (size_t)len);
		while (changes-- > 0) {
			size_t at = mag_random(&seed) % (uint64_t)len;

			bad[at] = (char)(i % 2 ? 0xff
					       : bad[at] ^ 1 << mag_random(
									&seed) %
									   8);
		}
		if (peer_wire_decode(bad, (size_t)len, &out) == 0)
			assert_memory_equal(&out, &msg, sizeof(msg));
	}
}

/*
 * While instances are replaced by those of a newer release, heartbeats of the
 * earlier one have no hash: the flavours of credentials and verifier are 0.
 * They are accepted, as otherwise each half of the fleet would count the other
 * as down.  The hash is all by which the two releases differ.
 */
static void test_earlier_release(void **state)
{
	enum {
		CRED_FLAVOUR_AT = 24,
		VERF_FLAVOUR_AT = 32,
		FLAVOUR_BYTES = 4
	};
	struct peer_msg msg = full_message();
	struct peer_msg out;
	char buf[PEER_WIRE_MAX];
	int len = peer_wire_encode(&msg, 1, buf, sizeof(buf));

	(void)state;
	memset(buf + CRED_FLAVOUR_AT, 0, FLAVOUR_BYTES);
	assert_int_not_equal(peer_wire_decode(buf, (size_t)len, &out), 0);
	memset(buf + VERF_FLAVOUR_AT, 0, FLAVOUR_BYTES);
	assert_int_equal(peer_wire_decode(buf, (size_t)len, &out), 0);
	assert_memory_equal(&out, &msg, sizeof(msg));
}

/* The complete text arrives in pieces from a peer that is the only source. */
static void test_fetch(void **state)
{
	char *text;
	uint64_t revision;
	size_t len;
	int before = received.fetches;

	(void)state;
	received.revision = 12;
	received.len = TEXT_BYTES;
	assert_int_equal(rpc_fetch(rpc, address, 11, 0), RPC_OK);
	wait_for(&received.fetches, before + 1);
	assert_int_equal(received.fetched.err, RPC_OK);
	assert_int_equal(received.fetched.revision, 12);
	assert_int_equal(received.fetched.len, TEXT_BYTES);
	on_serve(NULL, 0, &revision, &text, &len);
	assert_memory_equal(received.fetched.text, text, TEXT_BYTES);
	free(text);
	free(received.fetched.text);
}

/*
 * A caller that has a revision gets edits to it.  It gets the complete text if
 * the peer has no edits from that revision, or only to one that is too old.
 */
static void test_fetch_edits(void **state)
{
	int before = received.fetches;

	(void)state;
	assert_int_equal(rpc_fetch(rpc, address, 12, 11), RPC_OK);
	wait_for(&received.fetches, before + 1);
	assert_int_equal(received.fetched.err, RPC_OK);
	assert_int_equal(received.fetched.base_revision, 11);
	assert_int_equal(received.fetched.revision, 12);
	assert_string_equal(received.fetched.text, "edits");
	free(received.fetched.text);
	assert_int_equal(rpc_fetch(rpc, address, 12, 9), RPC_OK);
	wait_for(&received.fetches, before + 2);
	assert_int_equal(received.fetched.err, RPC_OK);
	assert_int_equal(received.fetched.base_revision, 0);
	assert_int_equal(received.fetched.len, TEXT_BYTES);
	free(received.fetched.text);
	assert_int_equal(rpc_fetch(rpc, address, 13, 11), RPC_OK);
	wait_for(&received.fetches, before + 3);
	assert_int_equal(received.fetched.err, RPC_E_NO_REVISION);
}

/* A peer that lacks the revision reports that. */
static void test_fetch_none(void **state)
{
	int before = received.fetches;

	(void)state;
	assert_int_equal(rpc_fetch(rpc, address, 13, 0), RPC_OK);
	wait_for(&received.fetches, before + 1);
	assert_int_equal(received.fetched.err, RPC_E_NO_REVISION);
	assert_null(received.fetched.text);
}

/* A text that exceeds the size bound is rejected, whatever a peer sends. */
static void test_fetch_bound(void **state)
{
	int before = received.fetches;

	(void)state;
	received.len = (16u << 20) + 1;
	assert_int_equal(rpc_fetch(rpc, address, 11, 0), RPC_OK);
	wait_for(&received.fetches, before + 1);
	assert_int_equal(received.fetched.err, RPC_E_REPLY);
}

/*
 * A peer accepts the connection and then stops responding.  The fetch fails at
 * its deadline, so that another peer can be tried.
 */
static void test_fetch_hung(void **state)
{
	struct sockaddr_in local = { .sin_family = AF_INET };
	socklen_t len = sizeof(local);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int before = received.fetches;
	char hung[MAG_ADDR_MAX];

	(void)state;
	local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&local, len), 0);
	assert_int_equal(listen(fd, 1), 0);
	getsockname(fd, (struct sockaddr *)&local, &len);
	snprintf(hung, sizeof(hung), "127.0.0.1:%d", ntohs(local.sin_port));
	assert_int_equal(rpc_fetch(rpc, hung, 1, 0), RPC_OK);
	wait_for(&received.fetches, before + 1);
	assert_int_equal(received.fetched.err, RPC_E_UNREACHABLE);
	close(fd);
	assert_int_equal(rpc_fetch(rpc, hung, 1, 0), RPC_OK);
	wait_for(&received.fetches, before + 2);
	assert_int_equal(received.fetched.err, RPC_E_UNREACHABLE);
}

/*
 * A caller starts a request over the stream and never completes it.  Other
 * callers are still served.
 */
static void test_half_request(void **state)
{
	struct sockaddr_in to;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int before = received.fetches;

	(void)state;
	received.len = 1000;
	rpc_parse_address(address, &to);
	assert_int_equal(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	assert_int_equal(write(fd, "\x80\0\0\x40half", 8), 8);
	assert_int_equal(rpc_fetch(rpc, address, 12, 0), RPC_OK);
	wait_for(&received.fetches, before + 1);
	assert_int_equal(received.fetched.err, RPC_OK);
	free(received.fetched.text);
	close(fd);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_heartbeat),
		cmocka_unit_test(test_malformed),
		cmocka_unit_test(test_altered),
		cmocka_unit_test(test_earlier_release),
		cmocka_unit_test(test_fetch),
		cmocka_unit_test(test_fetch_edits),
		cmocka_unit_test(test_fetch_none),
		cmocka_unit_test(test_fetch_bound),
		cmocka_unit_test(test_fetch_hung),
		cmocka_unit_test(test_half_request),
	};

	if (sodium_init() < 0)
		return 1;
	return cmocka_run_group_tests(tests, set_up, tear_down);
}
