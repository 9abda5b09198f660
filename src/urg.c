#include <math.h>
#include <string.h>

#include "urg.h"

#define URG_PRIORITY_MAX 255
#define URG_WIRE_MAX	 9
/*
 * Time constant of the demand, which follows a change within about a second.
 * With a second, a peak of more urgent requests meets too little free capacity.
 */
#define URG_SMOOTH_US (500 * MAG_US_PER_MS)
/* Demand of which nothing has arrived for this long is taken for zero. */
#define URG_FORGET_US (5 * MAG_US_PER_S)
/*
 * The need of more urgent requests in this time is kept free.  150 ms keeps too
 * little for a peak of them while half of the workers crash; with 300 ms,
 * requests of the middle urgencies are placed less often than the least urgent
 * ones that are below the floor.
 */
#define URG_AHEAD_US (200 * MAG_US_PER_MS)
/* A round of messages between routers. */
#define URG_ROUND_US	(150 * MAG_US_PER_MS)
#define URG_RESERVE_MAX 0.25

static double urg_per_s(const struct urg_level *level);
static int urg_clamp(int priority);
static struct urg_level *urg_level(struct urg *urg, int urgency);

/* Returns the urgency of a request; lower is more urgent. */
int urg_value(int account_priority, int route_priority)
{
	int route = urg_clamp(route_priority);
	int account =
		account_priority < 0 ? route : urg_clamp(account_priority);

	return account << 8 | route;
}

/* Adds an urgency; the most urgent ones are kept if there are too many. */
void urg_set_add(struct urg_set *set, int value)
{
	int at = 0;
	int moved;

	while (at < set->count && set->values[at] < value)
		at++;
	if (at == URG_LEVELS_MAX ||
	    (at < set->count && set->values[at] == value))
		return;
	if (set->count < URG_LEVELS_MAX)
		set->count++;
	moved = set->count - 1 - at;
	memmove(&set->values[at + 1], &set->values[at],
		(size_t)moved * sizeof(set->values[0]));
	set->values[at] = value;
}

/*
 * Returns the number of more urgent values, 0 for the most urgent.  A value
 * beyond the last one has the rank of the last one.
 */
int urg_set_rank(const struct urg_set *set, int value)
{
	int rank = 0;

	while (rank < set->count - 1 && set->values[rank] < value)
		rank++;
	return rank;
}

/*
 * Returns the urgency that workers are told, from 0 to 9, or -1 if the service
 * has one urgency only.  Up to ten urgencies differ on the wire.
 */
int urg_set_wire(const struct urg_set *set, int value)
{
	if (set->count < 2)
		return -1;
	return urg_set_rank(set, value) * URG_WIRE_MAX / (set->count - 1);
}

void urg_init(struct urg *urg)
{
	memset(urg, 0, sizeof(*urg));
	urg->routers = 1;
	urg->age_us = URG_ROUND_US;
}

/*
 * Counts a request that arrived, whether or not it is placed.  The need is its
 * memory in tokens x layers, or 1 for a slot.
 */
void urg_arrived(struct urg *urg, int urgency, double need)
{
	struct urg_level *level = urg_level(urg, urgency);

	urg->draw = mag_random_unit(&urg->seed);
	if (level && need > 0)
		level->arrived += need;
}

/* Updates the own demand; to be called every few milliseconds. */
void urg_tick(struct urg *urg, int64_t now)
{
	double elapsed_s = (double)(now - urg->tick_us) / MAG_US_PER_S;
	struct urg_level *level;
	double keep;
	int kept = 0;
	int i;

	if (urg->tick_us && now <= urg->tick_us)
		return;
	keep = exp(-elapsed_s * MAG_US_PER_S / URG_SMOOTH_US);
	for (i = 0; i < urg->count; i++) {
		level = &urg->levels[i];
		if (level->arrived > 0)
			level->forgotten_us = now + URG_FORGET_US;
		if (urg->tick_us) {
			level->own_per_s =
				level->own_per_s * keep +
				level->arrived / elapsed_s * (1 - keep);
			level->arrived = 0;
		}
		if (now >= level->forgotten_us)
			level->own_per_s = 0;
		if (level->own_per_s > 0 || level->peers_per_s > 0 ||
		    level->arrived > 0)
			urg->levels[kept++] = *level;
	}
	urg->count = kept;
	urg->tick_us = now;
	urg->seed ^= (uint64_t)now;
}

/*
 * Writes the own demand for the peers, the most urgent first, and returns the
 * number of reports.
 */
int urg_collect(const struct urg *urg, struct urg_report *reports, int max)
{
	int count = 0;
	int i;

	for (i = 0; i < urg->count && count < max; i++) {
		if (!(urg->levels[i].own_per_s > 0))
			continue;
		reports[count].urgency = urg->levels[i].urgency;
		reports[count++].need_per_s = urg->levels[i].own_per_s;
	}
	return count;
}

/*
 * Drops what peers reported, before their fresh reports are added.  The number
 * of routers is of all that are known, this one included.
 */
void urg_peers_begin(struct urg *urg, int routers)
{
	int i;

	for (i = 0; i < urg->count; i++)
		urg->levels[i].peers_per_s = 0;
	urg->routers = routers;
	urg->reports = 0;
}

/*
 * Adds the fresh reports of one peer.  Without any, the peer has no demand; a
 * peer of which that is not known must not be added.
 */
void urg_peers_add(struct urg *urg, const struct urg_report *reports, int count)
{
	struct urg_level *level;
	int i;

	urg->reports++;
	for (i = 0; i < count; i++) {
		if (!(reports[i].need_per_s > 0) ||
		    !isfinite(reports[i].need_per_s))
			continue;
		level = urg_level(urg, reports[i].urgency);
		if (level)
			level->peers_per_s += reports[i].need_per_s;
	}
}

/*
 * Sets the age of what a router knows of the others' requests: the time in
 * which it hears from all routers of its data centre.
 */
void urg_set_age(struct urg *urg, int64_t age_us)
{
	urg->age_us = age_us;
}

/*
 * Returns the fraction of a service's capacity that a request of this urgency
 * leaves free: the need of more urgent ones in URG_AHEAD_US, and a part of the
 * need of its own urgency, drawn for each request that arrived.  Where routers
 * learn of each other's requests late, all of them would otherwise use the same
 * capacity as soon as they see it free; the draw lets as many of them use it as
 * fit.  Routers without a fresh report are counted with the mean of the others,
 * this one included.
 */
double urg_reserve(const struct urg *urg, int urgency, double capacity)
{
	int known = urg->reports + 1;
	double scale = urg->routers > known ? (double)urg->routers / known : 1;
	double own_us = (double)(urg->age_us - URG_ROUND_US) * urg->draw;
	double need_us = 0;
	double reserve;
	int i;

	for (i = 0; i < urg->count && urg->levels[i].urgency < urgency; i++)
		need_us += urg_per_s(&urg->levels[i]) * URG_AHEAD_US;
	if (!(need_us > 0))
		return 0;
	if (!(capacity > 0))
		return URG_RESERVE_MAX;
	if (own_us > 0 && i < urg->count && urg->levels[i].urgency == urgency)
		need_us += urg_per_s(&urg->levels[i]) * own_us;
	reserve = need_us * scale / MAG_US_PER_S / capacity;
	return reserve < URG_RESERVE_MAX ? reserve : URG_RESERVE_MAX;
}

static double urg_per_s(const struct urg_level *level)
{
	return level->own_per_s + level->peers_per_s;
}

static int urg_clamp(int priority)
{
	if (priority < 0)
		return 0;
	return priority < URG_PRIORITY_MAX ? priority : URG_PRIORITY_MAX;
}

/*
 * Returns the demand of an urgency, which is added if it is new, or NULL.  A
 * full table keeps the most urgent ones: nothing is kept free for the least
 * urgent requests.
 */
static struct urg_level *urg_level(struct urg *urg, int urgency)
{
	int at = 0;
	int moved;

	while (at < urg->count && urg->levels[at].urgency < urgency)
		at++;
	if (at == URG_LEVELS_MAX)
		return NULL;
	if (at < urg->count && urg->levels[at].urgency == urgency)
		return &urg->levels[at];
	if (urg->count < URG_LEVELS_MAX)
		urg->count++;
	moved = urg->count - 1 - at;
	memmove(&urg->levels[at + 1], &urg->levels[at],
		(size_t)moved * sizeof(urg->levels[0]));
	memset(&urg->levels[at], 0, sizeof(urg->levels[at]));
	urg->levels[at].urgency = urgency;
	return &urg->levels[at];
}
