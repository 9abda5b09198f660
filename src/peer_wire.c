#include <endian.h>
#include <string.h>

#include <sodium.h>

#include "peer_wire.h"
#include "rpc_gen_magnolia.h"

/* Storage for the lists that a message being encoded points to. */
struct peer_wire_storage {
	mag_x_intro intro;
	mag_x_record news[PEER_RECORDS_MAX];
	mag_x_demand demands[PEER_DEMANDS_MAX];
};

static void peer_wire_from_msg(const struct peer_msg *msg, mag_x_heartbeat *out,
			       struct peer_wire_storage *storage);
static void peer_wire_from_record(const struct peer_record *from,
				  mag_x_record *to);
static int peer_wire_to_msg(const mag_x_heartbeat *in, struct peer_msg *msg);
static int peer_wire_to_record(const mag_x_record *from,
			       struct peer_record *to);
static bool_t peer_wire_decode_call(XDR *xdr, const char *buf, size_t len);
static bool_t peer_wire_check(const struct call_body *call, const char *body,
			      size_t len);
static uint64_t peer_wire_hash(const char *body, size_t len);
static void peer_wire_set_hash(struct call_body *call, uint64_t hash);
static uint64_t peer_wire_get_hash(const struct call_body *call);

/*
 * Encodes a heartbeat as an RPC call.  Its header holds a hash of the rest, by
 * which the receiver tells a heartbeat that was altered on its way.  Returns
 * the length, or PEER_WIRE_E_SHORT.
 */
int peer_wire_encode(const struct peer_msg *msg, uint32_t xid, char *buf,
		     size_t size)
{
	struct rpc_msg call;
	struct peer_wire_storage storage;
	mag_x_heartbeat out;
	XDR xdr;
	bool_t ok;
	u_int body;
	u_int len;

	memset(&call, 0, sizeof(call));
	call.rm_xid = xid;
	call.rm_direction = CALL;
	call.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	call.rm_call.cb_prog = MAG_X_PROGRAM;
	call.rm_call.cb_vers = MAG_X_VERSION;
	call.rm_call.cb_proc = MAG_X_HEARTBEAT;
	peer_wire_from_msg(msg, &out, &storage);
	xdrmem_create(&xdr, buf, (u_int)size, XDR_ENCODE);
	ok = xdr_callmsg(&xdr, &call);
	body = xdr_getpos(&xdr);
	ok = ok && xdr_mag_x_heartbeat(&xdr, &out);
	len = xdr_getpos(&xdr);
	if (ok) {
		peer_wire_set_hash(&call.rm_call,
				   peer_wire_hash(buf + body, len - body));
		ok = xdr_setpos(&xdr, 0) && xdr_callmsg(&xdr, &call);
	}
	xdr_destroy(&xdr);
	return ok ? (int)len : PEER_WIRE_E_SHORT;
}

/*
 * Decodes a datagram.  Returns 0, or PEER_WIRE_E_FORMAT for what isn't a
 * heartbeat, was altered or exceeds a bound; the contents of msg are then
 * undefined.
 */
int peer_wire_decode(char *buf, size_t len, struct peer_msg *msg)
{
	mag_x_heartbeat in;
	XDR xdr;
	int err = PEER_WIRE_E_FORMAT;

	memset(&in, 0, sizeof(in));
	xdrmem_create(&xdr, buf, (u_int)len, XDR_DECODE);
	if (peer_wire_decode_call(&xdr, buf, len) &&
	    xdr_mag_x_heartbeat(&xdr, &in) && xdr_getpos(&xdr) == len)
		err = peer_wire_to_msg(&in, msg);
	xdr_destroy(&xdr);
	xdr_free((xdrproc_t)xdr_mag_x_heartbeat, (char *)&in);
	return err;
}

/*
 * Decodes the header of a call and checks that it is one of a heartbeat and
 * that what follows is as it was sent.
 */
static bool_t peer_wire_decode_call(XDR *xdr, const char *buf, size_t len)
{
	char cred[MAX_AUTH_BYTES];
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg call;
	size_t body;

	memset(&call, 0, sizeof(call));
	call.rm_call.cb_cred.oa_base = cred;
	call.rm_call.cb_verf.oa_base = verf;
	if (!xdr_callmsg(xdr, &call) || call.rm_direction != CALL ||
	    call.rm_call.cb_rpcvers != RPC_MSG_VERSION ||
	    call.rm_call.cb_prog != MAG_X_PROGRAM ||
	    call.rm_call.cb_vers != MAG_X_VERSION ||
	    call.rm_call.cb_proc != MAG_X_HEARTBEAT)
		return FALSE;
	body = xdr_getpos(xdr);
	return peer_wire_check(&call.rm_call, buf + body, len - body);
}

/*
 * Returns whether a heartbeat has the hash that its header holds.  A peer of an
 * earlier release sends none, and would count as down if it were refused.
 */
static bool_t peer_wire_check(const struct call_body *call, const char *body,
			      size_t len)
{
	uint64_t hash = peer_wire_get_hash(call);

	if (call->cb_cred.oa_length || call->cb_verf.oa_length)
		return FALSE;
	return hash == 0 || hash == peer_wire_hash(body, len);
}

/*
 * Returns the hash of a heartbeat; never 0.  It detects errors and proves
 * nothing of the sender, as its key is known.
 */
static uint64_t peer_wire_hash(const char *body, size_t len)
{
	static const uint8_t key[crypto_shorthash_KEYBYTES] = "heartbeat";
	uint64_t hash;

	crypto_shorthash((uint8_t *)&hash, (const uint8_t *)body, len, key);
	hash = le64toh(hash);
	return hash ? hash : 1;
}

/*
 * Puts a hash into the header of a call, as the flavours of its credentials and
 * of its verifier, both of which are empty.  Earlier releases send 0 in both
 * and skip them, so the form and the length of a heartbeat remain theirs.
 */
static void peer_wire_set_hash(struct call_body *call, uint64_t hash)
{
	call->cb_cred.oa_flavor = (enum_t)(uint32_t)(hash >> 32);
	call->cb_verf.oa_flavor = (enum_t)(uint32_t)hash;
}

/* Returns the hash that the header of a call holds; 0: none. */
static uint64_t peer_wire_get_hash(const struct call_body *call)
{
	return (uint64_t)(uint32_t)call->cb_cred.oa_flavor << 32 |
	       (uint32_t)call->cb_verf.oa_flavor;
}

/*
 * Fills the generated struct from a message.  Its strings point into the
 * message and its lists into the storage.
 */
static void peer_wire_from_msg(const struct peer_msg *msg, mag_x_heartbeat *out,
			       struct peer_wire_storage *storage)
{
	uint32_t i;

	memset(out, 0, sizeof(*out));
	out->format = msg->version;
	out->cluster = msg->cluster;
	out->sender = msg->sender;
	out->incarnation = msg->incarnation;
	out->seq = msg->seq;
	out->flags = msg->flags;
	out->next_ms = msg->next_ms;
	out->heard = msg->acked_incarnation;
	out->revision = msg->revision;
	out->news_seq = msg->records_seq;
	out->news_ack = msg->records_ack;
	out->listed = msg->listed_count;
	out->group = msg->group_size;
	out->group_hash = msg->group_hash;
	out->reach_hash = msg->reach_hash;
	out->intro.intro_len = msg->flags & PEER_F_INTRO ? 1 : 0;
	out->intro.intro_val = &storage->intro;
	storage->intro.name = (char *)msg->name;
	storage->intro.data_centre = (char *)msg->data_centre;
	storage->intro.address = (char *)msg->address;
	out->news.news_len = msg->record_count;
	out->news.news_val = storage->news;
	for (i = 0; i < msg->record_count; i++)
		peer_wire_from_record(&msg->records[i], &storage->news[i]);
	out->demands.demands_len = msg->demand_count;
	out->demands.demands_val = storage->demands;
	for (i = 0; i < msg->demand_count; i++) {
		storage->demands[i].limit = msg->demands[i].limit;
		storage->demands[i].demand = msg->demands[i].demand;
	}
}

static void peer_wire_from_record(const struct peer_record *from,
				  mag_x_record *to)
{
	to->kind = (int)from->kind;
	if (from->kind == PEER_REC_LEAVING) {
		to->mag_x_record_u.leaving.endpoint = (char *)from->endpoint;
		to->mag_x_record_u.leaving.leaving = from->leaving;
		to->mag_x_record_u.leaving.edition = from->version;
		return;
	}
	memcpy(to->mag_x_record_u.quarantine.print, from->fingerprint,
	       MAG_DIGEST_BYTES);
	to->mag_x_record_u.quarantine.lost = from->endpoints_lost;
	to->mag_x_record_u.quarantine.remaining_ms = from->remaining_ms;
}

/* Copies a decoded heartbeat; the decoder has checked the list bounds. */
static int peer_wire_to_msg(const mag_x_heartbeat *in, struct peer_msg *msg)
{
	uint32_t i;

	memset(msg, 0, sizeof(*msg));
	msg->version = in->format;
	msg->cluster = in->cluster;
	msg->sender = in->sender;
	msg->incarnation = in->incarnation;
	msg->seq = in->seq;
	msg->flags = in->flags & ~(uint32_t)PEER_F_INTRO;
	msg->next_ms = in->next_ms;
	msg->acked_incarnation = in->heard;
	msg->revision = in->revision;
	msg->records_seq = in->news_seq;
	msg->records_ack = in->news_ack;
	msg->listed_count = in->listed;
	msg->group_size = in->group;
	msg->group_hash = in->group_hash;
	msg->reach_hash = in->reach_hash;
	if (in->intro.intro_len == 1) {
		const mag_x_intro *intro = in->intro.intro_val;

		msg->flags |= PEER_F_INTRO;
		if (mag_copy_name(msg->name, MAG_NAME_MAX, intro->name) ||
		    mag_copy_name(msg->data_centre, MAG_NAME_MAX,
				  intro->data_centre) ||
		    mag_copy_name(msg->address, MAG_ADDR_MAX, intro->address))
			return PEER_WIRE_E_FORMAT;
	}
	msg->record_count = in->news.news_len;
	for (i = 0; i < msg->record_count; i++) {
		if (peer_wire_to_record(&in->news.news_val[i],
					&msg->records[i]))
			return PEER_WIRE_E_FORMAT;
	}
	msg->demand_count = in->demands.demands_len;
	for (i = 0; i < msg->demand_count; i++) {
		msg->demands[i].limit = in->demands.demands_val[i].limit;
		msg->demands[i].demand = in->demands.demands_val[i].demand;
	}
	return 0;
}

static int peer_wire_to_record(const mag_x_record *from, struct peer_record *to)
{
	if (from->kind == PEER_REC_LEAVING) {
		to->kind = PEER_REC_LEAVING;
		to->leaving = from->mag_x_record_u.leaving.leaving;
		to->version = from->mag_x_record_u.leaving.edition;
		return mag_copy_name(to->endpoint, MAG_NAME_MAX,
				     from->mag_x_record_u.leaving.endpoint);
	}
	if (from->kind != PEER_REC_QUARANTINE)
		return PEER_WIRE_E_FORMAT;
	to->kind = PEER_REC_QUARANTINE;
	memcpy(to->fingerprint, from->mag_x_record_u.quarantine.print,
	       MAG_DIGEST_BYTES);
	to->endpoints_lost = from->mag_x_record_u.quarantine.lost;
	to->remaining_ms = from->mag_x_record_u.quarantine.remaining_ms;
	return 0;
}
