/*
 * The messages between the instances.  `make generate` writes
 * src/rpc_gen_magnolia* from this file; both are committed.  Every field is
 * bounded here, so a longer one fails to decode.
 */

const MAG_X_NAME = 63;
const MAG_X_ADDRESS = 47;
const MAG_X_DIGEST = 32;
const MAG_X_NEWS = 8;
const MAG_X_DEMANDS = 32;
const MAG_X_PIECE = 262144;

struct mag_x_intro {
	string name<MAG_X_NAME>;
	string data_centre<MAG_X_NAME>;
	string address<MAG_X_ADDRESS>;
};

struct mag_x_leaving {
	string endpoint<MAG_X_NAME>;
	bool leaving;
	unsigned int edition;
};

struct mag_x_quarantine {
	opaque print[MAG_X_DIGEST];
	unsigned int lost;
	unsigned int remaining_ms;
};

union mag_x_record switch (int kind) {
case 0:
	mag_x_leaving leaving;
case 1:
	mag_x_quarantine quarantine;
};

struct mag_x_demand {
	unsigned int limit;
	float demand;
};

struct mag_x_heartbeat {
	unsigned int format;
	unsigned int cluster;
	unsigned hyper sender;
	unsigned hyper incarnation;
	unsigned int seq;
	unsigned int flags;
	unsigned int next_ms;
	unsigned int heard;
	unsigned hyper revision;
	unsigned int news_seq;
	unsigned int news_ack;
	unsigned int listed;
	unsigned int group;
	unsigned int group_hash;
	unsigned int reach_hash;
	mag_x_intro intro<1>;
	mag_x_record news<MAG_X_NEWS>;
	mag_x_demand demands<MAG_X_DEMANDS>;
};

struct mag_x_fetch {
	unsigned int format;
	unsigned int cluster;
	unsigned hyper revision;
	unsigned int offset;
};

struct mag_x_piece {
	int status;
	unsigned hyper revision;
	unsigned int total;
	opaque bytes<MAG_X_PIECE>;
};

program MAG_X_PROGRAM {
	version MAG_X_VERSION {
		void MAG_X_HEARTBEAT(mag_x_heartbeat) = 1;
		mag_x_piece MAG_X_FETCH(mag_x_fetch) = 2;
		/* revision: the one that the asker holds */
		mag_x_piece MAG_X_EDITS(mag_x_fetch) = 3;
	} = 1;
} = 0x20074d41;
