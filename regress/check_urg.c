#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "room.h"
#include "script.h"
#include "urg.h"

#define LINE_MAX_ 256

/* Of the replay. */
#define KINDS	    3
#define EVENTS_MAX  64
#define LOCAL_MAX   256	 /* routers of the modelled data centre */
#define ROUTERS_MAX 1000 /* of all data centres */
#define HELD_MAX    65536
#define WHEEL_STEPS 2048
#define SLICES_MAX  2048
#define START_US    (10 * MAG_US_PER_S)
#define STEP_US	    (5 * MAG_US_PER_MS)
#define TICK_STEPS  2
#define ROUND_US    (150 * MAG_US_PER_MS)
#define ANSWER_US   (50 * MAG_US_PER_MS)
#define HOLD_US	    (3 * MAG_US_PER_S)
#define SLICE_US    (50 * MAG_US_PER_MS)
#define LOCAL_PEERS 32
#define OTHER_PEERS 4
#define EXPIRY_US   (1200 * MAG_US_PER_MS)
#define USE_LIMIT   0.92
/* The requirements: any 2 s, half a second for a new configuration. */
#define WINDOW_SLICES	40
#define MOST_URGENT_MIN 0.95
#define ORDER_MAX	0.05
#define TOTAL_MIN	0.98
#define FLOOR_MIN	(1.0 / 3)
#define SETTLE_US	MAG_US_PER_S
/* Of the admission level, a way that is compared. */
#define LEVEL_USE   0.88
#define LEVEL_DOWN  0.93
#define LEVEL_UP    0.02
#define FIXED_LIMIT 0.86

enum way {
	WAY_NONE,  /* nothing is kept free */
	WAY_FIXED, /* less urgent requests use less of the capacity */
	WAY_LEVEL, /* refuses a part of the requests, the least urgent first */
	WAY_RESERVE, /* urg_reserve */
	WAY_COUNT
};

static const char *const way_names[] = { "none", "fixed", "level", "reserve" };

enum event_kind {
	EVENT_RUN,
	EVENT_RATE,
	EVENT_CAPACITY,
	EVENT_FREEZE,
	EVENT_THAW,
	EVENT_OTHERS,
	EVENT_SWAP,
	EVENT_CALLERS,
	EVENT_SPREAD,
	EVENT_MARK,
};

struct event {
	enum event_kind kind;
	int which;
	double value;
};

/* What a router last received from a peer. */
struct received {
	double held;
	int count;
	struct urg_report reports[KINDS];
};

struct router {
	struct urg urg;
	struct urg_floor floor;
	struct room_load load;
	struct received sent; /* its last message */
	struct received received[ROUTERS_MAX];
	int64_t received_us[ROUTERS_MAX]; /* 0: never */
	int64_t round_us;
	int64_t config_us; /* when it applies the new priorities */
	int cursor;
	double level;
	bool frozen;
};

struct sent {
	int64_t at_us;
	int router;
	bool placed;
	bool lost; /* with its worker */
	bool ended;
	int next; /* that ends in the same step; -1: none */
};

struct slice {
	int asked[KINDS];
	int placed[KINDS];
};

/* Figures of one run. */
struct figures {
	double most_urgent;
	int most_urgent_asked;
	double order;
	int total;
	double floor;
	int refused;
	double least;
};

static struct urg urg;
static struct urg_set set;
static struct urg_floor floor_counts;
static int64_t now;

static struct event events[EVENTS_MAX];
static int event_count;
static int all_routers;
static int centres;
static double loss;
static uint64_t first_seed;

static struct router routers[LOCAL_MAX];
static struct sent sends[HELD_MAX];
static struct slice slices[SLICES_MAX];
static int local;
static int sent_count;
static int answered;
static int wheel[WHEEL_STEPS]; /* first request that ends; -1: none */
static double hold_spread;     /* part of HOLD_US by which times differ */
static int use;
static double capacity;
static double rates[KINDS];
static int priorities[KINDS];
static int old_priorities[KINDS];
static double callers;
static bool others_heard;
static int64_t swapped_us;
static int64_t marked_us;
static uint64_t arrival_seed;
static uint64_t seed;
static enum way way;
static int refused;

static int64_t expiry_us(void)
{
	int64_t us = (local + LOCAL_PEERS - 1) / LOCAL_PEERS * 3 * ROUND_US;

	return us > EXPIRY_US ? us : EXPIRY_US;
}

static int priority(int r, int kind)
{
	return now >= routers[r].config_us ? priorities[kind]
					   : old_priorities[kind];
}

static void deliver(int r, int peer, const struct received *message)
{
	if (routers[r].frozen || mag_random_unit(&seed) < loss)
		return;
	routers[r].received[peer] = *message;
	routers[r].received_us[peer] = now;
}

/* Receives from routers of other data centres, which are like this one's. */
static void receive_others(int r)
{
	int others = all_routers - local;
	double turn = local > LOCAL_PEERS ? (double)LOCAL_PEERS / local : 1;
	int peer;
	int i;

	if (!others_heard)
		return;
	for (i = 0; i < OTHER_PEERS && i < others; i++) {
		if (mag_random_unit(&seed) >= turn)
			continue;
		peer = i;
		if (others > OTHER_PEERS)
			peer = (int)(mag_random_unit(&seed) * others);
		deliver(r, local + peer, &routers[peer % local].sent);
	}
}

/* One round of a router's messages, and the sums of what it received. */
static void hint_round(int r)
{
	struct router *self = &routers[r];
	int64_t oldest_us = expiry_us();
	struct received *peer;
	int known = 1;
	int i;

	self->round_us += ROUND_US;
	self->sent.held = self->load.own;
	self->sent.count = urg_collect(&self->urg, self->sent.reports, KINDS);
	for (i = 0; i < LOCAL_PEERS && i < local - 1; i++) {
		self->cursor = (self->cursor + 1) % local;
		if (self->cursor == r)
			self->cursor = (self->cursor + 1) % local;
		deliver(self->cursor, r, &self->sent);
	}
	receive_others(r);
	self->load.peers = 0;
	self->load.reported_us = 0;
	urg_peers_begin(&self->urg, all_routers);
	for (i = 0; i < all_routers; i++) {
		peer = &self->received[i];
		if (i == r || self->received_us[i] <= now - oldest_us)
			continue;
		urg_peers_add(&self->urg, peer->reports, peer->count);
		if (i >= local)
			continue;
		self->load.peers += peer->held;
		known++;
	}
	self->load.routers = known;
	if (room_held(&self->load, now) > capacity * LEVEL_USE)
		self->level *= LEVEL_DOWN;
	else if (self->level < 1)
		self->level += LEVEL_UP;
}

/* Returns whether the admission level admits a request. */
static bool level_admits(const struct router *self, int urgency)
{
	double all = urg_reserve(&self->urg, INT32_MAX, 1e9);
	double before = urg_reserve(&self->urg, urgency, 1e9);
	double after = urg_reserve(&self->urg, urgency + 1, 1e9);

	return !(after > before) || mag_random_unit(&seed) * (after - before) <
					    self->level * all - before;
}

static bool may_place(struct router *self, int urgency, uint32_t key)
{
	double limit = USE_LIMIT;

	switch (way) {
	case WAY_FIXED:
		if (urgency > 0)
			limit = FIXED_LIMIT;
		break;
	case WAY_LEVEL:
		if (!level_admits(self, urgency))
			return false;
		break;
	case WAY_RESERVE:
		if (!urg_floor_is_below(&self->floor, key, now))
			limit -= urg_reserve(&self->urg, urgency,
					     capacity * centres);
		break;
	default:
		break;
	}
	return room_held(&self->load, now) + 1 <= capacity * limit;
}

static void send(int r, bool placed)
{
	double spread = hold_spread * (2 * mag_random_unit(&seed) - 1);
	int64_t end_us = now + (int64_t)(HOLD_US * (1 + spread));
	int *first = &wheel[end_us / STEP_US % WHEEL_STEPS];
	int at = sent_count++ % HELD_MAX;

	sends[at] = (struct sent){ now, r, placed, false, false, *first };
	*first = at;
}

static void arrive(int kind)
{
	int few = (int)ceil(local * callers);
	int r = (int)(mag_random_unit(&arrival_seed) * few);
	struct slice *slice = &slices[(now - START_US) / SLICE_US];
	struct router *self;
	int urgency;
	bool placed = false;

	while (routers[r].frozen)
		r = (r + 1) % local;
	self = &routers[r];
	urgency = urg_value(-1, priority(r, kind));
	urg_arrived(&self->urg, urgency, 1);
	slice->asked[kind]++;
	if (may_place(self, urgency, (uint32_t)kind)) {
		placed = use < (int)capacity;
		send(r, placed);
		use += placed;
		refused += !placed;
		self->load.own += placed;
	}
	slice->placed[kind] += placed;
	urg_floor_count(&self->floor, (uint32_t)kind, placed, now);
}

static int poisson(double mean)
{
	double limit = exp(-mean);
	double product = mag_random_unit(&arrival_seed);
	int n = 0;

	for (; product > limit; n++)
		product *= mag_random_unit(&arrival_seed);
	return n;
}

/* Ends requests, and passes on what the worker answered to new ones. */
static void answer(void)
{
	int place = (int)(now / STEP_US % WHEEL_STEPS);
	struct router *self;
	int i;

	for (i = wheel[place]; i >= 0; i = sends[i].next) {
		sends[i].ended = true;
		if (!sends[i].placed || sends[i].lost)
			continue;
		use--;
		routers[sends[i].router].load.own--;
	}
	wheel[place] = -1;
	for (; answered < sent_count &&
	       sends[answered % HELD_MAX].at_us + ANSWER_US <= now;
	     answered++) {
		self = &routers[sends[answered % HELD_MAX].router];
		self->load.reported = use;
		self->load.reported_us = now;
	}
}

static void step(int64_t number)
{
	int arrivals;
	int kind;
	int i;

	now += STEP_US;
	answer();
	for (i = 0; i < local; i++) {
		if (now >= routers[i].round_us && routers[i].frozen)
			routers[i].round_us += ROUND_US;
		if (routers[i].frozen)
			continue;
		if (number % TICK_STEPS == 0)
			urg_tick(&routers[i].urg, now);
		if (now >= routers[i].round_us)
			hint_round(i);
	}
	for (kind = 0; kind < KINDS; kind++) {
		arrivals =
			poisson(rates[kind] / centres * STEP_US / MAG_US_PER_S);
		while (arrivals-- > 0)
			arrive(kind);
	}
}

/* Half of the workers or another part are lost with their requests. */
static void set_capacity(double value)
{
	double part = value / centres / capacity;
	int i;

	for (i = 0; i < sent_count && i < HELD_MAX; i++) {
		struct sent *sent = &sends[i];

		if (!sent->placed || sent->lost || sent->ended ||
		    mag_random_unit(&seed) < part)
			continue;
		sent->lost = true;
		use--;
		routers[sent->router].load.own--;
	}
	capacity = value / centres;
}

static void swap(int kind, int other)
{
	int i;

	memcpy(old_priorities, priorities, sizeof(priorities));
	priorities[kind] = old_priorities[other];
	priorities[other] = old_priorities[kind];
	swapped_us = now;
	for (i = 0; i < local; i++)
		routers[i].config_us = now + (int64_t)(mag_random_unit(&seed) *
						       MAG_US_PER_S / 2);
}

static void apply(const struct event *event)
{
	int64_t until_us = now + (int64_t)event->value * MAG_US_PER_MS;
	int i;

	switch (event->kind) {
	case EVENT_RUN:
		while (now < until_us)
			step(now / STEP_US);
		break;
	case EVENT_RATE:
		rates[event->which] = event->value;
		break;
	case EVENT_CAPACITY:
		if (capacity > 0)
			set_capacity(event->value);
		capacity = event->value / centres;
		break;
	case EVENT_FREEZE:
	case EVENT_THAW:
		for (i = 0; i < local * event->value; i++)
			routers[i].frozen = event->kind == EVENT_FREEZE;
		break;
	case EVENT_OTHERS:
		others_heard = event->which;
		break;
	case EVENT_SWAP:
		swap(event->which, (int)event->value);
		break;
	case EVENT_CALLERS:
		callers = event->value;
		break;
	case EVENT_SPREAD:
		hold_spread = event->value;
		break;
	case EVENT_MARK:
		marked_us = now;
		break;
	}
}

/* Starts the replay of one data centre. */
static void reset(int centre)
{
	int i;

	local = all_routers / centres;
	memset(routers, 0, sizeof(routers[0]) * (size_t)local);
	memset(rates, 0, sizeof(rates));
	now = START_US;
	marked_us = START_US;
	seed = first_seed + (uint64_t)centre * 1000;
	arrival_seed = seed + 1;
	sent_count = answered = use = 0;
	hold_spread = 0;
	for (i = 0; i < WHEEL_STEPS; i++)
		wheel[i] = -1;
	capacity = 0;
	callers = 1;
	others_heard = true;
	swapped_us = 0;
	for (i = 0; i < KINDS; i++)
		priorities[i] = old_priorities[i] = i;
	for (i = 0; i < local; i++) {
		urg_init(&routers[i].urg);
		urg_peers_begin(&routers[i].urg, all_routers);
		routers[i].urg.seed = (uint64_t)i;
		urg_set_age(&routers[i].urg,
			    (local + LOCAL_PEERS - 1) / LOCAL_PEERS * ROUND_US);
		urg_floor_init(&routers[i].floor);
		routers[i].floor.seed = (uint64_t)i;
		routers[i].load.routers = 1;
		routers[i].level = 1;
		routers[i].round_us = now + ROUND_US * i / local;
		routers[i].cursor = i;
	}
}

/* Returns the kind of a rank before or after the change of priorities. */
static int kind_of_rank(int rank, bool old)
{
	const int *list = old ? old_priorities : priorities;
	int kind = 0;

	while (list[kind] != rank)
		kind++;
	return kind;
}

static double part_placed(const struct slice *sum, int kind)
{
	return sum->asked[kind] ? (double)sum->placed[kind] / sum->asked[kind]
				: 1;
}

static void add_slice(struct slice *sum, const struct slice *slice, int sign)
{
	int kind;

	for (kind = 0; kind < KINDS; kind++) {
		sum->asked[kind] += sign * slice->asked[kind];
		sum->placed[kind] += sign * slice->placed[kind];
	}
}

/*
 * Returns by how much a less urgent kind was placed more often, at most, in
 * any 2 s that have no change of priorities in them.
 */
static double worst_order(int from, int to)
{
	struct slice sum = { 0 };
	double worst = -1;
	double excess;
	int64_t end_us;
	int rank;
	int i;

	for (i = from; i < to; i++) {
		add_slice(&sum, &slices[i], 1);
		if (i - from >= WINDOW_SLICES)
			add_slice(&sum, &slices[i - WINDOW_SLICES], -1);
		end_us = START_US + (i + 1) * SLICE_US;
		if (i - from < WINDOW_SLICES - 1 ||
		    (swapped_us && end_us > swapped_us &&
		     end_us - WINDOW_SLICES * SLICE_US <
			     swapped_us + SETTLE_US))
			continue;
		for (rank = 1; rank < KINDS; rank++) {
			excess =
				part_placed(
					&sum,
					kind_of_rank(rank,
						     end_us <= swapped_us)) -
				part_placed(&sum,
					    kind_of_rank(rank - 1,
							 end_us <= swapped_us));
			if (excess > worst)
				worst = excess;
		}
	}
	return worst;
}

/* Runs all events in one way, in each data centre, and adds up the requests. */
static struct figures replay(enum way chosen)
{
	struct figures f = { 0 };
	struct slice sum = { 0 };
	int from;
	int to;
	int placed = 0;
	int asked = 0;
	int centre;
	int kind;
	int i;

	way = chosen;
	refused = 0;
	memset(slices, 0, sizeof(slices));
	for (centre = 0; centre < centres; centre++) {
		reset(centre);
		for (i = 0; i < event_count; i++)
			apply(&events[i]);
	}
	from = (int)((marked_us - START_US) / SLICE_US);
	to = (int)((now - START_US) / SLICE_US);
	for (i = from; i < to; i++) {
		add_slice(&sum, &slices[i], 1);
		kind = kind_of_rank(0, START_US + i * SLICE_US < swapped_us);
		f.most_urgent_asked += slices[i].asked[kind];
		placed += slices[i].placed[kind];
	}
	f.most_urgent = (double)placed / f.most_urgent_asked;
	f.order = worst_order(from, to);
	for (kind = 0; kind < KINDS; kind++) {
		f.total += sum.placed[kind];
		asked += sum.asked[kind];
	}
	f.floor = 1;
	for (kind = 0; kind < KINDS; kind++)
		f.floor = fmin(f.floor, part_placed(&sum, kind) /
						((double)f.total / asked));
	f.least = part_placed(&sum, kind_of_rank(KINDS - 1, false));
	f.refused = refused;
	return f;
}

static const char *verdict(bool kept)
{
	return kept ? "ok" : "BROKEN";
}

/*
 * "judge": checks the requirements for the load of the targets; "judge floor":
 * the one for more of the most urgent requests than the capacity.
 */
static void judge(FILE *out, bool floor_only)
{
	struct figures f = replay(WAY_RESERVE);

	if (!floor_only) {
		fprintf(out, "most urgent placed: %s, %.3f of %d\n",
			verdict(f.most_urgent >= MOST_URGENT_MIN),
			f.most_urgent, f.most_urgent_asked);
		fprintf(out, "order in any 2 s: %s, worst %+.3f\n",
			verdict(f.order <= ORDER_MAX), f.order);
	}
	fprintf(out, "floor: %s, %.2f of the fraction of all\n",
		verdict(f.floor >= FLOOR_MIN), f.floor);
}

/* "total": checks that all together are placed no less often. */
static void judge_total(FILE *out)
{
	int none = replay(WAY_NONE).total;
	int total = replay(WAY_RESERVE).total;

	fprintf(out, "all together: %s, %d, %d with nothing kept free\n",
		verdict(total >= none * TOTAL_MIN), total, none);
}

/* "ways": figures of each way. */
static void compare(FILE *out)
{
	struct figures f;
	int i;

	for (i = 0; i < WAY_COUNT; i++) {
		f = replay((enum way)i);
		fprintf(out,
			"%s: most urgent %.3f, least %.3f, order %+.3f, "
			"all %d, floor %.2f, refused by workers %d\n",
			way_names[i], f.most_urgent, f.least, f.order, f.total,
			f.floor, f.refused);
	}
}

static void add_event(enum event_kind kind, int which, double value)
{
	events[event_count++] = (struct event){ kind, which, value };
}

/* Commands of the replay; returns false for another one. */
static bool run_replay_command(const char *line, FILE *out)
{
	double x;
	int a;
	int b;

	if (sscanf(line, "fleet %d %d %lf %d", &a, &b, &x, &event_count) == 4) {
		all_routers = a;
		centres = b;
		loss = x;
		first_seed = (uint64_t)event_count;
		event_count = 0;
	} else if (sscanf(line, "run %lf", &x) == 1) {
		add_event(EVENT_RUN, 0, x);
	} else if (sscanf(line, "rate %d %lf", &a, &x) == 2) {
		add_event(EVENT_RATE, a, x);
	} else if (sscanf(line, "pool %lf", &x) == 1) {
		add_event(EVENT_CAPACITY, 0, x);
	} else if (sscanf(line, "freeze %lf", &x) == 1) {
		add_event(EVENT_FREEZE, 0, x);
	} else if (strncmp(line, "thaw", 4) == 0) {
		add_event(EVENT_THAW, 0, 1);
	} else if (strncmp(line, "others silent", 13) == 0) {
		add_event(EVENT_OTHERS, 0, 0);
	} else if (sscanf(line, "swap %d %d", &a, &b) == 2) {
		add_event(EVENT_SWAP, a, b);
	} else if (sscanf(line, "callers %lf", &x) == 1) {
		add_event(EVENT_CALLERS, 0, x);
	} else if (sscanf(line, "spread %lf", &x) == 1) {
		add_event(EVENT_SPREAD, 0, x);
	} else if (strncmp(line, "mark", 4) == 0) {
		add_event(EVENT_MARK, 0, 0);
	} else if (strncmp(line, "judge", 5) == 0) {
		judge(out, strstr(line, "floor"));
	} else if (strncmp(line, "total", 5) == 0) {
		judge_total(out);
	} else if (strncmp(line, "ways", 4) == 0) {
		compare(out);
	} else {
		return false;
	}
	return true;
}

/* Prints the bounds of the reserve over many requests that arrive. */
static void print_draws(int urgency, double room, FILE *out)
{
	double least = 1;
	double most = 0;
	double reserve;
	int i;

	for (i = 0; i < 1000; i++) {
		urg_arrived(&urg, urgency, 0);
		reserve = urg_reserve(&urg, urgency, room);
		least = fmin(least, reserve);
		most = fmax(most, reserve);
	}
	fprintf(out, "%.3f to %.3f\n", least, most);
}

/* Commands on values and sets; returns false for another one. */
static bool run_set_command(const char *line, FILE *out)
{
	int a;
	int b;

	if (sscanf(line, "value %d %d", &a, &b) == 2)
		fprintf(out, "%d\n", urg_value(a, b));
	else if (strncmp(line, "set", 3) == 0)
		set.count = 0;
	else if (sscanf(line, "add %d", &a) == 1)
		urg_set_add(&set, a);
	else if (sscanf(line, "rank %d", &a) == 1)
		fprintf(out, "rank %d, wire %d\n", urg_set_rank(&set, a),
			urg_set_wire(&set, a));
	else
		return false;
	return true;
}

static void print_reports(FILE *out)
{
	struct urg_report reports[URG_LEVELS_MAX];
	int count = urg_collect(&urg, reports, URG_LEVELS_MAX);
	int i;

	for (i = 0; i < count; i++)
		fprintf(out, "%d: %.1f\n", reports[i].urgency,
			reports[i].need_per_s);
}

/* Ticks for some milliseconds, with a need a second that arrives. */
static void run_demand(int urgency, double per_s, double ms)
{
	int i;

	for (i = 0; i * 10 < ms; i++) {
		urg_arrived(&urg, urgency, per_s / 100);
		now += 10 * MAG_US_PER_MS;
		urg_tick(&urg, now);
	}
}

/* Commands on the demand of one router. */
static void run_demand_command(const char *line, FILE *out)
{
	struct urg_report report;
	double x;
	double y;
	int a;

	if (strncmp(line, "demand", 6) == 0) {
		urg_init(&urg);
		now = START_US;
		urg_tick(&urg, now);
	} else if (sscanf(line, "arrive %d %lf %lf", &a, &x, &y) == 3) {
		run_demand(a, x, y);
	} else if (sscanf(line, "wait %lf", &x) == 1) {
		run_demand(0, 0, x);
	} else if (sscanf(line, "tick %lf", &x) == 1) {
		now += (int64_t)(x * MAG_US_PER_MS);
		urg_tick(&urg, now);
	} else if (sscanf(line, "peers %d", &a) == 1) {
		urg_peers_begin(&urg, a);
	} else if (sscanf(line, "peer %d %lf", &a, &x) == 2) {
		report = (struct urg_report){ a, x };
		urg_peers_add(&urg, &report, 1);
	} else if (strncmp(line, "idle peer", 9) == 0) {
		urg_peers_add(&urg, NULL, 0);
	} else if (sscanf(line, "reserve %d %lf", &a, &x) == 2) {
		fprintf(out, "%.4f\n", urg_reserve(&urg, a, x));
	} else if (sscanf(line, "age %lf", &x) == 1) {
		urg_set_age(&urg, (int64_t)(x * MAG_US_PER_MS));
	} else if (sscanf(line, "draws %d %lf", &a, &x) == 2) {
		print_draws(a, x, out);
	} else if (strncmp(line, "collect", 7) == 0) {
		print_reports(out);
	}
}

/* Commands on the floor; returns false for another one. */
static bool run_floor_command(const char *line, FILE *out)
{
	int key;
	int n;
	int below = 0;

	if (strncmp(line, "floor", 5) == 0) {
		urg_floor_init(&floor_counts);
		now = START_US;
	} else if (sscanf(line, "served %d %d", &key, &n) == 2) {
		while (n-- > 0)
			urg_floor_count(&floor_counts, (uint32_t)key, true,
					now);
	} else if (sscanf(line, "refused %d %d", &key, &n) == 2) {
		while (n-- > 0)
			urg_floor_count(&floor_counts, (uint32_t)key, false,
					now);
	} else if (sscanf(line, "below %d", &key) == 1) {
		fprintf(out, "%s\n",
			urg_floor_is_below(&floor_counts, (uint32_t)key, now)
				? "below"
				: "not below");
	} else if (sscanf(line, "asks %d", &n) == 1) {
		/*
		 * Key 1 asks once in 2 s and is served only if below;
		 * key 2 is always served.
		 */
		for (key = 0; key < n; key++) {
			bool is = urg_floor_is_below(&floor_counts, 1, now);

			below += is;
			urg_floor_count(&floor_counts, 1, is, now);
			urg_floor_count(&floor_counts, 2, true, now);
			now += 2 * MAG_US_PER_S;
		}
		fprintf(out, "%d of %d below\n", below, n);
	} else {
		return false;
	}
	return true;
}

static void run_script(FILE *in, FILE *out)
{
	char line[LINE_MAX_];

	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (!run_replay_command(line, out) &&
		    !run_floor_command(line, out) &&
		    !run_set_command(line, out))
			run_demand_command(line, out);
	}
}

int main(void)
{
	return script_main("regress/urg", run_script);
}
