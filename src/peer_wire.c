#include <string.h>

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
static bool_t peer_wire_decode_call(XDR *xdr, struct rpc_msg *call);

/*
 * Encodes a heartbeat as an RPC call.  Returns its length, or
 * PEER_WIRE_E_SHORT.
 */
int peer_wire_encode(const struct peer_msg *msg, uint32_t xid, char *buf,
		     size_t size)
{
	struct rpc_msg call;
	struct peer_wire_storage storage;
	mag_x_heartbeat out;
	XDR xdr;
	bool_t ok;
	int len;

	memset(&call, 0, sizeof(call));
	call.rm_xid = xid;
	call.rm_direction = CALL;
	call.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	call.rm_call.cb_prog = MAG_X_PROGRAM;
	call.rm_call.cb_vers = MAG_X_VERSION;
	call.rm_call.cb_proc = MAG_X_HEARTBEAT;
	peer_wire_from_msg(msg, &out, &storage);
	xdrmem_create(&xdr, buf, (u_int)size, XDR_ENCODE);
	ok = xdr_callmsg(&xdr, &call) && xdr_mag_x_heartbeat(&xdr, &out);
	len = (int)xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return ok ? len : PEER_WIRE_E_SHORT;
}

/*
 * Decodes a datagram.  Returns 0, or PEER_WIRE_E_FORMAT for what isn't a
 * heartbeat or exceeds a bound; the contents of msg are then undefined.
 */
int peer_wire_decode(char *buf, size_t len, struct peer_msg *msg)
{
	struct rpc_msg call;
	mag_x_heartbeat in;
	XDR xdr;
	int err = PEER_WIRE_E_FORMAT;

	memset(&in, 0, sizeof(in));
	xdrmem_create(&xdr, buf, (u_int)len, XDR_DECODE);
	if (peer_wire_decode_call(&xdr, &call) &&
	    xdr_mag_x_heartbeat(&xdr, &in) && xdr_getpos(&xdr) == len)
		err = peer_wire_to_msg(&in, msg);
	xdr_destroy(&xdr);
	xdr_free((xdrproc_t)xdr_mag_x_heartbeat, (char *)&in);
	return err;
}

/* Decodes the header of a call and checks that it is a heartbeat. */
static bool_t peer_wire_decode_call(XDR *xdr, struct rpc_msg *call)
{
	char cred[MAX_AUTH_BYTES];
	char verf[MAX_AUTH_BYTES];

	memset(call, 0, sizeof(*call));
	call->rm_call.cb_cred.oa_base = cred;
	call->rm_call.cb_verf.oa_base = verf;
	return xdr_callmsg(xdr, call) && call->rm_direction == CALL &&
	       call->rm_call.cb_rpcvers == RPC_MSG_VERSION &&
	       call->rm_call.cb_prog == MAG_X_PROGRAM &&
	       call->rm_call.cb_vers == MAG_X_VERSION &&
	       call->rm_call.cb_proc == MAG_X_HEARTBEAT;
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
